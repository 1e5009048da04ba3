//! Bytes that wait: bounded, in one piece, without moving what is there at each use.

/// What may wait unread at a connection: twice the largest frame of the native wire, so that a whole frame
/// and the start of the next one always fit.
pub const READ_MOST: usize = 2 << 20;

/// What may wait unsent at a connection. At 950 events a second of 300 bytes each this is seven seconds of a
/// peer that reads nothing; longer than any max age that is usual.
pub const WRITE_MOST: usize = 2 << 20;

/// A buffer that grew for a burst gives its memory back when it is empty again.
const KEPT: usize = 64 << 10;

#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    from: usize,
}

impl Buffer {
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.from..]
    }

    pub fn len(&self) -> usize {
        self.bytes.len() - self.from
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn push(&mut self, bytes: &[u8]) {
        // What was used makes room once it is more than what is left: each byte moves at most once.
        if self.from > self.len() {
            self.bytes.drain(..self.from);
            self.from = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    pub fn used(&mut self, count: usize) {
        self.from += count;
        if self.is_empty() {
            self.bytes.clear();
            self.from = 0;
            if self.bytes.capacity() > KEPT {
                self.bytes.shrink_to(KEPT);
            }
        }
    }
}
