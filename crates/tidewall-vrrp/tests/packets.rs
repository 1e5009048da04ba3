//! Encoding and decoding of packets: a decoded packet equals the encoded one, and a packet that fails a check
//! of RFC 9568, 7.1, is discarded.
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::net::Ipv4Addr;
use test_case::test_case;
use tidewall_vrrp::packet::{receive, AdvertisementPacket, Keys, PacketError, ReplayGuard};
use tidewall_vrrp::Advertisement;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, last)
}

fn keys(id: u8) -> Keys {
    Keys(vec![(id, vec![id; 16])])
}

fn packet(sequence: u64) -> Vec<u8> {
    let addresses = [ip(100)];
    let mut out = Vec::new();
    AdvertisementPacket {
        vrid: 7,
        priority: 100,
        interval: 100,
        addresses: (&addresses[..]).into(),
        sequence,
    }
    .encode(&keys(1), &mut out);
    out
}

#[test]
fn an_encoded_packet_is_received() {
    let mut guard = ReplayGuard::default();
    let received = receive(&packet(1), ip(5), &[ip(100)], &keys(1), &mut guard);
    assert_eq!(
        received,
        Ok(Advertisement {
            vrid: 7,
            priority: 100,
            interval: 100,
            from: ip(5),
        })
    );
}

#[test_case(0, 0x21, "version" ; "7.1 version")]
#[test_case(0, 0x32, "type" ; "7.1 type")]
#[test_case(3, 2, "count" ; "7.1 count of addresses")]
#[test_case(2, 254, "checksum" ; "7.1 checksum")]
#[test_case(12, 254, "hops" ; "7.1 hop limit")]
#[test_case(20, 9, "hash" ; "a changed sequence number")]
#[test_case(21, 2, "key" ; "an unknown key")]
#[test_case(40, 0, "hash" ; "a changed hash")]
fn a_changed_packet_fails_its_check(at: usize, byte: u8, check: &str) {
    let mut bytes = packet(1);
    bytes[at] = byte;
    let received = receive(
        &bytes,
        ip(5),
        &[ip(100)],
        &keys(1),
        &mut ReplayGuard::default(),
    );
    assert!(
        received.is_err_and(|error| error.to_string().starts_with(check)),
        "{received:?}"
    );
}

#[test]
fn a_replayed_packet_and_one_of_another_key_are_discarded() {
    let mut guard = ReplayGuard::default();
    let mut receive_next =
        |bytes: &[u8], keys: &Keys| receive(bytes, ip(5), &[ip(100)], keys, &mut guard);
    assert!(receive_next(&packet(5), &keys(1)).is_ok());
    assert_eq!(
        receive_next(&packet(5), &keys(1)),
        Err(PacketError::Replayed)
    );
    assert_eq!(
        receive_next(&packet(4), &keys(1)),
        Err(PacketError::Replayed)
    );
    assert_eq!(
        receive_next(&packet(6), &keys(2)),
        Err(PacketError::UnknownKey)
    );
    // During a key rotation both keys are accepted.
    let both = Keys([keys(2).0, keys(1).0].concat());
    assert!(receive_next(&packet(7), &both).is_ok());
    for cut in 0..packet(9).len() {
        assert!(receive_next(&packet(9)[..cut], &keys(1)).is_err());
    }
}

#[test]
fn a_packet_cut_at_any_byte_is_discarded() {
    let whole = packet(1);
    for at in 0..whole.len() {
        let received = receive(
            &whole[..at],
            ip(5),
            &[ip(100)],
            &keys(1),
            &mut ReplayGuard::default(),
        );
        assert!(received.is_err(), "cut at {at}");
    }
}

#[test]
fn any_packet_is_decoded_as_it_was_encoded() {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let addresses = prop::collection::vec(any::<u32>().prop_map(Ipv4Addr::from), 1..=255);
    let secret = prop::collection::vec(any::<u8>(), 0..100);
    let all = (
        any::<(u8, u8, u64)>(),
        0u16..4096,
        addresses,
        (any::<u8>(), secret),
    );
    let result = TestRunner::new_with_rng(config, rng).run(
        &all,
        |((vrid, priority, sequence), interval, addresses, key)| {
            let packet = AdvertisementPacket {
                vrid,
                priority,
                interval,
                addresses: addresses.into(),
                sequence,
            };
            let keys = Keys(vec![key]);
            let mut bytes = Vec::new();
            packet.encode(&keys, &mut bytes);
            let decoded = AdvertisementPacket::decode(&bytes, &keys);
            prop_assert_eq!(decoded.as_ref(), Ok(&packet));
            Ok(())
        },
    );
    result.expect("every packet is decoded as it was encoded");
}

#[test]
fn an_interval_of_0_and_unexpected_addresses_are_discarded_after_the_hash_matched() {
    let mut guard = ReplayGuard::default();
    let addresses = [ip(100)];
    let mut out = Vec::new();
    AdvertisementPacket {
        vrid: 7,
        priority: 100,
        interval: 0,
        addresses: (&addresses[..]).into(),
        sequence: 1,
    }
    .encode(&keys(1), &mut out);
    let mut receive_for = |address| receive(&out, ip(5), &[address], &keys(1), &mut guard);
    assert_eq!(receive_for(ip(101)), Err(PacketError::Addresses));
    assert_eq!(receive_for(ip(100)), Err(PacketError::ZeroInterval));
    assert_eq!(receive_for(ip(100)), Err(PacketError::Replayed));
}

#[test_case(PacketError::Truncated, "length: cut short")]
#[test_case(PacketError::Version, "version: not 3")]
#[test_case(PacketError::Type, "type: not an advertisement")]
#[test_case(
    PacketError::AddressCount,
    "count: does not match the number of addresses"
)]
#[test_case(PacketError::Checksum, "checksum: wrong")]
#[test_case(PacketError::HopLimit, "hops: the packet was forwarded")]
#[test_case(PacketError::UnknownKey, "key: unknown")]
#[test_case(PacketError::Hash, "hash: wrong")]
#[test_case(PacketError::Addresses, "addresses: not those of this virtual router")]
#[test_case(PacketError::Replayed, "number: replayed sequence number")]
#[test_case(PacketError::ZeroInterval, "interval: 0")]
#[test_case(PacketError::UnexpectedSender, "from: not the other member")]
fn the_log_names_the_failed_check(error: PacketError, text: &str) {
    assert_eq!(error.to_string(), text);
}
