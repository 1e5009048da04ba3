//! All decisions of a gateway that routes requests to workers; each file beneath `choice/` has one concern.
//! The mechanism is that of docs/design.md; what departs from it is marked "Departure" and explained there.
//! The operators' deploy page names this file, so it keeps its name; the type is `Scheduler`.
mod attempts;
mod endpoint_age;
mod load_checks;
mod load_requests;
mod outcomes;
mod outliers;
mod placements;
mod presumed_starts;
mod requests;
mod scaling;
mod selection;
mod service_answers;
mod slow_start;
mod sweep;
pub(crate) mod tuning;

pub use crate::interface::{ENDPOINT_TIMER, SWEEP_TIMER};
pub use crate::scheduler::Scheduler;
pub use tuning::{COUNTER_STEP, MAX_ATTEMPTS};

use crate::config::{KeyScope, RequestClass, RetrySafety, SchedulerConfig};
use crate::counter::{indicator, update_mean, TwoLowest};
use crate::interface::*;
use crate::random::RandomGenerator;
use crate::service_evidence::{EndpointListAge, ServiceEvidence};
use crate::settings::{validate, Settings, SettingsError, SettingsReader};
use crate::state::*;
use tuning::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// A scheduler that starts at `now`; `seed` that of its random numbers. Settings without sense fail.
    pub fn new(host: A, now: Time, seed: u64, settings: Settings) -> Result<Scheduler<A>, SettingsError> {
        validate(&settings)?;
        let classes = (0..settings.number("classes.count") as usize).map(|i| settings.request_class(i));
        // The page's start: a tenth of the latency objective.
        let start = |class: RequestClass| RequestClass {
            observed_objective: class.latency_objective as f64,
            warm_latency: class.latency_objective as f64 / 10.0,
            ..class
        };
        let classes: Vec<RequestClass> = classes.map(start).collect();
        let tenants = (0..settings.number("tenants.count") as usize).map(|i| settings.tenant(i)).collect();
        let config = configure(&settings, &classes);
        let random = RandomGenerator::new(seed);
        let mut scheduler = Scheduler::empty(host, now, random, config, (classes, tenants));
        scheduler.last_sweep = now / MAX_SWEEP_INTERVAL;
        if scheduler.config.endpoints_on_request {
            scheduler.host.watch_endpoints(true);
        }
        scheduler.host.set_timer(scheduler.config.sweep_interval, SWEEP_TIMER);
        Ok(scheduler)
    }

    /// Three quarters to five quarters of a span. Guards against whatever strikes many functions or gateways
    /// at one moment: what they try again must not meet again, and again, a span later.
    fn jitter(&mut self, span: Time) -> Time {
        span * 3 / 4 + Time::from(self.random.below((span / 2) as u32 + 1))
    }
}

/// The settings as the decisions use them: what follows from others, and defaults that are decisions.
fn configure(settings: &Settings, classes: &[RequestClass]) -> SchedulerConfig {
    let (mut config, minute) = (settings.scheduler_config(), 60 * SECOND);
    config.large_fleet = config.gateway_count >= 8.0; // well between the fleets seen, of 3 and of 20 and more
    config.load_checks &= config.large_fleet && settings.number("deductions.probe") < LOAD_CHECK_GAIN / 2.0;
    // Other gateways renew instances too: with S gateways a silence of S keep-alives here is one of a
    // keep-alive at the instance; a minute at most, as popularity moves on, and where none is set: until a
    // miss.
    let keep_alive = config.keep_alive;
    let shared = keep_alive.saturating_mul(config.gateway_count as Time).min(minute).max(keep_alive);
    // Nothing is presumed where the miss would be the only attempt, but to show that a function exists.
    config.presume_loaded = config.large_fleet && config.max_attempts > 1;
    config.keep_alive = if config.presume_loaded { shared } else { keep_alive };
    config.keep_alive = if config.keep_alive == 0 { minute } else { config.keep_alive };
    let shortest = classes.iter().map(|class| class.latency_objective).min().unwrap_or(SECOND);
    config.sweep_interval = (shortest / 16).max(config.tick).clamp(MS, MAX_SWEEP_INTERVAL);
    // Where an eighth of it, as other waits, is over before a sweep no request waits for a load check.
    let waits = shortest / 8 >= config.sweep_interval;
    config.load_check_timeout = if waits { LOAD_CHECK_TIMEOUT.min(shortest / 8) } else { 0 };
    config.drain_grace = if config.drain_grace > 0 { config.drain_grace } else { DEFAULT_DRAIN_GRACE };
    // The safe way where they are not set: what a worker can do by now, over any second.
    let (tolerance, window) = (config.overload_tolerance, config.overload_window);
    config.overload_tolerance = if tolerance > 0.0 { tolerance } else { 1.0 };
    config.overload_window = if window > 0 { window } else { SECOND };
    config
}

#[cfg(test)]
mod tests;
