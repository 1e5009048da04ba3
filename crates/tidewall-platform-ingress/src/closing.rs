//! How client connections end: after an error, by a timeout, or to make room for others.
use crate::error::ConnectionError;
use crate::PlatformIngress;
use tidewall_gateway::IngressContext;
use tidewall_net::{Conn, Net};
use tidewall_platform::resp;

impl PlatformIngress {
    /// Sends an error that belongs to no call; the connection is closed a little later.
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
        // What the client still sends stays in its own buffers until the end.
        net.set_read_paused(conn, true);
        let now = net.now();
        self.connections.slot(conn).error_sent(now);
    }

    /// Removes a call whose client stopped waiting, and reports that to the gateway.
    pub(crate) fn abandon_call<N: Net>(&mut self, context: &mut IngressContext<N>, key: u32) {
        let reply_handle = self.calls.reply_handle(key);
        let call = self.calls.remove(&mut self.connections, key);
        context.client_abandoned(call.slot, reply_handle);
    }

    /// Abandons all calls of a connection.
    pub(crate) fn abandon_calls<N: Net>(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        while let Some(key) = self.calls.latest(conn) {
            self.abandon_call(context, key);
        }
    }

    /// Closes a connection and abandons its calls.
    fn close_connection<N: Net>(&mut self, context: &mut IngressContext<N>, conn: Conn) {
        self.abandon_calls(context, conn);
        self.connections.remove(conn);
        let net = context.net();
        // A client that does not read would keep its descriptor for ever, as a close waits for what is unsent.
        if net.unsent(conn) > 0 {
            net.reset(conn);
        } else {
            net.close(conn);
        }
    }

    /// Closes the connections that have timed out.
    pub(crate) fn close_timed_out<N: Net>(&mut self, context: &mut IngressContext<N>) {
        let now = context.net().now();
        for index in 0..self.connections.len() {
            let Some(connection) = self.connections.timed_out(index, now) else {
                continue;
            };
            let has_failed = connection.has_failed();
            let Some(conn) = connection.conn else {
                continue;
            };
            // What a client sent while the gateway was busy is read first.
            if has_failed || !context.net().has_unread(conn) {
                self.close_connection(context, conn);
            }
        }
    }

    /// Closes one connection without open calls, where there is one that has sent nothing unread.
    pub(crate) fn make_room<N: Net>(&mut self, context: &mut IngressContext<N>) {
        let now = context.net().now();
        // What a client sent while the gateway was busy is read first.
        let evicted = self
            .connections
            .eviction_order(now)
            .find(|conn| !context.net().has_unread(*conn));
        if let Some(conn) = evicted {
            self.close_connection(context, conn);
        }
    }
}
