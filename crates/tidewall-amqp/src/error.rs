//! Exceptions as section 1.2 of the specification defines them.
use crate::codec::MethodId;

/// An AMQP exception, with the arguments of the `connection.close` or `channel.close` that reports it. The
/// reply code decides which of the two is sent (see [`ProtocolError::closes_only_channel`]).
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{reply_code} {reply_text} (class {class}, method {method})")]
pub struct ProtocolError {
    /// One of the constants in [`reply_code`].
    pub reply_code: u16,
    /// Sent to the client unchanged, but at most 255 octets of it.
    pub reply_text: String,
    /// Class of the method that caused the exception, or 0 if none did.
    pub class: u16,
    /// Number of that method within its class, or 0.
    pub method: u16,
}

/// The reply codes of section 1.2 that the server uses.
pub mod reply_code {
    /// The body is larger than the server accepts. Closes the channel.
    pub const CONTENT_TOO_LARGE: u16 = 311;
    /// A mandatory message was routed to no queue; sent with `basic.return`.
    pub const NO_ROUTE: u16 = 312;
    /// An operator closed the connection.
    pub const CONNECTION_FORCED: u16 = 320;
    /// The client has no permission: a refused login, a reserved name, an exclusive consumer. Closes the
    /// channel.
    pub const ACCESS_REFUSED: u16 = 403;
    /// The exchange or queue does not exist. Closes the channel.
    pub const NOT_FOUND: u16 = 404;
    /// The queue is exclusive to another connection. Closes the channel.
    pub const RESOURCE_LOCKED: u16 = 405;
    /// An argument or property that is invalid or does not fit what exists. Closes the channel.
    pub const PRECONDITION_FAILED: u16 = 406;
    /// A frame that cannot be decoded. Closes the connection.
    pub const FRAME_ERROR: u16 = 501;
    /// Arguments or a field table that cannot be decoded. Closes the connection.
    pub const SYNTAX_ERROR: u16 = 502;
    /// An unknown method, or one that is not allowed at this point. Closes the connection.
    pub const COMMAND_INVALID: u16 = 503;
    /// The channel is not open, already open, or out of range. Closes the connection.
    pub const CHANNEL_ERROR: u16 = 504;
    /// A frame that is not expected at this point, such as a body without a header. Closes the connection.
    pub const UNEXPECTED_FRAME: u16 = 505;
    /// The queues are full. Closes the connection. Also sent with `basic.return` for a request that was
    /// rejected or refused.
    pub const RESOURCE_ERROR: u16 = 506;
    /// The virtual host does not exist, or the consumer tag is in use. Closes the connection.
    pub const NOT_ALLOWED: u16 = 530;
    /// A feature of the specification that this server does not implement. Closes the connection.
    pub const NOT_IMPLEMENTED: u16 = 540;
    /// A request failed; sent with `basic.return`.
    pub const INTERNAL_ERROR: u16 = 541;
}

impl ProtocolError {
    /// An exception without a method.
    pub fn new(reply_code: u16, reply_text: impl Into<String>) -> ProtocolError {
        ProtocolError {
            reply_code,
            reply_text: reply_text.into(),
            class: 0,
            method: 0,
        }
    }

    /// The same exception, caused by this method.
    #[must_use]
    pub fn in_method(self, id: MethodId) -> ProtocolError {
        ProtocolError {
            class: id.class,
            method: id.method,
            ..self
        }
    }

    /// True for a channel exception ("soft error"); every other code closes the connection.
    pub fn closes_only_channel(&self) -> bool {
        matches!(
            self.reply_code,
            reply_code::CONTENT_TOO_LARGE
                | reply_code::NO_ROUTE
                | reply_code::ACCESS_REFUSED
                | reply_code::NOT_FOUND
                | reply_code::RESOURCE_LOCKED
                | reply_code::PRECONDITION_FAILED
        )
    }
}
