//! What one voter keeps of a matter: the highest ballot that it was asked with, and the claim that it accepted last.

/// What voters accept. Epochs are ballots, so no two claims ever use the same.
pub trait BallotedValue: Copy + PartialEq + Default {
    /// 0: nothing was ever said.
    fn epoch(&self) -> u64;
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct AcceptorState<C> {
    pub promised: u64,
    pub accepted: C,
}

impl<C: BallotedValue> AcceptorState<C> {
    /// Whoever asks with this ballot hears what was accepted; older ballots are refused from now on.
    pub fn prepare(&mut self, ballot: u64) -> bool {
        let good = ballot > self.promised;
        self.promised = self.promised.max(ballot);
        good
    }

    /// The same claim may come twice.
    pub fn accept(&mut self, claim: C) -> bool {
        let good = claim.epoch() >= self.promised && claim.epoch() > 0;
        if good {
            (self.promised, self.accepted) = (claim.epoch(), claim);
        }
        good
    }
}
