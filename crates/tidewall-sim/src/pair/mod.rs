//! Simulates two gateways behind one address with emulated workers and clients, under faults drawn from the
//! seed. The audit checks the record of what the emulated workers and clients sent and received.
//!
//! | module | contents |
//! | --- | --- |
//! | `settings` | settings of the members, the workers and the clients |
//! | `fault` | the faults, and how they are drawn |
//! | `forger` | forged VRRP advertisements |
//! | `runner` | one run, step by step |
//! | `shrink` | reduction of a failing run |
mod fault;
mod forger;
mod runner;
mod settings;
mod shrink;

pub use fault::{Fault, FaultKind};
pub use runner::Run;
pub use shrink::shrink;

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use tidewall_failover::role::Role;
use tidewall_net::Time;

/// Number of states that a member may be in: its failover roles, and dead.
pub const MEMBER_STATES: usize = Role::ALL.len() + 1;

/// For each combination of the two members' states, whether the run reached it: `[state of a][state of b]`.
pub type StatePairs = [[bool; MEMBER_STATES]; MEMBER_STATES];

/// The name of a member's state, by its index in [`StatePairs`].
pub fn member_state_name(at: usize) -> &'static str {
    Role::ALL.get(at).map_or("dead", |s| s.text())
}

/// A safeguard that a run omits on purpose, to show that the audit detects its absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum OmittedSafeguard {
    #[default]
    Nothing,
    /// Workers take launches of any epoch, and cut nobody off.
    NoFences,
    /// Nothing goes to the other member.
    NoCopies,
    /// Voters forget what they promised, so epochs are used again.
    Forgets,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Seed of all random choices.
    pub seed: u64,
    /// The safeguard that is omitted.
    pub omitted: OmittedSafeguard,
    /// How long clients send, in seconds.
    pub seconds: f64,
    /// Requests a second.
    pub rate: f64,
    /// Faults of the members, each with its time in tenths of a millisecond; None to draw them from the seed.
    pub faults: Option<Vec<(Time, Fault)>>,
    /// Faults of the workers and clients, as a script. None: drawn from the seed if `faults` is None too,
    /// and none otherwise.
    pub script: Option<String>,
    /// Draws a single member fault, of this kind, and no worker faults.
    pub only: Option<FaultKind>,
    /// Whether member b's settings differ from member a's.
    pub disagree: bool,
    /// Max age of all request classes, in milliseconds; clients wait for nine tenths of it.
    pub max_age_ms: u64,
    /// Whether the report contains the record.
    pub keep: bool,
}

impl Setup {
    /// Five seconds of 120 requests a second, with faults drawn from the seed.
    pub fn new(seed: u64) -> Setup {
        Setup {
            seed,
            omitted: OmittedSafeguard::Nothing,
            seconds: 5.0,
            rate: 120.0,
            faults: None,
            script: None,
            only: None,
            disagree: false,
            max_age_ms: settings::MAX_AGE_MS,
            keep: false,
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The run's seed.
    pub seed: u64,
    /// Digest of everything that the network delivered: equal for equal runs.
    pub digest: u64,
    /// Network events and timers that were delivered.
    pub steps: u64,
    /// Requests that clients sent, each counted once however often it was retried.
    pub events: u64,
    /// Requests that were completed.
    pub handled: u64,
    /// Requests that clients sent again after their connection broke.
    pub asked_again: u64,
    /// Requests without a response that are no breach, as no client could reach an active member.
    pub excused: u64,
    /// How often a member became active.
    pub takeovers: u64,
    /// Attempts that workers refused because of their epoch.
    pub refused: u64,
    /// Benefit of the requests that were handled within their target time, as a fraction of the benefit of
    /// all requests.
    pub service: f64,
    /// Lengths of the periods in which clients could reach no member, in tenths of a millisecond.
    pub pauses: Vec<Time>,
    /// For each rule of the audit, how many cases of the record it applied to.
    pub cases: [u64; 6],
    /// The rule violations, one line each.
    pub breaches: Vec<String>,
    /// The members' faults, each with its time in tenths of a millisecond.
    pub faults: Vec<(Time, Fault)>,
    /// The faults of the workers and clients, as a script.
    pub script: String,
    /// Which combinations of the members' states occurred.
    pub state_pairs: StatePairs,
    /// What the emulated workers and clients recorded, one JSON object a line; empty unless `Setup::keep`.
    pub record: Vec<u8>,
}

/// A record that the emulator writes and the run reads when it is over.
#[derive(Clone, Default)]
pub(crate) struct SharedRecord(pub(crate) Rc<RefCell<Vec<u8>>>);

impl Write for SharedRecord {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Simulates a run to its end.
pub fn run(setup: Setup) -> Report {
    Run::new(setup).finish()
}
