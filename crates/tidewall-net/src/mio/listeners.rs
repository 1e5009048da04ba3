//! Listening sockets: the accept loop.
use super::slots::{InternalTimer, PendingAccept, Slot};
use super::Mio;
use crate::{App, Listener, Time};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Connections accepted from one listener in one wake-up, so that a busy one does not starve the others.
const MAX_ACCEPTS: usize = 64;

/// Without a free file descriptor accepting pauses this long (100 ms) instead of spinning.
const ACCEPT_PAUSE: Time = 1_000;

/// A listener that is being closed tries so often to accept what waits: for a second.
const MAX_CLOSE_TRIES: u32 = 10;

/// A socket that is bound, mostly at the start of the process, is tried so often where the machine lacks something for it for a
/// moment, with this pause: 0.2 s in all, in which nothing else is done.
const OPEN_TRIES: u32 = 8;
const OPEN_PAUSE: Duration = Duration::from_millis(25);

/// Opens a socket that is bound to an address, trying again where the machine lacks something for a moment.
pub(super) fn open_socket<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..OPEN_TRIES {
        match open() {
            Err(error) if is_shortage(&error) => std::thread::sleep(OPEN_PAUSE),
            result => return result,
        }
    }
    open()
}

/// Whether the machine lacks a descriptor or memory for now, or a signal came.
fn is_shortage(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EINTR)
    )
}

/// What a failed accept means, by the errors that accept(2) documents.
enum AcceptFailure {
    /// No connection waits.
    NothingWaits,
    /// One connection is gone, or a signal came: the next one may be accepted.
    ThisConnection,
    /// No descriptor or memory is left for now. What waits stays in the backlog.
    Shortage,
}

impl AcceptFailure {
    fn of(error: &io::Error) -> AcceptFailure {
        match error.raw_os_error() {
            Some(libc::EAGAIN) => AcceptFailure::NothingWaits,
            Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => {
                AcceptFailure::Shortage
            }
            _ => AcceptFailure::ThisConnection,
        }
    }
}

impl Mio {
    pub(super) fn open_listener(&mut self, at: SocketAddr) -> io::Result<(Listener, SocketAddr)> {
        let mut socket = open_socket(|| TcpListener::bind(at))?;
        let at = socket.local_addr()?;
        let entry = self.slots.vacant_entry();
        self.poll
            .registry()
            .register(&mut socket, Token(entry.key()), Interest::READABLE)?;
        let listener = Listener(entry.key());
        entry.insert(Slot::Listener(socket));
        Ok((listener, at))
    }

    /// Closes the listener after its backlog was accepted: closing it alone would reset the connections in it and lose
    /// what they have sent. Where accepting fails for a moment it goes on a little later.
    pub(super) fn close_listener(&mut self, listener: Listener) {
        if !self.closing_listeners.iter().any(|(l, _)| *l == listener) {
            self.closing_listeners.push((listener, 0));
        }
        self.resume_closing(listener.0);
    }

    /// Goes on closing a listener; false where it is not being closed.
    pub(super) fn resume_closing(&mut self, index: usize) -> bool {
        let closing = &mut self.closing_listeners;
        let Some(position) = closing.iter().position(|(l, _)| l.0 == index) else {
            return false;
        };
        let (listener, ref mut tries) = closing[position];
        *tries += 1;
        let is_last = *tries >= MAX_CLOSE_TRIES;
        if self.accept_backlog(listener) || is_last {
            self.closing_listeners.swap_remove(position);
            self.remove_listener(listener);
        } else {
            self.pause_accepting(index);
        }
        true
    }

    /// Accepts all that waits; false where that failed for a moment.
    fn accept_backlog(&mut self, listener: Listener) -> bool {
        while let Some(Slot::Listener(socket)) = self.slots.get(listener.0) {
            match socket.accept() {
                Ok((socket, from)) => self.add_accepted(listener, socket, from),
                Err(error) => match AcceptFailure::of(&error) {
                    AcceptFailure::NothingWaits => return true,
                    AcceptFailure::ThisConnection => {}
                    AcceptFailure::Shortage => return false,
                },
            }
        }
        true
    }

    /// A connection that was accepted while its listener is being closed: the app is told in the next wake-up.
    fn add_accepted(&mut self, listener: Listener, socket: TcpStream, from: SocketAddr) {
        let _ = socket.set_nodelay(true);
        if let Ok(conn) = self.add_connection(socket, None) {
            self.pending_accepts.push_back(PendingAccept {
                listener,
                conn,
                from,
            });
        }
    }

    fn remove_listener(&mut self, listener: Listener) {
        if matches!(self.slots.get(listener.0), Some(Slot::Listener(_))) {
            if let Slot::Listener(mut socket) = self.slots.remove(listener.0) {
                let _ = self.poll.registry().deregister(&mut socket);
            }
        }
    }

    /// Accepts nothing for a moment, instead of spinning.
    fn pause_accepting(&mut self, index: usize) {
        let at = self.clock.now() + ACCEPT_PAUSE;
        let token = InternalTimer::ResumeSocket(index).token();
        self.internal_timers.insert(at, token);
    }

    /// Looks for more in the next wake-up: readiness is edge-triggered and is not reported again for what is there
    /// already. Not in this wake-up, or a flood would hold the loop.
    pub(super) fn resume_socket_later(&mut self, index: usize) {
        let at = self.clock.now() + 1;
        let token = InternalTimer::ResumeSocket(index).token();
        self.internal_timers.insert(at, token);
    }
}

/// Accepts from a listener's backlog, up to the bound of a wake-up.
pub(super) fn accept<A: App<Net = Mio>>(app: &mut A, index: usize) {
    for accepts in 0.. {
        let net = app.net();
        let Some(Slot::Listener(listener)) = net.slots.get(index) else {
            return;
        };
        match listener.accept() {
            Ok((socket, from)) => {
                let _ = socket.set_nodelay(true);
                if let Ok(conn) = net.add_connection(socket, None) {
                    app.accepted(Listener(index), conn, from);
                }
            }
            Err(error) => match AcceptFailure::of(&error) {
                AcceptFailure::NothingWaits => return,
                AcceptFailure::ThisConnection => {}
                AcceptFailure::Shortage => return net.pause_accepting(index),
            },
        }
        if accepts == MAX_ACCEPTS {
            return app.net().resume_socket_later(index);
        }
    }
}
