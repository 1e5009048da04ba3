//! Replies to commands of the platform's clients.
use crate::resp;

/// Outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// A worker completed the call (`OK`).
    Completed,
    /// The call was not executed and may be repeated (`BUSY`).
    Rejected {
        /// Time in milliseconds before which the client should not retry; 0 if unspecified.
        retry_after_ms: u64,
    },
    /// The call was abandoned or invalid; it may have been executed (`FAILED`).
    Failed,
    /// Reply to a health check: the gateway accepts requests (`UP`).
    Up,
    /// Reply to a health check: the gateway is shutting down (`DOWN`).
    Down,
}

impl ReplyStatus {
    fn wire_text(self) -> &'static str {
        match self {
            ReplyStatus::Completed => "OK",
            ReplyStatus::Rejected { .. } => "BUSY",
            ReplyStatus::Failed => "FAILED",
            ReplyStatus::Up => "UP",
            ReplyStatus::Down => "DOWN",
        }
    }
}

/// The single reply to a call or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientReply<'a> {
    /// Tag of the command that this replies to.
    pub tag: u64,
    /// Outcome of the command.
    pub status: ReplyStatus,
    /// The worker's response; empty if there is none.
    pub payload: &'a [u8],
}

impl ClientReply<'_> {
    /// Appends the encoded reply to `out`. A reply without fields and payload consists of tag and
    /// status only.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let retry_after_ms = match self.status {
            ReplyStatus::Rejected { retry_after_ms } => retry_after_ms,
            _ => 0,
        };
        let has_tail = retry_after_ms > 0 || !self.payload.is_empty();
        resp::write_array_header(out, if has_tail { 4 } else { 2 });
        resp::write_bulk_number(out, "", self.tag);
        resp::write_bulk_string(out, self.status.wire_text().as_bytes());
        if has_tail {
            if retry_after_ms > 0 {
                resp::write_bulk_number(out, "pause=", retry_after_ms);
            } else {
                resp::write_bulk_string(out, b"");
            }
            resp::write_bulk_string(out, self.payload);
        }
    }
}
