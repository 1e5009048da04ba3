//! What is done for tasks held here, and when: each has its turn every so often, while its lease runs. A task that is
//! given back is reported as stopped only when nothing of it can be on its way any more: what was sent is answered, or
//! older than a worker lets a ticket become. No I/O and no clock.
use crate::Time;
use std::collections::BTreeSet;

pub trait EffectActions {
    /// Its turn: an act is to go out, if it still may when its ticket is there.
    fn run_effect(&mut self, task: usize);
    fn execution_stopped(&mut self, task: usize, epoch: u64);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Hold {
    epoch: u64,
    until: Time,
    next: Time,
    /// Acts on their way, and when the last of them left.
    out: u32,
    last: Time,
    /// Rises when those on their way are given up: an answer that comes later is none of those sent since.
    round: u32,
    /// To be reported as stopped.
    stops: u64,
}

pub struct EffectScheduler {
    holds: Vec<Hold>,
    turns: BTreeSet<(Time, usize)>,
    stops: BTreeSet<usize>,
    every: Time,
    /// How long after it left an act may still take effect, by our own clock.
    margin: Time,
}

impl EffectScheduler {
    pub fn new(tasks: usize, every: Time, margin: Time) -> EffectScheduler {
        let holds = vec![Hold::default(); tasks];
        EffectScheduler {
            holds,
            turns: BTreeSet::new(),
            stops: BTreeSet::new(),
            every,
            margin,
        }
    }

    /// Under which epoch that task may be acted on now: asked right before the bytes go to the socket.
    pub fn permitted_epoch(&self, now: Time, task: usize) -> Option<u64> {
        self.holds
            .get(task)
            .filter(|h| h.epoch > 0 && now < h.until)
            .map(|h| h.epoch)
    }

    /// `first`: when its first turn is, from now on, for one that was not held before.
    pub fn lease_acquired(&mut self, now: Time, task: usize, epoch: u64, until: Time, first: Time) {
        let Some(h) = self
            .holds
            .get_mut(task)
            .filter(|h| epoch >= h.epoch && epoch > h.stops)
        else {
            return;
        };
        let new = h.epoch == 0 || h.next == Time::MAX || now >= h.until;
        (h.epoch, h.until) = (
            epoch,
            if h.epoch == epoch {
                h.until.max(until)
            } else {
                until
            },
        );
        if new {
            self.turns.remove(&(h.next, task));
            h.next = now + first;
            self.turns.insert((h.next, task));
        }
    }

    pub fn lease_lost(
        &mut self,
        now: Time,
        host: &mut impl EffectActions,
        task: usize,
        epoch: u64,
    ) {
        let Some(h) = self.holds.get_mut(task) else {
            return;
        };
        if h.epoch == epoch {
            self.turns.remove(&(h.next, task));
            (h.epoch, h.until, h.next) = (0, 0, Time::MAX);
        }
        h.stops = h.stops.max(epoch);
        self.stops.insert(task);
        self.look(now, host, task);
    }

    /// An act has left; what it gives back comes with its answer.
    pub fn effect_sent(&mut self, now: Time, task: usize) -> u32 {
        let h = &mut self.holds[task];
        h.out += 1;
        h.last = now;
        h.round
    }

    /// An act of that round was answered.
    pub fn effect_acknowledged(
        &mut self,
        now: Time,
        host: &mut impl EffectActions,
        task: usize,
        round: u32,
    ) {
        let h = &mut self.holds[task];
        h.out -= u32::from(round == h.round).min(h.out);
        self.look(now, host, task);
    }

    fn look(&mut self, now: Time, host: &mut impl EffectActions, task: usize) {
        let h = &mut self.holds[task];
        let over = h.out == 0 || now > h.last + self.margin;
        if over && self.stops.remove(&task) {
            host.execution_stopped(task, h.stops);
            (h.out, h.stops, h.round) = (0, 0, h.round.wrapping_add(1));
        }
    }

    /// Turns that are due, and stops whose time is over.
    pub fn tick(&mut self, now: Time, host: &mut impl EffectActions) {
        while let Some((at, task)) = self.turns.first().copied().filter(|t| t.0 <= now) {
            self.turns.remove(&(at, task));
            let h = &mut self.holds[task];
            if h.epoch == 0 || now >= h.until {
                h.next = Time::MAX;
                continue;
            }
            // One that is late does not make up for what it missed.
            h.next = (at + self.every).max(now + 1);
            self.turns.insert((h.next, task));
            host.run_effect(task);
        }
        let stops: Vec<usize> = self.stops.iter().copied().collect();
        stops
            .into_iter()
            .for_each(|task| self.look(now, host, task));
    }

    pub fn held_count(&self, now: Time) -> usize {
        self.turns
            .iter()
            .filter(|t| self.permitted_epoch(now, t.1).is_some())
            .count()
    }
}
