//! Parsing of authentication keys and of a request's remaining time, and the wire texts of refused
//! requests.
#![allow(clippy::unwrap_used)]
use test_case::test_case;
use tidewall_gateway::config::parse_keys;
use tidewall_gateway::error::AdmissionError;
use tidewall_gateway::ingress::remaining_time;

const KEY: &str = "000102030405060708090a0b0c0d0e0f";

#[test]
fn keys_keep_the_order_of_their_lines() {
    let text = format!("# new first\n2 {}\n\n1 {KEY}\n", KEY.replace('0', "f"));
    let keys = parse_keys("k", &text).unwrap();
    assert_eq!(keys.0.iter().map(|k| k.0).collect::<Vec<_>>(), [2, 1]);
    assert_eq!(keys.0[1].1[..4], [0, 1, 2, 3]);
}

#[test_case("", "k:1:1: there is no key" ; "empty")]
#[test_case("\n1", "k:2:1: a number and a key" ; "number without key")]
#[test_case("256 000102030405060708090a0b0c0d0e0f", "k:1:1: the number" ; "number out of range")]
#[test_case("1 0001", "k:1:1: a key has an even number of at least 32" ; "key too short")]
#[test_case("1 000102030405060708090a0b0c0d0e0g", "k:1:1: a key has hexadecimal" ; "not a hexadecimal digit")]
#[test_case("1 000102030405060708090a0b0c0d0e0f\n1 000102030405060708090a0b0c0d0e0f", "k:2:1: the number stands twice" ; "duplicate number")]
fn invalid_key_files_name_the_line(text: &str, expected: &str) {
    let error = parse_keys("k", text).err().expect("it is refused");
    assert!(error.to_string().starts_with(expected), "{error}");
}

#[test_case(21_000, 0, Some(21_000) ; "read at once")]
#[test_case(21_000, 5_250, Some(15_750) ; "a quarter is uncertain")]
#[test_case(21_000, 5_251, None ; "more than a quarter is uncertain")]
#[test_case(0, 0, None ; "no time was left")]
fn the_remaining_time_is_what_is_certainly_left(remaining: u64, waited: u64, certain: Option<u64>) {
    assert_eq!(remaining_time(remaining, waited), certain);
}

#[test_case(AdmissionError::Late, "late")]
#[test_case(AdmissionError::Draining, "draining")]
#[test_case(AdmissionError::DeduplicationTableFull, "most-remembered")]
#[test_case(AdmissionError::TooManyRequests, "most-held")]
#[test_case(AdmissionError::PayloadMemoryFull, "most-payload")]
fn refusals_keep_their_wire_texts(error: AdmissionError, text: &str) {
    assert_eq!(error.wire_text(), text);
    assert_eq!(error.to_string(), text);
}
