//! Leases granted by a majority, without I/O and without a clock.
//!
//! A task (a unit of work that at most one gateway may perform at a time) is leased to one member. The member acts as a
//! Paxos proposer ([`proposer`]): it gets the promise of a majority of grantors for its ballot, then has the same or another
//! majority accept its lease ([`grantor`], on [`acceptor`]). Until the lease expires, grantors promise nothing to others,
//! and the holder renews by having the same lease accepted again ([`lease`]; [`holder`] for all tasks of a member). The
//! ballot of the lease is its epoch, a fencing token: workers reject effects of an older epoch than one they have seen.
//! [`assignment`] says which member should request which task.
//!
//! Failover of a pair of gateways uses [`proposer`] and [`acceptor`] alone, with its own rule of what may be proposed.
pub mod acceptor;
pub mod assignment;
pub mod ballot;
mod claim;
pub mod duration;
pub mod grantor;
pub mod holder;
pub mod lease;
pub mod proposer;
mod renewal;

/// A time or duration in whole tenths of a millisecond, by a monotonic clock.
pub type Time = u64;

/// Protections of the protocol. All are on in service; each can be left out to show which test notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SafetyChecks {
    /// A grantor answers nothing for one lease duration after its start, as it forgot what it granted before.
    pub silent_start: bool,
    /// A holder uses less than the lease duration, by what clocks may differ and by the age that a permit may reach.
    pub shortened_lease: bool,
    /// A lease counts from when it was requested, not from when the reply arrived.
    pub counts_from_request: bool,
    /// Of one grantor a single reply counts for each request.
    pub one_vote_per_grantor: bool,
    /// A datagram that was received before is rejected.
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
