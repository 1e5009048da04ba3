//! [`Net`] on operating-system sockets: a single-threaded event loop with edge-triggered readiness by mio.
//! What an app writes in a wake-up is buffered and sent at its end, in one write for each connection.
//!
//! | Module | Contents |
//! |---|---|
//! | `poll_loop` | wake-ups: the order of readiness, signals and timers |
//! | `clock` | the loop's time and its lag |
//! | `slots` | registered sockets by token, and queues of connections to read or flush |
//! | `connection` | a stream socket and its buffers |
//! | `listeners`, `datagrams` | accepting connections, receiving datagrams |
//! | `reading`, `writing`, `closing` | operations on connections |
mod clock;
mod closing;
mod connection;
mod datagrams;
mod listeners;
mod poll_loop;
mod reading;
mod slots;
mod writing;

pub use poll_loop::{run, turn};

use crate::wheel::{TimerId, Wheel};
use crate::{CloseReason, Conn, DatagramSocket, Listener, LoopStatistics, Net, Time};
use clock::LoopClock;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use poll_loop::{NEVER_POLLED, SIGNAL_TOKEN};
use signal_hook_mio::v1_0::Signals;
use slab::Slab;
use slots::{PendingAccept, PendingClose, ReadQueues, Slot};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

/// Maximum number of bytes in one read from a connection that this process opened.
const READ_CHUNK: usize = 64 << 10;

/// Maximum number of bytes in one read from an accepted connection. What the app defers stays in the
/// connection's buffer, so that this bounds its size. The longest command of the platform's clients (18.5
/// KiB) fits.
const ACCEPTED_READ_CHUNK: usize = 20 << 10;

/// Maximum number of readiness events that one poll returns; the next poll returns the rest.
const EVENT_CAPACITY: usize = 1024;

/// The sockets, timers and clock of one event loop, driven by [`run`] or [`turn`].
pub struct Mio {
    poll: Poll,
    /// `None` only while the events of a poll are handled.
    events: Option<Events>,
    slots: Slab<Slot>,
    last_generation: u32,
    /// Timers of the app.
    app_timers: Wheel,
    /// Timers of this module, with the tokens of `slots::InternalTimer`.
    internal_timers: Wheel,
    read_queues: ReadQueues,
    flush_queue: Vec<Conn>,
    /// Connections that ended without an event of their socket, of which the app has not been notified yet.
    pending_closes: VecDeque<PendingClose>,
    /// Listeners that are being closed, each with the number of tries so far.
    closing_listeners: Vec<(Listener, u32)>,
    /// Connections accepted when their listener was closed, of which the app has not been notified yet.
    pending_accepts: VecDeque<PendingAccept>,
    clock: LoopClock,
    /// The latest time at which the poll was due to return; [`NEVER_POLLED`] before the first poll.
    wakeup_due: Time,
    /// When the last poll began.
    poll_started: Time,
    /// When the last poll returned.
    polled_at: Time,
    total_stall: Time,
    /// How long input that the last poll has reported may have waited before, because the event loop was busy
    /// or stalled.
    loop_delay: Time,
    /// How long the bytes that are being passed to the app may have waited.
    read_delay: Time,
    statistics: LoopStatistics,
    signals: Option<Signals>,
    stopped: bool,
    read_chunk: Box<[u8]>,
}

impl Mio {
    /// Creates an event loop without sockets, whose clock starts at the call.
    ///
    /// # Errors
    /// The system's poll cannot be created, because no file descriptor is left.
    pub fn new() -> io::Result<Mio> {
        Ok(Mio {
            poll: Poll::new()?,
            events: Some(Events::with_capacity(EVENT_CAPACITY)),
            slots: Slab::new(),
            last_generation: 0,
            app_timers: Wheel::default(),
            internal_timers: Wheel::default(),
            read_queues: ReadQueues::default(),
            flush_queue: Vec::new(),
            pending_closes: VecDeque::new(),
            closing_listeners: Vec::new(),
            pending_accepts: VecDeque::new(),
            clock: LoopClock::new(),
            wakeup_due: NEVER_POLLED,
            poll_started: 1,
            polled_at: 1,
            total_stall: 0,
            loop_delay: 0,
            read_delay: 0,
            statistics: LoopStatistics::default(),
            signals: None,
            stopped: false,
            read_chunk: vec![0; READ_CHUNK].into(),
        })
    }

    /// Sets the origin of the clock, so that the event loops of several threads have the same time, and its
    /// rate, which is faster than real time by `skew_ppm` parts per million (for fault tests).
    pub fn clock(&mut self, origin: Instant, skew_ppm: i64) {
        self.clock.set_origin(origin, skew_ppm);
        self.clock.update();
        (self.poll_started, self.wakeup_due) = (self.clock.now(), NEVER_POLLED);
    }

    /// Handles the signals with these numbers: they are delivered by
    /// [`App::signal_received`](crate::App::signal_received).
    ///
    /// # Errors
    /// A signal cannot be handled, or the pipe of the signal handler cannot be created or registered.
    pub fn signals(&mut self, numbers: &[i32]) -> io::Result<()> {
        let mut signals = Signals::new(numbers)?;
        self.poll
            .registry()
            .register(&mut signals, Token(SIGNAL_TOKEN), Interest::READABLE)?;
        self.signals = Some(signals);
        Ok(())
    }

    /// Resets the effect of [`Net::stop`], so that [`run`] can be called again.
    pub fn go_on(&mut self) {
        self.stopped = false;
        self.clock.update();
    }

    /// Whether [`Net::stop`] was called.
    pub fn stopped(&self) -> bool {
        self.stopped
    }

    /// Starts to connect. An immediate failure is queued, and reported to the app like a later one.
    fn start_connect(&mut self, to: SocketAddr, deadline: Time) -> Conn {
        let started = TcpStream::connect(to).and_then(|socket| {
            // Without TCP_NODELAY, small frames would wait for the acknowledgement of earlier ones.
            let _ = socket.set_nodelay(true);
            self.add_connection(socket, Some(deadline))
        });
        started.unwrap_or_else(|error| {
            let generation = self.next_generation();
            let index = self.slots.insert(Slot::FailedConnect(generation));
            let conn = Conn::new(index, generation);
            let reason = match error.raw_os_error() {
                Some(
                    libc::EMFILE
                    | libc::ENFILE
                    | libc::ENOBUFS
                    | libc::ENOMEM
                    | libc::EADDRNOTAVAIL
                    | libc::EINTR,
                ) => CloseReason::NoResources,
                _ => CloseReason::Refused,
            };
            self.pending_closes.push_back(PendingClose { conn, reason });
            conn
        })
    }
}

impl Net for Mio {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn current_time(&self) -> Time {
        self.clock.current()
    }

    fn polled_at(&self) -> Time {
        self.polled_at
    }

    fn total_stall(&self) -> Time {
        self.total_stall
    }

    fn read_delay(&self) -> Time {
        self.read_delay
    }

    fn loop_statistics(&self) -> LoopStatistics {
        self.statistics
    }

    fn max_timer_lag(&self) -> Time {
        self.clock.max_lag()
    }

    fn listen(&mut self, address: SocketAddr) -> io::Result<(Listener, SocketAddr)> {
        self.open_listener(address)
    }

    fn stop_listening(&mut self, listener: Listener) {
        self.close_listener(listener);
    }

    fn connect(&mut self, to: SocketAddr, timeout: Time) -> Conn {
        self.start_connect(to, self.clock.now() + timeout)
    }

    fn write(&mut self, conn: Conn, bytes: &[u8]) -> bool {
        self.queue_write(conn, bytes)
    }

    fn write_available(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        self.write_directly(conn, bytes)
    }

    fn flush(&mut self, conn: Conn) {
        self.flush_within_wakeup(conn);
    }

    fn blocked_since(&self, conn: Conn) -> Option<Time> {
        self.connection(conn)?.blocked_since
    }

    fn unsent(&self, conn: Conn) -> usize {
        self.connection(conn).map_or(0, |c| c.write_buffer.len())
    }

    fn unacknowledged(&self, conn: Conn) -> usize {
        self.connection(conn)
            .map_or(0, |c| c.write_buffer.len() + c.send_queue_len())
    }

    fn has_known_input(&self, conn: Conn) -> bool {
        self.connection(conn)
            .is_some_and(|c| c.has_known_input && !c.read_paused && !c.closing)
    }

    fn peer_has_closed(&self, conn: Conn) -> bool {
        self.connection(conn).is_some_and(|c| c.peer_closed)
    }

    fn defer_rest(&mut self, conn: Conn) {
        self.defer_reading(conn);
    }

    fn has_unread(&mut self, conn: Conn) -> bool {
        self.find_unread(conn)
    }

    fn set_read_limit(&mut self, conn: Conn, bytes: usize) {
        if let Some(connection) = self.connection_mut(conn) {
            connection.read_limit = bytes;
        }
    }

    fn set_read_paused(&mut self, conn: Conn, paused: bool) {
        self.pause_reading(conn, paused);
    }

    fn close(&mut self, conn: Conn) {
        self.close_gracefully(conn);
    }

    fn reset(&mut self, conn: Conn) {
        self.reset_connection(conn);
    }

    fn abort(&mut self, conn: Conn) {
        self.abort_connection(conn);
    }

    fn bind_datagram(&mut self, address: SocketAddr) -> io::Result<(DatagramSocket, SocketAddr)> {
        self.open_datagram_socket(address)
    }

    fn send_datagram(&mut self, socket: DatagramSocket, to: SocketAddr, bytes: &[u8]) {
        if let Some(Slot::DatagramSocket(socket)) = self.slots.get(socket.0) {
            let _ = socket.send_to(bytes, to);
        }
    }

    fn set_timer(&mut self, expires_at: Time, token: u64) -> TimerId {
        self.app_timers.insert(expires_at, token)
    }

    fn cancel_timer(&mut self, timer: TimerId) {
        self.app_timers.cancel(timer);
    }

    fn stop(&mut self) {
        self.stopped = true;
    }
}
