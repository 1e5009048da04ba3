//! The messages of failover: frames recorded before they became types decode and encode to the same bytes, and drawn
//! messages are read as they were written.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::fmt::Debug;
use test_case::test_case;
use tidewall_failover::leadership::{Leadership, LeadershipAcceptor};
use tidewall_gateway::failover::control_messages::{
    GatewayStatus, PeerControl, PeerGreeting, VoteReply, VoteRequest, PEER_ROLE,
};
use tidewall_gateway::failover::records::{
    AdmittedRequest, FinalResponse, RecordNames, ReplicationRecord, RequestKey, NO_SLOT,
};
use tidewall_gateway::ingress::Disposition;
use tidewall_wire::{frame, kind, Field, Fields, Frame};

const DRAWN: usize = 2_000;

/// Name and bytes of each recorded frame.
fn recorded() -> Vec<(&'static str, Vec<u8>)> {
    let files = [
        include_str!("../../../tests/oracles/wire/native-frames.hex"),
        include_str!("../../../tests/oracles/wire/native-written.hex"),
    ];
    let byte = |pair: &[u8]| {
        let digits = std::str::from_utf8(pair).expect("digits are ASCII");
        u8::from_str_radix(digits, 16).expect("two hexadecimal digits")
    };
    files
        .iter()
        .flat_map(|text| text.lines())
        .map(|line| line.split_once(' ').expect("a name and bytes"))
        .map(|(name, hex)| (name, hex.as_bytes().chunks(2).map(byte).collect()))
        .collect()
}

fn recorded_frame(name: &str) -> Vec<u8> {
    let found = recorded().into_iter().find(|(known, _)| *known == name);
    found.expect("it is recorded").1
}

/// The fields of a buffer that holds exactly one frame.
fn fields(bytes: &[u8]) -> Fields<'_> {
    let (body, length) = frame(bytes)
        .expect("not too long")
        .expect("a complete frame");
    assert_eq!(length, bytes.len());
    Fields::read(body).expect("a map of fields")
}

fn encoded(encode: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(&mut bytes);
    bytes
}

/// All classes and tenants that recorded frames name.
fn recorded_names() -> (Vec<String>, Vec<String>) {
    let (mut classes, mut tenants) = (BTreeSet::new(), BTreeSet::new());
    for (_, bytes) in recorded() {
        let fields = fields(&bytes);
        classes.extend(fields.text(Field::Type).ok().map(str::to_string));
        tenants.extend(fields.text(Field::Tenant).ok().map(str::to_string));
    }
    (classes.into_iter().collect(), tenants.into_iter().collect())
}

/// Decodes a frame of failover and encodes it again; none for frames of other protocols.
fn encoded_again(fields: &Fields, names: RecordNames) -> Option<Vec<u8>> {
    let kind = fields.kind().expect("a kind");
    Some(match kind {
        kind::HELLO if fields.text(Field::Role) == Ok(PEER_ROLE) => {
            let name = fields.text(Field::Name).expect("a name");
            let greeting = PeerGreeting::decode(fields, Some(name)).expect("a greeting");
            encoded(|out| greeting.encode(out))
        }
        kind::PING | kind::RECORDED | kind::YIELD | kind::YIELDED => {
            let control = PeerControl::decode(fields).expect("well formed");
            encoded(|out| control.expect("a control message").encode(out))
        }
        kind::COPY..=kind::COPIED => {
            assert_eq!(PeerControl::decode(fields), Ok(None));
            let record = ReplicationRecord::decode(fields, names).expect("a record");
            encoded(|out| record.encode(out, names))
        }
        kind::STATUS => {
            let status = GatewayStatus::decode(fields).expect("a status");
            encoded(|out| status.encode(out))
        }
        kind::PREPARE | kind::ACCEPT => {
            let request = VoteRequest::decode(fields).expect("well formed");
            encoded(|out| request.expect("a vote request").encode(out))
        }
        kind::PROMISED => {
            let reply = VoteReply::decode(fields).expect("a reply");
            encoded(|out| reply.encode(out))
        }
        _ => return None,
    })
}

#[test]
fn recorded_frames_decode_and_encode_to_the_same_bytes() {
    let (classes, tenants) = recorded_names();
    let names = RecordNames {
        classes: &classes,
        tenants: &tenants,
    };
    let mut kinds = BTreeSet::new();
    let mut frames = 0;
    for (name, bytes) in recorded() {
        let fields = fields(&bytes);
        if let Some(again) = encoded_again(&fields, names) {
            assert_eq!(again, bytes, "{name}");
            kinds.insert(fields.kind().expect("a kind"));
            frames += 1;
        }
    }
    let mut all: BTreeSet<u64> = (kind::PING..=kind::STATUS).collect();
    all.extend([kind::HELLO, kind::PREPARE, kind::ACCEPT, kind::PROMISED]);
    assert_eq!(kinds, all);
    assert!(frames >= 26, "{frames}");
}

#[test]
fn a_recorded_admission_has_these_values() {
    let classes = ["other".to_string(), "check".to_string()];
    let names = RecordNames {
        classes: &classes,
        tenants: &[],
    };
    let bytes = recorded_frame("taken-1");
    let record = ReplicationRecord::decode(&fields(&bytes), names).expect("a record");
    let ReplicationRecord::RequestAdmitted(request) = record else {
        panic!("{record:?}");
    };
    assert_eq!(request.payload.len(), 64);
    let expected = AdmittedRequest {
        slot: 0,
        id: 16,
        class: 1,
        tenant: None,
        function: "stock3",
        lanes: 2,
        memory: 120.0,
        cost_hint: 250,
        load_hint: 1_500,
        remaining: 27_000,
        idempotency_key: &[0, 0, 0, 0, 0, 0, 0, 2],
        payload: request.payload,
    };
    assert_eq!(request, expected);
}

#[test]
fn a_recorded_response_of_a_snapshot_has_these_values() {
    let classes = ["check".to_string()];
    let names = RecordNames {
        classes: &classes,
        tenants: &[],
    };
    let bytes = recorded_frame("answered-3");
    let expected = FinalResponse {
        slot: None,
        request: Some(RequestKey {
            class: 0,
            idempotency_key: &[0, 0, 0, 0, 0, 0, 0, 2],
        }),
        disposition: Disposition::Completed,
        payload: &[0, 0, 0, 0, 0, 0, 0, 0x10],
    };
    let record = ReplicationRecord::decode(&fields(&bytes), names).expect("a record");
    assert_eq!(record, ReplicationRecord::ResponseRecorded(expected));
}

#[test]
fn a_recorded_vote_request_and_reply_have_these_values() {
    let bytes = recorded_frame("accept-1");
    let leadership = Leadership {
        epoch: 0x0100_0002,
        member: 0,
        synced_incarnations: [1, 0],
        fencing_floor: 0x0100_0002,
    };
    let expected = VoteRequest::Accept {
        call_id: 0x6_0000_0003,
        ballot: 0x0100_0002,
        leadership,
    };
    assert_eq!(VoteRequest::decode(&fields(&bytes)), Ok(Some(expected)));
    let bytes = recorded_frame("promised-1");
    let expected = VoteReply {
        call_id: 0x3_0000_0002,
        granted: true,
        acceptor: LeadershipAcceptor {
            promised: 0x0100_0002,
            accepted: Leadership::default(),
        },
    };
    assert_eq!(VoteReply::decode(&fields(&bytes)), Ok(expected));
}

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

fn error_of_record(write: impl FnOnce(Frame) -> Frame, kind: u64) -> String {
    let bytes = encoded(|out| write(Frame::new(out, kind)).end());
    let classes = ["check".to_string()];
    let names = RecordNames {
        classes: &classes,
        tenants: &[],
    };
    let fields = fields(&bytes);
    let refused = ReplicationRecord::decode(&fields, names);
    refused.expect_err("it is refused").to_string()
}

#[test_case(kind::TAKEN, |f| f.text(Field::Type, "pay"), "field type: 'pay' is unknown" ; "unknown class")]
#[test_case(kind::TAKEN, |f| f.whole(Field::Type, 1), "field type is no text" ; "class of another type")]
#[test_case(kind::TAKEN, |f| f.text(Field::Type, "check"), "field id is missing" ; "no id")]
#[test_case(kind::GONE, |f| f.whole(Field::Place, (1 << 24) + 1), "field place: 16777217 is over 16777216" ; "slot too high")]
#[test_case(kind::OVER, |f| f, "field launch is missing" ; "no attempt")]
#[test_case(kind::LAUNCHED, |f| f, "field name is missing" ; "no worker")]
#[test_case(kind::ANSWERED, |f| f.text(Field::Word, "done"), "field word: 'done' is no answer" ; "unknown word")]
#[test_case(kind::ORDERED, |f| f.whole(Field::Age, u64::MAX), "field age: 18446744073709551615 is over 72057594037927935" ; "age too high")]
#[test_case(kind::EVENT, |f| f, "field kind: 10 is not for a pair" ; "another kind")]
fn malformed_records_name_their_field(kind: u64, write: fn(Frame) -> Frame, expected: &str) {
    assert_eq!(error_of_record(write, kind), expected);
}

#[test_case(Some("b"), "field name: a is not the other member" ; "a stranger")]
#[test_case(None, "field role: no pair here" ; "failover is not configured")]
fn greetings_of_others_are_refused(expected: Option<&str>, problem: &str) {
    let greeting = PeerGreeting {
        name: "a",
        incarnation: 1,
        serves: false,
        epoch: 0,
        shared_settings: b"tick_ms = 1",
    };
    let bytes = encoded(|out| greeting.encode(out));
    let fields = fields(&bytes);
    let refused = PeerGreeting::decode(&fields, expected);
    assert_eq!(refused.expect_err("it is refused").to_string(), problem);
}

#[test]
fn damaged_frames_are_refused_or_read_and_never_panic() {
    let (classes, tenants) = recorded_names();
    let names = RecordNames {
        classes: &classes,
        tenants: &tenants,
    };
    let mut chance = ChaCha8Rng::seed_from_u64(4);
    let mut refused = 0;
    for (_, bytes) in recorded() {
        for _ in 0..200 {
            let mut damaged = bytes[4..].to_vec();
            let at = chance.random_range(0..damaged.len());
            damaged[at] = chance.random();
            let Ok(fields) = Fields::read(&damaged) else {
                continue;
            };
            let results = [
                ReplicationRecord::decode(&fields, names).is_err(),
                PeerControl::decode(&fields).is_err(),
                PeerGreeting::decode(&fields, Some("a")).is_err(),
                GatewayStatus::decode(&fields).is_err(),
                VoteRequest::decode(&fields).is_err(),
                VoteReply::decode(&fields).is_err(),
            ];
            refused += results.iter().filter(|error| **error).count();
        }
    }
    assert!(refused > 1_000, "{refused}");
}
