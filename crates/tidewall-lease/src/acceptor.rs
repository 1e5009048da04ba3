//! The state of one Paxos acceptor (Lamport, "Paxos Made Simple", 2001): the highest ballot that it promised,
//! and the value that it last accepted.

/// A value that acceptors vote on. It carries the ballot under which it was proposed. Ballots are unique, so
/// no two proposals carry the same one.
pub trait BallotedValue: Copy + PartialEq + Default {
    /// The ballot under which the value was proposed; 0 if no value was ever accepted.
    fn epoch(&self) -> u64;
}

/// The state of one acceptor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct AcceptorState<V> {
    /// The highest ballot promised. Lower ballots are rejected.
    pub promised: u64,
    /// The value accepted last. Its epoch is 0 if there is none.
    pub accepted: V,
}

impl<V: BallotedValue> AcceptorState<V> {
    /// Phase 1: promises to reject all ballots below this one, and returns whether the promise was given. A
    /// ballot that does not exceed every ballot promised before gets no promise, so that two proposers with
    /// the same ballot cannot both proceed.
    #[must_use]
    pub fn prepare(&mut self, ballot: u64) -> bool {
        let granted = ballot > self.promised;
        self.promised = self.promised.max(ballot);
        granted
    }

    /// Phase 2: accepts the value unless a higher ballot was promised. A repeated request is accepted again,
    /// so a proposer may retransmit it.
    #[must_use]
    pub fn accept(&mut self, value: V) -> bool {
        let granted = value.epoch() >= self.promised && value.epoch() > 0;
        if granted {
            (self.promised, self.accepted) = (value.epoch(), value);
        }
        granted
    }
}
