//! A member's own arrivals in one slot, by function: space-saving counts (Metwally and others, 2005). With room for all
//! functions they are exact; without, the least counted makes room, and the new one may be counted too high by at most
//! what that one had. Only an event's first try counts: what was loaded ahead, or is tried again, draws no more loads.
use hashbrown::HashTable;
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// The function's hash.
    pub function: u64,
    pub count: u32,
    /// By so much it may be too high.
    pub over: u32,
}

pub struct Counts {
    most: usize,
    entries: Vec<Count>,
    places: HashTable<usize>,
    /// Least counted first; ties by place, so that no hash decides.
    order: BTreeSet<(u32, usize)>,
    pub total: u64,
}

impl Counts {
    pub fn new(most: usize) -> Counts {
        let most = most.max(1);
        Counts {
            most,
            entries: Vec::new(),
            places: HashTable::new(),
            order: BTreeSet::new(),
            total: 0,
        }
    }

    /// One arrival's first try.
    pub fn add(&mut self, function: u64) {
        self.total += 1;
        let entries = &self.entries;
        let found = self
            .places
            .find(function, |p| entries[*p].function == function)
            .copied();
        let place = match found {
            Some(place) => place,
            None if self.entries.len() < self.most => {
                self.entries.push(Count {
                    function,
                    count: 0,
                    over: 0,
                });
                self.put(function, self.entries.len() - 1)
            }
            None => {
                let (least, place) = *self.order.first().expect("there is room for one");
                let old = self.entries[place].function;
                if let Ok(found) = self.places.find_entry(old, |p| *p == place) {
                    found.remove();
                }
                self.entries[place] = Count {
                    function,
                    count: least,
                    over: least,
                };
                self.put(function, place)
            }
        };
        let entry = &mut self.entries[place];
        self.order.remove(&(entry.count, place));
        entry.count += 1;
        self.order.insert((entry.count, place));
    }

    fn put(&mut self, function: u64, place: usize) -> usize {
        let entries = &self.entries;
        self.places
            .insert_unique(function, place, |p| entries[*p].function);
        place
    }

    pub fn all(&self) -> &[Count] {
        &self.entries
    }

    /// How much of it is certain.
    pub fn of(&self, function: u64) -> Option<Count> {
        let entries = &self.entries;
        self.places
            .find(function, |p| entries[*p].function == function)
            .map(|p| entries[*p])
    }

    /// Octets that it holds.
    pub fn bytes(&self) -> usize {
        let entry = std::mem::size_of::<Count>()
            + std::mem::size_of::<(u32, usize)>()
            + 2 * std::mem::size_of::<usize>();
        self.entries.len() * entry
    }
}
