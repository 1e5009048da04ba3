//! What members report about each other, and which of two reports is the newer one.

/// The state of a member, the least severe first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// Somebody got no answer; until it is declared dead it still counts as alive.
    Suspect,
    /// It did not refute a suspicion in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// All states, in their order.
    pub const ALL: [MemberState; 4] = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
}

/// An update about a member. Of two the greater one is valid, so the order of the fields matters: the newer incarnation; of
/// one incarnation the newer refutation; of one refutation the more severe state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberUpdate {
    /// Wall-clock milliseconds of the member's start.
    pub incarnation: u64,
    /// Raised by the member itself to refute what is reported about it (SWIM calls this one the incarnation number).
    pub refutation: u32,
    /// The reported state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// The same with another state.
    pub(crate) fn with_state(self, state: MemberState) -> MemberUpdate {
        MemberUpdate { state, ..self }
    }

    /// Whether it says that the member can be reached.
    pub(crate) fn is_alive(self) -> bool {
        self.state <= MemberState::Suspect
    }
}
