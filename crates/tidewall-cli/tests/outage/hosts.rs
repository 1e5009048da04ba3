//! Hosts: what they answer while they are up, drain, are gone or came back, and what work came to them when.
use crate::help::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LOAD_TIME: Duration = ms(300);
const RUN_TIME: Duration = ms(4);

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

pub struct HostState {
    phase: Phase,
    /// By function: when its instance is loaded.
    loaded: HashMap<String, Instant>,
    pub drained_at: Option<Instant>,
    pub restarted_at: Option<Instant>,
    /// Attempts and load requests: when their first byte was read, and what they were.
    pub work: Vec<(Instant, &'static str)>,
}

/// A host: one address at which all gateways find it.
pub struct Host {
    at: SocketAddr,
    tells: TellsDrain,
    pub state: Mutex<HostState>,
}

impl Host {
    pub fn start(tells: TellsDrain, last: u8) -> Arc<Host> {
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

    /// It can be reached again, as it was.
    pub fn rejoin(&self) {
        self.state.lock().unwrap().phase = Phase::Up;
    }

    /// It comes back at the same address, empty and cold.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.loaded.clear();
        state.restarted_at = Some(Instant::now());
        state.phase = Phase::Up;
    }

    pub fn entry(&self, index: usize) -> String {
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
