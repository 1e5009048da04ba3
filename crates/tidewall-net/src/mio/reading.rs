//! The read side of connections: queued reads, pausing, and the look before a close.
use super::connection::Connection;
use super::Mio;
use crate::buffer::READ_BUFFER_LIMIT;
use crate::{App, CloseReason, Conn};
use std::io::{self, Read};

/// A connection with a raised read limit is read so often in a round, 1 MiB: a message of hundreds of kilobytes would otherwise
/// take several wake-ups, and what it says be late by as much.
const READS_OF_LONG_MESSAGES: usize = 16;

impl Mio {
    pub(super) fn pause_reading(&mut self, conn: Conn, paused: bool) {
        let now = self.clock.now();
        if let Some(c) = self.connection_mut(conn) {
            if paused && !c.read_paused {
                c.paused_at = now;
            } else if !paused && c.read_paused {
                c.pause_delay += now - c.paused_at;
            }
            c.read_paused = paused;
            self.queue_read(conn);
        }
    }

    /// Whether bytes have arrived that the app has not seen. Reads them where no readiness was reported yet.
    pub(super) fn find_unread(&mut self, conn: Conn) -> bool {
        let mut chunk = std::mem::take(&mut self.read_chunk);
        let mut found = false;
        if let Some(c) = self
            .connection_mut(conn)
            .filter(|c| !c.closing && !c.read_paused && c.is_established())
        {
            found = c.read_queued && !c.read_buffer.is_empty();
            if !found {
                // What arrived during this wake-up has had no readiness event: only a read shows it.
                let mut read = c.socket.read(&mut chunk);
                while read
                    .as_ref()
                    .is_err_and(|e| e.kind() == io::ErrorKind::Interrupted)
                {
                    read = c.socket.read(&mut chunk);
                }
                if let Ok(len @ 1..) = read {
                    c.read_buffer.push(&chunk[..len]);
                    (c.readable, found) = (true, true);
                }
            }
        }
        self.read_chunk = chunk;
        if found {
            self.queue_read(conn);
        }
        found
    }

    /// Reads into the connection's buffer: once, or some times more where its messages are long. Returns why the connection
    /// ended, if a read shows that.
    fn fill_read_buffer(&mut self, conn: Conn, chunk: &mut [u8]) -> Option<CloseReason> {
        let is_long = self
            .connection(conn)
            .is_some_and(|c| c.read_limit > READ_BUFFER_LIMIT);
        let reads = if is_long { READS_OF_LONG_MESSAGES } else { 1 };
        (0..reads).find_map(|_| self.read_once(conn, chunk))
    }

    fn read_once(&mut self, conn: Conn, chunk: &mut [u8]) -> Option<CloseReason> {
        let c = self.connection_mut(conn)?;
        if !c.readable {
            return None;
        }
        match c.socket.read(chunk) {
            Ok(0) => return Some(CloseReason::Ended),
            Ok(len) => {
                c.read_buffer.push(&chunk[..len]);
                self.queue_read(conn);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                (c.readable, c.pause_delay) = (false, 0);
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => self.queue_read(conn),
            Err(_) => return Some(CloseReason::Reset),
        }
        None
    }

    /// Discards the input of a lingering connection; at its end the connection is removed.
    fn discard_while_lingering(&mut self, conn: Conn, chunk: &mut [u8]) {
        let at_end = self
            .connection_mut(conn)
            .is_some_and(|c| c.discard_input(chunk));
        if at_end {
            self.remove_connection(conn);
        }
    }
}

/// Reads once from each connection that is queued now.
pub(super) fn read_queued<A: App<Net = Mio>>(app: &mut A) {
    for _ in 0..app.net().read_queue.len() {
        let Some(conn) = app.net().read_queue.pop_front() else {
            return;
        };
        read(app, conn);
    }
}

/// Reads once from a connection, passes what has arrived to the app, and closes the connection where it ended.
fn read<A: App<Net = Mio>>(app: &mut A, conn: Conn) {
    let net = app.net();
    let mut ended = None;
    if let Some(c) = net.connection_mut(conn) {
        c.read_queued = false;
        let lingering = c.linger_timer.is_some();
        if !lingering && !wants_read(c) {
            return;
        }
        let mut chunk = std::mem::take(&mut net.read_chunk);
        if lingering {
            net.discard_while_lingering(conn, &mut chunk);
        } else {
            ended = net.fill_read_buffer(conn, &mut chunk);
        }
        net.read_chunk = chunk;
        if lingering {
            return;
        }
    }
    if pass_to_app(app, conn) {
        ended = Some(CloseReason::Reset);
    }
    if let (Some(reason), Some(c)) = (ended, app.net().connection_mut(conn)) {
        let closing = c.closing;
        app.net().remove_connection(conn);
        if !closing {
            app.closed(conn, reason);
        }
    }
}

fn wants_read(c: &Connection) -> bool {
    !c.closing && !c.read_paused && c.is_established()
}

/// Passes the read buffer to the app. True where the app leaves a full buffer.
fn pass_to_app<A: App<Net = Mio>>(app: &mut A, conn: Conn) -> bool {
    let net = app.net();
    let Some(c) = net
        .connection_mut(conn)
        .filter(|c| !c.read_buffer.is_empty())
    else {
        return false;
    };
    // The buffer is out of the net while the app reads it, so that the app may act on the connection meanwhile.
    let mut buffer = std::mem::take(&mut c.read_buffer);
    let pause_delay = c.pause_delay;
    net.pause_delay = pause_delay;
    let consumed = app.received(conn, buffer.data());
    let net = app.net();
    net.pause_delay = 0;
    buffer.consume(consumed);
    let len = buffer.len();
    match net.connection_mut(conn) {
        Some(c) => {
            c.read_buffer = buffer;
            len >= c.read_limit
        }
        None => false,
    }
}
