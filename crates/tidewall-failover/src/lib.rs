//! Failover logic for two gateways that share one address. It performs no I/O and reads no clock.
//!
//! One gateway is active and serves clients; the other one is its standby and holds a replica of the requests
//! in flight. VRRP selects the gateway that the address points at; a majority of the voters, which are
//! workers, grants one gateway the permission to serve.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`leadership`] | the state that a voter stores, and which calls it fences |
//! | [`proposal`] | how a gateway obtains leadership from a majority of voters |
//! | [`role`] | the role state machine: active, standby, and the transitions between them |
//! | [`recovery`] | what a new active gateway does with the requests in flight of the former one |
//! | [`deduplication`] | the state or response of each request with an idempotency key |
//! | [`load_request_limit`] | the rate limit of load requests, continued across a takeover |
//! | [`flap_damping`] | the backoff of a gateway that repeatedly loses leadership |
//!
//! The members of a pair are numbered 0 and 1. An *incarnation* identifies one run of a member's process; its
//! number rises with each start.

pub mod deduplication;
pub mod flap_damping;
pub mod leadership;
pub mod load_request_limit;
pub mod proposal;
pub mod recovery;
pub mod role;

/// A time or a duration in whole tenths of a millisecond. The origin of times is arbitrary but fixed: the
/// caller's clock only has to be monotonic.
pub type Time = u64;
