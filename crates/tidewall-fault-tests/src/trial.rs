//! One trial: five gateway processes in three zones, a script of timed faults, and the verdict. The times in
//! a script are chosen far from any limit that would change the outcome; the verdict depends on the record
//! alone.
use crate::relay::{Link, MemberRoute, Relay, RelayState};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tidewall_audit::rows::{Kind, Row};
use tidewall_audit::Audit;
use tidewall_emulator::{Fleet, Gateways, Plan};
use tidewall_net::mio::{self, Mio};
use tidewall_net::{Net, Time};

pub const MEMBERS: usize = 5;
/// Members that grant leases: one in each zone.
pub const GRANTORS: [usize; 3] = [0, 1, 2];
pub const LEASES: usize = 16;
/// The term of a lease, in ms: far longer than the delays of a busy machine, and short enough for several in
/// one trial.
pub const LEASE_TERM_MS: u64 = 2_500;

/// One step of a script.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends SIGKILL to the member; it starts again only with `Start`.
    Kill(usize),
    Start(usize),
    /// Sends SIGSTOP.
    Pause(usize),
    /// Sends SIGCONT.
    Resume(usize),
    /// Sends SIGTERM; the member is started again once its process has ended.
    Terminate(usize),
    /// Cuts datagrams between these members and the others: those that they send (first flag), those sent to
    /// them (second flag), or both.
    Cut(Vec<usize>, bool, bool),
    /// Sets the faults of all links between members.
    Links(Link),
    /// Sets the faults of the links from all other members to this member.
    LinksTo(usize, Link),
    /// Sets the faults of the link between this member's effects and the workers.
    EffectLinks(usize, Link),
    /// Resets the member's connections to workers.
    ResetConnections(usize),
    /// Removes the faults of all links.
    ClearFaults,
}

pub struct Setup {
    pub seed: u64,
    /// Steps with their times, in milliseconds since all leases were found held and settled.
    pub script: Vec<(u64, Step)>,
    /// The shortest duration of the script, in milliseconds.
    pub min_duration_ms: u64,
    /// The value of the program's `--left-out` flag: the safeguard that is disabled, or `nothing`.
    pub disabled_safeguard: &'static str,
    /// The rate errors of the members' clocks, in parts per million.
    pub clock_errors_ppm: [i64; MEMBERS],
    /// Whether a clock error is beyond the bound that the settings name.
    pub clocks_out_of_bounds: bool,
    pub channel_capacity: usize,
    /// The term of a lease, in milliseconds.
    pub term_ms: u64,
}

impl Setup {
    pub fn new(seed: u64, min_duration_ms: u64, script: Vec<(u64, Step)>) -> Setup {
        let (disabled_safeguard, clock_errors_ppm) = ("nothing", [0; MEMBERS]);
        Setup {
            seed,
            script,
            min_duration_ms,
            disabled_safeguard,
            clock_errors_ppm,
            clocks_out_of_bounds: false,
            channel_capacity: 64,
            term_ms: LEASE_TERM_MS,
        }
    }
}

/// The result of a trial, from the record.
#[derive(Debug)]
pub struct Verdict {
    pub breaches: Vec<String>,
    pub effects: u64,
    pub holder_changes: u64,
    pub requests: u64,
    pub datagrams: u64,
    /// Requests that crossed the shutdown of a gateway after SIGTERM: the native-protocol ingress does not
    /// answer requests that arrive between its last read and its end (`docs/ROADMAP.md`). They are counted
    /// separately, and each trial bounds them.
    pub crossed_shutdown: usize,
    /// Leases under which an effect was recorded in the last half term of the trial.
    pub held_leases: usize,
}

#[derive(Clone, Default)]
struct SharedBuffer(Rc<RefCell<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

struct NoopGateways;

impl Gateways for NoopGateways {
    fn kill(&mut self, _: usize) {}
    fn start(&mut self, _: usize) {}
    fn set_suspended(&mut self, _: usize, _: bool) {}
}

/// The path of the shipped program in the folder of this test; cargo builds it once if it is not up to date.
fn program_path() -> PathBuf {
    let mut dir = std::env::current_exe().expect("a test has a path");
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    static BUILT: std::sync::Once = std::sync::Once::new();
    BUILT.call_once(|| {
        let mut cargo =
            Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_string()));
        cargo.args(["build", "-q", "-p", "tidewall-cli"]);
        if dir.ends_with("release") {
            cargo.arg("--release");
        }
        let built = cargo.status().expect("cargo runs");
        assert!(built.success(), "the program cannot be built");
    });
    dir.join("tidewall")
}

/// An address of this trial. Process id and seed are part of it, so that trials that run at the same time
/// don't collide.
fn trial_address(seed: u64, host: usize, port: u16) -> String {
    let own = std::process::id() % 200 + 20;
    format!("127.{own}.{}.{host}:{port}", seed % 250 + 1)
}

const ZONES: [&str; 3] = ["north", "east", "west"];

fn settings(setup: &Setup, member: usize, keys: &Path) -> String {
    let mut text = String::new();
    for m in 0..MEMBERS {
        text += &format!(
            "gateway {{ name: \"g{m}\" address: \"{}\" zone: \"{}\" common_address: \"{}\" common_reached_at: \"{}\" }}\n",
            trial_address(setup.seed, m + 1, 8_000),
            ZONES[m % 3],
            trial_address(setup.seed, m + 1, 9_000),
            trial_address(setup.seed, m + 101, 9_000)
        );
    }
    text += &format!(
        "fleet_common {{ keeper: [\"g0\", \"g1\", \"g2\"] leases: {LEASES} term_ms: {} clocks_ppm: 100000 ticket_ms: 150 \
         period_ms: 100 turn_ms: 40 key_file: \"{}\" channel: {} trial_clock_ppm: {} }}\n",
        setup.term_ms,
        keys.display(),
        setup.channel_capacity,
        setup.clock_errors_ppm[member]
    );
    text + &FLEET.replace("ROSTER", &trial_address(setup.seed, 200, 7_000))
}

const FLEET: &str = r#"
roster { address: "ROSTER" retry_ms: 100 }
zone: ["north", "east", "west"]
kind { name: "k" memory_mb: 900 }
event_type { name: "check" target_time_ms: 1000 max_age_ms: 4000 redelivery: REDELIVERABLE }
event_type { name: "issue" target_time_ms: 1000 max_age_ms: 4000 benefit: 2 redelivery: AT_MOST_ONCE }
limits { two_at_once: false max_launches: 3 }
fleet {
  workers { name: "n" count: 2 zone: "north" kind: "k" cores: 2 queue: 40 }
  workers { name: "e" count: 2 zone: "east" kind: "k" cores: 2 queue: 40 }
  workers { name: "w" count: 2 zone: "west" kind: "k" cores: 2 queue: 40 }
  programs { name: "stock" count: 4 event_type: "check" work_ms: 10 memory_mb: 100 fetch_ms: 50 start_ms: 20 share: 0.7 }
  programs { name: "slip" count: 2 event_type: "issue" work_ms: 10 memory_mb: 100 fetch_ms: 50 start_ms: 20 share: 0.3 }
  clients { rate: 30 connections: 2 retries: 1 wait_ms: 100 patience: 0.7 front_ms: 1000 payload: 32 }
  roster_late_ms: 100
}
"#;

struct Processes {
    dir: tempfile::TempDir,
    disabled_safeguard: &'static str,
    children: Vec<Option<Child>>,
    /// Members that received SIGTERM; they are started again when they have ended.
    terminating: Vec<bool>,
}

impl Processes {
    fn start(&mut self, m: usize) {
        let log = std::fs::File::create(self.dir.path().join(format!("g{m}.log"))).expect("a log");
        let child = Command::new(program_path())
            .args([
                "--log",
                "info",
                "serve",
                "--gateway",
                &format!("g{m}"),
                "--seed",
                &(m + 1).to_string(),
            ])
            .args(["--left-out", self.disabled_safeguard, "--config"])
            .arg(self.dir.path().join(format!("g{m}.txtpb")))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.children[m] = Some(child.expect("the program starts"));
    }

    fn signal(&self, m: usize, signal: i32) {
        if let Some(child) = &self.children[m] {
            // SAFETY: kill takes no pointers; the id is that of our own child, which was not waited for yet.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    fn kill(&mut self, m: usize) {
        if let Some(mut child) = self.children[m].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        (0..MEMBERS).for_each(|m| self.kill(m));
    }
}

/// The leases under which the record has effects since that time, each with the member of the latest effect.
fn last_effects(record: &[u8], since: Time) -> BTreeMap<u64, usize> {
    let mut tasks = BTreeMap::new();
    for line in record.rsplit(|b| *b == b'\n').filter(|l| !l.is_empty()) {
        let row: Row = match serde_json::from_slice(line) {
            Ok(row) => row,
            Err(_) => break,
        };
        if row.time < since {
            break;
        }
        if row.kind == Kind::Acted && row.on {
            tasks.entry(row.task).or_insert(row.gateway);
        }
    }
    tasks
}

/// A script begins once, for this long, all leases were held, each member held some, and none changed its
/// holder. The handovers after a start have ended by then; otherwise a fault might hit a member that holds no
/// lease.
const SETTLED_FOR: Duration = Duration::from_millis(1_500);

fn update_links(state: &Mutex<RelayState>, change: impl Fn(usize, usize, &mut Link)) {
    let mut state = state
        .lock()
        .expect("no thread panics while it holds the lock");
    for a in 0..MEMBERS {
        for b in (0..MEMBERS).filter(|b| *b != a) {
            change(a, b, state.links.entry((a, b)).or_default());
        }
    }
}

/// Runs a trial; panics if it cannot be run.
pub fn run_trial(setup: Setup) -> Verdict {
    let dir = tempfile::tempdir().expect("a folder");
    let keys = dir.path().join("keys");
    std::fs::write(&keys, "1 00112233445566778899aabbccddeeff\n").expect("keys");
    for m in 0..MEMBERS {
        std::fs::write(
            dir.path().join(format!("g{m}.txtpb")),
            settings(&setup, m, &keys),
        )
        .expect("settings");
    }
    let parsed = tidewall_config::settings("trial", &settings(&setup, 0, &keys))
        .expect("the trial's settings are good");
    let record = SharedBuffer::default();
    let plan = Plan {
        seed: setup.seed,
        seconds: 0.0,
        clients: true,
        amqp: false,
        record: Box::new(record.clone()),
        gateways: Box::new(NoopGateways),
        checks_epochs: true,
        forgets_votes: false,
        checks_task_epochs: setup.disabled_safeguard != "no-epochs",
        wild_clocks: setup.clocks_out_of_bounds,
    };
    let mut fleet = Fleet::new(Mio::new().expect("a net"), &parsed, None, plan)
        .expect("its addresses are free");
    let state: Arc<Mutex<RelayState>> = Arc::default();
    let parse = |text: String| text.parse::<SocketAddr>().expect("an address");
    let routes = (0..MEMBERS).map(|m| MemberRoute {
        relay_address: parse(trial_address(setup.seed, m + 101, 9_000)),
        member_address: parse(trial_address(setup.seed, m + 1, 9_000)),
    });
    let workers: Vec<SocketAddr> = fleet.workers().iter().map(|w| w.1).collect();
    let (relay_state, seed, routes) = (state.clone(), setup.seed, routes.collect());
    let (sender, relay_addresses) = std::sync::mpsc::channel();
    let relay = std::thread::spawn(move || {
        let (mut relay, relay_addresses) = Relay::new(routes, &workers, relay_state, seed)
            .expect("the relay's addresses are free");
        sender
            .send(relay_addresses)
            .expect("the trial waits for the addresses");
        mio::run(&mut relay).expect("the relay runs");
    });
    fleet.set_endpoint_addresses(&relay_addresses.recv().expect("the relay has started"));
    let children = (0..MEMBERS).map(|_| None).collect();
    let mut processes = Processes {
        dir,
        disabled_safeguard: setup.disabled_safeguard,
        children,
        terminating: vec![false; MEMBERS],
    };
    (0..MEMBERS).for_each(|m| processes.start(m));
    let began = Instant::now();
    // Waits for the silence of grantors after a start, the membership to settle, and the first lease turns. A
    // busy machine may take longer than usual.
    let mut settled_at = None;
    let (mut last_holders, mut stable_since) = (BTreeMap::new(), Instant::now());
    let mut script: std::collections::VecDeque<_> = setup.script.iter().cloned().collect();
    let mut ended_at: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut last_check = Instant::now();
    let ended_time = loop {
        mio::turn(&mut fleet).expect("the stand-ins run");
        let now = fleet_now(&mut fleet);
        if settled_at.is_none() && last_check.elapsed() > Duration::from_millis(50) {
            last_check = Instant::now();
            let holders = last_effects(&record.0.borrow(), now.saturating_sub(5_000));
            let members: BTreeSet<usize> = holders.values().copied().collect();
            if holders != last_holders || (holders.len(), members.len()) != (LEASES, MEMBERS) {
                (last_holders, stable_since) = (holders, Instant::now());
            } else if stable_since.elapsed() > SETTLED_FOR {
                settled_at = Some(Instant::now());
            }
            assert!(
                began.elapsed() < Duration::from_secs(60),
                "the leases are not all held after a minute"
            );
        }
        let Some(since) = settled_at else { continue };
        let elapsed_ms = since.elapsed().as_millis() as u64;
        while script.front().is_some_and(|s| s.0 <= elapsed_ms) {
            let (_, step) = script.pop_front().expect("the script has a first step");
            apply_step(&step, &mut processes, &mut fleet, &state);
        }
        for m in 0..MEMBERS {
            let has_ended = processes.terminating[m]
                && processes.children[m]
                    .as_mut()
                    .is_some_and(|c| c.try_wait().expect("the child can be waited for").is_some());
            if has_ended {
                processes.terminating[m] = false;
                fleet.record_killed(m, true);
                processes.kill(m);
                ended_at.insert(m, Instant::now());
            }
            if ended_at
                .get(&m)
                .is_some_and(|at| at.elapsed() > Duration::from_millis(100))
            {
                ended_at.remove(&m);
                processes.start(m);
                fleet.record_killed(m, false);
            }
        }
        if elapsed_ms >= setup.min_duration_ms
            && script.is_empty()
            && !processes.terminating.contains(&true)
            && ended_at.is_empty()
        {
            // With a disabled safeguard or a clock beyond its bound the fault has shown by this time;
            // otherwise all leases have to be held again.
            let held_leases =
                last_effects(&record.0.borrow(), now.saturating_sub(5 * setup.term_ms)).len();
            if setup.disabled_safeguard != "nothing"
                || setup.clocks_out_of_bounds
                || held_leases == LEASES
                || elapsed_ms > setup.min_duration_ms + 30_000
            {
                break now;
            }
        }
    };
    state
        .lock()
        .expect("no thread panics while it holds the lock")
        .stop = true;
    relay.join().expect("the relay ends");
    let held_leases = last_effects(
        &record.0.borrow(),
        ended_time.saturating_sub(5 * setup.term_ms),
    )
    .len();
    // The processes' folder also holds their logs.
    let logs = processes.dir.path().to_path_buf();
    (0..MEMBERS).for_each(|m| processes.kill(m));
    fleet.flush();
    let bytes = record.0.borrow().clone();
    // Keeps the record for inspection if `TIDEWALL_TRIALS_KEEP` names a folder, and the logs if leases are
    // not held.
    if let Some(dir) = std::env::var_os("TIDEWALL_TRIALS_KEEP") {
        let file =
            Path::new(&dir).join(format!("{}-{}.jsonl", setup.seed, setup.disabled_safeguard));
        std::fs::write(file, &bytes).expect("the record is kept");
        if held_leases < LEASES {
            for m in 0..MEMBERS {
                let to =
                    Path::new(&dir).join(format!("{}-{}-g{m}.log", setup.seed, std::process::id()));
                std::fs::copy(logs.join(format!("g{m}.log")), to).expect("a log is kept");
            }
        }
    }
    let lines = std::str::from_utf8(&bytes)
        .expect("JSON is text")
        .lines()
        .map(str::to_string);
    let audit: Audit = tidewall_audit::check(lines).expect("the record is whole");
    let rules = audit.verdicts.iter().enumerate();
    let datagrams = state
        .lock()
        .expect("no thread panics while it holds the lock")
        .forwarded;
    let terminated: BTreeSet<usize> = setup
        .script
        .iter()
        .filter_map(|s| {
            if let Step::Terminate(m) = s.1 {
                Some(m)
            } else {
                None
            }
        })
        .collect();
    let crosses_shutdown = |b: &String| {
        b.starts_with("rule 1")
            && terminated
                .iter()
                .any(|m| b.ends_with(&format!("was dropped by gateway {m} with its connection")))
    };
    let all = rules.flat_map(|(i, v)| {
        v.breaches
            .iter()
            .map(move |b| format!("rule {}: {b}", i + 1))
    });
    let (crossed_shutdown, breaches): (Vec<String>, Vec<String>) = all.partition(crosses_shutdown);
    Verdict {
        breaches,
        crossed_shutdown: crossed_shutdown.len(),
        effects: audit.acts,
        holder_changes: audit.verdicts[5].cases,
        requests: fleet.results().events,
        datagrams,
        held_leases,
    }
}

fn fleet_now(fleet: &mut Fleet<Mio>) -> Time {
    tidewall_net::App::net(fleet).now()
}

fn apply_step(
    step: &Step,
    processes: &mut Processes,
    fleet: &mut Fleet<Mio>,
    state: &Mutex<RelayState>,
) {
    match step {
        Step::Kill(m) => {
            fleet.record_killed(*m, true);
            processes.kill(*m);
        }
        Step::Start(m) => {
            processes.start(*m);
            fleet.record_killed(*m, false);
        }
        Step::Pause(m) => {
            fleet.record_partitioned(*m, true);
            processes.signal(*m, libc::SIGSTOP);
        }
        Step::Resume(m) => {
            processes.signal(*m, libc::SIGCONT);
            fleet.record_partitioned(*m, false);
        }
        Step::Terminate(m) => {
            processes.signal(*m, libc::SIGTERM);
            processes.terminating[*m] = true;
        }
        Step::Cut(side, out, into) => update_links(state, |a, b, link| {
            let (from, to) = (side.contains(&a), side.contains(&b));
            link.cut |= *out && from && !to || *into && !from && to;
        }),
        Step::Links(faults) => update_links(state, |_, _, link| *link = *faults),
        Step::LinksTo(m, faults) => update_links(state, |_, b, link| {
            if b == *m {
                *link = *faults;
            }
        }),
        Step::EffectLinks(m, faults) => {
            state
                .lock()
                .expect("no thread panics while it holds the lock")
                .effect_links
                .insert(*m, *faults);
        }
        Step::ResetConnections(m) => state
            .lock()
            .expect("no thread panics while it holds the lock")
            .members_to_reset
            .push(*m),
        Step::ClearFaults => {
            update_links(state, |_, _, link| *link = Link::default());
            state
                .lock()
                .expect("no thread panics while it holds the lock")
                .effect_links
                .clear();
        }
    }
}
