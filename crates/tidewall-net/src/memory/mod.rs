//! [`Net`](crate::Net) on a simulated network: nodes under one virtual clock. Events are ordered by time and then by
//! the order of their causes, so a run with the same seed is the same every time.
//!
//! Streams may be delivered in segments of any size; nodes can stall, die and restart, and have clocks of their own
//! rate. Messages from one node to another go by a [`Path`], which may be slow, lossy or partitioned, each direction
//! for itself.
//!
//! | Module | Concern |
//! |---|---|
//! | `world` | the network's state and the schedule of events |
//! | `event` | what can be scheduled |
//! | `path` | latency, loss, duplication, partition, taps |
//! | `node`, `endpoint` | state of a process, and of one side of a connection |
//! | `handle` | a node's `Net`, and faults of nodes |
//! | `scheduler` | which event or timer is next |
//! | `delivery` | what an event does |
mod delivery;
mod endpoint;
mod event;
mod handle;
mod node;
mod path;
mod scheduler;
mod world;

pub use handle::Memory;
pub use path::{Path, Tap, Tapped};
pub use scheduler::{current_step, run, step, Apps, CurrentStep};
pub use world::{world, World};
