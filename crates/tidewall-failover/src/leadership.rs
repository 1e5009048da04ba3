//! What one worker keeps for a pair: the highest ballot that it was asked with, and the claim that it accepted
//! last. It must survive the worker's restart, or two majorities might not meet.
use tidewall_lease::acceptor::BallotedValue;

/// A claim to serve. Epochs are ballots: a count, then the life and the member that use it, so no two ever use the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    pub epoch: u64,
    /// Member 0 or 1.
    pub member: usize,
    /// The lives of both members that hold all that there is to know; 0 for one that does not.
    pub synced_incarnations: [u64; 2],
    /// The other member's launches with an older epoch are refused.
    pub fencing_floor: u64,
}

impl BallotedValue for Leadership {
    fn epoch(&self) -> u64 {
        self.epoch
    }
}

pub type LeadershipAcceptor = tidewall_lease::acceptor::AcceptorState<Leadership>;

/// What a worker asks of its promise.
pub trait Fencing {
    /// Whether a launch or an order of that member, sent under that epoch, may be taken.
    fn permits(&self, member: usize, epoch: u64) -> bool;
    /// Whether what that member has out here must end: it was accepted that the other serves alone.
    fn must_end(&self, member: usize) -> bool;
}

impl Fencing for LeadershipAcceptor {
    fn permits(&self, member: usize, epoch: u64) -> bool {
        self.accepted.epoch == 0
            || member == self.accepted.member
            || epoch >= self.accepted.fencing_floor
    }

    fn must_end(&self, member: usize) -> bool {
        self.accepted.epoch > 0
            && member != self.accepted.member
            && self.accepted.fencing_floor == self.accepted.epoch
    }
}
