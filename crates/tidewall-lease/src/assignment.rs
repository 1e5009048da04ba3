//! The preferred holder of each task: the present member with the highest weight for it (rendezvous hashing;
//! Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998). A member that joins or
//! leaves therefore moves only its own tasks. The assignment decides which member should request a lease; the
//! grantors decide which member gets it.
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Checksum over the fields of an effect that is sent to a worker. It detects a changed bit, and an effect
/// that was built for another task or by another gateway.
pub fn checksum(fields: &[u64]) -> u64 {
    fields.iter().fold(0, |seed, field| {
        xxh3_64_with_seed(&field.to_be_bytes(), seed)
    })
}

/// Hash of the name of a member or worker, from which its weights for all tasks are derived.
pub fn key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Weight of a member or worker (given by its `key`) for a task. The highest weight is preferred.
pub fn weight(task: usize, key: u64) -> u64 {
    xxh3_64_with_seed(&(task as u64).to_be_bytes(), key)
}

/// Determines which member should hold which task.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Indexed by member: the hash of its name.
    keys: Vec<u64>,
    /// Indexed by member: whether it is present.
    present: Vec<bool>,
    /// Indexed by task: the preferred holder; `None` while no member is present.
    owners: Vec<Option<usize>>,
}

impl Assignment {
    /// Creates an assignment without present members. Weights are derived from the members' names, so the
    /// order in which the settings list the members does not matter.
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

    /// Returns the preferred holder of a task; `None` while no member is present.
    pub fn owner(&self, task: usize) -> Option<usize> {
        self.owners[task]
    }

    /// Adds a member. `on_move` is called, in order of task number, for each task whose preferred holder
    /// changes, with the previous and the new holder.
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

    /// Removes a member. `on_move` is called, in order of task number, for each task of that member, with the
    /// previous and the new holder.
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
