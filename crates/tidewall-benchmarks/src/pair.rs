//! Measures a failover pair compared with a single gateway: rate, added latency and CPU time; how long a
//! backup takes until it is paired again; and the memory of the records that it keeps.
use crate::peers::NativeClients;
use crate::{free_address, print_row, run_measurement, Backend, Process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tidewall_net::mio;
use tidewall_wire::{self as wire, kind, Field, Fields};

const REDELIVERY: [&str; 2] = ["REDELIVERABLE", "AT_MOST_ONCE"];

struct Pair {
    address: SocketAddr,
    links: [SocketAddr; 2],
    files: [PathBuf; 2],
    keys: PathBuf,
    members: [Option<Process>; 2],
}

fn free_address_on(host: &str) -> SocketAddr {
    TcpListener::bind((host, 0))
        .and_then(|l| l.local_addr())
        .expect("loopback has ports")
}

/// The settings of a gateway; `concurrent_attempts` allows two concurrent attempts of a request, `rest` is
/// appended.
fn settings(
    gateway: SocketAddr,
    discovery_address: SocketAddr,
    max_age_ms: u64,
    concurrent_attempts: bool,
    rest: &str,
) -> String {
    let request_type = |i: usize| {
        let (name, word) = (["t", "o"][i], REDELIVERY[i]);
        format!(
            "event_type {{ name: \"{name}\" target_time_ms: {max_age_ms} max_age_ms: {max_age_ms} redelivery: {word} }}\n"
        )
    };
    format!(
        "gateway {{ name: \"g\" address: \"{gateway}\" zone: \"z\" seed: 7 }}\nroster {{ address: \"{discovery_address}\" }}\n\
        zone: \"z\"\nkind {{ name: \"k\" }}\n{}{}limits {{ most_held: 30000 streams: 1000 two_at_once: {concurrent_attempts} }}\n\
        loading {{ miss: false window_ms: 0 orders: false }}\n{rest}",
        request_type(0),
        request_type(1)
    )
}

impl Pair {
    fn new(backend: &Backend, max_age_ms: u64, concurrent_attempts: bool) -> Pair {
        let shared = free_address();
        let folder = std::env::temp_dir();
        let keys = folder.join(format!("tidewall-pair-{}.keys", shared.port()));
        std::fs::write(&keys, format!("1 {:064x}\n", 7))
            .expect("the temporary folder can be written");
        let hosts = ["127.0.0.2", "127.0.0.3"];
        let (links, vrrp) = (hosts.map(free_address_on), hosts.map(free_address_on));
        let files = [0, 1].map(|m: usize| {
            let part = |word: &str, m: usize| {
                let (name, priority) = (["a", "b"][m], [200, 100][m]);
                format!(
                    "{word} {{ name: \"{name}\" priority: {priority} vrrp_address: \"{}\" link_address: \"{}\" }}\n",
                    vrrp[m], links[m]
                )
            };
            let rest = format!(
                "pair {{ {}{}key_file: \"{}\" voter: [\"w0\", \"w1\", \"w2\"] }}\n",
                part("own", m),
                part("peer", 1 - m),
                keys.display()
            );
            let path = folder.join(format!("tidewall-pair-{}-{m}.txtpb", shared.port()));
            std::fs::write(&path, settings(shared, backend.discovery_address, max_age_ms, concurrent_attempts, &rest)).expect("it can be written");
            path
        });
        Pair {
            address: shared,
            links,
            files,
            keys,
            members: [None, None],
        }
    }

    fn start(&mut self, m: usize) {
        let file = self.files[m].to_str().expect("text").to_string();
        self.members[m] = Some(Process::start(&[
            "serve", "--log", "error", "--config", &file,
        ]));
    }

    /// Queries the status of a member: its state, and the number of the other member's requests that it
    /// keeps.
    fn state(&self, m: usize) -> Option<(String, u64)> {
        let mut socket =
            TcpStream::connect_timeout(&self.links[m], Duration::from_millis(200)).ok()?;
        socket
            .set_read_timeout(Some(Duration::from_millis(500)))
            .ok()?;
        let mut out = Vec::new();
        wire::hello(&mut out, "status", "measure", 1);
        socket.write_all(&out).ok()?;
        let mut received = vec![0; 4096];
        let n = socket.read(&mut received).ok()?;
        let (body, _) = wire::frame(&received[..n]).ok()??;
        let fields = Fields::read(body).ok()?;
        (fields.kind() == Ok(kind::STATUS)).then_some(())?;
        Some((
            fields.text(Field::Word).ok()?.to_string(),
            fields.whole(Field::Copies).ok()?,
        ))
    }

    /// Waits until the member reports this state; returns how long that took.
    fn wait_for_state(&self, m: usize, state: &str) -> Duration {
        let started_at = Instant::now();
        while self.state(m).is_none_or(|s| s.0 != state) {
            assert!(
                started_at.elapsed() < Duration::from_secs(30),
                "the member did not reach the state {state} in 30 s"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
        started_at.elapsed()
    }
}

impl Drop for Pair {
    fn drop(&mut self) {
        self.members = [None, None];
        for path in self.files.iter().chain([&self.keys]) {
            let _ = std::fs::remove_file(path);
        }
    }
}

fn load(at: SocketAddr, rate: f64, window: usize, request_type: &'static str) -> NativeClients {
    let mut load = NativeClients::new(at, rate, window).expect("sockets are available");
    (load.request_type, load.idempotency_keys) = (request_type, true);
    load
}

/// Runs all measurements; `quick` measures only at-most-once requests at the highest rate.
pub fn run(quick: bool) {
    println!("a pair beside a single gateway; 200 bytes of payload, marks, times in ms, CPU of the master in us an event");
    println!(
        "{:<10} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "", "a second", "handled", "p50", "p99", "p99.9", "CPU"
    );
    let rows = [(5_000.0, 0), (0.0, 64)];
    for (rate, window) in rows.into_iter().skip(usize::from(quick)) {
        println!(
            "{}",
            if rate > 0.0 {
                format!("at {rate} a second")
            } else {
                format!("{window} out at a time")
            }
        );
        let backend = Backend::start(12, true);
        let single = free_address();
        let path = std::env::temp_dir().join(format!("tidewall-measure-{}.txtpb", single.port()));
        std::fs::write(
            &path,
            settings(single, backend.discovery_address, 1_000, false, ""),
        )
        .expect("the temporary folder can be written");
        let process = Process::start(&[
            "serve",
            "--log",
            "error",
            "--config",
            path.to_str().expect("text"),
        ]);
        std::thread::sleep(Duration::from_millis(400));
        if !quick {
            print_row(
                "single, t",
                &run_measurement(load(single, rate, window, "t"), Some(&process)),
            );
        }
        print_row(
            "single, o",
            &run_measurement(load(single, rate, window, "o"), Some(&process)),
        );
        drop(process);
        let _ = std::fs::remove_file(path);
        let pairs = [
            ("pair, t, two", true, "t"),
            ("pair, t", false, "t"),
            ("pair, o", false, "o"),
        ];
        for (name, concurrent_attempts, request_type) in
            pairs.into_iter().skip(if quick { 2 } else { 0 })
        {
            let mut pair = Pair::new(&backend, 1_000, concurrent_attempts);
            (0..2).for_each(|m| pair.start(m));
            pair.wait_for_state(0, "paired");
            print_row(
                name,
                &run_measurement(
                    load(pair.address, rate, window, request_type),
                    pair.members[0].as_ref(),
                ),
            );
        }
    }
    resync();
}

/// Measures the resynchronisation of a backup that starts while 20,000 requests are held and 950 more arrive
/// per second.
fn resync() {
    let backend = Backend::start(12, false);
    let mut pair = Pair::new(&backend, 3_600_000, false);
    pair.start(0);
    pair.wait_for_state(0, "solo");
    let mut held = load(pair.address, 10_000.0, 0, "o");
    held.run_for(2.1);
    mio::run(&mut held).expect("the event loop runs");
    pair.start(1);
    let (links, at) = (pair.links, pair.address);
    let started_at = Instant::now();
    let arrivals = std::thread::spawn(move || {
        let mut clients = load(at, 950.0, 0, "o");
        clients.run_for(3.0);
        mio::run(&mut clients).expect("the event loop runs");
        clients.sent
    });
    // Waits until the backup's process accepts connections on its link address.
    while TcpStream::connect(links[1]).is_err() {}
    let process_ready = started_at.elapsed();
    pair.wait_for_state(0, "paired");
    let paired_after = started_at.elapsed();
    let sent = held.sent
        + arrivals
            .join()
            .expect("the thread of the clients ended normally");
    std::thread::sleep(Duration::from_millis(300));
    let kept = pair.state(1).map_or(0, |s| s.1);
    let resident_bytes = pair.members[1]
        .as_ref()
        .map_or(0.0, Process::resident_bytes);
    println!(
        "{} events held, a backup starts while 950 a second come: {:.0} ms until it is paired, {:.0} ms of them until its \
        process answers; {sent} sent in all, {kept} kept by the backup, {:.0} bytes each of its whole memory",
        held.sent,
        paired_after.as_secs_f64() * 1e3,
        process_ready.as_secs_f64() * 1e3,
        resident_bytes / kept.max(1) as f64
    );
}
