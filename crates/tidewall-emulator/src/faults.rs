//! Scripted faults: each starts at its time, affects workers, gateways or clients drawn with the seed, and
//! ends.
use crate::workers::WorkerStatus;
use crate::{timer_kind, Context, Fleet, Gateways};
use rand::seq::IndexedRandom;
use tidewall_audit::rows::{Kind, Row};
use tidewall_config::Section;
use tidewall_net::{Net, Time};
use tracing::info;

struct Fault {
    trouble: String,
    duration: Time,
    count: usize,
    machine_kind: String,
    factor: f64,
    /// Indices of the workers, gateways or connections that it affects.
    affected: Vec<usize>,
}

pub struct Faults {
    list: Vec<Fault>,
    pub gateways: Box<dyn Gateways>,
    /// Gateways that are killed or suspended: no other fault selects them meanwhile.
    unavailable: Vec<usize>,
}

impl Faults {
    pub(crate) fn new<N: Net>(
        context: &mut Context<N>,
        script: Option<&Section>,
        seconds: f64,
        gateways: Box<dyn Gateways>,
    ) -> Faults {
        let now = context.net.now();
        let mut list = Vec::new();
        for f in script.map(|s| s.sections("fault")).unwrap_or_default() {
            let at = now + (f.number("at") * seconds * 10_000.0) as Time;
            context
                .net
                .set_timer(at, timer_kind::FAULT_BEGIN | list.len() as u64);
            list.push(Fault {
                trouble: f.enum_value("trouble"),
                duration: f.duration("lasts_ms"),
                count: f.integer("count") as usize,
                machine_kind: f.text("kind"),
                factor: f.number("factor"),
                affected: Vec::new(),
            });
        }
        Faults {
            list,
            gateways,
            unavailable: Vec::new(),
        }
    }
}

impl<N: Net> Fleet<N> {
    /// Workers without a fault, of the machine kind that the fault is for (any if empty).
    fn healthy_workers(&self, machine_kind: &str) -> Vec<usize> {
        let is_healthy = |w: &crate::workers::Worker| {
            w.up && !w.draining && w.hung_until == 0 && w.silent_until == 0 && w.slowdown == 1.0
        };
        let list = self.workers.list.iter().enumerate();
        list.filter(|w| {
            is_healthy(w.1) && (machine_kind.is_empty() || w.1.machine_kind == machine_kind)
        })
        .map(|w| w.0)
        .collect()
    }

    /// Records that the caller killed a gateway, or started it again.
    pub fn record_killed(&mut self, gateway: usize, killed: bool) {
        let kind = if killed { Kind::Killed } else { Kind::Up };
        self.context.record_row(Row {
            kind,
            gateway,
            ..Row::default()
        });
    }

    /// Records that a gateway is cut off from the network, or reachable again; to its clients it is the same
    /// as a suspended process.
    pub fn record_partitioned(&mut self, gateway: usize, partitioned: bool) {
        let kind = if partitioned {
            Kind::Still
        } else {
            Kind::Going
        };
        self.context.record_row(Row {
            kind,
            gateway,
            ..Row::default()
        });
    }

    pub(crate) fn begin_fault(&mut self, i: usize) {
        let now = self.context.net.now();
        let Fault {
            trouble,
            duration,
            count,
            machine_kind,
            factor,
            ..
        } = &self.faults.list[i];
        let (trouble, duration, count, factor) = (trouble.clone(), *duration, *count, *factor);
        let until = now + duration;
        let context = &mut self.context;
        let mut affected = Vec::new();
        if trouble.starts_with("WORKER_") {
            let candidates = self.healthy_workers(machine_kind);
            affected = candidates
                .choose_multiple(&mut self.context.rng, count)
                .copied()
                .collect();
        } else if trouble.starts_with("GATEWAY_") {
            let unavailable = &self.faults.unavailable;
            let all = self
                .faults
                .gateways
                .members()
                .unwrap_or(self.clients.gateways());
            let candidates: Vec<usize> = (0..all)
                .filter(|gateway| !unavailable.contains(gateway))
                .collect();
            affected = candidates
                .choose_multiple(&mut context.rng, count)
                .copied()
                .collect();
        }
        info!(trouble, hit = ?affected, lasts_ms = duration / 10, "fault");
        for worker in affected
            .iter()
            .copied()
            .filter(|_| trouble.starts_with("WORKER_"))
        {
            let (context, incarnation, started_at) = (
                &mut self.context,
                self.workers.list[worker].incarnation,
                self.workers.list[worker].started_at,
            );
            match trouble.as_str() {
                "WORKER_KILL" => {
                    self.workers.kill(context, worker);
                    self.discovery_server.report(
                        context,
                        worker,
                        WorkerStatus::Gone,
                        incarnation,
                        started_at,
                        None,
                    );
                }
                "WORKER_HANG" => {
                    self.workers.hang(context, worker, until);
                    if duration > self.discovery_server.silence_timeout {
                        let wait = Some(self.discovery_server.silence_timeout);
                        self.discovery_server.report(
                            context,
                            worker,
                            WorkerStatus::Gone,
                            incarnation,
                            started_at,
                            wait,
                        );
                    }
                }
                "WORKER_SILENT" => self.workers.list[worker].silent_until = until,
                "WORKER_SLOW" => self.workers.list[worker].slowdown = factor,
                "WORKER_RESET" => self.workers.reset_mid_frame(context, worker),
                _ => {
                    self.workers.drain(context, worker);
                    self.discovery_server.report(
                        context,
                        worker,
                        WorkerStatus::Draining,
                        incarnation,
                        started_at,
                        None,
                    );
                }
            }
        }
        let context = &mut self.context;
        for gateway in affected
            .iter()
            .copied()
            .filter(|_| trouble.starts_with("GATEWAY_"))
        {
            self.faults.unavailable.push(gateway);
            if trouble == "GATEWAY_KILL" {
                let pair = self.faults.gateways.members().is_some();
                context.record_row(Row {
                    kind: Kind::Killed,
                    gateway: if pair { 0 } else { gateway },
                    ..Row::default()
                });
                self.faults.gateways.kill(gateway);
            } else {
                context.record_row(Row {
                    kind: Kind::Still,
                    gateway,
                    ..Row::default()
                });
                self.faults.gateways.set_suspended(gateway, true);
            }
        }
        if trouble.starts_with("TERMINAL_") {
            self.begin_client_fault(&trouble, count, factor, &mut affected);
        }
        let context = &mut self.context;
        match trouble.as_str() {
            "DEPOT_STALL" => self.artifact_store.stalled_until = until,
            "DEPOT_SLOW" => self.artifact_store.slowdown = factor,
            "BURST" => self.clients.rate_factor = factor,
            "HEAVY" => self.clients.work_factor = factor,
            "REPORTS_LATE" => self
                .workers
                .list
                .iter_mut()
                .for_each(|w| w.stale_reports = true),
            "ROSTER_SILENT" => self.discovery_server.silent_until = until,
            "ROSTER_GONE" => self.discovery_server.stop(context),
            "COPIES_VOID" => self.workers.discard_idle_instances(),
            _ => {}
        }
        self.faults.list[i].affected = affected;
        if duration > 0 {
            self.context
                .net
                .set_timer(until, timer_kind::FAULT_END | i as u64);
        }
    }

    /// Starts a fault of AMQP clients; adds to `hit` the connections that are needed to end it.
    fn begin_client_fault(
        &mut self,
        trouble: &str,
        count: usize,
        factor: f64,
        affected: &mut Vec<usize>,
    ) {
        let context = &mut self.context;
        let open_connections = self.clients.open_connections();
        let drawn: Vec<(usize, usize)> = open_connections
            .choose_multiple(&mut context.rng, count)
            .copied()
            .collect();
        for (gateway, connection) in drawn {
            match trouble {
                "TERMINAL_CUT" => self.clients.cut_connection(context, gateway, connection),
                "TERMINAL_CHANNEL" => self.clients.close_channel(context, gateway, connection),
                "TERMINAL_SLOW" => {
                    self.clients.stop_reading(context, gateway, connection);
                    affected.push(gateway << 32 | connection);
                }
                _ => {}
            }
        }
        match trouble {
            "TERMINAL_TWICE" => self.clients.publish_twice = true,
            "TERMINAL_SKEW" => self.clients.clock_factor = factor,
            "TERMINAL_LOGINS" => self.clients.open_extra_logins(context, count, 0),
            "TERMINAL_HOARDS" => self
                .clients
                .open_extra_logins(context, count, factor as u64),
            _ => {}
        }
    }

    pub(crate) fn end_fault(&mut self, i: usize, _: usize) {
        let fault = &mut self.faults.list[i];
        let (trouble, affected) = (fault.trouble.clone(), std::mem::take(&mut fault.affected));
        info!(trouble, hit = ?affected, "fault over");
        let context = &mut self.context;
        for index in affected {
            match trouble.as_str() {
                "GATEWAY_KILL" => {
                    let pair = self.faults.gateways.members().is_some();
                    context.record_row(Row {
                        kind: Kind::Up,
                        gateway: if pair { 0 } else { index },
                        ..Row::default()
                    });
                    self.faults.unavailable.retain(|gateway| *gateway != index);
                    self.faults.gateways.start(index);
                }
                "GATEWAY_STILL" => {
                    self.faults.unavailable.retain(|gateway| *gateway != index);
                    self.faults.gateways.set_suspended(index, false);
                    context.record_row(Row {
                        kind: Kind::Going,
                        gateway: index,
                        ..Row::default()
                    });
                }
                "WORKER_HANG" => {
                    self.workers.resume(context, index);
                    self.discovery_server.withdraw_gone(index);
                    let w = &self.workers.list[index];
                    let (incarnation, started_at) = (w.incarnation, w.started_at);
                    self.discovery_server.report(
                        context,
                        index,
                        WorkerStatus::Active,
                        incarnation,
                        started_at,
                        None,
                    );
                }
                "TERMINAL_SLOW" => {
                    self.clients
                        .break_stopped(context, index >> 32, index & 0xffff_ffff)
                }
                "WORKER_SILENT" => self.workers.list[index].silent_until = 0,
                "WORKER_SLOW" => self.workers.list[index].slowdown = 1.0,
                "WORKER_KILL" | "WORKER_DRAIN" => {
                    if trouble == "WORKER_DRAIN" {
                        self.workers.kill(context, index);
                    }
                    // A worker that fell over is not restarted.
                    if !self.workers.list[index].fell_over && self.workers.start(context, index) {
                        let w = &self.workers.list[index];
                        let (incarnation, started_at) = (w.incarnation, w.started_at);
                        self.discovery_server.report(
                            context,
                            index,
                            WorkerStatus::Active,
                            incarnation,
                            started_at,
                            None,
                        );
                    }
                }
                _ => {}
            }
        }
        match trouble.as_str() {
            "DEPOT_SLOW" => self.artifact_store.slowdown = 1.0,
            "TERMINAL_TWICE" => self.clients.publish_twice = false,
            "TERMINAL_SKEW" => self.clients.clock_factor = 1.0,
            "TERMINAL_LOGINS" | "TERMINAL_HOARDS" => self.clients.close_extra_logins(context),
            "BURST" => self.clients.rate_factor = 1.0,
            "HEAVY" => self.clients.work_factor = 1.0,
            "REPORTS_LATE" => self
                .workers
                .list
                .iter_mut()
                .for_each(|w| w.stale_reports = false),
            "ROSTER_SILENT" => {
                context
                    .net
                    .set_timer(context.net.now(), timer_kind::PUBLISH);
            }
            "ROSTER_GONE" => self.discovery_server.restart(context),
            _ => {}
        }
    }
}
