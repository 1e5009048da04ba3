//! The door that speaks the native frames of `docs/wire.md`.
use crate::error::ProtocolError;
use crate::ingress::{remaining_time, IncomingRequest, Ingress, ReplyHandle, Response};
use crate::IngressContext;
use rustc_hash::FxHashMap;
use slab::Slab;
use tidewall_net::{Conn, Net, Time};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame, WireError};
use tracing::warn;

const NONE: u32 = u32::MAX;

/// The longest time that a client may tell: an hour, as the settings allow.
const LEFT_MOST: Time = 36_000_000;

/// A client's event. Those of one connection are chained, so that its end costs no search.
struct Known {
    conn: Conn,
    id: u64,
    /// The gateway's place, once it is taken.
    place: usize,
    before: u32,
    after: u32,
    /// Tells the users of a key apart.
    count: u32,
}

#[derive(Default)]
struct Client {
    count: u32,
    greeted: bool,
    first: Option<u32>,
}

pub struct NativeIngress {
    /// Which door of the gateway this is.
    me: usize,
    name: String,
    clients: Vec<Client>,
    known: Slab<Known>,
    count: u32,
    /// Looked up, never walked.
    ids: FxHashMap<(Conn, u64), u32>,
    out: Vec<u8>,
}

impl NativeIngress {
    pub fn new(me: usize, name: &str) -> NativeIngress {
        NativeIngress {
            me,
            name: name.to_string(),
            clients: Vec::new(),
            known: Slab::new(),
            count: 0,
            ids: FxHashMap::default(),
            out: Vec::new(),
        }
    }

    fn client(&mut self, conn: Conn) -> &mut Client {
        if self.clients.len() <= conn.index() {
            self.clients.resize_with(conn.index() + 1, Client::default);
        }
        &mut self.clients[conn.index()]
    }

    fn add(&mut self, conn: Conn, id: u64) -> u32 {
        let first = self.client(conn).first;
        let after = first.unwrap_or(NONE);
        self.count = self.count.wrapping_add(1);
        let known = Known {
            conn,
            id,
            place: usize::MAX,
            before: NONE,
            after,
            count: self.count,
        };
        let key = self.known.insert(known) as u32;
        if let Some(first) = first {
            self.known[first as usize].before = key;
        }
        self.client(conn).first = Some(key);
        self.ids.insert((conn, id), key);
        key
    }

    fn ticket(&self, key: u32, count: u32) -> ReplyHandle {
        ReplyHandle {
            ingress: self.me,
            key: u64::from(key) | u64::from(count) << 32,
        }
    }

    /// The key of a ticket whose event has not left meanwhile.
    fn key(&self, ticket: ReplyHandle) -> Option<u32> {
        let (key, count) = (ticket.key as u32, (ticket.key >> 32) as u32);
        self.known
            .get(key as usize)
            .filter(|k| k.count == count)
            .map(|_| key)
    }

    fn remove(&mut self, key: u32) -> Known {
        let known = self.known.remove(key as usize);
        self.ids.remove(&(known.conn, known.id));
        if known.before == NONE {
            self.client(known.conn).first = (known.after != NONE).then_some(known.after);
        } else {
            self.known[known.before as usize].after = known.after;
        }
        if known.after != NONE {
            self.known[known.after as usize].before = known.before;
        }
        known
    }

    fn frame<N: Net>(
        &mut self,
        core: &mut IngressContext<N>,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), ProtocolError> {
        if !self.client(conn).greeted {
            if wire::greeted(fields)? != "client" {
                return Err(WireError::invalid(Field::Role, "only clients are heard here").into());
            }
            self.client(conn).greeted = true;
            self.out.clear();
            let epoch = core.epoch();
            let f = Frame::new(&mut self.out, kind::HELLO).whole(Field::Version, wire::VERSION);
            let f = f.text(Field::Role, "gateway").text(Field::Name, &self.name);
            let f = f.whole(Field::Life, self.me as u64);
            if epoch > 0 {
                f.whole(Field::Epoch, epoch)
            } else {
                f
            }
            .end();
            core.net().write(conn, &self.out);
            return Ok(());
        }
        match fields.kind()? {
            kind::EVENT => self.event(core, conn, fields),
            kind::LEAVE => {
                let id = fields.whole(Field::Id)?;
                // The answer may have crossed it.
                if let Some(key) = self.ids.get(&(conn, id)).copied() {
                    let known = self.remove(key);
                    core.client_abandoned(known.place, self.ticket(key, known.count));
                }
                Ok(())
            }
            other => {
                Err(WireError::invalid(Field::Kind, format!("{other} is not for a gateway")).into())
            }
        }
    }

    fn event<N: Net>(
        &mut self,
        core: &mut IngressContext<N>,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), ProtocolError> {
        let id = fields.whole(Field::Id)?;
        if self.ids.contains_key(&(conn, id)) {
            return Err(WireError::invalid(Field::Id, format!("{id} is in hand already")).into());
        }
        let typ = fields.text(Field::Type)?;
        let typ = core.class_names().iter().position(|t| t == typ);
        let tenant = fields.word(Field::Tenant)?;
        let event = IncomingRequest {
            reply_handle: ReplyHandle::default(),
            id,
            class: typ.ok_or_else(|| {
                let name = fields.text(Field::Type).unwrap_or("");
                WireError::invalid(Field::Type, format!("'{name}' is unknown"))
            })?,
            tenant: core.tenant_names().iter().position(|t| t == tenant),
            function: fields.text(Field::Function)?,
            lanes: fields.upto(Field::Lanes, 1000, 1)? as u32,
            memory: fields.real(Field::Memory, 0.0)?,
            cost_hint: fields.upto(Field::Hint, LEFT_MOST, 0)?,
            load_hint: fields.upto(Field::LoadHint, LEFT_MOST, 0)?,
            // Shorter by what it may have waited for us to read it.
            remaining: remaining_time(
                fields.upto(Field::Left, LEFT_MOST, 0)?,
                core.net().read_delay(),
            )
            .unwrap_or(0),
            is_retry: fields.flag(Field::Resent)?,
            idempotency_key: fields.bytes(Field::Mark)?,
            payload: fields.bytes(Field::Payload)?,
        };
        fields.whole(Field::Left)?;
        if event.remaining == 0 {
            // Its time may have passed before it was read. An answer might come too late and silence might be
            // wrong: it is not taken, and that is said.
            core.counters().refused += 1;
            self.turn_away(core, conn, id, "late");
            return Ok(());
        }
        let key = self.add(conn, id);
        let ticket = self.ticket(key, self.known[key as usize].count);
        match core.admit(&IncomingRequest {
            reply_handle: ticket,
            ..event
        }) {
            Ok(place) => self.known[key as usize].place = place,
            Err(reason) => {
                self.remove(key);
                self.turn_away(core, conn, id, reason);
            }
        }
        Ok(())
    }

    fn turn_away<N: Net>(
        &mut self,
        core: &mut IngressContext<N>,
        conn: Conn,
        id: u64,
        reason: &str,
    ) {
        self.out.clear();
        let frame = Frame::new(&mut self.out, kind::ANSWER).whole(Field::Id, id);
        frame
            .text(Field::Word, "turned-away")
            .text(Field::Reason, reason)
            .end();
        core.net().write(conn, &self.out);
    }

    /// All events of a connection that is gone are lapsed.
    fn gone<N: Net>(&mut self, core: &mut IngressContext<N>, conn: Conn) {
        while let Some(key) = self.client(conn).first {
            let known = self.remove(key);
            core.client_disconnected(known.place, self.ticket(key, known.count));
        }
        *self.client(conn) = Client::default();
    }
}

impl<N: Net> Ingress<N> for NativeIngress {
    fn accepted(&mut self, _core: &mut IngressContext<N>, conn: Conn) {
        *self.client(conn) = Client {
            count: conn.generation(),
            ..Client::default()
        };
    }

    fn received(&mut self, core: &mut IngressContext<N>, conn: Conn, bytes: &[u8]) -> usize {
        let mut used = 0;
        loop {
            let result = match wire::frame(&bytes[used..]) {
                Ok(None) => return used,
                Ok(Some((body, len))) => {
                    used += len;
                    Fields::read(body)
                        .map_err(ProtocolError::from)
                        .and_then(|fields| self.frame(core, conn, &fields))
                }
                Err(error) => Err(error.into()),
            };
            if let Err(error) = result {
                let reason = error.to_string();
                warn!(reason, "malformed frame of a client");
                core.counters().malformed += 1;
                self.out.clear();
                wire::error(&mut self.out, &reason);
                core.net().write(conn, &self.out);
                self.gone(core, conn);
                core.net().close(conn);
                return bytes.len();
            }
        }
    }

    fn writable(&mut self, _core: &mut IngressContext<N>, _conn: Conn) {}

    fn closed(&mut self, core: &mut IngressContext<N>, conn: Conn) {
        if self.client(conn).count == conn.generation() {
            self.gone(core, conn);
        }
    }

    fn response_started(&mut self, net: &mut N, ticket: ReplyHandle, payload: &[u8]) {
        let Some(known) = self.key(ticket).map(|k| &self.known[k as usize]) else {
            return;
        };
        self.out.clear();
        let frame = Frame::new(&mut self.out, kind::BEGUN).whole(Field::Id, known.id);
        frame.bytes(Field::Payload, payload).end();
        net.write(known.conn, &self.out);
    }

    fn request_expired(&mut self, _now: Time, ticket: ReplyHandle) {
        if let Some(key) = self.key(ticket) {
            self.remove(key);
        }
    }

    fn respond(&mut self, net: &mut N, ticket: ReplyHandle, answer: &Response) {
        // It left in the same wake-up.
        let Some(key) = self.key(ticket) else { return };
        let known = self.remove(key);
        self.out.clear();
        let frame = Frame::new(&mut self.out, kind::ANSWER).whole(Field::Id, known.id);
        let frame = frame
            .text(Field::Word, answer.disposition.wire_text())
            .text(Field::Reason, answer.reason);
        let frame = frame
            .whole(Field::Took, answer.elapsed)
            .bytes(Field::Payload, answer.payload);
        let come_back = |f: Frame| f.whole(Field::ComeBack, answer.retry_after).end();
        if answer.retry_after > 0 {
            come_back(frame)
        } else {
            frame.end()
        }
        if !net.write(known.conn, &self.out) {
            // A client that reads nothing until its buffer is full has lost its answers, not its neighbours.
            net.abort(known.conn);
        }
    }
}
