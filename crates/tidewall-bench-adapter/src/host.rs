//! The environment of one scheduler: translates ids on the line protocol to indices, and actions to
//! commands.
use crate::names::ConfiguredNames;
use crate::wire::CommandBuffer;
use std::collections::HashMap;
use tidewall::interface::{FunctionId, RequestSlot, SchedulerActions, Time, WorkerId};
use tidewall::interner::Interner;
use tidewall::settings::Settings;

/// The indices of names and ids of one gateway's scheduler, and its pending commands.
pub struct SchedulerHost {
    /// Names from the settings.
    pub names: ConfiguredNames,
    /// Commands of the current batch.
    pub commands: CommandBuffer,
    workers: Interner,
    functions: Interner,
    /// Request ids by slot. The string of a released slot is kept so that its allocation is reused.
    request_ids: Vec<String>,
    slots: HashMap<String, RequestSlot>,
}

impl SchedulerHost {
    /// Creates the environment of the gateway with this name, without workers, functions and
    /// requests.
    pub fn new(gateway: &str, settings: &Settings) -> SchedulerHost {
        SchedulerHost {
            names: ConfiguredNames::new(settings),
            commands: CommandBuffer::new(gateway),
            workers: Interner::default(),
            functions: Interner::default(),
            request_ids: Vec::new(),
            slots: HashMap::new(),
        }
    }

    /// Returns the index of a worker; assigns one if it has none.
    pub fn intern_worker(&mut self, name: &str) -> WorkerId {
        self.workers.intern(name)
    }

    /// Returns the index of a function; assigns one if it has none.
    pub fn intern_function(&mut self, key: &str) -> FunctionId {
        self.functions.intern(key)
    }

    /// Returns the index of a function; `None` if it has none.
    pub fn find_function(&self, key: &str) -> Option<FunctionId> {
        self.functions.get(key)
    }

    /// Records the slot of an arriving request.
    pub fn insert_request(&mut self, slot: RequestSlot, id: &str) {
        if self.request_ids.len() <= slot {
            self.request_ids.resize(slot + 1, String::new());
        }
        self.request_ids[slot].clear();
        self.request_ids[slot].push_str(id);
        self.slots.insert(id.to_string(), slot);
    }

    /// Returns the slot of a request; `None` if it was released or never arrived.
    pub fn find_request(&self, id: &str) -> Option<RequestSlot> {
        self.slots.get(id).copied()
    }
}

impl SchedulerActions for SchedulerHost {
    fn send_attempt(&mut self, request: RequestSlot, worker: WorkerId, timeout: Time) {
        let (request, worker) = (&self.request_ids[request], self.workers.resolve(worker));
        self.commands.push_attempt(request, worker, timeout);
    }

    fn cancel_attempt(&mut self, request: RequestSlot, attempt: usize) {
        self.commands
            .push_cancellation(&self.request_ids[request], attempt);
    }

    fn reject(&mut self, request: RequestSlot, retry_after: Time) {
        self.commands
            .push_rejection(&self.request_ids[request], retry_after);
    }

    fn fail(&mut self, request: RequestSlot) {
        self.commands.push_failure(&self.request_ids[request]);
    }

    fn release_request(&mut self, request: RequestSlot) {
        self.slots.remove(&self.request_ids[request]);
    }

    fn set_timer(&mut self, delay: Time, token: u64) {
        self.commands.push_timer(delay, token);
    }

    fn send_health_check(&mut self, worker: WorkerId) {
        self.commands
            .push_health_check(self.workers.resolve(worker));
    }

    fn close_idle_connections(&mut self, worker: WorkerId) {
        self.commands.push_idle_close(self.workers.resolve(worker));
    }

    fn send_load_request(&mut self, function: FunctionId, worker: WorkerId, instances: u32) {
        let (function, worker) = (
            self.functions.resolve(function),
            self.workers.resolve(worker),
        );
        self.commands.push_load_request(function, worker, instances);
    }

    fn unload_instances(&mut self, function: FunctionId, worker: WorkerId) {
        let (function, worker) = (
            self.functions.resolve(function),
            self.workers.resolve(worker),
        );
        self.commands.push_unload(function, worker);
    }

    fn forget_function(&mut self, function: FunctionId) {
        self.functions.remove(function);
    }

    fn watch_endpoints(&mut self, enabled: bool) {
        self.commands.push_endpoint_watch(enabled);
    }

    fn poll_endpoints(&mut self) {
        self.commands.push_endpoint_poll();
    }

    fn send_to_peers(&mut self, peer: Option<u32>, bytes: &[u8]) {
        self.commands.push_peer_message(peer, bytes);
    }

    fn log_note(&mut self, text: &str) {
        self.commands.push_log_note(text);
    }
}
