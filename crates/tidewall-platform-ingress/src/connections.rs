//! Client connections: what is known of each, how many there may be and how long one that asks nothing may stay. Times are
//! in tenths of a millisecond.
use tidewall_net::{Conn, Time};

/// A connection that has sent no complete command is closed so long after it was accepted: well within the 3 s in which
/// its client has to get a reply or an error, and long enough for a slow first command.
const FIRST_COMMAND_TIMEOUT: Time = 20_000;

/// A connection without open calls is closed when it has been idle for so long; the clients that the platform's page
/// describes close theirs after 4 s.
const IDLE_TIMEOUT: Time = 60_000;

/// The clients that the page describes close a connection that has been idle for so long: one that stays longer asks
/// nothing more.
const CLIENT_IDLE_TIMEOUT: Time = 40_000;

/// A first command follows its connection within this: twice what the page counts for what crosses a close.
const FIRST_COMMAND_DELAY: Time = 1_000;

/// How often connections are checked for these times: a tenth of the shortest one that closes a connection.
pub(crate) const CHECK_INTERVAL: Time = 2_000;

/// A connection that got an error is closed so much later, unread, so that its client reads the error before the end.
const ERROR_LINGER: Time = 3_000;

/// What is known of one client connection.
#[derive(Default)]
pub(crate) struct ClientConnection {
    /// The connection; `None` in an unused slot.
    pub(crate) conn: Option<Conn>,
    /// How many calls have no reply yet.
    pub(crate) open_calls: u32,
    /// The highest tag of a call so far; one at or below it was used before.
    pub(crate) highest_tag: u64,
    accepted_at: Time,
    /// When it last sent a complete command or got a reply.
    last_active: Time,
    has_sent_command: bool,
    /// It got an error and is closed at this time.
    closes_at: Option<Time>,
}

impl ClientConnection {
    /// Notes a complete command.
    pub(crate) fn command_received(&mut self, now: Time) {
        self.has_sent_command = true;
        self.last_active = now;
    }

    /// Notes a reply.
    pub(crate) fn reply_sent(&mut self, now: Time) {
        self.last_active = now;
    }

    /// Notes an error, behind which nothing is read any more.
    pub(crate) fn error_sent(&mut self, now: Time) {
        self.closes_at = Some(now + ERROR_LINGER);
    }

    /// Whether it got an error.
    pub(crate) fn has_failed(&self) -> bool {
        self.closes_at.is_some()
    }

    /// Whether it is due to be closed.
    pub(crate) fn has_timed_out(&self, now: Time) -> bool {
        match self.closes_at {
            Some(closes_at) => now >= closes_at,
            None if !self.has_sent_command => now >= self.accepted_at + FIRST_COMMAND_TIMEOUT,
            None => self.open_calls == 0 && now >= self.last_active + IDLE_TIMEOUT,
        }
    }

    fn eviction_class(&self, now: Time) -> EvictionClass {
        match (self.closes_at, self.has_sent_command) {
            (Some(_), _) => EvictionClass::Failed,
            (None, false) if now >= self.accepted_at + FIRST_COMMAND_DELAY => EvictionClass::Silent,
            (None, true) if now >= self.last_active + CLIENT_IDLE_TIMEOUT => EvictionClass::Unused,
            (None, true) => EvictionClass::Idle,
            (None, false) => EvictionClass::New,
        }
    }
}

/// In which order connections without open calls make room for others.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// It got an error.
    Failed,
    /// It never sent a command.
    Silent,
    /// It has been idle for longer than its client would leave it open.
    Unused,
    /// It has been idle for less.
    Idle,
    /// It was accepted just now: its first command is on its way, and would be lost.
    New,
}

/// A connection that may be closed to make room, ordered by who goes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionCandidate {
    class: EvictionClass,
    last_active: Time,
    conn: Conn,
}

/// All client connections, by the index of their connection.
pub(crate) struct ClientConnections {
    slots: Vec<ClientConnection>,
    /// How many slots are used.
    count: usize,
    /// How many may be used.
    max: usize,
}

impl ClientConnections {
    /// At most `max` connections.
    pub(crate) fn new(max: usize) -> ClientConnections {
        ClientConnections {
            slots: Vec::new(),
            count: 0,
            max,
        }
    }

    /// The slot of `conn`, which may hold another connection that had or has its index.
    pub(crate) fn slot(&mut self, conn: Conn) -> &mut ClientConnection {
        if self.slots.len() <= conn.index() {
            self.slots
                .resize_with(conn.index() + 1, ClientConnection::default);
        }
        &mut self.slots[conn.index()]
    }

    /// Adds a connection; true where there are more now than there may be.
    pub(crate) fn add(&mut self, conn: Conn, now: Time) -> bool {
        *self.slot(conn) = ClientConnection {
            conn: Some(conn),
            accepted_at: now,
            last_active: now,
            ..ClientConnection::default()
        };
        self.count += 1;
        self.count > self.max
    }

    /// Whether the connection is known.
    pub(crate) fn contains(&mut self, conn: Conn) -> bool {
        self.slot(conn).conn == Some(conn)
    }

    /// Removes a connection that has no open calls; does nothing where it is not known.
    pub(crate) fn remove(&mut self, conn: Conn) {
        if self.contains(conn) {
            *self.slot(conn) = ClientConnection::default();
            self.count -= 1;
        }
    }

    /// How many slots there are, used or not.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// The connection at an index below [`Self::len`], where it has timed out.
    pub(crate) fn timed_out(&self, index: usize, now: Time) -> Option<&ClientConnection> {
        let connection = &self.slots[index];
        (connection.conn.is_some() && connection.has_timed_out(now)).then_some(connection)
    }

    /// Connections without open calls, those first that make room first: that got an error, then the oldest that sent
    /// nothing, then the one that has been idle for longest.
    pub(crate) fn eviction_order(&self, now: Time) -> impl Iterator<Item = Conn> {
        let mut candidates: Vec<EvictionCandidate> = self
            .slots
            .iter()
            .filter(|connection| connection.open_calls == 0)
            .filter_map(|connection| {
                Some(EvictionCandidate {
                    class: connection.eviction_class(now),
                    last_active: connection.last_active,
                    conn: connection.conn?,
                })
            })
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|candidate| candidate.conn)
    }
}
