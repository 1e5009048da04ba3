//! A member's own arrivals in one slot, by function, counted with the space-saving algorithm (Metwally,
//! Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data Streams", 2005). Counts
//! are exact as long as every function has an entry. After that, a new function replaces the one with the
//! lowest count, and its own count may be too high by at most that count.
//!
//! Only the first attempt of a request is to be counted: retries, and functions loaded ahead of time, must
//! not cause further loads.
use hashbrown::HashTable;
use std::collections::BTreeSet;

/// The count of one function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FunctionCount {
    /// The hash of the function's name.
    pub function: u64,
    /// Never lower than the true count.
    pub count: u32,
    /// By how much the count may be too high.
    pub max_error: u32,
}

/// The position in the order of eviction: lowest count first. Ties are resolved by index, so that the order
/// does not depend on hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    count: u32,
    index: usize,
}

/// The counts of a limited number of functions.
#[derive(Debug)]
pub struct ArrivalCounts {
    capacity: usize,
    entries: Vec<FunctionCount>,
    /// The index in `entries` of each function.
    indices: HashTable<usize>,
    eviction_order: BTreeSet<EvictionRank>,
    /// The exact number of all arrivals.
    pub total: u64,
}

impl ArrivalCounts {
    /// Creates counts with room for `capacity` functions, at least one.
    pub fn new(capacity: usize) -> ArrivalCounts {
        ArrivalCounts {
            capacity: capacity.max(1),
            entries: Vec::new(),
            indices: HashTable::new(),
            eviction_order: BTreeSet::new(),
            total: 0,
        }
    }

    /// Counts the first attempt of one arrival. `function` is the hash of the function's name.
    pub fn record(&mut self, function: u64) {
        self.total += 1;
        let index = match self.index_of(function) {
            Some(index) => index,
            None if self.entries.len() < self.capacity => self.append(function),
            None => self.replace_least_counted(function),
        };
        let count = self.entries[index].count;
        self.eviction_order.remove(&EvictionRank { count, index });
        let count = count + 1;
        self.entries[index].count = count;
        self.eviction_order.insert(EvictionRank { count, index });
    }

    fn index_of(&self, function: u64) -> Option<usize> {
        self.indices
            .find(function, |index| self.entries[*index].function == function)
            .copied()
    }

    fn append(&mut self, function: u64) -> usize {
        self.entries.push(FunctionCount {
            function,
            count: 0,
            max_error: 0,
        });
        let index = self.entries.len() - 1;
        self.insert_index(function, index);
        index
    }

    fn replace_least_counted(&mut self, function: u64) -> usize {
        let EvictionRank { count, index } = *self
            .eviction_order
            .first()
            .expect("the capacity is at least one and exhausted");
        let evicted = self.entries[index].function;
        if let Ok(entry) = self.indices.find_entry(evicted, |other| *other == index) {
            entry.remove();
        }
        self.entries[index] = FunctionCount {
            function,
            count,
            max_error: count,
        };
        self.insert_index(function, index);
        index
    }

    fn insert_index(&mut self, function: u64, index: usize) {
        let entries = &self.entries;
        self.indices
            .insert_unique(function, index, |other| entries[*other].function);
    }

    /// All counts, in the order in which their entries were first used.
    pub fn entries(&self) -> &[FunctionCount] {
        &self.entries
    }

    /// The count of a function; `None` if it has no entry.
    pub fn get(&self, function: u64) -> Option<FunctionCount> {
        self.index_of(function).map(|index| self.entries[index])
    }

    /// The approximate size of the entries in bytes, assuming that the hash table is half full.
    pub fn size_bytes(&self) -> usize {
        let entry = std::mem::size_of::<FunctionCount>()
            + std::mem::size_of::<EvictionRank>()
            + 2 * std::mem::size_of::<usize>();
        self.entries.len() * entry
    }
}
