//! The smallest run that still breaks a rule.
use super::{run, Report, Setup, Trouble};
use tidewall_net::Time;

/// The fewest troubles with which this run still breaks a rule: each is left out in turn, then those of the fleet, then the end
/// of the run. None where it breaks none.
pub fn shrink(setup: &Setup) -> Option<Report> {
    let mut last = run(setup.clone());
    if last.breaches.is_empty() {
        return None;
    }
    let fails = |troubles: &[(Time, Trouble)], script: &str, seconds: f64| {
        let (troubles, script) = (Some(troubles.to_vec()), Some(script.to_string()));
        let report = run(Setup {
            troubles,
            script,
            seconds,
            ..setup.clone()
        });
        (!report.breaches.is_empty()).then_some(report)
    };
    let mut seconds = setup.seconds;
    loop {
        let before = (last.troubles.len(), last.script.lines().count(), seconds);
        for i in (0..last.troubles.len()).rev() {
            let mut fewer = last.troubles.clone();
            fewer.remove(i);
            last = fails(&fewer, &last.script, seconds).unwrap_or(last);
        }
        for i in (0..last.script.lines().count()).rev() {
            let lines = last.script.lines().enumerate().filter(|l| l.0 != i);
            let fewer: String = lines.map(|l| format!("{}\n", l.1)).collect();
            last = fails(&last.troubles, &fewer, seconds).unwrap_or(last);
        }
        // Times of the fleet's troubles are parts of the run: only without them it may be shorter.
        let shorter = (seconds - 0.5).max(1.5);
        if last.script.is_empty() && shorter < seconds {
            if let Some(report) = fails(&last.troubles, "", shorter) {
                (last, seconds) = (report, shorter);
            }
        }
        if before == (last.troubles.len(), last.script.lines().count(), seconds) {
            return Some(last);
        }
    }
}
