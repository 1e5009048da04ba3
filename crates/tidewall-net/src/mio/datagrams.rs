//! Datagram sockets: binding and receiving.
use super::listeners::open_socket;
use super::slots::Slot;
use super::Mio;
use crate::{App, DatagramSocket};
use mio::net::UdpSocket;
use mio::{Interest, Token};
use std::io;
use std::net::SocketAddr;

/// Maximum number of datagrams received from one socket in one wake-up, so that a busy socket does not starve
/// others.
const MAX_DATAGRAMS: usize = 64;

/// Maximum number of bytes received of a datagram; longer ones are truncated. An Ethernet frame holds fewer
/// (1,500).
const MAX_DATAGRAM_SIZE: usize = 2048;

impl Mio {
    pub(super) fn open_datagram_socket(
        &mut self,
        address: SocketAddr,
    ) -> io::Result<(DatagramSocket, SocketAddr)> {
        let mut socket = open_socket(|| UdpSocket::bind(address))?;
        let bound_address = socket.local_addr()?;
        let entry = self.slots.vacant_entry();
        self.poll
            .registry()
            .register(&mut socket, Token(entry.key()), Interest::READABLE)?;
        let id = DatagramSocket(entry.key());
        entry.insert(Slot::DatagramSocket(socket));
        Ok((id, bound_address))
    }
}

/// Receives datagrams from a socket: at most [`MAX_DATAGRAMS`], the rest in the next wake-up.
pub(super) fn receive<A: App<Net = Mio>>(app: &mut A, index: usize) {
    let mut bytes = [0; MAX_DATAGRAM_SIZE];
    for _ in 0..MAX_DATAGRAMS {
        let Some(Slot::DatagramSocket(socket)) = app.net().slots.get(index) else {
            return;
        };
        match socket.recv_from(&mut bytes) {
            Ok((len, from)) => app.datagram_received(DatagramSocket(index), from, &bytes[..len]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            Err(_) => {}
        }
    }
    app.net().resume_socket_later(index);
}
