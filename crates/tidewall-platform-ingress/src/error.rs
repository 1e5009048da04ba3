//! Errors where the platform's protocol meets the gateway. Their texts go to clients, to the log and, at start, to the
//! operator.
use std::io;
use thiserror::Error;
use tidewall_platform::client_command::{CallError, CommandError};
use tidewall_platform::config::ConfigError;

/// The longest datagram between gateways in bytes, as the platform's page has it.
pub(crate) const MAX_DATAGRAM: usize = 256;

/// Why a client's connection is closed. It gets this text before.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConnectionError {
    /// What it sent is no command.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// A call has the tag of an earlier one, or a lower tag: it could not be known which of the two a reply is for.
    #[error("tag: used before")]
    TagReused,
}

/// Why a call fails before it is admitted. The other calls of its connection go on.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidCall {
    /// Its fields are at fault.
    #[error(transparent)]
    Fields(#[from] CallError),
    /// Its class is not in the settings. Holds it, printable.
    #[error("event type: '{0}'")]
    UnknownClass(String),
    /// Its tenant is not in the settings, or it has none where the settings list tenants.
    #[error("field customer: unknown")]
    UnknownTenant,
    /// Its class needs an idempotency key, and it has none.
    #[error("field nonce: missing")]
    IdempotencyKeyMissing,
    /// A request of the same id is in flight.
    #[error("field trace: in hand already")]
    DuplicateRequest,
}

/// Why a datagram of another gateway is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PeerDatagramError {
    /// It did not come from the address of any gateway that is known.
    #[error("datagram: from nobody's address")]
    UnknownSender,
    /// It is longer than the platform allows. Holds its length in bytes.
    #[error("datagram: {0} bytes, at most {MAX_DATAGRAM}")]
    TooLong(usize),
}

/// Why a changed configuration is not used.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file holds no notice board's address.
    #[error(transparent)]
    Config(#[from] ConfigError),
}
