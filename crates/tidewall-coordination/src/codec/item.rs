//! The items of a datagram: their type, encoding and decoding. Items about leases are in `lease_message`.
use super::lease_message::{LeaseReply, LeaseRequest};
use super::{append_numbers, kind, DatagramError, MAX_DATAGRAM, SEAL_LENGTH};
use minicbor::Decoder;
use tidewall_membership::{MemberState, MemberUpdate};

/// The number of fields of the longest item.
const MAX_FIELDS: usize = 8;

/// A message to a member. A datagram carries one or more of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramItem {
    /// Checks whether the receiver is alive.
    Ping {
        /// Returned in the ack; 0 if no ack is needed.
        sequence: u32,
    },
    /// Asks the receiver to ping another member on the sender's behalf.
    IndirectPing {
        /// The member to ping.
        target: usize,
        /// Returned in the ack.
        sequence: u32,
    },
    /// Reports that a member is alive.
    Ack {
        /// The member that is alive.
        subject: usize,
        /// The sequence number of the ping.
        sequence: u32,
    },
    /// A membership update that is passed on.
    Gossip {
        /// The member that the update is about.
        member: usize,
        /// The member's state.
        update: MemberUpdate,
    },
    /// A request of a lease holder to a grantor.
    Request(LeaseRequest),
    /// A reply of a grantor to a lease holder.
    Reply(LeaseReply),
    /// The sender has released a lease that the receiver should hold from now on.
    HandedOver {
        /// The task whose lease it is.
        task: usize,
    },
}

/// Appends an item if it fits beside the seal. Otherwise leaves the body unchanged and returns false.
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
        DatagramItem::Ping { sequence } => append_numbers(body, &[kind::PING, sequence.into()]),
        DatagramItem::IndirectPing { target, sequence } => {
            let numbers = [kind::INDIRECT_PING, target as u64, sequence.into()];
            append_numbers(body, &numbers);
        }
        DatagramItem::Ack { subject, sequence } => {
            append_numbers(body, &[kind::ACK, subject as u64, sequence.into()]);
        }
        DatagramItem::Gossip { member, update } => {
            append_numbers(body, &[kind::GOSSIP, member as u64, update.incarnation]);
            append_numbers(body, &[update.refutation.into(), update.state as u64]);
        }
        DatagramItem::Request(request) => request.append_to(body),
        DatagramItem::Reply(reply) => reply.append_to(body),
        DatagramItem::HandedOver { task } => {
            append_numbers(body, &[kind::HANDED_OVER, task as u64])
        }
    }
}

/// Iterates over the items of a body, all of which were checked before.
pub struct DecodedItems<'a>(Decoder<'a>);

impl Iterator for DecodedItems<'_> {
    type Item = DatagramItem;

    fn next(&mut self) -> Option<DatagramItem> {
        decode_item(&mut self.0).and_then(Result::ok)
    }
}

/// Decodes the items after a header. All items are checked before the first is returned, so that a malformed
/// datagram has no effect.
///
/// # Errors
/// The error of the first malformed item.
pub fn decode_items(items: &[u8]) -> Result<DecodedItems<'_>, DatagramError> {
    let mut decoder = Decoder::new(items);
    while let Some(item) = decode_item(&mut decoder) {
        item?;
    }
    Ok(DecodedItems(Decoder::new(items)))
}

/// Decodes the next item; `None` at the end of the input.
fn decode_item(decoder: &mut Decoder) -> Option<Result<DatagramItem, DatagramError>> {
    if decoder.position() >= decoder.input().len() {
        return None;
    }
    Some(RawItem::read(decoder).and_then(|raw| raw.item()))
}

/// An item as it is on the wire.
pub(super) struct RawItem {
    pub kind: u64,
    /// The item's numbers; those that its kind does not have are 0.
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

    /// Converts the raw item. Numbers that become indices or 32-bit numbers have to fit.
    fn item(&self) -> Result<DatagramItem, DatagramError> {
        let n = &self.numbers;
        Ok(match self.kind {
            kind::PING => DatagramItem::Ping {
                sequence: to_u32(n[0])?,
            },
            kind::INDIRECT_PING => DatagramItem::IndirectPing {
                target: to_index(n[0])?,
                sequence: to_u32(n[1])?,
            },
            kind::ACK => DatagramItem::Ack {
                subject: to_index(n[0])?,
                sequence: to_u32(n[1])?,
            },
            kind::GOSSIP => DatagramItem::Gossip {
                member: to_index(n[0])?,
                update: MemberUpdate {
                    incarnation: n[1],
                    refutation: to_u32(n[2])?,
                    state: member_state(n[3])?,
                },
            },
            kind::PREPARE | kind::ACCEPT | kind::RELEASE => {
                DatagramItem::Request(LeaseRequest::from_raw(self)?)
            }
            kind::HANDED_OVER => DatagramItem::HandedOver {
                task: to_index(n[0])?,
            },
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

pub(super) fn to_u32(number: u64) -> Result<u32, DatagramError> {
    u32::try_from(number).map_err(|_| DatagramError::ItemOutOfRange)
}

pub(super) fn to_index(number: u64) -> Result<usize, DatagramError> {
    to_u32(number).map(|n| n as usize)
}
