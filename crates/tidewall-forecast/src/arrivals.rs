//! A member's own arrivals in one slot, by function: the space-saving algorithm (Metwally, Agrawal, El Abbadi, "Efficient
//! Computation of Frequent and Top-k Elements in Data Streams", 2005). While there is room for all functions the counts are
//! exact. Afterwards a new function replaces the least counted one, and may be counted too high by at most that one's count.
//!
//! Only the first attempt of a request is to be counted: what was loaded ahead of time, or is retried, must not cause
//! further loads.
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

/// Position in the order of eviction: least counted first; ties by place, so that no hash decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    count: u32,
    place: usize,
}

/// Counts of at most a set number of functions.
#[derive(Debug)]
pub struct ArrivalCounts {
    capacity: usize,
    entries: Vec<FunctionCount>,
    /// By function: its place in `entries`.
    places: HashTable<usize>,
    eviction_order: BTreeSet<EvictionRank>,
    /// All arrivals, exact.
    pub total: u64,
}

impl ArrivalCounts {
    /// Room for that many functions, at least one.
    pub fn new(capacity: usize) -> ArrivalCounts {
        ArrivalCounts {
            capacity: capacity.max(1),
            entries: Vec::new(),
            places: HashTable::new(),
            eviction_order: BTreeSet::new(),
            total: 0,
        }
    }

    /// Counts one arrival's first attempt; `function` is the hash of the function's name.
    pub fn record(&mut self, function: u64) {
        self.total += 1;
        let place = match self.place_of(function) {
            Some(place) => place,
            None if self.entries.len() < self.capacity => self.append(function),
            None => self.replace_least_counted(function),
        };
        let count = self.entries[place].count;
        self.eviction_order.remove(&EvictionRank { count, place });
        let count = count + 1;
        self.entries[place].count = count;
        self.eviction_order.insert(EvictionRank { count, place });
    }

    fn place_of(&self, function: u64) -> Option<usize> {
        self.places
            .find(function, |place| self.entries[*place].function == function)
            .copied()
    }

    fn append(&mut self, function: u64) -> usize {
        self.entries.push(FunctionCount {
            function,
            count: 0,
            max_error: 0,
        });
        let place = self.entries.len() - 1;
        self.index(function, place);
        place
    }

    fn replace_least_counted(&mut self, function: u64) -> usize {
        let EvictionRank { count, place } = *self
            .eviction_order
            .first()
            .expect("the capacity is at least one, and all of it is used");
        let evicted = self.entries[place].function;
        if let Ok(entry) = self.places.find_entry(evicted, |other| *other == place) {
            entry.remove();
        }
        self.entries[place] = FunctionCount {
            function,
            count,
            max_error: count,
        };
        self.index(function, place);
        place
    }

    fn index(&mut self, function: u64, place: usize) {
        let entries = &self.entries;
        self.places
            .insert_unique(function, place, |other| entries[*other].function);
    }

    /// All counts, in the order in which their places were first used.
    pub fn entries(&self) -> &[FunctionCount] {
        &self.entries
    }

    /// The count of a function; `None`: it has none.
    pub fn get(&self, function: u64) -> Option<FunctionCount> {
        self.place_of(function).map(|place| self.entries[place])
    }

    /// Bytes that the entries take, about; the table's places are taken as half used.
    pub fn size_bytes(&self) -> usize {
        let entry = std::mem::size_of::<FunctionCount>()
            + std::mem::size_of::<EvictionRank>()
            + 2 * std::mem::size_of::<usize>();
        self.entries.len() * entry
    }
}
