//! Graceful shutdown: a grace period in which requests are still admitted, then draining, then the end of the process once
//! nothing is in flight and the responses have been read.
use crate::connection_owners::Owner;
use crate::effect_policy::{permit_exit, ExitPermit, Violation};
use crate::timers::TimerToken;
use crate::Gateway;
use tidewall_net::{Conn, Net, Time};
use tracing::{info, warn};

/// The grace period, in tenths of a millisecond, where settings or the platform's page name no other: 0.65 s. A load balancer
/// in front notices late; the platform's still sends for 0.6 s, and 50 ms are the slack of its limits. What comes later is
/// refused at once: from 0.7 s on it would be lost if SIGKILL found it unanswered, and with short deadlines that comes as soon.
pub const DRAIN_GRACE: Time = 6_500;

/// Responses that clients do not read hold up the end for so long at most: 5 s, a usual deadline.
const MAX_RESPONSE_WAIT: Time = 50_000;

/// Once nothing more is admitted the gateway runs on for so long at least: 20 ms, several wake-ups. What had been accepted by
/// then is read and answered.
const DRAIN_SETTLE_TIME: Time = 200;

impl<N: Net> Gateway<N> {
    /// Goes on admitting requests for so long, in tenths of a millisecond, after the first signal to stop. 0, the value at
    /// start, drains at once.
    pub fn set_drain_grace(&mut self, grace: Time) {
        self.drain_grace = grace;
    }

    /// A signal to stop. The second one drains even where the grace period is not over.
    pub(crate) fn shutdown_requested(&mut self) {
        if self.drain_grace > 0 && !self.context.is_shutting_down() {
            self.context.shutting_down = true;
            info!(in_flight = self.requests_in_flight(), "shutdown requested");
            let at = self.context.net().now() + self.drain_grace;
            self.context
                .net()
                .set_timer(at, TimerToken::DrainStart.pack());
            return;
        }
        self.drain();
    }

    /// Admits no new requests; stops the net once those in flight have their responses. Called a second time it stops at
    /// once.
    pub fn drain(&mut self) {
        if self.begin_failover_shutdown() {
            return;
        }
        if std::mem::replace(&mut self.context.draining, true) {
            let in_flight = self.requests_in_flight();
            warn!(in_flight, "stopped without draining");
            if in_flight > 0 {
                let effects = &mut self.context.scheduler.host.effects;
                effects.violated(Violation::EndedWithOpenRequests);
            }
            return self.context.net().stop();
        }
        info!(in_flight = self.requests_in_flight(), "draining started");
        self.stop_listening();
        self.exit_not_before = self.context.net().now() + DRAIN_SETTLE_TIME;
        let at = self.exit_not_before;
        self.context
            .net()
            .set_timer(at, TimerToken::DrainSettled.pack());
        self.exit_when_drained();
    }

    /// Stops the net where draining is complete.
    pub(crate) fn exit_when_drained(&mut self) {
        if self.requests_in_flight() > 0 {
            self.idle_since = None;
        }
        let settled = self.context.draining && self.context.net().now() >= self.exit_not_before;
        let unsent = !self.late_responses.is_empty() || self.has_unread_responses();
        if !settled || self.requests_in_flight() > 0 || unsent {
            return;
        }
        // A call of a client that lies in its socket is owed an answer too: it is read in the next wake-up.
        let has_unread = self.clients_have_unread();
        match permit_exit(self.requests_in_flight(), has_unread) {
            Ok(permit) => self.exit(&permit),
            Err(refusal) => self.context.scheduler.host.effects.refused(refusal),
        }
    }

    fn exit(&mut self, _permit: &ExitPermit) {
        info!(counters = ?self.counters(), wakeups = ?self.wakeup_profile(), effects = ?self.effects(), "draining finished");
        self.write_endpoint_cache();
        self.context.net().stop();
    }

    /// Whether clients have sent something that is not read yet.
    fn clients_have_unread(&mut self) -> bool {
        let clients: Vec<Conn> = self
            .owners
            .iter()
            .enumerate()
            .filter(|(_, (_, owner))| matches!(owner, Owner::Ingress(_)))
            .map(|(index, (generation, _))| Conn::new(index, *generation))
            .collect();
        let net = self.context.net();
        // All of them are looked at, so that all are read.
        clients
            .into_iter()
            .filter(|conn| net.has_unread(*conn))
            .count()
            > 0
    }

    /// Whether responses still wait to be read by clients whose deadline has not passed.
    pub(crate) fn has_unread_responses(&mut self) -> bool {
        let now = self.context.net().now();
        let since = *self.idle_since.get_or_insert(now);
        let last_deadline = self.context.scheduler.host.last_deadline;
        let until = last_deadline.min(since + MAX_RESPONSE_WAIT);
        let has_unread = |(index, (generation, owner)): (usize, &(u32, Owner))| {
            let conn = Conn::new(index, *generation);
            matches!(owner, Owner::Ingress(_)) && self.context.net_ref().unacknowledged(conn) > 0
        };
        now < until && self.owners.iter().enumerate().any(has_unread)
    }
}
