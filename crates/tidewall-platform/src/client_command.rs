//! Commands of the platform's clients: `CALL tag type fields [body]`, `CANCEL tag` and `CHECK tag` as RESP arrays. The
//! words of the wire (`trace`, `entity`, `patience`, ...) are translated here.
use crate::fields::{name_value_pairs, parse_hex16, printable, NameValue, NotNameValue};
use crate::resp::{self, RespError};
use thiserror::Error;

/// The longest payload of a call in bytes, as the platform's page has it.
pub const MAX_PAYLOAD: usize = 16 << 10;

/// The longest verb, tag (a number of 64 bits), class, fields and payload in bytes. The fields that the page describes
/// take less than 300 bytes; names of tenants and classes may be long, so several times that is accepted.
const MAX_LENGTHS: [usize; 5] = [16, 20, 64, 2048, MAX_PAYLOAD];

/// The longest time that is accepted, an hour in milliseconds: far above any deployment's.
const MAX_TIME_MS: f64 = 3_600_000.0;

/// The largest memory that is accepted, in MB: far above any deployment's.
const MAX_MEMORY_MB: f64 = 1e9;

/// The most lanes that are accepted: far above any deployment's.
const MAX_LANES: f64 = 1000.0;

/// The longest idempotency key in bytes, as the platform's page has it.
const MAX_IDEMPOTENCY_KEY: usize = 64;

/// A call, its texts still where they were received. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRequest<'a> {
    /// The client's id for the request, unique among those in flight.
    pub request_id: u64,
    /// Name of the request class.
    pub class: &'a str,
    /// Name of the tenant; `None` where the call gives none.
    pub tenant: Option<&'a str>,
    /// Idempotency key, 1 to 64 printable characters; empty where the call gives none.
    pub idempotency_key: &'a str,
    /// The function, 16 hexadecimal digits in lower case.
    pub function: &'a str,
    /// How long the client waits for the reply; above 0, at most an hour.
    pub timeout_ms: f64,
    /// How long the execution is expected to take; 0 where unknown.
    pub cost_hint_ms: f64,
    /// Memory that an instance of the function takes; 0 where unknown.
    pub memory_mb: f64,
    /// Concurrent requests of one instance: a whole number, 1 to 1,000.
    pub lanes: f64,
    /// How long loading an instance is expected to take; 0 where unknown.
    pub load_hint_ms: f64,
    /// Whether the client has sent this request before.
    pub is_retry: bool,
    /// What the worker is given, at most [`MAX_PAYLOAD`] bytes.
    pub payload: &'a [u8],
}

/// A command of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand<'a> {
    /// Executes a function (`CALL`); has one reply.
    Call {
        /// Names the call on its connection, from 1.
        tag: u64,
        /// The call. One at fault fails alone: its connection stays usable.
        call: Result<CallRequest<'a>, CallError>,
    },
    /// The client stops waiting for a call (`CANCEL`); has no reply.
    Cancel {
        /// The call's tag.
        tag: u64,
    },
    /// Asks whether the gateway serves (`CHECK`); has one reply.
    HealthCheck {
        /// Names the reply.
        tag: u64,
    },
}

/// A command at the head of a buffer.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedCommand<'a> {
    /// The command.
    pub command: ClientCommand<'a>,
    /// Its encoded length in bytes.
    pub length: usize,
}

/// Why bytes are no command. The connection cannot be read further.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// They are no array of bulk strings of the accepted sizes.
    #[error(transparent)]
    Resp(#[from] RespError),
    /// The tag is no number from 1 to 2^64 - 1.
    #[error("tag: no number from 1 up")]
    Tag,
    /// The verb is unknown, or has another number of words. Holds the verb, printable.
    #[error("verb: '{0}'")]
    UnknownVerb(String),
}

/// Why a call is at fault. It fails alone.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CallError {
    /// A word is no UTF-8.
    #[error("{0}: no text")]
    NotText(&'static str),
    /// An entry of the fields is no pair.
    #[error(transparent)]
    Pair(#[from] NotNameValue),
    /// A field that each call needs is missing.
    #[error("field {0}: missing")]
    Missing(&'static str),
    /// An id is not 16 hexadecimal digits in lower case.
    #[error("field {0}: not 16 hexadecimal digits")]
    NotHex(&'static str),
    /// A figure is no plain decimal number within its range.
    #[error("field {field}: not within 0 to {max}")]
    OutOfRange {
        /// The field's name on the wire.
        field: &'static str,
        /// The largest value that is accepted.
        max: f64,
    },
    /// The idempotency key is empty, too long or not printable.
    #[error("field nonce: not 1 to {MAX_IDEMPOTENCY_KEY} plain characters")]
    IdempotencyKey,
    /// An entry of the extra fields is no pair.
    #[error("field extras: not name:value")]
    Extras,
    /// The number of lanes is 0 or has a fraction.
    #[error("field lanes: no whole number from 1 up")]
    Lanes,
}

/// Reads the command at the head of `bytes`; `None` while it is incomplete.
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
    // Digits alone: the parser of numbers would take a sign too.
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
            "patience" => timeout_ms = Some(parse_figure("patience", value, MAX_TIME_MS)?),
            "customer" => call.tenant = Some(value),
            "nonce" => call.idempotency_key = parse_idempotency_key(value)?,
            "entity" => {
                parse_hex16(value).ok_or(CallError::NotHex("entity"))?;
                call.function = value;
            }
            "weight" => call.cost_hint_ms = parse_figure("weight", value, MAX_TIME_MS)?,
            "redo" => call.is_retry = value != "0",
            "route" => call.class = value,
            "extras" => decode_extras(&mut call, value)?,
            // Fields of later versions.
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

/// A figure from 0 to `max` in plain decimal notation; `field` is its name on the wire.
fn parse_figure(field: &'static str, text: &str, max: f64) -> Result<f64, CallError> {
    // The parser of numbers would take signs, exponents, `NaN` and `inf` too.
    let is_plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse()
        .ok()
        .filter(|figure| is_plain && *figure <= max)
        .ok_or(CallError::OutOfRange { field, max })
}

/// The key is passed on to hosts within a line of words, so it may not hold blanks or ends of lines.
fn parse_idempotency_key(key: &str) -> Result<&str, CallError> {
    let is_valid = !key.is_empty()
        && key.len() <= MAX_IDEMPOTENCY_KEY
        && key.bytes().all(|b| b.is_ascii_graphic());
    is_valid.then_some(key).ok_or(CallError::IdempotencyKey)
}

/// The entries of the field `extras`, `name:value;name:value`.
fn decode_extras(call: &mut CallRequest, extras: &str) -> Result<(), CallError> {
    for entry in extras.split(';').filter(|entry| !entry.is_empty()) {
        let (name, value) = entry.split_once(':').ok_or(CallError::Extras)?;
        match name {
            "memory_mb" => call.memory_mb = parse_figure("memory_mb", value, MAX_MEMORY_MB)?,
            "load_ms" => call.load_hint_ms = parse_figure("load_ms", value, MAX_TIME_MS)?,
            "lanes" => {
                call.lanes = parse_figure("lanes", value, MAX_LANES)?;
                if call.lanes < 1.0 || call.lanes.fract() != 0.0 {
                    return Err(CallError::Lanes);
                }
            }
            // Fields of later versions.
            _ => {}
        }
    }
    Ok(())
}
