//! Who is there, on a scripted network.
mod help;

use help::*;
use test_case::test_case;
use tidewall_membership::{MemberState, MemberUpdate};

fn here_in(life: u64) -> MemberUpdate {
    MemberUpdate {
        incarnation: life,
        refutation: 0,
        state: MemberState::Alive,
    }
}

#[test_case(3 ; "three")]
#[test_case(30 ; "thirty")]
#[test_case(350 ; "three hundred and fifty")]
fn all_find_each_other_and_one_that_dies_is_missed_by_all(n: usize) {
    let mut net = Net::new(n, 1);
    let joined = (1..600).find(|_| {
        net.run(PERIOD);
        net.agree()
    });
    net.down[n - 1] = true;
    let missed = (1..600).find(|_| {
        net.run(PERIOD);
        net.agree()
    });
    println!("{n} members: joined after {joined:?} periods, one dead seen by all after {missed:?}");
    assert!(joined.is_some() && missed.is_some());
    // Nobody else was ever thought gone.
    let other: Vec<_> = net
        .outs
        .iter()
        .enumerate()
        .filter(|o| o.1.goes.iter().any(|g| g.0 != n - 1))
        .map(|o| (o.0, o.1.goes.clone()))
        .collect();
    assert_eq!(other, []);
    net.restart(n - 1);
    net.run(60 * PERIOD);
    assert_eq!(net.wrong(), []);
}

/// Of 9,000 pings; what is wrong is refuted, and nothing rests on it.
#[test_case(20, 10 ; "one in fifty datagrams lost")]
#[test_case(100, 60 ; "one in ten")]
#[test_case(300, 900 ; "three in ten")]
fn losses_make_few_gone_and_all_agree_when_they_end(lost: u32, most: usize) {
    let mut net = Net::new(30, 2);
    net.lost = lost;
    net.run(300 * PERIOD);
    let goes: usize = net.outs.iter().map(|o| o.goes.len()).sum();
    println!("{goes} wrongly gone over 300 periods of 30 members");
    assert!(goes <= most);
    net.lost = 0;
    net.run(60 * PERIOD);
    assert_eq!(net.wrong(), []);
}

/// Only one way, and only between two: others say that it is there.
#[test]
fn a_link_cut_one_way_makes_nobody_gone() {
    let mut net = Net::new(5, 3);
    net.run(20 * PERIOD);
    net.cut = vec![(0, 1)];
    net.run(200 * PERIOD);
    assert!(net.agree() && net.outs.iter().all(|o| o.goes.is_empty()));
}

#[test]
fn both_sides_of_a_partition_lose_each_other_and_find_each_other_again() {
    let mut net = Net::new(6, 4);
    net.run(20 * PERIOD);
    let side = |m: usize| m < 2;
    net.cut = (0..36)
        .map(|i| (i / 6, i % 6))
        .filter(|(a, b)| side(*a) != side(*b))
        .collect();
    net.run(60 * PERIOD);
    assert!((0..6).all(|m| (0..6).all(|o| net.members[m].is_alive(o) == (side(m) == side(o)))));
    net.cut.clear();
    net.run(80 * PERIOD);
    assert_eq!(net.wrong(), []);
}

/// What it did not hear while it stood says nothing of others; it is the others that miss it.
#[test]
fn one_that_stood_still_thinks_nobody_gone() {
    let mut net = Net::new(5, 5);
    net.run(20 * PERIOD);
    net.still[0] = true;
    net.run(60 * PERIOD);
    assert!((1..5).all(|m| !net.members[m].is_alive(0)));
    net.still[0] = false;
    net.members[0].process_stalled(60 * PERIOD);
    net.run(30 * PERIOD);
    assert!(net.outs[0].goes.is_empty());
    assert!(net.agree(), "it refutes what was said of it");
    assert!(net.members[0].refuted > 0);
}

#[test]
fn one_that_leaves_is_missed_at_once_and_suspected_by_nobody() {
    let mut net = Net::new(9, 6);
    net.run(30 * PERIOD);
    net.members[0].leave();
    net.run(3 * PERIOD);
    net.down[0] = true;
    net.run(6 * PERIOD);
    assert_eq!(net.wrong(), []);
    assert!(net.outs[1..].iter().all(|o| o.goes == [(0, true)]));
}

#[test_case(MemberUpdate { incarnation: 1, refutation: 9, state: MemberState::Dead }, true ; "a former life")]
#[test_case(MemberUpdate { incarnation: 2, refutation: 0, state: MemberState::Suspect }, true ; "suspected, not yet gone")]
#[test_case(MemberUpdate { incarnation: 2, refutation: 0, state: MemberState::Dead }, false ; "this life")]
#[test_case(MemberUpdate { incarnation: 3, refutation: 0, state: MemberState::Alive }, true ; "a newer life")]
fn which_word_is_news(word: MemberUpdate, here: bool) {
    let mut net = Net::new(3, 7);
    let (m, out) = (&mut net.members[0], &mut net.outs[0]);
    assert!(m.sender_heard(0, out, 1, here_in(2)));
    m.gossip_received(0, out, 1, word);
    assert_eq!(m.is_alive(1), here);
    assert!(
        !m.sender_heard(0, out, 1, here_in(1)),
        "a former life is not heard"
    );
    // A member that there is not.
    m.gossip_received(0, out, 7, word);
}

/// The same seed is the same run.
#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut net = Net::new(9, 8);
        net.lost = 200;
        net.run(100 * PERIOD);
        (
            net.datagrams,
            net.members
                .iter()
                .map(|m| (m.suspected, m.refuted))
                .collect::<Vec<_>>(),
        )
    };
    assert_eq!(run(), run());
}
