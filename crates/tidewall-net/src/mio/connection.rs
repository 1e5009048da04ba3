//! A stream socket with its buffers, and socket system calls that the standard library does not provide.
use crate::buffer::{Buffer, READ_BUFFER_LIMIT};
use crate::{Time, TimerId};
use mio::net::TcpStream;
use std::io::{self, Read};
use std::os::fd::AsRawFd;

/// Maximum number of reads in one call of [`Connection::discard_input`], so that a peer that sends endlessly
/// does not block the event loop.
const MAX_DISCARD_READS: usize = 16;

/// A connection, from the start of connecting to the end of its linger.
pub(super) struct Connection {
    pub(super) socket: TcpStream,
    pub(super) generation: u32,
    /// The connect timeout; None once established.
    pub(super) connect_timer: Option<TimerId>,
    pub(super) read_buffer: Buffer,
    pub(super) write_buffer: Buffer,
    /// Limit of bytes in `read_buffer`; the connection is closed when the app leaves that many.
    pub(super) read_limit: usize,
    /// Whether the socket may be readable. Readiness is edge-triggered: an event sets this, and a read that
    /// would block clears it.
    pub(super) readable: bool,
    pub(super) read_paused: bool,
    /// Whether a poll has reported input that has not been passed to the app yet.
    pub(super) has_known_input: bool,
    /// The earliest time at which that input may have arrived.
    pub(super) input_since: Time,
    /// Whether the app has left complete messages in `read_buffer` for a later turn.
    pub(super) deferred: bool,
    /// Whether a poll has reported the end of the peer's stream or an error, which may still stand behind
    /// unread bytes.
    pub(super) peer_closed: bool,
    /// Whether the connection is in one of the read queues, and whether it is in `Mio::flush_queue`.
    pub(super) read_queued: bool,
    pub(super) flush_queued: bool,
    /// Since when the socket has refused a part of `write_buffer`; None while it accepts everything.
    pub(super) blocked_since: Option<Time>,
    /// A write was not accepted in full: `App::writable` must follow.
    pub(super) writable_pending: bool,
    pub(super) closing: bool,
    /// The app has aborted the connection and has not been notified of its end yet.
    pub(super) aborted: bool,
    /// Whether a listener accepted the connection; false where this side opened it.
    pub(super) accepted: bool,
    /// When the socket last accepted bytes; 0 for never.
    pub(super) last_write: Time,
    /// The end of the linger; set once the write half is shut down.
    pub(super) linger_timer: Option<TimerId>,
}

impl Connection {
    /// Creates the state of an accepted connection.
    pub(super) fn new(socket: TcpStream, generation: u32) -> Connection {
        Connection {
            socket,
            generation,
            connect_timer: None,
            read_buffer: Buffer::default(),
            write_buffer: Buffer::default(),
            read_limit: READ_BUFFER_LIMIT,
            readable: false,
            read_paused: false,
            has_known_input: false,
            input_since: 0,
            deferred: false,
            peer_closed: false,
            read_queued: false,
            flush_queued: false,
            blocked_since: None,
            writable_pending: false,
            closing: false,
            aborted: false,
            accepted: true,
            last_write: 0,
            linger_timer: None,
        }
    }

    /// Whether connecting has completed, so that the socket can be read and written.
    pub(super) fn is_established(&self) -> bool {
        self.connect_timer.is_none()
    }

    /// Records that a poll has reported input, which arrived at `since` at the earliest.
    pub(super) fn input_reported(&mut self, since: Time) {
        self.readable = true;
        if !self.has_known_input {
            (self.has_known_input, self.input_since) = (true, since);
        }
    }

    /// Records that the socket held no more bytes. What a poll has reported has been read then, except for
    /// the end of the stream.
    pub(super) fn input_read(&mut self) {
        self.has_known_input = self.peer_closed;
    }

    /// Discards the bytes in the write buffer.
    pub(super) fn discard_unsent(&mut self) {
        let unsent = self.write_buffer.len();
        self.write_buffer.consume(unsent);
        self.blocked_since = None;
    }

    /// Reads and discards input. Returns true at the end of the stream or after an error.
    pub(super) fn discard_input(&mut self, chunk: &mut [u8]) -> bool {
        for _ in 0..MAX_DISCARD_READS {
            match self.socket.read(chunk) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Whether the socket holds received bytes.
    pub(super) fn socket_has_bytes(&self) -> bool {
        loop {
            match self.socket.peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                peeked => return matches!(peeked, Ok(1..)),
            }
        }
    }

    /// Number of bytes in the socket's send queue, which the peer has not acknowledged; 0 where the system
    /// call fails.
    pub(super) fn send_queue_len(&self) -> usize {
        let mut count: libc::c_int = 0;
        // SAFETY: the descriptor is open as long as `self.socket` lives, and TIOCOUTQ writes one `c_int`, to
        // which the pointer is valid for the duration of the call.
        let result = unsafe { libc::ioctl(self.socket.as_raw_fd(), libc::TIOCOUTQ, &mut count) };
        if result == 0 {
            count.max(0) as usize
        } else {
            0
        }
    }

    /// Sets SO_LINGER to zero: closing the socket then sends a reset and discards unsent bytes.
    pub(super) fn reset_on_close(&self) {
        let linger = libc::linger {
            l_onoff: 1,
            l_linger: 0,
        };
        // SAFETY: the descriptor is open as long as `self.socket` lives, and the pointer and length describe
        // `linger`, which outlives the call and is the type that SO_LINGER reads.
        unsafe {
            libc::setsockopt(
                self.socket.as_raw_fd(),
                libc::SOL_SOCKET,
                libc::SO_LINGER,
                std::ptr::from_ref(&linger).cast(),
                std::mem::size_of::<libc::linger>() as libc::socklen_t,
            );
        }
    }
}
