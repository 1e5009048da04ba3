//! Listening sockets: the accept loop.
use super::slots::{InternalTimer, PendingAccept, Slot};
use super::Mio;
use crate::{App, Listener, Time};
use mio::net::TcpListener;
use mio::{Interest, Token};
use std::io;
use std::net::SocketAddr;

/// Connections accepted from one listener in one wake-up, so that a busy one does not starve the others.
const MAX_ACCEPTS: usize = 64;

/// Without a free file descriptor accepting pauses this long (100 ms) instead of spinning.
const ACCEPT_PAUSE: Time = 1_000;

impl Mio {
    pub(super) fn open_listener(&mut self, at: SocketAddr) -> io::Result<(Listener, SocketAddr)> {
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

    /// Closes the listener after its backlog was accepted: closing it alone would reset the connections in it and lose
    /// what they have sent.
    pub(super) fn close_listener(&mut self, listener: Listener) {
        while let Some(Slot::Listener(socket)) = self.slots.get(listener.0) {
            let Ok((socket, from)) = socket.accept() else {
                break;
            };
            let _ = socket.set_nodelay(true);
            if let Ok(conn) = self.add_connection(socket, None) {
                self.pending_accepts.push_back(PendingAccept {
                    listener,
                    conn,
                    from,
                });
            }
        }
        if matches!(self.slots.get(listener.0), Some(Slot::Listener(_))) {
            if let Slot::Listener(mut socket) = self.slots.remove(listener.0) {
                let _ = self.poll.registry().deregister(&mut socket);
            }
        }
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
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            Err(e) if matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE)) => {
                let at = net.clock.now() + ACCEPT_PAUSE;
                let token = InternalTimer::ResumeSocket(index).token();
                net.internal_timers.insert(at, token);
                return;
            }
            // The peer disconnected before it was accepted.
            Err(_) => {}
        }
        if accepts == MAX_ACCEPTS {
            return app.net().resume_socket_later(index);
        }
    }
}
