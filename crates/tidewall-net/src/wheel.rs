//! A hierarchical timer wheel with a resolution of a tenth of a millisecond. Inserting, cancelling and
//! finding the next expiry take constant time: a timer moves to a lower level at most ten times.
//! `benches/wheel.rs` measures it.
//!
//! Timers live in a slab (`entries`); each slot of the wheel is a doubly linked list through it, and the free
//! entries are a singly linked list.
use crate::Time;

/// Index that marks the end of a list.
const NONE: u32 = u32::MAX;

/// Bits of the expiry that each level covers. Six bits give 64 slots, so that one word holds the bitmap of a
/// level's occupied slots.
const LEVEL_BITS: u32 = 6;
/// Number of slots in a level.
const SLOTS: usize = 1 << LEVEL_BITS;
/// Number of levels: eleven levels of six bits cover every `u64`.
const LEVELS: usize = 11;

/// Identifies a timer. Once the timer has fired or was cancelled, the identifier is stale and does not match
/// a timer that reuses its entry.
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
    /// Next timer in the slot, or next free entry.
    next: u32,
    /// Incremented each time the entry is freed.
    generation: u32,
    /// `level * SLOTS + slot_in_level`, or `NONE` where the entry is free.
    slot: u32,
}

/// The timer wheel. Times are whole tenths of a millisecond on the caller's clock.
pub struct Wheel {
    now: Time,
    /// For each level, a bitmap of the slots that hold timers.
    occupied: [u64; LEVELS],
    /// First and last timer of each slot, indexed by `level * SLOTS + slot_in_level`.
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
    /// Creates an empty wheel whose time is `now`.
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

    /// Adds a timer that expires at `expires_at`, or at once where that time has passed. [`Wheel::pop`]
    /// returns its token.
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

    /// Removes a pending timer. Returns false where it has fired or was already cancelled.
    pub fn cancel(&mut self, timer: TimerId) -> bool {
        let entry = self.entries.get(timer.index as usize);
        if entry.is_none_or(|e| e.generation != timer.generation || e.slot == NONE) {
            return false;
        }
        self.unlink(timer.index);
        self.free(timer.index);
        true
    }

    /// A lower bound of the next expiry, or `None` without timers. For a timer on a higher level this is the
    /// start of its slot; once [`Wheel::pop`] has advanced the wheel to that time, the bound is closer.
    pub fn next_expiry(&self) -> Option<Time> {
        let level = self.occupied.iter().position(|bitmap| *bitmap != 0)?;
        Some(self.slot_start(level, self.occupied[level].trailing_zeros()))
    }

    /// Removes one timer that has expired by `now` and returns its token: from the earliest slot, and within
    /// a slot in order of insertion. Advances the wheel to that slot, or to `now` and returns `None` where no
    /// timer has expired.
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

    /// Moves the timers of a slot whose start has been reached to lower levels, beginning with the slot's
    /// first entry.
    fn cascade(&mut self, head: u32) {
        let mut index = head;
        while index != NONE {
            let next = self.entries[index as usize].next;
            self.unlink(index);
            self.link(index);
            index = next;
        }
    }

    /// The time at which the slot begins, with the bits above its level taken from `now`; `now` where it has
    /// begun.
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

    /// Appends an entry to the list of the slot for its expiry.
    fn link(&mut self, index: u32) {
        // A timer whose time has passed expires at the wheel's time.
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

    /// Puts an unlinked entry on the free list, which makes its identifiers stale.
    fn free(&mut self, index: u32) {
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        (entry.slot, entry.next) = (NONE, self.first_free);
        self.first_free = index;
        self.len -= 1;
    }
}
