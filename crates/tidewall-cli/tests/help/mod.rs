//! Runs the shipped binary as a process, with workers, discovery and clients played by the test. The test
//! controls the order of events: it waits until received bytes show that the gateway has reached the wanted
//! point.
#![allow(dead_code)] // each test file uses only a part
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tidewall_wire::{self as wire, kind, Entries, Field, Fields, Frame};

/// No attempt may start later than this after its client left.
pub const ABANDON_LIMIT: Duration = Duration::from_millis(100);

/// Longer than any awaited event takes.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(10);

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A listener on a free port of a loopback address, 127.0.1.`octet`, that only one test uses.
pub fn free_listener(octet: u8) -> TcpListener {
    TcpListener::bind(SocketAddr::from(([127, 0, 1, octet], 0))).unwrap()
}

/// A free port of such an address, for the gateway. No listener is opened here: a process that another test
/// has forked but that has not yet called exec would inherit it, accept the test's clients, and hold the
/// port.
pub fn free_address(octet: u8) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // So that the gateway can bind the port even while such a process holds it.
    socket.set_reuse_address(true).unwrap();
    let any_port = SocketAddr::from(([127, 0, 1, octet], 0));
    socket.bind(&any_port.into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}

/// Waits until the condition holds; panics with this description after a timeout.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + LONG_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "{description}");
        std::thread::sleep(ms(2));
    }
}

/// A gateway process, which is killed when the test ends.
pub struct Gateway {
    child: Child,
    pub at: SocketAddr,
    log_text: Arc<Mutex<String>>,
    _folder: Option<tempfile::TempDir>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    /// Sends a signal to the process; 0 sends none.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is our child and has not been waited for.
        unsafe { libc::kill(self.child.id() as i32, signal) };
    }

    /// Stops or continues the process, and waits until the system reports it.
    pub fn set_stopped(&self, on: bool) {
        self.signal(if on { libc::SIGSTOP } else { libc::SIGCONT });
        wait_until("the process is stopped or continued", || {
            (self.state() == "T") == on
        });
    }

    fn state(&self) -> String {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        stat.rsplit(") ").next().unwrap()[..1].to_string()
    }

    /// Waits for the process to exit; returns its exit code and how long it took.
    pub fn wait_for_exit(&mut self) -> (Option<i32>, Duration) {
        let from = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return (status.code(), from.elapsed());
            }
            assert!(from.elapsed() < LONG_TIMEOUT, "the process still runs");
            std::thread::sleep(ms(2));
        }
    }

    pub fn log(&self) -> String {
        self.log_text.lock().unwrap().clone()
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// Resident memory at its peak, in kB.
    pub fn peak(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:"))
            .unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    fn spawn(
        mut command: Command,
        at: SocketAddr,
        folder: Option<tempfile::TempDir>,
        limit: u64,
    ) -> Gateway {
        let limit = libc::rlimit {
            rlim_cur: limit,
            rlim_max: limit,
        };
        // SAFETY: setrlimit may be called between fork and exec, and its argument lives as long as the
        // command.
        unsafe {
            command.pre_exec(move || match libc::setrlimit(libc::RLIMIT_NOFILE, &limit) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let mut child = command
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log_text = Arc::new(Mutex::new(String::new()));
        let (to, lines) = (
            log_text.clone(),
            BufReader::new(child.stderr.take().unwrap()),
        );
        std::thread::spawn(move || {
            lines.lines().map_while(Result::ok).for_each(|l| {
                let mut log_text = to.lock().unwrap();
                log_text.push_str(&l);
                log_text.push('\n');
            })
        });
        Gateway {
            child,
            at,
            log_text,
            _folder: folder,
        }
    }
}

/// A connection to or from the gateway, played by the test.
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    closed: bool,
    /// It was closed by a reset.
    closed_by_reset: bool,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).unwrap();
        Connection {
            stream,
            received: Vec::new(),
            closed: false,
            closed_by_reset: false,
        }
    }

    pub fn connect(at: SocketAddr) -> Connection {
        let end = Instant::now() + LONG_TIMEOUT;
        loop {
            match TcpStream::connect(at) {
                Ok(stream) => return Connection::new(stream),
                Err(e) => assert!(Instant::now() < end, "{at}: {e}"),
            }
            std::thread::sleep(ms(5));
        }
    }

    /// Sends bytes; they are lost if the other side has closed the connection.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        let _ = self.stream.write_all(bytes.as_ref());
    }

    /// Its local address.
    pub fn address(&self) -> SocketAddr {
        self.stream.local_addr().unwrap()
    }

    /// Closes the sending half; reading is still possible.
    pub fn close_write(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let linger = libc::linger {
            l_onoff: 1,
            l_linger: 0,
        };
        self.option(libc::SO_LINGER, &linger);
    }

    fn option<T>(&self, name: i32, value: &T) {
        option(&self.stream, name, value);
    }

    /// Limits the receive buffer to this many unread bytes, or twice as many.
    pub fn limit_receive_buffer(&self, bytes: i32) {
        self.option(libc::SO_RCVBUF, &bytes);
    }

    /// Reads to the end of the connection; calls `write` after each read until then.
    pub fn read_to_end(&mut self, mut write: impl FnMut(&mut Connection)) -> String {
        let end = Instant::now() + LONG_TIMEOUT;
        while !self.closed && Instant::now() < end {
            self.read(ms(10));
            if !self.closed {
                write(self);
            }
        }
        String::from_utf8_lossy(&self.received).to_string()
    }

    pub fn is_over(&self) -> bool {
        self.closed
    }

    /// A second handle of the stream, for writing.
    pub fn writer(&self) -> TcpStream {
        self.stream.try_clone().unwrap()
    }

    pub fn was_reset(&self) -> bool {
        self.closed_by_reset
    }

    /// Reads once, within that time; false if the connection has ended or no time is left.
    fn read(&mut self, within: Duration) -> bool {
        if self.closed || within.is_zero() {
            return false;
        }
        self.stream.set_read_timeout(Some(within)).unwrap();
        let mut chunk = [0; 65536];
        match self.stream.read(&mut chunk) {
            Ok(0) => self.closed = true,
            Ok(n) => self.received.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => (self.closed, self.closed_by_reset) = (true, true),
        }
        !self.closed
    }

    /// The next message that `parse` finds at the start of the received bytes, within that time.
    pub fn next<T>(
        &mut self,
        within: Duration,
        parse: impl Fn(&[u8]) -> Option<(T, usize)>,
    ) -> Option<T> {
        let end = Instant::now() + within;
        loop {
            if let Some((found, len)) = parse(&self.received) {
                self.received.drain(..len);
                return Some(found);
            }
            if Instant::now() >= end || self.closed {
                return None;
            }
            self.read(end - Instant::now());
        }
    }

    /// Whether the other side closed the connection within that time.
    pub fn closes_within(&mut self, within: Duration) -> bool {
        let end = Instant::now() + within;
        while !self.closed && Instant::now() < end {
            self.read(end - Instant::now());
        }
        self.closed
    }
}

fn option<T>(socket: &impl AsRawFd, name: i32, value: &T) {
    // SAFETY: the descriptor is open, and the option's value is of its type and size.
    let done = unsafe {
        libc::setsockopt(
            socket.as_raw_fd(),
            libc::SOL_SOCKET,
            name,
            std::ptr::from_ref(value).cast(),
            std::mem::size_of::<T>() as libc::socklen_t,
        )
    };
    assert_eq!(done, 0);
}

/// Limits the receive buffers of a listener's connections to a few kilobytes.
pub fn limit_receive_buffer(listener: &TcpListener) {
    option(listener, libc::SO_RCVBUF, &4096_i32);
}

/// Accepts the next connection within that time.
pub fn accept(listener: &TcpListener, within: Duration) -> Option<Connection> {
    listener.set_nonblocking(true).unwrap();
    let end = Instant::now() + within;
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return Some(Connection::new(stream));
        }
        if Instant::now() >= end {
            return None;
        }
        std::thread::sleep(ms(1));
    }
}

/// Bytes on their way to a worker: in the gateway's send buffers and in the worker's receive buffers
/// (`/proc/net/tcp`).
pub fn bytes_in_transit(worker: &TcpListener) -> usize {
    let at = worker.local_addr().unwrap();
    let SocketAddr::V4(v4) = at else {
        panic!("{at}")
    };
    let place = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(v4.ip().octets()),
        at.port()
    );
    let hex = |text: &str| usize::from_str_radix(text, 16).unwrap();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table
        .lines()
        .skip(1)
        .map(|l| l.split_whitespace().collect::<Vec<_>>());
    // Columns: local and remote address, state (01 is established), send and receive queue.
    rows.filter(|r| r[3] == "01")
        .map(|r| {
            let (unsent, unread) = r[4].split_once(':').unwrap();
            hex(unsent) * usize::from(r[2] == place) + hex(unread) * usize::from(r[1] == place)
        })
        .sum()
}

/// Whether the gateway's side of this client's connection has unread bytes or an end, or is gone
/// (`/proc/net/tcp`). On a busy machine the system delivers them some milliseconds after the call that sends
/// them.
pub fn has_arrived(gateway: SocketAddr, client: SocketAddr) -> bool {
    let place = |port: u16| format!(":{port:04X}");
    let (own, other) = (place(gateway.port()), place(client.port()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().skip(1).map(|l| l.split_whitespace());
    // Columns: local and remote address, state (01 is established), send and receive queue.
    let stands = rows
        .map(|row| row.collect::<Vec<_>>())
        .find(|row| row[1].ends_with(&own) && row[2].ends_with(&other) && row[3] == "01");
    stands.is_none_or(|row| !row[4].ends_with(":00000000"))
}

/// How many connections to a worker are established in the view of the connecting side (`/proc/net/tcp`): a
/// connection whose end has arrived there is not.
pub fn open_connections(worker: &TcpListener) -> usize {
    let port = format!(":{:04X}", worker.local_addr().unwrap().port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().skip(1).map(|l| l.split_whitespace());
    rows.filter(|row| {
        let row: Vec<&str> = row.clone().collect();
        // Columns: remote address, state (01 is established).
        row[2].ends_with(&port) && row[3] == "01"
    })
    .count()
}

/// Fills a listener's backlog: further connections wait until returned ones are dropped, each of which makes
/// room for one.
pub fn fill_backlog(at: &TcpListener) -> Vec<TcpStream> {
    // SAFETY: the descriptor is open; a second call of listen changes its backlog.
    assert_eq!(unsafe { libc::listen(at.as_raw_fd(), 0) }, 0);
    let to = at.local_addr().unwrap();
    let mut fillers = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&to, ms(100)) {
        fillers.push(stream);
        assert!(fillers.len() < 64, "the backlog is not limited");
    }
    fillers
}

// The platform's protocol.

/// Parses a line to a worker; the length includes the body of a `go`.
fn parse_worker_line(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(2).position(|w| w == b"\r\n")?;
    let line = String::from_utf8(bytes[..end].to_vec()).unwrap();
    let mut len = end + 2;
    if line.starts_with("go ") {
        len += line.rsplit(' ').next().unwrap().parse::<usize>().unwrap() + 2;
        bytes.get(..len)?;
    }
    Some((line, len))
}

impl Connection {
    /// The next line to a worker.
    pub fn next_line(&mut self, within: Duration) -> Option<String> {
        self.next(within, parse_worker_line)
    }

    /// The trace of the next attempt.
    pub fn next_attempt_trace(&mut self, within: Duration) -> Option<String> {
        let end = Instant::now() + within;
        loop {
            let line = self.next_line(end.saturating_duration_since(Instant::now()))?;
            if let Some(rest) = line.strip_prefix("go ") {
                return Some(rest.split(' ').next().unwrap().to_string());
            }
        }
    }

    pub fn receives_halt(&mut self, trace: &str, within: Duration) -> bool {
        let end = Instant::now() + within;
        while let Some(line) = self.next_line(end.saturating_duration_since(Instant::now())) {
            if line == format!("halt {trace}") {
                return true;
            }
        }
        false
    }

    pub fn respond(&mut self, trace: &str, word: &str) {
        self.send(format!("{trace} {word} res=hit 3\r\nyes\r\n"));
    }

    /// The next response to a client: its tag and word.
    pub fn next_response(&mut self, within: Duration) -> Option<(u64, String)> {
        self.next(within, |bytes| {
            let text = String::from_utf8_lossy(bytes);
            let mut lines = text.split("\r\n");
            let count: usize = lines.next()?.strip_prefix('*')?.parse().ok()?;
            let (mut words, mut len) = (Vec::new(), text.find("\r\n")? + 2);
            for _ in 0..count {
                let size: usize = lines.next()?.strip_prefix('$')?.parse().ok()?;
                len += size.to_string().len() + 3;
                let word = text.get(len..len + size)?;
                text.get(..len + size + 2)?;
                words.push(word.to_string());
                len += size + 2;
                lines.next();
            }
            Some(((words[0].parse().ok()?, words[1].clone()), len))
        })
    }
}

pub fn command(words: &[&str]) -> String {
    let words: Vec<String> = words
        .iter()
        .map(|w| format!("${}\r\n{w}\r\n", w.len()))
        .collect();
    format!("*{}\r\n{}", words.len(), words.concat())
}

/// A call with the tag as its trace.
pub fn call(tag: u64, class: &str, patience: u64) -> String {
    call_of(tag, class, patience, "7f3a9c21e0b4d655", "body")
}

pub fn call_of(tag: u64, class: &str, patience: u64, function: &str, body: &str) -> String {
    let fields = format!(
        "trace={tag:016x},patience={patience},nonce=n{tag},entity={function},extras=lanes:1000"
    );
    command(&["CALL", &tag.to_string(), class, &fields, body])
}

pub fn cancel(tag: u64) -> String {
    command(&["CANCEL", &tag.to_string()])
}

/// Entries of an endpoint list for these hosts, named from s-`first` on, all in this state.
pub fn host_entries(first: usize, at: &[SocketAddr], state: &str) -> String {
    let host = |(i, at): (usize, &SocketAddr)| {
        let place = format!(
            "\"id\":\"s-{}\",\"addr\":\"{at}\",\"state\":\"{state}\"",
            first + i
        );
        format!(
            "{{{place},\"zone\":\"z\",\"kind\":\"k\",\"cell\":0,\"weight\":4,\"started_ms\":0}}"
        )
    };
    at.iter()
        .enumerate()
        .map(host)
        .collect::<Vec<_>>()
        .join(",")
}

/// A notice: one numbered change of the endpoint list.
pub fn notice(rev: u64, hosts: &str, full: bool) -> String {
    format!("{{\"rev\":{rev},\"pool\":{{\"version\":1,\"full\":{full},\"servers\":[{hosts}]}}}}")
}

/// A response of the notice board.
pub fn board_response(rev: u64, notices: &[String]) -> String {
    let body = format!("{{\"rev\":{rev},\"notices\":[{}]}}", notices.join(","));
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Connection {
    /// The next poll's `watch`.
    pub fn poll(&mut self, within: Duration) -> Option<u64> {
        self.poll_request(within).map(|(watch, _)| watch)
    }

    /// The next poll's `watch`, and how long the response may be delayed, in milliseconds.
    pub fn poll_request(&mut self, within: Duration) -> Option<(u64, u64)> {
        self.next(within, |bytes| {
            let text = String::from_utf8_lossy(bytes);
            let end = text.find("\r\n\r\n")? + 4;
            let number = |name: &str| {
                let from = text.find(name)? + name.len();
                let digits = text[from..].chars().take_while(char::is_ascii_digit);
                digits.collect::<String>().parse().ok()
            };
            Some(((number("watch=")?, number("linger=")?), end))
        })
    }
}

/// Connections have a cost, so that attempts share one. Classes: "check" is redeliverable, "record" keyed in
/// a zone within 600 ms, "issue" at-most-once; deadlines of 2 s.
pub const SETTINGS: &str = r#"{"me":0,"siblings":1,"tick-ms":1.0,"zones":["z"],"kinds":["k"],"discovery":"pushed",
 "allowed":{"connect-timeout-ms":250.0,"keepalive-ms":30000.0,"max-attempts":3,"most-held":200,"streams-per-conn":32,
  "cancel":true,"may-duplicate":true,"retry-after":true,"max-retry-after-ms":500.0,"probes":false},
 "deductions":{"connection":0.01},"rules":{"drain-grace-ms":2000.0},"reporting":{"how":"none","names":[]},
 "classes":[{"name":"check","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"read_like"},
  {"name":"record","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"idempotency_key","group":"zone","window-ms":600.0},
  {"name":"issue","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"non_idempotent"}],
 "extra":{"orders":false,"order-timeout-ms":4000.0,"if-cold":"load","stays-loaded-ms":60000.0,"load-window-ms":0}}"#;

/// A gateway on the platform, with a notice board and workers that the test plays.
pub struct Platform {
    pub gateway: Gateway,
    pub board: TcpListener,
    pub workers: Vec<TcpListener>,
}

/// Starts a gateway with this many workers, these settings, and this limit on descriptors.
pub fn platform_with(octet: u8, workers: usize, settings: &str, sockets: u64) -> Platform {
    let (board, workers) = (
        free_listener(octet),
        (0..workers)
            .map(|_| free_listener(octet))
            .collect::<Vec<_>>(),
    );
    let at = free_address(octet);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let all: Vec<SocketAddr> = workers.iter().map(|w| w.local_addr().unwrap()).collect();
    std::fs::write(
        &file,
        config(
            at,
            board.local_addr().unwrap(),
            &host_entries(0, &all, "up"),
            settings,
            sockets,
        ),
    )
    .unwrap();
    let gateway = platform_process(at, folder, sockets);
    Platform {
        gateway,
        board,
        workers,
    }
}

pub fn platform(octet: u8, workers: usize) -> Platform {
    platform_with(octet, workers, SETTINGS, 256)
}

pub fn platform_process(at: SocketAddr, folder: tempfile::TempDir, sockets: u64) -> Gateway {
    let command = platform_command(folder.path());
    Gateway::spawn(command, at, Some(folder), sockets)
}

/// Starts a gateway with the configuration of a folder that outlives it.
pub fn platform_at(at: SocketAddr, folder: &Path, sockets: u64) -> Gateway {
    Gateway::spawn(platform_command(folder), at, None, sockets)
}

fn platform_command(folder: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tidewall"));
    command
        .args(["--log", "debug", "platform"])
        .env("ROUTER_CONFIG", folder.join("config.json"));
    command
}

pub fn config(
    at: SocketAddr,
    board: SocketAddr,
    hosts: &str,
    settings: &str,
    sockets: u64,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{at}","seed":"7","limits":{{"memory_mb":32,"sockets":{sockets}}},"board":"{board}",
 "known":{{"rev":1,"notices":[{}]}},"settings":{settings}}}"#,
        notice(1, hosts, true)
    )
}

impl Platform {
    pub fn client(&self) -> Connection {
        Connection::connect(self.gateway.at)
    }

    /// Sends a call and returns the worker connection on which its attempt arrived.
    pub fn start_attempt(&self, client: &mut Connection, tag: u64, class: &str) -> Connection {
        client.send(call(tag, class, 2000));
        let mut link = None;
        wait_until("it connects to a worker", || {
            link = self.workers.iter().find_map(|w| accept(w, ms(1)));
            link.is_some()
        });
        let mut link = link.expect("it is some");
        let went = link.next_attempt_trace(LONG_TIMEOUT);
        assert_eq!(went, Some(format!("{tag:016x}")), "{}", self.gateway.log());
        link
    }

    /// Changes the configuration to another notice board and makes the gateway reload it.
    pub fn move_board(&self, board: &TcpListener) {
        let all: Vec<SocketAddr> = self
            .workers
            .iter()
            .map(|w| w.local_addr().unwrap())
            .collect();
        let text = config(
            self.gateway.at,
            board.local_addr().unwrap(),
            &host_entries(0, &all, "up"),
            SETTINGS,
            256,
        );
        let folder = self.gateway._folder.as_ref().expect("it has its own");
        std::fs::write(folder.path().join("config.json"), text).unwrap();
        self.gateway.signal(libc::SIGHUP);
    }
}

/// Starts a native gateway with these settings; ADDRESS and LIST are placeholders for its address and its
/// endpoint cache file.
pub fn native_process(at: SocketAddr, settings: &str) -> Gateway {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("site.txtpb");
    let list = folder.path().join("list");
    let text = settings
        .replace("ADDRESS", &at.to_string())
        .replace("LIST", list.to_str().unwrap());
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_tidewall"));
    command
        .args(["--log", "debug", "serve", "--config"])
        .arg(&file);
    Gateway::spawn(command, at, Some(folder), 1024)
}

// The native protocol.

/// One zone, "check" redeliverable, "issue" at-most-once; at most two connections for an attempt, no load
/// requests.
pub const SITE: &str = r#"
gateway { name: "g0" address: "ADDRESS" zone: "z" last_list: "LIST" seed: 3 }
roster { address: "ROSTER" }
zone: "z"
kind { name: "k" memory_mb: 900 }
event_type { name: "check" target_time_ms: 500 max_age_ms: 2000 redelivery: REDELIVERABLE }
event_type { name: "issue" target_time_ms: 500 max_age_ms: 2000 redelivery: AT_MOST_ONCE }
limits { connections: 1 cancel: CANCEL }
loading { orders: false }
"#;

/// A native gateway, with workers and a discovery server that the test plays.
pub struct Native {
    pub gateway: Gateway,
    pub workers: Vec<TcpListener>,
    _roster: Connection,
}

fn framed(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    wire::frame(bytes)
        .unwrap()
        .map(|(body, len)| (body.to_vec(), len))
}

impl Connection {
    /// The next frame's kind and body.
    pub fn frame(&mut self, within: Duration) -> Option<(u64, Vec<u8>)> {
        let body = self.next(within, framed)?;
        let kind = Fields::read(&body).unwrap().kind().unwrap();
        Some((kind, body))
    }

    pub fn send_frame(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        let mut out = Vec::new();
        write(&mut out);
        self.send(out);
    }

    /// The next attempt within that time: its id and its request's id.
    pub fn next_attempt(&mut self, within: Duration) -> Option<(u64, u64)> {
        let end = Instant::now() + within;
        loop {
            let (kind, body) = self.frame(end.saturating_duration_since(Instant::now()))?;
            if kind == kind::LAUNCH {
                let f = Fields::read(&body).unwrap();
                return Some((f.whole(Field::Id).unwrap(), f.whole(Field::Event).unwrap()));
            }
        }
    }

    pub fn receives_cancel(&mut self, id: u64, within: Duration) -> bool {
        let end = Instant::now() + within;
        while let Some((kind, body)) = self.frame(end.saturating_duration_since(Instant::now())) {
            if kind == kind::CANCEL && Fields::read(&body).unwrap().whole(Field::Id) == Ok(id) {
                return true;
            }
        }
        false
    }

    /// Reports the outcome of an attempt.
    pub fn end_attempt(&mut self, id: u64, outcome: &str) {
        self.send_frame(|out| {
            Frame::new(out, kind::END)
                .whole(Field::Id, id)
                .text(Field::Outcome, outcome)
                .end();
        });
    }

    /// The next response to a client: its request's id and word.
    pub fn next_answer(&mut self, within: Duration) -> Option<(u64, String)> {
        let end = Instant::now() + within;
        loop {
            let (kind, body) = self.frame(end.saturating_duration_since(Instant::now()))?;
            if kind == kind::ANSWER {
                let f = Fields::read(&body).unwrap();
                return Some((
                    f.whole(Field::Id).unwrap(),
                    f.text(Field::Word).unwrap().to_string(),
                ));
            }
        }
    }
}

/// A request frame of a client.
pub fn request_frame(id: u64, class: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let f = Frame::new(&mut out, kind::EVENT)
        .whole(Field::Id, id)
        .text(Field::Type, class);
    f.text(Field::Function, "f")
        .whole(Field::Lanes, 1000)
        .whole(Field::Left, 20_000)
        .end();
    out
}

pub fn leave_frame(id: u64) -> Vec<u8> {
    let mut out = Vec::new();
    Frame::new(&mut out, kind::LEAVE).whole(Field::Id, id).end();
    out
}

pub fn native(octet: u8, workers: usize, cancels: bool) -> Native {
    let (roster, workers) = (
        free_listener(octet),
        (0..workers)
            .map(|_| free_listener(octet))
            .collect::<Vec<_>>(),
    );
    let settings = SITE.replace("ROSTER", &roster.local_addr().unwrap().to_string());
    let gateway = native_process(
        free_address(octet),
        &settings.replace("CANCEL", &cancels.to_string()),
    );
    let mut discovery = accept(&roster, LONG_TIMEOUT).expect("it connects to the discovery server");
    discovery.frame(LONG_TIMEOUT).expect("its hello");
    let mut list = Entries::default();
    for (i, worker) in workers.iter().enumerate() {
        let at = worker.local_addr().unwrap().to_string();
        list.add(|f| {
            let f = f
                .text(Field::Name, &format!("w{i}"))
                .text(Field::Place, &at)
                .text(Field::Zone, "z");
            f.text(Field::Machine, "k")
                .text(Field::Standing, "on")
                .real(Field::Rating, 1.0)
        });
    }
    discovery.send_frame(|out| wire::hello(out, "roster", "r", 1));
    discovery.send_frame(|out| {
        Frame::new(out, kind::ROSTER)
            .text(Field::Scope, "whole")
            .entries(&list)
            .end()
    });
    Native {
        gateway,
        workers,
        _roster: discovery,
    }
}

impl Native {
    /// Connects a client and exchanges hellos.
    pub fn client(&self) -> Connection {
        let mut client = Connection::connect(self.gateway.at);
        client.send_frame(|out| wire::hello(out, "client", "c", 1));
        assert_eq!(client.frame(LONG_TIMEOUT).map(|f| f.0), Some(kind::HELLO));
        client
    }

    /// Accepts the connection to a worker and exchanges hellos.
    pub fn accept_worker(&self, wk: usize) -> Connection {
        let mut link = accept(&self.workers[wk], LONG_TIMEOUT).expect("it connects to its worker");
        self.greet(&mut link, wk);
        link
    }

    pub fn greet(&self, link: &mut Connection, wk: usize) {
        assert_eq!(link.frame(LONG_TIMEOUT).map(|f| f.0), Some(kind::HELLO));
        link.send_frame(|out| wire::hello(out, "worker", &format!("w{wk}"), 0));
    }

    /// Sends a request; returns the connection of the only worker and the attempt's id.
    pub fn start_attempt(
        &self,
        client: &mut Connection,
        id: u64,
        class: &str,
    ) -> (Connection, u64) {
        client.send(request_frame(id, class));
        let mut link = self.accept_worker(0);
        let launch = link.next_attempt(LONG_TIMEOUT).expect("its launch");
        assert_eq!(launch.1, id);
        (link, launch.0)
    }
}
