//! The workers of one scheduler, with sums over them that are kept up to date: a decision looks at the workers that it is
//! about, never at all of them. It decides nothing.
use crate::interface::{Time, WorkerId};
use crate::state::Worker;
use std::cell::{RefCell, RefMut};
use std::ops::{Deref, Index, IndexMut};
use std::rc::Rc;

/// What the warm workers together do, by which the budget of workers in slow start is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmCapacity {
    /// How many there are.
    pub count: f64,
    /// The sum of their ratings.
    pub ratings: f64,
    /// Half of the work that they completed within the span of its counter.
    pub work: f64,
}

/// A worker's part in the sums, as it was last counted.
#[derive(Clone, Copy, Default, PartialEq)]
struct Counted {
    name_hash: u64,
    active: bool,
    in_flight: u32,
    started_at: Time,
    rating: f64,
}

/// Count and ratings of the warm workers, with the time at which the next one becomes warm.
#[derive(Clone, Copy)]
struct WarmCount {
    count: f64,
    ratings: f64,
    until: Time,
}

/// The sums. Integers, so that the order in which workers were counted does not show.
#[derive(Default)]
struct Sums {
    counted: Vec<Counted>,
    active: u32,
    in_flight: u32,
    /// The active workers with the hashes of their names; none where they have changed.
    active_names: Option<Rc<[(u64, WorkerId)]>>,
    /// Workers with completed work that may still be within the span of its counter.
    busy: Vec<WorkerId>,
    is_busy: Vec<bool>,
    /// Workers that were ejected and may still be.
    ejected: Vec<WorkerId>,
    is_ejected: Vec<bool>,
    warm: Option<WarmCount>,
    /// The work of the warm workers, and the time at which it was summed up.
    work: Option<(Time, f64)>,
}

/// Workers that may have changed since they were last counted.
#[derive(Default)]
struct Changed {
    workers: Vec<WorkerId>,
    /// By worker: whether it is among them.
    contains: Vec<bool>,
}

/// All workers by their index. Whoever changes one by its index need not tell: it is counted anew before the next sum is read.
#[derive(Default)]
pub struct Workers {
    list: Vec<Worker>,
    changed: RefCell<Changed>,
    sums: RefCell<Sums>,
}

impl Deref for Workers {
    type Target = [Worker];

    fn deref(&self) -> &[Worker] {
        &self.list
    }
}

impl Index<WorkerId> for Workers {
    type Output = Worker;

    fn index(&self, worker_id: WorkerId) -> &Worker {
        &self.list[worker_id]
    }
}

impl IndexMut<WorkerId> for Workers {
    fn index_mut(&mut self, worker_id: WorkerId) -> &mut Worker {
        let changed = self.changed.get_mut();
        if !std::mem::replace(&mut changed.contains[worker_id], true) {
            changed.workers.push(worker_id);
        }
        &mut self.list[worker_id]
    }
}

impl Workers {
    /// Makes room for a worker of this index.
    pub fn grow(&mut self, worker_id: WorkerId) {
        let len = self.list.len().max(worker_id + 1);
        self.list.resize_with(len, Worker::default);
        self.changed.get_mut().contains.resize(len, false);
    }

    /// How many workers the endpoint list has as taking requests, and what this gateway has in flight at them.
    pub fn active(&self) -> (u32, u32) {
        let sums = self.counted();
        (sums.active, sums.in_flight)
    }

    /// Active workers that are ejected at `now`.
    pub fn ejected(&self, now: Time) -> usize {
        let mut sums = self.counted();
        let Sums { ejected, is_ejected, .. } = &mut *sums;
        ejected.retain(|worker_id| {
            is_ejected[*worker_id] = self.list[*worker_id].ejected_until > now;
            is_ejected[*worker_id]
        });
        ejected.iter().filter(|worker_id| self.list[**worker_id].is_active()).count()
    }

    /// The active workers, each with the hash of its name.
    pub fn active_names(&self) -> Rc<[(u64, WorkerId)]> {
        let mut sums = self.counted();
        let counted = &sums.counted;
        let list = sums.active_names.clone().unwrap_or_else(|| {
            let active = counted.iter().enumerate().filter(|(_, worker)| worker.active);
            active.map(|(worker_id, worker)| (worker.name_hash, worker_id)).collect()
        });
        sums.active_names = Some(list.clone());
        list
    }

    /// What the warm workers do at `now`; `warm_at` gives when a worker is warm.
    pub fn warm_capacity(&self, now: Time, warm_at: impl Fn(&Worker) -> Time) -> WarmCapacity {
        let mut sums = self.counted();
        let warm = match sums.warm.filter(|warm| now < warm.until) {
            Some(warm) => warm,
            None => self.count_warm(now, &warm_at),
        };
        sums.warm = Some(warm);
        let work = match sums.work.filter(|(at, _)| *at == now) {
            Some((_, work)) => work,
            None => self.sum_work(&mut sums, now, &warm_at),
        };
        sums.work = Some((now, work));
        WarmCapacity { count: warm.count, ratings: warm.ratings, work }
    }

    /// In the order of their indices, as sums of ratings depend on it.
    fn count_warm(&self, now: Time, warm_at: &impl Fn(&Worker) -> Time) -> WarmCount {
        let mut warm = WarmCount { count: 0.0, ratings: 0.0, until: Time::MAX };
        for worker in self.list.iter().filter(|worker| worker.is_active()) {
            let at = warm_at(worker);
            if at <= now {
                (warm.count, warm.ratings) = (warm.count + 1.0, warm.ratings + worker.endpoint.rating);
            } else {
                warm.until = warm.until.min(at);
            }
        }
        warm
    }

    fn sum_work(&self, sums: &mut Sums, now: Time, warm_at: &impl Fn(&Worker) -> Time) -> f64 {
        let mut work = 0.0;
        let Sums { busy, is_busy, .. } = sums;
        busy.retain(|worker_id| {
            let worker = &self.list[*worker_id];
            let recent = worker.completed_work.recent(now);
            if worker.is_active() && warm_at(worker) <= now {
                work += f64::from(recent) / 2.0;
            }
            is_busy[*worker_id] = recent > 0;
            recent > 0
        });
        work
    }

    /// The sums, with all workers counted anew that may have changed.
    fn counted(&self) -> RefMut<'_, Sums> {
        let (mut changed, mut sums) = (self.changed.borrow_mut(), self.sums.borrow_mut());
        if changed.workers.is_empty() {
            return sums;
        }
        let len = self.list.len();
        sums.counted.resize(len, Counted::default());
        sums.is_busy.resize(len, false);
        sums.is_ejected.resize(len, false);
        let Changed { workers, contains } = &mut *changed;
        for worker_id in workers.drain(..) {
            contains[worker_id] = false;
            sums.count(worker_id, &self.list[worker_id]);
        }
        sums.work = None;
        sums
    }
}

impl Sums {
    fn count(&mut self, worker_id: WorkerId, worker: &Worker) {
        let before = self.counted[worker_id];
        let after = Counted {
            name_hash: worker.endpoint.name_hash,
            active: worker.is_active(),
            in_flight: worker.in_flight,
            started_at: worker.endpoint.started_at,
            rating: worker.endpoint.rating,
        };
        self.counted[worker_id] = after;
        if before.active {
            (self.active, self.in_flight) = (self.active - 1, self.in_flight - before.in_flight);
        }
        if after.active {
            (self.active, self.in_flight) = (self.active + 1, self.in_flight + after.in_flight);
        }
        if (before.active, before.name_hash) != (after.active, after.name_hash) {
            self.active_names = None;
        }
        if before != (Counted { in_flight: before.in_flight, ..after }) {
            self.warm = None;
        }
        if !worker.completed_work.is_empty() && !std::mem::replace(&mut self.is_busy[worker_id], true) {
            self.busy.push(worker_id);
        }
        if worker.ejected_until > 0 && !std::mem::replace(&mut self.is_ejected[worker_id], true) {
            self.ejected.push(worker_id);
        }
    }
}
