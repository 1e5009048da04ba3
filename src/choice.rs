//! All decisions of the router, one instance for each gateway. How it is called: `new` with the host, the
//! clock, a seed and the settings; then `clock` before each thing that happens, and one method for each of
//! those: `list`, `list_failed`, `arrive` (after `next_place` named the event's place), `begun`, `ended`,
//! `lapsed`, `timer`, `reported`, `probed`, `held`, `told`. It acts by calling the `SchedulerActions` of `src/host.rs`
//! and knows no wire. Workers, functions and events come as small indices. The mechanism is that of
//! docs/design.md; what departs from it is marked "Departure" here and explained there.
use crate::interface::{Endpoint, EndpointState, Outcome, RequestInfo, SchedulerActions, Time};
use crate::random::{mix_hashes, RandomGenerator};
use crate::settings::{validate, Settings, SettingsReader};
use crate::state::*;
use slab::Slab;
use std::collections::VecDeque;

const MS: Time = 10;
const SECOND: Time = 10_000;

/// How often held events are looked at again and launches checked, at the most: coarse enough to cost little
/// CPU. A sixteenth of the shortest target time where that is less.
const MAX_SWEEP_INTERVAL: Time = 10 * MS;

/// A step of the counts that slide over twenty of them: the page's two seconds for R.
pub const COUNTER_STEP: Time = SECOND / 10;

/// More launches than this an event never gets, whatever the settings allow.
pub const MAX_ATTEMPTS: usize = 8;

pub struct Scheduler<H> {
    pub host: H,
    now: Time,
    started_at: Time,
    random: RandomGenerator,
    settings: Settings,
    classes: Vec<RequestClass>,
    tenants: Vec<Tenant>,
    workers: Vec<Worker>,
    functions: Vec<Function>,
    requests: Slab<Request>,
    waiting: VecDeque<usize>,
    load_requests: VecDeque<Time>,
    recent_arrivals: VecDeque<Time>,
    /// The sweep up to which counts were checked.
    last_sweep: Time,
    arrival_count: SlidingCounter,
    saturation_count: SlidingCounter,
    miss_ratio: f64,
    report_distrust: f64,
    /// Standard cores that a unit of rating stands for, as busy workers' answers show.
    capacity_per_rating: f64,
    config: SchedulerConfig,
}

impl<H: SchedulerActions> Scheduler<H> {
    pub fn new(host: H, now: Time, seed: u64, settings: Settings) -> Result<Scheduler<H>, String> {
        validate(&settings)?;
        let types = (0..settings.number("classes.count") as usize).map(|i| settings.request_class(i));
        // The page's start: a tenth of the target time.
        let start = |t: RequestClass| RequestClass {
            observed_objective: t.latency_objective as f64,
            warm_latency: t.latency_objective as f64 / 10.0,
            ..t
        };
        let types: Vec<RequestClass> = types.map(start).collect();
        let tenants = (0..settings.number("tenants.count") as usize).map(|i| settings.tenant(i)).collect();
        let (mut told, minute) = (settings.scheduler_config(), 60 * SECOND);
        told.large_fleet = told.gateway_count >= 8.0; // well between the fleets seen, of 3 and of 20 and more
        told.load_checks &= told.large_fleet && settings.number("deductions.probe") < LOAD_CHECK_GAIN / 2.0;
        // Siblings renew copies too: with S gateways a silence of S keep-alives here is one of a keep-alive
        // at the copy; a minute at most, as popularity moves on. So it is where none is told: until a miss.
        let shared =
            told.keep_alive.saturating_mul(told.gateway_count as Time).min(minute).max(told.keep_alive);
        // Nothing is presumed where the miss would be the only launch, but to show that a function exists.
        told.presume_loaded = told.large_fleet && told.max_attempts > 1;
        told.keep_alive = if told.presume_loaded { shared } else { told.keep_alive };
        told.keep_alive = if told.keep_alive == 0 { minute } else { told.keep_alive };
        let shortest = types.iter().map(|t| t.latency_objective).min().unwrap_or(SECOND);
        told.sweep_interval = (shortest / 16).max(told.tick).clamp(MS, MAX_SWEEP_INTERVAL);
        // Where an eighth of it, as other waits, is over before a sweep no event waits for a probe.
        told.load_check_timeout =
            if shortest / 8 < told.sweep_interval { 0 } else { LOAD_CHECK_TIMEOUT.min(shortest / 8) };
        // The safe way where they are not told: what a worker can do by now, over any second.
        told.overload_tolerance = if told.overload_tolerance > 0.0 { told.overload_tolerance } else { 1.0 };
        told.overload_window = if told.overload_window > 0 { told.overload_window } else { SECOND };
        let mut choice = Scheduler {
            host,
            now,
            started_at: now,
            random: RandomGenerator::new(seed),
            settings,
            config: told,
            classes: types,
            tenants,
            workers: Vec::new(),
            functions: Vec::new(),
            requests: Slab::new(),
            waiting: VecDeque::new(),
            load_requests: VecDeque::new(),
            recent_arrivals: VecDeque::new(),
            last_sweep: now / MAX_SWEEP_INTERVAL,
            arrival_count: SlidingCounter::default(),
            saturation_count: SlidingCounter::default(),
            miss_ratio: 0.0,
            report_distrust: 0.0,
            capacity_per_rating: 1.0,
        };
        if choice.config.endpoints_on_request {
            choice.host.watch_endpoints(true);
        }
        choice.host.set_timer(choice.config.sweep_interval, 0);
        Ok(choice)
    }

    pub fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    pub fn update_endpoints(&mut self, entries: &[(usize, Endpoint)], whole: bool) {
        for wk in 0..self.workers.len() {
            if whole && !entries.iter().any(|e| e.0 == wk) {
                self.mark_unavailable(wk, EndpointState::Removed);
            }
        }
        for &(wk, listed) in entries {
            self.workers.resize_with(self.workers.len().max(wk + 1), Worker::default);
            let known = self.workers[wk].endpoint;
            if listed.state != EndpointState::Active {
                self.mark_unavailable(wk, listed.state);
            } else if known.state != EndpointState::Active || known.started_at < listed.started_at {
                // New, restarted or back from the dead: nothing that was learned of it holds; it is empty.
                let in_flight = self.workers[wk].in_flight;
                let luck = f64::from(self.random.below(1000) + 1) / 1000.0;
                self.workers[wk] = Worker {
                    endpoint: listed,
                    in_flight,
                    slow_start_rounding: luck,
                    in_flight_limit: INITIAL_IN_FLIGHT_LIMIT,
                    ..Worker::default()
                };
                // One that was here before comes back empty; of a new one nothing is known.
                let copies =
                    if known.name_hash != 0 { InstanceState::Absent } else { InstanceState::Unknown };
                (0..self.functions.len()).for_each(|f| self.add_placement(f, wk, copies));
            }
        }
    }

    /// A worker that drains or is gone gets nothing more from the moment that this gateway hears of it.
    fn mark_unavailable(&mut self, wk: usize, standing: EndpointState) {
        self.workers[wk].endpoint.state = standing;
        for s in self.functions.iter_mut().flat_map(|f| &mut f.placements).filter(|s| s.worker == wk) {
            s.instances = InstanceState::Unknown;
        }
    }

    /// Whether nothing is known or pending of this worker any more; then its index may name another. Guards
    /// against machines that are replaced by new ones again and again.
    pub fn forget_worker(&mut self, wk: usize) -> bool {
        let Some(w) = self.workers.get(wk) else { return true };
        let seat = |f: &Function| f.placements.iter().any(|s| s.worker == wk);
        let used =
            |e: &Request| e.load_checks.contains(&wk) || e.sent_attempts().iter().any(|l| l.worker == wk);
        let gone = w.endpoint.state == EndpointState::Removed && w.in_flight == 0;
        let free = gone && !self.functions.iter().any(seat) && !self.requests.iter().any(|e| used(e.1));
        if free {
            self.workers[wk] = Worker::default();
        }
        free
    }

    /// A subscription may have broken: asking anew is always allowed, at the next timer of its own.
    pub fn endpoint_update_failed(&mut self) {
        // Well within the time after which what was listed counts as told.
        let wait = self.jitter(SECOND.min(self.config.endpoint_max_age / 2).max(MS));
        self.host.set_timer(wait, 1);
    }

    /// Three quarters to five quarters of a span. Guards against whatever strikes many functions or gateways
    /// at one moment: what they try again must not meet again, and again, a span later.
    fn jitter(&mut self, span: Time) -> Time {
        span * 3 / 4 + Time::from(self.random.below((span / 2) as u32 + 1))
    }

    /// The worker's place in the function's shared order: rendezvous hashing of the two id texts, so every
    /// gateway finds the same order whatever it learned first.
    fn add_placement(&mut self, f: usize, wk: usize, copies: InstanceState) {
        let f = &mut self.functions[f];
        if !f.live {
            return;
        }
        if let Some(s) = f.placements.iter_mut().find(|s| s.worker == wk) {
            // It started anew: empty.
            let Placement { in_flight: flight, pending_loads: pending, pending_queries: asks, .. } = *s;
            *s = Placement {
                worker: wk,
                in_flight: flight,
                pending_loads: pending,
                pending_queries: asks,
                instances: InstanceState::Absent,
                ..Placement::default()
            };
            return;
        }
        let (hash, workers) = (f.hash, &self.workers);
        let weight = |h: u64| (mix_hashes(h, hash), h);
        let own = weight(workers[wk].endpoint.name_hash);
        let at = f.placements.partition_point(|s| weight(workers[s.worker].endpoint.name_hash) > own);
        f.placements.insert(at, Placement { worker: wk, instances: copies, ..Placement::default() });
        let over = f.placements.len() > MAX_PLACEMENTS.max(2 * f.desired_instances);
        f.placements.pop_if(|s| over && s.is_idle());
    }

    /// The workers that come first in the order have their seats.
    fn add_missing_placements(&mut self, f: usize) {
        for wk in 0..self.workers.len() {
            if self.workers[wk].endpoint.state != EndpointState::Removed && self.placement_on(f, wk).is_none()
            {
                self.add_placement(f, wk, InstanceState::Unknown);
            }
        }
    }

    fn placement_on(&self, f: usize, wk: usize) -> Option<usize> {
        self.functions.get(f)?.placements.iter().position(|s| s.worker == wk)
    }

    pub fn next_request_slot(&self) -> usize {
        self.requests.vacant_key()
    }

    pub fn request_arrived(&mut self, arrival: RequestInfo) {
        let (now, f) = (self.now, arrival.function);
        let e = self.requests.insert(Request { info: arrival, arrived_at: now, ..Request::default() });
        // Here too: it may be hours to the next order.
        self.expire_load_history(self.config.ration.0);
        self.arrival_count.add(now, 1);
        self.register_function(&arrival);
        self.recent_arrivals.extend(self.functions[f].confirmed.then_some(now));
        let function = &mut self.functions[f];
        function.last_request_at = now;
        function.open_requests += 1;
        function.rate.add(now, 1);
        self.scale(f, false);
        // A try that ends before the next sweep could answer it, or before half its usual run is over, is
        // answered now: its launch would be wasted work. Guards against storms of late repeats, whatever
        // makes clients repeat; it could turn away an event that is far lighter than it looks.
        let soonest = usual(&self.classes[arrival.class], &arrival) as Time / 2;
        if now + soonest.max(self.config.sweep_interval + 2 * self.config.tick) >= arrival.deadline {
            return self.give_up(e, 0);
        }
        self.dispatch(e);
    }

    fn register_function(&mut self, arrival: &RequestInfo) {
        let f = arrival.function;
        self.functions.resize_with(self.functions.len().max(f + 1), Function::default);
        if self.functions[f].live {
            return;
        }
        // Starting the rotation by chance keeps gateways from marching in step.
        let (hash, turn) = (arrival.function_hash, self.random.below(64) as usize);
        let (typ, lanes) = (arrival.class, arrival.lanes.max(1));
        self.functions[f] =
            Function { hash, live: true, class: typ, lanes, rotation: turn, ..Function::default() };
        self.add_missing_placements(f);
        self.query_instances(f);
    }

    /// Departure: a function unknown to this gateway may stand anywhere (after a restart of the gateway, at
    /// its start, or by orders of siblings). Asking costs nothing of the ration, so the first twelve of its
    /// order are asked once (tried: all, 12, 8), and copies found are used until the first n stand. Among
    /// many gateways copies are presumed instead: each sees a function rarely, and asks cost more than
    /// events.
    fn query_instances(&mut self, f: usize) {
        if !self.config.may_load || self.config.large_fleet {
            return;
        }
        for s in 0..self.functions[f].placements.len().min(12) {
            let wk = self.functions[f].placements[s].worker;
            if self.is_available(wk) {
                self.functions[f].placements[s].pending_queries += 1;
                self.host.send_load_request(f, wk, 0);
            }
        }
    }

    /// The page's bounds of one copy, in events a second, and the run time that they go by: (low, up, run).
    fn instance_rates(&self, f: usize) -> (f64, f64, f64) {
        let (function, second) = (&self.functions[f], SECOND as f64);
        let typ = &self.classes[function.class];
        let target = (typ.latency_objective as f64 + typ.objective_per_cost * typ.mean_cost)
            .min(typ.client_timeout)
            / second;
        let run = if function.warm_latency > 0.0 { function.warm_latency / second } else { target / 10.0 };
        // A run is a tenth of a millisecond at the least, the clock's step, and so may the target time be.
        let (run, lanes) = (run.max(1e-4).min(target / 2.0), f64::from(function.lanes));
        let (low, up) = (1.0 / (target - run), 1.0 / run);
        // Departure: where the whole numbers cross (runs of about a second and more) they stay unrounded. The
        // floor would be 0 there, and one copy would count for any rate.
        let (low, up) = if up.floor() < low.ceil() { (low, up) } else { (low.ceil(), up.floor()) };
        (low * lanes, up * lanes, run)
    }

    /// The page's count of copies: above Rmax grow for the excess, inside the alpha band stay, below it give
    /// up one at a check, never the last while events come.
    fn scale(&mut self, f: usize, check: bool) {
        const ALPHA: f64 = 0.8; // the page's
        let (low, up, run) = self.instance_rates(f);
        let (now, started, keep, many) =
            (self.now, self.started_at, self.config.keep_alive, self.config.large_fleet);
        let heads = self.usable_placements(f).take(self.functions[f].desired_instances);
        let crowd: f64 = heads.map(|s| self.functions[f].placements[s].concurrency).sum();
        let function = &mut self.functions[f];
        let seen = per_second(function.rate.count_and_span(now, started));
        // Departure: where a run is longer than the span of R, R is that of the events in hand, by Little's
        // law; one event in two seconds would buy a copy for every two seconds of its run.
        let long = run * SECOND as f64 > (20 * COUNTER_STEP) as f64;
        let mut rate = if long { f64::from(function.open_requests) / run } else { seen };
        if many && function.warm_latency > 0.0 {
            // Departure: R of all gateways, by Little's law from the company that own events met at the first
            // n; one less, which may be chance. Counted double while few copies are missed (tried: 1, 1.5, 2,
            // 3): events wait for lanes long before all are taken, and there is memory for more.
            let spare = if self.miss_ratio < 0.1 { 2.0 } else { 1.0 };
            rate = rate.max((spare * crowd - 1.0) * SECOND as f64 / function.warm_latency);
        }
        // With few own events a check counts only where an answer has come since the last release.
        let check = check
            && (!many
                || function.answered_since_release && now > function.saturated_at + keep
                || now > function.last_request_at + keep);
        let n = function.desired_instances as f64;
        if rate > n * up {
            let (most, seats) = (self.max_instances(f), self.functions[f].placements.len());
            self.functions[f].desired_instances = ((rate / up).ceil() as usize).min(most);
            if seats >= MAX_PLACEMENTS && 2 * self.functions[f].desired_instances > seats {
                self.add_missing_placements(f); // it needs more of the fleet than a function's seats
            }
        } else if check && rate < ALPHA * n * low + (1.0 - ALPHA) * n * up && function.desired_instances > 1 {
            (function.desired_instances, function.answered_since_release) =
                (function.desired_instances - 1, false);
        } else if check && function.desired_instances == 1 && now > function.last_request_at + keep {
            function.desired_instances = 0;
        }
        self.request_loads(f);
    }

    /// On hosts that add no copies by themselves a worker may have to hold several (16 at most).
    fn max_instances(&self, f: usize) -> usize {
        self.usable_placements(f).count().max(1) * 4
    }

    /// Seats on workers that may be used, in the shared order.
    fn usable_placements(&self, f: usize) -> impl Iterator<Item = usize> + '_ {
        let seats = &self.functions[f].placements;
        (0..seats.len()).filter(move |s| self.is_usable(f, &seats[*s]))
    }

    /// Departure: among many gateways a worker without room for a copy is passed over for a while, and the
    /// next of the order takes its place; each event would miss there once more. So is a cold one in which
    /// this gateway's share is used up: after a release most are, and no event could go to the first n.
    fn is_usable(&self, f: usize, seat: &Placement) -> bool {
        // Where nobody may order a load, one that lacks the function is passed over too.
        let full = || seat.blocked_until > self.now && seat.instances == InstanceState::Absent;
        self.is_available(seat.worker)
            && !((self.config.large_fleet || !self.config.may_load) && full())
            && (!self.config.large_fleet
                || self.has_slow_start_capacity(seat.worker, self.functions[f].class))
    }

    fn is_available(&self, wk: usize) -> bool {
        self.workers[wk].endpoint.state == EndpointState::Active && self.workers[wk].ejected_until <= self.now
    }

    /// A copy stands as far as is known: a sign of it is young enough.
    fn is_loaded(&self, seat: &Placement) -> bool {
        seat.instances == InstanceState::Loaded
            && (seat.in_flight > 0 || self.now < seat.renewed_at + self.config.keep_alive)
    }

    /// Hold orders: the first n are to have their copies, and copies in use are renewed.
    fn request_loads(&mut self, f: usize) {
        let n = self.functions[f].desired_instances;
        let (heads, half) = (self.usable_placements(f).take(n).count(), self.config.keep_alive / 2);
        let mut place = 0;
        for s in 0..self.functions[f].placements.len() {
            let seat = self.functions[f].placements[s];
            if place == heads || !self.is_usable(f, &seat) {
                continue;
            }
            let copies = (n - place).div_ceil(heads);
            place += 1;
            // Half the keep-alive: one renewal lost still leaves time for another. Use renews by itself.
            let aged =
                self.now > seat.renewed_at + half && self.now < self.functions[f].last_request_at + half;
            let unknown =
                seat.instances == InstanceState::Unknown && (place > 1 || !self.config.presume_loaded);
            let missing = unknown || seat.instances == InstanceState::Absent;
            if seat.pending_loads == 0 && (missing || aged && seat.instances == InstanceState::Loaded) {
                self.load_instances(f, s, copies as u32, missing);
            }
        }
    }

    /// A worker has shown that it knows this function: its events count for the ration from now on, and those
    /// in hand as of when they came. Guards against calls of nothing by the hundred, withdrawn or turned away
    /// at once: the users count none, and a few of them would buy an order.
    fn confirm_function(&mut self, f: usize, outcome: Outcome) {
        let shows = matches!(outcome, Outcome::Ok | Outcome::Miss);
        if !shows || std::mem::replace(&mut self.functions[f].confirmed, true) {
            return;
        }
        for (_, evt) in self.requests.iter().filter(|e| e.1.info.function == f) {
            let at = self.recent_arrivals.partition_point(|t| *t <= evt.arrived_at);
            self.recent_arrivals.insert(at, evt.arrived_at);
        }
    }

    /// Orders as old as the window still count, events must be younger: the safe way for both, by a sweep, as
    /// orders take different times to their workers.
    fn expire_load_history(&mut self, window: Time) {
        self.load_requests
            .drain(..self.load_requests.partition_point(|t| t + window + MAX_SWEEP_INTERVAL < self.now));
        self.recent_arrivals
            .drain(..self.recent_arrivals.partition_point(|t| t + window <= self.now + MAX_SWEEP_INTERVAL));
    }

    /// Every order to load passes here: drains, the ration, and one order at a time for a seat.
    fn load_instances(&mut self, f: usize, s: usize, copies: u32, needed: bool) -> bool {
        let (now, seat) = (self.now, self.functions[f].placements[s]);
        // Among many gateways the first launch shows whether there is such a function; no order goes before.
        let shown = self.functions[f].confirmed || !self.config.presume_loaded;
        let on =
            self.workers[seat.worker].endpoint.state == EndpointState::Active && seat.blocked_until <= now;
        if !self.config.may_load || !on || !shown || seat.pending_loads > 0 {
            return false;
        }
        let (window, few, share) = self.config.ration;
        if window > 0 {
            self.expire_load_history(window);
            // Orders of a life before a restart may still count, so the free ones come only after a window.
            let now_few = now > self.started_at + window;
            // Renewals leave half the ration to copies that are missing.
            let (part, all) = (if needed { 1.0 } else { 0.5 }, self.load_requests.len() + 1);
            let young =
                |t| (self.recent_arrivals.len() - self.recent_arrivals.partition_point(|a| *a < t)) as f64;
            let over = |i, t, free| (all - i) as f64 > (free + share * young(t)) * part;
            // It holds from each order on: one that comes whole late (a silent worker heals), or in a next
            // life, finds events gone that paid for those before, and what is left must do.
            let mut cuts = self.load_requests.iter().enumerate();
            if over(0, 0, if now_few { few } else { 0.0 }) || cuts.any(|(i, at)| over(i, *at, few)) {
                return false;
            }
            self.load_requests.push_back(now);
        }
        let seat = &mut self.functions[f].placements[s];
        seat.pending_loads += 1;
        if seat.instances != InstanceState::Loaded {
            seat.instances = InstanceState::Loading;
        }
        seat.renewed_at = now;
        self.host.send_load_request(f, seat.worker, copies.clamp(1, 16));
        true
    }

    /// Finds the event a worker, or lets it wait here for a copy, or gives it up at once.
    fn dispatch(&mut self, e: usize) {
        let (arrival, came, out) =
            (self.requests[e].info, self.requests[e].arrived_at, self.requests[e].outstanding());
        let (f, now) = (arrival.function, self.now);
        let worth = self.priority_weight(&arrival);
        if let Some((first, second, turn)) = self.choose_placement(f, e, worth) {
            if let Some(s) = self.check_load(f, e, first, second) {
                self.functions[f].rotation = turn;
                return self.send_attempt(e, s);
            }
        } else if out > 0 {
            return;
        } else {
            let (function, typ) = (&self.functions[f], &self.classes[arrival.class]);
            let crowded = self
                .usable_placements(f)
                .take(function.desired_instances.max(1))
                .any(|s| self.is_loaded(&function.placements[s]));
            // A load that comes after the client gave up is no hope: answered at once, with a time by which
            // it is there. One at a worker that left is none; one overdue is, up to three times the usual.
            let load = if function.load_time > 0.0 { function.load_time as Time } else { arrival.load_hint };
            let out = function
                .placements
                .iter()
                .filter(|s| s.instances == InstanceState::Loading && self.is_available(s.worker));
            let due = out.map(|s| s.renewed_at + load).filter(|d| now <= d + 2 * load || load == 0).min();
            let ends = |due: &Time| now.max(*due) + usual(typ, &arrival) as Time;
            if let Some(due) = due.filter(|d| !crowded && ends(d) > arrival.deadline) {
                return self.give_up(e, due.saturating_sub(now));
            }
            // With copies that have no room it waits an eighth of the target time at most, in overload half
            // of that, and is given up (tried from 1/2 to 1/16: an early deferral can still be answered
            // elsewhere). The same without any copy and any order out: it would wait for its deadline.
            let part = if self.is_overloaded() { 16 } else { 8 };
            let longest = wanted(typ, &arrival) as Time / part;
            if now > came + longest && (crowded || due.is_none()) {
                self.saturation_count.add(now, u32::from(crowded));
                return self.give_up(e, 0);
            }
        }
        if !std::mem::replace(&mut self.requests[e].waiting, true) {
            self.waiting.push_back(e);
        }
    }

    /// Departure: among many gateways own events in flight do not show how full a worker is, so the next two
    /// of the rotation are probed, and it moves on where the next is clearly fuller. An answer holds for a
    /// fifth of a second (reports are no newer); one that takes over 20 ms counts as full: silent and jammed
    /// workers cost an event no more than that.
    fn check_load(&mut self, f: usize, e: usize, first: usize, second: Option<usize>) -> Option<usize> {
        if !self.config.load_checks || self.report_distrust > MAX_REPORT_DISTRUST {
            self.report_distrust *= 0.99; // halved in seventy events, then reports are tried again
            return Some(first);
        }
        let (now, typ, mut wait) = (self.now, self.functions[f].class, false);
        let looks = [first, second.unwrap_or(first)].map(|s| self.functions[f].placements[s].worker);
        for wk in looks {
            let w = &mut self.workers[wk];
            if now >= w.reported_at + REPORT_LIFETIME {
                if w.load_check_sent_at <= w.reported_at {
                    w.load_check_sent_at = now;
                    self.host.send_health_check(wk);
                }
                wait |= now < w.load_check_sent_at + self.config.load_check_timeout;
            }
        }
        if wait {
            self.requests[e].load_checks = looks;
            return None;
        }
        let [load, other] = looks.map(|wk| self.expected_load(typ, wk));
        let moves = load > 1.5 * other + 0.1;
        let (on, full) =
            if moves { (second.unwrap_or(first), other > FULL_LOAD) } else { (first, load > FULL_LOAD) };
        // Departure: the bounds go by a copy alone; where the workers of the first n are full, R exceeds what
        // they can do, and instances are added: up to three for an event, which waits a moment for those that
        // stand already. Not while copies are missed: memory is short, and a load would push out another.
        let more =
            full && self.miss_ratio < 0.1 && self.functions[f].desired_instances < self.max_instances(f);
        let evt = &mut self.requests[e];
        if more && evt.instances_added < 3 {
            (evt.instances_added, evt.instance_added_at) = (evt.instances_added + 1, now);
            (self.functions[f].saturated_at, self.functions[f].desired_instances) =
                (now, self.functions[f].desired_instances + 1);
            self.request_loads(f);
            return None;
        }
        (!full || now >= evt.instance_added_at + self.config.load_check_timeout).then_some(on)
    }

    /// What a worker was seen to have in flight, as a part of an event's target time.
    fn expected_load(&self, typ: usize, wk: usize) -> f64 {
        let (w, typ) = (&self.workers[wk], &self.classes[typ]);
        let work = if typ.mean_cost > 0.0 { typ.mean_cost } else { typ.latency_objective as f64 / 10.0 };
        if w.load_check_sent_at > w.reported_at && self.now >= w.load_check_sent_at + LOAD_CHECK_TIMEOUT {
            return 1e6;
        }
        let fresh = self.now < w.reported_at + REPORT_LIFETIME && self.report_distrust <= MAX_REPORT_DISTRUST;
        let lately = if w.completed_work.recent(self.now) > 0 { w.latency_ratio } else { 0.0 };
        lately.max(
            f64::from(u8::from(fresh)) * w.reported_load * work
                / (self.capacity_per_rating * typ.observed_objective),
        )
    }

    /// Benefit of an event from 0 to 1, against the most that any type brings; less beyond a tenant's share.
    fn priority_weight(&mut self, arrival: &RequestInfo) -> f64 {
        let most = self.classes.iter().fold(0.0, |m, t| t.priority_weight.max(m));
        let typ = &self.classes[arrival.class];
        let mut worth = if most > 0.0 { typ.priority_weight / most } else { 1.0 };
        // One that will hardly be answered within its target time brings what a late answer does.
        if usual(typ, arrival) > wanted(typ, arrival) {
            worth *= typ.late_weight;
        }
        if let Some(t) = arrival.tenant {
            let rate = per_second(self.tenants[t].rate.count_and_span(self.now, self.started_at));
            if rate * self.config.gateway_count > self.tenants[t].quota {
                worth *= self.settings.number("over-share-worth");
            }
        }
        worth
    }

    /// Rotates over the first n: the next one whose copy stands, with lanes and worker below their bounds,
    /// the one after it, and the turn that follows.
    fn choose_placement(&mut self, f: usize, e: usize, worth: f64) -> Option<(usize, Option<usize>, usize)> {
        let Function { desired_instances: n, rotation: turn, lanes, class: typ, confirmed: shown, .. } =
            self.functions[f];
        let n = n.max(1);
        let heads = self.usable_placements(f).take(n).count().max(1);
        let (mut first, mut second) = (None::<(usize, usize)>, None::<(usize, usize)>);
        let (mut beyond, mut least, mut place) = (None, None::<(usize, f64)>, 0);
        let (many, hopes) =
            (self.config.large_fleet, self.requests[e].attempt_count == self.requests[e].retries as usize);
        let even = if many { f64::MAX } else { self.even_in_flight_limit() };
        for s in 0..self.functions[f].placements.len() {
            let seat = self.functions[f].placements[s];
            if !self.is_usable(f, &seat) {
                continue;
            }
            // Departure: among many gateways a copy of which nothing is known is presumed to stand, siblings
            // use it; a miss costs a round trip, and then the page's order goes out.
            let unknown = seat.instances == InstanceState::Unknown && hopes;
            let near = place < heads || self.config.presume_loaded && self.miss_ratio < 0.1;
            let presumed = many && unknown && near && (self.config.presume_loaded || !shown);
            let ready = presumed || self.is_loaded(&seat) || !self.config.miss_if_absent;
            let at = place;
            place += 1;
            // Copies beyond the first n stand near the head; looking further cost more CPU than it found.
            if at >= heads.max(2) && (first.is_some() || beyond.is_some()) || at >= heads + 16 {
                break;
            }
            if !ready || !self.may_send_attempt(e, seat.worker) {
                continue;
            }
            let w = &self.workers[seat.worker];
            let own = lanes * if heads < n { n.saturating_sub(at).div_ceil(heads).max(1) as u32 } else { 1 };
            let seen = if many { self.expected_load(typ, seat.worker) } else { 0.0 };
            let load = if many { 0.0 } else { f64::from(w.in_flight) / w.in_flight_limit };
            let below = load < 0.5 + 0.5 * worth && f64::from(w.in_flight) < even;
            if below && seen <= FULL_LOAD && seat.in_flight < own {
                // How far round from the turn it stands.
                let round = (at + heads - turn % heads) % heads;
                if at == 1 && heads == 1 && first.is_some() {
                    second = Some((s, 1));
                } else if at >= heads {
                    beyond = beyond.or(Some(s));
                } else if first.is_none_or(|b| round < b.1) {
                    (first, second) = (Some((s, round)), first);
                } else if second.is_none_or(|b| round < b.1) {
                    second = Some((s, round));
                }
            }
            // Departure: with all of the first n above their bounds, the event of most benefit may still go
            // to the least crowded; the others sooner find no room.
            let crowd = load.max(seen).max(f64::from(seat.in_flight) / f64::from(own) / 2.0);
            if at < heads && crowd < 0.6 + 0.5 * worth && least.is_none_or(|l| crowd < l.1) {
                least = Some((s, crowd));
            }
        }
        if let Some((s, round)) = first {
            return Some((s, second.map(|b| b.0), turn % heads + round + 1));
        }
        // Departure: copies known to stand beyond the first n are used before the first n are overfilled.
        beyond.or(least.map(|l| l.0)).map(|s| (s, None, turn))
    }

    /// Departure: the in-flight bound that the page leaves open also covers all functions of a worker
    /// together: three quarters of the workers' mean (tried: 1.25, 1, 0.75; evener was better) and one, so
    /// that small numbers do not bind. Lanes alone let the homes of hot functions jam while others idle.
    fn even_in_flight_limit(&self) -> f64 {
        let on = self.workers.iter().filter(|w| w.endpoint.state == EndpointState::Active);
        let (count, sum) = on.fold((0u32, 0), |(c, s), w| (c + 1, s + w.in_flight));
        0.75 * f64::from(sum) / f64::from(count.max(1)) + 1.0
    }

    /// The rules for one more launch of this event at this worker; every launch passes here.
    fn may_send_attempt(&self, e: usize, wk: usize) -> bool {
        let evt = &self.requests[e];
        let w = &self.workers[wk];
        let open = !evt.finished && !evt.streaming && self.now + self.config.tick < evt.info.deadline;
        let alone = evt.outstanding() == 0 || self.config.may_hedge;
        // Not again to a worker that has it or has failed it; after a miss it may go back, and where only few
        // may have it, also after a broken connection: the worker may be well and its copy stands.
        let few = matches!(
            self.classes[evt.info.class].retry_safety,
            RetrySafety::IdempotencyKey(KeyScope::Zone | KeyScope::Cell, _)
        );
        let back =
            |s: AttemptState| s == AttemptState::NotExecuted || few && s == AttemptState::ConnectionLost;
        let again = evt.sent_attempts().iter().any(|l| l.worker == wk && !back(l.state));
        if !open
            || !alone
            || again
            || w.endpoint.state != EndpointState::Active
            || evt.attempt_count >= self.config.max_attempts
        {
            return false;
        }
        let unproven = || evt.sent_attempts().iter().filter(|l| l.state != AttemptState::NotExecuted);
        let allowed = match self.classes[evt.info.class].retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => evt.never_executed(),
            RetrySafety::IdempotencyKey(group, window) => unproven().all(|l| {
                let o = &self.workers[l.worker];
                let near = match group {
                    KeyScope::All => true,
                    KeyScope::Zone => o.endpoint.zone == w.endpoint.zone,
                    KeyScope::Cell => o.endpoint.cell == w.endpoint.cell,
                };
                // It may have run as soon as it was sent; the next may take effect as late as it can leave.
                near && self.now + self.config.connect_timeout + self.config.tick < l.sent_at + window
            }),
        };
        allowed && self.has_slow_start_capacity(wk, evt.info.class)
    }

    /// The budget of a cold worker. What it can take is told nowhere: this gateway's own share of it is what
    /// warm workers do for it (not what it sends: in overload most of that is turned away), at the fraction
    /// that the worker is warm by now at the least. The fall comes at `tip` times that; 0.6 of it leaves room
    /// for small machines, busy days and uneven gateways. Among hundreds of gateways a share is far less than
    /// one launch a window: each rounds it up or down by its luck, drawn once for a start, so that all
    /// together launch what is due. One that just started knows no rates and launches none.
    fn has_slow_start_capacity(&self, wk: usize, typ: usize) -> bool {
        const SHARE: f64 = 0.6;
        let w = &self.workers[wk];
        let Some(part) = self.slow_start_share(w) else { return true };
        let warm =
            |o: &&Worker| o.endpoint.state == EndpointState::Active && self.slow_start_share(o).is_none();
        let done =
            self.workers.iter().filter(warm).map(|o| (o.completed_work.recent(self.now), o.endpoint.rating));
        let (count, work, ratings) =
            done.fold((0.0, 0.0, 0.0), |(n, sum, r), o| (n + 1.0, sum + f64::from(o.0) / 2.0, r + o.1));
        // Warm machines that are larger say too much of what this one can take.
        let size = if ratings > 0.0 { (w.endpoint.rating * count / ratings).min(1.0) } else { 1.0 };
        let (weight, window) = (self.classes[typ].warm_latency, self.config.overload_window);
        // At what each type is known to cost by now: events that turn out dear count as dear from then on.
        let sent = w.slow_start_attempts.iter().filter(|b| b.0 + window >= self.now);
        let used: f64 = sent.map(|b| self.classes[b.1].warm_latency).sum();
        let share = SHARE * self.config.overload_tolerance * part;
        let room = share * size * work / f64::max(count, 1.0) * window as f64 / SECOND as f64;
        // One that is more than all shares together tips it alone: runs of seconds, spans of half a second.
        used + w.slow_start_rounding * weight <= room && weight <= room * self.config.gateway_count
    }

    /// How warm a worker is at the least, None when it is warm.
    fn slow_start_share(&self, w: &Worker) -> Option<f64> {
        let age = self.now.saturating_sub(w.endpoint.started_at);
        let (cold, from) = self.config.cold;
        (w.endpoint.started_at > 0 && age < cold).then(|| from + (1.0 - from) * age as f64 / cold as f64)
    }

    fn send_attempt(&mut self, e: usize, s: usize) {
        let (now, window) = (self.now, self.config.overload_window);
        let evt = &mut self.requests[e];
        let function = &mut self.functions[evt.info.function];
        let seat = &mut function.placements[s];
        let w = &mut self.workers[seat.worker];
        let seen = if now < w.reported_at + REPORT_LIFETIME { w.reported_load } else { -1.0 };
        evt.attempts[evt.attempt_count] =
            Attempt { worker: seat.worker, sent_at: now, reported_load: seen, state: AttemptState::InFlight };
        evt.attempt_count += 1;
        evt.waiting = false;
        seat.in_flight += 1;
        w.in_flight += 1;
        if w.endpoint.started_at > 0 {
            while w.slow_start_attempts.front().is_some_and(|b| b.0 + window < now) {
                w.slow_start_attempts.pop_front();
            }
            w.slow_start_attempts.push_back((now, evt.info.class));
        }
        // A tenant's share is used by what is launched for it; a storm of repeats alone does not use it up.
        if let Some(t) = evt.info.tenant.filter(|_| evt.attempt_count == 1) {
            self.tenants[t].rate.add(now, 1);
        }
        self.host.send_attempt(e, seat.worker, 0);
    }

    /// A final answer of our own, at once: a deferral where that is harmless, else a dead letter.
    fn give_up(&mut self, e: usize, due: Time) {
        let evt = &mut self.requests[e];
        if evt.finished || evt.streaming {
            return;
        }
        let harmless = match self.classes[evt.info.class].retry_safety {
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey(KeyScope::All, _) => true,
            RetrySafety::IdempotencyKey(..) | RetrySafety::NonIdempotent => evt.never_executed(),
        };
        if harmless {
            // Spread over half to all of a tenth of the target time, so that those deferred together do not
            // come back together, and come in time (a quarter, and the longest allowed, did worse).
            // What waits for a load comes back when that is due.
            let (target, longest) =
                (self.classes[evt.info.class].latency_objective, self.config.max_retry_after);
            let wait = (target / 10).max(2 * due).min(longest) as u32;
            // Where a time may be told it is never none, which would read as "at once" or as untold.
            let wait = (wait / 2 + self.random.below(wait / 2 + 1)).max(u32::from(longest > 0));
            self.host.reject(e, Time::from(wait));
        } else {
            self.host.fail(e);
        }
        self.finish(e);
    }

    /// The event has its final answer: what is still out is called off.
    fn finish(&mut self, e: usize) {
        let evt = &mut self.requests[e];
        self.functions[evt.info.function].open_requests -= u32::from(!evt.finished);
        (evt.finished, evt.waiting) = (true, false);
        if !evt.streaming {
            self.cancel_attempts(e, MAX_ATTEMPTS);
        }
        if self.requests[e].outstanding() == 0 {
            self.requests.remove(e);
            self.host.release_request(e);
        }
    }

    pub fn response_started(&mut self, e: usize, launch: usize) {
        let Some(evt) = self.requests.get_mut(e) else { return };
        evt.streaming = true;
        self.cancel_attempts(e, launch);
    }

    /// Calls off what is still out, but for one launch.
    fn cancel_attempts(&mut self, e: usize, but: usize) {
        for i in 0..self.requests[e].attempt_count {
            let state = self.requests[e].attempts[i].state;
            let out = i != but && matches!(state, AttemptState::InFlight | AttemptState::Overdue);
            if out && self.config.may_cancel {
                self.requests[e].attempts[i].state = AttemptState::Cancelled;
                self.host.cancel_attempt(e, i);
            }
        }
    }

    pub fn client_abandoned(&mut self, e: usize) {
        let Some(evt) = self.requests.get(e).filter(|evt| !evt.finished) else { return };
        // Clients that leave early, unannounced, want their answers before that: latencies are judged by it.
        // One leaving moves it eight times as far as an answer moves it back, so a few in a hundred do not
        // matter. Where they leave for a reason of their own, it only makes the bounds tighter. Before the
        // usual latency nobody can have waited for an answer: guards against hundreds withdrawn at once.
        let (age, typ) = ((self.now - evt.arrived_at) as f64, &mut self.classes[evt.info.class]);
        if self.now + self.config.sweep_interval < evt.info.deadline
            && (typ.warm_latency..typ.observed_objective).contains(&age)
        {
            typ.observed_objective = smooth(typ.observed_objective, age);
        }
        self.finish(e);
    }

    pub fn attempt_ended(&mut self, e: usize, launch: usize, how: (Outcome, Time), over: bool, note: u32) {
        let (outcome, took) = how;
        let known = self.requests.get_mut(e).filter(|evt| launch < evt.attempt_count);
        let Some(evt) = known.filter(|evt| is_out(evt.attempts[launch].state)) else { return };
        let Attempt { worker: wk, sent_at: at, state, reported_load: seen } = evt.attempts[launch];
        let proven = matches!(
            outcome,
            Outcome::AtCapacity | Outcome::ConnectFailed | Outcome::Discarded | Outcome::Miss
        );
        evt.attempts[launch].state = match outcome {
            Outcome::Reset => AttemptState::ConnectionLost,
            _ if proven => AttemptState::NotExecuted,
            _ => AttemptState::MayHaveExecuted,
        };
        let arrival = evt.info;
        let (f, now) = (arrival.function, self.now);
        self.workers[wk].in_flight -= 1;
        self.confirm_function(f, outcome);
        let s = self.placement_on(f, wk).expect("a launch that is out keeps its function's seat");
        self.functions[f].placements[s].in_flight -= 1;
        if matches!(outcome, Outcome::Ok | Outcome::AtCapacity) {
            let function = &mut self.functions[f];
            let company = f64::from(note >> 3);
            function.placements[s].concurrency += (company - function.placements[s].concurrency) / 2.0;
            function.answered_since_release = true;
            // More of one function than the report had in all: reports come late, and all gateways together
            // go by them. Guards against whatever makes reports untrue; a sudden burst looks the same.
            if seen >= 0.0 && self.config.reports_in_flight {
                let more = company > seen * self.workers[wk].endpoint.rating + 2.0;
                self.report_distrust += (f64::from(u8::from(more)) - self.report_distrust) / 16.0;
            }
        }
        self.miss_ratio += (f64::from(u8::from(outcome == Outcome::Miss)) - self.miss_ratio) / 32.0;
        if outcome == Outcome::Ok && seen > 0.0 && arrival.cost_hint > 0 {
            let pace = (seen * arrival.cost_hint as f64 / took as f64).min(8.0);
            self.capacity_per_rating +=
                (pace - self.capacity_per_rating) / if pace > self.capacity_per_rating { 16.0 } else { 32.0 };
        }
        match outcome {
            Outcome::Ok => self.attempt_succeeded(wk, s, &arrival, at, took, note & 7),
            Outcome::Miss => {
                // The page: reissue the order to that worker, and try another of the first n. A worker beyond
                // the first n was only used because a copy was thought to stand there.
                let head = self
                    .usable_placements(f)
                    .take(self.functions[f].desired_instances.max(1))
                    .any(|h| h == s);
                let seat = &mut self.functions[f].placements[s];
                if seat.instances != InstanceState::Loading {
                    seat.instances = InstanceState::Absent;
                }
                seat.blocked_until =
                    if self.config.may_load { seat.blocked_until } else { now + self.config.keep_alive };
                if head {
                    self.load_instances(f, s, 1, true);
                }
            }
            Outcome::AtCapacity => {
                self.saturation_count.add(now, 1);
                self.reduce_in_flight_limit(wk);
            }
            // What rode on one connection ends at one moment: one failure, not one for each. Guards against a
            // spoilt answer that costs a good worker all its trust; a worker that died fails again at once.
            Outcome::Reset if self.workers[wk].connection_lost_at == now => {}
            // A call of what does not exist, or a load that failed, is not the worker's fault.
            Outcome::Error if note & 7 == 4 || !self.functions[f].confirmed => {}
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset | Outcome::Error => {
                let w = &mut self.workers[wk];
                w.connection_lost_at = if outcome == Outcome::Reset { now } else { w.connection_lost_at };
                if state == AttemptState::InFlight {
                    self.record_failure(wk);
                }
            }
            Outcome::Cancelled | Outcome::Discarded => {}
        }
        let evt = &self.requests[e];
        if over || evt.finished {
            return self.finish(e);
        }
        if evt.outstanding() > 0 {
            return;
        }
        // The users' way: up to two further launches, none while this gateway sees overload.
        let again = outcome == Outcome::Miss || evt.retries < 2 && !self.is_overloaded();
        let evt = &mut self.requests[e];
        evt.retries += u32::from(outcome != Outcome::Miss);
        let lost =
            self.classes[arrival.class].retry_safety == RetrySafety::NonIdempotent && !evt.never_executed();
        if again && !lost && evt.attempt_count < self.config.max_attempts {
            self.dispatch(e);
        } else {
            self.give_up(e, 0);
        }
    }

    /// What a good answer teaches. `warm` is 1 where a copy stood, 0 where that is not told.
    fn attempt_succeeded(
        &mut self,
        wk: usize,
        s: usize,
        arrival: &RequestInfo,
        at: Time,
        took: Time,
        warm: u32,
    ) {
        let (now, f) = (self.now, arrival.function);
        let typ = &mut self.classes[arrival.class];
        let (target, function) = (wanted(typ, arrival), &mut self.functions[f]);
        typ.observed_objective += (typ.latency_objective as f64 - typ.observed_objective) / 64.0;
        (function.placements[s].instances, function.placements[s].renewed_at) = (InstanceState::Loaded, now);
        if warm > 1 {
            return;
        }
        function.warm_latency = if function.warm_latency > 0.0 {
            smooth(function.warm_latency, took as f64)
        } else {
            took as f64
        };
        typ.warm_latency = smooth(typ.warm_latency, took as f64);
        typ.mean_cost = smooth(typ.mean_cost, arrival.cost_hint as f64);
        let late = took > patience(typ, arrival);
        let w = &mut self.workers[wk];
        w.completed_work.add(now, typ.warm_latency.min((20 * COUNTER_STEP) as f64) as u32); // what it did in the span at most
        w.latency_ratio = smooth(w.latency_ratio, (took as f64 / target).min(2.0));
        // Learning the in-flight bound: it grows by one for each bound's worth of good answers while it is
        // used, and is cut when latencies near the target time (0.45 did better than 0.6 and 0.7 everywhere).
        if w.latency_ratio > 0.45 {
            self.reduce_in_flight_limit(wk);
        } else if f64::from(w.in_flight + 1) > w.in_flight_limit / 2.0 {
            w.in_flight_limit = (w.in_flight_limit + 1.0 / w.in_flight_limit).min(self.config.max_in_flight);
        }
        if late {
            self.record_failure(wk);
        } else if at >= self.workers[wk].ejected_until {
            // Only an answer to something sent since it was left out restores trust.
            let w = &mut self.workers[wk];
            (w.failures, w.ejection_time) = (0, 0);
        }
    }

    /// Too much is in flight at this worker: a fifth less, once in a quarter second (a round of answers).
    fn reduce_in_flight_limit(&mut self, wk: usize) {
        // Four in flight from all gateways together keep any worker busy, however slow it has become.
        let (now, least) = (self.now, (4.0 / self.config.gateway_count).max(1.0));
        let w = &mut self.workers[wk];
        if now > w.limit_reduced_at + SECOND / 4 {
            w.in_flight_limit = (w.in_flight_limit.min(f64::from(w.in_flight + 1)) * 0.8).max(least);
            w.limit_reduced_at = now;
        }
    }

    /// The users' way: a worker is judged by failures in a row. Late answers count, so that slow, hanging,
    /// silent and refusing workers are one symptom. After three it is left out, each time twice as long; it
    /// comes back on trial. Never more than a third of the workers, and none while the gateway sees overload:
    /// then lateness is not theirs, and leaving workers out makes it worse.
    fn record_failure(&mut self, wk: usize) {
        let (now, overloaded) = (self.now, self.is_overloaded());
        let all = self.workers.iter().filter(|w| w.endpoint.state == EndpointState::Active);
        let (count, out) = all.fold((0, 0), |(c, o), w| (c + 1, o + usize::from(w.ejected_until > now)));
        let w = &mut self.workers[wk];
        w.failures += u32::from(!overloaded);
        let chance = w.failures < 3 && w.ejection_time == 0; // two late answers in a row are common, three rare
        if !overloaded && !chance && w.ejected_until <= now && (out + 1) * 3 <= count {
            let span = (w.ejection_time * 2).clamp(SECOND, 8 * SECOND);
            // The trial comes at its own time, or all gateways would try a worker that is still bad together.
            let until = now + self.jitter(span);
            (self.workers[wk].ejection_time, self.workers[wk].ejected_until) = (span, until);
        }
    }

    /// A tenth of the events found no room: more than chance, less than a jam.
    fn is_overloaded(&self) -> bool {
        self.saturation_count.recent(self.now) * 10 > self.arrival_count.recent(self.now).max(20)
    }

    /// A load report: events in flight and the part of its cores that is busy, 0 where they are not told.
    pub fn load_reported(&mut self, wk: usize, in_flight: f64, busy: f64) {
        let w = &mut self.workers[wk];
        // Busy cores alone say little near one; queueing theory has so many there (1.05: reports are noisy).
        let waits = busy / (1.05 - busy.min(1.0));
        w.reported_load = if in_flight > 0.0 { in_flight / w.endpoint.rating.max(0.1) } else { waits };
        w.reported_at = self.now;
    }

    pub fn load_request_ended(&mut self, f: usize, wk: usize, outcome: Outcome, copies: u32) {
        let (now, many) = (self.now, self.config.large_fleet);
        let Some(s) = self.placement_on(f, wk) else { return };
        self.confirm_function(f, outcome);
        // No room or a failed load: the same order at once would fail again.
        let barred = now + self.jitter(if many { 4 * SECOND } else { SECOND / 2 });
        let function = &mut self.functions[f];
        let seat = &mut function.placements[s];
        // An end does not say whether it is an ask's or an order's; asks go first and are answered at once.
        // Each end counts once, so neither stays out for good, whatever a worker says.
        let ask = seat.pending_queries > 0;
        *(if ask { &mut seat.pending_queries } else { &mut seat.pending_loads }) -=
            u32::from(ask || seat.pending_loads > 0);
        if ask && outcome == Outcome::Ok && copies == 0 {
            return;
        }
        let stood =
            seat.instances == InstanceState::Loaded && matches!(outcome, Outcome::TimedOut | Outcome::Ok);
        if copies > 0 {
            // How long its loads take. It rises at once and falls slowly: one that a sibling ordered before
            // seems shorter than it is.
            if !ask && seat.instances == InstanceState::Loading {
                let took = (now - seat.renewed_at) as f64;
                function.load_time = smooth(function.load_time, took).max(took);
            }
            (seat.instances, seat.renewed_at) = (InstanceState::Loaded, now);
        } else if !stood && (!ask || seat.pending_loads == 0) {
            seat.instances = InstanceState::Absent;
        }
        seat.blocked_until = if copies == 0 { barred } else { seat.blocked_until };
        if matches!(outcome, Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut) {
            self.record_failure(wk);
        }
        if copies > 0 {
            self.retry_waiting(|evt| evt.info.function == f);
        }
    }

    pub fn health_check_ended(&mut self, wk: usize, outcome: Outcome) {
        let w = &mut self.workers[wk];
        (w.reported_at, w.load_check_sent_at) = (self.now, 0);
        if outcome != Outcome::Ok {
            w.reported_load = 1e6;
            self.record_failure(wk);
        }
        self.retry_waiting(|evt| evt.load_checks.contains(&wk));
    }

    pub fn peer_message_received(&mut self, _peer: u32, _bytes: &[u8]) {}

    pub fn timer_fired(&mut self, token: u64) {
        if token == 1 {
            return if self.config.endpoints_on_request {
                self.host.watch_endpoints(true)
            };
        }
        self.host.set_timer(self.config.sweep_interval, 0);
        (0..self.requests.capacity()).for_each(|e| self.check_request(e));
        self.retry_waiting(|_| true);
        // Counts are checked once a second, the functions spread over the sweeps of it; a sweep that comes
        // late does those of the sweeps that it missed.
        let (slots, sweep) = (SECOND / MAX_SWEEP_INTERVAL, self.now / MAX_SWEEP_INTERVAL);
        let from = std::mem::replace(&mut self.last_sweep, sweep).max(sweep.saturating_sub(slots));
        for slot in from + 1..=sweep {
            for f in ((slot % slots) as usize..self.functions.len()).step_by(slots as usize) {
                if self.functions[f].live {
                    self.scale(f, true);
                    self.forget_idle(f);
                }
            }
        }
    }

    /// Events that wait here, oldest first, are tried again.
    fn retry_waiting(&mut self, which: impl Fn(&Request) -> bool) {
        for _ in 0..self.waiting.len() {
            let Some(e) = self.waiting.pop_front() else { return };
            let Some(evt) = self.requests.get_mut(e).filter(|evt| evt.waiting) else { continue };
            if !which(evt) {
                self.waiting.push_back(e);
                continue;
            }
            evt.waiting = false;
            self.request_loads(self.requests[e].info.function);
            self.dispatch(e);
        }
    }

    /// One event in hand: its own time of giving up, and launches that are overdue.
    fn check_request(&mut self, e: usize) {
        let now = self.now;
        let held = self.requests.get(e).filter(|evt| !evt.finished && !evt.streaming);
        let Some(evt) = held else { return };
        // The last sweep before the client gives up is the last chance for an answer of our own.
        if now + self.config.sweep_interval + 2 * self.config.tick >= evt.info.deadline {
            return self.give_up(e, 0);
        }
        let typ = &self.classes[evt.info.class];
        let patience = patience(typ, &evt.info);
        let arrival = evt.info;
        for i in 0..self.requests[e].attempt_count {
            let Attempt { worker: wk, sent_at: at, state, .. } = self.requests[e].attempts[i];
            if state != AttemptState::InFlight || now <= at + patience {
                continue;
            }
            self.requests[e].attempts[i].state = AttemptState::Overdue;
            self.record_failure(wk);
            // A further launch goes out beside the late one where that is allowed.
            let worth = self.priority_weight(&arrival);
            if self.config.may_hedge && self.requests[e].retries < 2 && !self.is_overloaded() {
                if let Some((s, ..)) = self.choose_placement(arrival.function, e, worth) {
                    self.requests[e].retries += 1;
                    self.send_attempt(e, s);
                }
            }
        }
    }

    /// State stays bounded: a function that nothing asks for is forgotten when its copies have lapsed.
    fn forget_idle(&mut self, f: usize) {
        let (now, keep) = (self.now, self.config.keep_alive);
        let (function, workers) = (&mut self.functions[f], &self.workers);
        // Guards against machines that are replaced again and again: each would leave a seat to look past.
        let gone = |wk: usize| workers[wk].endpoint.state == EndpointState::Removed;
        let before = function.placements.len();
        function.placements.retain(|s| !gone(s.worker) || !s.is_idle());
        // An answer that is still to come would be taken for one about the index's next user.
        let idle = function.open_requests == 0 && function.placements.iter().all(Placement::is_idle);
        if idle && function.desired_instances == 0 && now > function.last_request_at + 2 * keep {
            (function.live, function.placements) = (false, Vec::new());
            self.host.forget_function(f);
        } else if function.placements.len() < before {
            self.add_missing_placements(f);
        }
    }
}

/// Seats of a function at most, several times what an event looks at: a thousand functions have them.
const MAX_PLACEMENTS: usize = 128;

/// Where the learned bound starts: a few times what two cores run at once. It stops growing at what a gateway
/// may hold in all: dozens of cores, or runs that mostly wait, take hundreds.
const INITIAL_IN_FLIGHT_LIMIT: f64 = 8.0;

/// How long a probe's answer is waited for, several round trips between zones, and how long it holds.
const LOAD_CHECK_TIMEOUT: Time = 20 * MS;
const REPORT_LIFETIME: Time = 200 * MS;

/// A worker that would take half an event's target time to get to it is full (tried on reports: the rest is
/// its own run).
const FULL_LOAD: f64 = 0.5;

/// Reports are not gone by while more than this part of the answers contradicts them (tried: 0.25).
const MAX_REPORT_DISTRUST: f64 = 0.15;

/// What looking at two workers before each event brings, of its benefit: 0.02 to 0.08 (with and without, on
/// days of 40 to 300 gateways). Where two probes cost as much there are none, and answers alone tell.
const LOAD_CHECK_GAIN: f64 = 0.05;

/// Right after a start the time that there was counts, so that a restarted gateway sees its rates at once;
/// half a second at the least, or the first few events would look like a flood.
fn per_second((count, over): (f64, Time)) -> f64 {
    count * SECOND as f64 / over.max(SECOND / 2) as f64
}

/// Smoothing over about eight values: steady against chance, quick against change.
fn smooth(old: f64, new: f64) -> f64 {
    old + (new - old) / 8.0
}

/// The usual warm latency of an event of this cost, where costs are hinted.
fn usual(typ: &RequestClass, arrival: &RequestInfo) -> f64 {
    typ.warm_latency
        * if typ.mean_cost > 0.0 && arrival.cost_hint > 0 {
            arrival.cost_hint as f64 / typ.mean_cost
        } else {
            1.0
        }
}

/// The target time as clients show it, longer for much work where the settings say so.
fn wanted(typ: &RequestClass, arrival: &RequestInfo) -> f64 {
    (typ.observed_objective + typ.objective_per_cost * arrival.cost_hint as f64).min(typ.client_timeout)
}

/// How long a launch may take before it is late: three times the usual for an event of this cost, but early
/// enough for another try within the target time.
fn patience(typ: &RequestClass, arrival: &RequestInfo) -> Time {
    let target = wanted(typ, arrival);
    (3.0 * usual(typ, arrival).max(typ.warm_latency))
        .clamp(target / 4.0, (target - typ.warm_latency).max(target / 2.0)) as Time
}

#[cfg(test)]
mod tests;
