//! The decisions of two gateways that share one address, without I/O and without a clock.
//!
//! One gateway is active and serves clients; the other one is its standby and holds a replica of what is in flight.
//! VRRP says which gateway the address points at; a majority of workers, the voters, says which one may serve.
//!
//! | module | what it decides |
//! | --- | --- |
//! | [`leadership`] | what a voter stores, and which calls it fences |
//! | [`proposal`] | how a gateway is granted leadership by a majority of voters |
//! | [`role`] | the role state machine: active, standby, and the steps between |
//! | [`recovery`] | what a new active gateway does with the requests of the former one |
//! | [`deduplication`] | what became of requests with an idempotency key |
//! | [`load_request_limit`] | the rate limit of load requests, across a takeover |
//! | [`flap_damping`] | the backoff of a gateway that keeps losing leadership |
//!
//! The members of a pair are numbered 0 and 1. An *incarnation* numbers one run of a member's process; it rises with
//! each start.

pub mod deduplication;
pub mod flap_damping;
pub mod leadership;
pub mod load_request_limit;
pub mod proposal;
pub mod recovery;
pub mod role;

/// A time or a duration in whole tenths of a millisecond. Times count from any fixed origin: the caller's clock only has
/// to be monotonic.
pub type Time = u64;
