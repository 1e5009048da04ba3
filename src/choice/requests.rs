//! A request from its arrival to its final response: sent, kept waiting, rejected or failed.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// A request arrives and gets the slot that `next_request_slot` named.
    pub fn request_arrived(&mut self, info: RequestInfo) {
        let (now, function_id) = (self.now, info.function);
        let slot = self.requests.insert(Request { info, arrived_at: now, ..Request::default() });
        // Here too: it may be hours to the next load request.
        self.expire_load_history(self.config.load_limit.window);
        self.arrival_count.add(now, 1);
        self.register_function(&info);
        self.load_history.arrivals.extend(self.functions[function_id].confirmed.then_some(now));
        self.functions[function_id].request_arrived(now);
        self.scale(function_id, false);
        // A try that ends before the next sweep could answer it, or before half its usual run is over, is
        // answered now: its attempt would be wasted work. Guards against storms of late retries, whatever
        // makes clients retry; it could reject a request that is far lighter than it looks.
        let soonest = self.classes[info.class].expected_latency(&info) as Time / 2;
        if now + soonest.max(self.config.sweep_interval + 2 * self.config.tick) >= info.deadline {
            return self.reject_or_fail(slot, 0);
        }
        self.dispatch(slot);
    }

    /// Finds the request a worker, or lets it wait here for an instance, or rejects it at once.
    pub(crate) fn dispatch(&mut self, slot: RequestSlot) {
        let (info, outstanding) = (self.requests[slot].info, self.requests[slot].outstanding());
        let weight = self.priority_weight(&info);
        let awaits_confirmation = self.ask_unconfirmed(slot);
        self.requests[slot].awaits_confirmation = awaits_confirmation;
        // Those that the function is to have go before others, also if their answer has to be awaited.
        let selection = self.select_placements(slot, weight);
        if let Some(selection) = selection.filter(|s| !awaits_confirmation || !s.is_beyond) {
            if let Some(position) = self.check_load(slot, &selection) {
                self.functions[info.function].rotation = selection.next_rotation;
                return self.send_attempt(slot, position);
            }
        } else if outstanding > 0 {
            return;
        } else if awaits_confirmation {
            // An answer of a worker, or its time, is due within a tenth of a second.
        } else if self.is_nobody_in_service(info.function) {
            // Nobody is known to be in service: answered at once, with a time by which they are asked again.
            return self.reject_or_fail(slot, SERVICE_CHECK_INTERVAL / 2);
        } else if let Some(load_due) = self.hopeless_wait(slot) {
            return self.reject_or_fail(slot, load_due);
        }
        if !std::mem::replace(&mut self.requests[slot].waiting, true) {
            self.waiting.push_back(slot);
        }
    }

    /// Requests that wait here, oldest first, are tried again.
    pub(crate) fn retry_waiting(&mut self, which: impl Fn(&Request) -> bool) {
        for _ in 0..self.waiting.len() {
            let Some(slot) = self.waiting.pop_front() else { return };
            let Some(request) = self.requests.get_mut(slot).filter(|r| r.waiting) else { continue };
            if !which(request) {
                self.waiting.push_back(slot);
                continue;
            }
            request.waiting = false;
            self.take_in_changes(self.requests[slot].info.function);
            self.request_loads(self.requests[slot].info.function);
            self.dispatch(slot);
        }
    }

    /// Some where a request should not wait for a placement: time until its load is due, 0 if unknown.
    fn hopeless_wait(&mut self, slot: RequestSlot) -> Option<Time> {
        let (now, info, arrived_at) = (self.now, self.requests[slot].info, self.requests[slot].arrived_at);
        let (function, class) = (&self.functions[info.function], &self.classes[info.class]);
        let (n, loaded) =
            (function.desired_instances.max(1), |p: usize| self.is_loaded(&function.placements[p]));
        let crowded = self.usable_placements(info.function).take(n).any(loaded);
        // A load that ends after the client gave up is no hope: answered at once, with a time by which it is
        // there. One at a worker that left is none; one overdue is, up to three times the usual.
        let load = if function.load_time > 0.0 { function.load_time as Time } else { info.load_hint };
        let loading =
            |p: &&Placement| p.instances == InstanceState::Loading && self.is_available(p.worker_id);
        let due = function.placements.iter().filter(loading).map(|placement| placement.renewed_at + load);
        let due = due.filter(|due| now <= due + 2 * load || load == 0).min();
        let ends = |due: &Time| now.max(*due) + class.expected_latency(&info) as Time;
        if let Some(due) = due.filter(|due| !crowded && ends(due) > info.deadline) {
            return Some(due.saturating_sub(now));
        }
        // With instances that have no capacity it waits an eighth of the latency objective at most, in
        // overload half of that, and is rejected (tried from 1/2 to 1/16: an early rejection can still be
        // answered elsewhere). The same with no instance nor load request: it would wait till its deadline.
        let part = if self.is_overloaded() { 16 } else { 8 };
        let longest = class.objective_for(&info) as Time / part;
        if now > arrived_at + longest && (crowded || due.is_none()) {
            self.saturation_count.add(now, u32::from(crowded));
            return Some(0);
        }
        None
    }

    /// A final response of our own, at once: rejected with a Retry-After where that is harmless, else failed.
    pub(super) fn reject_or_fail(&mut self, slot: RequestSlot, load_due: Time) {
        let request = &mut self.requests[slot];
        if request.finished || request.streaming {
            return;
        }
        let harmless = match self.classes[request.info.class].retry_safety {
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey(KeyScope::All, _) => true,
            RetrySafety::IdempotencyKey(..) | RetrySafety::NonIdempotent => request.never_executed(),
        };
        if harmless {
            // Spread over half to all of a tenth of the latency objective, so that those rejected together do
            // not come back together, and come in time (a quarter, and the longest allowed, did worse). What
            // waits for a load comes back when that is due.
            let objective = self.classes[request.info.class].latency_objective;
            let longest = self.config.max_retry_after;
            let wait = (objective / 10).max(2 * load_due).min(longest) as u32;
            // Where a Retry-After may be given it is never 0, which would read as "at once" or as none.
            let wait = (wait / 2 + self.random.below(wait / 2 + 1)).max(u32::from(longest > 0));
            self.host.reject(slot, Time::from(wait));
        } else {
            self.host.fail(slot);
        }
        self.finish(slot);
    }

    /// The client has cancelled the request or left.
    pub fn client_abandoned(&mut self, slot: RequestSlot) {
        let Some(request) = self.requests.get(slot).filter(|request| !request.finished) else { return };
        // Clients that leave early, unannounced, want their answers before that: latencies are judged by it.
        // One leaving moves it eight times as far as an answer moves it back, so a few in a hundred do not
        // matter. Where they leave for a reason of their own, it only makes the limits tighter. Before the
        // usual latency nobody can have waited for an answer: guards against hundreds cancelled at once.
        let age = (self.now - request.arrived_at) as f64;
        let class = &mut self.classes[request.info.class];
        let early = self.now + self.config.sweep_interval < request.info.deadline;
        if early && (class.warm_latency..class.observed_objective).contains(&age) {
            class.observed_objective = smooth(class.observed_objective, age);
        }
        self.finish(slot);
    }
}
