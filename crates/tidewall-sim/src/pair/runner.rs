//! One run: the members, the emulated workers and clients, and a forger of advertisements on one simulated
//! network, with their faults.
use super::fault::{draw_faults, draw_fleet_script};
use super::forger::Forger;
use super::settings::{settings, shared_address, start_member};
use super::{Fault, OmittedSafeguard, Report, Setup, SharedRecord, StatePairs, MEMBER_STATES};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tidewall_audit::rows::{Kind, Row};
use tidewall_audit::Audit;
use tidewall_emulator::{Fleet, NoGateways, Plan};
use tidewall_failover::role::Role;
use tidewall_gateway::failover::StopReason;
use tidewall_gateway::Gateway;
use tidewall_net::memory::{self, Memory, Path, World};
use tidewall_net::Time;

/// XORed with the run's seed, so that faults are drawn from another random sequence than the network's.
const FAULT_SEED: u64 = 0x7a11;

/// Largest clock drift of a member, in parts per million: that of a poor quartz oscillator.
const CLOCK_DRIFT_PPM: i64 = 200;

/// Delay (50 ms) after which the supervisor restarts a process that exited.
const RESTART: Time = 500;

/// Interval (2 ms) between two checks of the processes and the due faults.
const SUPERVISION_INTERVAL: Time = 20;

/// How long a run continues after its clients' last request: 3 s for the request's max age, 0.5 s for its
/// response, and 0.1 s for the remaining timers of the emulator.
const SETTLE_TIME: Time = 30_000 + 5_000 + 1_000;

/// The path between the members without a fault, in one direction.
const USUAL_PATH: Path = Path {
    delay: 2,
    jitter: 0,
    lost: 0,
    twice: 0,
    cut: false,
};

/// A partition between the members.
const CUT_PATH: Path = Path {
    cut: true,
    ..USUAL_PATH
};

/// The addresses at which the members receive advertisements.
const VRRP_ADDRESSES: [&str; 2] = ["127.0.0.2:112", "127.0.0.3:112"];

/// A scheduled change that ends a fault, or begins the next phase of a flapping link.
#[derive(Clone, Copy)]
enum FaultEnd {
    /// A stalled member continues.
    Continue(usize),
    /// The paths between the members become normal again.
    RestorePaths,
    /// The paths between the members and all other nodes become normal again.
    RestoreOutsidePaths,
    /// The flapping link between the members is cut.
    CutPaths,
}

/// A run in progress.
pub struct Run {
    setup: Setup,
    world: Rc<RefCell<World>>,
    member_nets: [Memory; 2],
    fleet_net: Memory,
    members: [Gateway<Memory>; 2],
    fleet: Fleet<Memory>,
    forger: Forger,
    record: SharedRecord,
    incarnations: [u64; 2],
    /// When a member's dead process is to be started.
    starts_at: [Option<Time>; 2],
    /// Of a member that was told to drain: how long after its end it restarts.
    restart_after_drain: [Option<Time>; 2],
    served: [bool; 2],
    takeovers: u64,
    faults: Vec<(Time, Fault)>,
    /// Index of the next fault in `faults`.
    next_fault: usize,
    script: String,
    fault_ends: Vec<(Time, FaultEnd)>,
    /// The active member was stalled, and no member has been recorded as serving since.
    service_stalled: bool,
    state_pairs: StatePairs,
}

impl Run {
    /// Starts all processes; no step is simulated yet.
    pub fn new(setup: Setup) -> Run {
        let world = memory::world();
        world.borrow_mut().seed(setup.seed);
        world.borrow_mut().movable_addresses.push(shared_address());
        let member_nets = [Memory::join(&world), Memory::join(&world)];
        let fleet_net = Memory::join(&world);
        let forger_net = Memory::join(&world);
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed ^ FAULT_SEED);
        for net in &member_nets {
            net.clock(rng.random_range(-CLOCK_DRIFT_PPM..=CLOCK_DRIFT_PPM));
        }
        let (faults, script) = faults_and_script(&setup, &mut rng);
        let record = SharedRecord::default();
        let fleet = start_fleet(&setup, &fleet_net, &script, &record);
        let members = [
            start_member(&member_nets[0], 0, &setup, 1),
            start_member(&member_nets[1], 1, &setup, 1),
        ];
        Run {
            setup,
            world,
            member_nets,
            fleet_net,
            members,
            fleet,
            forger: Forger::new(forger_net),
            record,
            incarnations: [1, 1],
            starts_at: [None, None],
            restart_after_drain: [None, None],
            served: [false, false],
            takeovers: 0,
            faults,
            next_fault: 0,
            script,
            fault_ends: Vec::new(),
            service_stalled: false,
            state_pairs: StatePairs::default(),
        }
    }

    /// The simulated time, in tenths of a millisecond; the members' own clocks drift from it.
    pub fn now(&self) -> Time {
        self.world.borrow().now()
    }

    /// Delivers the next network event or timer, if one is due by `until`; returns whether there was one.
    pub fn step(&mut self, until: Time) -> bool {
        let [first, second] = &mut self.members;
        memory::step(
            &self.world,
            &mut [first, second, &mut self.fleet, &mut self.forger],
            until,
        )
    }

    /// One of the two gateways.
    pub fn member(&self, member: usize) -> &Gateway<Memory> {
        &self.members[member]
    }

    /// Whether a member is alive and active.
    pub fn serves(&self, member: usize) -> bool {
        let role = self.members[member].role();
        !self.member_nets[member].dead() && role.is_some_and(Role::serves)
    }

    /// Kills a member's process, which restarts after `back`, or never if that is None.
    pub fn kill(&mut self, member: usize, back: Option<Time>) {
        self.member_nets[member].still(false);
        self.member_nets[member].kill();
        self.served[member] = false;
        self.starts_at[member] = back.map(|back| self.now() + back);
        self.restart_after_drain[member] = None;
    }

    /// Simulates until a time.
    pub fn run_until(&mut self, until: Time) {
        while self.now() < until {
            let next = (self.now() + SUPERVISION_INTERVAL).min(until);
            while self.step(next) {}
            self.supervise();
        }
    }

    /// Simulates to the end and audits the record.
    pub fn finish(mut self) -> Report {
        self.run_until((self.setup.seconds * 10_000.0) as Time + SETTLE_TIME);
        self.fleet.flush();
        let bytes = self.record.0.borrow().clone();
        let text = std::str::from_utf8(&bytes).expect("JSON is text");
        let lines = text.lines().map(str::to_string);
        let audit: Audit = tidewall_audit::check(lines).expect("the record is complete");
        let results = self.fleet.results();
        let (digest, steps) = (self.world.borrow().digest(), self.world.borrow().steps);
        Report {
            seed: self.setup.seed,
            digest,
            steps,
            events: results.events,
            handled: results.handled,
            asked_again: results.asked_again,
            excused: audit.excused,
            takeovers: self.takeovers,
            refused: self.fleet.fenced_attempts(),
            service: results.service(),
            // The first outage is the time before a member became active after the start.
            pauses: self.fleet.outages().get(1..).unwrap_or(&[]).to_vec(),
            cases: std::array::from_fn(|rule| audit.verdicts[rule].cases),
            breaches: breaches(&audit),
            faults: self.faults,
            script: self.script,
            state_pairs: self.state_pairs,
            record: if self.setup.keep { bytes } else { Vec::new() },
        }
    }
}

/// The member faults and the worker faults of a run: those of the setup, or drawn ones.
fn faults_and_script(setup: &Setup, rng: &mut ChaCha8Rng) -> (Vec<(Time, Fault)>, String) {
    let span = (setup.seconds * 10_000.0) as Time;
    let faults = setup
        .faults
        .clone()
        .unwrap_or_else(|| draw_faults(rng, span, setup.only));
    let script = match (&setup.script, &setup.faults) {
        (Some(text), _) => text.clone(),
        (None, Some(_)) => String::new(),
        _ if setup.only.is_some() => String::new(),
        (None, None) => draw_fleet_script(rng),
    };
    (faults, script)
}

fn start_fleet(setup: &Setup, net: &Memory, script: &str, record: &SharedRecord) -> Fleet<Memory> {
    let script = tidewall_config::script("run", script).expect("the run's script is valid");
    let plan = Plan {
        seed: setup.seed,
        seconds: setup.seconds,
        clients: true,
        amqp: false,
        record: Box::new(record.clone()),
        gateways: Box::new(NoGateways),
        checks_epochs: setup.omitted != OmittedSafeguard::NoFences,
        forgets_votes: setup.omitted == OmittedSafeguard::Forgets,
        checks_task_epochs: true,
        wild_clocks: false,
    };
    Fleet::new(net.clone(), &settings(0, setup), Some(&script), plan)
        .expect("the emulator's addresses are free")
}

/// The rule violations that the audit found, one line each.
fn breaches(audit: &Audit) -> Vec<String> {
    let verdicts = audit.verdicts.iter().enumerate();
    let lines = verdicts.flat_map(|(rule, verdict)| {
        let breaches = verdict.breaches.iter();
        breaches.map(move |breach| format!("rule {}: {breach}", rule + 1))
    });
    lines.collect()
}

// Faults.
impl Run {
    /// Injects a fault.
    pub fn inject(&mut self, fault: Fault) {
        let now = self.now();
        match fault {
            Fault::Kill { member, back } => self.kill(member, back),
            Fault::KillBoth { back } => {
                (0..2).for_each(|member| self.kill(member, Some(back)));
            }
            Fault::Pause { member, lasts } => self.pause(member, lasts),
            Fault::Cut { from, lasts } => {
                self.set_paths(from, CUT_PATH);
                self.fault_ends.push((now + lasts, FaultEnd::RestorePaths));
            }
            Fault::Slow { path, lasts } => {
                self.set_paths(None, path);
                self.fault_ends.push((now + lasts, FaultEnd::RestorePaths));
            }
            Fault::Outside { path, lasts } => {
                self.set_outside_paths(path);
                self.fault_ends
                    .push((now + lasts, FaultEnd::RestoreOutsidePaths));
            }
            Fault::Leave { member, back } => {
                if !self.member_nets[member].dead() && self.restart_after_drain[member].is_none() {
                    self.restart_after_drain[member] = Some(back);
                    self.members[member].drain();
                }
            }
            Fault::Flap { times, every } => self.flap(times, every),
            Fault::Forged { member } => {
                let to: SocketAddr = VRRP_ADDRESSES[member]
                    .parse()
                    .expect("the address is valid");
                self.forger.forge_advertisements(to);
            }
        }
    }

    fn pause(&mut self, member: usize, lasts: Time) {
        if self.member_nets[member].dead() {
            return;
        }
        if self.serves(member) {
            self.add_row(Kind::Still);
            self.service_stalled = true;
        }
        self.member_nets[member].still(true);
        self.fault_ends
            .push((self.now() + lasts, FaultEnd::Continue(member)));
    }

    fn flap(&mut self, times: u32, every: Time) {
        let now = self.now();
        for i in 0..Time::from(times) {
            self.fault_ends
                .push((now + 2 * i * every, FaultEnd::CutPaths));
            self.fault_ends
                .push((now + (2 * i + 1) * every, FaultEnd::RestorePaths));
        }
    }

    /// Sets the paths between the members in both directions, or only the one from `from`.
    fn set_paths(&mut self, from: Option<usize>, path: Path) {
        let mut world = self.world.borrow_mut();
        for member in (0..2).filter(|member| from.is_none_or(|from| from == *member)) {
            world.path(
                &self.member_nets[member],
                &self.member_nets[1 - member],
                path,
            );
        }
    }

    /// Sets the paths between the members and the emulated workers, clients, voters and discovery server.
    fn set_outside_paths(&mut self, path: Path) {
        let mut world = self.world.borrow_mut();
        for net in &self.member_nets {
            world.path(net, &self.fleet_net, path);
            world.path(&self.fleet_net, net, path);
        }
    }

    fn end_fault(&mut self, end: FaultEnd) {
        match end {
            FaultEnd::Continue(member) => self.member_nets[member].still(false),
            FaultEnd::RestorePaths => self.set_paths(None, USUAL_PATH),
            FaultEnd::RestoreOutsidePaths => self.set_outside_paths(USUAL_PATH),
            FaultEnd::CutPaths => self.set_paths(None, CUT_PATH),
        }
    }
}

// Supervision of the processes.
impl Run {
    /// Does what is due: begins and ends faults, records takeovers, and restarts processes.
    pub fn supervise(&mut self) {
        let now = self.now();
        let is_due = |fault: &&(Time, Fault)| fault.0 <= now;
        while let Some(&(_, fault)) = self.faults.get(self.next_fault).filter(is_due) {
            self.next_fault += 1;
            self.inject(fault);
        }
        let ends = std::mem::take(&mut self.fault_ends);
        let (due, rest): (Vec<_>, Vec<_>) = ends.into_iter().partition(|end| end.0 <= now);
        self.fault_ends = rest;
        for (_, end) in due {
            self.end_fault(end);
        }
        self.note_service_resumed();
        self.note_roles();
        for member in 0..2 {
            self.note_takeover(member);
            self.restart_if_ended(member);
            self.start_if_due(member);
        }
    }

    /// Records that service has resumed after a stall of the active member: one member serves under the
    /// newest epoch and is not stalled.
    fn note_service_resumed(&mut self) {
        let serves_alone = |member: usize| {
            self.serves(member) && !self.is_paused(member) && self.has_newest_epoch(member)
        };
        if self.service_stalled && (0..2).any(serves_alone) {
            self.service_stalled = false;
            self.add_row(Kind::Going);
        }
    }

    fn note_roles(&mut self) {
        let [first, second] = [0, 1].map(|member: usize| {
            let dead = self.member_nets[member].dead();
            let role = self.members[member].role().filter(|_| !dead);
            let position = |role| Role::ALL.iter().position(|other| *other == role);
            role.map_or(MEMBER_STATES - 1, |role| position(role).unwrap_or(0))
        });
        self.state_pairs[first][second] = true;
    }

    fn note_takeover(&mut self, member: usize) {
        let serves = self.serves(member);
        self.takeovers += u64::from(serves && !self.served[member]);
        self.served[member] = serves;
    }

    /// Schedules the restart of a process that exited by itself, because it was superseded or told to drain.
    fn restart_if_ended(&mut self, member: usize) {
        let ended = self.member_nets[member].dead() && self.starts_at[member].is_none();
        if !ended || self.is_killed_for_good(member) {
            return;
        }
        let stop_reason = self.members[member].stop_reason();
        let wait = match (stop_reason, self.restart_after_drain[member].take()) {
            (StopReason::Restart, _) => Some(RESTART),
            (_, back) => back,
        };
        if wait.is_some() {
            self.kill(member, wait);
        }
    }

    fn start_if_due(&mut self, member: usize) {
        if self.starts_at[member].is_some_and(|at| at <= self.now()) {
            self.starts_at[member] = None;
            self.incarnations[member] += 1;
            self.member_nets[member].restart();
            let incarnation = self.incarnations[member];
            self.members[member] =
                start_member(&self.member_nets[member], member, &self.setup, incarnation);
        }
    }

    /// Whether the other member does not serve, or serves under an older epoch.
    fn has_newest_epoch(&self, member: usize) -> bool {
        let other = 1 - member;
        !self.serves(other) || self.members[member].epoch() > self.members[other].epoch()
    }

    fn is_paused(&self, member: usize) -> bool {
        let continues =
            |end: FaultEnd| matches!(end, FaultEnd::Continue(stalled) if stalled == member);
        self.fault_ends.iter().any(|end| continues(end.1))
    }

    /// Whether a dead process was killed: one that drained by itself has an entry in `restart_after_drain`.
    fn is_killed_for_good(&self, member: usize) -> bool {
        self.members[member].stop_reason() == StopReason::Drained
            && self.restart_after_drain[member].is_none()
    }

    /// Adds a row about a stall to the record: the emulator cannot see it, so the run that causes it records
    /// it.
    fn add_row(&self, kind: Kind) {
        let row = Row {
            time: self.now(),
            kind,
            ..Row::default()
        };
        let mut record = self.record.0.borrow_mut();
        serde_json::to_writer(&mut *record, &row).expect("a row is JSON");
        record.push(b'\n');
    }
}
