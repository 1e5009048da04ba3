//! The workers of one scheduler, with sums over them that are kept up to date, so that a decision only visits
//! the workers that it concerns and never all of them. Makes no decisions.
use crate::interface::{Time, WorkerId};
use crate::state::Worker;
use std::cell::{RefCell, RefMut};
use std::ops::{Deref, Index, IndexMut};
use std::rc::Rc;

/// Total capacity of the warm workers, from which the budgets of workers in slow start are computed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmCapacity {
    /// Number of warm workers.
    pub count: f64,
    /// Sum of their ratings.
    pub ratings: f64,
    /// Half of the work that they completed within the counter's span.
    pub work: f64,
}

/// The values of a worker that are included in the sums.
#[derive(Clone, Copy, Default, PartialEq)]
struct CountedWorker {
    name_hash: u64,
    active: bool,
    in_flight: u32,
    started_at: Time,
    rating: f64,
}

/// Count and ratings of the warm workers, valid until the next worker becomes warm.
#[derive(Clone, Copy)]
struct WarmCount {
    count: f64,
    ratings: f64,
    until: Time,
}

/// The sums. They are integers, so that the order in which workers were counted has no effect.
#[derive(Default)]
struct Sums {
    counted: Vec<CountedWorker>,
    active: u32,
    in_flight: u32,
    /// The active workers with the hashes of their names; None after they have changed.
    active_names: Option<Rc<[(u64, WorkerId)]>>,
    /// Workers with completed work that may still be within the counter's span.
    busy: Vec<WorkerId>,
    is_busy: Vec<bool>,
    /// Workers that were ejected and may still be.
    ejected: Vec<WorkerId>,
    is_ejected: Vec<bool>,
    warm: Option<WarmCount>,
    /// The time at which the work of the warm workers was last summed, and the sum.
    work: Option<(Time, f64)>,
}

/// Workers that may have changed since they were last counted.
#[derive(Default)]
struct ChangedWorkers {
    workers: Vec<WorkerId>,
    /// By worker id: whether it is in `workers`.
    contains: Vec<bool>,
}

/// All workers by their index. Mutable access by index marks a worker as changed; it is counted again before
/// the next sum is read.
#[derive(Default)]
pub struct Workers {
    list: Vec<Worker>,
    changed: RefCell<ChangedWorkers>,
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
    /// Grows the list so that it contains this index.
    pub fn grow(&mut self, worker_id: WorkerId) {
        let len = self.list.len().max(worker_id + 1);
        self.list.resize_with(len, Worker::default);
        self.changed.get_mut().contains.resize(len, false);
    }

    /// The number of workers that the endpoint list says take requests, and this gateway's requests in flight
    /// at them.
    pub fn active(&self) -> (u32, u32) {
        let sums = self.counted();
        (sums.active, sums.in_flight)
    }

    /// Number of active workers that are ejected at `now`.
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

    /// Returns the capacity of the warm workers at `now`. `warm_at` returns the time at which a worker is
    /// warm.
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

    /// Counts in the order of the indices, because the sum of the ratings depends on the order.
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

    /// Returns the sums after counting all workers again that may have changed.
    fn counted(&self) -> RefMut<'_, Sums> {
        let (mut changed, mut sums) = (self.changed.borrow_mut(), self.sums.borrow_mut());
        if changed.workers.is_empty() {
            return sums;
        }
        let len = self.list.len();
        sums.counted.resize(len, CountedWorker::default());
        sums.is_busy.resize(len, false);
        sums.is_ejected.resize(len, false);
        let ChangedWorkers { workers, contains } = &mut *changed;
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
        let after = CountedWorker {
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
        if before != (CountedWorker { in_flight: before.in_flight, ..after }) {
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
