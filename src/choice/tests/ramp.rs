//! Slow start across a whole fleet: many gateways run the scheduler as shipped, and half of the workers
//! restart at one moment. In no window may all gateways together send a cold worker more than it can take,
//! plus the allowance for chance that the operators' requirements grant.
use super::help::*;
use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use test_case::{test_case, test_matrix};

const WORKERS: usize = 12;
const CORES: usize = 4;
/// Duration of warm traffic before the restart, and duration of the observation after it.
const WARM_TRAFFIC: Time = 25_000;
const OBSERVATION: Time = 45_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum PlantedFault {
    Nothing,
    /// Every gateway rounds its share up.
    AllRoundUp,
    /// Cold workers are treated as warm.
    Warm,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    AttemptEnd(usize, u32, usize, usize),
    EndpointUpdate(usize, u32),
    WorkersRestart,
    GatewaysRestart,
    Sweep,
}

struct Fleet {
    settings: Settings,
    /// Work of a request at a warm worker. It is the same for all requests, because the rule counts requests
    /// of mean work.
    run: Time,
    now: Time,
    random: RandomGenerator,
    gateways: Vec<TestScheduler>,
    incarnations: Vec<u32>,
    slow_start_at: Time,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    /// By worker: when each core is free again, and the times of the attempts that arrived.
    core_free_at: Vec<Vec<Time>>,
    attempts: Vec<Vec<Time>>,
    planted: PlantedFault,
}

impl Fleet {
    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    /// The fraction by which a worker is warm according to the settings.
    fn warm_share(&self, worker_id: usize, at: Time) -> f64 {
        if worker_id < WORKERS || at < self.slow_start_at {
            return 1.0;
        }
        let (cold_duration, initial_share) =
            (self.settings.duration("rules.cold-ms"), self.settings.number("rules.cold-from"));
        (initial_share + (1.0 - initial_share) * (at - self.slow_start_at) as f64 / cold_duration as f64)
            .min(1.0)
    }

    /// Half of the workers stay throughout. The other half are replaced by new ones.
    fn endpoints(&self) -> Vec<(usize, Endpoint)> {
        let entry = |worker_id: usize| {
            if self.now >= self.slow_start_at && worker_id % 2 == 1 {
                let (_, endpoint) = endpoint_entry(worker_id + WORKERS);
                return (
                    worker_id + WORKERS,
                    Endpoint { started_at: self.slow_start_at, rating: CORES as f64, ..endpoint },
                );
            }
            (worker_id, Endpoint { rating: CORES as f64, ..endpoint_entry(worker_id).1 })
        };
        (0..WORKERS).map(entry).collect()
    }

    fn announce_endpoints(&mut self, gateway_id: usize) {
        let list = self.endpoints();
        let gateway = &mut self.gateways[gateway_id];
        gateway.advance_clock(self.now);
        gateway.update_endpoints(&list, true);
        if self.planted == PlantedFault::AllRoundUp {
            (0..gateway.workers.len()).for_each(|w| gateway.workers[w].slow_start_rounding = 0.0);
        }
        self.carry_out(gateway_id);
    }

    /// Carries out the calls of the gateway: attempts reach their workers at once and end when a core has
    /// executed them.
    fn carry_out(&mut self, gateway_id: usize) {
        for call in std::mem::take(&mut self.gateways[gateway_id].host.0) {
            let Call::Attempt(slot, worker_id) = call else { continue };
            let attempt = self.gateways[gateway_id].requests[slot].attempt_count - 1;
            let took = (self.run as f64 / self.warm_share(worker_id, self.now)) as Time;
            self.attempts[worker_id].push(self.now);
            let core = self.core_free_at[worker_id].iter_mut().min().expect("a worker has cores");
            *core = self.now.max(*core) + took;
            let (end, incarnation) = (*core, self.incarnations[gateway_id]);
            self.schedule(end, Event::AttemptEnd(gateway_id, incarnation, slot, attempt));
        }
    }

    fn arrive(&mut self, gap: f64, weights: &[f64]) {
        let wait = -gap * (f64::from(self.random.below(9_999) + 1) / 10_000.0).ln();
        self.schedule(self.now + wait as Time + 1, Event::Arrival);
        let drawn = f64::from(self.random.below(1 << 20)) / f64::from(1 << 20)
            * weights.last().expect("there are gateways");
        let gateway_id = weights.partition_point(|w| *w <= drawn);
        let gateway = &mut self.gateways[gateway_id];
        gateway.advance_clock(self.now);
        let function = self.random.below(4) as usize;
        let hash = 77 + function as u64;
        gateway.request_arrived(RequestInfo {
            function,
            function_hash: hash,
            lanes: 1000,
            deadline: self.now + 20_000,
            ..request_info(0)
        });
        self.carry_out(gateway_id);
    }

    fn restart_gateways(&mut self) {
        for gateway_id in (0..self.gateways.len()).step_by(3) {
            self.incarnations[gateway_id] += 1;
            let seed = u64::from(self.random.below(1 << 30));
            self.gateways[gateway_id] =
                Scheduler::new(Calls::default(), self.now, seed, self.settings.clone()).unwrap();
            self.announce_endpoints(gateway_id);
        }
    }

    /// See `ramp` for the return values.
    fn worst_window(&self) -> (f64, usize) {
        let window = self.settings.duration("rules.overload-for-ms");
        let (mut worst, mut received) = (f64::MIN, 0);
        for (worker_id, attempts) in self.attempts.iter().enumerate().skip(WORKERS) {
            received += attempts.len();
            for (i, at) in attempts.iter().enumerate() {
                let sent = attempts[..=i].iter().filter(|t| **t + window > *at).count() as f64;
                let capacity =
                    CORES as f64 * window as f64 / self.run as f64 * self.warm_share(worker_id, *at);
                let allowance = self.settings.number("rules.tip-multiple") * capacity;
                worst = worst.max(sent - (allowance + 2.0 * allowance.sqrt() + 2.0));
            }
        }
        (worst, received)
    }

    fn handle_event(&mut self, event: Event, gap: f64, weights: &[f64]) {
        match event {
            Event::Arrival => self.arrive(gap, weights),
            Event::AttemptEnd(gateway_id, incarnation, slot, attempt)
                if incarnation == self.incarnations[gateway_id] =>
            {
                let gateway = &mut self.gateways[gateway_id];
                let Some(e) = gateway.requests.get(slot).filter(|e| attempt < e.attempt_count) else {
                    return;
                };
                let took = self.now - e.attempts[attempt].sent_at;
                gateway.advance_clock(self.now);
                gateway.attempt_ended(slot, attempt, (Outcome::Ok, took), true, 1);
                self.carry_out(gateway_id);
            }
            Event::AttemptEnd(..) => {}
            Event::EndpointUpdate(gateway_id, incarnation)
                if incarnation == self.incarnations[gateway_id] =>
            {
                self.announce_endpoints(gateway_id)
            }
            Event::EndpointUpdate(..) => {}
            Event::WorkersRestart => {
                for gateway_id in 0..self.gateways.len() {
                    let at = self.now + Time::from(self.random.below(3_000));
                    self.schedule(at, Event::EndpointUpdate(gateway_id, self.incarnations[gateway_id]));
                }
            }
            Event::GatewaysRestart => self.restart_gateways(),
            Event::Sweep => {
                self.schedule(self.now + 400, Event::Sweep);
                for gateway_id in 0..self.gateways.len() {
                    if !self.gateways[gateway_id].requests.is_empty() {
                        self.gateways[gateway_id].advance_clock(self.now);
                        self.gateways[gateway_id].timer_fired(0);
                        self.carry_out(gateway_id);
                    }
                }
            }
        }
    }
}

/// Returns by how many attempts the worst window of a cold worker exceeds its allowance, and how many
/// attempts cold workers received.
fn ramp(
    gateways: usize,
    uneven: bool,
    (load, run): (f64, Time),
    seed: u64,
    planted: PlantedFault,
) -> (f64, usize) {
    let count = gateways.to_string();
    let cold = if planted == PlantedFault::Warm { "0" } else { "10000" };
    let settings =
        settings(&[("siblings", count.as_str()), ("rules.cold-ms", cold), ("extra.if-cold", "load")]);
    let mut true_settings = settings.clone();
    true_settings.insert("rules.cold-ms".to_string(), "10000".to_string());
    let gateway =
        |i: usize| Scheduler::new(Calls::default(), NOW, seed * 10_007 + i as u64, settings.clone()).unwrap();
    let mut fleet = Fleet {
        now: NOW,
        random: RandomGenerator::new(seed),
        gateways: (0..gateways).map(gateway).collect(),
        incarnations: vec![0; gateways],
        slow_start_at: NOW + WARM_TRAFFIC,
        queue: BinaryHeap::new(),
        sequence: 0,
        core_free_at: vec![vec![0; CORES]; 2 * WORKERS],
        attempts: vec![Vec::new(); 2 * WORKERS],
        planted,
        settings,
        run,
    };
    (0..gateways).for_each(|gateway_id| fleet.announce_endpoints(gateway_id));
    // Requests per second, as a fraction of the capacity of all workers when warm.
    let rate = load * (WORKERS * CORES) as f64 * SECOND as f64 / run as f64;
    let mut sum = 0.0;
    let weight = |i: usize| if uneven { 1.0 / (1.0 + i as f64).powf(0.8) } else { 1.0 };
    let weights: Vec<f64> = (0..gateways)
        .map(|i| {
            sum += weight(i);
            sum
        })
        .collect();
    let started = fleet.slow_start_at;
    for (at, event) in [
        (NOW + 1, Event::Arrival),
        (NOW + 7, Event::Sweep),
        (started, Event::WorkersRestart),
        (started + 12_000, Event::GatewaysRestart),
    ] {
        fleet.schedule(at, event);
    }
    while let Some(Reverse((at, _, event))) = fleet.queue.pop() {
        if at > started + OBSERVATION {
            break;
        }
        fleet.now = at;
        fleet.handle_event(event, SECOND as f64 / rate, &weights);
    }
    fleet.settings = true_settings;
    fleet.worst_window()
}

// Each pair contains the load of the warm fleet and a request's work. With work of half a second, a cold
// worker may get four requests at first.
#[test_matrix([2, 20, 30, 300, 1_000], [false, true], [(0.6, 1_000), (1.1, 1_000), (0.9, 5_000)])]
fn all_gateways_together_do_not_overload_cold_workers(gateways: usize, uneven: bool, load: (f64, Time)) {
    for seed in 1..=2 {
        let (worst, received) = ramp(gateways, uneven, load, seed, PlantedFault::Nothing);
        println!("{gateways} {uneven} {load:?} {seed}: {worst:.1} {received}");
        assert!(worst <= 0.0, "seed {seed}: {worst} over");
        assert!(received > 0, "seed {seed}: no cold worker received an attempt");
    }
}

#[test_case(20, PlantedFault::Warm)]
#[test_case(30, PlantedFault::Warm)]
#[test_case(300, PlantedFault::Warm)]
#[test_case(1_000, PlantedFault::Warm)]
#[test_case(300, PlantedFault::AllRoundUp)]
#[test_case(1_000, PlantedFault::AllRoundUp)]
fn a_planted_slow_start_fault_is_detected(gateways: usize, planted: PlantedFault) {
    let found = (1..=3).filter(|seed| ramp(gateways, true, (1.1, 1_000), *seed, planted).0 > 0.0).count();
    assert!(found > 0);
}
