//! The bytes of member datagrams, as recorded in `tests/oracles/wire/member-datagrams.hex` at the workspace root.
use tidewall_coordination::codec::{head, item, seal, DatagramHeader};
use tidewall_membership::{MemberState, MemberUpdate};
use tidewall_vrrp::packet::Keys;

const RECORDED: &str = include_str!("../../../tests/oracles/wire/member-datagrams.hex");

const HEADER: DatagramHeader = DatagramHeader {
    from: 2,
    to: 1,
    to_life: 77,
    word: MemberUpdate {
        incarnation: 1_764_633_600_000,
        refutation: 3,
        state: MemberState::Alive,
    },
    number: 9,
};

fn recorded(name: &str) -> &'static str {
    RECORDED
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))
        .expect("it is recorded")
}

fn sealed_hex(mut body: Vec<u8>) -> String {
    let keys = Keys(vec![
        (3, b"0123456789abcdef".to_vec()),
        (4, b"other".to_vec()),
    ]);
    seal(&mut body, &keys);
    body.iter().map(|octet| format!("{octet:02x}")).collect()
}

const ITEMS: [(&str, u64, &[u64]); 12] = [
    ("ping", item::PING, &[5]),
    ("ping-for", item::PING_FOR, &[4, 5]),
    ("ack", item::ACK, &[4, 5]),
    ("word", item::WORD, &[4, 9, 1, 2]),
    ("prepare", item::PREPARE, &[4, 5]),
    ("promised", item::PROMISED, &[4, 5, 6, 7, 8, 9]),
    ("not-promised", item::NOT_PROMISED, &[4, 5, 6, 7, 8, 9, 10]),
    ("accept", item::ACCEPT, &[4, 5, 6]),
    ("accepted", item::ACCEPTED, &[4, 5, 6]),
    (
        "not-accepted",
        item::NOT_ACCEPTED,
        &[4, 5, 6, 7, 8, 9, 10, 11],
    ),
    ("release", item::RELEASE, &[4, 5]),
    ("handed", item::HANDED, &[4]),
];

#[test]
fn each_item_is_encoded_to_the_recorded_bytes() {
    for (name, kind, numbers) in ITEMS {
        let mut body = Vec::new();
        head(&mut body, &HEADER);
        assert!(item(&mut body, kind, numbers));
        assert_eq!(sealed_hex(body), recorded(name), "{name}");
    }
}

#[test]
fn all_items_together_are_encoded_to_the_recorded_bytes() {
    let mut body = Vec::new();
    head(&mut body, &HEADER);
    for (name, kind, numbers) in ITEMS {
        assert!(item(&mut body, kind, numbers), "{name}");
    }
    assert_eq!(sealed_hex(body), recorded("all"));
}

#[test]
fn a_header_with_extreme_numbers_is_encoded_to_the_recorded_bytes() {
    let mut body = Vec::new();
    let header = DatagramHeader {
        from: 0,
        to: 62,
        to_life: 0,
        word: MemberUpdate {
            incarnation: (1 << 56) - 1,
            refutation: u32::MAX,
            state: MemberState::Left,
        },
        number: u64::MAX,
    };
    head(&mut body, &header);
    assert_eq!(sealed_hex(body), recorded("left"));
}

#[test]
fn a_full_datagram_is_encoded_to_the_recorded_bytes() {
    let mut body = Vec::new();
    head(&mut body, &HEADER);
    while item(&mut body, item::WORD, &[300, 1_764_633_600_000, 70_000, 3]) {}
    assert_eq!(sealed_hex(body), recorded("full"));
}
