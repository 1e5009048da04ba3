//! All tasks at one member: which is due when, renewals before claims, and no more at a time than the member's budget lets out.
use crate::grantor::GrantorReply;
use crate::lease::{Lease, LeaseActions, LeaseConfig, LeaseState};
use crate::Time;
use std::collections::BTreeSet;

pub struct LeaseHolder {
    pub terms: LeaseConfig,
    leases: Vec<Lease>,
    /// Tasks by when they are due: those that run here, and those that are claimed.
    runs: BTreeSet<(Time, usize)>,
    claims: BTreeSet<(Time, usize)>,
}

/// Which list a lease is filed in, and at which time.
fn place(lease: &Lease) -> (bool, Time) {
    (
        matches!(lease.state, LeaseState::Held | LeaseState::Stopping),
        lease.next,
    )
}

impl LeaseHolder {
    pub fn new(terms: LeaseConfig, tasks: usize) -> LeaseHolder {
        let leases = (0..tasks).map(Lease::new).collect();
        LeaseHolder {
            terms,
            leases,
            runs: BTreeSet::new(),
            claims: BTreeSet::new(),
        }
    }

    pub fn lease(&self, task: usize) -> &Lease {
        &self.leases[task]
    }

    pub fn tasks(&self) -> usize {
        self.leases.len()
    }

    /// Tasks that may be acted on here now.
    pub fn held_count(&self, now: Time) -> usize {
        self.runs
            .iter()
            .filter(|r| self.leases[r.1].is_held(now))
            .count()
    }

    /// Leases that run here, given back or not.
    pub fn running_count(&self) -> usize {
        self.runs.len()
    }

    /// One thing happens to one task, which is filed anew afterwards.
    fn with<R>(
        &mut self,
        task: usize,
        happen: impl FnOnce(&mut Lease, &LeaseConfig) -> R,
    ) -> Option<R> {
        let lease = self.leases.get_mut(task)?;
        let (ran, at) = place(lease);
        let done = happen(lease, &self.terms);
        let (runs, next) = place(lease);
        if (ran, at) != (runs, next) {
            let list = if ran {
                &mut self.runs
            } else {
                &mut self.claims
            };
            list.remove(&(at, task));
            let list = if runs {
                &mut self.runs
            } else {
                &mut self.claims
            };
            if next != Time::MAX {
                list.insert((next, task));
            }
        }
        Some(done)
    }

    pub fn set_wanted(
        &mut self,
        now: Time,
        host: &mut impl LeaseActions,
        task: usize,
        on: bool,
        soon: bool,
    ) {
        self.with(task, |l, t| l.set_wanted(now, t, host, on, soon));
    }

    pub fn prepare_replied(
        &mut self,
        now: Time,
        host: &mut impl LeaseActions,
        (keeper, task): (usize, usize),
        ballot: u64,
        told: GrantorReply,
    ) {
        self.with(task, |l, t| {
            l.prepare_replied(now, t, host, keeper, ballot, told)
        });
    }

    pub fn accept_replied(
        &mut self,
        now: Time,
        host: &mut impl LeaseActions,
        (keeper, task): (usize, usize),
        of: (u64, u32),
        told: GrantorReply,
    ) {
        self.with(task, |l, t| {
            l.accept_replied(now, t, host, keeper, of, told)
        });
    }

    /// Whether it was given back now.
    pub fn execution_stopped(
        &mut self,
        now: Time,
        host: &mut impl LeaseActions,
        task: usize,
        epoch: u64,
    ) -> bool {
        self.with(task, |l, t| l.execution_stopped(now, t, host, epoch))
            .unwrap_or(false)
    }

    pub fn higher_epoch_seen(
        &mut self,
        now: Time,
        host: &mut impl LeaseActions,
        task: usize,
        epoch: u64,
    ) {
        self.with(task, |l, t| l.higher_epoch_seen(now, t, host, epoch));
    }

    /// When something is due here.
    pub fn next_deadline(&self) -> Option<Time> {
        let first = |list: &BTreeSet<(Time, usize)>| list.first().map(|f| f.0);
        first(&self.runs)
            .into_iter()
            .chain(first(&self.claims))
            .min()
    }

    /// What is due is done for `most` tasks at most; gives back for how many it was.
    pub fn run_due(&mut self, now: Time, host: &mut impl LeaseActions, most: usize) -> usize {
        let mut done = 0;
        while done < most {
            // What runs out goes before what does not run yet.
            let first =
                |list: &BTreeSet<(Time, usize)>| list.first().filter(|f| f.0 <= now).map(|f| f.1);
            let Some(task) = first(&self.runs).or_else(|| first(&self.claims)) else {
                break;
            };
            self.with(task, |l, t| l.timer_fired(now, t, host));
            done += 1;
        }
        done
    }
}
