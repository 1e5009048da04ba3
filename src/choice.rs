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
const SWEEP: Time = 10 * MS;

/// A step of the counts that slide over twenty of them: the page's two seconds for R.
pub const COUNTER_STEP: Time = SECOND / 10;

/// More launches than this an event never gets, whatever the settings allow.
pub const MAX_ATTEMPTS: usize = 8;

pub struct Scheduler<H> {
    pub host: H,
    now: Time,
    started: Time,
    chance: RandomGenerator,
    settings: Settings,
    types: Vec<RequestClass>,
    tenants: Vec<Tenant>,
    workers: Vec<Worker>,
    functions: Vec<Function>,
    events: Slab<Request>,
    waiting: VecDeque<usize>,
    orders: VecDeque<Time>,
    arrivals: VecDeque<Time>,
    /// The sweep up to which counts were checked.
    checked: Time,
    arrived: SlidingCounter,
    strained: SlidingCounter,
    missed: f64,
    doubt: f64,
    /// Standard cores that a unit of rating stands for, as busy workers' answers show.
    pace: f64,
    told: SchedulerConfig,
}

impl<H: SchedulerActions> Scheduler<H> {
    pub fn new(host: H, now: Time, seed: u64, settings: Settings) -> Result<Scheduler<H>, String> {
        validate(&settings)?;
        let types = (0..settings.number("classes.count") as usize).map(|i| settings.request_class(i));
        // The page's start: a tenth of the target time.
        let start =
            |t: RequestClass| RequestClass { felt: t.target as f64, run: t.target as f64 / 10.0, ..t };
        let types: Vec<RequestClass> = types.map(start).collect();
        let tenants = (0..settings.number("tenants.count") as usize).map(|i| settings.tenant(i)).collect();
        let (mut told, minute) = (settings.scheduler_config(), 60 * SECOND);
        told.many = told.siblings >= 8.0; // well between the fleets seen, of 3 and of 20 and more
        told.looks &= told.many && settings.number("deductions.probe") < LOOKS_BRING / 2.0;
        // Siblings renew copies too: with S gateways a silence of S keep-alives here is one of a keep-alive
        // at the copy; a minute at most, as popularity moves on. So it is where none is told: until a miss.
        let shared = told.keep.saturating_mul(told.siblings as Time).min(minute).max(told.keep);
        // Nothing is presumed where the miss would be the only launch, but to show that a function exists.
        told.presumes = told.many && told.most > 1;
        told.keep = if told.presumes { shared } else { told.keep };
        told.keep = if told.keep == 0 { minute } else { told.keep };
        let shortest = types.iter().map(|t| t.target).min().unwrap_or(SECOND);
        told.sweep = (shortest / 16).max(told.tick).clamp(MS, SWEEP);
        // Where an eighth of it, as other waits, is over before a sweep no event waits for a probe.
        told.look = if shortest / 8 < told.sweep { 0 } else { LOOK.min(shortest / 8) };
        // The safe way where they are not told: what a worker can do by now, over any second.
        told.tip = if told.tip > 0.0 { told.tip } else { 1.0 };
        told.tips = if told.tips > 0 { told.tips } else { SECOND };
        let mut choice = Scheduler {
            host,
            now,
            started: now,
            chance: RandomGenerator::new(seed),
            settings,
            told,
            types,
            tenants,
            workers: Vec::new(),
            functions: Vec::new(),
            events: Slab::new(),
            waiting: VecDeque::new(),
            orders: VecDeque::new(),
            arrivals: VecDeque::new(),
            checked: now / SWEEP,
            arrived: SlidingCounter::default(),
            strained: SlidingCounter::default(),
            missed: 0.0,
            doubt: 0.0,
            pace: 1.0,
        };
        if choice.told.asks {
            choice.host.watch_endpoints(true);
        }
        choice.host.set_timer(choice.told.sweep, 0);
        Ok(choice)
    }

    pub fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    pub fn update_endpoints(&mut self, entries: &[(usize, Endpoint)], whole: bool) {
        for wk in 0..self.workers.len() {
            if whole && !entries.iter().any(|e| e.0 == wk) {
                self.leave(wk, EndpointState::Removed);
            }
        }
        for &(wk, listed) in entries {
            self.workers.resize_with(self.workers.len().max(wk + 1), Worker::default);
            let known = self.workers[wk].listed;
            if listed.state != EndpointState::Active {
                self.leave(wk, listed.state);
            } else if known.state != EndpointState::Active || known.started_at < listed.started_at {
                // New, restarted or back from the dead: nothing that was learned of it holds; it is empty.
                let in_flight = self.workers[wk].in_flight;
                let luck = f64::from(self.chance.below(1000) + 1) / 1000.0;
                self.workers[wk] =
                    Worker { listed, in_flight, luck, bound: BOUND_START, ..Worker::default() };
                // One that was here before comes back empty; of a new one nothing is known.
                let copies =
                    if known.name_hash != 0 { InstanceState::Absent } else { InstanceState::Unknown };
                (0..self.functions.len()).for_each(|f| self.seat(f, wk, copies));
            }
        }
    }

    /// A worker that drains or is gone gets nothing more from the moment that this gateway hears of it.
    fn leave(&mut self, wk: usize, standing: EndpointState) {
        self.workers[wk].listed.state = standing;
        for s in self.functions.iter_mut().flat_map(|f| &mut f.seats).filter(|s| s.wk == wk) {
            s.copies = InstanceState::Unknown;
        }
    }

    /// Whether nothing is known or pending of this worker any more; then its index may name another. Guards
    /// against machines that are replaced by new ones again and again.
    pub fn forget_worker(&mut self, wk: usize) -> bool {
        let Some(w) = self.workers.get(wk) else { return true };
        let seat = |f: &Function| f.seats.iter().any(|s| s.wk == wk);
        let used = |e: &Request| e.looks.contains(&wk) || e.sent().iter().any(|l| l.wk == wk);
        let gone = w.listed.state == EndpointState::Removed && w.in_flight == 0;
        let free = gone && !self.functions.iter().any(seat) && !self.events.iter().any(|e| used(e.1));
        if free {
            self.workers[wk] = Worker::default();
        }
        free
    }

    /// A subscription may have broken: asking anew is always allowed, at the next timer of its own.
    pub fn endpoint_update_failed(&mut self) {
        // Well within the time after which what was listed counts as told.
        let wait = self.spread(SECOND.min(self.told.within / 2).max(MS));
        self.host.set_timer(wait, 1);
    }

    /// Three quarters to five quarters of a span. Guards against whatever strikes many functions or gateways
    /// at one moment: what they try again must not meet again, and again, a span later.
    fn spread(&mut self, span: Time) -> Time {
        span * 3 / 4 + Time::from(self.chance.below((span / 2) as u32 + 1))
    }

    /// The worker's place in the function's shared order: rendezvous hashing of the two id texts, so every
    /// gateway finds the same order whatever it learned first.
    fn seat(&mut self, f: usize, wk: usize, copies: InstanceState) {
        let f = &mut self.functions[f];
        if !f.live {
            return;
        }
        if let Some(s) = f.seats.iter_mut().find(|s| s.wk == wk) {
            // It started anew: empty.
            let Placement { flight, pending, asks, .. } = *s;
            *s = Placement {
                wk,
                flight,
                pending,
                asks,
                copies: InstanceState::Absent,
                ..Placement::default()
            };
            return;
        }
        let (hash, workers) = (f.hash, &self.workers);
        let weight = |h: u64| (mix_hashes(h, hash), h);
        let own = weight(workers[wk].listed.name_hash);
        let at = f.seats.partition_point(|s| weight(workers[s.wk].listed.name_hash) > own);
        f.seats.insert(at, Placement { wk, copies, ..Placement::default() });
        let over = f.seats.len() > SEATS.max(2 * f.n);
        f.seats.pop_if(|s| over && s.still());
    }

    /// The workers that come first in the order have their seats.
    fn fill(&mut self, f: usize) {
        for wk in 0..self.workers.len() {
            if self.workers[wk].listed.state != EndpointState::Removed && self.seat_of(f, wk).is_none() {
                self.seat(f, wk, InstanceState::Unknown);
            }
        }
    }

    fn seat_of(&self, f: usize, wk: usize) -> Option<usize> {
        self.functions.get(f)?.seats.iter().position(|s| s.wk == wk)
    }

    pub fn next_request_slot(&self) -> usize {
        self.events.vacant_key()
    }

    pub fn request_arrived(&mut self, arrival: RequestInfo) {
        let (now, f) = (self.now, arrival.function);
        let e = self.events.insert(Request { arrival, came: now, ..Request::default() });
        // Here too: it may be hours to the next order.
        self.forget_old(self.told.ration.0);
        self.arrived.add(now, 1);
        self.know(&arrival);
        self.arrivals.extend(self.functions[f].shown.then_some(now));
        let function = &mut self.functions[f];
        function.last = now;
        function.events += 1;
        function.rate.add(now, 1);
        self.scale(f, false);
        // A try that ends before the next sweep could answer it, or before half its usual run is over, is
        // answered now: its launch would be wasted work. Guards against storms of late repeats, whatever
        // makes clients repeat; it could turn away an event that is far lighter than it looks.
        let soonest = usual(&self.types[arrival.class], &arrival) as Time / 2;
        if now + soonest.max(self.told.sweep + 2 * self.told.tick) >= arrival.deadline {
            return self.give_up(e, 0);
        }
        self.place(e);
    }

    fn know(&mut self, arrival: &RequestInfo) {
        let f = arrival.function;
        self.functions.resize_with(self.functions.len().max(f + 1), Function::default);
        if self.functions[f].live {
            return;
        }
        // Starting the rotation by chance keeps gateways from marching in step.
        let (hash, turn) = (arrival.function_hash, self.chance.below(64) as usize);
        let (typ, lanes) = (arrival.class, arrival.lanes.max(1));
        self.functions[f] = Function { hash, live: true, typ, lanes, turn, ..Function::default() };
        self.fill(f);
        self.ask(f);
    }

    /// Departure: a function unknown to this gateway may stand anywhere (after a restart of the gateway, at
    /// its start, or by orders of siblings). Asking costs nothing of the ration, so the first twelve of its
    /// order are asked once (tried: all, 12, 8), and copies found are used until the first n stand. Among
    /// many gateways copies are presumed instead: each sees a function rarely, and asks cost more than
    /// events.
    fn ask(&mut self, f: usize) {
        if !self.told.orders || self.told.many {
            return;
        }
        for s in 0..self.functions[f].seats.len().min(12) {
            let wk = self.functions[f].seats[s].wk;
            if self.trusted(wk) {
                self.functions[f].seats[s].asks += 1;
                self.host.send_load_request(f, wk, 0);
            }
        }
    }

    /// The page's bounds of one copy, in events a second, and the run time that they go by: (low, up, run).
    fn bounds(&self, f: usize) -> (f64, f64, f64) {
        let (function, second) = (&self.functions[f], SECOND as f64);
        let typ = &self.types[function.typ];
        let target = (typ.target as f64 + typ.stretch * typ.hint).min(typ.age) / second;
        let run = if function.run > 0.0 { function.run / second } else { target / 10.0 };
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
        let (low, up, run) = self.bounds(f);
        let (now, started, keep, many) = (self.now, self.started, self.told.keep, self.told.many);
        let heads = self.usable(f).take(self.functions[f].n);
        let crowd: f64 = heads.map(|s| self.functions[f].seats[s].crowd).sum();
        let function = &mut self.functions[f];
        let seen = per_second(function.rate.seen(now, started));
        // Departure: where a run is longer than the span of R, R is that of the events in hand, by Little's
        // law; one event in two seconds would buy a copy for every two seconds of its run.
        let long = run * SECOND as f64 > (20 * COUNTER_STEP) as f64;
        let mut rate = if long { f64::from(function.events) / run } else { seen };
        if many && function.run > 0.0 {
            // Departure: R of all gateways, by Little's law from the company that own events met at the first
            // n; one less, which may be chance. Counted double while few copies are missed (tried: 1, 1.5, 2,
            // 3): events wait for lanes long before all are taken, and there is memory for more.
            let spare = if self.missed < 0.1 { 2.0 } else { 1.0 };
            rate = rate.max((spare * crowd - 1.0) * SECOND as f64 / function.run);
        }
        // With few own events a check counts only where an answer has come since the last release.
        let check =
            check && (!many || function.news && now > function.crowded + keep || now > function.last + keep);
        let n = function.n as f64;
        if rate > n * up {
            let (most, seats) = (self.most_copies(f), self.functions[f].seats.len());
            self.functions[f].n = ((rate / up).ceil() as usize).min(most);
            if seats >= SEATS && 2 * self.functions[f].n > seats {
                self.fill(f); // it needs more of the fleet than a function's seats
            }
        } else if check && rate < ALPHA * n * low + (1.0 - ALPHA) * n * up && function.n > 1 {
            (function.n, function.news) = (function.n - 1, false);
        } else if check && function.n == 1 && now > function.last + keep {
            function.n = 0;
        }
        self.order(f);
    }

    /// On hosts that add no copies by themselves a worker may have to hold several (16 at most).
    fn most_copies(&self, f: usize) -> usize {
        self.usable(f).count().max(1) * 4
    }

    /// Seats on workers that may be used, in the shared order.
    fn usable(&self, f: usize) -> impl Iterator<Item = usize> + '_ {
        let seats = &self.functions[f].seats;
        (0..seats.len()).filter(move |s| self.open(f, &seats[*s]))
    }

    /// Departure: among many gateways a worker without room for a copy is passed over for a while, and the
    /// next of the order takes its place; each event would miss there once more. So is a cold one in which
    /// this gateway's share is used up: after a release most are, and no event could go to the first n.
    fn open(&self, f: usize, seat: &Placement) -> bool {
        // Where nobody may order a load, one that lacks the function is passed over too.
        let full = || seat.barred_until > self.now && seat.copies == InstanceState::Absent;
        self.trusted(seat.wk)
            && !((self.told.many || !self.told.orders) && full())
            && (!self.told.many || self.cold_room(seat.wk, self.functions[f].typ))
    }

    fn trusted(&self, wk: usize) -> bool {
        self.workers[wk].listed.state == EndpointState::Active && self.workers[wk].out_until <= self.now
    }

    /// A copy stands as far as is known: a sign of it is young enough.
    fn stands(&self, seat: &Placement) -> bool {
        seat.copies == InstanceState::Loaded && (seat.flight > 0 || self.now < seat.renewed + self.told.keep)
    }

    /// Hold orders: the first n are to have their copies, and copies in use are renewed.
    fn order(&mut self, f: usize) {
        let n = self.functions[f].n;
        let (heads, half) = (self.usable(f).take(n).count(), self.told.keep / 2);
        let mut place = 0;
        for s in 0..self.functions[f].seats.len() {
            let seat = self.functions[f].seats[s];
            if place == heads || !self.open(f, &seat) {
                continue;
            }
            let copies = (n - place).div_ceil(heads);
            place += 1;
            // Half the keep-alive: one renewal lost still leaves time for another. Use renews by itself.
            let aged = self.now > seat.renewed + half && self.now < self.functions[f].last + half;
            let unknown = seat.copies == InstanceState::Unknown && (place > 1 || !self.told.presumes);
            let missing = unknown || seat.copies == InstanceState::Absent;
            if seat.pending == 0 && (missing || aged && seat.copies == InstanceState::Loaded) {
                self.hold(f, s, copies as u32, missing);
            }
        }
    }

    /// A worker has shown that it knows this function: its events count for the ration from now on, and those
    /// in hand as of when they came. Guards against calls of nothing by the hundred, withdrawn or turned away
    /// at once: the users count none, and a few of them would buy an order.
    fn show(&mut self, f: usize, outcome: Outcome) {
        let shows = matches!(outcome, Outcome::Ok | Outcome::Miss);
        if !shows || std::mem::replace(&mut self.functions[f].shown, true) {
            return;
        }
        for (_, evt) in self.events.iter().filter(|e| e.1.arrival.function == f) {
            let at = self.arrivals.partition_point(|t| *t <= evt.came);
            self.arrivals.insert(at, evt.came);
        }
    }

    /// Orders as old as the window still count, events must be younger: the safe way for both, by a sweep, as
    /// orders take different times to their workers.
    fn forget_old(&mut self, window: Time) {
        self.orders.drain(..self.orders.partition_point(|t| t + window + SWEEP < self.now));
        self.arrivals.drain(..self.arrivals.partition_point(|t| t + window <= self.now + SWEEP));
    }

    /// Every order to load passes here: drains, the ration, and one order at a time for a seat.
    fn hold(&mut self, f: usize, s: usize, copies: u32, needed: bool) -> bool {
        let (now, seat) = (self.now, self.functions[f].seats[s]);
        // Among many gateways the first launch shows whether there is such a function; no order goes before.
        let shown = self.functions[f].shown || !self.told.presumes;
        let on = self.workers[seat.wk].listed.state == EndpointState::Active && seat.barred_until <= now;
        if !self.told.orders || !on || !shown || seat.pending > 0 {
            return false;
        }
        let (window, few, share) = self.told.ration;
        if window > 0 {
            self.forget_old(window);
            // Orders of a life before a restart may still count, so the free ones come only after a window.
            let now_few = now > self.started + window;
            // Renewals leave half the ration to copies that are missing.
            let (part, all) = (if needed { 1.0 } else { 0.5 }, self.orders.len() + 1);
            let young = |t| (self.arrivals.len() - self.arrivals.partition_point(|a| *a < t)) as f64;
            let over = |i, t, free| (all - i) as f64 > (free + share * young(t)) * part;
            // It holds from each order on: one that comes whole late (a silent worker heals), or in a next
            // life, finds events gone that paid for those before, and what is left must do.
            let mut cuts = self.orders.iter().enumerate();
            if over(0, 0, if now_few { few } else { 0.0 }) || cuts.any(|(i, at)| over(i, *at, few)) {
                return false;
            }
            self.orders.push_back(now);
        }
        let seat = &mut self.functions[f].seats[s];
        seat.pending += 1;
        if seat.copies != InstanceState::Loaded {
            seat.copies = InstanceState::Loading;
        }
        seat.renewed = now;
        self.host.send_load_request(f, seat.wk, copies.clamp(1, 16));
        true
    }

    /// Finds the event a worker, or lets it wait here for a copy, or gives it up at once.
    fn place(&mut self, e: usize) {
        let (arrival, came, out) = (self.events[e].arrival, self.events[e].came, self.events[e].out());
        let (f, now) = (arrival.function, self.now);
        let worth = self.worth(&arrival);
        if let Some((first, second, turn)) = self.choose(f, e, worth) {
            if let Some(s) = self.look(f, e, first, second) {
                self.functions[f].turn = turn;
                return self.launch(e, s);
            }
        } else if out > 0 {
            return;
        } else {
            let (function, typ) = (&self.functions[f], &self.types[arrival.class]);
            let crowded = self.usable(f).take(function.n.max(1)).any(|s| self.stands(&function.seats[s]));
            // A load that comes after the client gave up is no hope: answered at once, with a time by which
            // it is there. One at a worker that left is none; one overdue is, up to three times the usual.
            let load = if function.load > 0.0 { function.load as Time } else { arrival.load_hint };
            let out =
                function.seats.iter().filter(|s| s.copies == InstanceState::Loading && self.trusted(s.wk));
            let due = out.map(|s| s.renewed + load).filter(|d| now <= d + 2 * load || load == 0).min();
            let ends = |due: &Time| now.max(*due) + usual(typ, &arrival) as Time;
            if let Some(due) = due.filter(|d| !crowded && ends(d) > arrival.deadline) {
                return self.give_up(e, due.saturating_sub(now));
            }
            // With copies that have no room it waits an eighth of the target time at most, in overload half
            // of that, and is given up (tried from 1/2 to 1/16: an early deferral can still be answered
            // elsewhere). The same without any copy and any order out: it would wait for its deadline.
            let part = if self.overloaded() { 16 } else { 8 };
            let longest = wanted(typ, &arrival) as Time / part;
            if now > came + longest && (crowded || due.is_none()) {
                self.strained.add(now, u32::from(crowded));
                return self.give_up(e, 0);
            }
        }
        if !std::mem::replace(&mut self.events[e].waiting, true) {
            self.waiting.push_back(e);
        }
    }

    /// Departure: among many gateways own events in flight do not show how full a worker is, so the next two
    /// of the rotation are probed, and it moves on where the next is clearly fuller. An answer holds for a
    /// fifth of a second (reports are no newer); one that takes over 20 ms counts as full: silent and jammed
    /// workers cost an event no more than that.
    fn look(&mut self, f: usize, e: usize, first: usize, second: Option<usize>) -> Option<usize> {
        if !self.told.looks || self.doubt > DOUBT {
            self.doubt *= 0.99; // halved in seventy events, then reports are tried again
            return Some(first);
        }
        let (now, typ, mut wait) = (self.now, self.functions[f].typ, false);
        let looks = [first, second.unwrap_or(first)].map(|s| self.functions[f].seats[s].wk);
        for wk in looks {
            let w = &mut self.workers[wk];
            if now >= w.seen_at + LOOK_HOLDS {
                if w.probe_at <= w.seen_at {
                    w.probe_at = now;
                    self.host.send_health_check(wk);
                }
                wait |= now < w.probe_at + self.told.look;
            }
        }
        if wait {
            self.events[e].looks = looks;
            return None;
        }
        let [load, other] = looks.map(|wk| self.expected(typ, wk));
        let moves = load > 1.5 * other + 0.1;
        let (on, full) = if moves { (second.unwrap_or(first), other > FULL) } else { (first, load > FULL) };
        // Departure: the bounds go by a copy alone; where the workers of the first n are full, R exceeds what
        // they can do, and instances are added: up to three for an event, which waits a moment for those that
        // stand already. Not while copies are missed: memory is short, and a load would push out another.
        let more = full && self.missed < 0.1 && self.functions[f].n < self.most_copies(f);
        let evt = &mut self.events[e];
        if more && evt.grown < 3 {
            (evt.grown, evt.grown_at) = (evt.grown + 1, now);
            (self.functions[f].crowded, self.functions[f].n) = (now, self.functions[f].n + 1);
            self.order(f);
            return None;
        }
        (!full || now >= evt.grown_at + self.told.look).then_some(on)
    }

    /// What a worker was seen to have in flight, as a part of an event's target time.
    fn expected(&self, typ: usize, wk: usize) -> f64 {
        let (w, typ) = (&self.workers[wk], &self.types[typ]);
        let work = if typ.hint > 0.0 { typ.hint } else { typ.target as f64 / 10.0 };
        if w.probe_at > w.seen_at && self.now >= w.probe_at + LOOK {
            return 1e6;
        }
        let fresh = self.now < w.seen_at + LOOK_HOLDS && self.doubt <= DOUBT;
        let lately = if w.done.recent(self.now) > 0 { w.strain } else { 0.0 };
        lately.max(f64::from(u8::from(fresh)) * w.seen * work / (self.pace * typ.felt))
    }

    /// Benefit of an event from 0 to 1, against the most that any type brings; less beyond a tenant's share.
    fn worth(&mut self, arrival: &RequestInfo) -> f64 {
        let most = self.types.iter().fold(0.0, |m, t| t.benefit.max(m));
        let typ = &self.types[arrival.class];
        let mut worth = if most > 0.0 { typ.benefit / most } else { 1.0 };
        // One that will hardly be answered within its target time brings what a late answer does.
        if usual(typ, arrival) > wanted(typ, arrival) {
            worth *= typ.late;
        }
        if let Some(t) = arrival.tenant {
            let rate = per_second(self.tenants[t].rate.seen(self.now, self.started));
            if rate * self.told.siblings > self.tenants[t].quota {
                worth *= self.settings.number("over-share-worth");
            }
        }
        worth
    }

    /// Rotates over the first n: the next one whose copy stands, with lanes and worker below their bounds,
    /// the one after it, and the turn that follows.
    fn choose(&mut self, f: usize, e: usize, worth: f64) -> Option<(usize, Option<usize>, usize)> {
        let Function { n, turn, lanes, typ, shown, .. } = self.functions[f];
        let n = n.max(1);
        let heads = self.usable(f).take(n).count().max(1);
        let (mut first, mut second) = (None::<(usize, usize)>, None::<(usize, usize)>);
        let (mut beyond, mut least, mut place) = (None, None::<(usize, f64)>, 0);
        let (many, hopes) = (self.told.many, self.events[e].count == self.events[e].further as usize);
        let even = if many { f64::MAX } else { self.even_bound() };
        for s in 0..self.functions[f].seats.len() {
            let seat = self.functions[f].seats[s];
            if !self.open(f, &seat) {
                continue;
            }
            // Departure: among many gateways a copy of which nothing is known is presumed to stand, siblings
            // use it; a miss costs a round trip, and then the page's order goes out.
            let unknown = seat.copies == InstanceState::Unknown && hopes;
            let near = place < heads || self.told.presumes && self.missed < 0.1;
            let presumed = many && unknown && near && (self.told.presumes || !shown);
            let ready = presumed || self.stands(&seat) || !self.told.on_miss;
            let at = place;
            place += 1;
            // Copies beyond the first n stand near the head; looking further cost more CPU than it found.
            if at >= heads.max(2) && (first.is_some() || beyond.is_some()) || at >= heads + 16 {
                break;
            }
            if !ready || !self.may_launch(e, seat.wk) {
                continue;
            }
            let w = &self.workers[seat.wk];
            let own = lanes * if heads < n { n.saturating_sub(at).div_ceil(heads).max(1) as u32 } else { 1 };
            let seen = if many { self.expected(typ, seat.wk) } else { 0.0 };
            let load = if many { 0.0 } else { f64::from(w.in_flight) / w.bound };
            let below = load < 0.5 + 0.5 * worth && f64::from(w.in_flight) < even;
            if below && seen <= FULL && seat.flight < own {
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
            let crowd = load.max(seen).max(f64::from(seat.flight) / f64::from(own) / 2.0);
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
    fn even_bound(&self) -> f64 {
        let on = self.workers.iter().filter(|w| w.listed.state == EndpointState::Active);
        let (count, sum) = on.fold((0u32, 0), |(c, s), w| (c + 1, s + w.in_flight));
        0.75 * f64::from(sum) / f64::from(count.max(1)) + 1.0
    }

    /// The rules for one more launch of this event at this worker; every launch passes here.
    fn may_launch(&self, e: usize, wk: usize) -> bool {
        let evt = &self.events[e];
        let w = &self.workers[wk];
        let open = !evt.over && !evt.streaming && self.now + self.told.tick < evt.arrival.deadline;
        let alone = evt.out() == 0 || self.told.twice;
        // Not again to a worker that has it or has failed it; after a miss it may go back, and where only few
        // may have it, also after a broken connection: the worker may be well and its copy stands.
        let few = matches!(
            self.types[evt.arrival.class].repeat,
            RetrySafety::IdempotencyKey(KeyScope::Zone | KeyScope::Cell, _)
        );
        let back =
            |s: AttemptState| s == AttemptState::NotExecuted || few && s == AttemptState::ConnectionLost;
        let again = evt.sent().iter().any(|l| l.wk == wk && !back(l.state));
        if !open || !alone || again || w.listed.state != EndpointState::Active || evt.count >= self.told.most
        {
            return false;
        }
        let unproven = || evt.sent().iter().filter(|l| l.state != AttemptState::NotExecuted);
        let allowed = match self.types[evt.arrival.class].repeat {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => evt.proven_not_run(),
            RetrySafety::IdempotencyKey(group, window) => unproven().all(|l| {
                let o = &self.workers[l.wk];
                let near = match group {
                    KeyScope::All => true,
                    KeyScope::Zone => o.listed.zone == w.listed.zone,
                    KeyScope::Cell => o.listed.cell == w.listed.cell,
                };
                // It may have run as soon as it was sent; the next may take effect as late as it can leave.
                near && self.now + self.told.reach + self.told.tick < l.at + window
            }),
        };
        allowed && self.cold_room(wk, evt.arrival.class)
    }

    /// The budget of a cold worker. What it can take is told nowhere: this gateway's own share of it is what
    /// warm workers do for it (not what it sends: in overload most of that is turned away), at the fraction
    /// that the worker is warm by now at the least. The fall comes at `tip` times that; 0.6 of it leaves room
    /// for small machines, busy days and uneven gateways. Among hundreds of gateways a share is far less than
    /// one launch a window: each rounds it up or down by its luck, drawn once for a start, so that all
    /// together launch what is due. One that just started knows no rates and launches none.
    fn cold_room(&self, wk: usize, typ: usize) -> bool {
        const SHARE: f64 = 0.6;
        let w = &self.workers[wk];
        let Some(part) = self.cold_part(w) else { return true };
        let warm = |o: &&Worker| o.listed.state == EndpointState::Active && self.cold_part(o).is_none();
        let done = self.workers.iter().filter(warm).map(|o| (o.done.recent(self.now), o.listed.rating));
        let (count, work, ratings) =
            done.fold((0.0, 0.0, 0.0), |(n, sum, r), o| (n + 1.0, sum + f64::from(o.0) / 2.0, r + o.1));
        // Warm machines that are larger say too much of what this one can take.
        let size = if ratings > 0.0 { (w.listed.rating * count / ratings).min(1.0) } else { 1.0 };
        let (weight, window) = (self.types[typ].run, self.told.tips);
        // At what each type is known to cost by now: events that turn out dear count as dear from then on.
        let sent = w.budget.iter().filter(|b| b.0 + window >= self.now);
        let used: f64 = sent.map(|b| self.types[b.1].run).sum();
        let share = SHARE * self.told.tip * part;
        let room = share * size * work / f64::max(count, 1.0) * window as f64 / SECOND as f64;
        // One that is more than all shares together tips it alone: runs of seconds, spans of half a second.
        used + w.luck * weight <= room && weight <= room * self.told.siblings
    }

    /// How warm a worker is at the least, None when it is warm.
    fn cold_part(&self, w: &Worker) -> Option<f64> {
        let age = self.now.saturating_sub(w.listed.started_at);
        let (cold, from) = self.told.cold;
        (w.listed.started_at > 0 && age < cold).then(|| from + (1.0 - from) * age as f64 / cold as f64)
    }

    fn launch(&mut self, e: usize, s: usize) {
        let (now, window) = (self.now, self.told.tips);
        let evt = &mut self.events[e];
        let function = &mut self.functions[evt.arrival.function];
        let seat = &mut function.seats[s];
        let w = &mut self.workers[seat.wk];
        let seen = if now < w.seen_at + LOOK_HOLDS { w.seen } else { -1.0 };
        evt.launches[evt.count] = Attempt { wk: seat.wk, at: now, seen, state: AttemptState::InFlight };
        evt.count += 1;
        evt.waiting = false;
        seat.flight += 1;
        w.in_flight += 1;
        if w.listed.started_at > 0 {
            while w.budget.front().is_some_and(|b| b.0 + window < now) {
                w.budget.pop_front();
            }
            w.budget.push_back((now, evt.arrival.class));
        }
        // A tenant's share is used by what is launched for it; a storm of repeats alone does not use it up.
        if let Some(t) = evt.arrival.tenant.filter(|_| evt.count == 1) {
            self.tenants[t].rate.add(now, 1);
        }
        self.host.send_attempt(e, seat.wk, 0);
    }

    /// A final answer of our own, at once: a deferral where that is harmless, else a dead letter.
    fn give_up(&mut self, e: usize, due: Time) {
        let evt = &mut self.events[e];
        if evt.over || evt.streaming {
            return;
        }
        let harmless = match self.types[evt.arrival.class].repeat {
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey(KeyScope::All, _) => true,
            RetrySafety::IdempotencyKey(..) | RetrySafety::NonIdempotent => evt.proven_not_run(),
        };
        if harmless {
            // Spread over half to all of a tenth of the target time, so that those deferred together do not
            // come back together, and come in time (a quarter, and the longest allowed, did worse).
            // What waits for a load comes back when that is due.
            let (target, longest) = (self.types[evt.arrival.class].target, self.told.back);
            let wait = (target / 10).max(2 * due).min(longest) as u32;
            // Where a time may be told it is never none, which would read as "at once" or as untold.
            let wait = (wait / 2 + self.chance.below(wait / 2 + 1)).max(u32::from(longest > 0));
            self.host.reject(e, Time::from(wait));
        } else {
            self.host.fail(e);
        }
        self.conclude(e);
    }

    /// The event has its final answer: what is still out is called off.
    fn conclude(&mut self, e: usize) {
        let evt = &mut self.events[e];
        self.functions[evt.arrival.function].events -= u32::from(!evt.over);
        (evt.over, evt.waiting) = (true, false);
        if !evt.streaming {
            self.call_off(e, MAX_ATTEMPTS);
        }
        if self.events[e].out() == 0 {
            self.events.remove(e);
            self.host.release_request(e);
        }
    }

    pub fn response_started(&mut self, e: usize, launch: usize) {
        let Some(evt) = self.events.get_mut(e) else { return };
        evt.streaming = true;
        self.call_off(e, launch);
    }

    /// Calls off what is still out, but for one launch.
    fn call_off(&mut self, e: usize, but: usize) {
        for i in 0..self.events[e].count {
            let state = self.events[e].launches[i].state;
            let out = i != but && matches!(state, AttemptState::InFlight | AttemptState::Overdue);
            if out && self.told.cancel {
                self.events[e].launches[i].state = AttemptState::Cancelled;
                self.host.cancel_attempt(e, i);
            }
        }
    }

    pub fn client_abandoned(&mut self, e: usize) {
        let Some(evt) = self.events.get(e).filter(|evt| !evt.over) else { return };
        // Clients that leave early, unannounced, want their answers before that: latencies are judged by it.
        // One leaving moves it eight times as far as an answer moves it back, so a few in a hundred do not
        // matter. Where they leave for a reason of their own, it only makes the bounds tighter. Before the
        // usual latency nobody can have waited for an answer: guards against hundreds withdrawn at once.
        let (age, typ) = ((self.now - evt.came) as f64, &mut self.types[evt.arrival.class]);
        if self.now + self.told.sweep < evt.arrival.deadline && (typ.run..typ.felt).contains(&age) {
            typ.felt = smooth(typ.felt, age);
        }
        self.conclude(e);
    }

    pub fn attempt_ended(&mut self, e: usize, launch: usize, how: (Outcome, Time), over: bool, note: u32) {
        let (outcome, took) = how;
        let known = self.events.get_mut(e).filter(|evt| launch < evt.count);
        let Some(evt) = known.filter(|evt| is_out(evt.launches[launch].state)) else { return };
        let Attempt { wk, at, state, seen } = evt.launches[launch];
        let proven = matches!(
            outcome,
            Outcome::AtCapacity | Outcome::ConnectFailed | Outcome::Discarded | Outcome::Miss
        );
        evt.launches[launch].state = match outcome {
            Outcome::Reset => AttemptState::ConnectionLost,
            _ if proven => AttemptState::NotExecuted,
            _ => AttemptState::MayHaveExecuted,
        };
        let arrival = evt.arrival;
        let (f, now) = (arrival.function, self.now);
        self.workers[wk].in_flight -= 1;
        self.show(f, outcome);
        let s = self.seat_of(f, wk).expect("a launch that is out keeps its function's seat");
        self.functions[f].seats[s].flight -= 1;
        if matches!(outcome, Outcome::Ok | Outcome::AtCapacity) {
            let function = &mut self.functions[f];
            let company = f64::from(note >> 3);
            function.seats[s].crowd += (company - function.seats[s].crowd) / 2.0;
            function.news = true;
            // More of one function than the report had in all: reports come late, and all gateways together
            // go by them. Guards against whatever makes reports untrue; a sudden burst looks the same.
            if seen >= 0.0 && self.told.counts {
                let more = company > seen * self.workers[wk].listed.rating + 2.0;
                self.doubt += (f64::from(u8::from(more)) - self.doubt) / 16.0;
            }
        }
        self.missed += (f64::from(u8::from(outcome == Outcome::Miss)) - self.missed) / 32.0;
        if outcome == Outcome::Ok && seen > 0.0 && arrival.cost_hint > 0 {
            let pace = (seen * arrival.cost_hint as f64 / took as f64).min(8.0);
            self.pace += (pace - self.pace) / if pace > self.pace { 16.0 } else { 32.0 };
        }
        match outcome {
            Outcome::Ok => self.answered(wk, s, &arrival, at, took, note & 7),
            Outcome::Miss => {
                // The page: reissue the order to that worker, and try another of the first n. A worker beyond
                // the first n was only used because a copy was thought to stand there.
                let head = self.usable(f).take(self.functions[f].n.max(1)).any(|h| h == s);
                let seat = &mut self.functions[f].seats[s];
                if seat.copies != InstanceState::Loading {
                    seat.copies = InstanceState::Absent;
                }
                seat.barred_until = if self.told.orders { seat.barred_until } else { now + self.told.keep };
                if head {
                    self.hold(f, s, 1, true);
                }
            }
            Outcome::AtCapacity => {
                self.strained.add(now, 1);
                self.cut(wk);
            }
            // What rode on one connection ends at one moment: one failure, not one for each. Guards against a
            // spoilt answer that costs a good worker all its trust; a worker that died fails again at once.
            Outcome::Reset if self.workers[wk].broke_at == now => {}
            // A call of what does not exist, or a load that failed, is not the worker's fault.
            Outcome::Error if note & 7 == 4 || !self.functions[f].shown => {}
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset | Outcome::Error => {
                let w = &mut self.workers[wk];
                w.broke_at = if outcome == Outcome::Reset { now } else { w.broke_at };
                if state == AttemptState::InFlight {
                    self.failed(wk);
                }
            }
            Outcome::Cancelled | Outcome::Discarded => {}
        }
        let evt = &self.events[e];
        if over || evt.over {
            return self.conclude(e);
        }
        if evt.out() > 0 {
            return;
        }
        // The users' way: up to two further launches, none while this gateway sees overload.
        let again = outcome == Outcome::Miss || evt.further < 2 && !self.overloaded();
        let evt = &mut self.events[e];
        evt.further += u32::from(outcome != Outcome::Miss);
        let lost = self.types[arrival.class].repeat == RetrySafety::NonIdempotent && !evt.proven_not_run();
        if again && !lost && evt.count < self.told.most {
            self.place(e);
        } else {
            self.give_up(e, 0);
        }
    }

    /// What a good answer teaches. `warm` is 1 where a copy stood, 0 where that is not told.
    fn answered(&mut self, wk: usize, s: usize, arrival: &RequestInfo, at: Time, took: Time, warm: u32) {
        let (now, f) = (self.now, arrival.function);
        let typ = &mut self.types[arrival.class];
        let (target, function) = (wanted(typ, arrival), &mut self.functions[f]);
        typ.felt += (typ.target as f64 - typ.felt) / 64.0;
        (function.seats[s].copies, function.seats[s].renewed) = (InstanceState::Loaded, now);
        if warm > 1 {
            return;
        }
        function.run = if function.run > 0.0 { smooth(function.run, took as f64) } else { took as f64 };
        typ.run = smooth(typ.run, took as f64);
        typ.hint = smooth(typ.hint, arrival.cost_hint as f64);
        let late = took > patience(typ, arrival);
        let w = &mut self.workers[wk];
        w.done.add(now, typ.run.min((20 * COUNTER_STEP) as f64) as u32); // what it did in the span at most
        w.strain = smooth(w.strain, (took as f64 / target).min(2.0));
        // Learning the in-flight bound: it grows by one for each bound's worth of good answers while it is
        // used, and is cut when latencies near the target time (0.45 did better than 0.6 and 0.7 everywhere).
        if w.strain > 0.45 {
            self.cut(wk);
        } else if f64::from(w.in_flight + 1) > w.bound / 2.0 {
            w.bound = (w.bound + 1.0 / w.bound).min(self.told.held);
        }
        if late {
            self.failed(wk);
        } else if at >= self.workers[wk].out_until {
            // Only an answer to something sent since it was left out restores trust.
            let w = &mut self.workers[wk];
            (w.failures, w.out_span) = (0, 0);
        }
    }

    /// Too much is in flight at this worker: a fifth less, once in a quarter second (a round of answers).
    fn cut(&mut self, wk: usize) {
        // Four in flight from all gateways together keep any worker busy, however slow it has become.
        let (now, least) = (self.now, (4.0 / self.told.siblings).max(1.0));
        let w = &mut self.workers[wk];
        if now > w.cut_at + SECOND / 4 {
            w.bound = (w.bound.min(f64::from(w.in_flight + 1)) * 0.8).max(least);
            w.cut_at = now;
        }
    }

    /// The users' way: a worker is judged by failures in a row. Late answers count, so that slow, hanging,
    /// silent and refusing workers are one symptom. After three it is left out, each time twice as long; it
    /// comes back on trial. Never more than a third of the workers, and none while the gateway sees overload:
    /// then lateness is not theirs, and leaving workers out makes it worse.
    fn failed(&mut self, wk: usize) {
        let (now, overloaded) = (self.now, self.overloaded());
        let all = self.workers.iter().filter(|w| w.listed.state == EndpointState::Active);
        let (count, out) = all.fold((0, 0), |(c, o), w| (c + 1, o + usize::from(w.out_until > now)));
        let w = &mut self.workers[wk];
        w.failures += u32::from(!overloaded);
        let chance = w.failures < 3 && w.out_span == 0; // two late answers in a row are common, three rare
        if !overloaded && !chance && w.out_until <= now && (out + 1) * 3 <= count {
            let span = (w.out_span * 2).clamp(SECOND, 8 * SECOND);
            // The trial comes at its own time, or all gateways would try a worker that is still bad together.
            let until = now + self.spread(span);
            (self.workers[wk].out_span, self.workers[wk].out_until) = (span, until);
        }
    }

    /// A tenth of the events found no room: more than chance, less than a jam.
    fn overloaded(&self) -> bool {
        self.strained.recent(self.now) * 10 > self.arrived.recent(self.now).max(20)
    }

    /// A load report: events in flight and the part of its cores that is busy, 0 where they are not told.
    pub fn load_reported(&mut self, wk: usize, in_flight: f64, busy: f64) {
        let w = &mut self.workers[wk];
        // Busy cores alone say little near one; queueing theory has so many there (1.05: reports are noisy).
        let waits = busy / (1.05 - busy.min(1.0));
        w.seen = if in_flight > 0.0 { in_flight / w.listed.rating.max(0.1) } else { waits };
        w.seen_at = self.now;
    }

    pub fn load_request_ended(&mut self, f: usize, wk: usize, outcome: Outcome, copies: u32) {
        let (now, many) = (self.now, self.told.many);
        let Some(s) = self.seat_of(f, wk) else { return };
        self.show(f, outcome);
        // No room or a failed load: the same order at once would fail again.
        let barred = now + self.spread(if many { 4 * SECOND } else { SECOND / 2 });
        let function = &mut self.functions[f];
        let seat = &mut function.seats[s];
        // An end does not say whether it is an ask's or an order's; asks go first and are answered at once.
        // Each end counts once, so neither stays out for good, whatever a worker says.
        let ask = seat.asks > 0;
        *(if ask { &mut seat.asks } else { &mut seat.pending }) -= u32::from(ask || seat.pending > 0);
        if ask && outcome == Outcome::Ok && copies == 0 {
            return;
        }
        let stood =
            seat.copies == InstanceState::Loaded && matches!(outcome, Outcome::TimedOut | Outcome::Ok);
        if copies > 0 {
            // How long its loads take. It rises at once and falls slowly: one that a sibling ordered before
            // seems shorter than it is.
            if !ask && seat.copies == InstanceState::Loading {
                let took = (now - seat.renewed) as f64;
                function.load = smooth(function.load, took).max(took);
            }
            (seat.copies, seat.renewed) = (InstanceState::Loaded, now);
        } else if !stood && (!ask || seat.pending == 0) {
            seat.copies = InstanceState::Absent;
        }
        seat.barred_until = if copies == 0 { barred } else { seat.barred_until };
        if matches!(outcome, Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut) {
            self.failed(wk);
        }
        if copies > 0 {
            self.look_again(|evt| evt.arrival.function == f);
        }
    }

    pub fn health_check_ended(&mut self, wk: usize, outcome: Outcome) {
        let w = &mut self.workers[wk];
        (w.seen_at, w.probe_at) = (self.now, 0);
        if outcome != Outcome::Ok {
            w.seen = 1e6;
            self.failed(wk);
        }
        self.look_again(|evt| evt.looks.contains(&wk));
    }

    pub fn peer_message_received(&mut self, _peer: u32, _bytes: &[u8]) {}

    pub fn timer_fired(&mut self, token: u64) {
        if token == 1 {
            return if self.told.asks {
                self.host.watch_endpoints(true)
            };
        }
        self.host.set_timer(self.told.sweep, 0);
        (0..self.events.capacity()).for_each(|e| self.check(e));
        self.look_again(|_| true);
        // Counts are checked once a second, the functions spread over the sweeps of it; a sweep that comes
        // late does those of the sweeps that it missed.
        let (slots, sweep) = (SECOND / SWEEP, self.now / SWEEP);
        let from = std::mem::replace(&mut self.checked, sweep).max(sweep.saturating_sub(slots));
        for slot in from + 1..=sweep {
            for f in ((slot % slots) as usize..self.functions.len()).step_by(slots as usize) {
                if self.functions[f].live {
                    self.scale(f, true);
                    self.forget(f);
                }
            }
        }
    }

    /// Events that wait here, oldest first, are tried again.
    fn look_again(&mut self, which: impl Fn(&Request) -> bool) {
        for _ in 0..self.waiting.len() {
            let Some(e) = self.waiting.pop_front() else { return };
            let Some(evt) = self.events.get_mut(e).filter(|evt| evt.waiting) else { continue };
            if !which(evt) {
                self.waiting.push_back(e);
                continue;
            }
            evt.waiting = false;
            self.order(self.events[e].arrival.function);
            self.place(e);
        }
    }

    /// One event in hand: its own time of giving up, and launches that are overdue.
    fn check(&mut self, e: usize) {
        let now = self.now;
        let held = self.events.get(e).filter(|evt| !evt.over && !evt.streaming);
        let Some(evt) = held else { return };
        // The last sweep before the client gives up is the last chance for an answer of our own.
        if now + self.told.sweep + 2 * self.told.tick >= evt.arrival.deadline {
            return self.give_up(e, 0);
        }
        let typ = &self.types[evt.arrival.class];
        let patience = patience(typ, &evt.arrival);
        let arrival = evt.arrival;
        for i in 0..self.events[e].count {
            let Attempt { wk, at, state, .. } = self.events[e].launches[i];
            if state != AttemptState::InFlight || now <= at + patience {
                continue;
            }
            self.events[e].launches[i].state = AttemptState::Overdue;
            self.failed(wk);
            // A further launch goes out beside the late one where that is allowed.
            let worth = self.worth(&arrival);
            if self.told.twice && self.events[e].further < 2 && !self.overloaded() {
                if let Some((s, ..)) = self.choose(arrival.function, e, worth) {
                    self.events[e].further += 1;
                    self.launch(e, s);
                }
            }
        }
    }

    /// State stays bounded: a function that nothing asks for is forgotten when its copies have lapsed.
    fn forget(&mut self, f: usize) {
        let (now, keep) = (self.now, self.told.keep);
        let (function, workers) = (&mut self.functions[f], &self.workers);
        // Guards against machines that are replaced again and again: each would leave a seat to look past.
        let gone = |wk: usize| workers[wk].listed.state == EndpointState::Removed;
        let before = function.seats.len();
        function.seats.retain(|s| !gone(s.wk) || !s.still());
        // An answer that is still to come would be taken for one about the index's next user.
        let idle = function.events == 0 && function.seats.iter().all(Placement::still);
        if idle && function.n == 0 && now > function.last + 2 * keep {
            (function.live, function.seats) = (false, Vec::new());
            self.host.forget_function(f);
        } else if function.seats.len() < before {
            self.fill(f);
        }
    }
}

/// Seats of a function at most, several times what an event looks at: a thousand functions have them.
const SEATS: usize = 128;

/// Where the learned bound starts: a few times what two cores run at once. It stops growing at what a gateway
/// may hold in all: dozens of cores, or runs that mostly wait, take hundreds.
const BOUND_START: f64 = 8.0;

/// How long a probe's answer is waited for, several round trips between zones, and how long it holds.
const LOOK: Time = 20 * MS;
const LOOK_HOLDS: Time = 200 * MS;

/// A worker that would take half an event's target time to get to it is full (tried on reports: the rest is
/// its own run).
const FULL: f64 = 0.5;

/// Reports are not gone by while more than this part of the answers contradicts them (tried: 0.25).
const DOUBT: f64 = 0.15;

/// What looking at two workers before each event brings, of its benefit: 0.02 to 0.08 (with and without, on
/// days of 40 to 300 gateways). Where two probes cost as much there are none, and answers alone tell.
const LOOKS_BRING: f64 = 0.05;

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
    typ.run * if typ.hint > 0.0 && arrival.cost_hint > 0 { arrival.cost_hint as f64 / typ.hint } else { 1.0 }
}

/// The target time as clients show it, longer for much work where the settings say so.
fn wanted(typ: &RequestClass, arrival: &RequestInfo) -> f64 {
    (typ.felt + typ.stretch * arrival.cost_hint as f64).min(typ.age)
}

/// How long a launch may take before it is late: three times the usual for an event of this cost, but early
/// enough for another try within the target time.
fn patience(typ: &RequestClass, arrival: &RequestInfo) -> Time {
    let target = wanted(typ, arrival);
    (3.0 * usual(typ, arrival).max(typ.run)).clamp(target / 4.0, (target - typ.run).max(target / 2.0)) as Time
}

#[cfg(test)]
mod tests;
