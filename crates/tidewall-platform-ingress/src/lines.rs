//! Hosts at the gateway's seam: their lines become what the gateway hears of a worker.
use tidewall::interface::{Outcome, Time};
use tidewall_gateway::way::{Heard, Launched, Me, Name, Order, Way};
use tidewall_platform::host::{self, Answers, Fields, Of};

pub struct Lines;

/// The page's bound of a datagram between gateways.
const DATAGRAM_MOST: usize = 256;

impl Way for Lines {
    /// Connected is all there is.
    fn greets(&self) -> bool {
        false
    }

    /// `halt` has no answer.
    fn ends_given_up(&self) -> bool {
        false
    }

    fn by_event(&self) -> bool {
        true
    }

    /// A matter of a round trip, a few milliseconds; this is far more, and still lets events go elsewhere in time.
    fn rest(&self) -> Option<Time> {
        Some(500)
    }

    fn hello(&self, _out: &mut Vec<u8>, _me: &Me) {}

    fn launch(&self, out: &mut Vec<u8>, _own: u64, l: &Launched) {
        // At least one: no time at all could not be used by a host.
        host::go(
            out,
            l.event,
            l.typ,
            l.function,
            (l.waits / 10).max(1),
            l.mark,
            l.payload,
        );
    }

    fn cancel(&self, out: &mut Vec<u8>, _own: u64, event: u64) {
        host::halt(out, event);
    }

    fn probe(&self, out: &mut Vec<u8>, own: u64) {
        host::stat(out, own);
    }

    fn hold(&self, out: &mut Vec<u8>, own: u64, order: &Order) {
        host::stage(out, own, order.function, order.copies);
    }

    fn unload(&self, out: &mut Vec<u8>, function: &str) {
        host::purge(out, function);
    }

    fn read(&self, bytes: &[u8], heard: &mut dyn Heard) -> Result<Option<usize>, String> {
        host::read(bytes, &mut Ear(heard))
    }

    /// As it is; a longer one than the page allows stays here.
    fn tell(&self, out: &mut Vec<u8>, _me: u64, bytes: &[u8]) {
        if bytes.len() <= DATAGRAM_MOST {
            out.extend_from_slice(bytes);
        }
    }

    fn told<'a>(&self, from: Option<u32>, bytes: &'a [u8]) -> Result<(u32, &'a [u8]), String> {
        let from = from.ok_or("datagram: from nobody's address")?;
        if bytes.len() > DATAGRAM_MOST {
            return Err(format!(
                "datagram: {} bytes, at most {DATAGRAM_MOST}",
                bytes.len()
            ));
        }
        Ok((from, bytes))
    }

    fn complain(&self, _out: &mut Vec<u8>, _reason: &str) {}
}

struct Ear<'a>(&'a mut dyn Heard);

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
            self.0.reported(in_flight, busy);
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
                self.0
                    .ended(Name::Event(trace), outcome, note | company << 3, body)
            }
            (Of::Tag(tag), "yes" | "no") => self.0.probed(Name::Own(tag), word == "yes"),
            (Of::Tag(tag), _) => self.0.held(Name::Own(tag), outcome, fields.copies),
        }
    }
}
