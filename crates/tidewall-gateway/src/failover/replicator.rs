//! What goes to the other member of a pair, on the carrier's side: events taken, launches, their ends, answers and load
//! orders, in the order in which they happen; and what waits until the other member has recorded them. It decides nothing.
use crate::ingress::{Disposition, ReplyHandle, NO_CLIENT};
use crate::worker_pool::{LocalResponse, PendingRequest, WorkerPool};
use std::collections::VecDeque;
use tidewall::interface::Outcome;
use tidewall_failover::deduplication::{DeduplicationTable, RequestLocation};
use tidewall_failover::leadership::Leadership;
use tidewall_failover::load_request_limit::LoadRequestLimiter;
use tidewall_failover::recovery::RetrySafety;
use tidewall_net::{Conn, Net, Time};
use tidewall_wire::{kind, Field, Frame};

/// An answer on its way to whoever asked.
#[derive(Default)]
pub struct PendingResponse {
    /// With the times when they give up.
    pub clients: Vec<(ReplyHandle, Time)>,
    pub disposition: Option<Disposition>,
    pub retry_after: Time,
    pub elapsed: Time,
    pub payload: Vec<u8>,
}

/// What waits until all that was told before is recorded.
pub enum DeferredAction {
    Send { key: usize, count: u32 },
    Respond(PendingResponse),
}

pub struct Replicator {
    pub member: usize,
    /// Under which launches and orders are sent; 0 while we do not serve and hold nothing.
    pub epoch: u64,
    pub conn: Option<Conn>,
    /// The other member follows what happens.
    pub streaming: bool,
    /// It may not know of an event that it hears the answer of: a copy is under way.
    pub snapshot_incomplete: bool,
    pub waits_for_records: bool,
    /// Updates up to now, those that are recorded, and those before this link.
    pub last_sequence: u64,
    pub acknowledged_sequence: u64,
    pub sequence_base: u64,
    /// Updates that went over this link.
    pub sent_on_connection: u64,
    /// With the time since when each waits.
    awaiting_record: VecDeque<(u64, Time, DeferredAction)>,
    /// The link took no more: the other member is too slow.
    pub connection_overflowed: bool,
    pub deduplication: DeduplicationTable,
    pub load_request_limiter: LoadRequestLimiter,
    retry_safety: Vec<RetrySafety>,
    pub allows_hedging: bool,
    /// How long an answer is given again, by type.
    retention: Vec<Time>,
    /// What voters are asked to accept.
    pub leadership: Leadership,
    pub missing_votes: VecDeque<(usize, (u64, bool))>,
    /// A worker refused our epoch.
    pub epoch_rejected: bool,
    pub ready_responses: VecDeque<PendingResponse>,
    /// Places of events that were asked for again.
    pub shared_requests: Vec<usize>,
    /// How long the link may be silent.
    pub silence_timeout: Time,
    /// Until then, what is asked for again may have been in hand of a life that is over and told nobody.
    pub history_unknown_until: Time,
    /// Nothing of former lives is out at any worker.
    pub all_workers_fenced: bool,
    spare: Vec<PendingResponse>,
    replicates: bool,
    buf: Vec<u8>,
}

impl Replicator {
    pub fn new(
        member: usize,
        kinds: Vec<RetrySafety>,
        two_at_once: bool,
        keeps: Vec<Time>,
        ration: LoadRequestLimiter,
        copies: bool,
    ) -> Replicator {
        Replicator {
            member,
            epoch: 0,
            conn: None,
            streaming: false,
            snapshot_incomplete: false,
            // Until the voters say that nobody else knows.
            waits_for_records: true,
            last_sequence: 0,
            acknowledged_sequence: 0,
            sequence_base: 0,
            sent_on_connection: 0,
            awaiting_record: VecDeque::new(),
            connection_overflowed: false,
            deduplication: DeduplicationTable::default(),
            load_request_limiter: ration,
            retry_safety: kinds,
            allows_hedging: two_at_once,
            retention: keeps,
            leadership: Leadership::default(),
            missing_votes: VecDeque::new(),
            epoch_rejected: false,
            ready_responses: VecDeque::new(),
            shared_requests: Vec::new(),
            silence_timeout: 0,
            history_unknown_until: 0,
            all_workers_fenced: false,
            spare: Vec::new(),
            replicates: copies,
            buf: Vec::new(),
        }
    }

    pub fn retry_safety_of(&self, typ: usize) -> RetrySafety {
        self.retry_safety[typ]
    }

    pub fn retention_of(&self, typ: usize) -> Time {
        self.retention[typ]
    }

    /// One update, numbered; written where the other member follows.
    pub fn send_record<N: Net>(&mut self, net: &mut N, kind: u64, fill: impl FnOnce(Frame)) {
        self.last_sequence += 1;
        let Some(conn) = self.conn.filter(|_| self.streaming) else {
            return;
        };
        if !self.replicates
            && matches!(
                kind,
                kind::TAKEN | kind::LAUNCHED | kind::OVER | kind::ANSWERED
            )
        {
            self.acknowledged_sequence += 1;
            self.sequence_base += 1;
            return;
        }
        self.sent_on_connection += 1;
        self.buf.clear();
        fill(Frame::new(&mut self.buf, kind));
        if !net.write(conn, &self.buf) {
            (self.connection_overflowed, self.streaming) = (true, false);
        }
    }

    /// Something else that the other member is told.
    pub fn send_control<N: Net>(&mut self, net: &mut N, kind: u64, fill: impl FnOnce(Frame)) {
        let Some(conn) = self.conn else { return };
        self.buf.clear();
        fill(Frame::new(&mut self.buf, kind));
        self.connection_overflowed |= !net.write(conn, &self.buf);
    }

    /// What waits no longer.
    pub fn next_recorded(&mut self) -> Option<DeferredAction> {
        let first = self.awaiting_record.front()?.0;
        if self.waits_for_records && first > self.acknowledged_sequence {
            return None;
        }
        self.awaiting_record.pop_front().map(|b| b.2)
    }

    /// Something has waited longer than the link may be silent: the other member is there, and of no use.
    pub fn is_peer_too_slow(&self, now: Time) -> bool {
        self.waits_for_records
            && self.streaming
            && self
                .awaiting_record
                .front()
                .is_some_and(|b| now > b.1 + self.silence_timeout)
    }

    pub fn waiting_count(&self) -> usize {
        self.awaiting_record.len()
    }

    pub fn new_response(&mut self) -> PendingResponse {
        self.spare.pop().unwrap_or_default()
    }

    /// Its buffers serve the next one.
    pub fn recycle_response(&mut self, mut due: PendingResponse) {
        const SPARE: usize = 256; // more than wait for one round trip at usual rates
        due.clients.clear();
        due.payload.clear();
        (due.disposition, due.retry_after, due.elapsed) = (None, 0, 0);
        if self.spare.len() < SPARE {
            self.spare.push(due);
        }
    }
}

/// What the other member needs to go on with an event.
#[allow(clippy::too_many_arguments)] // the parts of the carrier that it reads
pub fn taken(
    f: Frame,
    place: usize,
    held: &PendingRequest,
    types: &[String],
    tenants: &[String],
    function: &str,
    now: Time,
) {
    let a = held.info();
    let f = f
        .whole(Field::Place, place as u64)
        .whole(Field::Id, held.id);
    let f = f
        .text(Field::Type, &types[a.class])
        .text(Field::Function, function);
    let f = match a.tenant {
        Some(tenant) => f.text(Field::Tenant, &tenants[tenant]),
        None => f,
    };
    // What is as it is where it is left out is left out.
    let f = if a.lanes != 1 {
        f.whole(Field::Lanes, u64::from(a.lanes))
    } else {
        f
    };
    let f = if a.memory != 0.0 {
        f.real(Field::Memory, a.memory)
    } else {
        f
    };
    let f = if a.cost_hint > 0 {
        f.whole(Field::Hint, a.cost_hint)
    } else {
        f
    };
    let f = if a.load_hint > 0 {
        f.whole(Field::LoadHint, a.load_hint)
    } else {
        f
    };
    let f = f.whole(Field::Left, held.deadline().saturating_sub(now));
    f.bytes(Field::Mark, held.idempotency_key())
        .bytes(Field::Payload, held.payload())
        .end();
}

impl<N: Net> WorkerPool<N> {
    pub(crate) fn replicate_admission(&mut self, place: usize) {
        let Some(copy) = &mut self.replicator else {
            return;
        };
        let (now, held) = (self.net.now(), &self.requests[place]);
        let a = held.info();
        copy.load_request_limiter.request_received(now);
        copy.deduplication.insert_in_flight(
            a.class,
            held.idempotency_key(),
            RequestLocation::Local(place),
        );
        let function = self.function_names.resolve(a.function);
        copy.send_record(&mut self.net, kind::TAKEN, |f| {
            taken(
                f,
                place,
                held,
                &self.class_names,
                &self.tenant_names,
                function,
                now,
            )
        });
    }

    /// Recorded before it is sent, where a repeat might do harm or two at once are barred.
    pub(crate) fn replicate_attempt(&mut self, evt: usize, launch: usize, key: usize) {
        let Some(copy) = &mut self.replicator else {
            return;
        };
        let held = &mut self.requests[evt];
        held.unproven += 1;
        let name = self.worker_names.resolve(self.calls[key].worker);
        copy.send_record(&mut self.net, kind::LAUNCHED, |f| {
            let f = f
                .whole(Field::Place, evt as u64)
                .whole(Field::Launch, launch as u64);
            f.text(Field::Name, name).end();
        });
        let must =
            !copy.retry_safety_of(held.info().class).is_safe_to_repeat() || !copy.allows_hedging;
        if copy.waits_for_records && must {
            let now = self.net.now();
            copy.awaiting_record.push_back((
                copy.last_sequence,
                now,
                DeferredAction::Send {
                    key,
                    count: self.calls[key].generation,
                },
            ));
        } else {
            self.assign_connection(key);
        }
    }

    pub(crate) fn replicate_attempt_end(&mut self, evt: usize, launch: usize, outcome: Outcome) {
        let Some(copy) = &mut self.replicator else {
            return;
        };
        let proven = matches!(
            outcome,
            Outcome::AtCapacity | Outcome::ConnectFailed | Outcome::Discarded | Outcome::Miss
        );
        let held = &mut self.requests[evt];
        held.not_executed[launch] = Some(proven);
        held.unproven -= u32::from(proven && held.unproven > 0);
        if held.open {
            copy.send_record(&mut self.net, kind::OVER, |f| {
                let f = f
                    .whole(Field::Place, evt as u64)
                    .whole(Field::Launch, launch as u64);
                f.flag(Field::On, proven).end();
            });
        }
    }

    /// The event has its answer. Given back where it may go at once; else it waits to be recorded.
    pub(crate) fn replicate_response(
        &mut self,
        given: &LocalResponse,
        payload: &[u8],
    ) -> Option<PendingResponse> {
        let now = self.net.now();
        let copy = self.replicator.as_mut()?;
        let held = &mut self.requests[given.request];
        let typ = held.info().class;
        remember(
            copy,
            now,
            typ,
            held.idempotency_key(),
            given.disposition,
            payload,
        );
        let (place, mark, types) = (
            given.request as u64,
            held.idempotency_key(),
            &self.class_names,
        );
        let unsure = copy.snapshot_incomplete;
        copy.send_record(&mut self.net, kind::ANSWERED, |f| {
            let f = f
                .whole(Field::Place, place)
                .text(Field::Word, given.disposition.wire_text());
            let f = if unsure {
                f.text(Field::Type, &types[typ]).bytes(Field::Mark, mark)
            } else {
                f
            };
            f.bytes(Field::Payload, payload).end();
        });
        let mut due = copy.new_response();
        due.clients.append(&mut held.waiting_clients);
        if given.reply_handle != NO_CLIENT {
            due.clients.push((given.reply_handle, held.deadline()));
        }
        (due.disposition, due.retry_after, due.elapsed) =
            (Some(given.disposition), given.retry_after, given.elapsed);
        due.payload.extend_from_slice(payload);
        if copy.waits_for_records && !copy.retry_safety_of(typ).is_safe_to_repeat() {
            copy.awaiting_record
                .push_back((copy.last_sequence, now, DeferredAction::Respond(due)));
            return None;
        }
        Some(due)
    }

    /// Its client said that it leaves. What may have run is not run again for whoever asks later.
    pub(crate) fn replicate_abandonment(&mut self, place: usize) {
        let now = self.net.now();
        let Some(copy) = &mut self.replicator else {
            return;
        };
        let held = &self.requests[place];
        let typ = held.info().class;
        if held.unproven > 0 && copy.retry_safety_of(typ) != RetrySafety::Idempotent {
            remember(
                copy,
                now,
                typ,
                held.idempotency_key(),
                Disposition::Failed,
                &[],
            );
        } else {
            copy.deduplication.remove(typ, held.idempotency_key());
        }
        copy.send_record(&mut self.net, kind::GONE, |f| {
            f.whole(Field::Place, place as u64).end()
        });
    }

    /// Whether an order to load is within the ration of both lives; it is counted and told.
    pub(crate) fn admit_load_request(&mut self, copies: u32) -> bool {
        let now = self.net.now();
        let Some(copy) = &mut self.replicator else {
            return true;
        };
        if copies == 0 {
            return true;
        }
        if copy.epoch == 0 || !copy.load_request_limiter.has_capacity(now) {
            return false;
        }
        copy.load_request_limiter.load_requested(now);
        copy.send_record(&mut self.net, kind::ORDERED, |f| {
            f.whole(Field::Age, 0).end()
        });
        true
    }

    /// An order waits for the other member's record, or its ration might not count it.
    pub(crate) fn send_when_recorded(&mut self, key: usize, copies: u32) {
        let now = self.net.now();
        match &mut self.replicator {
            Some(copy) if copy.waits_for_records && copies > 0 => {
                copy.awaiting_record.push_back((
                    copy.last_sequence,
                    now,
                    DeferredAction::Send {
                        key,
                        count: self.calls[key].generation,
                    },
                ));
            }
            _ => self.assign_connection(key),
        }
    }

    /// Takes one of several that wait for the same event off; false where it is the only one.
    pub(crate) fn remove_waiting_client(&mut self, place: usize, ticket: ReplyHandle) -> bool {
        let Some(held) = self.requests.get_mut(place).filter(|h| h.open) else {
            return false;
        };
        if let Some(at) = held.waiting_clients.iter().position(|m| m.0 == ticket) {
            held.waiting_clients.swap_remove(at);
            return true;
        }
        let others = held.reply_handle == ticket && !held.waiting_clients.is_empty();
        if others {
            held.reply_handle = NO_CLIENT;
        }
        others
    }

    /// The question that a vote's out stands for.
    pub(crate) fn encode_vote(&mut self, id: u64, ballot: u64, accepting: bool) {
        let Some(copy) = &self.replicator else { return };
        let c = copy.leadership;
        if accepting {
            let f = Frame::new(&mut self.frame, kind::ACCEPT).whole(Field::Id, id);
            let f = f.whole(Field::Ballot, ballot).whole(Field::Epoch, c.epoch);
            let f = f
                .whole(Field::Member, c.member as u64 + 1)
                .whole(Field::Floor, c.fencing_floor);
            f.whole(Field::SyncA, c.synced_incarnations[0])
                .whole(Field::SyncB, c.synced_incarnations[1])
                .end();
        } else {
            Frame::new(&mut self.frame, kind::PREPARE)
                .whole(Field::Id, id)
                .whole(Field::Ballot, ballot)
                .end();
        }
    }
}

/// A deferral is not remembered, as it invites the next try.
pub fn remember(
    copy: &mut Replicator,
    now: Time,
    typ: usize,
    mark: &[u8],
    word: Disposition,
    payload: &[u8],
) {
    if word == Disposition::Rejected {
        copy.deduplication.remove(typ, mark);
    } else {
        let until = now + copy.retention_of(typ);
        copy.deduplication
            .record_response(now, typ, mark, word as u8, payload, until);
    }
}

pub fn word(number: u8) -> Disposition {
    [
        Disposition::Completed,
        Disposition::Rejected,
        Disposition::Failed,
    ][usize::from(number).min(2)]
}
