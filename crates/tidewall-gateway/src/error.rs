//! The gateway's errors. Their texts go to peers, to the log and, at start, to the operator.
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tidewall::settings::SettingsError;
use tidewall_vrrp::ParameterError;
use tidewall_wire::WireError;

/// Why a message of a worker, of the discovery server or of another gateway is refused. Its connection ends with this
/// text.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// A native frame is malformed or means nothing here.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A message of a protocol that another package speaks.
    #[error("{0}")]
    Other(Box<dyn StdError + Send + Sync>),
}

impl ProtocolError {
    /// An error of another package's protocol.
    pub fn other(error: impl Into<Box<dyn StdError + Send + Sync>>) -> ProtocolError {
        ProtocolError::Other(error.into())
    }
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.wire_text())]
pub enum AdmissionError {
    /// It may have lain unread for so long that too little of its client's time is certain.
    Late,
    /// The gateway is draining, or the other member of its failover pair serves.
    Draining,
    /// The deduplication table has no room for another idempotency key.
    DeduplicationTableFull,
    /// As many requests are in flight as the settings allow.
    TooManyRequests,
}

impl AdmissionError {
    /// The reason as clients get it.
    pub fn wire_text(self) -> &'static str {
        match self {
            AdmissionError::Late => "late",
            AdmissionError::Draining => "draining",
            AdmissionError::DeduplicationTableFull => "most-remembered",
            AdmissionError::TooManyRequests => "most-held",
        }
    }
}

/// Why a gateway does not start: one line for the operator.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address for datagrams cannot be bound.
    #[error("{address}: datagrams: {source}")]
    BindDatagrams {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The address for connections cannot be listened on.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The scheduler's settings are refused; the text names the setting.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The VRRP parameters are refused; the text names the parameter.
    #[error("{0}")]
    Vrrp(ParameterError),
}

/// Why a file of authentication keys is refused: file, line and column stand first.
#[derive(Debug, Error)]
#[error("{file}:{line}:1: {problem}")]
pub struct KeyFileError {
    /// The file's name.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong there.
    pub problem: KeyFileProblem,
}

/// What is wrong in a file of authentication keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyFileProblem {
    /// A line is no pair of number and key.
    #[error("a number and a key are needed")]
    NoPair,
    /// The key's number is no octet.
    #[error("the number is not within 0 to 255")]
    Number,
    /// The key is shorter than 128 bits or has half an octet.
    #[error("a key has an even number of at least 32 hexadecimal digits")]
    Length,
    /// Two keys have one number.
    #[error("the number stands twice")]
    Duplicate,
    /// A key holds something else than hexadecimal digits.
    #[error("a key has hexadecimal digits only")]
    Digits,
    /// The file holds no key.
    #[error("there is no key")]
    Empty,
}

/// For callers that only pass the line on.
impl From<StartError> for String {
    fn from(error: StartError) -> String {
        error.to_string()
    }
}

/// For callers that only pass the line on.
impl From<KeyFileError> for String {
    fn from(error: KeyFileError) -> String {
        error.to_string()
    }
}

/// For packages whose own protocol code passes texts on.
impl From<ProtocolError> for String {
    fn from(error: ProtocolError) -> String {
        error.to_string()
    }
}
