//! What a pair costs beside a single gateway: rate, added latency, CPU; how long a backup takes to follow again; memory of
//! what it keeps.
use crate::peers::Load;
use crate::{free, line, measured, Far, Process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tidewall_net::mio;
use tidewall_wire::{self as wire, kind, Field, Fields};

const WORDS: [&str; 2] = ["REDELIVERABLE", "AT_MOST_ONCE"];

struct Pair {
    at: SocketAddr,
    links: [SocketAddr; 2],
    files: [PathBuf; 2],
    keys: PathBuf,
    members: [Option<Process>; 2],
}

fn at(host: &str) -> SocketAddr {
    TcpListener::bind((host, 0))
        .and_then(|l| l.local_addr())
        .expect("loopback has ports")
}

/// `two`: whether two launches at once are allowed.
fn settings(
    gateway: SocketAddr,
    roster: SocketAddr,
    max_age: u64,
    two: bool,
    rest: &str,
) -> String {
    let typ = |i: usize| {
        let (name, word) = (["t", "o"][i], WORDS[i]);
        format!(
            "event_type {{ name: \"{name}\" target_time_ms: {max_age} max_age_ms: {max_age} redelivery: {word} }}\n"
        )
    };
    format!(
        "gateway {{ name: \"g\" address: \"{gateway}\" zone: \"z\" seed: 7 }}\nroster {{ address: \"{roster}\" }}\n\
        zone: \"z\"\nkind {{ name: \"k\" }}\n{}{}limits {{ most_held: 30000 streams: 1000 two_at_once: {two} }}\n\
        loading {{ miss: false window_ms: 0 orders: false }}\n{rest}",
        typ(0),
        typ(1)
    )
}

impl Pair {
    fn new(far: &Far, max_age: u64, two: bool) -> Pair {
        let shared = free();
        let folder = std::env::temp_dir();
        let keys = folder.join(format!("tidewall-pair-{}.keys", shared.port()));
        std::fs::write(&keys, format!("1 {:064x}\n", 7))
            .expect("the temporary folder can be written");
        let hosts = ["127.0.0.2", "127.0.0.3"];
        let (links, vrrp) = (hosts.map(at), hosts.map(at));
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
            std::fs::write(&path, settings(shared, far.roster, max_age, two, &rest)).expect("it can");
            path
        });
        Pair {
            at: shared,
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

    /// What a member says of itself: its state, and the events of the other one that it keeps.
    fn state(&self, m: usize) -> Option<(String, u64)> {
        let mut socket =
            TcpStream::connect_timeout(&self.links[m], Duration::from_millis(200)).ok()?;
        socket
            .set_read_timeout(Some(Duration::from_millis(500)))
            .ok()?;
        let mut out = Vec::new();
        wire::hello(&mut out, "status", "measure", 1);
        socket.write_all(&out).ok()?;
        let mut got = vec![0; 4096];
        let n = socket.read(&mut got).ok()?;
        let (body, _) = wire::frame(&got[..n]).ok()??;
        let fields = Fields::read(body).ok()?;
        (fields.kind() == Ok(kind::STATUS)).then_some(())?;
        Some((
            fields.text(Field::Word).ok()?.to_string(),
            fields.whole(Field::Copies).ok()?,
        ))
    }

    fn until(&self, m: usize, state: &str) -> Duration {
        let began = Instant::now();
        while self.state(m).is_none_or(|s| s.0 != state) {
            assert!(
                began.elapsed() < Duration::from_secs(30),
                "it never was {state}"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
        began.elapsed()
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

fn load(at: SocketAddr, rate: f64, window: usize, typ: &'static str) -> Load {
    let mut load = Load::new(at, rate, window).expect("sockets are to be had");
    (load.typ, load.marks) = (typ, true);
    load
}

/// `quick`: at-most-once events at the highest rate only.
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
        let far = Far::start(12, true);
        let single = free();
        let path = std::env::temp_dir().join(format!("tidewall-measure-{}.txtpb", single.port()));
        std::fs::write(&path, settings(single, far.roster, 1_000, false, "")).expect("it can");
        let process = Process::start(&[
            "serve",
            "--log",
            "error",
            "--config",
            path.to_str().expect("text"),
        ]);
        std::thread::sleep(Duration::from_millis(400));
        if !quick {
            line(
                "single, t",
                &measured(load(single, rate, window, "t"), Some(&process)),
            );
        }
        line(
            "single, o",
            &measured(load(single, rate, window, "o"), Some(&process)),
        );
        drop(process);
        let _ = std::fs::remove_file(path);
        let pairs = [
            ("pair, t, two", true, "t"),
            ("pair, t", false, "t"),
            ("pair, o", false, "o"),
        ];
        for (name, two, typ) in pairs.into_iter().skip(if quick { 2 } else { 0 }) {
            let mut pair = Pair::new(&far, 1_000, two);
            (0..2).for_each(|m| pair.start(m));
            pair.until(0, "paired");
            line(
                name,
                &measured(load(pair.at, rate, window, typ), pair.members[0].as_ref()),
            );
        }
    }
    resync();
}

/// Twenty thousand events are held; the backup starts while 950 more come each second.
fn resync() {
    let far = Far::start(12, false);
    let mut pair = Pair::new(&far, 3_600_000, false);
    pair.start(0);
    pair.until(0, "solo");
    let mut held = load(pair.at, 10_000.0, 0, "o");
    held.until(2.1);
    mio::run(&mut held).expect("polling works");
    pair.start(1);
    let (links, at) = (pair.links, pair.at);
    let began = Instant::now();
    let flow = std::thread::spawn(move || {
        let mut more = load(at, 950.0, 0, "o");
        more.until(3.0);
        mio::run(&mut more).expect("polling works");
        more.sent
    });
    // It must find the link first.
    while TcpStream::connect(links[1]).is_err() {}
    let up = began.elapsed();
    pair.until(0, "paired");
    let all = began.elapsed();
    let sent = held.sent + flow.join().expect("it ran");
    std::thread::sleep(Duration::from_millis(300));
    let kept = pair.state(1).map_or(0, |s| s.1);
    let memory = pair.members[1].as_ref().map_or(0.0, Process::memory);
    println!(
        "{} events held, a backup starts while 950 a second come: {:.0} ms until it is paired, {:.0} ms of them until its \
        process answers; {sent} sent in all, {kept} kept by the backup, {:.0} bytes each of its whole memory",
        held.sent,
        all.as_secs_f64() * 1e3,
        up.as_secs_f64() * 1e3,
        memory / kept.max(1) as f64
    );
}
