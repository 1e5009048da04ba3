//! Ends of attempts: how they update the estimates of functions and workers, and what happens to the request.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// An attempt has ended with `outcome` after the time `elapsed`. `finished` is true if the client has its
    /// response by it. `note` is what the worker reports beside the outcome, packed as described at
    /// `AttemptNote`.
    pub fn attempt_ended(
        &mut self,
        slot: RequestSlot,
        attempt: usize,
        (outcome, elapsed): (Outcome, Time),
        finished: bool,
        note: u32,
    ) {
        let Some((before, position, info)) = self.end_attempt(slot, attempt, AttemptState::after(outcome))
        else {
            return;
        };
        let (worker_id, note) = (before.worker_id, AttemptNote(note));
        self.record_worker_response(worker_id, outcome);
        self.confirm_function(info.function, outcome);
        let ended = EndedAttempt { attempt: before, position, info, outcome, elapsed, note };
        self.update_estimates(&ended);
        match outcome {
            Outcome::Ok => self.attempt_succeeded(&ended),
            Outcome::Miss => self.attempt_missed(info.function, position),
            Outcome::AtCapacity => {
                self.saturation_count.add(self.now, 1);
                self.reduce_in_flight_limit(worker_id);
            }
            // All attempts on one connection end at the same moment and count as one failure. Otherwise a
            // single corrupted response would get a healthy worker ejected. A worker that died fails again at
            // once.
            Outcome::Reset if self.workers[worker_id].connection_lost_at == self.now => {}
            // Calls of functions that do not exist and failed loads are not the worker's fault.
            Outcome::Error if note.load_failed() || !self.functions[info.function].confirmed => {}
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset | Outcome::Error => {
                if outcome == Outcome::Reset {
                    self.workers[worker_id].connection_lost_at = self.now;
                }
                if before.state == AttemptState::InFlight {
                    self.record_failure(worker_id);
                }
            }
            Outcome::Cancelled | Outcome::Discarded => {}
        }
        if finished || self.requests[slot].finished {
            self.finish(slot);
        } else if self.requests[slot].outstanding() == 0 {
            self.retry_or_reject(slot, outcome);
        }
    }

    /// Retries or ends a request after a failed attempt, as the operators require: up to two further
    /// attempts, none while this gateway sees overload.
    fn retry_or_reject(&mut self, slot: RequestSlot, outcome: Outcome) {
        let is_miss = outcome == Outcome::Miss;
        let may_retry = is_miss || self.requests[slot].retries < 2 && !self.is_overloaded();
        let request = &mut self.requests[slot];
        request.retries += u32::from(!is_miss);
        let retry_safety = self.classes[request.info.class].retry_safety;
        let is_unsafe = retry_safety == RetrySafety::NonIdempotent && !request.never_executed();
        if may_retry && !is_unsafe && request.attempt_count < self.config.max_attempts {
            self.dispatch(slot);
        } else {
            self.reject_or_fail(slot, 0);
        }
    }

    /// Updates the estimates that every outcome contributes to: concurrency, whether reports are accurate,
    /// the miss ratio, and capacity per rating.
    fn update_estimates(&mut self, ended: &EndedAttempt) {
        let EndedAttempt { position, info, outcome, elapsed, note, .. } = *ended;
        let (reported_load, worker_id) = (ended.attempt.reported_load, ended.attempt.worker_id);
        if matches!(outcome, Outcome::Ok | Outcome::AtCapacity) {
            let function = &mut self.functions[info.function];
            update_mean(&mut function.placements[position].concurrency, note.concurrency(), 2.0);
            function.answered_since_release = true;
            // A worker that has more requests of one function than its report had in total contradicts the
            // report: reports arrive late, and all gateways together act on them. This detects inaccurate
            // reports of any cause. A sudden burst looks the same.
            if reported_load >= 0.0 && self.config.reports_in_flight {
                let rating = self.workers[worker_id].endpoint.rating;
                let is_contradicted = note.concurrency() > reported_load * rating + 2.0;
                update_mean(&mut self.report_mismatch_ratio, indicator(is_contradicted), 16.0);
            }
        }
        update_mean(&mut self.miss_ratio, indicator(outcome == Outcome::Miss), 32.0);
        if outcome == Outcome::Ok && reported_load > 0.0 && info.cost_hint > 0 {
            let capacity = (reported_load * info.cost_hint as f64 / elapsed as f64).min(8.0);
            let parts = if capacity > self.capacity_per_rating { 16.0 } else { 32.0 };
            update_mean(&mut self.capacity_per_rating, capacity, parts);
        }
    }

    /// Updates the estimates after a successful attempt.
    pub(super) fn attempt_succeeded(&mut self, ended: &EndedAttempt) {
        let EndedAttempt { attempt, position, info, elapsed, note, .. } = ended;
        let (now, worker_id, latency) = (self.now, attempt.worker_id, *elapsed as f64);
        let class = &mut self.classes[info.class];
        let (objective, function) = (class.objective_for(info), &mut self.functions[info.function]);
        update_mean(&mut class.observed_objective, class.latency_objective as f64, 64.0);
        let placement = &mut function.placements[*position];
        (placement.instances, placement.renewed_at) = (InstanceState::Loaded, now);
        if !note.is_warm() {
            return;
        }
        self.record_slow_start_cost(worker_id, info.class, latency);
        let (class, function) = (&mut self.classes[info.class], &mut self.functions[info.function]);
        let is_known = function.warm_latency > 0.0;
        function.warm_latency = if is_known { smooth(function.warm_latency, latency) } else { latency };
        class.warm_latency = smooth(class.warm_latency, latency);
        class.mean_cost = smooth(class.mean_cost, info.cost_hint as f64);
        let is_late = *elapsed > lateness_limit(class, info);
        let worker = &mut self.workers[worker_id];
        // At most the work that fits in the span of the counter.
        worker.completed_work.add(now, class.warm_latency.min(Counter::SPAN as f64) as u32);
        worker.latency_ratio = smooth(worker.latency_ratio, (latency / objective).min(2.0));
        self.adapt_in_flight_limit(worker_id);
        if is_late {
            self.record_failure(worker_id);
        } else if attempt.sent_at >= self.workers[worker_id].ejected_until {
            // Only an answer to an attempt sent after the ejection ended clears the failures.
            (self.workers[worker_id].failures, self.workers[worker_id].ejection_duration) = (0, 0);
        }
    }

    /// As in the design, the load request is sent to that worker again, and another of the first n placements
    /// is tried. A worker beyond the first n was only used because an instance was believed to be loaded
    /// there.
    fn attempt_missed(&mut self, function_id: FunctionId, position: usize) {
        let n = self.functions[function_id].desired_instances.max(1);
        let is_primary = self.usable_placements(function_id).take(n).any(|p| p == position);
        let placement = &mut self.functions[function_id].placements[position];
        if placement.instances != InstanceState::Loading {
            placement.instances = InstanceState::Absent;
        }
        if !self.config.may_load {
            placement.blocked_until = self.now + self.config.keep_alive;
        }
        if is_primary {
            self.load_instances(function_id, position, 1, true);
        }
    }
}
