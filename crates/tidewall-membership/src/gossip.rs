//! The queue of updates to be gossiped. Updates that were sent least often go first, and each is sent a
//! bounded number of times.
use std::collections::BTreeSet;

/// The priority of an update. Urgent updates go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum GossipPriority {
    Urgent,
    /// The update says that a member is alive and was never suspected. Every member reports this at a start;
    /// among hundreds of such updates, an update about a failure would be delayed.
    Deferrable,
}

/// The order in which updates are sent: by priority, then by the number of transmissions, then by member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GossipEntry {
    priority: GossipPriority,
    transmissions: u32,
    member: usize,
}

/// Holds at most one update about each member. Only the member is queued: what is sent is the newest update
/// about it.
pub(crate) struct GossipQueue {
    /// Indexed by member: its entry while it is queued.
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

    /// The number of times that an update is sent. Gossip reaches all of n members if each sends an update
    /// about log2(n) times; SWIM's usual limit is three times that. That a member is alive is also learned
    /// from the member itself, so a third is enough.
    fn transmission_limit(&self, priority: GossipPriority) -> u32 {
        let logarithm = (self.entries.len() as u32 + 1).ilog2() + 1;
        match priority {
            GossipPriority::Urgent => 3 * logarithm,
            GossipPriority::Deferrable => logarithm,
        }
    }

    /// Queues a new update about a member.
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

    /// Returns the member whose update is to be sent next, and counts the transmission.
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
