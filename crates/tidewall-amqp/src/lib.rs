//! AMQP 0-9-1 (the published specification of 2008-11-13) as a machine without I/O: bytes and times go in, calls
//! come out through `Outside`. `codec` knows the frames, `server` connections and channels, `broker` exchanges,
//! queues and consumers, `topic` the matching of routing keys. What a publish to the trigger exchange means is
//! the door's matter.
pub mod broker;
pub mod codec;
pub mod server;
pub mod topic;

/// Whole tenths of a millisecond.
pub type Time = u64;

/// An exception as the specification names it: reply code, text, and the method that met it. Whether it ends the
/// channel or the connection follows from the code (section 1.2 of the specification).
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub code: u16,
    pub text: String,
    pub class: u16,
    pub method: u16,
}

/// The reply codes of the specification's section 1.2 that are met here.
pub mod code {
    pub const CONTENT_TOO_LARGE: u16 = 311;
    pub const NO_ROUTE: u16 = 312;
    pub const CONNECTION_FORCED: u16 = 320;
    pub const ACCESS_REFUSED: u16 = 403;
    pub const NOT_FOUND: u16 = 404;
    pub const RESOURCE_LOCKED: u16 = 405;
    pub const PRECONDITION_FAILED: u16 = 406;
    pub const FRAME_ERROR: u16 = 501;
    pub const SYNTAX_ERROR: u16 = 502;
    pub const COMMAND_INVALID: u16 = 503;
    pub const CHANNEL_ERROR: u16 = 504;
    pub const UNEXPECTED_FRAME: u16 = 505;
    pub const RESOURCE_ERROR: u16 = 506;
    pub const NOT_ALLOWED: u16 = 530;
    pub const NOT_IMPLEMENTED: u16 = 540;
    pub const INTERNAL_ERROR: u16 = 541;
}

impl Fault {
    pub fn new(code: u16, text: impl Into<String>) -> Fault {
        Fault {
            code,
            text: text.into(),
            class: 0,
            method: 0,
        }
    }

    /// Soft errors end their channel, all others the connection.
    pub fn soft(&self) -> bool {
        matches!(
            self.code,
            code::CONTENT_TOO_LARGE
                | code::NO_ROUTE
                | code::ACCESS_REFUSED
                | code::NOT_FOUND
                | code::RESOURCE_LOCKED
                | code::PRECONDITION_FAILED
        )
    }
}
