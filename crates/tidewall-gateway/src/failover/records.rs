//! Replication records: what the serving gateway writes to its peer about each change of its requests in flight, in the
//! order of the changes, so that the peer can continue them. They are numbered by counting alone, from 1 on each
//! connection, and acknowledged by [`PeerControl::Acknowledged`](super::control_messages::PeerControl).
//!
//! `docs/wire.md` specifies the frames (kinds 61 to 68). Encoding borrows all it writes and allocates nothing while the
//! buffer has room. The order of a record's fields and the omission of default values are part of the format: captured
//! frames must decode and encode to the same bytes.
use crate::error::ProtocolError;
use crate::ingress::Disposition;
use tidewall_net::Time;
use tidewall_wire::{kind, Field, Fields, Frame, WireError};

/// The slot of a record that names none. Higher ones are refused; a gateway has far fewer requests in flight.
pub const NO_SLOT: usize = 1 << 24;

/// Durations are refused above this (about 228,000 years), so that adding one to a clock reading cannot overflow.
const MAX_DURATION: Time = u64::MAX >> 8;

/// Lanes of one request are refused above this.
const MAX_LANES: u64 = 1000;

/// Names that both gateways have in their settings. Records hold positions in these lists, frames hold the names.
#[derive(Clone, Copy, Debug)]
pub struct RecordNames<'a> {
    /// The names of request classes.
    pub classes: &'a [String],
    /// The names of tenants.
    pub tenants: &'a [String],
}

impl<'a> RecordNames<'a> {
    /// The names of request classes and of tenants, in the order of the settings.
    pub fn new(classes: &'a [String], tenants: &'a [String]) -> RecordNames<'a> {
        RecordNames { classes, tenants }
    }
}

/// A request that was admitted, with all that is needed to continue it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmittedRequest<'a> {
    /// The request's slot at the sender, which names it in later records.
    pub slot: usize,
    /// The client's own name for the request.
    pub id: u64,
    /// Position of its class.
    pub class: usize,
    /// Position of its tenant; none too where the receiver does not know the tenant.
    pub tenant: Option<usize>,
    /// The function that it calls.
    pub function: &'a str,
    /// Lanes that it occupies, up to 1000; 1 is omitted on the wire.
    pub lanes: u32,
    /// Memory that it needs, in the settings' unit; 0 is omitted on the wire.
    pub memory: f64,
    /// Expected execution time in tenths of a millisecond; 0, omitted on the wire, where none was given.
    pub cost_hint: Time,
    /// Expected load time of the function in tenths of a millisecond; 0, omitted on the wire, where none was given.
    pub load_hint: Time,
    /// Tenths of a millisecond until the client gives up, counted from the time of sending.
    pub remaining: Time,
    /// The client's idempotency key; empty where it gave none.
    pub idempotency_key: &'a [u8],
    /// The request's payload.
    pub payload: &'a [u8],
}

/// Names a request without its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey<'a> {
    /// Position of its class.
    pub class: usize,
    /// Its idempotency key.
    pub idempotency_key: &'a [u8],
}

/// A request's final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalResponse<'a> {
    /// The request's slot; none for a request that ended before the snapshot began.
    pub slot: Option<usize>,
    /// The request's class and key, where the receiver may not know the slot.
    pub request: Option<RequestKey<'a>>,
    /// What the client was told.
    pub disposition: Disposition,
    /// The response's payload.
    pub payload: &'a [u8],
}

/// One change of the state that the peer needs for a takeover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplicationRecord<'a> {
    /// Opens replication on a connection: what was replicated before is void.
    SnapshotStarted {
        /// The receiver knows all responses up to now already: only changes follow, and no snapshot.
        only_changes: bool,
        /// For so many tenths of a millisecond more a request that is sent again may have been in flight in an incarnation
        /// that ended and replicated it to nobody; 0, omitted on the wire, where there is none.
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
    /// An attempt ended without giving the final response.
    AttemptEnded {
        /// The request's slot.
        slot: usize,
        /// The attempt's number among those of the request, from 0.
        attempt: u64,
        /// Its end proves that the worker did not execute it.
        not_executed: bool,
    },
    /// A request has its final response, or had it before the snapshot began.
    ResponseRecorded(FinalResponse<'a>),
    /// The client abandoned its request.
    RequestAbandoned {
        /// The request's slot.
        slot: usize,
    },
    /// A worker was asked to load instances, which counts against the limit of load requests.
    LoadRequested {
        /// Tenths of a millisecond since then.
        age: Time,
    },
    /// The snapshot is complete.
    SnapshotCompleted,
}

impl<'a> ReplicationRecord<'a> {
    /// Whether the record speaks of one request's progress (not of the snapshot, of an abandoned request or of load
    /// requests). These are the records that an audit withholds to see that their loss is noticed.
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

    /// Reads a record from the fields of a frame.
    ///
    /// # Errors
    /// A field is missing, malformed or out of range, a class is not in `names`, or the frame is of another kind.
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
                // Receivers count attempts by themselves, in the order of their records: it never refused a frame.
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

    // The order in which fields are read decides which of several faults the peer is told.
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
