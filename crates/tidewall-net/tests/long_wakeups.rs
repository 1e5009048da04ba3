//! Wake-ups that last, on sockets: what arrived meanwhile is read before anything is sent, and timers that are left wait.
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tidewall_net::mio::{self, Mio};
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

/// Longer than what may pass between a poll and the end of a wake-up.
const LONG: Duration = Duration::from_millis(60);

/// What happened, in order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Timer(u64),
    Received,
    Ended,
}

/// Its timers last, and a client says something during the first one.
struct Busy {
    net: Mio,
    client: Option<TcpStream>,
    kept: Option<TcpStream>,
    events: Vec<Event>,
}

impl App for Busy {
    type Net = Mio;

    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, _: Conn, bytes: &[u8]) -> usize {
        self.events.push(Event::Received);
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, _: CloseReason) {}
    fn wakeup_ended(&mut self) {
        self.events.push(Event::Ended);
    }
    fn timer_fired(&mut self, token: u64) {
        self.events.push(Event::Timer(token));
        if let Some(mut client) = self.client.take() {
            client.write_all(b"cancel").expect("it is open");
            self.kept = Some(client);
        }
        std::thread::sleep(LONG);
    }
}

#[test]
fn what_arrives_in_a_long_wakeup_is_read_before_it_ends() {
    let mut busy = Busy {
        net: Mio::new().unwrap(),
        client: None,
        kept: None,
        events: Vec::new(),
    };
    let (_, at) = busy.net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = TcpStream::connect(at).unwrap();
    // The connection is accepted.
    let now = busy.net.now();
    let timer = busy.net.set_timer(now + 100, 1);
    mio::turn(&mut busy).unwrap();
    busy.net.cancel_timer(timer);
    busy.events.clear();
    busy.client = Some(client);
    let now = busy.net.now();
    // Both are due at once.
    busy.net.set_timer(now, 2);
    busy.net.set_timer(now, 3);
    for _ in 0..4 {
        mio::turn(&mut busy).unwrap();
        if busy
            .events
            .iter()
            .filter(|event| matches!(event, Event::Timer(2 | 3)))
            .count()
            == 2
        {
            break;
        }
    }
    let position = |event| busy.events.iter().position(|e| *e == event).unwrap();
    let first_end = position(Event::Ended);
    assert!(
        position(Event::Timer(2)) < position(Event::Received),
        "{:?}",
        busy.events
    );
    assert!(position(Event::Received) < first_end, "{:?}", busy.events);
    assert!(
        first_end < position(Event::Timer(3)),
        "one at a time: {:?}",
        busy.events
    );
}
