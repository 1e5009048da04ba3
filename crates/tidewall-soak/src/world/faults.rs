//! Carries out the faults of the plan.
use super::{
    Action, ConnectionRole, Harness, KNOWN_AFTER_RELOAD, KNOWN_AFTER_RESET, KNOWN_IN_OUTAGE,
    OLD_SERVER_CLOSES, POLL_AGAIN_WITHIN,
};
use crate::plan::{Fault, SECOND};
use std::os::unix::fs::FileExt;
use std::time::{SystemTime, UNIX_EPOCH};
use tidewall_net::{Conn, Net};

impl Harness {
    pub(super) fn inject_fault(&mut self, fault: &Fault) {
        let now = self.now();
        match *fault {
            Fault::HostsHang(position, span) => {
                if let Some(group) = self.nth_active_group(position) {
                    self.groups[group].hangs_until = now + span;
                }
            }
            Fault::HostsReset(position) => self.end_host_connections(position, false),
            Fault::HostsCloseIdle(position) => self.end_host_connections(position, true),
            Fault::Release => self.replace_oldest_group(),
            Fault::BoardSilent(span) => {
                self.discovery_silent_until = self.discovery_silent_until.max(now + span);
                self.add_discovery_trouble(now + span, now + KNOWN_IN_OUTAGE);
            }
            Fault::BoardDrops(span) => {
                self.discovery_drops_until = self.discovery_drops_until.max(now + span);
                self.add_discovery_trouble(now + span, now + KNOWN_IN_OUTAGE);
                self.reset_where(|role| matches!(role, ConnectionRole::DiscoveryServer { .. }));
            }
            // The server is reachable, so its changes count as known at once.
            Fault::BoardSlow(late_by, span) => self.discovery_slow = (late_by, now + span),
            Fault::BoardReset => {
                self.add_discovery_trouble(now, now + KNOWN_AFTER_RESET);
                self.reset_where(|role| matches!(role, ConnectionRole::DiscoveryServer { .. }));
            }
            Fault::Reload(gateway) => self.reload(gateway),
            Fault::ReloadSeries(gateway) => self.reload_series(gateway),
            Fault::RestartSeries(gateway) => {
                self.terminate(gateway);
                self.schedule(now + SECOND / 50, Action::Signal(gateway, libc::SIGHUP));
                self.schedule(now + SECOND / 4, Action::Signal(gateway, libc::SIGHUP));
            }
            Fault::Drain(position, stays, away) => {
                if let Some(group) = self.nth_active_group(position) {
                    self.drain(group, stays, away);
                }
            }
            Fault::Restart(gateway) => self.terminate(gateway),
            Fault::Kill(gateway) => {
                let own = &mut self.gateways[gateway];
                if own.stopping_at.is_none() {
                    own.killed_at = Some(now);
                    own.kill();
                }
            }
            Fault::Pause(gateway, span) => {
                if self.gateways[gateway].stopping_at.is_none() {
                    self.gateways[gateway].signal(libc::SIGSTOP);
                    self.schedule(now + span, Action::Continue(gateway));
                }
            }
            Fault::ClockStep(seconds) => self.step_clocks(seconds),
            Fault::Garbage(gateway) => {
                let conn = self.net.connect(self.gateways[gateway].address, SECOND);
                self.connection_roles.insert(conn, ConnectionRole::Garbage);
            }
        }
    }

    /// Sets the offset of all gateways' wall clocks, in seconds.
    fn step_clocks(&self, seconds: i64) {
        let file = std::fs::OpenOptions::new()
            .write(true)
            .open(&self.clock_file);
        let file = file.expect("the temporary folder can be written");
        file.write_all_at(&seconds.to_ne_bytes(), 0)
            .expect("it can be written");
    }

    fn drain(&mut self, group: usize, stays: u64, away: u64) {
        let now = self.now();
        self.groups[group].state = "draining";
        let known_at = self.known_at(now);
        self.record.drained[group].push((known_at, u64::MAX));
        self.publish_groups(&[group]);
        self.schedule(now + stays, Action::RemoveGroup(group, away));
    }

    /// Changes that are published up to `until`, or before gateways have polled again after it, count as
    /// known to the gateways by `known_by` at the latest.
    fn add_discovery_trouble(&mut self, until: u64, known_by: u64) {
        self.discovery_troubles
            .push((until + POLL_AGAIN_WITHIN, known_by));
    }

    /// When a change that the discovery servers publish at `now` counts as known to the gateways.
    fn known_at(&self, now: u64) -> u64 {
        let troubles = self
            .discovery_troubles
            .iter()
            .filter(|(until, _)| now < *until);
        troubles.map(|(_, known_by)| *known_by).fold(now, u64::max)
    }

    /// Writes a configuration that names the gateway's other discovery server, and sends SIGHUP.
    fn reload(&mut self, gateway: usize) {
        let now = self.now();
        if !self.gateways[gateway].accepts_signals() {
            return;
        }
        let old = self.discovery_servers[gateway].server_index;
        self.discovery_servers[gateway].server_index = 1 - old;
        self.add_discovery_trouble(now, now + KNOWN_AFTER_RELOAD);
        let list = self.discovery_servers[gateway].notices[0].1.clone();
        self.configure(gateway, &list);
        if self.gateways[gateway].stopping_at.is_none() {
            self.gateways[gateway].signal(libc::SIGHUP);
        }
        self.schedule(
            now + OLD_SERVER_CLOSES,
            Action::CloseOldServer(gateway, old),
        );
    }

    /// Reloads the configuration four times within half a second.
    fn reload_series(&mut self, gateway: usize) {
        self.reload(gateway);
        for after in [SECOND / 50, SECOND / 4, SECOND / 2] {
            self.schedule(self.now() + after, Action::Reload(gateway));
        }
    }

    /// Removes a group that has drained, and resets its connections.
    fn remove_group(&mut self, group: usize) {
        self.groups[group].state = "removed";
        self.publish_groups(&[group]);
        self.reset_where(
            |role| matches!(role, ConnectionRole::Host { group: own, .. } if *own == group),
        );
    }

    /// The group at this position among those that are active.
    pub(super) fn nth_active_group(&self, position: usize) -> Option<usize> {
        let mut up = self
            .groups
            .iter()
            .enumerate()
            .filter(|(_, group)| group.state == "up");
        up.nth(position).map(|(index, _)| index)
    }

    pub(super) fn replace_oldest_group(&mut self) {
        let now = self.now();
        let next = self.groups.iter().position(|group| group.state.is_empty());
        let (Some(oldest), Some(next)) = (self.nth_active_group(0), next) else {
            return;
        };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        self.groups[next].started_ms = unix.map_or(0, |unix| unix.as_millis() as u64);
        self.groups[next].state = "up";
        self.groups[oldest].state = "draining";
        let known_at = self.known_at(now);
        self.record.drained[oldest].push((known_at, u64::MAX));
        self.publish_groups(&[oldest, next]);
        // Well after the drain grace period, also if gateways learn late of the drain.
        self.schedule(known_at + 3 * SECOND, Action::EndGroup(oldest));
    }

    pub(super) fn end_host_connections(&mut self, position: usize, idle_only: bool) {
        let Some(group) = self.nth_active_group(position) else {
            return;
        };
        let busy: Vec<Conn> = self
            .scheduled
            .values()
            .filter_map(|action| match action {
                Action::HostAnswer(conn, _, _) => Some(*conn),
                _ => None,
            })
            .collect();
        let of_group = self.connection_roles.iter().filter(|(conn, role)| {
            matches!(role, ConnectionRole::Host { group: own, .. } if *own == group)
                && !(idle_only && busy.contains(conn))
        });
        let conns: Vec<Conn> = of_group.map(|(conn, _)| *conn).collect();
        for conn in conns {
            self.connection_roles.remove(&conn);
            if idle_only {
                self.net.close(conn);
            } else {
                self.net.reset(conn);
            }
        }
    }

    pub(super) fn reset_where(&mut self, condition: impl Fn(&ConnectionRole) -> bool) {
        let conns: Vec<Conn> = self
            .connection_roles
            .iter()
            .filter(|(_, role)| condition(role))
            .map(|(conn, _)| *conn)
            .collect();
        for conn in conns {
            self.connection_roles.remove(&conn);
            self.net.reset(conn);
        }
    }

    pub(super) fn run_action(&mut self, action: Action) {
        match action {
            Action::HostAnswer(conn, _, text) => {
                if self.connection_roles.contains_key(&conn) {
                    self.net.write(conn, text.as_bytes());
                }
            }
            Action::AbandonCall(trace, conn, tag) => self.abandon_call(trace, conn, tag),
            Action::EndGroup(group) => self.remove_group(group),
            Action::RemoveGroup(group, away) => {
                self.remove_group(group);
                self.schedule(self.now() + away, Action::RestoreGroup(group));
            }
            Action::RestoreGroup(group) => {
                let now = self.now();
                let unix = SystemTime::now().duration_since(UNIX_EPOCH);
                self.groups[group].started_ms = unix.map_or(0, |unix| unix.as_millis() as u64);
                self.groups[group].state = "up";
                if let Some((_, until)) = self.record.drained[group].last_mut() {
                    *until = now;
                }
                self.publish_groups(&[group]);
            }
            Action::DiscoveryAnswer(conn, text) => {
                if self.connection_roles.contains_key(&conn) {
                    self.net.write(conn, text.as_bytes());
                }
            }
            Action::Reload(gateway) => self.reload(gateway),
            Action::Terminate(gateway) => self.terminate(gateway),
            Action::Signal(gateway, signal) if self.gateways[gateway].accepts_signals() => {
                self.gateways[gateway].signal(signal);
            }
            Action::Signal(..) => {}
            Action::Continue(gateway) => self.gateways[gateway].signal(libc::SIGCONT),
            Action::KillStopping(gateway, signalled_at) => {
                // The process may have ended, started again and received another SIGTERM since then.
                if self.gateways[gateway].stopping_at == Some(signalled_at) {
                    // Calls that it has not answered by then count as lost, without an excuse.
                    self.gateways[gateway].kill();
                    self.collect_violations(gateway);
                }
            }
            // Another reload may have made this server the current one again.
            Action::CloseOldServer(gateway, old)
                if self.discovery_servers[gateway].server_index != old =>
            {
                self.reset_where(|role| {
                    matches!(role, ConnectionRole::DiscoveryServer { gateway: own, server_index, .. } if *own == gateway && *server_index == old)
                });
            }
            Action::CloseOldServer(..) => {}
        }
    }
}
