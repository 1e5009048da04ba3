//! The leases of all tasks at one member: which of them is due when. Renewals go before new requests, and no more requests
//! are sent at a time than the member's rate limit allows.
use crate::lease::{AcceptReply, Lease, LeaseActions, LeaseConfig, LeaseState, PrepareReply};
use crate::Time;
use std::collections::BTreeSet;

/// When a lease is due. Ordered by time, then by task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Time,
    task: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    /// Leases held here: they expire unless they are renewed in time.
    Held,
    /// Leases that are requested, or will be.
    Claims,
}

/// Which queue a lease belongs in.
fn queue_of(lease: &Lease) -> Queue {
    match lease.state {
        LeaseState::Held | LeaseState::Stopping => Queue::Held,
        LeaseState::Idle | LeaseState::Claiming => Queue::Claims,
    }
}

/// The leases of one member.
#[derive(Debug)]
pub struct LeaseHolder {
    config: LeaseConfig,
    /// By task.
    leases: Vec<Lease>,
    held: BTreeSet<Deadline>,
    claims: BTreeSet<Deadline>,
}

impl LeaseHolder {
    /// Holds and wants nothing yet.
    pub fn new(config: LeaseConfig, tasks: usize) -> LeaseHolder {
        LeaseHolder {
            config,
            leases: (0..tasks).map(Lease::new).collect(),
            held: BTreeSet::new(),
            claims: BTreeSet::new(),
        }
    }

    /// The lease of a task, which must be below the number given to [`LeaseHolder::new`].
    pub fn lease(&self, task: usize) -> &Lease {
        &self.leases[task]
    }

    /// Tasks that may be performed here now.
    pub fn held_count(&self, now: Time) -> usize {
        self.held
            .iter()
            .filter(|deadline| self.leases[deadline.task].is_held(now))
            .count()
    }

    /// Leases held here, with those that are about to be given back.
    pub fn running_count(&self) -> usize {
        self.held.len()
    }

    fn queue(&mut self, queue: Queue) -> &mut BTreeSet<Deadline> {
        match queue {
            Queue::Held => &mut self.held,
            Queue::Claims => &mut self.claims,
        }
    }

    /// Changes one lease, and queues it anew where its deadline changed. `None` where there is no such task.
    fn update<R>(
        &mut self,
        task: usize,
        change: impl FnOnce(&mut Lease, &LeaseConfig) -> R,
    ) -> Option<R> {
        let lease = self.leases.get_mut(task)?;
        let before = (queue_of(lease), lease.next_action_at);
        let result = change(lease, &self.config);
        let after = (queue_of(lease), lease.next_action_at);
        if before != after {
            let (queue, at) = before;
            self.queue(queue).remove(&Deadline { at, task });
            let (queue, at) = after;
            if at != Time::MAX {
                self.queue(queue).insert(Deadline { at, task });
            }
        }
        Some(result)
    }

    /// See [`Lease::set_wanted`].
    pub fn set_wanted(
        &mut self,
        now: Time,
        actions: &mut impl LeaseActions,
        task: usize,
        wanted: bool,
        vacant: bool,
    ) {
        self.update(task, |lease, config| {
            lease.set_wanted(now, config, actions, wanted, vacant);
        });
    }

    /// See [`Lease::prepare_replied`].
    pub fn prepare_replied(
        &mut self,
        now: Time,
        actions: &mut impl LeaseActions,
        task: usize,
        reply: PrepareReply,
    ) {
        self.update(task, |lease, config| {
            lease.prepare_replied(now, config, actions, reply);
        });
    }

    /// See [`Lease::accept_replied`].
    pub fn accept_replied(
        &mut self,
        now: Time,
        actions: &mut impl LeaseActions,
        task: usize,
        reply: AcceptReply,
    ) {
        self.update(task, |lease, config| {
            lease.accept_replied(now, config, actions, reply);
        });
    }

    /// See [`Lease::execution_stopped`]: whether the lease was given back.
    pub fn execution_stopped(
        &mut self,
        now: Time,
        actions: &mut impl LeaseActions,
        task: usize,
        epoch: u64,
    ) -> bool {
        self.update(task, |lease, config| {
            lease.execution_stopped(now, config, actions, epoch)
        })
        .unwrap_or(false)
    }

    /// See [`Lease::higher_epoch_seen`].
    pub fn higher_epoch_seen(
        &mut self,
        now: Time,
        actions: &mut impl LeaseActions,
        task: usize,
        epoch: u64,
    ) {
        self.update(task, |lease, config| {
            lease.higher_epoch_seen(now, config, actions, epoch);
        });
    }

    /// Does what is due, for at most `max_tasks` tasks.
    pub fn run_due(&mut self, now: Time, actions: &mut impl LeaseActions, max_tasks: usize) {
        for _ in 0..max_tasks {
            // A lease that may expire goes before one that is not held yet.
            let due = |queue: &BTreeSet<Deadline>| {
                queue
                    .first()
                    .filter(|deadline| deadline.at <= now)
                    .map(|deadline| deadline.task)
            };
            let Some(task) = due(&self.held).or_else(|| due(&self.claims)) else {
                break;
            };
            self.update(task, |lease, config| {
                lease.timer_fired(now, config, actions);
            });
        }
    }
}
