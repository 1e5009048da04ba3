//! A run whose troubles a test names.
use tidewall_sim::pair::{Fault, Run, Setup};

/// The troubles begin at two seconds; the fleet has none of its own.
pub fn troubled(seed: u64, troubles: Vec<Fault>, seconds: f64) -> Run {
    let troubles = Some(troubles.into_iter().map(|t| (20_000, t)).collect());
    Run::new(Setup {
        troubles,
        script: Some(String::new()),
        seconds,
        ..Setup::new(seed)
    })
}
