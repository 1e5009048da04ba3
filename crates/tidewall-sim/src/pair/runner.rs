//! One run: the members, the fleet and a stranger on one simulated network, with their troubles.
use super::settings::{settings, shared_address, start_member};
use super::stranger::Stranger;
use super::trouble::{draw_fleet_script, draw_troubles};
use super::{Met, Plant, Report, Setup, SharedRecord, Trouble, STANDS};
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

/// Mixed into the seed, so that troubles are not drawn by the numbers that the network draws.
const TROUBLE_SEED: u64 = 0x7a11;

/// Quartz is good for some 200 millionths at worst.
const CLOCK_ERROR_PPM: i64 = 200;

/// A supervisor starts a process again after this.
const RESTART: Time = 500;

/// The run looks at the processes this often.
const LOOK_INTERVAL: Time = 20;

/// How long a run goes on after its clients' last request: its max age and the grace of its answer, and what the fleet's own
/// clock still has to do.
const AFTERMATH: Time = 30_000 + 5_000 + 1_000;

/// The usual delay between members, one way.
const USUAL_PATH: Path = Path {
    delay: 2,
    jitter: 0,
    lost: 0,
    twice: 0,
    cut: false,
};

/// The same, with nothing getting through.
const CUT_PATH: Path = Path {
    cut: true,
    ..USUAL_PATH
};

/// Where the members hear advertisements.
const VRRP_ADDRESSES: [&str; 2] = ["127.0.0.2:112", "127.0.0.3:112"];

/// How a trouble ends.
#[derive(Clone, Copy)]
enum TroubleEnd {
    /// A member goes on.
    Continue(usize),
    /// The paths between the members are as usual again.
    RestorePaths,
    /// The paths between the members and all others are.
    RestoreOutsidePaths,
    /// A link that flaps is cut again.
    CutPaths,
}

/// A run.
pub struct Run {
    setup: Setup,
    world: Rc<RefCell<World>>,
    hands: [Memory; 2],
    fleet_hand: Memory,
    members: [Gateway<Memory>; 2],
    fleet: Fleet<Memory>,
    stranger: Stranger,
    record: SharedRecord,
    incarnations: [u64; 2],
    /// When a member's process starts next.
    starts_at: [Option<Time>; 2],
    /// Told to go, and this long after it is gone it starts again.
    leaves: [Option<Time>; 2],
    served: [bool; 2],
    takeovers: u64,
    troubles: Vec<(Time, Trouble)>,
    /// The position of the next trouble.
    next_trouble: usize,
    script: String,
    trouble_ends: Vec<(Time, TroubleEnd)>,
    /// The member that served stands still, and no other serves yet.
    stands_still: bool,
    met: Met,
}

impl Run {
    /// A run at its beginning.
    pub fn new(setup: Setup) -> Run {
        let world = memory::world();
        world.borrow_mut().seed(setup.seed);
        world.borrow_mut().moves.push(shared_address());
        let hands = [Memory::join(&world), Memory::join(&world)];
        let fleet_hand = Memory::join(&world);
        let stranger_hand = Memory::join(&world);
        let mut chance = ChaCha8Rng::seed_from_u64(setup.seed ^ TROUBLE_SEED);
        for hand in &hands {
            hand.clock(chance.random_range(-CLOCK_ERROR_PPM..=CLOCK_ERROR_PPM));
        }
        let (troubles, script) = troubles_and_script(&setup, &mut chance);
        let record = SharedRecord::default();
        let fleet = start_fleet(&setup, &fleet_hand, &script, &record);
        let members = [
            start_member(&hands[0], 0, &setup, 1),
            start_member(&hands[1], 1, &setup, 1),
        ];
        Run {
            setup,
            world,
            hands,
            fleet_hand,
            members,
            fleet,
            stranger: Stranger::new(stranger_hand),
            record,
            incarnations: [1, 1],
            starts_at: [None, None],
            leaves: [None, None],
            served: [false, false],
            takeovers: 0,
            troubles,
            next_trouble: 0,
            script,
            trouble_ends: Vec::new(),
            stands_still: false,
            met: Met::default(),
        }
    }

    /// The world's time, in tenths of a millisecond.
    pub fn now(&self) -> Time {
        self.world.borrow().now()
    }

    /// One thing happens, if any does by then.
    pub fn step(&mut self, until: Time) -> bool {
        let [first, second] = &mut self.members;
        memory::step(
            &self.world,
            &mut [first, second, &mut self.fleet, &mut self.stranger],
            until,
        )
    }

    /// One of the two gateways.
    pub fn member(&self, member: usize) -> &Gateway<Memory> {
        &self.members[member]
    }

    /// Whether a member is alive and serves.
    pub fn serves(&self, member: usize) -> bool {
        let role = self.members[member].role();
        !self.hands[member].dead() && role.is_some_and(Role::serves)
    }

    /// Kills a member's process, which starts again after `back`.
    pub fn kill(&mut self, member: usize, back: Option<Time>) {
        self.hands[member].still(false);
        self.hands[member].kill();
        self.served[member] = false;
        self.starts_at[member] = back.map(|back| self.now() + back);
        self.leaves[member] = None;
    }

    /// Plays until a time.
    pub fn until(&mut self, until: Time) {
        while self.now() < until {
            let next = (self.now() + LOOK_INTERVAL).min(until);
            while self.step(next) {}
            self.look();
        }
    }

    /// Plays to the end, and has the record audited.
    pub fn finish(mut self) -> Report {
        self.until((self.setup.seconds * 10_000.0) as Time + AFTERMATH);
        self.fleet.flush();
        let bytes = self.record.0.borrow().clone();
        let text = std::str::from_utf8(&bytes).expect("JSON is text");
        let lines = text.lines().map(str::to_string);
        let audit: Audit = tidewall_audit::check(lines).expect("the record is whole");
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
            // The first one is the start's.
            pauses: self.fleet.outages().get(1..).unwrap_or(&[]).to_vec(),
            cases: std::array::from_fn(|rule| audit.verdicts[rule].cases),
            breaches: breaches(&audit),
            troubles: self.troubles,
            script: self.script,
            met: self.met,
            record: if self.setup.keep { bytes } else { Vec::new() },
        }
    }
}

/// The troubles of a run and those of its fleet, as far as they are not drawn.
fn troubles_and_script(setup: &Setup, chance: &mut ChaCha8Rng) -> (Vec<(Time, Trouble)>, String) {
    let span = (setup.seconds * 10_000.0) as Time;
    let troubles = setup
        .troubles
        .clone()
        .unwrap_or_else(|| draw_troubles(chance, span, setup.only));
    let script = match (&setup.script, &setup.troubles) {
        (Some(text), _) => text.clone(),
        (None, Some(_)) => String::new(),
        _ if setup.only.is_some() => String::new(),
        (None, None) => draw_fleet_script(chance),
    };
    (troubles, script)
}

fn start_fleet(setup: &Setup, hand: &Memory, script: &str, record: &SharedRecord) -> Fleet<Memory> {
    let script = tidewall_config::script("run", script).expect("the run's script is good");
    let plan = Plan {
        seed: setup.seed,
        seconds: setup.seconds,
        clients: true,
        amqp: false,
        record: Box::new(record.clone()),
        gateways: Box::new(NoGateways),
        checks_epochs: setup.plant != Plant::NoFences,
        forgets_votes: setup.plant == Plant::Forgets,
        checks_task_epochs: true,
        wild_clocks: false,
    };
    Fleet::new(hand.clone(), &settings(0, setup), Some(&script), plan)
        .expect("its addresses are free")
}

/// What broke a rule, a line each.
fn breaches(audit: &Audit) -> Vec<String> {
    let verdicts = audit.verdicts.iter().enumerate();
    let lines = verdicts.flat_map(|(rule, verdict)| {
        let breaches = verdict.breaches.iter();
        breaches.map(move |breach| format!("rule {}: {breach}", rule + 1))
    });
    lines.collect()
}

// Troubles.
impl Run {
    /// Begins a trouble.
    pub fn trouble(&mut self, trouble: Trouble) {
        let now = self.now();
        match trouble {
            Trouble::Kill { member, back } => self.kill(member, back),
            Trouble::KillBoth { back } => {
                (0..2).for_each(|member| self.kill(member, Some(back)));
            }
            Trouble::Pause { member, lasts } => self.pause(member, lasts),
            Trouble::Cut { from, lasts } => {
                self.set_paths(from, CUT_PATH);
                self.trouble_ends
                    .push((now + lasts, TroubleEnd::RestorePaths));
            }
            Trouble::Slow { path, lasts } => {
                self.set_paths(None, path);
                self.trouble_ends
                    .push((now + lasts, TroubleEnd::RestorePaths));
            }
            Trouble::Outside { path, lasts } => {
                self.set_outside_paths(path);
                self.trouble_ends
                    .push((now + lasts, TroubleEnd::RestoreOutsidePaths));
            }
            Trouble::Leave { member, back } => {
                if !self.hands[member].dead() && self.leaves[member].is_none() {
                    self.leaves[member] = Some(back);
                    self.members[member].drain();
                }
            }
            Trouble::Flap { times, every } => self.flap(times, every),
            Trouble::Forged { member } => {
                let to: SocketAddr = VRRP_ADDRESSES[member].parse().expect("an address");
                self.stranger.forge_advertisements(to);
            }
        }
    }

    fn pause(&mut self, member: usize, lasts: Time) {
        if self.hands[member].dead() {
            return;
        }
        if self.serves(member) {
            self.add_row(Kind::Still);
            self.stands_still = true;
        }
        self.hands[member].still(true);
        self.trouble_ends
            .push((self.now() + lasts, TroubleEnd::Continue(member)));
    }

    fn flap(&mut self, times: u32, every: Time) {
        let now = self.now();
        for i in 0..Time::from(times) {
            self.trouble_ends
                .push((now + 2 * i * every, TroubleEnd::CutPaths));
            self.trouble_ends
                .push((now + (2 * i + 1) * every, TroubleEnd::RestorePaths));
        }
    }

    /// Sets the paths between the members, both or from one of them only.
    fn set_paths(&mut self, from: Option<usize>, path: Path) {
        let mut world = self.world.borrow_mut();
        for member in (0..2).filter(|member| from.is_none_or(|from| from == *member)) {
            world.path(&self.hands[member], &self.hands[1 - member], path);
        }
    }

    /// Sets the paths between the members and all others.
    fn set_outside_paths(&mut self, path: Path) {
        let mut world = self.world.borrow_mut();
        for hand in &self.hands {
            world.path(hand, &self.fleet_hand, path);
            world.path(&self.fleet_hand, hand, path);
        }
    }

    fn end_trouble(&mut self, end: TroubleEnd) {
        match end {
            TroubleEnd::Continue(member) => self.hands[member].still(false),
            TroubleEnd::RestorePaths => self.set_paths(None, USUAL_PATH),
            TroubleEnd::RestoreOutsidePaths => self.set_outside_paths(USUAL_PATH),
            TroubleEnd::CutPaths => self.set_paths(None, CUT_PATH),
        }
    }
}

// The regular look at the processes.
impl Run {
    /// What is due by now: troubles, their ends, processes that start.
    pub fn look(&mut self) {
        let now = self.now();
        let is_due = |trouble: &&(Time, Trouble)| trouble.0 <= now;
        while let Some(&(_, trouble)) = self.troubles.get(self.next_trouble).filter(is_due) {
            self.next_trouble += 1;
            self.trouble(trouble);
        }
        let ends = std::mem::take(&mut self.trouble_ends);
        let (due, rest): (Vec<_>, Vec<_>) = ends.into_iter().partition(|end| end.0 <= now);
        self.trouble_ends = rest;
        for (_, end) in due {
            self.end_trouble(end);
        }
        self.note_service_resumed();
        self.note_roles();
        for member in 0..2 {
            self.note_takeover(member);
            self.restart_if_ended(member);
            self.start_if_due(member);
        }
    }

    /// Somebody serves again where the member that served stands still.
    fn note_service_resumed(&mut self) {
        let serves_alone = |member: usize| {
            self.serves(member) && !self.is_paused(member) && self.has_newest_epoch(member)
        };
        if self.stands_still && (0..2).any(serves_alone) {
            self.stands_still = false;
            self.add_row(Kind::Going);
        }
    }

    fn note_roles(&mut self) {
        let [first, second] = [0, 1].map(|member: usize| {
            let dead = self.hands[member].dead();
            let role = self.members[member].role().filter(|_| !dead);
            let position = |role| Role::ALL.iter().position(|other| *other == role);
            role.map_or(STANDS - 1, |role| position(role).unwrap_or(0))
        });
        self.met[first][second] = true;
    }

    fn note_takeover(&mut self, member: usize) {
        let serves = self.serves(member);
        self.takeovers += u64::from(serves && !self.served[member]);
        self.served[member] = serves;
    }

    /// A process that ended by itself, superseded or told to go, is started again.
    fn restart_if_ended(&mut self, member: usize) {
        let ended = self.hands[member].dead() && self.starts_at[member].is_none();
        if !ended || self.is_killed_for_good(member) {
            return;
        }
        let stop_reason = self.members[member].stop_reason();
        let wait = match (stop_reason, self.leaves[member].take()) {
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
            self.hands[member].restart();
            let incarnation = self.incarnations[member];
            self.members[member] =
                start_member(&self.hands[member], member, &self.setup, incarnation);
        }
    }

    /// No other serves under a newer epoch.
    fn has_newest_epoch(&self, member: usize) -> bool {
        let other = 1 - member;
        !self.serves(other) || self.members[member].epoch() > self.members[other].epoch()
    }

    fn is_paused(&self, member: usize) -> bool {
        let continues = |end: TroubleEnd| matches!(end, TroubleEnd::Continue(of) if of == member);
        self.trouble_ends.iter().any(|end| continues(end.1))
    }

    /// A killed process has not ended itself.
    fn is_killed_for_good(&self, member: usize) -> bool {
        self.members[member].stop_reason() == StopReason::Drained && self.leaves[member].is_none()
    }

    /// The record's knowledge of a standstill, as of a kill, comes from whoever causes it.
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
