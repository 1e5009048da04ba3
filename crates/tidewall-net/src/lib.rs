//! Sockets, write buffers, timers and the clock behind one trait.
//!
//! Protocol code implements [`App`]: an event loop calls it for each event, and it acts through [`Net`].
//! [`mio`] implements `Net` on operating-system sockets, and [`memory`] on a simulated network with a virtual
//! clock, so that simulations run the same protocol code as production, and a fault that they find is a fault
//! of that code.
pub mod buffer;
pub mod memory;
pub mod mio;
pub mod wheel;

use std::io;
use std::net::SocketAddr;

/// A time or duration in whole tenths of a millisecond. Times count from an origin that the [`Net`] chooses;
/// 0 is earlier than every time that [`Net::now`] returns.
pub type Time = u64;

pub use wheel::TimerId;

/// Identifies a connection: the lower 32 bits are a slot index, which is reused, and the upper 32 bits a
/// generation, which distinguishes the connections that have used the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Conn(pub u64);

impl Conn {
    /// The identifier of the connection in a slot; `index` must be below 2^32.
    pub fn new(index: usize, generation: u32) -> Conn {
        Conn(index as u64 | u64::from(generation) << 32)
    }

    /// The slot index, unique among the open connections of a [`Net`].
    pub fn index(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }

    /// The generation, which differs between connections that have used the same slot.
    pub fn generation(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

/// Identifies a listening stream socket, by its slot index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listener(pub usize);

/// Identifies a bound datagram socket, by its slot index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramSocket(pub usize);

/// Why a connection ended that the app did not close or reset itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Never established: the connection was refused, or there is no route to the peer. Nothing was sent.
    Refused,
    /// Never established, because this machine had no file descriptor, memory or port left for it. This says
    /// nothing about the peer.
    NoResources,
    /// Not established within its connect timeout. Nothing was sent.
    TimedOut,
    /// Reset or otherwise broken after it was established.
    Reset,
    /// The peer closed it gracefully (end of stream).
    Ended,
}

/// How long wake-ups of an event loop have taken since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoopStatistics {
    /// The longest time from a poll's return to the next poll.
    pub longest_wakeup: Time,
    /// The longest time for which input may have waited before it was passed to the app.
    pub oldest_input: Time,
    /// Number of wake-ups in which the time for reading accepted connections ended before all were read.
    pub unfinished_reads: u64,
}

/// The I/O interface of an [`App`]: non-blocking sockets, timers and the clock of one event loop.
pub trait Net {
    /// The time at the start of this wake-up, on a monotonic clock.
    fn now(&self) -> Time;
    /// The time at the moment of the call: [`Net::now`] plus the time that this wake-up has taken so far.
    /// Equal to `now` on the simulated network, where no time passes during a wake-up.
    fn current_time(&self) -> Time {
        self.now()
    }
    /// When the sockets were last polled. Input that has arrived since then has not been seen yet.
    fn polled_at(&self) -> Time {
        self.now()
    }
    /// Total duration for which the process has stalled (stopped, starved of processor time, or busy in one
    /// call). A timeout that expired during a stall says nothing about a peer.
    fn total_stall(&self) -> Time;
    /// Upper bound of the time for which the bytes that are being read may have waited in the socket while
    /// this process was busy, stalled or had paused reading. A remaining time that is stated in them may have
    /// shrunk by as much.
    fn read_delay(&self) -> Time;
    /// How long wake-ups have taken.
    fn loop_statistics(&self) -> LoopStatistics {
        LoopStatistics::default()
    }
    /// The longest duration or delay of a wake-up in the last one to two seconds, stalls excluded. A timer
    /// may fire this much later than the time it was set for.
    fn max_timer_lag(&self) -> Time;
    /// Listens on an address; port 0 chooses a free one. Returns the listener and the bound address.
    ///
    /// # Errors
    /// The address is in use or not local, or no file descriptor is left.
    fn listen(&mut self, address: SocketAddr) -> io::Result<(Listener, SocketAddr)>;
    /// Stops listening. Connections that are in the backlog are still accepted.
    fn stop_listening(&mut self, listener: Listener);
    /// Opens a connection. The result is always reported later, by [`App::connected`] or [`App::closed`]; an
    /// attempt that takes longer than `timeout` ends with [`CloseReason::TimedOut`].
    fn connect(&mut self, to: SocketAddr, timeout: Time) -> Conn;
    /// Queues all of the bytes and returns true, or queues none where [`buffer::WRITE_BUFFER_LIMIT`] would be
    /// exceeded by bytes that the socket has refused: then it returns false, and [`App::writable`] follows
    /// when the write buffer is empty. Also returns false where the connection has ended.
    fn write(&mut self, conn: Conn, bytes: &[u8]) -> bool;
    /// Writes as many bytes as the socket accepts at once, queues nothing, and returns how many were written:
    /// 0 while earlier bytes are queued, or where the connection has ended. After a partial write
    /// [`App::writable`] follows.
    #[must_use = "bytes beyond the returned count were not written"]
    fn write_available(&mut self, conn: Conn, bytes: &[u8]) -> usize;
    /// Offers the write buffer to the socket at once, which otherwise happens at the end of the wake-up.
    fn flush(&mut self, conn: Conn);
    /// Number of bytes in the write buffer: accepted by [`Net::write`], but not yet by the socket, to which
    /// they may not have been offered either. See [`Net::blocked_since`].
    fn unsent(&self, conn: Conn) -> usize;
    /// Since when the socket has refused a part of the write buffer; `None` where it has accepted everything
    /// that it was offered. A peer that leaves bytes unread causes this, as does one that reads more slowly
    /// than this process writes.
    fn blocked_since(&self, conn: Conn) -> Option<Time>;
    /// Number of bytes that the peer's system has not acknowledged: those in the write buffer and in the
    /// socket's send queue.
    fn unacknowledged(&self, conn: Conn) -> usize {
        self.unsent(conn)
    }
    /// Whether bytes or the end of the stream are known to have arrived that have not been passed to the app.
    /// Makes no system call, and returns false while reading is paused.
    fn has_known_input(&self, _conn: Conn) -> bool {
        false
    }
    /// Whether the peer is known to have closed its sending side or reset the connection. Bytes that it sent
    /// before may still be unread.
    fn peer_has_closed(&self, _conn: Conn) -> bool {
        false
    }
    /// To be called within [`App::received`] where the app leaves complete messages: the rest is passed again
    /// after other connections have had their turn, whether or not more bytes arrive.
    fn defer_rest(&mut self, conn: Conn);
    /// Whether bytes have arrived that have not been passed to the app yet; they are passed soon. To be
    /// called before an idle connection is closed, because closing it would lose what its peer has sent
    /// meanwhile.
    fn has_unread(&mut self, conn: Conn) -> bool;
    /// Sets the limit of received bytes that the app has not consumed, in place of
    /// [`buffer::READ_BUFFER_LIMIT`], for a peer that sends longer messages than others.
    fn set_read_limit(&mut self, conn: Conn, bytes: usize);
    /// Pauses or resumes reading. While reading is paused, flow control stops the peer from sending more.
    fn set_read_paused(&mut self, conn: Conn, paused: bool);
    /// Closes the connection gracefully once the write buffer has been sent, so that the peer can read all of
    /// it. No further event of this connection follows.
    fn close(&mut self, conn: Conn);
    /// Resets the connection at once; unsent bytes are lost. No further event of this connection follows.
    fn reset(&mut self, conn: Conn);
    /// Resets the connection like [`Net::reset`], but reports it to the app like a failure: [`App::closed`]
    /// follows.
    fn abort(&mut self, conn: Conn);
    /// Binds a datagram socket; port 0 chooses a free one. Returns the socket and the bound address.
    ///
    /// # Errors
    /// The address is in use or not local, or no file descriptor is left.
    fn bind_datagram(&mut self, address: SocketAddr) -> io::Result<(DatagramSocket, SocketAddr)>;
    /// Sends a datagram, which may be lost silently.
    fn send_datagram(&mut self, socket: DatagramSocket, to: SocketAddr, bytes: &[u8]);
    /// Sets a one-shot timer: [`App::timer_fired`] follows with this token, not before `expires_at`.
    fn set_timer(&mut self, expires_at: Time, token: u64) -> TimerId;
    /// Cancels a timer. Does nothing where it has fired or was already cancelled.
    fn cancel_timer(&mut self, timer: TimerId);
    /// Makes the event loop return at the end of this wake-up.
    fn stop(&mut self);
}

/// Event handlers of protocol code. After [`Net::close`] or [`Net::reset`] no event of that connection
/// follows.
pub trait App {
    /// The implementation of [`Net`] that the app runs on.
    type Net: Net;

    /// The app's network interface, for use by the event loop.
    fn net(&mut self) -> &mut Self::Net;
    /// A listener accepted a connection from the address `from`.
    fn accepted(&mut self, listener: Listener, conn: Conn, from: SocketAddr);
    /// A connection opened by [`Net::connect`] is established.
    fn connected(&mut self, conn: Conn);
    /// Bytes arrived. Returns how many of them the app has consumed; the rest is passed again together with
    /// the bytes that follow. If a full buffer ([`buffer::READ_BUFFER_LIMIT`]) remains, the connection is
    /// closed.
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize;
    /// The write buffer is empty again after a write that was not accepted in full.
    fn writable(&mut self, conn: Conn);
    /// The connection ended, or was never established.
    fn closed(&mut self, conn: Conn, reason: CloseReason);
    /// A datagram arrived.
    fn datagram_received(&mut self, _socket: DatagramSocket, _from: SocketAddr, _bytes: &[u8]) {}
    /// All events of this wake-up have been delivered, including those of closed connections: responses that
    /// depend on them may be sent.
    fn wakeup_ended(&mut self) {}
    /// A timer fired, with the token of [`Net::set_timer`].
    fn timer_fired(&mut self, token: u64);
    /// A signal arrived (`mio` only, see [`mio::Mio::signals`]), by its number.
    fn signal_received(&mut self, _signal: i32) {}
}
