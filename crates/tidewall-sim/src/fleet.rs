//! Several gateways that hold leases of fleet-wide tasks in common, each with its tasks as shipped: members, keepers, holders,
//! and those that act at the stand-in workers. Troubles are drawn from the seed: few kinds a run, each often. The audit reads
//! what reached the workers; when the troubles are over every task has to be held again.
use crate::pair::SharedRecord;
use crate::site;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tidewall_audit::Audit;
use tidewall_config::Section;
use tidewall_coordination::config::CoordinationConfig;
use tidewall_coordination::executor_task::ExecutorTask;
use tidewall_coordination::lease_task::LeaseTask;
use tidewall_coordination::mailbox::{channel, ExecutorCommand, MailboxSender};
use tidewall_emulator::{Fleet, Gateways, Plan};
use tidewall_gateway::Gateway;
use tidewall_lease::lease::LeaseState;
use tidewall_lease::SafetyChecks;
use tidewall_net::memory::{self, Memory, Path, Tap, World};
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net, Time};
use tidewall_vrrp::packet::Keys;

/// What is left out on purpose, to show which net notices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Plant {
    #[default]
    Nothing,
    /// Keepers grant right after a start, without their memory.
    Forgets,
    /// A term is not shortened by what clocks may differ.
    NotShortened,
    /// Workers look at no epoch of a task.
    NoEpochs,
    /// A renewal counts from its answer.
    FromAnswer,
    /// One keeper's vote counts twice, where its answer comes twice.
    TwoVotes,
}

impl Plant {
    pub const ALL: [Plant; 5] = [
        Plant::Forgets,
        Plant::NotShortened,
        Plant::NoEpochs,
        Plant::FromAnswer,
        Plant::TwoVotes,
    ];

    pub fn guards(self) -> SafetyChecks {
        SafetyChecks {
            silent_start: self != Plant::Forgets,
            shortened_lease: self != Plant::NotShortened,
            counts_from_request: self != Plant::FromAnswer,
            one_vote_per_grantor: self != Plant::TwoVotes,
            replay_protection: self != Plant::TwoVotes,
        }
    }
}

/// One trouble.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// A process dies and starts again, without its memory.
    Kill { member: usize, back: Time },
    /// All at once.
    KillAll { back: Time },
    /// A process, or only one of its tasks, stands still.
    Pause {
        member: usize,
        part: Part,
        lasts: Time,
    },
    /// Nothing crosses between these members and the others: both ways, or only out of them, or only into them.
    Cut {
        members: Vec<usize>,
        way: Ways,
        lasts: Time,
    },
    /// The same, again and again.
    Flap {
        members: Vec<usize>,
        times: u32,
        every: Time,
    },
    /// What goes between members is slow, uneven, lost and doubled.
    Slow { path: Path, lasts: Time },
    /// The same between one member and the others.
    SlowOf {
        member: usize,
        path: Path,
        lasts: Time,
    },
    /// What goes between one member's acts and the workers is slow.
    SlowActs {
        member: usize,
        delay: Time,
        lasts: Time,
    },
    /// Told to go; it starts again after a while.
    Leave { member: usize, back: Time },
    /// All are told to go, one after the other.
    Rolling { every: Time, back: Time },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    All,
    Keeping,
    Acting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ways {
    Both,
    Out,
    In,
}

/// How a run goes.
#[derive(Clone)]
pub struct Setup {
    pub seed: u64,
    pub plant: Plant,
    pub members: usize,
    pub leases: usize,
    /// Events a second; 0: no gateways, only their tasks.
    pub rate: f64,
    /// Drawn from the seed where left out.
    pub troubles: Option<Vec<(Time, Trouble)>>,
    /// How long troubles last, in seconds.
    pub seconds: f64,
    /// Messages that may wait between two tasks; drawn where left out.
    pub channel: Option<usize>,
    /// Clocks are beyond their bound; drawn where left out.
    pub wild: Option<bool>,
    pub keep: bool,
    /// The settings' own defaults instead of those by which faults are met within seconds.
    pub usual: bool,
}

impl Setup {
    pub fn new(seed: u64) -> Setup {
        Setup {
            seed,
            plant: Plant::Nothing,
            members: 5,
            leases: 6,
            rate: 40.0,
            troubles: None,
            seconds: 8.0,
            channel: None,
            wild: None,
            keep: false,
            usual: false,
        }
    }

    /// The smallest run: three members, all keepers, one task, nothing else.
    pub fn smallest(seed: u64) -> Setup {
        let troubles = Some(Vec::new());
        let (channel, wild) = (Some(64), Some(false));
        Setup {
            members: 3,
            leases: 1,
            rate: 0.0,
            seconds: 4.0,
            troubles,
            channel,
            wild,
            ..Setup::new(seed)
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub seed: u64,
    pub digest: u64,
    pub steps: u64,
    pub events: u64,
    pub handled: u64,
    pub service: f64,
    /// Acts that reached workers in time, and how often a task changed hands.
    pub acts: u64,
    pub changes: u64,
    pub datagrams: u64,
    pub refused: u64,
    pub full: u64,
    /// How long each task was held by nobody after the troubles, at most.
    pub idle: Time,
    pub cases: Vec<u64>,
    pub breaches: Vec<String>,
    pub troubles: Vec<(Time, Trouble)>,
    pub wild: bool,
    pub record: Vec<u8>,
}

/// Bound of clocks in these runs: a tenth, so that what it guards against is met within seconds.
pub const PPM: i64 = 100_000;
pub const TERM: Time = 20_000;
const KEY: &[u8] = b"a key of the fleet's runs, known to all";

pub fn keys() -> Keys {
    Keys(vec![(1, KEY.to_vec())])
}

const HALLS: [&str; 3] = ["north", "east", "west"];

fn settings(setup: &Setup, channel: usize) -> Section {
    let mut text = String::new();
    for m in 0..setup.members {
        text += &format!(
            "gateway {{ name: \"g{m}\" address: \"127.0.0.1:{}\" zone: \"{}\" common_address: \"127.0.{}.{}:9000\" }}\n",
            7000 + m,
            HALLS[m % 3],
            1 + m / 200,
            m % 200 + 1
        );
    }
    let keepers = (0..if setup.members >= 5 { 5 } else { 3 })
        .map(|m| format!("\"g{m}\""))
        .collect::<Vec<_>>();
    let times = if setup.usual {
        "term_ms: 5000 clocks_ppm: 1000 ticket_ms: 500 period_ms: 500 turn_ms: 1000 datagrams_per_s: 100000 bytes_per_s: 10000000"
            .to_string()
    } else {
        format!("term_ms: 2000 clocks_ppm: {PPM} ticket_ms: 100 period_ms: 200 turn_ms: 40")
    };
    text += &format!(
        "fleet_common {{ keeper: [{}] leases: {} {times} key_file: \"unused\" channel: {channel} }}\n",
        keepers.join(", "),
        setup.leases
    );
    text += &SETTINGS.replace("RATE", &setup.rate.max(1.0).to_string());
    tidewall_config::settings("run", &text).expect("the run's settings are good")
}

const SETTINGS: &str = r#"
roster { address: "127.0.0.1:710" }
zone: ["north", "east", "west"]
kind { name: "k" memory_mb: 900 }
event_type { name: "check" target_time_ms: 600 max_age_ms: 3000 redelivery: REDELIVERABLE }
event_type { name: "record" target_time_ms: 600 max_age_ms: 3000 benefit: 3 redelivery: KEYED group: ZONE window_ms: 4000 }
event_type { name: "issue" target_time_ms: 800 max_age_ms: 3500 benefit: 2 redelivery: AT_MOST_ONCE }
limits { two_at_once: false max_launches: 3 }
loading { stays_loaded_ms: 8000 window_ms: 10000 free: 4 share: 0.2 }
rules { drain_grace_ms: 2000 cold_from: 0.2 cold_ms: 3000 fall_multiple: 2.5 fall_ms: 1500 }
fleet {
  workers { name: "n" count: 2 zone: "north" kind: "k" cores: 2 queue: 40 }
  workers { name: "e" count: 2 zone: "east" kind: "k" cores: 2 queue: 40 }
  workers { name: "w" count: 2 zone: "west" kind: "k" cores: 4 queue: 60 }
  programs { name: "stock" count: 6 event_type: "check" work_ms: 25 memory_mb: 120 fetch_ms: 150 start_ms: 60 share: 0.6 }
  programs { name: "book" count: 3 event_type: "record" work_ms: 30 memory_mb: 120 fetch_ms: 150 start_ms: 60 share: 0.3 }
  programs { name: "slip" count: 2 event_type: "issue" work_ms: 35 memory_mb: 100 fetch_ms: 120 start_ms: 60 share: 0.1 }
  depot { capacity: 6 most: 40 }
  clients { rate: RATE connections: 2 retries: 1 wait_ms: 120 patience: 0.7 front_ms: 1000 payload: 32 }
  roster_late_ms: 300
  silent_notice_ms: 1500
}
"#;

/// Nobody: the place of a gateway that is not played.
struct Empty(Memory);

impl App for Empty {
    type Net = Memory;
    fn net(&mut self) -> &mut Memory {
        &mut self.0
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, _: Conn, bytes: &[u8]) -> usize {
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, _: CloseReason) {}
    fn datagram_received(&mut self, _: DatagramSocket, _: SocketAddr, _: &[u8]) {}
    fn timer_fired(&mut self, _: u64) {}
}

struct NoOrders;

impl Gateways for NoOrders {
    fn kill(&mut self, _: usize) {}
    fn start(&mut self, _: usize) {}
    fn set_suspended(&mut self, _: usize, _: bool) {}
}

/// One process: its loop, and the two tasks beside it.
struct Process {
    hands: [Memory; 3],
    gateway: Result<Box<Gateway<Memory>>, Empty>,
    keeping: LeaseTask<Memory>,
    acting: ExecutorTask<Memory>,
    told: Arc<AtomicBool>,
    /// When it starts next.
    back: Option<Time>,
    leaves: Option<(Time, Time)>,
    /// Its loop has ended, and its tasks go on for a while.
    ended: bool,
    still: bool,
    life: u64,
}

pub struct Run {
    setup: Setup,
    s: Section,
    world: Rc<RefCell<World>>,
    processes: Vec<Process>,
    fleet_hand: Memory,
    fleet: Fleet<Memory>,
    workers: Vec<(String, SocketAddr)>,
    record: SharedRecord,
    troubles: Vec<(Time, Trouble)>,
    next: usize,
    ends: Vec<(Time, End)>,
    cuts: Vec<(Vec<usize>, Ways)>,
    slow: Option<Path>,
    slow_of: Vec<(usize, Path)>,
    wild: bool,
    counted: Report,
}

#[derive(Clone)]
enum End {
    Go(usize, Part),
    Mend(Vec<usize>, Ways),
    MendAll,
    MendOf(usize),
    MendActs(usize),
    Cut(Vec<usize>),
    Leave(usize, Time),
}

/// The run looks at the processes this often.
const LOOK: Time = 50;

/// A process that was told to go and does not is killed after this, as SIGKILL would.
const PATIENCE: Time = 50_000;

fn process(setup: &Setup, s: &Section, hands: &[Memory; 3], me: usize, life: u64) -> Process {
    let seed = setup.seed * 1_000 + life * 16 + me as u64;
    let conf = CoordinationConfig::new(s, me, life, seed, setup.plant.guards(), Box::new(keys));
    let (to_acts, acts_inbox) = channel::<ExecutorCommand>(conf.channel_capacity);
    let (from_acts, inbox) = channel(conf.channel_capacity);
    let mut watch: MailboxSender<ExecutorCommand> = to_acts.clone_sender();
    let told = Arc::new(AtomicBool::new(false));
    let over = Arc::new(AtomicBool::new(false));
    let acting = ExecutorTask::new(hands[2].clone(), &conf, acts_inbox, from_acts, over);
    let keeping = LeaseTask::new(hands[1].clone(), conf, (to_acts, inbox), told.clone());
    let keeping = keeping.expect("its address is free");
    let gateway = if setup.rate > 0.0 {
        let mut gateway = site::plain(s, &hands[0], me, seed);
        gateway.watch_endpoints(Box::new(move |list| {
            watch.send(ExecutorCommand::EndpointsChanged(
                list.iter().map(|e| (e.name.clone(), e.address)).collect(),
            ))
        }));
        Ok(Box::new(gateway))
    } else {
        Err(Empty(hands[0].clone()))
    };
    let hands = hands.clone();
    Process {
        hands,
        gateway,
        keeping,
        acting,
        told,
        back: None,
        leaves: None,
        ended: false,
        still: false,
        life,
    }
}

impl Run {
    pub fn new(setup: Setup) -> Run {
        let world = memory::world();
        world.borrow_mut().seed(setup.seed);
        let mut chance = ChaCha8Rng::seed_from_u64(setup.seed ^ 0xf1ee7);
        let channel = setup.channel.unwrap_or(
            *[1, 2, 4, 64, 64, 64]
                .choose(&mut chance)
                .expect("there are some"),
        );
        let s = settings(&setup, channel);
        let hands: Vec<[Memory; 3]> = (0..setup.members)
            .map(|_| std::array::from_fn(|_| Memory::join(&world)))
            .collect();
        let fleet_hand = Memory::join(&world);
        let wild = setup.wild.unwrap_or(chance.random_ratio(1, 8));
        let bound = match (setup.usual, wild) {
            (true, _) => 1_000,
            (_, true) => 4 * PPM,
            _ => PPM,
        };
        // The worst for a lease: its holder's clock is slow, and the keepers' are fast.
        let worst = chance
            .random_ratio(1, 2)
            .then(|| chance.random_range(0..setup.members));
        for (m, h) in hands.iter().enumerate() {
            h[0].clock(chance.random_range(-200..=200));
            // At the ends of the bound more often than within it: that is where it matters.
            let ppm = match chance.random_range(0..4) {
                _ if worst.is_some() => bound * if worst == Some(m) { -1 } else { 1 },
                0 => -bound,
                1 => bound,
                _ => chance.random_range(-bound..=bound),
            };
            // One machine's tasks go by one clock; the loop's own is kept near, as clients judge it by theirs.
            h[1..].iter().for_each(|hand| hand.clock(ppm));
        }
        let record = SharedRecord::default();
        let plan = Plan {
            seed: setup.seed,
            seconds: setup.seconds,
            clients: setup.rate > 0.0,
            amqp: false,
            record: Box::new(record.clone()),
            gateways: Box::new(NoOrders),
            checks_epochs: true,
            forgets_votes: false,
            checks_task_epochs: setup.plant != Plant::NoEpochs,
            wild_clocks: wild,
        };
        let fleet = Fleet::new(fleet_hand.clone(), &s, None, plan).expect("its addresses are free");
        let workers: Vec<(String, SocketAddr)> = fleet.workers();
        let span = (setup.seconds * 10_000.0) as Time;
        let drawn = || draw(&mut chance, span, setup.members);
        let troubles = setup.troubles.clone().unwrap_or_else(drawn);
        let processes: Vec<Process> = (0..setup.members)
            .map(|m| process(&setup, &s, &hands[m], m, 1_000 + m as u64))
            .collect();
        let mut run = Run {
            setup,
            s,
            world,
            processes,
            fleet_hand,
            fleet,
            workers,
            record,
            troubles,
            next: 0,
            ends: Vec::new(),
            cuts: Vec::new(),
            slow: None,
            slow_of: Vec::new(),
            wild,
            counted: Report::default(),
        };
        (0..run.processes.len()).for_each(|m| run.started(m));
        run
    }

    /// Where no gateway is played nobody else tells the workers.
    fn started(&mut self, m: usize) {
        if self.processes[m].gateway.is_err() {
            self.processes[m]
                .acting
                .update_endpoints(self.workers.clone());
        }
    }

    pub fn tap(&mut self, tap: Tap) {
        self.world.borrow_mut().tap = Some(tap);
    }

    pub fn world(&self) -> &Rc<RefCell<World>> {
        &self.world
    }

    pub fn now(&self) -> Time {
        self.world.borrow().now()
    }

    pub fn step(&mut self, until: Time) -> bool {
        let mut apps: Vec<&mut dyn App<Net = Memory>> =
            Vec::with_capacity(3 * self.processes.len() + 1);
        for p in &mut self.processes {
            apps.push(match &mut p.gateway {
                Ok(gateway) => &mut **gateway,
                Err(empty) => empty,
            });
            apps.push(&mut p.keeping);
            apps.push(&mut p.acting);
        }
        apps.push(&mut self.fleet);
        memory::step(&self.world, &mut apps, until)
    }

    pub fn kill(&mut self, m: usize, back: Time) {
        let now = self.now();
        let p = &mut self.processes[m];
        if p.back.is_some() {
            return;
        }
        for hand in &p.hands {
            hand.still(false);
            hand.kill();
        }
        (p.back, p.leaves) = (Some(now + back), None);
        self.counted.refused += p.keeping.counters.datagrams_rejected.get();
        self.counted.datagrams += p.keeping.counters.datagrams_sent.get();
        self.counted.full += p.keeping.dropped_commands();
        if !p.ended {
            self.fleet.record_killed(m, true);
        }
    }

    fn start(&mut self, m: usize) {
        let p = &self.processes[m];
        let (hands, life) = (p.hands.clone(), p.life + 100);
        hands.iter().for_each(|h| h.restart());
        self.fleet.record_killed(m, false);
        self.processes[m] = process(&self.setup, &self.s, &hands, m, life);
        self.started(m);
    }

    fn pause(&mut self, m: usize, part: Part, on: bool) {
        let p = &self.processes[m];
        if p.back.is_some() {
            return;
        }
        let parts = match part {
            Part::All => 0..3,
            Part::Keeping => 1..2,
            Part::Acting => 2..3,
        };
        if part == Part::All && std::mem::replace(&mut self.processes[m].still, on) != on {
            self.fleet.record_partitioned(m, on);
        }
        let p = &self.processes[m];
        parts.for_each(|i| p.hands[i].still(on));
    }

    fn usual() -> Path {
        Path {
            delay: 2,
            ..Path::default()
        }
    }

    /// What befalls datagrams between members now: cuts that hold, and what is slow.
    fn paths(&mut self) {
        let mut w = self.world.borrow_mut();
        for a in 0..self.processes.len() {
            for b in (0..self.processes.len()).filter(|b| *b != a) {
                let struck = |(side, way): &(Vec<usize>, Ways)| {
                    let (out, into) = (side.contains(&a), side.contains(&b));
                    out != into && (*way == Ways::Both || (*way == Ways::Out) == out)
                };
                let cut = self.cuts.iter().any(struck);
                let one = self
                    .slow_of
                    .iter()
                    .find(|s| s.0 == a || s.0 == b)
                    .map(|s| s.1);
                let path = Path {
                    cut,
                    ..one.or(self.slow).unwrap_or(Run::usual())
                };
                w.path(
                    &self.processes[a].hands[1],
                    &self.processes[b].hands[1],
                    path,
                );
            }
        }
    }

    fn cut(&mut self, side: &[usize], way: Ways, on: bool) {
        if on {
            self.cuts.push((side.to_vec(), way));
        } else if let Some(i) = self.cuts.iter().position(|c| c.0 == side && c.1 == way) {
            self.cuts.remove(i);
        }
        self.paths();
    }

    fn acts(&mut self, m: usize, path: Path) {
        let mut w = self.world.borrow_mut();
        w.path(&self.processes[m].hands[2], &self.fleet_hand, path);
        w.path(&self.fleet_hand, &self.processes[m].hands[2], path);
    }

    fn leave(&mut self, m: usize, back: Time) {
        let now = self.now();
        let p = &mut self.processes[m];
        if p.back.is_none() && p.leaves.is_none() {
            p.leaves = Some((now, back));
            p.told.store(true, Ordering::Relaxed);
            if let Ok(gateway) = &mut p.gateway {
                gateway.drain();
            }
        }
    }

    fn trouble(&mut self, trouble: Trouble) {
        let now = self.now();
        let all = self.processes.len();
        match trouble {
            Trouble::Kill { member, back } => self.kill(member, back),
            Trouble::KillAll { back } => (0..all).for_each(|m| self.kill(m, back)),
            Trouble::Pause {
                member,
                part,
                lasts,
            } => {
                self.pause(member, part, true);
                self.ends.push((now + lasts, End::Go(member, part)));
            }
            Trouble::Cut {
                members,
                way,
                lasts,
            } => {
                self.cut(&members, way, true);
                self.ends.push((now + lasts, End::Mend(members, way)));
            }
            Trouble::Flap {
                members,
                times,
                every,
            } => {
                for i in 0..Time::from(times) {
                    self.ends
                        .push((now + 2 * i * every, End::Cut(members.clone())));
                    self.ends.push((
                        now + (2 * i + 1) * every,
                        End::Mend(members.clone(), Ways::Both),
                    ));
                }
            }
            Trouble::Slow { path, lasts } => {
                self.slow = Some(path);
                self.paths();
                self.ends.push((now + lasts, End::MendAll));
            }
            Trouble::SlowOf {
                member,
                path,
                lasts,
            } => {
                self.slow_of.push((member, path));
                self.paths();
                self.ends.push((now + lasts, End::MendOf(member)));
            }
            Trouble::SlowActs {
                member,
                delay,
                lasts,
            } => {
                self.acts(
                    member,
                    Path {
                        delay,
                        ..Path::default()
                    },
                );
                self.ends.push((now + lasts, End::MendActs(member)));
            }
            Trouble::Leave { member, back } => self.leave(member, back),
            Trouble::Rolling { every, back } => {
                for m in 0..all {
                    self.ends
                        .push((now + m as Time * every, End::Leave(m, back)));
                }
            }
        }
    }

    /// What is due by now: troubles, their ends, processes that start.
    fn look(&mut self) {
        let now = self.now();
        while self.troubles.get(self.next).is_some_and(|t| t.0 <= now) {
            let trouble = self.troubles[self.next].1.clone();
            self.next += 1;
            self.trouble(trouble);
        }
        let (due, rest): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|e| e.0 <= now);
        self.ends = rest;
        for (_, end) in due {
            match end {
                End::Go(m, part) => self.pause(m, part, false),
                End::Mend(side, way) => self.cut(&side, way, false),
                End::MendAll => {
                    self.slow = None;
                    self.paths();
                }
                End::MendOf(m) => {
                    self.slow_of.retain(|s| s.0 != m);
                    self.paths();
                }
                End::MendActs(m) => self.acts(m, Run::usual()),
                End::Cut(side) => self.cut(&side, Ways::Both, true),
                End::Leave(m, back) => self.leave(m, back),
            }
        }
        for m in 0..self.processes.len() {
            let p = &mut self.processes[m];
            if p.gateway.is_ok() && p.back.is_none() && !p.ended && p.hands[0].dead() {
                // Its connections end with it.
                p.ended = true;
                p.hands[0].kill();
                self.fleet.record_killed(m, true);
            }
            let p = &self.processes[m];
            let drained = p.gateway.as_ref().map_or(true, |_| p.hands[0].dead());
            if let Some((at, back)) = p.leaves {
                if p.keeping.is_finished() && drained || now > at + PATIENCE {
                    self.kill(m, back);
                }
            }
            if self.processes[m].back.is_some_and(|at| at <= now) {
                self.start(m);
            }
        }
    }

    pub fn until(&mut self, until: Time) {
        while self.now() < until {
            let next = (self.now() + LOOK).min(until);
            while self.step(next) {}
            self.look();
            self.overlap();
        }
    }

    /// Who may act on a task now, by its own clock.
    pub fn holders(&self, task: usize) -> Vec<usize> {
        let may = |p: &Process| {
            let now = p.hands[1].now();
            p.back.is_none() && p.keeping.holder().lease(task).is_held(now)
        };
        (0..self.processes.len())
            .filter(|m| may(&self.processes[*m]))
            .collect()
    }

    /// How a task stands at each member that wants it, and whom others think it should be with.
    pub fn look_at(&self, task: usize) -> String {
        let each = self
            .processes
            .iter()
            .enumerate()
            .filter(|p| p.1.back.is_none())
            .map(|(m, p)| {
                let l = p.keeping.holder().lease(task);
                format!(
                    "{m}:{:?}/{:?}/{}",
                    l.state,
                    p.keeping.preferred_holder(task),
                    if l.wanted() { "wanted" } else { "-" }
                )
            });
        format!("task {task}: {}", each.collect::<Vec<_>>().join(" "))
    }

    /// Two that may act on one task at once, each by its own clock, whether or not a turn of both falls into that time.
    fn overlap(&mut self) {
        for task in (0..self.setup.leases).filter(|_| !self.wild) {
            let may = |p: &Process| p.back.is_none() && p.acting.is_held(p.hands[2].now(), task);
            let both: Vec<usize> = (0..self.processes.len())
                .filter(|m| may(&self.processes[*m]))
                .collect();
            if both.len() > 1 && self.counted.breaches.len() < 3 {
                let at = self.now() as f64 / 10.0;
                self.counted
                    .breaches
                    .push(format!("{at} ms: task {task} may be acted on by {both:?}"));
            }
        }
    }

    /// How many tasks are held where they should be.
    pub fn settled(&self) -> bool {
        let acted_on = |task| {
            self.processes
                .iter()
                .any(|p| p.acting.is_held(p.hands[2].now(), task))
        };
        (0..self.setup.leases).all(|task| self.holders(task).len() == 1 && acted_on(task))
            && self.processes.iter().all(|p| {
                let holder = p.keeping.holder();
                (0..self.setup.leases).all(|t| holder.lease(t).state != LeaseState::Stopping)
            })
    }

    pub fn finish(mut self) -> Report {
        let span = (self.setup.seconds * 10_000.0) as Time;
        self.until(span);
        // All troubles are over: the network is whole, everybody runs.
        self.ends.retain(|e| matches!(e.1, End::Go(..)));
        let ends: Vec<_> = self.ends.drain(..).collect();
        for (_, end) in ends {
            if let End::Go(m, part) = end {
                self.pause(m, part, false);
            }
        }
        (self.slow, self.cuts) = (None, Vec::new());
        self.slow_of.clear();
        self.paths();
        (0..self.processes.len()).for_each(|m| self.acts(m, Run::usual()));
        self.next = self.troubles.len();
        let began = self.now();
        let mut idle = None;
        // The longest that a keeper's silence, a lease that runs out and a share may take one after the other.
        let last = began + 6 * TERM;
        while self.now() < last {
            let until = self.now() + 500;
            self.until(until);
            if self.settled() {
                idle.get_or_insert(self.now() - began);
                // Events in hand, and the day's end, are waited for as well.
                if self.now() > began + 60_000 || self.setup.rate == 0.0 {
                    break;
                }
            }
        }
        let mut breaches = std::mem::take(&mut self.counted.breaches);
        // Beyond their bound clocks may lapse leases at any time, and only safety is promised.
        if idle.is_none() || !self.wild && !self.settled() {
            let held: Vec<_> = (0..self.setup.leases).map(|t| self.holders(t)).collect();
            breaches.push(format!(
                "liveness: after {} ms tasks are held by {held:?}",
                (self.now() - began) / 10
            ));
        }
        self.fleet.flush();
        let bytes = self.record.0.borrow().clone();
        let lines = std::str::from_utf8(&bytes)
            .expect("JSON is text")
            .lines()
            .map(str::to_string);
        let audit: Audit = tidewall_audit::check(lines).expect("the record is whole");
        let rules = audit.verdicts.iter().enumerate();
        breaches.extend(rules.flat_map(|(i, v)| {
            v.breaches
                .iter()
                .map(move |b| format!("rule {}: {b}", i + 1))
        }));
        for p in &self.processes {
            self.counted.refused += p.keeping.counters.datagrams_rejected.get();
            self.counted.datagrams += p.keeping.counters.datagrams_sent.get();
            self.counted.full += p.keeping.dropped_commands();
        }
        let results = self.fleet.results();
        let (digest, steps) = (self.world.borrow().digest(), self.world.borrow().steps);
        Report {
            seed: self.setup.seed,
            digest,
            steps,
            events: results.events,
            handled: results.handled,
            service: if self.setup.rate > 0.0 {
                results.service()
            } else {
                0.0
            },
            acts: audit.acts,
            changes: audit.verdicts[5].cases,
            idle: idle.unwrap_or(0),
            cases: audit.verdicts.iter().map(|v| v.cases).collect(),
            breaches,
            troubles: self.troubles,
            wild: self.wild,
            record: if self.setup.keep { bytes } else { Vec::new() },
            ..self.counted
        }
    }
}

pub fn run(setup: Setup) -> Report {
    Run::new(setup).finish()
}

/// The fewest troubles with which this run still breaks a rule. None where it breaks none.
pub fn shrink(setup: &Setup) -> Option<Report> {
    let mut last = run(setup.clone());
    if last.breaches.is_empty() {
        return None;
    }
    loop {
        let before = last.troubles.len();
        for i in (0..last.troubles.len()).rev() {
            let mut fewer = last.troubles.clone();
            fewer.remove(i);
            let report = run(Setup {
                troubles: Some(fewer),
                ..setup.clone()
            });
            if !report.breaches.is_empty() {
                last = report;
            }
        }
        if before == last.troubles.len() {
            return Some(last);
        }
    }
}

/// Two to four kinds of trouble are on in a run; four to twelve troubles of those.
fn draw(chance: &mut ChaCha8Rng, span: Time, all: usize) -> Vec<(Time, Trouble)> {
    // Cuts and slow links are where leases are put to the test: drawn more often than the others.
    let mut kinds = vec![0, 1, 2, 3, 3, 4, 5, 6, 7, 8, 9, 9, 9];
    kinds.shuffle(chance);
    kinds.truncate(chance.random_range(2..=4));
    let mut list: Vec<(Time, Trouble)> = Vec::new();
    for _ in 0..chance.random_range(4..=12) {
        // From before the first leases on.
        let at = chance.random_range(span / 8..span * 7 / 8);
        let member = chance.random_range(0..all);
        // Shorter and longer than a term.
        let (long, later) = (chance.random_ratio(1, 2), chance.random_ratio(1, 2));
        let lasts = chance.random_range(200..if long { 2 * TERM } else { TERM / 2 });
        let back = chance.random_range(100..if later { 25_000 } else { TERM / 4 });
        let mut members: Vec<usize> = (0..all).collect();
        members.shuffle(chance);
        members.truncate(chance.random_range(1..=all / 2));
        let kind = *kinds.choose(chance).expect("there are some");
        let trouble = match kind {
            0 => Trouble::Kill { member, back },
            1 => Trouble::KillAll { back },
            2 => {
                let part = *[Part::All, Part::Keeping, Part::Acting]
                    .choose(chance)
                    .expect("there are some");
                Trouble::Pause {
                    member,
                    part,
                    lasts,
                }
            }
            3 => {
                let way = *[Ways::Both, Ways::Out, Ways::In]
                    .choose(chance)
                    .expect("there are some");
                Trouble::Cut {
                    members,
                    way,
                    lasts,
                }
            }
            4 => {
                let (times, every) = (chance.random_range(2..6), chance.random_range(500..5_000));
                Trouble::Flap {
                    members,
                    times,
                    every,
                }
            }
            5 => {
                let path = Path {
                    delay: chance.random_range(2..3_000),
                    jitter: chance.random_range(0..4_000),
                    lost: chance.random_range(0..400),
                    twice: chance.random_range(0..500),
                    cut: false,
                };
                Trouble::Slow {
                    path,
                    lasts: lasts.max(TERM / 4),
                }
            }
            6 => Trouble::SlowActs {
                member,
                delay: chance.random_range(100..8_000),
                lasts,
            },
            7 => Trouble::Leave { member, back },
            9 => {
                // A member on a slow link is cut off, alone or with another one, while its renewals are on their way.
                let path = Path {
                    delay: chance.random_range(2..4_000),
                    jitter: chance.random_range(0..500),
                    lost: 0,
                    twice: chance.random_range(0..1_000),
                    cut: false,
                };
                members.retain(|m| *m != member);
                members.truncate(chance.random_range(0..=all / 2 - 1));
                members.push(member);
                let after = chance.random_range(TERM / 4..TERM);
                list.push((
                    at + after,
                    Trouble::Cut {
                        members,
                        way: Ways::Both,
                        lasts: 2 * TERM,
                    },
                ));
                Trouble::SlowOf {
                    member,
                    path,
                    lasts: after + TERM,
                }
            }
            _ => Trouble::Rolling {
                every: chance.random_range(2_000..12_000),
                back: back.min(8_000),
            },
        };
        list.push((at, trouble));
    }
    list.sort_by_key(|t| t.0);
    list
}

/// What leases cost while nothing happens, and how long a task stands idle where its holder goes.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Of one member in a second, on the mean and of the one that sends most.
    pub datagrams: (f64, f64),
    pub bytes: (f64, f64),
    /// From the start of all until all tasks are held, tenths of a millisecond.
    pub start: Time,
    /// Tasks of a member that is killed, and of one that goes in order: until all are held again.
    pub lost: Time,
    pub given: Time,
}

/// So many members and leases, with the settings' defaults.
pub fn cost(members: usize, leases: usize) -> Cost {
    let troubles = Some(Vec::new());
    let (channel, wild) = (Some(100_000), Some(false));
    let setup = Setup {
        members,
        leases,
        rate: 0.0,
        troubles,
        channel,
        wild,
        usual: true,
        seconds: 600.0,
        ..Setup::new(1)
    };
    let mut run = Run::new(setup);
    let until = |run: &mut Run, m: Option<usize>| {
        let began = run.now();
        while run.now() < began + 600_000 {
            let next = run.now() + 50;
            run.until(next);
            // Killed ones look as if they held what their lease still covers.
            let held = (0..leases).all(|t| run.holders(t).iter().any(|h| Some(*h) != m));
            if held {
                break;
            }
        }
        run.now() - began
    };
    let start = until(&mut run, None);
    // Members that settle later take what is theirs.
    let settle = run.now() + 300_000;
    run.until(settle);
    let sent = |run: &Run| -> Vec<(u64, u64)> {
        run.processes
            .iter()
            .map(|p| {
                (
                    p.keeping.counters.datagrams_sent.get(),
                    p.keeping.counters.bytes_sent.get(),
                )
            })
            .collect()
    };
    let before = sent(&run);
    let (span, from) = (100_000, run.now());
    run.until(from + span);
    let after = sent(&run);
    let a_second = |of: fn(&(u64, u64)) -> u64| {
        let each: Vec<f64> = after
            .iter()
            .zip(&before)
            .map(|(a, b)| (of(a) - of(b)) as f64 / 10.0)
            .collect();
        (
            each.iter().sum::<f64>() / each.len() as f64,
            each.iter().copied().fold(0.0, f64::max),
        )
    };
    let (datagrams, bytes) = (a_second(|s| s.0), a_second(|s| s.1));
    // No keeper: with one of those gone too the times are the same, but the table would have to say which.
    let (killed, goes) = (members - 1, members - 2);
    run.kill(killed, 200_000);
    let lost = until(&mut run, Some(killed));
    let settle = run.now() + 500_000;
    run.until(settle);
    run.leave(goes, 10_000_000);
    let given = until(&mut run, Some(goes));
    Cost {
        datagrams,
        bytes,
        start,
        lost,
        given,
    }
}
