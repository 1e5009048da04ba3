//! The discovery servers: the list of hosts, its changes, and the answers to the gateways' polls.
use super::{Action, ConnectionRole, Harness};
use crate::wire;
use tidewall_net::Net;

impl Harness {
    pub(super) fn listed_hosts(&self, gateway: usize) -> String {
        let groups = self
            .groups
            .iter()
            .enumerate()
            .filter(|(_, g)| matches!(g.state, "up" | "draining"));
        let texts = groups.map(|(index, group)| self.group_entries(gateway, index, group.state));
        texts.collect::<Vec<_>>().join(",")
    }

    pub(super) fn group_entries(&self, gateway: usize, group: usize, state: &str) -> String {
        let at = self.addresses[&(group, gateway)];
        wire::hosts(
            group,
            self.plan.group_size,
            at,
            state,
            self.groups[group].started_ms,
        )
    }

    /// Adds a notice about these groups to all discovery servers.
    pub(super) fn publish_groups(&mut self, groups: &[usize]) {
        for gateway in 0..self.gateways.len() {
            let group_entries: Vec<String> = groups
                .iter()
                .map(|group| self.group_entries(gateway, *group, self.groups[*group].state))
                .collect();
            let discovery_server = &mut self.discovery_servers[gateway];
            let revision = discovery_server
                .notices
                .last()
                .map_or(1, |(revision, _)| revision + 1);
            discovery_server.notices.push((
                revision,
                wire::notice(revision, &group_entries.join(","), false),
            ));
        }
        self.answer_polls();
    }

    pub(super) fn answer_polls(&mut self) {
        let now = self.now();
        if now < self.discovery_silent_until {
            return;
        }
        let mut answers = Vec::new();
        for (conn, role) in &mut self.connection_roles {
            let ConnectionRole::DiscoveryServer {
                gateway,
                server_index,
                poll,
            } = role
            else {
                continue;
            };
            let discovery_server = &self.discovery_servers[*gateway];
            let Some((watch, until)) = *poll else {
                continue;
            };
            let last = discovery_server
                .notices
                .last()
                .map_or(1, |(revision, _)| *revision);
            if *server_index == discovery_server.server_index && (last > watch || now >= until) {
                let new = discovery_server
                    .notices
                    .iter()
                    .filter(|(revision, _)| *revision > watch);
                let texts: Vec<String> = new.map(|(_, text)| text.clone()).collect();
                answers.push((*conn, wire::discovery_response(last, &texts)));
                *poll = None;
            }
        }
        answers.sort_by_key(|(conn, _)| *conn);
        let (late_by, slow_until) = self.discovery_slow;
        for (conn, text) in answers {
            if now < slow_until {
                self.schedule(now + late_by, Action::DiscoveryAnswer(conn, text));
            } else {
                self.net.write(conn, text.as_bytes());
            }
        }
    }
}
