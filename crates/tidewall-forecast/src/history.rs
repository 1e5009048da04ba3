//! One function's past, slot by slot, over a set number of periods (days, weeks, or seconds in a test), and its stored form.
//! A slot of which too few members reported is unknown, not empty.
//!
//! The stored form, all numbers big-endian: the 8 bytes `tdwhist1`; slots per period, periods, next slot and first slot as
//! u64; the highest count as f32; the ring of counts as f32, NaN for unknown; the xxh3 checksum of all that as u64. It is
//! read completely or not at all.
use xxhash_rust::xxh3::xxh3_64;

/// A slot whose count is not known.
const UNKNOWN: f32 = f32::NAN;

/// The first slot of a history to which nothing was recorded.
const NO_SLOT: u64 = u64::MAX;

/// Names the format and its version; another format gets another name.
const MAGIC: &[u8; 8] = b"tdwhist1";

const U64_BYTES: usize = 8;
const F32_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;
/// The magic, four whole numbers, the highest count.
const HEADER_BYTES: usize = MAGIC.len() + 4 * U64_BYTES + F32_BYTES;

/// How time is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryShape {
    /// Slots in a period.
    pub slots_per_period: usize,
    /// Periods that are kept.
    pub periods: usize,
}

impl HistoryShape {
    /// Slots that are kept.
    pub fn slots(self) -> usize {
        self.slots_per_period * self.periods
    }
}

/// Why a stored history cannot be used. The message names the part that is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HistoryError {
    /// Too short for a header and a checksum.
    #[error("length: cut short")]
    Truncated,
    /// Another format, or another version of it.
    #[error("version: not tdwhist1")]
    UnknownVersion,
    /// Some bit changed.
    #[error("checksum: wrong")]
    WrongChecksum,
    /// Written under another [`HistoryShape`].
    #[error("period: another one than the settings'")]
    OtherShape,
    /// The number of slots is not that of the shape.
    #[error("length: not as many slots as told")]
    WrongLength,
    /// An infinite or negative count, or a first slot after the last one.
    #[error("slots: a number that cannot be")]
    InvalidNumber,
}

/// The counts of one function.
#[derive(Clone, Debug)]
pub struct History {
    shape: HistoryShape,
    /// A ring: a slot's place is its number modulo the length.
    counts: Vec<f32>,
    /// The slot after the last that was recorded.
    next_slot: u64,
    /// The first slot that was ever recorded, or `NO_SLOT`.
    first_slot: u64,
    /// The highest count of any slot, ever.
    pub max_count: f32,
}

impl History {
    /// All slots unknown.
    pub fn new(shape: HistoryShape) -> History {
        History {
            shape,
            counts: vec![UNKNOWN; shape.slots()],
            next_slot: 0,
            first_slot: NO_SLOT,
            max_count: 0.0,
        }
    }

    /// The slot after the last that was recorded.
    pub fn next_slot(&self) -> u64 {
        self.next_slot
    }

    /// Sets a slot's count; `None` where too few members reported. Slots that were skipped are unknown. A slot may be
    /// recorded again while it is kept; one that is not kept any more is ignored.
    pub fn record(&mut self, slot: u64, count: Option<f32>) {
        let length = self.counts.len() as u64;
        if slot + length < self.next_slot {
            return;
        }
        if self.first_slot == NO_SLOT {
            self.first_slot = slot;
        } else {
            // After a clock that jumped, or a long pause, at most the whole ring is unknown.
            let skipped = self.next_slot.max(slot.saturating_sub(length))..slot;
            skipped.for_each(|skipped| self.counts[(skipped % length) as usize] = UNKNOWN);
        }
        self.next_slot = self.next_slot.max(slot + 1);
        self.counts[(slot % length) as usize] = count.unwrap_or(UNKNOWN);
        self.max_count = self.max_count.max(count.unwrap_or(0.0));
    }

    /// A slot's count; `None` where it is unknown or not kept.
    pub fn count(&self, slot: u64) -> Option<f32> {
        let length = self.counts.len() as u64;
        let kept =
            slot < self.next_slot && slot + length >= self.next_slot && slot >= self.first_slot;
        Some(self.counts[(slot % length) as usize]).filter(|count| kept && !count.is_nan())
    }

    /// Complete periods since the first slot that was recorded, of those kept.
    pub fn complete_periods(&self) -> usize {
        if self.first_slot == NO_SLOT {
            return 0;
        }
        let slots = (self.next_slot - self.first_slot).min(self.counts.len() as u64);
        slots as usize / self.shape.slots_per_period
    }

    /// Appends the stored form.
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

    /// Reads the stored form of a history of that shape. On an error the caller starts with an empty history.
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

/// The bytes from that place on, which must be there.
fn array_at<const N: usize>(bytes: &[u8], place: usize) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(&bytes[place..place + N]);
    array
}
