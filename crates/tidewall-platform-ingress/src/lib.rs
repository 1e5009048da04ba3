//! The platform at the gateway's interfaces: its clients come by an [`Ingress`], its hosts speak a worker protocol
//! ([`host_protocol`]), and its notice board is a discovery source ([`notice_board`]). The gateway decides; this package
//! translates, and holds what a client is owed on its connection and how long one that asks nothing may stay.
mod closing;
mod commands;
mod connections;
pub mod error;
pub mod host_protocol;
pub mod notice_board;
mod open_calls;
mod replies;
pub mod unix_clock;

use connections::{ClientConnections, CHECK_INTERVAL};
use open_calls::OpenCalls;
use replies::FinalReply;
use tidewall_gateway::ingress::{Ingress, ReplyHandle, Response};
use tidewall_gateway::IngressContext;
use tidewall_net::{Conn, Net, Time};
use tidewall_platform::client_command;

/// The platform's clients: RESP commands over TCP.
pub struct PlatformIngress {
    /// Its index among the gateway's ingresses.
    index: usize,
    /// By class: whether its calls need an idempotency key.
    needs_idempotency_key: Vec<bool>,
    connections: ClientConnections,
    calls: OpenCalls,
    /// Holds one reply while it is written.
    out: Vec<u8>,
    /// How many malformed calls and connections there were.
    malformed: u64,
}

impl PlatformIngress {
    /// The ingress of this index at its gateway, with at most `max_connections` client connections.
    /// `needs_idempotency_key` says by the classes of the settings whether their calls need a key.
    pub fn new(
        index: usize,
        max_connections: usize,
        needs_idempotency_key: Vec<bool>,
    ) -> PlatformIngress {
        PlatformIngress {
            index,
            needs_idempotency_key,
            connections: ClientConnections::new(max_connections),
            calls: OpenCalls::new(index),
            out: Vec::new(),
            malformed: 0,
        }
    }

    /// Whether commands of this connection are read: it is known and got no error.
    fn reads_commands(&mut self, conn: Conn) -> bool {
        self.connections.contains(conn) && !self.connections.slot(conn).has_failed()
    }
}

impl<N: Net> Ingress<N> for PlatformIngress {
    fn started(&mut self, context: &mut IngressContext<N>) {
        context.set_ingress_timer(self.index, CHECK_INTERVAL);
    }

    fn timer_fired(&mut self, context: &mut IngressContext<N>) {
        context.set_ingress_timer(self.index, CHECK_INTERVAL);
        self.close_timed_out(context);
    }

    fn accepted(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        let now = context.net().now();
        if self.connections.add(conn, now) {
            self.make_room(context);
        }
    }

    fn received(&mut self, context: &mut IngressContext<N>, conn: Conn, bytes: &[u8]) -> usize {
        let mut used = 0;
        while self.reads_commands(conn) {
            let handled = match client_command::decode(&bytes[used..]) {
                Ok(Some(decoded)) => {
                    used += decoded.length;
                    self.handle_command(context, conn, decoded.command)
                }
                Ok(None) => return used,
                Err(error) => Err(error.into()),
            };
            if let Err(error) = handled {
                self.fail_connection(context, conn, &error);
            }
        }
        bytes.len()
    }

    fn writable(&mut self, _context: &mut IngressContext<N>, _conn: Conn) {}

    fn closed(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        if self.connections.contains(conn) {
            self.abandon_calls(context, conn);
            self.connections.remove(conn);
        }
    }

    /// Clients get complete replies only.
    fn response_started(&mut self, _net: &mut N, _handle: ReplyHandle, _payload: &[u8]) {}

    /// `CANCEL` says when a client stops waiting.
    fn accepts_late_response(&self) -> bool {
        true
    }

    fn request_expired(&mut self, _now: Time, handle: ReplyHandle) {
        if let Some(key) = self.calls.find_handle(handle) {
            self.calls.remove(&mut self.connections, key);
        }
    }

    fn respond(&mut self, net: &mut N, handle: ReplyHandle, response: &Response) {
        // Its client may have gone since the gateway was woken up.
        let Some(key) = self.calls.find_handle(handle) else {
            return;
        };
        let call = self.calls.remove(&mut self.connections, key);
        self.connections.slot(call.conn).reply_sent(net.now());
        let reply = FinalReply {
            tag: call.id,
            disposition: response.disposition,
            retry_after: response.retry_after,
            payload: response.payload,
        };
        self.send_reply(net, call.conn, &reply);
    }
}
