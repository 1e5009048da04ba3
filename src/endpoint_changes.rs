//! Changes of the endpoint list that the functions' placements follow, in their order. A function takes them in before its
//! placements are next looked at, so that a list of thousands costs no wake-up more than the functions that are in use. It
//! decides nothing.
use crate::interface::WorkerId;
use crate::state::InstanceState;
use std::collections::VecDeque;

/// What a change of the endpoint list means for a function's placement on the worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChangeKind {
    /// The worker started, with its instances as far as is known.
    Started(InstanceState),
    /// The worker drains or is gone: nothing is known of its instances.
    Withdrawn,
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointChange {
    /// The worker.
    pub worker_id: WorkerId,
    /// The hash of its name, so that a function can tell without a look at the worker whether it is concerned.
    pub name_hash: u64,
    /// What it means.
    pub kind: ChangeKind,
}

/// The changes that some function has not taken in yet. They are numbered from 0.
#[derive(Default)]
pub struct EndpointChanges {
    entries: VecDeque<EndpointChange>,
    /// The number of the first entry.
    first: u64,
}

impl EndpointChanges {
    /// Adds a change.
    pub fn push(&mut self, change: EndpointChange) {
        self.entries.push_back(change);
    }

    /// The number of the next change.
    pub fn end(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// The changes from this number on, which some function has not taken in, for which `concerns` says so.
    pub fn since(&self, number: u64, concerns: impl Fn(&EndpointChange) -> bool) -> Vec<EndpointChange> {
        let entries = self.entries.range((number - self.first) as usize..);
        entries.filter(|change| concerns(change)).copied().collect()
    }

    /// How many changes are kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Drops the changes below this number, which all functions have taken in.
    pub fn drop_before(&mut self, number: u64) {
        let count = number.saturating_sub(self.first).min(self.entries.len() as u64);
        self.entries.drain(..count as usize);
        self.first += count;
    }
}
