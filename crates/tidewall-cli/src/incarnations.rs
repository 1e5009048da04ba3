//! The numbers by which the starts of this process are told apart.
use crate::{input, Failure};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tidewall_config::Section;
use tidewall_failover::proposal::next_incarnation;
use tidewall_gateway::incarnation_store::IncarnationStore;
use tracing::warn;

/// A number that cannot be stored is tried again after this; the log says so each time.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How often a wait looks whether the process was told to go.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Numbers the incarnations of one gateway, from one start of the process to the next where its settings name a file.
pub struct Incarnations {
    store: Option<IncarnationStore>,
    last: u64,
}

impl Incarnations {
    /// Of the gateway with these settings.
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

    /// Others know an incarnation of this gateway with this number: the next one is above it.
    pub fn known_elsewhere(&mut self, number: u64) {
        self.last = self.last.max(number);
    }

    /// The next number. Where it cannot be stored this waits until it can be; none where `shutdown` is set meanwhile.
    pub fn next(&mut self, shutdown: &AtomicBool) -> Option<u64> {
        loop {
            match self.try_next() {
                Ok(number) => {
                    self.last = number;
                    return Some(number);
                }
                Err(error) => warn!(error, "incarnation could not be stored; not started yet"),
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

/// Waits so long; true as soon as `shutdown` is set.
fn wait(duration: Duration, shutdown: &AtomicBool) -> bool {
    let polls = duration.as_millis() / SHUTDOWN_POLL_INTERVAL.as_millis();
    (0..polls).any(|_| {
        std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        shutdown.load(Ordering::Relaxed)
    })
}

/// Milliseconds since 1970; 1 where the clock stands before that.
fn wall_clock_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |since| since.as_millis() as u64)
}
