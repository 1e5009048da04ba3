//! What is looked at again, and that it does not line up.
use super::help::*;
use super::*;
use test_case::test_case;

#[test]
fn functions_that_nothing_asks_for_are_forgotten() {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, 0, 0);
    gw.advance_clock(NOW + 17 * SECOND);
    gw.forget_idle(0);
    assert_eq!((gw.host.0.last(), gw.functions[0].placements.len()), (Some(&Call::Forget(0)), 0));
}

// The slot of functions to check came from the clock alone: sweeps 20 ms apart passed over every second one for good.
#[test_case(10 * MS; "as set")]
#[test_case(20 * MS; "twice as far apart")]
#[test_case(130 * MS; "uneven and far apart")]
#[test_case(5 * SECOND; "after standstills")]
fn every_function_is_checked_however_late_sweeps_come(apart: Time) {
    let mut gw = gateway(1, &[]);
    (0..150).for_each(|f| gw.register_function(&RequestInfo { function: f, ..arrival(0) }));
    gw.functions.iter_mut().flat_map(|f| &mut f.placements).for_each(|s| s.pending_queries = 0);
    for sweep in 0..3 + 32 * SECOND / apart {
        gw.advance_clock(NOW + sweep * apart);
        gw.timer_fired(0);
    }
    assert_eq!(gw.functions.iter().filter(|f| f.live).count(), 0, "all idle ones are forgotten");
}

#[test]
fn a_function_is_not_forgotten_while_an_ask_is_out() {
    let mut gw = gateway(2, &[]);
    gw.register_function(&arrival(0));
    gw.advance_clock(NOW + 60 * SECOND);
    gw.forget_idle(0);
    assert!(gw.functions[0].live, "its index would name another when the answer comes");
}

// After one depot stall 200 functions were ordered again in one sweep, at each of the gateways; so were trials and lists.
#[test_case(1; "one gateway")]
#[test_case(20; "many gateways")]
fn repeats_do_not_line_up(gateways: u64) {
    let mut at = Vec::new();
    for seed in 0..gateways {
        let siblings = gateways.to_string();
        let more = settings(&[("siblings", &siblings)]);
        let mut gw = Scheduler::new(Calls::default(), 0, seed, more).unwrap();
        gw.advance_clock(NOW);
        gw.update_endpoints(&[listed(0), listed(1), listed(2)], true);
        (0..200).for_each(|f| gw.register_function(&RequestInfo { function: f, ..arrival(0) }));
        for f in 0..200 {
            gw.load_request_ended(f, 0, Outcome::AtCapacity, 0);
            gw.load_request_ended(f, 0, Outcome::AtCapacity, 0);
            at.push(
                gw.functions[f].placements.iter().find(|s| s.worker_id == 0).unwrap().blocked_until
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
        let mut gw = Scheduler::new(Calls::default(), 0, seed, settings(&[])).unwrap();
        gw.advance_clock(NOW);
        gw.update_endpoints(&(0..4).map(listed).collect::<Vec<_>>(), true);
        (0..3).for_each(|_| gw.record_failure(0));
        gw.endpoint_update_failed();
        let asked =
            gw.host.0.iter().rev().find_map(|c| if let Call::Timer(t, 1) = c { Some(*t) } else { None });
        (gw.workers[0].ejected_until / MAX_SWEEP_INTERVAL, asked.unwrap() / MAX_SWEEP_INTERVAL)
    });
    let (mut trials, mut lists): (Vec<_>, Vec<_>) = gateways.unzip();
    for at in [&mut trials, &mut lists] {
        at.sort_unstable();
        let most = at.chunk_by(|a, b| a == b).map(<[_]>::len).max().unwrap();
        assert!(most <= 10, "{most} of 50 gateways in one sweep");
        assert!(at[49] - at[0] >= 20, "spread over a fifth of a second at the least");
    }
}
