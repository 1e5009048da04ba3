//! Emulated workers: memory, lanes, a queue, run times, loads from the artifact store, misses, unloading of
//! idle instances, a slow start with failure under overload, repeats dropped within the scope and window of
//! an idempotency key, drains, and stale load reports.
use crate::{of, Ground, Owner};
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tidewall_audit::rows::{Kind, Row, TRIES};
use tidewall_config::Section;
use tidewall_failover::leadership::{Fencing, Leadership, LeadershipAcceptor};
use tidewall_lease::assignment::checksum;
use tidewall_net::{Conn, Listener, Net, Time, TimerId};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame};

/// State of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum At {
    On,
    Draining,
    Gone,
}

/// A launch attempt at a worker, queued or running.
struct Run {
    conn: Conn,
    id: u64,
    evt: u64,
    program: usize,
    work: f64,
    mark: u64,
    came: Time,
    running: bool,
    /// 1 if an instance was loaded when the attempt arrived, 3 if the attempt waited for one.
    copy: u64,
    company: u64,
    deadline: Option<TimerId>,
}

/// The instances of one function at a worker.
#[derive(Default)]
struct Copies {
    standing: u64,
    loading: u64,
    running: u32,
    waiting: VecDeque<usize>,
    idle_since: Time,
    /// Load requests, as connection, id and number of instances that they wait for.
    orders: Vec<(Conn, u64, u64)>,
}

pub struct Worker {
    pub name: String,
    pub at: SocketAddr,
    pub zone: usize,
    pub machine: String,
    cores: f64,
    speed: f64,
    memory: f64,
    queue: usize,
    most_loads: usize,
    pub listener: Option<Listener>,
    pub up: bool,
    pub draining: bool,
    pub fallen: bool,
    pub life: u64,
    /// Time of the last start; 0 if the worker was warm from the beginning.
    pub since: Time,
    pub hung: Time,
    pub silent: Time,
    pub slow: f64,
    pub late_reports: bool,
    gateways: Vec<(Conn, usize)>,
    /// Connections of a failover pair's members, with the member's number, counted from 1.
    members: Vec<(Conn, usize)>,
    /// Attempts that ended while the worker was silent, so that their end was never sent.
    swallowed: Vec<(Conn, u64)>,
    /// Voter state for a failover pair; it survives restarts of the worker.
    promise: LeadershipAcceptor,
    /// The highest epoch that took effect here, by task; it survives restarts, as the voter state does.
    epochs: BTreeMap<u64, u64>,
    depot: Option<Conn>,
    depot_up: bool,
    runs: Slab<Run>,
    copies: BTreeMap<usize, Copies>,
    /// Functions of the loads in progress; the key is part of the id of a fetch at the artifact store.
    loads: Slab<usize>,
    busy: u32,
    waiting: usize,
    pushed: VecDeque<(Time, f64)>,
    reports: VecDeque<(Time, f64, f64)>,
}

pub struct Workers {
    pub list: Vec<Worker>,
    depot: SocketAddr,
    miss: bool,
    stays: Time,
    cold: (Time, f64),
    fall: (Time, f64),
    in_flight: bool,
    busy: bool,
    with_answers: bool,
    windows: Vec<Time>,
    /// Whether a request type's idempotency keys hold in all zones; those are kept with the first zone's.
    alls: Vec<bool>,
    /// By zone, the idempotency keys that its workers know, with the time of the first run.
    marks: Vec<BTreeMap<u64, Time>>,
    pub loads: u64,
    pub misses: u64,
    pub dropped: u64,
    /// Workers that fell over and were not yet reported to the discovery server.
    pub fell: Vec<usize>,
    /// Whether the epochs of a failover pair are checked; turned off only to show that the audit notices it.
    pub fences: bool,
    pub forgets: bool,
    /// Maximum age of the ticket that an effect of a task carries.
    ticket: Time,
    /// Whether the epochs of fleet-wide tasks are checked.
    pub task_epochs: bool,
    /// Attempts refused because their member of a pair no longer serves.
    pub refused: u64,
}

/// Interval at which idle instances are unloaded and expired idempotency keys are removed.
const IDLE: Time = 2_500;

/// Age of the load report that a worker sends under the fault of late reports.
const LATE_REPORT: Time = 10_000;

impl Workers {
    pub fn new<N: Net>(
        g: &mut Ground<N>,
        settings: &Section,
        fleet: &Section,
        depot: SocketAddr,
    ) -> Result<Workers, String> {
        let (rules, loading) = (settings.section("rules"), settings.section("loading"));
        let (reports, zones) = (settings.section("reports"), settings.strings("zone"));
        let mut list = Vec::new();
        for group in fleet.sections("workers") {
            let machine = settings
                .sections("kind")
                .into_iter()
                .find(|k| k.text("name") == group.text("kind"));
            for i in 0..group.integer("count") {
                let at: SocketAddr = ([127, 0, 0, 1], 0).into();
                let (listener, at) = g.net.listen(at).map_err(|e| format!("{at}: worker: {e}"))?;
                let name = format!("{}{i}", group.text("name"));
                let zone = zones
                    .iter()
                    .position(|z| *z == group.text("zone"))
                    .unwrap_or(0);
                let (cores, speed) = (group.number("cores"), group.number("speed"));
                g.listed
                    .push((name.clone(), at, zone, group.text("kind"), cores * speed));
                list.push(Worker {
                    name,
                    at,
                    zone,
                    machine: group.text("kind"),
                    cores,
                    speed,
                    memory: machine.as_ref().map_or(0.0, |m| m.number("memory_mb")),
                    queue: group.integer("queue") as usize,
                    most_loads: group.integer("loads") as usize,
                    listener: Some(listener),
                    up: true,
                    draining: false,
                    fallen: false,
                    life: 1,
                    since: 0,
                    hung: 0,
                    silent: 0,
                    slow: 1.0,
                    late_reports: false,
                    gateways: Vec::new(),
                    members: Vec::new(),
                    swallowed: Vec::new(),
                    promise: LeadershipAcceptor::default(),
                    epochs: BTreeMap::new(),
                    depot: None,
                    depot_up: false,
                    runs: Slab::new(),
                    copies: BTreeMap::new(),
                    loads: Slab::new(),
                    busy: 0,
                    waiting: 0,
                    pushed: VecDeque::new(),
                    reports: VecDeque::new(),
                });
            }
        }
        let now = g.net.now();
        g.net.set_timer(now + IDLE, of::IDLE);
        Ok(Workers {
            list,
            depot,
            miss: loading.flag("miss"),
            stays: loading.duration("stays_loaded_ms"),
            cold: (rules.duration("cold_ms"), rules.number("cold_from")),
            fall: (rules.duration("fall_ms"), rules.number("fall_multiple")),
            in_flight: reports.flag("in_flight"),
            busy: reports.flag("busy"),
            with_answers: reports.flag("with_answers"),
            windows: settings
                .sections("event_type")
                .iter()
                .map(|t| t.duration("window_ms"))
                .collect(),
            alls: settings
                .sections("event_type")
                .iter()
                .map(|t| t.enum_value("group") == "ALL")
                .collect(),
            marks: vec![BTreeMap::new(); zones.len()],
            loads: 0,
            misses: 0,
            dropped: 0,
            fell: Vec::new(),
            fences: true,
            forgets: false,
            ticket: settings.section("fleet_common").duration("ticket_ms"),
            task_epochs: true,
            refused: 0,
        })
    }

    pub fn accepted<N: Net>(&mut self, g: &mut Ground<N>, wk: usize, conn: Conn) {
        g.own(conn, Owner::Worker(wk));
        let w = &mut self.list[wk];
        w.gateways.push((conn, usize::MAX));
        if g.net.now() < w.hung {
            g.net.set_read_paused(conn, true);
        }
    }

    pub fn frame<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        wk: usize,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), String> {
        let w = &mut self.list[wk];
        let Some(gw) = w.gateways.iter_mut().find(|c| c.0 == conn) else {
            return Ok(());
        };
        let gw = match fields.kind()? {
            kind::HELLO => {
                wire::greeted(fields)?;
                gw.1 = fields.whole(Field::Life)? as usize;
                let member = fields.upto(Field::Member, 2, 0)? as usize;
                if member > 0 {
                    w.members.push((conn, member));
                }
                let age = if w.since > 0 {
                    (g.net.now() - w.since).max(1)
                } else {
                    0
                };
                g.out.clear();
                let f = Frame::new(&mut g.out, kind::HELLO).whole(Field::Version, wire::VERSION);
                let f = f.text(Field::Role, "worker").text(Field::Name, &w.name);
                f.whole(Field::Life, w.life).whole(Field::Age, age).end();
                g.net.write(conn, &g.out);
                return Ok(());
            }
            _ => gw.1,
        };
        match fields.kind()? {
            kind::PREPARE | kind::ACCEPT => self.vote(g, wk, conn, fields),
            kind::TICKET => {
                // The time of the worker's own clock: only the worker interprets it.
                let now = g.net.now();
                if now >= self.list[wk].silent {
                    g.out.clear();
                    Frame::new(&mut g.out, kind::TICKET)
                        .whole(Field::Ticket, now)
                        .end();
                    g.net.write(conn, &g.out);
                }
                Ok(())
            }
            kind::ACT => self.act(g, wk, conn, fields),
            kind::LAUNCH => self.launch(g, wk, conn, gw, fields),
            kind::CANCEL => {
                let id = fields.whole(Field::Id)?;
                // A running attempt continues; a queued one is dropped.
                let w = &mut self.list[wk];
                let found = w
                    .runs
                    .iter()
                    .find(|r| r.1.id == id && r.1.conn == conn && !r.1.running);
                if let Some(key) = found.map(|r| r.0) {
                    let program = w.runs[key].program;
                    w.copies
                        .entry(program)
                        .or_default()
                        .waiting
                        .retain(|k| *k != key);
                    w.waiting -= 1;
                    self.end(g, wk, key, "cancelled", 0);
                }
                Ok(())
            }
            kind::HOLD => {
                let (id, copies) = (fields.whole(Field::Id)?, fields.upto(Field::Copies, 16, 0)?);
                let name = fields.text(Field::Function)?;
                if !self.may(wk, conn, fields)? {
                    self.held(g, wk, conn, id, "fenced", 0);
                    return Ok(());
                }
                g.row(Row {
                    k: Kind::Ordered,
                    gw,
                    wk,
                    copies,
                    ..Row::default()
                });
                let program = g.programs.iter().position(|p| p.name == name);
                match program {
                    Some(program) => self.hold(g, wk, conn, id, program, copies),
                    None => self.held(g, wk, conn, id, "error", 0),
                }
                Ok(())
            }
            kind::UNLOAD => {
                let name = fields.text(Field::Function)?;
                let program = g.programs.iter().position(|p| p.name == name);
                if let Some(c) = program.and_then(|p| self.list[wk].copies.get_mut(&p)) {
                    if c.running == 0 {
                        c.standing = 0;
                    }
                }
                Ok(())
            }
            kind::PROBE => {
                let id = fields.whole(Field::Id)?;
                let (flight, busy) = self.report(g.net.now(), wk);
                if g.net.now() >= self.list[wk].silent {
                    g.out.clear();
                    let f = Frame::new(&mut g.out, kind::PROBED).whole(Field::Id, id);
                    self.told(f, flight, busy).end();
                    g.net.write(conn, &g.out);
                }
                Ok(())
            }
            kind::ERROR => Ok(()),
            other => Err(format!("field kind: {other} is not for a worker")),
        }
    }

    /// Whether the sender may still send: it is no member of a failover pair, or its epoch is not fenced.
    fn may(&self, wk: usize, conn: Conn, fields: &Fields) -> Result<bool, String> {
        let w = &self.list[wk];
        let member = w.members.iter().find(|m| m.0 == conn).map(|m| m.1);
        let epoch = fields.upto(Field::Epoch, u64::MAX, 0)?;
        Ok(!self.fences || member.is_none_or(|m| w.promise.permits(m - 1, epoch)))
    }

    /// Handles a prepare or accept of a failover pair, and replies with what is promised and accepted here.
    fn vote<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        wk: usize,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), String> {
        let (id, ballot) = (fields.whole(Field::Id)?, fields.whole(Field::Ballot)?);
        let whole = |field| fields.upto(field, u64::MAX, 0);
        if self.forgets {
            self.list[wk].promise = LeadershipAcceptor::default();
        }
        let promise = &mut self.list[wk].promise;
        let good = if fields.kind()? == kind::PREPARE {
            promise.prepare(ballot)
        } else {
            promise.accept(Leadership {
                epoch: whole(Field::Epoch)?,
                member: fields.upto(Field::Member, 2, 1)?.max(1) as usize - 1,
                synced_incarnations: [whole(Field::SyncA)?, whole(Field::SyncB)?],
                fencing_floor: whole(Field::Floor)?,
            })
        };
        let p = *promise;
        if good && self.fences {
            // A member that no longer serves loses its connections, and its attempts go unanswered.
            let w = &self.list[wk];
            let ends: Vec<Conn> = w
                .members
                .iter()
                .filter(|m| p.must_abort(m.1 - 1))
                .map(|m| m.0)
                .collect();
            for old in ends {
                self.gateway_gone(g, wk, old);
                g.own(old, Owner::Nobody);
                g.net.reset(old);
            }
        }
        if g.net.now() < self.list[wk].silent {
            return Ok(());
        }
        g.out.clear();
        let f = Frame::new(&mut g.out, kind::PROMISED)
            .whole(Field::Id, id)
            .flag(Field::On, good);
        let f = f
            .whole(Field::Ballot, p.promised)
            .whole(Field::Epoch, p.accepted.epoch);
        let f = f
            .whole(Field::Member, p.accepted.member as u64 + 1)
            .whole(Field::Floor, p.accepted.fencing_floor);
        f.whole(Field::SyncA, p.accepted.synced_incarnations[0])
            .whole(Field::SyncB, p.accepted.synced_incarnations[1])
            .end();
        g.net.write(conn, &g.out);
        Ok(())
    }

    /// Handles an effect of a fleet-wide task: it is carried out if its ticket is not expired and no newer
    /// epoch took effect here.
    fn act<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        wk: usize,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), String> {
        let (id, task, epoch) = (
            fields.whole(Field::Id)?,
            fields.whole(Field::Task)?,
            fields.whole(Field::Epoch)?,
        );
        let (gw, life) = (
            fields.whole(Field::Member)? as usize,
            fields.whole(Field::Life)?,
        );
        let now = g.net.now();
        let ticket = fields.whole(Field::Ticket)?;
        if fields.whole(Field::Check)? != checksum(&[id, task, epoch, gw as u64, life, ticket]) {
            return Err("field check: the act was changed on its way".to_string());
        }
        // A ticket with a time in the future was never issued.
        let late = ticket > now || now > ticket.saturating_add(self.ticket);
        let seen = self.list[wk].epochs.get(&task).copied().unwrap_or(0);
        let older = self.task_epochs && epoch < seen;
        let done = !late && !older;
        if done {
            self.list[wk].epochs.insert(task, epoch.max(seen));
        }
        if !late {
            g.row(Row {
                k: Kind::Acted,
                gw,
                wk,
                task,
                epoch,
                life,
                on: done,
                ..Row::default()
            });
        }
        if now >= self.list[wk].silent {
            g.out.clear();
            let f = Frame::new(&mut g.out, kind::ACTED).whole(Field::Id, id);
            let outcome = match (late, older) {
                (true, _) => "late",
                (_, true) => "older",
                _ => "done",
            };
            f.text(Field::Outcome, outcome)
                .whole(Field::Epoch, seen)
                .end();
            g.net.write(conn, &g.out);
        }
        Ok(())
    }

    fn told<'a>(&self, f: Frame<'a>, flight: f64, busy: f64) -> Frame<'a> {
        let f = if self.in_flight {
            f.real(Field::InFlight, flight)
        } else {
            f
        };
        if self.busy {
            f.real(Field::Busy, busy)
        } else {
            f
        }
    }

    fn report(&mut self, now: Time, wk: usize) -> (f64, f64) {
        let w = &mut self.list[wk];
        let fresh = (
            f64::from(w.busy) + w.waiting as f64,
            (f64::from(w.busy) / w.cores).min(1.0),
        );
        w.reports.push_back((now, fresh.0, fresh.1));
        while w.reports.get(1).is_some_and(|r| r.0 + LATE_REPORT < now) {
            w.reports.pop_front();
        }
        if w.late_reports {
            w.reports.front().map_or(fresh, |r| (r.1, r.2))
        } else {
            fresh
        }
    }

    fn part(&self, w: &Worker, now: Time) -> f64 {
        let (age, (cold, from)) = (now - w.since, self.cold);
        if w.since == 0 || age >= cold {
            1.0
        } else {
            from + (1.0 - from) * age as f64 / cold as f64
        }
    }

    fn launch<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        wk: usize,
        conn: Conn,
        gw: usize,
        fields: &Fields,
    ) -> Result<(), String> {
        let now = g.net.now();
        let (id, evt) = (fields.whole(Field::Id)?, fields.whole(Field::Event)?);
        let name = fields.text(Field::Function)?;
        let mark = fields.bytes(Field::Mark)?;
        // The emulated clients put the real amount of work in the payload; a gateway knows only the hint.
        let payload = fields.bytes(Field::Payload)?;
        let Some(program) = g.programs.iter().position(|p| p.name == name) else {
            return Err(format!(
                "field function: '{name}' is no program of this fleet"
            ));
        };
        let told = payload
            .first_chunk::<4>()
            .map(|b| f64::from(u32::from_be_bytes(*b)));
        let work = told.unwrap_or(g.programs[program].work);
        let mark = mark
            .first_chunk::<8>()
            .map_or(0, |b| u64::from_be_bytes(*b));
        let typ = g.programs[program].typ;
        if !self.may(wk, conn, fields)? {
            // A fenced attempt is not recorded as launched, because it is never executed.
            self.refused += 1;
            g.out.clear();
            let f = Frame::new(&mut g.out, kind::END).whole(Field::Id, id);
            f.text(Field::Outcome, "fenced").end();
            g.net.write(conn, &g.out);
            return Ok(());
        }
        g.row(Row {
            k: Kind::Launched,
            gw,
            wk,
            evt,
            typ,
            work,
            ..Row::default()
        });
        self.push(g, wk, work);
        if !self.list[wk].up {
            return Ok(()); // this attempt overloaded it
        }
        let w = &mut self.list[wk];
        let c = w.copies.entry(program).or_default();
        let company = u64::from(c.running) + c.waiting.len() as u64;
        let run = Run {
            conn,
            id,
            evt,
            program,
            work,
            mark,
            came: now,
            running: false,
            copy: if c.standing > 0 { 1 } else { 3 },
            company,
            deadline: None,
        };
        let (none, full) = (c.standing + c.loading == 0, w.waiting >= w.queue);
        let key = w.runs.insert(run);
        let window = self.windows[typ];
        let hall = if self.alls[typ] { 0 } else { w.zone };
        let known = self.marks[hall].get(&mark).copied();
        if w.draining || full {
            self.end(g, wk, key, "full", 0);
        } else if mark > 0 && known.is_some_and(|first| now < first + window) {
            // A repeat: its idempotency key is known in the scope, so it has had its effect already.
            self.dropped += 1;
            self.end(g, wk, key, "ok", 1);
        } else if none && self.miss {
            self.misses += 1;
            self.end(g, wk, key, "miss", 0);
        } else {
            w.waiting += 1;
            w.copies.entry(program).or_default().waiting.push_back(key);
            if none {
                self.load(g, wk, program);
            }
            self.go_on(g, wk, program);
        }
        Ok(())
    }

    /// Adds an attempt's work to the recent work of the worker. A worker in slow start falls over if the work
    /// within the window exceeds a multiple of what it can do in that time.
    fn push<N: Net>(&mut self, g: &mut Ground<N>, wk: usize, work: f64) {
        let now = g.net.now();
        let part = self.part(&self.list[wk], now);
        let (window, multiple) = self.fall;
        let w = &mut self.list[wk];
        w.pushed.push_back((now, work));
        while w.pushed.front().is_some_and(|p| p.0 + window < now) {
            w.pushed.pop_front();
        }
        let sum: f64 = w.pushed.iter().map(|p| p.1).sum();
        if part < 1.0 && sum > multiple * part * w.cores * w.speed * window as f64 {
            g.row(Row {
                k: Kind::Fell,
                wk,
                ..Row::default()
            });
            w.fallen = true;
            self.fell.push(wk);
            self.kill(g, wk);
        }
    }

    /// Runs queued attempts while a lane of a loaded instance is free.
    fn go_on<N: Net>(&mut self, g: &mut Ground<N>, wk: usize, program: usize) {
        loop {
            let now = g.net.now();
            let part = self.part(&self.list[wk], now);
            let w = &mut self.list[wk];
            let c = w.copies.entry(program).or_default();
            if u64::from(c.running) >= c.standing * u64::from(g.programs[program].lanes) {
                return;
            }
            let Some(key) = c.waiting.pop_front() else {
                return;
            };
            let typ = g.programs[program].typ;
            let (mark, hall) = (w.runs[key].mark, if self.alls[typ] { 0 } else { w.zone });
            let first = self.marks[hall].get(&mark).copied().filter(|_| mark > 0);
            if first.is_some_and(|first| now < first + self.windows[typ]) {
                // Two attempts with the same idempotency key were queued, and the first one ran.
                w.waiting -= 1;
                self.dropped += 1;
                self.end(g, wk, key, "ok", 1);
                continue;
            }
            c.running += 1;
            w.busy += 1;
            w.waiting -= 1;
            let crowd = (f64::from(w.busy) / w.cores).max(1.0);
            let run = &mut w.runs[key];
            let takes = (run.work / w.speed * w.slow * crowd / part).ceil() as Time;
            run.running = true;
            run.deadline = Some(
                g.net
                    .set_timer(now + takes, of::RUN | (wk as u64) << 32 | key as u64),
            );
            if run.mark > 0 {
                self.marks[hall].insert(run.mark, now);
            }
        }
    }

    /// A running attempt has finished, unless the worker hangs.
    pub fn ran<N: Net>(&mut self, g: &mut Ground<N>, wk: usize, key: usize) {
        let w = &mut self.list[wk];
        if g.net.now() < w.hung {
            let again = g
                .net
                .set_timer(w.hung, of::RUN | (wk as u64) << 32 | key as u64);
            w.runs[key].deadline = Some(again);
            return;
        }
        let Run {
            evt, program, copy, ..
        } = w.runs[key];
        w.runs[key].deadline = None;
        w.busy -= 1;
        let c = w.copies.entry(program).or_default();
        c.running -= 1;
        c.idle_since = g.net.now();
        let typ = g.programs[program].typ;
        g.row(Row {
            k: Kind::Ran,
            wk,
            evt,
            typ,
            ..Row::default()
        });
        self.end(g, wk, key, "ok", copy);
        self.go_on(g, wk, program);
    }

    /// Removes an attempt and sends its one response, unless the gateway is gone or the worker is silent.
    fn end<N: Net>(&mut self, g: &mut Ground<N>, wk: usize, key: usize, outcome: &str, copy: u64) {
        let now = g.net.now();
        let (flight, busy) = self.report(now, wk);
        let w = &mut self.list[wk];
        let run = w.runs.remove(key);
        let here = w.gateways.iter().any(|c| c.0 == run.conn);
        if here && now < w.silent {
            // To the gateway the attempt is in flight until the connection is gone.
            w.swallowed.push((run.conn, run.evt));
        }
        if !here || now < w.silent {
            return;
        }
        let proven = matches!(outcome, "full" | "miss");
        g.row(Row {
            k: Kind::Ended,
            wk,
            evt: run.evt,
            proven,
            ..Row::default()
        });
        g.out.clear();
        let f = Frame::new(&mut g.out, kind::END)
            .whole(Field::Id, run.id)
            .text(Field::Outcome, outcome);
        let f = f
            .whole(Field::Took, now - run.came)
            .whole(Field::Copy, copy);
        let f = f.whole(Field::Company, run.company.min(30));
        let f = if self.with_answers {
            self.told(f, flight, busy)
        } else {
            f
        };
        f.bytes(Field::Payload, &run.evt.to_be_bytes()).end();
        g.net.write(run.conn, &g.out);
    }

    fn hold<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        wk: usize,
        conn: Conn,
        id: u64,
        program: usize,
        copies: u64,
    ) {
        let now = g.net.now();
        let w = &mut self.list[wk];
        let c = w.copies.entry(program).or_default();
        c.idle_since = now;
        if c.standing >= copies {
            let standing = c.standing;
            return self.held(g, wk, conn, id, "ok", standing);
        }
        if w.draining {
            return self.held(g, wk, conn, id, "full", 0);
        }
        let missing = copies.saturating_sub(c.standing + c.loading);
        for _ in 0..missing {
            if !self.load(g, wk, program) {
                let standing = self.list[wk].copies[&program].standing;
                return self.held(g, wk, conn, id, "full", standing);
            }
        }
        self.list[wk]
            .copies
            .entry(program)
            .or_default()
            .orders
            .push((conn, id, copies));
    }

    fn held<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        wk: usize,
        conn: Conn,
        id: u64,
        outcome: &str,
        copies: u64,
    ) {
        let w = &self.list[wk];
        if g.net.now() < w.silent || !w.gateways.iter().any(|c| c.0 == conn) {
            return;
        }
        g.out.clear();
        let f = Frame::new(&mut g.out, kind::HELD)
            .whole(Field::Id, id)
            .text(Field::Outcome, outcome);
        f.whole(Field::Copies, copies).end();
        g.net.write(conn, &g.out);
    }

    /// Starts one load, unloading idle instances of other functions for it, least recently used first.
    /// Returns false if there is no memory for it, or too many loads are in progress.
    fn load<N: Net>(&mut self, g: &mut Ground<N>, wk: usize, program: usize) -> bool {
        let w = &mut self.list[wk];
        if w.loads.len() >= w.most_loads {
            return false;
        }
        let needs = g.programs[program].memory;
        loop {
            let used = |c: (&usize, &Copies)| {
                (c.1.standing + c.1.loading) as f64 * g.programs[*c.0].memory
            };
            if w.copies.iter().map(used).sum::<f64>() + needs <= w.memory {
                break;
            }
            let idle = |c: &(&usize, &mut Copies)| {
                *c.0 != program && c.1.standing > 0 && c.1.running == 0 && c.1.waiting.is_empty()
            };
            let Some(oldest) = w
                .copies
                .iter_mut()
                .filter(idle)
                .min_by_key(|c| c.1.idle_since)
            else {
                return false;
            };
            oldest.1.standing = 0;
        }
        w.copies.entry(program).or_default().loading += 1;
        let key = w.loads.insert(program);
        self.loads += 1;
        if w.depot.is_none() {
            let conn = g.net.connect(self.depot, 10_000);
            g.own(conn, Owner::Fetcher(wk));
            (w.depot, w.depot_up) = (Some(conn), false);
        }
        if w.depot_up {
            Workers::fetch(g, w, key);
        }
        true
    }

    fn fetch<N: Net>(g: &mut Ground<N>, w: &Worker, key: usize) {
        let program = &g.programs[w.loads[key]];
        g.out.clear();
        let f = Frame::new(&mut g.out, kind::FETCH).whole(Field::Id, key as u64 | w.life << 32);
        f.text(Field::Function, &program.name)
            .whole(Field::LoadHint, program.fetch)
            .end();
        if let Some(conn) = w.depot {
            g.net.write(conn, &g.out);
        }
    }

    pub fn depot_there<N: Net>(&mut self, g: &mut Ground<N>, wk: usize) {
        let w = &mut self.list[wk];
        w.depot_up = true;
        g.out.clear();
        wire::hello(&mut g.out, "worker", &w.name, w.life);
        if let Some(conn) = w.depot {
            g.net.write(conn, &g.out);
        }
        let keys: Vec<usize> = w.loads.iter().map(|l| l.0).collect();
        keys.into_iter()
            .for_each(|key| Workers::fetch(g, &self.list[wk], key));
    }

    pub fn depot_gone<N: Net>(&mut self, g: &mut Ground<N>, wk: usize) {
        (self.list[wk].depot, self.list[wk].depot_up) = (None, false);
        let keys: Vec<usize> = self.list[wk].loads.iter().map(|l| l.0).collect();
        keys.into_iter().for_each(|key| self.failed(g, wk, key));
    }

    /// Handles the artifact store's response to a fetch.
    pub fn fetched<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        wk: usize,
        fields: &Fields,
    ) -> Result<(), String> {
        if fields.kind()? != kind::FETCHED {
            return Ok(());
        }
        let (id, ok) = (
            fields.whole(Field::Id)?,
            fields.text(Field::Outcome)? == "ok",
        );
        let w = &self.list[wk];
        let key = (id & 0xffff_ffff) as usize;
        if id >> 32 != w.life || !w.loads.contains(key) {
            return Ok(());
        }
        if ok {
            let takes = (g.programs[w.loads[key]].start as f64 * w.slow) as Time;
            let now = g.net.now().max(w.hung);
            g.net.set_timer(
                now + takes,
                of::START | (wk as u64) << 32 | key as u64 | (w.life & 0xffff) << 16,
            );
        } else {
            self.failed(g, wk, key);
        }
        Ok(())
    }

    /// A load failed. If no other instance is loaded or loading, the attempts that waited end as misses,
    /// never run.
    fn failed<N: Net>(&mut self, g: &mut Ground<N>, wk: usize, key: usize) {
        let w = &mut self.list[wk];
        let program = w.loads.remove(key);
        let c = w.copies.entry(program).or_default();
        c.loading -= 1;
        let standing = c.standing;
        let orders = std::mem::take(&mut c.orders);
        let waiting = if standing + c.loading == 0 {
            std::mem::take(&mut c.waiting)
        } else {
            VecDeque::new()
        };
        w.waiting -= waiting.len();
        orders
            .into_iter()
            .for_each(|(conn, id, _)| self.held(g, wk, conn, id, "error", standing));
        waiting
            .into_iter()
            .for_each(|run| self.end(g, wk, run, "miss", 4));
    }

    /// A load is complete: the instance can run attempts.
    pub fn loaded<N: Net>(&mut self, g: &mut Ground<N>, wk: usize, rest: usize) {
        let (key, life) = (rest & 0xffff, (rest >> 16) as u64);
        let now = g.net.now();
        let w = &mut self.list[wk];
        if !w.up || life != w.life & 0xffff || !w.loads.contains(key) {
            return;
        }
        let program = w.loads.remove(key);
        let c = w.copies.entry(program).or_default();
        c.loading -= 1;
        c.standing += 1;
        c.idle_since = now;
        let standing = c.standing;
        let (ready, wait) = std::mem::take(&mut c.orders)
            .into_iter()
            .partition(|o| o.2 <= standing);
        c.orders = wait;
        let ready: Vec<(Conn, u64, u64)> = ready;
        ready
            .into_iter()
            .for_each(|(conn, id, _)| self.held(g, wk, conn, id, "ok", standing));
        self.go_on(g, wk, program);
    }

    pub fn idle<N: Net>(&mut self, g: &mut Ground<N>) {
        let now = g.net.now();
        g.net.set_timer(now + IDLE, of::IDLE);
        for w in &mut self.list {
            for c in w.copies.values_mut() {
                // Longer by one interval than `stays_loaded_ms`, the minimum that the settings state.
                if c.running == 0 && c.waiting.is_empty() && now > c.idle_since + self.stays + IDLE
                {
                    c.standing = 0;
                }
            }
        }
        let longest = self.windows.iter().max().copied().unwrap_or(0);
        self.marks
            .iter_mut()
            .for_each(|m| m.retain(|_, first| now < *first + longest));
    }

    /// A gateway's connection is gone: its running attempts continue, but send no response.
    pub fn gateway_gone<N: Net>(&mut self, g: &mut Ground<N>, wk: usize, conn: Conn) {
        let w = &mut self.list[wk];
        w.gateways.retain(|c| c.0 != conn);
        w.members.retain(|c| c.0 != conn);
        let mut out: Vec<u64> = w
            .runs
            .iter()
            .filter(|r| r.1.conn == conn)
            .map(|r| r.1.evt)
            .collect();
        out.extend(w.swallowed.iter().filter(|s| s.0 == conn).map(|s| s.1));
        w.swallowed.retain(|s| s.0 != conn);
        out.into_iter().for_each(|evt| {
            g.row(Row {
                k: Kind::Cut,
                wk,
                evt,
                ..Row::default()
            })
        });
    }

    /// Closes all sockets without notice and discards instances, attempts and loads, as a killed process
    /// does.
    pub fn kill<N: Net>(&mut self, g: &mut Ground<N>, wk: usize) {
        let conns: Vec<(Conn, usize)> = self.list[wk].gateways.iter().map(|c| (c.0, c.1)).collect();
        for (conn, gw) in conns {
            if gw != usize::MAX {
                g.row(Row {
                    k: Kind::Lost,
                    gw,
                    wk,
                    ..Row::default()
                });
            }
            self.gateway_gone(g, wk, conn);
            g.own(conn, Owner::Nobody);
            g.net.reset(conn);
        }
        let w = &mut self.list[wk];
        if let Some(listener) = w.listener.take() {
            g.net.stop_listening(listener);
        }
        if let Some(conn) = w.depot.take() {
            g.own(conn, Owner::Nobody);
            g.net.reset(conn);
        }
        for (_, run) in &w.runs {
            if let Some(d) = run.deadline {
                g.net.cancel_timer(d);
            }
            // An attempt that was still running had no effect, so its idempotency key is forgotten.
            if run.mark > 0 && run.running {
                let hall = if self.alls[g.programs[run.program].typ] {
                    0
                } else {
                    w.zone
                };
                self.marks[hall].remove(&run.mark);
            }
        }
        w.runs.clear();
        w.copies.clear();
        w.loads.clear();
        w.pushed.clear();
        (w.up, w.busy, w.waiting, w.depot_up) = (false, 0, 0, false);
    }

    /// Starts the worker again, cold and without instances. Returns false if its address is taken.
    pub fn start<N: Net>(&mut self, g: &mut Ground<N>, wk: usize) -> bool {
        let at = self.list[wk].at;
        let Ok((listener, _)) = g.net.listen(at) else {
            return false;
        };
        let now = g.net.now();
        let (cold, from) = self.cold;
        let w = &mut self.list[wk];
        (w.listener, w.up, w.draining) = (Some(listener), true, false);
        (w.life, w.since, w.hung, w.silent, w.slow) = (w.life + 1, now, 0, 0, 1.0);
        let capacity = w.cores * w.speed;
        g.row(Row {
            k: Kind::Started,
            wk,
            capacity,
            from,
            left: cold,
            ..Row::default()
        });
        true
    }

    pub fn hang<N: Net>(&mut self, g: &mut Ground<N>, wk: usize, until: Time) {
        let w = &mut self.list[wk];
        w.hung = until;
        w.gateways
            .iter()
            .for_each(|c| g.net.set_read_paused(c.0, true));
    }

    pub fn go<N: Net>(&mut self, g: &mut Ground<N>, wk: usize) {
        let w = &mut self.list[wk];
        w.hung = 0;
        w.gateways
            .iter()
            .for_each(|c| g.net.set_read_paused(c.0, false));
    }

    /// Closes the gateways' connections in the middle of a frame.
    pub fn torn<N: Net>(&mut self, g: &mut Ground<N>, wk: usize) {
        self.list[wk].members.clear();
        for (conn, _) in std::mem::take(&mut self.list[wk].gateways) {
            let w = &mut self.list[wk];
            let mut out: Vec<u64> = w
                .runs
                .iter()
                .filter(|r| r.1.conn == conn)
                .map(|r| r.1.evt)
                .collect();
            out.extend(w.swallowed.iter().filter(|s| s.0 == conn).map(|s| s.1));
            w.swallowed.retain(|s| s.0 != conn);
            out.into_iter().for_each(|evt| {
                g.row(Row {
                    k: Kind::Cut,
                    wk,
                    evt,
                    ..Row::default()
                })
            });
            // The header of a frame of 100 bytes, and only two of them.
            g.net.write(conn, &[0, 0, 0, 100, 0xb8, 2]);
            g.own(conn, Owner::Nobody);
            g.net.close(conn);
        }
    }

    pub fn drain<N: Net>(&mut self, g: &mut Ground<N>, wk: usize) {
        let w = &mut self.list[wk];
        w.draining = true;
        // Connected gateways are told by the worker itself, others by the discovery server.
        for (conn, gw) in w.gateways.clone() {
            if gw != usize::MAX {
                g.out.clear();
                Frame::new(&mut g.out, kind::DRAINS).end();
                g.net.write(conn, &g.out);
                g.row(Row {
                    k: Kind::Told,
                    gw,
                    wk,
                    ..Row::default()
                });
            }
        }
    }

    pub fn void(&mut self) {
        for c in self.list.iter_mut().flat_map(|w| w.copies.values_mut()) {
            if c.running == 0 {
                c.standing = 0;
            }
        }
    }
}

/// The idempotency key of a request: all client attempts of one request have the same.
pub fn mark(evt: u64) -> u64 {
    evt / TRIES + 1
}
