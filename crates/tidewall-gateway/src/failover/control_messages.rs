//! Failover messages other than replication records: the greeting between the two gateways, control messages
//! on their connection, the status that `tidewall status` requests, and votes of workers. `docs/wire.md`
//! specifies the frames (kinds 1, 60, 69 to 72 and 80 to 82).
//!
//! Encoding appends to a buffer and does not allocate while the buffer has capacity. The order of fields and
//! the omission of default values are part of the format.
use tidewall_failover::leadership::{Leadership, LeadershipAcceptor};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame, WireError};

/// The role in the greeting of a gateway to its peer.
pub const PEER_ROLE: &str = "pair";

/// The role in the greeting of `tidewall status`.
pub const STATUS_ROLE: &str = "status";

/// The first message of each side of the connection between the two gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerGreeting<'a> {
    /// The sender's name.
    pub name: &'a str,
    /// The sender's incarnation, which rises with each of its starts.
    pub incarnation: u64,
    /// Whether the sender serves.
    pub serves: bool,
    /// The epoch under which the sender serves or served last; 0 for none.
    pub epoch: u64,
    /// The settings that must be equal on both gateways, one per line.
    pub shared_settings: &'a [u8],
}

impl<'a> PeerGreeting<'a> {
    /// Appends the greeting's frame to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        Frame::new(out, kind::HELLO)
            .whole(Field::Version, wire::VERSION)
            .text(Field::Role, PEER_ROLE)
            .text(Field::Name, self.name)
            .whole(Field::Life, self.incarnation)
            .flag(Field::On, self.serves)
            .whole(Field::Epoch, self.epoch)
            .bytes(Field::Payload, self.shared_settings)
            .end();
    }

    /// Decodes the rest of a greeting whose role is [`PEER_ROLE`]. `expected_name` is the name of the
    /// configured peer; `None` if failover is not configured.
    ///
    /// # Errors
    /// A field is missing or malformed, or the sender is not the expected peer.
    pub fn decode(
        fields: &Fields<'a>,
        expected_name: Option<&str>,
    ) -> Result<PeerGreeting<'a>, WireError> {
        let name = fields.text(Field::Name)?;
        let incarnation = fields.whole(Field::Life)?;
        let serves = fields.flag(Field::On)?;
        let epoch = fields.upto(Field::Epoch, u64::MAX, 0)?;
        // Checked before the settings are decoded, so that an unexpected sender gets this error and not one
        // about them.
        match expected_name {
            None => return Err(WireError::invalid(Field::Role, "no pair here")),
            Some(expected) if name != expected => {
                let problem = format!("{name} is not the other member");
                return Err(WireError::invalid(Field::Name, problem));
            }
            Some(_) => {}
        }
        Ok(PeerGreeting {
            name,
            incarnation,
            serves,
            epoch,
            shared_settings: fields.bytes(Field::Payload)?,
        })
    }
}

/// A message between the two gateways that changes no replicated state. It has no record number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerControl {
    /// Sent four times in an advertisement interval.
    Heartbeat {
        /// Whether the sender serves.
        serves: bool,
        /// The receiver's incarnation that the voters count as synchronised; 0 for none.
        synced_incarnation: u64,
        /// The sender's epoch; 0 for none.
        epoch: u64,
    },
    /// All records up to this one were applied.
    Acknowledged {
        /// The record's number on this connection, from 1.
        sequence: u64,
    },
    /// Requests the receiver to stop serving in favour of the sender.
    StepDownRequested,
    /// The sender has stopped serving.
    SteppedDown,
}

impl PeerControl {
    /// Appends the message's frame to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        match *self {
            PeerControl::Heartbeat {
                serves,
                synced_incarnation,
                epoch,
            } => Frame::new(out, kind::PING)
                .flag(Field::On, serves)
                .whole(Field::SyncA, synced_incarnation)
                .whole(Field::Epoch, epoch),
            PeerControl::Acknowledged { sequence } => {
                Frame::new(out, kind::RECORDED).whole(Field::Seq, sequence)
            }
            PeerControl::StepDownRequested => Frame::new(out, kind::YIELD),
            PeerControl::SteppedDown => Frame::new(out, kind::YIELDED),
        }
        .end();
    }

    /// Decodes a control message; `None` if the frame is of another kind, such as a replication record.
    ///
    /// # Errors
    /// A field is missing or malformed.
    pub fn decode(fields: &Fields) -> Result<Option<PeerControl>, WireError> {
        Ok(Some(match fields.kind()? {
            kind::PING => {
                let synced_incarnation = fields.upto(Field::SyncA, u64::MAX, 0)?;
                PeerControl::Heartbeat {
                    serves: fields.flag(Field::On)?,
                    synced_incarnation,
                    epoch: fields.upto(Field::Epoch, u64::MAX, 0)?,
                }
            }
            kind::RECORDED => PeerControl::Acknowledged {
                sequence: fields.whole(Field::Seq)?,
            },
            kind::YIELD => PeerControl::StepDownRequested,
            kind::YIELDED => PeerControl::SteppedDown,
            _ => return Ok(None),
        }))
    }
}

/// What `tidewall status` shows of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayStatus<'a> {
    /// The gateway's name.
    pub name: &'a str,
    /// Its role as returned by [`Role::text`](tidewall_failover::role::Role::text).
    pub role: &'a str,
    /// The epoch under which it serves or served last; 0 for none.
    pub epoch: u64,
    /// Whether it is connected to its peer.
    pub connected: bool,
    /// Its incarnation.
    pub incarnation: u64,
    /// The number of requests in flight at this gateway.
    pub in_flight: u64,
    /// The number of attempts, load requests and responses that wait for the peer's acknowledgement.
    pub waiting: u64,
    /// The number of requests in flight at the peer that were replicated to this gateway.
    pub replicated_requests: u64,
    /// The number of records that the peer has not acknowledged.
    pub unacknowledged: u64,
    /// The number of rejected VRRP advertisements.
    pub rejected_advertisements: u64,
    /// The first setting that differs from the peer's; empty if all agree.
    pub settings_mismatch: &'a str,
}

impl<'a> GatewayStatus<'a> {
    /// Appends the status's frame to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        Frame::new(out, kind::STATUS)
            .text(Field::Name, self.name)
            .text(Field::Word, self.role)
            .whole(Field::Epoch, self.epoch)
            .flag(Field::On, self.connected)
            .whole(Field::Life, self.incarnation)
            .whole(Field::InFlight, self.in_flight)
            .whole(Field::Waiting, self.waiting)
            .whole(Field::Copies, self.replicated_requests)
            .whole(Field::Seq, self.unacknowledged)
            .whole(Field::Ballot, self.rejected_advertisements)
            .text(Field::Reason, self.settings_mismatch)
            .end();
    }

    /// Decodes the fields of a status frame; absent numbers are 0.
    ///
    /// # Errors
    /// A field is missing or malformed.
    pub fn decode(fields: &Fields<'a>) -> Result<GatewayStatus<'a>, WireError> {
        let number = |field| fields.upto(field, u64::MAX, 0);
        Ok(GatewayStatus {
            name: fields.text(Field::Name)?,
            role: fields.text(Field::Word)?,
            epoch: number(Field::Epoch)?,
            connected: fields.flag(Field::On)?,
            incarnation: number(Field::Life)?,
            in_flight: number(Field::InFlight)?,
            waiting: number(Field::Waiting)?,
            replicated_requests: number(Field::Copies)?,
            unacknowledged: number(Field::Seq)?,
            rejected_advertisements: number(Field::Ballot)?,
            settings_mismatch: fields.word(Field::Reason)?,
        })
    }
}

/// A gateway's request to a worker in its role as an acceptor of leadership proposals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteRequest {
    /// Phase 1: requests the promise to accept no lower ballot.
    Prepare {
        /// Identifies the call; repeated in the reply.
        call_id: u64,
        /// The proposal's ballot.
        ballot: u64,
    },
    /// Phase 2: requests the acceptance of a leadership.
    Accept {
        /// Identifies the call; repeated in the reply.
        call_id: u64,
        /// The proposal's ballot.
        ballot: u64,
        /// The leadership to accept.
        leadership: Leadership,
    },
}

impl VoteRequest {
    /// Appends the request's frame to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        match *self {
            VoteRequest::Prepare { call_id, ballot } => Frame::new(out, kind::PREPARE)
                .whole(Field::Id, call_id)
                .whole(Field::Ballot, ballot),
            VoteRequest::Accept {
                call_id,
                ballot,
                leadership,
            } => {
                let frame = Frame::new(out, kind::ACCEPT)
                    .whole(Field::Id, call_id)
                    .whole(Field::Ballot, ballot);
                encode_leadership(frame, leadership)
            }
        }
        .end();
    }

    /// Decodes a request, on the worker's side; `None` if the frame is of another kind.
    ///
    /// # Errors
    /// A field is missing, malformed or out of range.
    pub fn decode(fields: &Fields) -> Result<Option<VoteRequest>, WireError> {
        let kind = fields.kind()?;
        if kind != kind::PREPARE && kind != kind::ACCEPT {
            return Ok(None);
        }
        let call_id = fields.whole(Field::Id)?;
        let ballot = fields.whole(Field::Ballot)?;
        Ok(Some(match kind {
            kind::PREPARE => VoteRequest::Prepare { call_id, ballot },
            _ => VoteRequest::Accept {
                call_id,
                ballot,
                leadership: decode_leadership(fields)?,
            },
        }))
    }
}

/// A worker's reply to a [`VoteRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteReply {
    /// Identifies the call that it replies to.
    pub call_id: u64,
    /// Whether the worker gave the requested promise or acceptance.
    pub granted: bool,
    /// The worker's acceptor state after handling the request.
    pub acceptor: LeadershipAcceptor,
}

impl VoteReply {
    /// Appends the reply's frame to `out`, on the worker's side.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let frame = Frame::new(out, kind::PROMISED)
            .whole(Field::Id, self.call_id)
            .flag(Field::On, self.granted)
            .whole(Field::Ballot, self.acceptor.promised);
        encode_leadership(frame, self.acceptor.accepted).end();
    }

    /// Decodes only the call's identifier. The call is looked up before the rest is decoded, so that the
    /// contents of a reply to a call that no longer exists are ignored.
    ///
    /// # Errors
    /// The field is missing or malformed.
    pub fn decode_call_id(fields: &Fields) -> Result<u64, WireError> {
        fields.whole(Field::Id)
    }

    /// Decodes the fields of a reply; absent numbers are 0, and an absent member is the first one.
    ///
    /// # Errors
    /// A field is missing, malformed or out of range.
    pub fn decode(fields: &Fields) -> Result<VoteReply, WireError> {
        let call_id = VoteReply::decode_call_id(fields)?;
        let granted = fields.flag(Field::On)?;
        // The accepted leadership is decoded before the promise: the order determines which of several errors
        // is reported.
        let accepted = decode_leadership(fields)?;
        Ok(VoteReply {
            call_id,
            granted,
            acceptor: LeadershipAcceptor {
                promised: fields.upto(Field::Ballot, u64::MAX, 0)?,
                accepted,
            },
        })
    }
}

/// Adds the leadership's fields to the frame. On the wire members are numbered from 1; 0 is a gateway without
/// failover.
fn encode_leadership(frame: Frame, leadership: Leadership) -> Frame {
    frame
        .whole(Field::Epoch, leadership.epoch)
        .whole(Field::Member, leadership.member as u64 + 1)
        .whole(Field::Floor, leadership.fencing_floor)
        .whole(Field::SyncA, leadership.synced_incarnations[0])
        .whole(Field::SyncB, leadership.synced_incarnations[1])
}

fn decode_leadership(fields: &Fields) -> Result<Leadership, WireError> {
    let number = |field| fields.upto(field, u64::MAX, 0);
    Ok(Leadership {
        epoch: number(Field::Epoch)?,
        member: fields.upto(Field::Member, 2, 1)?.max(1) as usize - 1,
        synced_incarnations: [number(Field::SyncA)?, number(Field::SyncB)?],
        fencing_floor: number(Field::Floor)?,
    })
}
