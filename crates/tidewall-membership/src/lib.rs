//! Detects which of the members named in the settings are alive, with SWIM (Das, Gupta, Motivala, "SWIM:
//! Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002) and Lifeguard's local
//! health (Dadgar, Phillips, Currey, "Lifeguard: SWIM-ing with Situational Awareness", 2017). This crate does
//! no I/O and reads no clock.
//!
//! In each period a member probes another one with a ping. If no ack arrives, it asks a few others for an
//! indirect ping. If they get no ack either, the probed member is suspected, and it is declared dead unless
//! it refutes the suspicion in time. Updates about members are gossiped: they are piggybacked on the
//! datagrams that are sent anyway. A member that has reason to believe that it is slow itself waits longer
//! before it suspects others.
//!
//! The result determines to whom requests are sent and which member should hold which task. No safety
//! property depends on it.
mod gossip;
mod indirect;
mod membership;
mod probe_order;
mod update;

pub use membership::Membership;
pub use update::{MemberState, MemberUpdate};

/// A time or duration in whole tenths of a millisecond, measured by a monotonic clock.
pub type Time = u64;

/// The side effects of membership: messages to other members, and notices of changes. Members are numbered
/// from 0.
pub trait MembershipActions {
    /// Sends a ping. The ack returns `seq`; 0 means that the ping only announces the sender and no ack is
    /// expected.
    fn ping(&mut self, to: usize, seq: u32);
    /// Asks `via` to ping `target` on this member's behalf.
    fn ping_indirect(&mut self, via: usize, target: usize, seq: u32);
    /// Sends an ack: `alive_member`, which is this member or the target of an indirect ping, is alive.
    fn ack(&mut self, to: usize, alive_member: usize, seq: u32);
    /// A member became alive or has restarted.
    fn member_joined(&mut self, member: usize, incarnation: u64);
    /// A member is no longer alive. `left` says whether it announced its departure.
    fn member_lost(&mut self, member: usize, left: bool);
    /// Returns a random number below `bound`.
    fn random_below(&mut self, bound: u64) -> u64;
}
