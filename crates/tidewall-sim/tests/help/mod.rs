//! Runs of a pair with the faults that a test chooses.
use tidewall_sim::pair::{Fault, Run, Setup};

/// Starts a run in which these faults begin at 2 s; there are no worker faults.
pub fn run_with_faults(seed: u64, faults: Vec<Fault>, seconds: f64) -> Run {
    let faults = Some(faults.into_iter().map(|fault| (20_000, fault)).collect());
    Run::new(Setup {
        faults,
        script: Some(String::new()),
        seconds,
        ..Setup::new(seed)
    })
}
