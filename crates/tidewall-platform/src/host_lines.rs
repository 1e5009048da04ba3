//! Requests to the platform's hosts, which are the gateway's workers, and the hosts' answers, as
//! lines of text. This module translates the words on the wire (`go`, `kind`, `res`, `rif`, ...) to
//! the gateway's terms. An answer that cannot be decoded ends its connection: after a wrong length
//! the start of the next answer is unknown.
use crate::fields::{name_value_pairs, parse_hex16, printable, NameValue, NotNameValue};
use std::io::Write;
use thiserror::Error;

/// Maximum length in bytes of an answer's line, including its end. Id, status, fields and length
/// take less than 200, and load reports may add to that.
const MAX_LINE: usize = 1024;

/// Maximum length in bytes of an answer's payload: sixteen times what a client may send. A larger
/// one is rejected as soon as its length is decoded.
pub const MAX_ANSWER_PAYLOAD: usize = 256 << 10;

/// Prefix of the gateway's own call ids. It is not a hexadecimal digit, so no call id can be taken
/// for a request id.
const CALL_ID_PREFIX: char = 't';

/// A request to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRequest<'a> {
    /// Executes a request (`go`). The answer carries the request id.
    Attempt {
        /// Id of the request.
        request_id: u64,
        /// Name of the request class.
        class: &'a str,
        /// The function's id, 16 hexadecimal digits.
        function: &'a str,
        /// How long the gateway waits for the answer, in milliseconds.
        timeout_ms: u64,
        /// Idempotency key; empty if there is none.
        idempotency_key: &'a [u8],
        /// Input of the function.
        payload: &'a [u8],
    },
    /// Stops the execution of a request (`halt`). Not answered.
    Cancel {
        /// Id of the request.
        request_id: u64,
    },
    /// Asks for the host's health and load (`stat`). The answer carries the call id.
    HealthCheck {
        /// The gateway's own number for this call.
        call_id: u64,
    },
    /// Keeps instances of a function loaded (`stage`). The answer carries the call id.
    LoadInstances {
        /// The gateway's own number for this call.
        call_id: u64,
        /// The function's id, 16 hexadecimal digits.
        function: &'a str,
        /// Number of instances to keep loaded.
        instances: u32,
    },
    /// Unloads a function (`purge`). Not answered.
    Unload {
        /// The function's id, 16 hexadecimal digits.
        function: &'a str,
    },
}

impl HostRequest<'_> {
    /// Appends the encoded line to `out`, followed by the payload if this is an attempt.
    pub fn encode(&self, out: &mut Vec<u8>) {
        // Writing to a `Vec` cannot fail.
        let _ = match self {
            HostRequest::Attempt {
                request_id,
                class,
                function,
                timeout_ms,
                idempotency_key,
                payload,
            } => {
                let _ = write!(
                    out,
                    "go {request_id:016x} kind={class},obj={function},ms={timeout_ms}"
                );
                if !idempotency_key.is_empty() {
                    out.extend_from_slice(b",token=");
                    out.extend_from_slice(idempotency_key);
                }
                let _ = write!(out, " {}\r\n", payload.len());
                out.extend_from_slice(payload);
                write!(out, "\r\n")
            }
            HostRequest::Cancel { request_id } => write!(out, "halt {request_id:016x}\r\n"),
            HostRequest::HealthCheck { call_id } => {
                write!(out, "stat {CALL_ID_PREFIX}{call_id}\r\n")
            }
            HostRequest::LoadInstances {
                call_id,
                function,
                instances,
            } => write!(
                out,
                "stage {CALL_ID_PREFIX}{call_id} obj={function},copies={instances}\r\n"
            ),
            HostRequest::Unload { function } => write!(out, "purge {function}\r\n"),
        };
    }
}

/// What an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerId {
    /// The attempt at the request with this id.
    Request(u64),
    /// The health check or load request with this call id.
    Call(u64),
}

/// Outcome that an answer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// Completed (`ok`).
    Completed,
    /// Not executed: no instance of the function is loaded (`nothing`).
    Miss,
    /// Not executed: the host accepts no more requests (`refused`).
    AtCapacity,
    /// Failed; may have been executed (`error`).
    Failed,
    /// Not executed, because its time had passed or it had been cancelled (`stale`).
    Discarded,
    /// Answer to a health check: the host is healthy (`yes`).
    Healthy,
    /// Answer to a health check: the host is unhealthy (`no`).
    Unhealthy,
}

impl AnswerStatus {
    fn from_wire(word: &str) -> Result<AnswerStatus, HostLineError> {
        Ok(match word {
            "ok" => AnswerStatus::Completed,
            "nothing" => AnswerStatus::Miss,
            "refused" => AnswerStatus::AtCapacity,
            "error" => AnswerStatus::Failed,
            "stale" => AnswerStatus::Discarded,
            "yes" => AnswerStatus::Healthy,
            "no" => AnswerStatus::Unhealthy,
            other => return Err(HostLineError::UnknownStatus(printable(other))),
        })
    }

    /// Returns the status's word on the wire.
    pub fn wire_text(self) -> &'static str {
        match self {
            AnswerStatus::Completed => "ok",
            AnswerStatus::Miss => "nothing",
            AnswerStatus::AtCapacity => "refused",
            AnswerStatus::Failed => "error",
            AnswerStatus::Discarded => "stale",
            AnswerStatus::Healthy => "yes",
            AnswerStatus::Unhealthy => "no",
        }
    }
}

/// State of the function's instance as an answer reports it (field `res`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InstanceNote {
    /// The answer has no such field.
    #[default]
    NotReported,
    /// An instance was already loaded (`hit`).
    Loaded,
    /// An instance was started for the request (`spawn`).
    Started,
    /// An instance is being started (`pending`).
    Starting,
    /// An instance could not be started (`spawn_failed`).
    StartFailed,
}

impl InstanceNote {
    fn from_wire(word: &str) -> Result<InstanceNote, HostLineError> {
        Ok(match word {
            "" => InstanceNote::NotReported,
            "hit" => InstanceNote::Loaded,
            "spawn" => InstanceNote::Started,
            "pending" => InstanceNote::Starting,
            "spawn_failed" => InstanceNote::StartFailed,
            other => return Err(HostLineError::UnknownInstanceNote(printable(other))),
        })
    }
}

/// Load that a host reports (field `gauges`).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight (`rif`); 0 if not reported.
    pub requests_in_flight: f64,
    /// Busy cores (`busy`); 0 if not reported.
    pub busy_cores: f64,
}

impl LoadReport {
    /// Parses `name:number;name:number`. Unknown gauges are validated and ignored.
    pub fn parse(gauges: &str) -> Result<LoadReport, HostLineError> {
        let mut report = LoadReport::default();
        for gauge in parse_gauges(gauges) {
            let gauge = gauge?;
            match gauge.name {
                "rif" => report.requests_in_flight = gauge.value,
                "busy" => report.busy_cores = gauge.value,
                _ => {}
            }
        }
        Ok(report)
    }
}

/// One gauge of a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gauge<'a> {
    /// Name of the gauge on the wire.
    pub name: &'a str,
    /// Value of the gauge; finite.
    pub value: f64,
}

/// Iterates over the gauges of a load report in order. An error names the entry.
pub fn parse_gauges(gauges: &str) -> impl Iterator<Item = Result<Gauge<'_>, HostLineError>> {
    gauges
        .split(';')
        .filter(|entry| !entry.is_empty())
        .map(|entry| {
            entry
                .split_once(':')
                .and_then(|(name, value)| {
                    let value = value.parse().ok().filter(|v: &f64| v.is_finite())?;
                    Some(Gauge { name, value })
                })
                .ok_or_else(|| HostLineError::Gauge(printable(entry)))
        })
}

/// A decoded answer. Its payload borrows from the receive buffer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostAnswer<'a> {
    /// What the answer belongs to. That need not be in flight any more.
    pub id: AnswerId,
    /// Outcome that the answer reports.
    pub status: AnswerStatus,
    /// State of the function's instance.
    pub instance: InstanceNote,
    /// Requests of the same function that the host had when it answered (`queue_fn`); 0 if not
    /// reported.
    pub concurrent_requests: u32,
    /// Number of loaded instances, in the answer to a load request (`copies`); 0 if not reported.
    pub instances: u32,
    /// Load of the host, if reported.
    pub load: Option<LoadReport>,
    /// Output of the function.
    pub payload: &'a [u8],
}

/// An answer decoded from the start of a buffer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecodedAnswer<'a> {
    /// The answer; `None` if its id is not one that a gateway assigns.
    pub answer: Option<HostAnswer<'a>>,
    /// Encoded length of the answer in bytes.
    pub length: usize,
}

/// Why a host's answer is rejected. Its connection is closed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HostLineError {
    /// The line is longer than `MAX_LINE`.
    #[error("line: too long")]
    LineTooLong,
    /// The line ends without a carriage return.
    #[error("line: ends without CR")]
    LineEnd,
    /// The line is not UTF-8.
    #[error("line: no text")]
    LineNotText,
    /// The line is not of the form `id status [fields [length]]`. Holds the line, made printable.
    #[error("line: '{0}'")]
    LineForm(String),
    /// The payload's length does not fit in a `usize`.
    #[error("length: out of range")]
    LengthOutOfRange,
    /// The payload is longer than [`MAX_ANSWER_PAYLOAD`]. Holds its length in bytes.
    #[error("length: {0} bytes, at most {MAX_ANSWER_PAYLOAD}")]
    PayloadTooLong(usize),
    /// The payload does not end where its length says.
    #[error("length: does not match the payload")]
    LengthMismatch,
    /// An entry of the fields is not a `name=value` pair.
    #[error(transparent)]
    Pair(#[from] NotNameValue),
    /// A count is not a number from 0 to 2^32 - 1. Holds the name of the field on the wire.
    #[error("field {0}: no number")]
    NotNumber(&'static str),
    /// A gauge is not a name and a finite number. Holds the entry, made printable.
    #[error("field gauges: '{0}' is not name:number")]
    Gauge(String),
    /// The field `res` has an unknown value. Holds the value, made printable.
    #[error("field res: '{0}'")]
    UnknownInstanceNote(String),
    /// The status is unknown. Holds the status, made printable.
    #[error("status: '{0}'")]
    UnknownStatus(String),
    /// An attempt is answered with a health check's status. Holds the status's word on the wire.
    #[error("status: '{0}' in the answer to an attempt")]
    HealthStatusForAttempt(&'static str),
}

/// The known fields of an answer; others are ignored.
#[derive(Default)]
struct AnswerFields<'a> {
    instance: &'a str,
    concurrent_requests: u32,
    instances: u32,
    gauges: &'a str,
}

impl<'a> AnswerFields<'a> {
    fn parse(list: &'a str) -> Result<AnswerFields<'a>, HostLineError> {
        let mut fields = AnswerFields::default();
        let count = |name, value: &str| value.parse().map_err(|_| HostLineError::NotNumber(name));
        for pair in name_value_pairs(list) {
            let NameValue { name, value } = pair?;
            match name {
                "res" => fields.instance = value,
                "queue_fn" => fields.concurrent_requests = count("queue_fn", value)?,
                "copies" => fields.instances = count("copies", value)?,
                "gauges" => fields.gauges = value,
                _ => {}
            }
        }
        Ok(fields)
    }
}

/// The parts of an answer's first line.
struct AnswerLine<'a> {
    id: &'a str,
    status: &'a str,
    fields: &'a str,
    payload_length: usize,
}

impl<'a> AnswerLine<'a> {
    fn parse(line: &'a [u8]) -> Result<AnswerLine<'a>, HostLineError> {
        let line = line.strip_suffix(b"\r").ok_or(HostLineError::LineEnd)?;
        let line = std::str::from_utf8(line).map_err(|_| HostLineError::LineNotText)?;
        let bad_form = || HostLineError::LineForm(printable(line));
        let mut words = line.split(' ');
        let mut word = || words.next().filter(|w| !w.is_empty());
        let (Some(id), Some(status)) = (word(), word()) else {
            return Err(bad_form());
        };
        let (fields, length) = (word().unwrap_or("-"), word().unwrap_or("0"));
        // Only digits are accepted: `parse` alone would also accept a sign.
        if words.next().is_some() || !length.bytes().all(|b| b.is_ascii_digit()) {
            return Err(bad_form());
        }
        let payload_length = length
            .parse()
            .map_err(|_| HostLineError::LengthOutOfRange)?;
        if payload_length > MAX_ANSWER_PAYLOAD {
            return Err(HostLineError::PayloadTooLong(payload_length));
        }
        Ok(AnswerLine {
            id,
            status,
            fields,
            payload_length,
        })
    }

    fn answer_id(&self) -> Option<AnswerId> {
        let call_id = || self.id.strip_prefix(CALL_ID_PREFIX)?.parse().ok();
        parse_hex16(self.id)
            .map(AnswerId::Request)
            .or_else(|| call_id().map(AnswerId::Call))
    }
}

/// Decodes the answer at the start of `bytes`; `None` if it is incomplete.
pub fn decode(bytes: &[u8]) -> Result<Option<DecodedAnswer<'_>>, HostLineError> {
    let Some(end) = memchr::memchr(b'\n', &bytes[..bytes.len().min(MAX_LINE)]) else {
        return if bytes.len() >= MAX_LINE {
            Err(HostLineError::LineTooLong)
        } else {
            Ok(None)
        };
    };
    let line = AnswerLine::parse(&bytes[..end])?;
    let length = end + 1 + line.payload_length + 2;
    let Some(payload) = bytes.get(end + 1..length) else {
        return Ok(None);
    };
    let payload = payload
        .strip_suffix(b"\r\n")
        .ok_or(HostLineError::LengthMismatch)?;
    let fields = AnswerFields::parse(line.fields)?;
    // An answer with an id that no gateway assigns is skipped as a whole, even if its status or
    // gauges are invalid.
    let Some(id) = line.answer_id() else {
        return Ok(Some(DecodedAnswer {
            answer: None,
            length,
        }));
    };
    let instance = InstanceNote::from_wire(fields.instance)?;
    let status = AnswerStatus::from_wire(line.status)?;
    let load = if fields.gauges.is_empty() {
        None
    } else {
        Some(LoadReport::parse(fields.gauges)?)
    };
    let answer = HostAnswer {
        id,
        status,
        instance,
        concurrent_requests: fields.concurrent_requests,
        instances: fields.instances,
        load,
        payload,
    };
    Ok(Some(DecodedAnswer {
        answer: Some(answer),
        length,
    }))
}
