//! Carries out the scheduler's actions. The scheduler must not be re-entered from an action, so an outcome
//! that is known immediately (no capacity, no time left, cancelled) is queued as a deferred outcome.
use super::{CallKind, WorkerPool};
use crate::ingress::Disposition;
use crate::timers::TimerToken;
use tidewall::interface::{Outcome, SchedulerActions, ServiceChange};
use tidewall_net::{Net, Time};
use tidewall_wire::{kind, Field, Frame};
use tracing::{debug, info};

impl<N: Net> SchedulerActions for WorkerPool<N> {
    fn send_attempt(&mut self, request: usize, worker: usize, timeout: Time) {
        let now = self.net.now();
        let pending = &self.requests[request];
        let (attempt, deadline, open) = (pending.attempts, pending.info.deadline, pending.open);
        let expires_at = if timeout == 0 {
            deadline
        } else {
            deadline.min(now + timeout)
        };
        let kind = CallKind::Attempt { request, attempt };
        let key = self.start_call(kind, worker, 0, expires_at);
        let pending = &mut self.requests[request];
        pending.calls[attempt] = key;
        pending.attempt_workers[attempt] = worker;
        pending.not_executed[attempt] = None;
        pending.sent_at[attempt] = 0;
        pending.attempts += 1;
        self.counters.attempts += 1;
        debug!(
            request = pending.id,
            attempt,
            worker = self.worker_names.resolve(worker),
            "attempt started"
        );
        if !open || now >= deadline {
            return self.defer_outcome(key, Outcome::Discarded);
        }
        if self.replicator.is_some() {
            return self.replicate_attempt(request, attempt, key);
        }
        self.assign_connection(key);
    }

    fn cancel_attempt(&mut self, request: usize, attempt: usize) {
        let key = self.requests[request].calls[attempt];
        let kind = CallKind::Attempt { request, attempt };
        let call = self
            .calls
            .get(key)
            .filter(|call| call.kind == kind && !call.ended);
        let Some(&call) = call else {
            return;
        };
        debug!(
            request = call.request_id,
            attempt,
            sent = call.sent,
            "attempt cancelled"
        );
        if !call.sent {
            return self.defer_outcome(key, Outcome::Discarded);
        }
        let id = self.wire_call_id(key);
        self.frame.clear();
        self.protocol
            .write_cancel(&mut self.frame, id, call.request_id);
        self.write_frame(call.connection);
        self.defer_outcome(key, Outcome::Cancelled);
    }

    fn reject(&mut self, request: usize, retry_after: Time) {
        self.respond_locally(request, Disposition::Rejected, retry_after);
    }

    fn fail(&mut self, request: usize) {
        self.respond_locally(request, Disposition::Failed, 0);
    }

    fn release_request(&mut self, request: usize) {
        let is_open = self.requests[request].open;
        assert!(!is_open, "a request was released without a response");
        self.release_payload(request);
    }

    fn set_timer(&mut self, wait: Time, token: u64) {
        let at = self.net.now() + wait;
        self.net.set_timer(at, TimerToken::Scheduler(token).pack());
    }

    fn send_health_check(&mut self, worker: usize) {
        self.counters.health_checks += 1;
        let expires_at = self.net.now() + self.limits.health_check_timeout;
        let key = self.start_call(CallKind::HealthCheck, worker, 0, expires_at);
        self.assign_connection(key);
    }

    fn close_idle_connections(&mut self, worker: usize) {
        for index in 0..self.workers[worker].connections.len() {
            let connection = &mut self.connections[self.workers[worker].connections[index]];
            if connection.is_idle() {
                // The next connection check closes it.
                connection.last_used = 0;
            }
        }
    }

    fn send_load_request(&mut self, function: usize, worker: usize, instances: u32) {
        let admitted = self.admit_load_request(instances);
        debug!(
            function = self.function_names.resolve(function),
            worker = self.worker_names.resolve(worker),
            instances,
            "load requested"
        );
        self.counters.load_requests += u64::from(instances > 0 && admitted);
        let expires_at = self.net.now() + self.limits.load_request_timeout;
        let kind = CallKind::LoadRequest { function };
        let key = self.start_call(kind, worker, instances, expires_at);
        if !admitted {
            return self.defer_outcome(key, Outcome::AtCapacity);
        }
        self.send_when_recorded(key, instances);
    }

    fn unload_instances(&mut self, function: usize, worker: usize) {
        let ready = self.workers[worker]
            .connections
            .iter()
            .copied()
            .find(|connection| self.connections[*connection].ready);
        if ready.is_some() {
            self.frame.clear();
            self.protocol
                .write_unload(&mut self.frame, self.function_names.resolve(function));
            self.write_frame(ready);
        }
    }

    fn forget_function(&mut self, function: usize) {
        self.function_names.remove(function);
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.watches_endpoints = on;
        if let Some(conn) = self.discovery_connection {
            self.frame.clear();
            Frame::new(&mut self.frame, kind::FOLLOW)
                .flag(Field::On, on)
                .end();
            self.net.write(conn, &self.frame);
        }
    }

    fn poll_endpoints(&mut self) {
        if let Some(conn) = self.discovery_connection {
            self.frame.clear();
            Frame::new(&mut self.frame, kind::LOOK_UP).end();
            self.net.write(conn, &self.frame);
        }
    }

    fn send_to_peers(&mut self, peer: Option<u32>, bytes: &[u8]) {
        let Some(socket) = self.datagram_socket else {
            return;
        };
        self.frame.clear();
        self.protocol
            .write_peer_datagram(&mut self.frame, self.index as u64, bytes);
        if self.frame.is_empty() {
            return;
        }
        for (index, address) in self.peers.iter().enumerate() {
            let addressed =
                index != self.index && peer.is_none_or(|wanted| wanted as usize == index);
            if let Some(address) = address.filter(|_| addressed) {
                self.net.send_datagram(socket, address, &self.frame);
            }
        }
    }

    fn limit_departures(&mut self, worker: usize, until: Time) {
        self.workers[worker].send_allowed_until = until;
    }

    fn connected_since(&self, worker: usize) -> Time {
        let connections = self.workers[worker].connections.iter();
        let ready = connections.filter_map(|key| self.connections.get(*key));
        let ready = ready.filter(|connection| connection.ready);
        let since = ready.map(|connection| connection.ready_at).min();
        since.unwrap_or(Time::MAX)
    }

    fn service_changed(&mut self, worker: usize, change: ServiceChange) {
        let worker = self.worker_names.resolve(worker);
        match change {
            ServiceChange::Denied => {
                self.counters.service_denials += 1;
                info!(
                    worker,
                    "worker denied service: it is not selected until it is back"
                );
            }
            ServiceChange::Unreachable => {
                self.counters.service_denials += 1;
                info!(
                    worker,
                    "worker unreachable: it is not selected until it is back"
                );
            }
            ServiceChange::StartPresumed => {
                self.counters.presumed_starts += 1;
                info!(worker, "worker is back in service: treated as cold");
            }
        }
    }

    fn log_note(&mut self, text: &str) {
        info!(text, "scheduler note");
    }
}
