//! Connects the platform to the gateway: an [`Ingress`] for its clients, a worker protocol for its
//! hosts ([`host_protocol`]), and a discovery source for its notice board ([`notice_board`]). The
//! gateway makes the decisions; this package translates messages, keeps track of the open calls of
//! each client connection, and closes idle connections.
mod closing;
mod commands;
mod connections;
pub mod error;
mod eviction_policy;
pub mod host_protocol;
pub mod notice_board;
mod open_calls;
mod replies;
pub mod unix_clock;
mod unread_replies;
mod used_tags;

use commands::COMMANDS_PER_TURN;
use connections::{ClientConnections, CHECK_INTERVAL};
use open_calls::OpenCalls;
use replies::FinalReply;
use tidewall_gateway::ingress::{Ingress, ReplyHandle, Response};
use tidewall_gateway::IngressContext;
use tidewall_net::{Conn, Net, Time};
use tidewall_platform::client_command;

/// Ingress for the platform's clients: RESP commands over TCP.
pub struct PlatformIngress {
    /// Index of this ingress in the gateway.
    index: usize,
    /// Whether calls of a class require an idempotency key, by class index.
    needs_idempotency_key: Vec<bool>,
    connections: ClientConnections,
    calls: OpenCalls,
    /// Buffer for the reply that is being written.
    out: Vec<u8>,
    /// Number of malformed calls and connections so far.
    malformed: u64,
    /// Maximum number of bytes that all clients together may leave unread.
    max_unread: usize,
    /// Number of connections that were reset because of unread replies.
    unread_resets: u64,
}

/// Limits of an ingress.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Maximum number of client connections.
    pub connections: usize,
    /// Maximum number of bytes of replies that all clients together may leave unread.
    pub unread_replies: usize,
}

impl PlatformIngress {
    /// Creates the gateway's ingress with this index. `needs_idempotency_key` tells for each class of
    /// the settings whether its calls require an idempotency key.
    pub fn new(
        index: usize,
        limits: ClientLimits,
        needs_idempotency_key: Vec<bool>,
    ) -> PlatformIngress {
        PlatformIngress {
            index,
            needs_idempotency_key,
            connections: ClientConnections::new(limits.connections),
            calls: OpenCalls::new(index),
            out: Vec::new(),
            malformed: 0,
            max_unread: limits.unread_replies,
            unread_resets: 0,
        }
    }

    /// Whether commands of this connection are still read: it is open and no error was sent on it.
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
        // When they were accepted, none may have been there that could be closed.
        if self.connections.is_over_limit() {
            self.make_room(context);
        }
    }

    fn accepted(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        let now = context.net().now();
        self.connections.add(conn, now);
        if self.connections.is_over_limit() {
            self.make_room(context);
        }
    }

    fn received(&mut self, context: &mut IngressContext<N>, conn: Conn, bytes: &[u8]) -> usize {
        let (mut consumed, mut commands) = (0, 0);
        while self.reads_commands(conn) {
            if commands == COMMANDS_PER_TURN {
                context.net().defer_rest(conn);
                return consumed;
            }
            commands += 1;
            let result = match client_command::decode(&bytes[consumed..]) {
                Ok(Some(decoded)) => {
                    consumed += decoded.length;
                    self.handle_command(context, conn, decoded.command)
                }
                Ok(None) => return consumed,
                Err(error) => Err(error.into()),
            };
            if let Err(error) = result {
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

    /// Does nothing: the platform's clients get complete replies only.
    fn response_started(&mut self, _net: &mut N, _handle: ReplyHandle, _payload: &[u8]) {}

    /// The platform's clients send `CANCEL` when they stop waiting, so until then a reply is always
    /// due.
    fn accepts_late_response(&self) -> bool {
        true
    }

    fn request_expired(&mut self, _now: Time, handle: ReplyHandle) {
        if let Some(key) = self.calls.find_handle(handle) {
            self.calls.remove(&mut self.connections, key);
        }
    }

    fn respond(&mut self, net: &mut N, handle: ReplyHandle, response: &Response) {
        // The client may have disconnected since the start of this wake-up.
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
