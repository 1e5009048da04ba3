//! The part of RESP (Redis serialization protocol) that the platform's clients use: arrays of bulk
//! strings, and simple errors. A RESP parser from the crate registry is not used, because it would
//! buffer a whole bulk string before its length can be checked; this decoder checks a length as
//! soon as its header is complete.
use std::fmt;
use std::io::Write;
use thiserror::Error;

/// Maximum length of a line that holds a count or a length, without its end: the marker and a
/// 64-bit number.
const MAX_HEADER: usize = 21;

/// Maximum number of decimal digits of a 64-bit number.
const MAX_DIGITS: usize = 20;

/// A part of an encoded command, as error messages name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RespPart {
    /// The header of the array.
    Array,
    /// A bulk string.
    BulkString,
}

impl RespPart {
    fn marker(self) -> char {
        match self {
            RespPart::Array => '*',
            RespPart::BulkString => '$',
        }
    }
}

impl fmt::Display for RespPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RespPart::Array => "array",
            RespPart::BulkString => "word",
        })
    }
}

/// Why bytes are not an array of bulk strings of the accepted sizes. The rest of the stream is
/// unreadable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RespError {
    /// A part does not start with its marker.
    #[error("{0}: '{marker}' expected", marker = .0.marker())]
    MarkerExpected(RespPart),
    /// A count or a length is not a number from 0 up, or its line does not end.
    #[error("{0}: no number")]
    NotNumber(RespPart),
    /// The number of bulk strings is one that no command has.
    #[error("array: {0} words")]
    ArrayLength(usize),
    /// A bulk string is longer than the limit at its position.
    #[error("word: {length} bytes, at most {max}")]
    BulkStringTooLong {
        /// The length from its header, in bytes.
        length: usize,
        /// The maximum length at its position, in bytes.
        max: usize,
    },
    /// A bulk string does not end where its header says.
    #[error("word: longer than its length")]
    BulkStringUnterminated,
}

/// An array of bulk strings decoded from the start of a buffer.
pub struct RespArray<'a, const MAX: usize> {
    /// The bulk strings, borrowed from the receive buffer; empty from `count` on.
    pub items: [&'a [u8]; MAX],
    /// Number of bulk strings.
    pub count: usize,
    /// Encoded length of the whole array in bytes.
    pub length: usize,
}

/// A count or a length.
struct Header {
    value: usize,
    length: usize,
}

/// Decodes the number on the line that starts with the part's marker; `None` if the line is
/// incomplete.
fn decode_header(bytes: &[u8], part: RespPart) -> Result<Option<Header>, RespError> {
    match bytes.first() {
        None => return Ok(None),
        Some(b) if char::from(*b) != part.marker() => return Err(RespError::MarkerExpected(part)),
        Some(_) => {}
    }
    let Some(end) = memchr::memchr(b'\n', &bytes[..bytes.len().min(MAX_HEADER + 2)]) else {
        // A line that is already too long is an error at once, even without its end.
        return if bytes.len() > MAX_HEADER {
            Err(RespError::NotNumber(part))
        } else {
            Ok(None)
        };
    };
    // Only digits are accepted: `parse` alone would also accept a sign.
    let value = bytes[1..end]
        .strip_suffix(b"\r")
        .filter(|digits| !digits.is_empty() && digits.iter().all(u8::is_ascii_digit))
        .and_then(|digits| std::str::from_utf8(digits).ok())
        .and_then(|digits| digits.parse().ok())
        .ok_or(RespError::NotNumber(part))?;
    Ok(Some(Header {
        value,
        length: end + 1,
    }))
}

/// Decodes an array of 2 to `MAX` bulk strings, each at most as long as the entry of `max_lengths`
/// at its position (bytes). Returns `None` if the array is incomplete.
pub fn decode_array<'a, const MAX: usize>(
    bytes: &'a [u8],
    max_lengths: &[usize; MAX],
) -> Result<Option<RespArray<'a, MAX>>, RespError> {
    let Some(array) = decode_header(bytes, RespPart::Array)? else {
        return Ok(None);
    };
    if !(2..=MAX).contains(&array.value) {
        return Err(RespError::ArrayLength(array.value));
    }
    let mut offset = array.length;
    let mut items: [&[u8]; MAX] = [b""; MAX];
    for (item, max) in items.iter_mut().zip(max_lengths).take(array.value) {
        let Some(header) = decode_header(&bytes[offset..], RespPart::BulkString)? else {
            return Ok(None);
        };
        let length = header.value;
        // Checked before any of the content is waited for.
        if length > *max {
            return Err(RespError::BulkStringTooLong { length, max: *max });
        }
        offset += header.length;
        let Some(rest) = bytes.get(offset..offset + length + 2) else {
            return Ok(None);
        };
        let Some(content) = rest.strip_suffix(b"\r\n") else {
            return Err(RespError::BulkStringUnterminated);
        };
        *item = content;
        offset += length + 2;
    }
    Ok(Some(RespArray {
        items,
        count: array.value,
        length: offset,
    }))
}

// Writing to a `Vec` cannot fail, so the results of `write!` below are ignored.

/// Appends the header of an array of `count` bulk strings.
pub fn write_array_header(out: &mut Vec<u8>, count: usize) {
    let _ = write!(out, "*{count}\r\n");
}

/// Appends a bulk string.
pub fn write_bulk_string(out: &mut Vec<u8>, content: &[u8]) {
    let _ = write!(out, "${}\r\n", content.len());
    out.extend_from_slice(content);
    out.extend_from_slice(b"\r\n");
}

/// Appends a number with a prefix as a bulk string. Its length precedes it, so the digits are first
/// formatted on the stack.
pub fn write_bulk_number(out: &mut Vec<u8>, prefix: &str, number: u64) {
    let mut digits = [0; MAX_DIGITS];
    let mut unused = &mut digits[..];
    let _ = write!(unused, "{number}");
    let used = MAX_DIGITS - unused.len();
    let _ = write!(out, "${}\r\n{prefix}", prefix.len() + used);
    out.extend_from_slice(&digits[..used]);
    out.extend_from_slice(b"\r\n");
}

/// Appends a simple error, which belongs to no command. The connection is closed after it.
pub fn write_error(out: &mut Vec<u8>, reason: &str) {
    let _ = write!(out, "-ERR {reason}\r\n");
}
