//! Settings that make no sense, that are left out, and what follows from them.
use super::help::*;
use super::*;
use test_case::test_case;

#[test_case("rules.cold-ms", "soon", "rules.cold-ms: 'soon' is not a time")]
#[test_case("classes.1.aim-ms", "-1", "classes.1.aim-ms: '-1' is not a time")]
#[test_case("classes.2.aim-ms", "0", "classes.2.aim-ms: neither it nor deadline-ms is told")]
#[test_case("siblings", "0", "siblings: '0' is no whole number from 1 to 1000000")]
#[test_case("siblings", "NaN", "siblings: 'NaN' is no whole number from 1 to 1000000")]
#[test_case("me", "2", "me: 2 is not under siblings, 2")]
#[test_case("classes.count", "", "classes.count: '' is no whole number from 1 to 10000")]
#[test_case("allowed.max-attempts", "0", "allowed.max-attempts: '0' is no number from 1 to 1000000")]
#[test_case("allowed.probes", "yes", "allowed.probes: 'yes' is neither true nor false")]
#[test_case("rules.cold-from", "1.5", "rules.cold-from: '1.5' is no number from 0 to 1")]
fn a_setting_that_cannot_be_meant_is_named(key: &str, value: &str, line: &str) {
    let made = Scheduler::new(Calls::default(), 0, 1, settings(&[(key, value)]));
    assert_eq!(made.err().map(|error| error.to_string()).as_deref(), Some(line));
}

// What is left out takes a default that still lets the module work, whatever else is given.
#[test_case("extra.stays-loaded-ms", |t| t.keep_alive == 60 * SECOND; "no keep-alive: a copy stands until a miss")]
#[test_case("rules.tip-multiple", |t| t.overload_tolerance == 1.0; "no multiple: never above what it can do")]
#[test_case("rules.overload-for-ms", |t| t.overload_window == SECOND; "no span: over any second")]
#[test_case("allowed.max-attempts", |t| t.max_attempts == MAX_ATTEMPTS; "no bound of launches")]
#[test_case("allowed.max-retry-after-ms", |t| t.max_retry_after > SECOND; "no longest time to come back")]
#[test_case("siblings", |t| t.gateway_count == 1.0 && !t.large_fleet; "a gateway alone")]
fn a_setting_that_is_left_out(key: &str, sound: fn(&SchedulerConfig) -> bool) {
    let mut settings = settings(&[]);
    settings.remove(key);
    assert!(sound(&Scheduler::new(Calls::default(), 0, 1, settings).unwrap().config));
}

// Target times of tens of milliseconds: sweeps and waits for health checks of 10 and 20 ms left nothing of them.
#[test_case("20", "1", 12, 25; "twenty milliseconds")]
#[test_case("20", "5", 50, 0; "and a slow clock: no event waits for a probe")]
#[test_case("100", "1", 62, 125; "a hundred")]
#[test_case("400", "1", 100, 200; "as before")]
#[test_case("600000", "1", 100, 200; "minutes")]
fn sweeps_and_looks_go_by_the_target_time(target: &str, tick: &str, sweep: Time, look: Time) {
    let scheduler = scheduler_with(1, &[("classes.0.aim-ms", target), ("tick-ms", tick)]);
    assert_eq!((scheduler.config.sweep_interval, scheduler.config.load_check_timeout), (sweep, look));
}

// Reports of queues alone: each request checked two workers, waited, and learned nothing.
#[test_case("q,x0", false)]
#[test_case("busy", true)]
fn only_reports_that_tell_of_load_are_asked_for(names: &str, looks: bool) {
    let scheduler = scheduler_with(1, &[LARGE_FLEET[0], LARGE_FLEET[1], ("reporting.names", names)]);
    assert_eq!(scheduler.config.load_checks, looks);
}

// The wire's aim-stretch: the latency objective grows with a request's own work, up to its max age.
#[test_case(1_000, 12_000.0; "by twice its work")]
#[test_case(90_000, 20_000.0; "not beyond the max age")]
fn the_target_time_stretches_with_the_work(hint: Time, target: f64) {
    let scheduler = scheduler_with(1, &[("classes.0.aim-stretch", "2"), ("classes.0.deadline-ms", "2000")]);
    assert_eq!(
        scheduler.classes[0].objective_for(&RequestInfo { cost_hint: hint, ..request_info(0) }),
        target
    );
}
