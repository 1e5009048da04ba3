//! How long the endpoint list may be relied on, and what takes its place while discovery is out of reach:
//! new work leaves only for workers that are known to have been in service within the drain grace period. A
//! worker may begin to drain, or restart, at any moment, and what discovery would tell counts as known
//! though nobody hears it. So no news is no evidence: the workers' own answers are, and where they have run
//! out workers are asked what the drain rule exempts.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// The discovery server's answer proves the list as of `as_of`; while it can be reached the next one
    /// comes by `due_at`.
    pub fn endpoint_list_confirmed(&mut self, as_of: Time, due_at: Time) {
        self.endpoint_list.as_of = as_of;
        self.endpoint_list.due_at = due_at;
    }

    /// Whether discovery owes an answer: the list may have changed since it was last confirmed.
    pub fn is_endpoint_list_overdue(&self) -> bool {
        self.now >= self.endpoint_list.due_at
    }

    /// Until when work may leave for a worker, by what is known now; `Time::MAX` where nothing is to be
    /// known. Work that is on its way when a worker begins to drain is within the grace period: so long,
    /// and no longer, evidence holds.
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

    /// Whether the settings allow anything to be asked that the drain rule exempts. Where they do not,
    /// attempts alone show what a worker does, and the service goes on by them.
    fn can_ask(&self) -> bool {
        self.config.may_check_health || self.config.may_load
    }

    /// Listed as active, not ejected, and not passed over: the next of the order takes the place of a
    /// worker that denied service, or that was asked and says nothing.
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

    /// Asks the workers that a request's next attempt may go to, where nothing confirms them; whether an
    /// answer is awaited.
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

    /// Asks a worker whether it is in service, in the ways that the settings allow, unless it was asked
    /// lately. What a draining worker says to which of them is told nowhere, so it has to be well by each.
    fn ask_service(&mut self, function_id: FunctionId, position: usize) {
        let worker_id = self.functions[function_id].placements[position].worker_id;
        let service = &mut self.workers[worker_id].service;
        let is_pending = service.answers_pending > 0 && self.now < service.asked_at + SERVICE_CHECK_INTERVAL;
        if is_pending || self.now < service.ask_again_at {
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
}
