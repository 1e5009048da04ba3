//! Ends of calls: outcomes are handed to the scheduler, and what its calls left behind is delivered.
use crate::connection_owners::Owner;
use crate::worker_pool::{Call, CallKind};
use crate::Gateway;
use tidewall::interface::{Outcome, Time, WorkerAnswer};
use tidewall_net::Net;
use tracing::debug;

impl<N: Net> Gateway<N> {
    /// Delivers what the scheduler's last calls left behind, until nothing is left: connections that were opened, outcomes
    /// that were known at once, the scheduler's own responses.
    pub(crate) fn deliver_deferred_outcomes(&mut self) {
        loop {
            let pool = &mut self.context.scheduler.host;
            if let Some((conn, connection)) = pool.opened_connections.pop() {
                self.set_owner(conn, Owner::Worker(connection));
            } else if let Some((key, generation, outcome)) = pool.deferred_outcomes.pop_front() {
                let call = pool.calls.get(key);
                // Its key may name another call by now.
                if call.is_some_and(|call| call.generation == generation) {
                    self.call_ended(key, outcome, 0);
                    self.context.scheduler.host.remove_ended_call(key);
                }
            } else if let Some(response) = pool.local_responses.pop_front() {
                self.send_final_response(&response, &[]);
            } else if !pool.withdrawn_workers.is_empty() {
                self.withdraw_unsent_calls();
            } else if self.deliver_failover_outcome() {
                // One more thing was done.
            } else if let Some(handle) = self.context.scheduler.host.expired_clients.pop_front() {
                let now = self.context.net().now();
                self.ingresses[handle.ingress].request_expired(now, handle);
            } else {
                break;
            }
        }
        self.exit_when_drained();
    }

    /// A call is over, with its outcome and the number that came with it: an attempt's note, or a load request's instances.
    /// Does nothing where the scheduler has its outcome already.
    pub(crate) fn call_ended(&mut self, key: usize, outcome: Outcome, number: u32) {
        let pool = &mut self.context.scheduler.host;
        let Some(&call) = pool.calls.get(key).filter(|call| !call.ended) else {
            return;
        };
        let now = pool.net.now();
        // What passed while this process was stalled is no evidence about a worker.
        let stall = pool.net.total_stall() - call.stall_at_start;
        let elapsed = (now - call.started_at).saturating_sub(stall);
        pool.finish_call(key);
        self.context.scheduler.advance_clock(now);
        if let Some(question) = call.question() {
            // As of its start: what is asked leaves later. What never left has no answer of the worker.
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
        pool.note_attempt_end(request, attempt, outcome);
        pool.replicate_attempt_end(request, attempt);
        self.context
            .scheduler
            .attempt_ended(request, attempt, (outcome, elapsed), answered, note);
    }

    /// A call's timer fired: where it has expired its outcome is known.
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
            // What still waited for a connection provably was not executed.
            Outcome::ConnectFailed
        };
        self.call_ended(key, outcome, 0);
        self.context.scheduler.host.remove_ended_call(key);
    }
}
