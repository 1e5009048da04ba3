//! The five rules, checked from what the stand-ins' ends of the sockets recorded and never from a gateway's own
//! word. Rows come in the order of their times. A rule that no row put to the test is reported as such.
pub mod rows;

use rows::{Group, Kind, Row, Rules, Type};
use std::collections::{BTreeMap, VecDeque};

/// Tenths of a millisecond.
type Time = u64;

/// How long after its client gave up an answer may still be on its way across loopback and a busy machine.
pub const GRACE: Time = 500;

/// One rule: the cases that put it to the test, and each breach in a line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    pub cases: u64,
    pub breaches: Vec<String>,
}

#[derive(Default)]
struct Event {
    gateway: usize,
    typ: usize,
    until: Time,
    /// Answered, left, given up or lost.
    over: bool,
    left: Option<Time>,
    launches: Vec<Launch>,
}

struct Launch {
    wk: usize,
    at: Time,
    /// When it ended at the worker, and whether that proves that it has not run.
    ended: Option<Time>,
    proven: bool,
}

pub const RULES: [&str; 6] = [
    "each event taken gets one final answer in time",
    "no effect twice",
    "drains kept",
    "no cold worker pushed over",
    "orders to load rationed",
    "no two holders act on a task at once",
];

pub struct Audit {
    rules: Rules,
    events: BTreeMap<u64, Event>,
    /// Gateways that are down now, with the time of the kill.
    down: BTreeMap<usize, Time>,
    /// When a gateway's process was stopped last, and when it went on.
    still: BTreeMap<usize, (Time, Time)>,
    /// By event: where and when it ran.
    ran: BTreeMap<u64, Vec<(usize, Time)>>,
    /// When no client could reach a gateway.
    away: BTreeMap<usize, Vec<(Time, Time)>>,
    /// Events that fell due meanwhile.
    pub excused: u64,
    told: BTreeMap<(usize, usize), Time>,
    cold: BTreeMap<usize, Cold>,
    orders: BTreeMap<usize, VecDeque<Time>>,
    taken: BTreeMap<usize, VecDeque<Time>>,
    /// By task: the newest epoch of which an act came, and whose; by worker too: the newest that took effect.
    reached: BTreeMap<u64, Reached>,
    effects: BTreeMap<(u64, usize), u64>,
    pub verdicts: [Verdict; 6],
    /// Acts on fleet-wide tasks that came in time.
    pub acts: u64,
    /// When keepers of leases died: with them goes the memory of epochs.
    lost: Vec<(Time, usize)>,
}

/// The holder whose act on a task came last, since when, and the epochs of holders before it.
#[derive(Default)]
struct Reached {
    epoch: u64,
    whose: (usize, u64),
    since: Time,
    former: BTreeMap<u64, (usize, u64)>,
}

/// A worker since its last start: what it can do, and the work that reached it within the window.
struct Cold {
    since: Time,
    capacity: f64,
    from: f64,
    warm_after: Time,
    work: VecDeque<(Time, f64)>,
    sum: f64,
    broken: bool,
}

impl Audit {
    pub fn new(rules: Rules) -> Audit {
        Audit {
            rules,
            events: BTreeMap::new(),
            down: BTreeMap::new(),
            still: BTreeMap::new(),
            ran: BTreeMap::new(),
            away: BTreeMap::new(),
            excused: 0,
            told: BTreeMap::new(),
            cold: BTreeMap::new(),
            orders: BTreeMap::new(),
            taken: BTreeMap::new(),
            reached: BTreeMap::new(),
            effects: BTreeMap::new(),
            verdicts: Default::default(),
            acts: 0,
            lost: Vec::new(),
        }
    }

    fn breach(&mut self, rule: usize, at: Time, what: String) {
        self.verdicts[rule - 1]
            .breaches
            .push(format!("{:.1} ms: {what}", at as f64 / 10.0));
    }

    pub fn row(&mut self, row: &Row) {
        let t = row.t;
        match row.k {
            Kind::Asked => self.asked(row),
            Kind::Answered => self.answered(row),
            Kind::TurnedAway => {
                // It was never taken.
                self.events.remove(&row.evt);
                if let Some(taken) = self.taken.get_mut(&row.gw) {
                    taken.pop_back();
                }
            }
            Kind::AskedAgain => {
                let waits = self.events.get(&row.evt).is_some_and(|e| !e.over);
                self.verdicts[0].cases += u64::from(waits);
            }
            Kind::Away => self.away.entry(row.gw).or_default().push((t, Time::MAX)),
            Kind::Back => {
                if let Some(last) = self.away.get_mut(&row.gw).and_then(|a| a.last_mut()) {
                    last.1 = t;
                }
            }
            Kind::Left => {
                if let Some(e) = self.events.get_mut(&row.evt) {
                    (e.over, e.left) = (true, Some(t));
                }
            }
            Kind::GaveUp => {
                let Some(e) = self.events.get_mut(&row.evt).filter(|e| !e.over) else {
                    return;
                };
                e.over = true;
                let (gw, until) = (e.gateway, e.until);
                if self.excused(gw, until) {
                    self.excused += 1;
                } else {
                    self.breach(
                        1,
                        t,
                        format!(
                            "event {} had no answer from gateway {gw} in its time",
                            row.evt
                        ),
                    );
                }
            }
            Kind::Broke => {
                // The client's end of a connection: what was out there is lost, which only a kill excuses.
                let Some(e) = self.events.get_mut(&row.evt).filter(|e| !e.over) else {
                    return;
                };
                e.over = true;
                let gw = e.gateway;
                if !self.down.contains_key(&gw) {
                    let what = format!(
                        "event {} was dropped by gateway {gw} with its connection",
                        row.evt
                    );
                    self.breach(1, t, what);
                }
            }
            Kind::Killed => {
                self.down.insert(row.gw, t);
                if self.rules.keepers.contains(&row.gw) {
                    self.lost.push((t, row.gw));
                }
            }
            Kind::Up => {
                self.down.remove(&row.gw);
                // A new life has been told nothing yet.
                if !self.rules.pair {
                    self.told.retain(|k, _| k.0 != row.gw);
                }
            }
            Kind::Still => {
                self.still.insert(row.gw, (t, Time::MAX));
            }
            Kind::Going => {
                self.still.entry(row.gw).and_modify(|s| s.1 = t);
            }
            Kind::Launched => self.launched(row),
            Kind::Ended => {
                let proven = row.proven;
                if let Some(l) = self.launch(row) {
                    (l.ended, l.proven) = (Some(t), proven);
                }
            }
            Kind::Cut => {
                if let Some(l) = self.launch(row).filter(|l| l.ended.is_none()) {
                    l.ended = Some(t);
                }
            }
            Kind::Ran => {
                let (typ, wk) = (self.rules.types[row.typ], row.wk);
                // All tries of a client for one event count together.
                let ran = self.ran.entry(row.evt / rows::TRIES).or_default();
                ran.push((wk, t));
                let (last, before) = ran.split_last().expect("one was just added");
                let again = match typ {
                    Type::Redeliverable => false,
                    Type::AtMostOnce => !before.is_empty(),
                    Type::Keyed(group, window) => before
                        .iter()
                        .any(|b| near(&self.rules, group, b.0, wk) && last.1 < b.1 + window),
                };
                if again {
                    self.breach(
                        2,
                        t,
                        format!("event {} had its effect again at worker {wk}", row.evt),
                    );
                }
            }
            Kind::Told => {
                if row.on {
                    self.told.remove(&(row.gw, row.wk));
                } else {
                    let verdict = &mut self.verdicts[2];
                    self.told.entry((row.gw, row.wk)).or_insert_with(|| {
                        verdict.cases += 1;
                        t
                    });
                }
            }
            Kind::Lost => {
                let (began, until) = self.still.get(&row.gw).copied().unwrap_or((Time::MAX, 0));
                let unread = |at: Time| until == Time::MAX && at >= began;
                self.told
                    .retain(|k, at| k.0 != row.gw || !(row.on || k.1 == row.wk) || !unread(*at));
            }
            Kind::Started => {
                let cold = Cold {
                    since: t,
                    capacity: row.capacity,
                    from: row.from,
                    warm_after: row.left,
                    work: VecDeque::new(),
                    sum: 0.0,
                    broken: false,
                };
                self.cold.insert(row.wk, cold);
            }
            Kind::Fell => {
                self.verdicts[3].cases += 1;
                self.breach(4, t, format!("worker {} fell over", row.wk));
            }
            Kind::Ordered => self.ordered(row),
            Kind::Acted => self.acted(row),
        }
    }

    /// A gateway that is not running owes no answer: it was killed, or stood still when the time came.
    fn excused(&self, gw: usize, until: Time) -> bool {
        let stood = self
            .still
            .get(&gw)
            .is_some_and(|s| until >= s.0 && until <= s.1.saturating_add(GRACE));
        if self.rules.pair {
            // The other member answers for a killed one.
            let away = self.away.get(&gw).into_iter().flatten();
            return stood
                || away
                    .into_iter()
                    .any(|a| until + GRACE >= a.0 && until <= a.1.saturating_add(GRACE));
        }
        self.down.contains_key(&gw) || stood
    }

    fn launch(&mut self, row: &Row) -> Option<&mut Launch> {
        let launches = &mut self.events.get_mut(&row.evt)?.launches;
        launches
            .iter_mut()
            .rev()
            .find(|l| l.wk == row.wk && l.ended.is_none())
    }

    fn asked(&mut self, row: &Row) {
        self.verdicts[0].cases += 1;
        // Another try of an event that may have run: its repeat puts the second rule to the test.
        let first = row.evt / rows::TRIES * rows::TRIES;
        let mut others = self.events.range(first..first + rows::TRIES);
        let launched = others.any(|e| *e.0 != row.evt && !e.1.launches.is_empty());
        self.verdicts[1].cases +=
            u64::from(launched && self.rules.types[row.typ] != Type::Redeliverable);
        let event = Event {
            gateway: row.gw,
            typ: row.typ,
            until: row.t + row.left,
            ..Event::default()
        };
        self.events.insert(row.evt, event);
        self.taken.entry(row.gw).or_default().push_back(row.t);
    }

    fn answered(&mut self, row: &Row) {
        let (t, evt) = (row.t, row.evt);
        let Some(e) = self.events.get_mut(&evt) else {
            return self.breach(1, t, format!("event {evt} was answered and never asked"));
        };
        // A gateway that stood still hears of a leaving when it goes on, behind what came before it.
        let still = self
            .still
            .get(&e.gateway)
            .copied()
            .unwrap_or((Time::MAX, 0));
        let heard = |left: Time| {
            if left >= still.0 {
                left.max(still.1)
            } else {
                left
            }
        };
        let crossed = e
            .left
            .is_some_and(|left| t <= heard(left).saturating_add(GRACE));
        if e.over && !crossed {
            return self.breach(1, t, format!("event {evt} got a further answer"));
        }
        let late = t > e.until + GRACE;
        e.over = true;
        // One that left has given its answer up; whatever crosses it counts once.
        e.left = None;
        let unproven = e.launches.iter().any(|l| !l.proven);
        let typ = self.rules.types[e.typ];
        let launched = !e.launches.is_empty();
        if late {
            self.breach(
                1,
                t,
                format!("event {evt} was answered after its client gave up"),
            );
        }
        if row.deferred && typ != Type::Redeliverable && launched {
            self.verdicts[1].cases += 1;
            let harmless = matches!(typ, Type::Keyed(Group::All, _));
            if unproven && !harmless {
                self.breach(
                    2,
                    t,
                    format!("event {evt} was deferred though it may have run"),
                );
            }
        }
    }

    fn launched(&mut self, row: &Row) {
        let (t, evt, gw, wk) = (row.t, row.evt, row.gw, row.wk);
        if let Some(told) = self
            .told
            .get(&(gw, wk))
            .copied()
            .filter(|told| t > told + self.rules.drain_grace)
        {
            let late = (t - told) / 10;
            self.breach(
                3,
                t,
                format!("gateway {gw} sent event {evt} to worker {wk} {late} ms after its drain"),
            );
        }
        self.pushed(row);
        let Some(e) = self.events.get_mut(&evt) else {
            // Turned away, or not asked on a recorded connection.
            return self.breach(
                1,
                t,
                format!("event {evt} was launched and is in no gateway's hands"),
            );
        };
        let typ = self.rules.types[e.typ];
        let mut broken = Vec::new();
        let again = !e.launches.is_empty();
        // An end that crosses the next launch within the grace of a wake-up is no overlap.
        if !self.rules.two_at_once
            && e.launches
                .iter()
                .any(|l| l.ended.is_none() && l.at + GRACE < t)
        {
            broken.push(format!(
                "event {evt} went to worker {wk} while another launch was out"
            ));
        }
        for l in e.launches.iter().filter(|l| !l.proven) {
            let good = match typ {
                Type::Redeliverable => true,
                Type::AtMostOnce => false,
                Type::Keyed(group, window) => {
                    near(&self.rules, group, l.wk, wk) && t <= l.at + window + GRACE
                }
            };
            if !good {
                broken.push(format!(
                    "event {evt} went to worker {wk} though it may have run at {}",
                    l.wk
                ));
            }
        }
        e.launches.push(Launch {
            wk,
            at: t,
            ended: None,
            proven: false,
        });
        self.verdicts[1].cases += u64::from(again);
        broken.into_iter().for_each(|what| self.breach(2, t, what));
    }

    /// Work that reaches a cold worker, by all gateways together, against its fall.
    fn pushed(&mut self, row: &Row) {
        let (t, window, multiple) = (row.t, self.rules.fall, self.rules.fall_multiple);
        let Some(c) = self.cold.get_mut(&row.wk) else {
            return;
        };
        let age = t - c.since;
        if age >= c.warm_after {
            return;
        }
        c.work.push_back((t, row.work));
        c.sum += row.work;
        while c.work.front().is_some_and(|w| w.0 + window < t) {
            c.sum -= c.work.pop_front().map_or(0.0, |w| w.1);
        }
        let part = c.from + (1.0 - c.from) * age as f64 / c.warm_after.max(1) as f64;
        let most = multiple * part * c.capacity * window as f64;
        let over = c.sum > most && !std::mem::replace(&mut c.broken, c.sum > most);
        let sum = c.sum;
        self.verdicts[3].cases += 1;
        if over {
            let what = format!(
                "worker {} was sent {:.0} ms of work, {:.0} ms tips it",
                row.wk,
                sum / 10.0,
                most / 10.0
            );
            self.breach(4, t, what);
        }
    }

    fn ordered(&mut self, row: &Row) {
        let (t, gw, wk) = (row.t, row.gw, row.wk);
        if row.copies == 0 {
            return;
        }
        if self
            .told
            .get(&(gw, wk))
            .is_some_and(|told| t > told + self.rules.drain_grace)
        {
            self.breach(
                3,
                t,
                format!("gateway {gw} ordered a load at worker {wk} after its drain"),
            );
        }
        let window = self.rules.load_window;
        if window == 0 {
            return;
        }
        let orders = self.orders.entry(gw).or_default();
        orders.push_back(t);
        while orders.front().is_some_and(|o| o + window < t) {
            orders.pop_front();
        }
        // Events left their clients a little before the gateway counted them.
        let taken = self.taken.entry(gw).or_default();
        while taken.front().is_some_and(|o| o + window + GRACE < t) {
            taken.pop_front();
        }
        let most = self.rules.load_free + self.rules.load_share * taken.len() as f64;
        let count = orders.len();
        self.verdicts[4].cases += 1;
        if count as f64 > most {
            self.breach(
                5,
                t,
                format!("gateway {gw} gave {count} orders in the window, {most:.1} are allowed"),
            );
        }
    }

    /// An act on a fleet-wide task came to a worker, in time by the worker's own clock.
    fn acted(&mut self, row: &Row) {
        let (t, task, epoch, wk, whose) = (row.t, row.task, row.epoch, row.wk, (row.gw, row.life));
        self.acts += 1;
        let r = self.reached.entry(task).or_default();
        // Another holder than the last one puts the rule to the test.
        let other = r.epoch > 0 && whose != r.whose;
        self.verdicts[5].cases += u64::from(other);
        let (last, before, since) = (r.epoch, r.former.get(&epoch).copied(), r.since);
        let former = r.whose.0;
        if epoch != r.epoch {
            if other {
                r.since = t;
            }
            r.former.insert(r.epoch, r.whose);
            (r.epoch, r.whose) = (epoch, whose);
        }
        if other && epoch == last || before.is_some_and(|b| b != whose) {
            self.breach(
                6,
                t,
                format!("task {task}: epoch {epoch} was used by two holders"),
            );
        }
        // Acts of one holder come in one piece, and epochs rise unless keepers forgot them.
        let back = before.is_some() || epoch < last && !self.forgot(since);
        if other && back && !self.rules.wild_clocks {
            let a = whose.0;
            self.breach(
                6,
                t,
                format!("task {task}: gateway {a} acts though gateway {former} does, which holds it since"),
            );
        }
        if row.on {
            let effect = self.effects.entry((task, wk)).or_insert(0);
            let older = epoch < std::mem::replace(effect, (*effect).max(epoch));
            if older {
                let what = format!(
                    "task {task}: an act under epoch {epoch} took effect at worker {wk} after a newer one's"
                );
                self.breach(6, t, what);
            }
        }
    }

    /// Whether a keeper may have lost what it granted to whoever acted first at that time: two majorities may meet in that
    /// one alone, and the next epoch is then no higher one. Leases that run are not lost with it.
    fn forgot(&self, since: Time) -> bool {
        self.lost.iter().any(|l| l.0 + self.rules.term >= since)
    }

    /// What is still open at the end of the record.
    pub fn end(&mut self, at: Time) {
        let open: Vec<u64> = self
            .events
            .iter()
            .filter(|e| !e.1.over)
            .map(|e| *e.0)
            .collect();
        for evt in open {
            let (gateway, until) = (self.events[&evt].gateway, self.events[&evt].until);
            if at > until + GRACE && !self.excused(gateway, until) {
                self.breach(
                    1,
                    at,
                    format!("event {evt} never got an answer from gateway {gateway}"),
                );
            }
        }
    }

    pub fn breaches(&self) -> usize {
        self.verdicts.iter().map(|v| v.breaches.len()).sum()
    }
}

fn near(rules: &Rules, group: Group, a: usize, b: usize) -> bool {
    match group {
        Group::All => true,
        Group::Zone => rules.zones[a] == rules.zones[b],
        Group::Cell => rules.cells[a] == rules.cells[b],
    }
}

/// Checks a whole record: the rules in its first line, then the rows.
pub fn check(lines: impl Iterator<Item = String>) -> Result<Audit, String> {
    let mut audit = None;
    let mut last = 0;
    for (i, line) in lines.enumerate() {
        let bad = |e: serde_json::Error| format!("record line {}: {e}", i + 1);
        match &mut audit {
            None => audit = Some(Audit::new(serde_json::from_str(&line).map_err(bad)?)),
            Some(audit) => {
                let row: Row = serde_json::from_str(&line).map_err(bad)?;
                last = row.t;
                audit.row(&row);
            }
        }
    }
    let mut audit = audit.ok_or("record line 1: it is empty")?;
    audit.end(last);
    Ok(audit)
}
