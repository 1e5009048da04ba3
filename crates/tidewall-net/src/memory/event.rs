//! The events of the simulated network, which are scheduled and later delivered.
use crate::{CloseReason, Conn};
use std::net::SocketAddr;

/// Something that will happen to an endpoint, a listener or a datagram socket. Private, because apps see each
/// kind of event as a call of one of their methods.
pub(super) enum Event {
    /// A connection request reaches an address.
    ConnectRequest { conn: Conn, to: SocketAddr },
    /// The connection request was accepted.
    Established { conn: Conn },
    /// The connect timeout of an endpoint expires.
    ConnectTimeout { conn: Conn },
    /// Bytes of a stream arrive. An event without bytes passes what arrived earlier to the app.
    Data { conn: Conn, bytes: Vec<u8> },
    /// The end of the connection reaches an endpoint.
    Closed { conn: Conn, reason: CloseReason },
    /// A datagram arrives.
    Datagram {
        to: SocketAddr,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
}

impl Event {
    /// The endpoint whose events must be delivered in order: `None` for datagrams, and for events of a
    /// connection that is not established.
    pub(super) fn ordered_endpoint(&self) -> Option<Conn> {
        match self {
            Event::Data { conn, .. } | Event::Established { conn } | Event::Closed { conn, .. } => {
                Some(*conn)
            }
            Event::ConnectRequest { .. }
            | Event::ConnectTimeout { .. }
            | Event::Datagram { .. } => None,
        }
    }
}
