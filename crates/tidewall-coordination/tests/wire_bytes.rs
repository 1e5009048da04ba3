//! The bytes of member datagrams must match `tests/oracles/wire/member-datagrams.hex` at the workspace root.
#![allow(clippy::unwrap_used, missing_docs)]
use tidewall_coordination::codec::DatagramItem::{self, *};
use tidewall_coordination::codec::LeaseReply::*;
use tidewall_coordination::codec::LeaseRequest::*;
use tidewall_coordination::codec::{
    decode_header, decode_items, encode_header, encode_item, open, seal, DatagramHeader,
};
use tidewall_lease::grantor::Grant;
use tidewall_membership::{MemberState, MemberUpdate};
use tidewall_vrrp::packet::Keys;

const RECORDED: &str = include_str!("../../../tests/oracles/wire/member-datagrams.hex");

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

fn recorded(name: &str) -> &'static str {
    RECORDED
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))
        .expect("the datagram of this name is recorded")
}

fn keys() -> Keys {
    Keys(vec![
        (3, b"0123456789abcdef".to_vec()),
        (4, b"other".to_vec()),
    ])
}

fn sealed_hex(mut body: Vec<u8>) -> String {
    seal(&mut body, &keys());
    body.iter().map(|octet| format!("{octet:02x}")).collect()
}

const GRANT: Grant = Grant {
    epoch: 6,
    member: 7,
    incarnation: 8,
};

const ITEMS: [(&str, DatagramItem); 12] = [
    ("ping", Ping { sequence: 5 }),
    (
        "ping-for",
        IndirectPing {
            target: 4,
            sequence: 5,
        },
    ),
    (
        "ack",
        Ack {
            subject: 4,
            sequence: 5,
        },
    ),
    ("word", gossip(4, 9, 1, MemberState::Dead)),
    (
        "prepare",
        Request(Prepare {
            task: 4,
            ballot_count: 5,
        }),
    ),
    (
        "promised",
        Reply(Promised {
            task: 4,
            ballot_count: 5,
            accepted: GRANT,
            remaining: 9,
        }),
    ),
    (
        "not-promised",
        Reply(PrepareRejected {
            task: 4,
            ballot_count: 5,
            promised: 6,
            accepted: Grant {
                epoch: 7,
                member: 8,
                incarnation: 9,
            },
            remaining: 10,
        }),
    ),
    (
        "accept",
        Request(Accept {
            task: 4,
            ballot_count: 5,
            tag: 6,
        }),
    ),
    (
        "accepted",
        Reply(Accepted {
            task: 4,
            ballot_count: 5,
            tag: 6,
        }),
    ),
    (
        "not-accepted",
        Reply(AcceptRejected {
            task: 4,
            ballot_count: 5,
            tag: 6,
            promised: 7,
            accepted: Grant {
                epoch: 8,
                member: 9,
                incarnation: 10,
            },
            remaining: 11,
        }),
    ),
    (
        "release",
        Request(Release {
            task: 4,
            ballot_count: 5,
        }),
    ),
    ("handed", HandedOver { task: 4 }),
];

const fn gossip(
    member: usize,
    incarnation: u64,
    refutation: u32,
    state: MemberState,
) -> DatagramItem {
    Gossip {
        member,
        update: MemberUpdate {
            incarnation,
            refutation,
            state,
        },
    }
}

fn bytes_of(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

/// Each recorded datagram is authenticated and decoded to the original items.
#[test]
fn recorded_bytes_are_decoded_to_their_items() {
    let all: Vec<DatagramItem> = ITEMS.iter().map(|(_, item)| *item).collect();
    let mut expected: Vec<(&str, Vec<DatagramItem>)> = ITEMS
        .iter()
        .map(|(name, item)| (*name, vec![*item]))
        .collect();
    expected.push(("all", all));
    for (name, items) in expected {
        let datagram = bytes_of(recorded(name));
        let body = open(&datagram, &keys()).unwrap();
        let (header, items_start) = decode_header(body).unwrap();
        let decoded = decode_items(&body[items_start..]).unwrap();
        assert_eq!(header, HEADER, "{name}");
        assert_eq!(decoded.collect::<Vec<_>>(), items, "{name}");
    }
}

#[test]
fn each_item_is_encoded_to_the_recorded_bytes() {
    for (name, item) in ITEMS {
        let mut body = Vec::new();
        encode_header(&mut body, &HEADER);
        assert!(encode_item(&mut body, &item));
        assert_eq!(sealed_hex(body), recorded(name), "{name}");
    }
}

#[test]
fn all_items_together_are_encoded_to_the_recorded_bytes() {
    let mut body = Vec::new();
    encode_header(&mut body, &HEADER);
    for (name, item) in ITEMS {
        assert!(encode_item(&mut body, &item), "{name}");
    }
    assert_eq!(sealed_hex(body), recorded("all"));
}

#[test]
fn a_header_with_extreme_numbers_is_encoded_to_the_recorded_bytes() {
    let mut body = Vec::new();
    let header = DatagramHeader {
        from: 0,
        to: 62,
        to_incarnation: 0,
        sender: MemberUpdate {
            incarnation: (1 << 56) - 1,
            refutation: u32::MAX,
            state: MemberState::Left,
        },
        sequence: u64::MAX,
    };
    encode_header(&mut body, &header);
    assert_eq!(sealed_hex(body), recorded("left"));
}

#[test]
fn a_full_datagram_is_encoded_to_the_recorded_bytes() {
    let mut body = Vec::new();
    encode_header(&mut body, &HEADER);
    let update = gossip(300, 1_764_633_600_000, 70_000, MemberState::Left);
    while encode_item(&mut body, &update) {}
    assert_eq!(sealed_hex(body), recorded("full"));
}
