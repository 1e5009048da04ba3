//! Closes client connections: after an error, on a timeout, or to make room for new ones.
use crate::error::ConnectionError;
use crate::eviction_policy::EvictionClass;
use crate::PlatformIngress;
use tidewall_gateway::ingress::Disposition;
use tidewall_gateway::IngressContext;
use tidewall_net::{Conn, Net};
use tidewall_platform::resp;

impl PlatformIngress {
    /// Sends an error that belongs to no call and stops reading. The connection is closed a little
    /// later, by `close_timed_out`.
    pub(crate) fn fail_connection<N: Net>(
        &mut self,
        context: &mut IngressContext<N>,
        conn: Conn,
        error: &ConnectionError,
    ) {
        self.log_malformed(error, "connection");
        context.counters().malformed += 1;
        self.abandon_calls(context, conn);
        self.out.clear();
        resp::write_error(&mut self.out, &error.to_string());
        let net = context.net();
        net.write(conn, &self.out);
        // What the client still sends is not read and stays in socket buffers until the connection
        // is closed.
        net.set_read_paused(conn, true);
        let now = net.now();
        self.connections.slot(conn).error_sent(now);
    }

    /// Removes a call that its client no longer waits for, and reports this to the gateway.
    pub(crate) fn abandon_call<N: Net>(&mut self, context: &mut IngressContext<N>, key: u32) {
        let reply_handle = self.calls.reply_handle(key);
        let call = self.calls.remove(&mut self.connections, key);
        context.client_abandoned(call.slot, reply_handle);
    }

    /// Abandons all open calls of a connection.
    pub(crate) fn abandon_calls<N: Net>(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        while let Some(key) = self.calls.latest(conn) {
            self.abandon_call(context, key);
        }
    }

    /// Abandons the calls of a connection and closes it.
    fn close_connection<N: Net>(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        self.abandon_calls(context, conn);
        self.connections.remove(conn);
        let net = context.net();
        // What was written in this wake-up may not have been offered to the socket yet.
        net.flush(conn);
        // Closing waits until everything is sent, so a client that does not read would occupy its
        // descriptor forever. Its connection is reset instead.
        if net.unsent(conn) > 0 {
            net.reset(conn);
        } else {
            net.close(conn);
        }
    }

    /// Closes the connections that have timed out.
    pub(crate) fn close_timed_out<N: Net>(&mut self, context: &mut IngressContext<N>) {
        let now = context.net().now();
        for conn in self.connections.with_unread() {
            if self.refresh_unread(context.net_ref(), conn) {
                self.connections.slot(conn).read_replies(now);
            }
        }
        for index in 0..self.connections.len() {
            let Some(connection) = self.connections.timed_out(index, now) else {
                continue;
            };
            let has_failed = connection.has_failed();
            let Some(conn) = connection.conn else {
                continue;
            };
            // Commands that a client sent while the gateway was busy are read first.
            if has_failed || !context.net().has_unread(conn) {
                self.close_connection(context, conn);
            }
        }
    }

    /// Answers the open calls of a connection that is closed to make room: they are rejected, unless they may
    /// have been executed.
    fn refuse_open_calls<N: Net>(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        while let Some(key) = self.calls.latest(conn) {
            let (tag, slot) = self.calls.tag_and_slot(key);
            let handle = self.calls.reply_handle(key);
            let disposition = if context.may_have_executed(slot, handle) {
                Disposition::Failed
            } else {
                Disposition::Rejected
            };
            context.counters().refused += 1;
            self.abandon_call(context, key);
            self.refuse_call(context, conn, tag, disposition);
        }
    }

    /// Closes connections until there are no more than the limit, or none may be closed. Of connections without
    /// open calls those with unread input are passed over.
    pub(crate) fn make_room<N: Net>(&mut self, context: &mut IngressContext<N>) {
        let now = context.net().now();
        for candidate in self.connections.eviction_order(now) {
            if !self.connections.is_over_limit() {
                return;
            }
            // Commands that a client sent while the gateway was busy are read first.
            let is_unsuccessful = candidate.class == EvictionClass::Unsuccessful;
            if is_unsuccessful || !context.net().has_unread(candidate.conn) {
                self.refuse_open_calls(context, candidate.conn);
                self.close_connection(context, candidate.conn);
            }
        }
    }
}
