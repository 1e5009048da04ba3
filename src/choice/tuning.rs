//! Constants and estimates that more than one part of the decisions uses. Spans: tenths of a millisecond.
use crate::config::RequestClass;
use crate::interface::{RequestInfo, Time, MS, SECOND};

/// How often waiting requests are looked at again and attempts checked, at the most: coarse enough to cost
/// little CPU. A sixteenth of the shortest latency objective where that is less.
pub(super) const MAX_SWEEP_INTERVAL: Time = 10 * MS;

/// A step of the counts that slide over `COUNTER_STEPS` of them: the page's two seconds for R.
pub const COUNTER_STEP: Time = SECOND / 10;
pub(crate) const COUNTER_STEPS: usize = 20;

/// More attempts than this a request never gets, whatever the settings allow.
pub const MAX_ATTEMPTS: usize = 8;

/// Placements of a function at most, several times what a request looks at: a thousand functions have them.
pub(super) const MAX_PLACEMENTS: usize = 128;

/// Placements that are looked at in one go where the endpoint list changes: some 0.1 ms of CPU.
pub(super) const MAX_CHANGES_AT_ONCE: usize = 4096;

/// Functions that one sweep checks at most: some 2 ms of CPU. What a late sweep leaves goes with the next
/// ones.
pub(super) const MAX_CHECKS_IN_A_SWEEP: usize = 256;

/// Where the learned limit starts: a few times what two cores run at once. It stops growing at what a gateway
/// may have in flight in all: dozens of cores, or runs that mostly wait, take hundreds.
pub(super) const INITIAL_IN_FLIGHT_LIMIT: f64 = 8.0;

/// How long a load check's answer is waited for, several round trips between zones, and how long it holds.
pub(super) const LOAD_CHECK_TIMEOUT: Time = 20 * MS;
pub(super) const REPORT_LIFETIME: Time = 200 * MS;

/// Clocks of two machines run apart by less than one part in so many: quartz is within 200 millionths.
pub(super) const CLOCK_RATE_TOLERANCE: Time = 2_000;

/// Where no drain grace period is told: the shortest that is usual.
pub(super) const DEFAULT_DRAIN_GRACE: Time = SECOND / 2;

/// So much of the drain grace period, and a quarter of it at most, is left for the way to the worker: a
/// round trip between zones is a few milliseconds, a late wake-up some tens.
pub(super) const DEPARTURE_MARGIN: Time = 100 * MS;

/// How long the answer to whether a worker is in service is waited for before the next of the order takes
/// its place: many round trips, and time for a connection; a silent worker costs a request no more.
pub(super) const SERVICE_CHECK_TIMEOUT: Time = 100 * MS;

/// A worker that denied service is asked again after about this long, so that one that is back is soon used.
pub(super) const SERVICE_CHECK_INTERVAL: Time = SECOND;

/// After this it is asked again where it could not be asked: a few wake-ups, in which a descriptor may be
/// free again.
pub(super) const SERVICE_CHECK_RETRY: Time = 5 * MS;

/// A worker that restarts has no instance again sooner: it takes a second or more to be back, and a load
/// most of one.
pub(super) const SHORTEST_RELOAD: Time = 2 * SECOND;

/// A worker that turns away so many attempts in a row counts as draining whatever it says of itself: two of
/// a full one are common. From then on the interval is doubled with each, up to 16 s.
pub(super) const MAX_REJECTIONS: u32 = 3;
pub(super) const MAX_INTERVAL_DOUBLINGS: u32 = 4;

/// A worker cannot end, start and be found again within this time; a connection that is opened anew sooner
/// broke by itself.
pub(super) const SHORTEST_RESTART: Time = SECOND / 2;

/// A worker that would take half a request's latency objective to get to it is full (the rest is its run).
pub(super) const FULL_LOAD: f64 = 0.5;

/// Reports are not used while more than this part of the answers contradicts them (tried: 0.25).
pub(super) const MAX_REPORT_DISTRUST: f64 = 0.15;

/// What checking two workers before each request brings, of its priority weight: 0.02 to 0.08 (with and
/// without, on days of 40 to 300 gateways). Where two checks cost as much there are none.
pub(super) const LOAD_CHECK_GAIN: f64 = 0.05;

/// Right after a start the time that there was counts, so that a restarted gateway sees its rates at once;
/// half a second at the least, or the first few requests would look like a flood.
pub(super) fn per_second((count, span): (f64, Time)) -> f64 {
    count * SECOND as f64 / span.max(SECOND / 2) as f64
}

/// Smoothing over about eight values: steady against chance, quick against change.
pub(super) fn smooth(old: f64, new: f64) -> f64 {
    old + (new - old) / 8.0
}

/// How long an attempt may take before it is late: three times the usual for a request of this cost, but
/// early enough for another attempt within the latency objective.
pub(super) fn lateness_limit(class: &RequestClass, info: &RequestInfo) -> Time {
    let (objective, warm) = (class.objective_for(info), class.warm_latency);
    let usual = 3.0 * class.expected_latency(info).max(warm);
    usual.clamp(objective / 4.0, (objective - warm).max(objective / 2.0)) as Time
}
