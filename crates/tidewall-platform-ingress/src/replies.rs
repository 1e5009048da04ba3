//! Replies to clients, and what is logged of those that are malformed.
use crate::PlatformIngress;
use std::fmt::Display;
use tidewall_gateway::ingress::Disposition;
use tidewall_gateway::IngressContext;
use tidewall_net::{Conn, Net, Time};
use tidewall_platform::client_reply::{ClientReply, ReplyStatus};
use tidewall_platform::host_lines::MAX_ANSWER_PAYLOAD;
use tracing::{debug, warn};

/// The most bytes that a client may leave unread while another reply is written to it: one largest reply. With all
/// connections taken by such clients this is still bounded by their number, which descriptors bound.
const MAX_UNREAD: usize = MAX_ANSWER_PAYLOAD;

/// Malformed clients may come by the thousand: the first one is logged as a warning, and then one in so many.
const WARN_ONE_IN: u64 = 1000;

/// The final answer to a call.
pub(crate) struct FinalReply<'a> {
    pub(crate) tag: u64,
    pub(crate) disposition: Disposition,
    /// With a rejection: when the client may come back, in tenths of a millisecond; 0 where that is not said.
    pub(crate) retry_after: Time,
    pub(crate) payload: &'a [u8],
}

impl PlatformIngress {
    /// Replies to a call that was not admitted.
    pub(crate) fn refuse_call<N: Net>(
        &mut self,
        context: &mut IngressContext<N>,
        conn: Conn,
        tag: u64,
        disposition: Disposition,
    ) {
        let reply = FinalReply {
            tag,
            disposition,
            retry_after: context.max_retry_after(),
            payload: &[],
        };
        self.send_reply(context.net(), conn, &reply);
    }

    /// Writes a final reply. A client that reads nothing until its buffer is full loses its connection: its own replies,
    /// not its neighbours'.
    pub(crate) fn send_reply<N: Net>(&mut self, net: &mut N, conn: Conn, reply: &FinalReply) {
        let status = match reply.disposition {
            Disposition::Completed => ReplyStatus::Completed,
            Disposition::Rejected => ReplyStatus::Rejected {
                // Whole milliseconds, never sooner than the gateway says.
                retry_after_ms: reply.retry_after.div_ceil(10),
            },
            Disposition::Failed => ReplyStatus::Failed,
        };
        self.encode_reply(reply.tag, status, reply.payload);
        if net.unsent(conn) > MAX_UNREAD || !net.write(conn, &self.out) {
            net.abort(conn);
        }
    }

    /// Encodes a reply in place of what the output buffer held.
    pub(crate) fn encode_reply(&mut self, tag: u64, status: ReplyStatus, payload: &[u8]) {
        self.out.clear();
        let reply = ClientReply {
            tag,
            status,
            payload,
        };
        reply.encode(&mut self.out);
    }

    /// Logs what is wrong with a client's `what`, a call or a connection.
    pub(crate) fn log_malformed(&mut self, error: &dyn Display, what: &str) {
        self.malformed += 1;
        let reason = error.to_string();
        if self.malformed % WARN_ONE_IN == 1 {
            warn!(
                reason,
                what,
                so_far = self.malformed,
                "malformed client command rejected"
            );
        } else {
            debug!(reason, what, "malformed client command rejected");
        }
    }
}
