//! Decisions about sending, closing and ending: each reason for a refusal separately.
use test_case::test_case;
use tidewall::config::{KeyScope, RetrySafety};
use tidewall::interface::{Endpoint, EndpointState};
use tidewall_gateway::effect_policy::*;

const NOW: u64 = 100_000;

fn endpoint(zone: u32, cell: u32, state: EndpointState) -> Endpoint {
    Endpoint {
        zone,
        cell,
        state,
        ..Endpoint::default()
    }
}

/// The facts of an attempt that may be sent: the second one of a request, to a worker in zone 1 and cell 2.
fn facts(retry_safety: RetrySafety, unproven: &[UnprovenAttempt]) -> AttemptFacts<'_> {
    AttemptFacts {
        now: NOW,
        request_open: true,
        deadline: NOW + 10_000,
        expires_at: NOW + 4_000,
        client: ClientInput::default(),
        endpoint: endpoint(1, 2, EndpointState::Active),
        send_allowed_until: NOW + 1,
        retry_safety,
        unproven,
    }
}

fn refusal(facts: &AttemptFacts) -> Option<Refusal> {
    permit_attempt(facts).err()
}

#[test_case(10_000, 4_000, 10_000, 4_000; "the attempt's timeout is shorter")]
#[test_case(3_000, 4_000, 3_000, 3_000; "the client's deadline is sooner")]
#[test_case(1, 1, 1, 1; "one tenth of a millisecond is left")]
fn a_permit_contains_the_remaining_times(
    deadline: u64,
    expires: u64,
    remaining: u64,
    timeout: u64,
) {
    let permit = permit_attempt(&AttemptFacts {
        deadline: NOW + deadline,
        expires_at: NOW + expires,
        ..facts(RetrySafety::Idempotent, &[])
    });
    let permit = permit.expect("no reason refuses the attempt");
    assert_eq!((permit.remaining(), permit.timeout()), (remaining, timeout));
}

#[test_case(|f| f.request_open = false, Refusal::RequestClosed; "answered or abandoned")]
#[test_case(|f| f.deadline = NOW, Refusal::DeadlinePassed; "the client's deadline has passed")]
#[test_case(|f| f.expires_at = NOW, Refusal::AttemptExpired; "the attempt's timeout has passed")]
#[test_case(|f| f.client.unread = true, Refusal::InputUnread; "the client may have abandoned it")]
#[test_case(|f| { f.client.unread = true; f.client.postponed = MAX_POSTPONEMENT + 1; }, Refusal::InputBacklog; "the client sends faster than it is read")]
#[test_case(|f| f.client.age = MAX_INPUT_AGE + 1, Refusal::InputTooOld; "the sockets were polled too long ago")]
#[test_case(|f| f.endpoint.state = EndpointState::Draining, Refusal::WorkerNotActive; "the worker is draining")]
#[test_case(|f| f.endpoint.state = EndpointState::Removed, Refusal::WorkerNotActive; "the worker is removed")]
#[test_case(|f| f.send_allowed_until = NOW, Refusal::WorkerUnconfirmed; "the worker may have begun to drain")]
fn each_reason_alone_refuses_an_attempt(change: fn(&mut AttemptFacts), reason: Refusal) {
    let mut facts = facts(RetrySafety::Idempotent, &[]);
    assert_eq!(refusal(&facts), None);
    change(&mut facts);
    assert_eq!(refusal(&facts), Some(reason));
}

const ZONE: RetrySafety = RetrySafety::IdempotencyKey(KeyScope::Zone, 6_000);
const CELL: RetrySafety = RetrySafety::IdempotencyKey(KeyScope::Cell, 6_000);
const ALL: RetrySafety = RetrySafety::IdempotencyKey(KeyScope::All, 6_000);

#[test_case(RetrySafety::Idempotent, 7, 7, 90_000, None; "idempotent")]
#[test_case(RetrySafety::NonIdempotent, 1, 2, 1, Some(Refusal::MayHaveExecuted); "non-idempotent")]
#[test_case(ZONE, 1, 7, 5_999, None; "within its zone and window")]
#[test_case(ZONE, 7, 2, 1, Some(Refusal::OutsideKeyScope); "another zone")]
#[test_case(ZONE, 1, 2, 6_000, Some(Refusal::KeyWindowOver); "the window is over")]
#[test_case(CELL, 7, 2, 1, None; "within its cell")]
#[test_case(CELL, 1, 7, 1, Some(Refusal::OutsideKeyScope); "another cell")]
#[test_case(ALL, 7, 7, 1, None; "any zone and cell")]
fn a_retry_depends_on_retry_safety_and_the_earlier_attempt(
    retry_safety: RetrySafety,
    zone: u32,
    cell: u32,
    ago: u64,
    reason: Option<Refusal>,
) {
    let earlier = UnprovenAttempt {
        endpoint: endpoint(zone, cell, EndpointState::Removed),
        sent_at: NOW - ago,
    };
    assert_eq!(refusal(&facts(retry_safety, &[earlier])), reason);
    assert_eq!(refusal(&facts(retry_safety, &[])), None);
}

#[test_case(1, EndpointState::Active, 1, 1, true; "to an active worker")]
#[test_case(1, EndpointState::Draining, 1, 1, false; "not to a draining worker")]
#[test_case(0, EndpointState::Draining, 1, 1, true; "a query to a draining worker")]
#[test_case(1, EndpointState::Active, 0, 1, false; "not to an unconfirmed worker")]
#[test_case(0, EndpointState::Active, 0, 1, true; "a query to an unconfirmed worker")]
#[test_case(1, EndpointState::Active, 1, 0, false; "not after its timeout")]
fn load_requests_are_permitted_for_active_workers(
    instances: u32,
    state: EndpointState,
    confirmed_for: u64,
    time_left: u64,
    permitted: bool,
) {
    let worker = (state, NOW + confirmed_for);
    assert_eq!(
        permit_load(instances, worker, NOW, NOW + time_left).is_ok(),
        permitted
    );
}

#[test_case(false, false, None)]
#[test_case(true, false, Some(Refusal::ConnectionInUse))]
#[test_case(false, true, Some(Refusal::InputUnread))]
fn connections_may_close_when_nothing_is_open_or_unread(
    used: bool,
    unread: bool,
    reason: Option<Refusal>,
) {
    assert_eq!(permit_close(used, unread).err(), reason);
}

#[test_case(0, false, None)]
#[test_case(1, false, Some(Refusal::ResponseOwed))]
#[test_case(0, true, Some(Refusal::InputUnread))]
fn the_process_may_end_when_no_response_is_missing_and_nothing_is_unread(
    open: usize,
    unread: bool,
    reason: Option<Refusal>,
) {
    assert_eq!(permit_exit(open, unread).err(), reason);
}

#[test]
fn counters_print_only_nonzero_counts() {
    let mut counters = EffectCounters::default();
    counters.refused(Refusal::InputTooOld);
    counters.violated(Violation::LateResponse);
    let text = format!("{counters:?}");
    assert_eq!(text, "{InputTooOld: 1, violation LateResponse: 1}");
    assert_eq!(Refusal::ALL.map(|r| r as usize), std::array::from_fn(|i| i));
    assert_eq!(
        Violation::ALL.map(|v| v as usize),
        std::array::from_fn(|i| i)
    );
}
