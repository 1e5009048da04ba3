//! The lifecycle of the gateways: configuration, start, stop, and what they log when they end.
use super::{Action, Harness, KILL_AFTER, MAX_DEADLINE};
use crate::plan::SECOND;
use crate::wire;

impl Harness {
    pub(super) fn start_gateway(&mut self, gateway: usize) {
        let list = wire::notice(1, &self.listed_hosts(gateway), true);
        self.discovery_servers[gateway].notices = vec![(1, list.clone())];
        self.configure(gateway, &list);
        let clock = self.clock_file.clone();
        self.gateways[gateway].start(&self.plan, gateway, &clock);
    }

    pub(super) fn configure(&mut self, gateway: usize, list: &str) {
        let (own, discovery_server) = (&self.gateways[gateway], &self.discovery_servers[gateway]);
        let text = crate::settings::config(
            gateway,
            &self.plan,
            own.address,
            self.discovery_addresses[&(gateway, discovery_server.server_index)],
            list,
        );
        own.configure(&text);
    }

    pub(super) fn terminate(&mut self, gateway: usize) {
        let now = self.now();
        let own = &mut self.gateways[gateway];
        if !own.accepts_signals() {
            return self.schedule(now + SECOND, Action::Terminate(gateway));
        }
        if own.stopping_at.is_none() && own.poll_exit().0 {
            own.stopping_at = Some(now);
            own.signal(libc::SIGCONT);
            own.signal(libc::SIGTERM);
            let kill_at = now + self.plan.longest_deadline().min(MAX_DEADLINE) + KILL_AFTER;
            self.schedule(kill_at, Action::KillStopping(gateway, now));
        }
    }

    pub(super) fn check_gateways(&mut self) {
        for gateway in 0..self.gateways.len() {
            let (runs, ended) = self.gateways[gateway].poll_exit();
            if let Some(status) = ended {
                self.gateway_ended(gateway, &status);
            }
            if !runs && !self.stopping {
                self.start_gateway(gateway);
            }
        }
    }

    pub(super) fn gateway_ended(&mut self, gateway: usize, status: &str) {
        let stopping = self.gateways[gateway].stopping_at.is_some();
        if !stopping || !status.contains("exit status: 0") {
            let lines = self.gateways[gateway].log_lines("");
            let last = lines
                .iter()
                .rev()
                .take(3)
                .cloned()
                .collect::<Vec<_>>()
                .join(" | ");
            self.record
                .crashes
                .push(format!("n{gateway} {status}: {last}"));
        }
        self.collect_violations(gateway);
    }

    /// Collects the violations that a gateway counted and logged when it ended. Only these three kinds are
    /// faults of the gateway: a step of over 100 ms, for instance, may be due to the machine.
    pub(super) fn collect_violations(&mut self, gateway: usize) {
        let shutdown_lines = self.gateways[gateway].log_lines("draining finished");
        let new = self.shutdown_lines_seen[gateway].min(shutdown_lines.len());
        self.shutdown_lines_seen[gateway] = shutdown_lines.len();
        for line in &shutdown_lines[new..] {
            for kind in ["LateResponse", "AttemptByOldInput", "EndedWithOpenRequests"] {
                if line.contains(&format!("violation {kind}")) {
                    self.record.violations.push(format!("n{gateway}: {line}"));
                }
            }
        }
    }
}
