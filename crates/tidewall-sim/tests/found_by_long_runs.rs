//! Seeds beyond the ranges that CI runs, with which long runs once found a broken rule.
use test_case::test_case;
use tidewall_sim::fleet;
use tidewall_sim::mutate::{self, Mutation, Outcome};
use tidewall_sim::pair;
use tidewall_sim::site::{self, play, Setup};

/// The rule violations of a site whose settings are generated from the seed too, as with
/// `tidewall sim --site --shapes --rate 60`.
fn breaches_of_generated_site(seed: u64) -> Vec<String> {
    let setup = Setup {
        shape: true,
        ..Setup::new(seed, 5.0, 60.0)
    };
    play(&setup).breaches
}

/// Runs two gateways behind one address, as `tidewall sim` does.
fn assert_pair_keeps_the_rules(seed: u64) {
    let report = pair::run(pair::Setup::new(seed));
    assert_eq!(report.breaches, Vec::<String>::new());
}

/// Runs leases with one message changed, as `tidewall sim --fleet --mutate 4` does.
fn assert_leases_are_held_again(seed: u64, message: usize, mutation: Mutation) {
    let setup = fleet::Setup {
        keep: true,
        rate: 0.0,
        ..fleet::Setup::new(seed)
    };
    let (_, base) = mutate::record(&setup);
    assert_eq!(base.breaches, Vec::<String>::new());
    let changed = mutate::play(&setup, message, mutation);
    assert_eq!(changed.breaches, Vec::<String>::new());
    assert_ne!(mutate::outcome(&base, &changed), Outcome::Broken);
}

/// Guards against a response that waits for its replication to the standby until its client has given up.
#[test]
fn pair_1005_a_short_request_is_answered_while_the_link_hangs() {
    assert_pair_keeps_the_rules(1_005);
}

/// Guards against responses that wait for their replication to the standby until their clients have given up: four requests of one
/// run, each with 0.5 s left.
#[test]
fn pair_32811_short_requests_are_answered_while_the_link_hangs() {
    assert_pair_keeps_the_rules(32_811);
}

/// Guards against a response that waits until its client has given up, where the link hangs when 0.12 s are left and the voters
/// have a high latency.
#[test]
fn pair_57443_a_request_with_too_little_time_for_the_voters_is_answered() {
    assert_pair_keeps_the_rules(57_443);
}

/// Guards against the response "not admitted, too late" to a repeat whose request is in flight and is executed.
#[test]
fn pair_102792_a_late_repeat_of_a_request_in_flight_is_not_rejected() {
    assert_pair_keeps_the_rules(102_792);
}

/// Guards against a response that crosses the cancellation of a client which gives up at the moment when its stalled gateway
/// continues.
#[test]
fn site_4107_a_client_that_gives_up_as_its_gateway_goes_on_hears_no_more() {
    let report = site::run(4_107, 5.0, 120.0, None, false);
    assert_eq!(report.breaches, Vec::<String>::new());
}

/// Guards against a second execution by a member that continues a request which its draining peer completes.
#[test_case(10_166)]
#[test_case(13_135)]
#[test_case(67_790)]
fn pair_requests_that_wait_for_a_fence_outlast_no_handover(seed: u64) {
    assert_pair_keeps_the_rules(seed);
}

/// Guards against a second execution at a takeover; each ran an at-most-once request twice.
#[test_case(39_999)]
#[test_case(44_684)]
fn pair_a_takeover_executes_nothing_twice(seed: u64) {
    assert_pair_keeps_the_rules(seed);
}

/// Guards against a second execution by a former active member whose records the new one acknowledged.
#[test]
fn pair_36604_a_fenced_member_gets_no_acknowledgement() {
    assert_pair_keeps_the_rules(36_604);
}

/// Guards against a second execution at a takeover from a member that did not know what was in flight before it.
#[test]
fn pair_38502_a_standby_learns_that_the_history_is_unknown() {
    assert_pair_keeps_the_rules(38_502);
}

/// Guards against more load requests in a window than the requests in it allow.
#[test]
fn shape_1967_load_requests_of_a_long_window_stay_within_the_limit() {
    assert_eq!(breaches_of_generated_site(1_967), Vec::<String>::new());
}

/// Guards against a worker in slow start that gets more than it can take.
#[test]
fn shape_2316_a_worker_in_slow_start_is_not_overloaded() {
    assert_eq!(breaches_of_generated_site(2_316), Vec::<String>::new());
}

/// Guards against a worker in slow start that gets more than it can take: two attempts of five times the usual cost.
#[test]
fn shape_13421_a_worker_in_slow_start_is_not_overloaded() {
    assert_eq!(breaches_of_generated_site(13_421), Vec::<String>::new());
}

/// Guards against two gateways that each send one attempt to a worker in slow start because each rounds its small share up.
#[test]
fn shape_5589_two_gateways_do_not_round_up_at_once() {
    assert_eq!(breaches_of_generated_site(5_589), Vec::<String>::new());
}

/// Guards against a single attempt that overloads a worker in slow start, where no earlier attempt showed what it costs.
#[test]
fn shape_13241_one_attempt_does_not_overload_a_worker_in_slow_start() {
    assert_eq!(breaches_of_generated_site(13_241), Vec::<String>::new());
}

/// Guards against an overloaded worker in slow start where several gateways each send it their first attempt, and the cost of
/// attempts has risen for all of them at once.
#[test]
fn shape_several_gateways_first_attempts_do_not_overload_a_worker_in_slow_start() {
    let seeds = [5_262, 10_684, 11_781, 12_257];
    let breaches: Vec<String> = seeds
        .into_iter()
        .flat_map(breaches_of_generated_site)
        .collect();
    assert_eq!(breaches, Vec::<String>::new());
}

/// Guards against load requests to a worker that has reported its drain.
#[test]
fn shape_10244_no_load_request_follows_a_drain() {
    assert_eq!(breaches_of_generated_site(10_244), Vec::<String>::new());
}

/// Guards against a request that is left without a response when it falls due as its gateway is stopped.
#[test]
fn shape_3422_a_request_due_as_its_gateway_is_stopped_is_answered() {
    assert_eq!(breaches_of_generated_site(3_422), Vec::<String>::new());
}

/// Guards against a request that is left without a response when it falls due one tick before or after its gateway is stopped.
#[test]
fn shape_12030_a_request_due_as_its_gateway_is_stopped_is_answered() {
    assert_eq!(breaches_of_generated_site(12_030), Vec::<String>::new());
}

/// Guards against more load requests in a window than the requests in it allow.
#[test]
fn shape_3440_load_requests_without_free_ones_stay_within_the_limit() {
    assert_eq!(breaches_of_generated_site(3_440), Vec::<String>::new());
}

/// Guards against more load requests in a window than the requests in it allow, where a connection was opened for one of them.
#[test]
fn shape_5342_load_requests_behind_a_new_connection_stay_within_the_limit() {
    assert_eq!(breaches_of_generated_site(5_342), Vec::<String>::new());
}

/// Guards against leases that stay without a holder after one message with a field one too low.
#[test]
fn fleet_797_leases_are_held_again_after_a_lowered_field() {
    assert_leases_are_held_again(797, 1_310, Mutation::Former(1));
}

/// Guards against leases that stay without a holder after one message with a field at its greatest value.
#[test]
fn fleet_924_leases_are_held_again_after_a_field_at_its_greatest() {
    assert_leases_are_held_again(924, 288, Mutation::Greatest(4));
}
