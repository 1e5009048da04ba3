//! The incarnation numbers that distinguish the starts of a gateway.
use crate::{input, Failure};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tidewall_config::Section;
use tidewall_failover::proposal::next_incarnation;
use tidewall_gateway::incarnation_store::IncarnationStore;
use tracing::warn;

/// Time between attempts to store a number; each failure is logged.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time between checks for a shutdown while waiting.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Numbers the incarnations of one gateway; the numbers go on rising across restarts of the process if the
/// settings name a file for them.
pub struct Incarnations {
    store: Option<IncarnationStore>,
    last: u64,
}

impl Incarnations {
    /// Opens the file that these settings of a gateway name, if any.
    ///
    /// # Errors
    /// Wrong input: another process uses the file, or its lock file cannot be opened.
    pub fn open(gateway: &Section) -> Result<Incarnations, Failure> {
        let path = gateway.text("incarnation_file");
        let store = match path.as_str() {
            "" => None,
            path => {
                let opened = IncarnationStore::open(Path::new(path));
                Some(opened.map_err(|error| input(error.to_string()))?)
            }
        };
        Ok(Incarnations { store, last: 0 })
    }

    /// Makes the next number higher than this one, which others know as an incarnation of this gateway.
    pub fn known_elsewhere(&mut self, number: u64) {
        self.last = self.last.max(number);
    }

    /// The next number. Waits while it cannot be stored; returns none if `shutdown` is set meanwhile.
    pub fn next(&mut self, shutdown: &AtomicBool) -> Option<u64> {
        loop {
            match self.try_next() {
                Ok(number) => {
                    self.last = number;
                    return Some(number);
                }
                Err(error) => warn!(
                    error,
                    "incarnation could not be stored; gateway not started yet"
                ),
            }
            if wait(STORE_RETRY_INTERVAL, shutdown) {
                return None;
            }
        }
    }

    fn try_next(&mut self) -> Result<u64, String> {
        match &mut self.store {
            Some(store) => store
                .next(self.last, wall_clock_ms())
                .map_err(|error| error.to_string()),
            None => Ok(next_incarnation(self.last, wall_clock_ms())),
        }
    }
}

/// Waits for this time, or until `shutdown` is set; returns whether it was set.
fn wait(duration: Duration, shutdown: &AtomicBool) -> bool {
    let polls = duration.as_millis() / SHUTDOWN_POLL_INTERVAL.as_millis();
    (0..polls).any(|_| {
        std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        shutdown.load(Ordering::Relaxed)
    })
}

/// Milliseconds since 1970; 1 if the clock is set to an earlier time.
fn wall_clock_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |since| since.as_millis() as u64)
}
