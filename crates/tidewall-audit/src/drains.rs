//! The third rule: a draining worker gets nothing new, from the grace period on after a gateway was told.
use crate::rows::Row;
use crate::{Audit, Rule, Time};
use std::collections::btree_map::Entry;

/// A gateway, and a worker of which it was told.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GatewayWorker {
    gateway: usize,
    worker: usize,
}

impl From<&Row> for GatewayWorker {
    fn from(row: &Row) -> GatewayWorker {
        GatewayWorker {
            gateway: row.gateway,
            worker: row.worker,
        }
    }
}

impl Audit {
    pub(crate) fn endpoint_state_sent(&mut self, row: &Row) {
        if row.on {
            self.drains.remove(&row.into());
        } else if let Entry::Vacant(entry) = self.drains.entry(row.into()) {
            entry.insert(row.time);
            self.count_case(Rule::Drain);
        }
    }

    /// A connection broke on which a gateway that is stopped has not read what was sent meanwhile, and never will.
    pub(crate) fn updates_lost(&mut self, row: &Row) {
        let stop = self.availability.last_stop(row.gateway);
        self.drains.retain(|key, sent_at| {
            key.gateway != row.gateway
                || !(row.on || key.worker == row.worker)
                || !stop.is_open_at(*sent_at)
        });
    }

    /// A gateway that starts again has been told nothing yet; of two behind one address the other one has.
    pub(crate) fn forget_drains(&mut self, gateway: usize) {
        if !self.rules.pair {
            self.drains.retain(|key, _| key.gateway != gateway);
        }
    }

    pub(crate) fn check_drain_of_attempt(&mut self, row: &Row) {
        if let Some(told_at) = self.drained_since(row) {
            let (gateway, worker) = (row.gateway, row.worker);
            let late = (row.time - told_at) / 10;
            let text = format!(
                "gateway {gateway} sent event {} to worker {worker} {late} ms after its drain",
                row.request_id
            );
            self.breach(Rule::Drain, row.time, text);
        }
    }

    pub(crate) fn check_drain_of_load_request(&mut self, row: &Row) {
        if self.drained_since(row).is_some() {
            let (gateway, worker) = (row.gateway, row.worker);
            let text =
                format!("gateway {gateway} ordered a load at worker {worker} after its drain");
            self.breach(Rule::Drain, row.time, text);
        }
    }

    /// Since when the gateway knows that the worker drains, where the grace period is over.
    fn drained_since(&self, row: &Row) -> Option<Time> {
        let told_at = self.drains.get(&row.into()).copied();
        told_at.filter(|told_at| row.time > told_at + self.rules.drain_grace)
    }
}
