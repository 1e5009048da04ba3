//! Carries out the decisions of the role state machine on the gateway.
use super::control_messages::PeerControl;
use super::records::{RecordNames, ReplicationRecord};
use super::replicator::Replicator;
use super::snapshot::SnapshotCursor;
use super::{FailoverState, StopReason, FENCING_RETRY_TICKS};
use crate::Gateway;
use tidewall_failover::leadership::Leadership;
use tidewall_failover::proposal::epoch_number;
use tidewall_failover::role::{Role, RoleActions, RoleStateMachine};
use tidewall_net::{Net, Time};
use tracing::{info, warn};

/// The gateway, without its failover node, and the state of that node.
pub(super) struct GatewayActions<'a, N: Net> {
    pub gateway: &'a mut Gateway<N>,
    pub state: &'a mut FailoverState,
}

impl<N: Net> GatewayActions<'_, N> {
    pub(super) fn replicator(&mut self) -> &mut Replicator {
        self.gateway.context.expect_replicator()
    }

    fn send_control(&mut self, message: PeerControl) {
        let host = &mut self.gateway.context.scheduler.host;
        if let Some(replicator) = &mut host.replicator {
            replicator.send_control(&mut host.net, &message);
        }
    }

    fn take_over(&mut self) {
        self.state.recovering = true;
        self.gateway.take_over_requests(self.state);
    }

    /// Whether requests of an earlier takeover wait until the workers of their attempts are fenced.
    fn requests_await_fencing(&self) -> bool {
        self.state.recovering && !self.state.peer_requests.is_empty()
    }

    /// Proposes the peer to the voters as synchronised once it has acknowledged all records written before
    /// calls and responses began to wait for it. Requests of an earlier takeover that wait for fencing are in
    /// no snapshot: until they are continued or ended, the peer does not hold all state. The voters must not
    /// count it as synchronised before that, and this member must not step down in its favour.
    pub(super) fn confirm_synchronized(&mut self, role_machine: &mut RoleStateMachine) {
        let acknowledged = self.replicator().acknowledged_sequence;
        let caught_up = acknowledged >= self.state.link.wait_start_sequence;
        if role_machine.state() == Role::Synchronizing
            && caught_up
            && !self.requests_await_fencing()
        {
            role_machine.replication_caught_up(self);
        }
    }

    /// Periodic work of each tick, after the role state machine has handled the tick.
    pub(super) fn after_tick(&mut self, role_machine: &mut RoleStateMachine, now: Time) {
        if self.state.listeners_pending {
            self.gateway.open_listeners(self.state);
        }
        self.confirm_synchronized(role_machine);
        self.gateway.update_fencing_complete(self.state);
        let requests_wait = self.requests_await_fencing();
        let replicator = self.replicator();
        let history_unknown =
            now < replicator.history_unknown_until && !replicator.all_workers_fenced;
        if role_machine.state().serves() && (requests_wait || history_unknown) {
            if self.state.ticks.is_multiple_of(FENCING_RETRY_TICKS) {
                let leadership = self.replicator().leadership;
                self.announce_leadership(leadership);
            }
            if requests_wait {
                self.gateway.take_over_requests(self.state);
            }
        }
        self.gateway.send_pending_snapshot(self.state);
        self.gateway.expire_waiting_clients(self.state);
    }
}

impl<N: Net> RoleActions for GatewayActions<'_, N> {
    fn set_vrrp_enabled(&mut self, enabled: bool) {
        let net = &mut self.gateway.context.scheduler.host.net;
        self.state.set_vrrp_enabled(net, enabled);
    }

    fn start_serving(&mut self, leadership: Leadership, take_over: bool, history_unknown: bool) {
        let epoch = epoch_number(leadership.epoch);
        info!(epoch, take_over, history_unknown, "leadership acquired");
        let now = self.gateway.context.net().now();
        let retention = &self.state.config.retention;
        let longest_retention = retention.iter().max().copied().unwrap_or(0);
        let replicator = self.replicator();
        if history_unknown {
            replicator.history_unknown_for(now, longest_retention);
        }
        replicator.epoch = leadership.epoch;
        self.gateway.context.standby = false;
        self.state.fenced_workers.clear();
        self.gateway.open_listeners(self.state);
        self.announce_leadership(leadership);
        self.state.recovering = false;
        if take_over {
            self.take_over();
        }
    }

    fn leadership_renewed(&mut self, leadership: Leadership, take_over: bool) {
        let epoch = epoch_number(leadership.epoch);
        info!(epoch, synced_incarnations = ?leadership.synced_incarnations, "leadership renewed");
        self.replicator().epoch = leadership.epoch;
        if leadership.fencing_floor == leadership.epoch {
            self.state.fenced_workers.clear();
        }
        self.announce_leadership(leadership);
        if take_over {
            self.take_over();
        }
    }

    fn stop_accepting(&mut self) {
        let in_flight = self.gateway.requests_in_flight();
        info!(in_flight, "stopped accepting requests");
        self.gateway.context.standby = true;
        self.gateway.stop_listening();
    }

    fn set_replication_wait(&mut self, enabled: bool) {
        let replicator = self.replicator();
        replicator.waits_for_records = enabled;
        self.state.link.wait_start_sequence = replicator.last_sequence;
    }

    fn start_replication(&mut self, only_changes: bool) {
        let host = &mut self.gateway.context.scheduler.host;
        let Some(replicator) = &mut host.replicator else {
            return;
        };
        replicator.streaming = true;
        replicator.sequence_base = replicator.last_sequence - replicator.sent_on_connection;
        // Earlier records are covered by the snapshot or already known to the peer, so they need no
        // acknowledgement.
        replicator.acknowledged_sequence = replicator.last_sequence;
        replicator.snapshot_incomplete = !only_changes;
        let history_unknown = replicator
            .history_unknown_until
            .saturating_sub(host.net.now());
        replicator.send_record(
            &mut host.net,
            &ReplicationRecord::SnapshotStarted {
                only_changes,
                history_unknown,
            },
            RecordNames::new(&host.class_names, &host.tenant_names),
        );
        self.state.link.snapshot = match only_changes {
            true => SnapshotCursor::Idle,
            false => SnapshotCursor::Requests(0),
        };
        self.state.link.wait_start_sequence = replicator.last_sequence;
        self.gateway.send_pending_snapshot(self.state);
    }

    fn request_step_down(&mut self) {
        self.send_control(PeerControl::StepDownRequested);
    }

    fn confirm_step_down(&mut self) {
        self.send_control(PeerControl::SteppedDown);
    }

    fn restart_process(&mut self, reason: &'static str) {
        warn!(reason, "process restarting");
        // If a shutdown was requested, the process must not restart.
        if !self.state.shutting_down {
            self.gateway.stop_reason = StopReason::Restart;
        }
        self.gateway.context.net().stop();
    }

    fn exit_process(&mut self) {
        self.gateway.write_endpoint_cache();
        self.gateway.context.net().stop();
    }
}

impl<N: Net> Gateway<N> {
    /// Listens for clients. If the former owner still holds the address, listening is retried with the next
    /// tick.
    fn open_listeners(&mut self, state: &mut FailoverState) {
        state.listeners_pending = false;
        for ingress in 0..self.ingresses.len() {
            if self.listeners[ingress].is_none() && self.listen(ingress).is_err() {
                state.listeners_pending = true;
            }
        }
    }
}
