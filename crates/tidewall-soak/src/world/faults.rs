//! The faults of the plan, carried out.
use super::{Due, Owner, World, BOARD_TROUBLE, OLD_BOARD_CLOSES};
use crate::plan::{Fault, SECOND};
use std::os::unix::fs::FileExt;
use std::time::{SystemTime, UNIX_EPOCH};
use tidewall_net::{Conn, Net};

impl World {
    pub(super) fn inject(&mut self, fault: &Fault) {
        let now = self.now();
        match *fault {
            Fault::HostsHang(position, span) => {
                if let Some(group) = self.up_group(position) {
                    self.groups[group].hangs_until = now + span;
                }
            }
            Fault::HostsReset(position) => self.end_host_connections(position, false),
            Fault::HostsCloseIdle(position) => self.end_host_connections(position, true),
            Fault::Release => self.release(),
            Fault::BoardSilent(span) => {
                self.board_silent_until = now + span;
                self.board_trouble_at = Some(now + span);
            }
            Fault::BoardReset => {
                self.board_trouble_at = Some(now);
                self.reset_where(|owner| matches!(owner, Owner::Board { .. }));
            }
            Fault::Reload(gateway) => {
                let old = self.boards[gateway].which;
                self.boards[gateway].which = 1 - old;
                self.board_trouble_at = Some(now);
                let list = self.boards[gateway].notices[0].1.clone();
                self.configure(gateway, &list);
                if self.gateways[gateway].stopping_at.is_none() {
                    self.gateways[gateway].signal(libc::SIGHUP);
                }
                self.later(now + OLD_BOARD_CLOSES, Due::CloseOldBoard(gateway, old));
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
                    self.later(now + span, Due::Continue(gateway));
                }
            }
            Fault::ClockStep(seconds) => {
                let file = std::fs::OpenOptions::new()
                    .write(true)
                    .open(&self.clock_file);
                let file = file.expect("the temporary folder can be written");
                file.write_all_at(&seconds.to_ne_bytes(), 0)
                    .expect("it can be written");
            }
            Fault::Garbage(gateway) => {
                let conn = self.net.connect(self.gateways[gateway].address, SECOND);
                self.owners.insert(conn, Owner::Garbage);
            }
        }
    }

    /// The group at a position of those that are up.
    pub(super) fn up_group(&self, position: usize) -> Option<usize> {
        let mut up = self
            .groups
            .iter()
            .enumerate()
            .filter(|(_, group)| group.state == "up");
        up.nth(position).map(|(index, _)| index)
    }

    pub(super) fn release(&mut self) {
        let now = self.now();
        let next = self.groups.iter().position(|group| group.state.is_empty());
        let (Some(oldest), Some(next)) = (self.up_group(0), next) else {
            return;
        };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        self.groups[next].started_ms = unix.map_or(0, |unix| unix.as_millis() as u64);
        self.groups[next].state = "up";
        self.groups[oldest].state = "draining";
        let silent = now < self.board_silent_until;
        let troubled = self
            .board_trouble_at
            .is_some_and(|at| now < at + BOARD_TROUBLE);
        let told_at = if silent || troubled {
            now + BOARD_TROUBLE
        } else {
            now
        };
        self.record.drained[oldest] = Some(told_at);
        self.tell(&[oldest, next]);
        // Well after the grace period, also where it is told late.
        self.later(told_at + 3 * SECOND, Due::GroupGone(oldest));
    }

    pub(super) fn end_host_connections(&mut self, position: usize, idle_only: bool) {
        let Some(group) = self.up_group(position) else {
            return;
        };
        let busy: Vec<Conn> = self
            .due
            .values()
            .filter_map(|due| match due {
                Due::HostAnswer(conn, _, _) => Some(*conn),
                _ => None,
            })
            .collect();
        let of_group = self.owners.iter().filter(|(conn, owner)| {
            matches!(owner, Owner::Host { group: own, .. } if *own == group)
                && !(idle_only && busy.contains(conn))
        });
        let conns: Vec<Conn> = of_group.map(|(conn, _)| *conn).collect();
        for conn in conns {
            self.owners.remove(&conn);
            if idle_only {
                self.net.close(conn);
            } else {
                self.net.reset(conn);
            }
        }
    }

    pub(super) fn reset_where(&mut self, condition: impl Fn(&Owner) -> bool) {
        let conns: Vec<Conn> = self
            .owners
            .iter()
            .filter(|(_, owner)| condition(owner))
            .map(|(conn, _)| *conn)
            .collect();
        for conn in conns {
            self.owners.remove(&conn);
            self.net.reset(conn);
        }
    }

    pub(super) fn carry_out(&mut self, due: Due) {
        match due {
            Due::HostAnswer(conn, _, text) => {
                if self.owners.contains_key(&conn) {
                    self.net.write(conn, text.as_bytes());
                }
            }
            Due::ClientLeaves(trace, conn, tag) => self.client_leaves(trace, conn, tag),
            Due::GroupGone(group) => {
                self.groups[group].state = "removed";
                self.tell(&[group]);
                self.reset_where(|owner| matches!(owner, Owner::Host { group: own, .. } if *own == group));
            }
            Due::Continue(gateway) => self.gateways[gateway].signal(libc::SIGCONT),
            Due::KillStopping(gateway, told_at) => {
                // It may have ended, started and been told again.
                if self.gateways[gateway].stopping_at == Some(told_at) {
                    // What it owed then is lost: no excuse.
                    self.gateways[gateway].kill();
                    self.collect_violations(gateway);
                }
            }
            Due::CloseOldBoard(gateway, old) => self.reset_where(|owner| {
                matches!(owner, Owner::Board { gateway: own, which, .. } if *own == gateway && *which == old)
            }),
        }
    }
}
