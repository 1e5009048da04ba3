//! Failover messages: frames that were recorded before these types existed decode and encode to the same
//! bytes; malformed frames are rejected.
#![allow(clippy::unwrap_used)]
#[path = "help/frames.rs"]
mod frames;

use frames::{encoded, fields};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use test_case::test_case;
use tidewall_failover::leadership::{Leadership, LeadershipAcceptor};
use tidewall_gateway::failover::control_messages::{
    GatewayStatus, PeerControl, PeerGreeting, VoteReply, VoteRequest, PEER_ROLE,
};
use tidewall_gateway::failover::records::{
    AdmittedRequest, FinalResponse, RecordNames, ReplicationRecord, RequestKey,
};
use tidewall_gateway::ingress::Disposition;
use tidewall_wire::{kind, Field, Fields, Frame};

/// Returns the name and bytes of each recorded frame.
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

/// Returns all classes and tenants that the recorded frames name.
fn recorded_names() -> (Vec<String>, Vec<String>) {
    let (mut classes, mut tenants) = (BTreeSet::new(), BTreeSet::new());
    for (_, bytes) in recorded() {
        let fields = fields(&bytes);
        classes.extend(fields.text(Field::Type).ok().map(str::to_string));
        tenants.extend(fields.text(Field::Tenant).ok().map(str::to_string));
    }
    (classes.into_iter().collect(), tenants.into_iter().collect())
}

/// Decodes a failover frame and encodes it again; none for frames of other protocols.
fn reencoded(fields: &Fields, names: RecordNames) -> Option<Vec<u8>> {
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
        if let Some(reencoded_bytes) = reencoded(&fields, names) {
            assert_eq!(reencoded_bytes, bytes, "{name}");
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

/// No recorded run contains tenants, or a response while a snapshot is sent. These frames are written here
/// field by field, in the same order as before.
#[test]
fn forms_that_were_not_recorded_keep_the_order_of_their_fields() {
    let classes = ["check".to_string()];
    let tenants = ["north".to_string()];
    let names = RecordNames::new(&classes, &tenants);
    let admitted = ReplicationRecord::RequestAdmitted(AdmittedRequest {
        slot: 7,
        id: 8,
        class: 0,
        tenant: Some(0),
        function: "stock",
        lanes: 1,
        memory: 0.0,
        cost_hint: 0,
        load_hint: 0,
        remaining: 0,
        idempotency_key: &[],
        payload: b"p",
    });
    let expected = encoded(|out| {
        Frame::new(out, kind::TAKEN)
            .whole(Field::Place, 7)
            .whole(Field::Id, 8)
            .text(Field::Type, "check")
            .text(Field::Function, "stock")
            .text(Field::Tenant, "north")
            .whole(Field::Left, 0)
            .bytes(Field::Payload, b"p")
            .end()
    });
    assert_eq!(encoded(|out| admitted.encode(out, names)), expected);
    let response = ReplicationRecord::ResponseRecorded(FinalResponse {
        slot: Some(7),
        request: Some(RequestKey {
            class: 0,
            idempotency_key: b"k",
        }),
        disposition: Disposition::Failed,
        payload: b"p",
    });
    let expected = encoded(|out| {
        Frame::new(out, kind::ANSWERED)
            .whole(Field::Place, 7)
            .text(Field::Word, "dead-lettered")
            .text(Field::Type, "check")
            .bytes(Field::Mark, b"k")
            .bytes(Field::Payload, b"p")
            .end()
    });
    assert_eq!(encoded(|out| response.encode(out, names)), expected);
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
#[test_case(kind::TAKEN, |f| f.whole(Field::Type, 1), "field type is no text" ; "class is not text")]
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

#[test_case(Some("b"), "field name: a is not the other member" ; "not the configured peer")]
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
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut refused = 0;
    for (_, bytes) in recorded() {
        for _ in 0..200 {
            let mut damaged = bytes[4..].to_vec();
            let at = rng.random_range(0..damaged.len());
            damaged[at] = rng.random();
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
