//! Hosts at the gateway's seam: their lines become what the gateway hears of a worker.
use tidewall::interface::{Outcome, Time};
use tidewall_gateway::error::ProtocolError;
use tidewall_gateway::protocol::{
    AttemptMessage, CallName, LoadRequestMessage, LocalIdentity, WorkerEvents, WorkerProtocol,
};
use tidewall_platform::host::{self, Answers, Fields, Of};

pub struct Lines;

/// The page's bound of a datagram between gateways.
const DATAGRAM_MOST: usize = 256;

impl WorkerProtocol for Lines {
    /// Connected is all there is.
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

    /// A matter of a round trip, a few milliseconds; this is far more, and still lets events go elsewhere in time.
    fn partial_message_timeout(&self) -> Option<Time> {
        Some(500)
    }

    fn write_greeting(&self, _out: &mut Vec<u8>, _me: &LocalIdentity) {}

    fn write_attempt(&self, out: &mut Vec<u8>, _own: u64, l: &AttemptMessage) {
        // At least one: no time at all could not be used by a host.
        host::go(
            out,
            l.request_id,
            l.class,
            l.function,
            (l.timeout / 10).max(1),
            l.idempotency_key,
            l.payload,
        );
    }

    fn write_cancel(&self, out: &mut Vec<u8>, _own: u64, event: u64) {
        host::halt(out, event);
    }

    fn write_health_check(&self, out: &mut Vec<u8>, own: u64) {
        host::stat(out, own);
    }

    fn write_load_request(&self, out: &mut Vec<u8>, own: u64, order: &LoadRequestMessage) {
        host::stage(out, own, order.function, order.instances);
    }

    fn write_unload(&self, out: &mut Vec<u8>, function: &str) {
        host::purge(out, function);
    }

    fn read_message(
        &self,
        bytes: &[u8],
        heard: &mut dyn WorkerEvents,
    ) -> Result<Option<usize>, ProtocolError> {
        host::read(bytes, &mut Ear(heard)).map_err(ProtocolError::other)
    }

    /// As it is; a longer one than the page allows stays here.
    fn write_peer_datagram(&self, out: &mut Vec<u8>, _me: u64, bytes: &[u8]) {
        if bytes.len() <= DATAGRAM_MOST {
            out.extend_from_slice(bytes);
        }
    }

    fn read_peer_datagram<'a>(
        &self,
        from: Option<u32>,
        bytes: &'a [u8],
    ) -> Result<(u32, &'a [u8]), ProtocolError> {
        let from = from.ok_or_else(|| ProtocolError::other("datagram: from nobody's address"))?;
        if bytes.len() > DATAGRAM_MOST {
            let reason = format!("datagram: {} bytes, at most {DATAGRAM_MOST}", bytes.len());
            return Err(ProtocolError::other(reason));
        }
        Ok((from, bytes))
    }

    fn write_error(&self, _out: &mut Vec<u8>, _reason: &str) {}
}

struct Ear<'a>(&'a mut dyn WorkerEvents);

/// Events of the same function at a host beyond this are told as this many, as on the bench's wire.
const COMPANY_MOST: u32 = 30;

impl Answers for Ear<'_> {
    fn answer(&mut self, of: Of, word: &str, fields: &Fields, body: &[u8]) -> Result<(), String> {
        let note = match fields.note {
            "" => 0,
            "hit" => 1,
            "spawn" => 2,
            "pending" => 3,
            "spawn_failed" => 4,
            other => return Err(format!("field res: '{}'", tidewall_platform::shown(other))),
        };
        let outcome = match word {
            "ok" | "yes" => Outcome::Ok,
            "nothing" => Outcome::Miss,
            "refused" => Outcome::AtCapacity,
            "error" | "no" => Outcome::Error,
            "stale" => Outcome::Discarded,
            other => return Err(format!("word: '{}'", tidewall_platform::shown(other))),
        };
        if !fields.gauges.is_empty() {
            let (mut in_flight, mut busy) = (0.0, 0.0);
            for gauge in host::gauges(fields.gauges) {
                match gauge? {
                    ("rif", value) => in_flight = value,
                    ("busy", value) => busy = value,
                    _ => {}
                }
            }
            self.0.load_reported(in_flight, busy);
        }
        match (of, word) {
            (Of::Trace(_), "yes" | "no") => Err(format!("word: '{word}' for a launch")),
            (Of::Trace(trace), _) => {
                // Company is told with these two alone.
                let told = matches!(outcome, Outcome::Ok | Outcome::AtCapacity);
                let company = if told {
                    fields.company.min(COMPANY_MOST)
                } else {
                    0
                };
                let name = CallName::RequestId(trace);
                let ended = self
                    .0
                    .attempt_ended(name, outcome, note | company << 3, body);
                ended.map_err(String::from)
            }
            (Of::Tag(tag), "yes" | "no") => self
                .0
                .health_check_ended(CallName::CallId(tag), word == "yes")
                .map_err(String::from),
            (Of::Tag(tag), _) => {
                let name = CallName::CallId(tag);
                let ended = self.0.load_request_ended(name, outcome, fields.copies);
                ended.map_err(String::from)
            }
        }
    }
}
