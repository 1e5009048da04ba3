//! The emulated discovery server: it publishes the workers' states with a delay, and reports a hung process
//! as gone only after the silence timeout.
use crate::workers::{At, Workers};
use crate::{of, Ground, Owner};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tidewall_audit::rows::{Kind, Row};
use tidewall_config::Section;
use tidewall_net::{Conn, Listener, Net, Time};
use tidewall_wire::{self as wire, kind, Entries, Field, Fields, Frame};

pub struct Roster {
    pub listener: Option<Listener>,
    pub at: SocketAddr,
    zones: Vec<String>,
    late: Time,
    pub silent_notice: Time,
    /// Connections that subscribed to updates, with the gateway's index.
    followers: Vec<(Conn, usize)>,
    greeted: Vec<(Conn, usize)>,
    /// Published state, incarnation and start time of each worker.
    known: Vec<(At, u64, Time)>,
    /// Changes not yet published: when they will be, worker, state, incarnation, start time.
    news: VecDeque<(Time, usize, At, u64, Time)>,
    /// Nothing is sent before this time.
    pub silent: Time,
    generation: u64,
}

impl Roster {
    pub fn new<N: Net>(
        g: &mut Ground<N>,
        settings: &Section,
        fleet: &Section,
        workers: &Workers,
    ) -> Result<Roster, String> {
        let at = settings.section("roster").text("address");
        let (listener, at) = g
            .net
            .listen(at.parse().expect("checked"))
            .map_err(|e| format!("{at}: roster: {e}"))?;
        Ok(Roster {
            listener: Some(listener),
            at,
            zones: settings.strings("zone"),
            late: fleet.duration("roster_late_ms"),
            silent_notice: fleet.duration("silent_notice_ms"),
            followers: Vec::new(),
            greeted: Vec::new(),
            known: workers.list.iter().map(|w| (At::On, w.life, 0)).collect(),
            news: VecDeque::new(),
            silent: 0,
            generation: 0,
        })
    }

    pub fn accepted<N: Net>(&mut self, g: &mut Ground<N>, conn: Conn) {
        g.own(conn, Owner::Roster);
    }

    pub fn closed(&mut self, conn: Conn) {
        self.followers.retain(|f| f.0 != conn);
        self.greeted.retain(|f| f.0 != conn);
    }

    pub fn frame<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), String> {
        match fields.kind()? {
            kind::HELLO => {
                wire::greeted(fields)?;
                self.greeted
                    .push((conn, fields.whole(Field::Life)? as usize));
                g.out.clear();
                wire::hello(&mut g.out, "roster", "roster", 1);
                g.net.write(conn, &g.out);
            }
            kind::FOLLOW | kind::LOOK_UP => {
                let gw = self.greeted.iter().find(|c| c.0 == conn).map(|c| c.1);
                let gw = gw.ok_or("field kind: a hello comes first")?;
                if fields.kind()? == kind::FOLLOW && !self.followers.iter().any(|f| f.0 == conn) {
                    self.followers.push((conn, gw));
                }
                if g.net.now() >= self.silent {
                    let all: Vec<usize> = (0..self.known.len()).collect();
                    self.send(g, conn, gw, "whole", &all);
                }
            }
            other => return Err(format!("field kind: {other} is not for a roster")),
        }
        Ok(())
    }

    /// A worker's state changed; publishes it after `wait`, or after the configured delay.
    pub fn news<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        wk: usize,
        at: At,
        life: u64,
        since: Time,
        wait: Option<Time>,
    ) {
        let when = g.net.now() + wait.unwrap_or(self.late);
        self.news.push_back((when, wk, at, life, since));
        g.net.set_timer(when, of::TELL);
    }

    /// Drops the pending reports that a worker is gone: its hung process has resumed.
    pub fn unsay(&mut self, wk: usize) {
        self.news.retain(|n| n.1 != wk || n.2 != At::Gone);
    }

    pub fn tell<N: Net>(&mut self, g: &mut Ground<N>, _workers: &Workers) {
        let now = g.net.now();
        let mut changed = Vec::new();
        self.news.retain(|&(when, wk, at, life, since)| {
            if when <= now {
                self.known[wk] = (at, life, since);
                changed.push(wk);
            }
            when > now
        });
        if now < self.silent {
            // Changes made in the meantime are sent afterwards, as a complete list.
            g.net.set_timer(self.silent, of::TELL);
            return;
        }
        let all: Vec<usize> = (0..self.known.len()).collect();
        let after = self.silent > 0;
        for (conn, gw) in self.followers.clone() {
            if after {
                self.send(g, conn, gw, "whole", &all);
            } else if !changed.is_empty() {
                self.send(g, conn, gw, "patch", &changed);
            }
        }
        self.silent = 0;
    }

    fn send<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        conn: Conn,
        gw: usize,
        scope: &str,
        which: &[usize],
    ) {
        let now = g.net.now();
        let mut list = Entries::default();
        self.generation += 1;
        for wk in which.iter().copied() {
            let (at, life, since) = self.known[wk];
            if scope == "whole" && at == At::Gone {
                g.row(Row {
                    k: Kind::Told,
                    gw,
                    wk,
                    ..Row::default()
                });
                continue;
            }
            let (name, place, zone, machine, rating) = g.listed[wk].clone();
            let word = match at {
                At::On => "on",
                At::Draining => "draining",
                At::Gone => "gone",
            };
            list.add(|f| {
                let f = f
                    .text(Field::Name, &name)
                    .text(Field::Place, &place.to_string());
                let f = f
                    .text(Field::Zone, &self.zones[zone])
                    .text(Field::Machine, &machine);
                let f = f.whole(Field::Cell, wk as u64).text(Field::Standing, word);
                let f = f.real(Field::Rating, rating).whole(Field::Life, life);
                if since > 0 {
                    f.whole(Field::Age, (now - since).max(1))
                } else {
                    f
                }
            });
            g.row(Row {
                k: Kind::Told,
                gw,
                wk,
                on: at == At::On,
                ..Row::default()
            });
        }
        g.out.clear();
        let f = Frame::new(&mut g.out, kind::ROSTER).text(Field::Scope, scope);
        f.whole(Field::Generation, self.generation)
            .entries(&list)
            .end();
        g.net.write(conn, &g.out);
    }

    /// Stops listening and resets all connections of gateways, until `back`.
    pub fn gone<N: Net>(&mut self, g: &mut Ground<N>) {
        if let Some(listener) = self.listener.take() {
            g.net.stop_listening(listener);
        }
        for (_, gw) in &self.followers {
            g.row(Row {
                k: Kind::Lost,
                gw: *gw,
                on: true,
                ..Row::default()
            });
        }
        for (conn, _) in std::mem::take(&mut self.greeted) {
            g.own(conn, Owner::Nobody);
            g.net.reset(conn);
        }
        self.followers.clear();
    }

    pub fn back<N: Net>(&mut self, g: &mut Ground<N>) {
        if self.listener.is_none() {
            self.listener = g.net.listen(self.at).ok().map(|l| l.0);
        }
    }
}
