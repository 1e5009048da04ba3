//! The bare forwarder: for each client one connection to the far end, bytes copied both ways, on the same net.
use std::net::SocketAddr;
use tidewall_net::mio::{self, Mio};
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

struct Forward {
    net: Mio,
    to: SocketAddr,
    /// By place of a connection: its other side.
    pairs: Vec<Option<Conn>>,
}

impl Forward {
    fn pair(&mut self, a: Conn, b: Conn) {
        let most = a.index().max(b.index()) + 1;
        if self.pairs.len() < most {
            self.pairs.resize(most, None);
        }
        (self.pairs[a.index()], self.pairs[b.index()]) = (Some(b), Some(a));
    }
}

impl App for Forward {
    type Net = Mio;
    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, conn: Conn, _: SocketAddr) {
        let far = self.net.connect(self.to, 10_000);
        self.pair(conn, far);
    }
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        if let Some(other) = self.pairs[conn.index()] {
            self.net.write(other, bytes);
        }
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, conn: Conn, _: CloseReason) {
        if let Some(other) = self.pairs[conn.index()].take() {
            self.net.close(other);
        }
    }
    fn timer_fired(&mut self, _: u64) {}
}

pub fn run(at: &str, to: &str) {
    let mut net = Mio::new().expect("polling works");
    net.listen(at.parse().expect("an address"))
        .expect("it is free");
    mio::run(&mut Forward {
        net,
        to: to.parse().expect("an address"),
        pairs: Vec::new(),
    })
    .expect("polling works");
}
