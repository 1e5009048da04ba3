//! What one worker keeps for a pair: the highest ballot that it was asked with, and the claim that it accepted
//! last. It must survive the worker's restart, or two majorities might not meet.

/// A claim to serve. Epochs are ballots: a count, then the life and the member that use it, so no two ever use the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    pub epoch: u64,
    /// Member 0 or 1.
    pub member: usize,
    /// The lives of both members that hold all that there is to know; 0 for one that does not.
    pub sync: [u64; 2],
    /// The other member's launches with an older epoch are refused.
    pub floor: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Promise {
    pub promised: u64,
    pub accepted: Claim,
}

impl Promise {
    /// Whoever asks with this ballot hears what was accepted; older ballots are refused from now on.
    pub fn prepare(&mut self, ballot: u64) -> bool {
        let good = ballot > self.promised;
        self.promised = self.promised.max(ballot);
        good
    }

    /// The same claim may come twice.
    pub fn accept(&mut self, claim: Claim) -> bool {
        let good = claim.epoch >= self.promised && claim.epoch > 0;
        if good {
            (self.promised, self.accepted) = (claim.epoch, claim);
        }
        good
    }

    /// Whether a launch or an order of that member, sent under that epoch, may be taken.
    pub fn may(&self, member: usize, epoch: u64) -> bool {
        self.accepted.epoch == 0 || member == self.accepted.member || epoch >= self.accepted.floor
    }

    /// Whether what that member has out here must end: it was accepted that the other serves alone.
    pub fn ends(&self, member: usize) -> bool {
        self.accepted.epoch > 0
            && member != self.accepted.member
            && self.accepted.floor == self.accepted.epoch
    }
}
