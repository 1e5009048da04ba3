//! Estimates: rates, smoothing, and how long a request usually takes, should take and may take.
use super::*;

/// Right after a start the time that there was counts, so that a restarted gateway sees its rates at once;
/// half a second at the least, or the first few requests would look like a flood.
pub(super) fn per_second((count, span): (f64, Time)) -> f64 {
    count * SECOND as f64 / span.max(SECOND / 2) as f64
}

/// Smoothing over about eight values: steady against chance, quick against change.
pub(super) fn smooth(old: f64, new: f64) -> f64 {
    old + (new - old) / 8.0
}

/// The usual warm latency of a request of this cost, where costs are hinted.
pub(super) fn expected_latency(class: &RequestClass, info: &RequestInfo) -> f64 {
    let hinted = class.mean_cost > 0.0 && info.cost_hint > 0;
    class.warm_latency * if hinted { info.cost_hint as f64 / class.mean_cost } else { 1.0 }
}

/// The latency objective as clients show it, longer for much work where the settings say so.
pub(super) fn latency_objective(class: &RequestClass, info: &RequestInfo) -> f64 {
    (class.observed_objective + class.objective_per_cost * info.cost_hint as f64).min(class.client_timeout)
}

/// How long an attempt may take before it is late: three times the usual for a request of this cost, but
/// early enough for another attempt within the latency objective.
pub(super) fn lateness_limit(class: &RequestClass, info: &RequestInfo) -> Time {
    let (objective, warm) = (latency_objective(class, info), class.warm_latency);
    let usual = 3.0 * expected_latency(class, info).max(warm);
    usual.clamp(objective / 4.0, (objective - warm).max(objective / 2.0)) as Time
}
