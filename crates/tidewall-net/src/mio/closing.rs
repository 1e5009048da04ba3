//! Ways to end a connection: graceful close with a linger, reset and abort.
use super::slots::{InternalTimer, PendingClose, Slot};
use super::Mio;
use crate::{CloseReason, Conn, Time};
use std::net::Shutdown;
use std::time::Duration;

/// A connection that was written to at most this long (100 ms) ago is closed in two steps: first the write
/// half, and the rest when the peer has closed too or after this time. Closing a socket with unread bytes
/// sends a reset, which may discard the last response before the peer has read it. 100 ms is a hundred round
/// trips on a local network, and far less than clients wait.
const LINGER: Time = 1_000;

/// Interval at which lingering connections are checked before the event loop returns.
const LINGER_POLL: Duration = Duration::from_millis(5);

impl Mio {
    /// Closes the connection once its write buffer has been sent.
    pub(super) fn close_gracefully(&mut self, conn: Conn) {
        if let Some(connection) = self.connection_mut(conn) {
            connection.closing = true;
            self.queue_flush(conn);
        }
        self.remove_failed_connect(conn);
    }

    /// Resets the connection and notifies the app in this wake-up.
    pub(super) fn abort_connection(&mut self, conn: Conn) {
        if let Some(connection) = self.connection_mut(conn) {
            // The slot stays occupied until the app has been notified, so that no other connection gets the
            // same index.
            connection.closing = true;
            connection.discard_unsent();
            connection.reset_on_close();
            connection.aborted = true;
            let reason = CloseReason::Reset;
            self.pending_closes.push_back(PendingClose { conn, reason });
        }
    }

    /// Resets the connection at once.
    pub(super) fn reset_connection(&mut self, conn: Conn) {
        if let Some(connection) = self.connection_mut(conn) {
            connection.reset_on_close();
        }
        self.remove_connection(conn);
        self.remove_failed_connect(conn);
    }

    /// Whether the connection was written to so recently that its peer may not have read all of it.
    pub(super) fn wrote_recently(&self, conn: Conn) -> bool {
        let now = self.clock.now();
        self.connection(conn)
            .is_some_and(|c| c.last_write > 0 && now <= c.last_write + LINGER)
    }

    /// Shuts down the write half of a connection whose write buffer is empty, and starts the linger. Returns
    /// true where there is nothing to wait for and the connection can be removed.
    #[must_use]
    pub(super) fn shut_down_write(&mut self, conn: Conn) -> bool {
        let now = self.clock.now();
        let Some(connection) = self.connection(conn) else {
            return true;
        };
        if connection.linger_timer.is_some() {
            return false;
        }
        if connection.socket.shutdown(Shutdown::Write).is_err() {
            return true;
        }
        let token = InternalTimer::Connection(conn).token();
        let timer = self.internal_timers.insert(now + LINGER, token);
        if let Some(connection) = self.connection_mut(conn) {
            (connection.linger_timer, connection.readable) = (Some(timer), true);
        }
        self.queue_read(conn);
        false
    }

    /// Shuts down the write half of all accepted connections and discards their input until the peers close
    /// too or the linger ends. Called before the process closes the sockets; see [`LINGER`].
    pub(super) fn linger_all(&mut self) {
        self.clock.update();
        let until = self.clock.now() + LINGER;
        let mut chunk = std::mem::take(&mut self.read_chunk);
        let mut lingering: Vec<Conn> = Vec::new();
        for (index, slot) in &self.slots {
            if let Slot::Connection(connection) = slot {
                let lingers = connection.accepted && !connection.aborted;
                lingering.extend(lingers.then_some(Conn::new(index, connection.generation)));
            }
        }
        lingering.retain(|conn| !self.shut_down_write(*conn));
        while !lingering.is_empty() && self.clock.now() < until {
            lingering.retain(|conn| {
                self.connection_mut(*conn)
                    .is_some_and(|c| !c.discard_input(&mut chunk))
            });
            if let Some(events) = self.events.as_mut().filter(|_| !lingering.is_empty()) {
                // An interrupted poll only shortens this interval.
                let _ = self.poll.poll(events, Some(LINGER_POLL));
            }
            self.clock.update();
        }
        self.read_chunk = chunk;
    }
}
