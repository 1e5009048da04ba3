//! Changes of the endpoint list, in order, that are applied to the functions' placements. A function applies
//! them before its placements are next used, so that a list of thousands of workers costs each wake-up only
//! as much as the functions in use require. Makes no decisions.
use crate::interface::WorkerId;
use crate::state::InstanceState;
use std::collections::VecDeque;

/// The effect of an endpoint change on a function's placement on the worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChangeKind {
    /// The worker started; the value is the state of its instances as far as is known.
    Started(InstanceState),
    /// The worker drains or is gone, and nothing is known about its instances.
    Withdrawn,
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointChange {
    /// The worker.
    pub worker_id: WorkerId,
    /// Hash of its name, by which a function can tell whether it is affected without looking the worker up.
    pub name_hash: u64,
    /// The effect of the change.
    pub kind: ChangeKind,
}

/// The changes that some function has not applied yet, numbered from 0.
#[derive(Default)]
pub struct EndpointChanges {
    entries: VecDeque<EndpointChange>,
    /// Number of the first entry.
    first: u64,
}

impl EndpointChanges {
    /// Appends a change.
    pub fn push(&mut self, change: EndpointChange) {
        self.entries.push_back(change);
    }

    /// Number that the next change will get.
    pub fn end(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// Returns the changes from this number on for which `concerns` is true. Some function has not applied
    /// them yet.
    pub fn since(&self, number: u64, concerns: impl Fn(&EndpointChange) -> bool) -> Vec<EndpointChange> {
        let entries = self.entries.range((number - self.first) as usize..);
        entries.filter(|change| concerns(change)).copied().collect()
    }

    /// Number of changes that are kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Drops the changes below this number, which all functions have applied.
    pub fn drop_before(&mut self, number: u64) {
        let count = number.saturating_sub(self.first).min(self.entries.len() as u64);
        self.entries.drain(..count as usize);
        self.first += count;
    }
}
