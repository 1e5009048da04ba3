//! Functions that no worker has shown to know. Any client can name such functions, as many as it likes, so
//! what they take is bounded: their number, and the calls to workers about them. Nothing is taken from the
//! functions that a worker knows.
use super::*;
use crate::unconfirmed_functions::Registration;

impl<A: SchedulerActions> Scheduler<A> {
    /// Sets how many bytes the state of unconfirmed functions may take.
    pub fn set_unconfirmed_memory(&mut self, bytes: usize) {
        self.unconfirmed_memory = bytes;
    }

    /// Maximum number of unconfirmed functions: what their memory allows, each with all of its placements.
    pub(super) fn max_unconfirmed_functions(&self) -> usize {
        let placements = self.workers.len().min(MAX_PLACEMENTS);
        let function_size = FUNCTION_SIZE + placements * std::mem::size_of::<Placement>();
        (self.unconfirmed_memory / function_size).clamp(1, MAX_UNCONFIRMED_FUNCTIONS)
    }

    /// Forgets the oldest unconfirmed functions until there is room for one more. One with something in
    /// flight or pending stays: an answer that is still to come would count for the next user of its index.
    pub(super) fn make_room_for_function(&mut self) {
        let max = self.max_unconfirmed_functions();
        for _ in 0..MAX_FORGOTTEN_AT_ONCE {
            if self.unconfirmed.count() < max {
                return;
            }
            let Some(oldest) = self.unconfirmed.pop_oldest() else { return };
            if !self.is_unconfirmed(oldest) {
                continue;
            }
            if self.functions[oldest.function_id].is_idle() {
                self.forget_function(oldest.function_id);
            } else {
                self.unconfirmed.put_back(oldest);
            }
        }
    }

    /// Whether the function of this registration is still known, and unconfirmed.
    fn is_unconfirmed(&self, registration: Registration) -> bool {
        let function = &self.functions[registration.function_id];
        function.live && function.registration == registration.number && !function.confirmed
    }

    /// Forgets a function without requests for which nothing is pending. Its index may be reused.
    pub(super) fn forget_function(&mut self, function_id: FunctionId) {
        let function = &mut self.functions[function_id];
        (function.live, function.placements) = (false, Vec::new());
        self.host.forget_function(function_id);
    }

    /// Whether a query about the function may be sent. Queries about functions that nobody knows would cost
    /// the workers as much as requests. Without them, instances are found by load requests.
    pub(super) fn may_query(&mut self, function_id: FunctionId) -> bool {
        if self.functions[function_id].confirmed {
            return true;
        }
        let unconfirmed = &mut self.unconfirmed;
        if self.now >= unconfirmed.queries_since + SECOND {
            (unconfirmed.queries_since, unconfirmed.queries) = (self.now, 0);
        }
        unconfirmed.queries < MAX_UNCONFIRMED_QUERIES && self.may_call(function_id)
    }

    /// Whether a call about the function may be sent. A function stays until its calls have ended, so only a
    /// half of the unconfirmed ones may have some.
    pub(super) fn may_call(&self, function_id: FunctionId) -> bool {
        let function = &self.functions[function_id];
        function.confirmed
            || function.pending_calls > 0
            || self.unconfirmed.with_calls < self.max_unconfirmed_functions().div_ceil(2)
    }

    /// Counts a load request or query that is sent.
    pub(super) fn count_call(&mut self, function_id: FunctionId, is_query: bool) {
        let function = &mut self.functions[function_id];
        function.pending_calls += 1;
        if !function.confirmed {
            self.unconfirmed.with_calls += usize::from(function.pending_calls == 1);
            self.unconfirmed.queries += usize::from(is_query);
        }
    }

    /// Counts the end of a load request or query.
    pub(super) fn count_ended_call(&mut self, function_id: FunctionId) {
        let function = &mut self.functions[function_id];
        let was_last = function.pending_calls == 1;
        function.pending_calls = function.pending_calls.saturating_sub(1);
        if was_last && !function.confirmed {
            self.unconfirmed.with_calls = self.unconfirmed.with_calls.saturating_sub(1);
        }
    }

    /// The calls of a function that is confirmed now do not count any more.
    pub(super) fn uncount_calls(&mut self, function_id: FunctionId) {
        let has_calls = self.functions[function_id].pending_calls > 0;
        self.unconfirmed.with_calls = self.unconfirmed.with_calls.saturating_sub(usize::from(has_calls));
    }
}
