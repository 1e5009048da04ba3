//! Errors of the platform's ingress, worker protocol and configuration. Their messages go to
//! clients, to the log and, at startup, to the operator.
use std::io;
use thiserror::Error;
use tidewall_platform::client_command::{CallError, CommandError};
use tidewall_platform::config::ConfigError;

/// Maximum length in bytes of a datagram between gateways, from the platform's specification.
pub(crate) const MAX_DATAGRAM: usize = 256;

/// Why a client's connection is closed. The client gets the message first.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConnectionError {
    /// The client sent something other than a command.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// A call's tag was used by an earlier call on the connection. It would be unclear which of two
    /// calls with the same tag a reply is for.
    #[error("tag: used before")]
    TagReused,
}

/// Why a call fails before it is admitted. Other calls on its connection are not affected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidCall {
    /// The fields of the call are invalid.
    #[error(transparent)]
    Fields(#[from] CallError),
    /// The class is not in the settings. Holds its name, made printable.
    #[error("event type: '{0}'")]
    UnknownClass(String),
    /// The tenant is not in the settings, or the call has no tenant although the settings list
    /// some.
    #[error("field customer: unknown")]
    UnknownTenant,
    /// The class requires an idempotency key, and the call has none.
    #[error("field nonce: missing")]
    IdempotencyKeyMissing,
    /// A request with the same id is in flight.
    #[error("field trace: in hand already")]
    DuplicateRequest,
}

/// Why a datagram from another gateway is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PeerDatagramError {
    /// The source address belongs to no known gateway.
    #[error("datagram: from nobody's address")]
    UnknownSender,
    /// The datagram is longer than the platform allows. Holds its length in bytes.
    #[error("datagram: {0} bytes, at most {MAX_DATAGRAM}")]
    TooLong(usize),
}

/// Why a changed configuration is not applied.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file has no valid notice board address.
    #[error(transparent)]
    Config(#[from] ConfigError),
}
