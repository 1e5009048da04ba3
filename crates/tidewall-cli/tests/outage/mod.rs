//! Gateways of the shipped program on the platform, whose notice boards can be made unreachable while hosts
//! drain, leave and restart. Hosts and clients record what they observe; the rules are checked on these
//! records only.
mod boards;
mod calls;
mod hosts;
mod turns;

pub use boards::{Board, Reach};
pub use hosts::{Host, TellsDrain};

use crate::help::*;
use calls::{send_calls, Calls, PATIENCE};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use turns::Turn;

/// An unreachable board's updates count as known at the latest this long after it became unreachable.
pub const KNOWN_AFTER: Duration = ms(7_000);
/// The drain grace period of the settings; and the platform's tolerance plus the delays of this test itself.
pub const DRAIN_GRACE: Duration = ms(2_000);
pub const SLACK: Duration = ms(150);

/// Slow start by the settings: its duration, the initial share of the capacity, and the window and factor of
/// an overload.
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

/// The most attempts in a window that ends `age` after a host's start, if a warm host gets `warm` attempts
/// per second.
fn most_in_window(warm: f64, age: Duration) -> f64 {
    let part = (age.as_secs_f64() / SLOW_START.as_secs_f64()).min(1.0);
    let share = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * part;
    let capacity = warm * share * OVERLOAD_TOLERANCE * OVERLOAD_WINDOW.as_secs_f64();
    // The platform's allowance for random variation.
    let (roots, more) = if capacity < 30.0 {
        (3.0, 3.0)
    } else {
        (2.0, 2.0)
    };
    capacity + roots * capacity.sqrt() + more
}

/// The number of responses and their latencies.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    count: u32,
    sum: Duration,
    longest: Duration,
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
    /// The last field, as it must be dropped last.
    _turn: Turn,
}

impl Fleet {
    /// Waits for its turn, then starts gateways and hosts on loopback addresses that only this test uses, and
    /// clients that send calls.
    pub fn start(last: u8, gateways: usize, hosts: usize, tells: TellsDrain) -> Fleet {
        let turn = Turn::wait();
        let hosts: Vec<_> = (0..hosts).map(|_| Host::start(tells, last)).collect();
        let boards: Vec<_> = (0..gateways)
            .map(|_| Board::start(free_listener(last)))
            .collect();
        let places: Vec<_> = (0..gateways)
            .map(|_| (free_address(last), tempfile::tempdir().unwrap()))
            .collect();
        let mut fleet = Fleet {
            gateways: Vec::new(),
            boards,
            hosts,
            places,
            calls: Calls::default(),
            stop: Arc::default(),
            clients: Vec::new(),
            _turn: turn,
        };
        for gateway in 0..gateways {
            let process = fleet.process(gateway, fleet.boards[gateway].at);
            fleet.gateways.push(process);
        }
        fleet.clients = (0..gateways)
            .map(|gateway| fleet.calls_to(gateway))
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

    /// Writes the gateway's configuration, with the present state of all hosts.
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

    /// Kills the gateway and starts it again with its first endpoint list.
    pub fn restart_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].kill();
        let (at, folder) = &self.places[gateway];
        self.gateways[gateway] = platform_at(*at, folder.path(), 512);
    }

    fn calls_to(&self, gateway: usize) -> std::thread::JoinHandle<()> {
        let at = self.places[gateway].0;
        send_calls(gateway, at, self.calls.clone(), self.stop.clone())
    }

    /// Changes how all boards can be reached.
    pub fn reach(&self, reach: Reach) {
        self.boards.iter().for_each(|board| board.set(reach));
    }

    /// Puts the present state of these hosts on all boards, which send it once they can be reached.
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

    /// Stops the clients and waits for the responses to open calls.
    pub fn finish(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.clients
            .drain(..)
            .for_each(|client| client.join().unwrap());
        std::thread::sleep(ms(PATIENCE + 600));
    }

    /// Work that was sent to draining hosts after their drain grace period, which begins with the drain, but
    /// not before `known`, from which on the boards' notices count as known.
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

    /// The share of the calls sent in this interval that were served.
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

    /// For the output of a failing test: the responses to calls sent in this interval, and their latencies.
    pub fn answers(&self, from: Instant, to: Instant) -> BTreeMap<String, AnswerTimes> {
        let calls = self.calls.lock().unwrap();
        let mut by_word: BTreeMap<String, AnswerTimes> = BTreeMap::new();
        for call in calls.iter().filter(|call| call.at >= from && call.at < to) {
            let first = call.answers.first();
            let word = first.map_or("none", |(_, word)| word.as_str());
            let word = if call.cut { "cut" } else { word };
            let times = by_word.entry(word.to_string()).or_default();
            times.count += 1;
            if let Some((at, _)) = first {
                times.longest = times.longest.max(*at - call.at);
                times.sum += *at - call.at;
            }
        }
        by_word
    }

    /// For the output of a failing test: how often each log line of the gateways occurs, without its values.
    pub fn log_lines(&self) -> BTreeMap<String, u32> {
        let mut count: BTreeMap<String, u32> = BTreeMap::new();
        for gateway in &self.gateways {
            for line in gateway.log().lines() {
                let words = line.split_whitespace().skip(1);
                let fixed: Vec<&str> = words.filter(|word| !word.contains('=')).collect();
                *count.entry(fixed.join(" ")).or_default() += 1;
            }
        }
        count
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

    /// Windows in which a restarted host got more attempts than slow start allows.
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

    /// Mean attempts and load requests per second over the last ten seconds, at a host that did not drain.
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
}
