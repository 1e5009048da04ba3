//! Where one scheduler runs: ids of the wire become small indices here, and actions become commands.
use crate::names::ConfiguredNames;
use crate::wire::CommandBuffer;
use std::collections::HashMap;
use tidewall::interface::{FunctionId, RequestSlot, SchedulerActions, Time, WorkerId};
use tidewall::interner::Interner;
use tidewall::settings::Settings;

/// Names and ids that one gateway's scheduler knows by index, and its commands.
pub struct SchedulerHost {
    /// Names in the settings.
    pub names: ConfiguredNames,
    /// Commands of the current batch.
    pub commands: CommandBuffer,
    workers: Interner,
    functions: Interner,
    /// Ids of requests by slot. A slot's text stays when it is released, so that its memory is used again.
    request_ids: Vec<String>,
    slots: HashMap<String, RequestSlot>,
}

impl SchedulerHost {
    /// A host of the gateway of that name that knows no worker, function or request.
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

    /// Index of a worker, a new one where it has none.
    pub fn intern_worker(&mut self, name: &str) -> WorkerId {
        self.workers.intern(name)
    }

    /// Index of a function, a new one where it has none.
    pub fn intern_function(&mut self, key: &str) -> FunctionId {
        self.functions.intern(key)
    }

    /// Index of a function, None where it has none.
    pub fn find_function(&self, key: &str) -> Option<FunctionId> {
        self.functions.get(key)
    }

    /// Gives a slot to a request that arrives.
    pub fn insert_request(&mut self, slot: RequestSlot, id: &str) {
        if self.request_ids.len() <= slot {
            self.request_ids.resize(slot + 1, String::new());
        }
        self.request_ids[slot].clear();
        self.request_ids[slot].push_str(id);
        self.slots.insert(id.to_string(), slot);
    }

    /// Slot of a request, None where it was released or never arrived.
    pub fn find_request(&self, id: &str) -> Option<RequestSlot> {
        self.slots.get(id).copied()
    }
}

impl SchedulerActions for SchedulerHost {
    fn send_attempt(&mut self, request: RequestSlot, worker: WorkerId, timeout: Time) {
        let (request, worker) = (&self.request_ids[request], self.workers.resolve(worker));
        self.commands.attempt(request, worker, timeout);
    }

    fn cancel_attempt(&mut self, request: RequestSlot, attempt: usize) {
        self.commands
            .cancellation(&self.request_ids[request], attempt);
    }

    fn reject(&mut self, request: RequestSlot, retry_after: Time) {
        self.commands
            .rejection(&self.request_ids[request], retry_after);
    }

    fn fail(&mut self, request: RequestSlot) {
        self.commands.failure(&self.request_ids[request]);
    }

    fn release_request(&mut self, request: RequestSlot) {
        self.slots.remove(&self.request_ids[request]);
    }

    fn set_timer(&mut self, delay: Time, token: u64) {
        self.commands.timer(delay, token);
    }

    fn send_health_check(&mut self, worker: WorkerId) {
        self.commands.health_check(self.workers.resolve(worker));
    }

    fn close_idle_connections(&mut self, worker: WorkerId) {
        self.commands.idle_close(self.workers.resolve(worker));
    }

    fn send_load_request(&mut self, function: FunctionId, worker: WorkerId, instances: u32) {
        let (function, worker) = (
            self.functions.resolve(function),
            self.workers.resolve(worker),
        );
        self.commands.load_request(function, worker, instances);
    }

    fn unload_instances(&mut self, function: FunctionId, worker: WorkerId) {
        let (function, worker) = (
            self.functions.resolve(function),
            self.workers.resolve(worker),
        );
        self.commands.unload(function, worker);
    }

    fn forget_function(&mut self, function: FunctionId) {
        self.functions.remove(function);
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.commands.endpoint_watch(on);
    }

    fn poll_endpoints(&mut self) {
        self.commands.endpoint_poll();
    }

    fn send_to_peers(&mut self, peer: Option<u32>, bytes: &[u8]) {
        self.commands.peer_message(peer, bytes);
    }

    fn log_note(&mut self, text: &str) {
        self.commands.log_note(text);
    }
}
