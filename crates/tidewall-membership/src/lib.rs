//! Which of the members named in the settings are alive: SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", 2002) with Lifeguard's local health (Dadgar, Phillips, Currey,
//! "Lifeguard: SWIM-ing with Situational Awareness", 2017). Without I/O and without a clock.
//!
//! Each period a member probes one other by a ping. Where no ack arrives, it asks a few others for an indirect ping; where
//! they get none either, the member is suspected, and declared dead unless it refutes that in time. Updates about members
//! are gossiped: they ride on the datagrams that are sent anyway. A member that has reason to think that it is slow itself
//! waits longer before it suspects others.
//!
//! This says whom to send requests to and who should hold which task. No safety property rests on it.
mod gossip;
mod indirect;
mod membership;
mod probe_order;
mod update;

pub use membership::Membership;
pub use update::{MemberState, MemberUpdate};

/// A time or duration in whole tenths of a millisecond, by a monotonic clock.
pub type Time = u64;

/// What membership does: messages to other members, and notices of changes. Members are numbered from 0.
pub trait MembershipActions {
    /// Sends a ping. `seq` comes back with the ack; 0: sent only to be heard, no ack is waited for.
    fn ping(&mut self, to: usize, seq: u32);
    /// Asks `via` to ping `target` on our behalf.
    fn ping_indirect(&mut self, via: usize, target: usize, seq: u32);
    /// Sends an ack: `alive_member`, ourselves or the target of an indirect ping, is alive.
    fn ack(&mut self, to: usize, alive_member: usize, seq: u32);
    /// A member is alive that was not before, or that has restarted.
    fn member_joined(&mut self, member: usize, incarnation: u64);
    /// A member is alive no longer; `left`: it announced that it leaves.
    fn member_lost(&mut self, member: usize, left: bool);
    /// A random number below `bound`.
    fn random_below(&mut self, bound: u64) -> u64;
}
