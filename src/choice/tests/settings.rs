//! Invalid settings, settings that are left out, and derived values.
use super::help::*;
use super::*;
use test_case::test_case;

#[test_case("rules.cold-ms", "soon", "rules.cold-ms: 'soon' is not a time")]
#[test_case("classes.1.aim-ms", "-1", "classes.1.aim-ms: '-1' is not a time")]
#[test_case("classes.2.aim-ms", "0", "classes.2.aim-ms: neither it nor deadline-ms is set")]
#[test_case("siblings", "0", "siblings: '0' is no whole number from 1 to 1000000")]
#[test_case("siblings", "NaN", "siblings: 'NaN' is no whole number from 1 to 1000000")]
#[test_case("me", "2", "me: 2 is not under siblings, 2")]
#[test_case("classes.count", "", "classes.count: '' is no whole number from 1 to 10000")]
#[test_case("allowed.max-attempts", "0", "allowed.max-attempts: '0' is no number from 1 to 1000000")]
#[test_case("allowed.probes", "yes", "allowed.probes: 'yes' is neither true nor false")]
#[test_case("rules.cold-from", "1.5", "rules.cold-from: '1.5' is no number from 0 to 1")]
fn an_invalid_setting_is_named_in_the_error(key: &str, value: &str, line: &str) {
    let created = Scheduler::new(Calls::default(), 0, 1, settings(&[(key, value)]));
    assert_eq!(created.err().map(|error| error.to_string()).as_deref(), Some(line));
}

// A setting that is left out gets a default with which the scheduler still works, whatever the other settings
// are.
#[test_case("extra.stays-loaded-ms", |t| t.keep_alive == 60 * SECOND; "no keep-alive: loaded until a miss")]
#[test_case("rules.tip-multiple", |t| t.overload_tolerance == 1.0; "no multiple: never above what it can do")]
#[test_case("rules.overload-for-ms", |t| t.overload_window == SECOND; "no span: over any second")]
#[test_case("allowed.max-attempts", |t| t.max_attempts == MAX_ATTEMPTS; "no limit of attempts")]
#[test_case("allowed.max-retry-after-ms", |t| t.max_retry_after > SECOND; "no longest Retry-After")]
#[test_case("siblings", |t| t.gateway_count == 1.0 && !t.large_fleet; "a single gateway")]
fn a_setting_that_is_left_out_has_a_default(key: &str, is_default: fn(&SchedulerConfig) -> bool) {
    let mut settings = settings(&[]);
    settings.remove(key);
    assert!(is_default(&Scheduler::new(Calls::default(), 0, 1, settings).unwrap().config));
}

// With latency objectives of tens of milliseconds, sweeps of 10 ms and waits of 20 ms for health checks used
// up the whole objective.
#[test_case("20", "1", 12, 25; "twenty milliseconds")]
#[test_case("20", "5", 50, 0; "and a coarse clock: no request waits for a load check")]
#[test_case("100", "1", 62, 125; "a hundred")]
#[test_case("400", "1", 100, 200; "four hundred")]
#[test_case("600000", "1", 100, 200; "minutes")]
fn sweeps_and_load_checks_follow_the_objective(objective: &str, tick: &str, sweep: Time, timeout: Time) {
    let scheduler = scheduler_with(1, &[("classes.0.aim-ms", objective), ("tick-ms", tick)]);
    assert_eq!((scheduler.config.sweep_interval, scheduler.config.load_check_timeout), (sweep, timeout));
}

// With reports of queue lengths alone, each request checked two workers, waited, and learned nothing.
#[test_case("q,x0", false)]
#[test_case("busy", true)]
fn load_checks_require_reports_of_load(names: &str, load_checks: bool) {
    let scheduler = scheduler_with(1, &[LARGE_FLEET[0], LARGE_FLEET[1], ("reporting.names", names)]);
    assert_eq!(scheduler.config.load_checks, load_checks);
}

// The setting `aim-stretch`: the latency objective grows with a request's own work, up to its client timeout.
#[test_case(1_000, 12_000.0; "by twice the work")]
#[test_case(90_000, 20_000.0; "not beyond the client timeout")]
fn the_objective_grows_with_the_work(hint: Time, objective: f64) {
    let scheduler = scheduler_with(1, &[("classes.0.aim-stretch", "2"), ("classes.0.deadline-ms", "2000")]);
    assert_eq!(
        scheduler.classes[0].objective_for(&RequestInfo { cost_hint: hint, ..request_info(0) }),
        objective
    );
}
