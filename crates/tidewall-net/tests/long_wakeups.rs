//! Long wake-ups on operating-system sockets: input that arrives during a wake-up is read before the wake-up
//! ends, and the remaining timers wait for the next one.
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tidewall_net::mio::{self, Mio};
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

/// Duration of a timer handler: longer than may pass between the last poll and the end of a wake-up (20 ms).
const HANDLER_DURATION: Duration = Duration::from_millis(60);

/// A recorded call of the app.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Timer(u64),
    Received,
    WakeupEnded,
}

/// An app whose timer handlers take long, and whose client sends bytes during the first one.
struct SlowTimerApp {
    net: Mio,
    client: Option<TcpStream>,
    /// Keeps the client's connection open after it was written to.
    written_client: Option<TcpStream>,
    events: Vec<Event>,
}

impl App for SlowTimerApp {
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
        self.events.push(Event::WakeupEnded);
    }
    fn timer_fired(&mut self, token: u64) {
        self.events.push(Event::Timer(token));
        if let Some(mut client) = self.client.take() {
            client.write_all(b"cancel").expect("the connection is open");
            self.written_client = Some(client);
        }
        std::thread::sleep(HANDLER_DURATION);
    }
}

#[test]
fn input_that_arrives_in_a_long_wakeup_is_read_before_it_ends() {
    let mut app = SlowTimerApp {
        net: Mio::new().unwrap(),
        client: None,
        written_client: None,
        events: Vec::new(),
    };
    let (_, address) = app.net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = TcpStream::connect(address).unwrap();
    // This wake-up accepts the connection.
    let now = app.net.now();
    let timer = app.net.set_timer(now + 100, 1);
    mio::turn(&mut app).unwrap();
    app.net.cancel_timer(timer);
    app.events.clear();
    app.client = Some(client);
    let now = app.net.now();
    // Both timers are due at once.
    app.net.set_timer(now, 2);
    app.net.set_timer(now, 3);
    for _ in 0..4 {
        mio::turn(&mut app).unwrap();
        if app
            .events
            .iter()
            .filter(|event| matches!(event, Event::Timer(2 | 3)))
            .count()
            == 2
        {
            break;
        }
    }
    let position = |event| app.events.iter().position(|e| *e == event).unwrap();
    let first_end = position(Event::WakeupEnded);
    assert!(
        position(Event::Timer(2)) < position(Event::Received),
        "{:?}",
        app.events
    );
    assert!(position(Event::Received) < first_end, "{:?}", app.events);
    assert!(
        first_end < position(Event::Timer(3)),
        "the second timer must wait for the next wake-up: {:?}",
        app.events
    );
}
