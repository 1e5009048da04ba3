//! Two gateways behind one address, a fleet of stand-ins, and troubles drawn from the seed; the audit reads what the
//! stand-ins' ends recorded.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tidewall_audit::rows::{Kind, Row};
use tidewall_audit::Audit;
use tidewall_config::Section;
use tidewall_emulator::{Fleet, NoGateways, Plan};
use tidewall_failover::role::Role;
use tidewall_gateway::config::{failover_config, gateway_config};
use tidewall_gateway::endpoints::NoEndpointCache;
use tidewall_gateway::failover::StopReason;
use tidewall_gateway::native_ingress::NativeIngress;
use tidewall_gateway::Gateway;
use tidewall_net::memory::{self, Memory, Path, World};
use tidewall_net::{App, CloseReason, Conn, Listener, Net, Time};
use tidewall_vrrp::packet::{AdvertisementPacket, Keys};

/// How a member may stand: the seat's states, or dead.
pub const STANDS: usize = Role::ALL.len() + 1;

/// Which states of both members were met together.
pub type Met = [[bool; STANDS]; STANDS];

pub fn stand(at: usize) -> &'static str {
    Role::ALL.get(at).map_or("dead", |s| s.text())
}

/// What is left out on purpose, to show that the audit notices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Plant {
    #[default]
    Nothing,
    /// Workers take launches of any epoch, and cut nobody off.
    NoFences,
    /// Nothing goes to the other member.
    NoCopies,
    /// Voters forget what they promised, so epochs are used again.
    Forgets,
}

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// The process dies; it starts again after a while, or never.
    Kill { member: usize, back: Option<Time> },
    /// Both at once.
    KillBoth { back: Time },
    /// The process stands still.
    Pause { member: usize, lasts: Time },
    /// Nothing gets from the one member to the other, or both ways.
    Cut { from: Option<usize>, lasts: Time },
    /// What goes between the members takes long, unevenly, and some of it is lost or comes twice.
    Slow { path: Path, lasts: Time },
    /// What goes between the members and all others is slow and lossy.
    Outside { path: Path, lasts: Time },
    /// Told to go (SIGTERM); it starts again after a while.
    Leave { member: usize, back: Time },
    /// The link between the members comes and goes, so many times.
    Flap { times: u32, every: Time },
    /// Advertisements that claim mastership, forged and replayed.
    Forged { member: usize },
}

/// A kind of trouble, to draw that kind alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Sort {
    Kill,
    KillBoth,
    Pause,
    Cut,
    Slow,
    Outside,
    Leave,
    Flap,
    Forged,
}

/// How a run goes.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub plant: Plant,
    /// How long clients send.
    pub seconds: f64,
    pub rate: f64,
    /// Drawn from the seed where left out.
    pub troubles: Option<Vec<(Time, Trouble)>>,
    /// The same for troubles of the fleet, as a script.
    pub script: Option<String>,
    /// One trouble of this kind is drawn, and none of the fleet's.
    pub only: Option<Sort>,
    /// Member b's settings are not those of member a.
    pub disagree: bool,
    /// Max age of all request classes, in milliseconds; clients wait for nine tenths of it.
    pub max_age_ms: u64,
    /// Whether the report holds the record.
    pub keep: bool,
}

impl Setup {
    pub fn new(seed: u64) -> Setup {
        Setup {
            seed,
            plant: Plant::Nothing,
            seconds: 5.0,
            rate: 120.0,
            troubles: None,
            script: None,
            only: None,
            disagree: false,
            max_age_ms: MAX_AGE_MS,
            keep: false,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Report {
    pub seed: u64,
    pub digest: u64,
    pub steps: u64,
    pub events: u64,
    pub handled: u64,
    pub asked_again: u64,
    pub excused: u64,
    /// How often a member began to serve.
    pub takeovers: u64,
    pub refused: u64,
    pub service: f64,
    pub pauses: Vec<Time>,
    pub cases: [u64; 6],
    pub breaches: Vec<String>,
    pub troubles: Vec<(Time, Trouble)>,
    pub script: String,
    pub met: Met,
    /// What the stand-ins' ends recorded, a JSON line each.
    pub record: Vec<u8>,
}

/// Max age and target time of the request classes in [`SETTINGS`], in milliseconds.
const MAX_AGE_MS: u64 = 3_000;
const TARGET_TIME_MS: u64 = 800;

const SETTINGS: &str = r#"
gateway { name: "g0" address: "127.0.0.1:700" zone: "north" }
roster { address: "127.0.0.1:701" }
zone: ["north", "south"]
kind { name: "k" memory_mb: 2000 }
event_type { name: "check" target_time_ms: TARGETTIME max_age_ms: MAXAGE redelivery: REDELIVERABLE }
event_type { name: "record" target_time_ms: TARGETTIME max_age_ms: MAXAGE benefit: 3 redelivery: KEYED group: ZONE window_ms: 4000 }
event_type { name: "issue" target_time_ms: TARGETTIME max_age_ms: MAXAGE benefit: 2 redelivery: AT_MOST_ONCE }
event_type { name: "count" target_time_ms: TARGETTIME max_age_ms: MAXAGE redelivery: KEYED group: ALL window_ms: 4000 }
limits { two_at_once: false max_launches: 3 }
loading { stays_loaded_ms: 8000 window_ms: 10000 free: 6 share: 0.2 }
rules { drain_grace_ms: 2000 cold_from: 0.2 cold_ms: 3000 fall_multiple: 2.5 fall_ms: 1500 }
pair {
  own { name: "OWN" priority: OWNPRIORITY vrrp_address: "OWNVRRP" link_address: "OWNLINK" }
  peer { name: "PEER" vrrp_address: "PEERVRRP" link_address: "PEERLINK" }
  key_file: "unused"
  voter: ["n0", "n1", "s0"]
}
fleet {
  workers { name: "n" count: 3 zone: "north" kind: "k" cores: 4 queue: 40 }
  workers { name: "s" count: 3 zone: "south" kind: "k" cores: 4 queue: 40 }
  programs { name: "stock" count: 6 event_type: "check" work_ms: 25 memory_mb: 120 fetch_ms: 100 start_ms: 50 share: 0.4 }
  programs { name: "book" count: 3 event_type: "record" work_ms: 30 memory_mb: 120 fetch_ms: 100 start_ms: 50 share: 0.2 }
  programs { name: "slip" count: 3 event_type: "issue" work_ms: 35 memory_mb: 100 fetch_ms: 100 start_ms: 50 share: 0.2 }
  programs { name: "tally" count: 3 event_type: "count" work_ms: 25 memory_mb: 100 fetch_ms: 100 start_ms: 50 share: 0.2 }
  depot { capacity: 6 most: 40 }
  clients { rate: RATE connections: 4 retries: 1 wait_ms: 100 patience: 0.9 front_ms: 1000 payload: 64 }
  roster_late_ms: 300
  silent_notice_ms: 1500
}
"#;

const SHARED: &str = "127.0.0.1:700";

const KEY: &[u8] = b"a key of the runs, known to both";

fn settings(member: usize, setup: &Setup) -> Section {
    let part = |m: usize| {
        let (name, vrrp, link) = [
            ("a", "127.0.0.2:112", "127.0.0.2:113"),
            ("b", "127.0.0.3:112", "127.0.0.3:113"),
        ][m];
        (name, vrrp, link)
    };
    let (own, peer) = (part(member), part(1 - member));
    let text = SETTINGS.replace("OWNPRIORITY", if member == 0 { "200" } else { "100" });
    let text = text
        .replace("OWNVRRP", own.1)
        .replace("OWNLINK", own.2)
        .replace("OWN", own.0);
    let text = text
        .replace("PEERVRRP", peer.1)
        .replace("PEERLINK", peer.2)
        .replace("PEER", peer.0);
    let text = text.replace("RATE", &setup.rate.to_string());
    let target_time_ms = TARGET_TIME_MS.min(setup.max_age_ms);
    let text = text
        .replace("TARGETTIME", &target_time_ms.to_string())
        .replace("MAXAGE", &setup.max_age_ms.to_string());
    tidewall_config::settings("run", &text).expect("the run's settings are good")
}

/// A record that the run reads when it is over.
#[derive(Clone, Default)]
pub(crate) struct Shared(pub(crate) Rc<RefCell<Vec<u8>>>);

impl Write for Shared {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Somebody on the segment.
struct Stranger {
    net: Memory,
    port: tidewall_net::DatagramSocket,
}

impl App for Stranger {
    type Net = Memory;
    fn net(&mut self) -> &mut Memory {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, _: Conn, bytes: &[u8]) -> usize {
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, _: CloseReason) {}
    fn timer_fired(&mut self, _: u64) {}
}

pub struct Run {
    setup: Setup,
    world: Rc<RefCell<World>>,
    hands: [Memory; 2],
    fleet_hand: Memory,
    members: [Gateway<Memory>; 2],
    fleet: Fleet<Memory>,
    stranger: Stranger,
    record: Shared,
    lives: [u64; 2],
    /// When a member's process starts next.
    back: [Option<Time>; 2],
    /// Told to go, and this long after it is gone it starts again.
    leaves: [Option<Time>; 2],
    served: [bool; 2],
    takeovers: u64,
    troubles: Vec<(Time, Trouble)>,
    script: String,
    /// Ends of troubles.
    ends: Vec<(Time, End)>,
    next: usize,
    /// The member that served stands still, and no other serves yet.
    stood: bool,
    met: Met,
}

#[derive(Clone, Copy)]
enum End {
    Go(usize),
    Mend,
    MendOutside,
    Cut,
}

/// A supervisor starts a process again after this.
const RESTART: Time = 500;

/// The run looks at the processes this often.
const LOOK: Time = 20;

fn member(net: &Memory, me: usize, setup: &Setup, life: u64) -> Gateway<Memory> {
    let s = settings(me, setup);
    let mut start = gateway_config(&s, 0, setup.seed * 10 + life * 2 + me as u64);
    let keys = || Keys(vec![(1, KEY.to_vec())]);
    let mut pair = failover_config(&s, life, Box::new(keys));
    pair.replicates = setup.plant != Plant::NoCopies;
    if setup.disagree && me == 1 {
        let line = pair
            .shared_settings
            .iter_mut()
            .find(|l| l.starts_with("limits.max_launches"));
        *line.expect("it is set") = "limits.max_launches = 4".to_string();
    }
    start.failover = Some(pair);
    let mut gateway = Gateway::new(net.clone(), start, Box::new(NoEndpointCache))
        .expect("its addresses are free");
    let shared = SHARED.parse().expect("it is an address");
    gateway
        .add_ingress(shared, Box::new(NativeIngress::new(0, "g0")))
        .expect("one of a pair listens later");
    gateway
}

impl Run {
    pub fn new(setup: Setup) -> Run {
        let world = memory::world();
        world.borrow_mut().seed(setup.seed);
        world
            .borrow_mut()
            .moves
            .push(SHARED.parse().expect("it is an address"));
        let hands = [Memory::join(&world), Memory::join(&world)];
        let fleet_hand = Memory::join(&world);
        let mut stranger_net = Memory::join(&world);
        let mut chance = ChaCha8Rng::seed_from_u64(setup.seed ^ 0x7a11);
        for hand in &hands {
            // Quartz is good for some 200 millionths at worst.
            hand.clock(chance.random_range(-200..=200));
        }
        let record = Shared::default();
        let s = settings(0, &setup);
        let span = (setup.seconds * 10_000.0) as Time;
        let troubles = setup
            .troubles
            .clone()
            .unwrap_or_else(|| draw(&mut chance, span, setup.only));
        let script = match (&setup.script, &setup.troubles) {
            (Some(text), _) => text.clone(),
            (None, Some(_)) => String::new(),
            _ if setup.only.is_some() => String::new(),
            (None, None) => draw_script(&mut chance),
        };
        let text = script;
        let script = tidewall_config::script("run", &text).expect("the run's script is good");
        let plan = Plan {
            seed: setup.seed,
            seconds: setup.seconds,
            clients: true,
            amqp: false,
            record: Box::new(record.clone()),
            gateways: Box::new(NoGateways),
            fences: setup.plant != Plant::NoFences,
            forgets: setup.plant == Plant::Forgets,
            task_epochs: true,
            wild_clocks: false,
        };
        let fleet = Fleet::new(fleet_hand.clone(), &s, Some(&script), plan)
            .expect("its addresses are free");
        let members = [
            member(&hands[0], 0, &setup, 1),
            member(&hands[1], 1, &setup, 1),
        ];
        let (port, _) = stranger_net
            .bind_datagram("127.0.0.2:999".parse().expect("an address"))
            .expect("free");
        let stranger = Stranger {
            net: stranger_net,
            port,
        };
        Run {
            setup,
            world,
            hands,
            fleet_hand,
            members,
            fleet,
            stranger,
            record,
            lives: [1, 1],
            back: [None, None],
            leaves: [None, None],
            served: [false, false],
            takeovers: 0,
            troubles,
            script: text,
            ends: Vec::new(),
            next: 0,
            stood: false,
            met: Met::default(),
        }
    }

    pub fn now(&self) -> Time {
        self.world.borrow().now()
    }

    /// One thing happens, if any does by then.
    pub fn step(&mut self, until: Time) -> bool {
        let [a, b] = &mut self.members;
        memory::step(
            &self.world,
            &mut [a, b, &mut self.fleet, &mut self.stranger],
            until,
        )
    }

    pub fn member(&self, m: usize) -> &Gateway<Memory> {
        &self.members[m]
    }

    pub fn serves(&self, m: usize) -> bool {
        !self.hands[m].dead() && self.members[m].role().is_some_and(|s| s.serves())
    }

    pub fn kill(&mut self, m: usize, back: Option<Time>) {
        self.hands[m].still(false);
        self.hands[m].kill();
        self.served[m] = false;
        self.back[m] = back.map(|b| self.now() + b);
        self.leaves[m] = None;
    }

    fn paths(&mut self, from: Option<usize>, path: Path) {
        let mut w = self.world.borrow_mut();
        for a in (0..2).filter(|a| from.is_none_or(|f| f == *a)) {
            w.path(&self.hands[a], &self.hands[1 - a], path);
        }
    }

    fn usual() -> Path {
        Path {
            delay: 2,
            ..Path::default()
        }
    }

    pub fn trouble(&mut self, trouble: Trouble) {
        let now = self.now();
        match trouble {
            Trouble::Kill { member, back } => self.kill(member, back),
            Trouble::KillBoth { back } => (0..2).for_each(|m| self.kill(m, Some(back))),
            Trouble::Pause { member, lasts } => {
                if !self.hands[member].dead() {
                    if self.serves(member) {
                        self.row(Kind::Still);
                        self.stood = true;
                    }
                    self.hands[member].still(true);
                    self.ends.push((now + lasts, End::Go(member)));
                }
            }
            Trouble::Cut { from, lasts } => {
                self.paths(
                    from,
                    Path {
                        cut: true,
                        ..Run::usual()
                    },
                );
                self.ends.push((now + lasts, End::Mend));
            }
            Trouble::Slow { path, lasts } => {
                self.paths(None, path);
                self.ends.push((now + lasts, End::Mend));
            }
            Trouble::Outside { path, lasts } => {
                self.outside(path);
                self.ends.push((now + lasts, End::MendOutside));
            }
            Trouble::Leave { member, back } => {
                if !self.hands[member].dead() && self.leaves[member].is_none() {
                    self.leaves[member] = Some(back);
                    self.members[member].drain();
                }
            }
            Trouble::Flap { times, every } => {
                for i in 0..Time::from(times) {
                    self.ends.push((now + 2 * i * every, End::Cut));
                    self.ends.push((now + (2 * i + 1) * every, End::Mend));
                }
            }
            Trouble::Forged { member } => {
                let to = ["127.0.0.2:112", "127.0.0.3:112"][member]
                    .parse()
                    .expect("an address");
                let shared = [Ipv4Addr::LOCALHOST];
                let mut out = Vec::new();
                let port = self.stranger.port;
                // Signed with a guessed key; signed with the right one, but overheard long ago (its number is old, and
                // it comes from the address of member 0); cut short.
                let keys = [(1, b"guessed".to_vec()), (1, KEY.to_vec())];
                for (i, key) in keys.into_iter().enumerate() {
                    out.clear();
                    AdvertisementPacket {
                        vrid: 1,
                        priority: 254,
                        interval: 10,
                        addresses: (&shared[..]).into(),
                        sequence: 1 + i as u64,
                    }
                    .encode(&Keys(vec![key]), &mut out);
                    self.stranger.net.send_datagram(port, to, &out);
                }
                out.truncate(9);
                self.stranger.net.send_datagram(port, to, &out);
            }
        }
    }

    fn outside(&mut self, path: Path) {
        let mut w = self.world.borrow_mut();
        for hand in &self.hands {
            w.path(hand, &self.fleet_hand, path);
            w.path(&self.fleet_hand, hand, path);
        }
    }

    /// What is due by now: troubles, their ends, processes that start.
    pub fn look(&mut self) {
        let now = self.now();
        while self.troubles.get(self.next).is_some_and(|t| t.0 <= now) {
            let trouble = self.troubles[self.next].1;
            self.next += 1;
            self.trouble(trouble);
        }
        let (due, rest): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|e| e.0 <= now);
        self.ends = rest;
        for (_, end) in due {
            match end {
                End::Go(m) => self.hands[m].still(false),
                End::Mend => self.paths(None, Run::usual()),
                End::MendOutside => self.outside(Run::usual()),
                End::Cut => self.paths(
                    None,
                    Path {
                        cut: true,
                        ..Run::usual()
                    },
                ),
            }
        }
        // Somebody serves again.
        if self.stood && (0..2).any(|m| self.serves(m) && !self.still(m) && self.newest(m)) {
            self.stood = false;
            self.row(Kind::Going);
        }
        let [a, b] = [0, 1].map(|m: usize| {
            let state = self.members[m].role().filter(|_| !self.hands[m].dead());
            state.map_or(STANDS - 1, |s| {
                Role::ALL.iter().position(|o| *o == s).unwrap_or(0)
            })
        });
        self.met[a][b] = true;
        for m in 0..2 {
            let serves = self.serves(m);
            self.takeovers += u64::from(serves && !self.served[m]);
            self.served[m] = serves;
            if self.hands[m].dead() && self.back[m].is_none() && !self.killed_for_good(m) {
                // It stopped by itself: superseded, or told to go.
                let wait = match (self.members[m].stop_reason(), self.leaves[m].take()) {
                    (StopReason::Restart, _) => RESTART,
                    (_, Some(back)) => back,
                    _ => continue,
                };
                self.kill(m, Some(wait));
            }
            if self.back[m].is_some_and(|at| at <= now) {
                self.back[m] = None;
                self.lives[m] += 1;
                self.hands[m].restart();
                self.members[m] = member(&self.hands[m], m, &self.setup, self.lives[m]);
            }
        }
    }

    /// No other serves under a newer epoch.
    fn newest(&self, m: usize) -> bool {
        !self.serves(1 - m) || self.members[m].epoch() > self.members[1 - m].epoch()
    }

    fn still(&self, m: usize) -> bool {
        self.ends
            .iter()
            .any(|e| matches!(e.1, End::Go(of) if of == m))
    }

    /// The record's knowledge of a standstill, as of a kill, comes from whoever causes it.
    fn row(&self, k: Kind) {
        let row = Row {
            t: self.now(),
            k,
            ..Row::default()
        };
        let mut record = self.record.0.borrow_mut();
        serde_json::to_writer(&mut *record, &row).expect("a row is JSON");
        record.push(b'\n');
    }

    fn killed_for_good(&self, m: usize) -> bool {
        // A killed process has not ended itself.
        self.members[m].stop_reason() == StopReason::Drained && self.leaves[m].is_none()
    }

    pub fn until(&mut self, until: Time) {
        while self.now() < until {
            let next = (self.now() + LOOK).min(until);
            while self.step(next) {}
            self.look();
        }
    }

    pub fn finish(mut self) -> Report {
        // The last event's max age, the grace, and the aftermath of the fleet's own clock.
        let end = (self.setup.seconds * 10_000.0) as Time + 30_000 + 5_000;
        self.until(end + 1_000);
        self.fleet.flush();
        let bytes = self.record.0.borrow().clone();
        let lines = std::str::from_utf8(&bytes)
            .expect("JSON is text")
            .lines()
            .map(str::to_string);
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
            refused: self.fleet.refused(),
            service: results.service(),
            // The first one is the start's.
            pauses: self.fleet.pauses().get(1..).unwrap_or(&[]).to_vec(),
            cases: std::array::from_fn(|i| audit.verdicts[i].cases),
            breaches: audit
                .verdicts
                .iter()
                .enumerate()
                .flat_map(|(i, v)| {
                    v.breaches
                        .iter()
                        .map(move |b| format!("rule {}: {b}", i + 1))
                })
                .collect(),
            troubles: self.troubles,
            script: self.script,
            met: self.met,
            record: if self.setup.keep { bytes } else { Vec::new() },
        }
    }
}

pub fn run(setup: Setup) -> Report {
    Run::new(setup).finish()
}

/// The fewest troubles with which this run still breaks a rule: each is left out in turn, then those of the fleet, then the end
/// of the run. None where it breaks none.
pub fn shrink(setup: &Setup) -> Option<Report> {
    let mut last = run(setup.clone());
    if last.breaches.is_empty() {
        return None;
    }
    let fails = |troubles: &[(Time, Trouble)], script: &str, seconds: f64| {
        let (troubles, script) = (Some(troubles.to_vec()), Some(script.to_string()));
        let report = run(Setup {
            troubles,
            script,
            seconds,
            ..setup.clone()
        });
        (!report.breaches.is_empty()).then_some(report)
    };
    let mut seconds = setup.seconds;
    loop {
        let before = (last.troubles.len(), last.script.lines().count(), seconds);
        for i in (0..last.troubles.len()).rev() {
            let mut fewer = last.troubles.clone();
            fewer.remove(i);
            last = fails(&fewer, &last.script, seconds).unwrap_or(last);
        }
        for i in (0..last.script.lines().count()).rev() {
            let lines = last.script.lines().enumerate().filter(|l| l.0 != i);
            let fewer: String = lines.map(|l| format!("{}\n", l.1)).collect();
            last = fails(&last.troubles, &fewer, seconds).unwrap_or(last);
        }
        // Times of the fleet's troubles are parts of the run: only without them it may be shorter.
        let shorter = (seconds - 0.5).max(1.5);
        if last.script.is_empty() && shorter < seconds {
            if let Some(report) = fails(&last.troubles, "", shorter) {
                (last, seconds) = (report, shorter);
            }
        }
        if before == (last.troubles.len(), last.script.lines().count(), seconds) {
            return Some(last);
        }
    }
}

/// One to five troubles between the start-up and the last third.
fn draw(chance: &mut ChaCha8Rng, span: Time, only: Option<Sort>) -> Vec<(Time, Trouble)> {
    let count = if only.is_some() {
        1
    } else {
        chance.random_range(1..=5)
    };
    let mut list: Vec<(Time, Trouble)> = (0..count)
        .map(|_| {
            let at = chance.random_range(12_000..span * 3 / 4);
            let member = chance.random_range(0..2);
            let lasts = chance.random_range(500..15_000);
            let sorts = [
                Sort::Kill,
                Sort::Kill,
                Sort::Kill,
                Sort::KillBoth,
                Sort::Pause,
                Sort::Pause,
            ];
            let more = [
                Sort::Cut,
                Sort::Slow,
                Sort::Outside,
                Sort::Leave,
                Sort::Flap,
                Sort::Forged,
            ];
            let drawn = chance.random_range(0..12);
            let sort = *sorts
                .iter()
                .chain(&more)
                .nth(drawn)
                .expect("there are twelve");
            let trouble = match only.unwrap_or(sort) {
                Sort::Kill => Trouble::Kill {
                    member,
                    back: chance.random_ratio(3, 4).then_some(lasts),
                },
                Sort::KillBoth => Trouble::KillBoth { back: lasts },
                Sort::Pause => Trouble::Pause { member, lasts },
                Sort::Cut => Trouble::Cut {
                    from: chance.random_ratio(1, 2).then_some(member),
                    lasts,
                },
                Sort::Slow => {
                    let path = Path {
                        delay: chance.random_range(2..600),
                        jitter: chance.random_range(0..600),
                        lost: chance.random_range(0..400),
                        twice: chance.random_range(0..200),
                        cut: false,
                    };
                    Trouble::Slow { path, lasts }
                }
                Sort::Outside => {
                    let path = Path {
                        delay: chance.random_range(2..100),
                        jitter: chance.random_range(0..100),
                        // What is lost on a stream comes a fifth of a second later: after clients gave up, whoever sends it.
                        lost: 0,
                        twice: 0,
                        cut: false,
                    };
                    Trouble::Outside { path, lasts }
                }
                Sort::Leave => Trouble::Leave {
                    member,
                    back: lasts,
                },
                Sort::Flap => Trouble::Flap {
                    times: chance.random_range(2..6),
                    every: 2_500,
                },
                Sort::Forged => Trouble::Forged { member },
            };
            (at, trouble)
        })
        .collect();
    list.sort_by_key(|t| t.0);
    // A pair whose both members are gone for good serves nobody: one always comes back.
    let mut gone = false;
    for (_, trouble) in &mut list {
        if let Trouble::Kill { back, .. } = trouble {
            if back.is_none() && std::mem::replace(&mut gone, true) {
                *back = Some(5_000);
            }
        }
    }
    list
}

/// Up to two troubles of workers.
fn draw_script(chance: &mut ChaCha8Rng) -> String {
    let mut text = String::new();
    for _ in 0..chance.random_range(0..=2) {
        let at: f64 = chance.random_range(0.2..0.7);
        let lasts = chance.random_range(200..1_500);
        let kind = match chance.random_range(0..5) {
            0 => format!("WORKER_KILL lasts_ms: {lasts}"),
            1 => format!("WORKER_SILENT lasts_ms: {lasts}"),
            2 => format!("WORKER_HANG lasts_ms: {lasts}"),
            3 => "WORKER_RESET".to_string(),
            _ => format!("WORKER_SLOW lasts_ms: {lasts} factor: 4"),
        };
        text += &format!("fault {{ trouble: {kind} at: {at:.3} }}\n");
    }
    text
}
