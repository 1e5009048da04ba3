//! Preferred holder of each task: of the members present, the one with the highest weight for it (rendezvous hashing; Thaler
//! and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), so that a member that joins or leaves moves
//! only its own tasks. This decides who should request a lease; who gets one is decided by the grantors.
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Checksum over the fields of an effect that is sent to a worker: no bit of it may change unnoticed on the way, nor may it be
/// taken for another task's or another gateway's.
pub fn checksum(fields: &[u64]) -> u64 {
    fields.iter().fold(0, |seed, field| {
        xxh3_64_with_seed(&field.to_be_bytes(), seed)
    })
}

/// Hash of a member's or a worker's name, from which its weights for all tasks derive.
pub fn key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Weight of a member or worker (by its `key`) for a task; the highest one is preferred.
pub fn weight(task: usize, key: u64) -> u64 {
    xxh3_64_with_seed(&(task as u64).to_be_bytes(), key)
}

/// Which member should hold which task.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// By member: the hash of its name.
    keys: Vec<u64>,
    /// By member: whether it takes part.
    present: Vec<bool>,
    /// By task: the preferred holder; `None` while no member is present.
    owners: Vec<Option<usize>>,
}

impl Assignment {
    /// No member is present yet. Weights derive from the members' names, so the order in which the settings list them does
    /// not matter.
    pub fn new(names: &[String], tasks: usize) -> Assignment {
        Assignment {
            keys: names.iter().map(|name| key(name)).collect(),
            present: vec![false; names.len()],
            owners: vec![None; tasks],
        }
    }

    fn weight(&self, task: usize, member: usize) -> u64 {
        weight(task, self.keys[member])
    }

    /// The preferred holder of a task; `None` while no member is present.
    pub fn owner(&self, task: usize) -> Option<usize> {
        self.owners[task]
    }

    /// Adds a member. `on_move` gets each task whose owner changes, the owner before and the owner after, by task number.
    pub fn member_joined(
        &mut self,
        member: usize,
        mut on_move: impl FnMut(usize, Option<usize>, Option<usize>),
    ) {
        if std::mem::replace(&mut self.present[member], true) {
            return;
        }
        for task in 0..self.owners.len() {
            let previous = self.owners[task];
            if previous.is_none_or(|owner| self.weight(task, member) > self.weight(task, owner)) {
                self.owners[task] = Some(member);
                on_move(task, previous, Some(member));
            }
        }
    }

    /// Removes a member. `on_move` gets each of its tasks, the owner before and the owner after, by task number.
    pub fn member_left(
        &mut self,
        member: usize,
        mut on_move: impl FnMut(usize, Option<usize>, Option<usize>),
    ) {
        if !std::mem::replace(&mut self.present[member], false) {
            return;
        }
        for task in 0..self.owners.len() {
            if self.owners[task] == Some(member) {
                let next = (0..self.keys.len())
                    .filter(|other| self.present[*other])
                    .max_by_key(|other| self.weight(task, *other));
                self.owners[task] = next;
                on_move(task, Some(member), next);
            }
        }
    }
}
