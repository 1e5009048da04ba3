//! Ends of calls: passes outcomes to the scheduler, and delivers the effects that the scheduler's actions
//! have queued.
use crate::connection_owners::Owner;
use crate::worker_pool::{Call, CallKind};
use crate::Gateway;
use tidewall::interface::{Outcome, Time, WorkerAnswer};
use tidewall_net::Net;
use tracing::debug;

impl<N: Net> Gateway<N> {
    /// Delivers everything that the scheduler's actions have queued, until nothing is left: newly opened
    /// connections, deferred outcomes, the scheduler's own responses, and calls to workers that left or
    /// restarted.
    pub(crate) fn deliver_deferred_outcomes(&mut self) {
        loop {
            let pool = &mut self.context.scheduler.host;
            if let Some((conn, connection)) = pool.opened_connections.pop() {
                self.set_owner(conn, Owner::Worker(connection));
            } else if let Some((key, generation, outcome)) = pool.deferred_outcomes.pop_front() {
                let call = pool.calls.get(key);
                // The key may belong to another call by now.
                if call.is_some_and(|call| call.generation == generation) {
                    self.call_ended(key, outcome, 0);
                    self.context.scheduler.host.remove_ended_call(key);
                }
            } else if let Some(response) = pool.local_responses.pop_front() {
                self.send_final_response(&response, &[]);
            } else if !pool.withdrawn_workers.is_empty() {
                self.withdraw_unsent_calls();
            } else if self.deliver_failover_outcome() {
                // A failover outcome was delivered; the loop continues.
            } else if let Some(handle) = self.context.scheduler.host.expired_clients.pop_front() {
                let now = self.context.net().now();
                self.ingresses[handle.ingress].request_expired(now, handle);
            } else {
                break;
            }
        }
        self.exit_when_drained();
    }

    /// Reports the end of a call to the scheduler. `number` is an attempt's instance note or a load
    /// request's number of instances. Does nothing if the scheduler has the outcome already.
    pub(crate) fn call_ended(&mut self, key: usize, outcome: Outcome, number: u32) {
        let pool = &mut self.context.scheduler.host;
        let Some(&call) = pool.calls.get(key).filter(|call| !call.ended) else {
            return;
        };
        let now = pool.net.now();
        // Time during which this process was stalled is no evidence about the worker.
        let stall = pool.net.total_stall() - call.stall_at_start;
        let elapsed = (now - call.started_at).saturating_sub(stall);
        pool.finish_call(key);
        self.context.scheduler.advance_clock(now);
        if let Some(question) = call.question() {
            // The answer is dated to the start of the call, because the call is sent later than that. A
            // call that was never sent has no answer from the worker.
            let answer = WorkerAnswer {
                question,
                outcome: if call.sent {
                    outcome
                } else {
                    Outcome::Discarded
                },
                asked_at: call.started_at,
                instances: number,
            };
            self.context.scheduler.worker_answered(call.worker, answer);
        }
        match call.kind {
            CallKind::Attempt { request, attempt } => {
                self.attempt_ended(&call, (request, attempt), (outcome, elapsed), number);
            }
            CallKind::LoadRequest { function } => {
                let pool = &self.context.scheduler.host;
                debug!(
                    function = pool.function_names.resolve(function),
                    worker = pool.worker_names.resolve(call.worker),
                    ?outcome,
                    instances = number,
                    elapsed,
                    "load request ended"
                );
                self.context
                    .scheduler
                    .load_request_ended(function, call.worker, outcome, number);
            }
            CallKind::HealthCheck => {
                self.context
                    .scheduler
                    .health_check_ended(call.worker, outcome);
            }
            CallKind::Vote {
                voter,
                ballot,
                accepting,
            } => self.vote_missing(voter, (ballot, accepting)),
        }
    }

    fn attempt_ended(
        &mut self,
        call: &Call,
        (request, attempt): (usize, usize),
        (outcome, elapsed): (Outcome, Time),
        note: u32,
    ) {
        let pool = &mut self.context.scheduler.host;
        let answered = !pool.requests[request].open;
        debug!(
            request = pool.requests[request].id,
            attempt,
            worker = pool.worker_names.resolve(call.worker),
            ?outcome,
            elapsed,
            "attempt ended"
        );
        pool.record_attempt_outcome(request, attempt, outcome);
        pool.replicate_attempt_end(request, attempt);
        self.context
            .scheduler
            .attempt_ended(request, attempt, (outcome, elapsed), answered, note);
    }

    /// Handles a call's timer. If the call has expired, its outcome is reported.
    pub(crate) fn call_timer_fired(&mut self, key: usize) {
        let pool = &mut self.context.scheduler.host;
        let Some(key) = pool.call_timer_fired(key) else {
            return;
        };
        let Call { sent, kind, .. } = pool.calls[key];
        self.partial_response_lost(kind);
        self.context.scheduler.host.cancel_expired_call(key);
        let outcome = if sent {
            Outcome::TimedOut
        } else {
            // A call that was still waiting for a connection certainly was not executed.
            Outcome::ConnectFailed
        };
        self.call_ended(key, outcome, 0);
        self.context.scheduler.host.remove_ended_call(key);
    }
}
