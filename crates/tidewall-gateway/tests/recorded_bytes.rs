//! Stored endpoint lists and native worker messages have the bytes that are recorded in `tests/oracles`,
//! for the inputs in its README.
#![allow(clippy::unwrap_used)]
use std::fs;
use std::path::PathBuf;
use test_case::test_case;
use tidewall::interface::EndpointState;
use tidewall_gateway::endpoints::{decode, encode, EndpointRecord};
use tidewall_gateway::native_protocol::NativeWorkerProtocol;
use tidewall_gateway::protocol::{
    AttemptMessage, LoadRequestMessage, LocalIdentity, WorkerProtocol,
};

fn oracle(name: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../tests/oracles");
    fs::read_to_string(folder.join(name)).unwrap()
}

fn from_hex(text: &str) -> Vec<u8> {
    let text = text.trim();
    assert_eq!(text.len() % 2, 0);
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

/// Returns the bytes of a recorded message.
fn message(name: &str) -> Vec<u8> {
    let text = oracle("wire/native-way.hex");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    from_hex(line.unwrap_or_else(|| panic!("{name} is recorded")))
}

fn record(name: &str, address: &str, (zone, machine): (&str, &str)) -> EndpointRecord {
    EndpointRecord {
        name: name.to_string(),
        address: address.parse().unwrap(),
        zone: zone.to_string(),
        machine: machine.to_string(),
        cell: 0,
        state: EndpointState::Active,
        rating: 1.0,
        incarnation: 1,
        age: 0,
    }
}

fn recorded_list() -> Vec<EndpointRecord> {
    vec![
        record("w0", "127.0.0.1:7500", ("north", "plain")),
        EndpointRecord {
            cell: 7,
            state: EndpointState::Draining,
            rating: 2.5,
            incarnation: 1_764_633_600_000,
            age: 123_456,
            ..record("w1", "10.1.2.3:80", ("east", "big"))
        },
        EndpointRecord {
            cell: u32::MAX,
            state: EndpointState::Removed,
            rating: 0.0,
            incarnation: u64::MAX,
            age: (1 << 56) - 1,
            ..record("w2", "[2001:db8::1]:65535", ("", ""))
        },
        EndpointRecord {
            cell: 1,
            rating: 0.125,
            incarnation: 24,
            age: 23,
            ..record("wörker-3", "127.0.0.1:1", ("north", "plain"))
        },
    ]
}

#[test_case("endpoint-list.hex", recorded_list() ; "with entries")]
#[test_case("endpoint-list-empty.hex", Vec::new() ; "empty")]
fn stored_endpoint_lists_decode_to_their_records_and_encode_to_their_bytes(
    file: &str,
    records: Vec<EndpointRecord>,
) {
    let bytes = from_hex(&oracle(file));
    assert_eq!(decode(&bytes, 0).unwrap(), records);
    assert_eq!(encode(&records), bytes);
}

/// Returns what `write` appends to a buffer that is not empty.
fn written(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = b"before".to_vec();
    write(&mut out);
    assert_eq!(&out[..6], b"before", "what the buffer held stays");
    out.split_off(6)
}

#[test_case("hello", 0 ; "of a gateway without a failover pair")]
#[test_case("hello-pair-member", 2 ; "of a member of a failover pair")]
fn greetings_have_the_recorded_bytes(name: &str, failover_member: u64) {
    let identity = LocalIdentity {
        name: "g0",
        index: 3,
        failover_member,
    };
    let greeting = written(|out| NativeWorkerProtocol.write_greeting(out, &identity));
    assert_eq!(greeting, message(name));
}

#[test]
fn attempts_have_the_recorded_bytes() {
    let full = AttemptMessage {
        request_id: 1 << 40,
        attempt: 2,
        class: "book",
        function: "ledger-1",
        lanes: 2,
        memory: 110.5,
        timeout: 900,
        remaining: 21_000,
        cost_hint: 150,
        idempotency_key: &[1, 2, 3],
        is_retry: true,
        epoch: 5,
        payload: b"payload",
    };
    let bytes = written(|out| NativeWorkerProtocol.write_attempt(out, 77, &full));
    assert_eq!(bytes, message("launch"));
    let minimal = AttemptMessage {
        request_id: 0,
        attempt: 0,
        lanes: 1,
        memory: 0.0,
        timeout: 0,
        remaining: 0,
        cost_hint: 0,
        idempotency_key: &[],
        is_retry: false,
        epoch: 0,
        payload: &[],
        ..full
    };
    let bytes = written(|out| NativeWorkerProtocol.write_attempt(out, 1, &minimal));
    assert_eq!(bytes, message("launch-least"));
}

#[test_case("hold", 79, 3, 5 ; "for instances, by a member of a failover pair")]
#[test_case("hold-none", 80, 0, 0 ; "that only query")]
fn load_requests_have_the_recorded_bytes(name: &str, call_id: u64, instances: u32, epoch: u64) {
    let load_request = LoadRequestMessage {
        function: "ledger-1",
        instances,
        lanes: 2,
        memory: 110.5,
        load_hint: 3_500,
        epoch,
    };
    let bytes = written(|out| {
        NativeWorkerProtocol.write_load_request(out, call_id, &load_request);
    });
    assert_eq!(bytes, message(name));
}

#[test]
fn messages_without_options_have_the_recorded_bytes() {
    let protocol = NativeWorkerProtocol;
    let cancel = written(|out| protocol.write_cancel(out, 77, 9));
    assert_eq!(cancel, message("cancel"));
    let health_check = written(|out| protocol.write_health_check(out, 78));
    assert_eq!(health_check, message("probe"));
    let unload = written(|out| protocol.write_unload(out, "ledger-1"));
    assert_eq!(unload, message("unload"));
    let datagram = written(|out| protocol.write_peer_datagram(out, 4, &[0x00, 0xff, 0x10]));
    assert_eq!(datagram, message("peer"));
    let error = "field kind: 99 is not for a gateway";
    assert_eq!(
        written(|out| protocol.write_error(out, error)),
        message("error")
    );
}

#[test]
fn a_peer_datagram_is_read_as_it_was_written() {
    let bytes = message("peer");
    let (sender, payload) = NativeWorkerProtocol
        .read_peer_datagram(None, &bytes)
        .unwrap();
    assert_eq!((sender, payload), (4, &[0x00, 0xff, 0x10][..]));
}
