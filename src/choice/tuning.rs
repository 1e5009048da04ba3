//! Constants and estimates used by several parts of the scheduler. Time spans are in tenths of a millisecond.
use crate::config::RequestClass;
use crate::interface::{RequestInfo, Time, MS, SECOND};

/// The longest interval between two checks of waiting requests and attempts: coarse enough to cost little
/// CPU. The interval is a sixteenth of the shortest latency objective where that is less.
pub(super) const MAX_SWEEP_INTERVAL: Time = 10 * MS;

/// A step of the sliding counters, which cover `COUNTER_STEPS` steps: the design's two seconds for R.
pub const COUNTER_STEP: Time = SECOND / 10;
pub(crate) const COUNTER_STEPS: usize = 20;

/// Upper limit of attempts per request, whatever the settings allow.
pub const MAX_ATTEMPTS: usize = 8;

/// Maximum number of placements per function: several times what a request looks at, but bounded because each
/// of a thousand functions has them.
pub(super) const MAX_PLACEMENTS: usize = 128;

/// Number of workers that are asked which instances of a new function they have.
pub(super) const QUERIED_WORKERS: usize = 12;

/// Maximum number of functions that no worker has shown to know.
pub(super) const MAX_UNCONFIRMED_FUNCTIONS: usize = 4096;

/// Unconfirmed functions that are looked at for each new one, so that their number falls again after many
/// had something in flight.
pub(super) const MAX_FORGOTTEN_AT_ONCE: usize = 4;

/// Memory in bytes that a function takes beside its placements: its state, and its name with the caller.
pub(super) const FUNCTION_SIZE: usize = 1024;

/// Maximum number of queries about unconfirmed functions in a second: what a thousand new functions ask.
pub(super) const MAX_UNCONFIRMED_QUERIES: usize = 1024 * QUERIED_WORKERS;

/// Placements that are visited at once when the endpoint list changes: some 0.1 ms of CPU.
pub(super) const MAX_CHANGES_AT_ONCE: usize = 4096;

/// Functions that one sweep checks at most: some 2 ms of CPU. The rest of a late sweep is left to the next
/// ones.
pub(super) const MAX_CHECKS_IN_A_SWEEP: usize = 256;

/// Initial value of the learned in-flight limit: a few times what two cores run at once. It grows up to the
/// number of requests that a gateway may have in flight in total: dozens of cores, or runs that mostly wait,
/// take hundreds.
pub(super) const INITIAL_IN_FLIGHT_LIMIT: f64 = 8.0;

/// How long the answer to a load check is awaited (several round trips between zones), and how long a report
/// is used.
pub(super) const LOAD_CHECK_TIMEOUT: Time = 20 * MS;
pub(super) const REPORT_LIFETIME: Time = 200 * MS;

/// Clocks of two machines drift apart by less than one part in this many: quartz is within 200 millionths.
pub(super) const CLOCK_RATE_TOLERANCE: Time = 2_000;

/// Used where no drain grace period is set: the shortest that is usual.
pub(super) const DEFAULT_DRAIN_GRACE: Time = SECOND / 2;

/// Part of the drain grace period, a quarter of it at most, that is reserved for the way to the worker: a
/// round trip between zones takes a few milliseconds, a late wake-up some tens.
pub(super) const DEPARTURE_MARGIN: Time = 100 * MS;

/// How long the answer to a service check is awaited before the next worker of the order is used instead:
/// many round trips, and time to open a connection. A silent worker delays a request by no more than this.
pub(super) const SERVICE_CHECK_TIMEOUT: Time = 100 * MS;

/// A worker that denied service is asked again after about this long, so that it is used soon after it is
/// back.
pub(super) const SERVICE_CHECK_INTERVAL: Time = SECOND;

/// A check that could not be sent is repeated after this long: a few wake-ups, in which a file descriptor may
/// become free.
pub(super) const SERVICE_CHECK_RETRY: Time = 5 * MS;

/// A restarted worker has no instances before this long: it takes a second or more to come back, and a load
/// takes most of a second.
pub(super) const SHORTEST_RELOAD: Time = 2 * SECOND;

/// A worker that rejects this many attempts in a row counts as draining, whatever it answers to service
/// checks: two rejections by a full worker are common. From then on each rejection doubles the interval, up
/// to 16 s.
pub(super) const MAX_REJECTIONS: u32 = 3;
pub(super) const MAX_INTERVAL_DOUBLINGS: u32 = 4;

/// A worker cannot end, start and be found again within this time. A connection that is reopened sooner broke
/// without a restart.
pub(super) const SHORTEST_RESTART: Time = SECOND / 2;

/// A worker is full if getting to a request would take it half of the latency objective; the rest is for the
/// run.
pub(super) const FULL_LOAD: f64 = 0.5;

/// Reports are not used while more than this fraction of the answers contradicts them (tried: 0.25).
pub(super) const MAX_REPORT_MISMATCH_RATIO: f64 = 0.15;

/// The benefit of checking two workers before each request, as a fraction of its priority weight: 0.02 to
/// 0.08 (compared with and without checks, on days of 40 to 300 gateways). No checks are sent where two of
/// them cost as much.
pub(super) const LOAD_CHECK_GAIN: f64 = 0.05;

/// Converts a count to a rate. Right after a start, the time since the start is the span, so that a restarted
/// gateway sees its rates at once; at least half a second, or the first few requests would look like a flood.
pub(super) fn per_second((count, span): (f64, Time)) -> f64 {
    count * SECOND as f64 / span.max(SECOND / 2) as f64
}

/// Exponential smoothing over about eight values: stable against noise, quick to follow a change.
pub(super) fn smooth(old: f64, new: f64) -> f64 {
    old + (new - old) / 8.0
}

/// How long an attempt may take before it counts as late: three times the usual latency of a request of this
/// cost, but early enough to leave time for another attempt within the latency objective.
pub(super) fn lateness_limit(class: &RequestClass, info: &RequestInfo) -> Time {
    let (objective, warm) = (class.objective_for(info), class.warm_latency);
    let usual = 3.0 * class.expected_latency(info).max(warm);
    usual.clamp(objective / 4.0, (objective - warm).max(objective / 2.0)) as Time
}
