//! The deduplication table: the state of each request with an idempotency key. A request is in flight at this
//! member, is in flight at the other one, or has a response, which is sent again in reply to a repeat.
//!
//! The table is bounded by entry count and by time. Entries are stored in a slab; the hash index stores only
//! their slots, so that each key is stored once.

use crate::Time;
use hashbrown::HashTable;
use rustc_hash::FxHasher;
use slab::Slab;
use std::collections::VecDeque;
use std::hash::Hasher;

/// The maximum number of stored responses: about four minutes' worth at a thousand requests per second.
pub const MAX_ENTRIES: usize = 262_144;

/// Where a request with an idempotency key is in flight, or its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestLocation {
    /// In flight at this member, in this slot of its requests.
    Local(usize),
    /// In flight at the other member, in this slot of the requests replicated from there.
    Remote(usize),
    /// Completed, rejected or failed.
    Responded {
        /// The disposition, as a number defined by the caller.
        disposition: u8,
        /// The payload of the response.
        payload: Box<[u8]>,
    },
}

/// A request in the deduplication table.
pub struct DeduplicationEntry {
    /// The request class; the same key in two classes names two requests.
    pub class: usize,
    /// Never empty.
    pub idempotency_key: Box<[u8]>,
    /// Where the request is in flight, or its response.
    pub location: RequestLocation,
    /// Changes with each update of the entry, so that the expiry of an earlier response does not remove a
    /// later one.
    generation: u64,
}

/// When to remove a response; ignored if its entry has changed since, as its generation then differs.
struct Expiry {
    at: Time,
    slot: usize,
    generation: u64,
}

/// Requests by class and idempotency key.
#[derive(Default)]
pub struct DeduplicationTable {
    /// Maps the hash of class and key to a slot of `entries`.
    index: HashTable<usize>,
    entries: Slab<DeduplicationEntry>,
    /// The expiries in the order in which the responses were recorded.
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

    /// Returns where this request is in flight, or its response; `None` if the table has no entry for it.
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

    /// Records that the request is in flight, at this or the other member. A request without a key is not
    /// recorded.
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

    /// Records the response, which answers repeats until `expires_at`. A request without a key is not
    /// recorded.
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

    /// Removes the request: a repeat of it is then treated as a new request.
    pub fn remove(&mut self, class: usize, idempotency_key: &[u8]) {
        if let Some(slot) = self.slot(class, idempotency_key) {
            self.remove_slot(slot);
        }
    }

    /// Whether one more request may be admitted. A full table refuses new requests rather than dropping a
    /// response before it expires, because a repeat of that request would be executed again.
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

    /// Returns the first entry at or after `slot`, and the slot of that entry. Iterating by slot stays valid
    /// while the table changes.
    pub fn next_entry_from(&self, slot: usize) -> Option<(usize, &DeduplicationEntry)> {
        (slot..self.entries.capacity()).find_map(|slot| Some((slot, self.entries.get(slot)?)))
    }

    /// Removes all responses and all requests in flight at the other member, and keeps the requests in flight
    /// at this one.
    pub fn retain_local(&mut self) {
        for slot in 0..self.entries.capacity() {
            let entry = self.entries.get(slot);
            if entry.is_some_and(|entry| !matches!(entry.location, RequestLocation::Local(_))) {
                self.remove_slot(slot);
            }
        }
        self.expiries.clear();
    }

    /// The number of entries: requests in flight and responses.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
