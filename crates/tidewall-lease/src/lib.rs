//! Leave to act, without I/O and without a clock. `round` is how leave is got from a majority of voters, `promise` what one
//! voter keeps; a pair's seat and the fleet's leases are both built on them. `keeper` answers for the fleet's leases,
//! `holder` claims, renews and gives them back, `share` says who should hold what.
pub mod holder;
pub mod keeper;
pub mod lease;
pub mod promise;
pub mod round;
pub mod share;

/// Whole tenths of a millisecond.
pub type Time = u64;

/// Guards that can be left out, only to show which net notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A keeper is silent for a term after its start.
    pub quiet: bool,
    /// A term is shortened by what clocks may differ, and by a ticket's age.
    pub shortened: bool,
    /// Leave counts from its asking.
    pub from_asking: bool,
    /// A keeper counts once for each asking.
    pub once: bool,
    /// A datagram that came before is refused.
    pub numbers: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            quiet: true,
            shortened: true,
            from_asking: true,
            once: true,
            numbers: true,
        }
    }
}
