//! Protection against replayed datagrams: a sliding window over the sequence numbers of one sender. No I/O and no clock; the
//! lease task owns one window per member.
use crate::codec::DatagramError;

/// How many sequence numbers below the highest one are remembered: the bits of one word.
const WINDOW: u64 = u64::BITS as u64;

/// Sequence numbers of one sender's incarnation: the highest received, and which of the 63 below it were.
#[derive(Clone, Copy, Default)]
pub struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `n` is set where `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Records a datagram, or rejects one that was received before, is too old to tell, or comes from an incarnation that
    /// the sender has left behind. Datagrams may overtake each other by up to 63.
    ///
    /// # Errors
    /// [`DatagramError::StaleSender`] and [`DatagramError::Replayed`]; the window stays as it was.
    pub fn admit(&mut self, incarnation: u64, sequence: u64) -> Result<(), DatagramError> {
        if incarnation < self.incarnation {
            return Err(DatagramError::StaleSender);
        }
        if incarnation > self.incarnation {
            *self = ReplayWindow {
                incarnation,
                highest: sequence,
                received: 1,
            };
            return Ok(());
        }
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.received = if ahead < WINDOW {
                self.received << ahead | 1
            } else {
                1
            };
            self.highest = sequence;
            return Ok(());
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW || self.received >> behind & 1 == 1 {
            return Err(DatagramError::Replayed);
        }
        self.received |= 1 << behind;
        Ok(())
    }
}
