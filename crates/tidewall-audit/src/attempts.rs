//! The second rule: no effect happens twice. A retry is allowed where no attempt before it can have been executed, or
//! where the request's type makes a repeat harmless.
use crate::rows::{Group, Row, Rules, Type, ATTEMPTS_PER_REQUEST};
use crate::{Audit, Rule, Time, GRACE};

/// One sending of a request to a worker.
pub(crate) struct Attempt {
    worker: usize,
    sent_at: Time,
    /// When it ended at the worker.
    ended_at: Option<Time>,
    /// Whether its end proves that it was not executed.
    pub(crate) not_executed: bool,
}

/// Where and when a request had its effect.
pub(crate) struct Execution {
    worker: usize,
    at: Time,
}

impl Audit {
    /// Counts a client's further attempt, where an earlier one may have been executed.
    pub(crate) fn count_repeat(&mut self, row: &Row) {
        let first = row.request_id / ATTEMPTS_PER_REQUEST * ATTEMPTS_PER_REQUEST;
        let mut others = self.requests.range(first..first + ATTEMPTS_PER_REQUEST);
        let attempted =
            others.any(|(id, other)| *id != row.request_id && !other.attempts.is_empty());
        if attempted && self.rules.types[row.request_type] != Type::Redeliverable {
            self.count_case(Rule::SingleEffect);
        }
    }

    pub(crate) fn attempt_sent(&mut self, row: &Row) {
        self.check_drain_of_attempt(row);
        self.check_slow_start(row);
        let (now, id, worker) = (row.time, row.request_id, row.worker);
        let Some(request) = self.requests.get_mut(&id) else {
            // Refused at admission, or not sent on a recorded connection.
            let text = format!("event {id} was launched and is in no gateway's hands");
            return self.breach(Rule::FinalAnswer, now, text);
        };
        let request_type = self.rules.types[request.request_type];
        let mut breaches = Vec::new();
        let is_retry = !request.attempts.is_empty();
        // An end that crosses the next attempt within the grace of a wake-up is no overlap.
        let overlaps =
            |attempt: &Attempt| attempt.ended_at.is_none() && attempt.sent_at + GRACE < now;
        if !self.rules.two_at_once && request.attempts.iter().any(overlaps) {
            breaches.push(format!(
                "event {id} went to worker {worker} while another launch was out"
            ));
        }
        for earlier in request
            .attempts
            .iter()
            .filter(|attempt| !attempt.not_executed)
        {
            if !may_retry(&self.rules, request_type, earlier, worker, now) {
                breaches.push(format!(
                    "event {id} went to worker {worker} though it may have run at {}",
                    earlier.worker
                ));
            }
        }
        request.attempts.push(Attempt {
            worker,
            sent_at: now,
            ended_at: None,
            not_executed: false,
        });
        if is_retry {
            self.count_case(Rule::SingleEffect);
        }
        for text in breaches {
            self.breach(Rule::SingleEffect, now, text);
        }
    }

    pub(crate) fn attempt_ended(&mut self, row: &Row) {
        if let Some(attempt) = self.open_attempt(row) {
            (attempt.ended_at, attempt.not_executed) = (Some(row.time), row.proven);
        }
    }

    pub(crate) fn worker_connection_broke(&mut self, row: &Row) {
        if let Some(attempt) = self.open_attempt(row) {
            attempt.ended_at = Some(row.time);
        }
    }

    pub(crate) fn executed(&mut self, row: &Row) {
        let (now, worker) = (row.time, row.worker);
        // All attempts of a client for one request count together.
        let executions = self
            .executions
            .entry(row.request_id / ATTEMPTS_PER_REQUEST)
            .or_default();
        let repeated = match self.rules.types[row.request_type] {
            Type::Redeliverable => false,
            Type::AtMostOnce => !executions.is_empty(),
            Type::Keyed(scope, window) => executions.iter().any(|earlier| {
                share_scope(&self.rules, scope, earlier.worker, worker) && now < earlier.at + window
            }),
        };
        executions.push(Execution { worker, at: now });
        if repeated {
            let text = format!(
                "event {} had its effect again at worker {worker}",
                row.request_id
            );
            self.breach(Rule::SingleEffect, now, text);
        }
    }

    /// The newest attempt of the row's request at its worker that has not ended.
    fn open_attempt(&mut self, row: &Row) -> Option<&mut Attempt> {
        let attempts = &mut self.requests.get_mut(&row.request_id)?.attempts;
        let mut newest_first = attempts.iter_mut().rev();
        newest_first.find(|attempt| attempt.worker == row.worker && attempt.ended_at.is_none())
    }
}

/// Whether a request may be sent to `worker` though an earlier attempt may have been executed.
fn may_retry(
    rules: &Rules,
    request_type: Type,
    earlier: &Attempt,
    worker: usize,
    now: Time,
) -> bool {
    match request_type {
        Type::Redeliverable => true,
        Type::AtMostOnce => false,
        Type::Keyed(scope, window) => {
            share_scope(rules, scope, earlier.worker, worker)
                && now <= earlier.sent_at + window + GRACE
        }
    }
}

/// Whether two workers drop repeats of one idempotency key together.
fn share_scope(rules: &Rules, scope: Group, one: usize, other: usize) -> bool {
    match scope {
        Group::All => true,
        Group::Zone => rules.zones[one] == rules.zones[other],
        Group::Cell => rules.cells[one] == rules.cells[other],
    }
}
