//! The workers at which effects take place: their list, the choice of a worker for each task, and the effects
//! queued for each worker.
use super::ExecutorTask;
use crate::Time;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tidewall_lease::assignment::{key, weight};
use tidewall_net::{Conn, Net};

/// The maximum number of effects that wait for a permit of one worker. Further effects are skipped until they
/// are due again. The limit is far above the number of effects that become due within the round trip of a
/// permit, and bounds the memory used for an unreachable worker.
const MAX_QUEUED: usize = 4_096;

/// An effect that was sent but not yet answered.
pub(super) struct InFlightEffect {
    pub task: usize,
    /// The generation under which the scheduler counts the effect.
    pub generation: u32,
}

/// A worker, its connection, and its effects.
pub(super) struct Worker {
    /// The hash of the worker's name, for rendezvous hashing.
    hash_key: u64,
    name: String,
    pub address: SocketAddr,
    pub conn: Option<Conn>,
    /// Whether the worker is connected and its hello was received.
    pub ready: bool,
    /// Whether a permit was requested and not yet received.
    pub permit_requested: bool,
    /// When the wait for the worker's hello or for a permit began.
    pub waiting_since: Time,
    /// Tasks whose effect waits for a permit.
    pub queued: VecDeque<usize>,
    /// The effects in flight by id.
    pub in_flight: BTreeMap<u64, InFlightEffect>,
}

impl Worker {
    fn new(name: String, address: SocketAddr) -> Worker {
        Worker {
            hash_key: key(&name),
            name,
            address,
            conn: None,
            ready: false,
            permit_requested: false,
            waiting_since: 0,
            queued: VecDeque::new(),
            in_flight: BTreeMap::new(),
        }
    }

    pub fn queue(&mut self, task: usize) {
        if self.queued.len() < MAX_QUEUED {
            self.queued.push_back(task);
        }
    }

    pub fn needs_permit(&self) -> bool {
        self.ready && !self.permit_requested && !self.queued.is_empty()
    }

    pub fn awaits_reply(&self) -> bool {
        self.permit_requested || !self.ready
    }

    /// Discards the queued effects, which are skipped until they are due again. Effects that were already
    /// sent may still take place at the worker.
    pub fn disconnected(&mut self) {
        self.ready = false;
        self.permit_requested = false;
        self.queued.clear();
        self.in_flight.clear();
    }
}

impl<N: Net> ExecutorTask<N> {
    /// Applies the complete list of workers, each with name and address. A worker that is not listed, or
    /// whose address changed, is disconnected.
    pub fn update_endpoints(&mut self, endpoints: Vec<(String, SocketAddr)>) {
        for index in (0..self.workers.len()).rev() {
            let worker = &self.workers[index];
            let listed = |(name, address): &(String, SocketAddr)| {
                *name == worker.name && *address == worker.address
            };
            if !endpoints.iter().any(listed) {
                self.remove_worker(index);
            }
        }
        for (name, address) in endpoints {
            if !self.workers.iter().any(|worker| worker.name == name) {
                self.workers.push(Worker::new(name, address));
            }
        }
    }

    fn remove_worker(&mut self, index: usize) {
        let worker = self.workers.swap_remove(index);
        if let Some(conn) = worker.conn {
            self.by_connection.remove(&conn);
            self.net.close(conn);
        }
        // `swap_remove` moved the last worker to this index.
        let moved_from = self.workers.len();
        for worker_index in self.by_connection.values_mut() {
            if *worker_index == moved_from {
                *worker_index = index;
            }
        }
    }

    /// The worker at which effects of a task take place, chosen by rendezvous hashing: all members that know
    /// the same workers choose the same one.
    pub(super) fn worker_for(&self, task: usize) -> Option<usize> {
        (0..self.workers.len()).max_by_key(|index| weight(task, self.workers[*index].hash_key))
    }
}
