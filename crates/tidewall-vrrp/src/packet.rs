//! The octets: the RFC's packet (RFC 9568, 5.1), then our own tail: hop limit, a rising number, which key, and a
//! keyed hash (HMAC-SHA-256, RFC 2104 and FIPS 180-4) over all before it.
use crate::Advertisement;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

const VERSION_AND_TYPE: u8 = 0x31;

/// What a packet must arrive with (5.1.1.3): it came over one link only.
pub const HOPS: u8 = 255;

/// Hop limit, number, key and hash.
const TAIL: usize = 1 + 8 + 1 + 32;

/// Keys by their number; the first is signed with, all are taken, so that they can be changed without a pause.
#[derive(Clone, Default)]
pub struct Keys(pub Vec<(u8, Vec<u8>)>);

/// Internet checksum (RFC 1071).
fn checksum(bytes: &[u8]) -> u16 {
    let words = bytes
        .chunks(2)
        .map(|w| u32::from(w[0]) << 8 | u32::from(*w.get(1).unwrap_or(&0)));
    let mut sum: u32 = words.sum();
    while sum >> 16 > 0 {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

fn sign(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    // A key of any length is good for HMAC.
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length is good");
    mac.update(bytes);
    mac
}

/// Writes an advertisement; `number` must rise with each packet, across restarts too (a wall clock's time does).
pub fn write(
    out: &mut Vec<u8>,
    (vrid, priority, interval): (u8, u8, u16),
    addresses: &[Ipv4Addr],
    number: u64,
    keys: &Keys,
) {
    let start = out.len();
    out.extend_from_slice(&[VERSION_AND_TYPE, vrid, priority, addresses.len() as u8]);
    out.extend_from_slice(&(interval & 0x0fff).to_be_bytes());
    out.extend_from_slice(&[0, 0]);
    addresses
        .iter()
        .for_each(|a| out.extend_from_slice(&a.octets()));
    let sum = checksum(&out[start..]);
    out[start + 6..start + 8].copy_from_slice(&sum.to_be_bytes());
    out.push(HOPS);
    out.extend_from_slice(&number.to_be_bytes());
    let (id, key) = keys.0.first().map_or((0, &[][..]), |k| (k.0, &k.1));
    out.push(id);
    let hash = sign(key, &out[start..]).finalize().into_bytes();
    out.extend_from_slice(&hash);
}

/// Remembers the last number of each sender and virtual router: what is not higher was heard before.
#[derive(Default)]
pub struct ReplayGuard(BTreeMap<(Ipv4Addr, u8), u64>);

/// Checks a packet (7.1) and tells its virtual router and what it says. The error names the check.
pub fn read(
    bytes: &[u8],
    from: Ipv4Addr,
    addresses: &[Ipv4Addr],
    keys: &Keys,
    guard: &mut ReplayGuard,
) -> Result<(u8, Advertisement), &'static str> {
    if bytes.len() < 8 + TAIL {
        return Err("length: cut short");
    }
    let (body, tail) = bytes.split_at(bytes.len() - TAIL);
    if body[0] >> 4 != 3 {
        return Err("version: not 3");
    }
    if body[0] & 0x0f != 1 {
        return Err("type: no advertisement");
    }
    if body.len() != 8 + 4 * usize::from(body[3]) || body[3] == 0 {
        return Err("count: not as many addresses as told");
    }
    if checksum(body) != 0 {
        return Err("checksum: wrong");
    }
    if tail[0] != HOPS {
        return Err("hops: it came over more than one link");
    }
    let signed = &bytes[..bytes.len() - 32];
    let key = keys
        .0
        .iter()
        .find(|k| k.0 == tail[9])
        .ok_or("key: unknown")?;
    // Compared in constant time.
    sign(&key.1, signed)
        .verify_slice(&tail[10..])
        .map_err(|_| "hash: wrong")?;
    let told: Vec<Ipv4Addr> = body[8..]
        .chunks(4)
        .map(|a| Ipv4Addr::new(a[0], a[1], a[2], a[3]))
        .collect();
    if told != addresses {
        return Err("addresses: not those of this virtual router");
    }
    let number = tail[1..9].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
    let last = guard.0.entry((from, body[1])).or_insert(0);
    if number <= *last {
        return Err("number: heard before");
    }
    *last = number;
    let interval = u16::from_be_bytes([body[4], body[5]]) & 0x0fff;
    if interval == 0 {
        return Err("interval: 0");
    }
    Ok((
        body[1],
        Advertisement {
            priority: body[2],
            interval,
            from,
        },
    ))
}
