//! All decisions of the router, one instance for each gateway. How it is called: `new` with the host, the
//! clock, a seed and the settings; then `clock` before each thing that happens, and one method for each of
//! those: `list`, `list_failed`, `arrive` (after `next_place` named the event's place), `begun`, `ended`,
//! `lapsed`, `timer`, `probed`, `held`, `told`. It acts by calling the `Host` of `src/host.rs` and knows no
//! wire. Workers, functions and events come as small indices. The mechanism is that of docs/design.md; what
//! departs from it is marked "Departure" here and explained there.
use crate::chance::Chance;
use crate::host::{Arrival, Host, Listed, Outcome, Standing, Time};
use crate::state::*;
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};

const MS: Time = 10;
const SECOND: Time = 10_000;

pub type Settings = BTreeMap<String, String>;

/// How often held events are looked at again and launches checked: well under any target time met, and
/// coarse enough to cost little CPU.
const SWEEP: Time = 10 * MS;

/// A step of the counts that slide over twenty of them: the page's two seconds for R.
pub const RATE_STEP: Time = SECOND / 10;

/// More launches than this an event never gets, whatever the settings allow.
pub const MOST_LAUNCHES: usize = 8;

pub struct Choice<H> {
    pub host: H,
    now: Time,
    started: Time,
    chance: Chance,
    settings: Settings,
    types: Vec<EventType>,
    tenants: Vec<Tenant>,
    workers: Vec<Worker>,
    functions: Vec<Function>,
    events: Slab<Evt>,
    waiting: VecDeque<usize>,
    orders: VecDeque<Time>,
    arrivals: VecDeque<Time>,
    arrived: Rate,
    strained: Rate,
    loading: u32,
    load: f64,
    load_strain: f64,
    load_bound: f64,
    load_cut: Time,
}

impl<H: Host> Choice<H> {
    pub fn new(host: H, now: Time, seed: u64, settings: Settings) -> Result<Choice<H>, String> {
        for (key, value) in settings.iter().filter(|s| s.0.ends_with("-ms")) {
            for part in value.split(',') {
                let good = part.parse().is_ok_and(|v: f64| (0.0..1e12).contains(&v));
                good.then_some(()).ok_or_else(|| format!("{key}: '{part}' is not a time"))?;
            }
        }
        let (chance, events) = (Chance::new(seed), Slab::new());
        let (arrived, strained) = (Rate::default(), Rate::default());
        let (workers, functions, types, tenants) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let (waiting, orders, arrivals) = (VecDeque::new(), VecDeque::new(), VecDeque::new());
        let mut choice = Choice {
            host,
            now,
            started: now,
            chance,
            settings,
            types,
            tenants,
            workers,
            functions,
            events,
            waiting,
            orders,
            arrivals,
            arrived,
            strained,
            loading: 0,
            load: 0.0,
            load_strain: 1.0,
            load_bound: BOUND_START,
            load_cut: 0,
        };
        for i in 0..choice.number("classes.count") as usize {
            let key = |name: &str| format!("classes.{i}.{name}");
            let window = choice.span(&key("window-ms"));
            let repeat = match choice.text(&key("semantics")) {
                "read_like" => Repeat::Redeliverable,
                "idempotency_key" => match choice.text(&key("group")) {
                    "all" => Repeat::Keyed(Group::All, window),
                    "zone" => Repeat::Keyed(Group::Zone, window),
                    _ => Repeat::Keyed(Group::Cell, window),
                },
                _ => Repeat::AtMostOnce,
            };
            let (target, benefit) = (choice.span(&key("aim-ms")).max(1), choice.number(&key("worth")));
            // The page's start: a tenth of the target time.
            let (felt, run, late) = (target as f64, target as f64 / 10.0, choice.number(&key("late-worth")));
            choice.types.push(EventType { target, felt, benefit, late, repeat, run, hint: 0.0 });
        }
        for i in 0..choice.number("tenants.count") as usize {
            let quota = choice.number(&format!("tenants.{i}.quota-per-s"));
            choice.tenants.push(Tenant { quota, rate: Rate::default() });
        }
        if choice.is("discovery", "on_request") {
            choice.host.follow(true);
        }
        choice.host.timer(SWEEP, 0);
        Ok(choice)
    }

    fn text(&self, key: &str) -> &str {
        self.settings.get(key).map_or("", String::as_str)
    }

    fn is(&self, key: &str, value: &str) -> bool {
        self.text(key) == value
    }

    fn number(&self, key: &str) -> f64 {
        self.text(key).parse().unwrap_or(0.0)
    }

    /// Milliseconds of the settings, rounded down: spans there are limits.
    fn span(&self, key: &str) -> Time {
        (self.number(key) * MS as f64).floor() as Time
    }

    pub fn clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    pub fn list(&mut self, entries: &[(usize, Listed)], whole: bool) {
        for wk in 0..self.workers.len() {
            if whole && !entries.iter().any(|e| e.0 == wk) {
                self.leave(wk, Standing::Gone);
            }
        }
        for &(wk, listed) in entries {
            if self.workers.len() <= wk {
                self.workers.resize_with(wk + 1, Worker::default);
            }
            let known = self.workers[wk].listed;
            if listed.standing != Standing::On {
                self.leave(wk, listed.standing);
            } else if known.standing != Standing::On || known.since < listed.since {
                // New, restarted or back from the dead: nothing that was learned of it holds; it is empty.
                let in_flight = self.workers[wk].in_flight;
                let luck = f64::from(self.chance.below(1000) + 1) / 1000.0;
                self.workers[wk] =
                    Worker { listed, in_flight, luck, bound: BOUND_START, ..Worker::default() };
                (0..self.functions.len()).for_each(|f| self.seat(f, wk));
            }
        }
    }

    /// A worker that drains or is gone gets nothing more from the moment that this gateway hears of it.
    fn leave(&mut self, wk: usize, standing: Standing) {
        self.workers[wk].listed.standing = standing;
        for s in self.functions.iter_mut().flat_map(|f| &mut f.seats).filter(|s| s.wk == wk) {
            s.copies = Copies::Unknown;
        }
    }

    pub fn list_failed(&mut self) {
        // A subscription may have broken: asking anew is always allowed, at the next timer of its own.
        self.host.timer(SECOND, 1);
    }

    /// The worker's place in the function's shared order: rendezvous hashing of the two id texts, so every
    /// gateway finds the same order whatever it learned first.
    fn seat(&mut self, f: usize, wk: usize) {
        let f = &mut self.functions[f];
        if !f.live {
            return;
        }
        if let Some(s) = f.seats.iter_mut().find(|s| s.wk == wk) {
            // It started anew: empty.
            *s = Seat { wk, flight: s.flight, pending: s.pending, ..Seat::default() };
            return;
        }
        let (hash, workers) = (f.hash, &self.workers);
        let weight = |h: u64| {
            let x = (h ^ hash.rotate_left(32)).wrapping_mul(0x9fb2_1c65_1e98_df25);
            let x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
            (x ^ (x >> 29), h)
        };
        let own = weight(workers[wk].listed.hash);
        let at = f.seats.partition_point(|s| weight(workers[s.wk].listed.hash) > own);
        f.seats.insert(at, Seat { wk, ..Seat::default() });
    }

    fn seat_of(&self, f: usize, wk: usize) -> Option<usize> {
        self.functions.get(f)?.seats.iter().position(|s| s.wk == wk)
    }

    /// The place that the next event will have.
    pub fn next_place(&self) -> usize {
        self.events.vacant_key()
    }

    pub fn arrive(&mut self, arrival: Arrival) {
        let (now, f) = (self.now, arrival.function);
        let e = self.events.insert(Evt { arrival, came: now, ..Evt::default() });
        if self.span("extra.load-window-ms") > 0 {
            self.arrivals.push_back(now);
        }
        self.arrived.add(now, 1);
        self.know(&arrival);
        let function = &mut self.functions[f];
        function.last = now;
        function.events += 1;
        function.rate.add(now, 1);
        self.scale(f, false);
        // A try that ends before the next sweep could answer it, or before half its usual run is over, is
        // answered now: its launch would be wasted work. Guards against storms of late repeats, whatever
        // makes clients repeat; it could turn away an event that is far lighter than it looks.
        let soonest =
            (usual(&self.types[arrival.typ], &arrival) as Time / 2).max(SWEEP + 2 * self.span("tick-ms"));
        if now + soonest >= arrival.gives_up {
            return self.give_up(e);
        }
        self.place(e);
    }

    fn know(&mut self, arrival: &Arrival) {
        let f = arrival.function;
        if self.functions.len() <= f {
            self.functions.resize_with(f + 1, Function::default);
        }
        if self.functions[f].live {
            return;
        }
        // Starting the rotation by chance keeps gateways from marching in step.
        let (hash, turn) = (arrival.function_hash, self.chance.below(64) as usize);
        let (typ, lanes, load) = (arrival.typ, arrival.lanes.max(1), arrival.load_hint as f64);
        self.functions[f] = Function { hash, live: true, typ, lanes, load, turn, ..Function::default() };
        (0..self.workers.len()).for_each(|wk| self.seat(f, wk));
        self.ask(f);
    }

    /// Departure: a function unknown to this gateway may stand anywhere (after a restart of the gateway, at
    /// its start, or by orders of its siblings). Asking costs what a probe costs and nothing of the ration,
    /// so the first twelve of its order are asked once: siblings' copies stand at the head of the shared
    /// order, and in large fleets asking everyone costs more than it finds (tried: all, 12, 8). Copies found
    /// are used until the first n stand.
    fn ask(&mut self, f: usize) {
        if !self.is("extra.orders", "true") {
            return;
        }
        for s in 0..self.functions[f].seats.len().min(12) {
            let wk = self.functions[f].seats[s].wk;
            if self.trusted(wk) {
                self.functions[f].seats[s].asked = true;
                self.host.hold(f, wk, 0);
            }
        }
    }

    /// The page's bounds of one copy, in events a second: (low, up).
    fn bounds(&self, f: usize) -> (f64, f64) {
        let (function, second) = (&self.functions[f], SECOND as f64);
        let typ = &self.types[function.typ];
        let target = typ.target as f64 / second;
        let run = if function.run > 0.0 { function.run / second } else { target / 10.0 };
        let (run, lanes) = (run.clamp(1e-4, target / 2.0), f64::from(function.lanes));
        let low = (1.0 / (target - run)).ceil() * lanes;
        // The floor gives 0, or less than the lower bound, where a run takes over a second: then the lower
        // bound holds for both, and the band is empty.
        (low, ((1.0 / run).floor() * lanes).max(low))
    }

    /// The page's count of copies: above Rmax grow for the excess, inside the alpha band stay, below it give
    /// up one at a check, never the last while events come.
    fn scale(&mut self, f: usize, check: bool) {
        const ALPHA: f64 = 0.8; // the page's
        let (low, up) = self.bounds(f);
        let usable = self.usable(f).count();
        let (now, started, keep) = (self.now, self.started, self.span("extra.stays-loaded-ms"));
        let function = &mut self.functions[f];
        let rate = per_second(function.rate.seen(now, started));
        let n = function.n as f64;
        if rate > n * up {
            // On hosts that add no copies by themselves a worker may have to hold several (16 at most).
            function.n = ((rate / up).ceil() as usize).min(usable.max(1) * 4);
        } else if check && rate < ALPHA * n * low + (1.0 - ALPHA) * n * up && function.n > 1 {
            function.n -= 1;
        } else if check && function.n == 1 && now > function.last + keep {
            function.n = 0;
        }
        self.order(f);
    }

    /// Seats on workers that may be used, in the shared order.
    fn usable(&self, f: usize) -> impl Iterator<Item = usize> + '_ {
        let seats = &self.functions[f].seats;
        (0..seats.len()).filter(move |s| self.fit(f, seats[*s].wk))
    }

    /// Trusted as a worker, and for this function's event type.
    fn fit(&self, f: usize, wk: usize) -> bool {
        let of_type = self.workers[wk].errors.get(self.functions[f].typ);
        self.trusted(wk) && of_type.is_none_or(|e| e.1 <= self.now)
    }

    fn trusted(&self, wk: usize) -> bool {
        self.workers[wk].listed.standing == Standing::On && self.workers[wk].out_until <= self.now
    }

    /// A copy stands as far as is known: a sign of it is younger than the told least keep-alive.
    fn stands(&self, seat: &Seat) -> bool {
        seat.copies == Copies::Standing
            && (seat.flight > 0 || self.now < seat.renewed + self.span("extra.stays-loaded-ms"))
    }

    /// Hold orders: the first n are to have their copies, and copies in use are renewed.
    fn order(&mut self, f: usize) {
        let n = self.functions[f].n;
        let usable = self.usable(f).count();
        let (mut seen, mut s) = (0, 0);
        while s < self.functions[f].seats.len() && seen < n.min(usable) {
            let seat = self.functions[f].seats[s];
            if self.fit(f, seat.wk) {
                let copies = (n - seen).div_ceil(usable);
                seen += 1;
                // Half the keep-alive: one renewal lost still leaves time for another. Use renews by itself.
                let half = self.span("extra.stays-loaded-ms") / 2;
                let stale = self.now > seat.renewed + half && self.now < self.functions[f].last + half;
                if seat.pending == 0 && (seat.copies == Copies::Unknown || stale) {
                    self.hold(f, s, copies as u32, seat.copies == Copies::Unknown);
                }
            }
            s += 1;
        }
    }

    /// Every order to load passes here: drains, the ration, and one order at a time for a seat.
    fn hold(&mut self, f: usize, s: usize, copies: u32, needed: bool) -> bool {
        let (now, seat) = (self.now, self.functions[f].seats[s]);
        let on = self.workers[seat.wk].listed.standing == Standing::On;
        if !self.is("extra.orders", "true") || !on || seat.pending > 0 || seat.barred_until > now {
            return false;
        }
        if needed && f64::from(self.loading) >= self.load_bound {
            return false;
        }
        let window = self.span("extra.load-window-ms");
        if window > 0 {
            // Orders as old as the window still count, events must be younger: the safe way for both.
            while self.orders.front().is_some_and(|t| t + window + 1 < now) {
                self.orders.pop_front();
            }
            while self.arrivals.front().is_some_and(|t| t + window <= now + 1) {
                self.arrivals.pop_front();
            }
            // Orders of a life before a restart may still count, so the free ones come only after a window.
            let free = if now > self.started + window { self.number("extra.free-loads") } else { 0.0 };
            let ration = free + self.number("extra.load-share") * self.arrivals.len() as f64;
            // Renewals leave half the ration to copies that are missing.
            let ration = if needed { ration } else { ration / 2.0 };
            if (self.orders.len() + 1) as f64 > ration {
                return false;
            }
            self.orders.push_back(now);
        }
        let seat = &mut self.functions[f].seats[s];
        seat.pending += 1;
        (seat.ordered, seat.overdue) = (now, false);
        self.loading += 1;
        if seat.copies == Copies::Unknown {
            seat.copies = Copies::Ordered;
        }
        seat.renewed = now;
        let wk = seat.wk;
        self.host.hold(f, wk, copies.clamp(1, 16));
        true
    }

    /// Finds the event a worker, or lets it wait here for a copy, or gives it up at once.
    fn place(&mut self, e: usize) {
        let (arrival, came, out) = (self.events[e].arrival, self.events[e].came, self.events[e].out());
        let (f, now) = (arrival.function, self.now);
        let worth = self.worth(&arrival);
        if let Some(s) = self.choose(f, e, worth) {
            return self.launch(e, s);
        }
        if out > 0 {
            return;
        }
        let function = &self.functions[f];
        let crowded = self.usable(f).take(function.n.max(1)).any(|s| self.stands(&function.seats[s]));
        // With copies that have no room it waits an eighth of the target time at most, in overload half of
        // that, and is given up (tried from 1/2 to 1/16: an early deferral can still be answered elsewhere).
        if crowded
            && now > came + self.types[arrival.typ].felt as Time / if self.overloaded() { 16 } else { 8 }
        {
            self.strained.add(now, 1);
            return self.give_up(e);
        }
        if !std::mem::replace(&mut self.events[e].waiting, true) {
            self.waiting.push_back(e);
        }
    }

    /// Benefit of an event from 0 to 1, against the most that any type brings; less beyond a tenant's share.
    fn worth(&mut self, arrival: &Arrival) -> f64 {
        let most = self.types.iter().fold(0.0, |m, t| t.benefit.max(m));
        let mut worth = self.types[arrival.typ].benefit / most.max(1e-9);
        // One that will hardly be answered within its target time brings what a late answer does.
        let typ = &self.types[arrival.typ];
        if usual(typ, arrival) > typ.felt {
            worth *= typ.late;
        }
        if let Some(t) = arrival.tenant {
            let rate = per_second(self.tenants[t].rate.seen(self.now, self.started));
            if rate * self.number("siblings").max(1.0) > self.tenants[t].quota {
                worth *= self.number("over-share-worth");
            }
        }
        worth
    }

    /// Rotates over the first n: the next one whose copy stands, with lanes and worker below their bounds.
    fn choose(&mut self, f: usize, e: usize, worth: f64) -> Option<usize> {
        let n = self.functions[f].n.max(1);
        let usable = self.usable(f).count();
        let turn = self.functions[f].turn;
        let lanes = self.functions[f].lanes;
        let (mut first, mut beyond) = (None::<(usize, usize)>, None);
        let mut least = None::<(usize, f64)>;
        let heads = n.min(usable).max(1);
        let even = self.even_bound();
        let mut place = 0;
        for s in 0..self.functions[f].seats.len() {
            let seat = self.functions[f].seats[s];
            if !self.fit(f, seat.wk) {
                continue;
            }
            let (at, ready) = (place, self.stands(&seat) || !self.is("extra.if-cold", "miss"));
            place += 1;
            if !ready || seat.shut_until > self.now || !self.may_launch(e, seat.wk) {
                continue;
            }
            let w = &self.workers[seat.wk];
            let own = lanes * n.saturating_sub(at).div_ceil(usable).max(1) as u32;
            let load = f64::from(w.in_flight) / w.bound;
            if seat.flight < own && load < 0.5 + 0.5 * worth && f64::from(w.in_flight) < even {
                // How far round from the turn it stands.
                let round = (at + heads - turn % heads) % heads;
                if at >= heads {
                    beyond = beyond.or(Some(s));
                } else if first.is_none_or(|b| round < b.1) {
                    first = Some((s, round));
                }
            }
            // Departure: with all of the first n above their bounds, the event of most benefit may still go
            // to the least crowded; the others sooner find no room.
            let crowd = load.max(f64::from(seat.flight) / f64::from(own) / 2.0);
            if at < heads && crowd < 0.6 + 0.5 * worth && least.is_none_or(|l| crowd < l.1) {
                least = Some((s, crowd));
            }
        }
        if let Some((s, round)) = first {
            self.functions[f].turn = turn % heads + round + 1;
            return Some(s);
        }
        // Departure: copies known to stand beyond the first n are used before the first n are overfilled.
        beyond.or(least.map(|l| l.0))
    }

    /// Departure: the in-flight bound that the page leaves open also covers all functions of a worker
    /// together: three quarters of the workers' mean (tried: 1.25, 1, 0.75; evener was better) and one, so
    /// that small numbers do not bind. Lanes alone let the homes of hot functions jam while others idle.
    fn even_bound(&self) -> f64 {
        let on = self.workers.iter().filter(|w| w.listed.standing == Standing::On);
        let (count, sum) = on.fold((0u32, 0), |(c, s), w| (c + 1, s + w.in_flight));
        0.75 * f64::from(sum) / f64::from(count.max(1)) + 1.0
    }

    /// The rules for one more launch of this event at this worker; every launch passes here.
    fn may_launch(&self, e: usize, wk: usize) -> bool {
        let evt = &self.events[e];
        let w = &self.workers[wk];
        let open = !evt.over && !evt.streaming && self.now + self.span("tick-ms") < evt.arrival.gives_up;
        let alone = evt.out() == 0 || self.is("allowed.may-duplicate", "true");
        // Not again to a worker that has it or has failed it; after a miss it may go back.
        let again = evt.sent().iter().any(|l| l.wk == wk && l.state != State::ProvenNotRun);
        if !open || !alone || again || w.listed.standing != Standing::On || self.launches_left(e) == 0 {
            return false;
        }
        let unproven = || evt.sent().iter().filter(|l| l.state != State::ProvenNotRun);
        let allowed = match self.types[evt.arrival.typ].repeat {
            Repeat::Redeliverable => true,
            Repeat::AtMostOnce => evt.proven_not_run(),
            Repeat::Keyed(group, window) => unproven().all(|l| {
                let o = &self.workers[l.wk];
                let near = match group {
                    Group::All => true,
                    Group::Zone => o.listed.zone == w.listed.zone,
                    Group::Cell => o.listed.cell == w.listed.cell,
                };
                near && self.now + self.span("tick-ms") < l.at + window
            }),
        };
        allowed && self.cold_room(wk, evt.arrival.typ)
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
        let warm = |o: &&Worker| o.listed.standing == Standing::On && self.cold_part(o).is_none();
        let sum =
            |(n, work): (f64, f64), o: &Worker| (n + 1.0, work + f64::from(o.done.recent(self.now)) / 2.0);
        let (count, work) = self.workers.iter().filter(warm).fold((0.0, 0.0), sum);
        let (weight, window) = (self.types[typ].run, self.span("rules.overload-for-ms"));
        let used: f64 = w.budget.iter().filter(|b| b.0 + window >= self.now).map(|b| b.1).sum();
        let share = SHARE * self.number("rules.tip-multiple") * part;
        let room = share * work / f64::max(count, 1.0) * window as f64 / SECOND as f64;
        used + w.luck * weight <= room
    }

    /// How warm a worker is at the least, None when it is warm.
    fn cold_part(&self, w: &Worker) -> Option<f64> {
        let (age, cold) = (self.now.saturating_sub(w.listed.since), self.span("rules.cold-ms"));
        let from = self.number("rules.cold-from");
        (w.listed.since > 0 && age < cold).then(|| from + (1.0 - from) * age as f64 / cold as f64)
    }

    fn launch(&mut self, e: usize, s: usize) {
        let (now, window) = (self.now, self.span("rules.overload-for-ms"));
        let evt = &mut self.events[e];
        let function = &mut self.functions[evt.arrival.function];
        let seat = &mut function.seats[s];
        let weight = self.types[evt.arrival.typ].run;
        let w = &mut self.workers[seat.wk];
        evt.launches[evt.count] = Launch { wk: seat.wk, at: now, state: State::Out };
        evt.count += 1;
        evt.waiting = false;
        seat.flight += 1;
        w.in_flight += 1;
        if w.listed.since > 0 {
            while w.budget.front().is_some_and(|b| b.0 + window < now) {
                w.budget.pop_front();
            }
            w.budget.push_back((now, weight));
        }
        // A tenant's share is used by what is launched for it; a storm of repeats alone does not use it up.
        if let Some(t) = evt.arrival.tenant.filter(|_| evt.count == 1) {
            self.tenants[t].rate.add(now, 1);
        }
        self.host.launch(e, seat.wk, 0);
    }

    /// A final answer of our own, at once: a deferral where that is harmless, else a dead letter.
    fn give_up(&mut self, e: usize) {
        let overloaded = self.overloaded();
        let evt = &mut self.events[e];
        if evt.over || evt.streaming {
            return;
        }
        let harmless = match self.types[evt.arrival.typ].repeat {
            Repeat::Redeliverable | Repeat::Keyed(Group::All, _) => true,
            Repeat::Keyed(..) | Repeat::AtMostOnce => evt.proven_not_run(),
        };
        // Departure: in overload R is of events taken on. One deferred unlaunched comes again as another,
        // and retries would swell R so that failures buy copies (the page's own objection).
        if evt.count == 0 && overloaded {
            self.functions[evt.arrival.function].rate.take_back(evt.came);
        }
        if harmless {
            // Spread over half to all of a tenth of the target time, so that those deferred together do not
            // come back together, and come in time (a quarter, and the longest allowed, did worse).
            let target = self.types[evt.arrival.typ].target;
            let told = self.is("allowed.retry-after", "true");
            let longest = if told { self.span("allowed.max-retry-after-ms") } else { 0 };
            let wait = (target / 10).min(longest) as u32;
            let wait = wait / 2 + self.chance.below(wait / 2 + 1);
            self.host.defer(e, Time::from(wait));
        } else {
            self.host.dead_letter(e);
        }
        self.conclude(e);
    }

    /// The event has its final answer: what is still out is called off.
    fn conclude(&mut self, e: usize) {
        let evt = &mut self.events[e];
        if !std::mem::replace(&mut evt.over, true) {
            let f = evt.arrival.function;
            self.functions[f].events -= 1;
        }
        let evt = &mut self.events[e];
        evt.waiting = false;
        if !evt.streaming {
            self.call_off(e, MOST_LAUNCHES);
        }
        self.release(e);
    }

    fn release(&mut self, e: usize) {
        if self.events[e].over && self.events[e].out() == 0 {
            self.events.remove(e);
            self.host.release(e);
        }
    }

    pub fn begun(&mut self, e: usize, launch: usize) {
        let Some(evt) = self.events.get_mut(e) else { return };
        evt.streaming = true;
        self.call_off(e, launch);
    }

    /// Calls off what is still out, but for one launch.
    fn call_off(&mut self, e: usize, but: usize) {
        for i in 0..self.events[e].count {
            let state = self.events[e].launches[i].state;
            if i != but && matches!(state, State::Out | State::Overdue) && self.is("allowed.cancel", "true") {
                self.events[e].launches[i].state = State::Cancelled;
                self.host.cancel(e, i);
            }
        }
    }

    pub fn lapsed(&mut self, e: usize) {
        let Some(evt) = self.events.get(e).filter(|evt| !evt.over) else { return };
        // Clients that leave early, unannounced, want their answers before that: latencies are judged by it.
        // One leaving moves it eight times as far as an answer moves it back, so a few in a hundred do not
        // matter. Where they leave for a reason of their own, it only makes the bounds tighter.
        let (age, typ) = ((self.now - evt.came) as f64, &mut self.types[evt.arrival.typ]);
        if self.now + SWEEP < evt.arrival.gives_up && age < typ.felt {
            typ.felt = smooth(typ.felt, age);
        }
        self.conclude(e);
    }

    pub fn ended(&mut self, e: usize, launch: usize, how: (Outcome, Time), over: bool, note: u32) {
        let (outcome, took) = how;
        let Some(evt) = self.events.get_mut(e) else { return };
        if launch >= evt.count || !is_out(evt.launches[launch].state) {
            return;
        }
        let Launch { wk, at, state } = evt.launches[launch];
        let proven = matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::Moot | Outcome::Miss);
        evt.launches[launch].state = if proven { State::ProvenNotRun } else { State::MayHaveRun };
        let arrival = evt.arrival;
        let (f, now) = (arrival.function, self.now);
        self.workers[wk].in_flight -= 1;
        let s = self.seat_of(f, wk).expect("a launch that is out keeps its function's seat");
        self.functions[f].seats[s].flight -= 1;
        match outcome {
            Outcome::Ok => self.answered(wk, s, &arrival, at, took, note & 7),
            Outcome::Miss => {
                // The page: reissue the order to that worker, and try another of the first n. A worker beyond
                // the first n was only used because a copy was thought to stand there.
                let head = self.usable(f).take(self.functions[f].n.max(1)).any(|h| h == s);
                let seat = &mut self.functions[f].seats[s];
                if seat.copies == Copies::Standing {
                    seat.copies = Copies::Unknown;
                }
                if head {
                    self.hold(f, s, 1, true);
                }
            }
            Outcome::Full => {
                self.strained.add(now, 1);
                // Neither the queue nor the memory of a full worker frees faster than events end.
                self.functions[f].seats[s].shut_until = now + self.types[arrival.typ].run as Time / 2;
                self.cut(wk);
            }
            Outcome::Error => self.erred(wk, arrival.typ),
            Outcome::TimedOut | Outcome::NoConnection | Outcome::Reset => {
                if state == State::Out {
                    self.failed(wk);
                }
            }
            Outcome::Cancelled | Outcome::Moot => {}
        }
        let evt = &self.events[e];
        if over || evt.over {
            return self.conclude(e);
        }
        if evt.out() > 0 {
            return;
        }
        let again = match outcome {
            Outcome::Miss => true,
            // The users' way: up to two further launches, none while this gateway sees overload.
            _ => evt.further < 2 && !self.overloaded(),
        };
        let evt = &mut self.events[e];
        evt.further += u32::from(outcome != Outcome::Miss);
        let lost = self.types[arrival.typ].repeat == Repeat::AtMostOnce && !evt.proven_not_run();
        if again && !lost && self.launches_left(e) > 0 {
            self.place(e);
        } else {
            self.give_up(e);
        }
    }

    fn launches_left(&self, e: usize) -> usize {
        let most = self.number("allowed.max-attempts") as usize;
        most.min(MOST_LAUNCHES).saturating_sub(self.events[e].count)
    }

    /// What a good answer teaches. `warm` is 1 where a copy stood, 0 where that is not told.
    fn answered(&mut self, wk: usize, s: usize, arrival: &Arrival, at: Time, took: Time, warm: u32) {
        let (now, f) = (self.now, arrival.function);
        let typ = &mut self.types[arrival.typ];
        let (target, function) = (typ.felt, &mut self.functions[f]);
        typ.felt += (typ.target as f64 - typ.felt) / 64.0;
        (function.seats[s].copies, function.seats[s].renewed) = (Copies::Standing, now);
        if warm > 1 {
            return;
        }
        function.run = if function.run > 0.0 { smooth(function.run, took as f64) } else { took as f64 };
        typ.run = smooth(typ.run, took as f64);
        typ.hint = smooth(typ.hint, arrival.hint as f64);
        let late = took > patience(typ, arrival);
        let w = &mut self.workers[wk];
        w.done.add(now, typ.run as u32);
        if let Some(errors) = w.errors.get_mut(arrival.typ) {
            errors.0 = 0;
        }
        w.strain = smooth(w.strain, (took as f64 / target).min(2.0));
        // Learning the in-flight bound: it grows by one for each bound's worth of good answers while it is
        // used, and is cut when latencies near the target time (0.45 did better than 0.6 and 0.7 everywhere).
        if w.strain > 0.45 {
            self.cut(wk);
        } else if f64::from(w.in_flight + 1) > w.bound / 2.0 {
            w.bound = (w.bound + 1.0 / w.bound).min(BOUND_MOST);
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
        let (now, least) = (self.now, (4.0 / self.number("siblings").max(1.0)).max(1.0));
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
        const IN_A_ROW: u32 = 3; // chance makes two late answers in a row common, three rare
        let (now, overloaded) = (self.now, self.overloaded());
        let all = self.workers.iter().filter(|w| w.listed.standing == Standing::On);
        let (count, out) = all.fold((0, 0), |(c, o), w| (c + 1, o + usize::from(w.out_until > now)));
        let w = &mut self.workers[wk];
        w.failures += u32::from(!overloaded);
        if overloaded
            || w.out_until > now
            || (w.failures < IN_A_ROW && w.out_span == 0)
            || (out + 1) * 3 > count
        {
            return;
        }
        w.out_span = (w.out_span * 2).clamp(SECOND, 8 * SECOND);
        w.out_until = now + w.out_span;
    }

    /// The same way for one event type: a worker may answer one type with errors and do the rest well, so
    /// that its failures are never in a row. Guards against a bad release of one type's programs. Two, since
    /// errors are not a matter of load; half the workers at most, or a type whose events are at fault
    /// themselves would find none.
    fn erred(&mut self, wk: usize, typ: usize) {
        let (now, types) = (self.now, self.types.len());
        let bad = self.workers.iter().filter(|w| w.errors.get(typ).is_some_and(|e| e.1 > now)).count();
        let count = self.workers.iter().filter(|w| w.listed.standing == Standing::On).count();
        let w = &mut self.workers[wk];
        w.errors.resize(types, (0, 0));
        let (errors, until) = &mut w.errors[typ];
        *errors += 1;
        if *errors >= 2 && (bad + 1) * 2 <= count {
            *until = now + (SECOND << (*errors - 2).min(3));
        }
    }

    fn overloaded(&mut self) -> bool {
        let now = self.now;
        self.arrived.turn(now);
        self.strained.turn(now);
        // A tenth of the events without room: more than chance, less than a jam.
        self.strained.sum * 10 > self.arrived.sum.max(20)
    }

    pub fn reported(&mut self, _wk: usize, _report: &[(&str, f64)]) {}

    pub fn held(&mut self, f: usize, wk: usize, outcome: Outcome, took: Time, copies: u32) {
        let now = self.now;
        let Some(s) = self.seat_of(f, wk) else { return };
        let function = &mut self.functions[f];
        let seat = &mut function.seats[s];
        // An ask is answered at once, and only where nothing else is known does its answer count.
        if std::mem::take(&mut seat.asked) {
            if outcome == Outcome::Ok && copies > 0 {
                (seat.copies, seat.renewed) = (Copies::Standing, now);
            }
            if !function.seats.iter().any(|s| s.asked) || copies > 0 {
                self.look_again(Some(f));
            }
            return;
        }
        if seat.pending > 0 {
            seat.pending -= 1;
            self.loading -= u32::from(!std::mem::take(&mut seat.overdue));
        }
        let usual_load = function.load;
        if copies > 0 {
            seat.copies = Copies::Standing;
        } else if seat.copies != Copies::Standing || outcome != Outcome::TimedOut {
            seat.copies = Copies::Unknown;
        }
        if outcome != Outcome::Ok {
            // No room or a failed load: the same order at once would fail again.
            seat.barred_until = now + SECOND / 2;
        }
        self.loaded(outcome, took, usual_load);
        if matches!(outcome, Outcome::Reset | Outcome::NoConnection | Outcome::TimedOut) {
            self.failed(wk);
        }
        if copies > 0 {
            self.look_again(Some(f));
        }
    }

    /// Learning how many loads the shared store takes at once, as workers' bounds are learned: load times
    /// well over the usual, or failures, show that it is crowded. Guards against our own orders pushing it
    /// over, and against churn where memory is short; so it is strict in overload (1.1 times), and lenient
    /// else (1.5): many programs released anew need many loads at once, which a strict bound would delay.
    fn loaded(&mut self, outcome: Outcome, took: Time, told: f64) {
        if outcome == Outcome::Ok && took < 20 * MS {
            return; // it stood
        }
        let (took, failed) = (took as f64, outcome != Outcome::Ok);
        self.load = if self.load > 0.0 { self.load + (took - self.load) / 64.0 } else { took };
        let ratio = took / if told > 0.0 { told } else { self.load };
        self.load_strain = smooth(self.load_strain, if failed { 2.0 } else { ratio });
        if self.load_strain < if self.overloaded() { 1.1 } else { 1.5 } {
            self.load_bound = (self.load_bound + 1.0 / self.load_bound).min(BOUND_MOST);
        } else if self.now > self.load_cut + SECOND / 2 {
            self.load_bound = (self.load_bound.min(f64::from(self.loading + 1)) * 0.7).max(2.0);
            self.load_cut = self.now;
        }
    }

    pub fn probed(&mut self, _wk: usize, _outcome: Outcome, _took: Time) {}

    pub fn told(&mut self, _peer: u32, _bytes: &[u8]) {}

    pub fn timer(&mut self, token: u64) {
        if token == 1 {
            if self.is("discovery", "on_request") {
                self.host.follow(true);
            }
            return;
        }
        self.host.timer(SWEEP, 0);
        for e in 0..self.events.capacity() {
            if self.events.contains(e) {
                self.check(e);
            }
        }
        self.look_again(None);
        // Counts are checked once a second, the functions spread over the sweeps of it.
        let slots = (SECOND / SWEEP) as usize;
        let slot = (self.now / SWEEP) as usize % slots;
        for f in (slot..self.functions.len()).step_by(slots) {
            if self.functions[f].live {
                self.overdue(f);
                self.scale(f, true);
                self.forget(f);
            }
        }
    }

    /// Events that wait here, oldest first, are tried again.
    fn look_again(&mut self, only: Option<usize>) {
        for _ in 0..self.waiting.len() {
            let Some(e) = self.waiting.pop_front() else { return };
            let Some(evt) = self.events.get_mut(e).filter(|evt| evt.waiting) else {
                continue;
            };
            if only.is_some_and(|f| f != evt.arrival.function) {
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
        let evt = &self.events[e];
        if evt.over || evt.streaming {
            return;
        }
        // The last sweep before the client gives up is the last chance for an answer of our own.
        if now + SWEEP + 2 * self.span("tick-ms") >= evt.arrival.gives_up {
            return self.give_up(e);
        }
        let typ = &self.types[evt.arrival.typ];
        let patience = patience(typ, &evt.arrival);
        let arrival = evt.arrival;
        for i in 0..self.events[e].count {
            let Launch { wk, at, state } = self.events[e].launches[i];
            if state != State::Out || now <= at + patience {
                continue;
            }
            self.events[e].launches[i].state = State::Overdue;
            self.failed(wk);
            // A further launch goes out beside the late one where that is allowed.
            let worth = self.worth(&arrival);
            if self.is("allowed.may-duplicate", "true") && self.events[e].further < 2 && !self.overloaded() {
                if let Some(s) = self.choose(arrival.function, e, worth) {
                    self.events[e].further += 1;
                    self.launch(e, s);
                }
            }
        }
    }

    /// An order that takes four times the usual load time (a second at the least) is a failure of its worker
    /// and no longer counts against the store: a silent worker answers only after the order's own time-out,
    /// and a few of them would stop all loads elsewhere. Guards against silent, hanging and jammed workers;
    /// where the whole store stands still, the limit of loads falls by failures as before.
    fn overdue(&mut self, f: usize) {
        let function = &self.functions[f];
        let usual = if function.load > 0.0 { function.load } else { self.load };
        let longest = ((4.0 * usual) as Time).max(SECOND);
        for s in 0..self.functions[f].seats.len() {
            let seat = &mut self.functions[f].seats[s];
            if seat.pending > 0 && !seat.overdue && self.now > seat.ordered + longest {
                (seat.overdue, seat.copies) = (true, Copies::Unknown);
                let wk = seat.wk;
                self.loading -= 1;
                self.failed(wk);
            }
        }
    }

    /// State stays bounded: a function that nothing asks for is forgotten when its copies have lapsed.
    fn forget(&mut self, f: usize) {
        let (now, keep) = (self.now, self.span("extra.stays-loaded-ms"));
        let function = &mut self.functions[f];
        let idle = function.events == 0 && function.seats.iter().all(|s| s.flight == 0 && s.pending == 0);
        if idle && function.n == 0 && now > function.last + 2 * keep {
            function.live = false;
            function.seats.clear();
            self.host.forget(f);
        }
    }
}

/// Where the learned bound starts and where it stops growing: a few times what two cores run at once, and
/// far above what any worker's queue was seen to take.
const BOUND_START: f64 = 8.0;
const BOUND_MOST: f64 = 64.0;

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
fn usual(typ: &EventType, arrival: &Arrival) -> f64 {
    typ.run * if typ.hint > 0.0 && arrival.hint > 0 { arrival.hint as f64 / typ.hint } else { 1.0 }
}

/// How long a launch may take before it is late: three times the usual for an event of this cost, but early
/// enough for another try within the target time.
fn patience(typ: &EventType, arrival: &Arrival) -> Time {
    let target = typ.felt;
    (3.0 * usual(typ, arrival).max(typ.run)).clamp(target / 4.0, (target - typ.run).max(target / 2.0)) as Time
}

#[cfg(test)]
mod tests;
