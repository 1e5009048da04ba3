//! Ballots of leases: 64 bits, of which the upper 24 count claims and the lower 40 name who uses the ballot, an incarnation
//! of a member. So ballots of two members, or of two incarnations of one member, are never equal.
use crate::proposer::BallotOwner;

/// Bits of a ballot that number its member.
const MEMBER_BITS: u32 = 12;

/// Bits of a ballot that hold the end of the member's incarnation. Incarnations are wall-clock milliseconds: those of one
/// member that lie within three days of each other differ here.
const INCARNATION_BITS: u32 = 28;

const OWNER_BITS: u32 = MEMBER_BITS + INCARNATION_BITS;

/// The number of members that ballots can tell apart: 4,096.
pub const MAX_MEMBERS: usize = 1 << MEMBER_BITS;

/// Counts of ballots are below this.
pub const BALLOT_COUNT_LIMIT: u64 = 1 << (64 - OWNER_BITS);

/// A ballot is accepted only if its count is at most this far ahead of the highest one known of its task: more than a grantor
/// that lost its memory can have missed in years, and too little for one faulty message to use up all counts.
pub const MAX_BALLOT_JUMP: u64 = 1 << 20;

pub(crate) fn ballot_owner(member: usize, incarnation: u64) -> BallotOwner {
    let incarnation = incarnation & ((1 << INCARNATION_BITS) - 1);
    BallotOwner::new(OWNER_BITS, incarnation << MEMBER_BITS | member as u64)
}

/// The ballot with that count that belongs to this incarnation of the member. Of the count only the bits below
/// `BALLOT_COUNT_LIMIT` are used.
pub fn ballot(member: usize, incarnation: u64, count: u64) -> u64 {
    ballot_owner(member, incarnation).ballot(count & (BALLOT_COUNT_LIMIT - 1))
}

/// The count of a ballot.
pub fn ballot_count(ballot: u64) -> u64 {
    ballot >> OWNER_BITS
}

/// Whether the ballot could follow the highest one known, see [`MAX_BALLOT_JUMP`].
pub(crate) fn is_plausible_after(ballot: u64, highest_known: u64) -> bool {
    ballot_count(ballot) <= ballot_count(highest_known) + MAX_BALLOT_JUMP
}
