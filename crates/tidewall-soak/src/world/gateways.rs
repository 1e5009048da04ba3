//! The gateways' lives: configuration, start, stop, and what they say when they end.
use super::{Due, World, KILL_AFTER, MAX_DEADLINE};
use crate::plan::SECOND;
use crate::wire;

impl World {
    pub(super) fn start_gateway(&mut self, gateway: usize) {
        let list = wire::notice(1, &self.listed(gateway), true);
        self.boards[gateway].notices = vec![(1, list.clone())];
        self.configure(gateway, &list);
        let clock = self.clock_file.clone();
        self.gateways[gateway].start(&self.plan, gateway, &clock);
    }

    pub(super) fn configure(&mut self, gateway: usize, list: &str) {
        let (own, board) = (&self.gateways[gateway], &self.boards[gateway]);
        let text = crate::settings::config(
            gateway,
            &self.plan,
            own.address,
            self.board_addresses[&(gateway, board.which)],
            list,
        );
        own.configure(&text);
    }

    pub(super) fn terminate(&mut self, gateway: usize) {
        let now = self.now();
        let own = &mut self.gateways[gateway];
        if !own.takes_signals() {
            return self.later(now + SECOND, Due::Terminate(gateway));
        }
        if own.stopping_at.is_none() && own.check().0 {
            own.stopping_at = Some(now);
            own.signal(libc::SIGCONT);
            own.signal(libc::SIGTERM);
            let kill_at = now + self.plan.longest_deadline().min(MAX_DEADLINE) + KILL_AFTER;
            self.later(kill_at, Due::KillStopping(gateway, now));
        }
    }

    pub(super) fn check_gateways(&mut self) {
        for gateway in 0..self.gateways.len() {
            let (runs, ended) = self.gateways[gateway].check();
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
            let lines = self.gateways[gateway].logged("");
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

    /// What a gateway counted itself, as it says when it ends. A step of over 100 ms may be the machine's.
    pub(super) fn collect_violations(&mut self, gateway: usize) {
        let ends = self.gateways[gateway].logged("draining finished");
        let new = self.ends_seen[gateway].min(ends.len());
        self.ends_seen[gateway] = ends.len();
        for line in &ends[new..] {
            for kind in ["LateResponse", "AttemptByOldInput", "EndedWithOpenRequests"] {
                if line.contains(&format!("violation {kind}")) {
                    self.record.violations.push(format!("n{gateway}: {line}"));
                }
            }
        }
    }
}
