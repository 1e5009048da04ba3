//! The reply to `tidewall status`, and the highest incarnation of this member that voters know.
use super::control_messages::GatewayStatus;
use crate::Gateway;
use tidewall_net::{Conn, Net};

impl<N: Net> Gateway<N> {
    /// The highest incarnation of this member that the voters know, including the current one; 0 without
    /// failover.
    pub fn newest_own_incarnation(&self) -> u64 {
        let node = self.failover.as_ref();
        node.map_or(0, |node| node.role_machine.newest_own_incarnation())
    }

    /// Sends this gateway's status. Does nothing without failover.
    pub(super) fn send_status(&mut self, conn: Conn) {
        let host = &self.context.scheduler.host;
        let (Some(node), Some(replicator)) = (&self.failover, &host.replicator) else {
            return;
        };
        let state = &node.state;
        let status = GatewayStatus {
            name: &state.config.name,
            role: node.role_machine.state().text(),
            epoch: node.role_machine.epoch(),
            connected: replicator.conn.is_some(),
            incarnation: state.config.incarnation,
            in_flight: host.in_flight as u64,
            waiting: replicator.waiting_count() as u64,
            replicated_requests: state.peer_requests.len() as u64,
            unacknowledged: replicator.last_sequence - replicator.acknowledged_sequence,
            rejected_advertisements: state.vrrp.rejected,
            settings_mismatch: state.link.settings_mismatch.as_deref().unwrap_or(""),
        };
        let mut frame = Vec::new();
        status.encode(&mut frame);
        self.context.net().write(conn, &frame);
    }
}
