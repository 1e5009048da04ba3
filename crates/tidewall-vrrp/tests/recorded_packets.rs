//! The encoder writes the same octets as the recorded advertisements of the first implementation.
use std::net::Ipv4Addr;
use tidewall_vrrp::packet::{AdvertisementPacket, Keys};

const FIRST: Ipv4Addr = Ipv4Addr::new(192, 0, 2, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(198, 51, 100, 255);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn encoded_hex(
    vrid: u8,
    priority: u8,
    interval: u16,
    addresses: &[Ipv4Addr],
    sequence: u64,
    keys: Keys,
) -> String {
    let mut out = vec![0xaa];
    AdvertisementPacket {
        vrid,
        priority,
        interval,
        addresses: addresses.into(),
        sequence,
    }
    .encode(&keys, &mut out);
    assert_eq!(
        out.remove(0),
        0xaa,
        "the encoder must not change octets before the packet"
    );
    hex(&out)
}

fn key(id: u8, secret: &[u8]) -> (u8, Vec<u8>) {
    (id, secret.to_vec())
}

#[test]
fn one_address_has_the_recorded_octets() {
    let keys = Keys(vec![key(1, b"secret")]);
    assert_eq!(
        encoded_hex(1, 100, 100, &[FIRST], 1, keys),
        "310164010064a897c0000201\
         ff000000000000000101\
         7bf6e2f6e850f7148e40ffc3f404c30314acc935f5e6f9aac80c90887932bdbe"
    );
}

#[test]
fn the_largest_values_and_two_addresses_have_the_recorded_octets() {
    let keys = Keys(vec![key(200, &[7; 100])]);
    assert_eq!(
        encoded_hex(255, 255, 4095, &[FIRST, SECOND], u64::MAX, keys),
        "31ffff020fffd1c9c0000201c63364ff\
         ffffffffffffffffffc8\
         daac9b503e0ee0a455eab30f8636a38e307e095020d800f756032994ff5bf302"
    );
}

#[test]
fn the_first_of_two_keys_signs_the_recorded_octets() {
    let keys = Keys(vec![key(3, b"new"), key(2, b"old")]);
    assert_eq!(
        encoded_hex(7, 0, 10, &[SECOND], 1 << 40, keys),
        "31070001000aa3bac63364ff\
         ff000001000000000003\
         0b1eb52e4491b7e251cfb729cc2f2625527e6c5b8b6542bbb1996c1d0f7eae0d"
    );
}

#[test]
fn no_key_and_an_interval_beyond_twelve_bits_have_the_recorded_octets() {
    assert_eq!(
        encoded_hex(7, 1, 0x1001, &[FIRST], 5, Keys::default()),
        "3107010100010bf5c0000201\
         ff000000000000000500\
         62234131849e2e816f50eccac8e48487a15882d0c05e78e1bdf51aaa8e554ecb"
    );
}

/// The packets of `tests/oracles/wire/vrrp.hex`, under the names used there.
#[test]
fn the_packets_of_the_wire_oracle_have_the_recorded_octets() {
    let keys = || {
        let signing_key = key(3, b"0123456789abcdef");
        Keys(vec![signing_key, key(4, b"other")])
    };
    let (seven, eight) = (Ipv4Addr::new(192, 0, 2, 7), Ipv4Addr::new(192, 0, 2, 8));
    assert_eq!(
        encoded_hex(1, 200, 10, &[seven], 1_764_633_600_000, keys()),
        "3101c801000a44ebc0000207ff0000019adc5be00003\
         f3b151132562ee8ccd63fef8ea1fd04f533c85957cc9cc8c104f7fc35e300bd6",
        "advertisement"
    );
    assert_eq!(
        encoded_hex(255, 254, 4095, &[seven, eight], u64::MAX, keys()),
        "31fffe020fff3beec0000207c0000208ffffffffffffffffff03\
         b515627194289b608b9236a0397d05afc586f7c584657e73ee21a5a5ab50cac7",
        "advertisement-two-addresses"
    );
    assert_eq!(
        encoded_hex(1, 0, 10, &[seven], 1, keys()),
        "31010001000a0cecc0000207ff000000000000000103\
         2dc94b85031555fe5d1bbc5992128d743f3aa9ff95769a47bb70bed829576dc6",
        "advertisement-of-the-end"
    );
}
