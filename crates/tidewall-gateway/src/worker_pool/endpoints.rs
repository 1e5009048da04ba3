//! The pool's endpoint table: addresses, states and incarnations of workers, from the endpoint list and
//! from the workers themselves.
use super::{Call, CallKind, WorkerPool};
use crate::endpoints::EndpointRecord;
use rustc_hash::FxHashSet;
use std::net::SocketAddr;
use tidewall::interface::{Endpoint, EndpointState};
use tidewall::interner::fnv1a;
use tidewall_net::{Net, Time};

/// The state known of a worker. An entry without an address is unused.
#[derive(Default)]
pub struct WorkerEntry {
    pub(super) address: Option<SocketAddr>,
    pub(super) endpoint: Endpoint,
    zone: String,
    machine: String,
    incarnation: u64,
    /// The worker itself reported that it is draining, and the endpoint list does not show this yet.
    reported_draining: bool,
    /// Until when attempts and load requests may be sent to the worker, given what the scheduler last knew
    /// about it being in service.
    pub(super) send_allowed_until: Time,
    /// When the gateway learned that the worker is draining or removed.
    pub(super) inactive_since: Time,
    /// Keys of the connections to the worker.
    pub connections: Vec<usize>,
}

impl WorkerEntry {
    /// Whether the entry is in use.
    pub fn is_known(&self) -> bool {
        self.address.is_some()
    }

    /// Marks the worker as removed.
    fn remove(&mut self, now: Time) {
        if self.endpoint.state == EndpointState::Active {
            self.inactive_since = now;
        }
        self.endpoint.state = EndpointState::Removed;
        self.reported_draining = false;
    }

    /// The worker's state in the endpoint list.
    pub fn state(&self) -> EndpointState {
        self.endpoint.state
    }
}

/// Returns the index of a name in the settings' list, or `u32::MAX`, which the scheduler reads as
/// "unknown".
fn index_of(names: &[String], name: &str) -> u32 {
    names
        .iter()
        .position(|known| known == name)
        .map_or(u32::MAX, |index| index as u32)
}

impl<N: Net> WorkerPool<N> {
    /// Applies one record of the endpoint list and returns the worker's index and endpoint for the
    /// scheduler. The start time of a known incarnation is kept; otherwise each list would look like
    /// another start.
    pub fn register_endpoint(&mut self, record: &EndpointRecord) -> (usize, Endpoint) {
        let now = self.net.now();
        let zone = index_of(&self.zones, &record.zone);
        let kind = index_of(&self.kinds, &record.machine);
        let index = self.worker_names.intern(&record.name);
        if self.workers.len() <= index {
            self.workers.resize_with(index + 1, WorkerEntry::default);
        }
        let worker = &mut self.workers[index];
        let restarted = record.incarnation > worker.incarnation || worker.address.is_none();
        let has_moved = record.state != EndpointState::Removed
            && worker
                .address
                .is_some_and(|address| address != record.address);
        let started_at = match (restarted, record.age) {
            (false, _) => worker.endpoint.started_at,
            (true, 0) => 0,
            // 0 would mean "started long ago". A start before this process's clock began is mapped to 1.
            (true, age) => now.saturating_sub(age).max(1),
        };
        // A list that was produced before the discovery server noticed does not reactivate a worker that
        // reported that it is draining.
        worker.reported_draining &=
            record.state == EndpointState::Active && record.incarnation <= worker.incarnation;
        let state = if worker.reported_draining {
            EndpointState::Draining
        } else {
            record.state
        };
        let leaves =
            state != EndpointState::Active && worker.endpoint.state == EndpointState::Active;
        if leaves {
            worker.inactive_since = now;
        }
        if leaves || restarted || has_moved {
            self.withdrawn_workers.push(index);
        }
        // The entry of a removed worker may consist of its name and state. What is known of it still matters
        // to requests that it may have executed.
        if record.state == EndpointState::Removed && worker.address.is_some() {
            worker.endpoint.state = state;
            return (index, worker.endpoint);
        }
        worker.incarnation = worker.incarnation.max(record.incarnation);
        worker.address = Some(record.address);
        worker.endpoint = Endpoint {
            name_hash: fnv1a(&record.name),
            zone,
            kind,
            cell: record.cell,
            state,
            rating: record.rating,
            started_at,
        };
        worker.zone.clone_from(&record.zone);
        worker.machine.clone_from(&record.machine);
        let endpoint = worker.endpoint;
        if restarted || has_moved {
            self.supersede_connections(index);
        }
        (index, endpoint)
    }

    /// Marks workers as removed whose address a worker has that a change of the list has added, and returns
    /// them. A new worker may have the address of one that has gone, also before the list tells that it has
    /// gone. `added` are the indices of the new workers; workers in `changed` stay as the change tells.
    pub fn remove_former_owners(
        &mut self,
        added: &[usize],
        changed: &[(usize, Endpoint)],
    ) -> Vec<(usize, Endpoint)> {
        // Only used for look-ups: iterating over it would make runs nondeterministic.
        let addresses: FxHashSet<SocketAddr> = added
            .iter()
            .filter_map(|index| self.workers[*index].address)
            .collect();
        let changed: FxHashSet<usize> = changed.iter().map(|(index, _)| *index).collect();
        let now = self.net.now();
        let mut removed = Vec::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let is_former_owner = worker.endpoint.state != EndpointState::Removed
                && worker.address.is_some_and(|at| addresses.contains(&at))
                && !changed.contains(&index);
            if is_former_owner {
                worker.remove(now);
                self.withdrawn_workers.push(index);
                removed.push((index, worker.endpoint));
            }
        }
        removed
    }

    /// Marks all workers that are not in a complete list as removed.
    pub fn retain_listed(&mut self, listed: &[(usize, Endpoint)]) {
        let now = self.net.now();
        let mut is_listed = vec![false; self.workers.len()];
        listed.iter().for_each(|entry| is_listed[entry.0] = true);
        for (index, worker) in self.workers.iter_mut().enumerate() {
            if !is_listed[index] && worker.endpoint.state != EndpointState::Removed {
                if worker.endpoint.state == EndpointState::Active {
                    self.withdrawn_workers.push(index);
                }
                worker.remove(now);
            }
        }
    }

    /// Indexes of removed workers that have no connections and no calls.
    pub fn removed_idle_workers(&self) -> Vec<usize> {
        let mut is_in_use = vec![false; self.workers.len()];
        self.calls
            .iter()
            .for_each(|(_, call)| is_in_use[call.worker] = true);
        self.connections
            .iter()
            .for_each(|(_, connection)| is_in_use[connection.worker] = true);
        let is_removed_and_idle = |(index, worker): &(usize, &WorkerEntry)| {
            worker.address.is_some()
                && worker.endpoint.state == EndpointState::Removed
                && !is_in_use[*index]
        };
        self.workers
            .iter()
            .enumerate()
            .filter(is_removed_and_idle)
            .map(|(index, _)| index)
            .collect()
    }

    /// Deletes a worker's entry; its index may be reused for another worker.
    pub fn forget_worker(&mut self, worker: usize) {
        self.worker_names.remove(worker);
        self.workers[worker] = WorkerEntry::default();
    }

    /// Whether a worker with this name is known and not removed.
    pub fn is_listed(&self, name: &str) -> bool {
        let worker = self
            .worker_names
            .get(name)
            .and_then(|index| self.workers.get(index));
        worker.is_some_and(|worker| {
            worker.is_known() && worker.endpoint.state != EndpointState::Removed
        })
    }

    /// Whether the worker's address is known.
    pub fn has_address(&self, worker: usize) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|entry| entry.address.is_some())
    }

    /// The worker's latest known incarnation.
    pub fn incarnation_of(&self, worker: usize) -> u64 {
        self.workers[worker].incarnation
    }

    /// Records that the worker greeted as a later incarnation, which started `age` ago. Returns its
    /// endpoint if the scheduler must be told.
    pub fn worker_restarted(
        &mut self,
        worker: usize,
        incarnation: u64,
        age: Time,
    ) -> Option<Endpoint> {
        let now = self.net.now();
        let entry = &mut self.workers[worker];
        entry.incarnation = incarnation;
        entry.reported_draining = false;
        self.withdrawn_workers.push(worker);
        entry.endpoint.started_at = now.saturating_sub(age).max(1);
        // A worker that the endpoint list shows as draining or removed keeps that state until the list
        // changes.
        (entry.endpoint.state == EndpointState::Active).then_some(entry.endpoint)
    }

    /// Records that the worker reported that it is draining. Returns its endpoint if the worker was active.
    pub fn worker_draining(&mut self, worker: usize) -> Option<Endpoint> {
        let now = self.net.now();
        let entry = &mut self.workers[worker];
        if entry.endpoint.state != EndpointState::Active {
            return None;
        }
        entry.endpoint.state = EndpointState::Draining;
        entry.reported_draining = true;
        entry.inactive_since = now;
        self.withdrawn_workers.push(worker);
        Some(entry.endpoint)
    }

    /// Takes the workers that left or restarted since the last call, the latest first, each once.
    pub fn take_withdrawn_workers(&mut self) -> Vec<usize> {
        let mut seen = vec![false; self.workers.len()];
        let mut withdrawn = std::mem::take(&mut self.withdrawn_workers);
        withdrawn.reverse();
        withdrawn.retain(|worker| !std::mem::replace(&mut seen[*worker], true));
        withdrawn
    }

    /// Unsent attempts and load requests for these workers, with their generations, in the order of
    /// `workers`. They certainly were not executed.
    pub fn unsent_calls(&self, workers: &[usize]) -> Vec<(usize, u32)> {
        let mut rank = vec![usize::MAX; self.workers.len()];
        for (position, worker) in workers.iter().enumerate() {
            rank[*worker] = position;
        }
        let is_work = |call: &Call| match call.kind {
            CallKind::Attempt { .. } => true,
            CallKind::LoadRequest { .. } => call.instances > 0,
            CallKind::HealthCheck | CallKind::Vote { .. } => false,
        };
        let is_unsent = |call: &Call| {
            rank[call.worker] < usize::MAX && !call.sent && !call.ended && is_work(call)
        };
        let mut unsent: Vec<(usize, u32)> = self
            .calls
            .iter()
            .filter(|(_, call)| is_unsent(call))
            .map(|(key, call)| (key, call.generation))
            .collect();
        unsent.sort_by_key(|(key, _)| rank[self.calls[*key].worker]);
        unsent
    }

    /// The current endpoint list, without removed workers.
    pub fn endpoint_records(&self) -> Vec<EndpointRecord> {
        let now = self.net.now();
        let record = |(index, worker): (usize, &WorkerEntry)| {
            let started_at = worker.endpoint.started_at;
            Some(EndpointRecord {
                name: self.worker_names.resolve(index).to_string(),
                address: worker.address?,
                zone: worker.zone.clone(),
                machine: worker.machine.clone(),
                cell: worker.endpoint.cell,
                state: worker.endpoint.state,
                rating: worker.endpoint.rating,
                incarnation: worker.incarnation,
                age: if started_at == 0 {
                    0
                } else {
                    (now - started_at).max(1)
                },
            })
        };
        self.workers
            .iter()
            .enumerate()
            .filter(|(_, worker)| worker.endpoint.state != EndpointState::Removed)
            .filter_map(record)
            .collect()
    }
}
