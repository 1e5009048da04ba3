//! Randomly generated failover messages decode to what was encoded.
#![allow(clippy::unwrap_used)]
#[path = "help/frames.rs"]
mod frames;

use frames::{encoded, fields};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::fmt::Debug;
use tidewall_failover::leadership::{Leadership, LeadershipAcceptor};
use tidewall_gateway::failover::control_messages::{
    GatewayStatus, PeerControl, PeerGreeting, VoteReply, VoteRequest, PEER_ROLE,
};
use tidewall_gateway::failover::records::{
    AdmittedRequest, FinalResponse, RecordNames, ReplicationRecord, RequestKey, NO_SLOT,
};
use tidewall_gateway::ingress::Disposition;
use tidewall_wire::{kind, Fields};

const MESSAGE_COUNT: usize = 2_000;

/// Generates random values; small and extreme values are as likely as others.
struct Generator(ChaCha8Rng);

impl Generator {
    fn up_to(&mut self, max: u64) -> u64 {
        match self.0.random_range(0..4) {
            0 => 0,
            1 => max,
            2 => self.0.random_range(0..=max.min(30)),
            _ => self.0.random_range(0..=max),
        }
    }

    fn number(&mut self) -> u64 {
        self.up_to(u64::MAX)
    }

    fn duration(&mut self) -> u64 {
        self.up_to(u64::MAX >> 8)
    }

    fn slot(&mut self) -> usize {
        self.up_to(NO_SLOT as u64) as usize
    }

    fn flag(&mut self) -> bool {
        self.0.random()
    }

    fn bytes(&mut self) -> Vec<u8> {
        let length = self.up_to(300);
        (0..length).map(|_| self.0.random()).collect()
    }

    fn text(&mut self) -> String {
        let length = 1 + self.up_to(40);
        let letters = ['a', 'Z', '-', '0', 'ß', '€', '\u{1f600}', '\n'];
        (0..length)
            .map(|_| letters[self.0.random_range(0..letters.len())])
            .collect()
    }

    fn leadership(&mut self) -> Leadership {
        Leadership {
            epoch: self.number(),
            member: self.up_to(1) as usize,
            synced_incarnations: [self.number(), self.number()],
            fencing_floor: self.number(),
        }
    }

    fn disposition(&mut self) -> Disposition {
        [
            Disposition::Completed,
            Disposition::Rejected,
            Disposition::Failed,
        ][self.0.random_range(0..3)]
    }

    fn memory(&mut self) -> f64 {
        match self.0.random_range(0..3) {
            0 => 0.0,
            1 => self.0.random_range(0.0..1e15),
            _ => self.up_to(1 << 40) as f64 / 8.0,
        }
    }
}

/// The data that a generated record borrows.
struct Borrowed {
    text: String,
    key: Vec<u8>,
    payload: Vec<u8>,
}

fn random_record<'a>(generator: &mut Generator, borrowed: &'a Borrowed) -> ReplicationRecord<'a> {
    let slot = generator.slot();
    match generator.0.random_range(0..8) {
        0 => ReplicationRecord::SnapshotStarted {
            only_changes: generator.flag(),
            history_unknown: generator.up_to(40_000),
        },
        1 => ReplicationRecord::RequestAdmitted(AdmittedRequest {
            slot,
            id: generator.number(),
            class: generator.up_to(2) as usize,
            tenant: generator.flag().then(|| generator.up_to(1) as usize),
            function: &borrowed.text,
            lanes: generator.up_to(1_000) as u32,
            memory: generator.memory(),
            cost_hint: generator.duration(),
            load_hint: generator.duration(),
            remaining: generator.duration(),
            idempotency_key: &borrowed.key,
            payload: &borrowed.payload,
        }),
        2 => ReplicationRecord::AttemptStarted {
            slot,
            attempt: generator.number(),
            worker: &borrowed.text,
        },
        3 => ReplicationRecord::AttemptEnded {
            slot,
            attempt: generator.number(),
            not_executed: generator.flag(),
        },
        4 => ReplicationRecord::ResponseRecorded(FinalResponse {
            slot: generator.flag().then_some(slot),
            request: generator.flag().then(|| RequestKey {
                class: generator.up_to(2) as usize,
                idempotency_key: &borrowed.key,
            }),
            disposition: generator.disposition(),
            payload: &borrowed.payload,
        }),
        5 => ReplicationRecord::RequestAbandoned { slot },
        6 => ReplicationRecord::LoadRequested {
            age: generator.duration(),
        },
        _ => ReplicationRecord::SnapshotCompleted,
    }
}

#[test]
fn random_records_decode_to_what_was_encoded() {
    let classes = ["book", "check", "pay"].map(String::from);
    let tenants = ["north", "söuth"].map(String::from);
    let names = RecordNames {
        classes: &classes,
        tenants: &tenants,
    };
    let mut generator = Generator(ChaCha8Rng::seed_from_u64(1));
    let mut seen = BTreeSet::new();
    let mut buffer = Vec::with_capacity(1 << 16);
    let buffer_address = buffer.as_ptr();
    for number in 0..MESSAGE_COUNT {
        let borrowed = Borrowed {
            text: generator.text(),
            key: generator.bytes(),
            payload: generator.bytes(),
        };
        let record = random_record(&mut generator, &borrowed);
        buffer.clear();
        record.encode(&mut buffer, names);
        let fields = fields(&buffer);
        let read = ReplicationRecord::decode(&fields, names).expect("a record");
        assert_eq!(read, record, "{number}");
        assert_eq!(read.is_request_progress(), record.is_request_progress());
        seen.insert(fields.kind().expect("a kind"));
    }
    assert_eq!(seen, (kind::COPY..=kind::COPIED).collect());
    // A buffer with sufficient capacity is not reallocated.
    assert_eq!(
        (buffer.as_ptr(), buffer.capacity()),
        (buffer_address, 1 << 16)
    );
}

fn assert_round_trip<M: PartialEq + Debug>(
    message: &M,
    encode: impl FnOnce(&mut Vec<u8>),
    decode: impl FnOnce(&Fields) -> M,
) {
    let bytes = encoded(encode);
    assert_eq!(decode(&fields(&bytes)), *message);
}

#[test]
fn random_control_messages_decode_to_what_was_encoded() {
    let mut generator = Generator(ChaCha8Rng::seed_from_u64(2));
    for _ in 0..MESSAGE_COUNT {
        let control = match generator.0.random_range(0..4) {
            0 => PeerControl::Heartbeat {
                serves: generator.flag(),
                synced_incarnation: generator.number(),
                epoch: generator.number(),
            },
            1 => PeerControl::Acknowledged {
                sequence: generator.number(),
            },
            2 => PeerControl::StepDownRequested,
            _ => PeerControl::SteppedDown,
        };
        assert_round_trip(
            &Some(control),
            |out| control.encode(out),
            |fields| PeerControl::decode(fields).expect("well formed"),
        );
        let (call_id, ballot) = (generator.number(), generator.number());
        let request = match generator.flag() {
            true => VoteRequest::Prepare { call_id, ballot },
            false => VoteRequest::Accept {
                call_id,
                ballot,
                leadership: generator.leadership(),
            },
        };
        assert_round_trip(
            &Some(request),
            |out| request.encode(out),
            |fields| VoteRequest::decode(fields).expect("well formed"),
        );
        let reply = VoteReply {
            call_id,
            granted: generator.flag(),
            acceptor: LeadershipAcceptor {
                promised: ballot,
                accepted: generator.leadership(),
            },
        };
        assert_round_trip(
            &reply,
            |out| reply.encode(out),
            |fields| VoteReply::decode(fields).expect("a reply"),
        );
    }
}

#[test]
fn random_greetings_and_statuses_decode_to_what_was_encoded() {
    let mut generator = Generator(ChaCha8Rng::seed_from_u64(3));
    for _ in 0..MESSAGE_COUNT {
        let (name, text, settings) = (generator.text(), generator.text(), generator.bytes());
        let greeting = PeerGreeting {
            name: &name,
            incarnation: generator.number(),
            serves: generator.flag(),
            epoch: generator.number(),
            shared_settings: &settings,
        };
        let bytes = encoded(|out| greeting.encode(out));
        let fields_read = fields(&bytes);
        assert_eq!(tidewall_wire::greeted(&fields_read), Ok(PEER_ROLE));
        let read = PeerGreeting::decode(&fields_read, Some(&name));
        assert_eq!(read, Ok(greeting));
        let status = GatewayStatus {
            name: &name,
            role: &text,
            epoch: generator.number(),
            connected: generator.flag(),
            incarnation: generator.number(),
            in_flight: generator.number(),
            waiting: generator.number(),
            replicated_requests: generator.number(),
            unacknowledged: generator.number(),
            rejected_advertisements: generator.number(),
            settings_mismatch: if generator.flag() { &text } else { "" },
        };
        let bytes = encoded(|out| status.encode(out));
        assert_eq!(GatewayStatus::decode(&fields(&bytes)), Ok(status));
    }
}
