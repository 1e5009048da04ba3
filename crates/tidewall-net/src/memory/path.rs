//! Paths, which delay, lose or duplicate the messages between two nodes, and taps, which modify single
//! messages.
use super::event::Event;
use super::World;
use crate::{CloseReason, Time};
use rand::Rng;

/// What happens to messages from one node to another. Streams are reliable: their lost or blocked messages
/// arrive later.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Path {
    /// Latency, in tenths of a millisecond.
    pub delay: Time,
    /// Maximum random addition to the latency, in tenths of a millisecond. It may reorder datagrams.
    pub jitter: Time,
    /// How many of a thousand messages are lost.
    pub lost: u32,
    /// How many of a thousand datagrams are duplicated.
    pub twice: u32,
    /// A partition: datagrams are lost, and streams wait until a path without a partition is set.
    pub cut: bool,
}

/// Additional delay (200 ms) of a lost segment of a stream, which is retransmitted: the minimum
/// retransmission timeout of TCP on common systems.
const RETRANSMISSION_DELAY: Time = 2_000;

/// What a [`Tap`] does to one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tapped {
    /// The message is passed on.
    Pass,
    /// The message is dropped. A stream that loses a segment is reset.
    Lose,
    /// The message is duplicated: a datagram again after this delay, a stream's bytes within the same
    /// segment.
    Twice(Time),
    /// The message arrives after this delay, and what follows it on a stream does not arrive earlier.
    Hold(Time),
    /// A datagram is redirected to the first socket of the node with this number.
    To(usize),
}

/// A callback for each datagram and each stream segment between nodes. Its arguments are the number of the
/// sending node and of the receiving node, whether the message is a datagram, and the bytes, which it may
/// change.
pub type Tap = Box<dyn FnMut(usize, usize, bool, &mut Vec<u8>) -> Tapped>;

/// The numbers of the nodes that a path connects, in its direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Route {
    pub(super) from: usize,
    pub(super) to: usize,
}

impl World {
    /// Sends a message from one node to another: through the tap, then along their path.
    pub(super) fn transmit(&mut self, route: Route, mut event: Event) {
        let Some(mut tap) = self.tap.take() else {
            return self.send_by_path(route, event);
        };
        let action = match &mut event {
            Event::Datagram { bytes, .. } => tap(route.from, route.to, true, bytes),
            Event::Data { bytes, .. } => tap(route.from, route.to, false, bytes),
            _ => Tapped::Pass,
        };
        self.tap = Some(tap);
        match action {
            Tapped::Pass => self.send_by_path(route, event),
            Tapped::Lose => self.drop_message(route, event),
            Tapped::Twice(wait) => self.duplicate(route, event, wait),
            Tapped::Hold(wait) => self.delay_in_order(event, wait),
            Tapped::To(node) => self.redirect(route, event, node),
        }
    }

    /// Drops a message. A lost segment resets its stream.
    fn drop_message(&mut self, route: Route, event: Event) {
        if let Event::Data { conn, bytes } = event {
            if let Some(endpoint) = self.endpoint(conn) {
                endpoint.in_flight -= bytes.len();
            }
            let reason = CloseReason::Reset;
            self.send_by_path(route, Event::Closed { conn, reason });
        }
    }

    /// Sends a datagram and a copy of it after `wait`, or the bytes of a stream twice in one segment.
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

    /// Delivers a message after `wait`. What follows on the same stream is not delivered before it.
    fn delay_in_order(&mut self, event: Event, wait: Time) {
        if let Event::Data { conn, .. } = &event {
            let at = self.now + wait;
            if let Some(endpoint) = self.endpoint(*conn) {
                endpoint.last_arrival = endpoint.last_arrival.max(at);
            }
        }
        self.schedule(wait, event);
    }

    /// Sends a datagram to the first socket of another node, or drops it where that node has none.
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

    /// Schedules the delivery according to the path. The random numbers are drawn in a fixed order, because
    /// the reproducibility of seeded runs depends on it.
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

    /// Schedules an event of a stream, no earlier than the previous one for the same endpoint.
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
