//! What a new active member does with the requests in flight of the former one.
use test_case::test_case;
use tidewall_failover::recovery::{
    deadline_margin, fails_at_takeover, give_up_link_at, give_up_record_at, recovery_action,
    retry_deadline, unrecorded_retry_action, Attempt, AttemptState, RecoveryAction, RetrySafety,
    UnrecordedRetryAction,
};

const GLOBAL_KEY: RetrySafety = RetrySafety::IdempotencyKey {
    global: true,
    window: 40_000,
};
const GROUP_KEY: RetrySafety = RetrySafety::IdempotencyKey {
    global: false,
    window: 40_000,
};

fn attempts(states: &[AttemptState]) -> Vec<Attempt> {
    states
        .iter()
        .enumerate()
        .map(|(worker, state)| Attempt {
            worker,
            sent_at: 10_000,
            state: *state,
        })
        .collect()
}

#[test_case(RetrySafety::NonIdempotent, &[], 20_000, RecoveryAction::Continue ; "non-idempotent, never sent")]
#[test_case(RetrySafety::NonIdempotent, &[AttemptState::NotExecuted], 20_000, RecoveryAction::Continue ; "non-idempotent, proven not executed")]
#[test_case(RetrySafety::NonIdempotent, &[AttemptState::InFlight], 20_000, RecoveryAction::Fail ; "non-idempotent, in flight")]
#[test_case(RetrySafety::NonIdempotent, &[AttemptState::NotExecuted, AttemptState::MayHaveExecuted], 20_000, RecoveryAction::Fail ; "non-idempotent, may have been executed")]
#[test_case(RetrySafety::NonIdempotent, &[], 10_050, RecoveryAction::Reject ; "non-idempotent, never sent, no time left")]
#[test_case(RetrySafety::Idempotent, &[AttemptState::MayHaveExecuted], 20_000, RecoveryAction::Continue ; "idempotent, may have been executed")]
#[test_case(RetrySafety::Idempotent, &[AttemptState::InFlight], 20_000, RecoveryAction::AwaitFencing ; "idempotent, in flight at a worker that is not fenced")]
#[test_case(RetrySafety::Idempotent, &[AttemptState::MayHaveExecuted, AttemptState::InFlight], 20_000, RecoveryAction::Continue ; "idempotent, in flight at a fenced worker")]
#[test_case(RetrySafety::Idempotent, &[AttemptState::InFlight], 10_050, RecoveryAction::Fail ; "idempotent, in flight, no time left")]
#[test_case(GLOBAL_KEY, &[AttemptState::MayHaveExecuted], 20_000, RecoveryAction::Continue ; "global key, may have been executed")]
#[test_case(GROUP_KEY, &[AttemptState::MayHaveExecuted], 20_000, RecoveryAction::Fail ; "group key, may have been executed")]
#[test_case(GROUP_KEY, &[AttemptState::NotExecuted], 20_000, RecoveryAction::Continue ; "group key, proven not executed")]
#[test_case(RetrySafety::IdempotencyKey { global: true, window: 50 }, &[AttemptState::MayHaveExecuted], 20_000, RecoveryAction::Fail ; "global key, its window is over")]
fn a_request_in_flight_is_recovered_by_what_is_proven_of_its_attempts(
    retry_safety: RetrySafety,
    states: &[AttemptState],
    deadline: u64,
    expected: RecoveryAction,
) {
    assert_eq!(
        recovery_action(
            retry_safety,
            false,
            10_000,
            deadline,
            &attempts(states),
            |worker| worker == 1
        ),
        expected
    );
}

#[test]
fn with_hedging_no_fencing_is_awaited() {
    let in_flight = attempts(&[AttemptState::InFlight]);
    assert_eq!(
        recovery_action(RetrySafety::Idempotent, true, 0, 9_000, &in_flight, |_| {
            false
        }),
        RecoveryAction::Continue
    );
}

#[test_case(RetrySafety::NonIdempotent, true, UnrecordedRetryAction::Fail ; "non-idempotent may have been executed")]
#[test_case(GROUP_KEY, true, UnrecordedRetryAction::Fail ; "group key may have been executed anywhere")]
#[test_case(GLOBAL_KEY, false, UnrecordedRetryAction::Reject ; "global key may be in flight")]
#[test_case(GLOBAL_KEY, true, UnrecordedRetryAction::Schedule ; "global key is scheduled")]
#[test_case(RetrySafety::Idempotent, false, UnrecordedRetryAction::Reject ; "idempotent may be in flight")]
#[test_case(RetrySafety::Idempotent, true, UnrecordedRetryAction::Schedule ; "idempotent is scheduled")]
fn a_retry_without_a_record_is_repeated_only_where_it_is_safe(
    retry_safety: RetrySafety,
    all_fenced: bool,
    expected: UnrecordedRetryAction,
) {
    assert_eq!(
        unrecorded_retry_action(retry_safety, false, all_fenced),
        expected
    );
}

#[test_case(RetrySafety::Idempotent, 30_000, 0 ; "no response waits")]
#[test_case(GROUP_KEY, 30_000, 5_000 ; "peer timeout and a proposal")]
#[test_case(GROUP_KEY, 4_000, 1_000 ; "no more than a quarter")]
fn a_deadline_is_earlier_by_a_detected_failure_and_a_proposal(
    retry_safety: RetrySafety,
    remaining: u64,
    expected: u64,
) {
    assert_eq!(deadline_margin(retry_safety, remaining, 4_000), expected);
}

/// The response has waited since 10,000; a healthy link acknowledges within 500.
#[test_case(13_000, 12_000; "in time for a proposal")]
#[test_case(10_900, 10_225; "a quarter of the short time left")]
#[test_case(11_200, 10_300; "a quarter of the time left, less than the usual wait")]
#[test_case(11_500, 10_500; "the usual wait for a late acknowledgement")]
#[test_case(9_000, 10_000; "too late already")]
fn a_link_is_given_up_in_time_for_the_client(deadline: u64, expected: u64) {
    assert_eq!(give_up_link_at(10_000, deadline, 500), expected);
}

/// The response has waited since 10,000, and the client may receive it up to 250 after its deadline.
#[test_case(40_000, 39_900; "in time to send the response")]
#[test_case(10_400, 10_300; "with little time left")]
#[test_case(10_150, 10_100; "an acknowledgement gets a quarter of what is left")]
#[test_case(10_000, 10_062; "the same behind the deadline")]
#[test_case(9_000, 10_000; "too late already")]
fn a_record_is_given_up_in_time_for_the_client(deadline: u64, expected: u64) {
    assert_eq!(
        give_up_record_at(10_000, deadline, deadline + 250),
        expected
    );
}

/// The client of the retry waits until 20,000 at most, and in some cases until 15,000 at least.
#[test_case(Some(15_000), 18_000, 18_000 ; "as long as the first request allowed")]
#[test_case(Some(15_000), 14_000, 15_000 ; "at least for the time that is certain")]
#[test_case(Some(15_000), 25_000, 15_000 ; "another client's deadline is ignored")]
#[test_case(None, 18_000, 18_000 ; "nothing certain, and as long as the first request allowed")]
#[test_case(None, 9_000, 9_000 ; "nothing certain, and an early deadline of the first request")]
#[test_case(None, 25_000, 20_000 ; "nothing certain, and no longer than the retry allowed")]
fn a_retry_waits_as_long_as_its_client(earliest: Option<u64>, in_flight: u64, expected: u64) {
    assert_eq!(retry_deadline(earliest, 20_000, in_flight), expected);
}

/// A failure that is reported before it is recorded must be one that the other member would report as well,
/// whatever it knows about the outcome of the attempt and however much time is left.
#[test_case(RetrySafety::NonIdempotent, AttemptState::InFlight)]
#[test_case(RetrySafety::NonIdempotent, AttemptState::MayHaveExecuted)]
#[test_case(GROUP_KEY, AttemptState::InFlight)]
#[test_case(GROUP_KEY, AttemptState::MayHaveExecuted)]
fn a_failure_without_a_record_is_repeated_at_takeover(
    retry_safety: RetrySafety,
    state: AttemptState,
) {
    assert!(fails_at_takeover(retry_safety, true));
    let attempts = attempts(&[AttemptState::NotExecuted, state]);
    for (allows_hedging, is_fenced) in [(false, false), (false, true), (true, false), (true, true)]
    {
        for deadline in [0, 100, 30_000] {
            let fenced = |_| is_fenced;
            let action =
                recovery_action(retry_safety, allows_hedging, 0, deadline, &attempts, fenced);
            assert_eq!(action, RecoveryAction::Fail);
        }
    }
}

#[test_case(RetrySafety::NonIdempotent, false ; "not executed")]
#[test_case(GROUP_KEY, false ; "group key, not executed")]
#[test_case(GLOBAL_KEY, true ; "global key is repeated")]
#[test_case(RetrySafety::Idempotent, true ; "idempotent is repeated")]
fn a_request_that_a_takeover_may_continue_does_not_fail_there(
    retry_safety: RetrySafety,
    may_have_executed: bool,
) {
    assert!(!fails_at_takeover(retry_safety, may_have_executed));
}
