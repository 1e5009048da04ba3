//! AMQP 0-9-1 (the published specification of 2008-11-13) without I/O: the caller passes bytes and times in,
//! and the server acts through calls of [`server::ServerActions`]. `codec` decodes and encodes frames,
//! `server` holds connections and channels, `virtual_host` exchanges, queues and consumers, `topic` matches
//! routing keys. The caller decides what becomes of a publish to the trigger exchange. Section numbers in
//! comments are those of the specification.
pub mod codec;
mod error;
pub mod server;
pub mod topic;
pub mod virtual_host;

pub use error::{reply_code, ProtocolError};

/// A point in time or a duration in whole tenths of a millisecond; points in time count from an arbitrary
/// fixed start.
pub type Time = u64;

/// [`Time`] units of one second.
pub const SECOND: Time = 10_000;

/// [`Time`] units of one millisecond.
pub const MILLISECOND: Time = 10;
