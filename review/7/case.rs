//! A jump of the traffic: clients within all limits have a few calls open on each connection, in place of one. What the
//! gateway keeps for their connections goes over its limit of memory.
#[path = "../rig-2/rig.rs"]
mod rig;
use rig::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Limits of the pages: 32 to 192 MB, 256 to 1,024 descriptors; clients hold a third of the descriptors at most.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
const CONNECTIONS: u64 = 340;
/// The longest body.
const BODY: usize = 16 << 10;
/// Each connection sends a call every 2 s: 170 calls a second in all. In the jump it sends 4 calls every 4 s: 340, twice
/// as many.
const PERIOD: u64 = 2000;
const JUMP_CALLS: u64 = 4;
/// When the jump begins, and how long it lasts.
const JUMP_AT: u64 = 6000;
const JUMP: u64 = 9000;
const DAY: u64 = 20_000;

fn function(number: u64) -> String {
    format!("{:016x}", 0x7f3a_9c21_e0b4_d600 + number)
}

/// Answers each call with a body as long as its own, after 12 ms.
struct Worker;
impl HostLogic for Worker {
    fn go(&self, conn: &HostConn, go: Go) {
        let conn = conn.clone();
        thread::spawn(move || {
            thread::sleep(ms(12));
            conn.answer(&go.id, "ok", "res=hit", &go.body);
        });
    }
}

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
    other: AtomicUsize,
    /// Connections that ended with calls open.
    broken: AtomicUsize,
}

fn client(number: u64, at: SocketAddr, begin: Instant, traces: &AtomicU64, counts: &Counts, jumps: bool) -> Option<()> {
    thread::sleep(ms(number * PERIOD / CONNECTIONS));
    let mut conn = TcpStream::connect(at).ok()?;
    let _ = conn.set_nodelay(true);
    let mut answers = BufReader::new(conn.try_clone().ok()?);
    let body = vec![b'x'; BODY];
    let (mut tag, mut next) = (0, Instant::now());
    for turn in 0.. {
        next += ms(PERIOD);
        if begin.elapsed() >= ms(DAY) {
            break;
        }
        let passed = begin.elapsed();
        let in_jump = jumps && passed >= ms(JUMP_AT) && passed < ms(JUMP_AT + JUMP);
        let calls = match in_jump {
            false => 1,
            true if (turn + number) % 2 == 0 => JUMP_CALLS,
            true => 0,
        };
        let mut out = Vec::new();
        for _ in 0..calls {
            tag += 1;
            let trace = traces.fetch_add(1, Ordering::SeqCst);
            out.extend(call(tag, "stock-check", trace, 3000, &function(trace % 20), ",extras=memory_mb:512;lanes:8", &body));
        }
        counts.sent.fetch_add(calls as usize, Ordering::SeqCst);
        let mut open = calls;
        let sent = conn.write_all(&out).is_ok();
        while sent && open > 0 {
            let Some(answer) = read_answer(&mut answers) else { break };
            let served = if answer.word == "OK" { &counts.served } else { &counts.other };
            served.fetch_add(1, Ordering::SeqCst);
            open -= 1;
        }
        if open > 0 {
            counts.broken.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    None
}

fn main() {
    run_case(|record| {
        let hosts: Vec<_> = (0..12).map(|_| host("127.0.0.1:0".parse().unwrap(), Arc::new(Worker))).collect();
        let list: Vec<_> = hosts.iter().enumerate().map(|(i, at)| entry(&format!("s-{i}"), *at, "hall-a", 0, "up", 0)).collect();
        let board = Board::start(&list, record.clone());
        let listen = free(1);
        let classes = [class("stock-check", 1000, 4000, "read_like", "all", 5000)];
        let text = config(listen, &board, MEMORY_MB, SOCKETS, &settings(&classes, "\"hall-a\"", &[]));
        let mut gateway = Gateway::start(&text, listen, SOCKETS, "gateway");
        if !wait_ready(listen, Duration::from_secs(20)) {
            record.say("the gateway is not ready");
            return None;
        }
        let (begin, traces, counts) = (Instant::now(), Arc::new(AtomicU64::new(1)), Arc::new(Counts::default()));
        for number in 0..CONNECTIONS {
            let (traces, counts) = (traces.clone(), counts.clone());
            thread::spawn(move || client(number, listen, begin, &traces, &counts, trouble()));
        }
        let show = |memory: u64| {
            let [sent, served, other, broken] =
                [&counts.sent, &counts.served, &counts.other, &counts.broken].map(|c| c.load(Ordering::SeqCst));
            format!("memory {memory} kB, calls sent {sent}, served {served}, other answers {other}, connections broken with calls open {broken}")
        };
        // The platform kills a gateway that is over its limit. Only memory that is the process's own is counted here.
        let (mut most, mut killed, mut shown) = (0, false, 0);
        while begin.elapsed() < ms(DAY + 1000) {
            thread::sleep(ms(20));
            let Some(memory) = gateway.memory_kb() else { break };
            most = most.max(memory);
            if begin.elapsed() > ms(shown) {
                shown += 1000;
                record.line(show(memory));
            }
            if memory > MEMORY_MB * 1024 {
                record.say(format!("over the limit of {MEMORY_MB} MB: killed, at {:?}", begin.elapsed()));
                gateway.end();
                killed = true;
                break;
            }
        }
        thread::sleep(ms(500));
        record.say(format!("most memory {most} kB of {} kB", MEMORY_MB * 1024));
        record.say(show(most));
        Some(!killed && !gateway.has_ended())
    })
}
