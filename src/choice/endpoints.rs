//! The endpoint list: which workers there are and which may get requests.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// New, restarted or back from the dead: nothing that was learned of it holds; it is empty.
    pub(crate) fn start_worker(&mut self, worker_id: WorkerId, endpoint: Endpoint) {
        let known = self.workers[worker_id].endpoint;
        self.workers[worker_id] = Worker {
            endpoint,
            in_flight: self.workers[worker_id].in_flight,
            slow_start_rounding: f64::from(self.random.below(1000) + 1) / 1000.0,
            in_flight_limit: INITIAL_IN_FLIGHT_LIMIT,
            ..Worker::default()
        };
        // One that was here before comes back empty; of a new one nothing is known.
        let instances = if known.name_hash != 0 { InstanceState::Absent } else { InstanceState::Unknown };
        (0..self.functions.len()).for_each(|f| self.add_placement(f, worker_id, instances));
    }

    /// A watch may have broken: asking anew is always allowed, at the next timer of its own.
    pub fn endpoint_update_failed(&mut self) {
        // Well within the age at which the list counts as known.
        let delay = self.jitter(SECOND.min(self.config.endpoint_max_age / 2).max(MS));
        self.host.set_timer(delay, ENDPOINT_TIMER);
    }
}
