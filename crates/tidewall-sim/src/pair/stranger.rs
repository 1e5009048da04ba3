//! Somebody else on the members' segment, who forges advertisements.
use super::settings::KEY;
use std::net::{Ipv4Addr, SocketAddr};
use tidewall_net::memory::Memory;
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net};
use tidewall_vrrp::packet::{AdvertisementPacket, Keys};

/// Where the stranger sends from.
const STRANGER_ADDRESS: &str = "127.0.0.2:999";

/// Bytes of an advertisement that is cut short.
const CUT_SHORT_AT: usize = 9;

/// A host that is no member of the pair.
pub(super) struct Stranger {
    net: Memory,
    socket: DatagramSocket,
}

impl Stranger {
    pub(super) fn new(mut net: Memory) -> Stranger {
        let address = STRANGER_ADDRESS.parse().expect("it is an address");
        let (socket, _) = net.bind_datagram(address).expect("it is free");
        Stranger { net, socket }
    }

    /// Sends advertisements that claim mastership: signed with a guessed key; signed with the right one, but overheard long
    /// ago (its number is old, and it comes from the address of member 0); cut short.
    pub(super) fn forge_advertisements(&mut self, to: SocketAddr) {
        let addresses = [Ipv4Addr::LOCALHOST];
        let mut packet = Vec::new();
        let keys = [(1, b"guessed".to_vec()), (1, KEY.to_vec())];
        for (position, key) in keys.into_iter().enumerate() {
            packet.clear();
            AdvertisementPacket {
                vrid: 1,
                priority: 254,
                interval: 10,
                addresses: (&addresses[..]).into(),
                sequence: 1 + position as u64,
            }
            .encode(&Keys(vec![key]), &mut packet);
            self.net.send_datagram(self.socket, to, &packet);
        }
        packet.truncate(CUT_SHORT_AT);
        self.net.send_datagram(self.socket, to, &packet);
    }
}

impl App for Stranger {
    type Net = Memory;
    fn net(&mut self) -> &mut Memory {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, _: Conn, bytes: &[u8]) -> usize {
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, _: CloseReason) {}
    fn timer_fired(&mut self, _: u64) {}
}
