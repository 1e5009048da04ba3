//! Two gateways behind one address, a fleet of stand-ins, and troubles drawn from the seed; the audit reads what the
//! stand-ins' ends recorded.
//!
//! | module | what it has |
//! | --- | --- |
//! | `settings` | the settings of members and fleet |
//! | `trouble` | the troubles, and how they are drawn |
//! | `stranger` | forged advertisements |
//! | `runner` | one run, step by step |
//! | `shrink` | the smallest run that still fails |
mod runner;
mod settings;
mod shrink;
mod stranger;
mod trouble;

pub use runner::Run;
pub use shrink::shrink;
pub use trouble::{Trouble, TroubleKind};

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use tidewall_failover::role::Role;
use tidewall_net::Time;

/// How a member may stand: the seat's states, or dead.
pub const STANDS: usize = Role::ALL.len() + 1;

/// Which states of both members were met together.
pub type Met = [[bool; STANDS]; STANDS];

/// The name of how a member stands, by its index in [`Met`].
pub fn stand(at: usize) -> &'static str {
    Role::ALL.get(at).map_or("dead", |s| s.text())
}

/// What is left out on purpose, to show that the audit notices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Plant {
    #[default]
    Nothing,
    /// Workers take launches of any epoch, and cut nobody off.
    NoFences,
    /// Nothing goes to the other member.
    NoCopies,
    /// Voters forget what they promised, so epochs are used again.
    Forgets,
}

/// How a run goes.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Of all that is drawn.
    pub seed: u64,
    /// What is left out.
    pub plant: Plant,
    /// How long clients send, in seconds.
    pub seconds: f64,
    /// Requests a second.
    pub rate: f64,
    /// Drawn from the seed where left out.
    pub troubles: Option<Vec<(Time, Trouble)>>,
    /// The same for troubles of the fleet, as a script.
    pub script: Option<String>,
    /// One trouble of this kind is drawn, and none of the fleet's.
    pub only: Option<TroubleKind>,
    /// Member b's settings are not those of member a.
    pub disagree: bool,
    /// Max age of all request classes, in milliseconds; clients wait for nine tenths of it.
    pub max_age_ms: u64,
    /// Whether the report holds the record.
    pub keep: bool,
}

impl Setup {
    /// Five seconds of 120 requests a second, with troubles drawn from the seed.
    pub fn new(seed: u64) -> Setup {
        Setup {
            seed,
            plant: Plant::Nothing,
            seconds: 5.0,
            rate: 120.0,
            troubles: None,
            script: None,
            only: None,
            disagree: false,
            max_age_ms: settings::MAX_AGE_MS,
            keep: false,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Report {
    /// The run's seed.
    pub seed: u64,
    /// Over all that was delivered: equal for equal runs.
    pub digest: u64,
    /// Events and timers that were delivered.
    pub steps: u64,
    /// Requests of the clients.
    pub events: u64,
    /// Requests that were completed.
    pub handled: u64,
    /// Requests that were sent again after a connection broke.
    pub asked_again: u64,
    /// Requests without an answer, while no client could reach a member that serves.
    pub excused: u64,
    /// How often a member began to serve.
    pub takeovers: u64,
    /// Attempts that workers refused for their epoch.
    pub refused: u64,
    /// The share of the requests' worth that was served.
    pub service: f64,
    /// How long clients could reach no member, in tenths of a millisecond.
    pub pauses: Vec<Time>,
    /// By rule: how often the record put it to the test.
    pub cases: [u64; 6],
    /// What broke a rule, a line each.
    pub breaches: Vec<String>,
    /// The troubles, each with its time in tenths of a millisecond.
    pub troubles: Vec<(Time, Trouble)>,
    /// The troubles of the fleet, as a script.
    pub script: String,
    /// Which states of both members were met together.
    pub met: Met,
    /// What the stand-ins' ends recorded, a JSON line each.
    pub record: Vec<u8>,
}

/// A record that the run reads when it is over.
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

/// Plays a run to its end.
pub fn run(setup: Setup) -> Report {
    Run::new(setup).finish()
}
