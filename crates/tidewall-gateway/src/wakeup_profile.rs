//! How long the steps of wake-ups take, by the part of the gateway that they are spent in. While a step runs nothing is read,
//! no deadline is looked at and nothing is sent, so a long one is logged with its part. Times are in tenths of a millisecond.
use std::fmt;
use tidewall_net::Time;
use tracing::warn;

/// A part of a wake-up's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WakeupPart {
    /// What clients sent.
    ClientInput,
    /// What workers sent.
    WorkerInput,
    /// An endpoint list, or a message of the discovery server.
    EndpointList,
    /// A timer.
    Timer,
    /// Sending what waits.
    Sending,
    /// Connections that were opened or closed, datagrams, other gateways.
    Other,
}

/// All parts, in the order of their numbers.
const PARTS: [WakeupPart; 6] = [
    WakeupPart::ClientInput,
    WakeupPart::WorkerInput,
    WakeupPart::EndpointList,
    WakeupPart::Timer,
    WakeupPart::Sending,
    WakeupPart::Other,
];

/// Upper bounds of the histogram's buckets, 0.1 ms to 100 ms in steps of about three; what is longer has the last bucket.
const BUCKET_BOUNDS: [Time; 7] = [1, 3, 10, 30, 100, 300, 1_000];

/// A step of over 20 ms is logged: a fifth of the time after which an attempt for a client that has left is an error.
const LONG_STEP: Time = 200;

/// Long steps are logged once a second at most; the histogram tells the rest.
const LOG_INTERVAL: Time = 10_000;

/// Histograms of the lengths of steps, by part.
#[derive(Clone, Copy, Default)]
pub struct WakeupProfile {
    counts: [[u64; BUCKET_BOUNDS.len() + 1]; PARTS.len()],
    longest: [Time; PARTS.len()],
    /// When a long step was last logged.
    logged_at: Option<Time>,
}

impl WakeupProfile {
    /// Counts a step of `part` from `started` to `ended`, and logs it where it was long.
    pub fn record(&mut self, part: WakeupPart, started: Time, ended: Time) {
        let took = ended.saturating_sub(started);
        let bucket = BUCKET_BOUNDS.partition_point(|bound| *bound < took);
        self.counts[part as usize][bucket] += 1;
        let longest = &mut self.longest[part as usize];
        *longest = took.max(*longest);
        let is_due = self.logged_at.is_none_or(|at| ended >= at + LOG_INTERVAL);
        if took > LONG_STEP && is_due {
            self.logged_at = Some(ended);
            warn!(?part, tenths_of_ms = took, "long step in a wake-up");
        }
    }

    /// The longest step of a part so far.
    pub fn longest(&self, part: WakeupPart) -> Time {
        self.longest[part as usize]
    }
}

impl fmt::Debug for WakeupProfile {
    /// For each part its longest step and the counts of its buckets.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut map = f.debug_map();
        for part in PARTS {
            let index = part as usize;
            map.entry(&part, &(self.longest[index], self.counts[index]));
        }
        map.finish()
    }
}
