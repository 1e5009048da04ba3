//! The hosts: what they read and what they answer.
use super::{Due, World};
use crate::plan::DrainAnswers;
use crate::record::{Attempt, LoadRequest};
use crate::wire::{self, Ask, HostLine};
use rand::Rng;
use tidewall_net::Conn;

impl World {
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
                HostLine::Go(trace, timeout_ms) => self.attempted(conn, group, trace, timeout_ms),
                HostLine::Halt(trace) => {
                    self.due.retain(|_, due| !matches!(due, Due::HostAnswer(c, t, _) if *c == conn && *t == trace));
                }
                HostLine::Ask(tag, ask) => {
                    if ask == Ask::Load {
                        self.record.load_requests.push(LoadRequest {
                            gateway,
                            group,
                            at: now,
                        });
                    }
                    if now >= self.groups[group].hangs_until {
                        let text = wire::host_answer(&tag, ask, self.denies(group, ask));
                        self.later(now + 100, Due::HostAnswer(conn, u64::MAX, text));
                    }
                }
                HostLine::Other => {}
            }
        }
        used
    }

    /// Whether a host of the group says that it takes no work.
    fn denies(&self, group: usize, ask: Ask) -> bool {
        let is_told_by = match self.plan.drain_answers {
            DrainAnswers::Unhealthy => Ask::Probe,
            DrainAnswers::QueryRefused | DrainAnswers::QueryRefusedOnly => Ask::Count,
        };
        self.groups[group].state == "draining" && (ask == Ask::Load || ask == is_told_by)
    }

    pub(super) fn attempted(&mut self, conn: Conn, group: usize, trace: u64, timeout_ms: u64) {
        let now = self.now();
        let chance = self.random.random_range(0..100);
        let hangs = now < self.groups[group].hangs_until;
        let word = match chance {
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
        let delay = self.random.random_range(20..400);
        self.later(now + delay, Due::HostAnswer(conn, trace, text));
    }
}
