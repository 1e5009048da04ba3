//! Encodes the commands of a gateway's scheduler to the simulator as lines.
use super::{split_event, GATEWAY};
use base64::{engine::general_purpose::STANDARD, Engine};
use std::fmt::{self, Display, Write};
use tidewall::interface::Time;

/// Appends the line that ends the reply to a batch.
pub fn push_batch_end(reply: &mut String) {
    reply.push_str("EOR\n");
}

/// Encodes the line that reports a panic of the scheduler while it handled `event`. `text` is the
/// panic's message.
pub fn scheduler_panicked(event: &str, text: &str) -> String {
    // The fields are not decoded, as decoding them may have caused the panic.
    let gateway = split_event(event)
        .1
        .split(' ')
        .find_map(|part| part.strip_prefix(GATEWAY)?.strip_prefix('='))
        .unwrap_or("gateway/0");
    let text = text.replace('\n', " ");
    format!("BROKEN {GATEWAY}={gateway} note-text={text}\n")
}

/// Commands of one gateway that are sent at the end of the batch.
pub struct CommandBuffer {
    gateway: String,
    lines: String,
}

impl CommandBuffer {
    /// Creates an empty buffer for the gateway with this name.
    pub fn new(gateway: &str) -> CommandBuffer {
        CommandBuffer {
            gateway: gateway.to_string(),
            lines: String::new(),
        }
    }

    /// Moves the commands to the end of a reply.
    pub fn drain_into(&mut self, reply: &mut String) {
        reply.push_str(&self.lines);
        self.lines.clear();
    }

    /// Sends an attempt of a request to a worker.
    pub fn push_attempt(&mut self, request: &str, worker: &str, timeout: Time) {
        let timeout = Milliseconds(timeout);
        self.push(
            "TRY",
            format_args!(" msg-id={request} try-for-ms={timeout} host={worker}"),
        );
    }

    /// Cancels an attempt of a request.
    pub fn push_cancellation(&mut self, request: &str, attempt: usize) {
        self.push("ABANDON", format_args!(" msg-id={request} shot={attempt}"));
    }

    /// Rejects a request, with the time after which the client may retry.
    pub fn push_rejection(&mut self, request: &str, retry_after: Time) {
        let retry_after = Milliseconds(retry_after);
        self.push(
            "REFUSE",
            format_args!(" msg-id={request} backoff-ms={retry_after}"),
        );
    }

    /// Reports the failure of a request.
    pub fn push_failure(&mut self, request: &str) {
        self.push("ABORT", format_args!(" msg-id={request}"));
    }

    /// Sets a timer.
    pub fn push_timer(&mut self, delay: Time, token: u64) {
        let delay = Milliseconds(delay);
        self.push("SCHEDULE", format_args!(" in-ms={delay} ctx={token}"));
    }

    /// Requests a worker's health and load.
    pub fn push_health_check(&mut self, worker: &str) {
        self.push("ASK_LOAD", format_args!(" host={worker}"));
    }

    /// Closes the idle connections to a worker.
    pub fn push_idle_close(&mut self, worker: &str) {
        self.push("HANG_UP", format_args!(" host={worker}"));
    }

    /// Requests that a worker keeps this many instances of a function loaded.
    pub fn push_load_request(&mut self, function: &str, worker: &str, instances: u32) {
        self.push(
            "START_COPY",
            format_args!(" target-fn={function} host={worker} count={instances}"),
        );
    }

    /// Allows a worker to unload its instances of a function.
    pub fn push_unload(&mut self, function: &str, worker: &str) {
        self.push("EVICT", format_args!(" target-fn={function} host={worker}"));
    }

    /// Starts or stops watching the endpoint list.
    pub fn push_endpoint_watch(&mut self, enabled: bool) {
        self.push("FOLLOW", format_args!(" enable={}", u8::from(enabled)));
    }

    /// Polls the endpoint list once.
    pub fn push_endpoint_poll(&mut self) {
        self.push("LOOKUP", format_args!(""));
    }

    /// Sends a message to one peer gateway, or to all if `peer` is `None`. `-` stands for an empty
    /// message.
    pub fn push_peer_message(&mut self, peer: Option<u32>, bytes: &[u8]) {
        let payload = if bytes.is_empty() {
            "-".to_string()
        } else {
            STANDARD.encode(bytes)
        };
        match peer {
            Some(peer) => self.push(
                "ANNOUNCE",
                format_args!(" addressee={peer} payload={payload}"),
            ),
            None => self.push("ANNOUNCE", format_args!(" addressee=* payload={payload}")),
        }
    }

    /// Writes a line to the simulator's log. A command is one line, so line ends become spaces.
    pub fn push_log_note(&mut self, text: &str) {
        self.push(
            "SAY_LOG",
            format_args!(" note-text={}", text.replace('\n', " ")),
        );
    }

    fn push(&mut self, name: &str, fields: fmt::Arguments) {
        let gateway = &self.gateway;
        // Writing to a String cannot fail.
        let _ = writeln!(self.lines, "{name} {GATEWAY}={gateway}{fields}");
    }
}

/// Formats a time in tenths of a millisecond as decimal milliseconds.
struct Milliseconds(Time);

impl Display for Milliseconds {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}.{}", self.0 / 10, self.0 % 10)
    }
}
