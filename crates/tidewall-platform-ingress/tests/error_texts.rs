//! Error messages that clients and the log get are as the user documentation states them.
#![allow(clippy::unwrap_used, missing_docs)]
use tidewall_platform::client_command::{CallError, CommandError};
use tidewall_platform::config;
use tidewall_platform_ingress::error::{
    ConnectionError, InvalidCall, PeerDatagramError, ReloadError,
};

#[test]
fn errors_of_clients_have_documented_texts() {
    let texts = [
        ConnectionError::TagReused.to_string(),
        ConnectionError::from(CommandError::Tag).to_string(),
        InvalidCall::from(CallError::Missing("trace")).to_string(),
        InvalidCall::UnknownClass("nosuch".to_string()).to_string(),
        InvalidCall::UnknownTenant.to_string(),
        InvalidCall::IdempotencyKeyMissing.to_string(),
        InvalidCall::DuplicateRequest.to_string(),
    ];
    let expected = [
        "tag: used before",
        "tag: no number from 1 up",
        "field trace: missing",
        "event type: 'nosuch'",
        "field customer: unknown",
        "field nonce: missing",
        "field trace: in hand already",
    ];
    assert_eq!(texts, expected);
}

#[test]
fn errors_of_datagrams_and_reloads_have_documented_texts() {
    let read_error = std::fs::read("no such file").unwrap_err();
    let text = read_error.to_string();
    assert_eq!(ReloadError::from(read_error).to_string(), text);
    let no_address = config::parse_notice_board(b"{}").unwrap_err();
    let texts = [
        PeerDatagramError::UnknownSender.to_string(),
        PeerDatagramError::TooLong(257).to_string(),
        ReloadError::from(no_address).to_string(),
    ];
    let expected = [
        "datagram: from nobody's address",
        "datagram: 257 bytes, at most 256",
        "field board: missing",
    ];
    assert_eq!(texts, expected);
}
