//! Tests every codec with its input cut at every byte, and with malformed input from clients and
//! servers.
#![allow(clippy::unwrap_used, missing_docs)]
mod common;

use common::*;
use proptest::prelude::*;
use test_case::test_case;
use tidewall_platform::client_command::ClientCommand;
use tidewall_platform::client_reply::{ClientReply, ReplyStatus};
use tidewall_platform::descriptor_budget::DescriptorBudget;
use tidewall_platform::host_lines::{
    parse_gauges, AnswerId, AnswerStatus, DecodedAnswer, Gauge, HostAnswer, HostRequest,
    InstanceNote,
};
use tidewall_platform::{config, name_value_pairs, notice_board};

#[test]
fn a_call_is_decoded_at_every_cut() {
    let call = command(&["CALL", "7", "stock-check", &usual_fields(), "body"]);
    for cut in 0..call.len() {
        let stream = decode_commands(&call[..cut]).unwrap();
        assert_eq!(
            (stream.left, stream.messages.len()),
            (cut, 0),
            "cut at {cut}"
        );
    }
    let stream = decode_commands(&call).unwrap();
    assert_eq!(stream.left, 0);
    let expected = ClientCommand::Call {
        tag: 7,
        call: Ok(usual_call("stock-check", b"body")),
    };
    assert_eq!(stream.messages, [expected]);
}

#[test]
fn commands_that_share_a_read_are_all_decoded() {
    let call = command(&["CALL", "7", "a", &usual_fields(), ""]);
    let all = [
        call,
        command(&["CANCEL", "7"]),
        command(&["CHECK", "8", ""]),
    ]
    .concat();
    let stream = decode_commands(&all).unwrap();
    assert_eq!(stream.left, 0);
    assert_eq!(
        stream.messages[1..],
        [
            ClientCommand::Cancel { tag: 7 },
            ClientCommand::HealthCheck { tag: 8 }
        ]
    );
}

// Errors that close the connection. A length is checked before any of its content has arrived.
#[test_case(b"GET / HTTP/1.1\r\n", "array: '*' expected"; "another protocol")]
#[test_case(b"*-1\r\n", "array: no number"; "a negative count")]
#[test_case(b"*1000000000\r\n", "array: 1000000000 words"; "a huge count")]
#[test_case(b"*99999999999999999999\r\n", "array: no number"; "a count of more than 64 bits")]
#[test_case(b"*1111111111111111111111111", "array: no number"; "a count that never ends")]
#[test_case(b"*2\r\n$-5\r\n", "word: no number"; "a negative length")]
#[test_case(b"*2\r\n$17\r\n", "word: 17 bytes, at most 16"; "a long verb")]
#[test_case(b"*5\r\n$4\r\nCALL\r\n$1\r\n7\r\n$1\r\na\r\n$0\r\n\r\n$60000000\r\n", "word: 60000000 bytes, at most 16384"; "a payload of 60 MB")]
#[test_case(b"*2\r\n$5\r\nCHECKING\r\n", "word: longer than its length"; "a length that is too small")]
#[test_case(b"*2\r\n$4\r\nFROB\r\n$1\r\n7\r\n", "verb: 'FROB'"; "an unknown verb")]
#[test_case(b"*2\r\n$5\r\nCHECK\r\n$1\r\n0\r\n", "tag: no number from 1 up"; "tag 0")]
#[test_case(b"*2\r\n$5\r\nCHECK\r\n$2\r\n-1\r\n", "tag: no number from 1 up"; "a negative tag")]
fn framing_errors_are_reported(bytes: &[u8], reason: &str) {
    assert_eq!(decode_commands(bytes), Err(reason.to_string()));
}

// Errors that fail one call and leave its connection usable.
#[test_case("patience=1", "field trace: missing"; "no id")]
#[test_case("trace=9B1F03AA5C7E2D41", "field trace: not 16 hexadecimal digits"; "an upper-case id would be written differently")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=0,entity=7f3a9c21e0b4d655", "field patience: missing"; "a timeout of zero")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=1e9", "field patience: not within 0 to 3600000"; "an exponent")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=-5", "field patience: not within 0 to 3600000"; "a negative time")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=99999999", "field patience: not within 0 to 3600000"; "a timeout of more than an hour")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=10,entity=zz", "field entity: not 16 hexadecimal digits"; "a function that is not hexadecimal")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=10", "field entity: missing"; "function missing")]
#[test_case("weight=NaN", "field weight: not within 0 to 3600000"; "not a number")]
#[test_case("weight=inf", "field weight: not within 0 to 3600000"; "infinity")]
#[test_case("extras=lanes:0", "field lanes: no whole number from 1 up"; "zero lanes")]
#[test_case("extras=lanes:1.5", "field lanes: no whole number from 1 up"; "half a lane")]
#[test_case("extras=lanes:5000", "field lanes: not within 0 to 1000"; "too many lanes")]
#[test_case("extras=memory_mb", "field extras: not name:value"; "no value")]
#[test_case("nonce=a b", "field nonce: not 1 to 64 plain characters"; "a key with a space would break the line to the host")]
#[test_case("what", "'what' is not name=value"; "an entry without a value separator")]
fn invalid_fields_are_reported(fields: &str, reason: &str) {
    let (tag, error) = call_error(&command(&["CALL", "3", "a", fields, ""]));
    assert_eq!((tag, error.to_string().as_str()), (3, reason));
}

#[test_case(ReplyStatus::Completed, b"xy", "*4\r\n$2\r\n12\r\n$2\r\nOK\r\n$0\r\n\r\n$2\r\nxy\r\n"; "completed with a payload")]
#[test_case(ReplyStatus::Rejected { retry_after_ms: 50 }, b"", "*4\r\n$2\r\n12\r\n$4\r\nBUSY\r\n$8\r\npause=50\r\n$0\r\n\r\n"; "rejected with a retry time")]
#[test_case(ReplyStatus::Rejected { retry_after_ms: 0 }, b"", "*2\r\n$2\r\n12\r\n$4\r\nBUSY\r\n"; "rejected without a retry time")]
#[test_case(ReplyStatus::Failed, b"", "*2\r\n$2\r\n12\r\n$6\r\nFAILED\r\n"; "failed without fields")]
#[test_case(ReplyStatus::Up, b"", "*2\r\n$2\r\n12\r\n$2\r\nUP\r\n"; "serving")]
#[test_case(ReplyStatus::Down, b"", "*2\r\n$2\r\n12\r\n$4\r\nDOWN\r\n"; "shutting down")]
fn replies_are_encoded(status: ReplyStatus, payload: &[u8], expected: &str) {
    let mut out = Vec::new();
    let reply = ClientReply {
        tag: 12,
        status,
        payload,
    };
    reply.encode(&mut out);
    assert_eq!(String::from_utf8(out).unwrap(), expected);
}

#[test]
fn requests_to_hosts_are_encoded() {
    let mut out = Vec::new();
    let attempt = |request_id, idempotency_key, payload| HostRequest::Attempt {
        request_id,
        class: "a",
        function: FUNCTION,
        timeout_ms: 80,
        idempotency_key,
        payload,
    };
    attempt(0x9b1f, b"key", b"body").encode(&mut out);
    attempt(1, b"", b"").encode(&mut out);
    HostRequest::Cancel { request_id: 0x9b1f }.encode(&mut out);
    HostRequest::HealthCheck { call_id: 5 }.encode(&mut out);
    HostRequest::LoadInstances {
        call_id: 6,
        function: FUNCTION,
        instances: 2,
    }
    .encode(&mut out);
    HostRequest::Unload { function: FUNCTION }.encode(&mut out);
    let expected = "go 0000000000009b1f kind=a,obj=7f3a9c21e0b4d655,ms=80,token=key 4\r\nbody\r\n\
                 go 0000000000000001 kind=a,obj=7f3a9c21e0b4d655,ms=80 0\r\n\r\n\
                 halt 0000000000009b1f\r\nstat t5\r\nstage t6 obj=7f3a9c21e0b4d655,copies=2\r\npurge 7f3a9c21e0b4d655\r\n";
    assert_eq!(String::from_utf8(out).unwrap(), expected);
}

const ANSWER: &[u8] =
    b"9b1f03aa5c7e2d41 ok res=hit,queue_fn=3 4\r\nbody\r\nt6 ok copies=2 0\r\n\r\n";

#[test]
fn answers_of_hosts_are_decoded_at_every_cut() {
    let first_length = 48;
    for cut in 0..ANSWER.len() {
        let stream = decode_answers(&ANSWER[..cut]).unwrap();
        let complete = if cut < first_length { 0 } else { first_length };
        assert_eq!(stream.left, cut - complete, "cut at {cut}");
        assert_eq!(stream.messages.len(), usize::from(cut >= first_length));
    }
    let attempt = HostAnswer {
        id: AnswerId::Request(0x9b1f_03aa_5c7e_2d41),
        status: AnswerStatus::Completed,
        instance: InstanceNote::Loaded,
        concurrent_requests: 3,
        instances: 0,
        load: None,
        payload: b"body",
    };
    let load_request = HostAnswer {
        id: AnswerId::Call(6),
        instance: InstanceNote::NotReported,
        concurrent_requests: 0,
        instances: 2,
        payload: b"",
        ..attempt
    };
    let expected = Stream {
        messages: vec![
            DecodedAnswer {
                answer: Some(attempt),
                length: first_length,
            },
            DecodedAnswer {
                answer: Some(load_request),
                length: ANSWER.len() - first_length,
            },
        ],
        left: 0,
    };
    assert_eq!(decode_answers(ANSWER), Ok(expected));
}

#[test_case(b"9b1f03aa5c7e2d41 ok - 3000000000\r\n", "length: 3000000000 bytes, at most 262144"; "a length of 3 GB")]
#[test_case(b"9b1f03aa5c7e2d41 ok - -3\r\n", "line: '9b1f03aa5c7e2d41 ok - -3'"; "a negative length")]
#[test_case(b"9b1f03aa5c7e2d41 ok - many\r\n", "line: '9b1f03aa5c7e2d41 ok - many'"; "a length that is not a number")]
#[test_case(b"9b1f03aa5c7e2d41 ok - 2\r\nbody\r\n", "length: does not match the payload"; "a length that is too small")]
#[test_case(b"9b1f03aa5c7e2d41 ok - 4\n", "line: ends without CR"; "a line without CR")]
#[test_case(b"\xff\xfe\xfd\r\n", "line: no text"; "bytes that are not UTF-8")]
#[test_case(b"hello\r\n", "line: 'hello'"; "one word")]
#[test_case(b"9b1f03aa5c7e2d41 ok copies=x 0\r\n\r\n", "field copies: no number"; "a count that is not a number")]
#[test_case(b"9b1f03aa5c7e2d41 ok - 99999999999999999999\r\n", "length: out of range"; "a length of more than 64 bits")]
#[test_case(b"9b1f03aa5c7e2d41 fine - 0\r\n\r\n", "status: 'fine'"; "an unknown status")]
#[test_case(b"9b1f03aa5c7e2d41 ok res=warm 0\r\n\r\n", "field res: 'warm'"; "an unknown state of the instance")]
#[test_case(b"9b1f03aa5c7e2d41 ok gauges=rif 0\r\n\r\n", "field gauges: 'rif' is not name:number"; "a load report without a number")]
fn malformed_answers_are_reported(bytes: &[u8], reason: &str) {
    assert_eq!(decode_answers(bytes), Err(reason.to_string()));
}

#[test]
fn an_endless_line_is_rejected() {
    assert_eq!(
        decode_answers(&[b'a'; 2000]),
        Err("line: too long".to_string())
    );
}

// An answer with an id that no gateway assigns belongs to nothing, and the connection stays usable.
#[test]
fn answers_under_unknown_ids_are_skipped() {
    let stream = decode_answers(b"x-1 ok - 2\r\nab\r\n").unwrap();
    assert_eq!(stream.left, 0);
    assert!(stream
        .messages
        .iter()
        .all(|decoded| decoded.answer.is_none()));
    // The rest of such an answer is not validated.
    let stream = decode_answers(b"x-1 fine res=warm,gauges=rif 0\r\n\r\n").unwrap();
    assert_eq!((stream.left, stream.messages.len()), (0, 1));
    assert_eq!(stream.messages[0].answer, None);
}

#[test_case("q:3;rif:7;x1:1.25", Ok(vec![("q", 3.0), ("rif", 7.0), ("x1", 1.25)]); "known and unknown gauges")]
#[test_case("rif:NaN", Err("field gauges: 'rif:NaN' is not name:number".to_string()); "not a number")]
#[test_case("rif", Err("field gauges: 'rif' is not name:number".to_string()); "a gauge without a number")]
fn gauges_of_load_reports_are_parsed(text: &str, values: Result<Vec<(&str, f64)>, String>) {
    let gauges = parse_gauges(text).collect::<Result<Vec<_>, _>>();
    let gauges = gauges.map_err(|error| error.to_string());
    let values = values.map(|values| {
        let gauge = |(name, value)| Gauge { name, value };
        values.into_iter().map(gauge).collect()
    });
    assert_eq!(gauges, values);
}

const POLL: &str = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"rev\":4,\"notices\":[]}\n";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n{\"rev\":4\r\nf\r\n,\"notices\":[]}\n\r\n0\r\n\r\n";

#[test_case(POLL; "with content length")]
#[test_case(CHUNKS; "in chunks")]
fn poll_responses_are_decoded_at_every_cut(text: &str) {
    let decode = |bytes| notice_board::decode_response(bytes).map_err(|error| error.to_string());
    for cut in 0..text.len() {
        assert_eq!(decode(&text.as_bytes()[..cut]), Ok(None), "cut at {cut}");
    }
    let response = decode(text.as_bytes()).unwrap().unwrap();
    assert_eq!((response.length, response.keep_alive), (text.len(), true));
    let json = notice_board::parse_json(&response.body).unwrap();
    // After revision 4 there is nothing new; after revision 3 a notice is missing.
    let revision = |last| {
        let update = notice_board::decode_notices(&json, last).unwrap();
        update.map(|update| update.revision)
    };
    assert_eq!([4, 3].map(revision), [Some(4), None]);
}

/// A response with a list of 4,096 hosts, or with all lists since a long silence, must not be
/// rejected.
#[test]
fn a_poll_response_of_the_maximum_size_is_not_rejected() {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 16777216\r\n\r\n";
    let decoded = notice_board::decode_response(text.as_bytes()).unwrap();
    assert_eq!(decoded, None);
}

#[test_case("HTTP/1.1 500 No\r\n\r\n", "status: 500"; "a status that is not 200")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "content-length: missing"; "no length")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 16777217\r\n\r\n", "content-length: 16777217 is too much"; "too long")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "chunk: no size"; "a chunk without size")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "chunk: too much"; "a huge chunk")]
fn invalid_poll_responses_are_reported(text: &str, reason: &str) {
    let error = notice_board::decode_response(text.as_bytes()).unwrap_err();
    assert_eq!(error.to_string(), reason);
}

/// The revision and the lists of the notices after revision 4.
type Update = Result<Option<(u64, Vec<String>)>, String>;

fn update(text: &str) -> Update {
    let json = notice_board::parse_json(text.as_bytes()).unwrap();
    let update = notice_board::decode_notices(&json, 4).map_err(|error| error.to_string())?;
    Ok(update.map(|update| {
        let lists = update.lists.iter().map(|list| {
            let ids: Vec<&str> = list.hosts.iter().map(|host| host.id).collect();
            format!("{} {}", list.complete, ids.join(" "))
        });
        (update.revision, lists.collect())
    }))
}

const HOST: &str = r#"{"id":"ID","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":1,"state":"up","weight":4,"started_ms":0}"#;

#[test]
fn notices_are_ordered_and_deduplicated() {
    let host = |id: &str| HOST.replace("ID", id);
    let pool = |rev: u64, id: &str| {
        format!(
            r#"{{"rev":{rev},"pool":{{"version":1,"full":false,"servers":[{}]}}}}"#,
            host(id)
        )
    };
    let other = r#"{"rev":6,"asset":{}}"#;
    let text = format!(
        r#"{{"rev":7,"notices":[{},{},{other},{}]}}"#,
        pool(7, "c"),
        pool(5, "b"),
        pool(4, "a")
    );
    let lists = vec!["false b".to_string(), "false c".to_string()];
    assert_eq!(update(&text), Ok(Some((7, lists))));
}

/// Decodes notices after revision 4. If one is missing, nothing is used, so that the complete list
/// is requested. A complete list needs no notices before it.
#[test_case(4, "", Some(4), 0; "nothing new")]
#[test_case(6, "5 6", Some(6), 2; "two consecutive notices")]
#[test_case(6, "6 5 5", Some(6), 3; "out of order, one repeated")]
#[test_case(3, "", None, 0; "an older revision")]
#[test_case(6, "6", None, 0; "the first one is missing")]
#[test_case(7, "5 7", None, 0; "one is missing in between")]
#[test_case(6, "5", None, 0; "the last one is missing")]
#[test_case(9, "8! 9", Some(9), 2; "a complete list and one notice after it")]
#[test_case(9, "9!", Some(9), 1; "a complete list alone")]
#[test_case(9, "5 7!", None, 0; "two are missing after a complete list")]
fn gaps_between_revisions_are_detected(
    revision: u64,
    notices: &str,
    expected: Option<u64>,
    lists: usize,
) {
    let pool = |n: &str| {
        let (n, full) = (n.trim_end_matches('!'), n.ends_with('!'));
        format!(r#"{{"rev":{n},"pool":{{"version":1,"full":{full},"servers":[{HOST}]}}}}"#)
    };
    let notices: Vec<String> = notices.split_whitespace().map(pool).collect();
    let update = update(&format!(
        r#"{{"rev":{revision},"notices":[{}]}}"#,
        notices.join(",")
    ));
    let counts = update.map(|update| update.map(|(revision, lists)| (revision, lists.len())));
    assert_eq!(counts, Ok(expected.map(|revision| (revision, lists))));
}

#[test_case(r#"{"notices":[]}"#, "field rev: no number"; "no revision")]
#[test_case(r#"{"rev":5}"#, "field notices: no list"; "no list of notices")]
#[test_case(r#"{"rev":5,"notices":[{"rev":5,"pool":{"full":true,"servers":[{"id":"a"}]}}]}"#, "field servers.state: no text"; "an incomplete host entry")]
#[test_case(r#"{"rev":5,"notices":[{"rev":5,"pool":{"full":true,"servers":[{"id":"a","state":"?"}]}}]}"#, "field servers.state: '?'"; "an unknown state")]
fn incomplete_notices_are_refused(text: &str, reason: &str) {
    assert_eq!(update(text), Err(reason.to_string()));
}

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:1","seed":"ff","limits":{"memory_mb":32,"sockets":256},
 "board":"127.0.0.1:2","known":{"rev":1,"notices":[]},"settings":{"me":0,"siblings":3,"tick-ms":1.0,"zones":["a b","c"],
 "allowed":{"connect-timeout-ms":250.0,"keepalive-ms":1,"max-attempts":3,"most-held":9,"streams-per-conn":32},
 "rules":{"drain-grace-ms":2000.0},"classes":[{"name":"x","deadline-ms":2140.0},{"name":"y"}],"extra":{"orders":false}}}"#;

// The formats are those of the bench's line protocol, as the settings tests of its adapter check
// them.
#[test_case("zones", "a_b,c"; "a list of plain values")]
#[test_case("classes.count", "2"; "the length of a list of objects")]
#[test_case("classes.1.name", "y"; "an item")]
#[test_case("classes.0.deadline-ms", "2140.0"; "a number")]
#[test_case("extra.orders", "false"; "a flag")]
fn settings_are_flattened(name: &str, value: &str) {
    let config = config::parse(CONFIG.as_bytes()).unwrap();
    assert_eq!((config.seed, config.settings[name].as_str()), (255, value));
}

#[test_case("\"seed\":\"ff\"", "\"seed\":\"?\"", "field seed: missing or not hexadecimal"; "an invalid seed")]
#[test_case("\"sockets\":256", "\"x\":1", "field limits/sockets: missing or no number"; "a missing limit")]
#[test_case("127.0.0.1:2", "nowhere", "field board: 'nowhere' is no address and port"; "an invalid address")]
#[test_case("\"tick-ms\":1.0,", "", "field settings.tick-ms: missing"; "a missing setting")]
#[test_case("\"orders\":false", "\"orders\":true", "field settings.extra.order-timeout-ms: missing"; "a missing setting that load requests need")]
#[test_case("\"known\"", "\"unknown\"", "field known: missing"; "no list")]
#[test_case("\"connect-timeout-ms\":250.0", "\"connect-timeout-ms\":0", "field settings.allowed.connect-timeout-ms: '0' is under 1"; "a connect timeout of zero")]
#[test_case("\"most-held\":9", "\"most-held\":\"x\"", "field settings.allowed.most-held: 'x' is under 1"; "a limit that is not a number")]
fn a_rejected_setting_is_reported(from: &str, to: &str, reason: &str) {
    let error = config::parse(CONFIG.replace(from, to).as_bytes()).unwrap_err();
    assert_eq!(error.to_string(), reason);
}

#[test_case(256; "few")]
#[test_case(1024; "usual")]
fn the_budget_stays_within_the_limit(sockets: usize) {
    let budget = DescriptorBudget::new(sockets, false);
    assert!(
        budget.client_connections + budget.worker_connections + 20 <= sockets,
        "{budget:?}"
    );
    assert!(
        budget.client_connections * 3 >= sockets,
        "client connections usually take a third: {budget:?}"
    );
}

#[test]
fn an_entry_that_is_not_a_pair_is_reported() {
    assert_eq!(name_value_pairs("-").count(), 0);
    let last = name_value_pairs("a=1,=2").last().unwrap();
    assert_eq!(
        last.map_err(|error| error.to_string()),
        Err("'=2' is not name=value".to_string())
    );
}

/// No input causes a panic, and undecoded input never exceeds the length limits.
#[test]
fn arbitrary_bytes_do_not_panic() {
    let call = command(&["CALL", "7", "a", &usual_fields(), "body"]);
    let mutation = (any::<prop::sample::Index>(), any::<u8>());
    let cases = (
        prop::collection::vec(mutation, 0..6),
        prop::collection::vec(any::<u8>(), 0..200),
    );
    let result = runner(4_000).run(&cases, |(mutations, suffix)| {
        for valid in [&call[..], ANSWER, POLL.as_bytes(), CHUNKS.as_bytes()] {
            let mut bytes = valid.to_vec();
            for (index, byte) in &mutations {
                let index = index.index(bytes.len());
                bytes[index] = *byte;
            }
            bytes.extend_from_slice(&suffix);
            if let Ok(stream) = decode_commands(&bytes) {
                prop_assert!(stream.left <= 20_000);
            }
            let _ = decode_answers(&bytes);
            if let Ok(Some(response)) = notice_board::decode_response(&bytes) {
                let _ = notice_board::parse_json(&response.body)
                    .map(|json| notice_board::decode_notices(&json, 0).map(|_| ()));
            }
        }
        Ok(())
    });
    result.unwrap();
}
