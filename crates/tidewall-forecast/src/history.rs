//! The history of one function by slot, over a configured number of periods (days, weeks, or seconds in a
//! test), and its stored form. A slot for which too few members reported is unknown, not zero.
//!
//! The stored form, all numbers big-endian: the 8 bytes `tdwhist1`; slots per period, periods, next slot and
//! first slot as u64; the highest count as f32; the ring of counts as f32, with NaN for unknown; the xxh3
//! checksum of everything before it as u64. A stored history is read completely or not at all.
use xxhash_rust::xxh3::xxh3_64;

/// The count of an unknown slot.
const UNKNOWN: f32 = f32::NAN;

/// The first slot of an empty history.
const NO_SLOT: u64 = u64::MAX;

/// Identifies the format and its version. A changed format gets a different value.
const MAGIC: &[u8; 8] = b"tdwhist1";

const U64_BYTES: usize = 8;
const F32_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;
/// The size of the magic, four integers and the highest count.
const HEADER_BYTES: usize = MAGIC.len() + 4 * U64_BYTES + F32_BYTES;

/// The division of time into slots and periods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryShape {
    /// The number of slots in a period.
    pub slots_per_period: usize,
    /// The number of periods that are kept.
    pub periods: usize,
}

impl HistoryShape {
    /// The number of slots that are kept.
    pub fn slots(self) -> usize {
        self.slots_per_period * self.periods
    }
}

/// The reason why a stored history cannot be used. The message names the part that is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HistoryError {
    /// The data is too short for a header and a checksum.
    #[error("length: cut short")]
    Truncated,
    /// The data has another format or another version of it.
    #[error("version: not tdwhist1")]
    UnknownVersion,
    /// The checksum does not match: the data was changed.
    #[error("checksum: wrong")]
    WrongChecksum,
    /// The history was written with another [`HistoryShape`].
    #[error("period: differs from the settings")]
    OtherShape,
    /// The number of slots does not match the shape.
    #[error("length: does not match the number of slots")]
    WrongLength,
    /// A count is infinite or negative, the highest count is not finite, or the first slot is not before the
    /// next one.
    #[error("slots: invalid count or first slot")]
    InvalidNumber,
}

/// The history of one function's counts.
#[derive(Clone, Debug)]
pub struct History {
    shape: HistoryShape,
    /// A ring buffer: the index of a slot is its number modulo the length.
    counts: Vec<f32>,
    /// The slot after the last recorded one.
    next_slot: u64,
    /// The first slot that was ever recorded, or `NO_SLOT`.
    first_slot: u64,
    /// The highest count that was ever recorded for a slot.
    pub max_count: f32,
}

impl History {
    /// Creates a history in which all slots are unknown.
    pub fn new(shape: HistoryShape) -> History {
        History {
            shape,
            counts: vec![UNKNOWN; shape.slots()],
            next_slot: 0,
            first_slot: NO_SLOT,
            max_count: 0.0,
        }
    }

    /// The slot after the last recorded one.
    pub fn next_slot(&self) -> u64 {
        self.next_slot
    }

    /// Sets the count of a slot; `None` if too few members reported. Slots that were skipped are unknown. A
    /// slot may be recorded again while it is kept; a slot that is no longer kept is ignored.
    pub fn record(&mut self, slot: u64, count: Option<f32>) {
        let length = self.counts.len() as u64;
        if slot + length < self.next_slot {
            return;
        }
        if self.first_slot == NO_SLOT {
            self.first_slot = slot;
        } else {
            // After a clock jump or a long pause, at most the whole ring becomes unknown.
            let skipped = self.next_slot.max(slot.saturating_sub(length))..slot;
            skipped.for_each(|skipped| self.counts[(skipped % length) as usize] = UNKNOWN);
        }
        self.next_slot = self.next_slot.max(slot + 1);
        self.counts[(slot % length) as usize] = count.unwrap_or(UNKNOWN);
        self.max_count = self.max_count.max(count.unwrap_or(0.0));
    }

    /// The count of a slot; `None` if it is unknown or not kept.
    pub fn count(&self, slot: u64) -> Option<f32> {
        let length = self.counts.len() as u64;
        let kept =
            slot < self.next_slot && slot + length >= self.next_slot && slot >= self.first_slot;
        Some(self.counts[(slot % length) as usize]).filter(|count| kept && !count.is_nan())
    }

    /// The number of complete periods since the first recorded slot, limited to those that are kept.
    pub fn complete_periods(&self) -> usize {
        if self.first_slot == NO_SLOT {
            return 0;
        }
        let slots = (self.next_slot - self.first_slot).min(self.counts.len() as u64);
        slots as usize / self.shape.slots_per_period
    }

    /// Appends the stored form to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(MAGIC);
        for number in [
            self.shape.slots_per_period as u64,
            self.shape.periods as u64,
            self.next_slot,
            self.first_slot,
        ] {
            out.extend_from_slice(&number.to_be_bytes());
        }
        out.extend_from_slice(&self.max_count.to_be_bytes());
        for count in &self.counts {
            out.extend_from_slice(&count.to_be_bytes());
        }
        let checksum = xxh3_64(&out[start..]);
        out.extend_from_slice(&checksum.to_be_bytes());
    }

    /// Decodes the stored form of a history of that shape. On an error, the caller starts with an empty
    /// history.
    pub fn decode(bytes: &[u8], shape: HistoryShape) -> Result<History, HistoryError> {
        if bytes.len() < HEADER_BYTES + CHECKSUM_BYTES {
            return Err(HistoryError::Truncated);
        }
        let (body, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        let Some(fields) = body.strip_prefix(MAGIC) else {
            return Err(HistoryError::UnknownVersion);
        };
        if xxh3_64(body).to_be_bytes() != *checksum {
            return Err(HistoryError::WrongChecksum);
        }
        let number = |index: usize| u64::from_be_bytes(array_at(fields, index * U64_BYTES));
        if (number(0), number(1)) != (shape.slots_per_period as u64, shape.periods as u64) {
            return Err(HistoryError::OtherShape);
        }
        if body.len() != HEADER_BYTES + F32_BYTES * shape.slots() {
            return Err(HistoryError::WrongLength);
        }
        let history = History {
            shape,
            counts: body[HEADER_BYTES..]
                .chunks_exact(F32_BYTES)
                .map(|count| f32::from_be_bytes(array_at(count, 0)))
                .collect(),
            next_slot: number(2),
            first_slot: number(3),
            max_count: f32::from_be_bytes(array_at(fields, 4 * U64_BYTES)),
        };
        if !history.is_valid() {
            return Err(HistoryError::InvalidNumber);
        }
        Ok(history)
    }

    fn is_valid(&self) -> bool {
        let valid = |count: &f32| !(count.is_infinite() || *count < 0.0);
        self.max_count.is_finite()
            && self.counts.iter().all(valid)
            && (self.first_slot == NO_SLOT || self.first_slot < self.next_slot)
    }
}

/// The `N` bytes at the offset, which must exist.
fn array_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(&bytes[offset..offset + N]);
    array
}
