//! Simulates several gateways that share the leases of fleet-wide tasks, each with its lease task and its
//! executor task as in production: membership, grantors, lease holders, and the effects at the emulated
//! workers. Faults are drawn from the seed: few kinds per run, each of them often. The audit checks what
//! reached the workers; after the end of the faults every lease has to be held again.
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

/// A safeguard that a run omits on purpose, to show which check detects its absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum OmittedSafeguard {
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

impl OmittedSafeguard {
    pub const ALL: [OmittedSafeguard; 5] = [
        OmittedSafeguard::Forgets,
        OmittedSafeguard::NotShortened,
        OmittedSafeguard::NoEpochs,
        OmittedSafeguard::FromAnswer,
        OmittedSafeguard::TwoVotes,
    ];

    /// The safety checks of the leases, without those that are omitted.
    pub fn safety_checks(self) -> SafetyChecks {
        SafetyChecks {
            silent_start: self != OmittedSafeguard::Forgets,
            shortened_lease: self != OmittedSafeguard::NotShortened,
            counts_from_request: self != OmittedSafeguard::FromAnswer,
            one_vote_per_grantor: self != OmittedSafeguard::TwoVotes,
            replay_protection: self != OmittedSafeguard::TwoVotes,
        }
    }
}

/// A fault of the members or of their network. Times are in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A process is killed and restarts after `back`, with no memory of its former state.
    Kill { member: usize, back: Time },
    /// All processes are killed at once.
    KillAll { back: Time },
    /// A process, or one of its tasks, stalls.
    Pause {
        member: usize,
        part: ProcessPart,
        lasts: Time,
    },
    /// A partition between these members and the others: in both directions, or only out of them, or only
    /// into them.
    Cut {
        members: Vec<usize>,
        way: Direction,
        lasts: Time,
    },
    /// A flapping link: `times` such partitions in both directions, each of length `every`, and as long
    /// between two of them.
    Flap {
        members: Vec<usize>,
        times: u32,
        every: Time,
    },
    /// The paths between all members get latency, jitter, loss and duplication.
    Slow { path: Path, lasts: Time },
    /// The same for the paths between one member and the others.
    SlowOf {
        member: usize,
        path: Path,
        lasts: Time,
    },
    /// The paths between one member's executor task and the workers get latency.
    SlowActs {
        member: usize,
        delay: Time,
        lasts: Time,
    },
    /// A member is told to drain; `back` after its end it restarts.
    Leave { member: usize, back: Time },
    /// All members are told to drain, one after the other, `every` apart.
    Rolling { every: Time, back: Time },
}

/// The parts of a process that a [`Fault::Pause`] stalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessPart {
    All,
    /// The lease task.
    Keeping,
    /// The executor task.
    Acting,
}

/// The directions of a partition, as seen from its members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    Out,
    In,
}

/// Parameters of a run.
#[derive(Clone)]
pub struct Setup {
    pub seed: u64,
    pub omitted: OmittedSafeguard,
    pub members: usize,
    pub leases: usize,
    /// Requests a second; 0 to run no gateways and clients, only the lease and executor tasks.
    pub rate: f64,
    /// Faults, each with its time in tenths of a millisecond; None to draw them from the seed.
    pub faults: Option<Vec<(Time, Fault)>>,
    /// How long clients send and faults occur, in seconds.
    pub seconds: f64,
    /// Capacity of the channels between the two tasks of a process; None to draw it.
    pub channel: Option<usize>,
    /// Whether clocks drift beyond their bound; None to draw it.
    pub clocks_beyond_bound: Option<bool>,
    /// Whether the report contains the record.
    pub keep: bool,
    /// Uses the settings' defaults for times and the clock drift bound, instead of values with which failures
    /// occur within seconds.
    pub default_timing: bool,
}

impl Setup {
    pub fn new(seed: u64) -> Setup {
        Setup {
            seed,
            omitted: OmittedSafeguard::Nothing,
            members: 5,
            leases: 6,
            rate: 40.0,
            faults: None,
            seconds: 8.0,
            channel: None,
            clocks_beyond_bound: None,
            keep: false,
            default_timing: false,
        }
    }

    /// The smallest run: three members, all of them grantors, one lease, no gateways, no faults.
    pub fn smallest(seed: u64) -> Setup {
        let faults = Some(Vec::new());
        let (channel, clocks_beyond_bound) = (Some(64), Some(false));
        Setup {
            members: 3,
            leases: 1,
            rate: 0.0,
            seconds: 4.0,
            faults,
            channel,
            clocks_beyond_bound,
            ..Setup::new(seed)
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub seed: u64,
    pub digest: u64,
    pub steps: u64,
    /// Requests of the clients.
    pub events: u64,
    pub handled: u64,
    pub service: f64,
    /// Effects of tasks that reached the workers in time.
    pub acts: u64,
    /// How often a lease changed its holder.
    pub changes: u64,
    pub datagrams: u64,
    /// Datagrams that members rejected.
    pub refused: u64,
    /// Commands that were dropped because the executor's mailbox was full.
    pub full: u64,
    /// How long after the end of the faults all leases were held again, in tenths of a millisecond.
    pub idle: Time,
    pub cases: Vec<u64>,
    pub breaches: Vec<String>,
    pub faults: Vec<(Time, Fault)>,
    /// Whether clocks drifted beyond their bound.
    pub clocks_beyond_bound: bool,
    pub record: Vec<u8>,
}

/// Clock drift bound of these runs in parts per million: 10 %, so that the failures it guards against occur
/// within seconds.
pub const CLOCK_DRIFT_BOUND_PPM: i64 = 100_000;
/// Lease duration (2 s).
pub const LEASE_DURATION: Time = 20_000;
const KEY: &[u8] = b"a key of the fleet's runs, known to all";

/// The key that all members share.
pub fn keys() -> Keys {
    Keys(vec![(1, KEY.to_vec())])
}

const ZONES: [&str; 3] = ["north", "east", "west"];

fn settings(setup: &Setup, channel: usize) -> Section {
    let mut text = String::new();
    for member in 0..setup.members {
        text += &format!(
            "gateway {{ name: \"g{member}\" address: \"127.0.0.1:{}\" zone: \"{}\" common_address: \"127.0.{}.{}:9000\" }}\n",
            7000 + member,
            ZONES[member % 3],
            1 + member / 200,
            member % 200 + 1
        );
    }
    let grantors = (0..if setup.members >= 5 { 5 } else { 3 })
        .map(|member| format!("\"g{member}\""))
        .collect::<Vec<_>>();
    let timing = if setup.default_timing {
        "term_ms: 5000 clocks_ppm: 1000 ticket_ms: 500 period_ms: 500 turn_ms: 1000 datagrams_per_s: 100000 bytes_per_s: 10000000"
            .to_string()
    } else {
        format!("term_ms: 2000 clocks_ppm: {CLOCK_DRIFT_BOUND_PPM} ticket_ms: 100 period_ms: 200 turn_ms: 40")
    };
    text += &format!(
        "fleet_common {{ keeper: [{}] leases: {} {timing} key_file: \"unused\" channel: {channel} }}\n",
        grantors.join(", "),
        setup.leases
    );
    text += &SETTINGS.replace("RATE", &setup.rate.max(1.0).to_string());
    tidewall_config::settings("run", &text).expect("the run's settings are valid")
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

/// Takes the place of a gateway's event loop in a run without gateways; does nothing.
struct AbsentGateway(Memory);

impl App for AbsentGateway {
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

struct IgnoreCommands;

impl Gateways for IgnoreCommands {
    fn kill(&mut self, _: usize) {}
    fn start(&mut self, _: usize) {}
    fn set_suspended(&mut self, _: usize, _: bool) {}
}

/// One gateway process: its event loop, its lease task and its executor task; `nets` are their network
/// handles in this order.
struct Process {
    nets: [Memory; 3],
    gateway: Result<Box<Gateway<Memory>>, AbsentGateway>,
    lease_task: LeaseTask<Memory>,
    executor_task: ExecutorTask<Memory>,
    shutdown: Arc<AtomicBool>,
    /// Set while the process is dead: when it restarts.
    restart_at: Option<Time>,
    /// Set while the process drains: since when, and how long after its end it restarts.
    draining: Option<(Time, Time)>,
    /// The event loop has ended; the tasks may continue for a while.
    loop_ended: bool,
    stalled: bool,
    incarnation: u64,
}

/// A run in progress.
pub struct Run {
    setup: Setup,
    settings: Section,
    world: Rc<RefCell<World>>,
    processes: Vec<Process>,
    fleet_net: Memory,
    fleet: Fleet<Memory>,
    workers: Vec<(String, SocketAddr)>,
    record: SharedRecord,
    faults: Vec<(Time, Fault)>,
    /// Index of the next fault in `faults`.
    next_fault: usize,
    scheduled: Vec<(Time, ScheduledChange)>,
    /// Partitions that are in effect.
    partitions: Vec<(Vec<usize>, Direction)>,
    /// The path between all members, if a fault has changed it.
    slow_path: Option<Path>,
    /// Members whose paths to all others a fault has changed.
    slow_members: Vec<(usize, Path)>,
    clocks_beyond_bound: bool,
    /// Counters and violations so far.
    totals: Report,
}

/// A scheduled change that ends a fault, or begins its next phase.
#[derive(Clone)]
enum ScheduledChange {
    /// A stalled process, or its stalled task, continues.
    Resume(usize, ProcessPart),
    /// This partition ends.
    EndPartition(Vec<usize>, Direction),
    /// The path between all members becomes normal again.
    RestorePaths,
    /// The paths of one member become normal again.
    RestoreMemberPaths(usize),
    /// The paths between a member's executor task and the workers become normal again.
    RestoreExecutorPaths(usize),
    /// A flapping link is cut in both directions.
    Cut(Vec<usize>),
    /// A member is told to drain, and restarts so long after its end.
    Drain(usize, Time),
}

/// Interval (5 ms) between two checks of the processes and the due faults.
const SUPERVISION_INTERVAL: Time = 50;

/// A process that was told to drain and has not ended after this (5 s) is killed, as by SIGKILL.
const DRAIN_TIMEOUT: Time = 50_000;

fn start_process(
    setup: &Setup,
    settings: &Section,
    nets: &[Memory; 3],
    member: usize,
    incarnation: u64,
) -> Process {
    let seed = setup.seed * 1_000 + incarnation * 16 + member as u64;
    let config = CoordinationConfig::new(
        settings,
        member,
        incarnation,
        seed,
        setup.omitted.safety_checks(),
        Box::new(keys),
    );
    let (to_executor, executor_inbox) = channel::<ExecutorCommand>(config.channel_capacity);
    let (from_executor, inbox) = channel(config.channel_capacity);
    let mut endpoint_updates: MailboxSender<ExecutorCommand> = to_executor.clone_sender();
    let shutdown = Arc::new(AtomicBool::new(false));
    let executor_done = Arc::new(AtomicBool::new(false));
    let executor_task = ExecutorTask::new(
        nets[2].clone(),
        &config,
        executor_inbox,
        from_executor,
        executor_done,
    );
    let lease_task = LeaseTask::new(
        nets[1].clone(),
        config,
        (to_executor, inbox),
        shutdown.clone(),
    );
    let lease_task = lease_task.expect("the member's address is free");
    let gateway = if setup.rate > 0.0 {
        let mut gateway = site::start_plain_gateway(settings, &nets[0], member, seed);
        gateway.watch_endpoints(Box::new(move |list| {
            endpoint_updates.send(ExecutorCommand::EndpointsChanged(
                list.iter().map(|e| (e.name.clone(), e.address)).collect(),
            ))
        }));
        Ok(Box::new(gateway))
    } else {
        Err(AbsentGateway(nets[0].clone()))
    };
    let nets = nets.clone();
    Process {
        nets,
        gateway,
        lease_task,
        executor_task,
        shutdown,
        restart_at: None,
        draining: None,
        loop_ended: false,
        stalled: false,
        incarnation,
    }
}

impl Run {
    pub fn new(setup: Setup) -> Run {
        let world = memory::world();
        world.borrow_mut().seed(setup.seed);
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed ^ 0xf1ee7);
        let channel = setup.channel.unwrap_or(
            *[1, 2, 4, 64, 64, 64]
                .choose(&mut rng)
                .expect("the list is not empty"),
        );
        let settings = settings(&setup, channel);
        let nets: Vec<[Memory; 3]> = (0..setup.members)
            .map(|_| std::array::from_fn(|_| Memory::join(&world)))
            .collect();
        let fleet_net = Memory::join(&world);
        let clocks_beyond_bound = setup.clocks_beyond_bound.unwrap_or(rng.random_ratio(1, 8));
        let bound = match (setup.default_timing, clocks_beyond_bound) {
            (true, _) => 1_000,
            (_, true) => 4 * CLOCK_DRIFT_BOUND_PPM,
            _ => CLOCK_DRIFT_BOUND_PPM,
        };
        // In half of the runs one member's clock is slow and all others are fast: the worst case for a lease
        // which that member holds and the others grant.
        let slow_member = rng
            .random_ratio(1, 2)
            .then(|| rng.random_range(0..setup.members));
        for (member, process_nets) in nets.iter().enumerate() {
            process_nets[0].clock(rng.random_range(-200..=200));
            // Otherwise half of the clocks are at the ends of the bound, where safety is most at risk.
            let ppm = match rng.random_range(0..4) {
                _ if slow_member.is_some() => {
                    bound * if slow_member == Some(member) { -1 } else { 1 }
                }
                0 => -bound,
                1 => bound,
                _ => rng.random_range(-bound..=bound),
            };
            // The two tasks of a process share a clock. The event loop's clock drifts little, as clients
            // measure it by their own.
            process_nets[1..].iter().for_each(|net| net.clock(ppm));
        }
        let record = SharedRecord::default();
        let plan = Plan {
            seed: setup.seed,
            seconds: setup.seconds,
            clients: setup.rate > 0.0,
            amqp: false,
            record: Box::new(record.clone()),
            gateways: Box::new(IgnoreCommands),
            checks_epochs: true,
            forgets_votes: false,
            checks_task_epochs: setup.omitted != OmittedSafeguard::NoEpochs,
            wild_clocks: clocks_beyond_bound,
        };
        let fleet = Fleet::new(fleet_net.clone(), &settings, None, plan)
            .expect("the emulator's addresses are free");
        let workers: Vec<(String, SocketAddr)> = fleet.workers();
        let span = (setup.seconds * 10_000.0) as Time;
        let drawn = || draw_faults(&mut rng, span, setup.members);
        let faults = setup.faults.clone().unwrap_or_else(drawn);
        let processes: Vec<Process> = (0..setup.members)
            .map(|member| {
                start_process(
                    &setup,
                    &settings,
                    &nets[member],
                    member,
                    1_000 + member as u64,
                )
            })
            .collect();
        let mut run = Run {
            setup,
            settings,
            world,
            processes,
            fleet_net,
            fleet,
            workers,
            record,
            faults,
            next_fault: 0,
            scheduled: Vec::new(),
            partitions: Vec::new(),
            slow_path: None,
            slow_members: Vec::new(),
            clocks_beyond_bound,
            totals: Report::default(),
        };
        (0..run.processes.len()).for_each(|member| run.list_workers(member));
        run
    }

    /// Passes the list of workers to the executor task of a process without a gateway, which would pass it
    /// otherwise.
    fn list_workers(&mut self, member: usize) {
        if self.processes[member].gateway.is_err() {
            self.processes[member]
                .executor_task
                .update_endpoints(self.workers.clone());
        }
    }

    /// Sets the function that sees and changes the messages between nodes.
    pub fn tap(&mut self, tap: Tap) {
        self.world.borrow_mut().tap = Some(tap);
    }

    pub fn world(&self) -> &Rc<RefCell<World>> {
        &self.world
    }

    /// The simulated time, in tenths of a millisecond; the processes' own clocks drift from it.
    pub fn now(&self) -> Time {
        self.world.borrow().now()
    }

    /// Delivers the next network event or timer, if one is due by `until`; returns whether there was one.
    pub fn step(&mut self, until: Time) -> bool {
        let mut apps: Vec<&mut dyn App<Net = Memory>> =
            Vec::with_capacity(3 * self.processes.len() + 1);
        for process in &mut self.processes {
            apps.push(match &mut process.gateway {
                Ok(gateway) => &mut **gateway,
                Err(absent) => absent,
            });
            apps.push(&mut process.lease_task);
            apps.push(&mut process.executor_task);
        }
        apps.push(&mut self.fleet);
        memory::step(&self.world, &mut apps, until)
    }

    /// Kills a process, which restarts after `back`; does nothing if it is dead.
    pub fn kill(&mut self, member: usize, back: Time) {
        let now = self.now();
        let process = &mut self.processes[member];
        if process.restart_at.is_some() {
            return;
        }
        for net in &process.nets {
            net.still(false);
            net.kill();
        }
        (process.restart_at, process.draining) = (Some(now + back), None);
        self.totals.refused += process.lease_task.counters.datagrams_rejected.get();
        self.totals.datagrams += process.lease_task.counters.datagrams_sent.get();
        self.totals.full += process.lease_task.dropped_commands();
        if !process.loop_ended {
            self.fleet.record_killed(member, true);
        }
    }

    fn start(&mut self, member: usize) {
        let process = &self.processes[member];
        let (nets, incarnation) = (process.nets.clone(), process.incarnation + 100);
        nets.iter().for_each(|net| net.restart());
        self.fleet.record_killed(member, false);
        self.processes[member] =
            start_process(&self.setup, &self.settings, &nets, member, incarnation);
        self.list_workers(member);
    }

    fn pause(&mut self, member: usize, part: ProcessPart, on: bool) {
        let process = &self.processes[member];
        if process.restart_at.is_some() {
            return;
        }
        let parts = match part {
            ProcessPart::All => 0..3,
            ProcessPart::Keeping => 1..2,
            ProcessPart::Acting => 2..3,
        };
        if part == ProcessPart::All
            && std::mem::replace(&mut self.processes[member].stalled, on) != on
        {
            self.fleet.record_partitioned(member, on);
        }
        let process = &self.processes[member];
        parts.for_each(|i| process.nets[i].still(on));
    }

    /// The path between members without a fault.
    fn normal_path() -> Path {
        Path {
            delay: 2,
            ..Path::default()
        }
    }

    /// Sets the paths between all members from the partitions and slow paths that are in effect.
    fn update_paths(&mut self) {
        let mut world = self.world.borrow_mut();
        for a in 0..self.processes.len() {
            for b in (0..self.processes.len()).filter(|b| *b != a) {
                let blocks = |(side, way): &(Vec<usize>, Direction)| {
                    let (out, into) = (side.contains(&a), side.contains(&b));
                    out != into && (*way == Direction::Both || (*way == Direction::Out) == out)
                };
                let cut = self.partitions.iter().any(blocks);
                let member_path = self
                    .slow_members
                    .iter()
                    .find(|s| s.0 == a || s.0 == b)
                    .map(|s| s.1);
                let path = Path {
                    cut,
                    ..member_path.or(self.slow_path).unwrap_or(Run::normal_path())
                };
                world.path(&self.processes[a].nets[1], &self.processes[b].nets[1], path);
            }
        }
    }

    fn set_partition(&mut self, side: &[usize], way: Direction, on: bool) {
        if on {
            self.partitions.push((side.to_vec(), way));
        } else if let Some(i) = self
            .partitions
            .iter()
            .position(|c| c.0 == side && c.1 == way)
        {
            self.partitions.remove(i);
        }
        self.update_paths();
    }

    /// Sets the paths between a member's executor task and the workers.
    fn set_executor_path(&mut self, member: usize, path: Path) {
        let mut world = self.world.borrow_mut();
        world.path(&self.processes[member].nets[2], &self.fleet_net, path);
        world.path(&self.fleet_net, &self.processes[member].nets[2], path);
    }

    /// Tells a process to drain; it restarts `back` after its end.
    fn drain(&mut self, member: usize, back: Time) {
        let now = self.now();
        let process = &mut self.processes[member];
        if process.restart_at.is_none() && process.draining.is_none() {
            process.draining = Some((now, back));
            process.shutdown.store(true, Ordering::Relaxed);
            if let Ok(gateway) = &mut process.gateway {
                gateway.drain();
            }
        }
    }

    fn inject(&mut self, fault: Fault) {
        let now = self.now();
        let member_count = self.processes.len();
        match fault {
            Fault::Kill { member, back } => self.kill(member, back),
            Fault::KillAll { back } => (0..member_count).for_each(|member| self.kill(member, back)),
            Fault::Pause {
                member,
                part,
                lasts,
            } => {
                self.pause(member, part, true);
                self.scheduled
                    .push((now + lasts, ScheduledChange::Resume(member, part)));
            }
            Fault::Cut {
                members,
                way,
                lasts,
            } => {
                self.set_partition(&members, way, true);
                self.scheduled
                    .push((now + lasts, ScheduledChange::EndPartition(members, way)));
            }
            Fault::Flap {
                members,
                times,
                every,
            } => {
                for i in 0..Time::from(times) {
                    self.scheduled
                        .push((now + 2 * i * every, ScheduledChange::Cut(members.clone())));
                    self.scheduled.push((
                        now + (2 * i + 1) * every,
                        ScheduledChange::EndPartition(members.clone(), Direction::Both),
                    ));
                }
            }
            Fault::Slow { path, lasts } => {
                self.slow_path = Some(path);
                self.update_paths();
                self.scheduled
                    .push((now + lasts, ScheduledChange::RestorePaths));
            }
            Fault::SlowOf {
                member,
                path,
                lasts,
            } => {
                self.slow_members.push((member, path));
                self.update_paths();
                self.scheduled
                    .push((now + lasts, ScheduledChange::RestoreMemberPaths(member)));
            }
            Fault::SlowActs {
                member,
                delay,
                lasts,
            } => {
                self.set_executor_path(
                    member,
                    Path {
                        delay,
                        ..Path::default()
                    },
                );
                self.scheduled
                    .push((now + lasts, ScheduledChange::RestoreExecutorPaths(member)));
            }
            Fault::Leave { member, back } => self.drain(member, back),
            Fault::Rolling { every, back } => {
                for member in 0..member_count {
                    self.scheduled.push((
                        now + member as Time * every,
                        ScheduledChange::Drain(member, back),
                    ));
                }
            }
        }
    }

    /// Does what is due: begins and ends faults, records ended gateways, kills overdue ones and restarts
    /// processes.
    fn supervise(&mut self) {
        let now = self.now();
        while self.faults.get(self.next_fault).is_some_and(|t| t.0 <= now) {
            let fault = self.faults[self.next_fault].1.clone();
            self.next_fault += 1;
            self.inject(fault);
        }
        let (due, rest): (Vec<_>, Vec<_>) = self.scheduled.drain(..).partition(|e| e.0 <= now);
        self.scheduled = rest;
        for (_, end) in due {
            match end {
                ScheduledChange::Resume(member, part) => self.pause(member, part, false),
                ScheduledChange::EndPartition(side, way) => self.set_partition(&side, way, false),
                ScheduledChange::RestorePaths => {
                    self.slow_path = None;
                    self.update_paths();
                }
                ScheduledChange::RestoreMemberPaths(member) => {
                    self.slow_members.retain(|s| s.0 != member);
                    self.update_paths();
                }
                ScheduledChange::RestoreExecutorPaths(member) => {
                    self.set_executor_path(member, Run::normal_path())
                }
                ScheduledChange::Cut(side) => self.set_partition(&side, Direction::Both, true),
                ScheduledChange::Drain(member, back) => self.drain(member, back),
            }
        }
        for member in 0..self.processes.len() {
            let process = &mut self.processes[member];
            if process.gateway.is_ok()
                && process.restart_at.is_none()
                && !process.loop_ended
                && process.nets[0].dead()
            {
                // The event loop's connections end with it.
                process.loop_ended = true;
                process.nets[0].kill();
                self.fleet.record_killed(member, true);
            }
            let process = &self.processes[member];
            let drained = process
                .gateway
                .as_ref()
                .map_or(true, |_| process.nets[0].dead());
            if let Some((at, back)) = process.draining {
                if process.lease_task.is_finished() && drained || now > at + DRAIN_TIMEOUT {
                    self.kill(member, back);
                }
            }
            if self.processes[member]
                .restart_at
                .is_some_and(|at| at <= now)
            {
                self.start(member);
            }
        }
    }

    /// Simulates until a time.
    pub fn run_until(&mut self, until: Time) {
        while self.now() < until {
            let next = (self.now() + SUPERVISION_INTERVAL).min(until);
            while self.step(next) {}
            self.supervise();
            self.check_overlap();
        }
    }

    /// The members that hold a task's lease now, each by its own clock.
    pub fn holders(&self, task: usize) -> Vec<usize> {
        let may = |process: &Process| {
            let now = process.nets[1].now();
            process.restart_at.is_none() && process.lease_task.holder().lease(task).is_held(now)
        };
        (0..self.processes.len())
            .filter(|member| may(&self.processes[*member]))
            .collect()
    }

    /// Describes a lease's state at each running member, with the holder that this member prefers.
    pub fn describe_lease(&self, task: usize) -> String {
        let each = self
            .processes
            .iter()
            .enumerate()
            .filter(|process| process.1.restart_at.is_none())
            .map(|(member, process)| {
                let lease = process.lease_task.holder().lease(task);
                format!(
                    "{member}:{:?}/{:?}/{}",
                    lease.state,
                    process.lease_task.preferred_holder(task),
                    if lease.wanted() { "wanted" } else { "-" }
                )
            });
        format!("task {task}: {}", each.collect::<Vec<_>>().join(" "))
    }

    /// Reports each task for which two members' executors hold a lease at once, each by its own clock, even
    /// if not both of them execute it in that time.
    fn check_overlap(&mut self) {
        for task in (0..self.setup.leases).filter(|_| !self.clocks_beyond_bound) {
            let may = |process: &Process| {
                process.restart_at.is_none()
                    && process.executor_task.is_held(process.nets[2].now(), task)
            };
            let holders: Vec<usize> = (0..self.processes.len())
                .filter(|member| may(&self.processes[*member]))
                .collect();
            if holders.len() > 1 && self.totals.breaches.len() < 3 {
                let at = self.now() as f64 / 10.0;
                self.totals.breaches.push(format!(
                    "{at} ms: task {task} may be acted on by {holders:?}"
                ));
            }
        }
    }

    /// Whether each task has exactly one lease holder, an executor that holds it, and no member that is
    /// giving it back.
    pub fn is_settled(&self) -> bool {
        let has_executor = |task| {
            self.processes
                .iter()
                .any(|process| process.executor_task.is_held(process.nets[2].now(), task))
        };
        (0..self.setup.leases).all(|task| self.holders(task).len() == 1 && has_executor(task))
            && self.processes.iter().all(|process| {
                let holder = process.lease_task.holder();
                (0..self.setup.leases).all(|t| holder.lease(t).state != LeaseState::Stopping)
            })
    }

    /// Simulates to the end of the faults, then until all leases are held again, and audits the record.
    pub fn finish(mut self) -> Report {
        let span = (self.setup.seconds * 10_000.0) as Time;
        self.run_until(span);
        // All faults end here: paths become normal and stalled processes continue.
        self.scheduled
            .retain(|e| matches!(e.1, ScheduledChange::Resume(..)));
        let resumes: Vec<_> = self.scheduled.drain(..).collect();
        for (_, end) in resumes {
            if let ScheduledChange::Resume(member, part) = end {
                self.pause(member, part, false);
            }
        }
        (self.slow_path, self.partitions) = (None, Vec::new());
        self.slow_members.clear();
        self.update_paths();
        (0..self.processes.len())
            .for_each(|member| self.set_executor_path(member, Run::normal_path()));
        self.next_fault = self.faults.len();
        let began = self.now();
        let mut idle = None;
        // Upper bound on a grantor's silence after its start, the expiry of a lease and its redistribution,
        // one after the other.
        let last = began + 6 * LEASE_DURATION;
        while self.now() < last {
            let until = self.now() + 500;
            self.run_until(until);
            if self.is_settled() {
                idle.get_or_insert(self.now() - began);
                // With clients the run continues for 6 s, for requests in flight and the emulator's end.
                if self.now() > began + 60_000 || self.setup.rate == 0.0 {
                    break;
                }
            }
        }
        let mut breaches = std::mem::take(&mut self.totals.breaches);
        // With clocks beyond their bound leases may expire at any time, so it is enough that all were held
        // once.
        if idle.is_none() || !self.clocks_beyond_bound && !self.is_settled() {
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
        let audit: Audit = tidewall_audit::check(lines).expect("the record is complete");
        let rules = audit.verdicts.iter().enumerate();
        breaches.extend(rules.flat_map(|(i, v)| {
            v.breaches
                .iter()
                .map(move |b| format!("rule {}: {b}", i + 1))
        }));
        for process in &self.processes {
            self.totals.refused += process.lease_task.counters.datagrams_rejected.get();
            self.totals.datagrams += process.lease_task.counters.datagrams_sent.get();
            self.totals.full += process.lease_task.dropped_commands();
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
            faults: self.faults,
            clocks_beyond_bound: self.clocks_beyond_bound,
            record: if self.setup.keep { bytes } else { Vec::new() },
            ..self.totals
        }
    }
}

pub fn run(setup: Setup) -> Report {
    Run::new(setup).finish()
}

/// Reduces the faults of a run that breaks a rule: removes each in turn and keeps what still breaks a rule,
/// until none can be removed. None if the run breaks no rule.
pub fn shrink(setup: &Setup) -> Option<Report> {
    let mut last = run(setup.clone());
    if last.breaches.is_empty() {
        return None;
    }
    loop {
        let before = last.faults.len();
        for i in (0..last.faults.len()).rev() {
            let mut fewer = last.faults.clone();
            fewer.remove(i);
            let report = run(Setup {
                faults: Some(fewer),
                ..setup.clone()
            });
            if !report.breaches.is_empty() {
                last = report;
            }
        }
        if before == last.faults.len() {
            return Some(last);
        }
    }
}

/// Draws four to twelve faults of two to four kinds; their entries in `kinds` are the arms of the match
/// below.
fn draw_faults(rng: &mut ChaCha8Rng, span: Time, member_count: usize) -> Vec<(Time, Fault)> {
    // Partitions (3) and the partition of a member on a slow link (9) are listed more than once, so that they
    // are drawn more often than the others: they stress leases most.
    let mut kinds = vec![0, 1, 2, 3, 3, 4, 5, 6, 7, 8, 9, 9, 9];
    kinds.shuffle(rng);
    kinds.truncate(rng.random_range(2..=4));
    let mut faults: Vec<(Time, Fault)> = Vec::new();
    for _ in 0..rng.random_range(4..=12) {
        // Faults begin early enough to strike before the first leases are granted.
        let at = rng.random_range(span / 8..span * 7 / 8);
        let member = rng.random_range(0..member_count);
        // Durations are shorter or longer than a lease.
        let (lasts_long, restarts_late) = (rng.random_ratio(1, 2), rng.random_ratio(1, 2));
        let lasts = rng.random_range(
            200..if lasts_long {
                2 * LEASE_DURATION
            } else {
                LEASE_DURATION / 2
            },
        );
        let back = rng.random_range(
            100..if restarts_late {
                25_000
            } else {
                LEASE_DURATION / 4
            },
        );
        let mut members: Vec<usize> = (0..member_count).collect();
        members.shuffle(rng);
        members.truncate(rng.random_range(1..=member_count / 2));
        let kind = *kinds.choose(rng).expect("the list is not empty");
        let fault = match kind {
            0 => Fault::Kill { member, back },
            1 => Fault::KillAll { back },
            2 => {
                let part = *[ProcessPart::All, ProcessPart::Keeping, ProcessPart::Acting]
                    .choose(rng)
                    .expect("the list is not empty");
                Fault::Pause {
                    member,
                    part,
                    lasts,
                }
            }
            3 => {
                let way = *[Direction::Both, Direction::Out, Direction::In]
                    .choose(rng)
                    .expect("the list is not empty");
                Fault::Cut {
                    members,
                    way,
                    lasts,
                }
            }
            4 => {
                let (times, every) = (rng.random_range(2..6), rng.random_range(500..5_000));
                Fault::Flap {
                    members,
                    times,
                    every,
                }
            }
            5 => {
                let path = Path {
                    delay: rng.random_range(2..3_000),
                    jitter: rng.random_range(0..4_000),
                    lost: rng.random_range(0..400),
                    twice: rng.random_range(0..500),
                    cut: false,
                };
                Fault::Slow {
                    path,
                    lasts: lasts.max(LEASE_DURATION / 4),
                }
            }
            6 => Fault::SlowActs {
                member,
                delay: rng.random_range(100..8_000),
                lasts,
            },
            7 => Fault::Leave { member, back },
            9 => {
                // A member on a slow link is partitioned, alone or with others, while its renewals are in
                // flight.
                let path = Path {
                    delay: rng.random_range(2..4_000),
                    jitter: rng.random_range(0..500),
                    lost: 0,
                    twice: rng.random_range(0..1_000),
                    cut: false,
                };
                members.retain(|other| *other != member);
                members.truncate(rng.random_range(0..=member_count / 2 - 1));
                members.push(member);
                let after = rng.random_range(LEASE_DURATION / 4..LEASE_DURATION);
                faults.push((
                    at + after,
                    Fault::Cut {
                        members,
                        way: Direction::Both,
                        lasts: 2 * LEASE_DURATION,
                    },
                ));
                Fault::SlowOf {
                    member,
                    path,
                    lasts: after + LEASE_DURATION,
                }
            }
            _ => Fault::Rolling {
                every: rng.random_range(2_000..12_000),
                back: back.min(8_000),
            },
        };
        faults.push((at, fault));
    }
    faults.sort_by_key(|t| t.0);
    faults
}

/// Network load of the leases without faults, and how long tasks are idle after their holder's end.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Datagrams that a member sends per second: the mean over all members, and the greatest of any member.
    pub datagrams: (f64, f64),
    /// The same for bytes.
    pub bytes: (f64, f64),
    /// Time from the start of all members until all leases are held, in tenths of a millisecond.
    pub after_start: Time,
    /// Time from the kill of a member until all leases are held by others, in tenths of a millisecond.
    pub after_kill: Time,
    /// The same from the beginning of a member's drain.
    pub after_drain: Time,
}

/// Measures the [`Cost`] of so many members and leases, with production defaults.
pub fn cost(members: usize, leases: usize) -> Cost {
    let faults = Some(Vec::new());
    let (channel, clocks_beyond_bound) = (Some(100_000), Some(false));
    let setup = Setup {
        members,
        leases,
        rate: 0.0,
        faults,
        channel,
        clocks_beyond_bound,
        default_timing: true,
        seconds: 600.0,
        ..Setup::new(1)
    };
    let mut run = Run::new(setup);
    let time_until_held = |run: &mut Run, except: Option<usize>| {
        let began = run.now();
        while run.now() < began + 600_000 {
            let next = run.now() + 50;
            run.run_until(next);
            // A member that ends still counts as a holder while its lease lasts, so its own leases do not
            // count.
            let held =
                (0..leases).all(|t| run.holders(t).iter().any(|holder| Some(*holder) != except));
            if held {
                break;
            }
        }
        run.now() - began
    };
    let after_start = time_until_held(&mut run, None);
    // 30 s for the leases to move to their preferred holders.
    let settle = run.now() + 300_000;
    run.run_until(settle);
    let sent = |run: &Run| -> Vec<(u64, u64)> {
        run.processes
            .iter()
            .map(|process| {
                (
                    process.lease_task.counters.datagrams_sent.get(),
                    process.lease_task.counters.bytes_sent.get(),
                )
            })
            .collect()
    };
    let before = sent(&run);
    let (span, from) = (100_000, run.now());
    run.run_until(from + span);
    let after = sent(&run);
    let per_second = |of: fn(&(u64, u64)) -> u64| {
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
    let (datagrams, bytes) = (per_second(|s| s.0), per_second(|s| s.1));
    // The members with the highest numbers, which are grantors only where there are few members. The end of a
    // grantor takes as long, but the figures would then have to say which kind of member it was.
    let (killed, drained) = (members - 1, members - 2);
    run.kill(killed, 200_000);
    let after_kill = time_until_held(&mut run, Some(killed));
    let settle = run.now() + 500_000;
    run.run_until(settle);
    run.drain(drained, 10_000_000);
    let after_drain = time_until_held(&mut run, Some(drained));
    Cost {
        datagrams,
        bytes,
        after_start,
        after_kill,
        after_drain,
    }
}
