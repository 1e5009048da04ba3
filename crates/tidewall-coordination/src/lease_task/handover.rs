//! Decides which leases this member wants, and hands them over: membership changes reassign tasks, a lease is
//! released when the executor has stopped its task, and a shutdown hands over all leases.
use super::actions::MembershipChange;
use super::LeaseTask;
use crate::codec::DatagramItem;
use crate::mailbox::{ExecutorCommand, ExecutorEvent};
use crate::Time;
use tidewall_net::Net;
use tracing::info;

impl<N: Net> LeaseTask<N> {
    /// Announces leases that were acquired while the executor's mailbox was full.
    pub(super) fn announce_pending_leases(&mut self, now: Time) {
        while let Some(task) = self.actions.unannounced.first().copied() {
            let lease = self.holder.lease(task);
            let (epoch, until) = (lease.epoch, lease.usable_until);
            let command = ExecutorCommand::LeaseAcquired { task, epoch, until };
            if lease.is_held(now) && !self.actions.commands.send(command) {
                break;
            }
            self.actions.unannounced.remove(&task);
        }
    }

    /// Begins the shutdown: the leases held by this member are handed over to the members that should hold
    /// them without it.
    pub(super) fn begin_shutdown(&mut self, now: Time) {
        let (member, name) = (self.config.member, &self.config.member_name);
        info!(member = %name, leases = self.holder.running_count(), "shutting down, handing over leases");
        self.shutdown_began = Some(now);
        self.membership.leave();
        self.assigned_from[member] = None;
        let change = MembershipChange::Lost { member, left: true };
        self.actions.membership_changes.push(change);
    }

    pub(super) fn handle_executor_event(&mut self, now: Time, event: ExecutorEvent) {
        let actions = &mut self.actions;
        match event {
            ExecutorEvent::ExecutionStopped { task, epoch } => {
                if !self.holder.execution_stopped(now, actions, task, epoch) {
                    return;
                }
                self.counters.leases_handed_over.inc();
                let owner = self.assignment.owner(task);
                if let Some(to) = owner.filter(|owner| *owner != self.config.member) {
                    actions.outgoing.add(to, &DatagramItem::HandedOver { task });
                }
            }
            ExecutorEvent::HigherEpochSeen { task, epoch } => {
                self.holder.higher_epoch_seen(now, actions, task, epoch);
            }
        }
    }

    /// Applies members that joined or were lost to the assignment, which may move tasks.
    pub(super) fn apply_membership_changes(&mut self, now: Time) {
        for change in std::mem::take(&mut self.actions.membership_changes) {
            match change {
                MembershipChange::Joined {
                    member,
                    incarnation,
                } => {
                    let (name, peer) =
                        (&self.config.member_name, &self.config.member_names[member]);
                    info!(member = %name, %peer, incarnation, "member joined");
                    self.actions.outgoing.set_incarnation(member, incarnation);
                    self.assigned_from[member] = Some(now + self.config.lease_duration);
                }
                MembershipChange::Lost { member, left } => self.member_lost(now, member, left),
            }
        }
        for member in 0..self.assigned_from.len() {
            if self.assigned_from[member].is_some_and(|from| now >= from) {
                self.assigned_from[member] = None;
                let (holder, actions) = (&mut self.holder, &mut self.actions);
                let own_member = self.config.member;
                self.assignment.member_joined(member, |task, _, to| {
                    holder.set_wanted(now, actions, task, to == Some(own_member), false);
                });
            }
        }
    }

    fn member_lost(&mut self, now: Time, member: usize, left: bool) {
        let (name, peer) = (&self.config.member_name, &self.config.member_names[member]);
        info!(member = %name, %peer, left, "member lost");
        self.assigned_from[member] = None;
        let (holder, actions) = (&mut self.holder, &mut self.actions);
        let own_member = self.config.member;
        self.assignment.member_left(member, |task, _, to| {
            holder.set_wanted(now, actions, task, to == Some(own_member), left);
        });
    }
}
