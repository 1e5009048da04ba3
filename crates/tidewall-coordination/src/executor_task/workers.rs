//! The workers at which effects take place: the list of them, the choice of one for a task, and the effects queued for each.
use super::ExecutorTask;
use crate::Time;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tidewall_lease::assignment::{key, weight};
use tidewall_net::{Conn, Net};

/// How many effects may wait for a permit of one worker; beyond, they are skipped until they are due again. It is far above the
/// number that becomes due within the round trip of a permit, and bounds the memory that an unreachable worker takes.
const MAX_QUEUED: usize = 4_096;

/// An effect that was sent and not answered yet.
pub(super) struct InFlightEffect {
    pub task: usize,
    /// Of the scheduler.
    pub round: u32,
}

/// A worker, its connection, and the effects for it.
pub(super) struct Worker {
    /// For rendezvous hashing, from its name.
    hash_key: u64,
    name: String,
    pub address: SocketAddr,
    pub conn: Option<Conn>,
    /// It is connected and has said hello.
    pub ready: bool,
    /// A permit was asked for.
    pub permit_requested: bool,
    /// Since when its hello, or a permit, is awaited.
    pub waiting_since: Time,
    /// Tasks whose effect waits for a permit.
    pub queued: VecDeque<usize>,
    /// By id.
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

    /// What waited for this worker is skipped; what was sent may still take place there.
    pub fn disconnected(&mut self) {
        self.ready = false;
        self.permit_requested = false;
        self.queued.clear();
        self.in_flight.clear();
    }
}

impl<N: Net> ExecutorTask<N> {
    /// Takes over the complete list of workers, each by name and address. One that is not in it, or has moved, is disconnected.
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
        // The last worker has moved to this index.
        let moved_from = self.workers.len();
        for worker_index in self.by_connection.values_mut() {
            if *worker_index == moved_from {
                *worker_index = index;
            }
        }
    }

    /// The worker at which a task's effects take place, by rendezvous hashing: all members that know the same workers choose the same.
    pub(super) fn worker_for(&self, task: usize) -> Option<usize> {
        (0..self.workers.len()).max_by_key(|index| weight(task, self.workers[*index].hash_key))
    }
}
