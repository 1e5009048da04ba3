//! What the gateways hold in common, carried by tasks (threads) beside a gateway's loop: each owns its sockets and state and
//! talks by messages over bounded channels. `lease_task` follows the members and claims, renews and grants leases; `executor_task` does
//! for each task held here what it is due, at the worker where it takes effect. `effect_scheduler` decides that without I/O and clock,
//! `codec` is the datagrams between members, `mailbox` the channels, `counters` what is counted.
pub mod codec;
pub mod config;
pub mod counters;
pub mod effect_scheduler;
pub mod executor_task;
pub mod lease_task;
pub mod mailbox;

/// Whole tenths of a millisecond.
pub type Time = u64;

#[cfg(all(test, shuttle))]
mod orderings_tests;
