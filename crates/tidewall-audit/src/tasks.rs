//! The sixth rule: no two lease holders act on a fleet-wide task at once.
use crate::rows::Row;
use crate::{Audit, Rule, Time};
use std::collections::BTreeMap;

/// An incarnation of a gateway, which holds a lease.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Holder {
    gateway: usize,
    incarnation: u64,
}

/// The holder whose effect on a task came last, and those before it.
#[derive(Default)]
pub(crate) struct Task {
    /// 0 before the first effect.
    epoch: u64,
    holder: Holder,
    /// When the holder's first effect came.
    since: Time,
    /// Earlier holders by epoch.
    former: BTreeMap<u64, Holder>,
    /// By worker, the newest epoch under which something took effect there.
    effective_epochs: BTreeMap<usize, u64>,
}

impl Audit {
    /// An effect of a fleet-wide task came to a worker, in time by the worker's own clock.
    pub(crate) fn task_effect(&mut self, row: &Row) {
        self.acts += 1;
        self.check_holder(row);
        if row.on {
            self.check_effective_epoch(row);
        }
    }

    fn check_holder(&mut self, row: &Row) {
        let (now, epoch) = (row.time, row.epoch);
        let holder = Holder {
            gateway: row.gateway,
            incarnation: row.incarnation,
        };
        let task = self.tasks.entry(row.task).or_default();
        let (last_epoch, last_holder, since) = (task.epoch, task.holder, task.since);
        let former = task.former.get(&epoch).copied();
        // Only another holder than the last one puts the rule to the test.
        let changed = last_epoch > 0 && holder != last_holder;
        if epoch != last_epoch {
            if changed {
                task.since = now;
            }
            task.former.insert(last_epoch, last_holder);
            (task.epoch, task.holder) = (epoch, holder);
        }
        if changed {
            self.count_case(Rule::SingleHolder);
        }
        if changed && epoch == last_epoch || former.is_some_and(|former| former != holder) {
            let text = format!("task {}: epoch {epoch} was used by two holders", row.task);
            self.breach(Rule::SingleHolder, now, text);
        }
        // Effects of one holder come in one piece, and epochs rise unless grantors forgot them.
        let returns = former.is_some() || epoch < last_epoch && !self.grantor_forgot(since);
        if changed && returns && !self.rules.wild_clocks {
            let text = format!(
                "task {}: gateway {} acts though gateway {} does, which holds it since",
                row.task, holder.gateway, last_holder.gateway
            );
            self.breach(Rule::SingleHolder, now, text);
        }
    }

    /// At one worker nothing takes effect under an older epoch than before.
    fn check_effective_epoch(&mut self, row: &Row) {
        let (epoch, worker) = (row.epoch, row.worker);
        let task = self.tasks.entry(row.task).or_default();
        let newest = task.effective_epochs.entry(worker).or_default();
        let older = epoch < *newest;
        *newest = epoch.max(*newest);
        if older {
            let text = format!(
                "task {}: an act under epoch {epoch} took effect at worker {worker} after a newer one's",
                row.task
            );
            self.breach(Rule::SingleHolder, row.time, text);
        }
    }

    /// Whether a grantor may have lost what it granted to the holder that first acted at `since`. That grantor
    /// may be the only one that two majorities share, and the next epoch is then not higher. Leases that run
    /// are not lost with it.
    fn grantor_forgot(&self, since: Time) -> bool {
        let mut kills = self.grantor_kills.iter();
        kills.any(|killed_at| killed_at + self.rules.term >= since)
    }
}
