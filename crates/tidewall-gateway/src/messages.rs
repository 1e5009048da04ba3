//! Reads messages from workers, the discovery server and other gateways. A malformed message ends only the
//! connection that it came on.
use crate::connection_owners::Owner;
use crate::error::ProtocolError;
use crate::worker_events::WorkerEventHandler;
use crate::Gateway;
use std::net::SocketAddr;
use tidewall_net::{CloseReason, Conn, Net, Time};
use tidewall_wire::{self as wire, Fields};
use tracing::{debug, warn};

/// Malformed messages are logged as warnings at most once a second, however fast they arrive. Further ones
/// are logged at debug level and counted.
const MALFORMED_LOG_INTERVAL: Time = 10_000;

impl<N: Net> Gateway<N> {
    /// Reads and handles all complete messages; a malformed one ends the connection with an error message.
    /// Returns the number of bytes consumed.
    pub(crate) fn read_messages(&mut self, conn: Conn, bytes: &[u8], owner: Owner) -> usize {
        let mut used = 0;
        while self.owner(conn) == owner {
            match self.read_message(conn, &bytes[used..], owner) {
                Ok(None) => break,
                Ok(Some(length)) => used += length,
                Err(error) => {
                    self.reject_malformed(conn, owner, &error);
                    return bytes.len();
                }
            }
            self.deliver_deferred_outcomes();
        }
        used
    }

    /// Reads one message and returns its length; none while it is incomplete.
    fn read_message(
        &mut self,
        conn: Conn,
        bytes: &[u8],
        owner: Owner,
    ) -> Result<Option<usize>, ProtocolError> {
        match owner {
            Owner::Worker(connection) => {
                let protocol = self.context.scheduler.host.protocol.clone();
                protocol.read_message(bytes, &mut WorkerEventHandler::new(self, connection))
            }
            Owner::Discovery => self.read_discovery_message(conn, bytes),
            _ => self.read_gateway_frame(conn, bytes, owner),
        }
    }

    /// Reads one frame from another gateway.
    fn read_gateway_frame(
        &mut self,
        conn: Conn,
        bytes: &[u8],
        owner: Owner,
    ) -> Result<Option<usize>, ProtocolError> {
        let Some((body, length)) = wire::frame(bytes)? else {
            return Ok(None);
        };
        let fields = Fields::read(body)?;
        match owner {
            Owner::Peer => self.peer_frame_received(&fields)?,
            _ => self.handshake_frame_received(conn, &fields)?,
        }
        Ok(Some(length))
    }

    /// Sends the reason to the sender, closes the connection, and continues as if the connection had
    /// broken.
    fn reject_malformed(&mut self, conn: Conn, owner: Owner, error: &ProtocolError) {
        let reason = error.to_string();
        let source = match owner {
            Owner::Worker(_) => "worker",
            Owner::Discovery => "discovery",
            _ => "gateway",
        };
        self.log_malformed(&reason, source);
        let mut message = Vec::new();
        let pool = &mut self.context.scheduler.host;
        match owner {
            Owner::Worker(_) => pool.protocol.write_error(&mut message, &reason),
            Owner::Discovery => self.discovery.source.write_error(&mut message, &reason),
            _ => wire::error(&mut message, &reason),
        }
        pool.counters.malformed += 1;
        pool.net.write(conn, &message);
        pool.net.close(conn);
        self.set_owner(conn, Owner::Nobody);
        match owner {
            Owner::Worker(connection) => {
                self.worker_connection_closed(connection, CloseReason::Reset)
            }
            Owner::Peer => self.peer_connection_closed(),
            Owner::Handshake => {}
            _ => self.discovery_connection_closed(CloseReason::Reset),
        }
    }

    /// Handles a datagram from another gateway of the site.
    pub(crate) fn peer_datagram_received(&mut self, from: SocketAddr, bytes: &[u8]) {
        let pool = &mut self.context.scheduler.host;
        let sender = pool
            .peers
            .iter()
            .position(|address| *address == Some(from))
            .map(|index| index as u32);
        let protocol = pool.protocol.clone();
        match protocol.read_peer_datagram(sender, bytes) {
            Ok((peer, payload)) => {
                let now = pool.net.now();
                self.context.scheduler.advance_clock(now);
                self.context.scheduler.peer_message_received(peer, payload);
                self.deliver_deferred_outcomes();
            }
            Err(error) => {
                pool.counters.malformed += 1;
                self.log_malformed(&error.to_string(), "datagram");
            }
        }
    }

    fn log_malformed(&mut self, reason: &str, source: &str) {
        let now = self.context.net().now();
        let is_due = self
            .malformed_logged_at
            .is_none_or(|at| now >= at + MALFORMED_LOG_INTERVAL);
        if is_due {
            self.malformed_logged_at = Some(now);
            let total = self.counters().malformed + 1;
            warn!(reason, source, total, "malformed message received");
        } else {
            debug!(reason, source, "malformed message received");
        }
    }
}
