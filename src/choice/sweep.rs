//! The sweep: periodic checks of requests and functions.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// A timer set by `SchedulerActions::set_timer` has fired.
    pub fn timer_fired(&mut self, token: u64) {
        if token == ENDPOINT_TIMER {
            if self.config.endpoints_on_request {
                self.host.watch_endpoints(true);
            }
            return;
        }
        self.host.set_timer(self.config.sweep_interval, SWEEP_TIMER);
        (0..self.requests.capacity()).for_each(|slot| self.check_request(slot));
        self.retry_waiting(|_| true);
        self.check_functions();
    }

    /// Checks the number of instances of each function once a second, with the functions spread over the
    /// sweeps of that second. A late sweep also checks the functions of the sweeps that were missed, up to a
    /// limit.
    fn check_functions(&mut self) {
        let (group_count, current_sweep) = (SECOND / MAX_SWEEP_INTERVAL, self.now / MAX_SWEEP_INTERVAL);
        let from = self.last_sweep.max(current_sweep.saturating_sub(group_count));
        let max_sweeps = MAX_CHECKS_IN_A_SWEEP * group_count as usize / self.functions.len().max(1);
        let to = current_sweep.min(from + max_sweeps.max(1) as Time);
        self.last_sweep = to;
        if from / group_count < to / group_count {
            self.drop_old_changes();
        }
        for sweep in from + 1..=to {
            for function_id in
                ((sweep % group_count) as usize..self.functions.len()).step_by(group_count as usize)
            {
                if self.functions[function_id].live {
                    self.apply_endpoint_changes(function_id);
                    self.scale(function_id, true);
                    self.forget_idle(function_id);
                }
            }
        }
    }

    /// Drops endpoint changes that all functions have applied.
    fn drop_old_changes(&mut self) {
        let seen = self.functions.iter().filter(|f| f.live).map(|f| f.changes_seen).min();
        let end = self.endpoint_changes.end();
        self.endpoint_changes.drop_before(seen.unwrap_or(end));
    }

    /// Checks the deadline of an open request and looks for overdue attempts.
    fn check_request(&mut self, slot: RequestSlot) {
        let open = self.requests.get(slot).filter(|request| !request.finished && !request.streaming);
        let Some(info) = open.map(|request| request.info) else { return };
        // The last sweep before the client gives up is the last chance for this gateway to respond.
        if self.now + self.config.sweep_interval + 2 * self.config.tick >= info.deadline {
            return self.reject_or_fail(slot, 0);
        }
        let limit = lateness_limit(&self.classes[info.class], &info);
        for i in 0..self.requests[slot].attempt_count {
            let attempt = &mut self.requests[slot].attempts[i];
            if attempt.state != AttemptState::InFlight || self.now <= attempt.sent_at + limit {
                continue;
            }
            attempt.state = AttemptState::Overdue;
            let worker_id = attempt.worker_id;
            self.record_failure(worker_id);
            // Sends a hedged attempt in addition to the late one if that is allowed.
            let weight = self.priority_weight(&info);
            if self.config.may_hedge && self.requests[slot].retries < 2 && !self.is_overloaded() {
                self.apply_endpoint_changes(info.function);
                if let Some(selection) = self.select_placements(slot, weight) {
                    self.requests[slot].retries += 1;
                    self.send_attempt(slot, selection.first);
                }
            }
        }
    }
}
