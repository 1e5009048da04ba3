//! Checks the rules from the record of what clients and hosts observed, and reports crashes and counted
//! violations. Times are in tenths of a millisecond.
use crate::record::{Attempt, Call, Class, Excuse, Record, KEY_WINDOW};

/// The tolerance on the platform's limits: 50 ms.
const LIMIT_SLACK: u64 = 500;
/// A call counts as lost if its answer comes later than this after the client's deadline: 0.5 s.
const MAX_ANSWER_DELAY: u64 = 5_000;
/// How long after the client abandoned the call, or its deadline passed, an attempt may still arrive: 0.1 s.
const MAX_ATTEMPT_DELAY: u64 = 1_000;
/// How much the timeout that the gateway passes on may exceed the client's remaining time: 0.15 s.
const TIMEOUT_SLACK: u64 = 1_500;
/// The drain grace period of the settings: 2 s.
const DRAIN_GRACE: u64 = 20_000;
/// The limit on load requests in a window of 10 s: a fixed allowance, and a share of the calls in the window.
const LOAD_WINDOW: u64 = 100_000;
const LOAD_FREE: f64 = 4.0;
const LOAD_SHARE: f64 = 0.2;
/// The platform allows 15 % more than that, and one more.
const LOAD_SLACK: f64 = 1.15;

/// The broken rules, one line each.
pub fn broken_rules(record: &Record, end: u64) -> Vec<String> {
    let mut broken: Vec<String> = record
        .crashes
        .iter()
        .map(|c| format!("crash: {c}"))
        .collect();
    broken.extend(record.violations.iter().map(|v| format!("violation: {v}")));
    for (trace, call) in record.calls.iter().enumerate() {
        let mut problems = Vec::new();
        check_answers(call, end, &mut problems);
        check_attempts(record, call, &mut problems);
        check_repeated_runs(call, &mut problems);
        broken.extend(
            problems
                .iter()
                .map(|problem| describe(trace, call, problem)),
        );
    }
    check_load_requests(record, &mut broken);
    broken
}

fn describe(trace: usize, call: &Call, problem: &str) -> String {
    let Call {
        gateway,
        class,
        sent_at,
        patience,
        abandoned_at,
        answers,
        attempts,
        note,
        ..
    } = call;
    let answers: Vec<_> = answers
        .iter()
        .map(|(at, word)| (at - sent_at, word))
        .collect();
    let attempts: Vec<_> = attempts
        .iter()
        .map(|a| (a.at - sent_at, a.group, a.not_run))
        .collect();
    let abandoned = abandoned_at.map(|at| at - sent_at);
    format!(
        "{problem}: call {trace:x} of n{gateway}, {class:?}, sent {sent_at}, waits {patience}, left {abandoned:?}, \
         answers {answers:?}, attempts {attempts:?} {note}"
    )
}

fn check_answers(call: &Call, end: u64, problems: &mut Vec<String>) {
    let latest = call.sent_at + call.patience + MAX_ANSWER_DELAY;
    if call.answers.len() > 1 {
        problems.push("lost, several answers".to_string());
    }
    let in_time = call.answers.first().is_some_and(|(at, _)| *at <= latest);
    let abandoned_in_time = call.abandoned_at.is_some_and(|at| at <= latest);
    if !in_time && !abandoned_in_time && call.excuse.is_none() && latest < end {
        let reason = if call.answers.is_empty() {
            "no answer"
        } else {
            "late answer"
        };
        problems.push(format!("lost, {reason}"));
    }
    let completed = call.answers.iter().any(|(_, word)| word == "OK");
    if completed && call.attempts.iter().all(|attempt| attempt.not_run) {
        problems.push("lost, served with what no host made".to_string());
    }
}

fn check_attempts(record: &Record, call: &Call, problems: &mut Vec<String>) {
    for attempt in &call.attempts {
        // A delay of the soak process is not the gateway's fault.
        let lag = own_lag(record, attempt.at);
        let abandoned = call.abandoned_at.unwrap_or(call.sent_at + call.patience);
        if attempt.at > abandoned + MAX_ATTEMPT_DELAY + lag {
            problems.push(format!(
                "lost, sent {} after its client left",
                attempt.at - abandoned
            ));
        }
        let remaining = (call.sent_at + call.patience).saturating_sub(attempt.at);
        if attempt.timeout_ms * 10 > remaining + TIMEOUT_SLACK + lag {
            problems.push(format!("lost, passed on {} ms", attempt.timeout_ms));
        }
        if is_sent_after_drain(record, attempt.group, attempt.at) {
            problems.push("drain".to_string());
        }
    }
}

/// Whether work arrived at a host of the group after its drain counts as known and the drain grace period is
/// over, and before the group came back.
fn is_sent_after_drain(record: &Record, group: usize, at: u64) -> bool {
    let delay = DRAIN_GRACE + LIMIT_SLACK + own_lag(record, at);
    let mut drained = record.drained[group].iter();
    drained.any(|(known_at, until)| at > known_at + delay && at < *until)
}

fn own_lag(record: &Record, at: u64) -> u64 {
    let near = |(when, _): &&(u64, u64)| when.abs_diff(at) < 10_000;
    record
        .own_lag
        .iter()
        .filter(near)
        .map(|(_, lag)| *lag)
        .max()
        .unwrap_or(0)
}

fn check_repeated_runs(call: &Call, problems: &mut Vec<String>) {
    let run: Vec<&Attempt> = call
        .attempts
        .iter()
        .filter(|attempt| !attempt.not_run)
        .collect();
    let Some((first, repeats)) = run.split_first() else {
        return;
    };
    for repeat in repeats {
        // Groups alternate between the two zones.
        let same_zone = first.group % 2 == repeat.group % 2;
        let in_window = repeat.at < first.at + KEY_WINDOW + LIMIT_SLACK;
        match call.class {
            Class::Check => {}
            Class::Record if same_zone && in_window => {}
            Class::Record | Class::Issue => problems.push("duplicate".to_string()),
        }
    }
}

fn check_load_requests(record: &Record, broken: &mut Vec<String>) {
    for (index, last) in record.load_requests.iter().enumerate() {
        if is_sent_after_drain(record, last.group, last.at) {
            let (gateway, group, at) = (last.gateway, last.group, last.at);
            broken.push(format!(
                "drain: load request of n{gateway} to group {group} at {at}"
            ));
        }
        let is_in_window = |at: u64| at + LOAD_WINDOW > last.at && at <= last.at;
        let sent = record.load_requests[..=index]
            .iter()
            .filter(|load| load.gateway == last.gateway && is_in_window(load.at))
            .count() as f64;
        let calls = record
            .calls
            .iter()
            .filter(|call| call.gateway == last.gateway && is_in_window(call.sent_at))
            .count() as f64;
        let allowed = LOAD_SLACK * (LOAD_FREE + LOAD_SHARE * calls) + 1.0;
        if sent > allowed {
            let gateway = last.gateway;
            broken.push(format!(
                "loads: {sent} of n{gateway} by {}, allowed {allowed:.1}",
                last.at
            ));
        }
    }
}

/// The number of calls without an answer that have this excuse.
pub fn excused(record: &Record, excuse: Excuse) -> usize {
    record
        .calls
        .iter()
        .filter(|call| call.excuse == Some(excuse) && call.answers.is_empty())
        .count()
}
