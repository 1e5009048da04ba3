//! Bad clients send calls of a class that does not exist, at full speed on hundreds of connections. Usual clients get their
//! answers seconds after their time.
#[path = "../rig-2/rig.rs"]
mod rig;
use rig::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SOCKETS: u64 = 1024;
const BAD_CONNECTIONS: u64 = 330;
/// How long a usual client waits, and how long after that an answer still counts: half a second, and the slack of sockets.
const PATIENCE: u64 = 1500;
const LATE: u64 = 550;
const USUAL_CALLS: u64 = 80;

fn function(number: u64) -> String {
    format!("{:016x}", 0x7f3a_9c21_e0b4_d600 + number)
}

struct Worker;
impl HostLogic for Worker {
    fn go(&self, conn: &HostConn, go: Go) {
        let conn = conn.clone();
        thread::spawn(move || {
            thread::sleep(ms(20));
            conn.answer(&go.id, "ok", "res=hit", &go.body);
        });
    }
}

/// Sends at full speed and reads whatever is sent to it; connects again when it is closed.
fn bad_client(number: u64, at: SocketAddr, read: Arc<AtomicUsize>, over: Arc<AtomicBool>) {
    let mut trace = (number + 1) << 36;
    while !over.load(Ordering::SeqCst) {
        let Ok(mut conn) = TcpStream::connect(at) else { continue };
        let Ok(mut input) = conn.try_clone() else { continue };
        let read = read.clone();
        let reader = thread::spawn(move || {
            let mut bytes = vec![0; 1 << 16];
            while let Ok(count @ 1..) = input.read(&mut bytes) {
                read.fetch_add(count, Ordering::Relaxed);
            }
        });
        let mut tag = 0;
        while !over.load(Ordering::SeqCst) {
            let mut out = Vec::new();
            for _ in 0..200 {
                tag += 1;
                trace += 1;
                out.extend(call(tag, "nosuch", trace, PATIENCE, &function(0), "", b""));
            }
            if conn.write_all(&out).is_err() {
                break;
            }
        }
        let _ = conn.shutdown(std::net::Shutdown::Both);
        let _ = reader.join();
    }
}

fn main() {
    run_case(|record| {
        let hosts: Vec<_> = (0..4).map(|_| host("127.0.0.1:0".parse().unwrap(), Arc::new(Worker))).collect();
        let list: Vec<_> = hosts.iter().enumerate().map(|(i, at)| entry(&format!("s-{i}"), *at, "hall-a", 0, "up", 0)).collect();
        let board = Board::start(&list, record.clone());
        let listen = free(1);
        let classes = [class("stock-check", 1000, 4000, "read_like", "all", 5000)];
        let text = config(listen, &board, 192, SOCKETS, &settings(&classes, "\"hall-a\"", &[]));
        let gateway = Gateway::start(&text, listen, SOCKETS, "gateway");
        if !wait_ready(listen, Duration::from_secs(20)) {
            record.say("the gateway is not ready");
            return None;
        }
        let (over, read) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        if trouble() {
            record.say(format!("{BAD_CONNECTIONS} bad connections at full speed"));
            for number in 0..BAD_CONNECTIONS {
                let (read, over) = (read.clone(), over.clone());
                thread::spawn(move || bad_client(number, listen, read, over));
            }
            thread::sleep(ms(2000));
        }
        let (sent, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let traces = Arc::new(AtomicU64::new(1));
        let mut clients = Vec::new();
        for number in 0..USUAL_CALLS {
            let (record, traces, sent, lost) = (record.clone(), traces.clone(), sent.clone(), lost.clone());
            clients.push(thread::spawn(move || {
                let Ok(mut conn) = TcpStream::connect_timeout(&listen, ms(1000)) else {
                    return record.line(format!("usual {number}: not connected, so not taken"));
                };
                let trace = traces.fetch_add(1, Ordering::SeqCst);
                let bytes = call(1, "stock-check", trace, PATIENCE, &function(number % 8), ",extras=memory_mb:512;lanes:4", b"usual");
                if conn.write_all(&bytes).is_err() {
                    return record.line(format!("usual {number}: not sent"));
                }
                let from = Instant::now();
                sent.fetch_add(1, Ordering::SeqCst);
                let _ = conn.set_read_timeout(Some(ms(20_000)));
                let answer = read_answer(&mut BufReader::new(conn));
                let took = from.elapsed();
                let text = answer.map_or("NO ANSWER".to_string(), |answer| answer.word);
                let is_lost = text == "NO ANSWER" || took > ms(PATIENCE + LATE);
                lost.fetch_add(usize::from(is_lost), Ordering::SeqCst);
                record.line(format!("usual {number}: {text} after {took:?}{}", if is_lost { ", LOST" } else { "" }));
            }));
            thread::sleep(ms(100));
        }
        for client in clients {
            let _ = client.join();
        }
        over.store(true, Ordering::SeqCst);
        record.say(format!("bad clients read {} bytes; gateway {:?} kB", read.load(Ordering::SeqCst), gateway.memory_kb()));
        let (sent, lost) = (sent.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
        record.say(format!("usual clients: {sent} calls sent, {lost} answered over {LATE} ms after their time of {PATIENCE} ms, or never"));
        Some(lost == 0)
    })
}
