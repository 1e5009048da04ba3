//! Measures one gateway process on loopback: rate, added latency, CPU time and memory. Rates, latency and CPU
//! time are compared with a bare forwarder that copies the same bytes, and with a client that is connected
//! directly to the worker. Run it from the root after `cargo build --release`:
//! target/release/tidewall-measure
mod forward;
mod pair;
mod peers;
mod terminals;

use hdrhistogram::Histogram;
use peers::{EchoWorker, NativeClients};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tidewall::choice::Scheduler;
use tidewall::interface::{Endpoint, EndpointState, Outcome, RequestInfo, SchedulerActions, Time};
use tidewall_net::mio;

/// The duration of one measurement: long enough for p99.9 at thousands of requests per second, short enough
/// to wait for.
const SECONDS: u64 = 8;

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("loopback has ports")
}

/// A child process, with its CPU time and memory as the system counts them.
struct Process(Child);

impl Process {
    fn start(args: &[&str]) -> Process {
        let exe = std::env::current_exe().expect("a program knows its file");
        let own = exe.with_file_name(if args[0] == "forward" {
            "tidewall-measure"
        } else {
            "tidewall"
        });
        let log = Stdio::from(std::fs::File::create("/dev/null").expect("/dev/null can be opened"));
        Process(
            Command::new(own)
                .args(args)
                .stderr(log)
                .spawn()
                .expect("the program was built"),
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
        // utime and stime of proc(5), in clock ticks of 10 ms.
        (ticks(11) + ticks(12)) / 100.0
    }

    fn resident_bytes(&self) -> f64 {
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

fn settings(gateway: SocketAddr, discovery_address: SocketAddr, target_ms: u64) -> String {
    format!(
        "gateway {{ name: \"g\" address: \"{gateway}\" zone: \"z\" seed: 7 }}\nroster {{ address: \"{discovery_address}\" }}\n\
        zone: \"z\"\nkind {{ name: \"k\" }}\nevent_type {{ name: \"t\" target_time_ms: {target_ms} max_age_ms: {target_ms} \
        redelivery: REDELIVERABLE }}\nlimits {{ most_held: 30000 streams: 1000 }}\n\
        loading {{ miss: false window_ms: 0 orders: false }}\n"
    )
}

/// An echo worker on a thread of its own, and a discovery server that lists it `workers` times.
struct Backend {
    pub discovery_address: SocketAddr,
    pub worker_address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Backend {
    fn start(workers: usize, answers: bool) -> Backend {
        let stop = Arc::new(AtomicBool::new(false));
        let (sender, addresses) = std::sync::mpsc::channel();
        let stop_seen = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut echo =
                EchoWorker::new(workers, answers, stop_seen).expect("loopback has ports");
            sender
                .send((echo.discovery_address, echo.worker_address))
                .expect("the starting thread waits for the addresses");
            mio::run(&mut echo).expect("the event loop runs");
        });
        let (discovery_address, worker_address) = addresses.recv().expect("the echo worker starts");
        Backend {
            discovery_address,
            worker_address,
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn gateway(backend: &Backend, target_ms: u64) -> (Process, SocketAddr, std::path::PathBuf) {
    let at = free_address();
    let path = std::env::temp_dir().join(format!("tidewall-measure-{}.txtpb", at.port()));
    let mut file = std::fs::File::create(&path).expect("the temporary folder can be written");
    file.write_all(settings(at, backend.discovery_address, target_ms).as_bytes())
        .expect("the temporary folder can be written");
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

fn forwarder(backend: &Backend) -> (Process, SocketAddr) {
    let at = free_address();
    let process = Process::start(&[
        "forward",
        &at.to_string(),
        &backend.worker_address.to_string(),
    ]);
    std::thread::sleep(Duration::from_millis(200));
    (process, at)
}

struct Measurement {
    rate: f64,
    answered: f64,
    cpu: f64,
    latency: Histogram<u64>,
}

/// Measures native clients at `rate` requests per second; with rate 0 as fast as answers arrive, with
/// `window` open requests.
fn measure_native(
    to: SocketAddr,
    process: Option<&Process>,
    rate: f64,
    window: usize,
) -> Measurement {
    let load = NativeClients::new(to, rate, window).expect("sockets are available");
    run_measurement(load, process)
}

fn run_measurement(mut load: NativeClients, process: Option<&Process>) -> Measurement {
    load.run_for(1.0);
    mio::run(&mut load).expect("the event loop runs");
    load.start_counting();
    let (cpu, started_at) = (process.map_or(0.0, Process::cpu), Instant::now());
    load.run_for(SECONDS as f64);
    mio::run(&mut load).expect("the event loop runs");
    let (spent, cpu) = (
        started_at.elapsed().as_secs_f64(),
        process.map_or(0.0, Process::cpu) - cpu,
    );
    Measurement {
        rate: load.sent as f64 / spent,
        answered: load.handled as f64 / load.sent.max(1) as f64,
        cpu: cpu / load.handled.max(1) as f64 * 1e6,
        latency: load.latency,
    }
}

fn print_row(name: &str, m: &Measurement) {
    let quantile_ms = |quantile: f64| m.latency.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{name:<10} {:>9.0} {:>9.4} {:>9.3} {:>9.3} {:>9.3} {:>9.2}",
        m.rate,
        m.answered,
        quantile_ms(0.5),
        quantile_ms(0.99),
        quantile_ms(0.999),
        m.cpu
    );
}

/// Scheduler actions without effect: records the attempts that the scheduler sends as (request, worker).
struct RecordedAttempts(Vec<(usize, usize)>);

impl SchedulerActions for RecordedAttempts {
    fn send_attempt(&mut self, request: usize, worker: usize, _: Time) {
        self.0.push((request, worker));
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

/// The time that the scheduler alone needs per request, in microseconds, at `rate` simulated requests per
/// second.
fn scheduler_time_us(workers: usize, rate: u64) -> f64 {
    let text = settings(free_address(), free_address(), 1000);
    let parsed = tidewall_config::settings("measure", &text).expect("the settings are valid");
    let scheduler_settings = tidewall_config::scheduler_settings(&parsed, 0);
    let mut scheduler = Scheduler::new(RecordedAttempts(Vec::new()), 1, 7, scheduler_settings)
        .expect("the settings are valid");
    let endpoint_of = |worker: usize| {
        (
            worker,
            Endpoint {
                name_hash: worker as u64 * 0x9e37_79b9,
                state: EndpointState::Active,
                rating: 2.0,
                ..Endpoint::default()
            },
        )
    };
    scheduler.update_endpoints(&(0..workers).map(endpoint_of).collect::<Vec<_>>(), true);
    let (count, started_at) = (200_000u64, Instant::now());
    let mut last_tick = 0;
    for i in 0..count {
        let now = 1 + i * 10_000 / rate;
        scheduler.advance_clock(now);
        while last_tick + 100 <= now {
            last_tick += 100;
            scheduler.timer_fired(0);
        }
        let arrival = RequestInfo {
            function: 0,
            function_hash: 99,
            lanes: 1000,
            deadline: now + 10_000,
            ..RequestInfo::default()
        };
        scheduler.request_arrived(arrival);
        while let Some((request, _)) = scheduler.host.0.pop() {
            scheduler.attempt_ended(request, 0, (Outcome::Ok, 5), true, 1);
        }
    }
    started_at.elapsed().as_secs_f64() / count as f64 * 1e6
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    match args.get(1).map(String::as_str) {
        Some("forward") => return forward::run(&args[2], &args[3]),
        Some("amqp") => return measure_amqp(),
        Some("idle") => return idle_connection_memory(),
        Some("pair") => return pair::run(args.get(2).is_some_and(|a| a == "quick")),
        Some("busiest") => return print_table(&[(0.0, 64), (0.0, 512)]),
        _ => {}
    }
    print_table(&[
        (950.0, 0),
        (5000.0, 0),
        (20_000.0, 0),
        (0.0, 64),
        (0.0, 512),
    ]);
    for (workers, rate) in [(12, 950), (12, 5000), (12, 50_000), (91, 5000)] {
        println!(
            "decisions alone, {workers} workers, {rate} a second: {:.2} us an event",
            scheduler_time_us(workers, rate)
        );
    }
    request_memory();
}

fn print_table(rows: &[(f64, usize)]) {
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
        let backend = Backend::start(12, true);
        print_row(
            "direct",
            &measure_native(backend.worker_address, None, rate, window),
        );
        let (process, at) = forwarder(&backend);
        print_row(
            "forwarder",
            &measure_native(at, Some(&process), rate, window),
        );
        drop(process);
        let (process, at, path) = gateway(&backend, 1000);
        print_row("gateway", &measure_native(at, Some(&process), rate, window));
        drop(process);
        let _ = std::fs::remove_file(path);
    }
}

/// Starts a gateway with the native and the AMQP ingress.
fn gateway_with_amqp(backend: &Backend) -> (Process, SocketAddr, SocketAddr, std::path::PathBuf) {
    use argon2::password_hash::{PasswordHasher, SaltString};
    let fast_argon2 = argon2::Params::new(8, 1, 1, None).expect("the parameters are valid");
    let fast_argon2 = argon2::Argon2::new(
        argon2::Algorithm::Argon2id,
        argon2::Version::V0x13,
        fast_argon2,
    );
    let salt = SaltString::encode_b64(b"0123456789abcdef").expect("the salt is long enough");
    let hash = fast_argon2
        .hash_password(b"terminal", &salt)
        .expect("the password can be hashed")
        .to_string();
    let (at, amqp_address) = (free_address(), free_address());
    let text = settings(at, backend.discovery_address, 1000)
        .replace("seed: 7", &format!("seed: 7 amqp_address: \"{amqp_address}\""))
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
    (process, at, amqp_address, path)
}

/// Measures AMQP publishes of 1 KiB with confirms, compared with native requests through the same gateway.
fn measure_amqp() {
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
        let backend = Backend::start(12, true);
        let (process, at, amqp_address, path) = gateway_with_amqp(&backend);
        print_row("native", &measure_native(at, Some(&process), rate, window));
        let mut load = terminals::AmqpClients::new(amqp_address, 8, rate, window)
            .expect("sockets are available");
        load.run_for(1.5);
        mio::run(&mut load).expect("the event loop runs");
        load.start_counting();
        let (cpu, started_at) = (process.cpu(), Instant::now());
        load.run_for(SECONDS as f64);
        mio::run(&mut load).expect("the event loop runs");
        let (spent, cpu) = (started_at.elapsed().as_secs_f64(), process.cpu() - cpu);
        let m = Measurement {
            rate: load.sent as f64 / spent,
            answered: load.handled as f64 / load.sent.max(1) as f64,
            cpu: cpu / load.handled.max(1) as f64 * 1e6,
            latency: load.latency,
        };
        print_row("amqp", &m);
        drop(process);
        let _ = std::fs::remove_file(path);
    }
    idle_connection_memory();
}

/// Measures the memory of 100,000 messages of 1 KiB in one queue, published by a plain client.
fn queue_memory() {
    use std::io::{Read, Write};
    use tidewall_amqp::codec::{
        decode_frame, write_content, FrameWriter, MethodId, PROTOCOL_HEADER,
    };
    let backend = Backend::start(1, true);
    let (process, _, amqp_address, path) = gateway_with_amqp(&backend);
    let empty = process.resident_bytes();
    let mut socket = std::net::TcpStream::connect(amqp_address).expect("the AMQP ingress is open");
    let mut out = PROTOCOL_HEADER.to_vec();
    let m = FrameWriter::method(&mut out, 0, MethodId::new(10, 11))
        .long_str(b"")
        .short_str("PLAIN");
    m.long_str(b"\0terminal\0terminal")
        .short_str("en_US")
        .finish();
    socket.write_all(&out).expect("the gateway reads");
    // Waits for Connection.Tune, which the gateway sends after it has checked the password.
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
    socket.write_all(&out).expect("the gateway reads");
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
        socket.write_all(&out).expect("the gateway reads");
    }
    // A passive declare returns the number of messages in the queue.
    out.clear();
    FrameWriter::method(&mut out, 1, MethodId::new(50, 10))
        .short(0)
        .short_str("q")
        .octet(1)
        .long_str(b"")
        .finish();
    socket.write_all(&out).expect("the gateway reads");
    socket
        .set_read_timeout(Some(Duration::from_secs(3)))
        .expect("the timeout can be set");
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(n) = socket.read(&mut chunk) {
        received.extend_from_slice(&chunk[..n]);
        if n == 0 {
            break;
        }
    }
    let (mut at, mut count) = (0, 0);
    while let Ok(Some((f, used))) = decode_frame(&received[at..], 131_072) {
        if f.payload.starts_with(&[0, 50, 0, 11]) {
            count = u32::from_be_bytes([f.payload[6], f.payload[7], f.payload[8], f.payload[9]]);
        }
        at += used;
    }
    let each = (process.resident_bytes() - empty) / f64::from(count.max(1));
    println!("{count} messages of 1024 octets queued: {each:.0} bytes each");
    drop(process);
    let _ = std::fs::remove_file(path);
}

/// Measures the memory of 10,000 AMQP clients that log in and then stay idle.
fn idle_connection_memory() {
    queue_memory();
    let backend = Backend::start(1, true);
    let (process, _, amqp_address, path) = gateway_with_amqp(&backend);
    let empty = process.resident_bytes();
    let mut load =
        terminals::AmqpClients::new(amqp_address, 10_000, 1.0, 0).expect("sockets are available");
    load.run_for(15.0);
    mio::run(&mut load).expect("the event loop runs");
    let each = (process.resident_bytes() - empty) / 10_000.0;
    println!("10000 idle connections: {each:.0} bytes each");
    drop(process);
    let _ = std::fs::remove_file(path);
}

fn request_memory() {
    let backend = Backend::start(12, false);
    let (process, at, path) = gateway(&backend, 3_600_000);
    let empty = process.resident_bytes();
    let mut load = NativeClients::new(at, 10_000.0, 0).expect("sockets are available");
    load.run_for(2.0);
    mio::run(&mut load).expect("the event loop runs");
    std::thread::sleep(Duration::from_millis(300));
    let held = process.resident_bytes() - empty;
    println!(
        "{} events held: {:.0} bytes each, {:.1} MiB empty",
        load.sent,
        held / load.sent as f64,
        empty / 1048576.0
    );
    drop(process);
    let _ = std::fs::remove_file(path);
    let backend = Backend::start(91, true);
    let (process, at, path) = gateway(&backend, 1000);
    let empty = process.resident_bytes();
    let mut load = NativeClients::new(at, 2_000.0, 0).expect("sockets are available");
    load.functions = 2_000;
    load.run_for(3.0);
    mio::run(&mut load).expect("the event loop runs");
    let more = process.resident_bytes() - empty;
    println!(
        "91 workers and 2000 functions: {:.1} MiB more",
        more / 1048576.0
    );
    drop(process);
    let _ = std::fs::remove_file(path);
}
