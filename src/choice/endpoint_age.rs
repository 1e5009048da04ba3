//! How long the endpoint list may be relied on, and what replaces it while discovery is unreachable: new work
//! is sent only to workers known to have been in service within the drain grace period. A worker may start to
//! drain or restart at any moment, and the gateway is expected to know what discovery would have reported,
//! even if it did not receive it. So the absence of updates proves nothing. The workers' own answers do, and
//! where those have become too old, workers are sent health checks and queries, which the drain rule exempts.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// Records that the discovery server confirmed the list as of `as_of`. While the server is reachable, its
    /// next answer arrives by `due_at`.
    pub fn endpoint_list_confirmed(&mut self, as_of: Time, due_at: Time) {
        self.endpoint_list.as_of = as_of;
        self.endpoint_list.due_at = due_at;
    }

    /// Whether the discovery server's answer is overdue, so that the list may have changed since it was
    /// confirmed.
    pub fn is_endpoint_list_overdue(&self) -> bool {
        self.now >= self.endpoint_list.due_at
    }

    /// The time until which work may be sent to a worker, by present knowledge. `Time::MAX` where endpoint
    /// lists have no age or nothing may be asked. Work that is under way when a worker starts to drain is
    /// covered by the grace period, so evidence of service holds for the length of that period and no longer.
    pub(super) fn confirmed_until(&self, worker_id: WorkerId) -> Time {
        let EndpointListAge { as_of, due_at } = self.endpoint_list;
        if due_at == Time::MAX || !self.can_check_service() {
            return Time::MAX;
        }
        let validity = self.config.drain_grace - DEPARTURE_MARGIN.min(self.config.drain_grace / 4);
        if !self.is_endpoint_list_overdue() {
            return due_at.max(as_of + validity);
        }
        let service = &self.workers[worker_id].service;
        let known_at = as_of.max(service.confirmed_at());
        if service.rejected_at.max(service.denied_at) > known_at || known_at == 0 {
            return 0;
        }
        known_at + validity
    }

    /// Whether work may be sent to a worker now.
    pub(super) fn is_confirmed(&self, worker_id: WorkerId) -> bool {
        self.now < self.confirmed_until(worker_id)
    }

    /// Whether the settings allow health checks or queries, which the drain rule exempts. Where they do not,
    /// only attempts show a worker's state, and requests are sent on the basis of the last list.
    fn can_check_service(&self) -> bool {
        self.config.may_check_health || self.config.may_load
    }

    /// Whether the worker is listed as active, not ejected, and not skipped. The next worker in the
    /// function's order replaces one that denied service or did not answer a service check.
    pub(crate) fn is_available(&self, worker_id: WorkerId) -> bool {
        self.is_listed_available(worker_id) && !self.is_skipped(worker_id)
    }

    fn is_skipped(&self, worker_id: WorkerId) -> bool {
        if !self.is_endpoint_list_overdue() {
            return false;
        }
        let service = &self.workers[worker_id].service;
        let denied = service.denied_at > self.endpoint_list.as_of.max(service.confirmed_at());
        let silent = service.answers_pending > 0 && self.now > service.asked_at + SERVICE_CHECK_TIMEOUT;
        denied || silent && !self.is_confirmed(worker_id)
    }

    /// Whether no worker that the function may run on is available while the endpoint list is overdue.
    pub(super) fn is_no_worker_available(&self, function_id: FunctionId) -> bool {
        let mut placements = self.functions[function_id].placements.iter();
        self.is_endpoint_list_overdue() && !placements.any(|p| self.is_available(p.worker_id))
    }

    /// Sends service checks to the unconfirmed workers that the request's next attempt may go to. Returns
    /// whether an answer is pending.
    pub(super) fn check_unconfirmed_workers(&mut self, slot: RequestSlot) -> bool {
        if !self.is_endpoint_list_overdue() || !self.can_check_service() {
            return false;
        }
        let function_id = self.requests[slot].info.function;
        let desired = self.functions[function_id].desired_instances.max(1);
        let (mut candidates, mut answer_pending) = (0, false);
        for position in 0..self.functions[function_id].placements.len() {
            if candidates == desired {
                break;
            }
            let worker_id = self.functions[function_id].placements[position].worker_id;
            let request = &self.requests[slot];
            let is_eligible =
                self.may_use_worker(request, worker_id) && self.is_retry_safe(request, worker_id);
            if !is_eligible || !self.is_listed_available(worker_id) {
                continue;
            }
            if !self.is_confirmed(worker_id) {
                self.check_service(function_id, position);
                let is_skipped = self.is_skipped(worker_id);
                answer_pending |= !is_skipped && self.workers[worker_id].service.answers_pending > 0;
                candidates += usize::from(!is_skipped);
            } else {
                candidates += 1;
            }
        }
        answer_pending
    }

    /// Asks a worker whether it is in service, with each kind of check that the settings allow, unless it was
    /// asked recently. It is not specified how a draining worker answers either kind, so both must succeed.
    fn check_service(&mut self, function_id: FunctionId, position: usize) {
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
            self.count_call(function_id, false);
            self.host.send_load_request(function_id, worker_id, 0);
        }
    }
}
