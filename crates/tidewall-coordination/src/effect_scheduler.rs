//! Decides when effects of held tasks are due, and when the execution of a task has stopped. Each task has
//! one effect per interval while its lease runs. A task whose lease was lost is reported as stopped only when
//! none of its effects can take place any more: each effect that was sent is either acknowledged or older
//! than the age at which a worker rejects its permit. This module does no I/O and reads no clock; the
//! executor task owns it.
use crate::Time;
use std::collections::BTreeSet;

/// Receives the output of the scheduler.
pub trait EffectActions {
    /// An effect of the task is due. It is to be sent if the lease still permits it when the worker's permit
    /// arrives.
    fn run_effect(&mut self, task: usize);
    /// No effect under that epoch or a lower one can take place any more.
    fn execution_stopped(&mut self, task: usize, epoch: u64);
}

/// The state of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TaskState {
    /// The epoch of the lease held by this member; 0 if there is none.
    epoch: u64,
    expires_at: Time,
    next_effect: Time,
    in_flight: u32,
    last_sent: Time,
    /// Incremented when the effects in flight are considered finished. An acknowledgement of an earlier
    /// generation does not count for effects sent later.
    generation: u32,
    /// The highest lost epoch whose stop is still to be reported; 0 if there is none.
    stopping_epoch: u64,
}

/// The tasks of a node; see the module documentation.
pub struct EffectScheduler {
    tasks: Vec<TaskState>,
    /// Held tasks ordered by the time of their next effect.
    due: BTreeSet<(Time, usize)>,
    /// Tasks whose stop is still to be reported.
    stopping: BTreeSet<usize>,
    interval: Time,
    effect_timeout: Time,
}

impl EffectScheduler {
    /// Creates a scheduler for `tasks` tasks, each with one effect per `interval`. An effect may still take
    /// place for `effect_timeout` after it was sent, measured by this node's clock.
    pub fn new(tasks: usize, interval: Time, effect_timeout: Time) -> EffectScheduler {
        EffectScheduler {
            tasks: vec![TaskState::default(); tasks],
            due: BTreeSet::new(),
            stopping: BTreeSet::new(),
            interval,
            effect_timeout,
        }
    }

    /// The epoch under which an effect of the task may be sent at `now`. To be called immediately before the
    /// bytes are written.
    pub fn permitted_epoch(&self, now: Time, task: usize) -> Option<u64> {
        self.tasks
            .get(task)
            .filter(|state| state.epoch > 0 && now < state.expires_at)
            .map(|state| state.epoch)
    }

    /// Records that the lease is held until `until`. If the task was not held before, its first effect is due
    /// after `first_delay`. The call is ignored if the epoch is lower than a known one, or was lost.
    pub fn lease_acquired(
        &mut self,
        now: Time,
        task: usize,
        epoch: u64,
        until: Time,
        first_delay: Time,
    ) {
        let Some(state) = self
            .tasks
            .get_mut(task)
            .filter(|state| epoch >= state.epoch && epoch > state.stopping_epoch)
        else {
            return;
        };
        let starts = state.epoch == 0 || state.next_effect == Time::MAX || now >= state.expires_at;
        state.expires_at = if state.epoch == epoch {
            state.expires_at.max(until)
        } else {
            until
        };
        state.epoch = epoch;
        if starts {
            self.due.remove(&(state.next_effect, task));
            state.next_effect = now + first_delay;
            self.due.insert((state.next_effect, task));
        }
    }

    /// Records that the lease of that epoch is lost. `execution_stopped` follows immediately or later.
    pub fn lease_lost(
        &mut self,
        now: Time,
        actions: &mut impl EffectActions,
        task: usize,
        epoch: u64,
    ) {
        let Some(state) = self.tasks.get_mut(task) else {
            return;
        };
        if state.epoch == epoch {
            self.due.remove(&(state.next_effect, task));
            state.epoch = 0;
            state.expires_at = 0;
            state.next_effect = Time::MAX;
        }
        state.stopping_epoch = state.stopping_epoch.max(epoch);
        self.stopping.insert(task);
        self.report_if_stopped(now, actions, task);
    }

    /// Records that an effect was sent. Its acknowledgement has to pass the returned generation.
    pub fn effect_sent(&mut self, now: Time, task: usize) -> u32 {
        let state = &mut self.tasks[task];
        state.in_flight += 1;
        state.last_sent = now;
        state.generation
    }

    /// Records that an effect of that generation was acknowledged, or rejected by its worker.
    pub fn effect_acknowledged(
        &mut self,
        now: Time,
        actions: &mut impl EffectActions,
        task: usize,
        generation: u32,
    ) {
        let state = &mut self.tasks[task];
        if generation == state.generation {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
        self.report_if_stopped(now, actions, task);
    }

    fn report_if_stopped(&mut self, now: Time, actions: &mut impl EffectActions, task: usize) {
        let state = &mut self.tasks[task];
        let stopped = state.in_flight == 0 || now > state.last_sent + self.effect_timeout;
        if stopped && self.stopping.remove(&task) {
            actions.execution_stopped(task, state.stopping_epoch);
            state.in_flight = 0;
            state.stopping_epoch = 0;
            state.generation = state.generation.wrapping_add(1);
        }
    }

    /// Runs the effects that are due, and reports the tasks whose last effect has timed out.
    pub fn tick(&mut self, now: Time, actions: &mut impl EffectActions) {
        while let Some((at, task)) = self.due.first().copied().filter(|due| due.0 <= now) {
            self.due.remove(&(at, task));
            let state = &mut self.tasks[task];
            if state.epoch == 0 || now >= state.expires_at {
                state.next_effect = Time::MAX;
                continue;
            }
            // Effects that were missed are not made up for.
            state.next_effect = (at + self.interval).max(now + 1);
            self.due.insert((state.next_effect, task));
            actions.run_effect(task);
        }
        let stopping: Vec<usize> = self.stopping.iter().copied().collect();
        for task in stopping {
            self.report_if_stopped(now, actions, task);
        }
    }
}
