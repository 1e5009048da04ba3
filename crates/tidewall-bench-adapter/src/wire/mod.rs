//! The simulator's wire: lines of text, a name and `name=value` fields. Its words stand here and nowhere else; the rest
//! of the program knows them by the scheduler's terms.
//!
//! Times on the wire are decimal milliseconds; in the program they are whole tenths of a millisecond.
mod commands;
mod events;
mod fields;
mod lines;

pub use commands::{push_batch_end, scheduler_panicked, CommandBuffer};
pub use events::*;
pub use fields::Fields;
pub use lines::*;

/// Field that names the gateway of an event or a command.
pub const GATEWAY: &str = "gateway-id";
/// Field that stands for a gateway's settings in messages.
pub const SETTINGS: &str = "profile-data";
