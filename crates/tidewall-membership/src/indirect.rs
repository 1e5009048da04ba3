//! Pings that are sent on behalf of other members.

/// The maximum number of indirect pings that wait for an ack. Beyond it, the oldest is forgotten. The limit
/// bounds the memory and the time of a search that requests can cost. Each requester has one probe in
/// progress, so the limit is only reached if a large part of the members fails at once.
const MAX_PENDING: usize = 64;

/// A ping sent on behalf of another member.
pub(crate) struct IndirectPing {
    /// The sequence number of this member's own ping.
    pub(crate) seq: u32,
    pub(crate) target: usize,
    /// The member to which the ack is forwarded, and the sequence number of its request.
    pub(crate) requester: usize,
    pub(crate) requester_seq: u32,
}

/// The indirect pings that wait for an ack, oldest first.
#[derive(Default)]
pub(crate) struct IndirectPings(Vec<IndirectPing>);

impl IndirectPings {
    pub(crate) fn add(&mut self, ping: IndirectPing) {
        if self.0.len() >= MAX_PENDING {
            self.0.remove(0);
        }
        self.0.push(ping);
    }

    /// Removes and returns the ping that an ack with that member and sequence number answers.
    pub(crate) fn take_acknowledged(&mut self, target: usize, seq: u32) -> Option<IndirectPing> {
        let position = self
            .0
            .iter()
            .position(|ping| ping.seq == seq && ping.target == target)?;
        Some(self.0.remove(position))
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
