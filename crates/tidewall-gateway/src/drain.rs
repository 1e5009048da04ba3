//! Graceful shutdown: a grace period in which requests are still admitted, then draining, then the end of
//! the process once nothing is in flight and clients have received their responses.
use crate::connection_owners::Owner;
use crate::effect_policy::{permit_exit, ExitPermit, Violation};
use crate::timers::TimerToken;
use crate::Gateway;
use tidewall_net::{Conn, Net, Time};
use tracing::{info, warn};

/// The grace period, in tenths of a millisecond, if neither the settings nor the platform's page sets
/// another: 0.65 s. A load balancer in front notices the shutdown late: the platform's keeps sending for
/// 0.6 s, and 50 ms are the tolerance of its limits. Requests that arrive later are refused at once: from
/// 0.7 s on, a request would be lost if SIGKILL found it unanswered, and with short deadlines SIGKILL comes
/// that soon.
pub const DRAIN_GRACE: Time = 6_500;

/// How long responses that clients do not read may delay the end of the process: 5 s, a usual deadline.
const MAX_RESPONSE_WAIT: Time = 50_000;

/// Minimum run time of the gateway after it stops admitting requests: 20 ms, several wake-ups. Requests on
/// connections that were accepted before are read and answered in this time.
const DRAIN_SETTLE_TIME: Time = 200;

impl<N: Net> Gateway<N> {
    /// Sets how long requests are still admitted after the first stop signal, in tenths of a millisecond.
    /// With 0, the initial value, draining starts immediately.
    pub fn set_drain_grace(&mut self, grace: Time) {
        self.drain_grace = grace;
    }

    /// Handles a stop signal. The second signal starts draining even if the grace period is not over.
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

    /// Stops admitting requests, and stops the net once the requests in flight have their responses. The
    /// second call stops the net immediately.
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

    /// Stops the net if draining is complete.
    pub(crate) fn exit_when_drained(&mut self) {
        if self.requests_in_flight() > 0 {
            self.idle_since = None;
        }
        let settled = self.context.draining && self.context.net().now() >= self.exit_not_before;
        let unsent = !self.late_responses.is_empty() || self.has_unread_responses();
        if !settled || self.requests_in_flight() > 0 || unsent {
            return;
        }
        // A request that is still in a client's socket also needs an answer. It is read in the next
        // wake-up.
        let has_unread = self.clients_have_unread_input();
        match permit_exit(self.requests_in_flight(), has_unread) {
            Ok(permit) => self.exit(&permit),
            Err(refusal) => self.context.scheduler.host.effects.refused(refusal),
        }
    }

    fn exit(&mut self, _permit: &ExitPermit) {
        let event_loop = self.context.net().loop_statistics();
        info!(counters = ?self.counters(), wakeups = ?self.wakeup_profile(), ?event_loop, effects = ?self.effects(), "draining finished");
        self.write_endpoint_cache();
        self.context.net().stop();
    }

    /// Whether any client's connection has unread input.
    fn clients_have_unread_input(&mut self) -> bool {
        let clients: Vec<Conn> = self
            .owners
            .iter()
            .enumerate()
            .filter(|(_, (_, owner))| matches!(owner, Owner::Ingress(_)))
            .map(|(index, (generation, _))| Conn::new(index, *generation))
            .collect();
        let net = self.context.net();
        // Checks every connection and does not stop at the first hit, because a check makes the net read
        // the connection.
        clients
            .into_iter()
            .filter(|conn| net.has_unread(*conn))
            .count()
            > 0
    }

    /// Whether clients have not yet acknowledged all response bytes. Such clients are waited for until the
    /// last deadline of any request, and for at most [`MAX_RESPONSE_WAIT`] after nothing was in flight.
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
