//! The two ends of a measurement: an echo worker that answers at once, and an open-loop or windowed client.
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

pub struct Echo {
    net: Mio,
    pub roster: SocketAddr,
    pub worker: SocketAddr,
    /// Each worker's listener and address.
    workers: Vec<(Listener, SocketAddr)>,
    roster_listener: Listener,
    names: HashMap<Conn, usize>,
    /// What each worker keeps for a pair.
    promises: Vec<LeadershipAcceptor>,
    answers: bool,
    stop: Arc<AtomicBool>,
    out: Vec<u8>,
}

impl Echo {
    pub fn new(workers: usize, answers: bool, stop: Arc<AtomicBool>) -> std::io::Result<Echo> {
        let mut net = Mio::new()?;
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (roster_listener, roster) = net.listen(any)?;
        let workers = (0..workers)
            .map(|_| net.listen(any))
            .collect::<Result<Vec<_>, _>>()?;
        net.set_timer(0, 0);
        let worker = workers[0].1;
        let promises = vec![LeadershipAcceptor::default(); workers.len()];
        Ok(Echo {
            net,
            roster,
            worker,
            workers,
            roster_listener,
            names: HashMap::new(),
            promises,
            answers,
            stop,
            out: Vec::new(),
        })
    }

    fn frame(&mut self, conn: Conn, fields: &Fields) -> Result<(), String> {
        self.out.clear();
        let worker = self.names.get(&conn).copied();
        match (fields.kind()?, worker) {
            (kind::HELLO, Some(wk)) => {
                let f = Frame::new(&mut self.out, kind::HELLO).whole(Field::Version, wire::VERSION);
                let role = if fields.text(Field::Role)? == "client" {
                    "gateway"
                } else {
                    "worker"
                };
                f.text(Field::Role, role)
                    .text(Field::Name, &format!("w{wk}"))
                    .whole(Field::Life, 1)
                    .end();
            }
            (kind::HELLO, None) => wire::hello(&mut self.out, "roster", "r", 1),
            (kind::FOLLOW, _) => {
                let mut list = Entries::default();
                for (wk, (_, at)) in self.workers.iter().enumerate() {
                    list.add(|f| {
                        let f = f
                            .text(Field::Name, &format!("w{wk}"))
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
            (k @ (kind::PREPARE | kind::ACCEPT), Some(wk)) => {
                let whole = |field| fields.upto(field, u64::MAX, 0);
                let (promise, ballot) = (&mut self.promises[wk], fields.whole(Field::Ballot)?);
                let good = if k == kind::PREPARE {
                    promise.prepare(ballot)
                } else {
                    let sync = [whole(Field::SyncA)?, whole(Field::SyncB)?];
                    let member = whole(Field::Member)?.max(1) as usize - 1;
                    let (epoch, floor) = (whole(Field::Epoch)?, whole(Field::Floor)?);
                    promise.accept(Leadership {
                        epoch,
                        member,
                        synced_incarnations: sync,
                        fencing_floor: floor,
                    })
                };
                let p = *promise;
                let f = Frame::new(&mut self.out, kind::PROMISED)
                    .whole(Field::Id, fields.whole(Field::Id)?);
                let f = f.flag(Field::On, good).whole(Field::Ballot, p.promised);
                let f = f
                    .whole(Field::Epoch, p.accepted.epoch)
                    .whole(Field::Floor, p.accepted.fencing_floor);
                let f = f.whole(Field::Member, p.accepted.member as u64 + 1);
                f.whole(Field::SyncA, p.accepted.synced_incarnations[0])
                    .whole(Field::SyncB, p.accepted.synced_incarnations[1])
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

impl App for Echo {
    type Net = Mio;
    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }
    fn accepted(&mut self, listener: Listener, conn: Conn, _: SocketAddr) {
        if listener != self.roster_listener {
            let wk = self
                .workers
                .iter()
                .position(|w| w.0 == listener)
                .unwrap_or(0);
            self.names.insert(conn, wk);
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
                .expect("our own frames are good");
        }
        used
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, conn: Conn, _: CloseReason) {
        self.names.remove(&conn);
    }
    fn timer_fired(&mut self, _: u64) {
        if self.stop.load(Ordering::Relaxed) {
            return self.net.stop();
        }
        let at = self.net.now() + 500;
        self.net.set_timer(at, 0);
    }
}

/// Eight connections; events are due by an even pace, and their latency counts from then on.
pub struct Load {
    net: Mio,
    conns: Vec<Conn>,
    ready: usize,
    rate: f64,
    window: usize,
    pub functions: u64,
    /// The events' type, and whether they have marks.
    pub typ: &'static str,
    pub marks: bool,
    pub sent: u64,
    pub handled: u64,
    next: u64,
    /// When each event was due, in microseconds since the start, by its number in a ring.
    due: Vec<u64>,
    began: Instant,
    counted_from: u64,
    offset: u64,
    pub latency: Histogram<u64>,
    out: Vec<u8>,
}

/// More than are ever out.
const RING: usize = 1 << 20;

impl Load {
    pub fn new(to: SocketAddr, rate: f64, window: usize) -> std::io::Result<Load> {
        let mut net = Mio::new()?;
        let conns = (0..8).map(|_| net.connect(to, 10_000)).collect();
        Ok(Load {
            net,
            conns,
            ready: 0,
            rate,
            window,
            functions: 4,
            typ: "t",
            marks: false,
            sent: 0,
            handled: 0,
            next: 0,
            due: vec![0; RING],
            began: Instant::now(),
            counted_from: 0,
            offset: 0,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are good"),
            out: Vec::new(),
        })
    }

    /// Runs on for so many seconds.
    pub fn until(&mut self, seconds: f64) {
        self.net.go_on();
        let at = self.net.now() + (seconds * 10_000.0) as u64;
        self.net.set_timer(at, 1);
        self.net.set_timer(0, 0);
    }

    /// What came before was warming up.
    pub fn begin(&mut self) {
        (self.sent, self.handled, self.counted_from) = (0, 0, self.next);
        self.latency.reset();
    }

    fn micros(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    fn send(&mut self, due: u64) {
        let id = self.next;
        self.due[id as usize % RING] = due;
        self.out.clear();
        let f = Frame::new(&mut self.out, kind::EVENT)
            .whole(Field::Id, id)
            .text(Field::Type, self.typ);
        let mark = id.to_be_bytes();
        let f = if self.marks {
            f.bytes(Field::Mark, &mark)
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

    fn pace(&mut self) {
        if self.ready < self.conns.len() {
            self.offset = self.micros();
            return;
        }
        if self.rate > 0.0 {
            let now = self.micros();
            // Behind a standstill of the client itself all that was due is sent, and counts from its due time.
            loop {
                let due = self.offset + (self.next as f64 * 1e6 / self.rate) as u64;
                if due > now {
                    break;
                }
                self.send(due);
            }
        } else if self.next == 0 {
            (0..self.window).for_each(|_| {
                let now = self.micros();
                self.send(now);
            });
        }
    }
}

impl App for Load {
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
            let fields = Fields::read(body).expect("the far end's frames are good");
            match fields.kind() {
                Ok(kind::HELLO) => self.ready += 1,
                Ok(kind::ANSWER) => {
                    let id = fields.whole(Field::Id).expect("answers have ids");
                    let now = self.micros();
                    if id >= self.counted_from && fields.text(Field::Word) == Ok("handled") {
                        self.handled += 1;
                        let took = now - self.due[id as usize % RING].min(now);
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
        self.pace();
        let at = self.net.now() + 10;
        self.net.set_timer(at, 0);
    }
}
