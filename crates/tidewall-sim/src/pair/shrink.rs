//! Reduces a failing run to a smaller one that still breaks a rule.
use super::{run, Fault, Report, Setup};
use tidewall_net::Time;

/// Reduces the faults of a run that breaks a rule: removes each member fault in turn, then each line of the
/// script, then the end of the run, and keeps what still breaks a rule, until nothing more can be removed.
/// None if the run breaks no rule.
pub fn shrink(setup: &Setup) -> Option<Report> {
    let mut last = run(setup.clone());
    if last.breaches.is_empty() {
        return None;
    }
    let fails = |faults: &[(Time, Fault)], script: &str, seconds: f64| {
        let (faults, script) = (Some(faults.to_vec()), Some(script.to_string()));
        let report = run(Setup {
            faults,
            script,
            seconds,
            ..setup.clone()
        });
        (!report.breaches.is_empty()).then_some(report)
    };
    let mut seconds = setup.seconds;
    loop {
        let before = (last.faults.len(), last.script.lines().count(), seconds);
        for i in (0..last.faults.len()).rev() {
            let mut fewer = last.faults.clone();
            fewer.remove(i);
            last = fails(&fewer, &last.script, seconds).unwrap_or(last);
        }
        for i in (0..last.script.lines().count()).rev() {
            let lines = last.script.lines().enumerate().filter(|l| l.0 != i);
            let fewer: String = lines.map(|l| format!("{}\n", l.1)).collect();
            last = fails(&last.faults, &fewer, seconds).unwrap_or(last);
        }
        // A script gives its times as fractions of the run, which a shorter run would move.
        let shorter = (seconds - 0.5).max(1.5);
        if last.script.is_empty() && shorter < seconds {
            if let Some(report) = fails(&last.faults, "", shorter) {
                (last, seconds) = (report, shorter);
            }
        }
        if before == (last.faults.len(), last.script.lines().count(), seconds) {
            return Some(last);
        }
    }
}
