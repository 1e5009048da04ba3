//! Replies to clients, and logging of malformed input.
use crate::PlatformIngress;
use std::fmt::Display;
use tidewall_gateway::ingress::Disposition;
use tidewall_gateway::IngressContext;
use tidewall_net::{Conn, Net, Time};
use tidewall_platform::client_reply::{ClientReply, ReplyStatus};
use tracing::{debug, warn};

/// There may be thousands of malformed commands: the first one and then one in this many is logged
/// as a warning.
const WARN_INTERVAL: u64 = 1000;

/// The final reply to a call.
pub(crate) struct FinalReply<'a> {
    pub(crate) tag: u64,
    pub(crate) disposition: Disposition,
    /// For a rejection: when the client may retry, in tenths of a millisecond; 0 if unspecified.
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

    /// Writes a final reply.
    pub(crate) fn send_reply<N: Net>(&mut self, net: &mut N, conn: Conn, reply: &FinalReply) {
        let status = match reply.disposition {
            Disposition::Completed => ReplyStatus::Completed,
            Disposition::Rejected => ReplyStatus::Rejected {
                // Rounded up to whole milliseconds, so that the client does not retry earlier than
                // the gateway asks for.
                retry_after_ms: reply.retry_after.div_ceil(10),
            },
            Disposition::Failed => ReplyStatus::Failed,
        };
        let completed = reply.disposition == Disposition::Completed;
        self.connections.slot(conn).call_answered(completed);
        self.encode_reply(reply.tag, status, reply.payload);
        self.write_reply(net, conn);
    }

    /// Encodes a reply into the output buffer, replacing its content.
    pub(crate) fn encode_reply(&mut self, tag: u64, status: ReplyStatus, payload: &[u8]) {
        self.out.clear();
        let reply = ClientReply {
            tag,
            status,
            payload,
        };
        reply.encode(&mut self.out);
    }

    /// Logs why a client's call or connection is malformed; `what` names which of the two.
    pub(crate) fn log_malformed(&mut self, error: &dyn Display, what: &str) {
        self.malformed += 1;
        let reason = error.to_string();
        if self.malformed % WARN_INTERVAL == 1 {
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
