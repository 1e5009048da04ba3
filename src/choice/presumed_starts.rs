//! Workers that come back while the endpoint list is overdue: whether they may have restarted, which
//! discovery would have reported and their own answers do not.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// The function whose instances a worker is queried for, with its placement's position. For a worker that
    /// was away, it is the function that most recently had an instance there: if that is still loaded, the
    /// worker has not restarted.
    pub(super) fn query_target(&self, function_id: FunctionId, position: usize) -> (FunctionId, usize) {
        let worker_id = self.functions[function_id].placements[position].worker_id;
        let service = &self.workers[worker_id].service;
        if service.connection_lost_at.max(service.denied_at) <= self.endpoint_list.as_of {
            return (function_id, position);
        }
        let mut found = (function_id, position);
        let mut renewed_at = 0;
        for (candidate, function) in self.functions.iter().enumerate().filter(|(_, function)| function.live) {
            let Some(position) = self.placement_on(candidate, worker_id) else { continue };
            let placement = &function.placements[position];
            if placement.instances == InstanceState::Loaded && placement.renewed_at > renewed_at {
                (found, renewed_at) = ((candidate, position), placement.renewed_at);
            }
        }
        found
    }

    /// Whether a worker that is in service now may have restarted since it was last confirmed. This holds if
    /// no connection to it has stood since it denied service, or if one broke a while before the next was
    /// opened. A worker that was away briefly and still has instances has not restarted: nobody could have
    /// loaded them again by then.
    pub(super) fn may_have_restarted(&self, worker_id: WorkerId, before: &ServiceEvidence) -> bool {
        let connected_since = self.host.connected_since(worker_id);
        let known_before = self.endpoint_list.as_of.max(before.confirmed_at());
        let denied = before.denied_at > known_before && connected_since > before.denied_at;
        let watched_from = self.endpoint_list.as_of.max(self.started_at);
        let lost_at = before.connection_lost_at;
        let lost = lost_at > watched_from && connected_since > lost_at + SHORTEST_RESTART;
        let away_from = if lost_at > watched_from { lost_at } else { before.denied_at };
        let had_instances_at = self.workers[worker_id].service.had_instances_at;
        let kept = had_instances_at > away_from && had_instances_at < away_from + SHORTEST_RELOAD;
        (denied || lost) && !kept && !self.are_most_presumed_cold(worker_id)
    }

    /// Whether one more presumed start would make most of the workers count as cold at one time. In that case
    /// it is this gateway that lost its connections, and with all workers cold it would serve no requests.
    fn are_most_presumed_cold(&self, worker_id: WorkerId) -> bool {
        let is_cold = |worker: &Worker| {
            worker.is_active() && worker.service.is_start_presumed && self.slow_start_share(worker).is_some()
        };
        let cold = self.workers.iter().filter(|worker| is_cold(worker)).count();
        let added = usize::from(!is_cold(&self.workers[worker_id]));
        (cold + added) * 2 > self.workers.active().0 as usize
    }

    /// Treats a worker that may have restarted as empty and cold, as if discovery had reported its start.
    pub(super) fn presume_start(&mut self, worker_id: WorkerId) {
        let service = self.workers[worker_id].service;
        let endpoint = Endpoint { started_at: self.now.max(1), ..self.workers[worker_id].endpoint };
        self.start_worker(worker_id, endpoint);
        self.workers[worker_id].service = ServiceEvidence { is_start_presumed: true, ..service };
        self.apply_changes_if_few(1);
        self.host.service_changed(worker_id, ServiceChange::StartPresumed);
    }
}
