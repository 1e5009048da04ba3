//! The wire format of an advertisement, and the checks of a receiver.
//!
//! The RFC's packet (RFC 9568, 5.1) comes first, in network byte order: version and type, virtual router
//! identifier, priority, number of addresses, interval, checksum, addresses. A trailer that is not part of
//! the RFC follows:
//!
//! | octets | field |
//! | --- | --- |
//! | 1 | hop limit, 255 |
//! | 8 | sequence number |
//! | 1 | identifier of the key |
//! | 32 | HMAC-SHA-256 (RFC 2104, FIPS 180-4) of all preceding octets |

use crate::{Advertisement, MAX_INTERVAL};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use thiserror::Error;

const VERSION: u8 = 3;

/// The packet type of an advertisement, the only type that VRRP defines.
const ADVERTISEMENT: u8 = 1;

/// The required hop limit of a received packet: a lower one shows that the packet was forwarded (RFC 9568,
/// 5.1.1.3).
pub const HOP_LIMIT: u8 = 255;

/// The length of the header before the addresses, the offset of the checksum in it, and the length of an
/// address, in octets.
const HEADER_LENGTH: usize = 8;
const CHECKSUM_OFFSET: usize = 6;
const ADDRESS_LENGTH: usize = 4;

/// The lengths of the hash and of the trailer in octets. The trailer consists of hop limit, sequence number,
/// key identifier and hash.
const HASH_LENGTH: usize = 32;
const TRAILER_LENGTH: usize = 1 + 8 + 1 + HASH_LENGTH;

/// Shared secrets with their identifiers. The first one signs sent packets, and all are accepted in received
/// ones, so that secrets can be rotated without an interruption.
#[derive(Clone, Default)]
pub struct Keys(
    /// Identifier and secret. A secret may have any length.
    pub Vec<(u8, Vec<u8>)>,
);

impl Keys {
    /// The key that signs sent packets. If there is no key, identifier 0 and an empty secret, which no
    /// receiver has.
    fn signing(&self) -> (u8, &[u8]) {
        let first = self.0.first();
        first.map_or((0, &[][..]), |(id, secret)| (*id, secret))
    }

    fn secret(&self, id: u8) -> Option<&[u8]> {
        let key = self.0.iter().find(|key| key.0 == id)?;
        Some(&key.1)
    }
}

/// The check that a discarded packet failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PacketError {
    /// The packet is too short for a header and a trailer.
    #[error("length: cut short")]
    Truncated,
    /// The VRRP version is not 3.
    #[error("version: not 3")]
    Version,
    /// The packet is not an advertisement.
    #[error("type: not an advertisement")]
    Type,
    /// The number of addresses does not match the length of the packet, or is 0.
    #[error("count: does not match the number of addresses")]
    AddressCount,
    /// The checksum does not match.
    #[error("checksum: wrong")]
    Checksum,
    /// The hop limit is not 255: the packet was forwarded.
    #[error("hops: the packet was forwarded")]
    HopLimit,
    /// No key has the packet's key identifier.
    #[error("key: unknown")]
    UnknownKey,
    /// The keyed hash does not match.
    #[error("hash: wrong")]
    Hash,
    /// The addresses are not those of the virtual router.
    #[error("addresses: not those of this virtual router")]
    Addresses,
    /// The sequence number is not above the sender's last one.
    #[error("number: replayed sequence number")]
    Replayed,
    /// The advertisement interval is 0.
    #[error("interval: 0")]
    ZeroInterval,
    /// The sender is not the configured other router. The hash does not cover the sender's address, so the
    /// owner of the socket checks it.
    #[error("from: not the other member")]
    UnexpectedSender,
}

/// Internet checksum (RFC 1071).
fn checksum(bytes: &[u8]) -> u16 {
    let words = bytes.chunks(2).map(|word| {
        let low = word.get(1).copied().unwrap_or(0);
        u32::from(u16::from_be_bytes([word[0], low]))
    });
    let mut sum: u32 = words.sum();
    while sum >> 16 > 0 {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

fn keyed_hash(secret: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
    mac.update(bytes);
    mac
}

/// The contents of an advertisement on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdvertisementPacket<'a> {
    /// The virtual router's identifier.
    pub vrid: u8,
    /// The sender's priority; 0 if it shuts down.
    pub priority: u8,
    /// Max Advertise Interval in centiseconds; only the lower twelve bits are sent.
    pub interval: u16,
    /// The virtual addresses, 1 to 255.
    pub addresses: Cow<'a, [Ipv4Addr]>,
    /// Rises with each packet of a sender, also across its restarts. A number derived from the wall clock
    /// does.
    pub sequence: u64,
}

impl AdvertisementPacket<'_> {
    /// Appends the packet to `out`, signed with the first key.
    pub fn encode(&self, keys: &Keys, out: &mut Vec<u8>) {
        let start = out.len();
        let version_and_type = VERSION << 4 | ADVERTISEMENT;
        let count = self.addresses.len() as u8;
        out.extend_from_slice(&[version_and_type, self.vrid, self.priority, count]);
        out.extend_from_slice(&(self.interval & MAX_INTERVAL).to_be_bytes());
        out.extend_from_slice(&[0, 0]);
        for address in self.addresses.iter() {
            out.extend_from_slice(&address.octets());
        }
        let sum = checksum(&out[start..]).to_be_bytes();
        out[start + CHECKSUM_OFFSET..start + HEADER_LENGTH].copy_from_slice(&sum);
        let (key, secret) = keys.signing();
        out.push(HOP_LIMIT);
        out.extend_from_slice(&self.sequence.to_be_bytes());
        out.push(key);
        let hash = keyed_hash(secret, &out[start..]).finalize().into_bytes();
        out.extend_from_slice(&hash);
    }

    /// Decodes a packet and checks what needs no context: format, checksum, hop limit and keyed hash.
    pub fn decode(bytes: &[u8], keys: &Keys) -> Result<AdvertisementPacket<'static>, PacketError> {
        if bytes.len() < HEADER_LENGTH + TRAILER_LENGTH {
            return Err(PacketError::Truncated);
        }
        let (signed, hash) = bytes.split_at(bytes.len() - HASH_LENGTH);
        let (body, trailer) = signed.split_at(bytes.len() - TRAILER_LENGTH);
        if body[0] >> 4 != VERSION {
            return Err(PacketError::Version);
        }
        if body[0] & 0x0f != ADVERTISEMENT {
            return Err(PacketError::Type);
        }
        let count = usize::from(body[3]);
        if count == 0 || body.len() != HEADER_LENGTH + ADDRESS_LENGTH * count {
            return Err(PacketError::AddressCount);
        }
        if checksum(body) != 0 {
            return Err(PacketError::Checksum);
        }
        let [hop_limit, sequence @ .., key] = trailer else {
            return Err(PacketError::Truncated);
        };
        if *hop_limit != HOP_LIMIT {
            return Err(PacketError::HopLimit);
        }
        let secret = keys.secret(*key).ok_or(PacketError::UnknownKey)?;
        // `verify_slice` compares in constant time.
        keyed_hash(secret, signed)
            .verify_slice(hash)
            .map_err(|_| PacketError::Hash)?;
        let addresses = body[HEADER_LENGTH..]
            .chunks(ADDRESS_LENGTH)
            .map(|octets| Ipv4Addr::new(octets[0], octets[1], octets[2], octets[3]));
        Ok(AdvertisementPacket {
            vrid: body[1],
            priority: body[2],
            interval: u16::from_be_bytes([body[4], body[5]]) & MAX_INTERVAL,
            addresses: addresses.collect(),
            sequence: sequence
                .iter()
                .fold(0, |sequence, octet| sequence << 8 | u64::from(*octet)),
        })
    }
}

/// Stores the last sequence number of each sender and virtual router. A packet whose number is not higher is
/// a replay.
#[derive(Default)]
pub struct ReplayGuard(BTreeMap<(Ipv4Addr, u8), u64>);

impl ReplayGuard {
    fn check(&mut self, from: Ipv4Addr, vrid: u8, sequence: u64) -> Result<(), PacketError> {
        let last = self.0.entry((from, vrid)).or_insert(0);
        if sequence <= *last {
            return Err(PacketError::Replayed);
        }
        *last = sequence;
        Ok(())
    }
}

/// Decodes a packet `from` a router and checks it (RFC 9568, 7.1) against the virtual router's `addresses`
/// and the sender's earlier packets. The error names the first check that failed.
pub fn receive(
    bytes: &[u8],
    from: Ipv4Addr,
    addresses: &[Ipv4Addr],
    keys: &Keys,
    guard: &mut ReplayGuard,
) -> Result<Advertisement, PacketError> {
    let packet = AdvertisementPacket::decode(bytes, keys)?;
    if *packet.addresses != *addresses {
        return Err(PacketError::Addresses);
    }
    guard.check(from, packet.vrid, packet.sequence)?;
    if packet.interval == 0 {
        return Err(PacketError::ZeroInterval);
    }
    Ok(Advertisement {
        vrid: packet.vrid,
        priority: packet.priority,
        interval: packet.interval,
        from,
    })
}
