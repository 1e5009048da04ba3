//! The ramp of cold workers over a whole fleet: the module as shipped at each of many gateways, before workers of which half start
//! anew at one moment. In no window may all gateways together send one of them more than what it can take and the users' chance.
use super::help::*;
use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use test_case::{test_case, test_matrix};

const WORKERS: usize = 12;
const CORES: usize = 4;
/// Warm traffic before the start, and how long the ramp is looked at.
const WARM: Time = 25_000;
const LOOKED: Time = 45_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Planted {
    Nothing,
    /// Every gateway rounds its share up.
    AllRoundUp,
    /// Cold workers are taken for warm.
    Warm,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive,
    End(usize, u32, usize, usize),
    Notified(usize, u32),
    Starts,
    Restarts,
    Sweep,
}

struct Fleet {
    settings: Settings,
    /// A request's work at a warm worker; all are alike, as the rule counts requests of mean work.
    run: Time,
    now: Time,
    chance: RandomGenerator,
    gateways: Vec<TestScheduler>,
    lives: Vec<u32>,
    started: Time,
    due: BinaryHeap<Reverse<(Time, u64, What)>>,
    order: u64,
    /// By worker: when each core is free again, and the attempts that came.
    cores: Vec<Vec<Time>>,
    came: Vec<Vec<Time>>,
    planted: Planted,
}

impl Fleet {
    fn plan(&mut self, at: Time, what: What) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, what)));
    }

    /// How warm a worker is, as the settings tell it.
    fn part(&self, wk: usize, at: Time) -> f64 {
        if wk < WORKERS || at < self.started {
            return 1.0;
        }
        let (cold, from) = (self.settings.duration("rules.cold-ms"), self.settings.number("rules.cold-from"));
        (from + (1.0 - from) * (at - self.started) as f64 / cold as f64).min(1.0)
    }

    /// Half of the workers were there all the time, the others have one in their place that is new.
    fn list(&self) -> Vec<(usize, Endpoint)> {
        let anew = |wk: usize| {
            if self.now >= self.started && wk % 2 == 1 {
                let (_, l) = endpoint_entry(wk + WORKERS);
                return (wk + WORKERS, Endpoint { started_at: self.started, rating: CORES as f64, ..l });
            }
            (wk, Endpoint { rating: CORES as f64, ..endpoint_entry(wk).1 })
        };
        (0..WORKERS).map(anew).collect()
    }

    fn tell(&mut self, gw: usize) {
        let list = self.list();
        let gateway = &mut self.gateways[gw];
        gateway.advance_clock(self.now);
        gateway.update_endpoints(&list, true);
        if self.planted == Planted::AllRoundUp {
            gateway.workers.iter_mut().for_each(|w| w.slow_start_rounding = 0.0);
        }
        self.carry_out(gw);
    }

    /// What the gateway called for: attempts come to their workers at once and end when a core has done them.
    fn carry_out(&mut self, gw: usize) {
        for call in std::mem::take(&mut self.gateways[gw].host.0) {
            let Call::Attempt(evt, wk) = call else { continue };
            let launch = self.gateways[gw].requests[evt].attempt_count - 1;
            let took = (self.run as f64 / self.part(wk, self.now)) as Time;
            self.came[wk].push(self.now);
            let core = self.cores[wk].iter_mut().min().expect("it has cores");
            *core = self.now.max(*core) + took;
            let (end, life) = (*core, self.lives[gw]);
            self.plan(end, What::End(gw, life, evt, launch));
        }
    }

    fn happen(&mut self, what: What, gap: f64, weights: &[f64]) {
        match what {
            What::Arrive => {
                let wait = -gap * (f64::from(self.chance.below(9_999) + 1) / 10_000.0).ln();
                self.plan(self.now + wait as Time + 1, What::Arrive);
                let drawn = f64::from(self.chance.below(1 << 20)) / f64::from(1 << 20)
                    * weights.last().expect("there are some");
                let gw = weights.partition_point(|w| *w <= drawn);
                let gateway = &mut self.gateways[gw];
                gateway.advance_clock(self.now);
                let function = self.chance.below(4) as usize;
                let hash = 77 + function as u64;
                gateway.request_arrived(RequestInfo {
                    function,
                    function_hash: hash,
                    lanes: 1000,
                    deadline: self.now + 20_000,
                    ..request_info(0)
                });
                self.carry_out(gw);
            }
            What::End(gw, life, evt, launch) if life == self.lives[gw] => {
                let gateway = &mut self.gateways[gw];
                let Some(e) = gateway.requests.get(evt).filter(|e| launch < e.attempt_count) else { return };
                let took = self.now - e.attempts[launch].sent_at;
                gateway.advance_clock(self.now);
                gateway.attempt_ended(evt, launch, (Outcome::Ok, took), true, 1);
                self.carry_out(gw);
            }
            What::End(..) => {}
            What::Notified(gw, life) if life == self.lives[gw] => self.tell(gw),
            What::Notified(..) => {}
            What::Starts => {
                for gw in 0..self.gateways.len() {
                    let at = self.now + Time::from(self.chance.below(3_000));
                    self.plan(at, What::Notified(gw, self.lives[gw]));
                }
            }
            What::Restarts => {
                for gw in (0..self.gateways.len()).step_by(3) {
                    self.lives[gw] += 1;
                    let seed = u64::from(self.chance.below(1 << 30));
                    self.gateways[gw] =
                        Scheduler::new(Calls::default(), self.now, seed, self.settings.clone()).unwrap();
                    self.tell(gw);
                }
            }
            What::Sweep => {
                self.plan(self.now + 400, What::Sweep);
                for gw in 0..self.gateways.len() {
                    if !self.gateways[gw].requests.is_empty() {
                        self.gateways[gw].advance_clock(self.now);
                        self.gateways[gw].timer_fired(0);
                        self.carry_out(gw);
                    }
                }
            }
        }
    }
}

/// By how many attempts the worst window of a cold worker is over what it may get, and how many attempts cold ones got.
fn ramp(
    gateways: usize,
    uneven: bool,
    (load, run): (f64, Time),
    seed: u64,
    planted: Planted,
) -> (f64, usize) {
    let count = gateways.to_string();
    let cold = if planted == Planted::Warm { "0" } else { "10000" };
    let settings =
        settings(&[("siblings", count.as_str()), ("rules.cold-ms", cold), ("extra.if-cold", "load")]);
    let mut told = settings.clone();
    told.insert("rules.cold-ms".to_string(), "10000".to_string());
    let gateway =
        |i: usize| Scheduler::new(Calls::default(), NOW, seed * 10_007 + i as u64, settings.clone()).unwrap();
    let mut fleet = Fleet {
        now: NOW,
        chance: RandomGenerator::new(seed),
        gateways: (0..gateways).map(gateway).collect(),
        lives: vec![0; gateways],
        started: NOW + WARM,
        due: BinaryHeap::new(),
        order: 0,
        cores: vec![vec![0; CORES]; 2 * WORKERS],
        came: vec![Vec::new(); 2 * WORKERS],
        planted,
        settings,
        run,
    };
    (0..gateways).for_each(|gw| fleet.tell(gw));
    // Requests a second: so much of what all workers do when warm.
    let rate = load * (WORKERS * CORES) as f64 * SECOND as f64 / run as f64;
    let mut sum = 0.0;
    let weight = |i: usize| if uneven { 1.0 / (1.0 + i as f64).powf(0.8) } else { 1.0 };
    let weights: Vec<f64> = (0..gateways)
        .map(|i| {
            sum += weight(i);
            sum
        })
        .collect();
    let started = fleet.started;
    for (at, what) in [
        (NOW + 1, What::Arrive),
        (NOW + 7, What::Sweep),
        (started, What::Starts),
        (started + 12_000, What::Restarts),
    ] {
        fleet.plan(at, what);
    }
    while let Some(Reverse((at, _, what))) = fleet.due.pop() {
        if at > started + LOOKED {
            break;
        }
        fleet.now = at;
        fleet.happen(what, SECOND as f64 / rate, &weights);
    }
    fleet.settings = told;
    let window = fleet.settings.duration("rules.overload-for-ms");
    let (mut worst, mut got) = (f64::MIN, 0);
    for (wk, came) in fleet.came.iter().enumerate().skip(WORKERS) {
        got += came.len();
        for (i, at) in came.iter().enumerate() {
            let sent = came[..=i].iter().filter(|t| **t + window > *at).count() as f64;
            let can = CORES as f64 * window as f64 / run as f64 * fleet.part(wk, *at);
            let may = fleet.settings.number("rules.tip-multiple") * can;
            worst = worst.max(sent - (may + 2.0 * may.sqrt() + 2.0));
        }
    }
    (worst, got)
}

// Load of the warm fleet, and a request's work: with half a second of it a cold worker may get four at first.
#[test_matrix([2, 20, 30, 300, 1_000], [false, true], [(0.6, 1_000), (1.1, 1_000), (0.9, 5_000)])]
fn cold_workers_get_what_they_can_take_from_all_together(gateways: usize, uneven: bool, load: (f64, Time)) {
    for seed in 1..=2 {
        let (worst, got) = ramp(gateways, uneven, load, seed, Planted::Nothing);
        println!("{gateways} {uneven} {load:?} {seed}: {worst:.1} {got}");
        assert!(worst <= 0.0, "seed {seed}: {worst} over");
        assert!(got > 0, "seed {seed}: none was sent any");
    }
}

#[test_case(20, Planted::Warm)]
#[test_case(30, Planted::Warm)]
#[test_case(300, Planted::Warm)]
#[test_case(1_000, Planted::Warm)]
#[test_case(300, Planted::AllRoundUp)]
#[test_case(1_000, Planted::AllRoundUp)]
fn a_planted_fault_of_the_ramp_is_found(gateways: usize, planted: Planted) {
    let found = (1..=3).filter(|seed| ramp(gateways, true, (1.1, 1_000), *seed, planted).0 > 0.0).count();
    assert!(found > 0);
}
