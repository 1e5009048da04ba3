//! A hierarchical timer wheel with a resolution of a tenth of a millisecond. Insert, cancel and look-up of the next
//! expiry take constant time: a timer moves to a lower level at most ten times. Measured in `benches/wheel.rs`.
//!
//! Timers live in a slab (`entries`); each slot of the wheel is a doubly linked list through it, and the free entries
//! are a singly linked list.
use crate::Time;

/// Index that ends a list.
const NONE: u32 = u32::MAX;

/// Each level stands for six bits of the expiry: 64 slots, so that one word is the bitmap of a level's occupied slots.
const LEVEL_BITS: u32 = 6;
/// Slots of a level.
const SLOTS: usize = 1 << LEVEL_BITS;
/// Eleven levels of six bits cover every `u64`.
const LEVELS: usize = 11;

/// Identifies one timer. After the timer has fired or was cancelled the identifier is stale and never matches the
/// timer that reuses its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId {
    index: u32,
    generation: u32,
}

/// A timer, or a free entry.
#[derive(Clone, Copy)]
struct Entry {
    expires_at: Time,
    token: u64,
    previous: u32,
    /// Next timer of the slot, or next free entry.
    next: u32,
    /// Grows each time the entry is freed.
    generation: u32,
    /// Level times slots plus slot, or NONE where the entry is free.
    slot: u32,
}

/// The timer wheel. Times are whole tenths of a millisecond on the caller's clock.
pub struct Wheel {
    now: Time,
    /// For each level a bitmap of its slots that hold timers.
    occupied: [u64; LEVELS],
    /// First and last timer of each slot, by level times slots plus slot.
    heads: Vec<u32>,
    tails: Vec<u32>,
    entries: Vec<Entry>,
    first_free: u32,
    len: usize,
}

impl Default for Wheel {
    fn default() -> Wheel {
        Wheel::new(0)
    }
}

impl Wheel {
    /// An empty wheel whose time is `now`.
    pub fn new(now: Time) -> Wheel {
        let empty_lists = vec![NONE; LEVELS * SLOTS];
        Wheel {
            now,
            occupied: [0; LEVELS],
            heads: empty_lists.clone(),
            tails: empty_lists,
            entries: Vec::new(),
            first_free: NONE,
            len: 0,
        }
    }

    /// Number of pending timers.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a timer that expires at `expires_at`, at once where that has passed; [`Wheel::pop`] returns its token.
    pub fn insert(&mut self, expires_at: Time, token: u64) -> TimerId {
        let index = if self.first_free == NONE {
            self.entries.push(Entry {
                expires_at,
                token,
                previous: NONE,
                next: NONE,
                generation: 0,
                slot: NONE,
            });
            (self.entries.len() - 1) as u32
        } else {
            let index = self.first_free;
            self.first_free = self.entries[index as usize].next;
            index
        };
        let entry = &mut self.entries[index as usize];
        (entry.expires_at, entry.token) = (expires_at, token);
        let generation = entry.generation;
        self.link(index);
        self.len += 1;
        TimerId { index, generation }
    }

    /// Removes a pending timer. False where it has fired or was cancelled already.
    pub fn cancel(&mut self, timer: TimerId) -> bool {
        let entry = self.entries.get(timer.index as usize);
        if entry.is_none_or(|e| e.generation != timer.generation || e.slot == NONE) {
            return false;
        }
        self.unlink(timer.index);
        self.free(timer.index);
        true
    }

    /// A lower bound of the next expiry, or None without timers. Where the next timer is far off this is the start of
    /// its slot: a call at that time returns a closer bound.
    pub fn next_expiry(&self) -> Option<Time> {
        let level = self.occupied.iter().position(|bitmap| *bitmap != 0)?;
        Some(self.slot_start(level, self.occupied[level].trailing_zeros()))
    }

    /// Advances the wheel to `now` at most and removes one timer that has expired by then: the earliest slot first,
    /// in order of insertion within a slot. Returns its token, or None when no timer has expired.
    pub fn pop(&mut self, now: Time) -> Option<u64> {
        while let Some(level) = self.occupied.iter().position(|bitmap| *bitmap != 0) {
            let slot = self.occupied[level].trailing_zeros();
            let start = self.slot_start(level, slot);
            if start > now {
                break;
            }
            self.now = self.now.max(start);
            let index = self.heads[level * SLOTS + slot as usize];
            if level == 0 {
                self.unlink(index);
                let token = self.entries[index as usize].token;
                self.free(index);
                return Some(token);
            }
            self.cascade(index);
        }
        self.now = self.now.max(now);
        None
    }

    /// Moves the timers of a slot that has begun, from its first one on, to lower levels.
    fn cascade(&mut self, head: u32) {
        let mut index = head;
        while index != NONE {
            let next = self.entries[index as usize].next;
            self.unlink(index);
            self.link(index);
            index = next;
        }
    }

    /// When the slot begins, among the times that share the bits above its level with `now`; `now` where it has begun.
    fn slot_start(&self, level: usize, slot: u32) -> Time {
        let shift = LEVEL_BITS * level as u32;
        let above = shift + LEVEL_BITS;
        let upper = if above >= 64 {
            0
        } else {
            self.now >> above << above
        };
        (upper | Time::from(slot) << shift).max(self.now)
    }

    /// Appends an entry to the slot of its expiry.
    fn link(&mut self, index: u32) {
        // A time that has passed expires now.
        let expires_at = self.entries[index as usize].expires_at.max(self.now);
        let differing_bits = (expires_at ^ self.now) | (SLOTS as u64 - 1);
        let level = ((63 - differing_bits.leading_zeros()) / LEVEL_BITS) as usize;
        let slot_in_level = (expires_at >> (LEVEL_BITS * level as u32)) as usize % SLOTS;
        let slot = level * SLOTS + slot_in_level;
        let tail = std::mem::replace(&mut self.tails[slot], index);
        let entry = &mut self.entries[index as usize];
        (entry.slot, entry.previous, entry.next) = (slot as u32, tail, NONE);
        if tail == NONE {
            self.heads[slot] = index;
            self.occupied[level] |= 1 << slot_in_level;
        } else {
            self.entries[tail as usize].next = index;
        }
    }

    /// Removes an entry from its slot's list.
    fn unlink(&mut self, index: u32) {
        let Entry {
            previous,
            next,
            slot,
            ..
        } = self.entries[index as usize];
        let slot = slot as usize;
        if previous == NONE {
            self.heads[slot] = next;
        } else {
            self.entries[previous as usize].next = next;
        }
        if next == NONE {
            self.tails[slot] = previous;
        } else {
            self.entries[next as usize].previous = previous;
        }
        if self.heads[slot] == NONE {
            self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
        }
    }

    /// Puts an unlinked entry on the free list; its identifiers are stale from now on.
    fn free(&mut self, index: u32) {
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        (entry.slot, entry.next) = (NONE, self.first_free);
        self.first_free = index;
        self.len -= 1;
    }
}
