//! The slot table: sockets by registration token, the generations of connections, and the queues of
//! connections to read or flush in this wake-up.
use super::connection::Connection;
use super::Mio;
use crate::{CloseReason, Conn, Listener, Time};
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Interest, Token};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// Marks the timer token of a listener or datagram socket. Generations have 31 bits, so that no [`Conn`] has
/// this bit.
const SOCKET_BIT: u64 = 1 << 63;

/// Generations wrap around at 31 bits; see [`SOCKET_BIT`].
const GENERATION_MASK: u32 = 0x7fff_ffff;

/// What a registration token refers to.
pub(super) enum Slot {
    Listener(TcpListener),
    /// Boxed, because a connection is many times larger than the other variants.
    Connection(Box<Connection>),
    DatagramSocket(UdpSocket),
    /// A connection that failed immediately, by its generation. It occupies the slot until the app has been
    /// notified.
    FailedConnect(u32),
}

/// Connections to read, each at most once. Those that were not reached stay first in their queue.
#[derive(Default)]
pub(super) struct ReadQueues {
    /// Connections that this process opened. What arrives on them are answers to what it sent.
    pub(super) opened: VecDeque<Conn>,
    /// Connections that were accepted.
    pub(super) accepted: VecDeque<Conn>,
}

impl ReadQueues {
    pub(super) fn is_empty(&self) -> bool {
        self.opened.is_empty() && self.accepted.is_empty()
    }
}

/// A connection that ended without an event of its socket, and of which the app must be notified.
pub(super) struct PendingClose {
    pub(super) conn: Conn,
    pub(super) reason: CloseReason,
}

/// A connection that was accepted when its listener was closed, and of which the app must be notified.
pub(super) struct PendingAccept {
    pub(super) listener: Listener,
    pub(super) conn: Conn,
    pub(super) from: SocketAddr,
}

/// The purpose of an internal timer.
pub(super) enum InternalTimer {
    /// The connect timeout of a connection, or the end of its linger.
    Connection(Conn),
    /// Resumes accepting or receiving on the socket with this slot index.
    ResumeSocket(usize),
}

impl InternalTimer {
    /// The token of the timer in the wheel.
    pub(super) fn token(self) -> u64 {
        match self {
            InternalTimer::Connection(conn) => conn.0,
            InternalTimer::ResumeSocket(index) => index as u64 | SOCKET_BIT,
        }
    }

    /// The inverse of [`InternalTimer::token`].
    pub(super) fn from_token(token: u64) -> InternalTimer {
        if token & SOCKET_BIT == 0 {
            InternalTimer::Connection(Conn(token))
        } else {
            InternalTimer::ResumeSocket((token & !SOCKET_BIT) as usize)
        }
    }
}

impl Mio {
    /// The connection, or `None` where it was removed, even if its slot is in use again.
    pub(super) fn connection(&self, conn: Conn) -> Option<&Connection> {
        match self.slots.get(conn.index()) {
            Some(Slot::Connection(c)) if c.generation == conn.generation() => Some(c),
            _ => None,
        }
    }

    /// Like [`Mio::connection`], but mutable.
    pub(super) fn connection_mut(&mut self, conn: Conn) -> Option<&mut Connection> {
        match self.slots.get_mut(conn.index()) {
            Some(Slot::Connection(c)) if c.generation == conn.generation() => Some(c),
            _ => None,
        }
    }

    pub(super) fn next_generation(&mut self) -> u32 {
        self.last_generation = self.last_generation.wrapping_add(1) & GENERATION_MASK;
        self.last_generation
    }

    /// Registers a stream socket: an accepted one, or one that must be connected by `connect_deadline`.
    pub(super) fn add_connection(
        &mut self,
        socket: TcpStream,
        connect_deadline: Option<Time>,
    ) -> io::Result<Conn> {
        let generation = self.next_generation();
        let entry = self.slots.vacant_entry();
        let conn = Conn::new(entry.key(), generation);
        let mut connection = Connection::new(socket, generation);
        connection.accepted = connect_deadline.is_none();
        self.poll.registry().register(
            &mut connection.socket,
            Token(entry.key()),
            Interest::READABLE | Interest::WRITABLE,
        )?;
        connection.connect_timer = connect_deadline.map(|at| {
            let token = InternalTimer::Connection(conn).token();
            self.internal_timers.insert(at, token)
        });
        entry.insert(Slot::Connection(Box::new(connection)));
        Ok(conn)
    }

    /// Closes the connection's socket and frees its slot.
    pub(super) fn remove_connection(&mut self, conn: Conn) {
        if let Some(connection) = self.connection_mut(conn) {
            let timers = [
                connection.connect_timer.take(),
                connection.linger_timer.take(),
            ];
            for timer in timers.into_iter().flatten() {
                self.internal_timers.cancel(timer);
            }
            if let Slot::Connection(mut connection) = self.slots.remove(conn.index()) {
                // Dropping the socket closes it, whether or not deregistering succeeds.
                let _ = self.poll.registry().deregister(&mut connection.socket);
            }
        }
    }

    /// Frees the slot of a connection that failed immediately, and drops its notification if that is still
    /// pending.
    pub(super) fn remove_failed_connect(&mut self, conn: Conn) {
        let slot = self.slots.get(conn.index());
        if matches!(slot, Some(Slot::FailedConnect(generation)) if *generation == conn.generation())
        {
            self.slots.remove(conn.index());
            self.pending_closes.retain(|pending| pending.conn != conn);
        }
    }

    /// Queues the connection to be read in this wake-up or in a later one.
    pub(super) fn queue_read(&mut self, conn: Conn) {
        let Some(connection) = self.connection_mut(conn) else {
            return;
        };
        let accepted = connection.accepted;
        if std::mem::replace(&mut connection.read_queued, true) {
            return;
        }
        let queue = if accepted {
            &mut self.read_queues.accepted
        } else {
            &mut self.read_queues.opened
        };
        queue.push_back(conn);
    }

    /// Queues the connection to be flushed at the end of this wake-up.
    pub(super) fn queue_flush(&mut self, conn: Conn) {
        if let Some(connection) = self.connection_mut(conn) {
            if !std::mem::replace(&mut connection.flush_queued, true) {
                self.flush_queue.push(conn);
            }
        }
    }
}
