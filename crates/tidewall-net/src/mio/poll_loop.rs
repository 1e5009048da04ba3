//! The event loop: what a wake-up does, and in which order.
use super::clock::STALL_THRESHOLD;
use super::datagrams::receive;
use super::listeners::accept;
use super::reading::read_queued;
use super::slots::{InternalTimer, PendingClose, Slot};
use super::writing::flush_queued;
use super::Mio;
use crate::{App, CloseReason, Conn, Time};
use mio::event::Event;
use std::io;
use std::time::Duration;

/// The registration token of signals: never a slot index, and not the token that mio reserves (`usize::MAX`).
pub(super) const SIGNAL_TOKEN: usize = usize::MAX - 1;

/// The value of `Mio::wakeup_due` before the first poll. Time that passes until then does not count as a
/// stall.
pub(super) const NEVER_POLLED: Time = Time::MAX;

/// The value of `Mio::wakeup_due` for a poll without a timeout.
const NO_TIMEOUT: Time = Time::MAX - 1;

/// Maximum number of rounds of polling and reading that precede the timers after a stall. Without them,
/// timeouts would fire for responses that arrived in the sockets during the stall.
const READ_ROUNDS_AFTER_STALL: usize = 16;

/// When the last poll is longer ago than this (20 ms), the remaining timers wait for the next wake-up, and
/// sockets are read again before anything is sent. It is a fifth of the 100 ms after which a peer that has
/// left expects that nothing more is done for it.
const MAX_TIME_SINCE_POLL: Time = 200;

/// Time for reading after a poll (5 ms), in rounds in which each connection has a turn. Accepted connections
/// that were not reached are first after the next poll, so that each one's turn comes however many send without
/// pause. A quarter of [`MAX_TIME_SINCE_POLL`], so that timers still fire in such a wake-up.
const READ_BUDGET: Time = 50;

/// Maximum duration of reading after a stall (50 ms): well below [`STALL_THRESHOLD`], so that it does not count
/// as a stall itself.
const MAX_CATCH_UP: Time = 500;

/// Maximum number of times that sockets are read again before a wake-up ends, because endless input would
/// otherwise delay output indefinitely.
const MAX_READS_AGAIN: usize = 4;

/// Runs the event loop until the app calls [`Net::stop`](crate::Net::stop). Then sends the last output as far
/// as the sockets accept it.
///
/// # Errors
/// The system's poll fails.
pub fn run<A: App<Net = Mio>>(app: &mut A) -> io::Result<()> {
    while !app.net().stopped {
        turn(app)?;
    }
    flush_queued(app);
    app.net().linger_all();
    Ok(())
}

/// Runs one wake-up: waits for readiness or the next timer, handles sockets, then timers, and then flushes
/// what was written.
///
/// # Errors
/// The system's poll fails.
pub fn turn<A: App<Net = Mio>>(app: &mut A) -> io::Result<()> {
    // The app must know of these connections before anything is read from them.
    while let Some(pending) = app.net().pending_accepts.pop_front() {
        app.accepted(pending.listener, pending.conn, pending.from);
    }
    let busy_stall = app.net().measure_last_wakeup();
    let timeout = app.net().poll_timeout();
    let net = app.net();
    net.poll_started = net.clock.now();
    let late_stall = poll_once(app, timeout)?;
    app.net().total_stall += busy_stall.max(late_stall);
    read_after_poll(app);
    if late_stall > 0 || busy_stall > 0 {
        catch_up(app)?;
    }
    deliver_closes(app);
    fire_timers(app);
    read_again(app)?;
    app.wakeup_ended();
    flush_queued(app);
    Ok(())
}

/// Reads the connections of which the last poll has reported input until nothing is left, or for
/// [`READ_BUDGET`].
fn read_after_poll<A: App<Net = Mio>>(app: &mut A) {
    let until = app.net().polled_at + READ_BUDGET;
    // The last round finds the end of each stream that follows the bytes just read, before anything is sent.
    while !app.net().read_queues.is_empty() {
        read_queued(app, until);
        let net = app.net();
        if net.clock.current() >= until {
            net.statistics.unfinished_reads += u64::from(!net.read_queues.is_empty());
            break;
        }
    }
}

/// Polls and reads after a stall until nothing is left to read, or for [`MAX_CATCH_UP`].
fn catch_up<A: App<Net = Mio>>(app: &mut A) -> io::Result<()> {
    let until = app.net().clock.current() + MAX_CATCH_UP;
    for _ in 0..READ_ROUNDS_AFTER_STALL {
        poll_once(app, Some(Duration::ZERO))?;
        let net = app.net();
        if net.read_queues.is_empty() || net.clock.now() >= until {
            break;
        }
        let read_until = until.min(net.polled_at + READ_BUDGET);
        read_queued(app, read_until);
    }
    Ok(())
}

/// Notifies the app of connections that ended without an event of their sockets.
fn deliver_closes<A: App<Net = Mio>>(app: &mut A) {
    while let Some(PendingClose { conn, reason }) = app.net().pending_closes.pop_front() {
        app.net().remove_failed_connect(conn);
        app.net().remove_connection(conn);
        app.closed(conn, reason);
    }
}

/// Reads the sockets again where the last poll is longer than [`MAX_TIME_SINCE_POLL`] ago, because what is
/// sent at the end of a wake-up should be based on recent input.
fn read_again<A: App<Net = Mio>>(app: &mut A) -> io::Result<()> {
    for _ in 0..MAX_READS_AGAIN {
        if app.net().time_since_poll() <= MAX_TIME_SINCE_POLL {
            break;
        }
        let stall = app.net().measure_last_wakeup();
        let net = app.net();
        net.total_stall += stall;
        net.poll_started = net.clock.now();
        poll_once(app, Some(Duration::ZERO))?;
        read_after_poll(app);
        deliver_closes(app);
    }
    Ok(())
}

impl Mio {
    fn time_since_poll(&self) -> Time {
        self.clock.current() - self.polled_at
    }

    /// Updates the clock, and from it the delay of input that the next poll reports. Returns how long the work
    /// since the last update stalled the event loop, or 0 where it was shorter than a stall.
    fn measure_last_wakeup(&mut self) -> Time {
        let previous = self.clock.now();
        self.clock.update();
        let busy = self.clock.now() - previous;
        self.loop_delay = busy;
        self.clock.record_lag(busy);
        if self.wakeup_due == NEVER_POLLED {
            return 0;
        }
        self.statistics.longest_wakeup = self.statistics.longest_wakeup.max(busy);
        if busy > STALL_THRESHOLD {
            busy
        } else {
            0
        }
    }

    /// How long the poll may wait, or `None` to wait for an event; also sets the time at which it is due to
    /// return.
    fn poll_timeout(&mut self) -> Option<Duration> {
        let expiries = [
            self.app_timers.next_expiry(),
            self.internal_timers.next_expiry(),
        ];
        let next_expiry = expiries.into_iter().flatten().min();
        self.wakeup_due = next_expiry.unwrap_or(NO_TIMEOUT);
        if !self.read_queues.is_empty() || !self.pending_closes.is_empty() {
            return Some(Duration::ZERO);
        }
        let wait = next_expiry?.saturating_sub(self.clock.now());
        Some(Duration::from_micros(wait * 100))
    }

    /// Updates the clock after a poll. Returns how much later than due the poll returned where that is a
    /// stall, or 0.
    fn measure_poll(&mut self, had_timeout: bool) -> Time {
        self.clock.update();
        let now = self.clock.now();
        self.polled_at = now;
        let due = self.wakeup_due.max(self.poll_started);
        let late = if had_timeout {
            now.saturating_sub(due)
        } else {
            0
        };
        self.clock.record_lag(late);
        if late <= STALL_THRESHOLD {
            return 0;
        }
        self.loop_delay += now - self.poll_started;
        self.poll_started = now;
        late
    }
}

/// Polls for readiness and handles the events: accepts, receives datagrams, and queues connections for reads
/// and flushes. Returns how long this process was stalled during the poll.
fn poll_once<A: App<Net = Mio>>(app: &mut A, timeout: Option<Duration>) -> io::Result<Time> {
    let net = app.net();
    let mut events = net
        .events
        .take()
        .expect("polls do not nest: the events are put back after each poll");
    let mut polled = net.poll.poll(&mut events, timeout);
    while polled
        .as_ref()
        .is_err_and(|e| e.kind() == io::ErrorKind::Interrupted)
    {
        // A signal interrupted the poll. Input that has arrived meanwhile must still be handled before the
        // timers.
        polled = net.poll.poll(&mut events, Some(Duration::ZERO));
    }
    polled?;
    let stall = net.measure_poll(timeout.is_some());
    for event in events.iter() {
        handle_event(app, event);
    }
    app.net().events = Some(events);
    Ok(stall)
}

fn handle_event<A: App<Net = Mio>>(app: &mut A, event: &Event) {
    let index = event.token().0;
    if index == SIGNAL_TOKEN {
        return deliver_signals(app);
    }
    let net = app.net();
    let input_since = net.clock.now().saturating_sub(net.loop_delay);
    match net.slots.get_mut(index) {
        None | Some(Slot::FailedConnect(_)) => {}
        Some(Slot::Listener(_)) => accept(app, index),
        Some(Slot::DatagramSocket(_)) => receive(app, index),
        Some(Slot::Connection(connection)) => {
            let conn = Conn::new(index, connection.generation);
            // The next read returns the error or the end of the stream.
            let ended = event.is_read_closed() || event.is_error();
            connection.peer_closed |= ended;
            if ended || event.is_readable() {
                connection.input_reported(input_since);
            }
            if event.is_writable() || event.is_error() {
                handle_writable(app, conn);
            }
            app.net().queue_read(conn);
        }
    }
}

fn deliver_signals<A: App<Net = Mio>>(app: &mut A) {
    let signals = app.net().signals.iter_mut();
    let pending: Vec<i32> = signals.flat_map(|signals| signals.pending()).collect();
    for signal in pending {
        app.signal_received(signal);
    }
}

/// Handles write readiness: completes connecting, and queues the connection for the flush at the end of the
/// wake-up.
fn handle_writable<A: App<Net = Mio>>(app: &mut A, conn: Conn) {
    let net = app.net();
    let Some(connection) = net.connection_mut(conn) else {
        return;
    };
    if !connection.is_established() {
        if let Ok(Some(_)) | Err(_) = connection.socket.take_error() {
            net.remove_connection(conn);
            return app.closed(conn, CloseReason::Refused);
        }
        if connection.socket.peer_addr().is_err() {
            return; // still connecting
        }
        if let Some(timer) = connection.connect_timer.take() {
            net.internal_timers.cancel(timer);
        }
        app.connected(conn);
    }
    app.net().queue_flush(conn);
}

/// Fires the timers that have expired by the time of this wake-up, internal ones first. When the last poll is
/// longer than [`MAX_TIME_SINCE_POLL`] ago, the rest are left to the next wake-up, which begins at once.
fn fire_timers<A: App<Net = Mio>>(app: &mut A) {
    let now = app.net().clock.now();
    while let Some(token) = app.net().internal_timers.pop(now) {
        match InternalTimer::from_token(token) {
            InternalTimer::ResumeSocket(index) => resume_socket(app, index),
            InternalTimer::Connection(conn) => end_connect_or_linger(app, conn),
        }
    }
    while let Some(token) = app.net().app_timers.pop(now) {
        app.timer_fired(token);
        if app.net().stopped || app.net().time_since_poll() > MAX_TIME_SINCE_POLL {
            break;
        }
    }
}

/// Resumes the deferred work of a datagram socket or a listener; the listener may be one that is being
/// closed.
fn resume_socket<A: App<Net = Mio>>(app: &mut A, index: usize) {
    if matches!(app.net().slots.get(index), Some(Slot::DatagramSocket(_))) {
        receive(app, index);
    } else if !app.net().resume_closing(index) {
        accept(app, index);
    }
}

/// Handles the expired timer of a connection: the end of its linger, of which the app is not notified, or its
/// connect timeout.
fn end_connect_or_linger<A: App<Net = Mio>>(app: &mut A, conn: Conn) {
    let net = app.net();
    let lingering = net
        .connection(conn)
        .is_some_and(|c| c.linger_timer.is_some());
    net.remove_connection(conn);
    if !lingering {
        app.closed(conn, CloseReason::TimedOut);
    }
}
