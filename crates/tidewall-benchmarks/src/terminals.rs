//! Terminals for a measurement: eight AMQP connections that publish with confirms.
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;
use tidewall_emulator::terminal::{AmqpClient, AmqpClientHandler};
use tidewall_net::mio::Mio;
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

#[derive(Default)]
struct Told {
    ready: usize,
    /// Confirms, acks or not.
    done: Vec<(u64, bool)>,
}

impl AmqpClientHandler for Told {
    fn ready(&mut self) {
        self.ready += 1;
    }
    fn answer(&mut self, _: u64, _: &str, _: u64) {}
    fn confirmed(&mut self, evt: u64, good: bool) {
        self.done.push((evt, good));
    }
}

pub struct Terminals {
    net: Mio,
    conns: Vec<(Conn, AmqpClient)>,
    ready: usize,
    rate: f64,
    window: usize,
    body: Vec<u8>,
    pub sent: u64,
    pub handled: u64,
    pub other: u64,
    next: u64,
    due: HashMap<u64, u64>,
    began: Instant,
    counted_from: u64,
    offset: u64,
    pub latency: Histogram<u64>,
}

impl Terminals {
    pub fn new(
        to: SocketAddr,
        connections: usize,
        rate: f64,
        window: usize,
    ) -> std::io::Result<Terminals> {
        let mut net = Mio::new()?;
        let conns = (0..connections)
            .map(|_| (net.connect(to, 50_000), AmqpClient::default()))
            .collect();
        Ok(Terminals {
            net,
            conns,
            ready: 0,
            rate,
            window,
            body: vec![7; 1024],
            sent: 0,
            handled: 0,
            other: 0,
            next: 0,
            due: HashMap::new(),
            began: Instant::now(),
            counted_from: 0,
            offset: 0,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are good"),
        })
    }

    pub fn until(&mut self, seconds: f64) {
        self.net.go_on();
        let at = self.net.now() + (seconds * 10_000.0) as u64;
        self.net.set_timer(at, 1);
        self.net.set_timer(0, 0);
    }

    pub fn begin(&mut self) {
        (self.sent, self.handled, self.other, self.counted_from) = (0, 0, 0, self.next);
        self.latency.reset();
    }

    fn micros(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    fn send(&mut self, due: u64) {
        let evt = self.next;
        self.due.insert(evt, due);
        let at = evt as usize % self.conns.len();
        let mut out = Vec::with_capacity(2048);
        let key = format!("t.f{}", evt % 4);
        self.conns[at]
            .1
            .publish(&mut out, evt, &key, 900, evt + 1, false, &self.body);
        self.net.write(self.conns[at].0, &out);
        self.next += 1;
        self.sent += 1;
    }

    fn pace(&mut self) {
        if self.ready < self.conns.len() {
            self.offset = self.micros();
        } else if self.rate > 0.0 {
            let now = self.micros();
            loop {
                let due = self.offset + (self.next as f64 * 1e6 / self.rate) as u64;
                if due > now {
                    break;
                }
                self.send(due);
            }
        } else if self.next == 0 {
            for _ in 0..self.window {
                let now = self.micros();
                self.send(now);
            }
        }
    }
}

impl App for Terminals {
    type Net = Mio;
    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}
    fn connected(&mut self, conn: Conn) {
        let mut out = Vec::new();
        if let Some(c) = self.conns.iter_mut().find(|c| c.0 == conn) {
            c.1.connected(&mut out);
        }
        self.net.write(conn, &out);
    }
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let (mut told, mut out, mut used) = (Told::default(), Vec::new(), 0);
        if let Some(c) = self.conns.iter_mut().find(|c| c.0 == conn) {
            while let Ok(one) = c.1.frame(&bytes[used..], &mut out, &mut told) {
                if one == 0 {
                    break;
                }
                used += one;
            }
        }
        self.net.write(conn, &out);
        self.ready += told.ready;
        let now = self.micros();
        for (evt, good) in told.done {
            let due = self.due.remove(&evt).unwrap_or(now);
            if evt >= self.counted_from && good {
                self.handled += 1;
                self.latency.saturating_record((now - due.min(now)).max(1));
            } else if evt >= self.counted_from {
                self.other += 1;
            }
            if self.rate == 0.0 {
                self.send(now);
            }
        }
        used
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, why: CloseReason) {
        panic!("a terminal's connection broke: {why:?}");
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
