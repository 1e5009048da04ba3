//! Large answers to one usual client, while bad clients keep the gateway busy.
#[path = "../common/standins.rs"]
mod standins;
use standins::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;

/// Two usual clients send 30 requests each at once, in turn, 120 a second in all.
const ROUNDS: u64 = 40;
const IN_A_ROUND: u64 = 30;
const PATIENCE: Duration = Duration::from_millis(2000);

/// The bad clients come after this round.
const QUIET_ROUNDS: u64 = 8;
const BAD_CLIENTS: u64 = 100;

/// Sends 300 requests at once of an event type that does not exist, reads the answers, and sends the same again as
/// soon as it is turned away; after ten times it closes and connects again.
fn bad_client(number: u64, gateway: SocketAddr) {
    let mut id = (number + 1) << 40;
    loop {
        let Ok(mut conn) = TcpStream::connect(gateway) else {
            return;
        };
        for group in 0..10 {
            let (mut out, mut answers_length) = (Vec::new(), 0);
            for tag in group * 300 + 1..=(group + 1) * 300u64 {
                id += 1;
                let fields = format!("trace={id:016x},patience=2000,entity=7f3a9c21e0b4d655");
                out.extend(call(tag, "no-such-type", &fields, b""));
                answers_length += resp(&[tag.to_string().as_bytes(), b"FAILED"]).len();
            }
            let mut answers = vec![0; answers_length];
            if conn.write_all(&out).is_err() || conn.read_exact(&mut answers).is_err() {
                break;
            }
        }
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
        .map(|i| SoundHost::start(&record, &format!("s-{i}"), vec![b'x'; 16 << 10], true))
        .collect();
    let gateway = Gateway::start(&record, LIMITS, SETTINGS, start_board(1), &hosts);
    let connect = |name: &str| {
        Client::connect(gateway.listen, &record, name).unwrap_or_else(|| cannot_run("no connection"))
    };
    let mut clients = [connect("client 0"), connect("client 1")];
    let mut tags = [Vec::new(), Vec::new()];
    let (mut tag, mut lost, mut late, mut open) = (0, Vec::new(), Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        let which = round as usize % 2;
        if clients[which].state().ended.is_some() {
            clients[which] = connect(&format!("client {which}"));
            tags[which].clear();
        }
        // At most 32 are open on a connection.
        let count = IN_A_ROUND.min(32 - clients[which].open(&tags[which]) as u64);
        record.line(format!("client {which}: sends {count} requests, from tag {}", tag + 1));
        for _ in 0..count {
            tag += 1;
            let class = if tag % 3 == 0 {
                "signoff-post"
            } else {
                "logbook-read"
            };
            let fields = format!(
                "trace={:016x},patience={},entity=7f3a9c21e0b4d6{:02x},extras=memory_mb:512;lanes:2",
                0xab0000 + tag,
                PATIENCE.as_millis(),
                tag % 20
            );
            if clients[which].send(&call(tag, class, &fields, b"body")) {
                open.push((tag, Instant::now(), clients[which].clone()));
                tags[which].push(tag);
            }
        }
        thread::sleep(Duration::from_millis(250));
        if has_trouble() && round == QUIET_ROUNDS {
            record.line(format!("{BAD_CLIENTS} bad clients come"));
            for number in 0..BAD_CLIENTS {
                let listen = gateway.listen;
                thread::spawn(move || bad_client(number, listen));
            }
        }
    }
    thread::sleep(PATIENCE + Duration::from_millis(1000));
    for (tag, sent, client) in &open {
        let state = client.state();
        match (state.replies.get(tag), &state.ended) {
            (Some(replies), _) if replies[0].at <= *sent + PATIENCE + Duration::from_millis(550) => {}
            // Nothing ends the usual clients' connections but the gateway.
            (None, Some((ended, _))) if *ended < *sent + PATIENCE => lost.push(*tag),
            _ => late.push(*tag),
        }
    }
    record.line(format!(
        "requests {}; answered too late, or not in their time: {} {late:?}",
        open.len(),
        late.len()
    ));
    record.line(format!(
        "connection ended with no answer, before their time was up: {} {lost:?}",
        lost.len()
    ));
    let broken = !lost.is_empty();
    record.line(if broken {
        "BROKEN: requests of usual clients are lost"
    } else {
        "the rule held"
    });
    drop(gateway);
    std::process::exit(i32::from(broken));
}
