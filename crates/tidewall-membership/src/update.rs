//! What members report about each other, and which of two reports is newer.

/// The state of a member, ordered by severity, least severe first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// Some member got no answer from it. It still counts as alive until it is declared dead.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member announced its departure.
    Left,
}

impl MemberState {
    /// All states in ascending order of severity.
    pub const ALL: [MemberState; 4] = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
}

/// An update about a member. The greater of two updates is valid, so the order of the fields matters: first
/// the newer incarnation, then the newer refutation, then the more severe state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberUpdate {
    /// The wall-clock time of the member's start in milliseconds.
    pub incarnation: u64,
    /// Incremented by the member itself to refute what is reported about it (SWIM calls this the incarnation
    /// number).
    pub refutation: u32,
    /// The reported state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// The same update with another state.
    pub(crate) fn with_state(self, state: MemberState) -> MemberUpdate {
        MemberUpdate { state, ..self }
    }

    /// Whether the update says that the member is reachable.
    pub(crate) fn is_alive(self) -> bool {
        self.state <= MemberState::Suspect
    }
}
