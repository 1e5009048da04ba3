//! The write side of connections: write buffers, flushed at the end of each wake-up.
use super::Mio;
use crate::buffer::WRITE_BUFFER_LIMIT;
use crate::{App, Conn};
use std::io::{self, Write};

impl Mio {
    /// Appends to the write buffer, unless its limit would be passed.
    pub(super) fn queue_write(&mut self, conn: Conn, bytes: &[u8]) -> bool {
        let Some(c) = self.connection_mut(conn) else {
            return false;
        };
        if c.closing {
            return false;
        }
        if c.write_buffer.len() + bytes.len() > WRITE_BUFFER_LIMIT {
            c.writable_pending = true;
            return false;
        }
        c.write_buffer.push(bytes);
        self.queue_flush(conn);
        true
    }

    /// Writes to the socket behind what is buffered, as far as it accepts, and returns how many bytes it accepted.
    pub(super) fn write_directly(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let (intact, now) = (self.flush_connection(conn), self.clock.now());
        let Some(c) = self
            .connection_mut(conn)
            .filter(|c| !c.closing && c.is_established())
        else {
            return 0;
        };
        let mut written = 0;
        while intact && c.write_buffer.is_empty() && written < bytes.len() {
            match c.socket.write(&bytes[written..]) {
                Ok(count @ 1..) => written += count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // The read meets the end, after what the peer sent before it.
                _ => {
                    c.readable = true;
                    break;
                }
            }
        }
        c.writable_pending |= written < bytes.len();
        c.last_write = if written > 0 { now } else { c.last_write };
        c.readable |= !intact;
        if c.readable {
            self.queue_read(conn);
        }
        written
    }

    /// Writes the buffer as far as the socket accepts. False where the connection is broken.
    #[must_use]
    fn flush_connection(&mut self, conn: Conn) -> bool {
        let now = self.clock.now();
        let Some(c) = self.connection_mut(conn) else {
            return true;
        };
        if !c.is_established() {
            return true;
        }
        while !c.write_buffer.is_empty() {
            match c.socket.write(c.write_buffer.data()) {
                Ok(0) => return false,
                Ok(count) => {
                    c.write_buffer.consume(count);
                    c.last_write = now;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }
}

/// Flushes the connections that were written to.
pub(super) fn flush_queued<A: App<Net = Mio>>(app: &mut A) {
    // What `App::writable` writes is sent in the same wake-up; two rounds at most, so that no app holds the loop.
    for _ in 0..2 {
        let mut queue = std::mem::take(&mut app.net().flush_queue);
        for conn in queue.drain(..) {
            flush(app, conn);
        }
        if app.net().flush_queue.is_empty() {
            // Keeps the queue's allocation.
            app.net().flush_queue = queue;
            return;
        }
    }
}

fn flush<A: App<Net = Mio>>(app: &mut A, conn: Conn) {
    let net = app.net();
    if let Some(c) = net.connection_mut(conn) {
        c.flush_queued = false;
    }
    let intact = net.flush_connection(conn);
    let Some(c) = net.connection_mut(conn) else {
        return;
    };
    let (closing, empty) = (c.closing, c.write_buffer.is_empty());
    if !intact && !closing {
        // What the peer sent before the connection broke is read first; the read then meets the end.
        c.discard_unsent();
        c.readable = true;
        net.queue_read(conn);
    } else if c.aborted {
        // Removed when the app is notified of the abort.
    } else if !intact || closing && empty {
        if !intact || !net.wrote_recently(conn) || net.shut_down_or_done(conn) {
            net.remove_connection(conn);
        }
    } else if empty && std::mem::take(&mut c.writable_pending) {
        app.writable(conn);
    }
}
