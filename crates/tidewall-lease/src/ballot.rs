//! Ballots of leases. A ballot has 64 bits: the upper 24 count claims, the lower 40 identify the owner, which
//! is one incarnation of a member. Ballots of two members, or of two incarnations of one member, are
//! therefore never equal.
use crate::proposer::BallotOwner;

/// Bits of a ballot that hold the member number.
const MEMBER_BITS: u32 = 12;

/// Bits of a ballot that hold the low bits of the member's incarnation. Incarnations are wall-clock
/// milliseconds, so those of one member that lie within three days of each other (2^28 ms) differ in these
/// bits.
const INCARNATION_BITS: u32 = 28;

const OWNER_BITS: u32 = MEMBER_BITS + INCARNATION_BITS;

/// The number of members that ballots can distinguish: 4,096.
pub const MAX_MEMBERS: usize = 1 << MEMBER_BITS;

/// Exclusive upper bound of a ballot's count.
pub const BALLOT_COUNT_LIMIT: u64 = 1 << (64 - OWNER_BITS);

/// The furthest that the count of an accepted ballot may be ahead of the highest count known for its task. A
/// grantor that lost its memory cannot miss that many claims in years, and a single faulty message cannot use
/// up all counts.
pub const MAX_BALLOT_JUMP: u64 = 1 << 20;

pub(crate) fn ballot_owner(member: usize, incarnation: u64) -> BallotOwner {
    let incarnation = incarnation & ((1 << INCARNATION_BITS) - 1);
    BallotOwner::new(OWNER_BITS, incarnation << MEMBER_BITS | member as u64)
}

/// The ballot of this incarnation of the member with the given count. Only the bits of the count below
/// `BALLOT_COUNT_LIMIT` are used.
pub fn ballot(member: usize, incarnation: u64, count: u64) -> u64 {
    ballot_owner(member, incarnation).ballot(count & (BALLOT_COUNT_LIMIT - 1))
}

/// The count of a ballot.
pub fn ballot_count(ballot: u64) -> u64 {
    ballot >> OWNER_BITS
}

/// Whether the ballot is close enough to the highest one known to be genuine, see [`MAX_BALLOT_JUMP`].
pub(crate) fn is_plausible_after(ballot: u64, highest_known: u64) -> bool {
    ballot_count(ballot) <= ballot_count(highest_known) + MAX_BALLOT_JUMP
}
