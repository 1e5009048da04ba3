//! Limits how much a member sends: one token bucket for datagrams and one for bytes, each holding one
//! second's worth.
use crate::{Time, SECOND};

/// The maximum number of bytes of one lease request in a batch, and the number of requests that fit a
/// datagram. Both follow from the codec: a kind, a task, a ballot count and a tag in CBOR; 256 bytes less
/// header and seal.
const REQUEST_BYTES: u64 = 14;
const REQUESTS_PER_DATAGRAM: u64 = 14;

struct TokenBucket {
    /// Negative after more was sent than the budget allowed, because replies are always sent.
    tokens: i64,
    per_second: i64,
    /// The fraction of a token, in ten-thousandths.
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

/// What a member may still send. Only claims and renewals of leases wait for the budget: they are the bulk of
/// the traffic.
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

    /// Adds the tokens for the time since the last call.
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

    /// The number of tasks for which a request may be sent to every grantor.
    pub fn affordable_tasks(&self, grantors: u64) -> usize {
        let by_datagrams = self.datagrams.available() * REQUESTS_PER_DATAGRAM;
        let by_bytes = self.bytes.available() / REQUEST_BYTES;
        (by_datagrams.min(by_bytes) / grantors.max(1)) as usize
    }
}
