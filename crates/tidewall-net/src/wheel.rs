//! Deadlines in a hierarchical timer wheel for tenths of a millisecond: insert, cancel and next take constant
//! time (an entry moves down a level at most ten times in its life). Measured in `benches/wheel.rs`.
use crate::Time;

const NONE: u32 = u32::MAX;

/// Sixty-four slots a level, so that one word shows which are taken; eleven levels cover every `u64`.
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
const LEVELS: usize = 11;

/// Names one deadline; stale ones are recognised by the count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId {
    place: u32,
    count: u32,
}

#[derive(Clone, Copy)]
struct Node {
    at: Time,
    token: u64,
    before: u32,
    after: u32,
    count: u32,
    /// Level times slots plus slot, or NONE where the node is free.
    home: u32,
}

pub struct Wheel {
    now: Time,
    taken: [u64; LEVELS],
    heads: Vec<u32>,
    tails: Vec<u32>,
    nodes: Vec<Node>,
    free: u32,
    len: usize,
}

impl Default for Wheel {
    fn default() -> Wheel {
        Wheel::new(0)
    }
}

impl Wheel {
    pub fn new(now: Time) -> Wheel {
        let ends = vec![NONE; LEVELS * SLOTS];
        Wheel {
            now,
            taken: [0; LEVELS],
            heads: ends.clone(),
            tails: ends,
            nodes: Vec::new(),
            free: NONE,
            len: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn insert(&mut self, at: Time, token: u64) -> TimerId {
        let place = if self.free == NONE {
            self.nodes.push(Node {
                at,
                token,
                before: NONE,
                after: NONE,
                count: 0,
                home: NONE,
            });
            (self.nodes.len() - 1) as u32
        } else {
            let place = self.free;
            self.free = self.nodes[place as usize].after;
            place
        };
        let node = &mut self.nodes[place as usize];
        (node.at, node.token) = (at, token);
        let count = node.count;
        self.link(place);
        self.len += 1;
        TimerId { place, count }
    }

    /// False where it is over already.
    pub fn cancel(&mut self, deadline: TimerId) -> bool {
        let known = self.nodes.get(deadline.place as usize);
        if known.is_none_or(|n| n.count != deadline.count || n.home == NONE) {
            return false;
        }
        self.unlink(deadline.place);
        self.give_back(deadline.place);
        true
    }

    /// No deadline is due before this; None where there is none. Where the nearest lies far off this is the
    /// start of its slot: asking again then comes closer.
    pub fn next(&self) -> Option<Time> {
        let level = self.taken.iter().position(|t| *t != 0)?;
        Some(self.start(level, self.taken[level].trailing_zeros()))
    }

    /// Takes one deadline that is due by `now`, earliest slot first, in the order of insertion within a slot.
    pub fn pop(&mut self, now: Time) -> Option<u64> {
        while let Some(level) = self.taken.iter().position(|t| *t != 0) {
            let slot = self.taken[level].trailing_zeros();
            let start = self.start(level, slot);
            if start > now {
                break;
            }
            self.now = self.now.max(start);
            let place = self.heads[level * SLOTS + slot as usize];
            if level == 0 {
                self.unlink(place);
                let token = self.nodes[place as usize].token;
                self.give_back(place);
                return Some(token);
            }
            // The slot has begun: its deadlines move to the levels below.
            let mut next = place;
            while next != NONE {
                let after = self.nodes[next as usize].after;
                self.unlink(next);
                self.link(next);
                next = after;
            }
        }
        self.now = self.now.max(now);
        None
    }

    /// When the slot begins, among those that share the upper digits of now.
    fn start(&self, level: usize, slot: u32) -> Time {
        let shift = BITS * level as u32;
        let above = shift + BITS;
        let upper = if above >= 64 {
            0
        } else {
            self.now >> above << above
        };
        (upper | Time::from(slot) << shift).max(self.now)
    }

    fn link(&mut self, place: u32) {
        // A time that has passed is due now.
        let at = self.nodes[place as usize].at.max(self.now);
        let differs = (at ^ self.now) | (SLOTS as u64 - 1);
        let level = ((63 - differs.leading_zeros()) / BITS) as usize;
        let slot = (at >> (BITS * level as u32)) as usize % SLOTS;
        let home = level * SLOTS + slot;
        let tail = std::mem::replace(&mut self.tails[home], place);
        let node = &mut self.nodes[place as usize];
        (node.home, node.before, node.after) = (home as u32, tail, NONE);
        if tail == NONE {
            self.heads[home] = place;
            self.taken[level] |= 1 << slot;
        } else {
            self.nodes[tail as usize].after = place;
        }
    }

    fn unlink(&mut self, place: u32) {
        let Node {
            before,
            after,
            home,
            ..
        } = self.nodes[place as usize];
        let home = home as usize;
        if before == NONE {
            self.heads[home] = after;
        } else {
            self.nodes[before as usize].after = after;
        }
        if after == NONE {
            self.tails[home] = before;
        } else {
            self.nodes[after as usize].before = before;
        }
        if self.heads[home] == NONE {
            self.taken[home / SLOTS] &= !(1 << (home % SLOTS));
        }
    }

    fn give_back(&mut self, place: u32) {
        let node = &mut self.nodes[place as usize];
        node.count = node.count.wrapping_add(1);
        (node.home, node.after) = (NONE, self.free);
        self.free = place;
        self.len -= 1;
    }
}
