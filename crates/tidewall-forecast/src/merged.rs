//! The reports of all members about the arrivals of one function, by slot. A report states how many arrivals
//! one incarnation of a member has counted in a slot so far. The highest count of each incarnation is valid,
//! and the counts of all incarnations are added. Reports may therefore arrive late, repeatedly, in any order,
//! or by way of other members, and no arrival is counted twice. This is a grow-only counter, one of the
//! state-based CRDTs (Shapiro, Preguiça, Baquero, Zawirski, "Conflict-free Replicated Data Types", 2011).
use std::collections::{BTreeMap, BTreeSet};

/// The number of arrivals that one incarnation of a member has counted in one slot so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountReport {
    /// The number of the slot.
    pub slot: u64,
    /// The number of the member.
    pub member: u16,
    /// The incarnation of the member: the wall-clock time of its start in milliseconds.
    pub incarnation: u64,
    /// The arrivals that this incarnation counted in the slot.
    pub count: u32,
}

/// The incarnation of a member that counted. Ordered by member, then by incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Reporter {
    member: u16,
    incarnation: u64,
}

/// The arrivals of a slot as far as they were reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCount {
    /// The arrivals that all members counted.
    pub arrivals: u64,
    /// The number of members that reported.
    pub members: usize,
}

/// The reports about one function, for the newest slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedCounts {
    /// Indexed by slot: the count of each incarnation of each member.
    slots: BTreeMap<u64, BTreeMap<Reporter, u32>>,
    /// The number of slots that are kept. A report about an older slot is ignored.
    slots_kept: usize,
}

/// The maximum number of incarnations of one member in one slot. Beyond it, the oldest incarnation is
/// dropped. The limit bounds the memory used for a member that restarts repeatedly.
const MAX_INCARNATIONS_PER_MEMBER: usize = 8;

/// The approximate size of a slot in bytes in addition to its counts: its number and the header of its map.
const SLOT_OVERHEAD_BYTES: usize = 24;

impl MergedCounts {
    /// Creates empty counts that keep `slots_kept` slots, at least one.
    pub fn new(slots_kept: usize) -> MergedCounts {
        MergedCounts {
            slots: BTreeMap::new(),
            slots_kept: slots_kept.max(1),
        }
    }

    /// Applies a report. Returns false if its slot is too old to be kept.
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

    /// Applies all reports that `other` contains.
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

    /// The arrivals of a slot; zero arrivals of zero members if the slot is unknown.
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

    /// The approximate size of the counts in bytes.
    pub fn size_bytes(&self) -> usize {
        self.slots
            .values()
            .map(|counts| {
                SLOT_OVERHEAD_BYTES + counts.len() * std::mem::size_of::<(Reporter, u32)>()
            })
            .sum()
    }
}

/// Drops the oldest incarnation of a member if the member has too many.
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
