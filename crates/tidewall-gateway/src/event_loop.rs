//! The event loop's entry points: events of connections, sockets and timers are dispatched to the
//! responsible part. Each entry point ends by delivering what the scheduler's actions have queued.
use crate::connection_owners::Owner;
use crate::effect_policy::{Violation, STEP_VIOLATION_THRESHOLD};
use crate::wakeup_profile::WakeupPart;
use crate::Gateway;
use std::net::SocketAddr;
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net};

/// The signal number of SIGHUP, which is 1 on all current POSIX systems.
const SIGHUP: i32 = 1;

impl<N: Net> App for Gateway<N> {
    type Net = N;

    fn net(&mut self) -> &mut N {
        self.context.net()
    }

    fn accepted(&mut self, listener: Listener, conn: Conn, _from: SocketAddr) {
        if let Some(ingress) = self.ingress_of(listener) {
            self.set_owner(conn, Owner::Ingress(ingress));
            self.ingresses[ingress].accepted(&mut self.context, conn);
        } else if self
            .failover
            .as_ref()
            .is_some_and(|node| node.listener() == Some(listener))
        {
            self.set_owner(conn, Owner::Handshake);
        }
    }

    fn connected(&mut self, conn: Conn) {
        match self.owner(conn) {
            Owner::Handshake => self.send_peer_greeting(conn),
            _ if self.discovery.conn == Some(conn) => self.discovery_connected(conn),
            Owner::Worker(connection) => self.worker_connected(conn, connection),
            _ => {}
        }
    }

    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let part = match self.owner(conn) {
            Owner::Ingress(_) => WakeupPart::ClientInput,
            Owner::Worker(_) => WakeupPart::WorkerInput,
            Owner::Discovery => WakeupPart::EndpointList,
            _ => WakeupPart::Other,
        };
        self.timed(part, |gateway| gateway.bytes_received(conn, bytes))
    }

    fn writable(&mut self, conn: Conn) {
        match self.owner(conn) {
            Owner::Ingress(ingress) => self.ingresses[ingress].writable(&mut self.context, conn),
            Owner::Worker(connection) => {
                self.context.scheduler.host.connection_writable(connection);
                self.wakeup_ended();
            }
            _ => {}
        }
    }

    fn wakeup_ended(&mut self) {
        self.timed(WakeupPart::Sending, |gateway| {
            gateway.send_late_responses();
            while gateway.context.scheduler.host.flush() {
                gateway.deliver_deferred_outcomes();
            }
        });
    }

    fn closed(&mut self, conn: Conn, reason: CloseReason) {
        self.timed(WakeupPart::Other, |gateway| {
            gateway.connection_closed(conn, reason);
        });
    }

    fn datagram_received(&mut self, socket: DatagramSocket, from: SocketAddr, bytes: &[u8]) {
        if self
            .failover
            .as_ref()
            .is_some_and(|node| node.port() == Some(socket))
        {
            self.vrrp_datagram_received(from, bytes);
            self.deliver_deferred_outcomes();
        } else if self.datagram_socket == Some(socket) {
            self.peer_datagram_received(from, bytes);
        }
    }

    fn timer_fired(&mut self, token: u64) {
        self.timed(WakeupPart::Timer, |gateway| {
            gateway.dispatch_timer(token);
            gateway.deliver_deferred_outcomes();
        });
    }

    fn signal_received(&mut self, signal: i32) {
        if signal == SIGHUP {
            self.reload_discovery();
        } else {
            self.shutdown_requested();
        }
    }
}

impl<N: Net> Gateway<N> {
    /// Runs one step of a wake-up and records how long it took.
    fn timed<T>(&mut self, part: WakeupPart, step: impl FnOnce(&mut Self) -> T) -> T {
        let started = self.context.net().current_time();
        let result = step(self);
        let ended = self.context.net().current_time();
        self.wakeup_profile.record(part, started, ended);
        if ended - started > STEP_VIOLATION_THRESHOLD {
            let effects = &mut self.context.scheduler.host.effects;
            effects.violated(Violation::LongStep);
        }
        result
    }

    fn bytes_received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let used = match self.owner(conn) {
            Owner::Nobody => bytes.len(),
            Owner::Ingress(ingress) => self.client_bytes_received(conn, ingress, bytes),
            owner => {
                if let Owner::Worker(connection) = owner {
                    self.context.scheduler.host.bytes_received(connection);
                }
                let used = self.read_messages(conn, bytes, owner);
                if let Owner::Worker(connection) = self.owner(conn) {
                    self.context
                        .scheduler
                        .host
                        .set_partial_message(connection, used < bytes.len());
                }
                if owner == Owner::Peer {
                    self.acknowledge_records();
                }
                used
            }
        };
        self.deliver_deferred_outcomes();
        used
    }

    /// Passes a client's bytes to its ingress. What a client has sent that is known to have gone begins nothing,
    /// and its connection ends now, as the end of its stream may stand behind many more bytes.
    fn client_bytes_received(&mut self, conn: Conn, ingress: usize, bytes: &[u8]) -> usize {
        let has_gone = self.context.net().peer_has_closed(conn);
        if !has_gone || !self.ingresses[ingress].close_abandons_requests() {
            return self.ingresses[ingress].received(&mut self.context, conn, bytes);
        }
        self.ingresses[ingress].closed(&mut self.context, conn);
        self.set_owner(conn, Owner::Nobody);
        let net = self.context.net();
        if net.unsent(conn) > 0 {
            net.reset(conn);
        } else {
            net.close(conn);
        }
        bytes.len()
    }

    fn connection_closed(&mut self, conn: Conn, reason: CloseReason) {
        match self.owner(conn) {
            Owner::Nobody => {}
            Owner::Ingress(ingress) => self.ingresses[ingress].closed(&mut self.context, conn),
            Owner::Worker(connection) => self.worker_connection_lost(connection, reason),
            Owner::Discovery => self.discovery_connection_closed(reason),
            Owner::Peer => self.peer_connection_closed(),
            Owner::Handshake => self.handshake_closed(conn),
        }
        self.set_owner(conn, Owner::Nobody);
        self.deliver_deferred_outcomes();
    }
}
