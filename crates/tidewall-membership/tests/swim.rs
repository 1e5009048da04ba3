//! Failure detection and gossip on a simulated network.
mod help;

use help::{Loss, Network, PERIOD};
use test_case::test_case;
use tidewall_membership::{MemberState, MemberUpdate};

fn alive(incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        incarnation,
        refutation: 0,
        state: MemberState::Alive,
    }
}

#[test_case(3 ; "three")]
#[test_case(30 ; "thirty")]
#[test_case(350 ; "three hundred and fifty")]
fn members_discover_each_other_and_a_failure_is_noticed_by_all(members: usize) {
    let mut network = Network::new(members, 1);
    let failed = members - 1;
    let joined = (1..600).find(|_| {
        network.run_for(PERIOD);
        network.agree()
    });
    network.down[failed] = true;
    let noticed = (1..600).find(|_| {
        network.run_for(PERIOD);
        network.agree()
    });
    println!("{members} members: joined after {joined:?} periods, a failure noticed by all after {noticed:?}");
    assert!(joined.is_some() && noticed.is_some());
    // No other member was ever declared dead.
    let wrong_losses: Vec<_> = network
        .actions
        .iter()
        .map(|actions| actions.losses.clone())
        .enumerate()
        .filter(|(_, losses)| losses.iter().any(|loss| loss.member != failed))
        .collect();
    assert_eq!(wrong_losses, []);
    network.restart(failed);
    network.run_for(60 * PERIOD);
    assert_eq!(network.wrong_views(), []);
}

/// The maximum is out of 9,000 pings. Wrong suspicions are refuted, and no safety property depends on them.
#[test_case(20, 10 ; "one in fifty datagrams lost")]
#[test_case(100, 60 ; "one in ten")]
#[test_case(300, 900 ; "three in ten")]
fn lost_datagrams_cause_few_false_positives_and_all_agree_afterwards(
    loss_per_mille: u32,
    max_false_positives: usize,
) {
    let mut network = Network::new(30, 2);
    network.loss_per_mille = loss_per_mille;
    network.run_for(300 * PERIOD);
    let false_positives: usize = network.actions.iter().map(|a| a.losses.len()).sum();
    println!("{false_positives} false positives over 300 periods of 30 members");
    assert!(false_positives <= max_false_positives);
    network.loss_per_mille = 0;
    network.run_for(60 * PERIOD);
    assert_eq!(network.wrong_views(), []);
}

/// The link is cut in one direction and between two members only, so indirect pings are answered.
#[test]
fn a_link_cut_one_way_causes_no_loss() {
    let mut network = Network::new(5, 3);
    network.run_for(20 * PERIOD);
    network.cut_links = vec![(0, 1)];
    network.run_for(200 * PERIOD);
    assert!(network.agree() && network.actions.iter().all(|a| a.losses.is_empty()));
}

#[test]
fn both_sides_of_a_partition_lose_each_other_and_find_each_other_again() {
    let mut network = Network::new(6, 4);
    network.run_for(20 * PERIOD);
    let minority = |member: usize| member < 2;
    network.cut_links = (0..36)
        .map(|i| (i / 6, i % 6))
        .filter(|(from, to)| minority(*from) != minority(*to))
        .collect();
    network.run_for(60 * PERIOD);
    assert!((0..6).all(|observer| {
        (0..6).all(|member| {
            network.members[observer].is_alive(member) == (minority(observer) == minority(member))
        })
    }));
    network.cut_links.clear();
    network.run_for(80 * PERIOD);
    assert_eq!(network.wrong_views(), []);
}

/// Messages that a member did not receive while it was paused say nothing about other members. Only the
/// others lose the paused member.
#[test]
fn a_paused_member_declares_nobody_dead() {
    let mut network = Network::new(5, 5);
    network.run_for(20 * PERIOD);
    network.paused[0] = true;
    network.run_for(60 * PERIOD);
    assert!((1..5).all(|observer| !network.members[observer].is_alive(0)));
    network.paused[0] = false;
    network.members[0].process_stalled(60 * PERIOD);
    network.run_for(30 * PERIOD);
    assert!(network.actions[0].losses.is_empty());
    assert!(
        network.agree(),
        "the paused member refutes what the others reported about it"
    );
    assert!(network.members[0].suspicions_refuted > 0);
}

#[test]
fn a_member_that_leaves_is_lost_at_once_and_suspected_by_nobody() {
    let mut network = Network::new(9, 6);
    network.run_for(30 * PERIOD);
    network.members[0].leave();
    network.run_for(3 * PERIOD);
    network.down[0] = true;
    network.run_for(6 * PERIOD);
    assert_eq!(network.wrong_views(), []);
    let leave = Loss {
        member: 0,
        left: true,
    };
    assert!(network.actions[1..].iter().all(|a| a.losses == [leave]));
}

#[test_case(MemberUpdate { incarnation: 1, refutation: 9, state: MemberState::Dead }, true ; "a former incarnation")]
#[test_case(MemberUpdate { incarnation: 2, refutation: 0, state: MemberState::Suspect }, true ; "suspect, not yet dead")]
#[test_case(MemberUpdate { incarnation: 2, refutation: 0, state: MemberState::Dead }, false ; "this incarnation")]
#[test_case(MemberUpdate { incarnation: 3, refutation: 0, state: MemberState::Alive }, true ; "a newer incarnation")]
fn only_a_newer_update_counts(update: MemberUpdate, alive_afterwards: bool) {
    let mut network = Network::new(3, 7);
    let (member, actions) = (&mut network.members[0], &mut network.actions[0]);
    assert!(member.sender_heard(0, actions, 1, alive(2)));
    member.gossip_received(0, actions, 1, update);
    assert_eq!(member.is_alive(1), alive_afterwards);
    assert!(
        !member.sender_heard(0, actions, 1, alive(1)),
        "a former incarnation is ignored"
    );
    // An update about a member that does not exist is ignored.
    member.gossip_received(0, actions, 7, update);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut network = Network::new(9, 8);
        network.loss_per_mille = 200;
        network.run_for(100 * PERIOD);
        let suspicions: Vec<_> = network
            .members
            .iter()
            .map(|m| (m.suspicions_raised, m.suspicions_refuted))
            .collect();
        (network.datagrams_sent, suspicions)
    };
    assert_eq!(run(), run());
}
