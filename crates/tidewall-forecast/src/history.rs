//! One function's past, slot by slot, over a set number of periods (days, weeks, or seconds in a test), and its form on a
//! disk: whole or not at all, with a version and a checksum. A slot of which too few members told is unknown, not empty.
use xxhash_rust::xxh3::xxh3_64;

/// What is not known.
const UNKNOWN: f32 = f32::NAN;

/// How time is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Slots in a period, and periods kept.
    pub period: usize,
    pub periods: usize,
}

impl Shape {
    pub fn slots(self) -> usize {
        self.period * self.periods
    }
}

#[derive(Clone, Debug)]
pub struct History {
    shape: Shape,
    /// A ring: the slot's number modulo its length.
    ring: Vec<f32>,
    /// The slot after the last that was told.
    next: u64,
    /// The first slot that was ever told.
    first: u64,
    /// The highest count of any slot, ever.
    pub most: f32,
}

const MAGIC: &[u8; 8] = b"tdwhist1";

impl History {
    pub fn new(shape: Shape) -> History {
        History {
            shape,
            ring: vec![UNKNOWN; shape.slots()],
            next: 0,
            first: u64::MAX,
            most: 0.0,
        }
    }

    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// The slot after the last that is known.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// A slot's count; `None` where too few told. Slots that were passed over are unknown. One that was told before may be
    /// told again, higher, while it is kept.
    pub fn tell(&mut self, slot: u64, count: Option<f32>) {
        let len = self.ring.len() as u64;
        if slot + len < self.next {
            return;
        }
        // A clock that jumped, or a long sleep: at most all of it is unknown.
        let from = self.next.max(slot.saturating_sub(len));
        if self.first == u64::MAX {
            self.first = slot;
        } else {
            (from..slot).for_each(|s| self.ring[(s % len) as usize] = UNKNOWN);
        }
        self.next = self.next.max(slot + 1);
        self.ring[(slot % len) as usize] = count.unwrap_or(UNKNOWN);
        self.most = self.most.max(count.unwrap_or(0.0));
    }

    pub fn at(&self, slot: u64) -> Option<f32> {
        let len = self.ring.len() as u64;
        let kept = slot < self.next && slot + len >= self.next && slot >= self.first;
        Some(self.ring[(slot % len) as usize]).filter(|c| kept && !c.is_nan())
    }

    /// Whole periods of which something is known.
    pub fn periods(&self) -> usize {
        if self.first == u64::MAX {
            return 0;
        }
        let slots = (self.next - self.first).min(self.ring.len() as u64) as usize;
        slots / self.shape.period
    }

    /// Appends its form: head, slots, checksum.
    pub fn write(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(MAGIC);
        for n in [
            self.shape.period as u64,
            self.shape.periods as u64,
            self.next,
            self.first,
        ] {
            out.extend_from_slice(&n.to_be_bytes());
        }
        out.extend_from_slice(&self.most.to_be_bytes());
        self.ring
            .iter()
            .for_each(|c| out.extend_from_slice(&c.to_be_bytes()));
        let sum = xxh3_64(&out[start..]);
        out.extend_from_slice(&sum.to_be_bytes());
    }

    /// What was written under the same shape; the error names what is wrong, and the member starts empty.
    pub fn read(bytes: &[u8], shape: Shape) -> Result<History, &'static str> {
        const HEAD: usize = 8 + 4 * 8 + 4;
        if bytes.len() < HEAD + 8 {
            return Err("length: cut short");
        }
        let (body, sum) = bytes.split_at(bytes.len() - 8);
        if body[..8] != MAGIC[..] {
            return Err("version: not tdwhist1");
        }
        if xxh3_64(body).to_be_bytes() != *sum {
            return Err("checksum: wrong");
        }
        let whole = |i: usize| {
            u64::from_be_bytes(
                body[8 + 8 * i..16 + 8 * i]
                    .try_into()
                    .expect("eight octets"),
            )
        };
        if (whole(0), whole(1)) != (shape.period as u64, shape.periods as u64) {
            return Err("period: another one than the settings'");
        }
        if body.len() != HEAD + 4 * shape.slots() {
            return Err("length: not as many slots as told");
        }
        let real =
            |at: usize| f32::from_be_bytes(body[at..at + 4].try_into().expect("four octets"));
        let ring: Vec<f32> = (0..shape.slots()).map(|i| real(HEAD + 4 * i)).collect();
        let (next, first, most) = (whole(2), whole(3), real(40));
        if !most.is_finite()
            || ring.iter().any(|c| c.is_infinite() || *c < 0.0)
            || first != u64::MAX && first >= next
        {
            return Err("slots: a number that cannot be");
        }
        Ok(History {
            shape,
            ring,
            next,
            first,
            most,
        })
    }
}
