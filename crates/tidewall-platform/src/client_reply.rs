//! Replies to commands of the platform's clients.
use crate::resp;

/// What a reply says of its command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// A worker answered the call (`OK`).
    Completed,
    /// The call was not executed and may be repeated (`BUSY`).
    Rejected {
        /// The earliest time of the repeat in milliseconds; 0 where none is given.
        retry_after_ms: u64,
    },
    /// The call was given up or was at fault; it may have been executed (`FAILED`).
    Failed,
    /// Health check: the gateway serves (`UP`).
    Up,
    /// Health check: the gateway shuts down (`DOWN`).
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
    /// The command's tag.
    pub tag: u64,
    /// What became of the command.
    pub status: ReplyStatus,
    /// The worker's answer; empty where there is none.
    pub payload: &'a [u8],
}

impl ClientReply<'_> {
    /// Appends the reply to `out`. Without fields and payload the reply is two words.
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
