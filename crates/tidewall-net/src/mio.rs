//! The trait on real sockets: one thread, readiness by mio. What is written in a wake-up leaves at its end in
//! one piece for each connection.
use crate::buffer::{Buffer, READ_BUFFER_LIMIT, WRITE_BUFFER_LIMIT};
use crate::wheel::{TimerId, Wheel};
use crate::{App, CloseReason, Conn, DatagramSocket, Listener, Net, Time};
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use signal_hook_mio::v1_0::Signals;
use slab::Slab;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

const SIGNALS: usize = usize::MAX - 1;

/// Read from one connection in one wake-up, so that a busy one cannot keep the others waiting.
const CHUNK: usize = 64 << 10;

/// Accepted by one listener in one wake-up, for the same reason.
const ACCEPTS: usize = 64;

/// With no descriptor left, accepting pauses this long instead of spinning.
const ACCEPT_PAUSE: Time = 1_000;

/// A wake-up that comes this much later than asked, or lasts this long, is a standstill of ours: well above
/// what scheduling costs on a busy machine, well below any time by which a worker is judged.
const STANDSTILL: Time = 1_000;

/// After a standstill this many rounds of reading go before the timers, or answers that lie in the sockets
/// would be counted as missing.
const CATCH_UP: usize = 16;

enum Slot {
    Listener(TcpListener),
    Stream(Box<Stream>),
    DatagramSocket(UdpSocket),
    /// An attempt to connect that failed at once, by its count.
    Never(u32),
}

struct Stream {
    socket: TcpStream,
    count: u32,
    /// The deadline of an attempt to connect.
    opening: Option<TimerId>,
    read: Buffer,
    write: Buffer,
    readable: bool,
    paused: bool,
    /// Since when, and how long what still lies in the socket may have lain there for it.
    paused_from: Time,
    stale: Time,
    hot: bool,
    dirty: bool,
    /// A write was turned away: `drained` is owed.
    owed: bool,
    closing: bool,
    /// Broken by us, and that is still to be told.
    failed: bool,
    /// Came from outside.
    accepted: bool,
    /// When the socket last took something, and until when the peer has time to read it once our half is over.
    wrote: Time,
    ending: Option<TimerId>,
}

impl Stream {
    /// Reads on and keeps nothing. True at the end.
    fn over(&mut self, chunk: &mut [u8]) -> bool {
        // So much at once and no more, or one that sends without end would hold the loop.
        for _ in 0..CATCH_UP {
            match self.socket.read(chunk) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Bytes that the system still holds for the peer; 0 where it does not tell.
    fn queued(&self) -> usize {
        let mut count: libc::c_int = 0;
        // SAFETY: the descriptor is open and the count is an integer of the call's size.
        let done = unsafe { libc::ioctl(self.socket.as_raw_fd(), libc::TIOCOUTQ, &mut count) };
        if done == 0 {
            count.max(0) as usize
        } else {
            0
        }
    }

    /// Closing it sends a reset and drops what has not left.
    fn linger_none(&self) {
        let linger = libc::linger {
            l_onoff: 1,
            l_linger: 0,
        };
        // SAFETY: the descriptor is open and the option's value is a linger of its size.
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

pub struct Mio {
    poll: Poll,
    events: Option<Events>,
    slots: Slab<Slot>,
    count: u32,
    wheel: Wheel,
    /// Own deadlines: attempts to connect (the connection), and listeners and ports that are to go on (with the top bit
    /// set).
    own: Wheel,
    hot: VecDeque<Conn>,
    dirty: Vec<Conn>,
    over: VecDeque<(Conn, CloseReason)>,
    /// Accepted as their listener went, and not yet told.
    late: VecDeque<(Listener, Conn, SocketAddr)>,
    started: Instant,
    ppm: i64,
    now: Time,
    asked: Time,
    slept: Time,
    stood: Time,
    waited: Time,
    /// Of the connection that is being read.
    stale: Time,
    /// The worst lag of this second and of the one before, and when this one began.
    lags: [Time; 2],
    lags_from: Time,
    signals: Option<Signals>,
    stopped: bool,
    chunk: Box<[u8]>,
}

/// A connection that was written to so lately is ended in two steps: our half first, then the rest when the peer has closed
/// too, or after as long again. A close over unread bytes is a reset, and that may eat the last answer. A hundred round trips
/// of a local network; far less than clients wait.
const LINGER: Time = 1_000;

const GO_ON: u64 = 1 << 63;

impl Mio {
    pub fn new() -> io::Result<Mio> {
        Ok(Mio {
            poll: Poll::new()?,
            events: Some(Events::with_capacity(1024)),
            slots: Slab::new(),
            count: 0,
            wheel: Wheel::default(),
            own: Wheel::default(),
            hot: VecDeque::new(),
            dirty: Vec::new(),
            over: VecDeque::new(),
            late: VecDeque::new(),
            started: Instant::now(),
            ppm: 0,
            now: 1,
            asked: Time::MAX,
            slept: 1,
            stood: 0,
            waited: 0,
            stale: 0,
            lags: [0; 2],
            lags_from: 0,
            signals: None,
            stopped: false,
            chunk: vec![0; CHUNK].into(),
        })
    }

    /// Its clock counts from then, as that of other threads' nets does that are told the same, and runs faster by so many
    /// millionths (trials).
    pub fn clock(&mut self, started: Instant, ppm: i64) {
        (self.started, self.ppm) = (started, ppm);
        self.look();
        (self.slept, self.asked) = (self.now, Time::MAX);
    }

    /// These signals come as `App::signal` from now on.
    pub fn signals(&mut self, which: &[i32]) -> io::Result<()> {
        let mut signals = Signals::new(which)?;
        self.poll
            .registry()
            .register(&mut signals, Token(SIGNALS), Interest::READABLE)?;
        self.signals = Some(signals);
        Ok(())
    }

    /// After a stop, `run` may be called again.
    pub fn go_on(&mut self) {
        self.stopped = false;
        self.look();
    }

    pub fn stopped(&self) -> bool {
        self.stopped
    }

    /// Whole tenths that have passed, rounded down, from 1 on: 0 means "long ago" to the decisions.
    fn look(&mut self) {
        let past = (self.started.elapsed().as_micros() / 100) as i128;
        self.now = self
            .now
            .max((past + past * i128::from(self.ppm) / 1_000_000) as Time + 1);
    }

    /// Takes a lag into account.
    fn lagged(&mut self, lag: Time) {
        const SECOND: Time = 10_000;
        if self.now >= self.lags_from + SECOND {
            self.lags = [
                0,
                if self.now >= self.lags_from + 2 * SECOND {
                    0
                } else {
                    self.lags[0]
                },
            ];
            self.lags_from = self.now;
        }
        if lag <= STANDSTILL {
            self.lags[0] = self.lags[0].max(lag);
        }
    }

    fn stream(&mut self, conn: Conn) -> Option<&mut Stream> {
        match self.slots.get_mut(conn.index()) {
            Some(Slot::Stream(s)) if s.count == conn.generation() => Some(s),
            _ => None,
        }
    }

    fn add(&mut self, socket: TcpStream, opening: Option<Time>) -> io::Result<Conn> {
        self.count = self.count.wrapping_add(1) & 0x7fff_ffff;
        let entry = self.slots.vacant_entry();
        let conn = Conn::new(entry.key(), self.count);
        let mut stream = Stream {
            socket,
            count: self.count,
            opening: None,
            read: Buffer::default(),
            write: Buffer::default(),
            readable: false,
            paused: false,
            paused_from: 0,
            stale: 0,
            hot: false,
            dirty: false,
            owed: false,
            closing: false,
            failed: false,
            accepted: opening.is_none(),
            wrote: 0,
            ending: None,
        };
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(&mut stream.socket, Token(entry.key()), interest)?;
        stream.opening = opening.map(|at| self.own.insert(at, conn.0));
        entry.insert(Slot::Stream(Box::new(stream)));
        Ok(conn)
    }

    fn remove(&mut self, conn: Conn) {
        if let Some(s) = self.stream(conn) {
            for deadline in [s.opening.take(), s.ending.take()].into_iter().flatten() {
                self.own.cancel(deadline);
            }
            if let Slot::Stream(mut s) = self.slots.remove(conn.index()) {
                // The socket closes by being dropped, whatever the registry says.
                let _ = self.poll.registry().deregister(&mut s.socket);
            }
        }
    }

    /// Forgets an attempt that failed at once.
    fn never(&mut self, conn: Conn) {
        if matches!(self.slots.get(conn.index()), Some(Slot::Never(c)) if *c == conn.generation()) {
            self.slots.remove(conn.index());
            self.over.retain(|o| o.0 != conn);
        }
    }

    fn warm(&mut self, conn: Conn) {
        if let Some(s) = self.stream(conn) {
            if !std::mem::replace(&mut s.hot, true) {
                self.hot.push_back(conn);
            }
        }
    }

    fn soil(&mut self, conn: Conn) {
        if let Some(s) = self.stream(conn) {
            if !std::mem::replace(&mut s.dirty, true) {
                self.dirty.push(conn);
            }
        }
    }

    /// Writes what the socket takes. False where the connection broke.
    fn flush(&mut self, conn: Conn) -> bool {
        let now = self.now;
        let Some(s) = self.stream(conn) else {
            return true;
        };
        if s.opening.is_some() {
            return true;
        }
        while !s.write.is_empty() {
            match s.socket.write(s.write.data()) {
                Ok(0) => return false,
                Ok(n) => {
                    s.write.consume(n);
                    s.wrote = now;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// All was written: ends our half, and the rest with the peer's. True where it can be dropped at once.
    fn part(&mut self, conn: Conn) -> bool {
        let now = self.now;
        let Some(s) = self.stream(conn) else {
            return true;
        };
        if s.ending.is_some() {
            return false;
        }
        if s.socket.shutdown(Shutdown::Write).is_err() {
            return true;
        }
        let ending = self.own.insert(now + LINGER, conn.0);
        if let Some(s) = self.stream(conn) {
            (s.ending, s.readable) = (Some(ending), true);
        }
        self.warm(conn);
        false
    }

    /// Whether its peer may still have to read what was written to it last.
    fn fresh(&mut self, conn: Conn) -> bool {
        let now = self.now;
        self.stream(conn)
            .is_some_and(|s| s.wrote > 0 && now <= s.wrote + LINGER)
    }
}

impl Net for Mio {
    fn now(&self) -> Time {
        self.now
    }

    fn total_stall(&self) -> Time {
        self.stood
    }

    fn read_delay(&self) -> Time {
        self.waited + self.stale
    }

    fn max_timer_lag(&self) -> Time {
        self.lags[0].max(self.lags[1])
    }

    fn listen(&mut self, at: SocketAddr) -> io::Result<(Listener, SocketAddr)> {
        let mut socket = TcpListener::bind(at)?;
        let at = socket.local_addr()?;
        let entry = self.slots.vacant_entry();
        self.poll
            .registry()
            .register(&mut socket, Token(entry.key()), Interest::READABLE)?;
        let listener = Listener(entry.key());
        entry.insert(Slot::Listener(socket));
        Ok((listener, at))
    }

    fn stop_listening(&mut self, listener: Listener) {
        // What the system has accepted for us already would be reset, with what it had sent.
        while let Some(Slot::Listener(socket)) = self.slots.get(listener.0) {
            let Ok((socket, from)) = socket.accept() else {
                break;
            };
            let _ = socket.set_nodelay(true);
            if let Ok(conn) = self.add(socket, None) {
                self.late.push_back((listener, conn, from));
            }
        }
        if matches!(self.slots.get(listener.0), Some(Slot::Listener(_))) {
            if let Slot::Listener(mut socket) = self.slots.remove(listener.0) {
                let _ = self.poll.registry().deregister(&mut socket);
            }
        }
    }

    fn connect(&mut self, to: SocketAddr, within: Time) -> Conn {
        let at = self.now + within;
        let added = TcpStream::connect(to).and_then(|socket| {
            // Small frames must not wait for one another.
            let _ = socket.set_nodelay(true);
            self.add(socket, Some(at))
        });
        added.unwrap_or_else(|_| {
            // No descriptor or no route: told in the next wake-up, like every other failure.
            self.count = self.count.wrapping_add(1) & 0x7fff_ffff;
            let conn = Conn::new(self.slots.insert(Slot::Never(self.count)), self.count);
            self.over.push_back((conn, CloseReason::Refused));
            conn
        })
    }

    fn write(&mut self, conn: Conn, bytes: &[u8]) -> bool {
        let Some(s) = self.stream(conn) else {
            return false;
        };
        if s.closing {
            return false;
        }
        if s.write.len() + bytes.len() > WRITE_BUFFER_LIMIT {
            s.owed = true;
            return false;
        }
        s.write.push(bytes);
        self.soil(conn);
        true
    }

    fn write_available(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let (good, now) = (self.flush(conn), self.now);
        let Some(s) = self
            .stream(conn)
            .filter(|s| !s.closing && s.opening.is_none())
        else {
            return 0;
        };
        let mut left = 0;
        while good && s.write.is_empty() && left < bytes.len() {
            match s.socket.write(&bytes[left..]) {
                Ok(n @ 1..) => left += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // The read meets the end, after what the peer sent before it.
                _ => {
                    s.readable = true;
                    break;
                }
            }
        }
        s.owed |= left < bytes.len();
        s.wrote = if left > 0 { now } else { s.wrote };
        s.readable |= !good;
        if s.readable {
            self.warm(conn);
        }
        left
    }

    fn unsent(&self, conn: Conn) -> usize {
        match self.slots.get(conn.index()) {
            Some(Slot::Stream(s)) if s.count == conn.generation() => s.write.len(),
            _ => 0,
        }
    }

    fn set_read_paused(&mut self, conn: Conn, on: bool) {
        let now = self.now;
        if let Some(s) = self.stream(conn) {
            if on && !s.paused {
                s.paused_from = now;
            } else if !on && s.paused {
                s.stale += now - s.paused_from;
            }
            s.paused = on;
            self.warm(conn);
        }
    }

    fn unacknowledged(&self, conn: Conn) -> usize {
        match self.slots.get(conn.index()) {
            Some(Slot::Stream(s)) if s.count == conn.generation() => s.write.len() + s.queued(),
            _ => 0,
        }
    }

    fn has_unread(&mut self, conn: Conn) -> bool {
        let mut chunk = std::mem::take(&mut self.chunk);
        let mut came = false;
        if let Some(s) = self
            .stream(conn)
            .filter(|s| !s.closing && !s.paused && s.opening.is_none())
        {
            came = s.hot && !s.read.is_empty();
            if !came {
                // No readiness was told of what came in this wake-up: only a read shows it.
                if let Ok(n @ 1..) = s.socket.read(&mut chunk) {
                    s.read.push(&chunk[..n]);
                    (s.readable, came) = (true, true);
                }
            }
        }
        self.chunk = chunk;
        if came {
            self.warm(conn);
        }
        came
    }

    fn close(&mut self, conn: Conn) {
        if let Some(s) = self.stream(conn) {
            s.closing = true;
            self.soil(conn);
        }
        self.never(conn);
    }

    fn abort(&mut self, conn: Conn) {
        if let Some(s) = self.stream(conn) {
            // Its place is kept until that is told, so that no other connection is taken for it.
            s.closing = true;
            let unsent = s.write.len();
            s.write.consume(unsent);
            s.linger_none();
            s.failed = true;
            self.over.push_back((conn, CloseReason::Reset));
        }
    }

    fn reset(&mut self, conn: Conn) {
        if let Some(s) = self.stream(conn) {
            s.linger_none();
        }
        self.remove(conn);
        self.never(conn);
    }

    fn bind_datagram(&mut self, at: SocketAddr) -> io::Result<(DatagramSocket, SocketAddr)> {
        let mut socket = UdpSocket::bind(at)?;
        let at = socket.local_addr()?;
        let entry = self.slots.vacant_entry();
        self.poll
            .registry()
            .register(&mut socket, Token(entry.key()), Interest::READABLE)?;
        let port = DatagramSocket(entry.key());
        entry.insert(Slot::DatagramSocket(socket));
        Ok((port, at))
    }

    fn send_datagram(&mut self, port: DatagramSocket, to: SocketAddr, bytes: &[u8]) {
        if let Some(Slot::DatagramSocket(socket)) = self.slots.get(port.0) {
            let _ = socket.send_to(bytes, to);
        }
    }

    fn set_timer(&mut self, at: Time, token: u64) -> TimerId {
        self.wheel.insert(at, token)
    }

    fn cancel_timer(&mut self, deadline: TimerId) {
        self.wheel.cancel(deadline);
    }

    fn stop(&mut self) {
        self.stopped = true;
    }
}

/// Runs until the app stops its net; what it wrote last is sent as far as the sockets take it.
pub fn run<A: App<Net = Mio>>(app: &mut A) -> io::Result<()> {
    while !app.net().stopped {
        turn(app)?;
    }
    flush(app);
    part(app.net())
}

/// Before the sockets end with the process, our halves of those that came to us do, and what lies unread is read: a close over
/// unread bytes is a reset.
fn part(net: &mut Mio) -> io::Result<()> {
    net.look();
    let (until, mut chunk) = (net.now + LINGER, std::mem::take(&mut net.chunk));
    let mut rest: Vec<Conn> = Vec::new();
    for (place, slot) in &net.slots {
        if let Slot::Stream(s) = slot {
            rest.extend((s.accepted && !s.failed).then_some(Conn::new(place, s.count)));
        }
    }
    rest.retain(|conn| !net.part(*conn));
    while !rest.is_empty() && net.now < until {
        rest.retain(|conn| net.stream(*conn).is_some_and(|s| !s.over(&mut chunk)));
        if let Some(events) = net.events.as_mut().filter(|_| !rest.is_empty()) {
            // A signal that comes now changes nothing.
            let _ = net.poll.poll(events, Some(Duration::from_millis(5)));
        }
        net.look();
    }
    net.chunk = chunk;
    Ok(())
}

/// One wake-up: sockets first, timers after them, then what was written leaves.
pub fn turn<A: App<Net = Mio>>(app: &mut A) -> io::Result<()> {
    // Before anything of it is read.
    while let Some((listener, conn, from)) = app.net().late.pop_front() {
        app.accepted(listener, conn, from);
    }
    let net = app.net();
    let began = net.now;
    net.look();
    // What comes now may have come at any time during the last wake-up's work, or during the ones before it
    // where sockets were not read empty since.
    net.waited = net.now - began + if net.hot.is_empty() { 0 } else { net.waited };
    // The last wake-up's own work counts too.
    let busy = net.now - began;
    net.lagged(busy);
    let busy = if busy > STANDSTILL && net.asked != Time::MAX {
        busy
    } else {
        0
    };
    let due = [net.wheel.next_expiry(), net.own.next_expiry()]
        .into_iter()
        .flatten()
        .min();
    let idle = net.hot.is_empty() && net.over.is_empty();
    net.asked = due.unwrap_or(Time::MAX - 1);
    let wait = match due {
        _ if !idle => Some(Duration::ZERO),
        Some(at) => Some(Duration::from_micros(at.saturating_sub(net.now) * 100)),
        None => None,
    };
    net.slept = net.now;
    let late = poll_once(app, wait)?;
    let net = app.net();
    net.stood += busy.max(late);
    hot(app);
    // An end that lies behind what was just read is met before anything leaves.
    hot(app);
    if late > 0 || busy > 0 {
        for _ in 0..CATCH_UP {
            poll_once(app, Some(Duration::ZERO))?;
            if app.net().hot.is_empty() {
                break;
            }
            hot(app);
        }
    }
    while let Some((conn, why)) = app.net().over.pop_front() {
        app.net().never(conn);
        app.net().remove(conn);
        app.closed(conn, why);
    }
    let now = app.net().now;
    while let Some(token) = app.net().own.pop(now) {
        let place = (token & !GO_ON) as usize;
        if token & GO_ON != 0 {
            match app.net().slots.get(place) {
                Some(Slot::DatagramSocket(_)) => datagrams(app, place),
                _ => accept(app, place),
            }
        } else {
            let conn = Conn(token);
            let ending = app.net().stream(conn).is_some_and(|s| s.ending.is_some());
            app.net().remove(conn);
            if !ending {
                app.closed(conn, CloseReason::TimedOut);
            }
        }
    }
    while let Some(token) = app.net().wheel.pop(now) {
        app.timer_fired(token);
        if app.net().stopped {
            break;
        }
    }
    app.wakeup_ended();
    flush(app);
    Ok(())
}

/// Takes over what became ready. Gives back how long this process stood still meanwhile.
fn poll_once<A: App<Net = Mio>>(app: &mut A, wait: Option<Duration>) -> io::Result<Time> {
    let net = app.net();
    let mut events = net.events.take().expect("polls do not nest");
    let mut polled = net.poll.poll(&mut events, wait);
    while polled
        .as_ref()
        .is_err_and(|e| e.kind() == io::ErrorKind::Interrupted)
    {
        // A signal: what lies in the sockets by now still goes before the timers.
        polled = net.poll.poll(&mut events, Some(Duration::ZERO));
    }
    polled?;
    net.look();
    let due = net.asked.max(net.slept);
    let late = if wait.is_some() {
        net.now.saturating_sub(due)
    } else {
        0
    };
    net.lagged(late);
    let late = if late > STANDSTILL { late } else { 0 };
    if late > 0 {
        net.waited += net.now - net.slept;
        net.slept = net.now;
    }
    for event in events.iter() {
        let place = event.token().0;
        if place == SIGNALS {
            let pending: Vec<i32> = app
                .net()
                .signals
                .iter_mut()
                .flat_map(|s| s.pending())
                .collect();
            pending
                .into_iter()
                .for_each(|signal| app.signal_received(signal));
            continue;
        }
        match app.net().slots.get_mut(place) {
            None | Some(Slot::Never(_)) => {}
            Some(Slot::Listener(_)) => accept(app, place),
            Some(Slot::DatagramSocket(_)) => datagrams(app, place),
            Some(Slot::Stream(s)) => {
                let conn = Conn::new(place, s.count);
                // Errors and hang-ups show up in the read.
                s.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
                if event.is_writable() || event.is_error() {
                    writable(app, conn);
                }
                app.net().warm(conn);
            }
        }
    }
    app.net().events = Some(events);
    Ok(late)
}

fn writable<A: App<Net = Mio>>(app: &mut A, conn: Conn) {
    let net = app.net();
    let Some(s) = net.stream(conn) else { return };
    if s.opening.is_some() {
        if let Ok(Some(_)) | Err(_) = s.socket.take_error() {
            net.remove(conn);
            return app.closed(conn, CloseReason::Refused);
        }
        if s.socket.peer_addr().is_err() {
            return; // not yet
        }
        if let Some(d) = s.opening.take() {
            net.own.cancel(d);
        }
        app.connected(conn);
    }
    app.net().soil(conn);
}

fn accept<A: App<Net = Mio>>(app: &mut A, place: usize) {
    for round in 0.. {
        let net = app.net();
        let Some(Slot::Listener(listener)) = net.slots.get(place) else {
            return;
        };
        match listener.accept() {
            Ok((socket, from)) => {
                let _ = socket.set_nodelay(true);
                if let Ok(conn) = net.add(socket, None) {
                    app.accepted(Listener(place), conn, from);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            Err(e) if matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE)) => {
                let at = net.now + ACCEPT_PAUSE;
                net.own.insert(at, place as u64 | GO_ON);
                return;
            }
            // The peer left before it was accepted.
            Err(_) => {}
        }
        if round == ACCEPTS {
            return rest(app.net(), place);
        }
    }
}

/// There may be more, of which no readiness will tell again: it is looked for in the next wake-up, not in this one, or a
/// flood would hold the loop.
fn rest(net: &mut Mio, place: usize) {
    let at = net.now + 1;
    net.own.insert(at, place as u64 | GO_ON);
}

fn datagrams<A: App<Net = Mio>>(app: &mut A, place: usize) {
    let mut bytes = [0; 2048];
    for _ in 0..ACCEPTS {
        let Some(Slot::DatagramSocket(socket)) = app.net().slots.get(place) else {
            return;
        };
        match socket.recv_from(&mut bytes) {
            Ok((n, from)) => app.datagram_received(DatagramSocket(place), from, &bytes[..n]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            Err(_) => {}
        }
    }
    rest(app.net(), place);
}

/// Reads once from each connection that may have something.
fn hot<A: App<Net = Mio>>(app: &mut A) {
    for _ in 0..app.net().hot.len() {
        let Some(conn) = app.net().hot.pop_front() else {
            return;
        };
        read(app, conn);
    }
}

fn read<A: App<Net = Mio>>(app: &mut A, conn: Conn) {
    let net = app.net();
    let mut chunk = std::mem::take(&mut net.chunk);
    let mut gone = None;
    if let Some(s) = net.stream(conn) {
        s.hot = false;
        if s.ending.is_some() {
            let over = s.over(&mut chunk);
            net.chunk = chunk;
            if over {
                net.remove(conn);
            }
            return;
        }
        if s.closing || s.paused || s.opening.is_some() {
            net.chunk = chunk;
            return;
        }
        if s.readable {
            match s.socket.read(&mut chunk) {
                Ok(0) => gone = Some(CloseReason::Ended),
                Ok(n) => {
                    s.read.push(&chunk[..n]);
                    net.warm(conn);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    (s.readable, s.stale) = (false, 0)
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => net.warm(conn),
                Err(_) => gone = Some(CloseReason::Reset),
            }
        }
    }
    net.chunk = chunk;
    // The buffer is out of the net while the app reads it, so that the app may act meanwhile.
    if let Some(s) = net.stream(conn).filter(|s| !s.read.is_empty()) {
        let mut buffer = std::mem::take(&mut s.read);
        let stale = s.stale;
        app.net().stale = stale;
        let used = app.received(conn, buffer.data());
        app.net().stale = 0;
        buffer.consume(used);
        let full = buffer.len() >= READ_BUFFER_LIMIT;
        if let Some(s) = app.net().stream(conn) {
            s.read = buffer;
            if full {
                gone = Some(CloseReason::Reset);
            }
        }
    }
    if let (Some(why), Some(s)) = (gone, app.net().stream(conn)) {
        let closing = s.closing;
        app.net().remove(conn);
        if !closing {
            app.closed(conn, why);
        }
    }
}

fn flush<A: App<Net = Mio>>(app: &mut A) {
    // What `drained` writes goes out in the same wake-up; twice at most, so that nobody holds the loop.
    for _ in 0..2 {
        let mut dirty = std::mem::take(&mut app.net().dirty);
        for conn in dirty.drain(..) {
            let net = app.net();
            if let Some(s) = net.stream(conn) {
                s.dirty = false;
            }
            let good = net.flush(conn);
            let Some(s) = net.stream(conn) else { continue };
            let (closing, empty) = (s.closing, s.write.is_empty());
            if !good && !closing {
                // What the peer sent before it broke is read first; the read then meets the end.
                let unsent = s.write.len();
                s.write.consume(unsent);
                s.readable = true;
                net.warm(conn);
            } else if s.failed {
                // Told by its own entry.
            } else if !good || closing && empty {
                if !good || !net.fresh(conn) || net.part(conn) {
                    net.remove(conn);
                }
            } else if empty && std::mem::take(&mut s.owed) {
                app.writable(conn);
            }
        }
        if app.net().dirty.is_empty() {
            app.net().dirty = dirty;
            return;
        }
    }
}
