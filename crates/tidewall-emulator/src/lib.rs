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
use depot::ArtifactStore;
use faults::Faults;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use roster::DiscoveryServer;
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
    Detached,
    Worker(usize),
    /// A worker's connection to the artifact store.
    Fetcher(usize),
    ArtifactStore,
    DiscoveryServer,
    Client {
        gw: usize,
        n: usize,
    },
    ExtraLogin(usize),
}

/// Kinds of timers, in the top byte of a timer's token.
pub(crate) mod timer_kind {
    pub const ATTEMPT_DONE: u64 = 1 << 56;
    pub const INSTANCE_LOADED: u64 = 2 << 56;
    pub const UNLOAD_IDLE: u64 = 3 << 56;
    pub const FETCH_DONE: u64 = 4 << 56;
    pub const PUBLISH: u64 = 5 << 56;
    pub const ARRIVAL: u64 = 6 << 56;
    pub const TIMED_OUT: u64 = 7 << 56;
    pub const RETRY: u64 = 8 << 56;
    pub const CONNECT: u64 = 9 << 56;
    pub const FAULT_BEGIN: u64 = 10 << 56;
    pub const FAULT_END: u64 = 11 << 56;
    pub const RUN_END: u64 = 12 << 56;
    pub const ABANDON: u64 = 13 << 56;
    pub const MASK: u64 = 0xff << 56;
}

/// A function that the fleet's workers can load. Times are tenths of a millisecond.
pub(crate) struct Function {
    pub name: String,
    pub request_type: usize,
    pub work: f64,
    pub memory: f64,
    pub lanes: u32,
    pub fetch_time: Time,
    pub start_time: Time,
    /// Share of all requests that goes to this function and those before it in the list.
    pub cumulative_share: f64,
}

/// State that all emulated components share.
pub(crate) struct Context<N: Net> {
    pub net: N,
    owners: Vec<(u32, Owner)>,
    record: Box<dyn Write>,
    pub rng: ChaCha8Rng,
    pub functions: Vec<Function>,
    /// Name, address, zone, machine kind and rating of each worker, as the endpoint list gives them.
    pub endpoints: Vec<(String, SocketAddr, usize, String, f64)>,
    pub buffer: Vec<u8>,
}

impl<N: Net> Context<N> {
    pub fn set_owner(&mut self, conn: Conn, owner: Owner) {
        if self.owners.len() <= conn.index() {
            self.owners.resize(conn.index() + 1, (0, Owner::Detached));
        }
        self.owners[conn.index()] = (conn.generation(), owner);
    }

    fn owner(&self, conn: Conn) -> Owner {
        let owner = self
            .owners
            .get(conn.index())
            .filter(|entry| entry.0 == conn.generation());
        owner.map_or(Owner::Detached, |entry| entry.1)
    }

    pub fn record_row(&mut self, row: Row) {
        let row = Row {
            time: self.net.now(),
            ..row
        };
        self.write_line(&row);
    }

    fn write_line(&mut self, value: &impl serde::Serialize) {
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
    fn set_suspended(&mut self, gw: usize, on: bool);
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
    fn set_suspended(&mut self, _gw: usize, _on: bool) {}
}

pub struct Fleet<N: Net> {
    context: Context<N>,
    workers: Workers,
    artifact_store: ArtifactStore,
    discovery_server: DiscoveryServer,
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
    pub checks_epochs: bool,
    /// Whether voters forget the ballots they promised; turned on to show that the audit notices it.
    pub forgets_votes: bool,
    /// Whether workers check the epochs of fleet-wide tasks; turned off to show that the audit notices it.
    pub checks_task_epochs: bool,
    /// Whether the members' clocks exceed their configured bound, which the audit has to allow for.
    pub wild_clocks: bool,
}

/// The run ends this long after the clients' last request can have reached its maximum age.
const END_MARGIN: Time = 5_000;

impl<N: Net> Fleet<N> {
    /// Opens all listeners; an error names the address.
    pub fn new(
        net: N,
        settings: &Section,
        script: Option<&Section>,
        plan: Plan,
    ) -> Result<Fleet<N>, String> {
        let fleet = settings.section("fleet");
        let mut context = Context {
            net,
            owners: Vec::new(),
            record: plan.record,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            functions: functions(settings, &fleet),
            endpoints: Vec::new(),
            buffer: Vec::new(),
        };
        let artifact_store = ArtifactStore::new(&mut context, &fleet.section("depot"))?;
        let workers = Workers::new(&mut context, settings, &fleet, artifact_store.address)?;
        let mut workers = workers;
        (workers.checks_epochs, workers.forgets_votes) = (plan.checks_epochs, plan.forgets_votes);
        workers.checks_task_epochs = plan.checks_task_epochs;
        context.write_line(&Rules {
            wild_clocks: plan.wild_clocks,
            ..rules(settings, &workers)
        });
        let discovery_server = DiscoveryServer::new(&mut context, settings, &fleet, &workers)?;
        let clients = Clients::new(&mut context, settings, &fleet, plan.seed, plan.amqp);
        let faults = Faults::new(&mut context, script, plan.seconds, plan.gateways);
        let mut fleet = Fleet {
            context,
            workers,
            artifact_store,
            discovery_server,
            clients,
            faults,
        };
        let now = fleet.context.net.now();
        if plan.clients {
            fleet.clients.start(&mut fleet.context);
        }
        if plan.seconds > 0.0 {
            let until = now + (plan.seconds * 10_000.0) as Time;
            fleet.clients.send_until = until;
            let age = settings
                .sections("event_type")
                .iter()
                .map(|t| t.duration("max_age_ms"))
                .max();
            fleet
                .context
                .net
                .set_timer(until + age.unwrap_or(0) + END_MARGIN, timer_kind::RUN_END);
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
            self.workers.repeats,
        )
    }

    /// Duration of each interval in which no client was connected to a failover pair's address.
    pub fn outages(&self) -> &[Time] {
        &self.clients.outages
    }

    /// Attempts refused because the member of a pair that sent them no longer serves.
    pub fn fenced_attempts(&self) -> u64 {
        self.workers.fenced
    }

    /// Names and addresses of the workers.
    pub fn workers(&self) -> Vec<(String, SocketAddr)> {
        self.workers
            .list
            .iter()
            .map(|w| (w.name.clone(), w.address))
            .collect()
    }

    /// Makes the endpoint list give these addresses, in the workers' order, instead of the workers' own: a
    /// relay listens there.
    pub fn set_endpoint_addresses(&mut self, addresses: &[SocketAddr]) {
        self.context
            .endpoints
            .iter_mut()
            .zip(addresses)
            .for_each(|(endpoint, address)| endpoint.1 = *address);
    }

    pub fn discovery_server_address(&self) -> SocketAddr {
        self.discovery_server.address
    }

    pub fn flush(&mut self) {
        self.context
            .record
            .flush()
            .expect("the record can be written");
    }

    fn handle_frame(&mut self, conn: Conn, owner: Owner, fields: &Fields) -> Result<(), String> {
        let context = &mut self.context;
        match owner {
            Owner::Detached => Ok(()),
            Owner::Worker(worker) => self.workers.handle_frame(context, worker, conn, fields),
            Owner::Fetcher(worker) => self.workers.handle_fetch_response(context, worker, fields),
            Owner::ArtifactStore => self.artifact_store.handle_frame(context, conn, fields),
            Owner::DiscoveryServer => self.discovery_server.handle_frame(context, conn, fields),
            Owner::Client { gw, n } => self.clients.handle_frame(context, gw, n, fields),
            Owner::ExtraLogin(_) => Ok(()),
        }
    }
}

/// The functions with their cumulative shares; within a group the shares follow Zipf's law, largest first.
fn functions(settings: &Section, fleet: &Section) -> Vec<Function> {
    let types: Vec<String> = settings
        .sections("event_type")
        .iter()
        .map(|t| t.text("name"))
        .collect();
    let groups = fleet.sections("programs");
    let total_share: f64 = groups.iter().map(|p| p.number("share")).sum();
    let (mut list, mut cumulative_share) = (Vec::new(), 0.0);
    for p in &groups {
        let weight = |i: u64| 1.0 / ((i + 1) as f64).powf(p.number("skew"));
        let sum: f64 = (0..p.integer("count")).map(weight).sum();
        for i in 0..p.integer("count") {
            cumulative_share += p.number("share") / total_share * weight(i) / sum;
            list.push(Function {
                name: format!("{}{i}", p.text("name")),
                request_type: types
                    .iter()
                    .position(|t| *t == p.text("event_type"))
                    .unwrap_or(0),
                work: p.number("work_ms") * 10.0,
                memory: p.number("memory_mb"),
                lanes: p.integer("lanes") as u32,
                fetch_time: p.duration("fetch_ms"),
                start_time: p.duration("start_ms"),
                cumulative_share,
            });
        }
    }
    list
}

fn grantors(settings: &Section) -> Vec<usize> {
    let names: Vec<String> = settings
        .sections("gateway")
        .iter()
        .map(|gateway| gateway.text("name"))
        .collect();
    let grantors = settings.section("fleet_common").strings("keeper");
    grantors
        .iter()
        .filter_map(|k| names.iter().position(|n| n == k))
        .collect()
}

fn rules(settings: &Section, workers: &Workers) -> Rules {
    let request_type = |t: &Section| match (
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
        types: settings
            .sections("event_type")
            .iter()
            .map(request_type)
            .collect(),
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
        keepers: grantors(settings),
        term: settings.section("fleet_common").duration("term_ms"),
    }
}

impl<N: Net> App for Fleet<N> {
    type Net = N;

    fn net(&mut self) -> &mut N {
        &mut self.context.net
    }

    fn accepted(&mut self, listener: Listener, conn: Conn, _from: SocketAddr) {
        let context = &mut self.context;
        if self.artifact_store.listener == listener {
            context.set_owner(conn, Owner::ArtifactStore);
        } else if self.discovery_server.listener == Some(listener) {
            self.discovery_server.accepted(context, conn);
        } else if let Some(worker) = self
            .workers
            .list
            .iter()
            .position(|w| w.listener == Some(listener))
        {
            self.workers.accepted(context, worker, conn);
        }
    }

    fn connected(&mut self, conn: Conn) {
        match self.context.owner(conn) {
            Owner::Client { gw, n } => self.clients.connected(&mut self.context, gw, n),
            Owner::ExtraLogin(key) => self.clients.extra_login_connected(&mut self.context, key),
            Owner::Fetcher(worker) => self
                .workers
                .artifact_store_connected(&mut self.context, worker),
            _ => {}
        }
    }

    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let mut used = 0;
        if let Owner::Client { gw, n } = self.context.owner(conn) {
            if self.clients.amqp {
                return self
                    .clients
                    .amqp_received(&mut self.context, gw, n, bytes)
                    .unwrap_or_else(|reason| {
                        warn!(reason, gw, n, "a terminal's connection ends");
                        self.context.net.abort(conn);
                        bytes.len()
                    });
            }
        }
        if let Owner::ExtraLogin(key) = self.context.owner(conn) {
            return self
                .clients
                .extra_login_received(&mut self.context, key, bytes)
                .unwrap_or_else(|reason| {
                    warn!(reason, "a guest's connection ends");
                    self.context.net.abort(conn);
                    bytes.len()
                });
        }
        loop {
            let owner = self.context.owner(conn);
            let result = match wire::frame(&bytes[used..]) {
                Ok(None) => return used,
                Ok(Some((body, len))) => {
                    used += len;
                    Fields::read(body)
                        .map_err(String::from)
                        .and_then(|fields| self.handle_frame(conn, owner, &fields))
                }
                Err(e) => Err(e.to_string()),
            };
            for worker in std::mem::take(&mut self.workers.unreported_falls) {
                let (incarnation, started_at) = (
                    self.workers.list[worker].incarnation,
                    self.workers.list[worker].started_at,
                );
                self.discovery_server.report(
                    &mut self.context,
                    worker,
                    workers::WorkerStatus::Gone,
                    incarnation,
                    started_at,
                    None,
                );
            }
            if let Err(reason) = result {
                warn!(reason, ?owner, "malformed frame");
                let mut out = Vec::new();
                wire::error(&mut out, &reason);
                self.context.net.write(conn, &out);
                self.context.net.abort(conn);
                return bytes.len();
            }
        }
    }

    fn writable(&mut self, _conn: Conn) {}

    fn closed(&mut self, conn: Conn, _why: CloseReason) {
        let owner = self.context.owner(conn);
        self.context.set_owner(conn, Owner::Detached);
        let context = &mut self.context;
        match owner {
            Owner::Detached | Owner::ArtifactStore => {}
            Owner::Worker(worker) => self.workers.gateway_disconnected(context, worker, conn),
            Owner::Fetcher(worker) => self.workers.artifact_store_disconnected(context, worker),
            Owner::DiscoveryServer => self.discovery_server.closed(conn),
            Owner::Client { gw, n } => self.clients.closed(context, gw, n),
            Owner::ExtraLogin(key) => self.clients.extra_login_closed(key),
        }
    }

    fn timer_fired(&mut self, token: u64) {
        let rest = token & !timer_kind::MASK;
        let (high, low) = ((rest >> 32) as usize, (rest & 0xffff_ffff) as usize);
        let context = &mut self.context;
        match token & timer_kind::MASK {
            timer_kind::ATTEMPT_DONE => self.workers.attempt_done(context, high, low),
            timer_kind::INSTANCE_LOADED => self.workers.load_done(context, high, low),
            timer_kind::UNLOAD_IDLE => self.workers.unload_idle(context),
            timer_kind::FETCH_DONE => self.artifact_store.fetch_done(context, low),
            timer_kind::PUBLISH => self.discovery_server.publish(context, &self.workers),
            timer_kind::ARRIVAL => self.clients.arrivals(context),
            timer_kind::TIMED_OUT => self.clients.timed_out(context, low),
            timer_kind::RETRY => self.clients.start_attempt(context, low),
            timer_kind::ABANDON => self.clients.abandon(context, low),
            timer_kind::CONNECT => self.clients.connect(context, high, low),
            timer_kind::FAULT_BEGIN => self.begin_fault(low),
            timer_kind::FAULT_END => self.end_fault(low, high),
            _ => context.net.stop(),
        }
    }

    fn signal_received(&mut self, _signal: i32) {
        self.context.net.stop();
    }
}
