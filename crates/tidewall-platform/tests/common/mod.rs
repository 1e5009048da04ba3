//! Complete messages of the platform's protocol, and decoders of message streams.
#![allow(dead_code)] // Each test file uses some of these.
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tidewall_platform::client_command::{self, CallError, CallRequest, ClientCommand};
use tidewall_platform::host_lines::{self, DecodedAnswer};

pub const TRACE: &str = "9b1f03aa5c7e2d41";
pub const FUNCTION: &str = "7f3a9c21e0b4d655";

/// The complete messages of a buffer, and the number of undecoded bytes after them.
#[derive(Debug, PartialEq)]
pub struct Stream<M> {
    pub messages: Vec<M>,
    pub left: usize,
}

/// Encodes a command of these words.
pub fn command(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    out
}

/// Fields of a call that has all fields of the platform's specification.
pub fn usual_fields() -> String {
    format!("trace={TRACE},patience=1500,customer=acme,nonce=n1,entity={FUNCTION},weight=8.2,extras=memory_mb:512;lanes:2")
}

/// The decoded form of a call with [`usual_fields`].
pub fn usual_call<'a>(class: &'a str, payload: &'a [u8]) -> CallRequest<'a> {
    CallRequest {
        request_id: 0x9b1f_03aa_5c7e_2d41,
        class,
        tenant: Some("acme"),
        idempotency_key: "n1",
        function: FUNCTION,
        timeout_ms: 1500.0,
        cost_hint_ms: 8.2,
        memory_mb: 512.0,
        lanes: 2.0,
        load_hint_ms: 0.0,
        is_retry: false,
        payload,
    }
}

/// Decodes all complete commands. Returns the message of the error that ends the stream, if any.
pub fn decode_commands(bytes: &[u8]) -> Result<Stream<ClientCommand<'_>>, String> {
    let (mut messages, mut used) = (Vec::new(), 0);
    while let Some(decoded) =
        client_command::decode(&bytes[used..]).map_err(|error| error.to_string())?
    {
        used += decoded.length;
        messages.push(decoded.command);
    }
    let left = bytes.len() - used;
    Ok(Stream { messages, left })
}

/// Returns the tag and the error of a buffer's only command, an invalid call.
pub fn call_error(bytes: &[u8]) -> (u64, CallError) {
    let stream = decode_commands(bytes).unwrap();
    assert_eq!((stream.messages.len(), stream.left), (1, 0));
    match stream.messages.into_iter().next() {
        Some(ClientCommand::Call {
            tag,
            call: Err(error),
        }) => (tag, error),
        other => panic!("{other:?}"),
    }
}

/// Decodes all complete answers of a host. Returns the message of the error that ends the stream,
/// if any.
pub fn decode_answers(bytes: &[u8]) -> Result<Stream<DecodedAnswer<'_>>, String> {
    let (mut messages, mut used) = (Vec::new(), 0);
    while let Some(decoded) =
        host_lines::decode(&bytes[used..]).map_err(|error| error.to_string())?
    {
        used += decoded.length;
        messages.push(decoded);
    }
    let left = bytes.len() - used;
    Ok(Stream { messages, left })
}

/// A property test runner with a fixed seed.
pub fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]))
}
