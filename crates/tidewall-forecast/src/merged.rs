//! What all members report about one function's arrivals, slot by slot. A report says: in that slot I have, in this
//! incarnation, counted so many so far. Of one incarnation the highest count is valid, and incarnations are added up. So
//! reports may arrive late, twice, in any order, or by way of other members, and nothing is counted twice: a grow-only
//! counter, one of the state-based CRDTs (Shapiro, Preguiça, Baquero, Zawirski, "Conflict-free Replicated Data Types", 2011).
use std::collections::{BTreeMap, BTreeSet};

/// What one member counted in one slot so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountReport {
    /// The number of the slot.
    pub slot: u64,
    /// The number of the member.
    pub member: u16,
    /// The incarnation of the member, wall-clock milliseconds of its start.
    pub incarnation: u64,
    /// Arrivals that this incarnation counted in the slot.
    pub count: u32,
}

/// Who counted; ordered by member, then by incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Reporter {
    member: u16,
    incarnation: u64,
}

/// A slot's arrivals as far as they were reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCount {
    /// Arrivals that all members counted.
    pub arrivals: u64,
    /// Of how many members there is a report.
    pub members: usize,
}

/// The reports about one function, of the newest slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedCounts {
    /// By slot: what each incarnation of each member counted.
    slots: BTreeMap<u64, BTreeMap<Reporter, u32>>,
    /// Slots kept; a report of an older one is of no more use.
    slots_kept: usize,
}

/// Incarnations of one member in one slot at most; beyond, the oldest one is dropped. It bounds the memory that a member
/// which restarts again and again can take.
const MAX_INCARNATIONS_PER_MEMBER: usize = 8;

/// Bytes of a slot beside its counts, about: its number and the head of its map.
const SLOT_OVERHEAD_BYTES: usize = 24;

impl MergedCounts {
    /// Keeps that many slots, at least one.
    pub fn new(slots_kept: usize) -> MergedCounts {
        MergedCounts {
            slots: BTreeMap::new(),
            slots_kept: slots_kept.max(1),
        }
    }

    /// Takes in a report. False where its slot is too old to be kept.
    pub fn apply(&mut self, report: CountReport) -> bool {
        let newest_known = self.slots.keys().next_back().copied();
        let newest = newest_known.map_or(report.slot, |known| known.max(report.slot));
        let kept = self.slots_kept as u64;
        if report.slot + kept <= newest {
            return false;
        }
        let slot = self.slots.entry(report.slot).or_default();
        let reporter = Reporter {
            member: report.member,
            incarnation: report.incarnation,
        };
        let count = slot.entry(reporter).or_insert(0);
        *count = (*count).max(report.count);
        drop_oldest_incarnation(slot, report.member);
        while self
            .slots
            .first_key_value()
            .is_some_and(|(oldest, _)| oldest + kept <= newest)
        {
            self.slots.pop_first();
        }
        true
    }

    /// Takes in all that another one knows.
    pub fn merge(&mut self, other: &MergedCounts) {
        for (slot, counts) in &other.slots {
            for (reporter, count) in counts {
                self.apply(CountReport {
                    slot: *slot,
                    member: reporter.member,
                    incarnation: reporter.incarnation,
                    count: *count,
                });
            }
        }
    }

    /// The arrivals of a slot; none of no member where the slot is unknown.
    pub fn slot(&self, slot: u64) -> SlotCount {
        let Some(counts) = self.slots.get(&slot) else {
            return SlotCount::default();
        };
        let members: BTreeSet<u16> = counts.keys().map(|reporter| reporter.member).collect();
        SlotCount {
            arrivals: counts.values().map(|count| u64::from(*count)).sum(),
            members: members.len(),
        }
    }

    /// Bytes that the counts take, about.
    pub fn size_bytes(&self) -> usize {
        self.slots
            .values()
            .map(|counts| {
                SLOT_OVERHEAD_BYTES + counts.len() * std::mem::size_of::<(Reporter, u32)>()
            })
            .sum()
    }
}

/// Drops a member's oldest incarnation where it has too many.
fn drop_oldest_incarnation(slot: &mut BTreeMap<Reporter, u32>, member: u16) {
    let of_member = |incarnation| Reporter {
        member,
        incarnation,
    };
    let mut incarnations = slot.range(of_member(0)..=of_member(u64::MAX));
    let oldest = incarnations.next().map(|(reporter, _)| *reporter);
    let newer = incarnations.count();
    if let Some(oldest) = oldest.filter(|_| newer >= MAX_INCARNATIONS_PER_MEMBER) {
        slot.remove(&oldest);
    }
}
