//! Handling of a request from its arrival to its final response: sending, waiting, rejection, failure.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// Handles the arrival of a request, which gets the slot that `next_request_slot` returned.
    pub fn request_arrived(&mut self, info: RequestInfo) {
        let (now, function_id) = (self.now, info.function);
        let slot = self.requests.insert(Request { info, arrived_at: now, ..Request::default() });
        // Old entries are dropped here as well, because the next load request may be hours away.
        self.expire_load_history(self.config.load_limit.window);
        self.arrival_count.add(now, 1);
        self.register_function(&info);
        self.load_history.arrivals.extend(self.functions[function_id].confirmed.then_some(now));
        self.functions[function_id].request_arrived(now);
        self.scale(function_id, false);
        // A request whose deadline comes before the next sweep could answer it, or before half of its
        // expected run, is answered at once: its attempt would be wasted work. This limits storms of late
        // retries, whatever makes clients retry. It may reject a request that is far lighter than it looks.
        let shortest_run = self.classes[info.class].expected_latency(&info) as Time / 2;
        if now + shortest_run.max(self.config.sweep_interval + 2 * self.config.tick) >= info.deadline {
            return self.reject_or_fail(slot, 0);
        }
        self.dispatch(slot);
    }

    /// Sends the request to a worker, lets it wait for an instance, or rejects it at once.
    pub(crate) fn dispatch(&mut self, slot: RequestSlot) {
        let (info, outstanding) = (self.requests[slot].info, self.requests[slot].outstanding());
        let weight = self.priority_weight(&info);
        let awaits_confirmation = self.check_unconfirmed_workers(slot);
        self.requests[slot].awaits_confirmation = awaits_confirmation;
        // Placements that the function should have are used before others, even if their workers' answers are
        // pending.
        let selection = self.select_placements(slot, weight);
        if let Some(selection) = selection.filter(|s| !awaits_confirmation || !s.is_beyond_desired) {
            if let Some(position) = self.check_load(slot, &selection) {
                self.functions[info.function].rotation = selection.next_rotation;
                return self.send_attempt(slot, position);
            }
        } else if outstanding > 0 {
            return;
        } else if awaits_confirmation {
            // The answer of a worker, or its timeout, is due within a tenth of a second.
        } else if self.is_no_worker_available(info.function) {
            // No worker is known to be in service. The request is rejected at once, with a Retry-After by
            // which the workers will have been asked again.
            return self.reject_or_fail(slot, SERVICE_CHECK_INTERVAL / 2);
        } else if let Some(load_due) = self.futile_wait(slot) {
            return self.reject_or_fail(slot, load_due);
        }
        if self.requests[slot].waiting_entry.is_none() {
            self.last_waiting_entry += 1;
            let number = self.last_waiting_entry;
            self.requests[slot].waiting_entry = Some(number);
            self.waiting.push_back(WaitingEntry { slot, number });
        }
    }

    /// Tries the waiting requests for which `is_selected` holds again, oldest first.
    pub(crate) fn retry_waiting(&mut self, is_selected: impl Fn(&Request) -> bool) {
        for _ in 0..self.waiting.len() {
            let Some(entry) = self.waiting.pop_front() else { return };
            let slot = entry.slot;
            let is_valid = |request: &&mut Request| request.waiting_entry == Some(entry.number);
            let Some(request) = self.requests.get_mut(slot).filter(is_valid) else { continue };
            if !is_selected(request) {
                self.waiting.push_back(entry);
                continue;
            }
            request.waiting_entry = None;
            self.apply_endpoint_changes(self.requests[slot].info.function);
            self.request_loads(self.requests[slot].info.function);
            self.dispatch(slot);
        }
    }

    /// Some if the request should not wait for a placement any longer: the time until its load is due, 0 if
    /// unknown.
    fn futile_wait(&mut self, slot: RequestSlot) -> Option<Time> {
        let (now, info, arrived_at) = (self.now, self.requests[slot].info, self.requests[slot].arrived_at);
        let (function, class) = (&self.functions[info.function], &self.classes[info.class]);
        let (n, is_placement_loaded) =
            (function.desired_instances.max(1), |p: usize| self.is_loaded(&function.placements[p]));
        let has_loaded_instance = self.usable_placements(info.function).take(n).any(is_placement_loaded);
        // Waiting is futile if the load ends after the client gives up: the request is rejected at once, with
        // the time by which the instance is loaded. A load at a worker that left does not count; one that is
        // overdue counts up to three times the usual load time.
        let load_time = if function.load_time > 0.0 { function.load_time as Time } else { info.load_hint };
        let is_loading =
            |p: &&Placement| p.instances == InstanceState::Loading && self.is_available(p.worker_id);
        let due =
            function.placements.iter().filter(is_loading).map(|placement| placement.renewed_at + load_time);
        let due = due.filter(|due| now <= due + 2 * load_time || load_time == 0).min();
        let ends_at = |due: &Time| now.max(*due) + class.expected_latency(&info) as Time;
        if let Some(due) = due.filter(|due| !has_loaded_instance && ends_at(due) > info.deadline) {
            return Some(due.saturating_sub(now));
        }
        // If the instances have no capacity, the request waits at most an eighth of the latency objective,
        // half of that in overload, and is then rejected (tried from 1/2 to 1/16: a request rejected early
        // can still be answered elsewhere). The same holds without an instance or load request, where it
        // would wait until its deadline.
        let divisor = if self.is_overloaded() { 16 } else { 8 };
        let max_wait = class.objective_for(&info) as Time / divisor;
        if now > arrived_at + max_wait && (has_loaded_instance || due.is_none()) {
            self.saturation_count.add(now, u32::from(has_loaded_instance));
            return Some(0);
        }
        None
    }

    /// Ends the request with a response from this gateway: a rejection with a Retry-After if a retry by the
    /// client is safe, otherwise a failure.
    pub(super) fn reject_or_fail(&mut self, slot: RequestSlot, load_due: Time) {
        let request = &mut self.requests[slot];
        if request.finished || request.streaming {
            return;
        }
        let is_retry_harmless = match self.classes[request.info.class].retry_safety {
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey(KeyScope::All, _) => true,
            RetrySafety::IdempotencyKey(..) | RetrySafety::NonIdempotent => request.never_executed(),
        };
        if is_retry_harmless {
            // Spread between half and all of a tenth of the latency objective, so that requests rejected
            // together do not return together, and return in time (a quarter, and the longest allowed, did
            // worse). A request that waits for a load returns once the load is due.
            let objective = self.classes[request.info.class].latency_objective;
            let max_retry_after = self.config.max_retry_after;
            let retry_after = (objective / 10).max(2 * load_due).min(max_retry_after) as u32;
            // Never 0 where a Retry-After is allowed: 0 would read as "at once" or as no Retry-After.
            let retry_after = (retry_after / 2 + self.random.below(retry_after / 2 + 1))
                .max(u32::from(max_retry_after > 0));
            self.host.reject(slot, Time::from(retry_after));
        } else {
            self.host.fail(slot);
        }
        self.finish(slot);
    }

    /// The client has cancelled the request or disconnected.
    pub fn client_abandoned(&mut self, slot: RequestSlot) {
        let Some(request) = self.requests.get(slot).filter(|request| !request.finished) else { return };
        // Clients that leave early without notice want their answers before that time, so latencies are
        // judged by it. One such client moves the observed objective eight times as far as an answer moves it
        // back, so a few in a hundred do not matter. If clients leave for other reasons, this only makes the
        // limits tighter. Clients that leave before the usual latency are not counted, as none of them can
        // have waited for an answer: otherwise hundreds of requests cancelled at once would lower the
        // objective.
        let age = (self.now - request.arrived_at) as f64;
        let class = &mut self.classes[request.info.class];
        let is_early = self.now + self.config.sweep_interval < request.info.deadline;
        if is_early && (class.warm_latency..class.observed_objective).contains(&age) {
            class.observed_objective = smooth(class.observed_objective, age);
        }
        self.finish(slot);
    }
}
