//! The first rule: each request that was admitted gets one final answer in time.
use crate::attempts::Attempt;
use crate::rows::{Group, Row, Type};
use crate::{Audit, Rule, Time, GRACE};

/// One attempt of a client to have a request answered.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) gateway: usize,
    /// Index of its type in the rules.
    pub(crate) request_type: usize,
    /// When its client gives up.
    pub(crate) deadline: Time,
    /// Whether it was answered, abandoned, given up or lost.
    pub(crate) over: bool,
    /// When its client said that it would not wait any longer.
    pub(crate) abandoned_at: Option<Time>,
    pub(crate) attempts: Vec<Attempt>,
}

impl Audit {
    pub(crate) fn request_sent(&mut self, row: &Row) {
        self.count_case(Rule::FinalAnswer);
        self.count_repeat(row);
        let request = Request {
            gateway: row.gateway,
            request_type: row.request_type,
            deadline: row.time + row.left,
            ..Request::default()
        };
        self.requests.insert(row.request_id, request);
        self.load_requests.request_admitted(row.gateway, row.time);
    }

    /// The request was never admitted, so no answer is owed.
    pub(crate) fn request_refused(&mut self, row: &Row) {
        self.requests.remove(&row.request_id);
        self.load_requests.request_refused(row.gateway);
    }

    pub(crate) fn request_sent_again(&mut self, row: &Row) {
        let waits = self
            .requests
            .get(&row.request_id)
            .is_some_and(|request| !request.over);
        if waits {
            self.count_case(Rule::FinalAnswer);
        }
    }

    pub(crate) fn request_abandoned(&mut self, row: &Row) {
        if let Some(request) = self.requests.get_mut(&row.request_id) {
            (request.over, request.abandoned_at) = (true, Some(row.time));
        }
    }

    pub(crate) fn deadline_passed(&mut self, row: &Row) {
        let Some(request) = self.open_request(row.request_id) else {
            return;
        };
        request.over = true;
        let (gateway, deadline) = (request.gateway, request.deadline);
        if self.is_excused(gateway, deadline) {
            self.excused += 1;
        } else {
            let text = format!(
                "event {} had no answer from gateway {gateway} in its time",
                row.request_id
            );
            self.breach(Rule::FinalAnswer, row.time, text);
        }
    }

    /// The client's connection broke: what was in flight on it is lost, which only a kill excuses.
    pub(crate) fn client_connection_broke(&mut self, row: &Row) {
        let Some(request) = self.open_request(row.request_id) else {
            return;
        };
        request.over = true;
        let gateway = request.gateway;
        if !self.availability.is_killed(gateway) {
            let text = format!(
                "event {} was dropped by gateway {gateway} with its connection",
                row.request_id
            );
            self.breach(Rule::FinalAnswer, row.time, text);
        }
    }

    pub(crate) fn request_answered(&mut self, row: &Row) {
        let (now, id) = (row.time, row.request_id);
        let Some(request) = self.requests.get_mut(&id) else {
            let text = format!("event {id} was answered and never asked");
            return self.breach(Rule::FinalAnswer, now, text);
        };
        // A gateway whose process was stopped when the client gave up reads this only after it continues,
        // behind the messages that arrived earlier. Until then its answer may cross the client's message.
        let stop = self.availability.last_stop(request.gateway);
        let crossed = request
            .abandoned_at
            .is_some_and(|time| now <= stop.heard_at(time).saturating_add(GRACE));
        if request.over && !crossed {
            let text = format!("event {id} got a further answer");
            return self.breach(Rule::FinalAnswer, now, text);
        }
        let late = now > request.deadline + GRACE;
        request.over = true;
        // An abandoned request needs no answer; whatever crosses that counts once.
        request.abandoned_at = None;
        let request_type = self.rules.types[request.request_type];
        let attempted = !request.attempts.is_empty();
        let may_have_run = request.attempts.iter().any(|attempt| !attempt.not_executed);
        if late {
            let text = format!("event {id} was answered after its client gave up");
            self.breach(Rule::FinalAnswer, now, text);
        }
        if row.deferred && request_type != Type::Redeliverable && attempted {
            self.count_case(Rule::SingleEffect);
            let harmless = matches!(request_type, Type::Keyed(Group::All, _));
            if may_have_run && !harmless {
                let text = format!("event {id} was deferred though it may have run");
                self.breach(Rule::SingleEffect, now, text);
            }
        }
    }

    /// What is still open at the end of the record.
    pub(crate) fn check_open_requests(&mut self, now: Time) {
        let open = self.requests.iter().filter(|(_, request)| !request.over);
        let unanswered: Vec<_> = open
            .filter(|(_, request)| now > request.deadline + GRACE)
            .filter(|(_, request)| !self.is_excused(request.gateway, request.deadline))
            .map(|(id, request)| {
                let gateway = request.gateway;
                format!("event {id} never got an answer from gateway {gateway}")
            })
            .collect();
        for text in unanswered {
            self.breach(Rule::FinalAnswer, now, text);
        }
    }

    fn open_request(&mut self, id: u64) -> Option<&mut Request> {
        self.requests.get_mut(&id).filter(|request| !request.over)
    }
}
