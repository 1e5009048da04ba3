//! Client connections: their state, their maximum number and their timeouts. Times are in tenths of
//! a millisecond.
use crate::eviction_policy::{EvictionCandidate, EvictionFacts};
use crate::unread_replies::Unread;
use crate::used_tags::UsedTags;
use tidewall_net::{Conn, Time};

/// A connection that has sent no complete command is closed this long after it was accepted. That
/// is well within the 3 s in which its client has to get a reply or an error, and long enough for a
/// slow first command.
const FIRST_COMMAND_TIMEOUT: Time = 20_000;

/// A connection without open calls is closed after it has been idle for this long. According to the
/// platform's specification, clients close theirs after 4 s.
const IDLE_TIMEOUT: Time = 60_000;

/// Interval of the timeout checks: a tenth of the shortest timeout that closes a connection.
pub(crate) const CHECK_INTERVAL: Time = 2_000;

/// Delay between sending an error and closing the connection, during which nothing is read, so that
/// the client reads the error before the end of the stream.
const ERROR_LINGER: Time = 3_000;

/// State of one client connection.
#[derive(Default)]
pub(crate) struct ClientConnection {
    /// The connection; `None` in an unused slot.
    pub(crate) conn: Option<Conn>,
    /// Number of calls without a reply.
    pub(crate) open_calls: u32,
    /// Tags of calls on this connection.
    pub(crate) used_tags: UsedTags,
    /// What the client leaves unread. Changed by [`ClientConnections::set_unread`] only.
    pub(crate) unread: Unread,
    accepted_at: Time,
    /// Time of the last complete command or reply.
    last_active: Time,
    has_sent_command: bool,
    /// By how many its rejected and failed calls outnumber its completed ones, counted from 0 up.
    excess_of_unsuccessful: u32,
    /// If an error was sent: when to close the connection.
    closes_at: Option<Time>,
}

impl ClientConnection {
    /// Records that a complete command was received.
    pub(crate) fn command_received(&mut self, now: Time) {
        self.has_sent_command = true;
        self.last_active = now;
    }

    /// Records that a reply was sent.
    pub(crate) fn reply_sent(&mut self, now: Time) {
        self.last_active = now;
    }

    /// Records that an error was sent. No further commands are read.
    pub(crate) fn error_sent(&mut self, now: Time) {
        self.closes_at = Some(now + ERROR_LINGER);
    }

    /// Records that the client has read something. If an error was sent, it may still read that.
    pub(crate) fn read_replies(&mut self, now: Time) {
        self.last_active = now;
        self.closes_at = self.closes_at.map(|_| now + ERROR_LINGER);
    }

    /// Whether an error was sent.
    pub(crate) fn has_failed(&self) -> bool {
        self.closes_at.is_some()
    }

    /// Whether the connection should be closed because of a timeout.
    pub(crate) fn has_timed_out(&self, now: Time) -> bool {
        match self.closes_at {
            Some(closes_at) => now >= closes_at,
            None if !self.has_sent_command => now >= self.accepted_at + FIRST_COMMAND_TIMEOUT,
            None => self.open_calls == 0 && now >= self.last_active + IDLE_TIMEOUT,
        }
    }

    /// Records how a call ended.
    pub(crate) fn call_answered(&mut self, completed: bool) {
        if completed {
            self.excess_of_unsuccessful = self.excess_of_unsuccessful.saturating_sub(1);
        } else {
            self.excess_of_unsuccessful = self.excess_of_unsuccessful.saturating_add(1);
        }
    }

    fn eviction_facts(&self, now: Time) -> EvictionFacts {
        EvictionFacts {
            has_failed: self.has_failed(),
            has_unread_replies: self.unread.bytes > 0,
            has_sent_command: self.has_sent_command,
            open_calls: self.open_calls,
            excess_of_unsuccessful: self.excess_of_unsuccessful,
            connected_for: now.saturating_sub(self.accepted_at),
            idle_for: now.saturating_sub(self.last_active),
        }
    }
}

/// All client connections, by connection index.
pub(crate) struct ClientConnections {
    slots: Vec<ClientConnection>,
    /// Number of used slots.
    count: usize,
    /// Maximum number of used slots.
    max: usize,
    /// Sum of the unread bytes of all connections.
    total_unread: usize,
}

impl ClientConnections {
    /// Creates an empty set for at most `max` connections.
    pub(crate) fn new(max: usize) -> ClientConnections {
        ClientConnections {
            slots: Vec::new(),
            count: 0,
            max,
            total_unread: 0,
        }
    }

    /// Returns the slot of the connection index of `conn`. Another connection with the same index
    /// may occupy it.
    pub(crate) fn slot(&mut self, conn: Conn) -> &mut ClientConnection {
        if self.slots.len() <= conn.index() {
            self.slots
                .resize_with(conn.index() + 1, ClientConnection::default);
        }
        &mut self.slots[conn.index()]
    }

    /// Adds a connection.
    pub(crate) fn add(&mut self, conn: Conn, now: Time) {
        *self.slot(conn) = ClientConnection {
            conn: Some(conn),
            accepted_at: now,
            last_active: now,
            ..ClientConnection::default()
        };
        self.count += 1;
    }

    /// Whether there are more connections than the maximum.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.count > self.max
    }

    /// Whether `conn` is one of these connections.
    pub(crate) fn contains(&mut self, conn: Conn) -> bool {
        self.slot(conn).conn == Some(conn)
    }

    /// Removes a connection without open calls. Does nothing if it is unknown.
    pub(crate) fn remove(&mut self, conn: Conn) {
        if self.contains(conn) {
            self.set_unread(conn, Unread::default());
            *self.slot(conn) = ClientConnection::default();
            self.count -= 1;
        }
    }

    /// Records what a client leaves unread. Does nothing if the connection is unknown.
    pub(crate) fn set_unread(&mut self, conn: Conn, unread: Unread) {
        if self.contains(conn) {
            let before = std::mem::replace(&mut self.slot(conn).unread, unread);
            self.total_unread = self.total_unread + unread.bytes - before.bytes;
        }
    }

    /// Sum of what all clients leave unread, in bytes, as far as it was recorded.
    pub(crate) fn total_unread(&self) -> usize {
        self.total_unread
    }

    /// The connections whose clients leave something unread, as far as it was recorded.
    pub(crate) fn with_unread(&self) -> Vec<Conn> {
        let unread = self
            .slots
            .iter()
            .filter(|connection| connection.unread.bytes > 0);
        unread.filter_map(|connection| connection.conn).collect()
    }

    /// Number of slots, used and unused.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the connection in the slot `index`, less than [`Self::len`], if it has timed out.
    pub(crate) fn timed_out(&self, index: usize, now: Time) -> Option<&ClientConnection> {
        let connection = &self.slots[index];
        (connection.conn.is_some() && connection.has_timed_out(now)).then_some(connection)
    }

    /// The connections that may be closed to make room, in the order in which they are to be closed.
    pub(crate) fn eviction_order(&self, now: Time) -> Vec<EvictionCandidate> {
        let candidate = |connection: &ClientConnection| {
            EvictionCandidate::new(connection.conn?, &connection.eviction_facts(now))
        };
        let mut candidates: Vec<_> = self.slots.iter().filter_map(candidate).collect();
        candidates.sort_unstable();
        candidates
    }
}
