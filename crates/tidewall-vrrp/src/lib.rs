//! VRRP version 3 (RFC 9568), without I/O.
//!
//! [`Router`] is the state machine of one virtual router: its owner reports events to it and implements
//! [`VrrpActions`]. [`packet`] encodes and decodes advertisements. Names are those of the RFC, whose Active
//! router was called Master in RFC 5798.
//!
//! Differences from the RFC: packets are carried in UDP on loopback, so the hop limit is a field of the
//! packet and the checksum covers no pseudo-header. Any host on the segment could claim to be Active, so each
//! packet ends with a keyed hash, and a sequence number protects against replay.

pub mod packet;
mod router;

pub use router::{Advertisement, ParameterError, Parameters, Router, State, VrrpActions};

/// A duration in whole tenths of a millisecond.
pub type Time = u64;

/// One centisecond, the unit of advertisement intervals.
pub const CENTISECOND: Time = 100;

/// The priority of the owner of the virtual addresses (RFC 9568, 5.2.4).
pub const OWNER_PRIORITY: u8 = 255;

/// The priority that an Active router advertises when it shuts down (RFC 9568, 5.2.4).
pub const SHUTDOWN_PRIORITY: u8 = 0;

/// The longest advertisement interval in centiseconds: the packet's field has twelve bits (RFC 9568, 5.2.7).
pub const MAX_INTERVAL: u16 = 0x0fff;
