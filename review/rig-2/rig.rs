//! Stand-ins for the cases of the second review: clients, hosts and a notice board on loopback, and the gateway as a
//! process of its own, started by the `run` line of deploy/balancer.toml. The standard library only.
#![allow(dead_code)]
use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit code of a case that could not run.
pub const CANNOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The record of a run: one line an event, with the time since the start in ms.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn new(path: &str) -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record")))))
    }
    pub fn now(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64() * 1e3
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now();
        let _ = writeln!(self.0 .1.lock().unwrap(), "{at:10.1} {}", text.as_ref());
    }
    /// Writes to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A free port of a loopback address.
pub fn free(last: u8) -> SocketAddr {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, last], 0))).unwrap().local_addr().unwrap()
}

// ---------------------------------------------------------------- the notice board

struct BoardState {
    notices: Vec<String>,
}

/// A notice board whose events are numbered from 1.
#[derive(Clone)]
pub struct Board {
    pub addr: SocketAddr,
    state: Arc<(Mutex<BoardState>, Condvar)>,
}

impl Board {
    /// `first` is the list of the servers as JSON objects, which is the event 1.
    pub fn start(first: &[String], record: Record) -> Board {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let notices = vec![notice(1, true, first)];
        let state = Arc::new((Mutex::new(BoardState { notices }), Condvar::new()));
        let board = Board { addr, state };
        let served = board.clone();
        thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                let (board, record) = (served.clone(), record.clone());
                thread::spawn(move || board.serve(conn, &record));
            }
        });
        board
    }

    fn serve(&self, conn: TcpStream, record: &Record) -> Option<()> {
        let _ = conn.set_nodelay(true);
        let mut out = conn.try_clone().ok()?;
        let mut lines = BufReader::new(conn);
        loop {
            let mut request = String::new();
            if lines.read_line(&mut request).ok()? == 0 {
                return None;
            }
            let mut header = String::from("x");
            while !header.trim().is_empty() {
                header.clear();
                if lines.read_line(&mut header).ok()? == 0 {
                    return None;
                }
            }
            let field = |name: &str| -> u64 {
                let at = request.find(name).map(|i| i + name.len()).unwrap_or(0);
                request[at..].chars().take_while(|c| c.is_ascii_digit()).collect::<String>().parse().unwrap_or(0)
            };
            let (watch, linger) = (field("watch=") as usize, field("linger=").min(5000));
            let until = Instant::now() + ms(linger);
            let mut state = self.state.0.lock().unwrap();
            while state.notices.len() <= watch && Instant::now() < until {
                let wait = until.saturating_duration_since(Instant::now());
                state = self.state.1.wait_timeout(state, wait).unwrap().0;
            }
            let rev = state.notices.len();
            let body = format!("{{\"rev\":{rev},\"notices\":[{}]}}", state.notices[watch.min(rev)..].join(","));
            drop(state);
            if rev > watch {
                record.line(format!("board tells events {} to {rev}", watch + 1));
            }
            write!(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
        }
    }

    /// An event with the servers that have changed.
    pub fn tell(&self, changed: &[String]) {
        let mut state = self.state.0.lock().unwrap();
        let rev = state.notices.len() + 1;
        state.notices.push(notice(rev, false, changed));
        self.state.1.notify_all();
    }

    /// All events so far, in the form of `known`.
    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        format!("{{\"rev\":{},\"notices\":[{}]}}", state.notices.len(), state.notices.join(","))
    }
}

fn notice(rev: usize, full: bool, servers: &[String]) -> String {
    format!("{{\"rev\":{rev},\"pool\":{{\"version\":{rev},\"full\":{full},\"servers\":[{}]}}}}", servers.join(","))
}

/// An entry of the list of servers.
pub fn entry(id: &str, addr: SocketAddr, zone: &str, cell: u32, state: &str, started_ms: u64) -> String {
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"kind\":\"std\",\"cell\":{cell},\"state\":\"{state}\",\"weight\":4,\"started_ms\":{started_ms}}}"
    )
}

// ---------------------------------------------------------------- hosts

/// A request as a host read it.
#[derive(Clone, Debug)]
pub struct Go {
    pub id: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Go {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// The connection that a request came on.
#[derive(Clone)]
pub struct HostConn(Arc<Mutex<TcpStream>>, Arc<AtomicBool>);

impl HostConn {
    /// Writes one answer as a whole.
    pub fn answer(&self, id: &str, word: &str, fields: &str, body: &[u8]) {
        let mut out = format!("{id} {word} {fields} {}\r\n", body.len()).into_bytes();
        out.extend_from_slice(body);
        out.extend_from_slice(b"\r\n");
        let _ = self.0.lock().unwrap().write_all(&out);
    }
    /// Ends the connection, as the end of the process does.
    pub fn end(&self) {
        self.1.store(true, Ordering::SeqCst);
        let _ = self.0.lock().unwrap().shutdown(Shutdown::Both);
    }
    pub fn is_open(&self) -> bool {
        !self.1.load(Ordering::SeqCst)
    }
}

/// What a host does with a line: `go`, `stage`, `stat` or `ping`, `halt`, `purge`.
pub trait HostLogic: Send + Sync + 'static {
    fn go(&self, conn: &HostConn, go: Go);
    fn stage(&self, conn: &HostConn, tag: &str, function: &str, copies: u32) {
        let _ = function;
        conn.answer(tag, "ok", &format!("copies={}", copies.max(1)), b"");
    }
    fn stat(&self, conn: &HostConn, tag: &str) {
        conn.answer(tag, "yes", "gauges=q:0;rif:0", b"");
    }
    fn halt(&self, _conn: &HostConn, _id: &str) {}
    fn accepted(&self, _conn: &HostConn) {}
}

fn fields_of(text: &str) -> HashMap<String, String> {
    text.split(',').filter_map(|pair| pair.split_once('=')).map(|(n, v)| (n.to_string(), v.to_string())).collect()
}

/// Listens on `addr` and speaks the hosts' protocol.
pub fn host(addr: SocketAddr, logic: Arc<dyn HostLogic>) -> SocketAddr {
    let listener = TcpListener::bind(addr).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for conn in listener.incoming().flatten() {
            let logic = logic.clone();
            thread::spawn(move || serve_host(conn, &*logic));
        }
    });
    addr
}

pub fn serve_host(conn: TcpStream, logic: &dyn HostLogic) -> Option<()> {
    let _ = conn.set_nodelay(true);
    let out = HostConn(Arc::new(Mutex::new(conn.try_clone().ok()?)), Arc::new(AtomicBool::new(false)));
    logic.accepted(&out);
    let ended = out.1.clone();
    read_commands(conn, out, logic);
    ended.store(true, Ordering::SeqCst);
    None
}

fn read_commands(conn: TcpStream, out: HostConn, logic: &dyn HostLogic) -> Option<()> {
    let mut lines = BufReader::new(conn);
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["go", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                lines.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
                logic.go(&out, Go { id: id.to_string(), fields: fields_of(fields), body });
            }
            ["stage", tag, fields] => {
                let fields = fields_of(fields);
                let copies = fields.get("copies").and_then(|c| c.parse().ok()).unwrap_or(0);
                logic.stage(&out, tag, fields.get("obj").map_or("", String::as_str), copies);
            }
            ["stat", tag] | ["ping", tag] => logic.stat(&out, tag),
            ["halt", id] => logic.halt(&out, id),
            _ => {}
        }
    }
}

// ---------------------------------------------------------------- clients

pub fn word(text: &[u8]) -> Vec<u8> {
    let mut out = format!("${}\r\n", text.len()).into_bytes();
    out.extend_from_slice(text);
    out.extend_from_slice(b"\r\n");
    out
}

pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    words.iter().for_each(|w| out.extend(word(w)));
    out
}

/// A call; `more` is appended to the fields.
pub fn call(tag: u64, class: &str, trace: u64, patience: u64, function: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let fields = format!("trace={trace:016x},patience={patience},entity={function}{more}");
    command(&[b"CALL", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body])
}

/// An answer: tag, word, fields, body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub tag: u64,
    pub word: String,
    pub fields: String,
    pub body: Vec<u8>,
}

/// Reads one answer; None at the end of the connection.
pub fn read_answer(lines: &mut impl BufRead) -> Option<Answer> {
    let mut head = String::new();
    if lines.read_line(&mut head).ok()? == 0 {
        return None;
    }
    let count: usize = head.trim_end().strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut length = String::new();
        lines.read_line(&mut length).ok()?;
        let mut text = vec![0; length.trim_end().strip_prefix('$')?.parse::<usize>().ok()? + 2];
        lines.read_exact(&mut text).ok()?;
        text.truncate(text.len() - 2);
        words.push(text);
    }
    let text = |i: usize| words.get(i).map(|w| String::from_utf8_lossy(w).to_string()).unwrap_or_default();
    Some(Answer { tag: text(0).parse().ok()?, word: text(1), fields: text(2), body: words.get(3).cloned().unwrap_or_default() })
}

/// Connects and asks `CHECK` until the gateway answers `UP`.
pub fn wait_ready(addr: SocketAddr, within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if let Ok(mut conn) = TcpStream::connect(addr) {
            let _ = conn.set_read_timeout(Some(ms(1000)));
            let _ = conn.write_all(&command(&[b"CHECK", b"1", b""]));
            let mut lines = BufReader::new(conn);
            if read_answer(&mut lines).is_some_and(|a| a.word == "UP") {
                return true;
            }
        }
        thread::sleep(ms(20));
    }
    false
}

// ---------------------------------------------------------------- the gateway

pub struct Gateway {
    pub child: Child,
    pub listen: SocketAddr,
    folder: PathBuf,
}

/// The `run` line of the deploy file.
fn run_line(root: &str) -> String {
    let text = std::fs::read_to_string(format!("{root}/deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find(|l| l.starts_with("run")).expect("run line");
    line.split('"').nth(1).expect("quoted").to_string()
}

/// A configuration; `settings` is the JSON object of the settings.
pub fn config(listen: SocketAddr, board: &Board, memory_mb: u64, sockets: u64, settings: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\"peer_listen\":\"127.0.0.1:1\",\"peers\":[],\"peers_all\":\"127.0.0.1:1\",\"board\":\"{}\",\"known\":{},\"settings\":{settings}}}",
        board.addr,
        board.known()
    )
}

impl Gateway {
    /// Starts the gateway with this configuration, from the root of the project. `sockets` is the limit of its file
    /// descriptors, as the platform sets it.
    pub fn start(config: &str, listen: SocketAddr, sockets: u64, name: &str) -> Gateway {
        let folder = PathBuf::from(std::env::var("WORK").expect("WORK")).join(name);
        let _ = std::fs::create_dir_all(&folder);
        let log = File::options().create(true).append(true).open(folder.join("log.txt")).expect("log");
        Gateway::start_with_log(config, listen, sockets, name, (log.try_clone().unwrap().into(), log.into()))
    }

    /// Starts the gateway with these ends for its standard output and error.
    pub fn start_with_log(config: &str, listen: SocketAddr, sockets: u64, name: &str, (out, err): (Stdio, Stdio)) -> Gateway {
        let root = std::env::var("ROOT").expect("ROOT");
        let folder = PathBuf::from(std::env::var("WORK").expect("WORK")).join(name);
        let _ = std::fs::create_dir_all(folder.join("tmp"));
        let file = folder.join("config.json");
        std::fs::write(&file, config).expect("config");
        let mut command = Command::new("/bin/sh");
        // SAFETY: prctl is a plain system call. The gateway ends with the case, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .arg("-c")
            .arg(format!("ulimit -n {sockets} && {}", run_line(&root)))
            .current_dir(&root)
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_CONFIG", &file)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .expect("gateway");
        Gateway { child, listen, folder }
    }
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }
    /// Resident memory without the pages of files, in kB; None once the process has ended.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| -> Option<u64> {
            status.lines().find_map(|l| l.strip_prefix(name))?.trim().strip_suffix(" kB")?.trim().parse().ok()
        };
        field("RssAnon:")
    }
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end();
    }
}

/// The settings of a small deployment. `classes` are JSON objects; `extra` replaces named parts of the text.
pub fn settings(classes: &[String], zones: &str, replaced: &[(&str, &str)]) -> String {
    let mut text = format!(
        r#"{{"me":0,"siblings":3,"tick-ms":1.0,"zones":[{zones}],"kinds":["std"],"locality":"hall-a","discovery":"pushed","workload":"warm",
"weights":"nominal","counted-by":"work","stage":0,"stages":["workers"],"over-share-worth":0.1,"tenants":[],"clients":{{"marks-retry":false}},
"allowed":{{"cancel":true,"connect-timeout-ms":250.0,"cpu-us-per-request":0.0,"cpu-us-per-s":400000,"keepalive-ms":30000.0,"max-attempts":3,
"max-retry-after-ms":500.0,"may-duplicate":true,"most-held":20000,"peers":false,"probes":true,"retry-after":true,"streams-per-conn":32}},
"rules":{{"drain-grace-ms":2000.0,"cold-from":0.18,"cold-ms":17000.0,"overload-for-ms":1500.0,"tip-multiple":2.5,"grace-to-answer-ms":8.0,"ask-within-ms":10000.0}},
"reporting":{{"how":"probe","names":["q","rif","x1"]}},"classes":[{}],
"deductions":{{"connection":0.0,"cross-zone":0.052,"discovery":0.0,"handshake":0.0,"late-fail":0.03,"moves":0.0,"origin":0.03,"peer":0.014,"probe":0.0074,"waste":0.03}},
"goal":{{"whole":0.35,"worst-class":0.2,"worst-tenant":0.1,"worst-window":0.35}},
"extra":{{"orders":true,"order-timeout-ms":10000.0,"if-cold":"miss","stays-loaded-ms":8500.0,"load-window-ms":10000.0,"free-loads":4.0,"load-share":0.2,
"idle-price":0.1,"memory-mb-by-kind":[71744.0],"report-x0":"","report-x1":"loads_under_way_or_waiting","says-company":true,"tells-warm":true}}}}"#,
        classes.join(",")
    );
    for (old, new) in replaced {
        assert!(text.contains(old), "no such part of the settings: {old}");
        text = text.replace(old, new);
    }
    text.replace('\n', "")
}

/// A class of requests for [`settings`].
pub fn class(name: &str, aim: u64, deadline: u64, semantics: &str, group: &str, window: u64) -> String {
    format!(
        r#"{{"name":"{name}","aim-ms":{aim}.0,"deadline-ms":{deadline}.0,"worth":2.0,"late-worth":0.1,"semantics":"{semantics}","group":"{group}","streaming":false,"window-ms":{window}.0}}"#
    )
}

/// Runs a case: it returns whether the rule held. Ends the process with 0, 1 or 2.
pub fn run_case(case: impl FnOnce(&Record) -> Option<bool> + std::panic::UnwindSafe) -> ! {
    let record = Record::new(&std::env::args().nth(1).expect("path of the record"));
    // The processes that a case starts end with it.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        eprintln!("the case took too long");
        std::process::exit(CANNOT_RUN);
    });
    record.line(format!("trouble={}", trouble()));
    let code = match std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&record))) {
        Ok(Some(true)) => 0,
        Ok(Some(false)) => 1,
        _ => CANNOT_RUN,
    };
    record.say(format!("exit {code}"));
    std::process::exit(code)
}

/// Whether the case plays its disruption: false with TROUBLE=0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}
