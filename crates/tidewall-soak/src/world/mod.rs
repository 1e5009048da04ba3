//! All peers of the gateways on one event loop: hosts, discovery servers and clients, and the faults of the
//! plan. Times are in tenths of a millisecond.
mod boards;
mod clients;
mod faults;
mod gateways;
mod hosts;

use crate::plan::{Fault, Plan, LISTED_GROUPS};
use crate::processes::Gateway;
use crate::record::Record;
use crate::wire;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tidewall_net::mio::Mio;
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

/// How often scheduled actions are run: every 5 ms.
const TICK: u64 = 50;
/// Delays of the soak process are recorded if they exceed 10 ms.
const MIN_RECORDED_LAG: u64 = 100;
/// The largest number of open calls on a client connection.
const MAX_OPEN: usize = 30;
/// How long a client waits before it connects again after the gateway closed its connection.
const RECONNECT: u64 = 2_000;
/// A call that was sent at most 50 ms before the gateway closed the connection may have crossed the close.
/// Such a call is sent once more, so it does not count as lost.
const CLOSE_CROSSING: u64 = 500;
/// How long after a discovery server's trouble began its changes count as known to the gateways: 7 s if it is
/// silent or resets all connections, 2 s after connections were reset once, 4 s after a reload.
const KNOWN_IN_OUTAGE: u64 = 70_000;
const KNOWN_AFTER_RESET: u64 = 20_000;
const KNOWN_AFTER_RELOAD: u64 = 40_000;
/// A gateway polls again within this time after an outage.
const POLL_AGAIN_WITHIN: u64 = 10_000;
/// How long after SIGHUP the old discovery server closes its connections.
const OLD_SERVER_CLOSES: u64 = 15_000;
/// SIGKILL follows SIGTERM after the longest deadline, of which at most 3 s count, and this time.
const KILL_AFTER: u64 = 7_000;
const MAX_DEADLINE: u64 = 30_000;
/// What a listener serves.
#[derive(Clone, Copy)]
enum ListenerRole {
    Host { group: usize, gateway: usize },
    DiscoveryServer { gateway: usize, server_index: usize },
}

/// What a connection is used for.
enum ConnectionRole {
    Host {
        group: usize,
        gateway: usize,
    },
    DiscoveryServer {
        gateway: usize,
        server_index: usize,
        poll: Option<(u64, u64)>,
    },
    Client {
        gateway: usize,
        slot: usize,
    },
    Garbage,
}

/// A client connection.
#[derive(Default)]
struct Client {
    conn: Option<Conn>,
    ready: bool,
    retry_at: u64,
    last_tag: u64,
    open: BTreeMap<u64, usize>,
}

/// A group of hosts.
struct Group {
    state: &'static str,
    started_ms: u64,
    hangs_until: u64,
}

/// The state of the discovery server of one gateway; its revisions restart with each start of the gateway.
#[derive(Default)]
struct Discovery {
    notices: Vec<(u64, String)>,
    server_index: usize,
}

/// An action scheduled for later.
enum Action {
    HostAnswer(Conn, u64, String),
    AbandonCall(usize, Conn, u64),
    EndGroup(usize),
    /// The group is removed, and comes back after this time.
    RemoveGroup(usize, u64),
    RestoreGroup(usize),
    Reload(usize),
    Terminate(usize),
    Signal(usize, i32),
    DiscoveryAnswer(Conn, String),
    Continue(usize),
    /// The gateway, and when it received SIGTERM.
    KillStopping(usize, u64),
    CloseOldServer(usize, usize),
}

/// The listeners of hosts and discovery servers, separate for each gateway, and their addresses.
#[derive(Default)]
struct Listeners {
    listener_roles: HashMap<usize, ListenerRole>,
    addresses: HashMap<(usize, usize), SocketAddr>,
    discovery_addresses: HashMap<(usize, usize), SocketAddr>,
}

impl Listeners {
    fn open(
        net: &mut Mio,
        own: SocketAddr,
        gateways: usize,
        groups: usize,
    ) -> std::io::Result<Listeners> {
        let mut all = Listeners::default();
        for gateway in 0..gateways {
            for group in 0..groups {
                let (listener, at) = net.listen(own)?;
                all.listener_roles
                    .insert(listener.0, ListenerRole::Host { group, gateway });
                all.addresses.insert((group, gateway), at);
            }
            for server_index in 0..2 {
                let (listener, at) = net.listen(own)?;
                all.listener_roles.insert(
                    listener.0,
                    ListenerRole::DiscoveryServer {
                        gateway,
                        server_index,
                    },
                );
                all.discovery_addresses.insert((gateway, server_index), at);
            }
        }
        Ok(all)
    }
}

/// A loopback address that no other soak running at the same time uses, so that the port of a restarting
/// gateway stays free for it.
fn local_address(seed: u64) -> SocketAddr {
    let process = std::process::id() % 200 + 20;
    SocketAddr::from(([127, process as u8, (seed % 250) as u8 + 1, 1], 0))
}

/// The harness of one seed: the gateways and all their peers.
pub struct Harness {
    net: Mio,
    plan: Plan,
    rng: ChaCha8Rng,
    /// What clients and hosts observed.
    pub record: Record,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    listener_roles: HashMap<usize, ListenerRole>,
    addresses: HashMap<(usize, usize), SocketAddr>,
    discovery_addresses: HashMap<(usize, usize), SocketAddr>,
    connection_roles: HashMap<Conn, ConnectionRole>,
    clients: Vec<Vec<Client>>,
    groups: Vec<Group>,
    discovery_servers: Vec<Discovery>,
    discovery_silent_until: u64,
    discovery_drops_until: u64,
    /// The delay of the discovery servers' answers, and until when it applies.
    discovery_slow: (u64, u64),
    /// Troubles of discovery servers: until when a change is affected, and by when it counts as known to the
    /// gateways.
    discovery_troubles: Vec<(u64, u64)>,
    scheduled: BTreeMap<(u64, u64), Action>,
    last_sequence: u64,
    next_fault: usize,
    next_call: Vec<u64>,
    next_tick: u64,
    started_at: u64,
    clock_file: PathBuf,
    /// By gateway: how many shutdown lines of its log were checked.
    shutdown_lines_seen: Vec<usize>,
    stopping: bool,
}

impl Harness {
    /// Opens the sockets and files for a plan, and starts the gateways.
    pub fn new(plan: Plan, folder: &Path) -> std::io::Result<Harness> {
        let mut net = Mio::new()?;
        let clock_file = folder.join("clock");
        std::fs::write(&clock_file, 0i64.to_ne_bytes())?;
        let releases = plan
            .faults
            .iter()
            .filter(|(_, fault)| *fault == Fault::Release)
            .count();
        let own = local_address(plan.seed);
        let Listeners {
            listener_roles,
            addresses,
            discovery_addresses,
        } = Listeners::open(&mut net, own, plan.gateways, LISTED_GROUPS + releases)?;
        let mut gateways = Vec::new();
        for number in 0..plan.gateways {
            let free = std::net::TcpListener::bind(own)?.local_addr()?;
            gateways.push(Gateway::new(free, &folder.join(format!("n{number}"))));
        }
        let now = net.now();
        let groups = (0..LISTED_GROUPS + releases).map(|group| Group {
            state: if group < LISTED_GROUPS { "up" } else { "" },
            started_ms: 0,
            hangs_until: 0,
        });
        let mut harness = Harness {
            rng: ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5eed),
            record: Record {
                drained: vec![Vec::new(); LISTED_GROUPS + releases],
                ..Record::default()
            },
            gateways,
            listener_roles,
            addresses,
            discovery_addresses,
            connection_roles: HashMap::new(),
            clients: (0..plan.gateways)
                .map(|_| (0..plan.connections).map(|_| Client::default()).collect())
                .collect(),
            groups: groups.collect(),
            discovery_servers: (0..plan.gateways).map(|_| Discovery::default()).collect(),
            discovery_silent_until: 0,
            discovery_drops_until: 0,
            discovery_slow: (0, 0),
            discovery_troubles: Vec::new(),
            scheduled: BTreeMap::new(),
            last_sequence: 0,
            next_fault: 0,
            next_call: vec![0; plan.gateways],
            next_tick: now + TICK,
            started_at: now,
            clock_file,
            shutdown_lines_seen: vec![0; plan.gateways],
            stopping: false,
            net,
            plan,
        };
        (0..harness.plan.gateways).for_each(|gateway| harness.start_gateway(gateway));
        harness.net.set_timer(now + TICK, 0);
        Ok(harness)
    }

    /// The current time by the soak's clock.
    pub fn now(&self) -> u64 {
        self.net.current_time()
    }

    /// How long the plan has run.
    pub fn elapsed(&self) -> u64 {
        self.net.now() - self.started_at
    }

    /// Ends calls and faults, and sends SIGTERM to all gateways.
    pub fn stop(&mut self) {
        self.stopping = true;
        for gateway in 0..self.gateways.len() {
            self.terminate(gateway);
        }
    }

    /// Whether all gateways have ended.
    pub fn has_ended(&mut self) -> bool {
        self.gateways
            .iter_mut()
            .all(|gateway| !gateway.poll_exit().0)
    }

    /// Makes the event loop return.
    pub fn pause(&mut self) {
        self.net.stop();
    }

    /// Allows the event loop to run again.
    pub fn resume(&mut self) {
        self.net.go_on();
    }

    fn schedule(&mut self, at: u64, action: Action) {
        self.last_sequence += 1;
        self.scheduled.insert((at, self.last_sequence), action);
    }

    fn tick(&mut self) {
        let now = self.now();
        let lag = now.saturating_sub(self.next_tick);
        if lag > MIN_RECORDED_LAG {
            self.record.own_lag.push((now, lag));
        }
        self.next_tick = now + TICK;
        self.net.set_timer(now + TICK, 0);
        while self
            .scheduled
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= now)
        {
            if let Some((_, action)) = self.scheduled.pop_first() {
                self.run_action(action);
            }
        }
        self.answer_polls();
        self.check_gateways();
        if !self.stopping {
            self.send_calls();
            let elapsed = now - self.started_at;
            while self
                .plan
                .faults
                .get(self.next_fault)
                .is_some_and(|(at, _)| *at <= elapsed)
            {
                let fault = self.plan.faults[self.next_fault].1.clone();
                self.next_fault += 1;
                self.inject_fault(&fault);
            }
        }
    }
}

impl App for Harness {
    type Net = Mio;

    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }

    fn accepted(&mut self, listener: Listener, conn: Conn, _: SocketAddr) {
        match self.listener_roles.get(&listener.0) {
            Some(ListenerRole::Host { group, gateway })
                if self.groups[*group].state != "removed" =>
            {
                let role = ConnectionRole::Host {
                    group: *group,
                    gateway: *gateway,
                };
                self.connection_roles.insert(conn, role);
            }
            Some(ListenerRole::DiscoveryServer {
                gateway,
                server_index,
            }) if *server_index == self.discovery_servers[*gateway].server_index
                && self.net.now() >= self.discovery_drops_until =>
            {
                let role = ConnectionRole::DiscoveryServer {
                    gateway: *gateway,
                    server_index: *server_index,
                    poll: None,
                };
                self.connection_roles.insert(conn, role);
            }
            _ => self.net.reset(conn),
        }
    }

    fn connected(&mut self, conn: Conn) {
        match self.connection_roles.get(&conn) {
            Some(ConnectionRole::Client { gateway, slot }) => {
                self.clients[*gateway][*slot].ready = true
            }
            Some(ConnectionRole::Garbage) => {
                self.net
                    .write(conn, b"*3\r\n$4\r\nCALL\r\n$-7\r\n\xff\xfe garbage\r\n");
            }
            _ => {}
        }
    }

    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let now = self.now();
        match self.connection_roles.get_mut(&conn) {
            Some(ConnectionRole::Host { group, gateway }) => {
                let host = (*group, *gateway);
                self.host_received(conn, host, bytes)
            }
            Some(ConnectionRole::Client { gateway, slot }) => {
                let (gateway, slot) = (*gateway, *slot);
                self.client_received(gateway, slot, bytes)
            }
            Some(ConnectionRole::DiscoveryServer { poll, .. }) => {
                let Some((watch, linger_ms, length)) = wire::poll(bytes) else {
                    return 0;
                };
                *poll = Some((watch, now + linger_ms * 10));
                self.answer_polls();
                length
            }
            _ => bytes.len(),
        }
    }

    fn writable(&mut self, _: Conn) {}

    fn closed(&mut self, conn: Conn, _: CloseReason) {
        if let Some(ConnectionRole::Client { gateway, slot }) = self.connection_roles.remove(&conn)
        {
            self.client_closed(gateway, slot);
        }
    }

    fn timer_fired(&mut self, _: u64) {
        self.tick();
    }
}
