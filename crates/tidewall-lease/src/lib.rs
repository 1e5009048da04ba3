//! Leases granted by a majority of grantors. This crate does no I/O and reads no clock.
//!
//! A task is a unit of work that at most one gateway may perform at a time; it is leased to one member. To
//! get a lease, the member acts as a Paxos proposer ([`proposer`]): a majority of grantors promises its
//! ballot, then the same or another majority accepts its lease ([`grantor`], which is built on [`acceptor`]).
//! Until the lease expires, its grantors make no promise to other members. The holder renews the lease by
//! having it accepted again ([`lease`]; [`holder`] manages all tasks of a member). The ballot of the lease is
//! its epoch and serves as a fencing token: a worker rejects effects whose epoch is lower than one it has
//! seen. [`assignment`] determines which member should request which task.
//!
//! Failover of a pair of gateways uses only [`proposer`] and [`acceptor`], with its own rule for what may be
//! proposed.
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

/// A time or duration in whole tenths of a millisecond, measured by a monotonic clock.
pub type Time = u64;

/// Safety checks of the protocol. All are enabled in production. Tests disable them one at a time to show
/// that the resulting violation is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SafetyChecks {
    /// A grantor answers no request for one lease duration after its start, because it has lost the record of
    /// what it granted before.
    pub silent_start: bool,
    /// A holder uses a lease for less than the lease duration: the difference allows for clock error and for
    /// the maximum age of a permit.
    pub shortened_lease: bool,
    /// The lease runs from the time its request was sent, not from the time the reply arrived.
    pub counts_from_request: bool,
    /// Only one reply of each grantor counts per request.
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
