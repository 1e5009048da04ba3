//! Updates that are still to be gossiped: those sent least often first, each a bounded number of times.
use std::collections::BTreeSet;

/// Urgent updates go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum GossipPriority {
    Urgent,
    /// That a member is alive and never was suspected, as all report at a start: among hundreds of these an update about a
    /// failure would come late.
    Deferrable,
}

/// The order in which updates are sent: by priority, then by how often they were sent, then by member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GossipEntry {
    priority: GossipPriority,
    transmissions: u32,
    member: usize,
}

/// At most one update of each member. Only its member is queued: what is sent is the newest update about it.
pub(crate) struct GossipQueue {
    /// By member: its entry, while it is queued.
    entries: Vec<Option<GossipEntry>>,
    order: BTreeSet<GossipEntry>,
}

impl GossipQueue {
    pub(crate) fn new(members: usize) -> GossipQueue {
        GossipQueue {
            entries: vec![None; members],
            order: BTreeSet::new(),
        }
    }

    /// Gossip reaches all of n members when each sends an update about log2(n) times; SWIM's usual limit is three times
    /// that. Of a member that is alive others hear from itself as well: a third is enough.
    fn transmission_limit(&self, priority: GossipPriority) -> u32 {
        let logarithm = (self.entries.len() as u32 + 1).ilog2() + 1;
        match priority {
            GossipPriority::Urgent => 3 * logarithm,
            GossipPriority::Deferrable => logarithm,
        }
    }

    /// There is a new update about that member.
    pub(crate) fn enqueue(&mut self, member: usize, priority: GossipPriority) {
        let entry = GossipEntry {
            priority,
            transmissions: 0,
            member,
        };
        if let Some(previous) = self.entries[member].replace(entry) {
            self.order.remove(&previous);
        }
        self.order.insert(entry);
    }

    /// The member whose update is to be sent next; it counts as sent.
    pub(crate) fn pop_next(&mut self) -> Option<usize> {
        let entry = self.order.pop_first()?;
        let sent = GossipEntry {
            transmissions: entry.transmissions + 1,
            ..entry
        };
        let remains = sent.transmissions < self.transmission_limit(entry.priority);
        self.entries[entry.member] = remains.then_some(sent);
        if remains {
            self.order.insert(sent);
        }
        Some(entry.member)
    }
}
