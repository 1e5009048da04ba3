//! Listening sockets: opening, accepting and closing.
use super::slots::{InternalTimer, PendingAccept, Slot};
use super::Mio;
use crate::{App, Listener, Time};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// After this many accepted connections a listener yields until the next wake-up, so that a busy listener
/// does not starve other sockets.
const MAX_ACCEPTS: usize = 64;

/// How long (100 ms) accepting pauses when no file descriptor is free, instead of retrying in a busy loop.
const ACCEPT_PAUSE: Time = 1_000;

/// How often a listener that is being closed tries to accept its backlog, once per [`ACCEPT_PAUSE`]: for one
/// second.
const MAX_CLOSE_TRIES: u32 = 10;

/// How often opening a bound socket is tried while the machine is short of resources, and the pause between
/// two tries: about 0.2 s in all, for which the event loop is blocked. Sockets are mostly bound at the start
/// of the process.
const OPEN_TRIES: u32 = 8;
const OPEN_PAUSE: Duration = Duration::from_millis(25);

/// Opens a bound socket, and tries again while the machine is short of resources.
pub(super) fn open_socket<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..OPEN_TRIES {
        match open() {
            Err(error) if is_shortage(&error) => std::thread::sleep(OPEN_PAUSE),
            result => return result,
        }
    }
    open()
}

/// Whether an error is temporary: no file descriptor or memory is free, or a signal interrupted the call.
fn is_shortage(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EINTR)
    )
}

/// The consequence of a failed accept, according to the errors that accept(2) documents.
enum AcceptFailure {
    /// The backlog is empty.
    BacklogEmpty,
    /// One connection was lost, or a signal interrupted the call: accepting can go on with the next
    /// connection.
    ThisConnection,
    /// No file descriptor or memory is free for now. Waiting connections stay in the backlog.
    Shortage,
}

impl AcceptFailure {
    fn from_error(error: &io::Error) -> AcceptFailure {
        match error.raw_os_error() {
            Some(libc::EAGAIN) => AcceptFailure::BacklogEmpty,
            Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => {
                AcceptFailure::Shortage
            }
            _ => AcceptFailure::ThisConnection,
        }
    }
}

impl Mio {
    pub(super) fn open_listener(
        &mut self,
        address: SocketAddr,
    ) -> io::Result<(Listener, SocketAddr)> {
        let mut socket = open_socket(|| TcpListener::bind(address))?;
        let bound_address = socket.local_addr()?;
        let entry = self.slots.vacant_entry();
        self.poll
            .registry()
            .register(&mut socket, Token(entry.key()), Interest::READABLE)?;
        let listener = Listener(entry.key());
        entry.insert(Slot::Listener(socket));
        Ok((listener, bound_address))
    }

    /// Closes the listener after accepting its backlog, because closing the socket resets the connections in
    /// the backlog and loses what their peers have sent. Where accepting fails for lack of resources, it is
    /// tried again later.
    pub(super) fn close_listener(&mut self, listener: Listener) {
        if !self.closing_listeners.iter().any(|(l, _)| *l == listener) {
            self.closing_listeners.push((listener, 0));
        }
        self.resume_closing(listener.0);
    }

    /// Tries again to accept the backlog of a listener that is being closed, and then closes it. Returns
    /// false where the listener is not being closed.
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

    /// Accepts all connections in the backlog. Returns false where a lack of resources prevented it.
    fn accept_backlog(&mut self, listener: Listener) -> bool {
        while let Some(Slot::Listener(socket)) = self.slots.get(listener.0) {
            match socket.accept() {
                Ok((socket, from)) => self.add_accepted(listener, socket, from),
                Err(error) => match AcceptFailure::from_error(&error) {
                    AcceptFailure::BacklogEmpty => return true,
                    AcceptFailure::ThisConnection => {}
                    AcceptFailure::Shortage => return false,
                },
            }
        }
        true
    }

    /// Adds a connection that was accepted while its listener is being closed. The app is notified of it in
    /// the next wake-up.
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

    /// Pauses accepting for [`ACCEPT_PAUSE`].
    fn pause_accepting(&mut self, index: usize) {
        let resume_at = self.clock.now() + ACCEPT_PAUSE;
        let token = InternalTimer::ResumeSocket(index).token();
        self.internal_timers.insert(resume_at, token);
    }

    /// Accepts or receives from a socket again in the next wake-up, because edge-triggered readiness is not
    /// reported again for input that is already there. It does not happen in this wake-up, because a flood of
    /// input would then block the event loop.
    pub(super) fn resume_socket_later(&mut self, index: usize) {
        let resume_at = self.clock.now() + 1;
        let token = InternalTimer::ResumeSocket(index).token();
        self.internal_timers.insert(resume_at, token);
    }
}

/// Accepts connections from a listener's backlog, and leaves the rest to the next wake-up after
/// [`MAX_ACCEPTS`].
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
            Err(error) => match AcceptFailure::from_error(&error) {
                AcceptFailure::BacklogEmpty => return,
                AcceptFailure::ThisConnection => {}
                AcceptFailure::Shortage => return net.pause_accepting(index),
            },
        }
        if accepts == MAX_ACCEPTS {
            return app.net().resume_socket_later(index);
        }
    }
}
