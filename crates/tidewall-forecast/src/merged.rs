//! What all members told of one function's arrivals, slot by slot. A word says "in that slot I, in this life, have counted so
//! many so far": of one life the highest counts, lives are added up. So words may come late, twice, in any order, or by way
//! of others, and nothing is counted twice (state that any message can be applied to any number of times; Shapiro and others,
//! 2011). What a slot holds, and of how many members, is known to whoever reads it.
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    pub slot: u64,
    pub member: u16,
    pub life: u64,
    pub count: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// By slot: each member's lives, and what each counted.
    slots: BTreeMap<u64, BTreeMap<(u16, u64), u32>>,
    /// Slots kept: later words of older ones are of no more use.
    keep: usize,
}

/// Lives of one member in one slot at most; beyond, the oldest makes room, as it has long been told.
const LIVES: usize = 8;

impl Merged {
    pub fn new(keep: usize) -> Merged {
        Merged {
            slots: BTreeMap::new(),
            keep: keep.max(1),
        }
    }

    /// False where it is too old to be kept.
    pub fn told(&mut self, word: Word) -> bool {
        let newest = self
            .slots
            .keys()
            .next_back()
            .copied()
            .unwrap_or(word.slot)
            .max(word.slot);
        if word.slot + self.keep as u64 <= newest {
            return false;
        }
        let slot = self.slots.entry(word.slot).or_default();
        let count = slot.entry((word.member, word.life)).or_insert(0);
        *count = (*count).max(word.count);
        let lives = slot.range((word.member, 0)..=(word.member, u64::MAX));
        if lives.clone().count() > LIVES {
            let oldest = *lives.clone().next().expect("there are some").0;
            slot.remove(&oldest);
        }
        while self
            .slots
            .first_key_value()
            .is_some_and(|s| s.0 + self.keep as u64 <= newest)
        {
            self.slots.pop_first();
        }
        true
    }

    /// All that another one knows.
    pub fn merge(&mut self, other: &Merged) {
        for (slot, lives) in &other.slots {
            for ((member, life), count) in lives {
                self.told(Word {
                    slot: *slot,
                    member: *member,
                    life: *life,
                    count: *count,
                });
            }
        }
    }

    /// Arrivals in a slot, and of how many members there is a word.
    pub fn slot(&self, slot: u64) -> (u64, usize) {
        let Some(lives) = self.slots.get(&slot) else {
            return (0, 0);
        };
        let members: std::collections::BTreeSet<u16> = lives.keys().map(|k| k.0).collect();
        (lives.values().map(|c| u64::from(*c)).sum(), members.len())
    }

    pub fn newest(&self) -> Option<u64> {
        self.slots.keys().next_back().copied()
    }

    /// Octets that it holds.
    pub fn bytes(&self) -> usize {
        self.slots
            .values()
            .map(|l| 24 + l.len() * std::mem::size_of::<((u16, u64), u32)>())
            .sum()
    }
}
