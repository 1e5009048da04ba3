//! Drawn messages of failover are read as they were written.
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

const DRAWN: usize = 2_000;

/// Draws values; small and extreme ones are as likely as others.
struct Draw(ChaCha8Rng);

impl Draw {
    fn up_to(&mut self, most: u64) -> u64 {
        match self.0.random_range(0..4) {
            0 => 0,
            1 => most,
            2 => self.0.random_range(0..=most.min(30)),
            _ => self.0.random_range(0..=most),
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

/// What a drawn record borrows.
struct Borrowed {
    text: String,
    key: Vec<u8>,
    payload: Vec<u8>,
}

fn drawn_record<'a>(draw: &mut Draw, borrowed: &'a Borrowed) -> ReplicationRecord<'a> {
    let slot = draw.slot();
    match draw.0.random_range(0..8) {
        0 => ReplicationRecord::SnapshotStarted {
            only_changes: draw.flag(),
            history_unknown: draw.up_to(40_000),
        },
        1 => ReplicationRecord::RequestAdmitted(AdmittedRequest {
            slot,
            id: draw.number(),
            class: draw.up_to(2) as usize,
            tenant: draw.flag().then(|| draw.up_to(1) as usize),
            function: &borrowed.text,
            lanes: draw.up_to(1_000) as u32,
            memory: draw.memory(),
            cost_hint: draw.duration(),
            load_hint: draw.duration(),
            remaining: draw.duration(),
            idempotency_key: &borrowed.key,
            payload: &borrowed.payload,
        }),
        2 => ReplicationRecord::AttemptStarted {
            slot,
            attempt: draw.number(),
            worker: &borrowed.text,
        },
        3 => ReplicationRecord::AttemptEnded {
            slot,
            attempt: draw.number(),
            not_executed: draw.flag(),
        },
        4 => ReplicationRecord::ResponseRecorded(FinalResponse {
            slot: draw.flag().then_some(slot),
            request: draw.flag().then(|| RequestKey {
                class: draw.up_to(2) as usize,
                idempotency_key: &borrowed.key,
            }),
            disposition: draw.disposition(),
            payload: &borrowed.payload,
        }),
        5 => ReplicationRecord::RequestAbandoned { slot },
        6 => ReplicationRecord::LoadRequested {
            age: draw.duration(),
        },
        _ => ReplicationRecord::SnapshotCompleted,
    }
}

#[test]
fn drawn_records_are_read_as_they_were_written() {
    let classes = ["book", "check", "pay"].map(String::from);
    let tenants = ["north", "söuth"].map(String::from);
    let names = RecordNames {
        classes: &classes,
        tenants: &tenants,
    };
    let mut draw = Draw(ChaCha8Rng::seed_from_u64(1));
    let mut seen = BTreeSet::new();
    let mut buffer = Vec::with_capacity(1 << 16);
    let place = buffer.as_ptr();
    for number in 0..DRAWN {
        let borrowed = Borrowed {
            text: draw.text(),
            key: draw.bytes(),
            payload: draw.bytes(),
        };
        let record = drawn_record(&mut draw, &borrowed);
        buffer.clear();
        record.encode(&mut buffer, names);
        let fields = fields(&buffer);
        let read = ReplicationRecord::decode(&fields, names).expect("a record");
        assert_eq!(read, record, "{number}");
        assert_eq!(read.is_request_progress(), record.is_request_progress());
        seen.insert(fields.kind().expect("a kind"));
    }
    assert_eq!(seen, (kind::COPY..=kind::COPIED).collect());
    // A buffer with room is not replaced by another.
    assert_eq!((buffer.as_ptr(), buffer.capacity()), (place, 1 << 16));
}

fn read_as_written<M: PartialEq + Debug>(
    message: &M,
    encode: impl FnOnce(&mut Vec<u8>),
    decode: impl FnOnce(&Fields) -> M,
) {
    let bytes = encoded(encode);
    assert_eq!(decode(&fields(&bytes)), *message);
}

#[test]
fn drawn_control_messages_are_read_as_they_were_written() {
    let mut draw = Draw(ChaCha8Rng::seed_from_u64(2));
    for _ in 0..DRAWN {
        let control = match draw.0.random_range(0..4) {
            0 => PeerControl::Heartbeat {
                serves: draw.flag(),
                synced_incarnation: draw.number(),
                epoch: draw.number(),
            },
            1 => PeerControl::Acknowledged {
                sequence: draw.number(),
            },
            2 => PeerControl::StepDownRequested,
            _ => PeerControl::SteppedDown,
        };
        read_as_written(
            &Some(control),
            |out| control.encode(out),
            |fields| PeerControl::decode(fields).expect("well formed"),
        );
        let (call_id, ballot) = (draw.number(), draw.number());
        let request = match draw.flag() {
            true => VoteRequest::Prepare { call_id, ballot },
            false => VoteRequest::Accept {
                call_id,
                ballot,
                leadership: draw.leadership(),
            },
        };
        read_as_written(
            &Some(request),
            |out| request.encode(out),
            |fields| VoteRequest::decode(fields).expect("well formed"),
        );
        let reply = VoteReply {
            call_id,
            granted: draw.flag(),
            acceptor: LeadershipAcceptor {
                promised: ballot,
                accepted: draw.leadership(),
            },
        };
        read_as_written(
            &reply,
            |out| reply.encode(out),
            |fields| VoteReply::decode(fields).expect("a reply"),
        );
    }
}

#[test]
fn drawn_greetings_and_statuses_are_read_as_they_were_written() {
    let mut draw = Draw(ChaCha8Rng::seed_from_u64(3));
    for _ in 0..DRAWN {
        let (name, text, settings) = (draw.text(), draw.text(), draw.bytes());
        let greeting = PeerGreeting {
            name: &name,
            incarnation: draw.number(),
            serves: draw.flag(),
            epoch: draw.number(),
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
            epoch: draw.number(),
            connected: draw.flag(),
            incarnation: draw.number(),
            in_flight: draw.number(),
            waiting: draw.number(),
            replicated_requests: draw.number(),
            unacknowledged: draw.number(),
            rejected_advertisements: draw.number(),
            settings_mismatch: if draw.flag() { &text } else { "" },
        };
        let bytes = encoded(|out| status.encode(out));
        assert_eq!(GatewayStatus::decode(&fields(&bytes)), Ok(status));
    }
}
