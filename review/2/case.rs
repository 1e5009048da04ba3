//! Bad clients that ask for functions no host knows and withdraw the requests, against the limit on memory.
#[path = "../common/standins.rs"]
mod standins;
use standins::*;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The most that the pages give a gateway.
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
const LIMIT_KB: u64 = 192 * 1024;

/// The usual traffic: 60 requests a second for 20 functions, for this long.
const USUAL: Duration = Duration::from_secs(28);
const GAP: Duration = Duration::from_micros(16_667);

/// When the bad clients come, and for how long.
const QUIET: Duration = Duration::from_secs(5);
const BAD: Duration = Duration::from_secs(20);
const BAD_CLIENTS: u64 = 8;

/// What one bad client does at a time: it sends requests and withdraws them, 300 on a connection and 30 of them
/// open at once. Then it closes and connects again.
fn bad_client(
    number: u64,
    gateway: &std::net::SocketAddr,
    record: &Record,
    sent: &AtomicU64,
    until: Instant,
) {
    let mut id = (number + 1) << 40;
    while Instant::now() < until {
        let Some(client) = Client::connect(*gateway, record, "") else {
            return;
        };
        for group in 0..10 {
            let mut out = Vec::new();
            for n in 0..30 {
                id += 1;
                let fields = format!(
                    "trace={id:016x},patience=1500,entity=bad{:013x},extras=memory_mb:512;lanes:2",
                    id
                );
                out.extend(call(group * 30 + n + 1, "logbook-read", &fields, b"x"));
            }
            (0..30).for_each(|n| out.extend(cancel(group * 30 + n + 1)));
            if !client.send(&out) {
                break;
            }
            sent.fetch_add(30, Relaxed);
        }
        client.close();
    }
}

fn main() {
    set_panic_hook();
    let record = Record::create(
        &std::env::args()
            .nth(1)
            .unwrap_or_else(|| cannot_run("no record file")),
    );
    let hosts: Vec<String> = (0..10)
        .map(|i| SoundHost::start(&record, &format!("s-{i}"), b"done".to_vec(), true))
        .collect();
    let mut gateway = Gateway::start(&record, LIMITS, SETTINGS, start_board(1), &hosts);
    let (start, withdrawn) = (Instant::now(), Arc::new(AtomicU64::new(0)));
    let usual = Client::connect(gateway.listen, &record, "usual client").unwrap_or_else(|| cannot_run("no connection"));
    let (mut tag, mut is_bad, mut most_kb, mut looked_at) = (0, false, 0, start);
    let mut killed = None;
    while start.elapsed() < USUAL && killed.is_none() {
        // At most 32 requests are open on a connection.
        if tag < 32 + usual.state().replies.len() as u64 {
            tag += 1;
            let class = if tag % 3 == 0 { "signoff-post" } else { "logbook-read" };
            let fields = format!(
                "trace={:016x},patience=2000,entity=7f3a9c21e0b4d6{:02x},extras=memory_mb:512;lanes:2",
                0xab0000 + tag,
                tag % 20
            );
            record.line(format!("usual client: CALL {tag} {class}"));
            usual.send(&call(tag, class, &fields, b"body"));
        }
        thread::sleep(GAP);
        if has_trouble() && !is_bad && start.elapsed() > QUIET {
            is_bad = true;
            record.line(format!("{BAD_CLIENTS} bad clients come"));
            for number in 0..BAD_CLIENTS {
                let (listen, record, withdrawn) = (gateway.listen, record.clone(), withdrawn.clone());
                thread::spawn(move || bad_client(number, &listen, &record, &withdrawn, Instant::now() + BAD));
            }
        }
        let kb = gateway.memory_kb();
        most_kb = most_kb.max(kb);
        if let Some(status) = gateway.has_ended() {
            killed = Some(format!("the gateway has ended by itself: {status}"));
        } else if kb > LIMIT_KB {
            gateway.kill();
            killed = Some(format!(
                "the gateway holds {kb} kB of {LIMIT_KB}: the platform kills it"
            ));
        }
        if looked_at.elapsed() > Duration::from_millis(500) {
            looked_at = Instant::now();
            let answered = usual.state().replies.len();
            record.line(format!(
                "memory {kb} kB; usual requests sent {tag}, answered {answered}; requests of bad clients sent and withdrawn {}",
                withdrawn.load(Relaxed)
            ));
        }
    }
    if let Some(why) = &killed {
        record.line(why);
    }
    thread::sleep(Duration::from_millis(2600));
    let lost: Vec<u64> = (1..=tag)
        .filter(|tag| !usual.state().replies.contains_key(tag))
        .collect();
    record.line(format!(
        "most memory {most_kb} kB; usual requests {tag}, of them without an answer {}: {lost:?}",
        lost.len()
    ));
    record.line(if killed.is_some() {
        "BROKEN: the gateway was killed for memory"
    } else {
        "the rule held"
    });
    drop(gateway);
    std::process::exit(i32::from(killed.is_some()));
}
