//! The platform at the gateway's seams: its clients come by a `Ingress`, its hosts are a `WorkerProtocol`, its notice board a `DiscoverySource`.
//! Everything that is over is the gateway's to say; here stand what a client is owed on its connection and how long one that
//! says nothing may stay.
pub mod board;
pub mod lines;

use rustc_hash::FxHashMap;
use slab::Slab;
use tidewall_gateway::ingress::{
    remaining_time, Disposition, IncomingRequest, Ingress, ReplyHandle, Response,
};
use tidewall_gateway::IngressContext;
use tidewall_net::{Conn, Net, Time};
use tidewall_platform::client::{self, Call, Commands};
use tracing::{debug, warn};

const NONE: u32 = u32::MAX;

/// Open on one connection at once, as the page has it.
const OPEN_MOST: u32 = 32;

/// A connection that has sent no whole command is closed this long after it came: well within the 3 s in which it is owed a
/// word, and long enough for a slow first command.
const SILENT: Time = 20_000;

/// One with nothing open is closed when it has been quiet for so long; the page's clients close theirs after 4 s.
const IDLE: Time = 60_000;

/// The page's clients close a connection that has been idle for so long: one that stands longer asks nothing more.
const LEFT: Time = 40_000;

/// A first command comes with its connection: twice what the page counts for what crosses a close.
const FIRST: Time = 1_000;

/// How often connections are looked at: a tenth of the shortest of these times.
const LOOK: Time = 2_000;

/// A connection that got its error is left open for so long, unread, so that the error is read before the end.
const LAST: Time = 3_000;

/// What may lie unread at a client that reads slowly: one largest answer beside the one that is being written. With all places
/// taken by such clients it is still a matter of their number, which the descriptors bound.
const UNREAD: usize = tidewall_platform::host::BODY_MOST;

/// A client's call. Those of one connection are chained, so that its end costs no search.
struct Known {
    conn: Conn,
    tag: u64,
    trace: u64,
    /// The gateway's place, once it is taken.
    place: usize,
    before: u32,
    after: u32,
    /// Tells the users of a key apart.
    count: u32,
}

#[derive(Default)]
struct Client {
    conn: Option<Conn>,
    first: Option<u32>,
    open: u32,
    /// The highest tag so far: one at or below it was used before.
    highest: u64,
    /// When it came, and when it last said something whole.
    came: Time,
    used: Time,
    /// It has sent a whole command.
    spoke: bool,
    /// It got an error and is about to be closed.
    ending: Option<Time>,
}

pub struct Platform {
    /// Which door of the gateway this is.
    me: usize,
    /// Connections at most.
    most: usize,
    /// Types whose events carry a mark.
    keyed: Vec<bool>,
    clients: Vec<Client>,
    count_of_clients: usize,
    known: Slab<Known>,
    count: u32,
    /// Looked up, never walked.
    tags: FxHashMap<(Conn, u64), u32>,
    traces: FxHashMap<u64, u32>,
    out: Vec<u8>,
    fields: String,
    complained: u64,
}

impl Platform {
    pub fn new(me: usize, most: usize, keyed: Vec<bool>) -> Platform {
        Platform {
            me,
            most,
            keyed,
            clients: Vec::new(),
            count_of_clients: 0,
            known: Slab::new(),
            count: 0,
            tags: FxHashMap::default(),
            traces: FxHashMap::default(),
            out: Vec::new(),
            fields: String::new(),
            complained: 0,
        }
    }

    fn client(&mut self, conn: Conn) -> &mut Client {
        if self.clients.len() <= conn.index() {
            self.clients.resize_with(conn.index() + 1, Client::default);
        }
        &mut self.clients[conn.index()]
    }

    fn add(&mut self, conn: Conn, tag: u64, trace: u64) -> u32 {
        let first = self.client(conn).first;
        let after = first.unwrap_or(NONE);
        self.count = self.count.wrapping_add(1);
        let known = Known {
            conn,
            tag,
            trace,
            place: usize::MAX,
            before: NONE,
            after,
            count: self.count,
        };
        let key = self.known.insert(known) as u32;
        if let Some(first) = first {
            self.known[first as usize].before = key;
        }
        let client = self.client(conn);
        client.first = Some(key);
        client.open += 1;
        self.tags.insert((conn, tag), key);
        self.traces.insert(trace, key);
        key
    }

    fn ticket(&self, key: u32) -> ReplyHandle {
        let count = self.known[key as usize].count;
        ReplyHandle {
            ingress: self.me,
            key: u64::from(key) | u64::from(count) << 32,
        }
    }

    /// The key of a ticket whose call has not left meanwhile.
    fn key(&self, ticket: ReplyHandle) -> Option<u32> {
        let (key, count) = (ticket.key as u32, (ticket.key >> 32) as u32);
        self.known
            .get(key as usize)
            .filter(|k| k.count == count)
            .map(|_| key)
    }

    fn remove(&mut self, key: u32) -> Known {
        let known = self.known.remove(key as usize);
        self.tags.remove(&(known.conn, known.tag));
        self.traces.remove(&known.trace);
        if known.before == NONE {
            self.client(known.conn).first = (known.after != NONE).then_some(known.after);
        } else {
            self.known[known.before as usize].after = known.after;
        }
        if known.after != NONE {
            self.known[known.after as usize].before = known.before;
        }
        self.client(known.conn).open -= 1;
        known
    }

    /// Answers a call that was not taken.
    fn turn_away<N: Net>(
        &mut self,
        core: &mut IngressContext<N>,
        conn: Conn,
        tag: u64,
        word: Disposition,
    ) {
        let come_back = core.max_retry_after();
        self.write(core.net(), conn, tag, word, come_back, &[]);
    }

    fn write<N: Net>(
        &mut self,
        net: &mut N,
        conn: Conn,
        tag: u64,
        word: Disposition,
        come_back: Time,
        body: &[u8],
    ) {
        use std::fmt::Write;
        self.out.clear();
        self.fields.clear();
        let word = match word {
            Disposition::Completed => "OK",
            Disposition::Rejected => "BUSY",
            Disposition::Failed => "FAILED",
        };
        if word == "BUSY" && come_back > 0 {
            // Whole milliseconds, never sooner than was said.
            let _ = write!(self.fields, "pause={}", come_back.div_ceil(10));
        }
        client::answer(&mut self.out, tag, word, &self.fields, body);
        if net.unsent(conn) > UNREAD || !net.write(conn, &self.out) {
            // A client that reads nothing until its buffer is full has lost its answers, not its neighbours.
            net.abort(conn);
        }
    }

    /// All calls of a connection that is gone are lapsed.
    fn gone<N: Net>(&mut self, core: &mut IngressContext<N>, conn: Conn) {
        while let Some(key) = self.client(conn).first {
            let ticket = self.ticket(key);
            let known = self.remove(key);
            core.client_abandoned(known.place, ticket);
        }
    }

    fn forget(&mut self, conn: Conn) {
        if self.client(conn).conn == Some(conn) {
            *self.client(conn) = Client::default();
            self.count_of_clients -= 1;
        }
    }

    fn complain(&mut self, reason: &str, what: &str) {
        self.complained += 1;
        // Bad clients come by the thousand: the first, and then one in so many.
        const ONE_IN: u64 = 1000;
        if self.complained % ONE_IN == 1 {
            warn!(reason, what, so_far = self.complained, "malformed");
        } else {
            debug!(reason, what, "malformed");
        }
    }

    /// An error that belongs to no call: the connection ends behind it.
    fn fail<N: Net>(&mut self, core: &mut IngressContext<N>, conn: Conn, reason: &str) {
        self.complain(reason, "connection");
        core.counters().malformed += 1;
        self.gone(core, conn);
        self.out.clear();
        client::error(&mut self.out, reason);
        let net = core.net();
        net.write(conn, &self.out);
        // What it still sends is not read: it is held back by its own buffers until the end.
        net.set_read_paused(conn, true);
        let until = net.now() + LAST;
        self.client(conn).ending = Some(until);
    }

    fn shut<N: Net>(&mut self, core: &mut IngressContext<N>, conn: Conn) {
        self.gone(core, conn);
        self.forget(conn);
        let net = core.net();
        // One that does not read would keep its descriptor for ever, as a close waits for what is unsent.
        if net.unsent(conn) > 0 {
            net.reset(conn);
        } else {
            net.close(conn);
        }
    }

    /// One more came than there are places: first those that got an error, then the oldest that said nothing, then the one that
    /// has been idle for longest. One that came just now goes last: its first command is on its way, and would be lost.
    fn make_room<N: Net>(&mut self, core: &mut IngressContext<N>) {
        let now = core.net().now();
        let order = |c: &Client| match (c.ending, c.spoke) {
            (Some(_), _) => 0,
            (None, false) if now >= c.came + FIRST => 1,
            (None, true) if now >= c.used + LEFT => 2,
            (None, true) => 3,
            (None, false) => 4,
        };
        let idle = self
            .clients
            .iter()
            .filter(|c| c.conn.is_some() && c.first.is_none());
        let mut idle: Vec<_> = idle.map(|c| (order(c), c.used, c.conn)).collect();
        idle.sort_unstable();
        // What it sent while we were busy is answered first.
        let quiet = |conn: &Conn, core: &mut IngressContext<N>| !core.net().has_unread(*conn);
        if let Some(conn) = idle
            .into_iter()
            .filter_map(|c| c.2)
            .find(|conn| quiet(conn, core))
        {
            self.shut(core, conn);
        }
    }
}

/// A client's commands, as they are read.
struct Ear<'a, N: Net> {
    door: &'a mut Platform,
    core: &'a mut IngressContext<N>,
    conn: Conn,
    /// The connection is of no further use.
    broken: Option<&'static str>,
}

impl<N: Net> Commands for Ear<'_, N> {
    fn call(&mut self, tag: u64, call: Result<Call, String>) {
        let (conn, now) = (self.conn, self.core.net().now());
        let client = self.door.client(conn);
        (client.spoke, client.used) = (true, now);
        if tag <= client.highest {
            // Which of the two an answer would be for could not be told.
            self.broken = Some("tag: used before");
            return;
        }
        client.highest = tag;
        let open = client.open;
        let told = call.and_then(|call| {
            let typ = self.core.class_names().iter().position(|t| t == call.typ);
            let typ =
                typ.ok_or_else(|| format!("event type: '{}'", tidewall_platform::shown(call.typ)))?;
            let tenants = self.core.tenant_names();
            let tenant = tenants.iter().position(|t| Some(t.as_str()) == call.tenant);
            if tenant.is_none() && (call.tenant.is_some() || !tenants.is_empty()) {
                return Err("field customer: unknown".to_string());
            }
            if self.door.keyed[typ] && call.nonce.is_empty() {
                return Err("field nonce: missing".to_string());
            }
            if self.door.traces.contains_key(&call.trace) {
                return Err("field trace: in hand already".to_string());
            }
            Ok((call, typ, tenant))
        });
        let (call, typ, tenant) = match told {
            Ok(told) => told,
            Err(reason) => {
                self.door.complain(&reason, "call");
                self.core.counters().malformed += 1;
                return self
                    .door
                    .turn_away(self.core, conn, tag, Disposition::Failed);
            }
        };
        let tenths = |ms: f64| (ms * 10.0) as Time;
        let waited = self.core.net().read_delay();
        let event = IncomingRequest {
            reply_handle: ReplyHandle::default(),
            id: call.trace,
            class: typ,
            tenant,
            function: call.function,
            lanes: call.lanes as u32,
            memory: call.memory,
            cost_hint: tenths(call.hint),
            load_hint: tenths(call.load),
            // Shorter by what it may have waited for us to read it.
            remaining: remaining_time(tenths(call.patience), waited).unwrap_or(0),
            is_retry: call.resent,
            idempotency_key: call.nonce.as_bytes(),
            payload: call.body,
        };
        if open >= OPEN_MOST || event.remaining == 0 {
            self.core.counters().refused += 1;
            return self
                .door
                .turn_away(self.core, conn, tag, Disposition::Rejected);
        }
        let key = self.door.add(conn, tag, call.trace);
        let ticket = self.door.ticket(key);
        match self.core.admit(&IncomingRequest {
            reply_handle: ticket,
            ..event
        }) {
            Ok(place) => self.door.known[key as usize].place = place,
            Err(_) => {
                self.door.remove(key);
                self.door
                    .turn_away(self.core, conn, tag, Disposition::Rejected);
            }
        }
    }

    fn cancel(&mut self, tag: u64) {
        let now = self.core.net().now();
        let client = self.door.client(self.conn);
        (client.spoke, client.used) = (true, now);
        // The answer may have crossed it.
        if let Some(key) = self.door.tags.get(&(self.conn, tag)).copied() {
            let ticket = self.door.ticket(key);
            let known = self.door.remove(key);
            self.core.client_abandoned(known.place, ticket);
        }
    }

    fn check(&mut self, tag: u64) {
        let now = self.core.net().now();
        let client = self.door.client(self.conn);
        (client.spoke, client.used) = (true, now);
        let word = if self.core.is_shutting_down() {
            "DOWN"
        } else {
            "UP"
        };
        self.door.out.clear();
        client::answer(&mut self.door.out, tag, word, "", &[]);
        self.core.net().write(self.conn, &self.door.out);
    }
}

impl<N: Net> Ingress<N> for Platform {
    fn started(&mut self, core: &mut IngressContext<N>) {
        core.set_ingress_timer(self.me, LOOK);
    }

    fn timer_fired(&mut self, core: &mut IngressContext<N>) {
        core.set_ingress_timer(self.me, LOOK);
        let now = core.net().now();
        for place in 0..self.clients.len() {
            let c = &self.clients[place];
            let Some(conn) = c.conn else { continue };
            let over = match c.ending {
                Some(until) => now >= until,
                None if !c.spoke => now >= c.came + SILENT,
                None => c.first.is_none() && now >= c.used + IDLE,
            };
            if over && (c.ending.is_some() || !core.net().has_unread(conn)) {
                self.shut(core, conn);
            }
        }
    }

    fn accepted(&mut self, core: &mut IngressContext<N>, conn: Conn) {
        let now = core.net().now();
        *self.client(conn) = Client {
            conn: Some(conn),
            came: now,
            used: now,
            ..Client::default()
        };
        self.count_of_clients += 1;
        if self.count_of_clients > self.most {
            self.make_room(core);
        }
    }

    fn received(&mut self, core: &mut IngressContext<N>, conn: Conn, bytes: &[u8]) -> usize {
        let mut used = 0;
        while self.client(conn).conn == Some(conn) && self.client(conn).ending.is_none() {
            let mut ear = Ear {
                door: self,
                core,
                conn,
                broken: None,
            };
            let read = client::read(&bytes[used..], &mut ear);
            let broken = ear.broken;
            match (read, broken) {
                (Ok(Some(len)), None) => used += len,
                (Ok(None), None) => return used,
                (Err(reason), _) => self.fail(core, conn, &reason),
                (_, Some(reason)) => self.fail(core, conn, reason),
            }
        }
        bytes.len()
    }

    fn writable(&mut self, _core: &mut IngressContext<N>, _conn: Conn) {}

    fn closed(&mut self, core: &mut IngressContext<N>, conn: Conn) {
        if self.client(conn).conn == Some(conn) {
            self.gone(core, conn);
            self.forget(conn);
        }
    }

    fn response_started(&mut self, _net: &mut N, _ticket: ReplyHandle, _payload: &[u8]) {}

    /// CANCEL says it.
    fn accepts_late_response(&self) -> bool {
        true
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
        self.client(known.conn).used = net.now();
        self.write(
            net,
            known.conn,
            known.tag,
            answer.disposition,
            answer.retry_after,
            answer.payload,
        );
    }
}
