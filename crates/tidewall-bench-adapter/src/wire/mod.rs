//! The simulator's line protocol: each line consists of a name and `name=value` fields. The
//! protocol's own terms appear only in this module; the rest of the program uses the scheduler's
//! terms.
//!
//! Times on the wire are decimal milliseconds; in the program they are whole tenths of a
//! millisecond.
mod commands;
mod events;
mod fields;
mod lines;

pub use commands::{push_batch_end, scheduler_panicked, CommandBuffer};
pub use events::*;
pub use fields::Fields;
pub use lines::*;

/// Field with the name of the gateway that an event or command belongs to.
pub const GATEWAY: &str = "gateway-id";
/// Name that stands for a gateway's settings in error messages.
pub const SETTINGS: &str = "profile-data";
