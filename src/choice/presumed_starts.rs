//! Workers that come back while the endpoint list is overdue: whether they may have restarted, which
//! discovery would have told and no answer of theirs does.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// The function of which a worker is asked how many instances it has. Of one that was away the one that
    /// it had last: if it still has it, it has not restarted.
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

    /// Whether a worker that is in service now may have restarted since that was last known: no connection
    /// to it has stood since it denied service, or since one broke a while before the next was opened. One
    /// that was away for a moment and still has instances has not: nobody could have loaded them anew by
    /// then.
    pub(super) fn may_have_restarted(&self, worker_id: WorkerId, before: &ServiceEvidence) -> bool {
        let since = self.host.connected_since(worker_id);
        let known_before = self.endpoint_list.as_of.max(before.confirmed_at());
        let denied = before.denied_at > known_before && since > before.denied_at;
        let watched_from = self.endpoint_list.as_of.max(self.started_at);
        let lost_at = before.connection_lost_at;
        let lost = lost_at > watched_from && since > lost_at + SHORTEST_RESTART;
        let away_from = if lost_at > watched_from { lost_at } else { before.denied_at };
        let had_instances_at = self.workers[worker_id].service.had_instances_at;
        let kept = had_instances_at > away_from && had_instances_at < away_from + SHORTEST_RELOAD;
        (denied || lost) && !kept && !self.are_most_presumed_cold(worker_id)
    }

    /// Whether with one more most of the workers would be taken for cold at one time: then it is this
    /// gateway that lost them, and with all of them cold it would serve nobody.
    fn are_most_presumed_cold(&self, worker_id: WorkerId) -> bool {
        let is_cold = |worker: &Worker| {
            worker.is_active() && worker.service.is_start_presumed && self.slow_start_share(worker).is_some()
        };
        let cold = self.workers.iter().filter(|worker| is_cold(worker)).count();
        let more = usize::from(!is_cold(&self.workers[worker_id]));
        (cold + more) * 2 > self.workers.active().0 as usize
    }

    /// A worker that may have restarted, as discovery would have told, is taken for empty and cold.
    pub(super) fn presume_start(&mut self, worker_id: WorkerId) {
        let service = self.workers[worker_id].service;
        let endpoint = Endpoint { started_at: self.now.max(1), ..self.workers[worker_id].endpoint };
        self.start_worker(worker_id, endpoint);
        self.workers[worker_id].service = ServiceEvidence { is_start_presumed: true, ..service };
        self.settle_changes(1);
        self.host.service_changed(worker_id, ServiceChange::StartPresumed);
    }
}
