//! What became of the events of a pair, by type and mark: in hand here, in hand at the other member, or answered. Bounded
//! by count and by time. Entries live in a slab; the table finds their places and holds no marks of its own.
use crate::Time;
use hashbrown::HashTable;
use rustc_hash::FxHasher;
use slab::Slab;
use std::collections::VecDeque;
use std::hash::Hasher;

/// Answers that are kept at most: at a thousand events a second, four minutes' worth.
pub const MAX_ENTRIES: usize = 262_144;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestLocation {
    Local(usize),
    Remote(usize),
    /// The word's number and the payload.
    Responded(u8, Box<[u8]>),
}

pub struct DeduplicationEntry {
    pub class: usize,
    pub idempotency_key: Box<[u8]>,
    pub location: RequestLocation,
    pub until: Time,
    count: u64,
}

#[derive(Default)]
pub struct DeduplicationTable {
    keys: HashTable<usize>,
    entries: Slab<DeduplicationEntry>,
    /// When answers end, oldest first.
    ends: VecDeque<(Time, usize, u64)>,
    count: u64,
}

fn hash(typ: usize, mark: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_usize(typ);
    hasher.write(mark);
    hasher.finish()
}

impl DeduplicationTable {
    fn key(&self, typ: usize, mark: &[u8]) -> Option<usize> {
        let same = |key: &usize| {
            let entry = &self.entries[*key];
            entry.class == typ && *entry.idempotency_key == *mark
        };
        self.keys.find(hash(typ, mark), same).copied()
    }

    pub fn lookup(&mut self, now: Time, typ: usize, mark: &[u8]) -> Option<&RequestLocation> {
        self.forget(now);
        let key = self.key(typ, mark)?;
        Some(&self.entries[key].location)
    }

    fn drop_key(&mut self, key: usize) {
        let entry = self.entries.remove(key);
        if let Ok(found) = self
            .keys
            .find_entry(hash(entry.class, &entry.idempotency_key), |k| *k == key)
        {
            found.remove();
        }
    }

    /// In hand, here or there.
    pub fn insert_in_flight(&mut self, typ: usize, mark: &[u8], place: RequestLocation) {
        if !mark.is_empty() {
            self.put(typ, mark, place, Time::MAX);
        }
    }

    fn put(&mut self, typ: usize, mark: &[u8], place: RequestLocation, until: Time) -> usize {
        self.count += 1;
        let count = self.count;
        if let Some(key) = self.key(typ, mark) {
            let entry = &mut self.entries[key];
            (entry.location, entry.until, entry.count) = (place, until, count);
            return key;
        }
        let key = self.entries.insert(DeduplicationEntry {
            class: typ,
            idempotency_key: mark.into(),
            location: place,
            until,
            count,
        });
        let entries = &self.entries;
        self.keys.insert_unique(hash(typ, mark), key, |k| {
            hash(entries[*k].class, &entries[*k].idempotency_key)
        });
        key
    }

    /// Its answer is given again until then.
    pub fn record_response(
        &mut self,
        now: Time,
        typ: usize,
        mark: &[u8],
        word: u8,
        payload: &[u8],
        until: Time,
    ) {
        if mark.is_empty() {
            return;
        }
        let key = self.put(
            typ,
            mark,
            RequestLocation::Responded(word, payload.into()),
            until,
        );
        self.ends.push_back((until, key, self.count));
        self.forget(now);
    }

    /// It may be asked anew.
    pub fn remove(&mut self, typ: usize, mark: &[u8]) {
        if let Some(key) = self.key(typ, mark) {
            self.drop_key(key);
        }
    }

    /// Whether one more event may be taken: no answer is forgotten before its time, or its repeat would run again.
    pub fn has_capacity(&self) -> bool {
        self.ends.len() < MAX_ENTRIES
    }

    fn forget(&mut self, now: Time) {
        while self.ends.front().is_some_and(|e| e.0 <= now) {
            let Some((_, key, count)) = self.ends.pop_front() else {
                return;
            };
            if self.entries.get(key).is_some_and(|e| e.count == count) {
                self.drop_key(key);
            }
        }
    }

    /// The next entry from this place on, in the order of places.
    pub fn next(&self, from: usize) -> Option<(usize, &DeduplicationEntry)> {
        (from..self.entries.capacity()).find_map(|key| Some((key, self.entries.get(key)?)))
    }

    /// What the other member told is void; what is in hand here stays.
    pub fn clear_responses(&mut self) {
        for key in 0..self.entries.capacity() {
            let void = self
                .entries
                .get(key)
                .is_some_and(|e| !matches!(e.location, RequestLocation::Local(_)));
            if void {
                self.drop_key(key);
            }
        }
        self.ends.clear();
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
