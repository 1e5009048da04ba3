//! An attacker on the members' network segment that forges advertisements.
use super::settings::KEY;
use std::net::{Ipv4Addr, SocketAddr};
use tidewall_net::memory::Memory;
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net};
use tidewall_vrrp::packet::{AdvertisementPacket, Keys};

/// The address that the forger sends from.
const FORGER_ADDRESS: &str = "127.0.0.2:999";

/// Length in bytes of the truncated advertisement.
const TRUNCATED_LEN: usize = 9;

/// A host that is not a member of the pair and sends advertisements.
pub(super) struct Forger {
    net: Memory,
    socket: DatagramSocket,
}

impl Forger {
    pub(super) fn new(mut net: Memory) -> Forger {
        let address = FORGER_ADDRESS.parse().expect("the address is valid");
        let (socket, _) = net.bind_datagram(address).expect("the address is free");
        Forger { net, socket }
    }

    /// Sends three advertisements that claim mastership: one signed with a guessed key; one signed with the
    /// right key, as if recorded earlier and replayed (its sequence number is old, and it comes from the
    /// address of member 0); a truncated one.
    pub(super) fn forge_advertisements(&mut self, to: SocketAddr) {
        let addresses = [Ipv4Addr::LOCALHOST];
        let mut packet = Vec::new();
        let keys = [(1, b"guessed".to_vec()), (1, KEY.to_vec())];
        for (index, key) in keys.into_iter().enumerate() {
            packet.clear();
            AdvertisementPacket {
                vrid: 1,
                priority: 254,
                interval: 10,
                addresses: (&addresses[..]).into(),
                sequence: 1 + index as u64,
            }
            .encode(&Keys(vec![key]), &mut packet);
            self.net.send_datagram(self.socket, to, &packet);
        }
        packet.truncate(TRUNCATED_LEN);
        self.net.send_datagram(self.socket, to, &packet);
    }
}

impl App for Forger {
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
