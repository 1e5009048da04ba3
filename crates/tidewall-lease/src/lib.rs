//! Leave to act, without I/O and without a clock. `proposer` is how leave is got from a majority of voters, `acceptor` what one
//! voter keeps; a pair's seat and the fleet's leases are both built on them. `grantor` answers for the fleet's leases,
//! `holder` claims, renews and gives them back, `assignment` says who should hold what.
pub mod acceptor;
pub mod assignment;
pub mod grantor;
pub mod holder;
pub mod lease;
pub mod proposer;

/// Whole tenths of a millisecond.
pub type Time = u64;

/// Guards that can be left out, only to show which net notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SafetyChecks {
    /// A keeper is silent for a term after its start.
    pub silent_start: bool,
    /// A term is shortened by what clocks may differ, and by a ticket's age.
    pub shortened_lease: bool,
    /// Leave counts from its asking.
    pub counts_from_request: bool,
    /// A keeper counts once for each asking.
    pub one_vote_per_grantor: bool,
    /// A datagram that came before is refused.
    pub replay_protection: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks {
            silent_start: true,
            shortened_lease: true,
            counts_from_request: true,
            one_vote_per_grantor: true,
            replay_protection: true,
        }
    }
}
