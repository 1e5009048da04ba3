//! Lines to the platform's hosts, which are the gateway's workers, and the hosts' answers. The words of the wire (`go`,
//! `kind`, `res`, `rif`, ...) are translated here. An answer that cannot be read ends its connection: where one length
//! does not fit, the start of the next answer cannot be known.
use crate::fields::{name_value_pairs, parse_hex16, printable, NameValue, NotNameValue};
use std::io::Write;
use thiserror::Error;

/// The longest line of an answer in bytes, its end included: id, status, fields and length take less than 200, and load
/// reports may add some.
const MAX_LINE: usize = 1024;

/// The longest payload of an answer in bytes: sixteen times what a client may send. A longer one is refused as its length
/// is read.
pub const MAX_ANSWER_PAYLOAD: usize = 256 << 10;

/// The gateway's own call ids begin with this, so that none looks like a request id, which is hexadecimal.
const CALL_ID_PREFIX: char = 't';

/// What a host is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRequest<'a> {
    /// Execute a request (`go`); answered under the request's id.
    Attempt {
        /// The request's id.
        request_id: u64,
        /// Name of the request class.
        class: &'a str,
        /// The function, 16 hexadecimal digits.
        function: &'a str,
        /// How long the gateway waits for the answer, in milliseconds.
        timeout_ms: u64,
        /// Idempotency key; empty where there is none.
        idempotency_key: &'a [u8],
        /// What the function is given.
        payload: &'a [u8],
    },
    /// Stop executing a request (`halt`); not answered.
    Cancel {
        /// The request's id.
        request_id: u64,
    },
    /// Say how it is and how full (`stat`); answered under the call's id.
    HealthCheck {
        /// The gateway's own number for this call.
        call_id: u64,
    },
    /// Keep instances of a function loaded (`stage`); answered under the call's id.
    LoadInstances {
        /// The gateway's own number for this call.
        call_id: u64,
        /// The function, 16 hexadecimal digits.
        function: &'a str,
        /// How many instances.
        instances: u32,
    },
    /// Unload a function (`purge`); not answered.
    Unload {
        /// The function, 16 hexadecimal digits.
        function: &'a str,
    },
}

impl HostRequest<'_> {
    /// Appends the line, and with an attempt its payload, to `out`.
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
    /// The attempt of this request.
    Request(u64),
    /// The health check or load request of this number.
    Call(u64),
}

/// The outcome that an answer states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// Done (`ok`).
    Completed,
    /// Not executed: no instance of the function is loaded (`nothing`).
    Miss,
    /// Not executed: the host takes no more (`refused`).
    AtCapacity,
    /// Failed, and may have been executed (`error`).
    Failed,
    /// Not executed, as its time had passed or it had been cancelled (`stale`).
    Discarded,
    /// Health check: well (`yes`).
    Healthy,
    /// Health check: not well (`no`).
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

    /// The status's word on the wire.
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

/// What an answer says of the function's instance (field `res`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InstanceNote {
    /// Nothing.
    #[default]
    NotReported,
    /// An instance was loaded (`hit`).
    Loaded,
    /// An instance was started for it (`spawn`).
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

/// A host's load as it reports it (field `gauges`).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight (`rif`); 0 where not reported.
    pub requests_in_flight: f64,
    /// Busy cores (`busy`); 0 where not reported.
    pub busy_cores: f64,
}

impl LoadReport {
    /// Reads `name:number;name:number`. Gauges of other names are checked and skipped.
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

/// One figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gauge<'a> {
    /// Its name on the wire.
    pub name: &'a str,
    /// Its value, finite.
    pub value: f64,
}

/// The figures of a load report in their order; an error names the entry.
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

/// One answer, its texts still where they were received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostAnswer<'a> {
    /// What it belongs to; perhaps to nothing that is in flight.
    pub id: AnswerId,
    /// The outcome.
    pub status: AnswerStatus,
    /// What is known of the function's instance.
    pub instance: InstanceNote,
    /// Requests of the same function that the host had when it answered (`queue_fn`); 0 where not reported.
    pub concurrent_requests: u32,
    /// Instances that are loaded, in answer to a load request (`copies`); 0 where not reported.
    pub instances: u32,
    /// The host's load, where reported.
    pub load: Option<LoadReport>,
    /// What the function gave back.
    pub payload: &'a [u8],
}

/// An answer at the head of a buffer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecodedAnswer<'a> {
    /// The answer; `None` where its id is none that a gateway gives, so that it belongs to nothing.
    pub answer: Option<HostAnswer<'a>>,
    /// Its encoded length in bytes.
    pub length: usize,
}

/// Why a host's answer is refused. Its connection ends.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HostLineError {
    /// The line is longer than any answer's.
    #[error("line: too long")]
    LineTooLong,
    /// The line ends without a carriage return.
    #[error("line: ends without CR")]
    LineEnd,
    /// The line is no UTF-8.
    #[error("line: no text")]
    LineNotText,
    /// The line is not `id status [fields [length]]`. Holds it, printable.
    #[error("line: '{0}'")]
    LineForm(String),
    /// The payload's length is beyond any number.
    #[error("length: out of range")]
    LengthOutOfRange,
    /// The payload is longer than [`MAX_ANSWER_PAYLOAD`]. Holds its length in bytes.
    #[error("length: {0} bytes, at most {MAX_ANSWER_PAYLOAD}")]
    PayloadTooLong(usize),
    /// The payload does not end where its length says.
    #[error("length: does not fit")]
    LengthMismatch,
    /// An entry of the fields is no pair.
    #[error(transparent)]
    Pair(#[from] NotNameValue),
    /// A count is no number from 0 to 2^32 - 1. Holds the field's name on the wire.
    #[error("field {0}: no number")]
    NotNumber(&'static str),
    /// A gauge is not a name and a finite number. Holds the entry, printable.
    #[error("field gauges: '{0}' is not name:number")]
    Gauge(String),
    /// The field `res` has an unknown word, held printable.
    #[error("field res: '{0}'")]
    UnknownInstanceNote(String),
    /// The status is an unknown word, held printable.
    #[error("word: '{0}'")]
    UnknownStatus(String),
    /// An attempt is answered like a health check. Holds the status's word.
    #[error("word: '{0}' for a launch")]
    HealthStatusForAttempt(&'static str),
}

/// The fields of an answer; those of other names are skipped.
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

/// The parts of an answer's line.
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
        // Digits alone: the parser of numbers would take a sign too.
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

/// Reads the answer at the head of `bytes`; `None` while it is incomplete.
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
    // An answer under another id is read to its end and belongs to nothing, whatever it says.
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
