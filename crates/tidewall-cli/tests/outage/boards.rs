//! Boards: they can be taken out of reach in several ways.
use crate::help::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// So often a board looks what came and what changed; no more, as there are many at once.
const LOOK_INTERVAL: Duration = ms(10);
/// So often it begins an answer that it does not end.
const TRICKLE_INTERVAL: Duration = ms(100);

/// What a board does with polls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// Answers them.
    Answers,
    /// Nothing listens.
    Refuses,
    /// It accepts and says nothing.
    Silent,
    /// It begins an answer again and again and never ends one.
    Trickles,
}

/// A gateway's connection, and its poll that is not answered yet: after which revision it asks, and until when it waits.
struct Poller {
    side: Side,
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

    /// Adds a notice. The list of the start has number 1.
    pub fn tell(&self, entries: &str) {
        let mut notices = self.notices.lock().unwrap();
        let revision = notices.len() as u64 + 2;
        notices.push(notice(revision, entries, false));
    }

    /// Takes what came, answers what is due, and says when to look again.
    fn look(&self, listener: &mut Option<TcpListener>, pollers: &mut Vec<Poller>) -> Duration {
        let reach = *self.reach.lock().unwrap();
        if reach == Reach::Refuses {
            // What is out of reach ends what was open; a silent one keeps it.
            pollers.drain(..).for_each(|poller| poller.side.reset());
            *listener = None;
            return LOOK_INTERVAL;
        }
        if listener.is_none() {
            *listener = TcpListener::bind(self.at).ok();
        }
        if let Some(side) = listener.as_ref().and_then(|l| accept(l, ms(0))) {
            pollers.push(Poller { side, poll: None });
        }
        for poller in pollers.iter_mut() {
            if let Some((watch, linger)) = poller.side.poll_request(ms(1)) {
                poller.poll = Some((watch, Instant::now() + ms(linger)));
            }
        }
        pollers.retain(|poller| !poller.side.is_over());
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
        for Poller { side, poll } in pollers {
            if poll.is_some_and(|(watch, until)| last > watch || Instant::now() >= until) {
                let (watch, _) = poll.take().unwrap();
                let new = notices
                    .iter()
                    .skip(watch.max(1) as usize - 1)
                    .cloned()
                    .collect::<Vec<_>>();
                side.send(board_says(last, &new));
            }
        }
    }
}

/// Until the test has dropped the board.
fn serve(board: &Weak<Board>, first: TcpListener) {
    let mut listener = Some(first);
    let mut pollers: Vec<Poller> = Vec::new();
    while let Some(board) = board.upgrade() {
        let interval = board.look(&mut listener, &mut pollers);
        drop(board);
        std::thread::sleep(interval);
    }
}

/// Begins an answer to each that waits for one.
fn trickle(pollers: &mut [Poller]) {
    for poller in pollers.iter_mut().filter(|poller| poller.poll.is_some()) {
        poller.side.send("HTTP/1.1 200 OK\r\nContent-Le");
    }
}
