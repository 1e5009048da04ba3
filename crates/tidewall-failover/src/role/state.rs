//! The roles of a member, and the names under which `tidewall status` shows them.

/// The role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Does not serve; holds a replica if the other member serves.
    Standby,
    /// VRRP made this member active while the other one serves; the other one was asked to step down.
    RequestingStepDown,
    /// Proposes its leadership to the voters.
    Proposing,
    /// Serves alone: calls and responses do not wait for the other member.
    Solo,
    /// Serves; the other member holds a replica, but the voters have not accepted it as synchronised yet.
    /// Calls and responses wait until the other member has recorded them.
    Synchronizing,
    /// Serves; the voters count the other member as synchronised. Calls and responses wait until the other
    /// member has recorded them.
    Replicating,
    /// Serves; the other member is lost, but the voters have not accepted a leadership without it yet. Calls
    /// and responses wait until they have.
    PeerLost,
    /// Has stepped down; completes the requests that it received before.
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

    /// The name that `tidewall status` prints. It is part of the operator documentation and must not change.
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

    /// Whether a member in this role accepts new requests.
    pub fn serves(self) -> bool {
        matches!(
            self,
            Role::Solo | Role::Synchronizing | Role::Replicating | Role::PeerLost
        )
    }
}
