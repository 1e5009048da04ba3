//! Datagrams between members, as specified in `docs/wire.md`: a header, items (sequences of unsigned integers
//! in CBOR, RFC 8949), a key id, and an HMAC-SHA-256 over everything before it, truncated to 16 bytes. A
//! datagram has at most 256 bytes. Each item is a [`DatagramItem`], which only this module encodes and
//! decodes. A datagram with a malformed item has no effect at all. All functions are pure and work on buffers
//! of the caller; the only allocation is the growth of a body.
mod error;
mod item;
pub mod kind;
mod lease_message;

pub use error::DatagramError;
pub use item::{decode_items, encode_item, DatagramItem, DecodedItems};
pub use lease_message::{LeaseReply, LeaseRequest};

use hmac::{Hmac, Mac};
use minicbor::{Decoder, Encoder};
use sha2::Sha256;
use tidewall_membership::{MemberState, MemberUpdate};
use tidewall_vrrp::packet::Keys;

/// The maximum size of a datagram in bytes. A datagram of this size passes any link unfragmented, and a flood
/// of them is cheap to handle.
pub const MAX_DATAGRAM: usize = 256;
/// The protocol version, which is the first number of a header.
const VERSION: u64 = 1;
/// The size of the truncated HMAC in bytes: 128 bits cannot be guessed.
const MAC_LENGTH: usize = 16;
/// The size of what `seal` appends: the key id and the truncated HMAC.
const SEAL_LENGTH: usize = 1 + MAC_LENGTH;
const HEADER_FIELDS: usize = 8;

/// Selects the low bits of the receiver's incarnation that a datagram carries, so that a datagram for a
/// previous incarnation is rejected. Incarnations are times in milliseconds: those of one member within three
/// days (2^28 milliseconds) differ in these bits.
pub const INCARNATION_MASK: u64 = (1 << 28) - 1;

/// The header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramHeader {
    /// The sending member.
    pub from: usize,
    /// The receiving member.
    pub to: usize,
    /// The receiver's incarnation as known to the sender, masked by [`INCARNATION_MASK`]; 0 if unknown.
    pub to_incarnation: u64,
    /// The sender's own state: its incarnation, and whether it is alive or has left.
    pub sender: MemberUpdate,
    /// Increases with each datagram of one incarnation of the sender.
    pub sequence: u64,
}

fn append_numbers(body: &mut Vec<u8>, numbers: &[u64]) {
    let mut encoder = Encoder::new(body);
    for number in numbers {
        // Writing to a Vec cannot fail.
        let _ = encoder.u64(*number);
    }
}

/// Starts a datagram. Any previous contents of `body` are discarded.
pub fn encode_header(body: &mut Vec<u8>, header: &DatagramHeader) {
    body.clear();
    let numbers: [u64; HEADER_FIELDS] = [
        VERSION,
        header.from as u64,
        header.to as u64,
        header.to_incarnation,
        header.sender.incarnation,
        u64::from(header.sender.refutation),
        u64::from(header.sender.state == MemberState::Left),
        header.sequence,
    ];
    append_numbers(body, &numbers);
}

fn mac(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(bytes);
    mac
}

/// Appends the id of the first key and the HMAC under that key.
pub fn seal(body: &mut Vec<u8>, keys: &Keys) {
    let (id, key) = keys.0.first().map_or((0, &[][..]), |k| (k.0, &k.1));
    body.push(id);
    let hash = mac(key, body).finalize().into_bytes();
    body.extend_from_slice(&hash[..MAC_LENGTH]);
}

/// Authenticates a datagram by any of the keys and returns its body.
///
/// # Errors
/// [`DatagramError::TooLong`], [`DatagramError::TooShort`], [`DatagramError::UnknownKey`],
/// [`DatagramError::WrongMac`].
pub fn open<'a>(bytes: &'a [u8], keys: &Keys) -> Result<&'a [u8], DatagramError> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(DatagramError::TooLong);
    }
    if bytes.len() < SEAL_LENGTH {
        return Err(DatagramError::TooShort);
    }
    let (signed, hash) = bytes.split_at(bytes.len() - MAC_LENGTH);
    let (body, id) = signed.split_at(signed.len() - 1);
    let key = keys
        .0
        .iter()
        .find(|k| k.0 == id[0])
        .ok_or(DatagramError::UnknownKey)?;
    // Compares in constant time.
    mac(&key.1, signed)
        .verify_truncated_left(hash)
        .map_err(|_| DatagramError::WrongMac)?;
    Ok(body)
}

/// Decodes the header of an opened body. The second value is the offset of its items.
///
/// # Errors
/// [`DatagramError::MalformedHeader`], [`DatagramError::UnknownVersion`],
/// [`DatagramError::HeaderOutOfRange`].
pub fn decode_header(body: &[u8]) -> Result<(DatagramHeader, usize), DatagramError> {
    let mut decoder = Decoder::new(body);
    let mut numbers = [0; HEADER_FIELDS];
    for (i, number) in numbers.iter_mut().enumerate() {
        *number = decoder.u64().map_err(|_| DatagramError::MalformedHeader)?;
        if i == 0 && *number != VERSION {
            return Err(DatagramError::UnknownVersion);
        }
    }
    let [_, from, to, to_incarnation, incarnation, refutation, left, sequence] = numbers;
    let to_u32 = |n: u64| u32::try_from(n).map_err(|_| DatagramError::HeaderOutOfRange);
    let state = match left {
        0 => MemberState::Alive,
        1 => MemberState::Left,
        _ => return Err(DatagramError::HeaderOutOfRange),
    };
    let header = DatagramHeader {
        from: to_u32(from)? as usize,
        to: to_u32(to)? as usize,
        to_incarnation,
        sender: MemberUpdate {
            incarnation,
            refutation: to_u32(refutation)?,
            state,
        },
        sequence,
    };
    Ok((header, decoder.position()))
}
