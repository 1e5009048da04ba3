//! Time-driven work: heartbeats, timeouts and expiry of messages.
use super::state::{ConnectionState, QueueAddress};
use super::{Server, ServerActions};
use crate::codec;

impl Server {
    /// Sends heartbeats, closes connections that are silent, slow to negotiate or do not answer
    /// `connection.close`, and removes expired messages. The caller should call it several times within the
    /// shortest heartbeat interval.
    pub fn tick<A: ServerActions>(&mut self, actions: &mut A) {
        let now = self.now;
        let ids: Vec<usize> = self.connections.iter().map(|entry| entry.0).collect();
        for id in ids {
            let connection = &self.connections[id];
            let running = connection.state == ConnectionState::Running;
            let heartbeat = connection.heartbeat;
            let timed_out =
                !running && now > connection.deadline_start + self.config.handshake_timeout;
            // 4.2.7: a peer that sent nothing for two intervals is regarded as disconnected.
            let silent = running && heartbeat > 0 && now > connection.last_read + 2 * heartbeat;
            // Sent twice as often as negotiated, so that a late tick does not make the peer close the
            // connection.
            let heartbeat_due =
                running && heartbeat > 0 && now >= connection.last_written + heartbeat / 2;
            if timed_out || silent {
                actions.close(connection.transport);
                self.connection_closed(id);
            } else if heartbeat_due {
                self.output.clear();
                codec::write_heartbeat(&mut self.output);
                self.write_output(actions, id);
            }
        }
        for virtual_host in 0..self.virtual_hosts.len() {
            let queues: Vec<_> = self.virtual_hosts[virtual_host].queue_ids().collect();
            for queue in queues {
                self.remove_expired(QueueAddress {
                    virtual_host,
                    queue,
                });
            }
        }
        self.flush(actions);
    }
}
