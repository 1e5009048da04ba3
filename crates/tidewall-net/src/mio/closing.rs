//! The end of connections: graceful close with a linger, reset and abort.
use super::slots::{InternalTimer, PendingClose, Slot};
use super::Mio;
use crate::{CloseReason, Conn, Time};
use std::net::Shutdown;
use std::time::Duration;

/// A connection that was written to less than this (100 ms) ago is closed in two steps: first the write half; then,
/// when the peer has closed too or after this time, the rest. Closing a socket with unread bytes sends a reset, which
/// may discard the last answer before the peer has read it. A hundred round trips of a local network; far less than
/// clients wait.
const LINGER: Time = 1_000;

/// Time between two looks at the lingering connections before the loop returns.
const LINGER_POLL: Duration = Duration::from_millis(5);

impl Mio {
    /// Closes once the write buffer is sent.
    pub(super) fn close_gracefully(&mut self, conn: Conn) {
        if let Some(c) = self.connection_mut(conn) {
            c.closing = true;
            self.queue_flush(conn);
        }
        self.remove_failed_connect(conn);
    }

    /// Resets the connection and notifies the app in this wake-up.
    pub(super) fn abort_connection(&mut self, conn: Conn) {
        if let Some(c) = self.connection_mut(conn) {
            // The slot stays occupied until the app is notified, so that no other connection gets the same index.
            c.closing = true;
            c.discard_unsent();
            c.reset_on_close();
            c.aborted = true;
            let reason = CloseReason::Reset;
            self.pending_closes.push_back(PendingClose { conn, reason });
        }
    }

    /// Resets the connection at once.
    pub(super) fn reset_connection(&mut self, conn: Conn) {
        if let Some(c) = self.connection_mut(conn) {
            c.reset_on_close();
        }
        self.remove_connection(conn);
        self.remove_failed_connect(conn);
    }

    /// Whether its peer may still have to read what was written to it last.
    pub(super) fn wrote_recently(&self, conn: Conn) -> bool {
        let now = self.clock.now();
        self.connection(conn)
            .is_some_and(|c| c.last_write > 0 && now <= c.last_write + LINGER)
    }

    /// With all written: shuts down the write half and starts the linger. True where there is nothing to wait for and
    /// the connection can be removed.
    #[must_use]
    pub(super) fn shut_down_or_done(&mut self, conn: Conn) -> bool {
        let now = self.clock.now();
        let Some(c) = self.connection(conn) else {
            return true;
        };
        if c.linger_timer.is_some() {
            return false;
        }
        if c.socket.shutdown(Shutdown::Write).is_err() {
            return true;
        }
        let token = InternalTimer::Connection(conn).token();
        let timer = self.internal_timers.insert(now + LINGER, token);
        if let Some(c) = self.connection_mut(conn) {
            (c.linger_timer, c.readable) = (Some(timer), true);
        }
        self.queue_read(conn);
        false
    }

    /// Before the process closes the sockets: shuts down the write half of all accepted connections and reads what they
    /// send until they close too, or the linger ends. See [`LINGER`].
    pub(super) fn linger_all(&mut self) {
        self.clock.update();
        let until = self.clock.now() + LINGER;
        let mut chunk = std::mem::take(&mut self.read_chunk);
        let mut lingering: Vec<Conn> = Vec::new();
        for (index, slot) in &self.slots {
            if let Slot::Connection(c) = slot {
                let lingers = c.accepted && !c.aborted;
                lingering.extend(lingers.then_some(Conn::new(index, c.generation)));
            }
        }
        lingering.retain(|conn| !self.shut_down_or_done(*conn));
        while !lingering.is_empty() && self.clock.now() < until {
            lingering.retain(|conn| {
                self.connection_mut(*conn)
                    .is_some_and(|c| !c.discard_input(&mut chunk))
            });
            if let Some(events) = self.events.as_mut().filter(|_| !lingering.is_empty()) {
                // An interrupted poll only makes this round shorter.
                let _ = self.poll.poll(events, Some(LINGER_POLL));
            }
            self.clock.update();
        }
        self.read_chunk = chunk;
    }
}
