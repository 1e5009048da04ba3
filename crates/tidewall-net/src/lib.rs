//! Sockets, write buffers, timers and the clock behind one trait.
//!
//! Protocol code is an [`App`]: an event loop calls it for each event, and it acts through [`Net`]. [`mio`] implements
//! the trait on operating-system sockets; [`memory`] on a simulated network with a virtual clock, so that a fault
//! found in simulation is one of the code that ships.
pub mod buffer;
pub mod memory;
pub mod mio;
pub mod wheel;

use std::io;
use std::net::SocketAddr;

/// A time or duration in whole tenths of a millisecond. Times count from an origin that the [`Net`] chooses; 0 is
/// before every time that [`Net::now`] returns.
pub type Time = u64;

pub use wheel::TimerId;

/// Identifies a connection: a slot index in the lower 32 bits, which is reused, and a generation in the upper ones,
/// which distinguishes the connections that used the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Conn(pub u64);

impl Conn {
    /// The identifier of a slot's connection; `index` is below 2^32.
    pub fn new(index: usize, generation: u32) -> Conn {
        Conn(index as u64 | u64::from(generation) << 32)
    }

    /// The slot index: at any time no two open connections of a [`Net`] share it.
    pub fn index(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }

    /// The generation, which differs between connections that used the same slot.
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

/// Why a connection ended that the app did not close itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Never established: connection refused or no route. Nothing was sent.
    Refused,
    /// Never established, as this machine had no descriptor, memory or port for it: that says nothing of the peer.
    NoResources,
    /// Not established before its connect timeout. Nothing was sent.
    TimedOut,
    /// Reset or otherwise broken after it was established.
    Reset,
    /// The peer closed it in order (end of stream).
    Ended,
}

/// What an [`App`] acts through: non-blocking sockets, timers and the clock of one event loop.
pub trait Net {
    /// The time at the start of this wake-up, on a clock that never goes back.
    fn now(&self) -> Time;
    /// The time by the system's clock at this moment: [`Net::now`] and what this wake-up has taken since. The same as
    /// `now` where the time of a wake-up stands still, as on the simulated network.
    fn current_time(&self) -> Time {
        self.now()
    }
    /// When the sockets were last polled: what has arrived since has not been seen.
    fn polled_at(&self) -> Time {
        self.now()
    }
    /// Total duration for which the process has stalled (stopped, starved of processor time, or busy in one call). A
    /// timeout that expired during a stall says nothing about a peer.
    fn total_stall(&self) -> Time;
    /// Upper bound of the time for which the bytes that are being read may have waited unread in the socket, while this
    /// process was busy or stalled: a remaining time that they state has shrunk by as much.
    fn read_delay(&self) -> Time;
    /// The longest duration or lateness of a wake-up in the last one to two seconds, stalls excluded: a timer may fire
    /// that much later than it was set for.
    fn max_timer_lag(&self) -> Time;
    /// Listens on an address; port 0 chooses a free one. Returns the listener and the bound address.
    ///
    /// # Errors
    /// The address is in use or not local, or no file descriptor is left.
    fn listen(&mut self, at: SocketAddr) -> io::Result<(Listener, SocketAddr)>;
    /// Stops listening. Connections in the backlog are still accepted.
    fn stop_listening(&mut self, listener: Listener);
    /// Opens a connection. Never fails at once: [`App::connected`] or [`App::closed`] follows, the latter with
    /// [`CloseReason::TimedOut`] after `within`.
    fn connect(&mut self, to: SocketAddr, within: Time) -> Conn;
    /// Queues all of the bytes, or none where [`buffer::WRITE_BUFFER_LIMIT`] would be passed: then it returns false,
    /// and [`App::writable`] follows when the write buffer is empty. False also where the connection has ended.
    fn write(&mut self, conn: Conn, bytes: &[u8]) -> bool;
    /// Writes what the socket accepts at once, queues nothing, and returns how many bytes were written: 0 while
    /// earlier bytes are queued, or where the connection has ended. After a partial write [`App::writable`] follows.
    #[must_use = "bytes beyond the returned count were not written"]
    fn write_available(&mut self, conn: Conn, bytes: &[u8]) -> usize;
    /// Bytes in the write buffer: accepted by [`Net::write`] and not yet by the socket.
    fn unsent(&self, conn: Conn) -> usize;
    /// Bytes that the peer's system has not acknowledged: the write buffer and the socket's send queue.
    fn unacknowledged(&self, conn: Conn) -> usize {
        self.unsent(conn)
    }
    /// Whether bytes or the end of the stream are known to have arrived that the app has not been given. Looks at no socket,
    /// and is false while reading is paused.
    fn has_known_input(&self, _conn: Conn) -> bool {
        false
    }
    /// Whether bytes have arrived that the app has not been given; it is given them soon. To be called before an idle
    /// connection is closed, or what its peer has sent meanwhile would be lost.
    fn has_unread(&mut self, conn: Conn) -> bool;
    /// Allows so many received bytes that the app has not consumed in place of [`buffer::READ_BUFFER_LIMIT`], for a peer
    /// whose messages are longer than other peers'.
    fn set_read_limit(&mut self, conn: Conn, bytes: usize);
    /// Pauses or resumes reading. While paused, flow control holds the peer back.
    fn set_read_paused(&mut self, conn: Conn, on: bool);
    /// Closes gracefully, once the write buffer has been sent, so that the peer can read all of it. No further event of
    /// this connection follows.
    fn close(&mut self, conn: Conn);
    /// Resets the connection at once; unsent bytes are lost. No further event of this connection follows.
    fn reset(&mut self, conn: Conn);
    /// Resets the connection like [`Net::reset`], but as if it had failed: [`App::closed`] follows.
    fn abort(&mut self, conn: Conn);
    /// Binds a datagram socket; port 0 chooses a free one. Returns the socket and the bound address.
    ///
    /// # Errors
    /// The address is in use or not local, or no file descriptor is left.
    fn bind_datagram(&mut self, at: SocketAddr) -> io::Result<(DatagramSocket, SocketAddr)>;
    /// Sends a datagram, which may be lost silently.
    fn send_datagram(&mut self, socket: DatagramSocket, to: SocketAddr, bytes: &[u8]);
    /// Sets a one-shot timer: [`App::timer_fired`] follows with this token, not before the time `at`.
    fn set_timer(&mut self, at: Time, token: u64) -> TimerId;
    /// Cancels a timer; one that has fired or was cancelled is ignored.
    fn cancel_timer(&mut self, timer: TimerId);
    /// Makes the event loop return after this wake-up.
    fn stop(&mut self);
}

/// Event handlers of the protocol code. After [`Net::close`] or [`Net::reset`] no event of that connection follows.
pub trait App {
    /// The network that the app runs on.
    type Net: Net;

    /// The app's handle on the network, for the event loop.
    fn net(&mut self) -> &mut Self::Net;
    /// A listener accepted a connection from the address `from`.
    fn accepted(&mut self, listener: Listener, conn: Conn, from: SocketAddr);
    /// A connection opened by [`Net::connect`] is established.
    fn connected(&mut self, conn: Conn);
    /// Bytes arrived. Returns how many the app has consumed; the rest is passed again together with what follows.
    /// Leaving a full buffer ([`buffer::READ_BUFFER_LIMIT`]) ends the connection.
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize;
    /// After a write that was not accepted in full: the write buffer is empty again.
    fn writable(&mut self, conn: Conn);
    /// The connection ended, or was never established.
    fn closed(&mut self, conn: Conn, why: CloseReason);
    /// A datagram arrived.
    fn datagram_received(&mut self, _socket: DatagramSocket, _from: SocketAddr, _bytes: &[u8]) {}
    /// All events of this wake-up have been passed on, closed connections included: the reactions to them may be sent.
    fn wakeup_ended(&mut self) {}
    /// A timer fired, with the token of [`Net::set_timer`].
    fn timer_fired(&mut self, token: u64);
    /// A signal arrived (`mio` only, see [`mio::Mio::signals`]), by its number.
    fn signal_received(&mut self, _signal: i32) {}
}
