//! What one voter (a worker) stores for a pair of gateways: the highest ballot that it promised, and the leadership that
//! it accepted last (Lamport, "Paxos Made Simple", 2001). Both must survive a restart of the voter, or two majorities
//! might not intersect.

use tidewall_lease::acceptor::BallotedValue;

/// A proposal to be the active member, and once a majority of voters accepted it, the permission to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// The ballot under which it was proposed: a round, then the incarnation and the member that use it, so that no two
    /// proposals share one. 0: none.
    pub epoch: u64,
    /// The member that serves, 0 or 1.
    pub member: usize,
    /// The incarnation of each member that holds all state in flight; 0 for a member that does not.
    pub synced_incarnations: [u64; 2],
    /// Calls of the other member under an epoch below this one are rejected.
    pub fencing_floor: u64,
}

impl BallotedValue for Leadership {
    fn epoch(&self) -> u64 {
        self.epoch
    }
}

/// What a voter stores.
pub type LeadershipAcceptor = tidewall_lease::acceptor::AcceptorState<Leadership>;

/// What a worker decides by the leadership that it accepted last.
pub trait Fencing {
    /// Whether a call or a load request of `member`, sent under `epoch`, may be executed.
    fn permits(&self, member: usize, epoch: u64) -> bool;
    /// Whether the calls of `member` that are in flight here must be aborted: the other member serves alone.
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
