//! A listener that is closed while no descriptor is left: what waits in its backlog is accepted once there are some. By itself in
//! its file, as it takes all descriptors of its process.
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

fn run_for(probe: &mut Probe, tenths: u64) {
    let until = probe.net.now() + tenths;
    while probe.net.now() < until {
        let at = probe.net.now() + 100;
        let timer = probe.net.set_timer(at, 0);
        mio::turn(probe).expect("polling works");
        probe.net.cancel_timer(timer);
    }
}

/// Takes all descriptors that are left.
fn all_descriptors() -> Vec<std::fs::File> {
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
fn the_backlog_outlives_a_shortage_of_descriptors_at_the_close() {
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
    let mut files = all_descriptors();
    probe.net.stop_listening(listener);
    run_for(&mut probe, 500);
    assert_eq!(probe.accepted, 0);
    files.clear();
    run_for(&mut probe, 2_500);
    assert_eq!(probe.accepted, clients.len());
    let refused = TcpStream::connect_timeout(&at, within);
    assert!(refused.is_err(), "it listens no more");
    // The same file, as two tests would take each other's descriptors: a shortage at the start of a listener passes.
    let freed = std::thread::spawn({
        let files = all_descriptors();
        move || {
            std::thread::sleep(Duration::from_millis(60));
            drop(files);
        }
    });
    let listened = probe.net.listen(([127, 0, 0, 1], 0).into());
    assert!(listened.is_ok(), "{listened:?}");
    freed.join().expect("it only sleeps");
}
