//! The items of a datagram: their type, their encoding and their decoding. Those about leases are in `lease_message`.
use super::lease_message::{LeaseReply, LeaseRequest};
use super::{append, kind, DatagramError, MAX_DATAGRAM, SEAL_LENGTH};
use minicbor::Decoder;
use tidewall_membership::{MemberState, MemberUpdate};

/// Numbers of the longest item.
const MAX_FIELDS: usize = 8;

/// A message to a member; a datagram carries one or more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramItem {
    /// Are you alive?
    Ping {
        /// Comes back with the ack; 0 asks for none.
        sequence: u32,
    },
    /// Ping another member on the sender's behalf.
    IndirectPing {
        /// The member to be pinged.
        target: usize,
        /// Comes back with the ack.
        sequence: u32,
    },
    /// A member is alive.
    Ack {
        /// The member that is alive.
        subject: usize,
        /// Of the ping.
        sequence: u32,
    },
    /// A membership update, passed on.
    Gossip {
        /// The member that it is about.
        member: usize,
        /// Its state.
        update: MemberUpdate,
    },
    /// From a lease holder to a grantor.
    Request(LeaseRequest),
    /// From a grantor to a lease holder.
    Reply(LeaseReply),
    /// The sender has given a lease back that the receiver should hold from now on.
    HandedOver {
        /// The task whose lease it is.
        task: usize,
    },
}

/// Appends an item where it fits beside the seal. Otherwise the body stays as it was, and the result is false.
pub fn encode_item(body: &mut Vec<u8>, item: &DatagramItem) -> bool {
    let start = body.len();
    append_item(body, item);
    let fits = body.len() + SEAL_LENGTH <= MAX_DATAGRAM;
    if !fits {
        body.truncate(start);
    }
    fits
}

fn append_item(body: &mut Vec<u8>, item: &DatagramItem) {
    match *item {
        DatagramItem::Ping { sequence } => append(body, &[kind::PING, sequence.into()]),
        DatagramItem::IndirectPing { target, sequence } => {
            let numbers = [kind::INDIRECT_PING, target as u64, sequence.into()];
            append(body, &numbers);
        }
        DatagramItem::Ack { subject, sequence } => {
            append(body, &[kind::ACK, subject as u64, sequence.into()]);
        }
        DatagramItem::Gossip { member, update } => {
            append(body, &[kind::GOSSIP, member as u64, update.incarnation]);
            append(body, &[update.refutation.into(), update.state as u64]);
        }
        DatagramItem::Request(request) => request.append_to(body),
        DatagramItem::Reply(reply) => reply.append_to(body),
        DatagramItem::HandedOver { task } => append(body, &[kind::HANDED_OVER, task as u64]),
    }
}

/// The items of a body, all of which were found good.
pub struct DecodedItems<'a>(Decoder<'a>);

impl Iterator for DecodedItems<'_> {
    type Item = DatagramItem;

    fn next(&mut self) -> Option<DatagramItem> {
        decode_item(&mut self.0).and_then(Result::ok)
    }
}

/// Reads the items after a header. All are checked before the first is returned, so that a malformed datagram has no effect.
///
/// # Errors
/// That of the first malformed item.
pub fn decode_items(items: &[u8]) -> Result<DecodedItems<'_>, DatagramError> {
    let mut decoder = Decoder::new(items);
    while let Some(item) = decode_item(&mut decoder) {
        item?;
    }
    Ok(DecodedItems(Decoder::new(items)))
}

/// None at the end.
fn decode_item(decoder: &mut Decoder) -> Option<Result<DatagramItem, DatagramError>> {
    if decoder.position() >= decoder.input().len() {
        return None;
    }
    Some(RawItem::read(decoder).and_then(|raw| raw.item()))
}

/// An item as it is on the wire.
pub(super) struct RawItem {
    pub kind: u64,
    /// Those that the kind does not have are 0.
    pub numbers: [u64; MAX_FIELDS],
}

impl RawItem {
    fn read(decoder: &mut Decoder) -> Result<RawItem, DatagramError> {
        let kind = decoder.u64().map_err(|_| DatagramError::MissingKind)?;
        let count = *kind::FIELD_COUNTS
            .get(kind as usize)
            .filter(|count| **count > 0)
            .ok_or(DatagramError::UnknownKind)?;
        let mut numbers = [0; MAX_FIELDS];
        for number in &mut numbers[..count] {
            *number = decoder.u64().map_err(|_| DatagramError::MalformedItem)?;
        }
        Ok(RawItem { kind, numbers })
    }

    /// Numbers that become indices or 32-bit numbers have to fit.
    fn item(&self) -> Result<DatagramItem, DatagramError> {
        let n = &self.numbers;
        Ok(match self.kind {
            kind::PING => DatagramItem::Ping {
                sequence: small(n[0])?,
            },
            kind::INDIRECT_PING => DatagramItem::IndirectPing {
                target: index(n[0])?,
                sequence: small(n[1])?,
            },
            kind::ACK => DatagramItem::Ack {
                subject: index(n[0])?,
                sequence: small(n[1])?,
            },
            kind::GOSSIP => DatagramItem::Gossip {
                member: index(n[0])?,
                update: MemberUpdate {
                    incarnation: n[1],
                    refutation: small(n[2])?,
                    state: member_state(n[3])?,
                },
            },
            kind::PREPARE | kind::ACCEPT | kind::RELEASE => {
                DatagramItem::Request(LeaseRequest::from_raw(self)?)
            }
            kind::HANDED_OVER => DatagramItem::HandedOver { task: index(n[0])? },
            _ => DatagramItem::Reply(LeaseReply::from_raw(self)?),
        })
    }
}

fn member_state(number: u64) -> Result<MemberState, DatagramError> {
    usize::try_from(number)
        .ok()
        .and_then(|state| MemberState::ALL.get(state).copied())
        .ok_or(DatagramError::ItemOutOfRange)
}

pub(super) fn small(number: u64) -> Result<u32, DatagramError> {
    u32::try_from(number).map_err(|_| DatagramError::ItemOutOfRange)
}

pub(super) fn index(number: u64) -> Result<usize, DatagramError> {
    small(number).map(|n| n as usize)
}
