//! The boards: the list of hosts, what changes in it, and the gateways' polls.
use super::{Due, Owner, World};
use crate::wire;
use tidewall_net::Net;

impl World {
    pub(super) fn listed(&self, gateway: usize) -> String {
        let groups = self
            .groups
            .iter()
            .enumerate()
            .filter(|(_, g)| matches!(g.state, "up" | "draining"));
        let texts = groups.map(|(index, group)| self.entries(gateway, index, group.state));
        texts.collect::<Vec<_>>().join(",")
    }

    pub(super) fn entries(&self, gateway: usize, group: usize, state: &str) -> String {
        let at = self.addresses[&(group, gateway)];
        wire::hosts(
            group,
            self.plan.group_size,
            at,
            state,
            self.groups[group].started_ms,
        )
    }

    /// A change of these groups is told to all boards.
    pub(super) fn tell(&mut self, groups: &[usize]) {
        for gateway in 0..self.gateways.len() {
            let entries: Vec<String> = groups
                .iter()
                .map(|group| self.entries(gateway, *group, self.groups[*group].state))
                .collect();
            let board = &mut self.boards[gateway];
            let revision = board.notices.last().map_or(1, |(revision, _)| revision + 1);
            board
                .notices
                .push((revision, wire::notice(revision, &entries.join(","), false)));
        }
        self.answer_polls();
    }

    pub(super) fn answer_polls(&mut self) {
        let now = self.now();
        if now < self.board_silent_until {
            return;
        }
        let mut answers = Vec::new();
        for (conn, owner) in &mut self.owners {
            let Owner::Board {
                gateway,
                which,
                poll,
            } = owner
            else {
                continue;
            };
            let board = &self.boards[*gateway];
            let Some((watch, until)) = *poll else {
                continue;
            };
            let last = board.notices.last().map_or(1, |(revision, _)| *revision);
            if *which == board.which && (last > watch || now >= until) {
                let new = board
                    .notices
                    .iter()
                    .filter(|(revision, _)| *revision > watch);
                let texts: Vec<String> = new.map(|(_, text)| text.clone()).collect();
                answers.push((*conn, wire::board_response(last, &texts)));
                *poll = None;
            }
        }
        answers.sort_by_key(|(conn, _)| *conn);
        let (late_by, slow_until) = self.board_slow;
        for (conn, text) in answers {
            if now < slow_until {
                self.later(now + late_by, Due::BoardAnswer(conn, text));
            } else {
                self.net.write(conn, text.as_bytes());
            }
        }
    }
}
