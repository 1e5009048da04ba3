//! How the endpoint list is taken in: which workers are new, and which are gone. What follows is decided in
//! `choice`.
use crate::interface::{Endpoint, EndpointState, SchedulerActions, WorkerId};
use crate::scheduler::Scheduler;
use crate::state::{InstanceState, Worker};

impl<A: SchedulerActions> Scheduler<A> {
    /// Takes in entries of the endpoint list; where the list is `complete`, workers not in it are removed.
    pub fn update_endpoints(&mut self, entries: &[(WorkerId, Endpoint)], complete: bool) {
        for worker_id in 0..self.workers.len() {
            if complete && !entries.iter().any(|entry| entry.0 == worker_id) {
                self.withdraw(worker_id, EndpointState::Removed);
            }
        }
        for &(worker_id, endpoint) in entries {
            self.workers.resize_with(self.workers.len().max(worker_id + 1), Worker::default);
            let known = self.workers[worker_id].endpoint;
            if endpoint.state != EndpointState::Active {
                self.withdraw(worker_id, endpoint.state);
            } else if known.state != EndpointState::Active || known.started_at < endpoint.started_at {
                self.start_worker(worker_id, endpoint);
            }
        }
    }

    /// A worker that drains or is gone gets nothing more from the moment that this gateway hears of it.
    fn withdraw(&mut self, worker_id: WorkerId, state: EndpointState) {
        self.workers[worker_id].endpoint.state = state;
        let placements = self.functions.iter_mut().flat_map(|function| &mut function.placements);
        for placement in placements.filter(|placement| placement.worker_id == worker_id) {
            placement.instances = InstanceState::Unknown;
        }
    }
}
