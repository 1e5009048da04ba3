//! The rules, checked from the record of clients and hosts alone.
use crate::record::{Attempt, Call, Class, Excuse, Record, KEY_WINDOW};

/// Slack of the platform's limits: 50 ms.
const SLACK: u64 = 500;
/// An answer that is later than this after the client's time is lost: 0.5 s.
const LOST_AFTER: u64 = 5_000;
/// An attempt that begins later than this after its client left: 0.1 s.
const LEFT_AFTER: u64 = 1_000;
/// The time passed on may be more than what the client has left by this: 0.15 s.
const TIMEOUT_SLACK: u64 = 1_500;
/// The drain grace period of the settings: 2 s.
const DRAIN_GRACE: u64 = 20_000;
/// The ration of load requests: window, free ones, and the share of the calls.
const LOAD_WINDOW: u64 = 100_000;
const LOAD_FREE: f64 = 4.0;
const LOAD_SHARE: f64 = 0.2;
/// The platform widens it by 15 in 100 and one.
const LOAD_SLACK: f64 = 1.15;

/// What was broken, a line each.
pub fn broken_rules(record: &Record, end: u64) -> Vec<String> {
    let mut broken: Vec<String> = record
        .crashes
        .iter()
        .map(|c| format!("crash: {c}"))
        .collect();
    broken.extend(record.violations.iter().map(|v| format!("violation: {v}")));
    for (trace, call) in record.calls.iter().enumerate() {
        let mut problems = Vec::new();
        judge_answers(call, end, &mut problems);
        judge_attempts(record, call, &mut problems);
        judge_repeats(call, &mut problems);
        broken.extend(
            problems
                .iter()
                .map(|problem| describe(trace, call, problem)),
        );
    }
    judge_load_requests(record, &mut broken);
    broken
}

fn describe(trace: usize, call: &Call, problem: &str) -> String {
    let Call {
        gateway,
        class,
        sent_at,
        patience,
        left_at,
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
    let left = left_at.map(|at| at - sent_at);
    format!(
        "{problem}: call {trace:x} of n{gateway}, {class:?}, sent {sent_at}, waits {patience}, left {left:?}, \
         answers {answers:?}, attempts {attempts:?} {note}"
    )
}

fn judge_answers(call: &Call, end: u64, problems: &mut Vec<String>) {
    let due = call.sent_at + call.patience + LOST_AFTER;
    if call.answers.len() > 1 {
        problems.push("lost, several answers".to_string());
    }
    let in_time = call.answers.first().is_some_and(|(at, _)| *at <= due);
    let left_in_time = call.left_at.is_some_and(|at| at <= due);
    if !in_time && !left_in_time && call.excuse.is_none() && due < end {
        let late = if call.answers.is_empty() {
            "no answer"
        } else {
            "late answer"
        };
        problems.push(format!("lost, {late}"));
    }
    let completed = call.answers.iter().any(|(_, word)| word == "OK");
    if completed && call.attempts.iter().all(|attempt| attempt.not_run) {
        problems.push("lost, served with what no host made".to_string());
    }
}

fn judge_attempts(record: &Record, call: &Call, problems: &mut Vec<String>) {
    for attempt in &call.attempts {
        // The soak's own delay is not the gateway's.
        let lag = own_lag(record, attempt.at);
        let left = call.left_at.unwrap_or(call.sent_at + call.patience);
        if attempt.at > left + LEFT_AFTER + lag {
            problems.push(format!(
                "lost, sent {} after its client left",
                attempt.at - left
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

/// Whether work came to a host of the group after it counts as known that it takes none, and the grace.
fn is_sent_after_drain(record: &Record, group: usize, at: u64) -> bool {
    let late = DRAIN_GRACE + SLACK + own_lag(record, at);
    let mut drained = record.drained[group].iter();
    drained.any(|(told, until)| at > told + late && at < *until)
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

fn judge_repeats(call: &Call, problems: &mut Vec<String>) {
    let run: Vec<&Attempt> = call
        .attempts
        .iter()
        .filter(|attempt| !attempt.not_run)
        .collect();
    let Some((first, later)) = run.split_first() else {
        return;
    };
    for again in later {
        // Groups alternate between the two zones.
        let same_zone = first.group % 2 == again.group % 2;
        let in_window = again.at < first.at + KEY_WINDOW + SLACK;
        match call.class {
            Class::Check => {}
            Class::Record if same_zone && in_window => {}
            Class::Record | Class::Issue => problems.push("duplicate".to_string()),
        }
    }
}

fn judge_load_requests(record: &Record, broken: &mut Vec<String>) {
    for (index, last) in record.load_requests.iter().enumerate() {
        if is_sent_after_drain(record, last.group, last.at) {
            let (gateway, group, at) = (last.gateway, last.group, last.at);
            broken.push(format!(
                "drain: load request of n{gateway} to group {group} at {at}"
            ));
        }
        let of_gateway = |at: u64| at + LOAD_WINDOW > last.at && at <= last.at;
        let sent = record.load_requests[..=index]
            .iter()
            .filter(|load| load.gateway == last.gateway && of_gateway(load.at))
            .count() as f64;
        let taken = record
            .calls
            .iter()
            .filter(|call| call.gateway == last.gateway && of_gateway(call.sent_at))
            .count() as f64;
        let allowed = LOAD_SLACK * (LOAD_FREE + LOAD_SHARE * taken) + 1.0;
        if sent > allowed {
            let gateway = last.gateway;
            broken.push(format!(
                "loads: {sent} of n{gateway} by {}, allowed {allowed:.1}",
                last.at
            ));
        }
    }
}

/// Calls that were excused, by their excuse.
pub fn excused(record: &Record, excuse: Excuse) -> usize {
    record
        .calls
        .iter()
        .filter(|call| call.excuse == Some(excuse) && call.answers.is_empty())
        .count()
}
