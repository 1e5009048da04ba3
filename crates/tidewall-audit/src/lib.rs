//! The rules that hold for a fleet of gateways, checked from what the emulator's ends of the sockets recorded and never
//! from a gateway's own word. A rule that no row of the record put to the test is reported as such, by its count of cases.
//!
//! `rows` is the record's format; `check` reads a whole record, `Audit` takes one row after the other. Each rule has its
//! file. Times are whole tenths of a millisecond.
mod answers;
mod attempts;
mod availability;
mod drains;
mod error;
mod load_requests;
pub mod rows;
mod slow_start;
mod tasks;

pub use error::RecordError;

use answers::Request;
use attempts::Execution;
use availability::Availability;
use drains::GatewayWorker;
use load_requests::LoadRequests;
use rows::{Kind, Row, Rules};
use slow_start::WarmingWorker;
use std::collections::BTreeMap;
use tasks::Task;

/// Tenths of a millisecond.
type Time = u64;

/// How long after its client gave up an answer may still be on its way across loopback and a busy machine, in tenths of a
/// millisecond.
pub const GRACE: Time = 500;

/// One rule: the cases that put it to the test, and each breach in a line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// How often the record could have shown a breach.
    pub cases: u64,
    /// The breaches in the order of their times, with the time in milliseconds first.
    pub breaches: Vec<String>,
}

/// Names of the rules as reports print them, in the order of `Audit::verdicts`.
pub const RULES: [&str; 6] = [
    "each event taken gets one final answer in time",
    "no effect twice",
    "drains kept",
    "no cold worker pushed over",
    "orders to load rationed",
    "no two holders act on a task at once",
];

/// A rule, by its position in `RULES`.
#[derive(Clone, Copy)]
enum Rule {
    FinalAnswer,
    SingleEffect,
    Drain,
    SlowStart,
    LoadRequestLimit,
    SingleHolder,
}

/// Checks a record row by row.
pub struct Audit {
    /// Requests whose deadline passed without an answer while their gateway was killed, stopped or out of reach.
    pub excused: u64,
    /// What was found of each rule, in the order of `RULES`.
    pub verdicts: [Verdict; 6],
    /// Effects of fleet-wide tasks that came in time.
    pub acts: u64,
    rules: Rules,
    requests: BTreeMap<u64, Request>,
    availability: Availability,
    /// By request, whichever attempt of its client it was.
    executions: BTreeMap<u64, Vec<Execution>>,
    /// When a gateway was first told that a worker drains.
    drains: BTreeMap<GatewayWorker, Time>,
    /// By worker, warm ones as well.
    warming_workers: BTreeMap<usize, WarmingWorker>,
    load_requests: LoadRequests,
    tasks: BTreeMap<u64, Task>,
    /// When grantors of leases were killed: with them goes the memory of epochs.
    grantor_kills: Vec<Time>,
}

impl Audit {
    /// An audit that has seen no row.
    pub fn new(rules: Rules) -> Audit {
        Audit {
            excused: 0,
            verdicts: Default::default(),
            acts: 0,
            rules,
            requests: BTreeMap::new(),
            availability: Availability::default(),
            executions: BTreeMap::new(),
            drains: BTreeMap::new(),
            warming_workers: BTreeMap::new(),
            load_requests: LoadRequests::default(),
            tasks: BTreeMap::new(),
            grantor_kills: Vec::new(),
        }
    }

    /// Takes in the next row; rows come in the order of their times.
    ///
    /// # Panics
    /// Where a row names a type or a worker that the rules do not have.
    pub fn row(&mut self, row: &Row) {
        match row.kind {
            Kind::Asked => self.request_sent(row),
            Kind::Answered => self.request_answered(row),
            Kind::TurnedAway => self.request_refused(row),
            Kind::AskedAgain => self.request_sent_again(row),
            Kind::Away => self.availability.became_unreachable(row),
            Kind::Back => self.availability.became_reachable(row),
            Kind::Left => self.request_abandoned(row),
            Kind::GaveUp => self.deadline_passed(row),
            Kind::Broke => self.client_connection_broke(row),
            Kind::Killed => {
                self.availability.killed(row.gateway);
                if self.rules.keepers.contains(&row.gateway) {
                    self.grantor_kills.push(row.time);
                }
            }
            Kind::Up => {
                self.availability.started(row.gateway);
                self.forget_drains(row.gateway);
            }
            Kind::Still => self.availability.stopped(row),
            Kind::Going => self.availability.continued(row),
            Kind::Launched => self.attempt_sent(row),
            Kind::Ended => self.attempt_ended(row),
            Kind::Cut => self.worker_connection_broke(row),
            Kind::Ran => self.executed(row),
            Kind::Told => self.endpoint_state_sent(row),
            Kind::Lost => self.updates_lost(row),
            Kind::Started => self.worker_started(row),
            Kind::Fell => self.worker_fell_over(row),
            Kind::Ordered => self.load_request_sent(row),
            Kind::Acted => self.task_effect(row),
        }
    }

    /// Ends the record at a time: what is still open and was due before that is a breach.
    pub fn end(&mut self, at: Time) {
        self.check_open_requests(at);
    }

    /// Number of breaches of all rules.
    pub fn breaches(&self) -> usize {
        let verdicts = self.verdicts.iter();
        verdicts.map(|verdict| verdict.breaches.len()).sum()
    }

    fn count_case(&mut self, rule: Rule) {
        self.verdicts[rule as usize].cases += 1;
    }

    fn breach(&mut self, rule: Rule, at: Time, text: String) {
        let line = format!("{:.1} ms: {text}", at as f64 / 10.0);
        self.verdicts[rule as usize].breaches.push(line);
    }
}

/// Checks a whole record: the rules' figures in its first line, then the rows.
///
/// # Errors
/// Where there is no line, or one that is not the JSON which belongs there.
pub fn check(lines: impl Iterator<Item = String>) -> Result<Audit, RecordError> {
    let mut audit = None;
    let mut last = 0;
    for (index, line) in lines.enumerate() {
        let invalid = |cause| RecordError::InvalidLine {
            line: index + 1,
            cause,
        };
        match &mut audit {
            None => audit = Some(Audit::new(serde_json::from_str(&line).map_err(invalid)?)),
            Some(audit) => {
                let row: Row = serde_json::from_str(&line).map_err(invalid)?;
                last = row.time;
                audit.row(&row);
            }
        }
    }
    let mut audit = audit.ok_or(RecordError::Empty)?;
    audit.end(last);
    Ok(audit)
}
