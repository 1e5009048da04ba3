//! The roles of a member, and their names on the status page.

/// What a member does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Does not serve; holds a replica where the other member serves.
    Standby,
    /// VRRP made it active while the other member serves; that one was asked to step down.
    RequestingStepDown,
    /// Proposes its leadership to the voters.
    Proposing,
    /// Serves alone: nothing waits for the other member.
    Solo,
    /// Serves; the other member holds a replica, and the voters are not informed of it yet. Calls and responses wait
    /// until the other member recorded them.
    Synchronizing,
    /// Serves; the voters count the other member as synchronised. Calls and responses wait as above.
    Replicating,
    /// Serves; the other member is gone and the voters are not informed of it yet. Calls and responses wait.
    PeerLost,
    /// Has stepped down; what it received before is completed.
    Draining,
    /// The process is about to restart.
    Stopped,
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 9] = [
        Role::Standby,
        Role::RequestingStepDown,
        Role::Proposing,
        Role::Solo,
        Role::Synchronizing,
        Role::Replicating,
        Role::PeerLost,
        Role::Draining,
        Role::Stopped,
    ];

    /// The name that `tidewall status` prints. Operators' pages use it, so it stays as it is.
    pub fn text(self) -> &'static str {
        match self {
            Role::Standby => "standby",
            Role::RequestingStepDown => "asking",
            Role::Proposing => "claiming",
            Role::Solo => "solo",
            Role::Synchronizing => "joining",
            Role::Replicating => "paired",
            Role::PeerLost => "parting",
            Role::Draining => "retiring",
            Role::Stopped => "over",
        }
    }

    /// Whether new requests are received in this role.
    pub fn serves(self) -> bool {
        matches!(
            self,
            Role::Solo | Role::Synchronizing | Role::Replicating | Role::PeerLost
        )
    }
}
