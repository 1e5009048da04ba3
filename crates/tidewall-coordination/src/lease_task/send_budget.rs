//! How much a member may send: a token bucket each for datagrams and for bytes, each of which holds a second's worth.
use crate::{Time, SECOND};

/// Bytes that one lease request takes at most in a batch, and how many requests fit a datagram: from the sizes of the codec
/// (a kind, a task, a ballot's count and a tag in CBOR; 256 bytes less header and seal).
const REQUEST_BYTES: u64 = 14;
const REQUESTS_PER_DATAGRAM: u64 = 14;

struct TokenBucket {
    /// Below zero after more was sent than there was room for: replies go out in any case.
    tokens: i64,
    per_second: i64,
    /// Fractions of a token, in units of one ten-thousandth.
    remainder: i64,
}

impl TokenBucket {
    fn new(per_second: u64) -> TokenBucket {
        TokenBucket {
            tokens: per_second as i64,
            per_second: per_second as i64,
            remainder: 0,
        }
    }

    fn refill(&mut self, elapsed: i64) {
        let total = self.per_second * elapsed + self.remainder;
        self.remainder = total % SECOND as i64;
        self.tokens = (self.tokens + total / SECOND as i64).min(self.per_second);
    }

    fn available(&self) -> u64 {
        self.tokens.max(0) as u64
    }
}

/// What a member may still send now. Only claims and renewals of leases wait for it: they are the bulk of the traffic.
pub(super) struct SendBudget {
    datagrams: TokenBucket,
    bytes: TokenBucket,
    last_refill: Time,
}

impl SendBudget {
    pub fn new(now: Time, datagrams_per_second: u64, bytes_per_second: u64) -> SendBudget {
        SendBudget {
            datagrams: TokenBucket::new(datagrams_per_second),
            bytes: TokenBucket::new(bytes_per_second),
            last_refill: now,
        }
    }

    /// Adds what the time since the last call is worth.
    pub fn refill(&mut self, now: Time) {
        let elapsed = (now - self.last_refill).min(SECOND) as i64;
        self.last_refill = now;
        self.datagrams.refill(elapsed);
        self.bytes.refill(elapsed);
    }

    pub fn spend_datagram(&mut self, bytes: usize) {
        self.datagrams.tokens -= 1;
        self.bytes.tokens -= bytes as i64;
    }

    /// For how many tasks each of the grantors may be sent a request now.
    pub fn affordable_tasks(&self, grantors: u64) -> usize {
        let by_datagrams = self.datagrams.available() * REQUESTS_PER_DATAGRAM;
        let by_bytes = self.bytes.available() / REQUEST_BYTES;
        (by_datagrams.min(by_bytes) / grantors.max(1)) as usize
    }
}
