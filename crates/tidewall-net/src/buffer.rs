//! Contiguous byte queues for a connection's input and output. Consuming bytes does not move the remaining
//! ones.
//!
//! The limits are enforced by the [`Net`](crate::Net) implementations, not by [`Buffer`] itself.

/// Limit of received bytes that an app has not consumed, in bytes per connection: twice the largest frame of
/// the native protocol, so that a complete frame and the start of the next one always fit.
pub const READ_BUFFER_LIMIT: usize = 2 << 20;

/// Limit of bytes that wait to be sent, in bytes per connection. At 950 requests per second of 300 bytes
/// each, a peer that reads nothing fills it in seven seconds, which is longer than any usual deadline of a
/// request.
pub const WRITE_BUFFER_LIMIT: usize = 2 << 20;

/// Capacity in bytes that an empty buffer retains: room for a few usual messages. A larger one is returned to
/// the allocator, so that connections without queued bytes take nearly no memory, however many there are.
const RETAINED_CAPACITY: usize = 512;

/// Minimum number of bytes by which a full buffer grows.
const MIN_GROWTH: usize = 1024;

/// A full buffer grows by at least this part of its length. Doubling would let the buffers of many unfinished
/// messages take up to twice their size.
const GROWTH_DIVISOR: usize = 4;

/// A FIFO queue of bytes: appended to at its end and consumed from its start.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// Index in `bytes` of the first byte that has not been consumed.
    start: usize,
}

impl Buffer {
    /// All queued bytes, in order.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Number of queued bytes.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Whether no byte is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes at the end.
    pub fn push(&mut self, bytes: &[u8]) {
        // The consumed part is removed only once it is longer than the queued part, so that in all fewer
        // bytes are moved than were consumed.
        if self.start > self.len() {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.reserve(bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// Makes room for `additional` bytes.
    fn reserve(&mut self, additional: usize) {
        let needed = self.bytes.len() + additional;
        if needed > self.bytes.capacity() {
            let grown = self.bytes.len() + MIN_GROWTH.max(self.bytes.len() / GROWTH_DIVISOR);
            let capacity = if self.bytes.is_empty() {
                needed
            } else {
                needed.max(grown)
            };
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
    }

    /// Number of bytes for which memory is allocated.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Drops the first `count` queued bytes; `count` is at most [`Buffer::len`].
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.is_empty() {
            self.bytes.clear();
            self.start = 0;
            if self.bytes.capacity() > RETAINED_CAPACITY {
                self.bytes = Vec::new();
            }
        }
    }
}
