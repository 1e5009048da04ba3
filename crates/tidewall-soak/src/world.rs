//! Everything that the gateways talk to, on one event loop: hosts, boards and clients, and the faults of the plan.
use crate::plan::{Fault, Plan, LISTED_GROUPS, SECOND};
use crate::processes::Gateway;
use crate::record::{Attempt, Call, Class, Excuse, LoadRequest, Record};
use crate::wire::{self, Ask, HostLine};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use tidewall_net::mio::Mio;
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

/// Everything that is due is looked at so often: 5 ms.
const TICK: u64 = 50;
/// The soak's own delay is noted from 10 ms on.
const NOTED_LAG: u64 = 100;
/// Client connections to each gateway, and open calls on each.
const CONNECTIONS: usize = 6;
const MAX_OPEN: usize = 30;
/// A client connects again after this.
const RECONNECT: u64 = 2_000;
/// What crosses a close within 50 ms is sent once more, so it is no loss.
const CROSSING: u64 = 500;
/// What a troubled board has to tell counts as told 7 s after that began.
const BOARD_TROUBLE: u64 = 70_000;
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
    board_trouble_at: Option<u64>,
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
                drained: vec![None; LISTED_GROUPS + releases],
                ..Record::default()
            },
            gateways,
            places,
            addresses,
            board_addresses,
            owners: HashMap::new(),
            clients: (0..plan.gateways)
                .map(|_| (0..CONNECTIONS).map(|_| Client::default()).collect())
                .collect(),
            groups: groups.collect(),
            boards: (0..plan.gateways).map(|_| Board::default()).collect(),
            board_silent_until: 0,
            board_trouble_at: None,
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

    // The list of hosts.

    fn listed(&self, gateway: usize) -> String {
        let groups = self
            .groups
            .iter()
            .enumerate()
            .filter(|(_, g)| matches!(g.state, "up" | "draining"));
        let texts = groups.map(|(index, group)| self.entries(gateway, index, group.state));
        texts.collect::<Vec<_>>().join(",")
    }

    fn entries(&self, gateway: usize, group: usize, state: &str) -> String {
        let at = self.addresses[&(group, gateway)];
        wire::hosts(
            group,
            self.plan.group_size,
            at,
            state,
            self.groups[group].started_ms,
        )
    }

    /// A change of these groups is told to all boards.
    fn tell(&mut self, groups: &[usize]) {
        for gateway in 0..self.gateways.len() {
            let entries: Vec<String> = groups
                .iter()
                .map(|group| self.entries(gateway, *group, self.groups[*group].state))
                .collect();
            let board = &mut self.boards[gateway];
            let revision = board.notices.last().map_or(1, |(revision, _)| revision + 1);
            board
                .notices
                .push((revision, wire::notice(revision, &entries.join(","), false)));
        }
        self.answer_polls();
    }

    fn answer_polls(&mut self) {
        let now = self.now();
        if now < self.board_silent_until {
            return;
        }
        let mut answers = Vec::new();
        for (conn, owner) in &mut self.owners {
            let Owner::Board {
                gateway,
                which,
                poll,
            } = owner
            else {
                continue;
            };
            let board = &self.boards[*gateway];
            let Some((watch, until)) = *poll else {
                continue;
            };
            let last = board.notices.last().map_or(1, |(revision, _)| *revision);
            if *which == board.which && (last > watch || now >= until) {
                let new = board
                    .notices
                    .iter()
                    .filter(|(revision, _)| *revision > watch);
                let texts: Vec<String> = new.map(|(_, text)| text.clone()).collect();
                answers.push((*conn, wire::board_response(last, &texts)));
                *poll = None;
            }
        }
        answers.sort_by_key(|(conn, _)| *conn);
        for (conn, text) in answers {
            self.net.write(conn, text.as_bytes());
        }
    }

    // Gateways.

    fn start_gateway(&mut self, gateway: usize) {
        let list = wire::notice(1, &self.listed(gateway), true);
        self.boards[gateway].notices = vec![(1, list.clone())];
        self.configure(gateway, &list);
        let clock = self.clock_file.clone();
        self.gateways[gateway].start(&self.plan, gateway, &clock);
    }

    fn configure(&mut self, gateway: usize, list: &str) {
        let (own, board) = (&self.gateways[gateway], &self.boards[gateway]);
        let text = crate::settings::config(
            gateway,
            &self.plan,
            own.address,
            self.board_addresses[&(gateway, board.which)],
            list,
        );
        own.configure(&text);
    }

    fn terminate(&mut self, gateway: usize) {
        let now = self.now();
        let own = &mut self.gateways[gateway];
        if own.stopping_at.is_none() && own.check().0 {
            own.stopping_at = Some(now);
            own.signal(libc::SIGCONT);
            own.signal(libc::SIGTERM);
            let kill_at = now + self.plan.longest_deadline().min(MAX_DEADLINE) + KILL_AFTER;
            self.later(kill_at, Due::KillStopping(gateway, now));
        }
    }

    fn check_gateways(&mut self) {
        for gateway in 0..self.gateways.len() {
            let (runs, ended) = self.gateways[gateway].check();
            if let Some(status) = ended {
                self.gateway_ended(gateway, &status);
            }
            if !runs && !self.stopping {
                self.start_gateway(gateway);
            }
        }
    }

    fn gateway_ended(&mut self, gateway: usize, status: &str) {
        let stopping = self.gateways[gateway].stopping_at.is_some();
        if !stopping || !status.contains("exit status: 0") {
            let lines = self.gateways[gateway].logged("");
            let last = lines
                .iter()
                .rev()
                .take(3)
                .cloned()
                .collect::<Vec<_>>()
                .join(" | ");
            self.record
                .crashes
                .push(format!("n{gateway} {status}: {last}"));
        }
        self.collect_violations(gateway);
    }

    /// What a gateway counted itself, as it says when it ends. A step of over 100 ms may be the machine's.
    fn collect_violations(&mut self, gateway: usize) {
        let ends = self.gateways[gateway].logged("draining finished");
        let new = self.ends_seen[gateway].min(ends.len());
        self.ends_seen[gateway] = ends.len();
        for line in &ends[new..] {
            for kind in ["LateResponse", "AttemptByOldInput", "EndedWithOpenRequests"] {
                if line.contains(&format!("violation {kind}")) {
                    self.record.violations.push(format!("n{gateway}: {line}"));
                }
            }
        }
    }

    // Faults.

    fn inject(&mut self, fault: &Fault) {
        let now = self.now();
        match *fault {
            Fault::HostsHang(position, span) => {
                if let Some(group) = self.up_group(position) {
                    self.groups[group].hangs_until = now + span;
                }
            }
            Fault::HostsReset(position) => self.end_host_connections(position, false),
            Fault::HostsCloseIdle(position) => self.end_host_connections(position, true),
            Fault::Release => self.release(),
            Fault::BoardSilent(span) => {
                self.board_silent_until = now + span;
                self.board_trouble_at = Some(now + span);
            }
            Fault::BoardReset => {
                self.board_trouble_at = Some(now);
                self.reset_where(|owner| matches!(owner, Owner::Board { .. }));
            }
            Fault::Reload(gateway) => {
                let old = self.boards[gateway].which;
                self.boards[gateway].which = 1 - old;
                self.board_trouble_at = Some(now);
                let list = self.boards[gateway].notices[0].1.clone();
                self.configure(gateway, &list);
                if self.gateways[gateway].stopping_at.is_none() {
                    self.gateways[gateway].signal(libc::SIGHUP);
                }
                self.later(now + OLD_BOARD_CLOSES, Due::CloseOldBoard(gateway, old));
            }
            Fault::Restart(gateway) => self.terminate(gateway),
            Fault::Kill(gateway) => {
                let own = &mut self.gateways[gateway];
                if own.stopping_at.is_none() {
                    own.killed_at = Some(now);
                    own.kill();
                }
            }
            Fault::Pause(gateway, span) => {
                if self.gateways[gateway].stopping_at.is_none() {
                    self.gateways[gateway].signal(libc::SIGSTOP);
                    self.later(now + span, Due::Continue(gateway));
                }
            }
            Fault::ClockStep(seconds) => {
                let file = std::fs::OpenOptions::new()
                    .write(true)
                    .open(&self.clock_file);
                let file = file.expect("the temporary folder can be written");
                file.write_all_at(&seconds.to_ne_bytes(), 0)
                    .expect("it can be written");
            }
            Fault::Garbage(gateway) => {
                let conn = self.net.connect(self.gateways[gateway].address, SECOND);
                self.owners.insert(conn, Owner::Garbage);
            }
        }
    }

    /// The group at a position of those that are up.
    fn up_group(&self, position: usize) -> Option<usize> {
        let mut up = self
            .groups
            .iter()
            .enumerate()
            .filter(|(_, group)| group.state == "up");
        up.nth(position).map(|(index, _)| index)
    }

    fn release(&mut self) {
        let now = self.now();
        let next = self.groups.iter().position(|group| group.state.is_empty());
        let (Some(oldest), Some(next)) = (self.up_group(0), next) else {
            return;
        };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        self.groups[next].started_ms = unix.map_or(0, |unix| unix.as_millis() as u64);
        self.groups[next].state = "up";
        self.groups[oldest].state = "draining";
        let silent = now < self.board_silent_until;
        let troubled = self
            .board_trouble_at
            .is_some_and(|at| now < at + BOARD_TROUBLE);
        let told_at = if silent || troubled {
            now + BOARD_TROUBLE
        } else {
            now
        };
        self.record.drained[oldest] = Some(told_at);
        self.tell(&[oldest, next]);
        // Well after the grace period, also where it is told late.
        self.later(told_at + 3 * SECOND, Due::GroupGone(oldest));
    }

    fn end_host_connections(&mut self, position: usize, idle_only: bool) {
        let Some(group) = self.up_group(position) else {
            return;
        };
        let busy: Vec<Conn> = self
            .due
            .values()
            .filter_map(|due| match due {
                Due::HostAnswer(conn, _, _) => Some(*conn),
                _ => None,
            })
            .collect();
        let of_group = self.owners.iter().filter(|(conn, owner)| {
            matches!(owner, Owner::Host { group: own, .. } if *own == group)
                && !(idle_only && busy.contains(conn))
        });
        let conns: Vec<Conn> = of_group.map(|(conn, _)| *conn).collect();
        for conn in conns {
            self.owners.remove(&conn);
            if idle_only {
                self.net.close(conn);
            } else {
                self.net.reset(conn);
            }
        }
    }

    fn reset_where(&mut self, condition: impl Fn(&Owner) -> bool) {
        let conns: Vec<Conn> = self
            .owners
            .iter()
            .filter(|(_, owner)| condition(owner))
            .map(|(conn, _)| *conn)
            .collect();
        for conn in conns {
            self.owners.remove(&conn);
            self.net.reset(conn);
        }
    }

    fn carry_out(&mut self, due: Due) {
        match due {
            Due::HostAnswer(conn, _, text) => {
                if self.owners.contains_key(&conn) {
                    self.net.write(conn, text.as_bytes());
                }
            }
            Due::ClientLeaves(trace, conn, tag) => self.client_leaves(trace, conn, tag),
            Due::GroupGone(group) => {
                self.groups[group].state = "removed";
                self.tell(&[group]);
                self.reset_where(|owner| matches!(owner, Owner::Host { group: own, .. } if *own == group));
            }
            Due::Continue(gateway) => self.gateways[gateway].signal(libc::SIGCONT),
            Due::KillStopping(gateway, told_at) => {
                // It may have ended, started and been told again.
                if self.gateways[gateway].stopping_at == Some(told_at) {
                    // What it owed then is lost: no excuse.
                    self.gateways[gateway].kill();
                    self.collect_violations(gateway);
                }
            }
            Due::CloseOldBoard(gateway, old) => self.reset_where(|owner| {
                matches!(owner, Owner::Board { gateway: own, which, .. } if *own == gateway && *which == old)
            }),
        }
    }

    // Clients.

    fn send_calls(&mut self) {
        let now = self.now();
        for gateway in 0..self.gateways.len() {
            while self.next_call[gateway] <= now {
                let mean = SECOND / self.plan.rate;
                let from = self.next_call[gateway].max(now.saturating_sub(SECOND));
                self.next_call[gateway] = from + self.random.random_range(1..2 * mean);
                self.send_call(gateway);
            }
            for slot in 0..CONNECTIONS {
                let client = &self.clients[gateway][slot];
                let told_long_ago = self.gateways[gateway]
                    .stopping_at
                    .is_some_and(|at| now > at + 3_000);
                if client.conn.is_none() && client.retry_at <= now && !told_long_ago {
                    let conn = self.net.connect(self.gateways[gateway].address, SECOND);
                    self.owners.insert(conn, Owner::Client { gateway, slot });
                    self.clients[gateway][slot].conn = Some(conn);
                }
            }
        }
    }

    fn send_call(&mut self, gateway: usize) {
        let usable = |client: &Client| client.ready && client.open.len() < MAX_OPEN;
        let first = self.random.random_range(0..CONNECTIONS);
        let slots = (0..CONNECTIONS).map(|offset| (first + offset) % CONNECTIONS);
        let Some(slot) = slots
            .into_iter()
            .find(|slot| usable(&self.clients[gateway][*slot]))
        else {
            return;
        };
        let class = Class::ALL[self.random.random_range(0..3)];
        let patience_ms = self.random.random_range(self.plan.patience_ms.clone());
        // The square of an even draw: some are called far more often than others.
        let drawn: f64 = self.random.random();
        let function = (drawn * drawn * self.plan.functions as f64) as u64 + 1;
        let trace = self.record.calls.len();
        let client = &mut self.clients[gateway][slot];
        client.last_tag += 1;
        let (tag, conn) = (client.last_tag, client.conn.expect("it is ready"));
        client.open.insert(tag, trace);
        let text = wire::call(tag, trace as u64 + 1, class.name(), patience_ms, function);
        let sent_at = self.now();
        self.net.write(conn, text.as_bytes());
        let patience = patience_ms * 10;
        let note = match self.gateways[gateway].stopping_at {
            Some(at) => format!("(told to stop {} before)", sent_at - at),
            None => String::new(),
        };
        self.record.calls.push(Call {
            gateway,
            class,
            sent_at,
            patience,
            left_at: None,
            answers: Vec::new(),
            attempts: Vec::new(),
            excuse: None,
            note,
        });
        let leaves_early = self.random.random_ratio(1, 8);
        let leaves_at = if leaves_early {
            sent_at + self.random.random_range(0..patience)
        } else {
            sent_at + patience + 5_010
        };
        self.later(leaves_at, Due::ClientLeaves(trace, conn, tag));
    }

    /// The client cancels its call, if it is still open; one in eight closes its connection instead.
    fn client_leaves(&mut self, trace: usize, conn: Conn, tag: u64) {
        let now = self.now();
        let Some(Owner::Client { gateway, slot }) = self.owners.get(&conn) else {
            return;
        };
        let (gateway, slot) = (*gateway, *slot);
        if self.clients[gateway][slot].open.remove(&tag).is_none() {
            return;
        }
        self.record.calls[trace].left_at = Some(now);
        if self.random.random_ratio(1, 8) {
            let open = std::mem::take(&mut self.clients[gateway][slot].open);
            for trace in open.into_values() {
                self.record.calls[trace].left_at = Some(now);
            }
            self.owners.remove(&conn);
            self.net.close(conn);
            self.clients[gateway][slot] = Client {
                retry_at: now + TICK,
                ..Client::default()
            };
        } else {
            self.net.write(conn, wire::cancel(tag).as_bytes());
        }
    }

    fn answered(&mut self, gateway: usize, slot: usize, bytes: &[u8]) -> usize {
        let mut used = 0;
        while let Some((tag, word, body, length)) = wire::answer(&bytes[used..]) {
            used += length;
            let now = self.now();
            // One that the client has left may still be answered: it crossed.
            if let Some(trace) = self.clients[gateway][slot].open.remove(&tag) {
                let is_own = word != "OK" || body == format!("{:016x}", trace + 1);
                let word = if is_own {
                    word
                } else {
                    format!("{word} of another: {body}")
                };
                self.record.calls[trace].answers.push((now, word));
            }
        }
        used
    }

    fn client_closed(&mut self, gateway: usize, slot: usize) {
        let now = self.now();
        let own = &mut self.gateways[gateway];
        let was_killed = own.killed_at.is_some_and(|at| now < at + SECOND);
        for trace in std::mem::take(&mut self.clients[gateway][slot].open).into_values() {
            let call = &mut self.record.calls[trace];
            if was_killed {
                call.excuse = Some(Excuse::Killed);
            } else if now <= call.sent_at + CROSSING {
                call.excuse = Some(Excuse::CrossedClose);
            } else {
                call.note.push_str(&format!(
                    " closed by the gateway at +{}",
                    now - call.sent_at
                ));
            }
        }
        self.clients[gateway][slot] = Client {
            retry_at: now + RECONNECT,
            ..Client::default()
        };
    }

    // Hosts.

    fn host_received(
        &mut self,
        conn: Conn,
        (group, gateway): (usize, usize),
        bytes: &[u8],
    ) -> usize {
        let mut used = 0;
        while let Some((line, length)) = wire::host_line(&bytes[used..]) {
            used += length;
            let now = self.now();
            match line {
                HostLine::Go(trace, timeout_ms) => self.attempted(conn, group, trace, timeout_ms),
                HostLine::Halt(trace) => {
                    self.due.retain(|_, due| !matches!(due, Due::HostAnswer(c, t, _) if *c == conn && *t == trace));
                }
                HostLine::Ask(tag, ask) => {
                    if ask == Ask::Load {
                        self.record
                            .load_requests
                            .push(LoadRequest { gateway, at: now });
                    }
                    if now >= self.groups[group].hangs_until {
                        let text = wire::host_answer(&tag, ask);
                        self.later(now + 100, Due::HostAnswer(conn, u64::MAX, text));
                    }
                }
                HostLine::Other => {}
            }
        }
        used
    }

    fn attempted(&mut self, conn: Conn, group: usize, trace: u64, timeout_ms: u64) {
        let now = self.now();
        let chance = self.random.random_range(0..100);
        let hangs = now < self.groups[group].hangs_until;
        let word = match chance {
            0..3 if !hangs => Some("refused"),
            3..6 if !hangs => Some("nothing"),
            _ => None,
        };
        let not_run = word.is_some();
        if let Some(call) = self.record.calls.get_mut(trace as usize - 1) {
            call.attempts.push(Attempt {
                at: now,
                group,
                timeout_ms,
                not_run,
            });
        }
        if hangs {
            return;
        }
        let text = word.map_or_else(
            || wire::host_ok(trace),
            |word| wire::host_not_run(trace, word),
        );
        let delay = self.random.random_range(20..400);
        self.later(now + delay, Due::HostAnswer(conn, trace, text));
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
            Some(Place::Board { gateway, which }) if *which == self.boards[*gateway].which => {
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
