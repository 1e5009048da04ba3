//! Every codec at every cut of its bytes, with the odd lengths of bad clients and bad peers.
mod help;

use help::*;
use proptest::prelude::*;
use test_case::test_case;
use tidewall_platform::{board, client, config, descriptor_budget::DescriptorBudget, host, pairs};

#[test]
fn a_call_is_read_at_every_cut() {
    let call = command(&["CALL", "7", "stock-check", &usual(), "body"]);
    for cut in 0..call.len() {
        let mut told = Told::default();
        assert_eq!(
            (commands(&call[..cut], &mut told), told.0.len()),
            (Ok(cut), 0),
            "cut at {cut}"
        );
    }
    let mut told = Told::default();
    assert_eq!(commands(&call, &mut told), Ok(0));
    let line = format!("7 {TRACE} stock-check Some(\"acme\") n1 {FUNCTION} 1500 8.2 512 2 0 4");
    assert_eq!(told.0, [line]);
}

#[test]
fn commands_that_share_a_read_are_all_told() {
    let call = command(&["CALL", "7", "a", &usual(), ""]);
    let all = [
        call,
        command(&["CANCEL", "7"]),
        command(&["CHECK", "8", ""]),
    ]
    .concat();
    let mut told = Told::default();
    assert_eq!(commands(&all, &mut told), Ok(0));
    assert_eq!(told.0[1..], ["7 cancel", "8 check"]);
}

// What leaves a connection of no use; a length is judged before any of its bytes came.
#[test_case(b"GET / HTTP/1.1\r\n", "array: '*' expected"; "another protocol")]
#[test_case(b"*-1\r\n", "array: no number"; "a negative count")]
#[test_case(b"*1000000000\r\n", "array: 1000000000 words"; "a huge count")]
#[test_case(b"*99999999999999999999\r\n", "array: no number"; "a count beyond 64 bits")]
#[test_case(b"*1111111111111111111111111", "array: no number"; "a count that never ends")]
#[test_case(b"*2\r\n$-5\r\n", "word: no number"; "a negative length")]
#[test_case(b"*2\r\n$17\r\n", "word: 17 bytes, at most 16"; "a long verb")]
#[test_case(b"*5\r\n$4\r\nCALL\r\n$1\r\n7\r\n$1\r\na\r\n$0\r\n\r\n$60000000\r\n", "word: 60000000 bytes, at most 16384"; "sixty megabytes")]
#[test_case(b"*2\r\n$5\r\nCHECKING\r\n", "word: longer than its length"; "a short length")]
#[test_case(b"*2\r\n$4\r\nFROB\r\n$1\r\n7\r\n", "verb: 'FROB'"; "an unknown verb")]
#[test_case(b"*2\r\n$5\r\nCHECK\r\n$1\r\n0\r\n", "tag: no number from 1 up"; "tag 0")]
#[test_case(b"*2\r\n$5\r\nCHECK\r\n$2\r\n-1\r\n", "tag: no number from 1 up"; "a negative tag")]
fn broken_framing_is_named(bytes: &[u8], reason: &str) {
    assert_eq!(
        commands(bytes, &mut Told::default()),
        Err(reason.to_string())
    );
}

// What fails one call and leaves its connection good.
#[test_case("patience=1", "field trace: missing"; "no id")]
#[test_case("trace=9B1F03AA5C7E2D41", "field trace: not 16 hexadecimal digits"; "an id in capitals would not go on as it came")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=0,entity=7f3a9c21e0b4d655", "field patience: missing"; "no time")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=1e9", "field patience: not within 0 to 3600000"; "an odd number")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=-5", "field patience: not within 0 to 3600000"; "a negative time")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=99999999", "field patience: not within 0 to 3600000"; "too long a time")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=10,entity=zz", "field entity: not 16 hexadecimal digits"; "no function")]
#[test_case("trace=9b1f03aa5c7e2d41,patience=10", "field entity: missing"; "function missing")]
#[test_case("weight=NaN", "field weight: not within 0 to 3600000"; "not a number")]
#[test_case("weight=inf", "field weight: not within 0 to 3600000"; "without bound")]
#[test_case("extras=lanes:0", "field lanes: no whole number from 1 up"; "no lane")]
#[test_case("extras=lanes:1.5", "field lanes: no whole number from 1 up"; "half a lane")]
#[test_case("extras=lanes:5000", "field lanes: not within 0 to 1000"; "many lanes")]
#[test_case("extras=memory_mb", "field extras: not name:value"; "no value")]
#[test_case("nonce=a b", "field nonce: not 1 to 64 plain characters"; "a key that would break a line")]
#[test_case("what", "'what' is not name=value"; "no pair")]
fn fields_at_fault_are_named(fields: &str, reason: &str) {
    let mut told = Told::default();
    assert_eq!(
        commands(&command(&["CALL", "3", "a", fields, ""]), &mut told),
        Ok(0)
    );
    assert_eq!(told.0, [format!("3 bad {reason}")]);
}

#[test_case("OK", "", b"xy", "*4\r\n$2\r\n12\r\n$2\r\nOK\r\n$0\r\n\r\n$2\r\nxy\r\n"; "with a body")]
#[test_case("BUSY", "pause=50", b"", "*4\r\n$2\r\n12\r\n$4\r\nBUSY\r\n$8\r\npause=50\r\n$0\r\n\r\n"; "with a time")]
#[test_case("FAILED", "", b"", "*2\r\n$2\r\n12\r\n$6\r\nFAILED\r\n"; "bare")]
fn answers_have_their_tag(word: &str, fields: &str, body: &[u8], whole: &str) {
    let mut out = Vec::new();
    client::answer(&mut out, 12, word, fields, body);
    assert_eq!(String::from_utf8(out).unwrap(), whole);
}

#[test]
fn lines_to_hosts() {
    let mut out = Vec::new();
    host::go(&mut out, 0x9b1f, "a", FUNCTION, 80, b"key", b"body");
    host::go(&mut out, 1, "a", FUNCTION, 80, b"", b"");
    host::halt(&mut out, 0x9b1f);
    host::stat(&mut out, 5);
    host::stage(&mut out, 6, FUNCTION, 2);
    host::purge(&mut out, FUNCTION);
    let whole = "go 0000000000009b1f kind=a,obj=7f3a9c21e0b4d655,ms=80,token=key 4\r\nbody\r\n\
                 go 0000000000000001 kind=a,obj=7f3a9c21e0b4d655,ms=80 0\r\n\r\n\
                 halt 0000000000009b1f\r\nstat t5\r\nstage t6 obj=7f3a9c21e0b4d655,copies=2\r\npurge 7f3a9c21e0b4d655\r\n";
    assert_eq!(String::from_utf8(out).unwrap(), whole);
}

const ANSWER: &[u8] =
    b"9b1f03aa5c7e2d41 ok res=hit,queue_fn=3 4\r\nbody\r\nt6 ok copies=2 0\r\n\r\n";

#[test]
fn answers_of_hosts_are_read_at_every_cut() {
    let first = 48;
    for cut in 0..ANSWER.len() {
        let mut told = Told::default();
        let whole = if cut < first { 0 } else { first };
        assert_eq!(
            answers(&ANSWER[..cut], &mut told),
            Ok(cut - whole),
            "cut at {cut}"
        );
        assert_eq!(told.0.len(), usize::from(cut >= first));
    }
    let mut told = Told::default();
    assert_eq!(answers(ANSWER, &mut told), Ok(0));
    assert_eq!(
        told.0,
        [
            "Trace(11177656830387957057) ok hit 3 0 4",
            "Tag(6) ok  0 2 0"
        ]
    );
}

#[test_case(b"9b1f03aa5c7e2d41 ok - 3000000000\r\n", "length: 3000000000 bytes, at most 262144"; "three gigabytes")]
#[test_case(b"9b1f03aa5c7e2d41 ok - -3\r\n", "line: '9b1f03aa5c7e2d41 ok - -3'"; "a negative length")]
#[test_case(b"9b1f03aa5c7e2d41 ok - many\r\n", "line: '9b1f03aa5c7e2d41 ok - many'"; "a length in words")]
#[test_case(b"9b1f03aa5c7e2d41 ok - 2\r\nbody\r\n", "length: does not fit"; "a length that is too short")]
#[test_case(b"9b1f03aa5c7e2d41 ok - 4\n", "line: ends without CR"; "half an end of line")]
#[test_case(b"\xff\xfe\xfd\r\n", "line: no text"; "noise")]
#[test_case(b"hello\r\n", "line: 'hello'"; "one word")]
#[test_case(b"9b1f03aa5c7e2d41 ok copies=x 0\r\n\r\n", "field copies: no number"; "a figure that is none")]
fn spoilt_answers_are_named(bytes: &[u8], reason: &str) {
    assert_eq!(
        answers(bytes, &mut Told::default()),
        Err(reason.to_string())
    );
}

#[test]
fn a_line_that_never_ends_is_not_waited_for() {
    assert_eq!(
        answers(&[b'a'; 2000], &mut Told::default()),
        Err("line: too long".to_string())
    );
}

// An answer under an id that is none of ours is nobody's, and the connection stays good.
#[test]
fn unknown_ids_are_passed_over() {
    let mut told = Told::default();
    assert_eq!(answers(b"x-1 ok - 2\r\nab\r\n", &mut told), Ok(0));
    assert!(told.0.is_empty());
}

#[test_case("q:3;rif:7;x1:1.25", Ok(vec![("q", 3.0), ("rif", 7.0), ("x1", 1.25)]); "as told")]
#[test_case("rif:NaN", Err("field gauges: 'rif:NaN' is not name:number".to_string()); "not a number")]
#[test_case("rif", Err("field gauges: 'rif' is not name:number".to_string()); "no number")]
fn load_reports(text: &str, values: Result<Vec<(&str, f64)>, String>) {
    assert_eq!(host::gauges(text).collect::<Result<Vec<_>, _>>(), values);
}

const POLL: &str = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"rev\":4,\"notices\":[]}\n";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n{\"rev\":4\r\nf\r\n,\"notices\":[]}\n\r\n0\r\n\r\n";

#[test_case(POLL; "of a told length")]
#[test_case(CHUNKS; "in chunks")]
fn polls_are_read_at_every_cut(text: &str) {
    for cut in 0..text.len() {
        assert_eq!(
            board::read(&text.as_bytes()[..cut]),
            Ok(None),
            "cut at {cut}"
        );
    }
    let (len, goes_on, body) = board::read(text.as_bytes()).unwrap().unwrap();
    assert_eq!((len, goes_on), (text.len(), true));
    let json = board::json(&body).unwrap();
    // Nothing new behind 4; behind 3 one is missing.
    let behind = [4, 3].map(|last| board::notices(&json, last, &mut |_, _| ()));
    assert_eq!(behind, [Ok(Some(4)), Ok(None)]);
}

#[test_case("HTTP/1.1 500 No\r\n\r\n", "status: 500"; "another status")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "content-length: missing"; "no length")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n", "content-length: 9999999 is too much"; "too long")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "chunk: no size"; "a chunk without size")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "chunk: too much"; "a huge chunk")]
fn odd_polls_are_named(text: &str, reason: &str) {
    assert_eq!(board::read(text.as_bytes()), Err(reason.to_string()));
}

/// What is told of events behind number 4.
fn heard(text: &str) -> (Result<Option<u64>, String>, Vec<String>) {
    let mut heard = Vec::new();
    let rev = board::notices(
        &board::json(text.as_bytes()).unwrap(),
        4,
        &mut |hosts, full| {
            heard.push(format!(
                "{full} {}",
                hosts.iter().map(|h| h.id).collect::<Vec<_>>().join(" ")
            ));
        },
    );
    (rev, heard)
}

const HOST: &str = r#"{"id":"ID","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":1,"state":"up","weight":4,"started_ms":0}"#;

#[test]
fn notices_come_in_their_order_and_once() {
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
    assert_eq!(
        heard(&text),
        (
            Ok(Some(7)),
            vec!["false b".to_string(), "false c".to_string()]
        )
    );
}

/// Behind number 4. What does not follow changes nothing and is asked for anew, whole; a whole list needs nothing before it.
#[test_case(4, "", Some(4), 0; "nothing new")]
#[test_case(6, "5 6", Some(6), 2; "two that follow")]
#[test_case(6, "6 5 5", Some(6), 3; "in another order, and one told twice")]
#[test_case(3, "", None, 0; "the numbers went back")]
#[test_case(6, "6", None, 0; "one is left out")]
#[test_case(7, "5 7", None, 0; "one is left out between others")]
#[test_case(6, "5", None, 0; "the last one is left out")]
#[test_case(9, "8! 9", Some(9), 2; "a whole list and one behind it")]
#[test_case(9, "9!", Some(9), 1; "a whole list alone")]
#[test_case(9, "5 7!", None, 0; "two are left out behind a whole list")]
fn numbers_that_do_not_follow_each_other(rev: u64, told: &str, taken: Option<u64>, lists: usize) {
    let pool = |n: &str| {
        let (n, full) = (n.trim_end_matches('!'), n.ends_with('!'));
        format!(r#"{{"rev":{n},"pool":{{"version":1,"full":{full},"servers":[{HOST}]}}}}"#)
    };
    let notices: Vec<String> = told.split_whitespace().map(pool).collect();
    let (rev, heard) = heard(&format!(
        r#"{{"rev":{rev},"notices":[{}]}}"#,
        notices.join(",")
    ));
    assert_eq!((rev, heard.len()), (Ok(taken), lists));
}

#[test_case(r#"{"notices":[]}"#, "field rev: no number"; "no number")]
#[test_case(r#"{"rev":5}"#, "field notices: no list"; "no list")]
#[test_case(r#"{"rev":5,"notices":[{"rev":5,"pool":{"full":true,"servers":[{"id":"a"}]}}]}"#, "field servers.state: no text"; "half a host")]
#[test_case(r#"{"rev":5,"notices":[{"rev":5,"pool":{"full":true,"servers":[{"id":"a","state":"?"}]}}]}"#, "field servers.state: '?'"; "an odd state")]
fn half_told_changes_are_not_taken(text: &str, reason: &str) {
    assert_eq!(heard(text), (Err(reason.to_string()), Vec::new()));
}

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:1","seed":"ff","limits":{"memory_mb":32,"sockets":256},
 "board":"127.0.0.1:2","known":{"rev":1,"notices":[]},"settings":{"me":0,"siblings":3,"tick-ms":1.0,"zones":["a b","c"],
 "allowed":{"connect-timeout-ms":250.0,"keepalive-ms":1,"max-attempts":3,"most-held":9,"streams-per-conn":32},
 "rules":{"drain-grace-ms":2000.0},"classes":[{"name":"x","deadline-ms":2140.0},{"name":"y"}],"extra":{"orders":false}}}"#;

// The forms are those of the bench's wire, as its adapter's settings tests hold them.
#[test_case("zones", "a_b,c"; "a list of plain values")]
#[test_case("classes.count", "2"; "the length of a list of objects")]
#[test_case("classes.1.name", "y"; "an item")]
#[test_case("classes.0.deadline-ms", "2140.0"; "a number")]
#[test_case("extra.orders", "false"; "a flag")]
fn settings_become_flat(name: &str, value: &str) {
    let config = config::read(CONFIG.as_bytes()).ok().unwrap();
    assert_eq!((config.seed, config.settings[name].as_str()), (255, value));
}

#[test_case("\"seed\":\"ff\"", "\"seed\":\"?\"", "field seed: missing or not hexadecimal"; "an odd seed")]
#[test_case("\"sockets\":256", "\"x\":1", "field limits/sockets: missing or no number"; "no limit")]
#[test_case("127.0.0.1:2", "nowhere", "field board: 'nowhere' is no address and port"; "an odd address")]
#[test_case("\"tick-ms\":1.0,", "", "field settings.tick-ms: missing"; "a figure that is missing")]
#[test_case("\"orders\":false", "\"orders\":true", "field settings.extra.order-timeout-ms: missing"; "a figure that orders need")]
#[test_case("\"known\"", "\"unknown\"", "field known: missing"; "no list")]
#[test_case("\"connect-timeout-ms\":250.0", "\"connect-timeout-ms\":0", "field settings.allowed.connect-timeout-ms: '0' is under 1"; "no time to connect")]
#[test_case("\"most-held\":9", "\"most-held\":\"x\"", "field settings.allowed.most-held: 'x' is under 1"; "no number")]
fn a_bad_configuration_is_named(from: &str, to: &str, reason: &str) {
    assert_eq!(
        config::read(CONFIG.replace(from, to).as_bytes())
            .err()
            .as_deref(),
        Some(reason)
    );
}

#[test_case(256; "few")]
#[test_case(1024; "usual")]
fn budgets_stay_within_the_limit(sockets: usize) {
    let b = DescriptorBudget::new(sockets, false);
    assert!(
        b.client_connections + b.worker_connections + 20 <= sockets,
        "{b:?}"
    );
    assert!(
        b.client_connections * 3 >= sockets,
        "usual clients hold a third: {b:?}"
    );
}

#[test]
fn pairs_name_what_is_none() {
    assert_eq!(pairs("-").count(), 0);
    assert_eq!(
        pairs("a=1,=2").last(),
        Some(Err("'=2' is not name=value".to_string()))
    );
}

/// Whatever comes: no panic, and what is not whole is never longer than the bounds allow.
#[test]
fn arbitrary_bytes() {
    let call = command(&["CALL", "7", "a", &usual(), "body"]);
    let change = (any::<prop::sample::Index>(), any::<u8>());
    let all = (
        prop::collection::vec(change, 0..6),
        prop::collection::vec(any::<u8>(), 0..200),
    );
    let done = runner(4_000).run(&all, |(changes, noise)| {
        for good in [&call[..], ANSWER, POLL.as_bytes(), CHUNKS.as_bytes()] {
            let mut bytes = good.to_vec();
            for (at, byte) in &changes {
                let at = at.index(bytes.len());
                bytes[at] = *byte;
            }
            bytes.extend_from_slice(&noise);
            let mut told = Told::default();
            if let Ok(left) = commands(&bytes, &mut told) {
                prop_assert!(left <= 20_000);
            }
            let _ = answers(&bytes, &mut told);
            let _ = board::read(&bytes).map(|r| {
                r.map(|(_, _, body)| {
                    board::json(&body).map(|j| board::notices(&j, 0, &mut |_, _| ()))
                })
            });
        }
        Ok(())
    });
    done.unwrap();
}
