//! The read side of connections: queued reads, pausing, and the check for unread input before a close.
use super::connection::Connection;
use super::{Mio, ACCEPTED_READ_CHUNK};
use crate::buffer::READ_BUFFER_LIMIT;
use crate::{App, CloseReason, Conn, Time};
use std::io::{self, Read};

/// Number of reads per round from a connection with a raised read limit, 1 MiB in all. With one read per
/// round, a message of hundreds of kilobytes would take several wake-ups, and its content would be used that
/// much later.
const READS_WITH_RAISED_LIMIT: usize = 16;

/// Time for reading accepted connections that reading the opened ones before cannot use up (1 ms).
const MIN_ACCEPTED_READ: Time = 10;

/// The result of one read.
enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// There is nothing to read for now.
    Nothing,
    /// The connection has ended.
    Ended(CloseReason),
}

impl Mio {
    pub(super) fn pause_reading(&mut self, conn: Conn, paused: bool) {
        if let Some(connection) = self.connection_mut(conn) {
            connection.read_paused = paused;
            self.queue_read(conn);
        }
    }

    /// Passes the rest of the read buffer to the app in a later turn of the connection.
    pub(super) fn defer_reading(&mut self, conn: Conn) {
        let since = self.clock.now().saturating_sub(self.read_delay);
        if let Some(connection) = self.connection_mut(conn) {
            (connection.deferred, connection.has_known_input) = (true, true);
            connection.input_since = since;
            self.queue_read(conn);
        }
    }

    /// Whether bytes have arrived that the app has not seen.
    pub(super) fn find_unread(&mut self, conn: Conn) -> bool {
        let input_since = self.clock.now().saturating_sub(self.loop_delay);
        let Some(connection) = self
            .connection_mut(conn)
            .filter(|c| !c.closing && !c.read_paused && c.is_established())
        else {
            return false;
        };
        // Input that arrived during this wake-up has no readiness event yet: only the socket tells.
        let found = connection.deferred || connection.socket_has_bytes();
        if found {
            connection.input_reported(input_since);
            self.queue_read(conn);
        }
        found
    }

    fn read_once(&mut self, conn: Conn, chunk: &mut [u8]) -> ReadOutcome {
        let Some(connection) = self.connection_mut(conn).filter(|c| c.readable) else {
            return ReadOutcome::Nothing;
        };
        match connection.socket.read(chunk) {
            Ok(0) => ReadOutcome::Ended(CloseReason::Ended),
            Ok(len) => {
                if len < chunk.len() {
                    connection.input_read();
                }
                self.queue_read(conn);
                ReadOutcome::Bytes(len)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                connection.readable = false;
                connection.input_read();
                ReadOutcome::Nothing
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {
                self.queue_read(conn);
                ReadOutcome::Nothing
            }
            Err(_) => ReadOutcome::Ended(CloseReason::Reset),
        }
    }

    /// Reads into the connection's buffer up to [`READS_WITH_RAISED_LIMIT`] times. Returns the reason where a
    /// read shows that the connection has ended.
    fn fill_read_buffer(&mut self, conn: Conn, chunk: &mut [u8]) -> Option<CloseReason> {
        for _ in 0..READS_WITH_RAISED_LIMIT {
            match self.read_once(conn, chunk) {
                ReadOutcome::Bytes(len) => {
                    self.connection_mut(conn)?.read_buffer.push(&chunk[..len]);
                }
                ReadOutcome::Nothing => return None,
                ReadOutcome::Ended(reason) => return Some(reason),
            }
        }
        None
    }

    /// Discards the input of a lingering connection, and removes the connection at the end of the stream.
    fn discard_while_lingering(&mut self, conn: Conn) {
        let mut chunk = std::mem::take(&mut self.read_chunk);
        let at_end = self
            .connection_mut(conn)
            .is_some_and(|c| c.discard_input(&mut chunk));
        self.read_chunk = chunk;
        if at_end {
            self.remove_connection(conn);
        }
    }

    /// Notes how long the bytes that are passed to the app next may have waited.
    fn set_read_delay(&mut self, conn: Conn) {
        let (now, loop_delay) = (self.clock.now(), self.loop_delay);
        self.read_delay = match self.connection(conn) {
            Some(connection) if connection.has_known_input => {
                now.saturating_sub(connection.input_since)
            }
            _ => loop_delay,
        };
        let oldest = self.statistics.oldest_input.max(self.read_delay);
        self.statistics.oldest_input = oldest;
    }
}

/// Reads from each connection that is in a read queue at the call: first from those that this process opened,
/// then from accepted ones until the time `until`, and for [`MIN_ACCEPTED_READ`] at least. The rest stays first
/// in its queue.
pub(super) fn read_queued<A: App<Net = Mio>>(app: &mut A, until: Time) {
    for _ in 0..app.net().read_queues.opened.len() {
        let Some(conn) = app.net().read_queues.opened.pop_front() else {
            break;
        };
        read(app, conn);
    }
    let until = until.max(app.net().clock.current() + MIN_ACCEPTED_READ);
    for _ in 0..app.net().read_queues.accepted.len() {
        if app.net().clock.current() >= until {
            return;
        }
        let Some(conn) = app.net().read_queues.accepted.pop_front() else {
            return;
        };
        read(app, conn);
    }
}

/// Gives a connection its turn: passes what the app has deferred, or reads and passes what has arrived, and
/// removes the connection where it has ended.
fn read<A: App<Net = Mio>>(app: &mut A, conn: Conn) {
    let net = app.net();
    let Some(connection) = net.connection_mut(conn) else {
        return;
    };
    connection.read_queued = false;
    if connection.linger_timer.is_some() {
        return net.discard_while_lingering(conn);
    }
    if !is_reading(connection) {
        return;
    }
    let is_deferred = std::mem::take(&mut connection.deferred);
    net.set_read_delay(conn);
    let ended = if is_deferred {
        net.queue_read(conn);
        pass_buffer(app, conn).err()
    } else {
        read_and_pass(app, conn).err()
    };
    app.net().read_delay = 0;
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

/// Reads from a connection and passes the bytes to the app.
///
/// # Errors
/// The connection has ended, or the app leaves a full buffer.
fn read_and_pass<A: App<Net = Mio>>(app: &mut A, conn: Conn) -> Result<(), CloseReason> {
    let net = app.net();
    let Some(connection) = net.connection(conn) else {
        return Ok(());
    };
    let (has_raised_limit, accepted) = (
        connection.read_limit > READ_BUFFER_LIMIT,
        connection.accepted,
    );
    let mut chunk = std::mem::take(&mut net.read_chunk);
    let result = if has_raised_limit {
        let ended = net.fill_read_buffer(conn, &mut chunk);
        pass_buffer(app, conn).and(ended.map_or(Ok(()), Err))
    } else {
        let size = if accepted {
            ACCEPTED_READ_CHUNK
        } else {
            chunk.len()
        };
        match net.read_once(conn, &mut chunk[..size]) {
            ReadOutcome::Bytes(len) => pass_bytes(app, conn, &chunk[..len]),
            ReadOutcome::Nothing => pass_buffer(app, conn),
            ReadOutcome::Ended(reason) => pass_buffer(app, conn).and(Err(reason)),
        }
    };
    app.net().read_chunk = chunk;
    result
}

/// Passes bytes to the app that were just read. Only what it leaves is copied to the connection's buffer.
fn pass_bytes<A: App<Net = Mio>>(app: &mut A, conn: Conn, bytes: &[u8]) -> Result<(), CloseReason> {
    let Some(connection) = app.net().connection_mut(conn) else {
        return Ok(());
    };
    if !connection.read_buffer.is_empty() {
        connection.read_buffer.push(bytes);
        return pass_buffer(app, conn);
    }
    let consumed = app.received(conn, bytes);
    match app.net().connection_mut(conn) {
        Some(connection) if consumed < bytes.len() => {
            connection.read_buffer.push(&bytes[consumed..]);
            check_read_limit(connection)
        }
        _ => Ok(()),
    }
}

/// Passes the read buffer to the app.
fn pass_buffer<A: App<Net = Mio>>(app: &mut A, conn: Conn) -> Result<(), CloseReason> {
    let Some(connection) = app
        .net()
        .connection_mut(conn)
        .filter(|c| !c.read_buffer.is_empty())
    else {
        return Ok(());
    };
    // The buffer is moved out of the connection during the call, because the app may act on the connection
    // meanwhile.
    let mut buffer = std::mem::take(&mut connection.read_buffer);
    let consumed = app.received(conn, buffer.data());
    buffer.consume(consumed);
    match app.net().connection_mut(conn) {
        Some(connection) => {
            connection.read_buffer = buffer;
            check_read_limit(connection)
        }
        None => Ok(()),
    }
}

/// # Errors
/// The app has left a full buffer.
fn check_read_limit(connection: &Connection) -> Result<(), CloseReason> {
    if connection.read_buffer.len() >= connection.read_limit {
        return Err(CloseReason::Reset);
    }
    Ok(())
}
