//! A Paxos proposer (Lamport, "Paxos Made Simple", 2001). In phase 1 (prepare), acceptors promise to reject
//! lower ballots and report the value that they last accepted. In phase 2 (accept), they accept the proposed
//! value. Any two majorities share an acceptor, so the next proposer learns of every value that may have been
//! chosen before. A [`ProposalRule`] decides what may be proposed given that value; it is the only difference
//! between the failover of a pair and the fleet's leases.
//!
//! This module does no I/O: requests are sent through a [`ProposerTransport`], and replies are passed to
//! [`ProposerRound::reply_received`].
use crate::acceptor::{AcceptorState, BallotedValue};

/// Sends requests to acceptors, which are numbered from 0.
pub trait ProposerTransport<V> {
    /// Sends a phase 1 request.
    fn prepare(&mut self, acceptor: usize, ballot: u64);
    /// Sends a phase 2 request. Its ballot is the value's epoch.
    fn accept(&mut self, acceptor: usize, value: V);
}

/// Decides which value is proposed.
pub trait ProposalRule<V> {
    /// The reason why no value may be proposed.
    type Rejection;
    /// Returns the value to propose under this ballot, given the newest value that a majority may have
    /// accepted before.
    fn propose(&mut self, ballot: u64, accepted: Option<V>) -> Result<V, Self::Rejection>;
}

/// How a round ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RoundOutcome<V, R> {
    /// A majority accepted this value.
    Granted(V),
    /// The rule allows no proposal, whatever the remaining acceptors may report.
    Rejected(R),
    /// Too many acceptors rejected the ballot or could not be reached.
    NoMajority,
}

/// The phase of the request that a reply answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProposalPhase {
    /// Phase 1, a request for a promise.
    Prepare,
    /// Phase 2, a request to accept a value.
    Accept,
}

/// The request that a reply answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplyTo {
    /// The ballot of the request.
    pub ballot: u64,
    /// The kind of the request.
    pub phase: ProposalPhase,
}

/// An acceptor's reply to the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Vote<V> {
    Pending,
    Granted(AcceptorState<V>),
    /// The acceptor rejected the request or could not be reached.
    Rejected,
}

/// How often a round restarts immediately with a higher ballot. A proposer that just started knows no ballots
/// and has to restart once or twice. A proposer that is preempted repeatedly yields to its competitor;
/// otherwise neither would succeed.
const MAX_RESTARTS_AFTER_HIGHER_BALLOT: u32 = 3;

/// The lower bits of a ballot. They distinguish its owner from all other owners and from its own previous
/// incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BallotOwner {
    bits: u32,
    value: u64,
}

impl BallotOwner {
    /// `bits` (below 64) is the number of low bits of a ballot that identify its owner. Only that many bits
    /// of `value` are used.
    pub fn new(bits: u32, value: u64) -> BallotOwner {
        BallotOwner {
            bits,
            value: value & ((1 << bits) - 1),
        }
    }

    /// The owner's ballot with the given count.
    pub fn ballot(self, count: u64) -> u64 {
        count << self.bits | self.value
    }

    /// The owner's lowest ballot whose count exceeds that of `ballot`.
    fn next_after(self, ballot: u64) -> u64 {
        self.ballot((ballot >> self.bits) + 1)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RoundState<V> {
    Idle,
    Preparing,
    /// The value was proposed under the current ballot.
    Accepting(V),
}

/// A proposer and its current round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProposerRound<V> {
    owner: BallotOwner,
    /// Indexed by acceptor: its reply to the current request.
    votes: Vec<Vote<V>>,
    state: RoundState<V>,
    /// The current ballot; 0 before the first round.
    ballot: u64,
    highest_ballot_seen: u64,
    /// How often this round restarted after a higher ballot was seen.
    restarts: u32,
}

impl<V: BallotedValue> ProposerRound<V> {
    /// Creates an idle proposer for the given number of acceptors.
    pub fn new(owner: BallotOwner, acceptors: usize) -> ProposerRound<V> {
        ProposerRound {
            owner,
            votes: vec![Vote::Pending; acceptors],
            state: RoundState::Idle,
            ballot: 0,
            highest_ballot_seen: 0,
            restarts: 0,
        }
    }

    /// Whether a round is in progress.
    pub fn in_progress(&self) -> bool {
        self.state != RoundState::Idle
    }

    /// Abandons the round. Replies to it are ignored.
    pub fn stop(&mut self) {
        self.state = RoundState::Idle;
    }

    /// The current ballot; 0 before the first round.
    pub fn ballot(&self) -> u64 {
        self.ballot
    }

    /// Records a ballot; the next round uses a higher one.
    pub fn ballot_seen(&mut self, ballot: u64) {
        self.highest_ballot_seen = self.highest_ballot_seen.max(ballot);
    }

    fn majority(&self) -> usize {
        self.votes.len() / 2 + 1
    }

    /// Starts a round and abandons any round in progress.
    pub fn begin(&mut self, transport: &mut impl ProposerTransport<V>) {
        self.restarts = 0;
        self.send_prepare(transport);
    }

    fn send_prepare(&mut self, transport: &mut impl ProposerTransport<V>) {
        // The owner bits make the ballot unique to this incarnation: requests of a previous incarnation may
        // still be in flight.
        self.ballot = self
            .owner
            .next_after(self.highest_ballot_seen.max(self.ballot));
        self.state = RoundState::Preparing;
        self.votes.fill(Vote::Pending);
        (0..self.votes.len()).for_each(|acceptor| transport.prepare(acceptor, self.ballot));
    }

    /// Sends the request again to each acceptor that has not replied, because the request or its reply may be
    /// lost.
    pub fn retransmit(&self, transport: &mut impl ProposerTransport<V>) {
        let pending = self.votes.iter().enumerate();
        for (acceptor, _) in pending.filter(|(_, vote)| **vote == Vote::Pending) {
            match self.state {
                RoundState::Idle => {}
                RoundState::Preparing => transport.prepare(acceptor, self.ballot),
                RoundState::Accepting(value) => transport.accept(acceptor, value),
            }
        }
    }

    /// Handles an acceptor's reply: whether it granted the request, and its state. Returns the outcome if
    /// this reply ended the round.
    #[must_use]
    pub fn reply_received<R: ProposalRule<V>>(
        &mut self,
        transport: &mut impl ProposerTransport<V>,
        rule: &mut R,
        acceptor: usize,
        reply_to: ReplyTo,
        granted: bool,
        state: AcceptorState<V>,
    ) -> Option<RoundOutcome<V, R::Rejection>> {
        self.ballot_seen(state.promised);
        let vote = if granted {
            Vote::Granted(state)
        } else {
            Vote::Rejected
        };
        self.vote(transport, rule, acceptor, reply_to, vote)
    }

    /// Records that an acceptor could not be reached or did not reply. Returns the outcome if this ended the
    /// round.
    #[must_use]
    pub fn reply_missing<R: ProposalRule<V>>(
        &mut self,
        transport: &mut impl ProposerTransport<V>,
        rule: &mut R,
        acceptor: usize,
        reply_to: ReplyTo,
    ) -> Option<RoundOutcome<V, R::Rejection>> {
        self.vote(transport, rule, acceptor, reply_to, Vote::Rejected)
    }

    /// Records a vote unless it answers an earlier request.
    fn vote<R: ProposalRule<V>>(
        &mut self,
        transport: &mut impl ProposerTransport<V>,
        rule: &mut R,
        acceptor: usize,
        reply_to: ReplyTo,
        vote: Vote<V>,
    ) -> Option<RoundOutcome<V, R::Rejection>> {
        let current_phase = match self.state {
            RoundState::Idle => return None,
            RoundState::Preparing => ProposalPhase::Prepare,
            RoundState::Accepting(_) => ProposalPhase::Accept,
        };
        if reply_to.ballot != self.ballot || reply_to.phase != current_phase {
            return None;
        }
        self.votes[acceptor] = vote;
        self.count_votes(transport, rule)
    }

    fn count_votes<R: ProposalRule<V>>(
        &mut self,
        transport: &mut impl ProposerTransport<V>,
        rule: &mut R,
    ) -> Option<RoundOutcome<V, R::Rejection>> {
        let count = |wanted: fn(&Vote<V>) -> bool| self.votes.iter().filter(|v| wanted(v)).count();
        let granted = count(|vote| matches!(vote, Vote::Granted(_)));
        let pending = count(|vote| *vote == Vote::Pending);
        if granted + pending < self.majority() {
            return self.restart_or_fail(transport);
        }
        if granted < self.majority() {
            return None;
        }
        if let RoundState::Accepting(value) = self.state {
            self.stop();
            return Some(RoundOutcome::Granted(value));
        }
        match rule.propose(self.ballot, self.possibly_chosen()) {
            Ok(value) => {
                self.send_accept(transport, value);
                None
            }
            // Outstanding replies could change which value may have been chosen.
            Err(_) if pending > 0 => None,
            Err(rejection) => {
                self.stop();
                Some(RoundOutcome::Rejected(rejection))
            }
        }
    }

    fn restart_or_fail<R>(
        &mut self,
        transport: &mut impl ProposerTransport<V>,
    ) -> Option<RoundOutcome<V, R>> {
        let preempted = self.highest_ballot_seen > self.ballot;
        if preempted && self.restarts < MAX_RESTARTS_AFTER_HIGHER_BALLOT {
            self.restarts += 1;
            self.send_prepare(transport);
            return None;
        }
        self.stop();
        Some(RoundOutcome::NoMajority)
    }

    fn send_accept(&mut self, transport: &mut impl ProposerTransport<V>, value: V) {
        self.state = RoundState::Accepting(value);
        self.votes.fill(Vote::Pending);
        (0..self.votes.len()).for_each(|acceptor| transport.accept(acceptor, value));
    }

    /// The newest value that a majority may have accepted. An acceptor may have accepted the value without
    /// reporting it if it has since accepted a newer one or has not reported its state.
    fn possibly_chosen(&self) -> Option<V> {
        let reported = || {
            self.votes.iter().filter_map(|vote| match vote {
                Vote::Granted(state) => Some(state.accepted),
                Vote::Pending | Vote::Rejected => None,
            })
        };
        let silent = self.votes.len() - reported().count();
        let possible = |value: &V| {
            let not_older = reported().filter(|other| other.epoch() >= value.epoch());
            not_older.count() + silent >= self.majority()
        };
        reported()
            .filter(|value| value.epoch() > 0 && possible(value))
            .max_by_key(|value| value.epoch())
    }
}
