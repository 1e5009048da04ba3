//! How requests wait and end. It carries out what `choice` has decided.
use crate::choice::tuning::MAX_ATTEMPTS;
use crate::interface::{RequestInfo, RequestSlot, SchedulerActions};
use crate::scheduler::Scheduler;
use crate::state::{Attempt, AttemptState, Request};

impl<A: SchedulerActions> Scheduler<A> {
    /// Requests that wait here, oldest first, are tried again.
    pub(crate) fn retry_waiting(&mut self, which: impl Fn(&Request) -> bool) {
        for _ in 0..self.waiting.len() {
            let Some(slot) = self.waiting.pop_front() else { return };
            let Some(request) = self.requests.get_mut(slot).filter(|r| r.waiting) else { continue };
            if !which(request) {
                self.waiting.push_back(slot);
                continue;
            }
            request.waiting = false;
            self.request_loads(self.requests[slot].info.function);
            self.dispatch(slot);
        }
    }

    /// The response of one attempt has begun; the others are cancelled.
    pub fn response_started(&mut self, slot: RequestSlot, attempt: usize) {
        let Some(request) = self.requests.get_mut(slot) else { return };
        request.streaming = true;
        self.cancel_attempts(slot, attempt);
    }

    /// The request has its final response: attempts still in flight are cancelled.
    pub(crate) fn finish(&mut self, slot: RequestSlot) {
        let request = &mut self.requests[slot];
        self.functions[request.info.function].open_requests -= u32::from(!request.finished);
        (request.finished, request.waiting) = (true, false);
        if !request.streaming {
            self.cancel_attempts(slot, MAX_ATTEMPTS);
        }
        if self.requests[slot].outstanding() == 0 {
            self.requests.remove(slot);
            self.host.release_request(slot);
        }
    }

    /// Cancels what is still in flight, but for one attempt.
    pub(crate) fn cancel_attempts(&mut self, slot: RequestSlot, except: usize) {
        for i in 0..self.requests[slot].attempt_count {
            let state = self.requests[slot].attempts[i].state;
            let out = i != except && matches!(state, AttemptState::InFlight | AttemptState::Overdue);
            if out && self.config.may_cancel {
                self.requests[slot].attempts[i].state = AttemptState::Cancelled;
                self.host.cancel_attempt(slot, i);
            }
        }
    }

    /// Counts the end of an attempt that is in flight: the attempt as it was, the position of its placement,
    /// and what is known of its request.
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
        let position = self.placement_on(info.function, before.worker_id);
        let position = position.expect("an attempt in flight keeps its function's placement");
        self.functions[info.function].placements[position].in_flight -= 1;
        Some((before, position, info))
    }
}
