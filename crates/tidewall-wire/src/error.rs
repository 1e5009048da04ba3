//! Why a frame is rejected. Each message names the offending field, by its name in `docs/wire.md`. Messages
//! are sent to peers in error frames, so their wording is part of the wire format.
use crate::{Field, MAX_BODY_LENGTH, VERSION};
use minicbor::data::Type;
use minicbor::decode;
use thiserror::Error;

/// A malformed frame, or a value that its receiver does not accept. The receiver sends the message in an
/// error frame and closes the connection.
#[derive(Debug, Error)]
pub enum WireError {
    /// The length prefix exceeds [`MAX_BODY_LENGTH`].
    #[error("field length: {length} bytes are over {MAX_BODY_LENGTH}")]
    FrameTooLong {
        /// Length of the body in bytes, as the prefix states it.
        length: usize,
    },
    /// The body continues after its CBOR map.
    #[error("field length: bytes follow the frame's map")]
    TrailingBytes,
    /// A datagram or file ends before its frame does.
    #[error("field length: cut short")]
    Truncated,
    /// The body is not a CBOR map.
    #[error("field kind: the frame is no map of fields ({0})")]
    NotAMap(#[source] decode::Error),
    /// A CBOR map of indefinite length.
    #[error("field kind: maps of unknown length are not taken")]
    IndefiniteMap,
    /// A key of the CBOR map is not an unsigned integer.
    #[error("field number: {0}")]
    FieldNumber(#[source] decode::Error),
    /// The value of a field with an unknown number cannot be skipped.
    #[error("field {number}: {source}")]
    UnknownField {
        /// The field's number.
        number: u64,
        /// Why CBOR decoding failed.
        source: decode::Error,
    },
    /// A field's value cannot be decoded.
    #[error("field {field}: {source}")]
    Value {
        /// The field's name.
        field: &'static str,
        /// Why CBOR decoding failed.
        source: decode::Error,
    },
    /// A field occurs twice in one map.
    #[error("field {field}: stands twice")]
    Duplicate {
        /// The field's name.
        field: &'static str,
    },
    /// A value has a CBOR type that no field has.
    #[error("field {field}: a value of type {found} is not taken")]
    UnsupportedType {
        /// The field's name.
        field: &'static str,
        /// The CBOR type that was found.
        found: Type,
    },
    /// A field that this kind of frame requires is absent or empty.
    #[error("field {field} is missing")]
    Missing {
        /// The field's name.
        field: &'static str,
    },
    /// A field has another type than this kind of frame requires.
    #[error("field {field} is no {expected}")]
    WrongType {
        /// The field's name.
        field: &'static str,
        /// The required type.
        expected: &'static str,
    },
    /// A number exceeds its upper limit.
    #[error("field {field}: {value} is over {limit}")]
    OverLimit {
        /// The field's name.
        field: &'static str,
        /// The value that was found.
        value: u64,
        /// The largest value that is accepted.
        limit: u64,
    },
    /// A floating-point number is negative, too large or not finite.
    #[error("field {field}: {value} is out of range")]
    OutOfRange {
        /// The field's name.
        field: &'static str,
        /// The value that was found.
        value: f64,
    },
    /// An entry of the list of entries is rejected.
    #[error("field entries[{index}]: {source}")]
    Entry {
        /// The entry's index in the list, from 0.
        index: u64,
        /// What is wrong with the entry.
        source: Box<WireError>,
    },
    /// The first frame of a connection is not a hello.
    #[error("field kind: the first frame must be a hello")]
    NoGreeting,
    /// The peer uses another version of the protocol.
    #[error("field version: {version} is not spoken here, {VERSION} is")]
    Version {
        /// The peer's version.
        version: u64,
    },
    /// A well-formed value is not acceptable to its receiver.
    #[error("field {field}: {reason}")]
    Invalid {
        /// The field's name.
        field: &'static str,
        /// What is wrong with the value.
        reason: String,
    },
}

impl WireError {
    /// Creates the error for a well-formed value of `field` that its receiver does not accept, for the given
    /// reason.
    pub fn invalid(field: Field, reason: impl Into<String>) -> WireError {
        WireError::Invalid {
            field: field.name(),
            reason: reason.into(),
        }
    }

    /// Creates the error for a required field that is absent or empty.
    pub(crate) fn missing(field: Field) -> WireError {
        WireError::Missing {
            field: field.name(),
        }
    }

    /// Creates the error for a field of another type than `expected`.
    pub(crate) fn wrong_type(field: Field, expected: &'static str) -> WireError {
        WireError::WrongType {
            field: field.name(),
            expected,
        }
    }
}

/// Errors are equal if their messages are, because decoding errors of the CBOR library have no equality.
impl PartialEq for WireError {
    fn eq(&self, other: &WireError) -> bool {
        self.to_string() == other.to_string()
    }
}

/// The message alone, for callers that only forward it.
impl From<WireError> for String {
    fn from(error: WireError) -> String {
        error.to_string()
    }
}
