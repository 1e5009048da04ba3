//! Notice boards that can be made unreachable in several ways.
use crate::help::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// Time between a board's checks for polls and changes; not shorter, as many boards run at once.
const LOOK_INTERVAL: Duration = ms(10);
/// Time between responses that a board begins and does not complete.
const TRICKLE_INTERVAL: Duration = ms(100);

/// What a board does with polls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// Answers them.
    Answers,
    /// Nothing listens.
    Refuses,
    /// It accepts connections and never responds.
    Silent,
    /// It begins responses again and again and never completes one.
    Trickles,
}

/// A gateway's connection and its open poll: the revision that it has, and until when it waits.
struct Poller {
    connection: Connection,
    poll: Option<(u64, Instant)>,
}

/// The board of one gateway.
pub struct Board {
    pub at: SocketAddr,
    reach: Mutex<Reach>,
    notices: Mutex<Vec<String>>,
}

impl Board {
    pub fn start(listener: TcpListener) -> Arc<Board> {
        let board = Arc::new(Board {
            at: listener.local_addr().unwrap(),
            reach: Mutex::new(Reach::Answers),
            notices: Mutex::default(),
        });
        let own = Arc::downgrade(&board);
        std::thread::spawn(move || serve(&own, listener));
        board
    }

    pub fn set(&self, reach: Reach) {
        *self.reach.lock().unwrap() = reach;
    }

    /// Adds a notice. The initial list has number 1.
    pub fn tell(&self, entries: &str) {
        let mut notices = self.notices.lock().unwrap();
        let revision = notices.len() as u64 + 2;
        notices.push(notice(revision, entries, false));
    }

    /// Reads polls, answers those that are due, and returns the time to the next check.
    fn look(&self, listener: &mut Option<TcpListener>, pollers: &mut Vec<Poller>) -> Duration {
        let reach = *self.reach.lock().unwrap();
        if reach == Reach::Refuses {
            // A board that refuses closes open connections; a silent one keeps them.
            pollers
                .drain(..)
                .for_each(|poller| poller.connection.reset());
            *listener = None;
            return LOOK_INTERVAL;
        }
        if listener.is_none() {
            *listener = TcpListener::bind(self.at).ok();
        }
        if let Some(connection) = listener.as_ref().and_then(|l| accept(l, ms(0))) {
            pollers.push(Poller {
                connection,
                poll: None,
            });
        }
        for poller in pollers.iter_mut() {
            if let Some((watch, linger)) = poller.connection.poll_request(ms(1)) {
                poller.poll = Some((watch, Instant::now() + ms(linger)));
            }
        }
        pollers.retain(|poller| !poller.connection.is_over());
        match reach {
            Reach::Answers => self.answer(pollers),
            Reach::Trickles => trickle(pollers),
            Reach::Refuses | Reach::Silent => {}
        }
        if reach == Reach::Trickles {
            TRICKLE_INTERVAL
        } else {
            LOOK_INTERVAL
        }
    }

    fn answer(&self, pollers: &mut [Poller]) {
        let notices = self.notices.lock().unwrap();
        let last = notices.len() as u64 + 1;
        for Poller { connection, poll } in pollers {
            if poll.is_some_and(|(watch, until)| last > watch || Instant::now() >= until) {
                let (watch, _) = poll.take().unwrap();
                let new = notices
                    .iter()
                    .skip(watch.max(1) as usize - 1)
                    .cloned()
                    .collect::<Vec<_>>();
                connection.send(board_response(last, &new));
            }
        }
    }
}

/// Runs the board until the test has dropped it.
fn serve(board: &Weak<Board>, first: TcpListener) {
    let mut listener = Some(first);
    let mut pollers: Vec<Poller> = Vec::new();
    while let Some(board) = board.upgrade() {
        let interval = board.look(&mut listener, &mut pollers);
        drop(board);
        std::thread::sleep(interval);
    }
}

/// Begins a response to each open poll.
fn trickle(pollers: &mut [Poller]) {
    for poller in pollers.iter_mut().filter(|poller| poller.poll.is_some()) {
        poller.connection.send("HTTP/1.1 200 OK\r\nContent-Le");
    }
}
