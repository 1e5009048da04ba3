//! VRRP version 3 (RFC 9568), without I/O.
//!
//! [`Router`] is the state machine of one virtual router: its owner reports events and carries out [`VrrpActions`].
//! [`packet`] encodes and decodes advertisements. Names are the RFC's; its Active router is the one that RFC 5798 called
//! Master.
//!
//! What differs from the RFC: packets are carried in UDP on loopback, so the hop limit is a field of the packet and the
//! checksum covers no pseudo-header; and since any host on a segment could claim to be Active, each packet ends in a keyed
//! hash with a sequence number against replay.

pub mod packet;
mod router;

pub use router::{Advertisement, ParameterError, Parameters, Router, State, VrrpActions};

/// A duration in whole tenths of a millisecond.
pub type Time = u64;

/// One centisecond, the unit of advertisement intervals.
pub const CENTISECOND: Time = 100;

/// The priority of the owner of the virtual addresses (RFC 9568, 5.2.4).
pub const OWNER_PRIORITY: u8 = 255;

/// The priority by which an Active router reports that it shuts down (RFC 9568, 5.2.4).
pub const SHUTDOWN_PRIORITY: u8 = 0;

/// The longest advertisement interval in centiseconds: the packet's field has twelve bits (RFC 9568, 5.2.7).
pub const MAX_INTERVAL: u16 = 0x0fff;
