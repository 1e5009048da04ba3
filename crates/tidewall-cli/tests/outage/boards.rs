//! Boards: they can be taken out of reach in several ways.
use crate::help::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Instant;

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
        let own = board.clone();
        std::thread::spawn(move || own.serve(listener));
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

    fn serve(&self, first: TcpListener) {
        let mut listener = Some(first);
        let mut polls: Vec<(Side, Option<(u64, Instant)>)> = Vec::new();
        let mut before = Reach::Answers;
        loop {
            let reach = *self.reach.lock().unwrap();
            if reach != before {
                // What is out of reach ends what was open; a silent one keeps it.
                if reach == Reach::Refuses {
                    polls.drain(..).for_each(|(side, _)| side.reset());
                    listener = None;
                }
                before = reach;
            }
            if reach != Reach::Refuses && listener.is_none() {
                listener = TcpListener::bind(self.at).ok();
            }
            if let Some(side) = listener.as_ref().and_then(|l| accept(l, ms(0))) {
                polls.push((side, None));
            }
            for (side, poll) in &mut polls {
                if let Some((watch, linger)) = side.poll_request(ms(1)) {
                    *poll = Some((watch, Instant::now() + ms(linger)));
                }
            }
            polls.retain(|(side, _)| !side.is_over());
            match reach {
                Reach::Answers => self.answer(&mut polls),
                Reach::Trickles => polls
                    .iter_mut()
                    .filter(|(_, poll)| poll.is_some())
                    .for_each(|(side, _)| {
                        side.send("HTTP/1.1 200 OK\r\nContent-Le");
                    }),
                _ => {}
            }
            std::thread::sleep(ms(if reach == Reach::Trickles { 100 } else { 2 }));
        }
    }

    fn answer(&self, polls: &mut [(Side, Option<(u64, Instant)>)]) {
        let notices = self.notices.lock().unwrap();
        let last = notices.len() as u64 + 1;
        for (side, poll) in polls {
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
