//! The write side of connections: write buffers, which are flushed at the end of each wake-up.
use super::connection::Connection;
use super::Mio;
use crate::buffer::WRITE_BUFFER_LIMIT;
use crate::{App, Conn};
use std::io::{self, Write};

impl Mio {
    /// Appends all bytes to the write buffer and returns true, or none where its limit would be exceeded by
    /// bytes that the socket has refused.
    pub(super) fn queue_write(&mut self, conn: Conn, bytes: &[u8]) -> bool {
        let has_capacity = |connection: &Connection| {
            connection.write_buffer.len() + bytes.len() <= WRITE_BUFFER_LIMIT
        };
        if self.connection(conn).is_some_and(|c| !has_capacity(c)) {
            // What was written in this wake-up may not have been offered to the socket yet.
            self.flush_within_wakeup(conn);
        }
        let Some(connection) = self.connection_mut(conn) else {
            return false;
        };
        if connection.closing {
            return false;
        }
        if !has_capacity(connection) {
            connection.writable_pending = true;
            return false;
        }
        connection.write_buffer.push(bytes);
        self.queue_flush(conn);
        true
    }

    /// Writes to the socket after what is buffered, as much as the socket accepts, and returns how many of
    /// the bytes it accepted.
    pub(super) fn write_directly(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let (intact, now) = (self.flush_connection(conn), self.clock.now());
        let Some(connection) = self
            .connection_mut(conn)
            .filter(|c| !c.closing && c.is_established())
        else {
            return 0;
        };
        let mut written = 0;
        while intact && connection.write_buffer.is_empty() && written < bytes.len() {
            match connection.socket.write(&bytes[written..]) {
                Ok(count @ 1..) => written += count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // A broken connection is handled by the read, after the input that precedes its end.
                _ => {
                    connection.readable = true;
                    break;
                }
            }
        }
        connection.writable_pending |= written < bytes.len();
        connection.last_write = if written > 0 {
            now
        } else {
            connection.last_write
        };
        connection.readable |= !intact;
        if connection.readable {
            self.queue_read(conn);
        }
        written
    }

    /// Writes as much of the write buffer as the socket accepts, within a wake-up.
    pub(super) fn flush_within_wakeup(&mut self, conn: Conn) {
        if !self.flush_connection(conn) {
            // A broken connection is handled by the read, after the input that precedes its end.
            if let Some(connection) = self.connection_mut(conn) {
                connection.readable = true;
            }
            self.queue_read(conn);
        }
    }

    /// Writes as much of the write buffer as the socket accepts. Returns false where the connection is
    /// broken.
    #[must_use]
    fn flush_connection(&mut self, conn: Conn) -> bool {
        let now = self.clock.now();
        let Some(connection) = self.connection_mut(conn) else {
            return true;
        };
        if !connection.is_established() {
            return true;
        }
        while !connection.write_buffer.is_empty() {
            match connection.socket.write(connection.write_buffer.data()) {
                Ok(0) => return false,
                Ok(count) => {
                    connection.write_buffer.consume(count);
                    connection.last_write = now;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    connection.blocked_since.get_or_insert(now);
                    return true;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        connection.blocked_since = None;
        true
    }
}

/// Flushes the connections in the flush queue.
pub(super) fn flush_queued<A: App<Net = Mio>>(app: &mut A) {
    // A second round sends what `App::writable` wrote. There are no more rounds, so that no app can block the
    // loop.
    for _ in 0..2 {
        let mut queue = std::mem::take(&mut app.net().flush_queue);
        for conn in queue.drain(..) {
            flush(app, conn);
        }
        if app.net().flush_queue.is_empty() {
            // Keeps the allocation of the queue.
            app.net().flush_queue = queue;
            return;
        }
    }
}

fn flush<A: App<Net = Mio>>(app: &mut A, conn: Conn) {
    let net = app.net();
    if let Some(connection) = net.connection_mut(conn) {
        connection.flush_queued = false;
    }
    let intact = net.flush_connection(conn);
    let Some(connection) = net.connection_mut(conn) else {
        return;
    };
    let (closing, empty) = (connection.closing, connection.write_buffer.is_empty());
    if !intact && !closing {
        // What the peer sent before the connection broke is read first; that read also finds the end.
        connection.discard_unsent();
        connection.readable = true;
        net.queue_read(conn);
    } else if connection.aborted {
        // The connection is removed when the app is notified of the abort.
    } else if !intact || closing && empty {
        if !intact || !net.wrote_recently(conn) || net.shut_down_write(conn) {
            net.remove_connection(conn);
        }
    } else if empty && std::mem::take(&mut connection.writable_pending) {
        app.writable(conn);
    }
}
