//! Measures one gateway process on loopback: rates, added latency, CPU and memory, each beside a bare forwarder
//! that copies the same bytes and a client that talks straight to the worker. Run it from the root after
//! `cargo build --release`:  target/release/tidewall-benchmarks
mod forward;
mod pair;
mod peers;
mod terminals;

use hdrhistogram::Histogram;
use peers::{Echo, Load};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tidewall::choice::Scheduler;
use tidewall::interface::{Endpoint, EndpointState, Outcome, RequestInfo, SchedulerActions, Time};
use tidewall_net::mio;

/// Long enough for p99.9 of thousands of events a second, short enough for a coffee.
const SECONDS: u64 = 8;

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("loopback has ports")
}

/// A process of ours with its CPU and memory as the system counts them.
struct Process(Child);

impl Process {
    fn start(args: &[&str]) -> Process {
        let exe = std::env::current_exe().expect("a program knows its file");
        let own = exe.with_file_name(if args[0] == "forward" {
            "tidewall-benchmarks"
        } else {
            "tidewall"
        });
        let log = Stdio::from(std::fs::File::create("/dev/null").expect("it is there"));
        Process(
            Command::new(own)
                .args(args)
                .stderr(log)
                .spawn()
                .expect("it was built"),
        )
    }

    fn cpu(&self) -> f64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks = |i: usize| {
            fields
                .get(i)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        // utime and stime, proc(5), in hundredths of a second.
        (ticks(11) + ticks(12)) / 100.0
    }

    fn memory(&self) -> f64 {
        let statm =
            std::fs::read_to_string(format!("/proc/{}/statm", self.0.id())).unwrap_or_default();
        statm
            .split(' ')
            .nth(1)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
            * 4096.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn settings(gateway: SocketAddr, roster: SocketAddr, target: u64) -> String {
    format!(
        "gateway {{ name: \"g\" address: \"{gateway}\" zone: \"z\" seed: 7 }}\nroster {{ address: \"{roster}\" }}\n\
        zone: \"z\"\nkind {{ name: \"k\" }}\nevent_type {{ name: \"t\" target_time_ms: {target} max_age_ms: {target} \
        redelivery: REDELIVERABLE }}\nlimits {{ most_held: 30000 streams: 1000 }}\n\
        loading {{ miss: false window_ms: 0 orders: false }}\n"
    )
}

/// An echo worker (and roster of itself, `workers` times) on a thread of its own.
struct Far {
    pub roster: SocketAddr,
    pub worker: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Far {
    fn start(workers: usize, answers: bool) -> Far {
        let stop = Arc::new(AtomicBool::new(false));
        let (tell, told) = std::sync::mpsc::channel();
        let seen = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut echo = Echo::new(workers, answers, seen).expect("loopback has ports");
            tell.send((echo.roster, echo.worker))
                .expect("it is waited for");
            mio::run(&mut echo).expect("polling works");
        });
        let (roster, worker) = told.recv().expect("it starts");
        Far {
            roster,
            worker,
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for Far {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn gateway(far: &Far, target: u64) -> (Process, SocketAddr, std::path::PathBuf) {
    let at = free();
    let path = std::env::temp_dir().join(format!("tidewall-measure-{}.txtpb", at.port()));
    let mut file = std::fs::File::create(&path).expect("the temporary folder can be written");
    file.write_all(settings(at, far.roster, target).as_bytes())
        .expect("it can");
    let process = Process::start(&[
        "serve",
        "--log",
        "error",
        "--config",
        path.to_str().expect("text"),
    ]);
    std::thread::sleep(Duration::from_millis(400));
    (process, at, path)
}

fn forwarder(far: &Far) -> (Process, SocketAddr) {
    let at = free();
    let process = Process::start(&["forward", &at.to_string(), &far.worker.to_string()]);
    std::thread::sleep(Duration::from_millis(200));
    (process, at)
}

struct Measured {
    rate: f64,
    answered: f64,
    cpu: f64,
    latency: Histogram<u64>,
}

/// `rate` 0: as fast as answers come, with `window` out at a time.
fn measure(to: SocketAddr, process: Option<&Process>, rate: f64, window: usize) -> Measured {
    let load = Load::new(to, rate, window).expect("sockets are to be had");
    measured(load, process)
}

fn measured(mut load: Load, process: Option<&Process>) -> Measured {
    load.until(1.0);
    mio::run(&mut load).expect("polling works");
    load.begin();
    let (cpu, began) = (process.map_or(0.0, Process::cpu), Instant::now());
    load.until(SECONDS as f64);
    mio::run(&mut load).expect("polling works");
    let (spent, cpu) = (
        began.elapsed().as_secs_f64(),
        process.map_or(0.0, Process::cpu) - cpu,
    );
    Measured {
        rate: load.sent as f64 / spent,
        answered: load.handled as f64 / load.sent.max(1) as f64,
        cpu: cpu / load.handled.max(1) as f64 * 1e6,
        latency: load.latency,
    }
}

fn line(name: &str, m: &Measured) {
    let q = |q: f64| m.latency.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "{name:<10} {:>9.0} {:>9.4} {:>9.3} {:>9.3} {:>9.3} {:>9.2}",
        m.rate,
        m.answered,
        q(0.5),
        q(0.99),
        q(0.999),
        m.cpu
    );
}

/// The decisions alone: arrivals and ends with nothing behind them.
struct Nothing(Vec<(usize, usize)>);

impl SchedulerActions for Nothing {
    fn send_attempt(&mut self, evt: usize, wk: usize, _: Time) {
        self.0.push((evt, wk));
    }
    fn cancel_attempt(&mut self, _: usize, _: usize) {}
    fn reject(&mut self, _: usize, _: Time) {}
    fn fail(&mut self, _: usize) {}
    fn release_request(&mut self, _: usize) {}
    fn set_timer(&mut self, _: Time, _: u64) {}
    fn send_health_check(&mut self, _: usize) {}
    fn close_idle_connections(&mut self, _: usize) {}
    fn send_load_request(&mut self, _: usize, _: usize, _: u32) {}
    fn unload_instances(&mut self, _: usize, _: usize) {}
    fn forget_function(&mut self, _: usize) {}
    fn watch_endpoints(&mut self, _: bool) {}
    fn poll_endpoints(&mut self) {}
    fn send_to_peers(&mut self, _: Option<u32>, _: &[u8]) {}
    fn log_note(&mut self, _: &str) {}
}

/// Microseconds of CPU for one event in the decisions, at a pace of `rate` a second.
fn module(workers: usize, rate: u64) -> f64 {
    let text = settings(free(), free(), 1000);
    let s = tidewall_config::settings("measure", &text).expect("they are good");
    let map = tidewall_config::scheduler_settings(&s, 0);
    let mut choice = Scheduler::new(Nothing(Vec::new()), 1, 7, map).expect("they are good");
    let listed = |wk: usize| {
        (
            wk,
            Endpoint {
                name_hash: wk as u64 * 0x9e37_79b9,
                state: EndpointState::Active,
                rating: 2.0,
                ..Endpoint::default()
            },
        )
    };
    choice.update_endpoints(&(0..workers).map(listed).collect::<Vec<_>>(), true);
    let (count, began) = (200_000u64, Instant::now());
    let mut swept = 0;
    for i in 0..count {
        let now = 1 + i * 10_000 / rate;
        choice.advance_clock(now);
        while swept + 100 <= now {
            swept += 100;
            choice.timer_fired(0);
        }
        let arrival = RequestInfo {
            function: 0,
            function_hash: 99,
            lanes: 1000,
            deadline: now + 10_000,
            ..RequestInfo::default()
        };
        choice.request_arrived(arrival);
        while let Some((evt, _)) = choice.host.0.pop() {
            choice.attempt_ended(evt, 0, (Outcome::Ok, 5), true, 1);
        }
    }
    began.elapsed().as_secs_f64() / count as f64 * 1e6
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    match args.get(1).map(String::as_str) {
        Some("forward") => return forward::run(&args[2], &args[3]),
        Some("amqp") => return amqp(),
        Some("idle") => return idle(),
        Some("pair") => return pair::run(args.get(2).is_some_and(|a| a == "quick")),
        Some("busiest") => return table(&[(0.0, 64), (0.0, 512)]),
        _ => {}
    }
    table(&[
        (950.0, 0),
        (5000.0, 0),
        (20_000.0, 0),
        (0.0, 64),
        (0.0, 512),
    ]);
    for (workers, rate) in [(12, 950), (12, 5000), (12, 50_000), (91, 5000)] {
        println!(
            "decisions alone, {workers} workers, {rate} a second: {:.2} us an event",
            module(workers, rate)
        );
    }
    memory();
}

fn table(rows: &[(f64, usize)]) {
    println!(
        "{SECONDS} s each, 8 connections, 200 bytes of payload, times in ms, CPU in us an event"
    );
    println!(
        "{:<10} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "", "a second", "handled", "p50", "p99", "p99.9", "CPU"
    );
    for (rate, window) in rows.iter().copied() {
        println!(
            "{}",
            if rate > 0.0 {
                format!("at {rate} a second")
            } else {
                format!("{window} out at a time")
            }
        );
        let far = Far::start(12, true);
        line("direct", &measure(far.worker, None, rate, window));
        let (process, at) = forwarder(&far);
        line("forwarder", &measure(at, Some(&process), rate, window));
        drop(process);
        let (process, at, path) = gateway(&far, 1000);
        line("gateway", &measure(at, Some(&process), rate, window));
        drop(process);
        let _ = std::fs::remove_file(path);
    }
}

/// A gateway with both doors.
fn both_doors(far: &Far) -> (Process, SocketAddr, SocketAddr, std::path::PathBuf) {
    use argon2::password_hash::{PasswordHasher, SaltString};
    let cheap = argon2::Params::new(8, 1, 1, None).expect("they are good");
    let cheap = argon2::Argon2::new(argon2::Algorithm::Argon2id, argon2::Version::V0x13, cheap);
    let salt = SaltString::encode_b64(b"0123456789abcdef").expect("it is long enough");
    let hash = cheap
        .hash_password(b"terminal", &salt)
        .expect("it hashes")
        .to_string();
    let (at, door) = (free(), free());
    let text = settings(at, far.roster, 1000)
        .replace("seed: 7", &format!("seed: 7 amqp_address: \"{door}\""))
        + &format!(
            "amqp {{ user {{ name: \"terminal\" password_hash: \"{hash}\" }} in_hand: 100000 logins: 20000 handshake_ms: 60000 queued_mb: 400 \
            function {{ name: \"f*\" lanes: 1000 }} }}\n"
        );
    let path = std::env::temp_dir().join(format!("tidewall-measure-{}.txtpb", at.port()));
    std::fs::write(&path, text).expect("the temporary folder can be written");
    let process = Process::start(&[
        "serve",
        "--log",
        "error",
        "--config",
        path.to_str().expect("text"),
    ]);
    std::thread::sleep(Duration::from_millis(400));
    (process, at, door, path)
}

/// Publishes of 1 KiB with confirms, beside native events through the same gateway.
fn amqp() {
    println!(
        "{SECONDS} s each, 8 connections, bodies of 1024 bytes, confirms, times in ms, CPU in us an event"
    );
    println!(
        "{:<10} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "", "a second", "handled", "p50", "p99", "p99.9", "CPU"
    );
    for (rate, window) in [
        (950.0, 0),
        (5000.0, 0),
        (10_000.0, 0),
        (20_000.0, 0),
        (0.0, 64),
        (0.0, 512),
    ] {
        println!(
            "{}",
            if rate > 0.0 {
                format!("at {rate} a second")
            } else {
                format!("{window} out at a time")
            }
        );
        let far = Far::start(12, true);
        let (process, at, door, path) = both_doors(&far);
        line("native", &measure(at, Some(&process), rate, window));
        let mut load =
            terminals::Terminals::new(door, 8, rate, window).expect("sockets are to be had");
        load.until(1.5);
        mio::run(&mut load).expect("polling works");
        load.begin();
        let (cpu, began) = (process.cpu(), Instant::now());
        load.until(SECONDS as f64);
        mio::run(&mut load).expect("polling works");
        let (spent, cpu) = (began.elapsed().as_secs_f64(), process.cpu() - cpu);
        let m = Measured {
            rate: load.sent as f64 / spent,
            answered: load.handled as f64 / load.sent.max(1) as f64,
            cpu: cpu / load.handled.max(1) as f64 * 1e6,
            latency: load.latency,
        };
        line("amqp", &m);
        drop(process);
        let _ = std::fs::remove_file(path);
    }
    idle();
}

/// A hundred thousand messages of 1 KiB in one queue, by a plain client.
fn queued() {
    use std::io::{Read, Write};
    use tidewall_amqp::codec::{
        decode_frame, write_content, FrameWriter, MethodId, PROTOCOL_HEADER,
    };
    let far = Far::start(1, true);
    let (process, _, door, path) = both_doors(&far);
    let empty = process.memory();
    let mut socket = std::net::TcpStream::connect(door).expect("the door is open");
    let mut out = PROTOCOL_HEADER.to_vec();
    let m = FrameWriter::method(&mut out, 0, MethodId::new(10, 11))
        .long_str(b"")
        .short_str("PLAIN");
    m.long_str(b"\0terminal\0terminal")
        .short_str("en_US")
        .finish();
    socket.write_all(&out).expect("it reads");
    // Tune comes once the password was checked.
    std::thread::sleep(Duration::from_millis(500));
    out.clear();
    FrameWriter::method(&mut out, 0, MethodId::new(10, 31))
        .short(0)
        .long(0)
        .short(0)
        .finish();
    FrameWriter::method(&mut out, 0, MethodId::new(10, 40))
        .short_str("/")
        .short_str("")
        .bit(false)
        .finish();
    FrameWriter::method(&mut out, 1, MethodId::new(20, 10))
        .short_str("")
        .finish();
    FrameWriter::method(&mut out, 1, MethodId::new(50, 10))
        .short(0)
        .short_str("q")
        .octet(0)
        .long_str(b"")
        .finish();
    socket.write_all(&out).expect("it reads");
    for _ in 0..100 {
        out.clear();
        for _ in 0..1_000 {
            FrameWriter::method(&mut out, 1, MethodId::new(60, 40))
                .short(0)
                .short_str("")
                .short_str("q")
                .octet(0)
                .finish();
            write_content(&mut out, 1, &[0, 0], &[7; 1024], 131_072);
        }
        socket.write_all(&out).expect("it reads");
    }
    // Its count is told by a passive declare.
    out.clear();
    FrameWriter::method(&mut out, 1, MethodId::new(50, 10))
        .short(0)
        .short_str("q")
        .octet(1)
        .long_str(b"")
        .finish();
    socket.write_all(&out).expect("it reads");
    socket
        .set_read_timeout(Some(Duration::from_secs(3)))
        .expect("it can be set");
    let (mut got, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(n) = socket.read(&mut chunk) {
        got.extend_from_slice(&chunk[..n]);
        if n == 0 {
            break;
        }
    }
    let (mut at, mut count) = (0, 0);
    while let Ok(Some((f, used))) = decode_frame(&got[at..], 131_072) {
        if f.payload.starts_with(&[0, 50, 0, 11]) {
            count = u32::from_be_bytes([f.payload[6], f.payload[7], f.payload[8], f.payload[9]]);
        }
        at += used;
    }
    let each = (process.memory() - empty) / f64::from(count.max(1));
    println!("{count} messages of 1024 octets queued: {each:.0} bytes each");
    drop(process);
    let _ = std::fs::remove_file(path);
}

/// Ten thousand terminals that log in and then say nothing.
fn idle() {
    queued();
    let far = Far::start(1, true);
    let (process, _, door, path) = both_doors(&far);
    let empty = process.memory();
    let mut load = terminals::Terminals::new(door, 10_000, 1.0, 0).expect("sockets are to be had");
    load.until(15.0);
    mio::run(&mut load).expect("polling works");
    let each = (process.memory() - empty) / 10_000.0;
    println!("10000 idle connections: {each:.0} bytes each");
    drop(process);
    let _ = std::fs::remove_file(path);
}

fn memory() {
    let far = Far::start(12, false);
    let (process, at, path) = gateway(&far, 3_600_000);
    let empty = process.memory();
    let mut load = Load::new(at, 10_000.0, 0).expect("sockets are to be had");
    load.until(2.0);
    mio::run(&mut load).expect("polling works");
    std::thread::sleep(Duration::from_millis(300));
    let held = process.memory() - empty;
    println!(
        "{} events held: {:.0} bytes each, {:.1} MiB empty",
        load.sent,
        held / load.sent as f64,
        empty / 1048576.0
    );
    drop(process);
    let _ = std::fs::remove_file(path);
    let far = Far::start(91, true);
    let (process, at, path) = gateway(&far, 1000);
    let empty = process.memory();
    let mut load = Load::new(at, 2_000.0, 0).expect("sockets are to be had");
    load.functions = 2_000;
    load.until(3.0);
    mio::run(&mut load).expect("polling works");
    let more = process.memory() - empty;
    println!(
        "91 workers and 2000 functions: {:.1} MiB more",
        more / 1048576.0
    );
    drop(process);
    let _ = std::fs::remove_file(path);
}
