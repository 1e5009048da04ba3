//! Events of the simulated network that have been scheduled and not yet been delivered.
use crate::{CloseReason, Conn};
use std::net::SocketAddr;

/// Something that will happen to an endpoint, a listener or a datagram socket. Private: apps see one method for each.
pub(super) enum Event {
    /// An attempt to connect reaches an address.
    ConnectRequest { conn: Conn, to: SocketAddr },
    /// The attempt was accepted.
    Established { conn: Conn },
    /// The connect timeout of an endpoint.
    ConnectTimeout { conn: Conn },
    /// Bytes of a stream arrive. Without bytes: what has arrived before is offered to the app again.
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
    /// The stream endpoint that a path keeps in order: None for datagrams, and for events before a connection stands.
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
