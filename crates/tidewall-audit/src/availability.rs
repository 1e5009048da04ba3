//! When gateways could not answer: killed, stopped, or out of the clients' reach.
use crate::rows::Row;
use crate::{Audit, Time, GRACE};
use std::collections::{BTreeMap, BTreeSet};

/// A span of time; `Time::MAX` is an end that has not come yet.
#[derive(Clone, Copy)]
pub(crate) struct Interval {
    pub(crate) start: Time,
    pub(crate) end: Time,
}

impl Interval {
    /// Of a gateway that was never stopped.
    const NEVER: Interval = Interval {
        start: Time::MAX,
        end: 0,
    };

    /// Whether it has no end yet and had begun by then.
    pub(crate) fn is_open_at(self, time: Time) -> bool {
        self.end == Time::MAX && time >= self.start
    }

    /// The earliest time at which the gateway can read what was sent to it at `time`: the end of this stop, if
    /// `time` lies within it, and `time` itself otherwise.
    pub(crate) fn heard_at(self, time: Time) -> Time {
        if time >= self.start {
            time.max(self.end)
        } else {
            time
        }
    }
}

/// Availability of all gateways.
#[derive(Default)]
pub(crate) struct Availability {
    /// Gateways that are down now.
    killed: BTreeSet<usize>,
    /// When a gateway's process was stopped last, and when it went on.
    stopped: BTreeMap<usize, Interval>,
    /// When no client could reach a gateway.
    unreachable: BTreeMap<usize, Vec<Interval>>,
}

impl Availability {
    /// Whether the gateway was killed and has not started again.
    pub(crate) fn is_killed(&self, gateway: usize) -> bool {
        self.killed.contains(&gateway)
    }

    /// When the gateway's process was stopped last.
    pub(crate) fn last_stop(&self, gateway: usize) -> Interval {
        self.stopped
            .get(&gateway)
            .copied()
            .unwrap_or(Interval::NEVER)
    }

    pub(crate) fn killed(&mut self, gateway: usize) {
        self.killed.insert(gateway);
    }

    pub(crate) fn started(&mut self, gateway: usize) {
        self.killed.remove(&gateway);
    }

    pub(crate) fn stopped(&mut self, row: &Row) {
        self.stopped.insert(row.gateway, open_interval(row.time));
    }

    pub(crate) fn continued(&mut self, row: &Row) {
        self.stopped
            .entry(row.gateway)
            .and_modify(|stop| stop.end = row.time);
    }

    pub(crate) fn became_unreachable(&mut self, row: &Row) {
        let intervals = self.unreachable.entry(row.gateway).or_default();
        intervals.push(open_interval(row.time));
    }

    pub(crate) fn became_reachable(&mut self, row: &Row) {
        let intervals = self.unreachable.get_mut(&row.gateway);
        if let Some(last) = intervals.and_then(|intervals| intervals.last_mut()) {
            last.end = row.time;
        }
    }

    fn was_unreachable(&self, gateway: usize, deadline: Time) -> bool {
        let mut intervals = self.unreachable.get(&gateway).into_iter().flatten();
        intervals.any(|interval| {
            deadline + GRACE >= interval.start && deadline <= interval.end.saturating_add(GRACE)
        })
    }
}

fn open_interval(start: Time) -> Interval {
    Interval {
        start,
        end: Time::MAX,
    }
}

impl Audit {
    /// Whether a gateway owes no answer that was due at `deadline`: it was killed, or stopped at that time or while the answer
    /// could still have been on its way.
    pub(crate) fn is_excused(&self, gateway: usize, deadline: Time) -> bool {
        let stop = self.availability.stopped.get(&gateway);
        let stopped = stop.is_some_and(|stop| {
            deadline + GRACE >= stop.start && deadline <= stop.end.saturating_add(GRACE)
        });
        if self.rules.pair {
            // The other member answers for a killed one.
            return stopped || self.availability.was_unreachable(gateway, deadline);
        }
        self.availability.is_killed(gateway) || stopped
    }
}
