//! How many fleets play at once: they judge what is served in time, and more of them than the machine can serve at once judge the
//! machine.
use std::sync::{Condvar, Mutex};

const MOST_AT_ONCE: usize = 3;

static PLAYING: Mutex<usize> = Mutex::new(0);
static ONE_ENDED: Condvar = Condvar::new();

/// Held by a fleet that plays.
pub struct Turn;

impl Turn {
    /// Waits until fewer than the most play.
    pub fn wait() -> Turn {
        let playing = PLAYING.lock().unwrap();
        let mut playing = ONE_ENDED
            .wait_while(playing, |playing| *playing >= MOST_AT_ONCE)
            .unwrap();
        *playing += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *PLAYING.lock().unwrap() -= 1;
        ONE_ENDED.notify_one();
    }
}
