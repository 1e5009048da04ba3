//! The leases of all tasks at one member, and the times at which they need action. Renewals are sent before
//! new claims, and the number of requests sent at a time is bounded by the member's rate limit.
use crate::lease::{AcceptReply, Lease, LeaseActions, LeaseConfig, LeaseState, PrepareReply};
use crate::Time;
use std::collections::BTreeSet;

/// The time at which a lease needs action. Ordered by time, then by task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Time,
    task: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    /// Leases held by this member. They expire unless they are renewed in time.
    Held,
    /// Leases that are not held, including those that are being claimed.
    Claims,
}

/// Returns the queue that a lease belongs to.
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
    /// Indexed by task.
    leases: Vec<Lease>,
    held: BTreeSet<Deadline>,
    claims: BTreeSet<Deadline>,
}

impl LeaseHolder {
    /// Creates a holder that holds and wants no lease.
    pub fn new(config: LeaseConfig, tasks: usize) -> LeaseHolder {
        LeaseHolder {
            config,
            leases: (0..tasks).map(Lease::new).collect(),
            held: BTreeSet::new(),
            claims: BTreeSet::new(),
        }
    }

    /// Returns the lease of a task. Panics if `task` is not below the number given to [`LeaseHolder::new`].
    pub fn lease(&self, task: usize) -> &Lease {
        &self.leases[task]
    }

    /// The number of tasks that this member may perform at `now`.
    pub fn held_count(&self, now: Time) -> usize {
        self.held
            .iter()
            .filter(|deadline| self.leases[deadline.task].is_held(now))
            .count()
    }

    /// The number of leases held by this member, including those that it is about to release.
    pub fn running_count(&self) -> usize {
        self.held.len()
    }

    fn queue(&mut self, queue: Queue) -> &mut BTreeSet<Deadline> {
        match queue {
            Queue::Held => &mut self.held,
            Queue::Claims => &mut self.claims,
        }
    }

    /// Applies a change to one lease and requeues the lease if its queue or deadline changed. Returns `None`
    /// if there is no such task.
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

    /// See [`Lease::execution_stopped`]. Returns whether the lease was released.
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

    /// Runs the due timers of at most `max_tasks` tasks.
    pub fn run_due(&mut self, now: Time, actions: &mut impl LeaseActions, max_tasks: usize) {
        for _ in 0..max_tasks {
            // Held leases come first because they may expire.
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
