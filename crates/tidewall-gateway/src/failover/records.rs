//! Replication records: the messages that the serving gateway writes to its peer for each change of its
//! requests in flight, in the order of the changes, so that the peer can continue the requests. Records carry
//! no number: both sides count them from 1 on each connection. They are acknowledged by
//! [`PeerControl::Acknowledged`](super::control_messages::PeerControl).
//!
//! `docs/wire.md` specifies the frames (kinds 61 to 68). Encoding borrows all data and does not allocate
//! while the buffer has capacity. The order of a record's fields and the omission of default values are part
//! of the format: recorded frames must encode to the same bytes after they were decoded.
use crate::error::ProtocolError;
use crate::ingress::Disposition;
use tidewall_net::Time;
use tidewall_wire::{kind, Field, Fields, Frame, WireError};

/// The slot of a record without a slot. Higher slots are rejected; a gateway has far fewer requests in
/// flight.
pub const NO_SLOT: usize = 1 << 24;

/// Longer durations (above about 228,000 years) are rejected, so that adding one to a clock reading cannot
/// overflow.
const MAX_DURATION: Time = u64::MAX >> 8;

/// The maximum number of lanes of one request; a higher number is rejected.
const MAX_LANES: u64 = 1000;

/// Names that are in the settings of both gateways. Decoded records refer to them by their positions in these
/// lists, while frames carry the names.
#[derive(Clone, Copy, Debug)]
pub struct RecordNames<'a> {
    /// The names of request classes.
    pub classes: &'a [String],
    /// The names of tenants.
    pub tenants: &'a [String],
}

impl<'a> RecordNames<'a> {
    /// Combines the names of request classes and of tenants, each in the order of the settings.
    pub fn new(classes: &'a [String], tenants: &'a [String]) -> RecordNames<'a> {
        RecordNames { classes, tenants }
    }
}

/// A request that was admitted, with all fields that are needed to continue it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmittedRequest<'a> {
    /// The request's slot at the sender, which identifies it in later records.
    pub slot: usize,
    /// The client's id of the request.
    pub id: u64,
    /// The position of its class.
    pub class: usize,
    /// The position of its tenant; `None` if it has none or the receiver does not know the tenant.
    pub tenant: Option<usize>,
    /// The function that it calls.
    pub function: &'a str,
    /// Lanes that it occupies, up to 1000; 1 is omitted on the wire.
    pub lanes: u32,
    /// Memory that it needs, in the settings' unit; 0 is omitted on the wire.
    pub memory: f64,
    /// Expected execution time in tenths of a millisecond; 0, omitted on the wire, if none was given.
    pub cost_hint: Time,
    /// Expected load time of the function in tenths of a millisecond; 0, omitted on the wire, if none was
    /// given.
    pub load_hint: Time,
    /// Tenths of a millisecond until the client stops waiting, counted from the time of sending.
    pub remaining: Time,
    /// The client's idempotency key; empty if none was given.
    pub idempotency_key: &'a [u8],
    /// The request's payload.
    pub payload: &'a [u8],
}

/// Identifies a request independently of its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey<'a> {
    /// The position of its class.
    pub class: usize,
    /// Its idempotency key.
    pub idempotency_key: &'a [u8],
}

/// A request's final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalResponse<'a> {
    /// The request's slot; `None` for a request that ended before the snapshot began.
    pub slot: Option<usize>,
    /// The request's class and key, if the receiver may not know the slot.
    pub request: Option<RequestKey<'a>>,
    /// The disposition of the response.
    pub disposition: Disposition,
    /// The response's payload.
    pub payload: &'a [u8],
}

/// One change of the state that the peer needs for a takeover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplicationRecord<'a> {
    /// Starts replication on a connection: the receiver discards requests replicated before, and stored
    /// responses unless only changes follow.
    SnapshotStarted {
        /// The receiver already knows all responses up to now: only changes follow, and no snapshot.
        only_changes: bool,
        /// For this many tenths of a millisecond a repeated request may have been in flight at an incarnation
        /// that ended without replicating it; 0, omitted on the wire, if there was no such incarnation.
        history_unknown: Time,
    },
    /// A request was admitted, or is part of the snapshot.
    RequestAdmitted(AdmittedRequest<'a>),
    /// An attempt is about to be sent to a worker.
    AttemptStarted {
        /// The request's slot.
        slot: usize,
        /// The attempt's number among those of the request, from 0.
        attempt: u64,
        /// The worker's name.
        worker: &'a str,
    },
    /// An attempt ended without providing the final response.
    AttemptEnded {
        /// The request's slot.
        slot: usize,
        /// The attempt's number among those of the request, from 0.
        attempt: u64,
        /// Whether its outcome proves that the worker did not execute it.
        not_executed: bool,
    },
    /// A request has its final response, or had it before the snapshot began.
    ResponseRecorded(FinalResponse<'a>),
    /// The client abandoned its request.
    RequestAbandoned {
        /// The request's slot.
        slot: usize,
    },
    /// A load request was sent to a worker, which counts against the limit of load requests.
    LoadRequested {
        /// Tenths of a millisecond since the load request.
        age: Time,
    },
    /// The snapshot is complete.
    SnapshotCompleted,
}

impl<'a> ReplicationRecord<'a> {
    /// Whether the record reports the progress of one request (and not the snapshot's start or end, an
    /// abandoned request or a load request). A test withholds these records to check that an audit detects
    /// their loss.
    pub fn is_request_progress(&self) -> bool {
        matches!(
            self,
            ReplicationRecord::RequestAdmitted(_)
                | ReplicationRecord::AttemptStarted { .. }
                | ReplicationRecord::AttemptEnded { .. }
                | ReplicationRecord::ResponseRecorded(_)
        )
    }

    /// Appends the record's frame to `out`.
    pub fn encode(&self, out: &mut Vec<u8>, names: RecordNames) {
        match *self {
            ReplicationRecord::SnapshotStarted {
                only_changes,
                history_unknown,
            } => {
                let frame = Frame::new(out, kind::COPY).flag(Field::On, only_changes);
                match history_unknown {
                    0 => frame,
                    _ => frame.whole(Field::Left, history_unknown),
                }
            }
            ReplicationRecord::RequestAdmitted(request) => request.encode(out, names),
            ReplicationRecord::AttemptStarted {
                slot,
                attempt,
                worker,
            } => Frame::new(out, kind::LAUNCHED)
                .whole(Field::Place, slot as u64)
                .whole(Field::Launch, attempt)
                .text(Field::Name, worker),
            ReplicationRecord::AttemptEnded {
                slot,
                attempt,
                not_executed,
            } => Frame::new(out, kind::OVER)
                .whole(Field::Place, slot as u64)
                .whole(Field::Launch, attempt)
                .flag(Field::On, not_executed),
            ReplicationRecord::ResponseRecorded(response) => response.encode(out, names),
            ReplicationRecord::RequestAbandoned { slot } => {
                Frame::new(out, kind::GONE).whole(Field::Place, slot as u64)
            }
            ReplicationRecord::LoadRequested { age } => {
                Frame::new(out, kind::ORDERED).whole(Field::Age, age)
            }
            ReplicationRecord::SnapshotCompleted => Frame::new(out, kind::COPIED),
        }
        .end();
    }

    /// Decodes a record from the fields of a frame.
    ///
    /// # Errors
    /// A field is missing, malformed or out of range, a class is not in `names`, or the frame is of another
    /// kind.
    pub fn decode(
        fields: &Fields<'a>,
        names: RecordNames,
    ) -> Result<ReplicationRecord<'a>, ProtocolError> {
        let slot = fields.upto(Field::Place, NO_SLOT as u64, NO_SLOT as u64)? as usize;
        Ok(match fields.kind()? {
            kind::COPY => ReplicationRecord::SnapshotStarted {
                only_changes: fields.flag(Field::On)?,
                history_unknown: fields.upto(Field::Left, MAX_DURATION, 0)?,
            },
            kind::TAKEN => {
                ReplicationRecord::RequestAdmitted(AdmittedRequest::decode(fields, slot, names)?)
            }
            kind::LAUNCHED => ReplicationRecord::AttemptStarted {
                slot,
                // Receivers number attempts by the order of their records, so a missing or malformed number
                // is no error.
                attempt: fields.whole(Field::Launch).unwrap_or_default(),
                worker: fields.text(Field::Name)?,
            },
            kind::OVER => ReplicationRecord::AttemptEnded {
                slot,
                attempt: fields.whole(Field::Launch)?,
                not_executed: fields.flag(Field::On)?,
            },
            kind::ANSWERED => {
                ReplicationRecord::ResponseRecorded(FinalResponse::decode(fields, slot, names)?)
            }
            kind::GONE => ReplicationRecord::RequestAbandoned { slot },
            kind::ORDERED => ReplicationRecord::LoadRequested {
                age: fields.upto(Field::Age, MAX_DURATION, 0)?,
            },
            kind::COPIED => ReplicationRecord::SnapshotCompleted,
            other => {
                return Err(
                    WireError::invalid(Field::Kind, format!("{other} is not for a pair")).into(),
                )
            }
        })
    }
}

impl<'a> AdmittedRequest<'a> {
    fn encode<'o>(&self, out: &'o mut Vec<u8>, names: RecordNames) -> Frame<'o> {
        let mut frame = Frame::new(out, kind::TAKEN)
            .whole(Field::Place, self.slot as u64)
            .whole(Field::Id, self.id)
            .text(Field::Type, &names.classes[self.class])
            .text(Field::Function, self.function);
        if let Some(tenant) = self.tenant {
            frame = frame.text(Field::Tenant, &names.tenants[tenant]);
        }
        if self.lanes != 1 {
            frame = frame.whole(Field::Lanes, u64::from(self.lanes));
        }
        if self.memory != 0.0 {
            frame = frame.real(Field::Memory, self.memory);
        }
        if self.cost_hint > 0 {
            frame = frame.whole(Field::Hint, self.cost_hint);
        }
        if self.load_hint > 0 {
            frame = frame.whole(Field::LoadHint, self.load_hint);
        }
        frame
            .whole(Field::Left, self.remaining)
            .bytes(Field::Mark, self.idempotency_key)
            .bytes(Field::Payload, self.payload)
    }

    // The order in which fields are decoded determines which of several errors is reported to the peer.
    fn decode(
        fields: &Fields<'a>,
        slot: usize,
        names: RecordNames,
    ) -> Result<AdmittedRequest<'a>, ProtocolError> {
        let class = class_position(fields, names)?;
        let tenant = fields.word(Field::Tenant)?;
        let idempotency_key = fields.bytes(Field::Mark)?;
        Ok(AdmittedRequest {
            slot,
            id: fields.whole(Field::Id)?,
            class,
            tenant: names.tenants.iter().position(|name| name == tenant),
            function: fields.text(Field::Function)?,
            lanes: fields.upto(Field::Lanes, MAX_LANES, 1)? as u32,
            memory: fields.real(Field::Memory, 0.0)?,
            cost_hint: fields.upto(Field::Hint, MAX_DURATION, 0)?,
            load_hint: fields.upto(Field::LoadHint, MAX_DURATION, 0)?,
            remaining: fields.upto(Field::Left, MAX_DURATION, 0)?,
            idempotency_key,
            payload: fields.bytes(Field::Payload)?,
        })
    }
}

impl<'a> FinalResponse<'a> {
    fn encode<'o>(&self, out: &'o mut Vec<u8>, names: RecordNames) -> Frame<'o> {
        let frame = Frame::new(out, kind::ANSWERED);
        let add_request = |frame: Frame<'o>| match self.request {
            Some(request) => frame
                .text(Field::Type, &names.classes[request.class])
                .bytes(Field::Mark, request.idempotency_key),
            None => frame,
        };
        let word = self.disposition.wire_text();
        match self.slot {
            Some(slot) => add_request(
                frame
                    .whole(Field::Place, slot as u64)
                    .text(Field::Word, word),
            ),
            None => add_request(frame).text(Field::Word, word),
        }
        .bytes(Field::Payload, self.payload)
    }

    fn decode(
        fields: &Fields<'a>,
        slot: usize,
        names: RecordNames,
    ) -> Result<FinalResponse<'a>, ProtocolError> {
        let disposition = Disposition::from_wire(fields.text(Field::Word)?)?;
        let payload = fields.bytes(Field::Payload)?;
        let request = match fields.has(Field::Type) {
            true => Some(RequestKey {
                class: class_position(fields, names)?,
                idempotency_key: fields.bytes(Field::Mark)?,
            }),
            false => None,
        };
        Ok(FinalResponse {
            slot: fields.has(Field::Place).then_some(slot),
            request,
            disposition,
            payload,
        })
    }
}

fn class_position(fields: &Fields, names: RecordNames) -> Result<usize, ProtocolError> {
    let name = fields.text(Field::Type)?;
    let position = names.classes.iter().position(|class| class == name);
    position.ok_or_else(|| WireError::invalid(Field::Type, format!("'{name}' is unknown")).into())
}
