//! Constants that more than one part of the decisions uses. Spans are in tenths of a millisecond.
use crate::interface::Time;

pub(super) const MS: Time = 10;
pub(super) const SECOND: Time = 10_000;

/// Token of the timer of the sweep over the requests in hand.
pub const SWEEP_TIMER: u64 = 0;

/// Token of the timer after which the endpoint list is asked for again.
pub const ENDPOINT_TIMER: u64 = 1;

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

/// Where the learned limit starts: a few times what two cores run at once. It stops growing at what a gateway
/// may have in flight in all: dozens of cores, or runs that mostly wait, take hundreds.
pub(super) const INITIAL_IN_FLIGHT_LIMIT: f64 = 8.0;

/// How long a load check's answer is waited for, several round trips between zones, and how long it holds.
pub(super) const LOAD_CHECK_TIMEOUT: Time = 20 * MS;
pub(super) const REPORT_LIFETIME: Time = 200 * MS;

/// A worker that would take half a request's latency objective to get to it is full (the rest is its run).
pub(super) const FULL_LOAD: f64 = 0.5;

/// Reports are not used while more than this part of the answers contradicts them (tried: 0.25).
pub(super) const MAX_REPORT_DISTRUST: f64 = 0.15;

/// What checking two workers before each request brings, of its priority weight: 0.02 to 0.08 (with and
/// without, on days of 40 to 300 gateways). Where two checks cost as much there are none.
pub(super) const LOAD_CHECK_GAIN: f64 = 0.05;
