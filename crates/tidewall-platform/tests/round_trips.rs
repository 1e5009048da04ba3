//! Messages that a peer encodes are decoded to the same values. The gateway implements one
//! direction of each message; the peer's direction is implemented here.
#![allow(clippy::unwrap_used, missing_docs)]
mod common;

use common::*;
use proptest::prelude::*;
use tidewall_platform::client_command::{CallRequest, ClientCommand};
use tidewall_platform::client_reply::{ClientReply, ReplyStatus};
use tidewall_platform::host_lines::{
    AnswerId, AnswerStatus, DecodedAnswer, HostAnswer, InstanceNote, LoadReport,
};
use tidewall_platform::resp;

const STATUSES: [AnswerStatus; 7] = [
    AnswerStatus::Completed,
    AnswerStatus::Miss,
    AnswerStatus::AtCapacity,
    AnswerStatus::Failed,
    AnswerStatus::Discarded,
    AnswerStatus::Healthy,
    AnswerStatus::Unhealthy,
];

const INSTANCE_NOTES: [(InstanceNote, &str); 5] = [
    (InstanceNote::NotReported, ""),
    (InstanceNote::Loaded, "hit"),
    (InstanceNote::Started, "spawn"),
    (InstanceNote::Starting, "pending"),
    (InstanceNote::StartFailed, "spawn_failed"),
];

const REPLY_WORDS: [(ReplyStatus, &str); 5] = [
    (ReplyStatus::Completed, "OK"),
    (ReplyStatus::Rejected { retry_after_ms: 0 }, "BUSY"),
    (ReplyStatus::Failed, "FAILED"),
    (ReplyStatus::Up, "UP"),
    (ReplyStatus::Down, "DOWN"),
];

fn encode_call(tag: u64, call: &CallRequest) -> Vec<u8> {
    let mut fields = format!(
        "trace={:016x},patience={},entity={},weight={},redo={},extras=memory_mb:{};load_ms:{};lanes:{}",
        call.request_id,
        call.timeout_ms,
        call.function,
        call.cost_hint_ms,
        u8::from(call.is_retry),
        call.memory_mb,
        call.load_hint_ms,
        call.lanes,
    );
    if let Some(tenant) = call.tenant {
        fields += &format!(",customer={tenant}");
    }
    if !call.idempotency_key.is_empty() {
        fields += &format!(",nonce={}", call.idempotency_key);
    }
    let mut out = Vec::new();
    resp::write_array_header(&mut out, 5);
    resp::write_bulk_string(&mut out, b"CALL");
    resp::write_bulk_number(&mut out, "", tag);
    resp::write_bulk_string(&mut out, call.class.as_bytes());
    resp::write_bulk_string(&mut out, fields.as_bytes());
    resp::write_bulk_string(&mut out, call.payload);
    out
}

#[test]
fn calls_of_clients_round_trip() {
    let cases = (
        (1..=u64::MAX, any::<u64>(), any::<u64>()),
        ("[a-z]{1,64}", "[a-z-]{0,9}", "[!-+.-~]{0,64}"),
        (1..=36_000_000u32, 0..=36_000_000u32, 0..1_000_000u32),
        (1..=1000u32, 0..=3_600_000u32, any::<bool>()),
        prop::collection::vec(any::<u8>(), 0..300),
    );
    let result = runner(2_000).run(&cases, |(ids, texts, numbers, options, payload)| {
        let ((tag, request_id, function), (class, tenant, key)) = (ids, texts);
        let function = format!("{function:016x}");
        let call = CallRequest {
            request_id,
            class: &class,
            tenant: (!tenant.is_empty()).then_some(tenant.as_str()),
            idempotency_key: &key,
            function: &function,
            timeout_ms: f64::from(numbers.0) / 10.0,
            cost_hint_ms: f64::from(numbers.1) / 10.0,
            memory_mb: f64::from(numbers.2) / 8.0,
            lanes: f64::from(options.0),
            load_hint_ms: f64::from(options.1),
            is_retry: options.2,
            payload: &payload,
        };
        let bytes = encode_call(tag, &call);
        let messages = vec![ClientCommand::Call {
            tag,
            call: Ok(call),
        }];
        prop_assert_eq!(decode_commands(&bytes), Ok(Stream { messages, left: 0 }));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn replies_to_clients_round_trip() {
    let cases = (
        1..=u64::MAX,
        0..REPLY_WORDS.len(),
        any::<u64>(),
        prop::collection::vec(any::<u8>(), 0..300),
    );
    let result = runner(2_000).run(&cases, |(tag, index, time_ms, payload)| {
        let (mut status, word) = REPLY_WORDS[index];
        let mut fields = String::new();
        if let ReplyStatus::Rejected { retry_after_ms } = &mut status {
            *retry_after_ms = time_ms;
            if time_ms > 0 {
                fields = format!("pause={time_ms}");
            }
        }
        let mut bytes = Vec::new();
        let reply = ClientReply {
            tag,
            status,
            payload: &payload,
        };
        reply.encode(&mut bytes);
        let array = resp::decode_array(&bytes, &[usize::MAX >> 1; 4])
            .unwrap()
            .unwrap();
        let tag = tag.to_string();
        let mut words = vec![tag.as_bytes(), word.as_bytes()];
        if !fields.is_empty() || !payload.is_empty() {
            words.extend([fields.as_bytes(), &payload]);
        }
        prop_assert_eq!(array.length, bytes.len());
        prop_assert_eq!(&array.items[..array.count], &words[..]);
        Ok(())
    });
    result.unwrap();
}

fn encode_answer(answer: &HostAnswer) -> Vec<u8> {
    let id = match answer.id {
        AnswerId::Request(id) => format!("{id:016x}"),
        AnswerId::Call(id) => format!("t{id}"),
    };
    let instance = INSTANCE_NOTES
        .iter()
        .find(|(note, _)| *note == answer.instance);
    let mut fields = format!(
        "res={},queue_fn={},copies={}",
        instance.unwrap().1,
        answer.concurrent_requests,
        answer.instances
    );
    if let Some(load) = answer.load {
        fields += &format!(
            ",gauges=q:1;rif:{};busy:{}",
            load.requests_in_flight, load.busy_cores
        );
    }
    let word = answer.status.wire_text();
    let mut out = format!("{id} {word} {fields} {}\r\n", answer.payload.len()).into_bytes();
    out.extend_from_slice(answer.payload);
    out.extend_from_slice(b"\r\n");
    out
}

#[test]
fn answers_of_hosts_round_trip() {
    let cases = (
        (any::<bool>(), any::<u64>(), 0..STATUSES.len()),
        (0..INSTANCE_NOTES.len(), any::<u32>(), any::<u32>()),
        prop::option::of((0..10_000u32, 0..10_000u32)),
        prop::collection::vec(any::<u8>(), 0..300),
    );
    let result = runner(2_000).run(&cases, |(ids, fields, load, payload)| {
        let (is_request, id, status) = ids;
        let answer = HostAnswer {
            id: if is_request {
                AnswerId::Request(id)
            } else {
                AnswerId::Call(id)
            },
            status: STATUSES[status],
            instance: INSTANCE_NOTES[fields.0].0,
            concurrent_requests: fields.1,
            instances: fields.2,
            load: load.map(|(in_flight, busy)| LoadReport {
                requests_in_flight: f64::from(in_flight),
                busy_cores: f64::from(busy) / 16.0,
            }),
            payload: &payload,
        };
        let bytes = encode_answer(&answer);
        let messages = vec![DecodedAnswer {
            answer: Some(answer),
            length: bytes.len(),
        }];
        prop_assert_eq!(decode_answers(&bytes), Ok(Stream { messages, left: 0 }));
        Ok(())
    });
    result.unwrap();
}
