//! Durations of the steps of wake-ups, by the part of the gateway that they are spent in. While a step runs
//! nothing is read, no deadline is checked and nothing is sent, so a long step is logged with its part.
//! Times are in tenths of a millisecond.
use std::fmt;
use tidewall_net::Time;
use tracing::warn;

/// A kind of step of a wake-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WakeupPart {
    /// Handling of input from clients.
    ClientInput,
    /// Handling of input from workers.
    WorkerInput,
    /// Handling of an endpoint list or another message from the discovery server.
    EndpointList,
    /// Handling of a timer.
    Timer,
    /// Sending of waiting calls and responses.
    Sending,
    /// Everything else: closed connections, and input from other gateways.
    Other,
}

/// All parts, in the order of their discriminants.
const PARTS: [WakeupPart; 6] = [
    WakeupPart::ClientInput,
    WakeupPart::WorkerInput,
    WakeupPart::EndpointList,
    WakeupPart::Timer,
    WakeupPart::Sending,
    WakeupPart::Other,
];

/// Upper bounds of the histogram's buckets, 0.1 ms to 100 ms in factors of about three; longer steps are
/// counted in one more bucket.
const BUCKET_BOUNDS: [Time; 7] = [1, 3, 10, 30, 100, 300, 1_000];

/// Steps longer than this are logged: 20 ms, a fifth of the time after which an attempt for a client that
/// has disconnected is an error.
const STEP_LOG_THRESHOLD: Time = 200;

/// Minimum interval between log lines about long steps: 1 s. The histogram counts every step.
const STEP_LOG_INTERVAL: Time = 10_000;

/// Histograms of step durations, by part.
#[derive(Clone, Copy, Default)]
pub struct WakeupProfile {
    counts: [[u64; BUCKET_BOUNDS.len() + 1]; PARTS.len()],
    longest: [Time; PARTS.len()],
    /// When a long step was last logged.
    logged_at: Option<Time>,
}

impl WakeupProfile {
    /// Records a step of `part` from `started` to `ended`, and logs it if it was long.
    pub fn record(&mut self, part: WakeupPart, started: Time, ended: Time) {
        let took = ended.saturating_sub(started);
        let bucket = BUCKET_BOUNDS.partition_point(|bound| *bound < took);
        self.counts[part as usize][bucket] += 1;
        let longest = &mut self.longest[part as usize];
        *longest = took.max(*longest);
        let is_due = self
            .logged_at
            .is_none_or(|at| ended >= at + STEP_LOG_INTERVAL);
        if took > STEP_LOG_THRESHOLD && is_due {
            self.logged_at = Some(ended);
            warn!(?part, tenths_of_ms = took, "long step in a wake-up");
        }
    }

    /// Duration of the longest step of a part so far.
    pub fn longest(&self, part: WakeupPart) -> Time {
        self.longest[part as usize]
    }
}

impl fmt::Debug for WakeupProfile {
    /// Prints for each part its longest step and the counts of its buckets.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut map = f.debug_map();
        for part in PARTS {
            let index = part as usize;
            map.entry(&part, &(self.longest[index], self.counts[index]));
        }
        map.finish()
    }
}
