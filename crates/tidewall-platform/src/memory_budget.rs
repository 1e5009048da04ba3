//! Limits on what a gateway holds for its clients, derived from its memory limit.

/// Bytes in the unit of the memory limit.
const MEGABYTE: usize = 1 << 20;

/// The part of the memory limit that unread replies may take. Write buffers may have twice the
/// capacity that they use.
const UNREAD_REPLIES_DIVISOR: usize = 8;

/// The part of the memory limit that the state of functions may take which no worker knows.
const UNCONFIRMED_FUNCTIONS_DIVISOR: usize = 4;

/// The part of the memory limit that payloads of open requests may take.
const HELD_PAYLOADS_DIVISOR: usize = 4;

/// Limits on what a gateway holds for its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Bytes of replies, over all clients, that their sockets have refused.
    pub unread_replies: usize,
    /// Bytes of the state of functions that no worker has shown to know.
    pub unconfirmed_functions: usize,
    /// Bytes of the payloads of open requests.
    pub held_payloads: usize,
}

impl MemoryBudget {
    /// Divides a memory limit, in megabytes.
    pub fn new(memory_mb: u64) -> MemoryBudget {
        let bytes = (memory_mb as usize).saturating_mul(MEGABYTE);
        MemoryBudget {
            unread_replies: bytes / UNREAD_REPLIES_DIVISOR,
            unconfirmed_functions: bytes / UNCONFIRMED_FUNCTIONS_DIVISOR,
            held_payloads: bytes / HELD_PAYLOADS_DIVISOR,
        }
    }
}
