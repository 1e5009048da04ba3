//! Pings that are sent on behalf of other members.

/// Waiting for an ack at most; beyond, the oldest is forgotten. Bounds what requests can take of memory and of each search:
/// a requester has one probe under way, this many are only met where a great part of the members fails at once.
const MAX_PENDING: usize = 64;

/// One ping on behalf of another member.
pub(crate) struct IndirectPing {
    /// The number of our own ping.
    pub(crate) seq: u32,
    pub(crate) target: usize,
    /// Who gets the ack, and the number of its request.
    pub(crate) requester: usize,
    pub(crate) requester_seq: u32,
}

/// Those that wait for their ack, the oldest first.
#[derive(Default)]
pub(crate) struct IndirectPings(Vec<IndirectPing>);

impl IndirectPings {
    pub(crate) fn add(&mut self, ping: IndirectPing) {
        if self.0.len() >= MAX_PENDING {
            self.0.remove(0);
        }
        self.0.push(ping);
    }

    /// Takes out the one that an ack of that member and number answers.
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
