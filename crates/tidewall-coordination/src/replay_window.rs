//! Protection against replayed datagrams: a sliding window over the sequence numbers of one sender. This
//! module does no I/O and reads no clock; the lease task owns one window per member.
use crate::codec::DatagramError;

/// The size of the window in sequence numbers, the highest one included: the bits of one word.
const WINDOW: u64 = u64::BITS as u64;

/// The sequence numbers received from one incarnation of a sender: the highest one, and which of the 63 below
/// it.
#[derive(Clone, Copy, Default)]
pub struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `n` is set if `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Records a datagram. A datagram is rejected if it was received before, is too old to tell, or comes
    /// from a previous incarnation of the sender. Reordering by up to 63 datagrams is tolerated.
    ///
    /// # Errors
    /// [`DatagramError::StaleSender`] and [`DatagramError::Replayed`]; the window is then unchanged.
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
