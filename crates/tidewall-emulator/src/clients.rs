//! Emulated clients behind a simple load balancer: open-loop arrivals drawn with the seed, independent of the
//! responses, client timeouts, retries where those are harmless, and a balancer that keeps sending to a
//! failed gateway for a while.
use crate::terminal::{Heard, Terminal};
use crate::workers::mark;
use crate::{of, Ground, Owner};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tidewall_audit::rows::{Kind, Row, TRIES};
use tidewall_config::Section;
use tidewall_net::{Conn, Net, Time, TimerId};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame};

/// Counts of what the clients observed.
#[derive(Clone, Debug)]
pub struct Results {
    pub events: u64,
    pub tries: u64,
    pub handled: u64,
    pub deferred: u64,
    pub dead_lettered: u64,
    pub lapsed: u64,
    pub turned_away: u64,
    pub broken: u64,
    pub unreachable: u64,
    /// By request type: requests handled within the target time, handled later, and sent.
    pub good: Vec<u64>,
    pub late: Vec<u64>,
    pub asked: Vec<u64>,
    pub benefit: Vec<f64>,
    pub names: Vec<String>,
    /// Confirms that contradict the response: an ack without a handled response, or a nack with one.
    pub confirms_wrong: u64,
    pub confirms: u64,
    /// Requests that were sent again after their connection broke.
    pub asked_again: u64,
    /// Requests whose AMQP client closed the channel or connection, or stopped reading.
    pub let_go: u64,
    /// Duplicate publishes by a second AMQP client.
    pub twins: u64,
    /// Extra logins that were accepted.
    pub guests: u64,
    /// Extra logins that were refused or broke.
    pub guests_refused: u64,
    /// Time from a request's arrival to the response that it was handled, in tenths of a millisecond.
    pub latency: Histogram<u64>,
}

impl Results {
    /// Benefit of requests handled within the target time, divided by the benefit of all requests.
    pub fn service(&self) -> f64 {
        let sum = |counts: &[u64]| -> f64 {
            counts
                .iter()
                .zip(&self.benefit)
                .map(|(n, b)| *n as f64 * b)
                .sum()
        };
        sum(&self.good) / sum(&self.asked).max(1e-9)
    }
}

struct Typ {
    name: String,
    target: Time,
    age: Time,
    benefit: f64,
    redelivery: String,
    all: bool,
}

struct Event {
    number: u64,
    program: usize,
    work: f64,
    due: Time,
    tries: u64,
    tenant: usize,
    /// Gateway and connection of the current attempt.
    at: Option<(usize, usize)>,
    sent: bool,
    deadline: Option<TimerId>,
    /// When the client of the current attempt gives up.
    ends: Time,
    leaves: Option<TimerId>,
    /// Gateway that the next attempt goes to, with its count of broken connections: if that has changed, the
    /// process may be another one.
    stick: Option<(usize, u64)>,
    stuck: bool,
    /// A duplicate of another request, published by a second client: it is not retried, and left out of the
    /// results.
    twin: bool,
    /// Whether the current attempt was sent. To a failover pair it is sent again on the next open connection.
    asked: bool,
}

/// What one AMQP client received, collected until all bytes are decoded.
#[derive(Default)]
struct Told {
    ready: bool,
    answers: Vec<(u64, String, u64)>,
    confirms: Vec<(u64, bool)>,
}

impl Heard for Told {
    fn ready(&mut self) {
        self.ready = true;
    }
    fn answer(&mut self, evt: u64, word: &str, come_back: u64) {
        self.answers.push((evt, word.to_string(), come_back));
    }
    fn confirmed(&mut self, evt: u64, good: bool) {
        self.confirms.push((evt, good));
    }
}

struct Gateway {
    name: String,
    terminals: Vec<Terminal>,
    at: SocketAddr,
    conns: Vec<(Option<Conn>, bool)>,
    turn: usize,
    /// Since when no connection is open.
    down: Option<Time>,
    /// Connections that the clients did not break: the gateway may have been restarted since.
    broken: u64,
    /// Connections that the clients broke themselves.
    cut: Vec<bool>,
}

/// An extra AMQP connection that logs in and sends no requests.
struct Guest {
    conn: Conn,
    terminal: Terminal,
}

pub struct Clients {
    types: Vec<Typ>,
    tenants: Vec<String>,
    gateways: Vec<Gateway>,
    rate: f64,
    retries: u64,
    wait: Time,
    patience: f64,
    front: Time,
    payload: usize,
    /// Used for arrivals only, so that they do not depend on what happens to requests.
    arrivals: ChaCha8Rng,
    events: Slab<Event>,
    count: u64,
    /// Remaining rounds for which arrivals may wait until all gateways are connected.
    rounds: u32,
    /// When the next arrival is due, in fractional tenths of a millisecond: computed from the previous due
    /// time, so that a late wake-up does not lower the rate.
    due: f64,
    /// Whether the clients publish over AMQP.
    pub amqp: bool,
    /// Whether the response was `handled`, by request id, until the confirm arrives.
    words: BTreeMap<u64, bool>,
    pub until: Time,
    /// Whether the gateway is a failover pair behind one address: unanswered requests are sent again, and a
    /// gateway with an older epoch is refused.
    pair: bool,
    epoch: u64,
    /// Times from the end of the last open connection to the next connection.
    pub pauses: Vec<Time>,
    pub burst: f64,
    pub heavy: f64,
    /// Whether AMQP clients publish each request twice.
    pub twice: bool,
    /// Factor by which the clients' clocks are wrong.
    pub skew: f64,
    guests: Slab<Guest>,
    /// One in this many clients abandons its request early.
    pub impatient: u32,
    pub results: Results,
}

/// Delay before a reconnect.
const AGAIN: Time = 1_000;

/// Delay before a reconnect to a failover pair: short, so that a takeover costs clients little more than it
/// takes.
const SOON: Time = 50;

/// One in this many clients abandons its request early, after a third of its timeout.
const IMPATIENT: u32 = 100;

impl Clients {
    pub fn new<N: Net>(
        g: &mut Ground<N>,
        settings: &Section,
        fleet: &Section,
        seed: u64,
        amqp: bool,
    ) -> Clients {
        let c = fleet.section("clients");
        let types: Vec<Typ> = settings
            .sections("event_type")
            .iter()
            .map(|t| Typ {
                name: t.text("name"),
                target: t.duration("target_time_ms"),
                age: t.duration("max_age_ms"),
                benefit: t.number("benefit"),
                redelivery: t.enum_value("redelivery"),
                all: t.enum_value("group") == "ALL",
            })
            .collect();
        let gateway = |s: &Section| Gateway {
            name: s.text("name"),
            terminals: (0..c.integer("connections"))
                .map(|_| Terminal::default())
                .collect(),
            at: s
                .text(if amqp { "amqp_address" } else { "address" })
                .parse()
                .expect("checked"),
            conns: vec![(None, false); c.integer("connections") as usize],
            turn: 0,
            down: Some(g.net.now()),
            broken: 0,
            cut: vec![false; c.integer("connections") as usize],
        };
        let zeros = vec![0; types.len()];
        Clients {
            tenants: settings
                .sections("tenant")
                .iter()
                .map(|t| t.text("name"))
                .collect(),
            gateways: settings.sections("gateway").iter().map(gateway).collect(),
            rate: c.number("rate"),
            retries: c.integer("retries"),
            wait: c.duration("wait_ms"),
            patience: c.number("patience"),
            front: c.duration("front_ms"),
            payload: c.integer("payload") as usize,
            arrivals: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed_0a11),
            events: Slab::new(),
            count: 0,
            rounds: 100,
            due: 0.0,
            amqp,
            words: BTreeMap::new(),
            until: Time::MAX,
            pair: settings.has("pair"),
            epoch: 0,
            pauses: Vec::new(),
            burst: 1.0,
            heavy: 1.0,
            twice: false,
            skew: 1.0,
            guests: Slab::new(),
            impatient: IMPATIENT,
            results: Results {
                events: 0,
                tries: 0,
                handled: 0,
                deferred: 0,
                dead_lettered: 0,
                lapsed: 0,
                turned_away: 0,
                broken: 0,
                unreachable: 0,
                confirms_wrong: 0,
                confirms: 0,
                asked_again: 0,
                let_go: 0,
                twins: 0,
                guests: 0,
                guests_refused: 0,
                good: zeros.clone(),
                late: zeros.clone(),
                asked: zeros,
                benefit: types.iter().map(|t| t.benefit).collect(),
                names: types.iter().map(|t| t.name.clone()).collect(),
                // One hour, with three significant digits.
                latency: Histogram::new_with_bounds(1, 36_000_000, 3).expect("the bounds are good"),
            },
            types,
        }
    }

    pub fn gateways(&self) -> usize {
        self.gateways.len()
    }

    pub fn start<N: Net>(&mut self, g: &mut Ground<N>) {
        for gw in 0..self.gateways.len() {
            (0..self.gateways[gw].conns.len()).for_each(|n| self.connect(g, gw, n));
        }
        // The arrivals start after the connections had time to open.
        let now = g.net.now();
        g.net.set_timer(now + 2 * AGAIN, of::NEXT);
    }

    pub fn connect<N: Net>(&mut self, g: &mut Ground<N>, gw: usize, n: usize) {
        let conn = g.net.connect(
            self.gateways[gw].at,
            if self.pair { AGAIN / 2 } else { AGAIN },
        );
        g.own(conn, Owner::Client { gw, n });
        self.gateways[gw].conns[n] = (Some(conn), false);
    }

    pub fn connected<N: Net>(&mut self, g: &mut Ground<N>, gw: usize, n: usize) {
        g.out.clear();
        if self.amqp {
            self.gateways[gw].terminals[n].connected(&mut g.out);
            if let Some(conn) = self.gateways[gw].conns[n].0 {
                g.net.write(conn, &g.out);
            }
            return;
        }
        wire::hello(
            &mut g.out,
            "client",
            &format!("{}-{n}", self.gateways[gw].name),
            1,
        );
        if let Some(conn) = self.gateways[gw].conns[n].0 {
            g.net.write(conn, &g.out);
        }
    }

    pub fn closed<N: Net>(&mut self, g: &mut Ground<N>, gw: usize, n: usize) {
        let now = g.net.now();
        let gateway = &mut self.gateways[gw];
        gateway.conns[n] = (None, false);
        let cut = std::mem::take(&mut gateway.cut[n]);
        gateway.broken += u64::from(!cut);
        if gateway.down.is_none() && gateway.conns.iter().all(|c| !c.1) {
            gateway.down = Some(now);
            if self.pair {
                g.row(Row {
                    k: Kind::Away,
                    gw,
                    ..Row::default()
                });
            }
        }
        let again = if self.pair { SOON } else { AGAIN };
        g.net
            .set_timer(now + again, of::CONNECT | (gw as u64) << 32 | n as u64);
        if cut {
            return self.let_go(g, gw, n);
        }
        if self.pair {
            self.events
                .iter_mut()
                .filter(|e| e.1.at == Some((gw, n)))
                .for_each(|e| e.1.sent = false);
            return;
        }
        let out: Vec<usize> = self
            .events
            .iter()
            .filter(|e| e.1.at == Some((gw, n)) && e.1.sent)
            .map(|e| e.0)
            .collect();
        for key in out {
            let evt = self.id(key);
            g.row(Row {
                k: Kind::Broke,
                evt,
                gw,
                ..Row::default()
            });
            self.results.broken += 1;
            // The request may have been executed, so it is retried only where a repeat is harmless.
            let harmless = self.harmless(g.programs[self.events[key].program].typ);
            self.over(g, key, harmless, 0);
        }
    }

    /// An AMQP client no longer waits on this connection, by its own doing: records its unanswered requests
    /// as given up, and retries them with the same message-id.
    fn let_go<N: Net>(&mut self, g: &mut Ground<N>, gw: usize, n: usize) {
        let out: Vec<usize> = self
            .events
            .iter()
            .filter(|e| e.1.at == Some((gw, n)) && e.1.sent)
            .map(|e| e.0)
            .collect();
        for key in out {
            let evt = self.id(key);
            g.row(Row {
                k: Kind::Left,
                evt,
                gw,
                ..Row::default()
            });
            self.results.let_go += 1;
            (self.events[key].stick, self.events[key].stuck) =
                (Some((gw, self.gateways[gw].broken)), true);
            self.over(g, key, true, 0);
        }
    }

    /// Breaks an AMQP client's connection at a random byte of a publish.
    pub fn cut<N: Net>(&mut self, g: &mut Ground<N>, gw: usize, n: usize) {
        let Some(conn) = self.gateways[gw].conns[n]
            .0
            .filter(|_| self.gateways[gw].conns[n].1)
        else {
            return;
        };
        g.out.clear();
        let program = &g.programs[0];
        let key = format!("{}.{}", self.types[program.typ].name, program.name);
        self.gateways[gw].terminals[n].publish(
            &mut g.out,
            u64::MAX,
            &key,
            1,
            u64::MAX,
            false,
            &[0; 64],
        );
        let part = g.chance.random_range(0..g.out.len());
        g.net.write(conn, &g.out[..part]);
        self.gateways[gw].cut[n] = true;
        g.net.abort(conn);
    }

    /// Closes an AMQP client's channel with requests in flight on it.
    pub fn close_channel<N: Net>(&mut self, g: &mut Ground<N>, gw: usize, n: usize) {
        let Some(conn) = self.gateways[gw].conns[n]
            .0
            .filter(|_| self.gateways[gw].conns[n].1)
        else {
            return;
        };
        g.out.clear();
        self.gateways[gw].terminals[n].close_channel(&mut g.out);
        g.net.write(conn, &g.out);
        self.gateways[gw].conns[n].1 = false;
        self.let_go(g, gw, n);
    }

    /// Makes an AMQP client stop reading.
    pub fn slow<N: Net>(&mut self, g: &mut Ground<N>, gw: usize, n: usize) {
        let Some(conn) = self.gateways[gw].conns[n]
            .0
            .filter(|_| self.gateways[gw].conns[n].1)
        else {
            return;
        };
        g.net.set_read_paused(conn, true);
        self.gateways[gw].conns[n].1 = false;
        self.let_go(g, gw, n);
    }

    /// Breaks the connection of an AMQP client that stopped reading.
    pub fn slow_over<N: Net>(&mut self, g: &mut Ground<N>, gw: usize, n: usize) {
        if let Some(conn) = self.gateways[gw].conns[n].0 {
            self.gateways[gw].cut[n] = true;
            g.net.abort(conn);
        }
    }

    /// Open connections, as (gateway, connection).
    pub fn lines(&self) -> Vec<(usize, usize)> {
        let each = |gw: usize| (0..self.gateways[gw].conns.len()).map(move |n| (gw, n));
        (0..self.gateways.len())
            .flat_map(each)
            .filter(|(gw, n)| self.gateways[*gw].conns[*n].1)
            .collect()
    }

    /// Logs in `count` extra AMQP clients at once, each with a queue of `hoard` messages that it never acks
    /// (0 for none).
    pub fn guests<N: Net>(&mut self, g: &mut Ground<N>, count: usize, hoard: u64) {
        for i in 0..count {
            let conn = g
                .net
                .connect(self.gateways[i % self.gateways.len()].at, 100 * AGAIN);
            let key = self.guests.insert(Guest {
                conn,
                terminal: Terminal::hoarder(hoard),
            });
            g.own(conn, Owner::Guest(key));
        }
    }

    pub fn guests_go<N: Net>(&mut self, g: &mut Ground<N>) {
        for guest in std::mem::take(&mut self.guests) {
            g.own(guest.1.conn, Owner::Nobody);
            g.net.reset(guest.1.conn);
        }
    }

    pub fn guest_there<N: Net>(&mut self, g: &mut Ground<N>, key: usize) {
        g.out.clear();
        self.guests[key].terminal.connected(&mut g.out);
        g.net.write(self.guests[key].conn, &g.out);
    }

    pub fn guest_gone(&mut self, key: usize) {
        self.results.guests_refused += 1;
        self.guests.remove(key);
    }

    pub fn guest<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        key: usize,
        bytes: &[u8],
    ) -> Result<usize, String> {
        let (mut told, mut out, mut used) = (Told::default(), Vec::new(), 0);
        loop {
            let one = self.guests[key]
                .terminal
                .frame(&bytes[used..], &mut out, &mut told)?;
            if one == 0 {
                break;
            }
            used += one;
        }
        self.results.guests += u64::from(told.ready);
        if !out.is_empty() {
            g.net.write(self.guests[key].conn, &out);
        }
        Ok(used)
    }

    fn id(&self, key: usize) -> u64 {
        let e = &self.events[key];
        e.number * TRIES + e.tries - 1
    }

    /// The connection can take requests.
    fn ready<N: Net>(&mut self, g: &mut Ground<N>, gw: usize, n: usize) {
        self.gateways[gw].conns[n].1 = true;
        let since = self.gateways[gw].down.take();
        if let Some(since) = since.filter(|_| self.pair) {
            self.pauses.push(g.net.now() - since);
            g.row(Row {
                k: Kind::Back,
                gw,
                ..Row::default()
            });
        }
        if self.pair {
            self.ask_again(g, gw, n);
        }
    }

    /// Sends unanswered requests again, with the same id and idempotency key.
    fn ask_again<N: Net>(&mut self, g: &mut Ground<N>, gw: usize, n: usize) {
        let now = g.net.now();
        let out: Vec<usize> = self
            .events
            .iter()
            .filter(|e| !e.1.sent && e.1.deadline.is_some())
            .map(|e| e.0)
            .collect();
        for key in out {
            let left = self.events[key].ends.saturating_sub(now);
            if left > 0 {
                self.ask(g, key, (gw, n), left);
            }
        }
    }

    /// Handles the arrivals that are due, and sets the timer for the next one.
    pub fn next<N: Net>(&mut self, g: &mut Ground<N>) {
        let now = g.net.now();
        if now >= self.until {
            return;
        }
        if self.rounds > 0 {
            self.rounds -= 1;
            if self.gateways.iter().all(|gw| gw.conns.iter().any(|c| c.1)) {
                self.rounds = 0;
            }
            g.net.set_timer(now + AGAIN, of::NEXT);
            return;
        }
        if self.due == 0.0 {
            self.due = now as f64;
        }
        while self.due <= now as f64 {
            self.arrival(g, self.due as Time);
            let gap: f64 = Exp1.sample(&mut self.arrivals);
            self.due += gap / (self.rate * self.burst) * 10_000.0;
        }
        g.net
            .set_timer((self.due.ceil() as Time).max(now + 1), of::NEXT);
    }

    fn arrival<N: Net>(&mut self, g: &mut Ground<N>, due: Time) {
        let draw: f64 = self.arrivals.random();
        let program = g
            .programs
            .partition_point(|p| p.upto < draw)
            .min(g.programs.len() - 1);
        // Work varies by about a third around its mean, as in functions whose input varies.
        let spread: f64 = LogNormal::new(-0.05, 0.32)
            .expect("good")
            .sample(&mut self.arrivals);
        let tenant = if self.tenants.is_empty() {
            0
        } else {
            self.arrivals.random_range(0..self.tenants.len())
        };
        self.count += 1;
        let event = Event {
            number: self.count,
            program,
            work: g.programs[program].work * spread * self.heavy,
            due,
            tries: 0,
            tenant,
            at: None,
            sent: false,
            deadline: None,
            ends: 0,
            leaves: None,
            stick: None,
            stuck: false,
            twin: false,
            asked: false,
        };
        let key = self.events.insert(event);
        self.results.events += 1;
        self.results.asked[g.programs[program].typ] += 1;
        self.again(g, key);
    }

    /// Starts one attempt of a client at a request.
    pub fn again<N: Net>(&mut self, g: &mut Ground<N>, key: usize) {
        let now = g.net.now();
        let typ = g.programs[self.events[key].program].typ;
        let ends = self.events[key].due + self.types[typ].age;
        let left =
            ((self.types[typ].age as f64 * self.patience) as Time).min(ends.saturating_sub(now));
        // A client with a wrong clock uses and sends another timeout.
        let left = ((left as f64 * self.skew) as Time).min(self.types[typ].age);
        // A request that its AMQP client gave up may be sent again to the same process, which knows it, or
        // where a repeat is harmless.
        let stick = self.events[key]
            .stick
            .take()
            .filter(|s| self.gateways[s.0].broken == s.1);
        let unknown = self.events[key].stuck && stick.is_none() && !self.harmless(typ);
        if left < 10 || unknown {
            self.events.remove(key);
            return;
        }
        self.events[key].tries += 1;
        self.results.tries += 1;
        // The balancer draws uniformly, and skips a gateway only after it has been down for `front`.
        let open = |gw: &Gateway, front: Time| gw.down.is_none_or(|since| now < since + front);
        let fit: Vec<usize> = (0..self.gateways.len())
            .filter(|gw| open(&self.gateways[*gw], self.front))
            .collect();
        let gw = if fit.is_empty() {
            0
        } else {
            fit[g.chance.random_range(0..fit.len())]
        };
        let gw = stick.map_or(gw, |s| s.0);
        let gateway = &mut self.gateways[gw];
        gateway.turn += 1;
        let ready: Vec<usize> = (0..gateway.conns.len())
            .filter(|n| gateway.conns[*n].1)
            .collect();
        if ready.is_empty() && self.pair {
            // The attempt waits for a connection until its client gives up.
            let e = &mut self.events[key];
            (e.ends, e.asked, e.sent, e.at) = (now + left, false, false, Some((gw, usize::MAX)));
            let late = g
                .net
                .set_timer(now + left + tidewall_audit::GRACE, of::LATE | key as u64);
            self.events[key].deadline = Some(late);
            return;
        }
        if ready.is_empty() {
            self.results.unreachable += 1;
            self.events[key].stick = stick;
            return self.over(g, key, true, 0);
        }
        let n = ready[gateway.turn % ready.len()];
        let other = ready[(gateway.turn + 1) % ready.len()];
        let ends = now + left;
        (self.events[key].ends, self.events[key].asked) = (ends, false);
        self.events[key].deadline = Some(
            g.net
                .set_timer(ends + tidewall_audit::GRACE, of::LATE | key as u64),
        );
        // AMQP has no message to abandon a request.
        if g.chance.random_ratio(1, self.impatient) && !self.amqp && !self.pair {
            self.events[key].leaves = Some(g.net.set_timer(now + left / 3, of::LEAVE | key as u64));
        }
        self.ask(g, key, (gw, n), left);
        if self.twice && self.amqp && other != n && self.events.get(key).is_some_and(|e| e.sent) {
            self.twin(g, key, (gw, other), left);
        }
    }

    /// Sends an attempt on a connection; its client gives up after `left`.
    fn ask<N: Net>(&mut self, g: &mut Ground<N>, key: usize, (gw, n): (usize, usize), left: Time) {
        let Some(conn) = self.gateways[gw].conns[n].0 else {
            return;
        };
        let (evt, program) = (self.id(key), &g.programs[self.events[key].program]);
        let typ = program.typ;
        let e = &mut self.events[key];
        let mut payload = vec![0; self.payload.max(4)];
        payload[..4].copy_from_slice(&(e.work.ceil() as u32).to_be_bytes());
        g.out.clear();
        if self.amqp {
            let key = format!("{}.{}", self.types[typ].name, program.name);
            let (left, resent) = (left / 10, e.tries > 1 || e.asked);
            self.gateways[gw].terminals[n].publish(
                &mut g.out,
                evt,
                &key,
                left,
                mark(evt),
                resent,
                &payload,
            );
        } else {
            let f = Frame::new(&mut g.out, kind::EVENT).whole(Field::Id, evt);
            let f = f
                .text(Field::Type, &self.types[typ].name)
                .text(Field::Function, &program.name);
            let f = f.text(
                Field::Tenant,
                self.tenants.get(e.tenant).map_or("", String::as_str),
            );
            let f = f
                .whole(Field::Lanes, u64::from(program.lanes))
                .real(Field::Memory, program.memory);
            let f = f
                .whole(Field::Hint, program.work as u64)
                .whole(Field::LoadHint, program.fetch + program.start);
            let f = f
                .whole(Field::Left, left)
                .bytes(Field::Mark, &mark(evt).to_be_bytes());
            f.flag(Field::Resent, e.tries > 1 || e.asked)
                .bytes(Field::Payload, &payload)
                .end();
        }
        (e.at, e.sent) = (Some((gw, n)), true);
        let again = std::mem::replace(&mut e.asked, true);
        // Recorded before it is sent, so that no launch of it can be recorded first.
        let k = if again { Kind::AskedAgain } else { Kind::Asked };
        g.row(Row {
            k,
            evt,
            gw,
            typ,
            left,
            ..Row::default()
        });
        self.results.asked_again += u64::from(again);
        if !g.net.write(conn, &g.out) {
            if self.pair {
                self.events[key].sent = false;
                return;
            }
            g.row(Row {
                k: Kind::TurnedAway,
                evt,
                gw,
                ..Row::default()
            });
            self.over(g, key, true, 0);
        }
    }

    /// Publishes the request again as another AMQP client of the gateway, with the same message-id.
    fn twin<N: Net>(&mut self, g: &mut Ground<N>, of: usize, (gw, n): (usize, usize), left: Time) {
        let now = g.net.now();
        let e = &self.events[of];
        if e.tries >= TRIES
            || self
                .events
                .iter()
                .any(|t| t.1.twin && t.1.number == e.number)
        {
            return;
        }
        let (typ, program) = (g.programs[e.program].typ, &g.programs[e.program]);
        let mut payload = vec![0; self.payload.max(4)];
        payload[..4].copy_from_slice(&(e.work.ceil() as u32).to_be_bytes());
        let at = Some((gw, n));
        let twin = Event {
            tries: TRIES,
            at,
            sent: true,
            deadline: None,
            leaves: None,
            twin: true,
            ..*e
        };
        let key = self.events.insert(twin);
        let evt = self.id(key);
        g.out.clear();
        let name = format!("{}.{}", self.types[typ].name, program.name);
        self.gateways[gw].terminals[n].publish(
            &mut g.out,
            evt,
            &name,
            left / 10,
            mark(evt),
            false,
            &payload,
        );
        let late = g
            .net
            .set_timer(now + left + tidewall_audit::GRACE, of::LATE | key as u64);
        self.events[key].deadline = Some(late);
        self.results.twins += 1;
        g.row(Row {
            k: Kind::Asked,
            evt,
            gw,
            typ,
            left,
            ..Row::default()
        });
        if let Some(conn) = self.gateways[gw].conns[n].0 {
            g.net.write(conn, &g.out);
        }
    }

    /// Whether a repeat is harmless: the type is redeliverable, or keyed with a scope of all workers.
    fn harmless(&self, typ: usize) -> bool {
        let typ = &self.types[typ];
        typ.redelivery == "REDELIVERABLE" || typ.redelivery == "KEYED" && typ.all
    }

    /// Ends the current attempt, and retries if `again` is set, retries are left and the request is young
    /// enough.
    fn over<N: Net>(&mut self, g: &mut Ground<N>, key: usize, again: bool, come_back: Time) {
        let now = g.net.now();
        let e = &mut self.events[key];
        (e.at, e.sent) = (None, false);
        for d in [e.deadline.take(), e.leaves.take()].into_iter().flatten() {
            g.net.cancel_timer(d);
        }
        let typ = &self.types[g.programs[e.program].typ];
        let wait = self.wait.max(come_back);
        if again
            && !e.twin
            && e.tries <= self.retries
            && now + wait < e.due + typ.age
            && now < self.until.max(e.due)
        {
            g.net.set_timer(now + wait, of::RETRY | key as u64);
        } else {
            self.events.remove(key);
        }
    }

    pub fn frame<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        gw: usize,
        n: usize,
        fields: &Fields,
    ) -> Result<(), String> {
        match fields.kind()? {
            kind::HELLO => {
                wire::greeted(fields)?;
                let epoch = fields.upto(Field::Epoch, u64::MAX, 0)?;
                if epoch < self.epoch {
                    return Err(format!("field epoch: {epoch} is older than {}", self.epoch));
                }
                self.epoch = epoch;
                self.ready(g, gw, n);
                Ok(())
            }
            kind::ANSWER => {
                let (evt, word) = (fields.whole(Field::Id)?, fields.text(Field::Word)?);
                let come_back = fields.upto(Field::ComeBack, 1 << 30, 0)?;
                if self.pair && word == "turned-away" && fields.word(Field::Reason)? == "draining" {
                    // The other member serves: closing the connection makes the client connect to it.
                    return Err("another member serves".to_string());
                }
                self.answer(g, gw, evt, word, come_back)
            }
            kind::BEGUN => Ok(()),
            kind::ERROR => Err(format!("the gateway told: {}", fields.text(Field::Reason)?)),
            other => Err(format!("field kind: {other} is not for a client")),
        }
    }

    /// Decodes the bytes that an AMQP client received.
    pub fn terminal<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        gw: usize,
        n: usize,
        bytes: &[u8],
    ) -> Result<usize, String> {
        let (mut told, mut out, mut used) = (Told::default(), Vec::new(), 0);
        loop {
            let one = self.gateways[gw].terminals[n].frame(&bytes[used..], &mut out, &mut told)?;
            if one == 0 {
                break;
            }
            used += one;
        }
        if let Some(conn) = self.gateways[gw].conns[n].0.filter(|_| !out.is_empty()) {
            g.net.write(conn, &out);
        }
        if told.ready {
            self.ready(g, gw, n);
        }
        for (evt, word, come_back) in told.answers {
            self.words.insert(evt, word == "handled");
            self.answer(g, gw, evt, &word, come_back)?;
        }
        for (evt, good) in told.confirms {
            self.results.confirms += 1;
            // A nack without a response is right: the request's time had passed.
            let handled = self.words.remove(&evt) == Some(true);
            self.results.confirms_wrong += u64::from(handled != good);
        }
        Ok(used)
    }

    fn answer<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        gw: usize,
        evt: u64,
        word: &str,
        come_back: Time,
    ) -> Result<(), String> {
        let deferred = word == "deferred";
        let kind = if word == "turned-away" {
            Kind::TurnedAway
        } else {
            Kind::Answered
        };
        g.row(Row {
            k: kind,
            evt,
            gw,
            deferred,
            ..Row::default()
        });
        let found = self
            .events
            .iter()
            .find(|e| e.1.sent && e.1.number * TRIES + e.1.tries - 1 == evt);
        let Some(key) = found.map(|e| e.0) else {
            return Ok(());
        };
        let typ = g.programs[self.events[key].program].typ;
        match word {
            "handled" | "deferred" | "dead-lettered" if self.events[key].twin => {
                self.over(g, key, false, 0)
            }
            "handled" => {
                let took = g.net.now() - self.events[key].due;
                self.results.handled += 1;
                self.results.latency.saturating_record(took.max(1));
                let list = if took <= self.types[typ].target {
                    &mut self.results.good
                } else {
                    &mut self.results.late
                };
                list[typ] += 1;
                self.over(g, key, false, 0);
            }
            "deferred" => {
                self.results.deferred += 1;
                self.over(g, key, true, come_back);
            }
            "dead-lettered" => {
                self.results.dead_lettered += 1;
                let again = self.types[typ].redelivery == "REDELIVERABLE";
                self.over(g, key, again, 0);
            }
            "turned-away" => {
                self.results.turned_away += 1;
                self.over(g, key, true, come_back);
            }
            other => return Err(format!("field word: '{other}' is no answer")),
        }
        Ok(())
    }

    /// The attempt's timeout and the grace after it passed without a response.
    pub fn late<N: Net>(&mut self, g: &mut Ground<N>, key: usize) {
        let (evt, gw) = (self.id(key), self.events[key].at.map_or(0, |a| a.0));
        if self.pair && !self.events[key].asked {
            self.results.unreachable += 1;
            self.events[key].deadline = None;
            return self.over(g, key, true, 0);
        }
        g.row(Row {
            k: Kind::GaveUp,
            evt,
            gw,
            ..Row::default()
        });
        self.results.lapsed += u64::from(!self.events[key].twin);
        self.events[key].deadline = None;
        self.say_leave(g, key, evt);
        let again =
            self.types[g.programs[self.events[key].program].typ].redelivery == "REDELIVERABLE";
        self.over(g, key, again, 0);
    }

    /// The client abandons the request early, and tells the gateway.
    pub fn leave<N: Net>(&mut self, g: &mut Ground<N>, key: usize) {
        let evt = self.id(key);
        let Some((gw, _)) = self.events[key].at else {
            return;
        };
        self.events[key].leaves = None;
        g.row(Row {
            k: Kind::Left,
            evt,
            gw,
            ..Row::default()
        });
        self.say_leave(g, key, evt);
        self.results.lapsed += 1;
        self.over(g, key, false, 0);
    }

    /// Tells the gateway that no response is needed. AMQP has no such message.
    fn say_leave<N: Net>(&mut self, g: &mut Ground<N>, key: usize, evt: u64) {
        let at = self.events[key].at.filter(|_| !self.amqp);
        let conn = at.and_then(|(gw, n)| self.gateways[gw].conns.get(n)?.0);
        let Some(conn) = conn else {
            return;
        };
        g.out.clear();
        Frame::new(&mut g.out, kind::LEAVE)
            .whole(Field::Id, evt)
            .end();
        g.net.write(conn, &g.out);
    }
}
