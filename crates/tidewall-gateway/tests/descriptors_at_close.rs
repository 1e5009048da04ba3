//! A listener that is closed while no file descriptor is free: connections in its backlog are accepted once
//! descriptors are free again. The test is alone in its file because it uses up all descriptors of its
//! process.
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tidewall_net::mio::{self, Mio};
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

struct Probe {
    net: Mio,
    accepted: usize,
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
    fn closed(&mut self, _: Conn, _: CloseReason) {}
    fn timer_fired(&mut self, _: u64) {}
}

fn run_for(probe: &mut Probe, tenths_of_ms: u64) {
    let until = probe.net.now() + tenths_of_ms;
    while probe.net.now() < until {
        let at = probe.net.now() + 100;
        let timer = probe.net.set_timer(at, 0);
        mio::turn(probe).expect("polling works");
        probe.net.cancel_timer(timer);
    }
}

/// Opens files until no descriptor is free.
fn take_all_descriptors() -> Vec<std::fs::File> {
    let mut files = Vec::new();
    while let Ok(file) = std::fs::File::open("/dev/null") {
        files.push(file);
        assert!(
            files.len() < 100_000,
            "run with a limit of descriptors (ulimit -n)"
        );
    }
    files
}

#[test]
fn the_backlog_is_accepted_after_a_descriptor_shortage_at_the_close() {
    let mut probe = Probe {
        net: Mio::new().unwrap(),
        accepted: 0,
    };
    let (listener, at) = probe
        .net
        .listen(([127, 0, 0, 1], 0).into())
        .expect("loopback has ports");
    let within = Duration::from_secs(1);
    let clients = [(); 3].map(|()| TcpStream::connect_timeout(&at, within).unwrap());
    let mut files = take_all_descriptors();
    probe.net.stop_listening(listener);
    run_for(&mut probe, 500);
    assert_eq!(probe.accepted, 0);
    files.clear();
    run_for(&mut probe, 2_500);
    assert_eq!(probe.accepted, clients.len());
    let refused = TcpStream::connect_timeout(&at, within);
    assert!(refused.is_err(), "the listener is closed");
    // In the same test, because two tests would use up each other's descriptors: starting a listener
    // survives a short shortage.
    let freed = std::thread::spawn({
        let files = take_all_descriptors();
        move || {
            std::thread::sleep(Duration::from_millis(60));
            drop(files);
        }
    });
    let listened = probe.net.listen(([127, 0, 0, 1], 0).into());
    assert!(listened.is_ok(), "{listened:?}");
    freed.join().expect("the thread does not panic");
}
