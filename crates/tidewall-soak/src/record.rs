//! What happened, as the clients and hosts saw it. Times are tenths of a millisecond by the soak's own clock.

/// A class of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// May be executed any number of times.
    Check,
    /// Has an idempotency key: within one zone and `KEY_WINDOW`.
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

/// The window of idempotency keys: 4 s.
pub const KEY_WINDOW: u64 = 40_000;

/// An attempt that came whole to a host.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When.
    pub at: u64,
    /// The host's group.
    pub group: usize,
    /// The time that the gateway passed on, in milliseconds.
    pub timeout_ms: u64,
    /// The host answered that it did not run it.
    pub not_run: bool,
}

/// Why a call has no answer, where that is not the gateway's fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excuse {
    /// Its gateway was killed while it was owed.
    Killed,
    /// It crossed the gateway's close of its connection.
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
    /// How long its client waits.
    pub patience: u64,
    /// When its client cancelled it or closed its connection.
    pub left_at: Option<u64>,
    /// Its answers: when, and the word.
    pub answers: Vec<(u64, String)>,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
    /// Why it may have no answer.
    pub excuse: Option<Excuse>,
    /// What its gateway was doing, for reports.
    pub note: String,
}

/// A load request that came whole to a host.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// The gateway that sent it.
    pub gateway: usize,
    /// The host's group.
    pub group: usize,
    /// When.
    pub at: u64,
}

/// Everything that was seen.
#[derive(Default)]
pub struct Record {
    /// Calls; a call's trace is its index.
    pub calls: Vec<Call>,
    /// Load requests, by time.
    pub load_requests: Vec<LoadRequest>,
    /// By group: spans in which it takes no work, from when that counts as told until it comes back.
    pub drained: Vec<Vec<(u64, u64)>>,
    /// Gateways that ended by themselves without being told to, with what they said.
    pub crashes: Vec<String>,
    /// Violations that gateways counted themselves.
    pub violations: Vec<String>,
    /// When the soak itself was late, and by how much.
    pub own_lag: Vec<(u64, u64)>,
}
