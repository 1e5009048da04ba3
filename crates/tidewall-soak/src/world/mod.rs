//! Everything that the gateways talk to, on one event loop: hosts, boards and clients, and the faults of the plan.
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

/// Everything that is due is looked at so often: 5 ms.
const TICK: u64 = 50;
/// The soak's own delay is noted from 10 ms on.
const NOTED_LAG: u64 = 100;
/// Open calls on each client connection.
const MAX_OPEN: usize = 30;
/// A client connects again after this.
const RECONNECT: u64 = 2_000;
/// What crosses a close within 50 ms is sent once more, so it is no loss.
const CROSSING: u64 = 500;
/// What a board has to tell counts as told so long after its trouble began: 7 s where it is silent or drops what comes, 2 s after
/// connections broke once, 4 s after a reload.
const TOLD_IN_OUTAGE: u64 = 70_000;
const TOLD_AFTER_RESET: u64 = 20_000;
const TOLD_AFTER_RELOAD: u64 = 40_000;
/// After an outage a gateway asks again within this.
const ASKS_AGAIN: u64 = 10_000;
/// An old board closes its connections so long after SIGHUP.
const OLD_BOARD_CLOSES: u64 = 15_000;
/// SIGKILL comes so long after SIGTERM, and the longest deadline of at most 3 s.
const KILL_AFTER: u64 = 7_000;
const MAX_DEADLINE: u64 = 30_000;
/// What a listener is.
#[derive(Clone, Copy)]
enum Place {
    Host { group: usize, gateway: usize },
    Board { gateway: usize, which: usize },
}

/// What a connection is.
enum Owner {
    Host {
        group: usize,
        gateway: usize,
    },
    Board {
        gateway: usize,
        which: usize,
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

/// The board of one gateway: numbered anew with each start of it.
#[derive(Default)]
struct Board {
    notices: Vec<(u64, String)>,
    which: usize,
}

/// Something due later.
enum Due {
    HostAnswer(Conn, u64, String),
    ClientLeaves(usize, Conn, u64),
    GroupGone(usize),
    /// The group leaves, and comes back after so long.
    GroupLeaves(usize, u64),
    GroupReturns(usize),
    Reload(usize),
    Terminate(usize),
    Signal(usize, i32),
    BoardAnswer(Conn, String),
    Continue(usize),
    /// The gateway, and when it was told to stop.
    KillStopping(usize, u64),
    CloseOldBoard(usize, usize),
}

/// The listeners of hosts and boards, at an address for each gateway, and the addresses by what is there.
#[derive(Default)]
struct Listeners {
    places: HashMap<usize, Place>,
    addresses: HashMap<(usize, usize), SocketAddr>,
    board_addresses: HashMap<(usize, usize), SocketAddr>,
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
                all.places
                    .insert(listener.0, Place::Host { group, gateway });
                all.addresses.insert((group, gateway), at);
            }
            for which in 0..2 {
                let (listener, at) = net.listen(own)?;
                all.places
                    .insert(listener.0, Place::Board { gateway, which });
                all.board_addresses.insert((gateway, which), at);
            }
        }
        Ok(all)
    }
}

/// An address apart from those of other soaks that run at the same time: a port that is free while a gateway restarts is its own.
fn own_address(seed: u64) -> SocketAddr {
    let process = std::process::id() % 200 + 20;
    SocketAddr::from(([127, process as u8, (seed % 250) as u8 + 1, 1], 0))
}

/// The world of one seed.
pub struct World {
    net: Mio,
    plan: Plan,
    random: ChaCha8Rng,
    /// What was seen.
    pub record: Record,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    places: HashMap<usize, Place>,
    addresses: HashMap<(usize, usize), SocketAddr>,
    board_addresses: HashMap<(usize, usize), SocketAddr>,
    owners: HashMap<Conn, Owner>,
    clients: Vec<Vec<Client>>,
    groups: Vec<Group>,
    boards: Vec<Board>,
    board_silent_until: u64,
    board_drops_until: u64,
    /// How late the board's answers come, and until when that lasts.
    board_slow: (u64, u64),
    /// Troubles of boards: until when changes fall into them, and by when those count as told.
    board_troubles: Vec<(u64, u64)>,
    due: BTreeMap<(u64, u64), Due>,
    sequence: u64,
    next_fault: usize,
    next_call: Vec<u64>,
    next_tick: u64,
    started_at: u64,
    clock_file: PathBuf,
    /// By gateway: how many ends of its processes were looked at.
    ends_seen: Vec<usize>,
    stopping: bool,
}

impl World {
    /// Sockets, files and processes for a plan; the gateways start at once.
    pub fn new(plan: Plan, folder: &Path) -> std::io::Result<World> {
        let mut net = Mio::new()?;
        let clock_file = folder.join("clock");
        std::fs::write(&clock_file, 0i64.to_ne_bytes())?;
        let releases = plan
            .faults
            .iter()
            .filter(|(_, fault)| *fault == Fault::Release)
            .count();
        let own = own_address(plan.seed);
        let Listeners {
            places,
            addresses,
            board_addresses,
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
        let mut world = World {
            random: ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5eed),
            record: Record {
                drained: vec![Vec::new(); LISTED_GROUPS + releases],
                ..Record::default()
            },
            gateways,
            places,
            addresses,
            board_addresses,
            owners: HashMap::new(),
            clients: (0..plan.gateways)
                .map(|_| (0..plan.connections).map(|_| Client::default()).collect())
                .collect(),
            groups: groups.collect(),
            boards: (0..plan.gateways).map(|_| Board::default()).collect(),
            board_silent_until: 0,
            board_drops_until: 0,
            board_slow: (0, 0),
            board_troubles: Vec::new(),
            due: BTreeMap::new(),
            sequence: 0,
            next_fault: 0,
            next_call: vec![0; plan.gateways],
            next_tick: now + TICK,
            started_at: now,
            clock_file,
            ends_seen: vec![0; plan.gateways],
            stopping: false,
            net,
            plan,
        };
        (0..world.plan.gateways).for_each(|gateway| world.start_gateway(gateway));
        world.net.set_timer(now + TICK, 0);
        Ok(world)
    }

    /// The time by the soak's clock.
    pub fn now(&self) -> u64 {
        self.net.current_time()
    }

    /// How long the plan has run.
    pub fn elapsed(&self) -> u64 {
        self.net.now() - self.started_at
    }

    /// No further calls and faults; all gateways are told to stop.
    pub fn stop(&mut self) {
        self.stopping = true;
        for gateway in 0..self.gateways.len() {
            self.terminate(gateway);
        }
    }

    /// Whether all gateways have ended.
    pub fn has_ended(&mut self) -> bool {
        self.gateways.iter_mut().all(|gateway| !gateway.check().0)
    }

    /// Makes the event loop return.
    pub fn pause(&mut self) {
        self.net.stop();
    }

    /// Allows the event loop to run again.
    pub fn resume(&mut self) {
        self.net.go_on();
    }

    fn later(&mut self, at: u64, due: Due) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), due);
    }

    fn tick(&mut self) {
        let now = self.now();
        let lag = now.saturating_sub(self.next_tick);
        if lag > NOTED_LAG {
            self.record.own_lag.push((now, lag));
        }
        self.next_tick = now + TICK;
        self.net.set_timer(now + TICK, 0);
        while self
            .due
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= now)
        {
            if let Some((_, due)) = self.due.pop_first() {
                self.carry_out(due);
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
                self.inject(&fault);
            }
        }
    }
}

impl App for World {
    type Net = Mio;

    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }

    fn accepted(&mut self, listener: Listener, conn: Conn, _: SocketAddr) {
        match self.places.get(&listener.0) {
            Some(Place::Host { group, gateway }) if self.groups[*group].state != "removed" => {
                let owner = Owner::Host {
                    group: *group,
                    gateway: *gateway,
                };
                self.owners.insert(conn, owner);
            }
            Some(Place::Board { gateway, which })
                if *which == self.boards[*gateway].which
                    && self.net.now() >= self.board_drops_until =>
            {
                let owner = Owner::Board {
                    gateway: *gateway,
                    which: *which,
                    poll: None,
                };
                self.owners.insert(conn, owner);
            }
            _ => self.net.reset(conn),
        }
    }

    fn connected(&mut self, conn: Conn) {
        match self.owners.get(&conn) {
            Some(Owner::Client { gateway, slot }) => self.clients[*gateway][*slot].ready = true,
            Some(Owner::Garbage) => {
                self.net
                    .write(conn, b"*3\r\n$4\r\nCALL\r\n$-7\r\n\xff\xfe garbage\r\n");
            }
            _ => {}
        }
    }

    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let now = self.now();
        match self.owners.get_mut(&conn) {
            Some(Owner::Host { group, gateway }) => {
                let place = (*group, *gateway);
                self.host_received(conn, place, bytes)
            }
            Some(Owner::Client { gateway, slot }) => {
                let (gateway, slot) = (*gateway, *slot);
                self.answered(gateway, slot, bytes)
            }
            Some(Owner::Board { poll, .. }) => {
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
        if let Some(Owner::Client { gateway, slot }) = self.owners.remove(&conn) {
            self.client_closed(gateway, slot);
        }
    }

    fn timer_fired(&mut self, _: u64) {
        self.tick();
    }
}
