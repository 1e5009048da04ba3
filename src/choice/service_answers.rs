//! What workers' own answers, and the ends of connections to them, say of their being in service, and what
//! follows from it while the endpoint list is overdue.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// A worker has answered, or not in time. Called before the end of the call itself.
    pub fn worker_answered(&mut self, worker_id: WorkerId, answer: WorkerAnswer) {
        if self.endpoint_list.due_at == Time::MAX || worker_id >= self.workers.len() {
            return;
        }
        let before = self.workers[worker_id].service;
        let mut service = before;
        self.take_in_answer(&mut service, &answer);
        let is_answer_awaited = matches!(answer.question, Question::HealthCheck | Question::InstanceQuery)
            && answer.asked_at >= service.asked_at
            && service.answers_pending > 0;
        if is_answer_awaited {
            service.answers_pending -= 1;
            // Where it was not asked at all, or the connection broke, it is asked again, but not within
            // this wake-up.
            service.ask_again_at = service.ask_again_at.max(self.now + SERVICE_CHECK_RETRY);
        }
        self.workers[worker_id].service = service;
        if self.is_endpoint_list_overdue() {
            self.service_evidence_changed(worker_id, &before, ServiceChange::Denied);
        }
    }

    /// What an answer says of its worker's being in service.
    fn take_in_answer(&self, service: &mut ServiceEvidence, answer: &WorkerAnswer) {
        let WorkerAnswer { question, outcome, asked_at, instances } = *answer;
        match (question, outcome) {
            // A draining worker rejects without a look, so either shows that it was in service.
            (Question::Attempt, Outcome::Ok | Outcome::Miss) => {
                service.took_work_at = service.took_work_at.max(asked_at);
                service.rejections = 0;
            }
            // Full or draining: it is asked which. With the list confirmed it is full.
            (Question::Attempt, Outcome::AtCapacity) if self.is_endpoint_list_overdue() => {
                service.rejected_at = service.rejected_at.max(asked_at);
                service.rejections += 1;
                if service.rejections >= MAX_REJECTIONS {
                    // Whatever it says of itself.
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
            // It may not know the function, as of a client that calls what there is not. That is no
            // rejection; with its health it will do.
            (Question::InstanceQuery, Outcome::Error) if self.config.may_check_health => {
                service.queried_at = service.queried_at.max(asked_at);
            }
            (Question::HealthCheck, Outcome::Error | Outcome::TimedOut)
            | (Question::InstanceQuery, Outcome::AtCapacity | Outcome::TimedOut) => {
                service.denied_at = service.denied_at.max(asked_at);
            }
            // A connection that broke, and what this machine lacked or took back, say nothing of the worker.
            _ => {}
        }
        if !self.config.may_check_health {
            service.healthy_at = service.queried_at;
        } else if !self.config.may_load {
            service.queried_at = service.healthy_at;
        }
    }

    /// A connection to a worker did not come about. Where no other stands it may be gone, and come back as
    /// another.
    pub fn worker_unreachable(&mut self, worker_id: WorkerId) {
        let is_known = worker_id < self.workers.len();
        let is_connected = is_known && self.host.connected_since(worker_id) < Time::MAX;
        if self.is_endpoint_list_overdue() && is_known && !is_connected {
            let before = self.workers[worker_id].service;
            self.workers[worker_id].service.denied_at = self.now;
            self.service_evidence_changed(worker_id, &before, ServiceChange::Unreachable);
        }
    }

    /// A connection to a worker has ended, and not from this side.
    pub fn worker_connection_lost(&mut self, worker_id: WorkerId) {
        if worker_id < self.workers.len() {
            self.workers[worker_id].service.connection_lost_at = self.now;
        }
    }

    /// While the list is overdue: what follows from what a worker has shown.
    fn service_evidence_changed(
        &mut self,
        worker_id: WorkerId,
        before: &ServiceEvidence,
        denial: ServiceChange,
    ) {
        let after = self.workers[worker_id].service;
        let known_before = self.endpoint_list.as_of.max(before.confirmed_at());
        if after.denied_at > before.denied_at {
            let more = after.rejections.saturating_sub(MAX_REJECTIONS).min(MAX_INTERVAL_DOUBLINGS);
            // Not all gateways at one moment.
            let wait = self.jitter(SERVICE_CHECK_INTERVAL << more);
            // One that cannot be reached costs nobody anything by being asked.
            let wait = if self.host.connected_since(worker_id) == Time::MAX { wait / 2 } else { wait };
            self.workers[worker_id].service.ask_again_at = self.now + wait;
            if before.denied_at <= known_before {
                self.host.service_changed(worker_id, denial);
            }
        }
        if after.confirmed_at() > known_before {
            if self.may_have_restarted(worker_id, before) {
                self.presume_start(worker_id);
            }
            // That is settled: what comes later does not ask for it again.
            self.workers[worker_id].service.connection_lost_at = 0;
        }
        if after.answers_pending < before.answers_pending {
            self.retry_waiting(|request| request.awaits_confirmation);
        }
    }
}
