//! Datagrams: an invalid datagram is rejected as a whole and has no effect.
#![allow(clippy::unwrap_used, missing_docs)]
use test_case::test_case;
use tidewall_coordination::codec::DatagramItem::{self, *};
use tidewall_coordination::codec::LeaseReply::*;
use tidewall_coordination::codec::LeaseRequest::*;
use tidewall_coordination::codec::{
    decode_header, decode_items, encode_header, encode_item, open, seal, DatagramError,
    DatagramHeader, INCARNATION_MASK, MAX_DATAGRAM,
};
use tidewall_coordination::replay_window::ReplayWindow;
use tidewall_lease::ballot::BALLOT_COUNT_LIMIT;
use tidewall_lease::grantor::Grant;
use tidewall_membership::{MemberState, MemberUpdate};
use tidewall_vrrp::packet::Keys;

/// Decodes all items; an error if one is malformed.
fn items(items: &[u8]) -> Result<Vec<DatagramItem>, DatagramError> {
    decode_items(items).map(Iterator::collect)
}

const fn grant(epoch: u64, member: usize, incarnation: u64) -> Grant {
    Grant {
        epoch,
        member,
        incarnation,
    }
}

const ACCEPT: DatagramItem = Request(Accept {
    task: 4,
    ballot_count: 5,
    tag: 6,
});

const GOSSIP: DatagramItem = Gossip {
    member: 4,
    update: MemberUpdate {
        incarnation: 9,
        refutation: 1,
        state: MemberState::Dead,
    },
};

fn keys(key: &[u8]) -> Keys {
    Keys(vec![(3, key.to_vec())])
}

const HEADER: DatagramHeader = DatagramHeader {
    from: 2,
    to: 1,
    to_incarnation: 77,
    sender: MemberUpdate {
        incarnation: 1_764_633_600_000,
        refutation: 3,
        state: MemberState::Alive,
    },
    sequence: 9,
};

fn body(items: &[DatagramItem]) -> Vec<u8> {
    let mut body = Vec::new();
    encode_header(&mut body, &HEADER);
    assert!(items.iter().all(|item| encode_item(&mut body, item)));
    body
}

/// Returns the numbers that follow the header, which `docs/wire.md` lists.
fn numbers(items: &[u8]) -> Vec<u64> {
    let mut decoder = minicbor::Decoder::new(items);
    let mut numbers = Vec::new();
    while decoder.position() < items.len() {
        numbers.push(decoder.u64().unwrap());
    }
    numbers
}

#[test_case(Ping { sequence: 5 }, &[1, 5])]
#[test_case(IndirectPing { target: 4, sequence: 5 }, &[2, 4, 5])]
#[test_case(Ack { subject: 4, sequence: 5 }, &[3, 4, 5])]
#[test_case(GOSSIP, &[4, 4, 9, 1, 2])]
#[test_case(Request(Prepare { task: 4, ballot_count: 5 }), &[5, 4, 5])]
#[test_case(
    Reply(Promised { task: 4, ballot_count: 5, accepted: grant(6, 7, 8), remaining: 9 }),
    &[6, 4, 5, 6, 7, 8, 9]
)]
#[test_case(
    Reply(PrepareRejected { task: 4, ballot_count: 5, promised: 6, accepted: grant(7, 8, 9), remaining: 10 }),
    &[7, 4, 5, 6, 7, 8, 9, 10]
)]
#[test_case(ACCEPT, &[8, 4, 5, 6])]
#[test_case(Reply(Accepted { task: 4, ballot_count: 5, tag: 6 }), &[9, 4, 5, 6])]
#[test_case(
    Reply(AcceptRejected { task: 4, ballot_count: 5, tag: 6, promised: 7, accepted: grant(8, 9, 10), remaining: 11 }),
    &[10, 4, 5, 6, 7, 8, 9, 10, 11]
)]
#[test_case(Request(Release { task: 4, ballot_count: 5 }), &[11, 4, 5])]
#[test_case(HandedOver { task: 4 }, &[12, 4])]
fn each_item_is_decoded_as_it_was_encoded(item: DatagramItem, on_the_wire: &[u64]) {
    let mut bytes = body(&[item]);
    seal(&mut bytes, &keys(b"key"));
    let body = open(&bytes, &keys(b"key")).unwrap();
    let (header, items_start) = decode_header(body).unwrap();
    assert_eq!(numbers(&body[items_start..]), on_the_wire);
    assert_eq!(
        (header, items(&body[items_start..])),
        (HEADER, Ok(vec![item]))
    );
}

/// Flips every bit of a sealed datagram, and truncates it at every length.
#[test]
fn a_tampered_datagram_is_not_opened() {
    let mut bytes = body(&[ACCEPT, GOSSIP]);
    seal(&mut bytes, &keys(b"key"));
    for bit in 0..bytes.len() * 8 {
        let mut bytes = bytes.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(open(&bytes, &keys(b"key")).is_err());
    }
    assert!((0..bytes.len()).all(|len| open(&bytes[..len], &keys(b"key")).is_err()));
    assert!(open(&bytes, &keys(b"other")).is_err());
    assert!(open(&[0; MAX_DATAGRAM + 1], &keys(b"key")).is_err());
}

/// Truncated at any length or with any octet changed, a body with a valid seal yields either all items or
/// none.
#[test]
fn a_malformed_body_yields_no_item() {
    let whole = body(&[ACCEPT, HandedOver { task: 7 }, GOSSIP]);
    let (_, items_start) = decode_header(&whole).unwrap();
    let check_all_or_none = |bytes: &[u8]| {
        let Ok((_, items_start)) = decode_header(bytes) else {
            return;
        };
        let Ok(decoded) = decode_items(&bytes[items_start..]) else {
            return;
        };
        // A valid body is decoded to its end: encoded again, it consists of the same numbers and yields the
        // same items.
        let decoded: Vec<DatagramItem> = decoded.collect();
        let again = body(&decoded);
        let (_, again_start) = decode_header(&again).unwrap();
        assert_eq!(
            numbers(&again[again_start..]),
            numbers(&bytes[items_start..])
        );
        assert_eq!(items(&again[again_start..]), Ok(decoded));
    };
    for len in 0..whole.len() {
        check_all_or_none(&whole[..len]);
        for octet in [0, 1, 0x17, 0x1b, 0x5f, 0x80, 0xa1, 0xff] {
            let mut bytes = whole.clone();
            bytes[len] = octet;
            check_all_or_none(&bytes);
        }
    }
    assert_eq!(
        items(&whole[items_start..whole.len() - 1]),
        Err(DatagramError::MalformedItem)
    );
    assert_eq!(DatagramError::MalformedItem.to_string(), "item: no number");
}

#[test_case(&[(5, 1, true), (5, 1, false)] ; "replayed")]
#[test_case(&[(5, 2, true), (5, 1, true), (5, 1, false)] ; "overtaken, then replayed")]
#[test_case(&[(5, 100, true), (5, 36, false)] ; "too old to tell")]
#[test_case(&[(5, 1, true), (6, 1, true), (5, 2, false)] ; "a former incarnation")]
fn each_sequence_number_is_admitted_once(datagrams: &[(u64, u64, bool)]) {
    let mut window = ReplayWindow::default();
    for (incarnation, sequence, admitted) in datagrams {
        assert_eq!(
            window.admit(*incarnation, *sequence).is_ok(),
            *admitted,
            "{incarnation} {sequence}"
        );
    }
}

/// The longest items fit, and an item that does not fit leaves the body unchanged.
#[test]
fn a_datagram_stays_within_its_bound() {
    let mut body = Vec::new();
    encode_header(
        &mut body,
        &DatagramHeader {
            from: 4_095,
            to: 4_095,
            to_incarnation: INCARNATION_MASK,
            sequence: u64::MAX,
            ..HEADER
        },
    );
    let before = body.len();
    let longest = Reply(AcceptRejected {
        task: u32::MAX as usize,
        ballot_count: u64::MAX,
        tag: u32::MAX,
        promised: u64::MAX,
        accepted: grant(u64::MAX, 5, u64::MAX),
        remaining: u64::MAX,
    });
    assert!(encode_item(&mut body, &longest) && body.len() > before);
    let request = Request(Accept {
        task: 9_999,
        ballot_count: 1 << 20,
        tag: 1 << 20,
    });
    while encode_item(&mut body, &request) {}
    let len = body.len();
    assert!(!encode_item(&mut body, &request) && body.len() == len);
    seal(&mut body, &keys(b"key"));
    assert!(body.len() <= MAX_DATAGRAM);
}

/// The log and the operator documentation contain these texts.
#[test_case(DatagramError::TooLong, "length: over 256")]
#[test_case(DatagramError::TooShort, "length: cut short")]
#[test_case(DatagramError::UnknownKey, "key: unknown")]
#[test_case(DatagramError::WrongMac, "hash: wrong")]
#[test_case(DatagramError::MalformedHeader, "head: no number")]
#[test_case(DatagramError::UnknownVersion, "version: not 1")]
#[test_case(DatagramError::HeaderOutOfRange, "head: a number is out of range")]
#[test_case(DatagramError::MissingKind, "item: no kind")]
#[test_case(DatagramError::UnknownKind, "item: unknown kind")]
#[test_case(DatagramError::MalformedItem, "item: no number")]
#[test_case(DatagramError::ItemOutOfRange, "item: a number is out of range")]
#[test_case(DatagramError::WrongReceiver, "to: another member")]
#[test_case(DatagramError::StaleReceiver, "to: a former life")]
#[test_case(DatagramError::UnknownSender, "from: no other member")]
#[test_case(DatagramError::StaleSender, "life: a former one")]
#[test_case(DatagramError::Replayed, "number: heard before")]
fn a_rejection_has_its_documented_text(error: DatagramError, text: &str) {
    assert_eq!(error.to_string(), text);
}

fn encoded(numbers: &[u64]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut encoder = minicbor::Encoder::new(&mut bytes);
    for number in numbers {
        encoder.u64(*number).unwrap();
    }
    bytes
}

const OVER: u64 = 1 << 32;

#[test_case(&[0], DatagramError::UnknownKind ; "kind 0")]
#[test_case(&[13, 1], DatagramError::UnknownKind ; "kind 13")]
#[test_case(&[1], DatagramError::MalformedItem ; "no sequence")]
#[test_case(&[1, OVER], DatagramError::ItemOutOfRange ; "ping sequence")]
#[test_case(&[2, OVER, 1], DatagramError::ItemOutOfRange ; "ping target")]
#[test_case(&[3, 1, OVER], DatagramError::ItemOutOfRange ; "ack sequence")]
#[test_case(&[4, 1, 1, OVER, 0], DatagramError::ItemOutOfRange ; "refutation")]
#[test_case(&[4, 1, 1, 1, 4], DatagramError::ItemOutOfRange ; "member state")]
#[test_case(&[5, 1, BALLOT_COUNT_LIMIT], DatagramError::ItemOutOfRange ; "prepared ballot")]
#[test_case(&[6, 1, 1, 1, OVER, 1, 1], DatagramError::ItemOutOfRange ; "promised member")]
#[test_case(&[7, 1, 1, 1, 1, OVER, 1, 1], DatagramError::ItemOutOfRange ; "not promised member")]
#[test_case(&[8, 1, 1, OVER], DatagramError::ItemOutOfRange ; "accept tag")]
#[test_case(&[9, 1, BALLOT_COUNT_LIMIT, 1], DatagramError::ItemOutOfRange ; "accepted ballot")]
#[test_case(&[10, 1, 1, 1, 1, 1, OVER, 1, 1], DatagramError::ItemOutOfRange ; "not accepted member")]
#[test_case(&[11, OVER, 1], DatagramError::ItemOutOfRange ; "released task")]
#[test_case(&[12, OVER], DatagramError::ItemOutOfRange ; "handed over task")]
fn an_item_out_of_range_is_rejected_with_all_others(numbers: &[u64], error: DatagramError) {
    let mut bytes = encoded(&[12, 4]);
    bytes.extend(encoded(numbers));
    assert_eq!(items(&bytes), Err(error));
}
