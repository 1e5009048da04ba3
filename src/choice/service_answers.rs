//! Evidence of workers being in service, from their own answers and from the ends of connections to them, and
//! its consequences while the endpoint list is overdue.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// A worker has answered or failed to answer in time. Called before the end of the call itself is
    /// reported.
    pub fn worker_answered(&mut self, worker_id: WorkerId, answer: WorkerAnswer) {
        if self.endpoint_list.due_at == Time::MAX || worker_id >= self.workers.len() {
            return;
        }
        let before = self.workers[worker_id].service;
        let mut service = before;
        self.record_answer(&mut service, &answer);
        let is_answer_awaited = matches!(answer.question, Question::HealthCheck | Question::InstanceQuery)
            && answer.asked_at >= service.asked_at
            && service.answers_pending > 0;
        if is_answer_awaited {
            service.answers_pending -= 1;
            // If the check could not be sent, or the connection broke, the worker is asked again, but not in
            // this wake-up.
            service.ask_again_at = service.ask_again_at.max(self.now + SERVICE_CHECK_RETRY);
        }
        self.workers[worker_id].service = service;
        if self.is_endpoint_list_overdue() {
            self.service_evidence_changed(worker_id, &before, ServiceChange::Denied);
        }
    }

    /// Updates the evidence with a worker's answer.
    fn record_answer(&self, service: &mut ServiceEvidence, answer: &WorkerAnswer) {
        let WorkerAnswer { question, outcome, asked_at, instances } = *answer;
        match (question, outcome) {
            // A draining worker rejects attempts without looking for the instance, so either outcome shows
            // that this one was in service.
            (Question::Attempt, Outcome::Ok | Outcome::Miss) => {
                service.accepted_work_at = service.accepted_work_at.max(asked_at);
                service.rejections = 0;
            }
            // The worker is full or draining, and a service check decides which. While the list is confirmed,
            // it is full.
            (Question::Attempt, Outcome::AtCapacity) if self.is_endpoint_list_overdue() => {
                service.rejected_at = service.rejected_at.max(asked_at);
                service.rejections += 1;
                if service.rejections >= MAX_REJECTIONS {
                    // Counts as a denial, whatever the worker answers to service checks.
                    service.denied_at = service.denied_at.max(asked_at);
                }
            }
            (Question::HealthCheck, Outcome::Ok) => service.healthy_at = service.healthy_at.max(asked_at),
            (Question::InstanceQuery, Outcome::Ok) => {
                service.queried_at = service.queried_at.max(asked_at);
                if instances > 0 {
                    service.had_instances_at = asked_at;
                }
            }
            // The worker may not know the function, for instance if a client calls one that does not exist.
            // This is no denial, and together with a good health check it counts as confirmation.
            (Question::InstanceQuery, Outcome::Error) if self.config.may_check_health => {
                service.queried_at = service.queried_at.max(asked_at);
            }
            (Question::HealthCheck, Outcome::Error | Outcome::TimedOut)
            | (Question::InstanceQuery, Outcome::AtCapacity | Outcome::TimedOut) => {
                service.denied_at = service.denied_at.max(asked_at);
            }
            // A broken connection, a lack of resources on this machine, or a cancellation proves nothing
            // about the worker.
            _ => {}
        }
        if !self.config.may_check_health {
            service.healthy_at = service.queried_at;
        } else if !self.config.may_load {
            service.queried_at = service.healthy_at;
        }
    }

    /// A connection to a worker could not be opened. If no other connection stands, the worker may be gone
    /// and may come back as another one.
    pub fn worker_unreachable(&mut self, worker_id: WorkerId) {
        let is_known = worker_id < self.workers.len();
        let is_connected = is_known && self.host.connected_since(worker_id) < Time::MAX;
        if self.is_endpoint_list_overdue() && is_known && !is_connected {
            let before = self.workers[worker_id].service;
            self.workers[worker_id].service.denied_at = self.now;
            self.service_evidence_changed(worker_id, &before, ServiceChange::Unreachable);
        }
    }

    /// A connection to a worker has ended, and was not closed from this side.
    pub fn worker_connection_lost(&mut self, worker_id: WorkerId) {
        if worker_id < self.workers.len() {
            self.workers[worker_id].service.connection_lost_at = self.now;
        }
    }

    /// Applies the consequences of new evidence while the list is overdue.
    fn service_evidence_changed(
        &mut self,
        worker_id: WorkerId,
        before: &ServiceEvidence,
        change: ServiceChange,
    ) {
        let after = self.workers[worker_id].service;
        let known_before = self.endpoint_list.as_of.max(before.confirmed_at());
        if after.denied_at > before.denied_at {
            let doublings = after.rejections.saturating_sub(MAX_REJECTIONS).min(MAX_INTERVAL_DOUBLINGS);
            // Jittered, so that not all gateways ask at the same moment.
            let wait = self.jitter(SERVICE_CHECK_INTERVAL << doublings);
            // A worker that cannot be reached is asked sooner, because the question costs nobody anything.
            let wait = if self.host.connected_since(worker_id) == Time::MAX { wait / 2 } else { wait };
            self.workers[worker_id].service.ask_again_at = self.now + wait;
            if before.denied_at <= known_before {
                self.host.service_changed(worker_id, change);
            }
        }
        if after.confirmed_at() > known_before {
            if self.may_have_restarted(worker_id, before) {
                self.presume_start(worker_id);
            }
            // The lost connection has been accounted for; later answers are not checked for it again.
            self.workers[worker_id].service.connection_lost_at = 0;
        }
        if after.answers_pending < before.answers_pending {
            self.retry_waiting(|request| request.awaits_confirmation);
        }
    }
}
