//! Adapts the hosts' line protocol to the gateway's [`WorkerProtocol`]: requests to workers are
//! encoded as lines, and hosts' answers are reported as worker events.
use crate::error::{PeerDatagramError, MAX_DATAGRAM};
use tidewall::interface::{Outcome, Time};
use tidewall_gateway::error::ProtocolError;
use tidewall_gateway::protocol::{
    AttemptMessage, CallName, LoadRequestMessage, LocalIdentity, WorkerEvents, WorkerProtocol,
};
use tidewall_platform::host_lines::{
    self, AnswerId, AnswerStatus, HostAnswer, HostLineError, HostRequest, InstanceNote,
};

/// Maximum time from the first to the last byte of an answer, in tenths of a millisecond. Normally
/// that takes a round trip, a few milliseconds; this limit is far longer, and leaves time for a
/// retry on another host.
const PARTIAL_ANSWER_TIMEOUT: Time = 500;

/// Larger counts of concurrent requests of a function on a host are reported as this value, as in
/// the bench's line protocol.
const MAX_CONCURRENT_REQUESTS: u32 = 30;

/// Number of low bits of an attempt's note that hold the instance's state. The number of concurrent
/// requests is in the bits above.
const INSTANCE_NOTE_BITS: u32 = 3;

/// The line protocol of the platform's hosts.
pub struct HostProtocol;

impl WorkerProtocol for HostProtocol {
    /// A host is ready as soon as it is connected.
    fn requires_greeting(&self) -> bool {
        false
    }

    /// `halt` is not answered.
    fn confirms_cancelled(&self) -> bool {
        false
    }

    fn answers_by_request_id(&self) -> bool {
        true
    }

    fn partial_message_timeout(&self) -> Option<Time> {
        Some(PARTIAL_ANSWER_TIMEOUT)
    }

    fn write_greeting(&self, _out: &mut Vec<u8>, _identity: &LocalIdentity) {}

    fn write_attempt(&self, out: &mut Vec<u8>, _call_id: u64, attempt: &AttemptMessage) {
        let request = HostRequest::Attempt {
            request_id: attempt.request_id,
            class: attempt.class,
            function: attempt.function,
            // At least 1: with a timeout of 0 a host could execute nothing.
            timeout_ms: (attempt.timeout / 10).max(1),
            idempotency_key: attempt.idempotency_key,
            payload: attempt.payload,
        };
        request.encode(out);
    }

    fn write_cancel(&self, out: &mut Vec<u8>, _call_id: u64, request_id: u64) {
        HostRequest::Cancel { request_id }.encode(out);
    }

    fn write_health_check(&self, out: &mut Vec<u8>, call_id: u64) {
        HostRequest::HealthCheck { call_id }.encode(out);
    }

    fn write_load_request(&self, out: &mut Vec<u8>, call_id: u64, request: &LoadRequestMessage) {
        let request = HostRequest::LoadInstances {
            call_id,
            function: request.function,
            instances: request.instances,
        };
        request.encode(out);
    }

    fn write_unload(&self, out: &mut Vec<u8>, function: &str) {
        HostRequest::Unload { function }.encode(out);
    }

    fn read_message(
        &self,
        bytes: &[u8],
        events: &mut dyn WorkerEvents,
    ) -> Result<Option<usize>, ProtocolError> {
        let Some(decoded) = host_lines::decode(bytes).map_err(ProtocolError::other)? else {
            return Ok(None);
        };
        if let Some(answer) = &decoded.answer {
            deliver(answer, events)?;
        }
        Ok(Some(decoded.length))
    }

    /// Writes the datagram unchanged. One that is longer than the platform allows is dropped.
    fn write_peer_datagram(&self, out: &mut Vec<u8>, _gateway_index: u64, bytes: &[u8]) {
        if bytes.len() <= MAX_DATAGRAM {
            out.extend_from_slice(bytes);
        }
    }

    fn read_peer_datagram<'a>(
        &self,
        from: Option<u32>,
        bytes: &'a [u8],
    ) -> Result<(u32, &'a [u8]), ProtocolError> {
        let from = from.ok_or_else(|| ProtocolError::other(PeerDatagramError::UnknownSender))?;
        if bytes.len() > MAX_DATAGRAM {
            return Err(ProtocolError::other(PeerDatagramError::TooLong(
                bytes.len(),
            )));
        }
        Ok((from, bytes))
    }

    fn write_error(&self, _out: &mut Vec<u8>, _reason: &str) {}
}

/// Reports an answer to the gateway. The load report comes first, as it is valid whatever the
/// outcome of the call.
fn deliver(answer: &HostAnswer, events: &mut dyn WorkerEvents) -> Result<(), ProtocolError> {
    if let Some(load) = answer.load {
        events.load_reported(load.requests_in_flight, load.busy_cores);
    }
    let outcome = match answer.status {
        AnswerStatus::Completed | AnswerStatus::Healthy => Outcome::Ok,
        AnswerStatus::Miss => Outcome::Miss,
        AnswerStatus::AtCapacity => Outcome::AtCapacity,
        AnswerStatus::Failed | AnswerStatus::Unhealthy => Outcome::Error,
        AnswerStatus::Discarded => Outcome::Discarded,
    };
    match (answer.id, answer.status) {
        (AnswerId::Request(_), AnswerStatus::Healthy | AnswerStatus::Unhealthy) => {
            let error = HostLineError::HealthStatusForAttempt(answer.status.wire_text());
            Err(ProtocolError::other(error))
        }
        (AnswerId::Request(id), _) => {
            let name = CallName::RequestId(id);
            events.attempt_ended(name, outcome, attempt_note(answer), answer.payload)
        }
        (AnswerId::Call(id), AnswerStatus::Healthy | AnswerStatus::Unhealthy) => {
            let is_healthy = answer.status == AnswerStatus::Healthy;
            events.health_check_ended(CallName::CallId(id), is_healthy)
        }
        (AnswerId::Call(id), _) => {
            events.load_request_ended(CallName::CallId(id), outcome, answer.instances)
        }
    }
}

/// Encodes the attempt's note for the gateway: the state of the instance, and the number of
/// concurrent requests. The number is included only if the host's decision depended on it: if it
/// completed the attempt or rejected it for lack of capacity.
fn attempt_note(answer: &HostAnswer) -> u32 {
    let instance = match answer.instance {
        InstanceNote::NotReported => 0,
        InstanceNote::Loaded => 1,
        InstanceNote::Started => 2,
        InstanceNote::Starting => 3,
        InstanceNote::StartFailed => 4,
    };
    let concurrent_requests = match answer.status {
        AnswerStatus::Completed | AnswerStatus::AtCapacity => {
            answer.concurrent_requests.min(MAX_CONCURRENT_REQUESTS)
        }
        _ => 0,
    };
    instance | concurrent_requests << INSTANCE_NOTE_BITS
}
