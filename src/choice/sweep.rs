//! The sweep: what is looked at again from time to time, whatever happens.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// A timer that `SchedulerActions::set_timer` set has fired.
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

    /// Counts of instances are checked once a second, the functions spread over the sweeps of it; a sweep
    /// that comes late does those of the sweeps that it missed, as far as that is not too many at once.
    fn check_functions(&mut self) {
        let (slots, sweep) = (SECOND / MAX_SWEEP_INTERVAL, self.now / MAX_SWEEP_INTERVAL);
        let from = self.last_sweep.max(sweep.saturating_sub(slots));
        let most = MAX_CHECKS_IN_A_SWEEP * slots as usize / self.functions.len().max(1);
        let to = sweep.min(from + most.max(1) as Time);
        self.last_sweep = to;
        if from / slots < to / slots {
            self.drop_old_changes();
        }
        for slot in from + 1..=to {
            for function_id in ((slot % slots) as usize..self.functions.len()).step_by(slots as usize) {
                if self.functions[function_id].live {
                    self.take_in_changes(function_id);
                    self.scale(function_id, true);
                    self.forget_idle(function_id);
                }
            }
        }
    }

    /// Changes of the endpoint list that all functions have taken in are of no further use.
    fn drop_old_changes(&mut self) {
        let seen = self.functions.iter().filter(|f| f.live).map(|f| f.changes_seen).min();
        let end = self.endpoint_changes.end();
        self.endpoint_changes.drop_before(seen.unwrap_or(end));
    }

    /// One request in hand: its deadline, and attempts that are overdue.
    fn check_request(&mut self, slot: RequestSlot) {
        let open = self.requests.get(slot).filter(|request| !request.finished && !request.streaming);
        let Some(info) = open.map(|request| request.info) else { return };
        // The last sweep before the client gives up is the last chance for a response of our own.
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
            // A hedged attempt goes out beside the late one where that is allowed.
            let weight = self.priority_weight(&info);
            if self.config.may_hedge && self.requests[slot].retries < 2 && !self.is_overloaded() {
                self.take_in_changes(info.function);
                if let Some(selection) = self.select_placements(slot, weight) {
                    self.requests[slot].retries += 1;
                    self.send_attempt(slot, selection.first);
                }
            }
        }
    }
}
