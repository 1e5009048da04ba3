//! One trial: five gateways in three halls as processes, a script of what goes wrong and when, and the verdict. Times of a
//! script matter only in that each is far from what would make a difference; what is judged is the record.
use crate::relay::{Link, Relay, State, Way};
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
/// Keepers: one in each hall.
pub const KEEPERS: [usize; 3] = [0, 1, 2];
pub const LEASES: usize = 16;
/// A term is far longer than a busy machine's delays, and short enough for several in one trial, ms.
pub const TERM: u64 = 2_500;

/// What happens.
#[derive(Clone, Debug)]
pub enum Step {
    /// SIGKILL; it starts when told.
    Kill(usize),
    Start(usize),
    /// SIGSTOP, SIGCONT.
    Stand(usize),
    Go(usize),
    /// SIGTERM; once it has ended it starts anew.
    Term(usize),
    /// Between one side and the other, of datagrams: out of that side, into it, or both.
    Cut(Vec<usize>, bool, bool),
    /// All links between members are like that from now on.
    Links(Link),
    /// What goes to that member from all others is like that.
    Into(usize, Link),
    /// The same of its acts.
    Acts(usize, Link),
    /// Its connections to workers break.
    Break(usize),
    /// Nothing is cut or slow any more.
    Mend,
}

pub struct Setup {
    pub seed: u64,
    /// Milliseconds from when all tasks are held.
    pub script: Vec<(u64, Step)>,
    pub lasts: u64,
    pub left_out: &'static str,
    /// By how much members' clocks are off, millionths.
    pub clocks: [i64; MEMBERS],
    pub wild: bool,
    pub channel: usize,
    pub term: u64,
}

impl Setup {
    pub fn new(seed: u64, lasts: u64, script: Vec<(u64, Step)>) -> Setup {
        let (left_out, clocks) = ("nothing", [0; MEMBERS]);
        Setup {
            seed,
            script,
            lasts,
            left_out,
            clocks,
            wild: false,
            channel: 64,
            term: TERM,
        }
    }
}

/// What came of it, from the record.
#[derive(Debug)]
pub struct Verdict {
    pub breaches: Vec<String>,
    pub acts: u64,
    pub changes: u64,
    pub events: u64,
    pub datagrams: u64,
    /// Events that crossed the end of a gateway that was told to go: the native door answers nothing that comes between its
    /// last look and its end (`docs/ROADMAP.md`). They are counted apart, and bounded by each trial.
    pub crossed: usize,
    /// Tasks on which somebody acted in the last term.
    pub held: usize,
}

#[derive(Clone, Default)]
struct Record(Rc<RefCell<Vec<u8>>>);

impl Write for Record {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

struct Nobody;

impl Gateways for Nobody {
    fn kill(&mut self, _: usize) {}
    fn start(&mut self, _: usize) {}
    fn set_suspended(&mut self, _: usize, _: bool) {}
}

/// The shipped program: built beside this test, or now.
fn binary() -> PathBuf {
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

/// Addresses of one trial, apart from those of others that run at the same time.
fn at(seed: u64, last: usize, port: u16) -> String {
    let own = std::process::id() % 200 + 20;
    format!("127.{own}.{}.{last}:{port}", seed % 250 + 1)
}

const HALLS: [&str; 3] = ["north", "east", "west"];

fn settings(setup: &Setup, me: usize, keys: &Path) -> String {
    let mut text = String::new();
    for m in 0..MEMBERS {
        text += &format!(
            "gateway {{ name: \"g{m}\" address: \"{}\" zone: \"{}\" common_address: \"{}\" common_reached_at: \"{}\" }}\n",
            at(setup.seed, m + 1, 8_000),
            HALLS[m % 3],
            at(setup.seed, m + 1, 9_000),
            at(setup.seed, m + 101, 9_000)
        );
    }
    text += &format!(
        "fleet_common {{ keeper: [\"g0\", \"g1\", \"g2\"] leases: {LEASES} term_ms: {} clocks_ppm: 100000 ticket_ms: 150 \
         period_ms: 100 turn_ms: 40 key_file: \"{}\" channel: {} trial_clock_ppm: {} }}\n",
        setup.term,
        keys.display(),
        setup.channel,
        setup.clocks[me]
    );
    text + &FLEET.replace("ROSTER", &at(setup.seed, 200, 7_000))
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
    left_out: &'static str,
    children: Vec<Option<Child>>,
    /// Told to go: they start again when they have ended.
    goes: Vec<bool>,
}

impl Processes {
    fn start(&mut self, m: usize) {
        let log = std::fs::File::create(self.dir.path().join(format!("g{m}.log"))).expect("a log");
        let child = Command::new(binary())
            .args([
                "--log",
                "info",
                "serve",
                "--gateway",
                &format!("g{m}"),
                "--seed",
                &(m + 1).to_string(),
            ])
            .args(["--left-out", self.left_out, "--config"])
            .arg(self.dir.path().join(format!("g{m}.txtpb")))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.children[m] = Some(child.expect("the program starts"));
    }

    fn signal(&self, m: usize, signal: i32) {
        if let Some(child) = &self.children[m] {
            // A process of our own, by its id.
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

/// Tasks on which anybody acted since then, and who did last, by the record.
fn acted(record: &[u8], since: Time) -> BTreeMap<u64, usize> {
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

/// A script begins when for so long each member has had tasks, all tasks were held, and none changed hands: what a start hands
/// over is over by then, or a fault might strike a member that holds nothing.
const STILL: Duration = Duration::from_millis(1_500);

fn links(state: &Mutex<State>, change: impl Fn(usize, usize, &mut Link)) {
    let mut state = state.lock().expect("nobody panics while it holds this");
    for a in 0..MEMBERS {
        for b in (0..MEMBERS).filter(|b| *b != a) {
            change(a, b, state.links.entry((a, b)).or_default());
        }
    }
}

/// Plays it; panics where it cannot be played.
pub fn play(setup: Setup) -> Verdict {
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
    let s = tidewall_config::settings("trial", &settings(&setup, 0, &keys))
        .expect("the trial's settings are good");
    let record = Record::default();
    let plan = Plan {
        seed: setup.seed,
        seconds: 0.0,
        clients: true,
        amqp: false,
        record: Box::new(record.clone()),
        gateways: Box::new(Nobody),
        checks_epochs: true,
        forgets_votes: false,
        checks_task_epochs: setup.left_out != "no-epochs",
        wild_clocks: setup.wild,
    };
    let mut fleet =
        Fleet::new(Mio::new().expect("a net"), &s, None, plan).expect("its addresses are free");
    let state: Arc<Mutex<State>> = Arc::default();
    let parse = |text: String| text.parse::<SocketAddr>().expect("an address");
    let ways = (0..MEMBERS).map(|m| Way {
        front: parse(at(setup.seed, m + 101, 9_000)),
        back: parse(at(setup.seed, m + 1, 9_000)),
    });
    let workers: Vec<SocketAddr> = fleet.workers().iter().map(|w| w.1).collect();
    let (told, seed, ways) = (state.clone(), setup.seed, ways.collect());
    let (sender, fronts) = std::sync::mpsc::channel();
    let relay = std::thread::spawn(move || {
        let (mut relay, fronts) =
            Relay::new(ways, &workers, told, seed).expect("its addresses are free");
        sender.send(fronts).expect("somebody waits for it");
        mio::run(&mut relay).expect("the relay runs");
    });
    fleet.set_endpoint_addresses(&fronts.recv().expect("the relay stands"));
    let children = (0..MEMBERS).map(|_| None).collect();
    let mut processes = Processes {
        dir,
        left_out: setup.left_out,
        children,
        goes: vec![false; MEMBERS],
    };
    (0..MEMBERS).for_each(|m| processes.start(m));
    let began = Instant::now();
    // A keeper's silence, members that settle, and the first turns; a busy machine may need longer.
    let mut all_held = None;
    let (mut shares, mut since_when) = (BTreeMap::new(), Instant::now());
    let mut script: std::collections::VecDeque<_> = setup.script.iter().cloned().collect();
    let mut last: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut looked = Instant::now();
    let ends = loop {
        mio::turn(&mut fleet).expect("the stand-ins run");
        let now = fleet_now(&mut fleet);
        if all_held.is_none() && looked.elapsed() > Duration::from_millis(50) {
            looked = Instant::now();
            let by = acted(&record.0.borrow(), now.saturating_sub(5_000));
            let members: BTreeSet<usize> = by.values().copied().collect();
            if by != shares || (by.len(), members.len()) != (LEASES, MEMBERS) {
                (shares, since_when) = (by, Instant::now());
            } else if since_when.elapsed() > STILL {
                all_held = Some(Instant::now());
            }
            assert!(
                began.elapsed() < Duration::from_secs(60),
                "the tasks are not all held after a minute"
            );
        }
        let Some(since) = all_held else { continue };
        let past = since.elapsed().as_millis() as u64;
        while script.front().is_some_and(|s| s.0 <= past) {
            let (_, step) = script.pop_front().expect("it was there");
            take(&step, &mut processes, &mut fleet, &state);
        }
        for m in 0..MEMBERS {
            let over = processes.goes[m]
                && processes.children[m]
                    .as_mut()
                    .is_some_and(|c| c.try_wait().expect("it is ours").is_some());
            if over {
                processes.goes[m] = false;
                fleet.record_killed(m, true);
                processes.kill(m);
                last.insert(m, Instant::now());
            }
            if last
                .get(&m)
                .is_some_and(|at| at.elapsed() > Duration::from_millis(100))
            {
                last.remove(&m);
                processes.start(m);
                fleet.record_killed(m, false);
            }
        }
        if past >= setup.lasts
            && script.is_empty()
            && !processes.goes.contains(&true)
            && last.is_empty()
        {
            // Whatever a planted fault is to show has been shown; else all have to be held again.
            let held = acted(&record.0.borrow(), now.saturating_sub(5 * setup.term)).len();
            if setup.left_out != "nothing"
                || setup.wild
                || held == LEASES
                || past > setup.lasts + 30_000
            {
                break now;
            }
        }
    };
    state
        .lock()
        .expect("nobody panics while it holds this")
        .stop = true;
    relay.join().expect("the relay ends");
    let held = acted(&record.0.borrow(), ends.saturating_sub(5 * setup.term)).len();
    // A folder that is kept is looked at later.
    let logs = processes.dir.path().to_path_buf();
    (0..MEMBERS).for_each(|m| processes.kill(m));
    fleet.flush();
    let bytes = record.0.borrow().clone();
    // Kept for a look where that is asked for.
    if let Some(dir) = std::env::var_os("TIDEWALL_TRIALS_KEEP") {
        let file = Path::new(&dir).join(format!("{}-{}.jsonl", setup.seed, setup.left_out));
        std::fs::write(file, &bytes).expect("the record is kept");
        if held < LEASES {
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
        .expect("nobody panics while it holds this")
        .passed;
    let told: BTreeSet<usize> = setup
        .script
        .iter()
        .filter_map(|s| {
            if let Step::Term(m) = s.1 {
                Some(m)
            } else {
                None
            }
        })
        .collect();
    let crosses = |b: &String| {
        b.starts_with("rule 1")
            && told
                .iter()
                .any(|m| b.ends_with(&format!("was dropped by gateway {m} with its connection")))
    };
    let all = rules.flat_map(|(i, v)| {
        v.breaches
            .iter()
            .map(move |b| format!("rule {}: {b}", i + 1))
    });
    let (crossed, breaches): (Vec<String>, Vec<String>) = all.partition(crosses);
    Verdict {
        breaches,
        crossed: crossed.len(),
        acts: audit.acts,
        changes: audit.verdicts[5].cases,
        events: fleet.results().events,
        datagrams,
        held,
    }
}

fn fleet_now(fleet: &mut Fleet<Mio>) -> Time {
    tidewall_net::App::net(fleet).now()
}

fn take(step: &Step, processes: &mut Processes, fleet: &mut Fleet<Mio>, state: &Mutex<State>) {
    match step {
        Step::Kill(m) => {
            fleet.record_killed(*m, true);
            processes.kill(*m);
        }
        Step::Start(m) => {
            processes.start(*m);
            fleet.record_killed(*m, false);
        }
        Step::Stand(m) => {
            fleet.record_partitioned(*m, true);
            processes.signal(*m, libc::SIGSTOP);
        }
        Step::Go(m) => {
            processes.signal(*m, libc::SIGCONT);
            fleet.record_partitioned(*m, false);
        }
        Step::Term(m) => {
            processes.signal(*m, libc::SIGTERM);
            processes.goes[*m] = true;
        }
        Step::Cut(side, out, into) => links(state, |a, b, link| {
            let (from, to) = (side.contains(&a), side.contains(&b));
            link.cut |= *out && from && !to || *into && !from && to;
        }),
        Step::Links(like) => links(state, |_, _, link| *link = *like),
        Step::Into(m, like) => links(state, |_, b, link| {
            if b == *m {
                *link = *like;
            }
        }),
        Step::Acts(m, like) => {
            state
                .lock()
                .expect("nobody panics while it holds this")
                .acts
                .insert(*m, *like);
        }
        Step::Break(m) => state
            .lock()
            .expect("nobody panics while it holds this")
            .breaks
            .push(*m),
        Step::Mend => {
            links(state, |_, _, link| *link = Link::default());
            state
                .lock()
                .expect("nobody panics while it holds this")
                .acts
                .clear();
        }
    }
}
