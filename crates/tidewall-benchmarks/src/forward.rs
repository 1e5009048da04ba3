//! A bare forwarder as a baseline: opens one upstream connection for each client and copies bytes in both
//! directions, with the gateway's network layer.
use std::net::SocketAddr;
use tidewall_net::mio::{self, Mio};
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

struct Forwarder {
    net: Mio,
    to: SocketAddr,
    /// The other side of each connection, by the connection's index.
    other_sides: Vec<Option<Conn>>,
}

impl Forwarder {
    fn link_sides(&mut self, a: Conn, b: Conn) {
        let min_len = a.index().max(b.index()) + 1;
        if self.other_sides.len() < min_len {
            self.other_sides.resize(min_len, None);
        }
        (self.other_sides[a.index()], self.other_sides[b.index()]) = (Some(b), Some(a));
    }
}

impl App for Forwarder {
    type Net = Mio;
    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, conn: Conn, _: SocketAddr) {
        let upstream = self.net.connect(self.to, 10_000);
        self.link_sides(conn, upstream);
    }
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        if let Some(other) = self.other_sides[conn.index()] {
            self.net.write(other, bytes);
        }
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, conn: Conn, _: CloseReason) {
        if let Some(other) = self.other_sides[conn.index()].take() {
            self.net.close(other);
        }
    }
    fn timer_fired(&mut self, _: u64) {}
}

pub fn run(at: &str, to: &str) {
    let mut net = Mio::new().expect("the event loop runs");
    net.listen(at.parse().expect("an address"))
        .expect("the address is free");
    mio::run(&mut Forwarder {
        net,
        to: to.parse().expect("an address"),
        other_sides: Vec::new(),
    })
    .expect("the event loop runs");
}
