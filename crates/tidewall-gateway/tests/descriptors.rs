//! Behaviour on real sockets when no file descriptor is free. The test is alone in its process because the
//! limit applies to the process.
#![allow(clippy::unwrap_used)]
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use tidewall_net::mio::{self, Mio};
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

struct Probe {
    net: Mio,
    accepted: usize,
    close_reasons: Vec<CloseReason>,
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
    fn closed(&mut self, _: Conn, reason: CloseReason) {
        self.close_reasons.push(reason);
    }
    fn timer_fired(&mut self, _: u64) {
        self.net.stop();
    }
}

fn run_for(probe: &mut Probe, tenths_of_ms: u64) {
    let now = probe.net.now();
    let until = now + tenths_of_ms;
    while probe.net.now() < until {
        let at = probe.net.now() + 50;
        let timer = probe.net.set_timer(at, 0);
        mio::turn(probe).unwrap();
        probe.net.cancel_timer(timer);
    }
}

#[test]
fn without_a_descriptor_connecting_is_refused_and_accepting_resumes_later() {
    let mut probe = Probe {
        net: Mio::new().unwrap(),
        accepted: 0,
        close_reasons: Vec::new(),
    };
    let (_, at) = probe.net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect_timeout(&at, Duration::from_secs(1)).unwrap();
    // Use up all remaining descriptors.
    let mut files = Vec::new();
    while let Ok(file) = std::fs::File::open("/dev/null") {
        files.push(file);
        if files.len() == 100_000 {
            panic!("no limit was reached: run with a limit of descriptors (ulimit -n)");
        }
    }
    probe.net.connect(worker.local_addr().unwrap(), 10_000);
    run_for(&mut probe, 500);
    assert_eq!(
        (&probe.close_reasons[..], probe.accepted),
        (&[CloseReason::NoResources][..], 0)
    );
    files.clear();
    run_for(&mut probe, 2_500);
    assert_eq!(
        probe.accepted, 1,
        "accepting resumes when descriptors are free"
    );
    drop(client);
}
