//! Limits how many fleets run at once: the tests check what is served in time, and with more fleets than the
//! machine can run they would measure the machine.
use std::sync::{Condvar, Mutex};

const MAX_RUNNING: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ONE_ENDED: Condvar = Condvar::new();

/// The right to run; held by a fleet while it runs.
pub struct Turn;

impl Turn {
    /// Waits until fewer than the maximum run.
    pub fn wait() -> Turn {
        let running = RUNNING.lock().unwrap();
        let mut running = ONE_ENDED
            .wait_while(running, |running| *running >= MAX_RUNNING)
            .unwrap();
        *running += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap() -= 1;
        ONE_ENDED.notify_one();
    }
}
