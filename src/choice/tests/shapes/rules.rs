//! Checks a gateway's calls against the rules and carries them out.
use super::super::*;
use super::model::*;
use super::simulation::{Event, Simulation};

impl Simulation {
    pub(super) fn send_attempt(&mut self, gateway_id: usize, slot: usize, worker_id: usize) {
        let (now, s) = (self.now, &self.shape.settings);
        let incarnation = self.gateways[gateway_id].incarnation;
        let id = self.gateways[gateway_id]
            .requests
            .iter()
            .rposition(|a| a.slot == slot)
            .expect("the slot belongs to a request");
        let (max_attempts, may_overlap) =
            (self.number("allowed.max-attempts") as usize, s.is("allowed.may-duplicate", "true"));
        let (scope, window) = (s.text("classes.1.group").to_string(), s.duration("classes.1.window-ms"));
        let request = &self.gateways[gateway_id].requests[id];
        let text = self.shape.describe();
        assert!(
            request.response.is_none() && now < request.deadline,
            "rule 1: attempt sent after the request's end: {text}"
        );
        assert!(
            max_attempts == 0 || request.attempts.len() < max_attempts,
            "more attempts than allowed: {text}"
        );
        assert!(
            may_overlap || request.attempts.iter().all(|a| !a.outstanding),
            "rule 2: two attempts in flight: {text}"
        );
        assert!(
            self.gateways[gateway_id].endpoints[worker_id].0 == EndpointState::Active,
            "rule 3: attempt sent to a draining worker: {text}"
        );
        for earlier in request.attempts.iter().filter(|a| a.outstanding || !never_executed(a.outcome)) {
            let in_scope = match scope.as_str() {
                "all" => true,
                "zone" => self.endpoint(earlier.worker_id).1.zone == self.endpoint(worker_id).1.zone,
                _ => self.endpoint(earlier.worker_id).1.cell == self.endpoint(worker_id).1.cell,
            };
            match self.shape.functions[request.function_id].class {
                0 => {}
                1 => assert!(
                    in_scope && now < earlier.sent_at + window,
                    "rule 2: attempt outside the key scope or window: {text}"
                ),
                _ => panic!("rule 2: non-idempotent request retried: {text}"),
            }
        }
        let (function_id, deadline) = (request.function_id, request.deadline);
        let (outcome, when) = self.attempt_arrives(gateway_id, worker_id, function_id, deadline);
        let attempt = self.gateways[gateway_id].requests[id].attempts.len();
        self.gateways[gateway_id].requests[id].attempts.push(SentAttempt {
            worker_id,
            sent_at: now,
            outcome,
            outstanding: true,
        });
        self.schedule(when.max(now + 1), Event::AttemptEnd(gateway_id, incarnation, id, attempt));
    }

    pub(super) fn respond(&mut self, gateway_id: usize, slot: usize, response: Response) {
        let id = self.gateways[gateway_id]
            .requests
            .iter()
            .rposition(|a| a.slot == slot)
            .expect("the slot belongs to a request");
        let (now, text, group) =
            (self.now, self.shape.describe(), self.shape.settings.text("classes.1.group").to_string());
        let request = &mut self.gateways[gateway_id].requests[id];
        assert!(request.response.is_none(), "rule 1: two final responses: {text}");
        request.response = Some(response);
        let not_executed = |a: &SentAttempt| !a.outstanding && never_executed(a.outcome);
        let is_retry_harmless = match self.shape.functions[request.function_id].class {
            0 => true,
            1 => group == "all" || request.attempts.iter().all(not_executed),
            _ => request.attempts.iter().all(not_executed),
        };
        assert!(
            response != Response::Rejected || is_retry_harmless,
            "rule 2: rejected a request that may have been executed: {text}"
        );
        // No attempt was in flight for more than half of the time until the deadline, so the request waited
        // in vain.
        let request = &self.gateways[gateway_id].requests[id];
        let is_idle = request.attempts.iter().all(|a| !a.outstanding);
        self.waited_in_vain +=
            u32::from(is_idle && now > request.idle_since + (request.deadline - request.arrived_at) / 2);
        self.responses[if response == Response::Rejected { 2 } else { 3 }] += 1;
    }

    pub(super) fn load(&mut self, gateway_id: usize, function_id: usize, worker_id: usize, instances: u32) {
        let (now, text) = (self.now, self.shape.describe());
        assert!(self.shape.settings.is("extra.orders", "true") && instances <= 16);
        if instances > 0 {
            assert!(
                self.gateways[gateway_id].endpoints[worker_id].0 == EndpointState::Active,
                "rule 3: load request sent to a draining worker: {text}"
            );
            let window = self.shape.settings.duration("extra.load-window-ms");
            let (free, share) = (self.number("extra.free-loads"), self.number("extra.load-share"));
            let gateway = &mut self.gateways[gateway_id];
            gateway.load_requests.push(now);
            if window > 0 {
                let sent = gateway.load_requests.iter().filter(|t| **t + window >= now).count();
                let arrived = gateway.arrivals.iter().filter(|t| **t + window > now).count();
                assert!(
                    sent as f64 <= free + share * arrived as f64,
                    "rule 5: rate limit of load requests: {text}"
                );
            }
        }
        self.gateways[gateway_id].pending_loads.push((function_id, worker_id));
        let (load, keep) = (self.shape.functions[function_id].load_time, self.shape.keep_alive);
        let chance = self.random.below(30);
        let worker = &mut self.workers[worker_id];
        let (mut outcome_index, mut delay) = (0, 5);
        if worker.state == EndpointState::Removed {
            outcome_index = 2;
        } else if worker.silent_until > now {
            (outcome_index, delay) = (3, 100_000);
        } else if instances > 0 && !self.shape.without_faults && chance == 0 {
            (outcome_index, delay) = (1, load / 2);
        } else if instances > 0 {
            let (from, until) = worker.instances[function_id];
            let must_load = from == Time::MAX || until <= now && from <= now;
            let from = if must_load { now + load } else { from };
            worker.instances[function_id] = (from, until.max(now.max(from) + keep));
            delay = from.saturating_sub(now) + 5;
        }
        self.schedule(
            now + delay,
            Event::LoadEnd(
                gateway_id,
                self.gateways[gateway_id].incarnation,
                function_id,
                worker_id,
                outcome_index,
            ),
        );
    }

    /// Checks rule 4, if all gateways are simulated.
    pub(super) fn check_slow_start(&self) {
        let (cold, window) = (
            self.shape.settings.duration("rules.cold-ms"),
            self.shape.settings.duration("rules.overload-for-ms"),
        );
        let (initial_share, overload_multiple) =
            (self.number("rules.cold-from"), self.number("rules.tip-multiple"));
        if self.shape.gateways != self.shape.simulated_gateways
            || cold == 0
            || window == 0
            || overload_multiple == 0.0
        {
            return;
        }
        for worker in &self.workers {
            for (i, first) in
                worker.slow_start_work.iter().enumerate().filter(|s| s.1 .0 < worker.started_at + cold)
            {
                let sent = worker.slow_start_work[i..].iter().take_while(|s| s.0 < first.0 + window);
                let work: f64 = sent.map(|s| s.1).sum();
                let age = (first.0 + window - worker.started_at) as f64 / cold as f64;
                let capacity =
                    worker.cores * (initial_share + (1.0 - initial_share) * age.min(1.0)) * window as f64;
                assert!(
                    work <= 1.3 * overload_multiple * capacity,
                    "rule 4: {work:.0} of {:.0}, {} attempts, age {}: {}",
                    overload_multiple * capacity,
                    worker.slow_start_work[i..].iter().take_while(|s| s.0 < first.0 + window).count(),
                    first.0 - worker.started_at,
                    self.shape.describe()
                );
            }
        }
    }
}
