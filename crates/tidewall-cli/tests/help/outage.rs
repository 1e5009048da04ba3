//! A fleet of the shipped program on the platform whose boards can be taken out of reach while its hosts drain, leave and come
//! back. Hosts and clients note what they see; the rules are judged from that alone.
#![allow(dead_code)] // each test file uses a part
use crate::help::*;
use std::collections::{HashMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the board would have told counts as told so long after it went out of reach, at the latest.
pub const TOLD_AFTER: Duration = ms(7_000);
/// The drain grace period of the settings, the platform's slack, and what this rig itself may be late.
pub const DRAIN_GRACE: Duration = ms(2_000);
pub const SLACK: Duration = ms(150);

/// How long clients wait.
const PATIENCE: u64 = 700;
const CALLS_A_SECOND: u64 = 60;
const FUNCTIONS: u64 = 40;
const CLIENTS: usize = 4;
const LOAD_TIME: Duration = ms(300);
const RUN_TIME: Duration = ms(4);
/// Slow start by the settings: how long, from which share of the capacity, and when a worker is overloaded.
const SLOW_START: Duration = ms(15_000);
const OVERLOAD_WINDOW: Duration = ms(1_500);
const OVERLOAD_TOLERANCE: f64 = 1.5;
const INITIAL_SHARE: f64 = 0.1;

const OUTAGE_SETTINGS: &str = r#"{"me":INDEX,"siblings":3,"tick-ms":1.0,"zones":["z"],"kinds":["k"],"discovery":"pushed",
 "allowed":{"connect-timeout-ms":250.0,"keepalive-ms":30000.0,"max-attempts":3,"most-held":1000,"streams-per-conn":32,
  "cancel":true,"may-duplicate":true,"retry-after":true,"max-retry-after-ms":500.0,"probes":true},
 "deductions":{"connection":0.01},"rules":{"drain-grace-ms":2000.0,"cold-ms":15000.0,"cold-from":0.1,"tip-multiple":1.5,
  "overload-for-ms":1500.0},"reporting":{"how":"probe","names":["q","rif"]},
 "classes":[{"name":"check","aim-ms":400.0,"deadline-ms":700.0,"worth":1.0,"semantics":"read_like"},
  {"name":"record","aim-ms":400.0,"deadline-ms":700.0,"worth":2.0,"semantics":"idempotency_key","group":"zone","window-ms":4000.0}],
 "extra":{"orders":true,"order-timeout-ms":4000.0,"if-cold":"miss","stays-loaded-ms":20000.0,"load-window-ms":10000.0,
  "free-loads":4,"load-share":0.2}}"#;

/// Attempts that may come in a window that ends so long after a host's start, where a warm host gets so many a second.
fn most_in_window(warm: f64, age: Duration) -> f64 {
    let part = (age.as_secs_f64() / SLOW_START.as_secs_f64()).min(1.0);
    let share = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * part;
    let capacity = warm * share * OVERLOAD_TOLERANCE * OVERLOAD_WINDOW.as_secs_f64();
    // The platform's room for chance.
    let (roots, more) = if capacity < 30.0 {
        (3.0, 3.0)
    } else {
        (2.0, 2.0)
    };
    capacity + roots * capacity.sqrt() + more
}

/// How a host that drains answers what the drain rule exempts.
#[derive(Clone, Copy, PartialEq)]
pub enum TellsDrain {
    /// `no` to a health check, and how many instances there are to a query.
    ByHealthCheck,
    /// `yes` to a health check, and `refused` to a query.
    ByQuery,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Up,
    Draining,
    Gone,
}

struct HostState {
    phase: Phase,
    /// By function: when its instance is loaded.
    loaded: HashMap<String, Instant>,
    drained_at: Option<Instant>,
    restarted_at: Option<Instant>,
    /// Attempts and load requests: when their first byte was read, and what they were.
    work: Vec<(Instant, &'static str)>,
}

/// A host: one address at which all gateways find it.
pub struct Host {
    at: SocketAddr,
    tells: TellsDrain,
    state: Mutex<HostState>,
}

impl Host {
    fn start(tells: TellsDrain, last: u8) -> Arc<Host> {
        let listener = free(last);
        let host = Arc::new(Host {
            at: listener.local_addr().unwrap(),
            tells,
            state: Mutex::new(HostState {
                phase: Phase::Up,
                loaded: HashMap::new(),
                drained_at: None,
                restarted_at: None,
                work: Vec::new(),
            }),
        });
        let own = host.clone();
        std::thread::spawn(move || own.listen(listener));
        host
    }

    fn phase(&self) -> Phase {
        self.state.lock().unwrap().phase
    }

    fn listen(self: Arc<Host>, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if self.phase() == Phase::Gone {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.at).ok();
            }
            let side = listener.as_ref().and_then(|l| accept(l, ms(2)));
            if let Some(side) = side {
                let own = self.clone();
                std::thread::spawn(move || own.serve(side));
            } else {
                std::thread::sleep(ms(2));
            }
        }
    }

    fn serve(self: Arc<Host>, mut side: Side) {
        let out = Arc::new(Mutex::new(side.writer()));
        while !side.is_over() {
            if self.phase() == Phase::Gone {
                return side.reset();
            }
            if let Some(line) = side.line(ms(5)) {
                self.answer(&line, &out);
            }
        }
    }

    fn answer(&self, line: &str, out: &Arc<Mutex<TcpStream>>) {
        let now = Instant::now();
        let words: Vec<&str> = line.split(' ').collect();
        let mut state = self.state.lock().unwrap();
        let drains = state.phase == Phase::Draining;
        let (text, delay) = match words[..] {
            ["go", trace, fields, _] => {
                state.work.push((now, "attempt"));
                let function = fields
                    .split(',')
                    .find_map(|f| f.strip_prefix("obj="))
                    .unwrap();
                let is_loaded = state.loaded.get(function).is_some_and(|at| *at <= now);
                match (drains, is_loaded) {
                    (true, _) => (format!("{trace} refused - 0\r\n\r\n"), ms(0)),
                    (_, true) => (format!("{trace} ok res=hit 3\r\nyes\r\n"), RUN_TIME),
                    _ => (format!("{trace} nothing - 0\r\n\r\n"), ms(0)),
                }
            }
            ["stage", tag, fields] if fields.ends_with(",copies=0") => {
                let function = fields
                    .trim_start_matches("obj=")
                    .trim_end_matches(",copies=0");
                let count = u8::from(state.loaded.get(function).is_some_and(|at| *at <= now));
                if drains && self.tells == TellsDrain::ByQuery {
                    (format!("{tag} refused copies=0 0\r\n\r\n"), ms(0))
                } else {
                    (format!("{tag} ok copies={count} 0\r\n\r\n"), ms(0))
                }
            }
            ["stage", tag, fields] => {
                state.work.push((now, "load request"));
                if drains {
                    (format!("{tag} refused copies=0 0\r\n\r\n"), ms(0))
                } else {
                    let function = fields.split(',').next().unwrap().trim_start_matches("obj=");
                    let at = *state
                        .loaded
                        .entry(function.to_string())
                        .or_insert(now + LOAD_TIME);
                    let left = at.saturating_duration_since(now);
                    (format!("{tag} ok copies=1 0\r\n\r\n"), left)
                }
            }
            ["ping" | "stat", tag] => {
                let healthy = !drains || self.tells == TellsDrain::ByQuery;
                let word = if healthy { "yes" } else { "no" };
                (format!("{tag} {word} gauges=q:0;rif:1 0\r\n\r\n"), ms(0))
            }
            _ => return,
        };
        drop(state);
        if delay.is_zero() {
            let _ = out.lock().unwrap().write_all(text.as_bytes());
            return;
        }
        let out = out.clone();
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            let _ = out.lock().unwrap().write_all(text.as_bytes());
        });
    }

    /// Turns all new work away from now on and stays up.
    pub fn drain(&self) {
        let mut state = self.state.lock().unwrap();
        state.phase = Phase::Draining;
        state.drained_at = Some(Instant::now());
    }

    /// Its process ends.
    pub fn leave(&self) {
        self.state.lock().unwrap().phase = Phase::Gone;
    }

    /// It comes back at the same address, empty and cold.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.loaded.clear();
        state.restarted_at = Some(Instant::now());
        state.phase = Phase::Up;
    }

    fn entry(&self, index: usize) -> String {
        let state = self.state.lock().unwrap();
        let word = match state.phase {
            Phase::Up => "up",
            Phase::Draining => "draining",
            Phase::Gone => "removed",
        };
        let since = state.restarted_at.map_or(0, |at| {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            (unix - at.elapsed()).as_millis() as u64
        });
        format!(
            "{{\"id\":\"s-{index}\",\"addr\":\"{}\",\"state\":\"{word}\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":0,\
             \"weight\":4,\"started_ms\":{since}}}",
            self.at
        )
    }
}

/// What a board does with polls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// Answers them.
    Answers,
    /// Nothing listens.
    Refuses,
    /// It accepts and says nothing.
    Silent,
    /// It begins an answer again and again and never ends one.
    Trickles,
}

/// The board of one gateway.
pub struct Board {
    at: SocketAddr,
    reach: Mutex<Reach>,
    notices: Mutex<Vec<String>>,
}

impl Board {
    fn start(listener: TcpListener) -> Arc<Board> {
        let board = Arc::new(Board {
            at: listener.local_addr().unwrap(),
            reach: Mutex::new(Reach::Answers),
            notices: Mutex::default(),
        });
        let own = board.clone();
        std::thread::spawn(move || own.serve(listener));
        board
    }

    pub fn set(&self, reach: Reach) {
        *self.reach.lock().unwrap() = reach;
    }

    /// Adds a notice. The list of the start has number 1.
    pub fn tell(&self, entries: &str) {
        let mut notices = self.notices.lock().unwrap();
        let revision = notices.len() as u64 + 2;
        notices.push(notice(revision, entries, false));
    }

    fn serve(&self, first: TcpListener) {
        let mut listener = Some(first);
        let mut polls: Vec<(Side, Option<(u64, Instant)>)> = Vec::new();
        let mut before = Reach::Answers;
        loop {
            let reach = *self.reach.lock().unwrap();
            if reach != before {
                // What is out of reach ends what was open; a silent one keeps it.
                if reach == Reach::Refuses {
                    polls.drain(..).for_each(|(side, _)| side.reset());
                    listener = None;
                }
                before = reach;
            }
            if reach != Reach::Refuses && listener.is_none() {
                listener = TcpListener::bind(self.at).ok();
            }
            if let Some(side) = listener.as_ref().and_then(|l| accept(l, ms(0))) {
                polls.push((side, None));
            }
            for (side, poll) in &mut polls {
                if let Some((watch, linger)) = side.poll_request(ms(1)) {
                    *poll = Some((watch, Instant::now() + ms(linger)));
                }
            }
            polls.retain(|(side, _)| !side.is_over());
            match reach {
                Reach::Answers => self.answer(&mut polls),
                Reach::Trickles => polls
                    .iter_mut()
                    .filter(|(_, poll)| poll.is_some())
                    .for_each(|(side, _)| {
                        side.send("HTTP/1.1 200 OK\r\nContent-Le");
                    }),
                _ => {}
            }
            std::thread::sleep(ms(if reach == Reach::Trickles { 100 } else { 2 }));
        }
    }

    fn answer(&self, polls: &mut [(Side, Option<(u64, Instant)>)]) {
        let notices = self.notices.lock().unwrap();
        let last = notices.len() as u64 + 1;
        for (side, poll) in polls {
            if poll.is_some_and(|(watch, until)| last > watch || Instant::now() >= until) {
                let (watch, _) = poll.take().unwrap();
                let new = notices
                    .iter()
                    .skip(watch.max(1) as usize - 1)
                    .cloned()
                    .collect::<Vec<_>>();
                side.send(board_says(last, &new));
            }
        }
    }
}

/// One call of a client.
#[derive(Clone)]
struct Sent {
    at: Instant,
    gateway: usize,
    answers: Vec<(Instant, String)>,
    /// Its connection ended before an answer came.
    cut: bool,
}

type Calls = Arc<Mutex<Vec<Sent>>>;

struct ClientConnection {
    out: TcpStream,
    open: Arc<AtomicBool>,
}

impl ClientConnection {
    fn connect(at: SocketAddr, calls: Calls) -> Option<ClientConnection> {
        let stream = TcpStream::connect(at).ok()?;
        stream.set_nodelay(true).unwrap();
        let out = stream.try_clone().unwrap();
        let open = Arc::new(AtomicBool::new(true));
        let flag = open.clone();
        std::thread::spawn(move || {
            let mut side = Side::new(stream);
            while !side.is_over() {
                if let Some((tag, word)) = side.answer(ms(500)) {
                    let mut calls = calls.lock().unwrap();
                    calls[tag as usize - 1].answers.push((Instant::now(), word));
                }
            }
            flag.store(false, Ordering::Relaxed);
        });
        Some(ClientConnection { out, open })
    }
}

/// The fleet.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    pub boards: Vec<Arc<Board>>,
    pub hosts: Vec<Arc<Host>>,
    places: Vec<(SocketAddr, tempfile::TempDir)>,
    calls: Calls,
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<()>>,
}

impl Fleet {
    /// So many gateways and hosts, on loopback addresses that this test alone uses; calls come from now on.
    pub fn start(last: u8, gateways: usize, hosts: usize, tells: TellsDrain) -> Fleet {
        let hosts: Vec<_> = (0..hosts).map(|_| Host::start(tells, last)).collect();
        let boards: Vec<_> = (0..gateways).map(|_| Board::start(free(last))).collect();
        let places: Vec<_> = (0..gateways)
            .map(|_| (address(last), tempfile::tempdir().unwrap()))
            .collect();
        let mut fleet = Fleet {
            gateways: Vec::new(),
            boards,
            hosts,
            places,
            calls: Calls::default(),
            stop: Arc::default(),
            clients: Vec::new(),
        };
        for gateway in 0..gateways {
            let process = fleet.process(gateway, fleet.boards[gateway].at);
            fleet.gateways.push(process);
        }
        fleet.clients = (0..gateways)
            .map(|gateway| fleet.send_calls(gateway))
            .collect();
        fleet
    }

    fn list(&self) -> String {
        let entry = |(index, host): (usize, &Arc<Host>)| host.entry(index);
        self.hosts
            .iter()
            .enumerate()
            .map(entry)
            .collect::<Vec<_>>()
            .join(",")
    }

    /// Writes the gateway's configuration, with all hosts as they are now.
    pub fn configure(&self, gateway: usize, board: SocketAddr) {
        let (at, folder) = &self.places[gateway];
        let settings = OUTAGE_SETTINGS.replace("INDEX", &gateway.to_string());
        let text = config(*at, board, &self.list(), &settings, 512);
        std::fs::write(folder.path().join("config.json"), text).unwrap();
    }

    fn process(&self, gateway: usize, board: SocketAddr) -> Gateway {
        self.configure(gateway, board);
        let (at, folder) = &self.places[gateway];
        platform_at(*at, folder.path(), 512)
    }

    /// Kills the gateway and starts it again, with the list that it was started with first.
    pub fn restart_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].kill();
        let (at, folder) = &self.places[gateway];
        self.gateways[gateway] = platform_at(*at, folder.path(), 512);
    }

    fn send_calls(&self, gateway: usize) -> std::thread::JoinHandle<()> {
        let (calls, stop, at) = (
            self.calls.clone(),
            self.stop.clone(),
            self.places[gateway].0,
        );
        std::thread::spawn(move || {
            let mut connections: VecDeque<ClientConnection> = VecDeque::new();
            let (began, mut count) = (Instant::now(), 0);
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                let due = began + Duration::from_micros(count * 1_000_000 / CALLS_A_SECOND);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                connections.retain(|connection| connection.open.load(Ordering::Relaxed));
                while connections.len() < CLIENTS {
                    let Some(next) = ClientConnection::connect(at, calls.clone()) else {
                        break;
                    };
                    connections.push_back(next);
                }
                connections.rotate_left(usize::from(!connections.is_empty()));
                let Some(connection) = connections.front_mut() else {
                    continue;
                };
                let mut calls = calls.lock().unwrap();
                let tag = calls.len() as u64 + 1;
                let class = if tag.is_multiple_of(3) {
                    "record"
                } else {
                    "check"
                };
                // Some functions are called far more often than others.
                let drawn =
                    (tag.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) % (FUNCTIONS * FUNCTIONS);
                let function = format!("{:016x}", drawn.isqrt() + 1);
                let text = call_of(tag, class, PATIENCE, &function, "body");
                calls.push(Sent {
                    at: Instant::now(),
                    gateway,
                    answers: Vec::new(),
                    cut: false,
                });
                if connection.out.write_all(text.as_bytes()).is_err() {
                    calls[tag as usize - 1].cut = true;
                }
            }
        })
    }

    /// The board of every gateway changes so.
    pub fn reach(&self, reach: Reach) {
        self.boards.iter().for_each(|board| board.set(reach));
    }

    /// All boards hold the present state of these hosts; they tell it once they can be reached.
    pub fn tell(&self, hosts: &[usize]) {
        let entries: Vec<String> = hosts
            .iter()
            .map(|host| self.hosts[*host].entry(*host))
            .collect();
        self.boards
            .iter()
            .for_each(|board| board.tell(&entries.join(",")));
    }

    pub fn drain(&self, hosts: &[usize]) {
        hosts.iter().for_each(|host| self.hosts[*host].drain());
        self.tell(hosts);
    }

    /// No further calls; those that are out are waited for.
    pub fn finish(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.clients
            .drain(..)
            .for_each(|client| client.join().unwrap());
        std::thread::sleep(ms(PATIENCE + 600));
    }

    /// Work that was sent to draining hosts later than the told time and the grace allow; what the boards hold counts as
    /// known from `known` on.
    pub fn sent_after_drain(&self, known: Instant) -> Vec<String> {
        let mut broken = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let state = host.state.lock().unwrap();
            let Some(drained) = state.drained_at else {
                continue;
            };
            let last = drained.max(known) + DRAIN_GRACE + SLACK;
            let until = state.restarted_at.unwrap_or(Instant::now());
            let late = state
                .work
                .iter()
                .filter(|(at, _)| *at > last && *at < until);
            broken.extend(
                late.map(|(at, kind)| format!("{kind} to s-{index}, {:?} too late", *at - last)),
            );
        }
        broken
    }

    /// The share of the calls sent in this span that were served.
    pub fn served(&self, from: Instant, to: Instant) -> f64 {
        let calls = self.calls.lock().unwrap();
        let sent = calls
            .iter()
            .filter(|call| call.at >= from && call.at < to && !call.cut);
        let (mut all, mut served) = (0, 0);
        for call in sent {
            all += 1;
            served += u32::from(call.answers.iter().any(|(_, word)| word == "OK"));
        }
        f64::from(served) / f64::from(all.max(1))
    }

    /// Calls without exactly one answer in time, at gateways that were not killed.
    pub fn lost(&self, killed: &[usize]) -> Vec<String> {
        let calls = self.calls.lock().unwrap();
        let mut lost = Vec::new();
        for (index, call) in calls.iter().enumerate().filter(|(_, call)| !call.cut) {
            let due = call.at + ms(PATIENCE + 500);
            let good = matches!(&call.answers[..], [(at, _)] if *at <= due);
            if !good && !killed.contains(&call.gateway) {
                lost.push(format!(
                    "call {index} of n{}: {} answers",
                    call.gateway,
                    call.answers.len()
                ));
            }
        }
        lost
    }

    /// Windows in which a host that came back got more than a host in slow start takes.
    pub fn overloaded(&self) -> Vec<String> {
        let warm = self.warm_rate();
        let mut broken = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let state = host.state.lock().unwrap();
            let Some(restarted) = state.restarted_at else {
                continue;
            };
            let work = state.work.iter().map(|(at, _)| *at);
            let work: Vec<Instant> = work.filter(|at| *at >= restarted).collect();
            for (position, from) in work.iter().enumerate() {
                let until = *from + OVERLOAD_WINDOW;
                let count = work[position..].iter().filter(|at| **at < until).count();
                let most = most_in_window(warm, until - restarted);
                if count as f64 > most {
                    let age = *from - restarted;
                    broken.push(format!("s-{index}: {count} in a window, {most:.0} may come, {age:?} after its start"));
                }
            }
        }
        broken
    }

    /// Attempts and load requests a second at a host that stayed, in the mean over the last ten seconds.
    fn warm_rate(&self) -> f64 {
        let now = Instant::now();
        let mut rates = Vec::new();
        for host in &self.hosts {
            let state = host.state.lock().unwrap();
            if state.drained_at.is_none() {
                let recent = state.work.iter().filter(|(at, _)| *at + ms(10_000) > now);
                rates.push(recent.count() as f64 / 10.0);
            }
        }
        rates.iter().sum::<f64>() / rates.len() as f64
    }

    /// The gateways' log lines that hold this text.
    pub fn logged(&self, text: &str) -> usize {
        let count = |gateway: &Gateway| gateway.log().lines().filter(|l| l.contains(text)).count();
        self.gateways.iter().map(count).sum()
    }
}
