//! One Paxos proposer (Lamport, "Paxos Made Simple", 2001). Phase 1 (prepare): acceptors promise to reject lower ballots and
//! report the value that they accepted last. Phase 2 (accept): they accept the proposed value. Two majorities share an
//! acceptor, so whoever proposes next learns of any value that might have been granted before. What may be proposed in
//! view of it is decided by a [`ProposalRule`]: failover of a pair and the fleet's leases differ there alone.
//!
//! Without I/O: requests go out through a [`ProposerTransport`], replies come in by [`ProposerRound::reply_received`].
use crate::acceptor::{AcceptorState, BallotedValue};

/// Sends requests to acceptors, which are numbered from 0.
pub trait ProposerTransport<V> {
    /// Phase 1 request.
    fn prepare(&mut self, acceptor: usize, ballot: u64);
    /// Phase 2 request; the ballot is the value's epoch.
    fn accept(&mut self, acceptor: usize, value: V);
}

/// Decides what is proposed.
pub trait ProposalRule<V> {
    /// Why nothing may be proposed.
    type Rejection;
    /// The value to propose under this ballot, given the newest value that a majority may have accepted before.
    fn propose(&mut self, ballot: u64, accepted: Option<V>) -> Result<V, Self::Rejection>;
}

/// How a round ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RoundOutcome<V, R> {
    /// A majority accepted this value.
    Granted(V),
    /// The rule allows no proposal, whatever the acceptors that did not reply yet may report.
    Rejected(R),
    /// Too many acceptors rejected the ballot or could not be reached.
    NoMajority,
}

/// Which of the two requests a reply answers.
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

/// What an acceptor replied to the request that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Vote<V> {
    Pending,
    Granted(AcceptorState<V>),
    /// Rejected by the acceptor, or it could not be reached.
    Rejected,
}

/// So often a round starts over at once with a higher ballot. A proposer that just started knows no ballots and needs to do so
/// once or twice; one that is outbid time and again makes way for its competitor, or neither would succeed.
const MAX_RESTARTS_AFTER_HIGHER_BALLOT: u32 = 3;

/// The lower bits of a ballot, by which its user differs from all others and from its own former incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BallotOwner {
    bits: u32,
    value: u64,
}

impl BallotOwner {
    /// `bits` (below 64) are the lower bits of a ballot that belong to its owner; of `value` only these are used.
    pub fn new(bits: u32, value: u64) -> BallotOwner {
        BallotOwner {
            bits,
            value: value & ((1 << bits) - 1),
        }
    }

    /// The owner's ballot with that count.
    pub fn ballot(self, count: u64) -> u64 {
        count << self.bits | self.value
    }

    /// The owner's lowest ballot above all others with the count of `ballot`.
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
    /// By acceptor: its reply to the request that is under way.
    votes: Vec<Vote<V>>,
    state: RoundState<V>,
    /// The current ballot; 0 before the first round.
    ballot: u64,
    highest_ballot_seen: u64,
    /// How often this round started over after a higher ballot was seen.
    restarts: u32,
}

impl<V: BallotedValue> ProposerRound<V> {
    /// An idle proposer before that many acceptors.
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

    /// Whether a round is under way.
    pub fn in_progress(&self) -> bool {
        self.state != RoundState::Idle
    }

    /// Abandons the round; replies to it are ignored.
    pub fn stop(&mut self) {
        self.state = RoundState::Idle;
    }

    /// The current ballot; 0 before the first round.
    pub fn ballot(&self) -> u64 {
        self.ballot
    }

    /// The next round uses a ballot above this one as well.
    pub fn ballot_seen(&mut self, ballot: u64) {
        self.highest_ballot_seen = self.highest_ballot_seen.max(ballot);
    }

    fn majority(&self) -> usize {
        self.votes.len() / 2 + 1
    }

    /// Starts a round; one that is under way is abandoned.
    pub fn begin(&mut self, transport: &mut impl ProposerTransport<V>) {
        self.restarts = 0;
        self.send_prepare(transport);
    }

    fn send_prepare(&mut self, transport: &mut impl ProposerTransport<V>) {
        // Its owner bits make the ballot this incarnation's own: requests of a former one may still be on their way.
        self.ballot = self
            .owner
            .next_after(self.highest_ballot_seen.max(self.ballot));
        self.state = RoundState::Preparing;
        self.votes.fill(Vote::Pending);
        (0..self.votes.len()).for_each(|acceptor| transport.prepare(acceptor, self.ballot));
    }

    /// Sends the request once more to each acceptor that did not reply: the request or its reply may be lost.
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

    /// An acceptor's reply: whether it granted the request, and its state. Gives the outcome where the round ended by it.
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

    /// An acceptor cannot be reached, or did not reply. Gives the outcome where the round ended by it.
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

    /// Notes a vote, unless it answers an earlier request.
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
            // Replies that are still to come could change what may have been chosen.
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
        let outbid = self.highest_ballot_seen > self.ballot;
        if outbid && self.restarts < MAX_RESTARTS_AFTER_HIGHER_BALLOT {
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

    /// The newest value that a majority may have accepted. An acceptor that by now has accepted a newer value, or did not
    /// reply, may have accepted it.
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
