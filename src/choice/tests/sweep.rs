//! Periodic checks, and that gateways do not retry at the same moments.
use super::help::*;
use super::*;
use test_case::test_case;

#[test]
fn functions_without_requests_are_forgotten() {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 0);
    scheduler.advance_clock(NOW + 17 * SECOND);
    scheduler.forget_idle(0);
    assert_eq!(
        (scheduler.host.0.last(), scheduler.functions[0].placements.len()),
        (Some(&Call::ForgetFunction(0)), 0)
    );
}

// Which functions a sweep checked used to depend on the clock alone: with sweeps 20 ms apart, every second
// function was never checked.
#[test_case(10 * MS; "at the set interval")]
#[test_case(20 * MS; "twice as far apart")]
#[test_case(130 * MS; "uneven and far apart")]
#[test_case(5 * SECOND; "after pauses of the process")]
fn every_function_is_checked_however_late_sweeps_come(apart: Time) {
    let mut scheduler = scheduler_with(1, &[]);
    (0..150).for_each(|f| scheduler.register_function(&RequestInfo { function: f, ..request_info(0) }));
    scheduler.functions.iter_mut().flat_map(|f| &mut f.placements).for_each(|s| s.pending_queries = 0);
    for sweep in 0..3 + 32 * SECOND / apart {
        scheduler.advance_clock(NOW + sweep * apart);
        scheduler.timer_fired(0);
    }
    assert_eq!(
        scheduler.functions.iter().filter(|f| f.live).count(),
        0,
        "an idle function was not forgotten"
    );
}

#[test]
fn a_function_is_not_forgotten_while_a_query_is_pending() {
    let mut scheduler = scheduler_with(2, &[]);
    scheduler.register_function(&request_info(0));
    scheduler.advance_clock(NOW + 60 * SECOND);
    scheduler.forget_idle(0);
    assert!(scheduler.functions[0].live, "the pending answer would be attributed to another function");
}

// After one stall of the depot, every gateway requested 200 functions again within one sweep. Trials of
// ejected workers and list requests coincided in the same way.
#[test_case(1; "one gateway")]
#[test_case(20; "many gateways")]
fn repeated_load_requests_are_spread(gateways: u64) {
    let mut at = Vec::new();
    for seed in 0..gateways {
        let siblings = gateways.to_string();
        let more = settings(&[("siblings", &siblings)]);
        let mut scheduler = Scheduler::new(Calls::default(), 0, seed, more).unwrap();
        scheduler.advance_clock(NOW);
        scheduler.update_endpoints(&[endpoint_entry(0), endpoint_entry(1), endpoint_entry(2)], true);
        (0..200).for_each(|f| scheduler.register_function(&RequestInfo { function: f, ..request_info(0) }));
        for f in 0..200 {
            scheduler.load_request_ended(f, 0, Outcome::AtCapacity, 0);
            scheduler.load_request_ended(f, 0, Outcome::AtCapacity, 0);
            at.push(
                scheduler.functions[f].placements.iter().find(|s| s.worker_id == 0).unwrap().blocked_until
                    / MAX_SWEEP_INTERVAL,
            );
        }
    }
    at.sort_unstable();
    let most = at.chunk_by(|a, b| a == b).map(<[_]>::len).max().unwrap();
    assert!(most * 10 < at.len(), "{most} of {} load requests fall in one sweep", at.len());
}

#[test]
fn trials_and_list_requests_are_spread() {
    let gateways = (0..50).map(|seed| {
        let mut scheduler = Scheduler::new(Calls::default(), 0, seed, settings(&[])).unwrap();
        scheduler.advance_clock(NOW);
        scheduler.update_endpoints(&(0..4).map(endpoint_entry).collect::<Vec<_>>(), true);
        (0..3).for_each(|_| scheduler.record_failure(0));
        scheduler.endpoint_update_failed();
        let asked =
            scheduler
                .host
                .0
                .iter()
                .rev()
                .find_map(|c| if let Call::Timer(t, 1) = c { Some(*t) } else { None });
        (scheduler.workers[0].ejected_until / MAX_SWEEP_INTERVAL, asked.unwrap() / MAX_SWEEP_INTERVAL)
    });
    let (mut trials, mut lists): (Vec<_>, Vec<_>) = gateways.unzip();
    for at in [&mut trials, &mut lists] {
        at.sort_unstable();
        let most = at.chunk_by(|a, b| a == b).map(<[_]>::len).max().unwrap();
        assert!(most <= 10, "{most} of 50 gateways in one sweep");
        assert!(at[49] - at[0] >= 20, "spread over less than a fifth of a second");
    }
}
