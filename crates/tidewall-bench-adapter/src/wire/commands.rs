//! Commands to the simulator: what a gateway's scheduler calls for, as lines.
use super::{split_event, GATEWAY};
use base64::{engine::general_purpose::STANDARD, Engine};
use std::fmt::{self, Display, Write};
use tidewall::interface::Time;

/// Ends the reply to a batch.
pub fn push_batch_end(reply: &mut String) {
    reply.push_str("EOR\n");
}

/// The line which says that the scheduler panicked over `event`, with the panic's text.
pub fn scheduler_panicked(event: &str, text: &str) -> String {
    // Fields are not parsed here, as the panic may have come of them.
    let gateway = split_event(event)
        .1
        .split(' ')
        .find_map(|part| part.strip_prefix(GATEWAY)?.strip_prefix('='))
        .unwrap_or("gateway/0");
    let text = text.replace('\n', " ");
    format!("BROKEN {GATEWAY}={gateway} note-text={text}\n")
}

/// Commands of one gateway that wait for the end of the batch.
pub struct CommandBuffer {
    gateway: String,
    lines: String,
}

impl CommandBuffer {
    /// No commands of the gateway of that name.
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

    /// Sends a request to a worker.
    pub fn attempt(&mut self, request: &str, worker: &str, timeout: Time) {
        let timeout = Milliseconds(timeout);
        self.push(
            "TRY",
            format_args!(" msg-id={request} try-for-ms={timeout} host={worker}"),
        );
    }

    /// Cancels an attempt of a request.
    pub fn cancellation(&mut self, request: &str, attempt: usize) {
        self.push("ABANDON", format_args!(" msg-id={request} shot={attempt}"));
    }

    /// Rejects a request with a Retry-After.
    pub fn rejection(&mut self, request: &str, retry_after: Time) {
        let retry_after = Milliseconds(retry_after);
        self.push(
            "REFUSE",
            format_args!(" msg-id={request} backoff-ms={retry_after}"),
        );
    }

    /// Fails a request.
    pub fn failure(&mut self, request: &str) {
        self.push("ABORT", format_args!(" msg-id={request}"));
    }

    /// Sets a timer.
    pub fn timer(&mut self, delay: Time, token: u64) {
        let delay = Milliseconds(delay);
        self.push("SCHEDULE", format_args!(" in-ms={delay} ctx={token}"));
    }

    /// Asks a worker for its health and load.
    pub fn health_check(&mut self, worker: &str) {
        self.push("ASK_LOAD", format_args!(" host={worker}"));
    }

    /// Closes idle connections to a worker.
    pub fn idle_close(&mut self, worker: &str) {
        self.push("HANG_UP", format_args!(" host={worker}"));
    }

    /// Asks a worker to keep so many instances of a function loaded.
    pub fn load_request(&mut self, function: &str, worker: &str, instances: u32) {
        self.push(
            "START_COPY",
            format_args!(" target-fn={function} host={worker} count={instances}"),
        );
    }

    /// Lets a worker unload its instances of a function.
    pub fn unload(&mut self, function: &str, worker: &str) {
        self.push("EVICT", format_args!(" target-fn={function} host={worker}"));
    }

    /// Starts or stops watching the endpoint list.
    pub fn endpoint_watch(&mut self, on: bool) {
        self.push("FOLLOW", format_args!(" enable={}", u8::from(on)));
    }

    /// Asks for the endpoint list once.
    pub fn endpoint_poll(&mut self) {
        self.push("LOOKUP", format_args!(""));
    }

    /// Sends a message to one gateway of the fleet, or to all; a dash stands for one without bytes.
    pub fn peer_message(&mut self, peer: Option<u32>, bytes: &[u8]) {
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

    /// Writes to the simulator's log; a command is one line, so line ends become blanks.
    pub fn log_note(&mut self, text: &str) {
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

/// Tenths of a millisecond as the wire's milliseconds.
struct Milliseconds(Time);

impl Display for Milliseconds {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}.{}", self.0 / 10, self.0 % 10)
    }
}
