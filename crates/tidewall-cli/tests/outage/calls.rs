//! Clients that send calls at a steady rate to a gateway, and record the responses.
use crate::help::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long clients wait, in milliseconds.
pub const PATIENCE: u64 = 700;
const CALLS_A_SECOND: u64 = 60;
const FUNCTIONS: u64 = 40;
const CLIENTS: usize = 4;

/// One call of a client.
#[derive(Clone)]
pub struct Sent {
    pub at: Instant,
    pub gateway: usize,
    pub answers: Vec<(Instant, String)>,
    /// The call could not be written, as its connection had ended.
    pub cut: bool,
}

pub type Calls = Arc<Mutex<Vec<Sent>>>;

struct ClientConnection {
    out: TcpStream,
    open: Arc<AtomicBool>,
}

impl ClientConnection {
    fn connect(at: SocketAddr, calls: Calls) -> Option<ClientConnection> {
        let stream = TcpStream::connect(at).ok()?;
        stream.set_nodelay(true).unwrap();
        let out = stream.try_clone().unwrap();
        let open = Arc::new(AtomicBool::new(true));
        let flag = open.clone();
        std::thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while !connection.is_over() {
                if let Some((tag, word)) = connection.next_response(ms(500)) {
                    let mut calls = calls.lock().unwrap();
                    calls[tag as usize - 1].answers.push((Instant::now(), word));
                }
            }
            flag.store(false, Ordering::Relaxed);
        });
        Some(ClientConnection { out, open })
    }
}

/// Sends calls to the gateway with this index and address until `stop` is set.
pub fn send_calls(
    gateway: usize,
    at: SocketAddr,
    calls: Calls,
    stop: Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let mut connections: VecDeque<ClientConnection> = VecDeque::new();
        let (began, mut count) = (Instant::now(), 0);
        while !stop.load(Ordering::Relaxed) {
            count += 1;
            let due = began + Duration::from_micros(count * 1_000_000 / CALLS_A_SECOND);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            connections.retain(|connection| connection.open.load(Ordering::Relaxed));
            while connections.len() < CLIENTS {
                let Some(next) = ClientConnection::connect(at, calls.clone()) else {
                    break;
                };
                connections.push_back(next);
            }
            connections.rotate_left(usize::from(!connections.is_empty()));
            let Some(connection) = connections.front_mut() else {
                continue;
            };
            let mut calls = calls.lock().unwrap();
            let tag = calls.len() as u64 + 1;
            let class = if tag.is_multiple_of(3) {
                "record"
            } else {
                "check"
            };
            // Some functions are called far more often than others.
            let drawn = (tag.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) % (FUNCTIONS * FUNCTIONS);
            let function = format!("{:016x}", drawn.isqrt() + 1);
            let text = call_of(tag, class, PATIENCE, &function, "body");
            calls.push(Sent {
                at: Instant::now(),
                gateway,
                answers: Vec::new(),
                cut: false,
            });
            if connection.out.write_all(text.as_bytes()).is_err() {
                calls[tag as usize - 1].cut = true;
            }
        }
    })
}
