//! Both ends of a measurement: an echo worker that answers at once, and native-protocol clients that send at
//! a fixed rate (open loop) or with a fixed number of open requests (window).
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;
use tidewall_failover::leadership::{Leadership, LeadershipAcceptor};
use tidewall_net::mio::Mio;
use tidewall_net::{App, CloseReason, Conn, Listener, Net};
use tidewall_wire::{self as wire, kind, Entries, Field, Fields, Frame};

/// Emulates several workers that answer each attempt or request at once with its payload, and the discovery
/// server that lists them.
pub struct EchoWorker {
    net: Mio,
    pub discovery_address: SocketAddr,
    pub worker_address: SocketAddr,
    /// Each worker's listener and address.
    workers: Vec<(Listener, SocketAddr)>,
    discovery_listener: Listener,
    worker_of: HashMap<Conn, usize>,
    /// The leadership ballots that each worker accepts as a voter of a failover pair.
    acceptors: Vec<LeadershipAcceptor>,
    answers: bool,
    stop: Arc<AtomicBool>,
    out: Vec<u8>,
}

impl EchoWorker {
    pub fn new(
        workers: usize,
        answers: bool,
        stop: Arc<AtomicBool>,
    ) -> std::io::Result<EchoWorker> {
        let mut net = Mio::new()?;
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (discovery_listener, discovery_address) = net.listen(any)?;
        let workers = (0..workers)
            .map(|_| net.listen(any))
            .collect::<Result<Vec<_>, _>>()?;
        net.set_timer(0, 0);
        let worker_address = workers[0].1;
        let acceptors = vec![LeadershipAcceptor::default(); workers.len()];
        Ok(EchoWorker {
            net,
            discovery_address,
            worker_address,
            workers,
            discovery_listener,
            worker_of: HashMap::new(),
            acceptors,
            answers,
            stop,
            out: Vec::new(),
        })
    }

    fn frame(&mut self, conn: Conn, fields: &Fields) -> Result<(), String> {
        self.out.clear();
        let worker_index = self.worker_of.get(&conn).copied();
        match (fields.kind()?, worker_index) {
            (kind::HELLO, Some(worker_index)) => {
                let f = Frame::new(&mut self.out, kind::HELLO).whole(Field::Version, wire::VERSION);
                let role = if fields.text(Field::Role)? == "client" {
                    "gateway"
                } else {
                    "worker"
                };
                f.text(Field::Role, role)
                    .text(Field::Name, &format!("w{worker_index}"))
                    .whole(Field::Life, 1)
                    .end();
            }
            (kind::HELLO, None) => wire::hello(&mut self.out, "roster", "r", 1),
            (kind::FOLLOW, _) => {
                let mut list = Entries::default();
                for (worker_index, (_, at)) in self.workers.iter().enumerate() {
                    list.add(|f| {
                        let f = f
                            .text(Field::Name, &format!("w{worker_index}"))
                            .text(Field::Place, &at.to_string());
                        let f = f
                            .text(Field::Zone, "z")
                            .text(Field::Machine, "k")
                            .text(Field::Standing, "on");
                        f.whole(Field::Life, 1).real(Field::Rating, 2.0)
                    });
                }
                Frame::new(&mut self.out, kind::ROSTER)
                    .text(Field::Scope, "whole")
                    .entries(&list)
                    .end();
            }
            (k @ (kind::PREPARE | kind::ACCEPT), Some(worker_index)) => {
                let whole = |field| fields.upto(field, u64::MAX, 0);
                let (acceptor, ballot) = (
                    &mut self.acceptors[worker_index],
                    fields.whole(Field::Ballot)?,
                );
                let accepted = if k == kind::PREPARE {
                    acceptor.prepare(ballot)
                } else {
                    let sync = [whole(Field::SyncA)?, whole(Field::SyncB)?];
                    let member = whole(Field::Member)?.max(1) as usize - 1;
                    let (epoch, floor) = (whole(Field::Epoch)?, whole(Field::Floor)?);
                    acceptor.accept(Leadership {
                        epoch,
                        member,
                        synced_incarnations: sync,
                        fencing_floor: floor,
                    })
                };
                let state = *acceptor;
                let f = Frame::new(&mut self.out, kind::PROMISED)
                    .whole(Field::Id, fields.whole(Field::Id)?);
                let f = f
                    .flag(Field::On, accepted)
                    .whole(Field::Ballot, state.promised);
                let f = f
                    .whole(Field::Epoch, state.accepted.epoch)
                    .whole(Field::Floor, state.accepted.fencing_floor);
                let f = f.whole(Field::Member, state.accepted.member as u64 + 1);
                f.whole(Field::SyncA, state.accepted.synced_incarnations[0])
                    .whole(Field::SyncB, state.accepted.synced_incarnations[1])
                    .end();
            }
            (kind::LAUNCH, _) if self.answers => {
                let f =
                    Frame::new(&mut self.out, kind::END).whole(Field::Id, fields.whole(Field::Id)?);
                let f = f
                    .text(Field::Outcome, "ok")
                    .whole(Field::Copy, 1)
                    .whole(Field::Company, 0);
                f.bytes(Field::Payload, fields.bytes(Field::Payload)?).end();
            }
            (kind::EVENT, _) if self.answers => {
                let f = Frame::new(&mut self.out, kind::ANSWER)
                    .whole(Field::Id, fields.whole(Field::Id)?);
                f.text(Field::Word, "handled")
                    .bytes(Field::Payload, fields.bytes(Field::Payload)?)
                    .end();
            }
            _ => return Ok(()),
        }
        self.net.write(conn, &self.out);
        Ok(())
    }
}

impl App for EchoWorker {
    type Net = Mio;
    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }
    fn accepted(&mut self, listener: Listener, conn: Conn, _: SocketAddr) {
        if listener != self.discovery_listener {
            let worker_index = self
                .workers
                .iter()
                .position(|w| w.0 == listener)
                .unwrap_or(0);
            self.worker_of.insert(conn, worker_index);
        }
    }
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let mut used = 0;
        while let Ok(Some((body, len))) = wire::frame(&bytes[used..]) {
            used += len;
            Fields::read(body)
                .map_err(String::from)
                .and_then(|f| self.frame(conn, &f))
                .expect("the measurement's own frames are valid");
        }
        used
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, conn: Conn, _: CloseReason) {
        self.worker_of.remove(&conn);
    }
    fn timer_fired(&mut self, _: u64) {
        if self.stop.load(Ordering::Relaxed) {
            return self.net.stop();
        }
        let at = self.net.now() + 500;
        self.net.set_timer(at, 0);
    }
}

/// Clients on eight connections. At a fixed rate requests are due at even intervals, and their latency counts
/// from the due time.
pub struct NativeClients {
    net: Mio,
    conns: Vec<Conn>,
    ready: usize,
    rate: f64,
    window: usize,
    pub functions: u64,
    /// The type of the requests, and whether they have idempotency keys.
    pub request_type: &'static str,
    pub idempotency_keys: bool,
    pub sent: u64,
    pub handled: u64,
    next: u64,
    /// When each request was due, in microseconds since the start: a ring indexed by the request's number.
    due_at: Vec<u64>,
    started_at: Instant,
    first_counted: u64,
    pace_origin: u64,
    pub latency: Histogram<u64>,
    out: Vec<u8>,
}

/// The size of the ring, larger than the number of requests that are ever open.
const RING: usize = 1 << 20;

impl NativeClients {
    pub fn new(to: SocketAddr, rate: f64, window: usize) -> std::io::Result<NativeClients> {
        let mut net = Mio::new()?;
        let conns = (0..8).map(|_| net.connect(to, 10_000)).collect();
        Ok(NativeClients {
            net,
            conns,
            ready: 0,
            rate,
            window,
            functions: 4,
            request_type: "t",
            idempotency_keys: false,
            sent: 0,
            handled: 0,
            next: 0,
            due_at: vec![0; RING],
            started_at: Instant::now(),
            first_counted: 0,
            pace_origin: 0,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid"),
            out: Vec::new(),
        })
    }

    /// Lets the event loop run for this many seconds.
    pub fn run_for(&mut self, seconds: f64) {
        self.net.go_on();
        let at = self.net.now() + (seconds * 10_000.0) as u64;
        self.net.set_timer(at, 1);
        self.net.set_timer(0, 0);
    }

    /// Starts to count; what was sent before was warm-up.
    pub fn start_counting(&mut self) {
        (self.sent, self.handled, self.first_counted) = (0, 0, self.next);
        self.latency.reset();
    }

    fn elapsed_micros(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    fn send(&mut self, due_at: u64) {
        let id = self.next;
        self.due_at[id as usize % RING] = due_at;
        self.out.clear();
        let f = Frame::new(&mut self.out, kind::EVENT)
            .whole(Field::Id, id)
            .text(Field::Type, self.request_type);
        let key = id.to_be_bytes();
        let f = if self.idempotency_keys {
            f.bytes(Field::Mark, &key)
        } else {
            f
        };
        let f = f
            .text(Field::Function, &format!("f{}", id % self.functions))
            .whole(Field::Lanes, 1000);
        f.whole(Field::Left, 36_000_000)
            .bytes(Field::Payload, &[7; 200])
            .end();
        let conn = self.conns[id as usize % self.conns.len()];
        self.net.write(conn, &self.out);
        self.next += 1;
        self.sent += 1;
    }

    fn send_due(&mut self) {
        if self.ready < self.conns.len() {
            self.pace_origin = self.elapsed_micros();
            return;
        }
        if self.rate > 0.0 {
            let now = self.elapsed_micros();
            // After a stall of the client itself all overdue requests are sent, and their latency counts from
            // their due times.
            loop {
                let due_at = self.pace_origin + (self.next as f64 * 1e6 / self.rate) as u64;
                if due_at > now {
                    break;
                }
                self.send(due_at);
            }
        } else if self.next == 0 {
            (0..self.window).for_each(|_| {
                let now = self.elapsed_micros();
                self.send(now);
            });
        }
    }
}

impl App for NativeClients {
    type Net = Mio;
    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}
    fn connected(&mut self, conn: Conn) {
        self.out.clear();
        wire::hello(&mut self.out, "client", "load", 1);
        self.net.write(conn, &self.out);
    }
    fn received(&mut self, _: Conn, bytes: &[u8]) -> usize {
        let mut used = 0;
        while let Ok(Some((body, len))) = wire::frame(&bytes[used..]) {
            used += len;
            let fields = Fields::read(body).expect("the received frames are valid");
            match fields.kind() {
                Ok(kind::HELLO) => self.ready += 1,
                Ok(kind::ANSWER) => {
                    let id = fields.whole(Field::Id).expect("answers have ids");
                    let now = self.elapsed_micros();
                    if id >= self.first_counted && fields.text(Field::Word) == Ok("handled") {
                        self.handled += 1;
                        let took = now - self.due_at[id as usize % RING].min(now);
                        self.latency.saturating_record(took.max(1));
                    }
                    if self.rate == 0.0 {
                        self.send(now);
                    }
                }
                _ => {}
            }
        }
        used
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, why: CloseReason) {
        panic!("a connection of the measurement broke: {why:?}");
    }
    fn timer_fired(&mut self, token: u64) {
        if token == 1 {
            return self.net.stop();
        }
        self.send_due();
        let at = self.net.now() + 10;
        self.net.set_timer(at, 0);
    }
}
