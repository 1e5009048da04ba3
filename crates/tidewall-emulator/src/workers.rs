//! Emulated workers: memory, lanes, a queue, run times, loads from the artifact store, misses, unloading of
//! idle instances, a slow start with failure under overload, repeats dropped within the scope and window of
//! an idempotency key, drains, and stale load reports.
use crate::{timer_kind, Context, Owner};
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tidewall_audit::rows::{Kind, Row, ATTEMPTS_PER_REQUEST};
use tidewall_config::Section;
use tidewall_failover::leadership::{Fencing, Leadership, LeadershipAcceptor};
use tidewall_lease::assignment::checksum;
use tidewall_net::{Conn, Listener, Net, Time, TimerId};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame};

/// State of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerStatus {
    Active,
    Draining,
    Gone,
}

/// An idempotency key as it came; empty for an attempt without one.
type IdempotencyKey = Box<[u8]>;

/// A launch attempt at a worker, queued or running.
struct Attempt {
    conn: Conn,
    id: u64,
    request_id: u64,
    function: usize,
    work: f64,
    idempotency_key: IdempotencyKey,
    arrived_at: Time,
    running: bool,
    /// The `copy` field of the response: 1 if an instance was loaded when the attempt arrived, 3 if it waited
    /// for one.
    instance_state: u64,
    /// Attempts at the same function that were running or queued when this one arrived.
    concurrent_attempts: u64,
    deadline: Option<TimerId>,
}

/// The instances of one function at a worker.
#[derive(Default)]
struct Instances {
    loaded: u64,
    loading: u64,
    running: u32,
    waiting: VecDeque<usize>,
    idle_since: Time,
    /// Load requests, as connection, id and number of instances that they wait for.
    load_requests: Vec<(Conn, u64, u64)>,
}

pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    pub zone: usize,
    pub machine_kind: String,
    cores: f64,
    speed: f64,
    memory: f64,
    max_queued: usize,
    max_loads: usize,
    pub listener: Option<Listener>,
    pub up: bool,
    pub draining: bool,
    pub fell_over: bool,
    pub incarnation: u64,
    /// Time of the last start; 0 if the worker was warm from the beginning.
    pub started_at: Time,
    pub hung_until: Time,
    pub silent_until: Time,
    pub slowdown: f64,
    pub stale_reports: bool,
    gateways: Vec<(Conn, usize)>,
    /// Connections of a failover pair's members, with the member's number, counted from 1.
    members: Vec<(Conn, usize)>,
    /// Attempts that ended while the worker was silent, so that their end was never sent.
    unsent_ends: Vec<(Conn, u64)>,
    /// Voter state for a failover pair; it survives restarts of the worker.
    acceptor: LeadershipAcceptor,
    /// The highest epoch that took effect here, by task; it survives restarts, as the voter state does.
    epochs: BTreeMap<u64, u64>,
    artifact_store: Option<Conn>,
    /// Whether that connection is open.
    artifact_store_ready: bool,
    attempts: Slab<Attempt>,
    instances: BTreeMap<usize, Instances>,
    /// Functions of the loads in progress; the key is part of the id of a fetch at the artifact store.
    loads: Slab<usize>,
    busy_lanes: u32,
    waiting: usize,
    recent_work: VecDeque<(Time, f64)>,
    reports: VecDeque<(Time, f64, f64)>,
}

pub struct Workers {
    pub list: Vec<Worker>,
    artifact_store_address: SocketAddr,
    /// Whether a worker without an instance of the function ends an attempt as a miss; else it loads one.
    reports_misses: bool,
    /// Minimum time for which an idle instance stays loaded.
    keep_loaded: Time,
    /// Duration of the slow start, and the share of the capacity at its beginning.
    slow_start: (Time, f64),
    /// Window and multiple of the capacity at which a worker in slow start falls over.
    overload: (Time, f64),
    report_in_flight: bool,
    report_busy: bool,
    report_with_responses: bool,
    windows: Vec<Time>,
    /// Whether a request type's idempotency keys hold in all zones; those are kept with the first zone's.
    all_zones: Vec<bool>,
    /// By zone, the idempotency keys that its workers know, with the time of the first run.
    known_keys: Vec<BTreeMap<IdempotencyKey, Time>>,
    pub loads: u64,
    pub misses: u64,
    pub repeats: u64,
    /// Workers that fell over and were not yet reported to the discovery server.
    pub unreported_falls: Vec<usize>,
    /// Whether the epochs of a failover pair are checked; turned off only to show that the audit notices it.
    pub checks_epochs: bool,
    pub forgets_votes: bool,
    /// Maximum age of the ticket that an effect of a task carries.
    max_ticket_age: Time,
    /// Whether the epochs of fleet-wide tasks are checked.
    pub checks_task_epochs: bool,
    /// Attempts refused because their member of a pair no longer serves.
    pub fenced: u64,
}

/// Interval at which idle instances are unloaded and expired idempotency keys are removed.
const IDLE_CHECK_INTERVAL: Time = 2_500;

/// Age of the load report that a worker sends under the fault of late reports.
const STALE_REPORT_AGE: Time = 10_000;

impl Workers {
    pub fn new<N: Net>(
        context: &mut Context<N>,
        settings: &Section,
        fleet: &Section,
        artifact_store_address: SocketAddr,
    ) -> Result<Workers, String> {
        let (rules, loading) = (settings.section("rules"), settings.section("loading"));
        let (reports, zones) = (settings.section("reports"), settings.strings("zone"));
        let mut list = Vec::new();
        for group in fleet.sections("workers") {
            let machine_kind = settings
                .sections("kind")
                .into_iter()
                .find(|k| k.text("name") == group.text("kind"));
            for i in 0..group.integer("count") {
                let address: SocketAddr = ([127, 0, 0, 1], 0).into();
                let (listener, address) = context
                    .net
                    .listen(address)
                    .map_err(|e| format!("{address}: worker: {e}"))?;
                let name = format!("{}{i}", group.text("name"));
                let zone = zones
                    .iter()
                    .position(|z| *z == group.text("zone"))
                    .unwrap_or(0);
                let (cores, speed) = (group.number("cores"), group.number("speed"));
                context.endpoints.push((
                    name.clone(),
                    address,
                    zone,
                    group.text("kind"),
                    cores * speed,
                ));
                list.push(Worker {
                    name,
                    address,
                    zone,
                    machine_kind: group.text("kind"),
                    cores,
                    speed,
                    memory: machine_kind.as_ref().map_or(0.0, |m| m.number("memory_mb")),
                    max_queued: group.integer("queue") as usize,
                    max_loads: group.integer("loads") as usize,
                    listener: Some(listener),
                    up: true,
                    draining: false,
                    fell_over: false,
                    incarnation: 1,
                    started_at: 0,
                    hung_until: 0,
                    silent_until: 0,
                    slowdown: 1.0,
                    stale_reports: false,
                    gateways: Vec::new(),
                    members: Vec::new(),
                    unsent_ends: Vec::new(),
                    acceptor: LeadershipAcceptor::default(),
                    epochs: BTreeMap::new(),
                    artifact_store: None,
                    artifact_store_ready: false,
                    attempts: Slab::new(),
                    instances: BTreeMap::new(),
                    loads: Slab::new(),
                    busy_lanes: 0,
                    waiting: 0,
                    recent_work: VecDeque::new(),
                    reports: VecDeque::new(),
                });
            }
        }
        let now = context.net.now();
        context
            .net
            .set_timer(now + IDLE_CHECK_INTERVAL, timer_kind::UNLOAD_IDLE);
        Ok(Workers {
            list,
            artifact_store_address,
            reports_misses: loading.flag("miss"),
            keep_loaded: loading.duration("stays_loaded_ms"),
            slow_start: (rules.duration("cold_ms"), rules.number("cold_from")),
            overload: (rules.duration("fall_ms"), rules.number("fall_multiple")),
            report_in_flight: reports.flag("in_flight"),
            report_busy: reports.flag("busy"),
            report_with_responses: reports.flag("with_answers"),
            windows: settings
                .sections("event_type")
                .iter()
                .map(|t| t.duration("window_ms"))
                .collect(),
            all_zones: settings
                .sections("event_type")
                .iter()
                .map(|t| t.enum_value("group") == "ALL")
                .collect(),
            known_keys: vec![BTreeMap::new(); zones.len()],
            loads: 0,
            misses: 0,
            repeats: 0,
            unreported_falls: Vec::new(),
            checks_epochs: true,
            forgets_votes: false,
            max_ticket_age: settings.section("fleet_common").duration("ticket_ms"),
            checks_task_epochs: true,
            fenced: 0,
        })
    }

    pub fn accepted<N: Net>(&mut self, context: &mut Context<N>, worker: usize, conn: Conn) {
        context.set_owner(conn, Owner::Worker(worker));
        let state = &mut self.list[worker];
        state.gateways.push((conn, usize::MAX));
        if context.net.now() < state.hung_until {
            context.net.set_read_paused(conn, true);
        }
    }

    pub fn handle_frame<N: Net>(
        &mut self,
        context: &mut Context<N>,
        worker: usize,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), String> {
        let state = &mut self.list[worker];
        let Some(gateway) = state.gateways.iter_mut().find(|c| c.0 == conn) else {
            return Ok(());
        };
        let gateway = match fields.kind()? {
            kind::HELLO => {
                wire::greeted(fields)?;
                gateway.1 = fields.whole(Field::Life)? as usize;
                let member = fields.upto(Field::Member, 2, 0)? as usize;
                if member > 0 {
                    state.members.push((conn, member));
                }
                let age = if state.started_at > 0 {
                    (context.net.now() - state.started_at).max(1)
                } else {
                    0
                };
                context.buffer.clear();
                let f = Frame::new(&mut context.buffer, kind::HELLO)
                    .whole(Field::Version, wire::VERSION);
                let f = f.text(Field::Role, "worker").text(Field::Name, &state.name);
                f.whole(Field::Life, state.incarnation)
                    .whole(Field::Age, age)
                    .end();
                context.net.write(conn, &context.buffer);
                return Ok(());
            }
            _ => gateway.1,
        };
        match fields.kind()? {
            kind::PREPARE | kind::ACCEPT => self.handle_vote(context, worker, conn, fields),
            kind::TICKET => {
                // The time of the worker's own clock: only the worker interprets it.
                let now = context.net.now();
                if now >= self.list[worker].silent_until {
                    context.buffer.clear();
                    Frame::new(&mut context.buffer, kind::TICKET)
                        .whole(Field::Ticket, now)
                        .end();
                    context.net.write(conn, &context.buffer);
                }
                Ok(())
            }
            kind::ACT => self.handle_task_effect(context, worker, conn, fields),
            kind::LAUNCH => self.launch(context, worker, conn, gateway, fields),
            kind::CANCEL => {
                let id = fields.whole(Field::Id)?;
                // A running attempt continues; a queued one is dropped.
                let state = &mut self.list[worker];
                let found = state
                    .attempts
                    .iter()
                    .find(|r| r.1.id == id && r.1.conn == conn && !r.1.running);
                if let Some(key) = found.map(|r| r.0) {
                    let function = state.attempts[key].function;
                    state
                        .instances
                        .entry(function)
                        .or_default()
                        .waiting
                        .retain(|k| *k != key);
                    state.waiting -= 1;
                    self.finish(context, worker, key, "cancelled", 0);
                }
                Ok(())
            }
            kind::HOLD => {
                let (id, wanted) = (fields.whole(Field::Id)?, fields.upto(Field::Copies, 16, 0)?);
                let name = fields.text(Field::Function)?;
                if !self.may_send(worker, conn, fields)? {
                    self.answer_load_request(context, worker, conn, id, "fenced", 0);
                    return Ok(());
                }
                context.record_row(Row {
                    kind: Kind::Ordered,
                    gateway,
                    worker,
                    instances: wanted,
                    ..Row::default()
                });
                let function = context.functions.iter().position(|p| p.name == name);
                match function {
                    Some(function) => {
                        self.handle_load_request(context, worker, conn, id, function, wanted)
                    }
                    None => self.answer_load_request(context, worker, conn, id, "error", 0),
                }
                Ok(())
            }
            kind::UNLOAD => {
                let name = fields.text(Field::Function)?;
                let function = context.functions.iter().position(|p| p.name == name);
                if let Some(instances) =
                    function.and_then(|p| self.list[worker].instances.get_mut(&p))
                {
                    if instances.running == 0 {
                        instances.loaded = 0;
                    }
                }
                Ok(())
            }
            kind::PROBE => {
                let id = fields.whole(Field::Id)?;
                let (in_flight, busy) = self.load_report(context.net.now(), worker);
                if context.net.now() >= self.list[worker].silent_until {
                    context.buffer.clear();
                    let f = Frame::new(&mut context.buffer, kind::PROBED).whole(Field::Id, id);
                    self.with_load_report(f, in_flight, busy).end();
                    context.net.write(conn, &context.buffer);
                }
                Ok(())
            }
            kind::ERROR => Ok(()),
            other => Err(format!("field kind: {other} is not for a worker")),
        }
    }

    /// Whether the sender may still send: it is no member of a failover pair, or its epoch is not fenced.
    fn may_send(&self, worker: usize, conn: Conn, fields: &Fields) -> Result<bool, String> {
        let state = &self.list[worker];
        let member = state.members.iter().find(|m| m.0 == conn).map(|m| m.1);
        let epoch = fields.upto(Field::Epoch, u64::MAX, 0)?;
        Ok(!self.checks_epochs || member.is_none_or(|m| state.acceptor.permits(m - 1, epoch)))
    }

    /// Handles a prepare or accept of a failover pair, and replies with what is promised and accepted here.
    fn handle_vote<N: Net>(
        &mut self,
        context: &mut Context<N>,
        worker: usize,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), String> {
        let (id, ballot) = (fields.whole(Field::Id)?, fields.whole(Field::Ballot)?);
        let whole = |field| fields.upto(field, u64::MAX, 0);
        if self.forgets_votes {
            self.list[worker].acceptor = LeadershipAcceptor::default();
        }
        let acceptor = &mut self.list[worker].acceptor;
        let accepted = if fields.kind()? == kind::PREPARE {
            acceptor.prepare(ballot)
        } else {
            acceptor.accept(Leadership {
                epoch: whole(Field::Epoch)?,
                member: fields.upto(Field::Member, 2, 1)?.max(1) as usize - 1,
                synced_incarnations: [whole(Field::SyncA)?, whole(Field::SyncB)?],
                fencing_floor: whole(Field::Floor)?,
            })
        };
        let p = *acceptor;
        if accepted && self.checks_epochs {
            // A member that no longer serves loses its connections, and its attempts go unanswered.
            let state = &self.list[worker];
            let fenced: Vec<Conn> = state
                .members
                .iter()
                .filter(|m| p.must_abort(m.1 - 1))
                .map(|m| m.0)
                .collect();
            for old in fenced {
                self.gateway_disconnected(context, worker, old);
                context.set_owner(old, Owner::Detached);
                context.net.reset(old);
            }
        }
        if context.net.now() < self.list[worker].silent_until {
            return Ok(());
        }
        context.buffer.clear();
        let f = Frame::new(&mut context.buffer, kind::PROMISED)
            .whole(Field::Id, id)
            .flag(Field::On, accepted);
        let f = f
            .whole(Field::Ballot, p.promised)
            .whole(Field::Epoch, p.accepted.epoch);
        let f = f
            .whole(Field::Member, p.accepted.member as u64 + 1)
            .whole(Field::Floor, p.accepted.fencing_floor);
        f.whole(Field::SyncA, p.accepted.synced_incarnations[0])
            .whole(Field::SyncB, p.accepted.synced_incarnations[1])
            .end();
        context.net.write(conn, &context.buffer);
        Ok(())
    }

    /// Handles an effect of a fleet-wide task: it is carried out if its ticket is not expired and no newer
    /// epoch took effect here.
    fn handle_task_effect<N: Net>(
        &mut self,
        context: &mut Context<N>,
        worker: usize,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), String> {
        let (id, task, epoch) = (
            fields.whole(Field::Id)?,
            fields.whole(Field::Task)?,
            fields.whole(Field::Epoch)?,
        );
        let (gateway, incarnation) = (
            fields.whole(Field::Member)? as usize,
            fields.whole(Field::Life)?,
        );
        let now = context.net.now();
        let ticket = fields.whole(Field::Ticket)?;
        if fields.whole(Field::Check)?
            != checksum(&[id, task, epoch, gateway as u64, incarnation, ticket])
        {
            return Err("field check: the act was changed on its way".to_string());
        }
        // A ticket with a time in the future was never issued.
        let late = ticket > now || now > ticket.saturating_add(self.max_ticket_age);
        let seen = self.list[worker].epochs.get(&task).copied().unwrap_or(0);
        let older = self.checks_task_epochs && epoch < seen;
        let done = !late && !older;
        if done {
            self.list[worker].epochs.insert(task, epoch.max(seen));
        }
        if !late {
            context.record_row(Row {
                kind: Kind::Acted,
                gateway,
                worker,
                task,
                epoch,
                incarnation,
                on: done,
                ..Row::default()
            });
        }
        if now >= self.list[worker].silent_until {
            context.buffer.clear();
            let f = Frame::new(&mut context.buffer, kind::ACTED).whole(Field::Id, id);
            let outcome = match (late, older) {
                (true, _) => "late",
                (_, true) => "older",
                _ => "done",
            };
            f.text(Field::Outcome, outcome)
                .whole(Field::Epoch, seen)
                .end();
            context.net.write(conn, &context.buffer);
        }
        Ok(())
    }

    fn with_load_report<'a>(&self, f: Frame<'a>, in_flight: f64, busy: f64) -> Frame<'a> {
        let f = if self.report_in_flight {
            f.real(Field::InFlight, in_flight)
        } else {
            f
        };
        if self.report_busy {
            f.real(Field::Busy, busy)
        } else {
            f
        }
    }

    fn load_report(&mut self, now: Time, worker: usize) -> (f64, f64) {
        let state = &mut self.list[worker];
        let fresh = (
            f64::from(state.busy_lanes) + state.waiting as f64,
            (f64::from(state.busy_lanes) / state.cores).min(1.0),
        );
        state.reports.push_back((now, fresh.0, fresh.1));
        while state
            .reports
            .get(1)
            .is_some_and(|r| r.0 + STALE_REPORT_AGE < now)
        {
            state.reports.pop_front();
        }
        if state.stale_reports {
            state.reports.front().map_or(fresh, |r| (r.1, r.2))
        } else {
            fresh
        }
    }

    fn capacity_share(&self, state: &Worker, now: Time) -> f64 {
        let (age, (cold, from)) = (now - state.started_at, self.slow_start);
        if state.started_at == 0 || age >= cold {
            1.0
        } else {
            from + (1.0 - from) * age as f64 / cold as f64
        }
    }

    fn launch<N: Net>(
        &mut self,
        context: &mut Context<N>,
        worker: usize,
        conn: Conn,
        gateway: usize,
        fields: &Fields,
    ) -> Result<(), String> {
        let now = context.net.now();
        let (id, request_id) = (fields.whole(Field::Id)?, fields.whole(Field::Event)?);
        let name = fields.text(Field::Function)?;
        let idempotency_key = IdempotencyKey::from(fields.bytes(Field::Mark)?);
        // The emulated clients put the real amount of work in the payload; a gateway knows only the hint.
        let payload = fields.bytes(Field::Payload)?;
        let Some(function) = context.functions.iter().position(|p| p.name == name) else {
            return Err(format!(
                "field function: '{name}' is no program of this fleet"
            ));
        };
        let payload_work = payload
            .first_chunk::<4>()
            .map(|b| f64::from(u32::from_be_bytes(*b)));
        let work = payload_work.unwrap_or(context.functions[function].work);
        let request_type = context.functions[function].request_type;
        if !self.may_send(worker, conn, fields)? {
            // A fenced attempt is not recorded as launched, because it is never executed.
            self.fenced += 1;
            context.buffer.clear();
            let f = Frame::new(&mut context.buffer, kind::END).whole(Field::Id, id);
            f.text(Field::Outcome, "fenced").end();
            context.net.write(conn, &context.buffer);
            return Ok(());
        }
        context.record_row(Row {
            kind: Kind::Launched,
            gateway,
            worker,
            request_id,
            request_type,
            work,
            ..Row::default()
        });
        self.add_work(context, worker, work);
        if !self.list[worker].up {
            return Ok(()); // this attempt overloaded it
        }
        let state = &mut self.list[worker];
        let instances = state.instances.entry(function).or_default();
        let concurrent_attempts = u64::from(instances.running) + instances.waiting.len() as u64;
        let attempt = Attempt {
            conn,
            id,
            request_id,
            function,
            work,
            idempotency_key: idempotency_key.clone(),
            arrived_at: now,
            running: false,
            instance_state: if instances.loaded > 0 { 1 } else { 3 },
            concurrent_attempts,
            deadline: None,
        };
        let (no_instance, full) = (
            instances.loaded + instances.loading == 0,
            state.waiting >= state.max_queued,
        );
        let key = state.attempts.insert(attempt);
        let window = self.windows[request_type];
        let scope = if self.all_zones[request_type] {
            0
        } else {
            state.zone
        };
        let known = self.known_keys[scope].get(&idempotency_key).copied();
        if state.draining || full {
            self.finish(context, worker, key, "full", 0);
        } else if !idempotency_key.is_empty() && known.is_some_and(|first| now < first + window) {
            // A repeat: its idempotency key is known in the scope, so it has had its effect already.
            self.repeats += 1;
            self.finish(context, worker, key, "ok", 1);
        } else if no_instance && self.reports_misses {
            self.misses += 1;
            self.finish(context, worker, key, "miss", 0);
        } else {
            state.waiting += 1;
            state
                .instances
                .entry(function)
                .or_default()
                .waiting
                .push_back(key);
            if no_instance {
                self.start_load(context, worker, function);
            }
            self.run_queued(context, worker, function);
        }
        Ok(())
    }

    /// Adds an attempt's work to the recent work of the worker. A worker in slow start falls over if the work
    /// within the window exceeds a multiple of what it can do in that time.
    fn add_work<N: Net>(&mut self, context: &mut Context<N>, worker: usize, work: f64) {
        let now = context.net.now();
        let share = self.capacity_share(&self.list[worker], now);
        let (window, multiple) = self.overload;
        let state = &mut self.list[worker];
        state.recent_work.push_back((now, work));
        while state
            .recent_work
            .front()
            .is_some_and(|p| p.0 + window < now)
        {
            state.recent_work.pop_front();
        }
        let sum: f64 = state.recent_work.iter().map(|p| p.1).sum();
        if share < 1.0 && sum > multiple * share * state.cores * state.speed * window as f64 {
            context.record_row(Row {
                kind: Kind::Fell,
                worker,
                ..Row::default()
            });
            state.fell_over = true;
            self.unreported_falls.push(worker);
            self.kill(context, worker);
        }
    }

    /// Runs queued attempts while a lane of a loaded instance is free.
    fn run_queued<N: Net>(&mut self, context: &mut Context<N>, worker: usize, function: usize) {
        loop {
            let now = context.net.now();
            let share = self.capacity_share(&self.list[worker], now);
            let state = &mut self.list[worker];
            let instances = state.instances.entry(function).or_default();
            if u64::from(instances.running)
                >= instances.loaded * u64::from(context.functions[function].lanes)
            {
                return;
            }
            let Some(key) = instances.waiting.pop_front() else {
                return;
            };
            let request_type = context.functions[function].request_type;
            let (idempotency_key, scope) = (
                state.attempts[key].idempotency_key.clone(),
                if self.all_zones[request_type] {
                    0
                } else {
                    state.zone
                },
            );
            let first = self.known_keys[scope]
                .get(&idempotency_key)
                .copied()
                .filter(|_| !idempotency_key.is_empty());
            if first.is_some_and(|first| now < first + self.windows[request_type]) {
                // Two attempts with the same idempotency key were queued, and the first one ran.
                state.waiting -= 1;
                self.repeats += 1;
                self.finish(context, worker, key, "ok", 1);
                continue;
            }
            instances.running += 1;
            state.busy_lanes += 1;
            state.waiting -= 1;
            let contention = (f64::from(state.busy_lanes) / state.cores).max(1.0);
            let attempt = &mut state.attempts[key];
            let duration =
                (attempt.work / state.speed * state.slowdown * contention / share).ceil() as Time;
            attempt.running = true;
            attempt.deadline = Some(context.net.set_timer(
                now + duration,
                timer_kind::ATTEMPT_DONE | (worker as u64) << 32 | key as u64,
            ));
            if !idempotency_key.is_empty() {
                self.known_keys[scope].insert(idempotency_key, now);
            }
        }
    }

    /// A running attempt has finished, unless the worker hangs.
    pub fn attempt_done<N: Net>(&mut self, context: &mut Context<N>, worker: usize, key: usize) {
        let state = &mut self.list[worker];
        if context.net.now() < state.hung_until {
            let again = context.net.set_timer(
                state.hung_until,
                timer_kind::ATTEMPT_DONE | (worker as u64) << 32 | key as u64,
            );
            state.attempts[key].deadline = Some(again);
            return;
        }
        let Attempt {
            request_id,
            function,
            instance_state,
            ..
        } = state.attempts[key];
        state.attempts[key].deadline = None;
        state.busy_lanes -= 1;
        let instances = state.instances.entry(function).or_default();
        instances.running -= 1;
        instances.idle_since = context.net.now();
        let request_type = context.functions[function].request_type;
        context.record_row(Row {
            kind: Kind::Ran,
            worker,
            request_id,
            request_type,
            ..Row::default()
        });
        self.finish(context, worker, key, "ok", instance_state);
        self.run_queued(context, worker, function);
    }

    /// Removes an attempt and sends its one response, unless the gateway is gone or the worker is silent.
    fn finish<N: Net>(
        &mut self,
        context: &mut Context<N>,
        worker: usize,
        key: usize,
        outcome: &str,
        instance_state: u64,
    ) {
        let now = context.net.now();
        let (in_flight, busy) = self.load_report(now, worker);
        let state = &mut self.list[worker];
        let attempt = state.attempts.remove(key);
        let connected = state.gateways.iter().any(|c| c.0 == attempt.conn);
        if connected && now < state.silent_until {
            // To the gateway the attempt is in flight until the connection is gone.
            state.unsent_ends.push((attempt.conn, attempt.request_id));
        }
        if !connected || now < state.silent_until {
            return;
        }
        let proven = matches!(outcome, "full" | "miss");
        context.record_row(Row {
            kind: Kind::Ended,
            worker,
            request_id: attempt.request_id,
            proven,
            ..Row::default()
        });
        context.buffer.clear();
        let f = Frame::new(&mut context.buffer, kind::END)
            .whole(Field::Id, attempt.id)
            .text(Field::Outcome, outcome);
        let f = f
            .whole(Field::Took, now - attempt.arrived_at)
            .whole(Field::Copy, instance_state);
        let f = f.whole(Field::Company, attempt.concurrent_attempts.min(30));
        let f = if self.report_with_responses {
            self.with_load_report(f, in_flight, busy)
        } else {
            f
        };
        f.bytes(Field::Payload, &attempt.request_id.to_be_bytes())
            .end();
        context.net.write(attempt.conn, &context.buffer);
    }

    fn handle_load_request<N: Net>(
        &mut self,
        context: &mut Context<N>,
        worker: usize,
        conn: Conn,
        id: u64,
        function: usize,
        wanted: u64,
    ) {
        let now = context.net.now();
        let state = &mut self.list[worker];
        let instances = state.instances.entry(function).or_default();
        instances.idle_since = now;
        if instances.loaded >= wanted {
            let loaded = instances.loaded;
            return self.answer_load_request(context, worker, conn, id, "ok", loaded);
        }
        if state.draining {
            return self.answer_load_request(context, worker, conn, id, "full", 0);
        }
        let missing = wanted.saturating_sub(instances.loaded + instances.loading);
        for _ in 0..missing {
            if !self.start_load(context, worker, function) {
                let loaded = self.list[worker].instances[&function].loaded;
                return self.answer_load_request(context, worker, conn, id, "full", loaded);
            }
        }
        self.list[worker]
            .instances
            .entry(function)
            .or_default()
            .load_requests
            .push((conn, id, wanted));
    }

    fn answer_load_request<N: Net>(
        &mut self,
        context: &mut Context<N>,
        worker: usize,
        conn: Conn,
        id: u64,
        outcome: &str,
        loaded: u64,
    ) {
        let state = &self.list[worker];
        if context.net.now() < state.silent_until || !state.gateways.iter().any(|c| c.0 == conn) {
            return;
        }
        context.buffer.clear();
        let f = Frame::new(&mut context.buffer, kind::HELD)
            .whole(Field::Id, id)
            .text(Field::Outcome, outcome);
        f.whole(Field::Copies, loaded).end();
        context.net.write(conn, &context.buffer);
    }

    /// Starts one load, unloading idle instances of other functions for it, least recently used first.
    /// Returns false if there is no memory for it, or too many loads are in progress.
    fn start_load<N: Net>(
        &mut self,
        context: &mut Context<N>,
        worker: usize,
        function: usize,
    ) -> bool {
        let state = &mut self.list[worker];
        if state.loads.len() >= state.max_loads {
            return false;
        }
        let needs = context.functions[function].memory;
        loop {
            let used = |c: (&usize, &Instances)| {
                (c.1.loaded + c.1.loading) as f64 * context.functions[*c.0].memory
            };
            if state.instances.iter().map(used).sum::<f64>() + needs <= state.memory {
                break;
            }
            let idle = |c: &(&usize, &mut Instances)| {
                *c.0 != function && c.1.loaded > 0 && c.1.running == 0 && c.1.waiting.is_empty()
            };
            let Some(oldest) = state
                .instances
                .iter_mut()
                .filter(idle)
                .min_by_key(|c| c.1.idle_since)
            else {
                return false;
            };
            oldest.1.loaded = 0;
        }
        state.instances.entry(function).or_default().loading += 1;
        let key = state.loads.insert(function);
        self.loads += 1;
        if state.artifact_store.is_none() {
            let conn = context.net.connect(self.artifact_store_address, 10_000);
            context.set_owner(conn, Owner::Fetcher(worker));
            (state.artifact_store, state.artifact_store_ready) = (Some(conn), false);
        }
        if state.artifact_store_ready {
            Workers::send_fetch(context, state, key);
        }
        true
    }

    fn send_fetch<N: Net>(context: &mut Context<N>, state: &Worker, key: usize) {
        let function = &context.functions[state.loads[key]];
        context.buffer.clear();
        let f = Frame::new(&mut context.buffer, kind::FETCH)
            .whole(Field::Id, key as u64 | state.incarnation << 32);
        f.text(Field::Function, &function.name)
            .whole(Field::LoadHint, function.fetch_time)
            .end();
        if let Some(conn) = state.artifact_store {
            context.net.write(conn, &context.buffer);
        }
    }

    pub fn artifact_store_connected<N: Net>(&mut self, context: &mut Context<N>, worker: usize) {
        let state = &mut self.list[worker];
        state.artifact_store_ready = true;
        context.buffer.clear();
        wire::hello(
            &mut context.buffer,
            "worker",
            &state.name,
            state.incarnation,
        );
        if let Some(conn) = state.artifact_store {
            context.net.write(conn, &context.buffer);
        }
        let keys: Vec<usize> = state.loads.iter().map(|l| l.0).collect();
        keys.into_iter()
            .for_each(|key| Workers::send_fetch(context, &self.list[worker], key));
    }

    pub fn artifact_store_disconnected<N: Net>(&mut self, context: &mut Context<N>, worker: usize) {
        (
            self.list[worker].artifact_store,
            self.list[worker].artifact_store_ready,
        ) = (None, false);
        let keys: Vec<usize> = self.list[worker].loads.iter().map(|l| l.0).collect();
        keys.into_iter()
            .for_each(|key| self.load_failed(context, worker, key));
    }

    /// Handles the artifact store's response to a fetch.
    pub fn handle_fetch_response<N: Net>(
        &mut self,
        context: &mut Context<N>,
        worker: usize,
        fields: &Fields,
    ) -> Result<(), String> {
        if fields.kind()? != kind::FETCHED {
            return Ok(());
        }
        let (id, ok) = (
            fields.whole(Field::Id)?,
            fields.text(Field::Outcome)? == "ok",
        );
        let state = &self.list[worker];
        let key = (id & 0xffff_ffff) as usize;
        if id >> 32 != state.incarnation || !state.loads.contains(key) {
            return Ok(());
        }
        if ok {
            let duration =
                (context.functions[state.loads[key]].start_time as f64 * state.slowdown) as Time;
            let now = context.net.now().max(state.hung_until);
            context.net.set_timer(
                now + duration,
                timer_kind::INSTANCE_LOADED
                    | (worker as u64) << 32
                    | key as u64
                    | (state.incarnation & 0xffff) << 16,
            );
        } else {
            self.load_failed(context, worker, key);
        }
        Ok(())
    }

    /// A load failed. If no other instance is loaded or loading, the attempts that waited end as misses,
    /// never run.
    fn load_failed<N: Net>(&mut self, context: &mut Context<N>, worker: usize, key: usize) {
        let state = &mut self.list[worker];
        let function = state.loads.remove(key);
        let instances = state.instances.entry(function).or_default();
        instances.loading -= 1;
        let loaded = instances.loaded;
        let load_requests = std::mem::take(&mut instances.load_requests);
        let waiting = if loaded + instances.loading == 0 {
            std::mem::take(&mut instances.waiting)
        } else {
            VecDeque::new()
        };
        state.waiting -= waiting.len();
        load_requests.into_iter().for_each(|(conn, id, _)| {
            self.answer_load_request(context, worker, conn, id, "error", loaded)
        });
        waiting
            .into_iter()
            .for_each(|attempt| self.finish(context, worker, attempt, "miss", 4));
    }

    /// A load is complete: the instance can run attempts.
    pub fn load_done<N: Net>(&mut self, context: &mut Context<N>, worker: usize, rest: usize) {
        let (key, incarnation) = (rest & 0xffff, (rest >> 16) as u64);
        let now = context.net.now();
        let state = &mut self.list[worker];
        if !state.up || incarnation != state.incarnation & 0xffff || !state.loads.contains(key) {
            return;
        }
        let function = state.loads.remove(key);
        let instances = state.instances.entry(function).or_default();
        instances.loading -= 1;
        instances.loaded += 1;
        instances.idle_since = now;
        let loaded = instances.loaded;
        let (ready, pending) = std::mem::take(&mut instances.load_requests)
            .into_iter()
            .partition(|o| o.2 <= loaded);
        instances.load_requests = pending;
        let ready: Vec<(Conn, u64, u64)> = ready;
        ready.into_iter().for_each(|(conn, id, _)| {
            self.answer_load_request(context, worker, conn, id, "ok", loaded)
        });
        self.run_queued(context, worker, function);
    }

    pub fn unload_idle<N: Net>(&mut self, context: &mut Context<N>) {
        let now = context.net.now();
        context
            .net
            .set_timer(now + IDLE_CHECK_INTERVAL, timer_kind::UNLOAD_IDLE);
        for state in &mut self.list {
            for instances in state.instances.values_mut() {
                // Longer by one interval than `stays_loaded_ms`, the minimum that the settings state.
                if instances.running == 0
                    && instances.waiting.is_empty()
                    && now > instances.idle_since + self.keep_loaded + IDLE_CHECK_INTERVAL
                {
                    instances.loaded = 0;
                }
            }
        }
        let longest = self.windows.iter().max().copied().unwrap_or(0);
        self.known_keys
            .iter_mut()
            .for_each(|m| m.retain(|_, first| now < *first + longest));
    }

    /// A gateway's connection is gone: its running attempts continue, but send no response.
    pub fn gateway_disconnected<N: Net>(
        &mut self,
        context: &mut Context<N>,
        worker: usize,
        conn: Conn,
    ) {
        let state = &mut self.list[worker];
        state.gateways.retain(|c| c.0 != conn);
        state.members.retain(|c| c.0 != conn);
        let mut unfinished: Vec<u64> = state
            .attempts
            .iter()
            .filter(|r| r.1.conn == conn)
            .map(|r| r.1.request_id)
            .collect();
        unfinished.extend(
            state
                .unsent_ends
                .iter()
                .filter(|s| s.0 == conn)
                .map(|s| s.1),
        );
        state.unsent_ends.retain(|s| s.0 != conn);
        unfinished.into_iter().for_each(|request_id| {
            context.record_row(Row {
                kind: Kind::Cut,
                worker,
                request_id,
                ..Row::default()
            })
        });
    }

    /// Closes all sockets without notice and discards instances, attempts and loads, as a killed process
    /// does.
    pub fn kill<N: Net>(&mut self, context: &mut Context<N>, worker: usize) {
        let conns: Vec<(Conn, usize)> = self.list[worker]
            .gateways
            .iter()
            .map(|c| (c.0, c.1))
            .collect();
        for (conn, gateway) in conns {
            if gateway != usize::MAX {
                context.record_row(Row {
                    kind: Kind::Lost,
                    gateway,
                    worker,
                    ..Row::default()
                });
            }
            self.gateway_disconnected(context, worker, conn);
            context.set_owner(conn, Owner::Detached);
            context.net.reset(conn);
        }
        let state = &mut self.list[worker];
        if let Some(listener) = state.listener.take() {
            context.net.stop_listening(listener);
        }
        if let Some(conn) = state.artifact_store.take() {
            context.set_owner(conn, Owner::Detached);
            context.net.reset(conn);
        }
        for (_, attempt) in &state.attempts {
            if let Some(d) = attempt.deadline {
                context.net.cancel_timer(d);
            }
            // An attempt that was still running had no effect, so its idempotency key is forgotten.
            if !attempt.idempotency_key.is_empty() && attempt.running {
                let scope = if self.all_zones[context.functions[attempt.function].request_type] {
                    0
                } else {
                    state.zone
                };
                self.known_keys[scope].remove(&attempt.idempotency_key);
            }
        }
        state.attempts.clear();
        state.instances.clear();
        state.loads.clear();
        state.recent_work.clear();
        (
            state.up,
            state.busy_lanes,
            state.waiting,
            state.artifact_store_ready,
        ) = (false, 0, 0, false);
    }

    /// Starts the worker again, cold and without instances. Returns false if its address is taken.
    pub fn start<N: Net>(&mut self, context: &mut Context<N>, worker: usize) -> bool {
        let address = self.list[worker].address;
        let Ok((listener, _)) = context.net.listen(address) else {
            return false;
        };
        let now = context.net.now();
        let (cold, from) = self.slow_start;
        let state = &mut self.list[worker];
        (state.listener, state.up, state.draining) = (Some(listener), true, false);
        (
            state.incarnation,
            state.started_at,
            state.hung_until,
            state.silent_until,
            state.slowdown,
        ) = (state.incarnation + 1, now, 0, 0, 1.0);
        let capacity = state.cores * state.speed;
        context.record_row(Row {
            kind: Kind::Started,
            worker,
            capacity,
            from,
            left: cold,
            ..Row::default()
        });
        true
    }

    pub fn hang<N: Net>(&mut self, context: &mut Context<N>, worker: usize, until: Time) {
        let state = &mut self.list[worker];
        state.hung_until = until;
        state
            .gateways
            .iter()
            .for_each(|c| context.net.set_read_paused(c.0, true));
    }

    pub fn resume<N: Net>(&mut self, context: &mut Context<N>, worker: usize) {
        let state = &mut self.list[worker];
        state.hung_until = 0;
        state
            .gateways
            .iter()
            .for_each(|c| context.net.set_read_paused(c.0, false));
    }

    /// Closes the gateways' connections in the middle of a frame.
    pub fn reset_mid_frame<N: Net>(&mut self, context: &mut Context<N>, worker: usize) {
        self.list[worker].members.clear();
        for (conn, _) in std::mem::take(&mut self.list[worker].gateways) {
            let state = &mut self.list[worker];
            let mut unfinished: Vec<u64> = state
                .attempts
                .iter()
                .filter(|r| r.1.conn == conn)
                .map(|r| r.1.request_id)
                .collect();
            unfinished.extend(
                state
                    .unsent_ends
                    .iter()
                    .filter(|s| s.0 == conn)
                    .map(|s| s.1),
            );
            state.unsent_ends.retain(|s| s.0 != conn);
            unfinished.into_iter().for_each(|request_id| {
                context.record_row(Row {
                    kind: Kind::Cut,
                    worker,
                    request_id,
                    ..Row::default()
                })
            });
            // The header of a frame of 100 bytes, and only two of them.
            context.net.write(conn, &[0, 0, 0, 100, 0xb8, 2]);
            context.set_owner(conn, Owner::Detached);
            context.net.close(conn);
        }
    }

    pub fn drain<N: Net>(&mut self, context: &mut Context<N>, worker: usize) {
        let state = &mut self.list[worker];
        state.draining = true;
        // Connected gateways are told by the worker itself, others by the discovery server.
        for (conn, gateway) in state.gateways.clone() {
            if gateway != usize::MAX {
                context.buffer.clear();
                Frame::new(&mut context.buffer, kind::DRAINS).end();
                context.net.write(conn, &context.buffer);
                context.record_row(Row {
                    kind: Kind::Told,
                    gateway,
                    worker,
                    ..Row::default()
                });
            }
        }
    }

    pub fn discard_idle_instances(&mut self) {
        for instances in self
            .list
            .iter_mut()
            .flat_map(|state| state.instances.values_mut())
        {
            if instances.running == 0 {
                instances.loaded = 0;
            }
        }
    }
}

/// The idempotency key of a request: all client attempts of one request have the same.
pub fn idempotency_key(request_id: u64) -> u64 {
    request_id / ATTEMPTS_PER_REQUEST + 1
}
