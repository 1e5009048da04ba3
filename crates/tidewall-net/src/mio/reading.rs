//! The read side of connections: queued reads, pausing, and the check for unread input before a close.
use super::connection::Connection;
use super::Mio;
use crate::buffer::READ_BUFFER_LIMIT;
use crate::{App, CloseReason, Conn};
use std::io::{self, Read};

/// Number of reads per round from a connection with a raised read limit, 1 MiB in all. With one read per
/// round, a message of hundreds of kilobytes would take several wake-ups, and its content would be used that
/// much later.
const READS_WITH_RAISED_LIMIT: usize = 16;

impl Mio {
    pub(super) fn pause_reading(&mut self, conn: Conn, paused: bool) {
        let now = self.clock.now();
        if let Some(connection) = self.connection_mut(conn) {
            if paused && !connection.read_paused {
                connection.paused_at = now;
            } else if !paused && connection.read_paused {
                connection.pause_delay += now - connection.paused_at;
            }
            connection.read_paused = paused;
            self.queue_read(conn);
        }
    }

    /// Whether bytes have arrived that the app has not seen. Tries a read where none are buffered.
    pub(super) fn find_unread(&mut self, conn: Conn) -> bool {
        let mut chunk = std::mem::take(&mut self.read_chunk);
        let mut found = false;
        if let Some(connection) = self
            .connection_mut(conn)
            .filter(|c| !c.closing && !c.read_paused && c.is_established())
        {
            found = connection.read_queued && !connection.read_buffer.is_empty();
            if !found {
                // Input that arrived during this wake-up has no readiness event yet: only a read finds it.
                let mut read = connection.socket.read(&mut chunk);
                while read
                    .as_ref()
                    .is_err_and(|e| e.kind() == io::ErrorKind::Interrupted)
                {
                    read = connection.socket.read(&mut chunk);
                }
                if let Ok(len @ 1..) = read {
                    connection.read_buffer.push(&chunk[..len]);
                    (connection.readable, found) = (true, true);
                }
            }
        }
        self.read_chunk = chunk;
        if found {
            self.queue_read(conn);
        }
        found
    }

    /// Reads into the connection's buffer: once, or [`READS_WITH_RAISED_LIMIT`] times where the connection
    /// has a raised read limit. Returns the reason where a read shows that the connection has ended.
    fn fill_read_buffer(&mut self, conn: Conn, chunk: &mut [u8]) -> Option<CloseReason> {
        let has_raised_limit = self
            .connection(conn)
            .is_some_and(|c| c.read_limit > READ_BUFFER_LIMIT);
        let reads = if has_raised_limit {
            READS_WITH_RAISED_LIMIT
        } else {
            1
        };
        (0..reads).find_map(|_| self.read_once(conn, chunk))
    }

    fn read_once(&mut self, conn: Conn, chunk: &mut [u8]) -> Option<CloseReason> {
        let connection = self.connection_mut(conn)?;
        if !connection.readable {
            return None;
        }
        match connection.socket.read(chunk) {
            Ok(0) => return Some(CloseReason::Ended),
            Ok(len) => {
                connection.read_buffer.push(&chunk[..len]);
                self.queue_read(conn);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                (connection.readable, connection.pause_delay) = (false, 0);
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => self.queue_read(conn),
            Err(_) => return Some(CloseReason::Reset),
        }
        None
    }

    /// Discards the input of a lingering connection, and removes the connection at the end of the stream.
    fn discard_while_lingering(&mut self, conn: Conn, chunk: &mut [u8]) {
        let at_end = self
            .connection_mut(conn)
            .is_some_and(|c| c.discard_input(chunk));
        if at_end {
            self.remove_connection(conn);
        }
    }
}

/// Reads from each connection that is in the read queue at the call.
pub(super) fn read_queued<A: App<Net = Mio>>(app: &mut A) {
    for _ in 0..app.net().read_queue.len() {
        let Some(conn) = app.net().read_queue.pop_front() else {
            return;
        };
        read(app, conn);
    }
}

/// Reads from a connection, passes the read buffer to the app, and removes the connection where it has ended.
fn read<A: App<Net = Mio>>(app: &mut A, conn: Conn) {
    let net = app.net();
    let mut ended = None;
    if let Some(connection) = net.connection_mut(conn) {
        connection.read_queued = false;
        let lingering = connection.linger_timer.is_some();
        if !lingering && !is_reading(connection) {
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
    if let (Some(reason), Some(connection)) = (ended, app.net().connection_mut(conn)) {
        let closing = connection.closing;
        app.net().remove_connection(conn);
        if !closing {
            app.closed(conn, reason);
        }
    }
}

fn is_reading(connection: &Connection) -> bool {
    !connection.closing && !connection.read_paused && connection.is_established()
}

/// Passes the read buffer to the app. Returns true where the app leaves a full buffer.
fn pass_to_app<A: App<Net = Mio>>(app: &mut A, conn: Conn) -> bool {
    let net = app.net();
    let Some(connection) = net
        .connection_mut(conn)
        .filter(|c| !c.read_buffer.is_empty())
    else {
        return false;
    };
    // The buffer is moved out of the connection during the call, because the app may act on the connection
    // meanwhile.
    let mut buffer = std::mem::take(&mut connection.read_buffer);
    let pause_delay = connection.pause_delay;
    net.pause_delay = pause_delay;
    let consumed = app.received(conn, buffer.data());
    let net = app.net();
    net.pause_delay = 0;
    buffer.consume(consumed);
    let len = buffer.len();
    match net.connection_mut(conn) {
        Some(connection) => {
            connection.read_buffer = buffer;
            len >= connection.read_limit
        }
        None => false,
    }
}
