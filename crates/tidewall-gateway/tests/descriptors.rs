//! Descriptors at their end, on real sockets; alone in its process, since the limit is the process's.
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use tidewall_net::mio::{self, Mio};
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

struct Probe {
    net: Mio,
    accepted: usize,
    over: Vec<CloseReason>,
}

impl App for Probe {
    type Net = Mio;
    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {
        self.accepted += 1;
    }
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, _: Conn, bytes: &[u8]) -> usize {
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, why: CloseReason) {
        self.over.push(why);
    }
    fn timer_fired(&mut self, _: u64) {
        self.net.stop();
    }
}

fn pass(probe: &mut Probe, tenths: u64) {
    let now = probe.net.now();
    let until = now + tenths;
    while probe.net.now() < until {
        let at = probe.net.now() + 50;
        let d = probe.net.set_timer(at, 0);
        mio::turn(probe).unwrap();
        probe.net.cancel_timer(d);
    }
}

#[test]
fn without_a_descriptor_a_connection_counts_as_none_and_accepting_resumes() {
    let mut probe = Probe {
        net: Mio::new().unwrap(),
        accepted: 0,
        over: Vec::new(),
    };
    let (_, at) = probe.net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect_timeout(&at, Duration::from_secs(1)).unwrap();
    // All that is left is taken.
    let mut held = Vec::new();
    while let Ok(file) = std::fs::File::open("/dev/null") {
        held.push(file);
        if held.len() == 100_000 {
            panic!("no limit was met: run with a limit of descriptors (ulimit -n)");
        }
    }
    probe.net.connect(worker.local_addr().unwrap(), 10_000);
    pass(&mut probe, 500);
    assert_eq!(
        (&probe.over[..], probe.accepted),
        (&[CloseReason::Refused][..], 0)
    );
    held.clear();
    pass(&mut probe, 2_500);
    assert_eq!(
        probe.accepted, 1,
        "accepting goes on when descriptors are back"
    );
    drop(client);
}
