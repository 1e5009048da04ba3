//! Attempts: whether a request may be sent to a worker, sending it, and cancelling attempts.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// Whether one more attempt of the request may be sent to the worker. Every attempt passes this check.
    pub(super) fn may_send_attempt(&self, slot: RequestSlot, worker_id: WorkerId) -> bool {
        let (request, class) = (&self.requests[slot], self.requests[slot].info.class);
        let in_time = self.now + self.config.tick < request.info.deadline;
        let is_open = !request.finished && !request.streaming && in_time;
        let may_overlap = request.outstanding() == 0 || self.config.may_hedge;
        let has_attempts_left = request.attempt_count < self.config.max_attempts;
        is_open
            && may_overlap
            && has_attempts_left
            && self.may_use_worker(request, worker_id)
            && self.workers[worker_id].is_active()
            && self.is_confirmed(worker_id)
            && self.is_retry_safe(request, worker_id)
            && self.has_slow_start_capacity(worker_id, class)
    }

    /// Whether the worker is still allowed for the next attempt, given the workers that earlier attempts
    /// used.
    pub(super) fn may_use_worker(&self, request: &Request, worker_id: WorkerId) -> bool {
        // A worker that has the request or has failed it is not used again. It may be used again after a
        // miss. Where the key scope (a zone or a cell) leaves few workers, it may also be used again after a
        // broken connection: the worker may be healthy and has the instance loaded.
        let has_few_workers = matches!(
            self.classes[request.info.class].retry_safety,
            RetrySafety::IdempotencyKey(KeyScope::Zone | KeyScope::Cell, _)
        );
        let may_return = |state: AttemptState| {
            state == AttemptState::NotExecuted || has_few_workers && state == AttemptState::ConnectionLost
        };
        !request.sent_attempts().iter().any(|a| a.worker_id == worker_id && !may_return(a.state))
    }

    /// Whether the request stays safe if all attempts so far were executed and one more is executed at this
    /// worker.
    pub(super) fn is_retry_safe(&self, request: &Request, worker_id: WorkerId) -> bool {
        let next = &self.workers[worker_id].endpoint;
        match self.classes[request.info.class].retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => request.never_executed(),
            RetrySafety::IdempotencyKey(scope, window) => {
                let attempts = request.sent_attempts().iter();
                attempts.filter(|attempt| attempt.state != AttemptState::NotExecuted).all(|attempt| {
                    let earlier = &self.workers[attempt.worker_id].endpoint;
                    let in_scope = match scope {
                        KeyScope::All => true,
                        KeyScope::Zone => earlier.zone == next.zone,
                        KeyScope::Cell => earlier.cell == next.cell,
                    };
                    // An earlier attempt may have run as soon as it was sent. The next one may run as late as
                    // it can still leave.
                    let latest_start = self.now + self.config.connect_timeout + self.config.tick;
                    // If a worker came back while the list is overdue, its address may belong to another
                    // worker, outside the scope.
                    let is_known = !self.workers[worker_id].service.is_start_presumed
                        || !self.is_endpoint_list_overdue();
                    in_scope && is_known && latest_start < attempt.sent_at + window
                })
            }
        }
    }

    /// Sends the request to the worker at this position among its function's placements.
    pub(super) fn send_attempt(&mut self, slot: RequestSlot, position: usize) {
        let (now, request) = (self.now, &mut self.requests[slot]);
        let placement = &mut self.functions[request.info.function].placements[position];
        let worker_id = placement.worker_id;
        let worker = &mut self.workers[worker_id];
        let is_report_recent = now < worker.reported_at + REPORT_LIFETIME;
        let reported_load = if is_report_recent { worker.reported_load } else { -1.0 };
        request.add_attempt(worker_id, now, reported_load);
        placement.in_flight += 1;
        worker.attempt_sent(now, request.info.class, self.config.overload_window);
        // Only the first attempt of a request counts towards its tenant's quota, so that retries do not use
        // it up.
        if let Some(tenant) = request.info.tenant.filter(|_| request.attempt_count == 1) {
            self.tenants[tenant].rate.add(now, 1);
        }
        self.host.limit_departures(worker_id, self.confirmed_until(worker_id));
        self.host.send_attempt(slot, worker_id, 0);
    }

    /// Cancels all attempts in flight except one.
    pub(crate) fn cancel_attempts(&mut self, slot: RequestSlot, except: usize) {
        for i in 0..self.requests[slot].attempt_count {
            let state = self.requests[slot].attempts[i].state;
            let is_cancellable =
                i != except && matches!(state, AttemptState::InFlight | AttemptState::Overdue);
            if is_cancellable && self.config.may_cancel {
                self.requests[slot].attempts[i].state = AttemptState::Cancelled;
                self.host.cancel_attempt(slot, i);
            }
        }
    }
}
