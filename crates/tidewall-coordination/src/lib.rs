//! Coordination of the gateways of a site, carried by two tasks (threads) beside a gateway's loop. Each owns its sockets and its
//! state; they talk by messages over bounded mailboxes and never wait for each other.
//!
//! - [`lease_task`] follows the membership (SWIM) and claims, renews, grants and hands over leases of tasks.
//! - [`executor_task`] carries out the effects of the tasks whose leases are held here, at the workers.
//! - [`effect_scheduler`] decides when an effect is due and when execution has stopped, without I/O and clock.
//! - [`codec`] and [`replay_window`] are the datagrams between members, [`mailbox`] the channels, [`config`] the settings, and
//!   [`counters`] the metrics.
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

/// A second, as a [`Time`].
pub(crate) const SECOND: Time = 10_000;

/// The only timer of either task.
pub(crate) const TICK_TIMER: u64 = 1;
