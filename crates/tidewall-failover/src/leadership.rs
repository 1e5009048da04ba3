//! The state that a voter (a worker) stores for a pair of gateways: the highest ballot that it promised, and
//! the leadership that it accepted last (Lamport, "Paxos Made Simple", 2001). Both must survive a restart of
//! the voter; otherwise the voter that two majorities share might no longer know what it promised or
//! accepted.

use tidewall_lease::acceptor::BallotedValue;

/// A proposal to become the active member. Once a majority of voters has accepted it, it is the permission to
/// serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// The ballot under which it was proposed: a round number, followed by bits of the proposer's incarnation
    /// and member number, so that no two proposals share a ballot. 0: no leadership.
    pub epoch: u64,
    /// The member that serves, 0 or 1.
    pub member: usize,
    /// By member: its incarnation that holds all state in flight, or 0 if it does not hold all of it.
    pub synced_incarnations: [u64; 2],
    /// Calls of the other member under an epoch below this one are rejected.
    pub fencing_floor: u64,
}

impl BallotedValue for Leadership {
    fn epoch(&self) -> u64 {
        self.epoch
    }
}

/// The state that a voter stores.
pub type LeadershipAcceptor = tidewall_lease::acceptor::AcceptorState<Leadership>;

/// Decisions of a worker that depend on the leadership that it accepted last.
pub trait Fencing {
    /// Whether a call or a load request of `member`, sent under `epoch`, may be executed.
    fn permits(&self, member: usize, epoch: u64) -> bool;
    /// Whether the worker must abort the calls of `member` that are in flight, because the other member
    /// serves alone.
    fn must_abort(&self, member: usize) -> bool;
}

impl Fencing for LeadershipAcceptor {
    fn permits(&self, member: usize, epoch: u64) -> bool {
        self.accepted.epoch == 0
            || member == self.accepted.member
            || epoch >= self.accepted.fencing_floor
    }

    fn must_abort(&self, member: usize) -> bool {
        self.accepted.epoch > 0
            && member != self.accepted.member
            && self.accepted.fencing_floor == self.accepted.epoch
    }
}
