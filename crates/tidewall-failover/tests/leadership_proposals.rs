//! Leadership proposals to the voters: which proposals are allowed. A randomized simulation checks that no
//! order of messages, losses and restarts lets an incarnation that does not hold all state serve without
//! reporting the lost state.
mod support;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Reply, SentRequest, SentRequests};
use test_case::test_case;
use tidewall_failover::leadership::{Fencing, Leadership, LeadershipAcceptor};
use tidewall_failover::proposal::{
    epoch_number, LeadershipProposer, ProposalOutcome, ProposalRequest, Purpose,
};

const TAKE_OVER: ProposalRequest = ProposalRequest {
    purpose: Purpose::TakeOver,
    synced_peer: None,
};
const RENEW: ProposalRequest = ProposalRequest {
    purpose: Purpose::Renew,
    synced_peer: None,
};

fn accepted(epoch: u64, member: usize, synced_incarnations: [u64; 2]) -> LeadershipAcceptor {
    LeadershipAcceptor {
        promised: epoch,
        accepted: Leadership {
            epoch,
            member,
            synced_incarnations,
            fencing_floor: epoch,
        },
    }
}

/// Runs a proposal to `voter_count` voters: those in `voters` reply, the others cannot be reached.
fn propose(
    proposer: &mut LeadershipProposer,
    voters: &mut [LeadershipAcceptor],
    voter_count: usize,
    request: ProposalRequest,
) -> Option<ProposalOutcome> {
    let mut transport = SentRequests::default();
    proposer.propose(&mut transport, request);
    let mut outcome = None;
    while let Some(sent) = transport.0.pop() {
        let reply_to = sent.reply_to();
        let ended = match voters.get_mut(sent.voter) {
            Some(voter) => {
                let Reply { agreed, acceptor } = sent.reply(voter);
                proposer.vote_received(&mut transport, sent.voter, reply_to, agreed, acceptor)
            }
            None => proposer.vote_missing(&mut transport, sent.voter, reply_to),
        };
        outcome = outcome.or(ended);
    }
    assert_eq!(voter_count, 3);
    outcome
}

/// The synchronised incarnations and the epoch number of a granted leadership; `None` for any other outcome.
fn granted(outcome: Option<ProposalOutcome>) -> Option<([u64; 2], u64)> {
    match outcome {
        Some(ProposalOutcome::Granted(leadership)) => Some((
            leadership.synced_incarnations,
            epoch_number(leadership.epoch),
        )),
        _ => None,
    }
}

#[test_case(&[LeadershipAcceptor::default(); 3], TAKE_OVER, Some(([7, 0], 1)) ; "nobody ever served")]
#[test_case(&[LeadershipAcceptor::default(); 2], TAKE_OVER, Some(([7, 0], 1)) ; "a majority is enough")]
#[test_case(&[LeadershipAcceptor::default(); 1], TAKE_OVER, None ; "less than a majority is not")]
#[test_case(&[accepted(5 << 24, 1, [7, 9]); 3], TAKE_OVER, Some(([7, 0], 6)) ; "it is synchronised")]
#[test_case(&[accepted(5 << 24, 1, [0, 9]); 3], TAKE_OVER, None ; "it is not synchronised")]
#[test_case(&[accepted(5 << 24, 1, [6, 9]); 3], TAKE_OVER, None ; "a former incarnation was synchronised")]
#[test_case(&[accepted(5 << 24, 1, [7, 9]); 3], RENEW, None ; "the other member serves")]
#[test_case(&[accepted(4 << 24, 0, [7, 9]); 3], RENEW, Some(([7, 0], 5)) ; "it serves itself")]
#[test_case(&[accepted(4 << 24, 0, [6, 9]); 3], RENEW, None ; "a former incarnation served")]
#[test_case(&[accepted(4 << 24, 0, [7, 9]), accepted(5 << 24, 1, [0, 9])], TAKE_OVER, None ; "one of two accepted the other member: the silent voter may have too")]
#[test_case(&[accepted(4 << 24, 0, [7, 9]), accepted(5 << 24, 1, [0, 9]), accepted(4 << 24, 0, [7, 9])], TAKE_OVER, Some(([7, 0], 6)) ; "one of three accepted the other member: it was not granted")]
fn leadership_is_granted_to_an_incarnation_that_holds_all_state(
    voters: &[LeadershipAcceptor],
    request: ProposalRequest,
    expected: Option<([u64; 2], u64)>,
) {
    let mut voters = voters.to_vec();
    let mut proposer = LeadershipProposer::new(0, 7, 3);
    assert_eq!(
        granted(propose(&mut proposer, &mut voters, 3, request)),
        expected
    );
}

#[test]
fn ended_incarnations_are_not_awaited_and_their_state_counts_as_lost() {
    let mut voters = [accepted(5 << 24, 1, [6, 9]); 3];
    let mut proposer = LeadershipProposer::new(0, 7, 3);
    assert_eq!(
        propose(&mut proposer, &mut voters, 3, TAKE_OVER),
        Some(ProposalOutcome::OutOfSync)
    );
    proposer.peer_incarnation_ended(9);
    assert!(granted(propose(&mut proposer, &mut voters, 3, TAKE_OVER)).is_some());
    assert!(proposer.has_lost_state());
}

#[test]
fn an_outbid_proposal_is_repeated_above_the_highest_ballot_seen() {
    let mut voters = [accepted(41 << 24, 1, [7, 9]); 3];
    let mut proposer = LeadershipProposer::new(0, 7, 3);
    assert_eq!(
        granted(propose(&mut proposer, &mut voters, 3, TAKE_OVER)),
        Some(([7, 0], 42))
    );
}

#[test_case(0, 5, true ; "its own, whatever the epoch")]
#[test_case(1, 3, false ; "the other member's, below the floor")]
#[test_case(1, 4, true ; "the other member's, from the floor on")]
fn a_worker_permits_calls_from_the_fencing_floor_on(member: usize, epoch: u64, permitted: bool) {
    let leadership = Leadership {
        epoch: 6,
        member: 0,
        synced_incarnations: [7, 0],
        fencing_floor: 4,
    };
    let acceptor = LeadershipAcceptor {
        promised: 6,
        accepted: leadership,
    };
    assert_eq!(acceptor.permits(member, epoch), permitted);
    // The fencing floor is below the epoch, so the other member may complete its calls in flight.
    assert!(!acceptor.must_abort(member));
}

#[test]
fn a_worker_aborts_the_calls_of_a_fenced_member() {
    let acceptor = accepted(6, 0, [7, 0]);
    assert!(acceptor.must_abort(1) && !acceptor.must_abort(0));
}

/// A request to a voter, or the voter's reply, in transit.
#[derive(Clone, Copy, PartialEq)]
struct Message {
    from: usize,
    incarnation: u64,
    request: SentRequest,
    reply: Option<Reply>,
}

/// A simulation of three voters and of two members that propose and restart, on a network that loses, repeats
/// and reorders messages.
struct Simulation {
    random: ChaCha8Rng,
    /// Fault injection: voters lose their state before each request.
    voters_lose_state: bool,
    voters: [LeadershipAcceptor; 3],
    incarnations: [u64; 2],
    proposers: Vec<LeadershipProposer>,
    network: Vec<Message>,
    /// The newest leadership that was granted.
    last_granted: Option<Leadership>,
    serves: [bool; 2],
    /// By member: its incarnation that holds all state in flight.
    synced: [u64; 2],
    violations: usize,
}

impl Simulation {
    fn new(seed: u64, voters_lose_state: bool) -> Simulation {
        Simulation {
            random: ChaCha8Rng::seed_from_u64(seed),
            voters_lose_state,
            voters: [LeadershipAcceptor::default(); 3],
            incarnations: [1, 1],
            proposers: (0..2)
                .map(|member| LeadershipProposer::new(member, 1, 3))
                .collect(),
            network: Vec::new(),
            last_granted: None,
            serves: [false, false],
            synced: [0, 0],
            violations: 0,
        }
    }

    fn send(&mut self, from: usize, requests: SentRequests) {
        let incarnation = self.incarnations[from];
        self.network
            .extend(requests.0.into_iter().map(|request| Message {
                from,
                incarnation,
                request,
                reply: None,
            }));
    }

    fn propose(&mut self, member: usize) {
        let serves = self.serves[member];
        let purpose = if serves {
            Purpose::Renew
        } else {
            Purpose::TakeOver
        };
        let synced_peer =
            (serves && self.random.random_ratio(1, 2)).then_some(self.incarnations[1 - member]);
        if let Some(incarnation) = synced_peer {
            // Only an incarnation that holds a replica is proposed as synchronised, and from here on calls
            // and responses wait for its records.
            self.synced[1 - member] = incarnation;
        }
        let request = ProposalRequest {
            purpose,
            synced_peer,
        };
        let mut requests = SentRequests::default();
        self.proposers[member].propose(&mut requests, request);
        self.send(member, requests);
    }

    fn restart(&mut self, member: usize) {
        self.incarnations[member] += 1;
        self.serves[member] = false;
        self.proposers[member] = LeadershipProposer::new(member, self.incarnations[member], 3);
        self.proposers[member].peer_incarnation_ended(self.incarnations[1 - member] - 1);
        self.proposers[1 - member].peer_incarnation_ended(self.incarnations[member] - 1);
    }

    fn deliver(&mut self) {
        let at = self.random.random_range(0..self.network.len());
        let message = self.network.swap_remove(at);
        let Some(reply) = message.reply else {
            let voter = &mut self.voters[message.request.voter];
            if self.voters_lose_state {
                *voter = LeadershipAcceptor::default();
            }
            let reply = Some(message.request.reply(voter));
            self.network.push(Message { reply, ..message });
            return;
        };
        if message.incarnation != self.incarnations[message.from] {
            return;
        }
        let mut requests = SentRequests::default();
        let outcome = self.proposers[message.from].vote_received(
            &mut requests,
            message.request.voter,
            message.request.reply_to(),
            reply.agreed,
            reply.acceptor,
        );
        self.send(message.from, requests);
        match outcome {
            Some(ProposalOutcome::Granted(leadership)) => self.granted(message.from, leadership),
            // The gateway restarts its process in this case as well.
            Some(ProposalOutcome::Superseded) => self.restart(message.from),
            _ => {}
        }
    }

    fn granted(&mut self, member: usize, leadership: Leadership) {
        let last = self.last_granted;
        let incarnation = self.incarnations[member];
        if let Some(last) = last.filter(|last| last.epoch < leadership.epoch) {
            // A new active member must have been synchronised with the last one, or must report lost state.
            let synced = last.synced_incarnations[member] == incarnation
                || self.synced[member] == incarnation;
            self.violations += usize::from(!synced && !self.proposers[member].has_lost_state());
        }
        // Two members must never lead under one epoch.
        self.violations += usize::from(last.is_some_and(|last| {
            last.epoch == leadership.epoch && last.member != leadership.member
        }));
        if last.is_none_or(|last| last.epoch < leadership.epoch) {
            self.last_granted = Some(leadership);
            self.synced = leadership.synced_incarnations;
        }
        self.serves[member] = true;
        self.proposers[member].lost_state_handled();
    }

    fn step(&mut self) {
        let member = self.random.random_range(0..2);
        match self.random.random_range(0..12) {
            0 => self.propose(member),
            1 if self.random.random_ratio(1, 3) => self.restart(member),
            2 if !self.network.is_empty() => {
                let lost = self.random.random_range(0..self.network.len());
                self.network.swap_remove(lost);
            }
            3 if !self.network.is_empty() => {
                let repeated = self.network[self.random.random_range(0..self.network.len())];
                self.network.push(repeated);
            }
            _ if !self.network.is_empty() => self.deliver(),
            _ => {}
        }
    }
}

fn violations(seed: u64, voters_lose_state: bool) -> usize {
    let mut simulation = Simulation::new(seed, voters_lose_state);
    (0..300).for_each(|_| simulation.step());
    simulation.violations
}

#[test]
fn no_message_order_lets_an_unsynchronised_incarnation_serve_without_reporting_lost_state() {
    let failing_seeds: Vec<u64> = (0..5_000)
        .filter(|seed| violations(*seed, false) > 0)
        .collect();
    assert_eq!(failing_seeds, Vec::<u64>::new());
}

#[test]
fn the_simulation_detects_voters_that_lose_their_state() {
    assert!((0..500).any(|seed| violations(seed, true) > 0));
}

/// Guards against an incarnation that starts after the clock was set back: state recorded for an earlier
/// incarnation with a higher number would be attributed to it.
#[test_case(8, Some(ProposalOutcome::StaleIncarnation), 8; "a former incarnation had a higher number")]
#[test_case(6, Some(ProposalOutcome::OutOfSync), 7; "a former incarnation had a lower one")]
fn an_incarnation_below_a_former_one_is_not_granted(
    former: u64,
    expected: Option<ProposalOutcome>,
    newest: u64,
) {
    let mut voters = [accepted(5 << 24, 1, [former, 9]); 3];
    let mut proposer = LeadershipProposer::new(0, 7, 3);
    let outcome = propose(&mut proposer, &mut voters, 3, TAKE_OVER);
    assert_eq!(
        (outcome, proposer.newest_own_incarnation()),
        (expected, newest)
    );
}
