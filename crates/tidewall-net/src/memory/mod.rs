//! [`Net`](crate::Net) on a simulated network: all nodes run on one virtual clock. Events are ordered by
//! time, and at the same time by the order in which they were scheduled, so that runs with the same seed are
//! identical.
//!
//! Streams may be delivered in segments of any size. Nodes can stall, die and restart, and their clocks may
//! run at different rates. Messages from one node to another follow a [`Path`], which may be slow, lossy or
//! partitioned; each direction has its own.
//!
//! | Module | Contents |
//! |---|---|
//! | `world` | the network's state and its scheduled events |
//! | `event` | the kinds of events |
//! | `path` | latency, loss, duplication, partitions, taps |
//! | `node`, `endpoint` | the state of a process, and of one side of a connection |
//! | `handle` | a node's `Net`, and fault injection |
//! | `scheduler` | selection of the next event or timer |
//! | `delivery` | the effects of events |
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
