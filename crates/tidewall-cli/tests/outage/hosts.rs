//! Hosts that are up, drain, leave and restart, and record when which work arrived. Their threads block on
//! reads and never poll: polling by many hosts at once would keep the machine busy.
use crate::help::*;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LOAD_TIME: Duration = ms(300);
const RUN_TIME: Duration = ms(4);

/// How a draining host responds to health checks and queries, which may still be sent to it.
#[derive(Clone, Copy, PartialEq)]
pub enum TellsDrain {
    /// `no` to a health check; a query returns the number of instances.
    ByHealthCheck,
    /// `yes` to a health check; a query is refused.
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
    /// None while the host is gone.
    listener: Option<Arc<TcpListener>>,
    /// Open connections, by number.
    connections: HashMap<u64, TcpStream>,
    next_connection: u64,
    /// By function: from when on its instance is loaded.
    loaded: HashMap<String, Instant>,
    pub drained_at: Option<Instant>,
    pub restarted_at: Option<Instant>,
    /// Attempts and load requests: when their first byte was read, and what they were.
    pub work: Vec<(Instant, &'static str)>,
}

impl HostState {
    fn listens_on(&self, listener: &Arc<TcpListener>) -> bool {
        let current = self.listener.as_ref();
        current.is_some_and(|current| Arc::ptr_eq(current, listener))
    }
}

/// A host, which all gateways reach at one address.
pub struct Host {
    at: SocketAddr,
    tells: TellsDrain,
    pub state: Mutex<HostState>,
}

impl Host {
    pub fn start(tells: TellsDrain, last: u8) -> Arc<Host> {
        let listener = free_listener(last);
        let host = Arc::new(Host {
            at: listener.local_addr().unwrap(),
            tells,
            state: Mutex::new(HostState {
                phase: Phase::Gone,
                listener: None,
                connections: HashMap::new(),
                next_connection: 0,
                loaded: HashMap::new(),
                drained_at: None,
                restarted_at: None,
                work: Vec::new(),
            }),
        });
        host.listen(listener);
        host
    }

    /// Marks the host as up and accepts connections on this listener.
    fn listen(self: &Arc<Host>, listener: TcpListener) {
        let listener = Arc::new(listener);
        let mut state = self.state.lock().unwrap();
        state.phase = Phase::Up;
        state.listener = Some(listener.clone());
        let own = self.clone();
        std::thread::spawn(move || own.accept_all(&listener));
    }

    /// Listens again at the same address.
    fn listen_again(self: &Arc<Host>) {
        let mut listener = None;
        wait_until("it listens again", || {
            listener = TcpListener::bind(self.at).ok();
            listener.is_some()
        });
        self.listen(listener.expect("it is some"));
    }

    /// Accepts connections until the host leaves, which closes its listener.
    fn accept_all(self: Arc<Host>, listener: &Arc<TcpListener>) {
        loop {
            match listener.accept() {
                Ok((stream, _)) => self.take(Connection::new(stream), listener),
                // A connection that was closed before it was accepted.
                Err(_) if self.state.lock().unwrap().listens_on(listener) => {}
                Err(_) => return,
            }
        }
    }

    fn take(self: &Arc<Host>, connection: Connection, listener: &Arc<TcpListener>) {
        let mut state = self.state.lock().unwrap();
        if !state.listens_on(listener) {
            return connection.reset();
        }
        let number = state.next_connection;
        state.next_connection += 1;
        state.connections.insert(number, connection.writer());
        let own = self.clone();
        std::thread::spawn(move || own.serve(connection, number));
    }

    fn serve(self: Arc<Host>, mut connection: Connection, number: u64) {
        let out = Arc::new(Mutex::new(connection.writer()));
        while !connection.is_over() {
            if let Some(line) = connection.next_line(LONG_TIMEOUT) {
                self.answer(&line, &out);
            }
        }
        let was_open = self.state.lock().unwrap().connections.remove(&number);
        if was_open.is_none() {
            connection.reset();
        }
    }

    fn answer(&self, line: &str, out: &Arc<Mutex<TcpStream>>) {
        let now = Instant::now();
        let words: Vec<&str> = line.split(' ').collect();
        let mut state = self.state.lock().unwrap();
        if state.phase == Phase::Gone {
            return;
        }
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

    /// Refuses all new work from now on, and stays up.
    pub fn drain(&self) {
        let mut state = self.state.lock().unwrap();
        state.phase = Phase::Draining;
        state.drained_at = Some(Instant::now());
    }

    /// Simulates the end of its process: the listener is closed and connections are reset.
    pub fn leave(&self) {
        let mut state = self.state.lock().unwrap();
        state.phase = Phase::Gone;
        if let Some(listener) = state.listener.take() {
            SockRef::from(&*listener).shutdown(Shutdown::Both).unwrap();
        }
        // Their threads block on reads; shutting down the reading half wakes them and is not visible to the
        // other side.
        for (_, connection) in state.connections.drain() {
            let _ = connection.shutdown(Shutdown::Read);
        }
    }

    /// Makes it reachable again, with its state unchanged.
    pub fn rejoin(self: &Arc<Host>) {
        self.listen_again();
    }

    /// Restarts it at the same address, without loaded instances and cold.
    pub fn restart(self: &Arc<Host>) {
        {
            let mut state = self.state.lock().unwrap();
            state.loaded.clear();
            state.restarted_at = Some(Instant::now());
        }
        self.listen_again();
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
