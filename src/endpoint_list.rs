//! Applies updates of the endpoint list: which workers are new, and which are gone. The resulting decisions
//! are in `choice`.
use crate::endpoint_changes::{ChangeKind, EndpointChange};
use crate::interface::{Endpoint, EndpointState, SchedulerActions, WorkerId};
use crate::scheduler::Scheduler;

impl<A: SchedulerActions> Scheduler<A> {
    /// Applies entries of the endpoint list. If the list is `complete`, workers that are not in it are
    /// removed.
    pub fn update_endpoints(&mut self, entries: &[(WorkerId, Endpoint)], complete: bool) {
        let before = self.endpoint_changes.end();
        if complete {
            self.withdraw_unlisted(entries);
        }
        for &(worker_id, endpoint) in entries {
            self.workers.grow(worker_id);
            let known = self.workers[worker_id].endpoint;
            if endpoint.state != EndpointState::Active {
                self.withdraw(worker_id, endpoint.state);
            } else if known.state != EndpointState::Active || known.started_at < endpoint.started_at {
                self.start_worker(worker_id, endpoint);
            }
        }
        self.apply_changes_if_few((self.endpoint_changes.end() - before) as usize);
    }

    /// Marks workers that are not in a complete list as removed.
    fn withdraw_unlisted(&mut self, entries: &[(WorkerId, Endpoint)]) {
        let mut is_listed = vec![false; self.workers.len()];
        for (worker_id, _) in entries {
            if let Some(listed) = is_listed.get_mut(*worker_id) {
                *listed = true;
            }
        }
        for worker_id in (0..self.workers.len()).filter(|worker_id| !is_listed[*worker_id]) {
            self.withdraw(worker_id, EndpointState::Removed);
        }
    }

    /// Marks a worker as draining or gone. From then on this gateway sends nothing more to it.
    fn withdraw(&mut self, worker_id: WorkerId, state: EndpointState) {
        if self.workers[worker_id].endpoint.state == state {
            return;
        }
        self.workers[worker_id].endpoint.state = state;
        let (name_hash, kind) = (self.workers[worker_id].endpoint.name_hash, ChangeKind::Withdrawn);
        self.endpoint_changes.push(EndpointChange { worker_id, name_hash, kind });
    }
}
