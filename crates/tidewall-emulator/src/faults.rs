//! Scripted faults: each starts at its time, affects workers, gateways or clients drawn with the seed, and
//! ends.
use crate::workers::At;
use crate::{of, Fleet, Gateways, Ground};
use rand::seq::IndexedRandom;
use tidewall_audit::rows::{Kind, Row};
use tidewall_config::Section;
use tidewall_net::{Net, Time};
use tracing::info;

struct Fault {
    trouble: String,
    lasts: Time,
    count: usize,
    machine: String,
    factor: f64,
    /// Indices of the workers, gateways or connections that it affects.
    hit: Vec<usize>,
}

pub struct Faults {
    list: Vec<Fault>,
    pub gateways: Box<dyn Gateways>,
    /// Gateways that are killed or suspended: no other fault selects them meanwhile.
    busy: Vec<usize>,
}

impl Faults {
    pub(crate) fn new<N: Net>(
        g: &mut Ground<N>,
        script: Option<&Section>,
        seconds: f64,
        gateways: Box<dyn Gateways>,
    ) -> Faults {
        let now = g.net.now();
        let mut list = Vec::new();
        for f in script.map(|s| s.sections("fault")).unwrap_or_default() {
            let at = now + (f.number("at") * seconds * 10_000.0) as Time;
            g.net.set_timer(at, of::FAULT | list.len() as u64);
            list.push(Fault {
                trouble: f.enum_value("trouble"),
                lasts: f.duration("lasts_ms"),
                count: f.integer("count") as usize,
                machine: f.text("kind"),
                factor: f.number("factor"),
                hit: Vec::new(),
            });
        }
        Faults {
            list,
            gateways,
            busy: Vec::new(),
        }
    }
}

impl<N: Net> Fleet<N> {
    /// Workers without a fault, of the machine kind that the fault is for (any if empty).
    fn fit(&self, machine: &str) -> Vec<usize> {
        let well = |w: &crate::workers::Worker| {
            w.up && !w.draining && w.hung == 0 && w.silent == 0 && w.slow == 1.0
        };
        let list = self.workers.list.iter().enumerate();
        list.filter(|w| well(w.1) && (machine.is_empty() || w.1.machine == machine))
            .map(|w| w.0)
            .collect()
    }

    /// Records that the caller killed a gateway, or started it again.
    pub fn killed(&mut self, gw: usize, killed: bool) {
        let k = if killed { Kind::Killed } else { Kind::Up };
        self.ground.row(Row {
            k,
            gw,
            ..Row::default()
        });
    }

    /// Records that a gateway is cut off from the network, or reachable again; to its clients it is the same
    /// as a suspended process.
    pub fn apart(&mut self, gw: usize, apart: bool) {
        let k = if apart { Kind::Still } else { Kind::Going };
        self.ground.row(Row {
            k,
            gw,
            ..Row::default()
        });
    }

    pub(crate) fn fault(&mut self, i: usize) {
        let now = self.ground.net.now();
        let Fault {
            trouble,
            lasts,
            count,
            machine,
            factor,
            ..
        } = &self.faults.list[i];
        let (trouble, lasts, count, factor) = (trouble.clone(), *lasts, *count, *factor);
        let until = now + lasts;
        let g = &mut self.ground;
        let mut hit = Vec::new();
        if trouble.starts_with("WORKER_") {
            let fit = self.fit(machine);
            hit = fit
                .choose_multiple(&mut self.ground.chance, count)
                .copied()
                .collect();
        } else if trouble.starts_with("GATEWAY_") {
            let busy = &self.faults.busy;
            let all = self
                .faults
                .gateways
                .members()
                .unwrap_or(self.clients.gateways());
            let fit: Vec<usize> = (0..all).filter(|gw| !busy.contains(gw)).collect();
            hit = fit.choose_multiple(&mut g.chance, count).copied().collect();
        }
        info!(trouble, ?hit, lasts_ms = lasts / 10, "fault");
        for wk in hit
            .iter()
            .copied()
            .filter(|_| trouble.starts_with("WORKER_"))
        {
            let (g, life, since) = (
                &mut self.ground,
                self.workers.list[wk].life,
                self.workers.list[wk].since,
            );
            match trouble.as_str() {
                "WORKER_KILL" => {
                    self.workers.kill(g, wk);
                    self.roster.news(g, wk, At::Gone, life, since, None);
                }
                "WORKER_HANG" => {
                    self.workers.hang(g, wk, until);
                    if lasts > self.roster.silent_notice {
                        let wait = Some(self.roster.silent_notice);
                        self.roster.news(g, wk, At::Gone, life, since, wait);
                    }
                }
                "WORKER_SILENT" => self.workers.list[wk].silent = until,
                "WORKER_SLOW" => self.workers.list[wk].slow = factor,
                "WORKER_RESET" => self.workers.torn(g, wk),
                _ => {
                    self.workers.drain(g, wk);
                    self.roster.news(g, wk, At::Draining, life, since, None);
                }
            }
        }
        let g = &mut self.ground;
        for gw in hit
            .iter()
            .copied()
            .filter(|_| trouble.starts_with("GATEWAY_"))
        {
            self.faults.busy.push(gw);
            if trouble == "GATEWAY_KILL" {
                let pair = self.faults.gateways.members().is_some();
                g.row(Row {
                    k: Kind::Killed,
                    gw: if pair { 0 } else { gw },
                    ..Row::default()
                });
                self.faults.gateways.kill(gw);
            } else {
                g.row(Row {
                    k: Kind::Still,
                    gw,
                    ..Row::default()
                });
                self.faults.gateways.still(gw, true);
            }
        }
        if trouble.starts_with("TERMINAL_") {
            self.terminals(&trouble, count, factor, &mut hit);
        }
        let g = &mut self.ground;
        match trouble.as_str() {
            "DEPOT_STALL" => self.depot.stalled = until,
            "DEPOT_SLOW" => self.depot.slow = factor,
            "BURST" => self.clients.burst = factor,
            "HEAVY" => self.clients.heavy = factor,
            "REPORTS_LATE" => self
                .workers
                .list
                .iter_mut()
                .for_each(|w| w.late_reports = true),
            "ROSTER_SILENT" => self.roster.silent = until,
            "ROSTER_GONE" => self.roster.gone(g),
            "COPIES_VOID" => self.workers.void(),
            _ => {}
        }
        self.faults.list[i].hit = hit;
        if lasts > 0 {
            self.ground.net.set_timer(until, of::OVER | i as u64);
        }
    }

    /// Starts a fault of AMQP clients; adds to `hit` the connections that are needed to end it.
    fn terminals(&mut self, trouble: &str, count: usize, factor: f64, hit: &mut Vec<usize>) {
        let g = &mut self.ground;
        let lines = self.clients.lines();
        let drawn: Vec<(usize, usize)> = lines
            .choose_multiple(&mut g.chance, count)
            .copied()
            .collect();
        for (gw, n) in drawn {
            match trouble {
                "TERMINAL_CUT" => self.clients.cut(g, gw, n),
                "TERMINAL_CHANNEL" => self.clients.close_channel(g, gw, n),
                "TERMINAL_SLOW" => {
                    self.clients.slow(g, gw, n);
                    hit.push(gw << 32 | n);
                }
                _ => {}
            }
        }
        match trouble {
            "TERMINAL_TWICE" => self.clients.twice = true,
            "TERMINAL_SKEW" => self.clients.skew = factor,
            "TERMINAL_LOGINS" => self.clients.guests(g, count, 0),
            "TERMINAL_HOARDS" => self.clients.guests(g, count, factor as u64),
            _ => {}
        }
    }

    pub(crate) fn fault_over(&mut self, i: usize, _: usize) {
        let fault = &mut self.faults.list[i];
        let (trouble, hit) = (fault.trouble.clone(), std::mem::take(&mut fault.hit));
        info!(trouble, ?hit, "fault over");
        let g = &mut self.ground;
        for which in hit {
            match trouble.as_str() {
                "GATEWAY_KILL" => {
                    let pair = self.faults.gateways.members().is_some();
                    g.row(Row {
                        k: Kind::Up,
                        gw: if pair { 0 } else { which },
                        ..Row::default()
                    });
                    self.faults.busy.retain(|gw| *gw != which);
                    self.faults.gateways.start(which);
                }
                "GATEWAY_STILL" => {
                    self.faults.busy.retain(|gw| *gw != which);
                    self.faults.gateways.still(which, false);
                    g.row(Row {
                        k: Kind::Going,
                        gw: which,
                        ..Row::default()
                    });
                }
                "WORKER_HANG" => {
                    self.workers.go(g, which);
                    self.roster.unsay(which);
                    let w = &self.workers.list[which];
                    let (life, since) = (w.life, w.since);
                    self.roster.news(g, which, At::On, life, since, None);
                }
                "TERMINAL_SLOW" => self.clients.slow_over(g, which >> 32, which & 0xffff_ffff),
                "WORKER_SILENT" => self.workers.list[which].silent = 0,
                "WORKER_SLOW" => self.workers.list[which].slow = 1.0,
                "WORKER_KILL" | "WORKER_DRAIN" => {
                    if trouble == "WORKER_DRAIN" {
                        self.workers.kill(g, which);
                    }
                    // A worker that fell over is not restarted.
                    if !self.workers.list[which].fallen && self.workers.start(g, which) {
                        let w = &self.workers.list[which];
                        let (life, since) = (w.life, w.since);
                        self.roster.news(g, which, At::On, life, since, None);
                    }
                }
                _ => {}
            }
        }
        match trouble.as_str() {
            "DEPOT_SLOW" => self.depot.slow = 1.0,
            "TERMINAL_TWICE" => self.clients.twice = false,
            "TERMINAL_SKEW" => self.clients.skew = 1.0,
            "TERMINAL_LOGINS" | "TERMINAL_HOARDS" => self.clients.guests_go(g),
            "BURST" => self.clients.burst = 1.0,
            "HEAVY" => self.clients.heavy = 1.0,
            "REPORTS_LATE" => self
                .workers
                .list
                .iter_mut()
                .for_each(|w| w.late_reports = false),
            "ROSTER_SILENT" => {
                g.net.set_timer(g.net.now(), of::TELL);
            }
            "ROSTER_GONE" => self.roster.back(g),
            _ => {}
        }
    }
}
