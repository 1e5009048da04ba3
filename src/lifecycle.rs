//! Bookkeeping at the end of attempts and of requests that have their response. The resulting decisions are
//! in `choice`.
use crate::choice::tuning::MAX_ATTEMPTS;
use crate::interface::{RequestInfo, RequestSlot, SchedulerActions};
use crate::scheduler::Scheduler;
use crate::state::{Attempt, AttemptState};

impl<A: SchedulerActions> Scheduler<A> {
    /// The response of one attempt has started; the other attempts are cancelled.
    pub fn response_started(&mut self, slot: RequestSlot, attempt: usize) {
        let Some(request) = self.requests.get_mut(slot) else { return };
        request.streaming = true;
        self.cancel_attempts(slot, attempt);
    }

    /// The request has its final response; attempts still in flight are cancelled.
    pub(crate) fn finish(&mut self, slot: RequestSlot) {
        let request = &mut self.requests[slot];
        self.functions[request.info.function].open_requests -= u32::from(!request.finished);
        (request.finished, request.waiting_entry) = (true, None);
        if !request.streaming {
            self.cancel_attempts(slot, MAX_ATTEMPTS);
        }
        if self.requests[slot].outstanding() == 0 {
            self.requests.remove(slot);
            self.host.release_request(slot);
        }
    }

    /// Records the end of an attempt that is in flight. Returns the attempt before its end, the position of
    /// its placement, and what is known about its request.
    pub(crate) fn end_attempt(
        &mut self,
        slot: RequestSlot,
        attempt: usize,
        state: AttemptState,
    ) -> Option<(Attempt, usize, RequestInfo)> {
        let request = self.requests.get_mut(slot).filter(|request| attempt < request.attempt_count)?;
        let (before, info) = (request.attempts[attempt], request.info);
        if !before.state.is_outstanding() {
            return None;
        }
        request.attempts[attempt].state = state;
        self.workers[before.worker_id].in_flight -= 1;
        self.workers[before.worker_id].slow_start_attempt_ended(before.sent_at, info.class);
        self.apply_endpoint_changes(info.function);
        let position = self.placement_on(info.function, before.worker_id);
        let position = position.expect("an attempt in flight keeps its function's placement");
        self.functions[info.function].placements[position].in_flight -= 1;
        Some((before, position, info))
    }
}
