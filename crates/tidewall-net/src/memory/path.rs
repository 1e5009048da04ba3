//! Paths: what happens to messages between two nodes, and taps that change single ones.
use super::event::Event;
use super::World;
use crate::{CloseReason, Time};
use rand::Rng;

/// What happens to messages from one node to another. Streams lose nothing for good: what is lost or cut arrives later.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Path {
    /// Latency, in tenths of a millisecond.
    pub delay: Time,
    /// Greatest random addition to the latency, in tenths of a millisecond; datagrams may so be reordered.
    pub jitter: Time,
    /// Messages lost of a thousand.
    pub lost: u32,
    /// Datagrams duplicated of a thousand.
    pub twice: u32,
    /// A partition: datagrams are lost, and streams wait until a path without it is set.
    pub cut: bool,
}

/// Delay (200 ms) of a lost segment of a stream, which is retransmitted: the least retransmission timeout of TCP on
/// common systems.
const RETRANSMISSION_DELAY: Time = 2_000;

/// What a [`Tap`] does to one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tapped {
    /// Passes on.
    Pass,
    /// Is dropped; a stream is reset by it.
    Lose,
    /// Is duplicated: a datagram's copy comes so much later, a stream's bytes at once.
    Twice(Time),
    /// Is delayed by so much, and so is what follows it on a stream.
    Hold(Time),
    /// A datagram goes to another node, by its number, at the first socket that this one bound.
    To(usize),
}

/// Sees each datagram, and each segment of a stream, between nodes: called with the numbers of the sending and the
/// receiving node, whether it is a datagram, and its bytes, which it may change.
pub type Tap = Box<dyn FnMut(usize, usize, bool, &mut Vec<u8>) -> Tapped>;

/// The nodes that a path leads from and to, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Route {
    pub(super) from: usize,
    pub(super) to: usize,
}

impl World {
    /// Sends from one node to another: past the tap, then by their path.
    pub(super) fn transmit(&mut self, route: Route, mut event: Event) {
        let Some(mut tap) = self.tap.take() else {
            return self.send_by_path(route, event);
        };
        let verdict = match &mut event {
            Event::Datagram { bytes, .. } => tap(route.from, route.to, true, bytes),
            Event::Data { bytes, .. } => tap(route.from, route.to, false, bytes),
            _ => Tapped::Pass,
        };
        self.tap = Some(tap);
        match verdict {
            Tapped::Pass => self.send_by_path(route, event),
            Tapped::Lose => self.lose(route, event),
            Tapped::Twice(wait) => self.duplicate(route, event, wait),
            Tapped::Hold(wait) => self.delay_in_order(event, wait),
            Tapped::To(node) => self.redirect(route, event, node),
        }
    }

    /// Drops a message; what a stream loses resets it.
    fn lose(&mut self, route: Route, event: Event) {
        if let Event::Data { conn, bytes } = event {
            if let Some(endpoint) = self.endpoint(conn) {
                endpoint.in_flight -= bytes.len();
            }
            let reason = CloseReason::Reset;
            self.send_by_path(route, Event::Closed { conn, reason });
        }
    }

    /// Sends a datagram again after `wait`, or the bytes of a stream twice in one segment.
    fn duplicate(&mut self, route: Route, event: Event, wait: Time) {
        match event {
            Event::Datagram { to, from, bytes } => {
                let copy = Event::Datagram {
                    to,
                    from,
                    bytes: bytes.clone(),
                };
                self.send_by_path(route, copy);
                self.schedule(wait, Event::Datagram { to, from, bytes });
            }
            Event::Data { conn, mut bytes } => {
                if let Some(endpoint) = self.endpoint(conn) {
                    endpoint.in_flight += bytes.len();
                }
                bytes.extend_from_within(..);
                self.send_by_path(route, Event::Data { conn, bytes });
            }
            event => self.send_by_path(route, event),
        }
    }

    /// Delivers after `wait`; what follows on a stream waits as well.
    fn delay_in_order(&mut self, event: Event, wait: Time) {
        if let Event::Data { conn, .. } = &event {
            let at = self.now + wait;
            if let Some(endpoint) = self.endpoint(*conn) {
                endpoint.last_arrival = endpoint.last_arrival.max(at);
            }
        }
        self.schedule(wait, event);
    }

    /// Sends a datagram to the first socket of another node, and nowhere if it has none.
    fn redirect(&mut self, route: Route, event: Event, node: usize) {
        let Event::Datagram { from, bytes, .. } = event else {
            return self.send_by_path(route, event);
        };
        let mut sockets = self.datagram_sockets.iter().flatten();
        if let Some(to) = sockets.find(|s| s.node == node).map(|s| s.address) {
            let route = Route { to: node, ..route };
            self.send_by_path(route, Event::Datagram { to, from, bytes });
        }
    }

    /// Schedules the delivery as the path allows. The draws are made in a fixed order: runs with a seed depend on it.
    fn send_by_path(&mut self, route: Route, event: Event) {
        let default = Path {
            delay: self.delay,
            ..Path::default()
        };
        let path = self.paths.get(&route).copied().unwrap_or(default);
        if path.cut {
            if !matches!(event, Event::Datagram { .. }) {
                self.blocked.push((route, event));
            }
            return;
        }
        let mut wait = path.delay;
        if path.jitter > 0 {
            wait += self.rng.random_range(0..=path.jitter);
        }
        let lost = path.lost > 0 && self.rng.random_ratio(path.lost.min(1000), 1000);
        let duplicated = path.twice > 0 && self.rng.random_ratio(path.twice.min(1000), 1000);
        match event {
            Event::Datagram { .. } if lost => {}
            Event::Datagram { to, from, bytes } => {
                if duplicated {
                    let copy = Event::Datagram {
                        to,
                        from,
                        bytes: bytes.clone(),
                    };
                    self.schedule(wait, copy);
                    wait += path.delay;
                }
                self.schedule(wait, Event::Datagram { to, from, bytes });
            }
            event => {
                wait += if lost { RETRANSMISSION_DELAY } else { 0 };
                self.schedule_in_order(wait, event);
            }
        }
    }

    /// Schedules a stream's event, no sooner than the one before it on this endpoint.
    fn schedule_in_order(&mut self, wait: Time, event: Event) {
        let now = self.now;
        let endpoint = event
            .ordered_endpoint()
            .and_then(|conn| self.endpoint(conn));
        let wait = match endpoint {
            Some(endpoint) => {
                endpoint.last_arrival = endpoint.last_arrival.max(now + wait);
                endpoint.last_arrival - now
            }
            None => wait,
        };
        self.schedule(wait, event);
    }
}
