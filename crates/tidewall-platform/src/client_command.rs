//! Commands of the platform's clients: `CALL tag type fields [body]`, `CANCEL tag` and `CHECK tag`,
//! each a RESP array. This module translates the field names on the wire (`trace`, `entity`,
//! `patience`, ...) to the gateway's terms.
use crate::fields::{name_value_pairs, parse_hex16, printable, NameValue, NotNameValue};
use crate::resp::{self, RespError};
use thiserror::Error;

/// Maximum length in bytes of a call's payload, from the platform's specification.
pub const MAX_PAYLOAD: usize = 16 << 10;

/// Maximum lengths in bytes of verb, tag (a 64-bit number), class, fields and payload. The fields
/// of the platform's specification take less than 300 bytes; names of tenants and classes may be
/// long, so several times that is accepted.
const MAX_LENGTHS: [usize; 5] = [16, 20, 64, 2048, MAX_PAYLOAD];

/// Maximum accepted time, one hour in milliseconds: far above what any deployment uses.
const MAX_TIME_MS: f64 = 3_600_000.0;

/// Maximum accepted memory size in MB: far above what any deployment uses.
const MAX_MEMORY_MB: f64 = 1e9;

/// Maximum accepted number of lanes: far above what any deployment uses.
const MAX_LANES: f64 = 1000.0;

/// Maximum length in bytes of an idempotency key, from the platform's specification.
const MAX_IDEMPOTENCY_KEY: usize = 64;

/// A decoded call. Its strings borrow from the receive buffer; times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRequest<'a> {
    /// The client's request id, unique among the requests in flight.
    pub request_id: u64,
    /// Name of the request class.
    pub class: &'a str,
    /// Name of the tenant; `None` if the call names none.
    pub tenant: Option<&'a str>,
    /// Idempotency key, 1 to 64 printable characters; empty if the call has none.
    pub idempotency_key: &'a str,
    /// The function's id, 16 lower-case hexadecimal digits.
    pub function: &'a str,
    /// How long the client waits for the reply; greater than 0, at most an hour.
    pub timeout_ms: f64,
    /// Expected execution time; 0 if unknown.
    pub cost_hint_ms: f64,
    /// Memory that one instance of the function takes; 0 if unknown.
    pub memory_mb: f64,
    /// Maximum number of concurrent requests of one instance: a whole number, 1 to 1,000.
    pub lanes: f64,
    /// Expected time to load an instance; 0 if unknown.
    pub load_hint_ms: f64,
    /// Whether the client has sent this request before.
    pub is_retry: bool,
    /// Input of the function, at most [`MAX_PAYLOAD`] bytes.
    pub payload: &'a [u8],
}

/// A command from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand<'a> {
    /// Executes a function (`CALL`). Gets one reply.
    Call {
        /// Identifies the call on its connection; at least 1.
        tag: u64,
        /// The decoded call. An invalid call fails alone, and its connection stays usable.
        call: Result<CallRequest<'a>, CallError>,
    },
    /// The client stops waiting for a call (`CANCEL`). Gets no reply.
    Cancel {
        /// Tag of the call to cancel.
        tag: u64,
    },
    /// Asks whether the gateway accepts requests (`CHECK`). Gets one reply.
    HealthCheck {
        /// Identifies the reply.
        tag: u64,
    },
}

/// A command decoded from the start of a buffer.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedCommand<'a> {
    /// The decoded command.
    pub command: ClientCommand<'a>,
    /// Encoded length of the command in bytes.
    pub length: usize,
}

/// Why bytes cannot be decoded as a command. The rest of the connection's input is unreadable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The bytes are not an array of bulk strings of the accepted sizes.
    #[error(transparent)]
    Resp(#[from] RespError),
    /// The tag is not a number from 1 to 2^64 - 1.
    #[error("tag: no number from 1 up")]
    Tag,
    /// The verb is unknown, or has the wrong number of arguments. Holds the verb, made printable.
    #[error("verb: '{0}'")]
    UnknownVerb(String),
}

/// Why a call is invalid. Only this call fails.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CallError {
    /// A part of the call is not UTF-8. Holds the part's name.
    #[error("{0}: no text")]
    NotText(&'static str),
    /// An entry of the fields is not a `name=value` pair.
    #[error(transparent)]
    Pair(#[from] NotNameValue),
    /// A required field is missing.
    #[error("field {0}: missing")]
    Missing(&'static str),
    /// An id is not 16 lower-case hexadecimal digits.
    #[error("field {0}: not 16 hexadecimal digits")]
    NotHex(&'static str),
    /// A number is not in plain decimal notation or is out of range.
    #[error("field {field}: not within 0 to {max}")]
    OutOfRange {
        /// Name of the field on the wire.
        field: &'static str,
        /// The largest accepted value.
        max: f64,
    },
    /// The idempotency key is empty, too long or not printable.
    #[error("field nonce: not 1 to {MAX_IDEMPOTENCY_KEY} plain characters")]
    IdempotencyKey,
    /// An entry of the field `extras` is not a `name:value` pair.
    #[error("field extras: not name:value")]
    Extras,
    /// The number of lanes is 0 or has a fraction.
    #[error("field lanes: no whole number from 1 up")]
    Lanes,
}

/// Decodes the command at the start of `bytes`; `None` if it is incomplete.
pub fn decode(bytes: &[u8]) -> Result<Option<DecodedCommand<'_>>, CommandError> {
    let Some(array) = resp::decode_array(bytes, &MAX_LENGTHS)? else {
        return Ok(None);
    };
    let [verb, tag, class, fields, payload] = array.items;
    let tag = decode_tag(tag)?;
    let command = match (verb, array.count) {
        (b"CALL", 4 | 5) => ClientCommand::Call {
            tag,
            call: decode_call(class, fields, payload),
        },
        (b"CANCEL", _) => ClientCommand::Cancel { tag },
        (b"CHECK", _) => ClientCommand::HealthCheck { tag },
        _ => {
            let verb = printable(&String::from_utf8_lossy(verb));
            return Err(CommandError::UnknownVerb(verb));
        }
    };
    Ok(Some(DecodedCommand {
        command,
        length: array.length,
    }))
}

fn decode_tag(tag: &[u8]) -> Result<u64, CommandError> {
    // Only digits are accepted: `parse` alone would also accept a sign.
    std::str::from_utf8(tag)
        .ok()
        .filter(|digits| digits.bytes().all(|b| b.is_ascii_digit()))
        .and_then(|digits| digits.parse().ok())
        .filter(|tag| *tag > 0)
        .ok_or(CommandError::Tag)
}

fn decode_call<'a>(
    class: &'a [u8],
    fields: &'a [u8],
    payload: &'a [u8],
) -> Result<CallRequest<'a>, CallError> {
    let fields = std::str::from_utf8(fields).map_err(|_| CallError::NotText("fields"))?;
    let class = std::str::from_utf8(class).map_err(|_| CallError::NotText("event type"))?;
    let (mut request_id, mut timeout_ms) = (None, None);
    let mut call = CallRequest {
        request_id: 0,
        class,
        tenant: None,
        idempotency_key: "",
        function: "",
        timeout_ms: 0.0,
        cost_hint_ms: 0.0,
        memory_mb: 0.0,
        lanes: 1.0,
        load_hint_ms: 0.0,
        is_retry: false,
        payload,
    };
    for pair in name_value_pairs(fields) {
        let NameValue { name, value } = pair?;
        match name {
            "trace" => request_id = Some(parse_hex16(value).ok_or(CallError::NotHex("trace"))?),
            "patience" => timeout_ms = Some(parse_number("patience", value, MAX_TIME_MS)?),
            "customer" => call.tenant = Some(value),
            "nonce" => call.idempotency_key = parse_idempotency_key(value)?,
            "entity" => {
                parse_hex16(value).ok_or(CallError::NotHex("entity"))?;
                call.function = value;
            }
            "weight" => call.cost_hint_ms = parse_number("weight", value, MAX_TIME_MS)?,
            "redo" => call.is_retry = value != "0",
            "route" => call.class = value,
            "extras" => decode_extras(&mut call, value)?,
            // Unknown fields are ignored: later protocol versions may add some.
            _ => {}
        }
    }
    call.request_id = request_id.ok_or(CallError::Missing("trace"))?;
    call.timeout_ms = timeout_ms
        .filter(|timeout| *timeout > 0.0)
        .ok_or(CallError::Missing("patience"))?;
    if call.function.is_empty() {
        return Err(CallError::Missing("entity"));
    }
    Ok(call)
}

/// Parses a number from 0 to `max` in plain decimal notation. `field` is its name on the wire.
fn parse_number(field: &'static str, text: &str, max: f64) -> Result<f64, CallError> {
    // `parse` alone would also accept signs, exponents, `NaN` and `inf`.
    let is_plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse()
        .ok()
        .filter(|number| is_plain && *number <= max)
        .ok_or(CallError::OutOfRange { field, max })
}

/// Validates an idempotency key. It is passed on to hosts within a space-separated line, so it must
/// not contain spaces or line ends.
fn parse_idempotency_key(key: &str) -> Result<&str, CallError> {
    let is_valid = !key.is_empty()
        && key.len() <= MAX_IDEMPOTENCY_KEY
        && key.bytes().all(|b| b.is_ascii_graphic());
    is_valid.then_some(key).ok_or(CallError::IdempotencyKey)
}

/// Decodes the entries of the field `extras`, `name:value;name:value`, into `call`.
fn decode_extras(call: &mut CallRequest, extras: &str) -> Result<(), CallError> {
    for entry in extras.split(';').filter(|entry| !entry.is_empty()) {
        let (name, value) = entry.split_once(':').ok_or(CallError::Extras)?;
        match name {
            "memory_mb" => call.memory_mb = parse_number("memory_mb", value, MAX_MEMORY_MB)?,
            "load_ms" => call.load_hint_ms = parse_number("load_ms", value, MAX_TIME_MS)?,
            "lanes" => {
                call.lanes = parse_number("lanes", value, MAX_LANES)?;
                if call.lanes < 1.0 || call.lanes.fract() != 0.0 {
                    return Err(CallError::Lanes);
                }
            }
            // Unknown entries are ignored: later protocol versions may add some.
            _ => {}
        }
    }
    Ok(())
}
