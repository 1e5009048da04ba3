//! Attempts: whether a request may be sent to a worker, sending and cancelling.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// The rules for one more attempt of this request at this worker; every attempt passes here.
    pub(super) fn may_send_attempt(&self, slot: RequestSlot, worker_id: WorkerId) -> bool {
        let (request, class) = (&self.requests[slot], self.requests[slot].info.class);
        let in_time = self.now + self.config.tick < request.info.deadline;
        let open = !request.finished && !request.streaming && in_time;
        let alone = request.outstanding() == 0 || self.config.may_hedge;
        let left = request.attempt_count < self.config.max_attempts;
        open && alone
            && left
            && self.may_go_to(request, worker_id)
            && self.workers[worker_id].is_active()
            && self.is_confirmed(worker_id)
            && self.is_retry_safe(request, worker_id)
            && self.has_slow_start_capacity(worker_id, class)
    }

    /// Whether earlier attempts of the request leave this worker to the next one.
    pub(super) fn may_go_to(&self, request: &Request, worker_id: WorkerId) -> bool {
        // Not again to a worker that has it or has failed it; after a miss it may go back, and where only few
        // may have it, also after a broken connection: the worker may be well and its instance is loaded.
        let few = matches!(
            self.classes[request.info.class].retry_safety,
            RetrySafety::IdempotencyKey(KeyScope::Zone | KeyScope::Cell, _)
        );
        let back = |state: AttemptState| {
            state == AttemptState::NotExecuted || few && state == AttemptState::ConnectionLost
        };
        !request.sent_attempts().iter().any(|a| a.worker_id == worker_id && !back(a.state))
    }

    /// Whether it does no harm if all attempts so far were executed as well as one more at this worker.
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
                    // It may have run as soon as it was sent; the next may run as late as it can leave.
                    let latest = self.now + self.config.connect_timeout + self.config.tick;
                    // Another worker, of another scope, may be at the address of one that came back unlisted.
                    let is_known = !self.workers[worker_id].service.is_start_presumed
                        || !self.is_endpoint_list_overdue();
                    in_scope && is_known && latest < attempt.sent_at + window
                })
            }
        }
    }

    /// Sends the request to the worker of a placement of its function.
    pub(super) fn send_attempt(&mut self, slot: RequestSlot, position: usize) {
        let (now, request) = (self.now, &mut self.requests[slot]);
        let placement = &mut self.functions[request.info.function].placements[position];
        let worker_id = placement.worker_id;
        let worker = &mut self.workers[worker_id];
        let fresh = now < worker.reported_at + REPORT_LIFETIME;
        let reported_load = if fresh { worker.reported_load } else { -1.0 };
        request.add_attempt(worker_id, now, reported_load);
        placement.in_flight += 1;
        worker.attempt_sent(now, request.info.class, self.config.overload_window);
        // A tenant's quota is used by what is sent for it; a storm of retries alone does not use it up.
        if let Some(tenant) = request.info.tenant.filter(|_| request.attempt_count == 1) {
            self.tenants[tenant].rate.add(now, 1);
        }
        self.host.limit_departures(worker_id, self.confirmed_until(worker_id));
        self.host.send_attempt(slot, worker_id, 0);
    }

    /// Cancels what is still in flight, but for one attempt.
    pub(crate) fn cancel_attempts(&mut self, slot: RequestSlot, except: usize) {
        for i in 0..self.requests[slot].attempt_count {
            let state = self.requests[slot].attempts[i].state;
            let out = i != except && matches!(state, AttemptState::InFlight | AttemptState::Overdue);
            if out && self.config.may_cancel {
                self.requests[slot].attempts[i].state = AttemptState::Cancelled;
                self.host.cancel_attempt(slot, i);
            }
        }
    }
}
