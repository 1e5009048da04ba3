//! Coordination of the gateways of a site. Two tasks (threads) run beside a gateway's event loop. Each owns
//! its sockets and its state; they communicate through bounded mailboxes and never wait for each other.
//!
//! - [`lease_task`] runs the membership protocol (SWIM) and claims, renews, grants and hands over leases of
//!   tasks.
//! - [`executor_task`] executes, at the workers, the effects of the tasks whose leases this member holds.
//! - [`effect_scheduler`] decides when an effect is due and when execution has stopped. It does no I/O and
//!   reads no clock.
//! - [`codec`] and [`replay_window`] handle the datagrams between members, [`mailbox`] the channels,
//!   [`config`] the settings, and [`counters`] the metrics.
pub mod codec;
pub mod config;
pub mod counters;
pub mod effect_scheduler;
pub mod executor_task;
pub mod lease_task;
pub mod mailbox;
pub mod replay_window;

#[cfg(all(test, shuttle))]
mod orderings_tests;

/// A time of the node's clock or a duration, in whole tenths of a millisecond.
pub type Time = u64;

/// One second as a [`Time`].
pub(crate) const SECOND: Time = 10_000;

/// The id of the only timer of each task.
pub(crate) const TICK_TIMER: u64 = 1;
