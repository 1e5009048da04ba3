//! Who should hold which task: of the members that are there, the one that weighs most for it (rendezvous hashing, Thaler
//! and Ravishankar, 1998), so that a member that comes or goes moves only what is its own. It only says who should ask;
//! who may act the keepers say.
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The check that goes with an act: no bit of it may change unseen on its way, nor may it be taken for another's.
pub fn check(numbers: &[u64]) -> u64 {
    numbers
        .iter()
        .fold(0, |seed, n| xxh3_64_with_seed(&n.to_be_bytes(), seed))
}

/// What a name weighs by, and how much it weighs for a task: members that hold, and workers where a task takes effect.
pub fn key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

pub fn weight(task: usize, key: u64) -> u64 {
    xxh3_64_with_seed(&(task as u64).to_be_bytes(), key)
}

pub struct Assignment {
    /// By member: its key.
    keys: Vec<u64>,
    here: Vec<bool>,
    /// By task: who should hold it.
    best: Vec<Option<usize>>,
}

/// The task that a name belongs to.
pub fn task(name: &str, tasks: usize) -> usize {
    (xxh3_64(name.as_bytes()) % tasks.max(1) as u64) as usize
}

impl Assignment {
    /// Members are told by their names, so that the order in which settings list them decides nothing.
    pub fn new(names: &[String], tasks: usize) -> Assignment {
        let keys: Vec<u64> = names.iter().map(|n| key(n)).collect();
        Assignment {
            here: vec![false; keys.len()],
            keys,
            best: vec![None; tasks],
        }
    }

    fn weight(&self, task: usize, member: usize) -> u64 {
        weight(task, self.keys[member])
    }

    pub fn owner(&self, task: usize) -> Option<usize> {
        self.best[task]
    }

    pub fn is_present(&self, member: usize) -> bool {
        self.here[member]
    }

    pub fn member_joined(
        &mut self,
        member: usize,
        mut moves: impl FnMut(usize, Option<usize>, Option<usize>),
    ) {
        if std::mem::replace(&mut self.here[member], true) {
            return;
        }
        for task in 0..self.best.len() {
            let was = self.best[task];
            if was.is_none_or(|w| self.weight(task, member) > self.weight(task, w)) {
                self.best[task] = Some(member);
                moves(task, was, Some(member));
            }
        }
    }

    pub fn member_left(
        &mut self,
        member: usize,
        mut moves: impl FnMut(usize, Option<usize>, Option<usize>),
    ) {
        if !std::mem::replace(&mut self.here[member], false) {
            return;
        }
        for task in 0..self.best.len() {
            if self.best[task] == Some(member) {
                let left = (0..self.keys.len()).filter(|m| self.here[*m]);
                let best = left.max_by_key(|m| self.weight(task, *m));
                self.best[task] = best;
                moves(task, Some(member), best);
            }
        }
    }
}
