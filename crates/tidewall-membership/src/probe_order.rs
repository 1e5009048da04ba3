//! The order in which members are probed: every member once per round, in a random order that is drawn anew
//! for each round, so that the time to detect a failure is bounded (SWIM, section 4.3).
use crate::MembershipActions;

pub(crate) struct ProbeOrder {
    /// All members except this one.
    members: Vec<usize>,
    /// The index of the next member to probe; 0 at the start of a round.
    position: usize,
}

impl ProbeOrder {
    pub(crate) fn new(members: impl Iterator<Item = usize>) -> ProbeOrder {
        ProbeOrder {
            members: members.collect(),
            position: 0,
        }
    }

    pub(crate) fn members(&self) -> &[usize] {
        &self.members
    }

    /// Returns the next member to probe. Panics if there is no other member.
    pub(crate) fn next_member(&mut self, actions: &mut impl MembershipActions) -> usize {
        if self.position == 0 {
            self.shuffle(actions);
        }
        let member = self.members[self.position];
        self.position = (self.position + 1) % self.members.len();
        member
    }

    fn shuffle(&mut self, actions: &mut impl MembershipActions) {
        for i in (1..self.members.len()).rev() {
            let j = actions.random_below(i as u64 + 1) as usize;
            self.members.swap(i, j);
        }
    }
}
