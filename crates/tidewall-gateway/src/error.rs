//! The gateway's errors. Their messages go to peers, to the log and, at start, to the operator.
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tidewall::settings::SettingsError;
use tidewall_vrrp::ParameterError;
use tidewall_wire::WireError;

/// The reason why a message from a worker, the discovery server or another gateway is rejected. Its text is
/// sent before the connection is closed.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// A native frame is malformed or unexpected.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// An error of a protocol that another package implements.
    #[error("{0}")]
    Other(Box<dyn StdError + Send + Sync>),
}

impl ProtocolError {
    /// Wraps an error of a protocol that another package implements.
    pub fn other(error: impl Into<Box<dyn StdError + Send + Sync>>) -> ProtocolError {
        ProtocolError::Other(error.into())
    }
}

/// The reason why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.wire_text())]
pub enum AdmissionError {
    /// The request may have been unread for so long that too little of its client's time is certain.
    Late,
    /// The gateway is draining, or the other member of its failover pair serves.
    Draining,
    /// The deduplication table has no room for another idempotency key.
    DeduplicationTableFull,
    /// The limit of requests in flight is reached.
    TooManyRequests,
    /// The payloads of the requests in flight take as much memory as they may.
    PayloadMemoryFull,
}

impl AdmissionError {
    /// The reason as it is sent to clients.
    pub fn wire_text(self) -> &'static str {
        match self {
            AdmissionError::Late => "late",
            AdmissionError::Draining => "draining",
            AdmissionError::DeduplicationTableFull => "most-remembered",
            AdmissionError::TooManyRequests => "most-held",
            AdmissionError::PayloadMemoryFull => "most-payload",
        }
    }
}

/// The reason why a gateway does not start: one line for the operator.
#[derive(Debug, Error)]
pub enum StartError {
    /// Binding the address for datagrams failed.
    #[error("{address}: datagrams: {source}")]
    BindDatagrams {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// Listening on the address for connections failed.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The scheduler rejected the settings; the text names the setting.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The VRRP parameters are invalid; the text names the parameter.
    #[error("{0}")]
    Vrrp(ParameterError),
}

/// The reason why a file of authentication keys is rejected; the message starts with file, line and column.
#[derive(Debug, Error)]
#[error("{file}:{line}:1: {problem}")]
pub struct KeyFileError {
    /// The file's name.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The problem in this line.
    pub problem: KeyFileProblem,
}

/// A problem in a file of authentication keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyFileProblem {
    /// A line is not a number and a key.
    #[error("a number and a key are needed")]
    NotNumberAndKey,
    /// The key's number is not within 0 to 255.
    #[error("the number is not within 0 to 255")]
    NumberOutOfRange,
    /// The key is shorter than 128 bits or has an odd number of digits.
    #[error("a key has an even number of at least 32 hexadecimal digits")]
    KeyLength,
    /// Two keys have the same number.
    #[error("the number stands twice")]
    DuplicateNumber,
    /// A key contains a character that is not a hexadecimal digit.
    #[error("a key has hexadecimal digits only")]
    InvalidDigit,
    /// The file contains no key.
    #[error("there is no key")]
    Empty,
}

/// For callers that only pass on the message.
impl From<StartError> for String {
    fn from(error: StartError) -> String {
        error.to_string()
    }
}

/// For callers that only pass on the message.
impl From<KeyFileError> for String {
    fn from(error: KeyFileError) -> String {
        error.to_string()
    }
}

/// For packages whose protocol code passes on messages as text.
impl From<ProtocolError> for String {
    fn from(error: ProtocolError) -> String {
        error.to_string()
    }
}
