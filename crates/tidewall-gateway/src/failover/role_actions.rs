//! What the role state machine decides, carried out on the gateway.
use super::*;

/// The seat's acting, on the gateway that it was taken out of.
pub(super) struct Acting<'a, N: Net> {
    pub(super) gw: &'a mut Gateway<N>,
    pub(super) parts: &'a mut Parts,
}

impl<N: Net> Acting<'_, N> {
    pub(super) fn copy(&mut self) -> &mut Replicator {
        self.gw
            .context
            .scheduler
            .host
            .replicator
            .as_mut()
            .expect("a pair copies")
    }
}

impl<N: Net> role::RoleActions for Acting<'_, N> {
    fn set_vrrp_enabled(&mut self, on: bool) {
        let net = &mut self.gw.context.scheduler.host.net;
        self.parts.vrrp(net, |router, act| {
            if on {
                router.startup(act)
            } else {
                router.shutdown(act)
            }
        });
        if !on {
            // The seat knows already.
            self.parts.wanted = None;
        }
    }

    fn start_serving(&mut self, claim: Leadership, adopt: bool, forgot: bool) {
        info!(epoch = count(claim.epoch), adopt, forgot, "serves");
        let now = self.gw.context.net().now();
        let longest = self.parts.at.retention.iter().max().copied().unwrap_or(0);
        self.copy().history_unknown_until = if forgot { now + longest } else { 0 };
        self.copy().epoch = claim.epoch;
        self.gw.context.standby = false;
        self.parts.fenced.clear();
        self.gw.open_listeners(self.parts);
        self.spread(claim);
        if adopt {
            self.parts.adopting = true;
            self.gw.take_over_requests(self.parts);
        }
    }

    fn leadership_renewed(&mut self, claim: Leadership, adopt: bool) {
        info!(epoch = count(claim.epoch), sync = ?claim.synced_incarnations, "claim renewed");
        self.copy().epoch = claim.epoch;
        if claim.fencing_floor == claim.epoch {
            self.parts.fenced.clear();
        }
        self.spread(claim);
        if adopt {
            self.parts.adopting = true;
            self.gw.take_over_requests(self.parts);
        }
    }

    fn stop_accepting(&mut self) {
        info!(held = self.gw.requests_in_flight(), "retires");
        self.gw.context.standby = true;
        self.gw.stop_listening();
    }

    fn set_replication_wait(&mut self, on: bool) {
        let copy = self.copy();
        copy.waits_for_records = on;
        self.parts.began = copy.last_sequence;
    }

    fn start_replication(&mut self, new: bool) {
        let host = &mut self.gw.context.scheduler.host;
        let Some(copy) = &mut host.replicator else {
            return;
        };
        (
            copy.streaming,
            copy.sequence_base,
            copy.acknowledged_sequence,
        ) = (
            true,
            copy.last_sequence - copy.sent_on_connection,
            copy.last_sequence,
        );
        copy.snapshot_incomplete = !new;
        copy.send_record(&mut host.net, kind::COPY, |f| f.flag(Field::On, new).end());
        self.parts.cursor = if new {
            SnapshotCursor::Off
        } else {
            SnapshotCursor::Events(0)
        };
        self.parts.began = copy.last_sequence;
        self.gw.send_pending_snapshot(self.parts);
    }

    fn request_step_down(&mut self) {
        let host = &mut self.gw.context.scheduler.host;
        if let Some(copy) = &mut host.replicator {
            copy.send_control(&mut host.net, kind::YIELD, |f| f.end());
        }
    }

    fn confirm_step_down(&mut self) {
        let host = &mut self.gw.context.scheduler.host;
        if let Some(copy) = &mut host.replicator {
            copy.send_control(&mut host.net, kind::YIELDED, |f| f.end());
        }
    }

    fn restart_process(&mut self, why: &'static str) {
        warn!(why, "starts anew");
        if !self.parts.leaving {
            self.gw.stop_reason = StopReason::Restart;
        }
        self.gw.context.net().stop();
    }

    fn exit_process(&mut self) {
        self.gw.write_endpoint_cache();
        self.gw.context.net().stop();
    }
}
