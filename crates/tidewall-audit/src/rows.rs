//! The record's format: what the emulator writes, one JSON line for each thing that crossed one of its sockets. Fields
//! are written under shorter names where they have a `rename` attribute, kinds under their own. Times are whole tenths of a
//! millisecond.
use serde::{Deserialize, Serialize};

/// Scope of an idempotency key: the workers that drop its repeats together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Group {
    /// All workers.
    All,
    /// Workers of one zone.
    Zone,
    /// Workers of one cell.
    Cell,
}

/// Retry safety of a type of requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Type {
    /// Idempotent.
    Redeliverable,
    /// With an idempotency key, by its scope and its window.
    Keyed(Group, u64),
    /// Not idempotent.
    AtMostOnce,
}

/// The rules' figures, and where the workers are: the record's first line.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Rules {
    /// Types of requests, by index.
    pub types: Vec<Type>,
    /// Zones of the workers.
    pub zones: Vec<usize>,
    /// Cells of the workers.
    pub cells: Vec<usize>,
    /// Whether hedged attempts are allowed.
    pub two_at_once: bool,
    /// How long after it was told that a worker drains a gateway may still send it something.
    pub drain_grace: u64,
    /// A warming worker falls over at so many times what it can do within `fall`.
    pub fall_multiple: f64,
    /// Window in which the work of a warming worker is summed up.
    pub fall: u64,
    /// Window of the limit of load requests; 0 where there is no limit.
    pub load_window: u64,
    /// Load requests that are allowed within the window in any case.
    pub load_free: f64,
    /// Load requests that are allowed besides for each request within the window.
    pub load_share: f64,
    /// The gateway is a failover pair behind one address: a kill excuses nothing but what fell due while no client could
    /// reach it.
    #[serde(default)]
    pub pair: bool,
    /// Clocks may be beyond what the settings allow: then epochs alone keep two holders apart, at each worker.
    #[serde(default)]
    pub wild_clocks: bool,
    /// Gateways that grant leases.
    #[serde(default)]
    pub keepers: Vec<usize>,
    /// Lease duration: how long a grantor bars others.
    #[serde(default)]
    pub term: u64,
}

/// What a row tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// A client sent a request, to be answered within `left`.
    #[default]
    Asked,
    /// A final answer reached its client.
    Answered,
    /// A request was refused at admission.
    TurnedAway,
    /// A client sent the same request again, after its connection broke.
    AskedAgain,
    /// No client's connection to a gateway is open any more.
    Away,
    /// A client's connection to the gateway is open again.
    Back,
    /// The client abandoned the request before its deadline, and said so.
    Left,
    /// The request's deadline passed without an answer.
    GaveUp,
    /// The client's connection broke with this request in flight on it.
    Broke,
    /// A gateway's process was killed.
    Killed,
    /// A gateway's process that was killed is up again.
    Up,
    /// A gateway's process is stopped.
    Still,
    /// A gateway's process that was stopped goes on.
    Going,
    /// An attempt reached a worker.
    Launched,
    /// An attempt ended at its worker, with a proof that it was not executed (`proven`) or without.
    Ended,
    /// The connection of an attempt is gone.
    Cut,
    /// A request had its effect at a worker.
    Ran,
    /// The discovery server told a gateway the state of a worker: it takes requests (`on`), or drains.
    Told,
    /// The discovery server's connection to a gateway broke (`on`), or a worker's: a gateway that is stopped has not read
    /// what was sent on it meanwhile, and never will.
    Lost,
    /// A worker started cold: it can do `capacity` (tenths of work in a tenth), `from` of it at first and all of it after
    /// `left`.
    Started,
    /// A worker that was warming up fell over.
    Fell,
    /// A load request reached a worker.
    Ordered,
    /// An effect of a fleet-wide task reached a worker in time; it was carried out (`on`), or refused.
    Acted,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// The number of a request times this, plus that of a client's attempt at it, is the request id of a row.
pub const ATTEMPTS_PER_REQUEST: u64 = 16;

/// One row; what does not belong to its kind is left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Row {
    /// When it happened.
    #[serde(rename = "t")]
    pub time: u64,
    /// What happened.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// Index of the gateway.
    #[serde(rename = "gw", skip_serializing_if = "is_default")]
    pub gateway: usize,
    /// Index of the worker.
    #[serde(rename = "wk", skip_serializing_if = "is_default")]
    pub worker: usize,
    /// Number of the request and of its client's attempt, see `ATTEMPTS_PER_REQUEST`.
    #[serde(rename = "evt", skip_serializing_if = "is_default")]
    pub request_id: u64,
    /// Index of the request's type in the rules.
    #[serde(rename = "typ", skip_serializing_if = "is_default")]
    pub request_type: usize,
    /// Time until the deadline; of a worker that started, until it is warm.
    #[serde(skip_serializing_if = "is_default")]
    pub left: u64,
    /// Whether the end of an attempt proves that it was not executed.
    #[serde(skip_serializing_if = "is_default")]
    pub proven: bool,
    /// Whether the answer is a rejection with a Retry-After.
    #[serde(skip_serializing_if = "is_default")]
    pub deferred: bool,
    /// As the kind has it.
    #[serde(skip_serializing_if = "is_default")]
    pub on: bool,
    /// Instances that a load request asks for; 0 only asks how many there are.
    #[serde(rename = "copies", skip_serializing_if = "is_default")]
    pub instances: u64,
    /// Work of an attempt.
    #[serde(skip_serializing_if = "is_default")]
    pub work: f64,
    /// Work in a tenth of a millisecond, in tenths, of a warm worker.
    #[serde(skip_serializing_if = "is_default")]
    pub capacity: f64,
    /// Share of its capacity that a worker has when it starts.
    #[serde(skip_serializing_if = "is_default")]
    pub from: f64,
    /// Number of the fleet-wide task.
    #[serde(skip_serializing_if = "is_default")]
    pub task: u64,
    /// Epoch under which the holder acts.
    #[serde(skip_serializing_if = "is_default")]
    pub epoch: u64,
    /// Incarnation of the gateway.
    #[serde(rename = "life", skip_serializing_if = "is_default")]
    pub incarnation: u64,
}
