//! [`Net`] on operating-system sockets: a single-threaded event loop with edge-triggered readiness by mio. What is
//! written in a wake-up leaves at its end, in one piece for each connection.
//!
//! | Module | Concern |
//! |---|---|
//! | `poll_loop` | wake-ups: readiness, signals, timers, in which order |
//! | `clock` | the loop's time, its lag |
//! | `slots` | registered sockets by token, queues of connections with work |
//! | `connection` | one stream socket and its buffers |
//! | `listeners`, `datagrams` | accepting, receiving |
//! | `reading`, `writing`, `closing` | what happens to connections |
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
use crate::{CloseReason, Conn, DatagramSocket, Listener, Net, Time};
use clock::LoopClock;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use poll_loop::{NEVER_POLLED, SIGNAL_TOKEN};
use signal_hook_mio::v1_0::Signals;
use slab::Slab;
use slots::{PendingAccept, PendingClose, Slot};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

/// Bytes read from one connection in one read, so that a busy one does not starve the others.
const READ_CHUNK: usize = 64 << 10;

/// Readiness events taken from the system in one poll; what is beyond comes with the next one.
const EVENT_CAPACITY: usize = 1024;

/// The sockets, timers and clock of one event loop, driven by [`run`] or [`turn`].
pub struct Mio {
    poll: Poll,
    /// None only while a poll's events are handled.
    events: Option<Events>,
    slots: Slab<Slot>,
    last_generation: u32,
    /// Timers of the app.
    app_timers: Wheel,
    /// Timers of this module, by the tokens of `slots::InternalTimer`.
    internal_timers: Wheel,
    read_queue: VecDeque<Conn>,
    flush_queue: Vec<Conn>,
    /// Ended without an event of their sockets, and the app is not notified yet.
    pending_closes: VecDeque<PendingClose>,
    /// Listeners that are being closed, each with how often that was tried.
    closing_listeners: Vec<(Listener, u32)>,
    /// Accepted when their listener was closed, and the app is not notified yet.
    pending_accepts: VecDeque<PendingAccept>,
    clock: LoopClock,
    /// When the poll was due to return at the latest; [`NEVER_POLLED`] before the first.
    wakeup_due: Time,
    /// When the last poll began.
    poll_started: Time,
    /// When the last poll returned.
    polled_at: Time,
    total_stall: Time,
    /// For how long bytes may have waited because the loop was busy.
    loop_delay: Time,
    /// For how long the bytes of the connection that is being read may have waited because its reading was paused.
    pause_delay: Time,
    signals: Option<Signals>,
    stopped: bool,
    read_chunk: Box<[u8]>,
}

impl Mio {
    /// An event loop without sockets, whose clock starts now.
    ///
    /// # Errors
    /// The system's poll cannot be created, as no file descriptor is left.
    pub fn new() -> io::Result<Mio> {
        Ok(Mio {
            poll: Poll::new()?,
            events: Some(Events::with_capacity(EVENT_CAPACITY)),
            slots: Slab::new(),
            last_generation: 0,
            app_timers: Wheel::default(),
            internal_timers: Wheel::default(),
            read_queue: VecDeque::new(),
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
            pause_delay: 0,
            signals: None,
            stopped: false,
            read_chunk: vec![0; READ_CHUNK].into(),
        })
    }

    /// Sets the origin of the clock, so that the event loops of several threads have the same time, and its rate:
    /// faster than real time by `skew_ppm` millionths (for fault tests).
    pub fn clock(&mut self, origin: Instant, skew_ppm: i64) {
        self.clock.set_origin(origin, skew_ppm);
        self.clock.update();
        (self.poll_started, self.wakeup_due) = (self.clock.now(), NEVER_POLLED);
    }

    /// Delivers these signals, by their numbers, as `App::signal_received` from now on.
    ///
    /// # Errors
    /// A signal cannot be handled, or the handler's pipe cannot be created or registered.
    pub fn signals(&mut self, numbers: &[i32]) -> io::Result<()> {
        let mut signals = Signals::new(numbers)?;
        self.poll
            .registry()
            .register(&mut signals, Token(SIGNAL_TOKEN), Interest::READABLE)?;
        self.signals = Some(signals);
        Ok(())
    }

    /// Allows another [`run`] after a stop.
    pub fn go_on(&mut self) {
        self.stopped = false;
        self.clock.update();
    }

    /// Whether [`Net::stop`] was called.
    pub fn stopped(&self) -> bool {
        self.stopped
    }

    /// Starts to connect. A failure at once is reported in the next wake-up, like every other one.
    fn start_connect(&mut self, to: SocketAddr, deadline: Time) -> Conn {
        let added = TcpStream::connect(to).and_then(|socket| {
            // Small frames must not wait for one another.
            let _ = socket.set_nodelay(true);
            self.add_connection(socket, Some(deadline))
        });
        added.unwrap_or_else(|error| {
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
        self.loop_delay + self.pause_delay
    }

    fn max_timer_lag(&self) -> Time {
        self.clock.max_lag()
    }

    fn listen(&mut self, at: SocketAddr) -> io::Result<(Listener, SocketAddr)> {
        self.open_listener(at)
    }

    fn stop_listening(&mut self, listener: Listener) {
        self.close_listener(listener);
    }

    fn connect(&mut self, to: SocketAddr, within: Time) -> Conn {
        self.start_connect(to, self.clock.now() + within)
    }

    fn write(&mut self, conn: Conn, bytes: &[u8]) -> bool {
        self.queue_write(conn, bytes)
    }

    fn write_available(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        self.write_directly(conn, bytes)
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
            .is_some_and(|c| c.readable && !c.read_paused && !c.closing)
    }

    fn has_unread(&mut self, conn: Conn) -> bool {
        self.find_unread(conn)
    }

    fn set_read_limit(&mut self, conn: Conn, bytes: usize) {
        if let Some(c) = self.connection_mut(conn) {
            c.read_limit = bytes;
        }
    }

    fn set_read_paused(&mut self, conn: Conn, on: bool) {
        self.pause_reading(conn, on);
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

    fn bind_datagram(&mut self, at: SocketAddr) -> io::Result<(DatagramSocket, SocketAddr)> {
        self.open_datagram_socket(at)
    }

    fn send_datagram(&mut self, socket: DatagramSocket, to: SocketAddr, bytes: &[u8]) {
        if let Some(Slot::DatagramSocket(socket)) = self.slots.get(socket.0) {
            let _ = socket.send_to(bytes, to);
        }
    }

    fn set_timer(&mut self, at: Time, token: u64) -> TimerId {
        self.app_timers.insert(at, token)
    }

    fn cancel_timer(&mut self, timer: TimerId) {
        self.app_timers.cancel(timer);
    }

    fn stop(&mut self) {
        self.stopped = true;
    }
}
