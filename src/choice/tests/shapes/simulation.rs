//! Event-driven simulation of gateways with modelled workers.
use super::super::help::*;
use super::super::*;
use super::model::*;
use super::shape::Shape;
use crate::random::mix_hashes;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrival,
    Sweep(usize, u32),
    AttemptEnd(usize, u32, usize, usize),
    LoadEnd(usize, u32, usize, usize, u8),
    HealthCheckEnd(usize, u32, usize),
    Deadline(usize, u32, usize),
    Abandon(usize, u32, usize),
    Fault,
    EndpointUpdate(usize, u32, usize),
}

pub(super) struct Simulation {
    pub(super) shape: Shape,
    pub(super) now: Time,
    pub(super) random: RandomGenerator,
    pub(super) queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    pub(super) sequence: u64,
    pub(super) gateways: Vec<GatewayRun>,
    pub(super) workers: Vec<SimulatedWorker>,
    /// Requests completed within the latency objective, completed later, rejected, failed, and abandoned.
    pub(super) responses: [u32; 5],
    pub(super) max_instances: usize,
    pub(super) max_open_requests: usize,
    pub(super) waited_in_vain: u32,
}

impl Simulation {
    pub(super) fn new(shape: Shape) -> Simulation {
        let random = RandomGenerator::new(shape.seed + 1);
        let worker = SimulatedWorker {
            cores: shape.cores,
            state: EndpointState::Active,
            ..SimulatedWorker::default()
        };
        let workers = vec![worker; shape.workers];
        let mut simulation = Simulation {
            now: 0,
            random,
            queue: BinaryHeap::new(),
            sequence: 0,
            gateways: Vec::new(),
            workers,
            responses: [0; 5],
            max_instances: 0,
            max_open_requests: 0,
            waited_in_vain: 0,
            shape,
        };
        // Where load requests are not allowed, a third of the workers have each function loaded permanently.
        let is_preloaded = simulation.shape.settings.is("extra.orders", "false");
        for (worker_id, worker) in simulation.workers.iter_mut().enumerate() {
            let instance = |function_id: usize| {
                if is_preloaded && (worker_id + function_id).is_multiple_of(3) {
                    (0, Time::MAX / 2)
                } else {
                    (Time::MAX, 0)
                }
            };
            worker.instances = (0..simulation.shape.functions.len()).map(instance).collect();
        }
        for gateway_id in 0..simulation.shape.simulated_gateways {
            simulation.start_gateway(gateway_id, 0);
        }
        simulation.schedule(0, Event::Arrival);
        if !simulation.shape.without_faults {
            (1..=6).for_each(|i| simulation.schedule(simulation.shape.duration * i / 8, Event::Fault));
        }
        simulation
    }

    pub(super) fn schedule(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((time.max(self.now), self.sequence, event)));
    }

    pub(super) fn endpoint(&self, worker_id: usize) -> (usize, Endpoint) {
        let (worker, zone) = (&self.workers[worker_id], worker_id as u32 % self.shape.zones);
        let (state, started_at) = (worker.state, worker.started_at);
        (
            worker_id,
            Endpoint { state, started_at, zone, cell: worker_id as u32 / 3, ..endpoint_entry(worker_id).1 },
        )
    }

    pub(super) fn start_gateway(&mut self, gateway_id: usize, incarnation: u32) {
        let seed = self.shape.seed * 10 + gateway_id as u64 + u64::from(incarnation) * 1000;
        let mut settings = self.shape.settings.clone();
        match self.shape.planted_fault {
            Some("no_load_requests") => {
                drop(settings.insert("extra.orders".to_string(), "false".to_string()))
            }
            Some("no_slow_start") => drop(settings.remove("rules.cold-ms")),
            Some("retry_non_idempotent") => {
                drop(settings.insert("classes.2.semantics".to_string(), "read_like".to_string()))
            }
            Some("triple_load_share") => {
                let share = 3.0 * settings.number("extra.load-share");
                settings.insert("extra.load-share".to_string(), share.to_string());
            }
            _ => {}
        }
        let scheduler = Scheduler::new(Calls::default(), self.now, seed, settings);
        let mut scheduler = scheduler.unwrap_or_else(|e| panic!("{e}"));
        let entries: Vec<_> = (0..self.workers.len()).map(|worker_id| self.endpoint(worker_id)).collect();
        let endpoints = entries.iter().map(|e| (e.1.state, e.1.started_at)).collect();
        scheduler.advance_clock(self.now);
        scheduler.update_endpoints(&entries, true);
        let gateway = GatewayRun {
            scheduler,
            incarnation,
            requests: Vec::new(),
            endpoints,
            load_requests: Vec::new(),
            arrivals: Vec::new(),
            pending_loads: Vec::new(),
            next_sweep: self.now,
        };
        if gateway_id < self.gateways.len() {
            self.gateways[gateway_id] = gateway;
        } else {
            self.gateways.push(gateway);
        }
        self.schedule(self.now, Event::Sweep(gateway_id, incarnation));
        self.carry_out(gateway_id);
    }

    pub(super) fn schedule_sweep(&mut self, gateway_id: usize, when: Time) {
        self.gateways[gateway_id].next_sweep = when;
        self.schedule(when, Event::Sweep(gateway_id, self.gateways[gateway_id].incarnation));
    }

    pub(super) fn number(&self, key: &str) -> f64 {
        self.shape.settings.number(key)
    }

    /// Determines the outcome of an attempt that reaches a worker, and when it ends.
    pub(super) fn attempt_arrives(
        &mut self,
        gateway_id: usize,
        worker_id: usize,
        function_id: usize,
        deadline: Time,
    ) -> (Outcome, Time) {
        let (now, p) = (self.now, self.shape.functions[function_id]);
        let chance = 0.6 + f64::from(self.random.below(800)) / 1000.0;
        let misses = self.shape.settings.is("extra.if-cold", "miss");
        let informed = self.gateways[gateway_id].endpoints[worker_id].1 == self.workers[worker_id].started_at;
        let worker = &mut self.workers[worker_id];
        if worker.state == EndpointState::Removed {
            return (Outcome::ConnectFailed, now + 20);
        }
        if worker.silent_until > now {
            return (Outcome::TimedOut, deadline + 1);
        }
        if worker.started_at > 0 && informed {
            worker.slow_start_work.push((now, p.run));
        }
        let (from, until) = worker.instances[function_id];
        let loaded = from != Time::MAX && (until > now || from > now);
        if !loaded && misses {
            return (Outcome::Miss, now + 5);
        }
        if f64::from(worker.in_flight) > worker.cores * 8.0 {
            return (Outcome::AtCapacity, now + 5);
        }
        let from = if loaded { from.max(now) } else { now + p.load_time };
        let work = p.run * chance * (f64::from(worker.in_flight + 1) / worker.cores).max(1.0);
        let end = from + work as Time + 5;
        let began = if loaded { worker.instances[function_id].0 } else { from };
        worker.instances[function_id] = (began, until.max(end + self.shape.keep_alive));
        worker.in_flight += 1;
        if end >= deadline {
            return (Outcome::TimedOut, deadline + 1);
        }
        if !self.shape.without_faults && self.random.below(40) == 0 {
            return (
                if self.random.below(2) == 0 { Outcome::Reset } else { Outcome::Error },
                now + work as Time / 2,
            );
        }
        (Outcome::Ok, end)
    }

    /// Carries out the gateway's calls.
    pub(super) fn carry_out(&mut self, gateway_id: usize) {
        let planted_fault = self.shape.planted_fault;
        while !self.gateways[gateway_id].scheduler.host.0.is_empty() {
            for call in std::mem::take(&mut self.gateways[gateway_id].scheduler.host.0) {
                let (now, incarnation) = (self.now, self.gateways[gateway_id].incarnation);
                match call {
                    Call::Attempt(slot, worker_id) => self.send_attempt(gateway_id, slot, worker_id),
                    Call::Cancel(slot, attempt) => {
                        let id =
                            self.gateways[gateway_id].requests.iter().rposition(|a| a.slot == slot).unwrap();
                        let out = &mut self.gateways[gateway_id].requests[id].attempts[attempt];
                        assert!(out.outstanding, "an attempt that is not in flight was cancelled");
                        out.outcome = Outcome::Cancelled;
                        self.schedule(now + 1, Event::AttemptEnd(gateway_id, incarnation, id, attempt));
                    }
                    Call::Reject(slot, retry_after) => {
                        let allowed = self.shape.settings.is("allowed.retry-after", "true")
                            && self.shape.settings.text("allowed.max-retry-after-ms") != "0";
                        assert!(
                            !allowed || retry_after > 0,
                            "a rejection without a Retry-After: {}",
                            self.shape.describe()
                        );
                        if planted_fault != Some("drop_rejections") {
                            self.respond(gateway_id, slot, Response::Rejected);
                        }
                    }
                    Call::Fail(slot) => self.respond(gateway_id, slot, Response::Failed),
                    Call::Load(function_id, worker_id, instances) => {
                        self.load(gateway_id, function_id, worker_id, instances)
                    }
                    Call::HealthCheck(worker_id) => {
                        assert!(self.shape.settings.is("allowed.probes", "true"));
                        let late = if self.workers[worker_id].silent_until > now { 2_500 } else { 6 };
                        self.schedule(now + late, Event::HealthCheckEnd(gateway_id, incarnation, worker_id));
                    }
                    Call::ForgetFunction(function_id) => {
                        self.gateways[gateway_id].pending_loads.retain(|p| p.0 != function_id)
                    }
                    Call::WatchEndpoints | Call::Timer(..) => {}
                }
            }
        }
    }

    pub(super) fn fault(&mut self) {
        let worker_id = self.random.below(self.workers.len() as u32) as usize;
        let (now, some) = (self.now, self.workers.len().div_ceil(8));
        match self.random.below(6) {
            0 => {
                // Some workers restart at once and come back cold.
                let count = self.workers.len();
                for worker_id in (0..some).map(|i| (worker_id + i) % count) {
                    let worker = &mut self.workers[worker_id];
                    (worker.started_at, worker.in_flight, worker.state) =
                        (now.max(1), 0, EndpointState::Active);
                    worker.slow_start_work.clear();
                    worker.instances.iter_mut().for_each(|c| *c = (Time::MAX, 0));
                }
                self.announce_endpoints();
            }
            1 => {
                self.workers[worker_id].state = EndpointState::Draining;
                self.announce_endpoints();
            }
            2 => {
                self.workers[worker_id].state = EndpointState::Removed;
                self.announce_endpoints();
            }
            3 => {
                let gateway_id = self.random.below(self.gateways.len() as u32) as usize;
                let incarnation = self.gateways[gateway_id].incarnation + 1;
                self.start_gateway(gateway_id, incarnation);
            }
            4 => self.workers[worker_id].silent_until = now + self.shape.duration / 10,
            _ => self
                .workers
                .iter_mut()
                .for_each(|worker| worker.instances.iter_mut().for_each(|c| *c = (Time::MAX, 0))),
        }
    }

    pub(super) fn announce_endpoints(&mut self) {
        for gateway_id in 0..self.gateways.len() {
            self.schedule(
                self.now + 3_000,
                Event::EndpointUpdate(gateway_id, self.gateways[gateway_id].incarnation, 0),
            );
        }
    }

    pub(super) fn arrive(&mut self) {
        let (now, gap) = (self.now, self.shape.arrival_gap);
        let wait = gap * (0.1 + 1.8 * f64::from(self.random.below(1000)) / 1000.0);
        if now + (wait as Time) < self.shape.duration {
            self.schedule(now + (wait as Time).max(1), Event::Arrival);
        }
        let gateway_id = self.random.below(self.gateways.len() as u32) as usize;
        // The first functions get the most requests.
        let many = self.shape.functions.len() as u32;
        let function_id = self.random.below(many).min(self.random.below(many)) as usize;
        let p = self.shape.functions[function_id];
        let deadline = now + (self.shape.client_timeout * 10.0) as Time;
        let gateway = &mut self.gateways[gateway_id];
        gateway.scheduler.advance_clock(now);
        let slot = gateway.scheduler.next_request_slot();
        let free = gateway.requests.iter().rev().find(|a| a.slot == slot);
        assert!(
            free.is_none_or(|a| a.response.is_some() && a.attempts.iter().all(|a| !a.outstanding)),
            "rule 1: the slot was not free"
        );
        let id = gateway.requests.len();
        gateway.requests.push(ClientRequest {
            slot,
            function_id,
            arrived_at: now,
            deadline,
            attempts: Vec::new(),
            response: None,
            idle_since: now,
        });
        gateway.arrivals.push(now);
        let incarnation = gateway.incarnation;
        self.schedule(deadline, Event::Deadline(gateway_id, incarnation, id));
        if !self.shape.without_faults && self.random.below(50) == 0 {
            self.schedule(now + (deadline - now) / 3, Event::Abandon(gateway_id, incarnation, id));
        }
        let load_hint = if self.shape.planted_fault == Some("no_load_hint") { 0 } else { p.load_time };
        let info =
            RequestInfo { cost_hint: p.run as Time, load_hint, tenant: Some(0), ..request_info(p.class) };
        let hash = mix_hashes(function_id as u64 + 1, 99);
        self.gateways[gateway_id].scheduler.request_arrived(RequestInfo {
            function: function_id,
            function_hash: hash,
            lanes: p.lanes,
            deadline,
            ..info
        });
        self.carry_out(gateway_id);
        self.measure(gateway_id);
        let step = self.gateways[gateway_id].scheduler.config.sweep_interval;
        if self.gateways[gateway_id].next_sweep > now + step {
            self.schedule_sweep(gateway_id, now + step);
        }
    }

    pub(super) fn measure(&mut self, gateway_id: usize) {
        let scheduler = &self.gateways[gateway_id].scheduler;
        self.max_instances = self
            .max_instances
            .max(scheduler.functions.iter().map(|f| f.desired_instances).max().unwrap_or(0));
        let open_requests = self.gateways.iter().map(|l| l.scheduler.requests.len()).sum();
        self.max_open_requests = self.max_open_requests.max(open_requests);
    }

    pub(super) fn attempt_ended(&mut self, gateway_id: usize, id: usize, attempt: usize) {
        let now = self.now;
        let request = &mut self.gateways[gateway_id].requests[id];
        if !std::mem::replace(&mut request.attempts[attempt].outstanding, false) {
            return;
        }
        request.idle_since = now;
        let SentAttempt { worker_id, sent_at, outcome, .. } = request.attempts[attempt];
        let (slot, arrived_at) = (request.slot, request.arrived_at);
        if outcome == Outcome::Ok && request.response.is_none() {
            request.response = Some(Response::Completed);
            self.responses[usize::from(now > arrived_at + (self.shape.objective * 10.0) as Time)] += 1;
        }
        let finished = self.gateways[gateway_id].requests[id].response.is_some();
        if !matches!(outcome, Outcome::Miss | Outcome::AtCapacity | Outcome::ConnectFailed) {
            let worker = &mut self.workers[worker_id];
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
        let in_flight = self.workers[worker_id].in_flight;
        let names = self.shape.settings.text("reporting.names");
        if self.shape.settings.is("reporting.outcome", "answers") && outcome != Outcome::TimedOut {
            let busy = (f64::from(in_flight) / self.workers[worker_id].cores).min(1.0);
            let reported = |name: &str, v: f64| if names.contains(name) { v } else { 0.0 };
            self.gateways[gateway_id].scheduler.load_reported(
                worker_id,
                reported("rif", f64::from(in_flight)),
                reported("busy", busy),
            );
        }
        let concurrency =
            if self.shape.planted_fault == Some("false_concurrency") { 30 } else { in_flight.min(30) };
        let note = (1 + 8 * concurrency) * u32::from(matches!(outcome, Outcome::Ok | Outcome::AtCapacity));
        self.gateways[gateway_id].scheduler.attempt_ended(
            slot,
            attempt,
            (outcome, (now - sent_at).max(1)),
            finished,
            note,
        );
    }

    fn sweep(&mut self, gateway_id: usize) {
        let now = self.now;
        if self.gateways[gateway_id].next_sweep != now {
            return;
        }
        // Without open requests, sweeps may come late, as the scheduler allows it. Otherwise long runs would
        // take minutes.
        let busy = !self.gateways[gateway_id].scheduler.requests.is_empty();
        let next = if busy {
            (self.shape.duration / 4_000).min((self.shape.objective * 10.0) as Time / 20)
        } else {
            self.shape.duration / 300
        };
        let due =
            self.gateways[gateway_id].requests.iter().filter(|a| a.response.is_none()).map(|a| a.deadline);
        let tick = 2 * self.shape.settings.duration("tick-ms");
        let last = due.map(|t| t.saturating_sub(tick + 5)).filter(|t| *t > now).min();
        self.gateways[gateway_id].scheduler.timer_fired(0);
        let step = self.gateways[gateway_id].scheduler.config.sweep_interval;
        let sweep = now + next.max(step);
        self.schedule_sweep(
            gateway_id,
            last.map_or(sweep, |t| t.saturating_sub(step).min(sweep).max(now + 1)),
        );
        self.measure(gateway_id);
    }

    fn load_ended(
        &mut self,
        gateway_id: usize,
        function_id: FunctionId,
        worker_id: WorkerId,
        outcome_index: u8,
    ) {
        let now = self.now;
        let at = self.gateways[gateway_id].pending_loads.iter().position(|p| *p == (function_id, worker_id));
        let Some(at) = at else { return };
        self.gateways[gateway_id].pending_loads.swap_remove(at);
        let (from, until) = self.workers[worker_id].instances[function_id];
        let loaded = u32::from(from <= now && until > now);
        let outcome =
            [Outcome::Ok, Outcome::Error, Outcome::ConnectFailed, Outcome::TimedOut][outcome_index as usize];
        let loaded = if outcome_index == 0 { loaded } else { 0 };
        self.gateways[gateway_id].scheduler.load_request_ended(function_id, worker_id, outcome, loaded);
    }

    fn health_check_ended(&mut self, gateway_id: usize, worker_id: WorkerId) {
        let now = self.now;
        let worker = &self.workers[worker_id];
        let is_healthy = worker.silent_until <= now && worker.state != EndpointState::Removed;
        if is_healthy && !self.shape.settings.is("reporting.how", "none") {
            let busy = (f64::from(worker.in_flight) / worker.cores).min(1.0);
            let names = self.shape.settings.text("reporting.names");
            let reported = |name: &str, v: f64| if names.contains(name) { v } else { 0.0 };
            let (rif, busy) = (reported("rif", f64::from(worker.in_flight)), reported("busy", busy));
            self.gateways[gateway_id].scheduler.load_reported(worker_id, rif, busy);
        }
        self.gateways[gateway_id]
            .scheduler
            .health_check_ended(worker_id, if is_healthy { Outcome::Ok } else { Outcome::TimedOut });
    }

    fn abandon(&mut self, gateway_id: usize, id: usize) {
        let request = &mut self.gateways[gateway_id].requests[id];
        if request.response.is_some() {
            return;
        }
        request.response = Some(Response::Abandoned);
        let slot = request.slot;
        self.responses[4] += 1;
        self.gateways[gateway_id].scheduler.client_abandoned(slot);
    }

    fn update_endpoints(&mut self, gateway_id: usize) {
        let entries: Vec<_> = (0..self.workers.len()).map(|worker_id| self.endpoint(worker_id)).collect();
        if self.shape.planted_fault != Some("drop_endpoint_updates") {
            self.gateways[gateway_id].scheduler.update_endpoints(&entries, true);
        }
        self.gateways[gateway_id].endpoints = entries.iter().map(|e| (e.1.state, e.1.started_at)).collect();
    }

    pub(super) fn step(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrival => return self.arrive(),
            Event::Fault => return self.fault(),
            _ => {}
        }
        let (Event::Sweep(gateway_id, incarnation)
        | Event::AttemptEnd(gateway_id, incarnation, ..)
        | Event::LoadEnd(gateway_id, incarnation, ..)
        | Event::HealthCheckEnd(gateway_id, incarnation, _)
        | Event::Deadline(gateway_id, incarnation, _)
        | Event::Abandon(gateway_id, incarnation, _)
        | Event::EndpointUpdate(gateway_id, incarnation, _)) = event
        else {
            return;
        };
        if self.gateways[gateway_id].incarnation != incarnation {
            return;
        }
        self.gateways[gateway_id].scheduler.advance_clock(now);
        match event {
            Event::Sweep(..) => self.sweep(gateway_id),
            Event::AttemptEnd(_, _, id, attempt) => self.attempt_ended(gateway_id, id, attempt),
            Event::LoadEnd(_, _, function_id, worker_id, outcome_index) => {
                self.load_ended(gateway_id, function_id, worker_id, outcome_index)
            }
            Event::HealthCheckEnd(_, _, worker_id) => self.health_check_ended(gateway_id, worker_id),
            Event::Deadline(_, _, id) => {
                let request = &self.gateways[gateway_id].requests[id];
                assert!(
                    request.response.is_some(),
                    "rule 1: no response before the client gave up: {}",
                    self.shape.describe()
                );
            }
            Event::Abandon(_, _, id) => self.abandon(gateway_id, id),
            Event::EndpointUpdate(..) => self.update_endpoints(gateway_id),
            _ => {}
        }
        self.carry_out(gateway_id);
    }

    pub(super) fn run(mut self) -> Simulation {
        let end = self.shape.duration + 2 * (self.shape.client_timeout * 10.0) as Time;
        while let Some(Reverse((time, _, event))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = self.now.max(time);
            self.step(event);
        }
        for gateway in &self.gateways {
            assert!(gateway.requests.iter().all(|a| a.response.is_some()), "a request has no response");
        }
        self.check_slow_start();
        self
    }
}
