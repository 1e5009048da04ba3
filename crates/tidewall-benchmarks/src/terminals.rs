//! AMQP clients for a measurement: connections that publish with confirms.
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;
use tidewall_emulator::terminal::{AmqpClient, AmqpClientHandler};
use tidewall_net::mio::Mio;
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

#[derive(Default)]
struct Observed {
    ready: usize,
    /// The confirms: the request, and whether it was acknowledged.
    confirms: Vec<(u64, bool)>,
}

impl AmqpClientHandler for Observed {
    fn ready(&mut self) {
        self.ready += 1;
    }
    fn answer(&mut self, _: u64, _: &str, _: u64) {}
    fn confirmed(&mut self, request: u64, acknowledged: bool) {
        self.confirms.push((request, acknowledged));
    }
}

/// AMQP clients that publish at a fixed rate, or with a fixed number of unconfirmed publishes.
pub struct AmqpClients {
    net: Mio,
    conns: Vec<(Conn, AmqpClient)>,
    ready: usize,
    rate: f64,
    window: usize,
    body: Vec<u8>,
    pub sent: u64,
    pub handled: u64,
    pub rejected: u64,
    next: u64,
    /// When each unconfirmed publish was due, in microseconds since the start.
    due_at: HashMap<u64, u64>,
    started_at: Instant,
    first_counted: u64,
    pace_origin: u64,
    pub latency: Histogram<u64>,
}

impl AmqpClients {
    pub fn new(
        to: SocketAddr,
        connections: usize,
        rate: f64,
        window: usize,
    ) -> std::io::Result<AmqpClients> {
        let mut net = Mio::new()?;
        let conns = (0..connections)
            .map(|_| (net.connect(to, 50_000), AmqpClient::default()))
            .collect();
        Ok(AmqpClients {
            net,
            conns,
            ready: 0,
            rate,
            window,
            body: vec![7; 1024],
            sent: 0,
            handled: 0,
            rejected: 0,
            next: 0,
            due_at: HashMap::new(),
            started_at: Instant::now(),
            first_counted: 0,
            pace_origin: 0,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid"),
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
        (self.sent, self.handled, self.rejected, self.first_counted) = (0, 0, 0, self.next);
        self.latency.reset();
    }

    fn elapsed_micros(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    fn send(&mut self, due_at: u64) {
        let request = self.next;
        self.due_at.insert(request, due_at);
        let index = request as usize % self.conns.len();
        let mut out = Vec::with_capacity(2048);
        let key = format!("t.f{}", request % 4);
        self.conns[index]
            .1
            .publish(&mut out, request, &key, 900, request + 1, false, &self.body);
        self.net.write(self.conns[index].0, &out);
        self.next += 1;
        self.sent += 1;
    }

    fn send_due(&mut self) {
        if self.ready < self.conns.len() {
            self.pace_origin = self.elapsed_micros();
        } else if self.rate > 0.0 {
            let now = self.elapsed_micros();
            loop {
                let due_at = self.pace_origin + (self.next as f64 * 1e6 / self.rate) as u64;
                if due_at > now {
                    break;
                }
                self.send(due_at);
            }
        } else if self.next == 0 {
            for _ in 0..self.window {
                let now = self.elapsed_micros();
                self.send(now);
            }
        }
    }
}

impl App for AmqpClients {
    type Net = Mio;
    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}
    fn connected(&mut self, conn: Conn) {
        let mut out = Vec::new();
        if let Some(client) = self.conns.iter_mut().find(|client| client.0 == conn) {
            client.1.connected(&mut out);
        }
        self.net.write(conn, &out);
    }
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let (mut observed, mut out, mut used) = (Observed::default(), Vec::new(), 0);
        if let Some(client) = self.conns.iter_mut().find(|client| client.0 == conn) {
            while let Ok(frame_length) = client.1.frame(&bytes[used..], &mut out, &mut observed) {
                if frame_length == 0 {
                    break;
                }
                used += frame_length;
            }
        }
        self.net.write(conn, &out);
        self.ready += observed.ready;
        let now = self.elapsed_micros();
        for (request, acknowledged) in observed.confirms {
            let due_at = self.due_at.remove(&request).unwrap_or(now);
            if request >= self.first_counted && acknowledged {
                self.handled += 1;
                self.latency
                    .saturating_record((now - due_at.min(now)).max(1));
            } else if request >= self.first_counted {
                self.rejected += 1;
            }
            if self.rate == 0.0 {
                self.send(now);
            }
        }
        used
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, why: CloseReason) {
        panic!("an AMQP client's connection broke: {why:?}");
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
