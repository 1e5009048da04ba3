//! Messages are encoded to the bytes recorded in `tests/oracles/wire/platform.hex` at the root of
//! the repository.
#![allow(clippy::unwrap_used, missing_docs)]
use std::collections::BTreeMap;
use tidewall_platform::host_lines::HostRequest;
use tidewall_platform::notice_board::PollRequest;
use tidewall_platform::resp;

/// The recorded messages by name.
fn recorded() -> BTreeMap<String, Vec<u8>> {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../tests/oracles/wire/platform.hex"
    );
    let decode_hex = |text: &str| -> Vec<u8> {
        (0..text.len())
            .step_by(2)
            .map(|i| u8::from_str_radix(&text[i..i + 2], 16).unwrap())
            .collect()
    };
    std::fs::read_to_string(path)
        .unwrap()
        .lines()
        .map(|line| line.split_once(' ').unwrap())
        .map(|(name, bytes)| (name.to_string(), decode_hex(bytes)))
        .collect()
}

fn encoded(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    write(&mut out);
    out
}

/// Encodes a reply with any status word: the recording holds words that `ReplyStatus` does not
/// have.
fn reply(tag: u64, status: &str, tail: Option<(&str, &[u8])>) -> Vec<u8> {
    encoded(|out| {
        resp::write_array_header(out, if tail.is_some() { 4 } else { 2 });
        resp::write_bulk_number(out, "", tag);
        resp::write_bulk_string(out, status.as_bytes());
        if let Some((fields, payload)) = tail {
            resp::write_bulk_string(out, fields.as_bytes());
            resp::write_bulk_string(out, payload);
        }
    })
}

fn replies() -> Vec<(&'static str, Vec<u8>)> {
    let error = encoded(|out| resp::write_error(out, "verb: 'FROB'"));
    vec![
        (
            "client-answer",
            reply(7, "done", Some(("took=12", b"body"))),
        ),
        ("client-answer-bare", reply(1, "shed", None)),
        (
            "client-answer-highest-tag",
            reply(u64::MAX, "done", Some(("", b"\r\n"))),
        ),
        ("client-error", error),
    ]
}

fn host_requests() -> Vec<(&'static str, Vec<u8>)> {
    let function = "00000000000000ff";
    let attempt = HostRequest::Attempt {
        request_id: 0xab,
        class: "look-up",
        function,
        timeout_ms: 250,
        idempotency_key: b"n-1",
        payload: b"body",
    };
    let least = HostRequest::Attempt {
        request_id: u64::MAX,
        class: "x",
        function: "0000000000000001",
        timeout_ms: 0,
        idempotency_key: b"",
        payload: b"",
    };
    let load = HostRequest::LoadInstances {
        call_id: 13,
        function,
        instances: 2,
    };
    [
        ("host-go", attempt),
        ("host-go-bare", least),
        ("host-halt", HostRequest::Cancel { request_id: 0xab }),
        ("host-stat", HostRequest::HealthCheck { call_id: 12 }),
        ("host-stage", load),
        ("host-purge", HostRequest::Unload { function }),
    ]
    .map(|(name, request)| (name, encoded(|out| request.encode(out))))
    .into()
}

#[test]
fn every_recorded_message_is_encoded_to_its_bytes() {
    let poll = PollRequest {
        host: "127.0.0.1:2",
        revision: 41,
        wait_ms: 25_000,
    };
    let poll = vec![("board-ask", encoded(|out| poll.encode(out)))];
    let messages: BTreeMap<String, Vec<u8>> = [replies(), host_requests(), poll]
        .concat()
        .into_iter()
        .map(|(name, bytes)| (name.to_string(), bytes))
        .collect();
    assert_eq!(messages, recorded());
}
