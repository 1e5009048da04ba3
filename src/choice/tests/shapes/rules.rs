//! What a gateway calls for, checked against the rules and carried out.
use super::super::*;
use super::model::*;
use super::simulation::{Event, Simulation};

impl Simulation {
    pub(super) fn send_attempt(&mut self, gateway_id: usize, slot: usize, worker_id: usize) {
        let (now, s) = (self.now, &self.shape.settings);
        let incarnation = self.gateways[gateway_id].incarnation;
        let id =
            self.gateways[gateway_id].requests.iter().rposition(|a| a.slot == slot).expect("it was taken");
        let (allowed, twice) =
            (self.number("allowed.max-attempts") as usize, s.is("allowed.may-duplicate", "true"));
        let (group, window) = (s.text("classes.1.group").to_string(), s.duration("classes.1.window-ms"));
        let request = &self.gateways[gateway_id].requests[id];
        let text = self.shape.describe();
        assert!(
            request.response.is_none() && now < request.deadline,
            "rule 1: launched after its end: {text}"
        );
        assert!(allowed == 0 || request.attempts.len() < allowed, "more launches than are allowed: {text}");
        assert!(twice || request.attempts.iter().all(|a| !a.outstanding), "rule 2: two out: {text}");
        assert!(
            self.gateways[gateway_id].endpoints[worker_id].0 == EndpointState::Active,
            "rule 3: to a worker that drains: {text}"
        );
        for earlier in request.attempts.iter().filter(|a| a.outstanding || !never_executed(a.outcome)) {
            let near = match group.as_str() {
                "all" => true,
                "zone" => self.endpoint(earlier.worker_id).1.zone == self.endpoint(worker_id).1.zone,
                _ => self.endpoint(earlier.worker_id).1.cell == self.endpoint(worker_id).1.cell,
            };
            match self.shape.functions[request.function_id].class {
                0 => {}
                1 => assert!(
                    near && now < earlier.sent_at + window,
                    "rule 2: outside its group or window: {text}"
                ),
                _ => panic!("rule 2: at most once goes again: {text}"),
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
        let id =
            self.gateways[gateway_id].requests.iter().rposition(|a| a.slot == slot).expect("it was taken");
        let (now, text, group) =
            (self.now, self.shape.describe(), self.shape.settings.text("classes.1.group").to_string());
        let request = &mut self.gateways[gateway_id].requests[id];
        assert!(request.response.is_none(), "rule 1: two final answers: {text}");
        request.response = Some(response);
        let proven = |a: &SentAttempt| !a.outstanding && never_executed(a.outcome);
        let harmless = match self.shape.functions[request.function_id].class {
            0 => true,
            1 => group == "all" || request.attempts.iter().all(proven),
            _ => request.attempts.iter().all(proven),
        };
        assert!(response != Response::Rejected || harmless, "rule 2: deferred what may have run: {text}");
        // Nothing was out, and its client had nearly left: it was held for nothing.
        let request = &self.gateways[gateway_id].requests[id];
        let idle = request.attempts.iter().all(|a| !a.outstanding);
        self.held_for_nothing +=
            u32::from(idle && now > request.idle_since + (request.deadline - request.arrived_at) / 2);
        self.responses[if response == Response::Rejected { 2 } else { 3 }] += 1;
    }

    pub(super) fn load(&mut self, gateway_id: usize, function_id: usize, worker_id: usize, instances: u32) {
        let (now, text) = (self.now, self.shape.describe());
        assert!(self.shape.settings.is("extra.orders", "true") && instances <= 16);
        if instances > 0 {
            assert!(
                self.gateways[gateway_id].endpoints[worker_id].0 == EndpointState::Active,
                "rule 3: an order to a worker that drains: {text}"
            );
            let window = self.shape.settings.duration("extra.load-window-ms");
            let (free, share) = (self.number("extra.free-loads"), self.number("extra.load-share"));
            let gateway = &mut self.gateways[gateway_id];
            gateway.load_requests.push(now);
            if window > 0 {
                let orders = gateway.load_requests.iter().filter(|t| **t + window >= now).count();
                let taken = gateway.arrivals.iter().filter(|t| **t + window > now).count();
                assert!(orders as f64 <= free + share * taken as f64, "rule 5: the ration: {text}");
            }
        }
        self.gateways[gateway_id].pending_loads.push((function_id, worker_id));
        let (load, keep) = (self.shape.functions[function_id].load_time, self.shape.keep_alive);
        let chance = self.random.below(30);
        let worker = &mut self.workers[worker_id];
        let (mut how, mut after) = (0, 5);
        if worker.state == EndpointState::Removed {
            how = 2;
        } else if worker.silent_until > now {
            (how, after) = (3, 100_000);
        } else if instances > 0 && !self.shape.calm && chance == 0 {
            (how, after) = (1, load / 2);
        } else if instances > 0 {
            let (from, until) = worker.instances[function_id];
            let fresh = from == Time::MAX || until <= now && from <= now;
            let from = if fresh { now + load } else { from };
            worker.instances[function_id] = (from, until.max(now.max(from) + keep));
            after = from.saturating_sub(now) + 5;
        }
        self.schedule(
            now + after,
            Event::LoadEnd(gateway_id, self.gateways[gateway_id].incarnation, function_id, worker_id, how),
        );
    }

    /// Rule 4, where all gateways are played.
    pub(super) fn check_slow_start(&self) {
        let (cold, window) = (
            self.shape.settings.duration("rules.cold-ms"),
            self.shape.settings.duration("rules.overload-for-ms"),
        );
        let (from, tip) = (self.number("rules.cold-from"), self.number("rules.tip-multiple"));
        if self.shape.gateways != self.shape.simulated_gateways || cold == 0 || window == 0 || tip == 0.0 {
            return;
        }
        for worker in &self.workers {
            for (i, first) in
                worker.slow_start_work.iter().enumerate().filter(|s| s.1 .0 < worker.started_at + cold)
            {
                let sent = worker.slow_start_work[i..].iter().take_while(|s| s.0 < first.0 + window);
                let work: f64 = sent.map(|s| s.1).sum();
                let age = (first.0 + window - worker.started_at) as f64 / cold as f64;
                let can = worker.cores * (from + (1.0 - from) * age.min(1.0)) * window as f64;
                assert!(
                    work <= 1.3 * tip * can,
                    "rule 4: {work:.0} of {:.0}, {} launches, age {}: {}",
                    tip * can,
                    worker.slow_start_work[i..].iter().take_while(|s| s.0 < first.0 + window).count(),
                    first.0 - worker.started_at,
                    self.shape.describe()
                );
            }
        }
    }
}
