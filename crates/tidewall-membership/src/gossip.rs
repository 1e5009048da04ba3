//! What was heard last of each member, to be told on: least told first, each a bounded number of times.
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    Alive,
    Suspect,
    Dead,
    /// It said so itself.
    Left,
}

impl MemberState {
    pub const ALL: [MemberState; 4] = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
}

/// What is said of a member. What has the newer life is the truth; of one life, the newer turn (a member takes a new
/// turn to refute what is said of it); of one turn, the worse standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberUpdate {
    pub incarnation: u64,
    pub refutation: u32,
    pub state: MemberState,
}

pub struct GossipQueue {
    /// By member: where its word stands in the order, while it is told on.
    told: Vec<Option<(bool, u32)>>,
    /// Whether it can wait, how often it was told, whose it is.
    order: BTreeSet<(bool, u32, usize)>,
}

impl GossipQueue {
    pub fn new(members: usize) -> GossipQueue {
        GossipQueue {
            told: vec![None; members],
            order: BTreeSet::new(),
        }
    }

    /// A rumour reaches all members in about log2 of their number of tellings by each; three times that is SWIM's usual. Who is
    /// there is also heard from itself: once is enough.
    fn most(&self, waits: bool) -> u32 {
        let logs = (self.told.len() as u32 + 1).ilog2() + 1;
        if waits {
            logs
        } else {
            3 * logs
        }
    }

    /// There is a new word of that member. The usual words of a start wait behind all others: among hundreds of them
    /// one of a loss would come late.
    pub fn new_word(&mut self, member: usize, waits: bool) {
        if let Some((was, count)) = self.told[member].replace((waits, 0)) {
            self.order.remove(&(was, count, member));
        }
        self.order.insert((waits, 0, member));
    }

    /// The next member to tell of; it counts as told once more.
    pub fn tell(&mut self) -> Option<usize> {
        let (waits, count, member) = self.order.pop_first()?;
        if count + 1 < self.most(waits) {
            self.told[member] = Some((waits, count + 1));
            self.order.insert((waits, count + 1, member));
        } else {
            self.told[member] = None;
        }
        Some(member)
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }
}
