//! Ends of attempts: what they teach of functions and workers, and what follows for the request.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// An attempt has ended so, after so long; `finished` where the client has its response by it. `note` is
    /// what the worker says beside the outcome, packed as `AttemptNote` has it.
    pub fn attempt_ended(
        &mut self,
        slot: RequestSlot,
        attempt: usize,
        (outcome, took): (Outcome, Time),
        finished: bool,
        note: u32,
    ) {
        let Some((before, position, info)) = self.end_attempt(slot, attempt, AttemptState::after(outcome))
        else {
            return;
        };
        let (worker_id, note) = (before.worker_id, AttemptNote(note));
        self.worker_heard(worker_id, outcome);
        self.confirm_function(info.function, outcome);
        let ended = EndedAttempt { attempt: before, position, info, outcome, took, note };
        self.learn_from_outcome(&ended);
        match outcome {
            Outcome::Ok => self.attempt_succeeded(&ended),
            Outcome::Miss => self.attempt_missed(info.function, position),
            Outcome::AtCapacity => {
                self.saturation_count.add(self.now, 1);
                self.reduce_in_flight_limit(worker_id);
            }
            // What rode on one connection ends at one moment: one failure, not one for each. Guards against a
            // spoilt answer that costs a good worker all its trust; a worker that died fails again at once.
            Outcome::Reset if self.workers[worker_id].connection_lost_at == self.now => {}
            // A call of what does not exist, or a load that failed, is not the worker's fault.
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

    /// The users' way: up to two further attempts, none while this gateway sees overload.
    fn retry_or_reject(&mut self, slot: RequestSlot, outcome: Outcome) {
        let missed = outcome == Outcome::Miss;
        let again = missed || self.requests[slot].retries < 2 && !self.is_overloaded();
        let request = &mut self.requests[slot];
        request.retries += u32::from(!missed);
        let retry_safety = self.classes[request.info.class].retry_safety;
        let lost = retry_safety == RetrySafety::NonIdempotent && !request.never_executed();
        if again && !lost && request.attempt_count < self.config.max_attempts {
            self.dispatch(slot);
        } else {
            self.reject_or_fail(slot, 0);
        }
    }

    /// What ends of every kind teach: concurrency, whether reports are true, misses, and capacity by rating.
    fn learn_from_outcome(&mut self, ended: &EndedAttempt) {
        let EndedAttempt { position, info, outcome, took, note, .. } = *ended;
        let (reported, worker_id) = (ended.attempt.reported_load, ended.attempt.worker_id);
        if matches!(outcome, Outcome::Ok | Outcome::AtCapacity) {
            let function = &mut self.functions[info.function];
            update_mean(&mut function.placements[position].concurrency, note.concurrency(), 2.0);
            function.answered_since_release = true;
            // More of one function than the report had in all: reports come late, and all gateways together
            // go by them. Guards against whatever makes reports untrue; a sudden burst looks the same.
            if reported >= 0.0 && self.config.reports_in_flight {
                let rating = self.workers[worker_id].endpoint.rating;
                let more = note.concurrency() > reported * rating + 2.0;
                update_mean(&mut self.report_distrust, indicator(more), 16.0);
            }
        }
        update_mean(&mut self.miss_ratio, indicator(outcome == Outcome::Miss), 32.0);
        if outcome == Outcome::Ok && reported > 0.0 && info.cost_hint > 0 {
            let capacity = (reported * info.cost_hint as f64 / took as f64).min(8.0);
            let parts = if capacity > self.capacity_per_rating { 16.0 } else { 32.0 };
            update_mean(&mut self.capacity_per_rating, capacity, parts);
        }
    }

    /// What a good answer teaches.
    pub(super) fn attempt_succeeded(&mut self, ended: &EndedAttempt) {
        let EndedAttempt { attempt, position, info, took, note, .. } = ended;
        let (now, worker_id, latency) = (self.now, attempt.worker_id, *took as f64);
        let class = &mut self.classes[info.class];
        let (objective, function) = (class.objective_for(info), &mut self.functions[info.function]);
        update_mean(&mut class.observed_objective, class.latency_objective as f64, 64.0);
        let placement = &mut function.placements[*position];
        (placement.instances, placement.renewed_at) = (InstanceState::Loaded, now);
        if !note.is_warm() {
            return;
        }
        self.slow_start_cost_seen(worker_id, info.class, latency);
        let (class, function) = (&mut self.classes[info.class], &mut self.functions[info.function]);
        let known = function.warm_latency > 0.0;
        function.warm_latency = if known { smooth(function.warm_latency, latency) } else { latency };
        class.warm_latency = smooth(class.warm_latency, latency);
        class.mean_cost = smooth(class.mean_cost, info.cost_hint as f64);
        let late = *took > lateness_limit(class, info);
        let worker = &mut self.workers[worker_id];
        // What it did within the span of the counter at most.
        worker.completed_work.add(now, class.warm_latency.min(Counter::SPAN as f64) as u32);
        worker.latency_ratio = smooth(worker.latency_ratio, (latency / objective).min(2.0));
        self.adapt_in_flight_limit(worker_id);
        if late {
            self.record_failure(worker_id);
        } else if attempt.sent_at >= self.workers[worker_id].ejected_until {
            // Only an answer to something sent since it was ejected restores trust.
            (self.workers[worker_id].failures, self.workers[worker_id].ejection_time) = (0, 0);
        }
    }

    /// The page: reissue the load request to that worker, and try another of the first n. A worker beyond the
    /// first n was only used because an instance was thought to be loaded there.
    fn attempt_missed(&mut self, function_id: FunctionId, position: usize) {
        let n = self.functions[function_id].desired_instances.max(1);
        let head = self.usable_placements(function_id).take(n).any(|p| p == position);
        let placement = &mut self.functions[function_id].placements[position];
        if placement.instances != InstanceState::Loading {
            placement.instances = InstanceState::Absent;
        }
        if !self.config.may_load {
            placement.blocked_until = self.now + self.config.keep_alive;
        }
        if head {
            self.load_instances(function_id, position, 1, true);
        }
    }
}
