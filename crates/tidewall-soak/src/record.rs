//! The record of what the clients and hosts observed. Times are in tenths of a millisecond by the soak's own
//! clock.

/// A class of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// May be executed any number of times.
    Check,
    /// Has an idempotency key, which permits repeats within one zone and `KEY_WINDOW`.
    Record,
    /// May not be executed twice.
    Issue,
}

impl Class {
    /// All of them.
    pub const ALL: [Class; 3] = [Class::Check, Class::Record, Class::Issue];

    /// Its name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Class::Check => "check",
            Class::Record => "record",
            Class::Issue => "issue",
        }
    }
}

/// The validity of idempotency keys: 4 s.
pub const KEY_WINDOW: u64 = 40_000;

/// An attempt that a host received completely.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When it was received.
    pub at: u64,
    /// The host's group.
    pub group: usize,
    /// The timeout that the gateway passed on, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the host answered that it did not run the attempt.
    pub not_run: bool,
}

/// The reason why a call may be without an answer through no fault of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excuse {
    /// The gateway was killed before it answered.
    Killed,
    /// The call crossed the gateway's close of the connection.
    CrossedClose,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its gateway.
    pub gateway: usize,
    /// Its class.
    pub class: Class,
    /// When its last byte was written.
    pub sent_at: u64,
    /// How long the client waits.
    pub patience: u64,
    /// When the client cancelled the call or closed the connection.
    pub abandoned_at: Option<u64>,
    /// Its answers: the time and the outcome word.
    pub answers: Vec<(u64, String)>,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
    /// The reason why it may have no answer.
    pub excuse: Option<Excuse>,
    /// What the gateway was doing at the time, for reports.
    pub note: String,
}

/// A load request that a host received completely.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// The gateway that sent it.
    pub gateway: usize,
    /// The host's group.
    pub group: usize,
    /// When it was received.
    pub at: u64,
}

/// Everything that was observed.
#[derive(Default)]
pub struct Record {
    /// All calls; a call's trace on the wire is its index plus one.
    pub calls: Vec<Call>,
    /// Load requests, by time.
    pub load_requests: Vec<LoadRequest>,
    /// By group: the spans in which it accepts no work, from when its drain counts as known to the gateways
    /// until it comes back.
    pub drained: Vec<Vec<(u64, u64)>>,
    /// Gateways that ended without being told to stop or with a failure status, with their last log lines.
    pub crashes: Vec<String>,
    /// Violations that the gateways counted and logged.
    pub violations: Vec<String>,
    /// When the soak process itself was delayed, and by how much.
    pub own_lag: Vec<(u64, u64)>,
}
