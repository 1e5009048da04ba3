//! The hosts: the messages that they read and their answers.
use super::{Action, Harness};
use crate::plan::DrainAnswers;
use crate::record::{Attempt, LoadRequest};
use crate::wire::{self, HostLine, Query};
use rand::Rng;
use tidewall_net::Conn;

impl Harness {
    pub(super) fn host_received(
        &mut self,
        conn: Conn,
        (group, gateway): (usize, usize),
        bytes: &[u8],
    ) -> usize {
        let mut used = 0;
        while let Some((line, length)) = wire::host_line(&bytes[used..]) {
            used += length;
            let now = self.now();
            match line {
                HostLine::Attempt(trace, timeout_ms) => {
                    self.attempt_received(conn, group, trace, timeout_ms)
                }
                HostLine::Cancel(trace) => {
                    self.scheduled.retain(|_, action| !matches!(action, Action::HostAnswer(c, t, _) if *c == conn && *t == trace));
                }
                HostLine::Query(tag, query) => {
                    if query == Query::Load {
                        self.record.load_requests.push(LoadRequest {
                            gateway,
                            group,
                            at: now,
                        });
                    }
                    if now >= self.groups[group].hangs_until {
                        let text = wire::host_answer(&tag, query, self.denies(group, query));
                        self.schedule(now + 100, Action::HostAnswer(conn, u64::MAX, text));
                    }
                }
                HostLine::Other => {}
            }
        }
        used
    }

    /// Whether a host of the group answers this query with a denial because it drains.
    fn denies(&self, group: usize, query: Query) -> bool {
        let denied_query = match self.plan.drain_answers {
            DrainAnswers::Unhealthy => Query::Probe,
            DrainAnswers::QueryRefused | DrainAnswers::QueryRefusedOnly => Query::Count,
        };
        self.groups[group].state == "draining" && (query == Query::Load || query == denied_query)
    }

    pub(super) fn attempt_received(
        &mut self,
        conn: Conn,
        group: usize,
        trace: u64,
        timeout_ms: u64,
    ) {
        let now = self.now();
        let outcome_draw = self.rng.random_range(0..100);
        let hangs = now < self.groups[group].hangs_until;
        let word = match outcome_draw {
            _ if !hangs && self.groups[group].state == "draining" => Some("refused"),
            0..3 if !hangs => Some("refused"),
            3..6 if !hangs => Some("nothing"),
            _ => None,
        };
        let not_run = word.is_some();
        if let Some(call) = self.record.calls.get_mut(trace as usize - 1) {
            call.attempts.push(Attempt {
                at: now,
                group,
                timeout_ms,
                not_run,
            });
        }
        if hangs {
            return;
        }
        let text = word.map_or_else(
            || wire::host_ok(trace),
            |word| wire::host_not_run(trace, word),
        );
        let delay = self.rng.random_range(20..400);
        self.schedule(now + delay, Action::HostAnswer(conn, trace, text));
    }
}
