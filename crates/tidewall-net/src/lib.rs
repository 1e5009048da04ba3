//! Sockets, buffers, deadlines and time behind one trait. Protocol code is an `App`: it is called for each
//! thing that happens and acts through `Net`. `mio` carries it on real sockets, `memory` on a scripted
//! network with a clock of its own, so that a failure found there is one of the shipped code.
pub mod buffer;
pub mod memory;
pub mod mio;
pub mod wheel;

use std::io;
use std::net::SocketAddr;

/// A time or a span in whole tenths of a millisecond.
pub type Time = u64;

pub use wheel::TimerId;

/// A connection. Its place is reused; the count in its upper half tells users of that place apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Conn(pub u64);

impl Conn {
    pub fn new(place: usize, count: u32) -> Conn {
        Conn(place as u64 | u64::from(count) << 32)
    }

    pub fn index(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }

    pub fn generation(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listener(pub usize);

/// A datagram socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramSocket(pub usize);

/// Why a connection is over without our having closed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Never established: nobody listens there, or no descriptor was left. Nothing was sent.
    Refused,
    /// Never established within its time. Nothing was sent.
    TimedOut,
    /// Broke while it stood.
    Reset,
    /// The other end closed it.
    Ended,
}

pub trait Net {
    fn now(&self) -> Time;
    /// How long the process has stood still in all (stopped, starved, or busy in one call): what happened in
    /// such a time says nothing about others.
    fn total_stall(&self) -> Time;
    /// How long bytes that are read now may have lain unread while this process did something else or stood
    /// still: a time left that they tell has shrunk by as much.
    fn read_delay(&self) -> Time;
    /// The longest that a wake-up took or came late in the last seconds, standstills left out: a deadline may be
    /// met as much later than it was set for.
    fn max_timer_lag(&self) -> Time;
    /// Fails where the address is taken or no descriptor is left.
    fn listen(&mut self, at: SocketAddr) -> io::Result<(Listener, SocketAddr)>;
    /// Listens no more. What had been connected by then is accepted all the same.
    fn stop_listening(&mut self, listener: Listener);
    /// Never fails at once: `App::connected` or `App::closed` follows.
    fn connect(&mut self, to: SocketAddr, within: Time) -> Conn;
    /// Takes the bytes whole, or none of them where the buffer's bound would be passed: then `App::drained`
    /// follows when it is empty again. False also where the connection is gone.
    fn write(&mut self, conn: Conn, bytes: &[u8]) -> bool;
    /// Writes at once what the socket takes and keeps nothing of the rest: gives back how many bytes have left. None while
    /// earlier ones wait, or where the connection is gone. After less than all `App::drained` follows when there is room.
    fn write_available(&mut self, conn: Conn, bytes: &[u8]) -> usize;
    /// Bytes taken that have not left this process.
    fn unsent(&self, conn: Conn) -> usize;
    /// Bytes taken that the peer's system has not taken yet, those that have left this process included.
    fn unacknowledged(&self, conn: Conn) -> usize {
        self.unsent(conn)
    }
    /// Whether something has come that the app was not given yet: it is, soon. Asked before an idle connection is
    /// closed, or what its peer sent meanwhile would be lost.
    fn has_unread(&mut self, conn: Conn) -> bool;
    /// Stops or resumes reading, so that the peer is held back by its own buffers.
    fn set_read_paused(&mut self, conn: Conn, on: bool);
    /// Closes when all that was taken has left, so that the peer can read it to its end. Nothing more is heard of the
    /// connection.
    fn close(&mut self, conn: Conn);
    /// Closes at once by a reset; what has not left is lost. Nothing more is heard of the connection.
    fn reset(&mut self, conn: Conn);
    /// Breaks it like `reset`, but as if it had broken by itself: `App::closed` follows.
    fn abort(&mut self, conn: Conn);
    fn bind_datagram(&mut self, at: SocketAddr) -> io::Result<(DatagramSocket, SocketAddr)>;
    /// Datagrams may be lost, without a word.
    fn send_datagram(&mut self, port: DatagramSocket, to: SocketAddr, bytes: &[u8]);
    /// `App::due` follows with this token, not before that time.
    fn set_timer(&mut self, at: Time, token: u64) -> TimerId;
    /// A deadline that is over is passed by.
    fn cancel_timer(&mut self, deadline: TimerId);
    fn stop(&mut self);
}

/// What can happen. After `Net::close` or `Net::reset` nothing more happens to that connection.
pub trait App {
    type Net: Net;

    fn net(&mut self) -> &mut Self::Net;
    fn accepted(&mut self, listener: Listener, conn: Conn, from: SocketAddr);
    fn connected(&mut self, conn: Conn);
    /// Gives back how many of the bytes it has used; the rest comes again with what follows. Using none of a
    /// full buffer (`buffer::READ_MOST`) ends the connection.
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize;
    fn writable(&mut self, conn: Conn);
    fn closed(&mut self, conn: Conn, why: CloseReason);
    fn datagram_received(&mut self, _port: DatagramSocket, _from: SocketAddr, _bytes: &[u8]) {}
    /// All that came in this wake-up has been told, ends of connections too: what it called for may leave.
    fn wakeup_ended(&mut self) {}
    fn timer_fired(&mut self, token: u64);
    fn signal_received(&mut self, _signal: i32) {}
}
