//! What is looked at again, and that it does not line up.
use super::help::*;
use super::*;
use test_case::test_case;

#[test]
fn functions_that_nothing_asks_for_are_forgotten() {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 0);
    scheduler.advance_clock(NOW + 17 * SECOND);
    scheduler.forget_idle(0);
    assert_eq!(
        (scheduler.host.0.last(), scheduler.functions[0].placements.len()),
        (Some(&Call::ForgetFunction(0)), 0)
    );
}

// The slot of functions to check came from the clock alone: sweeps 20 ms apart passed over every second one for good.
#[test_case(10 * MS; "as set")]
#[test_case(20 * MS; "twice as far apart")]
#[test_case(130 * MS; "uneven and far apart")]
#[test_case(5 * SECOND; "after standstills")]
fn every_function_is_checked_however_late_sweeps_come(apart: Time) {
    let mut scheduler = scheduler_with(1, &[]);
    (0..150).for_each(|f| scheduler.register_function(&RequestInfo { function: f, ..request_info(0) }));
    scheduler.functions.iter_mut().flat_map(|f| &mut f.placements).for_each(|s| s.pending_queries = 0);
    for sweep in 0..3 + 32 * SECOND / apart {
        scheduler.advance_clock(NOW + sweep * apart);
        scheduler.timer_fired(0);
    }
    assert_eq!(scheduler.functions.iter().filter(|f| f.live).count(), 0, "all idle ones are forgotten");
}

#[test]
fn a_function_is_not_forgotten_while_an_ask_is_out() {
    let mut scheduler = scheduler_with(2, &[]);
    scheduler.register_function(&request_info(0));
    scheduler.advance_clock(NOW + 60 * SECOND);
    scheduler.forget_idle(0);
    assert!(scheduler.functions[0].live, "its index would name another when the answer comes");
}

// After one depot stall 200 functions were ordered again in one sweep, at each of the gateways; so were trials and lists.
#[test_case(1; "one gateway")]
#[test_case(20; "many gateways")]
fn repeats_do_not_line_up(gateways: u64) {
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
    assert!(most * 10 < at.len(), "{most} of {} orders fall in one sweep", at.len());
}

#[test]
fn trials_and_lists_do_not_line_up() {
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
        assert!(at[49] - at[0] >= 20, "spread over a fifth of a second at the least");
    }
}
