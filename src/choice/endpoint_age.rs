//! How long the endpoint list may be relied on, and what takes its place while discovery is out of reach: new work leaves
//! only for workers that are known to have been in service within the drain grace period. A worker may begin to drain, or
//! restart, at any moment, and what discovery would tell counts as known though nobody hears it. So no news is no evidence:
//! the workers' own answers are, and where they have run out workers are asked what the drain rule exempts.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// The discovery server's answer proves the list as of `as_of`; while it can be reached the next one comes by `due_at`.
    pub fn endpoint_list_confirmed(&mut self, as_of: Time, due_at: Time) {
        self.endpoint_list.as_of = as_of;
        self.endpoint_list.due_at = due_at;
    }

    /// Whether discovery owes an answer: the list may have changed since it was last confirmed.
    pub fn is_endpoint_list_overdue(&self) -> bool {
        self.now >= self.endpoint_list.due_at
    }

    /// Until when work may leave for a worker, by what is known now; `Time::MAX` where nothing is to be known. Work that is
    /// on its way when a worker begins to drain is within the grace period: so long, and no longer, evidence holds.
    pub(super) fn confirmed_until(&self, worker_id: WorkerId) -> Time {
        let EndpointListAge { as_of, due_at } = self.endpoint_list;
        if due_at == Time::MAX || !self.can_ask() {
            return Time::MAX;
        }
        let holds = self.config.drain_grace - DEPARTURE_MARGIN.min(self.config.drain_grace / 4);
        if !self.is_endpoint_list_overdue() {
            return due_at.max(as_of + holds);
        }
        let service = &self.workers[worker_id].service;
        let known_at = as_of.max(service.confirmed_at());
        if service.rejected_at.max(service.denied_at) > known_at || known_at == 0 {
            return 0;
        }
        known_at + holds
    }

    /// Whether work may leave for a worker now.
    pub(super) fn is_confirmed(&self, worker_id: WorkerId) -> bool {
        self.now < self.confirmed_until(worker_id)
    }

    /// Whether the settings allow anything to be asked that the drain rule exempts. Where they do not, attempts alone show
    /// what a worker does, and the service goes on by them.
    fn can_ask(&self) -> bool {
        self.config.may_check_health || self.config.may_load
    }

    /// Listed as active, not ejected, and not passed over: the next of the order takes the place of a worker that denied
    /// service, or that was asked and says nothing.
    pub(crate) fn is_available(&self, worker_id: WorkerId) -> bool {
        self.is_listed_available(worker_id) && !self.is_passed_over(worker_id)
    }

    fn is_passed_over(&self, worker_id: WorkerId) -> bool {
        if !self.is_endpoint_list_overdue() {
            return false;
        }
        let service = &self.workers[worker_id].service;
        let denied = service.denied_at > self.endpoint_list.as_of.max(service.confirmed_at());
        let silent = service.answers_pending > 0 && self.now > service.asked_at + SERVICE_CHECK_TIMEOUT;
        denied || silent && !self.is_confirmed(worker_id)
    }

    /// Whether all workers that a function may run on are passed over, or left for other reasons.
    pub(super) fn is_nobody_in_service(&self, function_id: FunctionId) -> bool {
        let mut placements = self.functions[function_id].placements.iter();
        self.is_endpoint_list_overdue() && !placements.any(|p| self.is_available(p.worker_id))
    }

    /// Asks the workers that a request's next attempt may go to, where nothing confirms them; whether an answer is awaited.
    pub(super) fn ask_unconfirmed(&mut self, slot: RequestSlot) -> bool {
        if !self.is_endpoint_list_overdue() || !self.can_ask() {
            return false;
        }
        let function_id = self.requests[slot].info.function;
        let wanted = self.functions[function_id].desired_instances.max(1);
        let (mut candidates, mut awaited) = (0, false);
        for position in 0..self.functions[function_id].placements.len() {
            if candidates == wanted {
                break;
            }
            let worker_id = self.functions[function_id].placements[position].worker_id;
            let request = &self.requests[slot];
            let suits = self.may_go_to(request, worker_id) && self.is_retry_safe(request, worker_id);
            if !suits || !self.is_listed_available(worker_id) {
                continue;
            }
            if !self.is_confirmed(worker_id) {
                self.ask_service(function_id, position);
                let passed_over = self.is_passed_over(worker_id);
                awaited |= !passed_over && self.workers[worker_id].service.answers_pending > 0;
                candidates += usize::from(!passed_over);
            } else {
                candidates += 1;
            }
        }
        awaited
    }

    /// Asks a worker whether it is in service, in the ways that the settings allow, unless it was asked lately. What a
    /// draining worker says to which of them is told nowhere, so it has to be well by each.
    fn ask_service(&mut self, function_id: FunctionId, position: usize) {
        let worker_id = self.functions[function_id].placements[position].worker_id;
        let service = &mut self.workers[worker_id].service;
        if service.answers_pending > 0 || self.now < service.ask_again_at {
            return;
        }
        service.asked_at = self.now;
        service.answers_pending = u32::from(self.config.may_check_health) + u32::from(self.config.may_load);
        if self.config.may_check_health {
            self.host.send_health_check(worker_id);
        }
        if self.config.may_load {
            let (function_id, position) = self.query_target(function_id, position);
            self.functions[function_id].placements[position].pending_queries += 1;
            self.host.send_load_request(function_id, worker_id, 0);
        }
    }

    /// The function of which a worker is asked how many instances it has. Of one that was away the one that it had last: if it
    /// still has it, it has not restarted.
    fn query_target(&self, function_id: FunctionId, position: usize) -> (FunctionId, usize) {
        let worker_id = self.functions[function_id].placements[position].worker_id;
        let service = &self.workers[worker_id].service;
        if service.connection_lost_at.max(service.denied_at) <= self.endpoint_list.as_of {
            return (function_id, position);
        }
        let mut found = (function_id, position);
        let mut renewed_at = 0;
        for (candidate, function) in self.functions.iter().enumerate().filter(|(_, function)| function.live) {
            let Some(position) = self.placement_on(candidate, worker_id) else { continue };
            let placement = &function.placements[position];
            if placement.instances == InstanceState::Loaded && placement.renewed_at > renewed_at {
                (found, renewed_at) = ((candidate, position), placement.renewed_at);
            }
        }
        found
    }

    /// A worker has answered, or not in time. Called before the end of the call itself.
    pub fn worker_answered(&mut self, worker_id: WorkerId, answer: WorkerAnswer) {
        let WorkerAnswer { question, outcome, asked_at, instances } = answer;
        if self.endpoint_list.due_at == Time::MAX || worker_id >= self.workers.len() {
            return;
        }
        let before = self.workers[worker_id].service;
        let is_overdue = self.is_endpoint_list_overdue();
        let service = &mut self.workers[worker_id].service;
        match (question, outcome) {
            // A draining worker rejects without a look, so either shows that it was in service.
            (Question::Attempt, Outcome::Ok | Outcome::Miss) => {
                service.took_work_at = service.took_work_at.max(asked_at);
                service.rejections = 0;
            }
            // Full or draining: it is asked which. With the list confirmed it is full.
            (Question::Attempt, Outcome::AtCapacity) if is_overdue => {
                service.rejected_at = service.rejected_at.max(asked_at);
                service.rejections += 1;
                if service.rejections >= MAX_REJECTIONS {
                    // Whatever it says of itself.
                    service.denied_at = service.denied_at.max(asked_at);
                }
            }
            (Question::HealthCheck, Outcome::Ok) => service.healthy_at = service.healthy_at.max(asked_at),
            (Question::InstanceQuery, Outcome::Ok) => {
                service.queried_at = service.queried_at.max(asked_at);
                if instances > 0 {
                    service.had_instances_at = asked_at;
                }
            }
            (
                Question::HealthCheck | Question::InstanceQuery,
                Outcome::Error | Outcome::AtCapacity | Outcome::TimedOut,
            ) => service.denied_at = service.denied_at.max(asked_at),
            // A connection that broke, and what this machine lacked or took back, say nothing of the worker.
            _ => {}
        }
        if !self.config.may_check_health {
            service.healthy_at = service.queried_at;
        } else if !self.config.may_load {
            service.queried_at = service.healthy_at;
        }
        let is_answer_awaited = matches!(question, Question::HealthCheck | Question::InstanceQuery)
            && asked_at == service.asked_at
            && service.answers_pending > 0;
        if is_answer_awaited {
            service.answers_pending -= 1;
            // Where it was not asked at all, or the connection broke, it is asked again, but not within this wake-up.
            service.ask_again_at = service.ask_again_at.max(self.now + SERVICE_CHECK_RETRY);
        }
        if is_overdue {
            self.service_evidence_changed(worker_id, &before);
        }
    }

    /// No connection to a worker came about: it may be gone, and come back as another.
    pub fn worker_unreachable(&mut self, worker_id: WorkerId) {
        if self.is_endpoint_list_overdue() && worker_id < self.workers.len() {
            let before = self.workers[worker_id].service;
            self.workers[worker_id].service.denied_at = self.now;
            self.service_evidence_changed(worker_id, &before);
        }
    }

    /// A connection to a worker has ended, and not from this side.
    pub fn worker_connection_lost(&mut self, worker_id: WorkerId) {
        if worker_id < self.workers.len() {
            self.workers[worker_id].service.connection_lost_at = self.now;
        }
    }

    /// While the list is overdue: what follows from what a worker has shown.
    fn service_evidence_changed(&mut self, worker_id: WorkerId, before: &ServiceEvidence) {
        let after = self.workers[worker_id].service;
        let known_before = self.endpoint_list.as_of.max(before.confirmed_at());
        if after.denied_at > before.denied_at {
            let more = after.rejections.saturating_sub(MAX_REJECTIONS).min(MAX_INTERVAL_DOUBLINGS);
            // Not all gateways at one moment.
            let wait = self.jitter(SERVICE_CHECK_INTERVAL << more);
            // One that cannot be reached costs nobody anything by being asked.
            let wait = if self.host.connected_since(worker_id) == Time::MAX { wait / 2 } else { wait };
            self.workers[worker_id].service.ask_again_at = self.now + wait;
            if before.denied_at <= known_before {
                self.host.service_changed(worker_id, ServiceChange::Denied);
            }
        }
        if after.confirmed_at() > known_before {
            if self.may_have_restarted(worker_id, before) {
                self.presume_start(worker_id);
            }
            // That is settled: what comes later does not ask for it again.
            self.workers[worker_id].service.connection_lost_at = 0;
        }
        if after.answers_pending < before.answers_pending {
            self.retry_waiting(|request| request.awaits_confirmation);
        }
    }

    /// Whether a worker that is in service now may have restarted since that was last known: no connection to it has stood
    /// since it denied service, or since one broke a while before the next was opened. One that was away for a moment and
    /// still has instances has not: nobody could have loaded them anew by then.
    fn may_have_restarted(&self, worker_id: WorkerId, before: &ServiceEvidence) -> bool {
        let since = self.host.connected_since(worker_id);
        let known_before = self.endpoint_list.as_of.max(before.confirmed_at());
        let denied = before.denied_at > known_before && since > before.denied_at;
        let watched_from = self.endpoint_list.as_of.max(self.started_at);
        let lost_at = before.connection_lost_at;
        let lost = lost_at > watched_from && since > lost_at + SHORTEST_RESTART;
        let away_from = if lost_at > watched_from { lost_at } else { before.denied_at };
        let had_instances_at = self.workers[worker_id].service.had_instances_at;
        let kept = had_instances_at > away_from && had_instances_at < away_from + SHORTEST_RELOAD;
        (denied || lost) && !kept && !self.are_most_presumed_cold(worker_id)
    }

    /// Whether with one more most of the workers would be taken for cold at one time: then it is this gateway that lost them,
    /// and with all of them cold it would serve nobody.
    fn are_most_presumed_cold(&self, worker_id: WorkerId) -> bool {
        let is_cold = |worker: &Worker| {
            worker.is_active() && worker.service.is_start_presumed && self.slow_start_share(worker).is_some()
        };
        let cold = self.workers.iter().filter(|worker| is_cold(worker)).count();
        let more = usize::from(!is_cold(&self.workers[worker_id]));
        (cold + more) * 2 > self.workers.active().0 as usize
    }

    /// A worker that may have restarted, as discovery would have told, is taken for empty and cold.
    fn presume_start(&mut self, worker_id: WorkerId) {
        let service = self.workers[worker_id].service;
        let endpoint = Endpoint { started_at: self.now.max(1), ..self.workers[worker_id].endpoint };
        self.start_worker(worker_id, endpoint);
        self.workers[worker_id].service = ServiceEvidence { is_start_presumed: true, ..service };
        self.settle_changes(1);
        self.host.service_changed(worker_id, ServiceChange::StartPresumed);
    }
}
