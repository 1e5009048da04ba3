//! An emulated fleet: workers, artifact store, discovery server and clients as one `tidewall-net` app, with
//! scripted faults. What is sent and received on its ends of the sockets is recorded for `tidewall-audit`.
//! Nothing here uses a gateway's internal state.
mod clients;
mod depot;
mod faults;
mod roster;
pub mod terminal;
mod workers;

pub use clients::Results;

use clients::Clients;
use depot::Depot;
use faults::Faults;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use roster::Roster;
use std::io::Write;
use std::net::SocketAddr;
use tidewall_audit::rows::{Group, Row, Rules, Type};
use tidewall_config::Section;
use tidewall_net::{App, CloseReason, Conn, Listener, Net, Time};
use tidewall_wire::{self as wire, Fields};
use tracing::warn;
use workers::Workers;

/// Emulated component that a connection belongs to; workers and gateways by index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Owner {
    Nobody,
    Worker(usize),
    /// A worker's connection to the artifact store.
    Fetcher(usize),
    Depot,
    Roster,
    Client {
        gw: usize,
        n: usize,
    },
    Guest(usize),
}

/// Kinds of timers, in the top byte of a timer's token.
pub(crate) mod of {
    pub const RUN: u64 = 1 << 56;
    pub const START: u64 = 2 << 56;
    pub const IDLE: u64 = 3 << 56;
    pub const FETCHED: u64 = 4 << 56;
    pub const TELL: u64 = 5 << 56;
    pub const NEXT: u64 = 6 << 56;
    pub const LATE: u64 = 7 << 56;
    pub const RETRY: u64 = 8 << 56;
    pub const CONNECT: u64 = 9 << 56;
    pub const FAULT: u64 = 10 << 56;
    pub const OVER: u64 = 11 << 56;
    pub const END: u64 = 12 << 56;
    pub const LEAVE: u64 = 13 << 56;
    pub const WHAT: u64 = 0xff << 56;
}

/// A function that the fleet's workers can load. Times are tenths of a millisecond.
pub(crate) struct Program {
    pub name: String,
    pub typ: usize,
    pub work: f64,
    pub memory: f64,
    pub lanes: u32,
    pub fetch: Time,
    pub start: Time,
    /// Share of all requests that goes to this function and those before it in the list.
    pub upto: f64,
}

/// State that all emulated components share.
pub(crate) struct Ground<N: Net> {
    pub net: N,
    owners: Vec<(u32, Owner)>,
    record: Box<dyn Write>,
    pub chance: ChaCha8Rng,
    pub programs: Vec<Program>,
    /// Name, address, zone, machine kind and rating of each worker, as the endpoint list gives them.
    pub listed: Vec<(String, SocketAddr, usize, String, f64)>,
    pub out: Vec<u8>,
}

impl<N: Net> Ground<N> {
    pub fn own(&mut self, conn: Conn, owner: Owner) {
        if self.owners.len() <= conn.index() {
            self.owners.resize(conn.index() + 1, (0, Owner::Nobody));
        }
        self.owners[conn.index()] = (conn.generation(), owner);
    }

    fn owner(&self, conn: Conn) -> Owner {
        let owner = self
            .owners
            .get(conn.index())
            .filter(|o| o.0 == conn.generation());
        owner.map_or(Owner::Nobody, |o| o.1)
    }

    pub fn row(&mut self, row: Row) {
        let row = Row {
            t: self.net.now(),
            ..row
        };
        self.line(&row);
    }

    fn line(&mut self, value: &impl serde::Serialize) {
        // A missing row could hide a breach from the audit, so a failed write ends the run.
        serde_json::to_writer(&mut self.record, value).expect("the record can be written");
        self.record
            .write_all(b"\n")
            .expect("the record can be written");
    }
}

/// Control over the gateways' processes, for faults that kill or suspend them.
pub trait Gateways {
    fn kill(&mut self, gw: usize);
    fn start(&mut self, gw: usize);
    fn still(&mut self, gw: usize, on: bool);
    /// Number of processes if a failover pair serves one address; `None` if each gateway is one process.
    fn members(&self) -> Option<usize> {
        None
    }
}

/// For gateways that are not under the fleet's control: faults on them have no effect.
pub struct NoGateways;

impl Gateways for NoGateways {
    fn kill(&mut self, _gw: usize) {}
    fn start(&mut self, _gw: usize) {}
    fn still(&mut self, _gw: usize, _on: bool) {}
}

pub struct Fleet<N: Net> {
    ground: Ground<N>,
    workers: Workers,
    depot: Depot,
    roster: Roster,
    clients: Clients,
    faults: Faults,
}

/// Options of a run that are not in the settings.
pub struct Plan {
    pub seed: u64,
    /// How long clients send requests; 0 for no end.
    pub seconds: f64,
    /// Whether the clients run.
    pub clients: bool,
    /// Whether the clients use AMQP instead of the native protocol.
    pub amqp: bool,
    pub record: Box<dyn Write>,
    pub gateways: Box<dyn Gateways>,
    /// Whether workers check the epochs of a failover pair; turned off to show that the audit notices it.
    pub fences: bool,
    /// Whether voters forget the ballots they promised; turned on to show that the audit notices it.
    pub forgets: bool,
    /// Whether workers check the epochs of fleet-wide tasks; turned off to show that the audit notices it.
    pub task_epochs: bool,
    /// Whether the members' clocks exceed their configured bound, which the audit has to allow for.
    pub wild_clocks: bool,
}

/// The run ends this long after the clients' last request can have reached its maximum age.
const AFTERMATH: Time = 5_000;

impl<N: Net> Fleet<N> {
    /// Opens all listeners; an error names the address.
    pub fn new(
        net: N,
        settings: &Section,
        script: Option<&Section>,
        plan: Plan,
    ) -> Result<Fleet<N>, String> {
        let fleet = settings.section("fleet");
        let mut ground = Ground {
            net,
            owners: Vec::new(),
            record: plan.record,
            chance: ChaCha8Rng::seed_from_u64(plan.seed),
            programs: programs(settings, &fleet),
            listed: Vec::new(),
            out: Vec::new(),
        };
        let depot = Depot::new(&mut ground, &fleet.section("depot"))?;
        let workers = Workers::new(&mut ground, settings, &fleet, depot.at)?;
        let mut workers = workers;
        (workers.fences, workers.forgets) = (plan.fences, plan.forgets);
        workers.task_epochs = plan.task_epochs;
        ground.line(&Rules {
            wild_clocks: plan.wild_clocks,
            ..rules(settings, &workers)
        });
        let roster = Roster::new(&mut ground, settings, &fleet, &workers)?;
        let clients = Clients::new(&mut ground, settings, &fleet, plan.seed, plan.amqp);
        let faults = Faults::new(&mut ground, script, plan.seconds, plan.gateways);
        let mut fleet = Fleet {
            ground,
            workers,
            depot,
            roster,
            clients,
            faults,
        };
        let now = fleet.ground.net.now();
        if plan.clients {
            fleet.clients.start(&mut fleet.ground);
        }
        if plan.seconds > 0.0 {
            let until = now + (plan.seconds * 10_000.0) as Time;
            fleet.clients.until = until;
            let age = settings
                .sections("event_type")
                .iter()
                .map(|t| t.duration("max_age_ms"))
                .max();
            fleet
                .ground
                .net
                .set_timer(until + age.unwrap_or(0) + AFTERMATH, of::END);
        }
        Ok(fleet)
    }

    pub fn results(&self) -> &Results {
        &self.clients.results
    }

    /// Loads started, misses, and requests that were dropped as repeats of a known idempotency key.
    pub fn loads(&self) -> (u64, u64, u64) {
        (
            self.workers.loads,
            self.workers.misses,
            self.workers.dropped,
        )
    }

    /// Duration of each interval in which no client was connected to a failover pair's address.
    pub fn pauses(&self) -> &[Time] {
        &self.clients.pauses
    }

    /// Attempts refused because the member of a pair that sent them no longer serves.
    pub fn refused(&self) -> u64 {
        self.workers.refused
    }

    /// Names and addresses of the workers.
    pub fn workers(&self) -> Vec<(String, SocketAddr)> {
        self.workers
            .list
            .iter()
            .map(|w| (w.name.clone(), w.at))
            .collect()
    }

    /// Makes the endpoint list give these addresses, in the workers' order, instead of the workers' own: a
    /// relay listens there.
    pub fn fronts(&mut self, at: &[SocketAddr]) {
        self.ground
            .listed
            .iter_mut()
            .zip(at)
            .for_each(|(l, at)| l.1 = *at);
    }

    pub fn roster_at(&self) -> SocketAddr {
        self.roster.at
    }

    pub fn flush(&mut self) {
        self.ground
            .record
            .flush()
            .expect("the record can be written");
    }

    fn frame(&mut self, conn: Conn, owner: Owner, fields: &Fields) -> Result<(), String> {
        let ground = &mut self.ground;
        match owner {
            Owner::Nobody => Ok(()),
            Owner::Worker(wk) => self.workers.frame(ground, wk, conn, fields),
            Owner::Fetcher(wk) => self.workers.fetched(ground, wk, fields),
            Owner::Depot => self.depot.frame(ground, conn, fields),
            Owner::Roster => self.roster.frame(ground, conn, fields),
            Owner::Client { gw, n } => self.clients.frame(ground, gw, n, fields),
            Owner::Guest(_) => Ok(()),
        }
    }
}

/// The functions with their cumulative shares; within a group the shares follow Zipf's law, largest first.
fn programs(settings: &Section, fleet: &Section) -> Vec<Program> {
    let types: Vec<String> = settings
        .sections("event_type")
        .iter()
        .map(|t| t.text("name"))
        .collect();
    let groups = fleet.sections("programs");
    let all: f64 = groups.iter().map(|p| p.number("share")).sum();
    let (mut list, mut upto) = (Vec::new(), 0.0);
    for p in &groups {
        let weight = |i: u64| 1.0 / ((i + 1) as f64).powf(p.number("skew"));
        let sum: f64 = (0..p.integer("count")).map(weight).sum();
        for i in 0..p.integer("count") {
            upto += p.number("share") / all * weight(i) / sum;
            list.push(Program {
                name: format!("{}{i}", p.text("name")),
                typ: types
                    .iter()
                    .position(|t| *t == p.text("event_type"))
                    .unwrap_or(0),
                work: p.number("work_ms") * 10.0,
                memory: p.number("memory_mb"),
                lanes: p.integer("lanes") as u32,
                fetch: p.duration("fetch_ms"),
                start: p.duration("start_ms"),
                upto,
            });
        }
    }
    list
}

fn keepers(settings: &Section) -> Vec<usize> {
    let names: Vec<String> = settings
        .sections("gateway")
        .iter()
        .map(|g| g.text("name"))
        .collect();
    let keepers = settings.section("fleet_common").strings("keeper");
    keepers
        .iter()
        .filter_map(|k| names.iter().position(|n| n == k))
        .collect()
}

fn rules(settings: &Section, workers: &Workers) -> Rules {
    let typ = |t: &Section| match (
        t.enum_value("redelivery").as_str(),
        t.enum_value("group").as_str(),
    ) {
        ("REDELIVERABLE", _) => Type::Redeliverable,
        ("KEYED", "ALL") => Type::Keyed(Group::All, t.duration("window_ms")),
        ("KEYED", "CELL") => Type::Keyed(Group::Cell, t.duration("window_ms")),
        ("KEYED", _) => Type::Keyed(Group::Zone, t.duration("window_ms")),
        _ => Type::AtMostOnce,
    };
    let (rules, loading) = (settings.section("rules"), settings.section("loading"));
    Rules {
        types: settings.sections("event_type").iter().map(typ).collect(),
        zones: workers.list.iter().map(|w| w.zone).collect(),
        cells: (0..workers.list.len()).collect(),
        two_at_once: settings.section("limits").flag("two_at_once"),
        drain_grace: rules.duration("drain_grace_ms"),
        fall_multiple: rules.number("fall_multiple"),
        fall: rules.duration("fall_ms"),
        load_window: loading.duration("window_ms"),
        load_free: loading.number("free"),
        load_share: loading.number("share"),
        pair: settings.has("pair"),
        wild_clocks: false,
        keepers: keepers(settings),
        term: settings.section("fleet_common").duration("term_ms"),
    }
}

impl<N: Net> App for Fleet<N> {
    type Net = N;

    fn net(&mut self) -> &mut N {
        &mut self.ground.net
    }

    fn accepted(&mut self, listener: Listener, conn: Conn, _from: SocketAddr) {
        let ground = &mut self.ground;
        if self.depot.listener == listener {
            ground.own(conn, Owner::Depot);
        } else if self.roster.listener == Some(listener) {
            self.roster.accepted(ground, conn);
        } else if let Some(wk) = self
            .workers
            .list
            .iter()
            .position(|w| w.listener == Some(listener))
        {
            self.workers.accepted(ground, wk, conn);
        }
    }

    fn connected(&mut self, conn: Conn) {
        match self.ground.owner(conn) {
            Owner::Client { gw, n } => self.clients.connected(&mut self.ground, gw, n),
            Owner::Guest(key) => self.clients.guest_there(&mut self.ground, key),
            Owner::Fetcher(wk) => self.workers.depot_there(&mut self.ground, wk),
            _ => {}
        }
    }

    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let mut used = 0;
        if let Owner::Client { gw, n } = self.ground.owner(conn) {
            if self.clients.amqp {
                return self
                    .clients
                    .terminal(&mut self.ground, gw, n, bytes)
                    .unwrap_or_else(|reason| {
                        warn!(reason, gw, n, "a terminal's connection ends");
                        self.ground.net.abort(conn);
                        bytes.len()
                    });
            }
        }
        if let Owner::Guest(key) = self.ground.owner(conn) {
            return self
                .clients
                .guest(&mut self.ground, key, bytes)
                .unwrap_or_else(|reason| {
                    warn!(reason, "a guest's connection ends");
                    self.ground.net.abort(conn);
                    bytes.len()
                });
        }
        loop {
            let owner = self.ground.owner(conn);
            let told = match wire::frame(&bytes[used..]) {
                Ok(None) => return used,
                Ok(Some((body, len))) => {
                    used += len;
                    Fields::read(body)
                        .map_err(String::from)
                        .and_then(|fields| self.frame(conn, owner, &fields))
                }
                Err(e) => Err(e.to_string()),
            };
            for wk in std::mem::take(&mut self.workers.fell) {
                let (life, since) = (self.workers.list[wk].life, self.workers.list[wk].since);
                self.roster
                    .news(&mut self.ground, wk, workers::At::Gone, life, since, None);
            }
            if let Err(reason) = told {
                warn!(reason, ?owner, "malformed frame");
                let mut out = Vec::new();
                wire::error(&mut out, &reason);
                self.ground.net.write(conn, &out);
                self.ground.net.abort(conn);
                return bytes.len();
            }
        }
    }

    fn writable(&mut self, _conn: Conn) {}

    fn closed(&mut self, conn: Conn, _why: CloseReason) {
        let owner = self.ground.owner(conn);
        self.ground.own(conn, Owner::Nobody);
        let ground = &mut self.ground;
        match owner {
            Owner::Nobody | Owner::Depot => {}
            Owner::Worker(wk) => self.workers.gateway_gone(ground, wk, conn),
            Owner::Fetcher(wk) => self.workers.depot_gone(ground, wk),
            Owner::Roster => self.roster.closed(conn),
            Owner::Client { gw, n } => self.clients.closed(ground, gw, n),
            Owner::Guest(key) => self.clients.guest_gone(key),
        }
    }

    fn timer_fired(&mut self, token: u64) {
        let rest = token & !of::WHAT;
        let (high, low) = ((rest >> 32) as usize, (rest & 0xffff_ffff) as usize);
        let ground = &mut self.ground;
        match token & of::WHAT {
            of::RUN => self.workers.ran(ground, high, low),
            of::START => self.workers.loaded(ground, high, low),
            of::IDLE => self.workers.idle(ground),
            of::FETCHED => self.depot.done(ground, low),
            of::TELL => self.roster.tell(ground, &self.workers),
            of::NEXT => self.clients.next(ground),
            of::LATE => self.clients.late(ground, low),
            of::RETRY => self.clients.again(ground, low),
            of::LEAVE => self.clients.leave(ground, low),
            of::CONNECT => self.clients.connect(ground, high, low),
            of::FAULT => self.fault(low),
            of::OVER => self.fault_over(low, high),
            _ => ground.net.stop(),
        }
    }

    fn signal_received(&mut self, _signal: i32) {
        self.ground.net.stop();
    }
}
