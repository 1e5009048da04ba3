//! The deduplication table: what became of the requests with an idempotency key. A request is in flight at this member,
//! in flight at the other one, or has a response that is given again to whoever repeats it.
//!
//! The table is bounded by count and by time. Entries live in a slab; the hash index holds their slots and no keys of its
//! own.

use crate::Time;
use hashbrown::HashTable;
use rustc_hash::FxHasher;
use slab::Slab;
use std::collections::VecDeque;
use std::hash::Hasher;

/// Responses that are kept at most: at a thousand requests a second, four minutes' worth.
pub const MAX_ENTRIES: usize = 262_144;

/// Where a request with an idempotency key is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestLocation {
    /// In flight at this member, in this slot of its requests.
    Local(usize),
    /// In flight at the other member, in this slot of the replicated requests.
    Remote(usize),
    /// Completed, rejected or failed.
    Responded {
        /// The caller's number of the disposition.
        disposition: u8,
        /// What the response carried.
        payload: Box<[u8]>,
    },
}

/// One request of the table.
pub struct DeduplicationEntry {
    /// The request class; the same key in two classes names two requests.
    pub class: usize,
    /// Never empty.
    pub idempotency_key: Box<[u8]>,
    /// Where the request is.
    pub location: RequestLocation,
    /// Differs after each change, so that the expiry of a former response does not remove a newer one.
    generation: u64,
}

/// When a response is removed, unless its entry changed meanwhile.
struct Expiry {
    at: Time,
    slot: usize,
    generation: u64,
}

/// Requests by class and idempotency key.
#[derive(Default)]
pub struct DeduplicationTable {
    /// Slots of `entries`, by the hash of class and key.
    index: HashTable<usize>,
    entries: Slab<DeduplicationEntry>,
    /// In the order in which the responses were recorded.
    expiries: VecDeque<Expiry>,
    last_generation: u64,
}

fn hash(class: usize, idempotency_key: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_usize(class);
    hasher.write(idempotency_key);
    hasher.finish()
}

impl DeduplicationTable {
    fn slot(&self, class: usize, idempotency_key: &[u8]) -> Option<usize> {
        let matches = |slot: &usize| {
            let entry = &self.entries[*slot];
            entry.class == class && *entry.idempotency_key == *idempotency_key
        };
        self.index
            .find(hash(class, idempotency_key), matches)
            .copied()
    }

    /// Where this request is, as far as it is known.
    pub fn lookup(
        &mut self,
        now: Time,
        class: usize,
        idempotency_key: &[u8],
    ) -> Option<&RequestLocation> {
        self.remove_expired(now);
        let slot = self.slot(class, idempotency_key)?;
        Some(&self.entries[slot].location)
    }

    fn remove_slot(&mut self, slot: usize) {
        let entry = self.entries.remove(slot);
        let hash = hash(entry.class, &entry.idempotency_key);
        if let Ok(found) = self.index.find_entry(hash, |other| *other == slot) {
            found.remove();
        }
    }

    /// Records that the request is in flight, here or at the other member. A request without a key is not recorded.
    pub fn insert_in_flight(
        &mut self,
        class: usize,
        idempotency_key: &[u8],
        location: RequestLocation,
    ) {
        if !idempotency_key.is_empty() {
            self.insert(class, idempotency_key, location);
        }
    }

    fn insert(&mut self, class: usize, idempotency_key: &[u8], location: RequestLocation) -> usize {
        self.last_generation += 1;
        let generation = self.last_generation;
        if let Some(slot) = self.slot(class, idempotency_key) {
            let entry = &mut self.entries[slot];
            (entry.location, entry.generation) = (location, generation);
            return slot;
        }
        let slot = self.entries.insert(DeduplicationEntry {
            class,
            idempotency_key: idempotency_key.into(),
            location,
            generation,
        });
        let entries = &self.entries;
        self.index
            .insert_unique(hash(class, idempotency_key), slot, |other| {
                hash(entries[*other].class, &entries[*other].idempotency_key)
            });
        slot
    }

    /// Records the response, to be given again until `expires_at`. A request without a key is not recorded.
    pub fn record_response(
        &mut self,
        now: Time,
        class: usize,
        idempotency_key: &[u8],
        disposition: u8,
        payload: &[u8],
        expires_at: Time,
    ) {
        if idempotency_key.is_empty() {
            return;
        }
        let response = RequestLocation::Responded {
            disposition,
            payload: payload.into(),
        };
        let slot = self.insert(class, idempotency_key, response);
        self.expiries.push_back(Expiry {
            at: expires_at,
            slot,
            generation: self.last_generation,
        });
        self.remove_expired(now);
    }

    /// Forgets the request: whoever repeats it starts it anew.
    pub fn remove(&mut self, class: usize, idempotency_key: &[u8]) {
        if let Some(slot) = self.slot(class, idempotency_key) {
            self.remove_slot(slot);
        }
    }

    /// Whether one more request may be admitted: no response is dropped before its time, or its repeat would run again.
    pub fn has_capacity(&self) -> bool {
        self.expiries.len() < MAX_ENTRIES
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some(expiry) = self.expiries.pop_front_if(|expiry| expiry.at <= now) {
            let current = self.entries.get(expiry.slot);
            if current.is_some_and(|entry| entry.generation == expiry.generation) {
                self.remove_slot(expiry.slot);
            }
        }
    }

    /// The first entry at or after a slot, with its own slot, in the order of slots: a cursor that stays valid while the
    /// table changes.
    pub fn next_entry_from(&self, slot: usize) -> Option<(usize, &DeduplicationEntry)> {
        (slot..self.entries.capacity()).find_map(|slot| Some((slot, self.entries.get(slot)?)))
    }

    /// Removes responses and what is in flight at the other member; what is in flight here stays.
    pub fn retain_local(&mut self) {
        for slot in 0..self.entries.capacity() {
            let entry = self.entries.get(slot);
            if entry.is_some_and(|entry| !matches!(entry.location, RequestLocation::Local(_))) {
                self.remove_slot(slot);
            }
        }
        self.expiries.clear();
    }

    /// The number of entries, in flight or answered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
