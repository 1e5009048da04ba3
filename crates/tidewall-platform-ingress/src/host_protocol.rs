//! The platform's hosts as the gateway's workers: what the gateway asks of a worker becomes a line, and a host's answer
//! becomes a worker's event.
use crate::error::{PeerDatagramError, MAX_DATAGRAM};
use tidewall::interface::{Outcome, Time};
use tidewall_gateway::error::ProtocolError;
use tidewall_gateway::protocol::{
    AttemptMessage, CallName, LoadRequestMessage, LocalIdentity, WorkerEvents, WorkerProtocol,
};
use tidewall_platform::host_lines::{
    self, AnswerId, AnswerStatus, HostAnswer, HostLineError, HostRequest, InstanceNote,
};

/// How long the rest of an answer that has begun may take, in tenths of a millisecond. It is a matter of a round trip, a
/// few milliseconds; this is far more, and leaves time for a retry elsewhere.
const PARTIAL_ANSWER_TIMEOUT: Time = 500;

/// More concurrent requests of one function at a host are reported as this many, as on the bench's wire.
const MAX_CONCURRENT_REQUESTS: u32 = 30;

/// Bits of an attempt's note that hold what is known of the instance; the number of concurrent requests stands above them.
const INSTANCE_NOTE_BITS: u32 = 3;

/// The protocol that the platform's hosts speak.
pub struct HostProtocol;

impl WorkerProtocol for HostProtocol {
    /// A host that is connected is ready.
    fn requires_greeting(&self) -> bool {
        false
    }

    /// `halt` has no answer.
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
            // At least 1: a host could do nothing in no time.
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

    /// Writes the datagram as it is; one that is longer than the platform allows is not sent.
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

/// Reports an answer to the gateway. The load report comes first: it holds whatever became of the call.
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

/// The note of an attempt as the gateway takes it: what is known of the instance, and the concurrent requests, which count
/// only where the host decided by them.
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
