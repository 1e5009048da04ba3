//! Evidence of service while the endpoint list is overdue.
use super::help::*;
use crate::interface::*;
use crate::state::{Attempt, AttemptState, Request};
use test_case::test_case;

const GRACE: [(&str, &str); 2] = [("rules.drain-grace-ms", "1000"), ("allowed.probes", "true")];
/// How long evidence holds: the grace period less the margin for the way to the worker.
const EVIDENCE_LIFETIME: Time = SECOND - 100 * MS;

/// A scheduler whose list was last confirmed at `NOW` and is overdue a tenth of a millisecond later. Function
/// 0 is loaded on the first `n` workers.
fn scheduler_in_outage(n: usize) -> TestScheduler {
    let mut scheduler = scheduler_with(4, &GRACE);
    load_first(&mut scheduler, 0, n);
    scheduler.endpoint_list_confirmed(NOW, NOW);
    scheduler
}

fn advance(scheduler: &mut TestScheduler, span: Time) {
    scheduler.advance_clock(scheduler.now + span);
    // Keeps the instances loaded, because their age does not matter here.
    let now = scheduler.now;
    scheduler.functions[0].placements.iter_mut().for_each(|placement| placement.renewed_at = now);
}

fn answer(scheduler: &mut TestScheduler, worker_id: WorkerId, question: Question, outcome: Outcome) {
    answer_with(scheduler, worker_id, (question, outcome), 0);
}

fn answer_with(
    scheduler: &mut TestScheduler,
    worker_id: WorkerId,
    (question, outcome): (Question, Outcome),
    instances: u32,
) {
    let service = &scheduler.workers[worker_id].service;
    let is_awaited = question != Question::Attempt && service.answers_pending > 0;
    let asked_at = if is_awaited { service.asked_at } else { scheduler.now };
    scheduler.worker_answered(worker_id, WorkerAnswer { question, outcome, asked_at, instances });
}

/// A request whose deadline is two seconds from now.
fn send_now(scheduler: &mut TestScheduler) -> RequestSlot {
    let slot = scheduler.next_request_slot();
    scheduler.request_arrived(RequestInfo { deadline: scheduler.now + 2 * SECOND, ..request_info(0) });
    slot
}

fn confirm(scheduler: &mut TestScheduler, worker_id: WorkerId) {
    answer(scheduler, worker_id, Question::HealthCheck, Outcome::Ok);
    answer(scheduler, worker_id, Question::InstanceQuery, Outcome::Ok);
}

#[test]
fn no_worker_is_checked_while_the_list_is_not_overdue() {
    let mut scheduler = scheduler_in_outage(1);
    scheduler.endpoint_list_confirmed(NOW, NOW + 2 * SECOND);
    advance(&mut scheduler, 2 * SECOND - 1);
    send_now(&mut scheduler);
    assert_eq!(attempted_workers(&scheduler), [worker_at(&scheduler, 0, 0)]);
    assert_eq!(checked_workers(&scheduler), []);
}

#[test_case(EVIDENCE_LIFETIME - 1, true; "within the grace period")]
#[test_case(EVIDENCE_LIFETIME, false; "after it")]
fn an_overdue_list_holds_for_the_grace_period(age: Time, is_valid: bool) {
    let mut scheduler = scheduler_in_outage(1);
    advance(&mut scheduler, age);
    let first = worker_at(&scheduler, 0, 0);
    send_now(&mut scheduler);
    assert_eq!(attempted_workers(&scheduler).contains(&first), is_valid);
    assert_eq!(checked_workers(&scheduler).contains(&first), !is_valid);
}

#[test_case(Question::Attempt, Outcome::Ok, true; "it executed an attempt")]
#[test_case(Question::Attempt, Outcome::Miss, true; "it looked for the instance")]
#[test_case(Question::Attempt, Outcome::Error, false; "an error proves nothing")]
#[test_case(Question::LoadRequest, Outcome::Ok, false; "it may have started to drain since")]
#[test_case(Question::HealthCheck, Outcome::Ok, false; "a health check alone is not enough")]
fn accepted_work_confirms_a_worker(question: Question, outcome: Outcome, is_confirmed: bool) {
    let mut scheduler = scheduler_in_outage(1);
    let first = worker_at(&scheduler, 0, 0);
    advance(&mut scheduler, EVIDENCE_LIFETIME);
    answer(&mut scheduler, first, question, outcome);
    advance(&mut scheduler, EVIDENCE_LIFETIME - 1);
    assert_eq!(scheduler.is_confirmed(first), is_confirmed);
    advance(&mut scheduler, 1);
    assert!(!scheduler.is_confirmed(first));
}

#[test]
fn a_request_waits_for_the_answer_and_is_then_sent() {
    let mut scheduler = scheduler_in_outage(1);
    let first = worker_at(&scheduler, 0, 0);
    advance(&mut scheduler, 2 * SECOND);
    send_now(&mut scheduler);
    assert_eq!(attempted_workers(&scheduler), []);
    confirm(&mut scheduler, first);
    assert_eq!(attempted_workers(&scheduler), [first]);
}

#[test_case(Question::HealthCheck, Outcome::Error; "unhealthy")]
#[test_case(Question::InstanceQuery, Outcome::AtCapacity; "query rejected for lack of capacity")]
#[test_case(Question::HealthCheck, Outcome::TimedOut; "silent")]
fn a_worker_that_denies_service_is_replaced_by_the_next(question: Question, outcome: Outcome) {
    let mut scheduler = scheduler_in_outage(1);
    let [first, second] = [0, 1].map(|position| worker_at(&scheduler, 0, position));
    advance(&mut scheduler, 2 * SECOND);
    send_now(&mut scheduler);
    answer(&mut scheduler, first, question, outcome);
    let other = match question {
        Question::HealthCheck => Question::InstanceQuery,
        _ => Question::HealthCheck,
    };
    answer(&mut scheduler, first, other, Outcome::Ok);
    assert!(!scheduler.is_available(first));
    assert!(checked_workers(&scheduler).contains(&second), "the next worker is checked");
    confirm(&mut scheduler, second);
    assert!(load_request_count(&scheduler) > 0, "and is asked to load an instance");
    assert_eq!(attempted_workers(&scheduler), []);
}

/// Clients may call functions that do not exist, and workers answer queries for those with an error.
#[test]
fn a_worker_that_does_not_know_a_function_does_not_deny_service() {
    let mut scheduler = scheduler_in_outage(1);
    let first = worker_at(&scheduler, 0, 0);
    advance(&mut scheduler, SECOND / 2);
    answer(&mut scheduler, first, Question::InstanceQuery, Outcome::Error);
    assert!(scheduler.is_confirmed(first) && scheduler.is_available(first));
    advance(&mut scheduler, SECOND);
    answer(&mut scheduler, first, Question::InstanceQuery, Outcome::Error);
    assert!(!scheduler.is_confirmed(first), "the answer alone does not confirm the worker either");
    answer(&mut scheduler, first, Question::HealthCheck, Outcome::Ok);
    assert!(scheduler.is_confirmed(first));
}

#[test]
fn a_rejection_in_an_outage_is_followed_by_a_service_check() {
    let mut scheduler = scheduler_in_outage(1);
    let first = worker_at(&scheduler, 0, 0);
    advance(&mut scheduler, SECOND / 2);
    let slot = send_now(&mut scheduler);
    assert_eq!(attempted_workers(&scheduler), [first]);
    answer(&mut scheduler, first, Question::Attempt, Outcome::AtCapacity);
    scheduler.attempt_ended(slot, 0, (Outcome::AtCapacity, 1), false, 0);
    assert_eq!(attempted_workers(&scheduler), [first], "no second attempt at the same worker at once");
    assert_eq!(checked_workers(&scheduler), [first]);
    advance(&mut scheduler, 1);
    confirm(&mut scheduler, first);
    assert_eq!(attempted_workers(&scheduler), [first, first], "it was only full");
}

/// A full worker rejects attempts now and then, a draining one always, so consecutive rejections count as a
/// denial whatever the worker answers to service checks.
#[test_case(2, true; "two are tolerated")]
#[test_case(3, false; "three are a denial")]
fn rejections_in_a_row_count_as_a_denial(count: u32, is_available: bool) {
    let mut scheduler = scheduler_in_outage(1);
    let first = worker_at(&scheduler, 0, 0);
    for _ in 0..count {
        advance(&mut scheduler, SECOND / 10);
        answer(&mut scheduler, first, Question::Attempt, Outcome::AtCapacity);
    }
    assert_eq!(scheduler.is_available(first), is_available);
    advance(&mut scheduler, 1);
    answer(&mut scheduler, first, Question::Attempt, Outcome::Ok);
    assert!(scheduler.is_available(first));
}

#[test_case(SECOND, 1, false; "instances after a short absence")]
#[test_case(SECOND, 0, true; "no instances")]
#[test_case(3 * SECOND, 1, true; "instances may have been loaded again")]
fn a_worker_with_instances_after_a_short_absence_did_not_restart(
    away: Time,
    instances: u32,
    restarted: bool,
) {
    let mut scheduler = scheduler_in_outage(1);
    let first = worker_at(&scheduler, 0, 0);
    advance(&mut scheduler, 2 * SECOND);
    scheduler.host.1 = Time::MAX;
    scheduler.worker_unreachable(first);
    scheduler.host.1 = scheduler.now + away;
    advance(&mut scheduler, away);
    answer_with(&mut scheduler, first, (Question::InstanceQuery, Outcome::Ok), instances);
    answer(&mut scheduler, first, Question::HealthCheck, Outcome::Ok);
    assert_eq!(scheduler.workers[first].endpoint.started_at > 0, restarted);
}

/// If another connection stands, a connection that cannot be opened proves nothing about the worker.
#[test_case(NOW, true)]
#[test_case(Time::MAX, false)]
fn a_worker_is_unreachable_only_without_a_connection(connected_since: Time, is_available: bool) {
    let mut scheduler = scheduler_in_outage(1);
    let first = worker_at(&scheduler, 0, 0);
    advance(&mut scheduler, SECOND);
    scheduler.host.1 = connected_since;
    scheduler.worker_unreachable(first);
    assert_eq!(scheduler.is_available(first), is_available);
}

/// This gateway loses its connections to four workers at the same moment. Only two of them may be presumed
/// cold.
#[test]
fn at_most_half_of_the_workers_are_presumed_cold() {
    let mut scheduler = scheduler_in_outage(1);
    advance(&mut scheduler, 2 * SECOND);
    scheduler.host.1 = Time::MAX;
    (0..4).for_each(|worker_id| scheduler.worker_unreachable(worker_id));
    scheduler.host.1 = scheduler.now + SECOND;
    advance(&mut scheduler, 2 * SECOND);
    (0..4).for_each(|worker_id| confirm(&mut scheduler, worker_id));
    let cold = |worker_id: &usize| scheduler.workers[*worker_id].endpoint.started_at > 0;
    assert_eq!((0..4).filter(cold).count(), 2);
    assert!((0..4).all(|worker_id| scheduler.is_available(worker_id)));
}

/// Another worker may be at the address, so retries by key wait until the list is confirmed.
#[test]
fn a_keyed_retry_does_not_go_to_a_worker_that_came_back_unlisted() {
    let mut scheduler = scheduler_in_outage(1);
    let first = worker_at(&scheduler, 0, 0);
    scheduler.advance_clock(NOW + 1);
    let earlier =
        Attempt { worker_id: first, sent_at: NOW, state: AttemptState::ConnectionLost, ..Attempt::default() };
    let mut request = Request { info: request_info(1), attempt_count: 1, ..Request::default() };
    request.attempts[0] = earlier;
    assert!(scheduler.is_retry_safe(&request, first));
    scheduler.workers[first].service.is_start_presumed = true;
    assert!(!scheduler.is_retry_safe(&request, first));
    scheduler.endpoint_list_confirmed(NOW + 1, NOW + SECOND);
    assert!(scheduler.is_retry_safe(&request, first));
}

#[test]
fn without_a_worker_in_service_a_request_is_rejected_at_once() {
    let mut scheduler = scheduler_in_outage(1);
    advance(&mut scheduler, 2 * SECOND);
    for worker_id in 0..4 {
        answer(&mut scheduler, worker_id, Question::HealthCheck, Outcome::Error);
    }
    let slot = send_now(&mut scheduler);
    let answered =
        scheduler.host.0.iter().any(|call| matches!(call, Call::Reject(s, wait) if *s == slot && *wait > 0));
    assert!(answered, "{:?}", scheduler.host.0);
}

#[test]
fn a_worker_that_comes_back_is_presumed_cold() {
    let mut scheduler = scheduler_in_outage(1);
    let first = worker_at(&scheduler, 0, 0);
    advance(&mut scheduler, 2 * SECOND);
    scheduler.host.1 = Time::MAX;
    scheduler.worker_unreachable(first);
    scheduler.host.1 = scheduler.now + SECOND;
    advance(&mut scheduler, 2 * SECOND);
    confirm(&mut scheduler, first);
    assert_eq!(scheduler.workers[first].endpoint.started_at, scheduler.now);
}

#[test_case(SECOND, true; "after a while")]
#[test_case(SECOND / 4, false; "at once")]
fn a_connection_that_is_reopened_late_indicates_a_restart(after: Time, restarted: bool) {
    let mut scheduler = scheduler_in_outage(1);
    let first = worker_at(&scheduler, 0, 0);
    advance(&mut scheduler, 2 * SECOND);
    scheduler.worker_connection_lost(first);
    scheduler.host.1 = scheduler.now + after;
    advance(&mut scheduler, 2 * SECOND);
    confirm(&mut scheduler, first);
    assert_eq!(scheduler.workers[first].endpoint.started_at > 0, restarted);
}

#[test]
fn load_requests_require_a_confirmed_worker() {
    let mut scheduler = scheduler_in_outage(1);
    let first = worker_at(&scheduler, 0, 0);
    let load = |scheduler: &mut TestScheduler| scheduler.load_instances(0, 0, 1, true);
    advance(&mut scheduler, EVIDENCE_LIFETIME);
    assert!(!load(&mut scheduler));
    confirm(&mut scheduler, first);
    assert!(load(&mut scheduler));
}

/// Without health checks and queries there is no exempt way to check workers, so attempts continue.
#[test]
fn attempts_continue_where_no_checks_are_allowed() {
    let mut scheduler = scheduler_with(4, &[("extra.orders", "false"), ("extra.if-cold", "load")]);
    load_first(&mut scheduler, 0, 1);
    scheduler.endpoint_list_confirmed(NOW, NOW);
    advance(&mut scheduler, 10 * SECOND);
    send_now(&mut scheduler);
    assert_eq!(attempted_workers(&scheduler).len(), 1);
}
