//! The gateway's door for AMQP 0-9-1. It carries bytes between connections and `tidewall_amqp::server`, turns
//! publishes to the trigger exchange into events, and their answers back. Whom to hold back is decided in
//! `hold_back`, what a repeated message-id means is remembered in `marks`.
pub mod hold_back;
pub mod logins;
pub mod marks;

use hold_back::{HoldBack, Reins, Seen};
use logins::Logins;
use marks::{Known, Mark, Marks};
use slab::Slab;
use tidewall_amqp::codec::FieldValue;
use tidewall_amqp::server::{
    Disposition, FinalAnswer, NotAccepted, Server, ServerActions, ServerConfig, TriggerPublish,
};
use tidewall_config::Section;
use tidewall_gateway::ingress::{IncomingRequest, Ingress, ReplyHandle, Response};
use tidewall_gateway::{ingress, IngressContext};
use tidewall_net::{Conn, Net, Time};
use tracing::{info, warn};

/// How often logins, heartbeats, expirations and the reins are looked at: a hundredth of a second delays nobody who
/// logs in, and costs little.
const LOOK: Time = 100;

/// Deliveries stop while so much waits unsent for a connection: half of the write buffer's bound.
const UNSENT: usize = tidewall_net::buffer::WRITE_BUFFER_LIMIT / 2;

struct User {
    name: String,
    hash: String,
    tenant: Option<usize>,
}

struct Function {
    name: String,
    lanes: u32,
    memory: f64,
    hint: Time,
    load_hint: Time,
}

struct Typ {
    name: String,
    age: Time,
    window: Time,
    /// It may run again without harm, wherever it ran.
    again: bool,
}

/// An event in hand: who waits for its answer.
struct Taken {
    count: u32,
    /// The one that it was taken from, then repeats that joined it.
    waiting: Vec<(u64, Time)>,
    mark: Option<Mark>,
    typ: usize,
}

/// What the server's calls need besides the gateway.
struct Side {
    me: usize,
    users: Vec<User>,
    types: Vec<Typ>,
    functions: Vec<Function>,
    headers: bool,
    logins: Logins,
    refused: Vec<(usize, u64)>,
    marks: Marks,
    taken: Slab<Taken>,
    /// Those that repeats wait for.
    joined: Vec<usize>,
    /// Repeats that are owed their own answer: their event's is not to be had in time.
    late: Vec<u64>,
    count: u32,
    /// By key of a connection: its link.
    links: Vec<u64>,
}

pub struct Amqp {
    server: Server,
    side: Side,
    hold: HoldBack,
    /// By place of a connection: which one, and its key at the server.
    conns: Vec<Option<(u64, usize)>>,
    exceptions: u64,
    ticked: Time,
    seen: Vec<Seen>,
}

/// The gateway's side while the decisions may be called.
struct Full<'a, N: Net> {
    core: &'a mut IngressContext<N>,
    side: &'a mut Side,
}

/// Its net alone: while an answer is on its way out no event can come in.
struct Wires<'a, N: Net>(&'a mut N);

fn room<N: Net>(net: &N, link: u64) -> bool {
    net.unsent(Conn(link)) < UNSENT
}

fn write<N: Net>(net: &mut N, link: u64, bytes: &[u8]) {
    if !net.write(Conn(link), bytes) {
        // One that reads nothing until its buffer is full has lost its deliveries, not its neighbours.
        net.abort(Conn(link));
    }
}

/// The answer to a publish that is not accepted.
fn refused(reason: &'static str) -> NotAccepted {
    NotAccepted {
        disposition: Disposition::Refused,
        reason,
    }
}

impl<N: Net> ServerActions for Wires<'_, N> {
    fn write(&mut self, link: u64, bytes: &[u8]) {
        write(self.0, link, bytes);
    }
    fn is_writable(&self, link: u64) -> bool {
        room(self.0, link)
    }
    fn close(&mut self, link: u64) {
        self.0.close(Conn(link));
    }
    fn authenticate(&mut self, _: usize, _: &str, _: &[u8]) {}
    fn accept_request(&mut self, _: u64, _: &TriggerPublish) -> Result<(), NotAccepted> {
        Err(NotAccepted {
            disposition: Disposition::Rejected,
            reason: "busy",
        })
    }
}

impl<N: Net> ServerActions for Full<'_, N> {
    fn write(&mut self, link: u64, bytes: &[u8]) {
        write(self.core.net(), link, bytes);
    }

    fn is_writable(&self, link: u64) -> bool {
        room(self.core.net_ref(), link)
    }

    fn close(&mut self, link: u64) {
        self.core.net().close(Conn(link));
    }

    fn authenticate(&mut self, conn: usize, user: &str, password: &[u8]) {
        let hash = self
            .side
            .users
            .iter()
            .find(|u| u.name == user)
            .map(|u| u.hash.clone());
        let link = self.side.links[conn];
        if !self.side.logins.check(conn, link, hash, password) {
            self.side.refused.push((conn, link));
        }
    }

    fn accept_request(&mut self, ticket: u64, t: &TriggerPublish) -> Result<(), NotAccepted> {
        let side = &mut *self.side;
        let now = self.core.net().now();
        let (typ, function) = t
            .routing_key
            .split_once('.')
            .ok_or(refused("the routing key is no TYPE.FUNCTION"))?;
        let typ = side
            .types
            .iter()
            .position(|k| k.name == typ)
            .ok_or(refused("unknown event type"))?;
        if function.is_empty() {
            return Err(refused("the routing key names no function"));
        }
        let age = side.types[typ].age;
        let left = match t.properties.expiration {
            "" => age,
            // The server has checked that it is a number.
            text => text
                .parse::<u64>()
                .map_or(age, |ms| ms.saturating_mul(10).min(age)),
        };
        // Its time may have passed before it was read: an answer might come too late, and silence might be wrong.
        let waited = self.core.net().read_delay();
        let left = ingress::remaining_time(left, waited).ok_or(refused(if waited < left {
            "late"
        } else {
            "expired"
        }))?;
        let mark =
            (!t.properties.message_id.is_empty()).then(|| (typ, t.properties.message_id.into()));
        match mark.as_ref().and_then(|m| side.marks.find(now, m)) {
            Some(Known::InHand(key)) => {
                let key = *key;
                side.taken[key].waiting.push((ticket, now + left));
                if !side.joined.contains(&key) {
                    side.joined.push(key);
                }
                return Ok(());
            }
            Some(Known::Answered(word)) => {
                return Err(NotAccepted {
                    disposition: *word,
                    reason: "repeat",
                })
            }
            None => {}
        }
        if mark.is_some() && !side.marks.room() {
            return Err(refused("most-remembered"));
        }
        let user = side.users.iter().find(|u| u.name == t.user);
        let known = side
            .functions
            .iter()
            .find(|f| match f.name.strip_suffix('*') {
                Some(start) => function.starts_with(start),
                None => f.name == function,
            });
        let number = |name: &str| {
            let headers = t.properties.headers.filter(|_| side.headers);
            match headers.and_then(|h| h.get(name)) {
                Some(FieldValue::Signed(v)) if v >= 0 => Some(v as f64),
                Some(FieldValue::Unsigned(v)) => Some(v as f64),
                Some(FieldValue::Float(v)) if v.is_finite() && v >= 0.0 => Some(v),
                _ => None,
            }
        };
        // Times are told in milliseconds; an hour is the most that any setting allows.
        let span = |name: &str| number(name).map(|ms| (ms.min(3.6e6) * 10.0) as Time);
        side.count = side.count.wrapping_add(1);
        let key = side.taken.insert(Taken {
            count: side.count,
            waiting: vec![(ticket, now + left)],
            mark: mark.clone(),
            typ,
        });
        let event = IncomingRequest {
            reply_handle: ReplyHandle {
                ingress: side.me,
                key: key as u64 | u64::from(side.count) << 32,
            },
            // What was published stands, whether its publisher stays or not.
            client: None,
            id: ticket,
            class: typ,
            tenant: user.and_then(|u| u.tenant),
            function,
            lanes: number("x-lanes").map_or(known.map_or(1, |f| f.lanes), |v| {
                v.clamp(1.0, 1000.0) as u32
            }),
            memory: number("x-memory-mb").unwrap_or(known.map_or(0.0, |f| f.memory)),
            cost_hint: span("x-hint-ms").unwrap_or(known.map_or(0, |f| f.hint)),
            load_hint: span("x-load-hint-ms").unwrap_or(known.map_or(0, |f| f.load_hint)),
            remaining: left,
            uncertainty: 0,
            is_retry: t.redelivered,
            idempotency_key: t.properties.message_id.as_bytes(),
            payload: t.body,
        };
        // Clients' ids for logs come from the message, where it has a number for one.
        let event = IncomingRequest {
            id: t.properties.correlation_id.parse().unwrap_or(ticket),
            ..event
        };
        if let Some(mark) = &mark {
            side.marks.take(mark.clone(), key);
        }
        match self.core.admit(&event) {
            Ok(_) => Ok(()),
            Err(reason) => {
                self.side.taken.remove(key);
                if let Some(mark) = mark {
                    self.side.marks.end(now, mark, Disposition::Rejected, 0);
                }
                Err(refused(reason.wire_text()))
            }
        }
    }
}

/// Carries the reins out.
struct Hands<'a, N: Net> {
    core: &'a mut IngressContext<N>,
    server: &'a mut Server,
    side: &'a mut Side,
}

impl<N: Net> Reins for Hands<'_, N> {
    fn pause(&mut self, conn: usize, on: bool) {
        let link = self.side.links[conn];
        self.core.net().set_read_paused(Conn(link), on);
    }

    fn block(&mut self, conn: usize, on: bool, reason: &'static str) {
        let mut full = Full {
            core: self.core,
            side: self.side,
        };
        self.server.set_blocked(&mut full, conn, on, reason);
    }
}

impl Amqp {
    /// `me` is the door's place in its gateway.
    pub fn new(me: usize, settings: &Section) -> Amqp {
        let a = settings.section("amqp");
        let tenants: Vec<String> = settings
            .sections("tenant")
            .iter()
            .map(|t| t.text("name"))
            .collect();
        let mut vhosts = a.strings("vhost");
        if vhosts.is_empty() {
            vhosts.push("/".to_string());
        }
        let queued_most = (a.number("queued_mb") * 1e6) as usize;
        let limits = ServerConfig {
            frame_max: a.integer("frame_max") as u32,
            channel_max: a.integer("channel_max") as u16,
            heartbeat_seconds: a.integer("heartbeat_s") as u16,
            max_body_size: a.integer("body_max"),
            handshake_timeout: a.duration("handshake_ms"),
            max_queued_bytes: queued_most,
            trigger_exchange: a.text("trigger_exchange"),
            dead_letter_exchange: a.text("dead_letter_exchange"),
            virtual_hosts: vhosts,
        };
        let user = |u: &Section| User {
            name: u.text("name"),
            hash: u.text("password_hash"),
            tenant: tenants.iter().position(|t| *t == u.text("tenant")),
        };
        let function = |f: &Section| Function {
            name: f.text("name"),
            lanes: f.integer("lanes") as u32,
            memory: f.number("memory_mb"),
            hint: f.duration("hint_ms"),
            load_hint: f.duration("load_hint_ms"),
        };
        let typ = |t: &Section| Typ {
            name: t.text("name"),
            age: t.duration("max_age_ms"),
            // Answers to types without a window are remembered as long as a client may still ask.
            window: if t.duration("window_ms") > 0 {
                t.duration("window_ms")
            } else {
                t.duration("max_age_ms")
            },
            again: t.enum_value("redelivery") == "REDELIVERABLE",
        };
        let side = Side {
            me,
            users: a.sections("user").iter().map(user).collect(),
            types: settings.sections("event_type").iter().map(typ).collect(),
            functions: a.sections("function").iter().map(function).collect(),
            headers: a.flag("headers"),
            logins: Logins::new(a.integer("logins") as usize),
            refused: Vec::new(),
            marks: Marks::default(),
            taken: Slab::new(),
            joined: Vec::new(),
            late: Vec::new(),
            count: 0,
            links: Vec::new(),
        };
        let hold = HoldBack::new(a.integer("in_hand") as usize, queued_most);
        let server = Server::new(limits);
        Amqp {
            server,
            side,
            hold,
            conns: Vec::new(),
            exceptions: 0,
            ticked: 0,
            seen: Vec::new(),
        }
    }

    /// Repeats that joined an event and whose own time is nearly over get their answer: nothing is promised, whatever
    /// becomes of the event.
    fn impatient<N: Net>(&mut self, core: &mut IngressContext<N>) {
        let now = core.net().now();
        // This look and the next.
        let over = |w: &(u64, Time)| now + 2 * LOOK >= w.1;
        let Side {
            taken,
            joined,
            late,
            ..
        } = &mut self.side;
        joined.retain(|key| {
            let Some(t) = taken.get_mut(*key).filter(|t| t.waiting.len() > 1) else {
                return false;
            };
            late.extend(t.waiting[1..].iter().filter(|w| over(w)).map(|w| w.0));
            let first = t.waiting[0].0;
            t.waiting.retain(|w| w.0 == first || !over(w));
            t.waiting.len() > 1
        });
        if late.is_empty() {
            return;
        }
        for ticket in std::mem::take(late) {
            let answer = FinalAnswer {
                disposition: Disposition::Failed,
                retry_after: 0,
                reason: "in-hand",
                payload: &[],
            };
            self.server
                .complete_request(&mut Wires(core.net()), ticket, answer);
        }
        self.server.flush(&mut Wires(core.net()));
    }

    fn key(&self, conn: Conn) -> Option<usize> {
        self.conns
            .get(conn.index())
            .copied()
            .flatten()
            .filter(|c| c.0 == conn.0)
            .map(|c| c.1)
    }

    fn log(&mut self) {
        if self.server.exception_count() > self.exceptions {
            self.exceptions = self.server.exception_count();
            warn!(
                exception = self.server.last_exception(),
                count = self.exceptions,
                "amqp"
            );
        }
    }

    /// All who wait for an event get its answer.
    fn tell<N: Net>(
        &mut self,
        net: &mut N,
        ticket: ReplyHandle,
        word: Disposition,
        come_back: Time,
        reason: &str,
        payload: &[u8],
    ) {
        let (key, count) = (
            (ticket.key & 0xffff_ffff) as usize,
            (ticket.key >> 32) as u32,
        );
        if self.side.taken.get(key).is_none_or(|t| t.count != count) {
            return;
        }
        let taken = self.side.taken.remove(key);
        let now = net.now();
        self.server.advance_clock(now);
        if let Some(mark) = taken.mark {
            let window = self.side.types[taken.typ].window;
            self.side.marks.end(now, mark, word, window);
        }
        for (waiting, until) in taken.waiting {
            if now > until {
                // One that joined, and whose time passed in a standstill.
                self.server.abandon_request(waiting);
                continue;
            }
            let answer = FinalAnswer {
                disposition: word,
                retry_after: come_back,
                reason,
                payload,
            };
            self.server
                .complete_request(&mut Wires(net), waiting, answer);
        }
        self.server.flush(&mut Wires(net));
    }
}

impl<N: Net> Ingress<N> for Amqp {
    fn started(&mut self, core: &mut IngressContext<N>) {
        core.set_ingress_timer(self.side.me, LOOK);
    }

    fn accepted(&mut self, core: &mut IngressContext<N>, conn: Conn) {
        self.server.advance_clock(core.net().now());
        let key = self.server.connection_accepted(conn.0);
        if self.conns.len() <= conn.index() {
            self.conns.resize(conn.index() + 1, None);
        }
        self.conns[conn.index()] = Some((conn.0, key));
        if self.side.links.len() <= key {
            self.side.links.resize(key + 1, 0);
        }
        self.side.links[key] = conn.0;
        self.hold.gone(key);
    }

    fn received(&mut self, core: &mut IngressContext<N>, conn: Conn, bytes: &[u8]) -> usize {
        let Some(key) = self.key(conn) else {
            return bytes.len();
        };
        self.server.advance_clock(core.net().now());
        let used = self.server.receive(
            &mut Full {
                core,
                side: &mut self.side,
            },
            key,
            bytes,
        );
        let debts = self.server.pending_requests_of(key);
        let mut hands = Hands {
            core,
            server: &mut self.server,
            side: &mut self.side,
        };
        self.hold.read(&mut hands, key, debts);
        self.log();
        used
    }

    fn writable(&mut self, core: &mut IngressContext<N>, conn: Conn) {
        if let Some(key) = self.key(conn) {
            self.server.advance_clock(core.net().now());
            self.server.connection_writable(
                &mut Full {
                    core,
                    side: &mut self.side,
                },
                key,
            );
        }
    }

    /// What it published goes on: a terminal that comes back asks with the same message-id.
    fn closed(&mut self, core: &mut IngressContext<N>, conn: Conn) {
        if let Some(key) = self.key(conn) {
            self.conns[conn.index()] = None;
            self.server.advance_clock(core.net().now());
            self.server.connection_closed(key);
            self.hold.gone(key);
            self.server.flush(&mut Full {
                core,
                side: &mut self.side,
            });
        }
    }

    fn response_started(&mut self, _net: &mut N, _ticket: ReplyHandle, _payload: &[u8]) {}

    fn respond(&mut self, net: &mut N, ticket: ReplyHandle, answer: &Response) {
        let word = match answer.disposition {
            ingress::Disposition::Completed => Disposition::Completed,
            ingress::Disposition::Rejected => Disposition::Rejected,
            ingress::Disposition::Failed => Disposition::Failed,
        };
        self.tell(
            net,
            ticket,
            word,
            answer.retry_after,
            answer.reason,
            answer.payload,
        );
    }

    fn request_expired(&mut self, now: Time, ticket: ReplyHandle) {
        // Its time passed while this process stood still: nobody is told. It may have run: the mark is free for another try
        // only where that does no harm, and a repeat is told that nothing is promised.
        let (key, count) = (
            (ticket.key & 0xffff_ffff) as usize,
            (ticket.key >> 32) as u32,
        );
        if self.side.taken.get(key).is_some_and(|t| t.count == count) {
            let taken = self.side.taken.remove(key);
            if let Some(mark) = taken.mark {
                let typ = &self.side.types[taken.typ];
                let word = if typ.again {
                    Disposition::Rejected
                } else {
                    Disposition::Failed
                };
                self.side.marks.end(now, mark, word, typ.window);
            }
            for (ticket, until) in taken.waiting {
                // A repeat may have more time than the event that it joined.
                if now < until {
                    self.side.late.push(ticket);
                } else {
                    self.server.abandon_request(ticket);
                }
            }
        }
    }

    fn timer_fired(&mut self, core: &mut IngressContext<N>) {
        core.set_ingress_timer(self.side.me, LOOK);
        let now = core.net().now();
        self.server.advance_clock(now);
        self.impatient(core);
        let mut full = Full {
            core,
            side: &mut self.side,
        };
        while let Some((conn, link, good)) = full.side.logins.done() {
            self.server
                .authentication_finished(&mut full, conn, link, good);
        }
        for (conn, link) in std::mem::take(&mut full.side.refused) {
            self.server
                .authentication_finished(&mut full, conn, link, false);
        }
        // Heartbeats and expirations are counted in tenths of a second at the finest; the reins are looked at as
        // seldom while nobody waits to be released, so that thousands of idle connections cost little.
        let tick = now >= self.ticked + 10 * LOOK;
        if !tick && !self.hold.holds() {
            return self.log();
        }
        if tick {
            self.ticked = now;
            self.server.tick(&mut full);
            if core.is_draining() {
                info!(
                    connections = self.server.connection_count(),
                    waiting = self.server.pending_request_count(),
                    "amqp drains"
                );
            }
        }
        self.seen.clear();
        for (_, key) in self.conns.iter().flatten() {
            let tenant = self
                .server
                .user(*key)
                .and_then(|u| self.side.users.iter().position(|k| k.name == u));
            let tenant = tenant
                .and_then(|u| self.side.users[u].tenant)
                .map_or(0, |t| t + 1);
            self.seen.push(Seen {
                conn: *key,
                tenant,
                debts: self.server.pending_requests_of(*key),
            });
        }
        let (queued, held) = (self.server.queued_bytes(), core.in_flight());
        let mut hands = Hands {
            core,
            server: &mut self.server,
            side: &mut self.side,
        };
        self.hold.look(&mut hands, &self.seen, queued, held);
        self.log();
    }
}
