//! The shipped binary as a process, with workers, list and clients that the test plays by hand: each side is held until the
//! other has reached the point that is wanted, as a byte that came shows.
#![allow(dead_code)] // each test file uses a part
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

/// A launch that begins later than this after its client left breaks the users' term.
pub const LEFT: Duration = Duration::from_millis(100);

/// Longer than anything that is awaited takes.
pub const LONG: Duration = Duration::from_secs(10);

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A listener on a free port of a loopback address that one test alone uses.
pub fn free(last: u8) -> TcpListener {
    TcpListener::bind(SocketAddr::from(([127, 0, 1, last], 0))).unwrap()
}

/// A free port of such an address, for the gateway. It is not listened on here: a process that another test has forked and not
/// yet executed would keep the listener for a moment, accept the test's clients, and hold the port.
pub fn address(last: u8) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // So that the gateway may bind it where such a process still holds it.
    socket.set_reuse_address(true).unwrap();
    let any_port = SocketAddr::from(([127, 0, 1, last], 0));
    socket.bind(&any_port.into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}

/// Waits until it holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(ms(2));
    }
}

/// Ends the process by its own id, however the test ends.
pub struct Gateway {
    child: Child,
    pub at: SocketAddr,
    told: Arc<Mutex<String>>,
    _folder: Option<tempfile::TempDir>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    /// 0 is none.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is our own child and not waited for yet.
        unsafe { libc::kill(self.child.id() as i32, signal) };
    }

    /// Lets it stand still; back once the system says that it does.
    pub fn still(&self, on: bool) {
        self.signal(if on { libc::SIGSTOP } else { libc::SIGCONT });
        until("it stands still", || (self.state() == "T") == on);
    }

    fn state(&self) -> String {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        stat.rsplit(") ").next().unwrap()[..1].to_string()
    }

    /// How it ended, and how long that took from now.
    pub fn ended(&mut self) -> (Option<i32>, Duration) {
        let from = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return (status.code(), from.elapsed());
            }
            assert!(from.elapsed() < LONG, "it goes on");
            std::thread::sleep(ms(2));
        }
    }

    pub fn log(&self) -> String {
        self.told.lock().unwrap().clone()
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
        // SAFETY: setrlimit may be called between fork and exec, and its argument lives as long as the command.
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
        let told = Arc::new(Mutex::new(String::new()));
        let (to, lines) = (told.clone(), BufReader::new(child.stderr.take().unwrap()));
        std::thread::spawn(move || {
            lines.lines().map_while(Result::ok).for_each(|l| {
                let mut told = to.lock().unwrap();
                told.push_str(&l);
                told.push('\n');
            })
        });
        Gateway {
            child,
            at,
            told,
            _folder: folder,
        }
    }
}

/// Sockets of one test: the side that the gateway does not play.
pub struct Side {
    stream: TcpStream,
    got: Vec<u8>,
    over: bool,
    /// By a reset.
    broke: bool,
}

impl Side {
    pub fn new(stream: TcpStream) -> Side {
        stream.set_nodelay(true).unwrap();
        Side {
            stream,
            got: Vec::new(),
            over: false,
            broke: false,
        }
    }

    pub fn connect(at: SocketAddr) -> Side {
        let end = Instant::now() + LONG;
        loop {
            match TcpStream::connect(at) {
                Ok(stream) => return Side::new(stream),
                Err(e) => assert!(Instant::now() < end, "{at}: {e}"),
            }
            std::thread::sleep(ms(5));
        }
    }

    /// What the other side has ended already goes nowhere.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        let _ = self.stream.write_all(bytes.as_ref());
    }

    /// Where it connects from.
    pub fn address(&self) -> SocketAddr {
        self.stream.local_addr().unwrap()
    }

    /// Its half is over; it may still read.
    pub fn fin(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Ends by a reset, whatever lies unread.
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

    /// Takes in no more than so many bytes, or twice that, that are not read.
    pub fn narrow(&self, bytes: i32) {
        self.option(libc::SO_RCVBUF, &bytes);
    }

    /// All that comes up to the other side's end, while it goes on saying something for as long as it can.
    pub fn all(&mut self, mut says: impl FnMut(&mut Side)) -> String {
        let end = Instant::now() + LONG;
        while !self.over && Instant::now() < end {
            self.read(ms(10));
            if !self.over {
                says(self);
            }
        }
        String::from_utf8_lossy(&self.got).to_string()
    }

    pub fn is_over(&self) -> bool {
        self.over
    }

    /// Its stream, to be written to from elsewhere.
    pub fn writer(&self) -> TcpStream {
        self.stream.try_clone().unwrap()
    }

    pub fn was_reset(&self) -> bool {
        self.broke
    }

    /// Reads what comes within that time, once; false where nothing came.
    fn read(&mut self, within: Duration) -> bool {
        if self.over || within.is_zero() {
            return false;
        }
        self.stream.set_read_timeout(Some(within)).unwrap();
        let mut chunk = [0; 65536];
        match self.stream.read(&mut chunk) {
            Ok(0) => self.over = true,
            Ok(n) => self.got.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => (self.over, self.broke) = (true, true),
        }
        !self.over
    }

    /// The next message that `cut` finds at the start of what was read, within a time.
    pub fn next<T>(
        &mut self,
        within: Duration,
        cut: impl Fn(&[u8]) -> Option<(T, usize)>,
    ) -> Option<T> {
        let end = Instant::now() + within;
        loop {
            if let Some((found, len)) = cut(&self.got) {
                self.got.drain(..len);
                return Some(found);
            }
            if Instant::now() >= end || self.over {
                return None;
            }
            self.read(end - Instant::now());
        }
    }

    /// Whether the other side ended it within that time.
    pub fn ends(&mut self, within: Duration) -> bool {
        let end = Instant::now() + within;
        while !self.over && Instant::now() < end {
            self.read(end - Instant::now());
        }
        self.over
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

/// Its connections take in no more than a few kilobytes that are not read.
pub fn narrow(listener: &TcpListener) {
    option(listener, libc::SO_RCVBUF, &4096_i32);
}

/// Takes the next connection that comes within that time.
pub fn accept(listener: &TcpListener, within: Duration) -> Option<Side> {
    listener.set_nonblocking(true).unwrap();
    let end = Instant::now() + within;
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return Some(Side::new(stream));
        }
        if Instant::now() >= end {
            return None;
        }
        std::thread::sleep(ms(1));
    }
}

/// Bytes that the system holds on the way to a worker: sent and not taken, and taken and not read (`/proc/net/tcp`).
pub fn on_its_way(worker: &TcpListener) -> usize {
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
    // Local and remote place, state (01 stands), both queues.
    rows.filter(|r| r[3] == "01")
        .map(|r| {
            let (unsent, unread) = r[4].split_once(':').unwrap();
            hex(unsent) * usize::from(r[2] == place) + hex(unread) * usize::from(r[1] == place)
        })
        .sum()
}

/// Whether anything that this client sent or ended lies at the gateway's side of its connection, unread (`/proc/net/tcp`): bytes,
/// an end, or no connection any more. A busy machine's system delivers it some milliseconds after the call that sends it.
pub fn has_arrived(gateway: SocketAddr, client: SocketAddr) -> bool {
    let place = |port: u16| format!(":{port:04X}");
    let (own, other) = (place(gateway.port()), place(client.port()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().skip(1).map(|l| l.split_whitespace());
    // Local and remote place, state (01 stands), both queues.
    let stands = rows
        .map(|row| row.collect::<Vec<_>>())
        .find(|row| row[1].ends_with(&own) && row[2].ends_with(&other) && row[3] == "01");
    stands.is_none_or(|row| !row[4].ends_with(":00000000"))
}

/// Connections to a worker that stand as far as the connecting side's system knows (`/proc/net/tcp`): one whose end has arrived
/// there does not.
pub fn standing(worker: &TcpListener) -> usize {
    let port = format!(":{:04X}", worker.local_addr().unwrap().port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().skip(1).map(|l| l.split_whitespace());
    rows.filter(|row| {
        let row: Vec<&str> = row.clone().collect();
        // Remote place, state (01 stands).
        row[2].ends_with(&port) && row[3] == "01"
    })
    .count()
}

/// A listener whose backlog is full: what connects waits until places are made, one for each that is dropped.
pub fn filled(at: &TcpListener) -> Vec<TcpStream> {
    // SAFETY: the descriptor is open; listening again sets its backlog anew.
    assert_eq!(unsafe { libc::listen(at.as_raw_fd(), 0) }, 0);
    let to = at.local_addr().unwrap();
    let mut fillers = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&to, ms(100)) {
        fillers.push(stream);
        assert!(fillers.len() < 64, "the backlog has no end");
    }
    fillers
}

// The platform's words.

/// A worker's line and what lies behind it.
fn line(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(2).position(|w| w == b"\r\n")?;
    let line = String::from_utf8(bytes[..end].to_vec()).unwrap();
    let mut len = end + 2;
    if line.starts_with("go ") {
        len += line.rsplit(' ').next().unwrap().parse::<usize>().unwrap() + 2;
        bytes.get(..len)?;
    }
    Some((line, len))
}

impl Side {
    /// The next line of a worker's connection.
    pub fn line(&mut self, within: Duration) -> Option<String> {
        self.next(within, line)
    }

    /// The next launch: its trace.
    pub fn go(&mut self, within: Duration) -> Option<String> {
        let end = Instant::now() + within;
        loop {
            let line = self.line(end.saturating_duration_since(Instant::now()))?;
            if let Some(rest) = line.strip_prefix("go ") {
                return Some(rest.split(' ').next().unwrap().to_string());
            }
        }
    }

    pub fn halted(&mut self, trace: &str, within: Duration) -> bool {
        let end = Instant::now() + within;
        while let Some(line) = self.line(end.saturating_duration_since(Instant::now())) {
            if line == format!("halt {trace}") {
                return true;
            }
        }
        false
    }

    pub fn says(&mut self, trace: &str, word: &str) {
        self.send(format!("{trace} {word} res=hit 3\r\nyes\r\n"));
    }

    /// The next answer to a client: tag and word.
    pub fn answer(&mut self, within: Duration) -> Option<(u64, String)> {
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

/// A call whose trace is its tag's.
pub fn call(tag: u64, typ: &str, patience: u64) -> String {
    call_of(tag, typ, patience, "7f3a9c21e0b4d655", "body")
}

pub fn call_of(tag: u64, typ: &str, patience: u64, function: &str, body: &str) -> String {
    let fields = format!(
        "trace={tag:016x},patience={patience},nonce=n{tag},entity={function},extras=lanes:1000"
    );
    command(&["CALL", &tag.to_string(), typ, &fields, body])
}

pub fn cancel(tag: u64) -> String {
    command(&["CANCEL", &tag.to_string()])
}

/// Hosts as a list tells them, the first one as s-0; `state` for all of them.
pub fn hosts(first: usize, at: &[SocketAddr], state: &str) -> String {
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

/// One numbered change of the list.
pub fn notice(rev: u64, hosts: &str, full: bool) -> String {
    format!("{{\"rev\":{rev},\"pool\":{{\"version\":1,\"full\":{full},\"servers\":[{hosts}]}}}}")
}

/// What a board says.
pub fn board_says(rev: u64, notices: &[String]) -> String {
    let body = format!("{{\"rev\":{rev},\"notices\":[{}]}}", notices.join(","));
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Side {
    /// The next poll's `watch`.
    pub fn poll(&mut self, within: Duration) -> Option<u64> {
        self.poll_request(within).map(|(watch, _)| watch)
    }

    /// The next poll's `watch`, and how long the answer may stay away in milliseconds.
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

/// Connections cost something, so that launches share one. Types: "check" redeliverable, "record" keyed in a zone within 600 ms, "issue" at-most-once; max ages of 2 s.
pub const SETTINGS: &str = r#"{"me":0,"siblings":1,"tick-ms":1.0,"zones":["z"],"kinds":["k"],"discovery":"pushed",
 "allowed":{"connect-timeout-ms":250.0,"keepalive-ms":30000.0,"max-attempts":3,"most-held":200,"streams-per-conn":32,
  "cancel":true,"may-duplicate":true,"retry-after":true,"max-retry-after-ms":500.0,"probes":false},
 "deductions":{"connection":0.01},"rules":{"drain-grace-ms":2000.0},"reporting":{"how":"none","names":[]},
 "classes":[{"name":"check","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"read_like"},
  {"name":"record","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"idempotency_key","group":"zone","window-ms":600.0},
  {"name":"issue","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"non_idempotent"}],
 "extra":{"orders":false,"order-timeout-ms":4000.0,"if-cold":"load","stays-loaded-ms":60000.0,"load-window-ms":0}}"#;

/// A gateway on the platform with a board and workers that the test holds in its hands.
pub struct Platform {
    pub gateway: Gateway,
    pub board: TcpListener,
    pub workers: Vec<TcpListener>,
}

/// With so many workers, these settings, and so many descriptors.
pub fn platform_with(last: u8, workers: usize, settings: &str, sockets: u64) -> Platform {
    let (board, workers) = (
        free(last),
        (0..workers).map(|_| free(last)).collect::<Vec<_>>(),
    );
    let at = address(last);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let all: Vec<SocketAddr> = workers.iter().map(|w| w.local_addr().unwrap()).collect();
    std::fs::write(
        &file,
        config(
            at,
            board.local_addr().unwrap(),
            &hosts(0, &all, "up"),
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

pub fn platform(last: u8, workers: usize) -> Platform {
    platform_with(last, workers, SETTINGS, 256)
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
    pub fn client(&self) -> Side {
        Side::connect(self.gateway.at)
    }

    /// A call, and the connection to a worker on which its launch came.
    pub fn launched(&self, client: &mut Side, tag: u64, typ: &str) -> Side {
        client.send(call(tag, typ, 2000));
        let mut link = None;
        until("it connects to a worker", || {
            link = self.workers.iter().find_map(|w| accept(w, ms(1)));
            link.is_some()
        });
        let mut link = link.expect("it is some");
        let went = link.go(LONG);
        assert_eq!(went, Some(format!("{tag:016x}")), "{}", self.gateway.log());
        link
    }

    /// The file tells another board from now on.
    pub fn moved(&self, board: &TcpListener) {
        let all: Vec<SocketAddr> = self
            .workers
            .iter()
            .map(|w| w.local_addr().unwrap())
            .collect();
        let text = config(
            self.gateway.at,
            board.local_addr().unwrap(),
            &hosts(0, &all, "up"),
            SETTINGS,
            256,
        );
        let folder = self.gateway._folder.as_ref().expect("it has its own");
        std::fs::write(folder.path().join("config.json"), text).unwrap();
        self.gateway.signal(libc::SIGHUP);
    }
}

/// Starts a native gateway with these settings; ADDRESS and LIST stand for where it listens and keeps its list.
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

// The native words.

/// One hall, "check" redeliverable, "issue" at-most-once; a launch, two connections at most, no loads.
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

/// A native gateway with a roster that told its workers, and workers that the test holds in its hands.
pub struct Native {
    pub gateway: Gateway,
    pub workers: Vec<TcpListener>,
    _roster: Side,
}

fn framed(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    wire::frame(bytes)
        .unwrap()
        .map(|(body, len)| (body.to_vec(), len))
}

impl Side {
    /// The next frame's kind and body.
    pub fn frame(&mut self, within: Duration) -> Option<(u64, Vec<u8>)> {
        let body = self.next(within, framed)?;
        let kind = Fields::read(&body).unwrap().kind().unwrap();
        Some((kind, body))
    }

    pub fn say(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        let mut out = Vec::new();
        write(&mut out);
        self.send(out);
    }

    /// The next launch within that time: its id and event.
    pub fn launch(&mut self, within: Duration) -> Option<(u64, u64)> {
        let end = Instant::now() + within;
        loop {
            let (kind, body) = self.frame(end.saturating_duration_since(Instant::now()))?;
            if kind == kind::LAUNCH {
                let f = Fields::read(&body).unwrap();
                return Some((f.whole(Field::Id).unwrap(), f.whole(Field::Event).unwrap()));
            }
        }
    }

    pub fn cancelled(&mut self, id: u64, within: Duration) -> bool {
        let end = Instant::now() + within;
        while let Some((kind, body)) = self.frame(end.saturating_duration_since(Instant::now())) {
            if kind == kind::CANCEL && Fields::read(&body).unwrap().whole(Field::Id) == Ok(id) {
                return true;
            }
        }
        false
    }

    /// A launch's end.
    pub fn over(&mut self, id: u64, outcome: &str) {
        self.say(|out| {
            Frame::new(out, kind::END)
                .whole(Field::Id, id)
                .text(Field::Outcome, outcome)
                .end();
        });
    }

    /// The next answer to a client: its event and word.
    pub fn told(&mut self, within: Duration) -> Option<(u64, String)> {
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

/// An event as a client sends it.
pub fn event(id: u64, typ: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let f = Frame::new(&mut out, kind::EVENT)
        .whole(Field::Id, id)
        .text(Field::Type, typ);
    f.text(Field::Function, "f")
        .whole(Field::Lanes, 1000)
        .whole(Field::Left, 20_000)
        .end();
    out
}

pub fn withdrawn(id: u64) -> Vec<u8> {
    let mut out = Vec::new();
    Frame::new(&mut out, kind::LEAVE).whole(Field::Id, id).end();
    out
}

pub fn native(last: u8, workers: usize, cancels: bool) -> Native {
    let (roster, workers) = (
        free(last),
        (0..workers).map(|_| free(last)).collect::<Vec<_>>(),
    );
    let settings = SITE.replace("ROSTER", &roster.local_addr().unwrap().to_string());
    let gateway = native_process(
        address(last),
        &settings.replace("CANCEL", &cancels.to_string()),
    );
    let mut told = accept(&roster, LONG).expect("it asks for its list");
    told.frame(LONG).expect("its hello");
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
    told.say(|out| wire::hello(out, "roster", "r", 1));
    told.say(|out| {
        Frame::new(out, kind::ROSTER)
            .text(Field::Scope, "whole")
            .entries(&list)
            .end()
    });
    Native {
        gateway,
        workers,
        _roster: told,
    }
}

impl Native {
    /// A client that was greeted.
    pub fn client(&self) -> Side {
        let mut client = Side::connect(self.gateway.at);
        client.say(|out| wire::hello(out, "client", "c", 1));
        assert_eq!(client.frame(LONG).map(|f| f.0), Some(kind::HELLO));
        client
    }

    /// A worker's connection, greeted both ways.
    pub fn link(&self, wk: usize) -> Side {
        let mut link = accept(&self.workers[wk], LONG).expect("it connects to its worker");
        self.greet(&mut link, wk);
        link
    }

    pub fn greet(&self, link: &mut Side, wk: usize) {
        assert_eq!(link.frame(LONG).map(|f| f.0), Some(kind::HELLO));
        link.say(|out| wire::hello(out, "worker", &format!("w{wk}"), 0));
    }

    /// An event, and the connection of the only worker with its launch's id.
    pub fn launched(&self, client: &mut Side, id: u64, typ: &str) -> (Side, u64) {
        client.send(event(id, typ));
        let mut link = self.link(0);
        let launch = link.launch(LONG).expect("its launch");
        assert_eq!(launch.1, id);
        (link, launch.0)
    }
}
