//! The emulated discovery server: it publishes the workers' states with a delay, and reports a hung process
//! as gone only after the silence timeout.
use crate::workers::{WorkerStatus, Workers};
use crate::{timer_kind, Context, Owner};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tidewall_audit::rows::{Kind, Row};
use tidewall_config::Section;
use tidewall_net::{Conn, Listener, Net, Time};
use tidewall_wire::{self as wire, kind, Entries, Field, Fields, Frame};

pub struct DiscoveryServer {
    pub listener: Option<Listener>,
    pub address: SocketAddr,
    zones: Vec<String>,
    delay: Time,
    pub silence_timeout: Time,
    /// Connections that subscribed to updates, with the gateway's index.
    subscribers: Vec<(Conn, usize)>,
    gateways: Vec<(Conn, usize)>,
    /// Published state, incarnation and start time of each worker.
    published: Vec<(WorkerStatus, u64, Time)>,
    /// Changes not yet published: when they will be, worker, state, incarnation, start time.
    pending: VecDeque<(Time, usize, WorkerStatus, u64, Time)>,
    /// Nothing is sent before this time.
    pub silent_until: Time,
    generation: u64,
}

impl DiscoveryServer {
    pub fn new<N: Net>(
        context: &mut Context<N>,
        settings: &Section,
        fleet: &Section,
        workers: &Workers,
    ) -> Result<DiscoveryServer, String> {
        let address = settings.section("roster").text("address");
        let (listener, address) = context
            .net
            .listen(address.parse().expect("checked"))
            .map_err(|e| format!("{address}: roster: {e}"))?;
        Ok(DiscoveryServer {
            listener: Some(listener),
            address,
            zones: settings.strings("zone"),
            delay: fleet.duration("roster_late_ms"),
            silence_timeout: fleet.duration("silent_notice_ms"),
            subscribers: Vec::new(),
            gateways: Vec::new(),
            published: workers
                .list
                .iter()
                .map(|w| (WorkerStatus::Active, w.incarnation, 0))
                .collect(),
            pending: VecDeque::new(),
            silent_until: 0,
            generation: 0,
        })
    }

    pub fn accepted<N: Net>(&mut self, context: &mut Context<N>, conn: Conn) {
        context.set_owner(conn, Owner::DiscoveryServer);
    }

    pub fn closed(&mut self, conn: Conn) {
        self.subscribers.retain(|entry| entry.0 != conn);
        self.gateways.retain(|entry| entry.0 != conn);
    }

    pub fn handle_frame<N: Net>(
        &mut self,
        context: &mut Context<N>,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), String> {
        match fields.kind()? {
            kind::HELLO => {
                wire::greeted(fields)?;
                self.gateways
                    .push((conn, fields.whole(Field::Life)? as usize));
                context.buffer.clear();
                wire::hello(&mut context.buffer, "roster", "roster", 1);
                context.net.write(conn, &context.buffer);
            }
            kind::FOLLOW | kind::LOOK_UP => {
                let gateway = self.gateways.iter().find(|c| c.0 == conn).map(|c| c.1);
                let gateway = gateway.ok_or("field kind: a hello comes first")?;
                if fields.kind()? == kind::FOLLOW
                    && !self.subscribers.iter().any(|entry| entry.0 == conn)
                {
                    self.subscribers.push((conn, gateway));
                }
                if context.net.now() >= self.silent_until {
                    let all: Vec<usize> = (0..self.published.len()).collect();
                    self.send(context, conn, gateway, "whole", &all);
                }
            }
            other => return Err(format!("field kind: {other} is not for a roster")),
        }
        Ok(())
    }

    /// A worker's state changed; publishes it after `wait`, or after the configured delay.
    pub fn report<N: Net>(
        &mut self,
        context: &mut Context<N>,
        worker: usize,
        status: WorkerStatus,
        incarnation: u64,
        started_at: Time,
        wait: Option<Time>,
    ) {
        let publish_at = context.net.now() + wait.unwrap_or(self.delay);
        self.pending
            .push_back((publish_at, worker, status, incarnation, started_at));
        context.net.set_timer(publish_at, timer_kind::PUBLISH);
    }

    /// Drops the pending reports that a worker is gone: its hung process has resumed.
    pub fn withdraw_gone(&mut self, worker: usize) {
        self.pending
            .retain(|change| change.1 != worker || change.2 != WorkerStatus::Gone);
    }

    pub fn publish<N: Net>(&mut self, context: &mut Context<N>, _workers: &Workers) {
        let now = context.net.now();
        let mut changed = Vec::new();
        self.pending
            .retain(|&(publish_at, worker, status, incarnation, started_at)| {
                if publish_at <= now {
                    self.published[worker] = (status, incarnation, started_at);
                    changed.push(worker);
                }
                publish_at > now
            });
        if now < self.silent_until {
            // Changes made in the meantime are sent afterwards, as a complete list.
            context
                .net
                .set_timer(self.silent_until, timer_kind::PUBLISH);
            return;
        }
        let all: Vec<usize> = (0..self.published.len()).collect();
        let was_silent = self.silent_until > 0;
        for (conn, gateway) in self.subscribers.clone() {
            if was_silent {
                self.send(context, conn, gateway, "whole", &all);
            } else if !changed.is_empty() {
                self.send(context, conn, gateway, "patch", &changed);
            }
        }
        self.silent_until = 0;
    }

    fn send<N: Net>(
        &mut self,
        context: &mut Context<N>,
        conn: Conn,
        gateway: usize,
        scope: &str,
        which: &[usize],
    ) {
        let now = context.net.now();
        let mut list = Entries::default();
        self.generation += 1;
        for worker in which.iter().copied() {
            let (status, incarnation, started_at) = self.published[worker];
            if scope == "whole" && status == WorkerStatus::Gone {
                context.record_row(Row {
                    kind: Kind::Told,
                    gateway,
                    worker,
                    ..Row::default()
                });
                continue;
            }
            let (name, address, zone, machine_kind, rating) = context.endpoints[worker].clone();
            let status_word = match status {
                WorkerStatus::Active => "on",
                WorkerStatus::Draining => "draining",
                WorkerStatus::Gone => "gone",
            };
            list.add(|f| {
                let f = f
                    .text(Field::Name, &name)
                    .text(Field::Place, &address.to_string());
                let f = f
                    .text(Field::Zone, &self.zones[zone])
                    .text(Field::Machine, &machine_kind);
                let f = f
                    .whole(Field::Cell, worker as u64)
                    .text(Field::Standing, status_word);
                let f = f
                    .real(Field::Rating, rating)
                    .whole(Field::Life, incarnation);
                if started_at > 0 {
                    f.whole(Field::Age, (now - started_at).max(1))
                } else {
                    f
                }
            });
            context.record_row(Row {
                kind: Kind::Told,
                gateway,
                worker,
                on: status == WorkerStatus::Active,
                ..Row::default()
            });
        }
        context.buffer.clear();
        let f = Frame::new(&mut context.buffer, kind::ROSTER).text(Field::Scope, scope);
        f.whole(Field::Generation, self.generation)
            .entries(&list)
            .end();
        context.net.write(conn, &context.buffer);
    }

    /// Stops listening and resets all connections of gateways, until `back`.
    pub fn stop<N: Net>(&mut self, context: &mut Context<N>) {
        if let Some(listener) = self.listener.take() {
            context.net.stop_listening(listener);
        }
        for (_, gateway) in &self.subscribers {
            context.record_row(Row {
                kind: Kind::Lost,
                gateway: *gateway,
                on: true,
                ..Row::default()
            });
        }
        for (conn, _) in std::mem::take(&mut self.gateways) {
            context.set_owner(conn, Owner::Detached);
            context.net.reset(conn);
        }
        self.subscribers.clear();
    }

    pub fn restart<N: Net>(&mut self, context: &mut Context<N>) {
        if self.listener.is_none() {
            self.listener = context.net.listen(self.address).ok().map(|l| l.0);
        }
    }
}
