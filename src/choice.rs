//! All scheduling decisions of a gateway that routes requests to workers. Each file in `choice/` covers one
//! concern. The algorithm is described in docs/design.md. Deviations from it are marked "Departure" here and
//! explained there. The operators' deploy page names this file, so the file keeps its name. The type is
//! `Scheduler`.
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
mod unconfirmed;

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
    /// Creates a scheduler that starts at `now`, with `seed` for its random numbers. Fails if a setting is
    /// invalid.
    pub fn new(host: A, now: Time, seed: u64, settings: Settings) -> Result<Scheduler<A>, SettingsError> {
        validate(&settings)?;
        let classes = (0..settings.number("classes.count") as usize).map(|i| settings.request_class(i));
        // The design's initial estimate of the warm latency: a tenth of the latency objective.
        let with_initial_estimates = |class: RequestClass| RequestClass {
            observed_objective: class.latency_objective as f64,
            warm_latency: class.latency_objective as f64 / 10.0,
            ..class
        };
        let classes: Vec<RequestClass> = classes.map(with_initial_estimates).collect();
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

    /// Returns a random span between three quarters and five quarters of `span`. Without it, functions or
    /// gateways that fail at the same moment would retry together, and again after each further span.
    fn jitter(&mut self, span: Time) -> Time {
        span * 3 / 4 + Time::from(self.random.below((span / 2) as u32 + 1))
    }
}

/// Derives the configuration that the decisions read: values that follow from other settings, and defaults
/// for settings that are left out.
fn configure(settings: &Settings, classes: &[RequestClass]) -> SchedulerConfig {
    let (mut config, minute) = (settings.scheduler_config(), 60 * SECOND);
    config.large_fleet = config.gateway_count >= 8.0; // the known fleets have 3 gateways, or 20 and more
    config.load_checks &= config.large_fleet && settings.number("deductions.probe") < LOAD_CHECK_GAIN / 2.0;
    // Other gateways renew instances too: with S gateways, no own request during S keep-alives corresponds to
    // one keep-alive without requests at the instance. Bounded by a minute, because popularity shifts. Where
    // no keep-alive is set, instances are assumed to stay loaded until a miss.
    let keep_alive = config.keep_alive;
    let fleet_keep_alive =
        keep_alive.saturating_mul(config.gateway_count as Time).min(minute).max(keep_alive);
    // Instances are not presumed loaded where a request has one attempt only, which a miss would use up. The
    // first attempt that shows whether the function exists is the exception.
    config.presume_loaded = config.large_fleet && config.max_attempts > 1;
    config.keep_alive = if config.presume_loaded { fleet_keep_alive } else { keep_alive };
    config.keep_alive = if config.keep_alive == 0 { minute } else { config.keep_alive };
    let shortest_objective = classes.iter().map(|class| class.latency_objective).min().unwrap_or(SECOND);
    config.sweep_interval = (shortest_objective / 16).max(config.tick).clamp(MS, MAX_SWEEP_INTERVAL);
    // Like other waits, waiting for a load check is bounded by an eighth of the latency objective. Where that
    // is shorter than the sweep interval, no request waits for a load check.
    let may_wait = shortest_objective / 8 >= config.sweep_interval;
    config.load_check_timeout = if may_wait { LOAD_CHECK_TIMEOUT.min(shortest_objective / 8) } else { 0 };
    config.drain_grace = if config.drain_grace > 0 { config.drain_grace } else { DEFAULT_DRAIN_GRACE };
    // Safe defaults where they are not set: a worker is overloaded as soon as it gets more than it can do at
    // its present warm-up, over any second.
    let (tolerance, window) = (config.overload_tolerance, config.overload_window);
    config.overload_tolerance = if tolerance > 0.0 { tolerance } else { 1.0 };
    config.overload_window = if window > 0 { window } else { SECOND };
    config
}

#[cfg(test)]
mod tests;
