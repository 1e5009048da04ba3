//! Grants by a majority of voters: what a claim may say, and that no order of messages, losses and restarts lets a life
//! serve that does not know all without knowing that it does not.
mod help;

use help::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;
use tidewall_failover::leadership::{Fencing, Leadership, LeadershipAcceptor};
use tidewall_failover::proposal::{
    count, LeadershipProposer, ProposalOutcome, ProposalRequest, Purpose,
};

const TAKE: ProposalRequest = ProposalRequest {
    purpose: Purpose::TakeOver,
    with: None,
    fences: true,
};
const GO_ON: ProposalRequest = ProposalRequest {
    purpose: Purpose::GoOn,
    with: None,
    fences: true,
};

fn accepted(epoch: u64, member: usize, sync: [u64; 2]) -> LeadershipAcceptor {
    LeadershipAcceptor {
        promised: epoch,
        accepted: Leadership {
            epoch,
            member,
            synced_incarnations: sync,
            fencing_floor: epoch,
        },
    }
}

/// All of these voters answer; those beyond are unheard.
fn ask(
    claim: &mut LeadershipProposer,
    voters: &mut [LeadershipAcceptor],
    all: usize,
    wish: ProposalRequest,
) -> Option<ProposalOutcome> {
    let mut host = Host::default();
    claim.begin(&mut host, wish);
    let mut outcome = None;
    while let Some((voter, ballot, asked)) = host.asked.pop() {
        let of = (ballot, asked.is_some());
        let told = match voters.get_mut(voter) {
            Some(v) => {
                let (good, promise) = vote(v, (ballot, asked));
                claim.vote_received(&mut host, voter, of, good, promise)
            }
            None => claim.vote_missing(&mut host, voter, of),
        };
        outcome = outcome.or(told);
    }
    assert_eq!(all, 3);
    outcome
}

fn granted(outcome: Option<ProposalOutcome>) -> Option<([u64; 2], u64)> {
    match outcome {
        Some(ProposalOutcome::Granted(c)) => Some((c.synced_incarnations, count(c.epoch))),
        _ => None,
    }
}

#[test_case(&[LeadershipAcceptor::default(); 3], TAKE, Some(([7, 0], 1)) ; "nobody ever served")]
#[test_case(&[LeadershipAcceptor::default(); 2], TAKE, Some(([7, 0], 1)) ; "a majority is enough")]
#[test_case(&[LeadershipAcceptor::default(); 1], TAKE, None ; "less is not")]
#[test_case(&[accepted(5 << 24, 1, [7, 9]); 3], TAKE, Some(([7, 0], 6)) ; "in the know")]
#[test_case(&[accepted(5 << 24, 1, [0, 9]); 3], TAKE, None ; "not in the know")]
#[test_case(&[accepted(5 << 24, 1, [6, 9]); 3], TAKE, None ; "a former life was")]
#[test_case(&[accepted(5 << 24, 1, [7, 9]); 3], GO_ON, None ; "the other serves")]
#[test_case(&[accepted(4 << 24, 0, [7, 9]); 3], GO_ON, Some(([7, 0], 5)) ; "it serves itself")]
#[test_case(&[accepted(4 << 24, 0, [6, 9]); 3], GO_ON, None ; "a former life served")]
#[test_case(&[accepted(4 << 24, 0, [7, 9]), accepted(5 << 24, 1, [0, 9])], TAKE, None ; "one of two accepted the other's: the silent one may have")]
#[test_case(&[accepted(4 << 24, 0, [7, 9]), accepted(5 << 24, 1, [0, 9]), accepted(4 << 24, 0, [7, 9])], TAKE, Some(([7, 0], 6)) ; "one of three did: nobody was granted that")]
fn who_may(voters: &[LeadershipAcceptor], wish: ProposalRequest, told: Option<([u64; 2], u64)>) {
    let mut voters = voters.to_vec();
    let mut claim = LeadershipProposer::new(0, 7, 3);
    assert_eq!(granted(ask(&mut claim, &mut voters, 3, wish)), told);
}

#[test]
fn lives_that_are_over_are_not_waited_for_and_it_is_known_that_something_is_lost() {
    let mut voters = [accepted(5 << 24, 1, [6, 9]); 3];
    let mut claim = LeadershipProposer::new(0, 7, 3);
    assert_eq!(
        ask(&mut claim, &mut voters, 3, TAKE),
        Some(ProposalOutcome::OutOfSync)
    );
    claim.peer_incarnation_ended(9);
    assert!(granted(ask(&mut claim, &mut voters, 3, TAKE)).is_some());
    assert!(claim.forgot());
}

#[test]
fn an_outbid_claim_is_begun_anew_above_what_was_heard() {
    let mut voters = [accepted(41 << 24, 1, [7, 9]); 3];
    let mut claim = LeadershipProposer::new(0, 7, 3);
    assert_eq!(
        granted(ask(&mut claim, &mut voters, 3, TAKE)),
        Some(([7, 0], 42))
    );
}

#[test_case(0, 5, true ; "its own, whatever the epoch")]
#[test_case(1, 3, false ; "the other's, older than the floor")]
#[test_case(1, 4, true ; "the other's, from the floor on")]
fn what_a_worker_takes(member: usize, epoch: u64, told: bool) {
    let claim = Leadership {
        epoch: 6,
        member: 0,
        synced_incarnations: [7, 0],
        fencing_floor: 4,
    };
    let promise = LeadershipAcceptor {
        promised: 6,
        accepted: claim,
    };
    assert_eq!(promise.permits(member, epoch), told);
    // The floor is under the epoch: the other one goes on with what it has out.
    assert!(!promise.must_end(member));
}

#[test]
fn a_worker_ends_what_the_fenced_member_has_out() {
    let promise = accepted(6, 0, [7, 0]);
    assert!(promise.must_end(1) && !promise.must_end(0));
}

#[derive(Clone, Copy, PartialEq)]
struct Message {
    from: usize,
    life: u64,
    voter: usize,
    ballot: u64,
    asked: Option<Leadership>,
    /// The voter's answer on its way back.
    answer: Option<(bool, LeadershipAcceptor)>,
}

/// Three voters, two members that claim, lose, repeat and reorder messages, die and start again. `forgets`: voters that keep
/// nothing.
fn breaches(seed: u64, forgets: bool) -> usize {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut voters = [LeadershipAcceptor::default(); 3];
    let mut lives = [1u64, 1];
    let mut claims: Vec<LeadershipProposer> =
        (0..2).map(|me| LeadershipProposer::new(me, 1, 3)).collect();
    let mut way: Vec<Message> = Vec::new();
    // The last claim that was granted, and what was granted before.
    let mut last: Option<Leadership> = None;
    let (mut serving, mut follows, mut breaches) = ([false, false], [0, 0], 0);
    for _ in 0..300 {
        let me = chance.random_range(0..2);
        let mut host = Host::default();
        let mut outcome = None;
        match chance.random_range(0..12) {
            0 => {
                let purpose = if serving[me] {
                    Purpose::GoOn
                } else {
                    Purpose::TakeOver
                };
                let with = (serving[me] && chance.random_ratio(1, 2)).then_some(lives[1 - me]);
                if let Some(life) = with {
                    // It is claimed only of one that follows, and from here on everything waits for that one.
                    follows[1 - me] = life;
                }
                claims[me].begin(
                    &mut host,
                    ProposalRequest {
                        purpose,
                        with,
                        fences: with.is_none(),
                    },
                );
            }
            1 if chance.random_ratio(1, 3) => {
                lives[me] += 1;
                serving[me] = false;
                claims[me] = LeadershipProposer::new(me, lives[me], 3);
                claims[me].peer_incarnation_ended(lives[1 - me] - 1);
                claims[1 - me].peer_incarnation_ended(lives[me] - 1);
            }
            2 if !way.is_empty() => {
                let lost = chance.random_range(0..way.len());
                way.swap_remove(lost);
            }
            3 if !way.is_empty() => {
                let twice = way[chance.random_range(0..way.len())];
                way.push(twice);
            }
            _ if !way.is_empty() => {
                let m = way.swap_remove(chance.random_range(0..way.len()));
                match m.answer {
                    None => {
                        if forgets {
                            voters[m.voter] = LeadershipAcceptor::default();
                        }
                        let answer = vote(&mut voters[m.voter], (m.ballot, m.asked));
                        way.push(Message {
                            answer: Some(answer),
                            ..m
                        });
                    }
                    Some((good, promise)) if m.life == lives[m.from] => {
                        let of = (m.ballot, m.asked.is_some());
                        outcome = claims[m.from]
                            .vote_received(&mut host, m.voter, of, good, promise)
                            .map(|o| (m.from, o));
                        for (voter, ballot, asked) in host.asked.drain(..) {
                            let life = lives[m.from];
                            way.push(Message {
                                from: m.from,
                                life,
                                voter,
                                ballot,
                                asked,
                                answer: None,
                            });
                        }
                    }
                    Some(_) => {}
                }
            }
            _ => {}
        }
        for (voter, ballot, asked) in host.asked.drain(..) {
            way.push(Message {
                from: me,
                life: lives[me],
                voter,
                ballot,
                asked,
                answer: None,
            });
        }
        let Some((who, outcome)) = outcome else {
            continue;
        };
        match outcome {
            ProposalOutcome::Granted(c) => {
                if let Some(l) = last.filter(|l| l.epoch < c.epoch) {
                    // Whoever serves next was in the know of whoever served last, or knows that it is not.
                    let knew =
                        l.synced_incarnations[who] == lives[who] || follows[who] == lives[who];
                    breaches += usize::from(!knew && !claims[who].forgot());
                }
                // Two grants of one epoch.
                breaches +=
                    usize::from(last.is_some_and(|l| l.epoch == c.epoch && l.member != c.member));
                if last.is_none_or(|l| l.epoch < c.epoch) {
                    last = Some(c);
                    follows = c.synced_incarnations;
                }
                serving[who] = true;
                claims[who].knows();
            }
            ProposalOutcome::Superseded => {
                // It starts anew, as the gateway does.
                lives[who] += 1;
                serving[who] = false;
                claims[who] = LeadershipProposer::new(who, lives[who], 3);
                claims[who].peer_incarnation_ended(lives[1 - who] - 1);
                claims[1 - who].peer_incarnation_ended(lives[who] - 1);
            }
            _ => {}
        }
    }
    breaches
}

#[test]
fn no_order_of_messages_lets_an_ignorant_life_serve_unawares() {
    let broken: Vec<u64> = (0..5_000)
        .filter(|seed| breaches(*seed, false) > 0)
        .collect();
    assert_eq!(broken, Vec::<u64>::new());
}

#[test]
fn planted_voters_that_forget_are_noticed() {
    assert!((0..500).any(|seed| breaches(seed, true) > 0));
}
