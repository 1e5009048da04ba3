//! Builds schedulers in a given state and records their calls.
use super::super::*;

/// One call of `SchedulerActions`.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    Attempt(RequestSlot, WorkerId),
    Cancel(RequestSlot, usize),
    Reject(RequestSlot, Time),
    Fail(RequestSlot),
    Load(FunctionId, WorkerId, u32),
    HealthCheck(WorkerId),
    ForgetFunction(FunctionId),
    WatchEndpoints,
    Timer(Time, u64),
}

/// Records the calls of a scheduler. The second field is the time since which connections to workers have
/// stood.
#[derive(Default)]
pub struct Calls(pub Vec<Call>, pub Time);

impl SchedulerActions for Calls {
    fn send_attempt(&mut self, slot: RequestSlot, worker_id: WorkerId, _timeout: Time) {
        self.0.push(Call::Attempt(slot, worker_id));
    }
    fn cancel_attempt(&mut self, slot: RequestSlot, attempt: usize) {
        self.0.push(Call::Cancel(slot, attempt));
    }
    fn reject(&mut self, slot: RequestSlot, retry_after: Time) {
        self.0.push(Call::Reject(slot, retry_after));
    }
    fn fail(&mut self, slot: RequestSlot) {
        self.0.push(Call::Fail(slot));
    }
    fn release_request(&mut self, _slot: RequestSlot) {}
    fn set_timer(&mut self, delay: Time, token: u64) {
        // The sweep timer is set continually and does not matter for the tests.
        if token > 0 {
            self.0.push(Call::Timer(delay, token));
        }
    }
    fn send_health_check(&mut self, worker_id: WorkerId) {
        self.0.push(Call::HealthCheck(worker_id));
    }
    fn close_idle_connections(&mut self, _worker_id: WorkerId) {}
    fn send_load_request(&mut self, function_id: FunctionId, worker_id: WorkerId, instances: u32) {
        self.0.push(Call::Load(function_id, worker_id, instances));
    }
    fn unload_instances(&mut self, _function_id: FunctionId, _worker_id: WorkerId) {}
    fn forget_function(&mut self, function_id: FunctionId) {
        self.0.push(Call::ForgetFunction(function_id));
    }
    fn watch_endpoints(&mut self, _on: bool) {
        self.0.push(Call::WatchEndpoints);
    }
    fn poll_endpoints(&mut self) {}
    fn send_to_peers(&mut self, _peer: Option<u32>, _bytes: &[u8]) {}
    fn connected_since(&self, _worker_id: WorkerId) -> Time {
        self.1
    }
    fn log_note(&mut self, _text: &str) {}
}

pub type TestScheduler = Scheduler<Calls>;

pub const NOW: Time = 1_000_000;

/// Three request classes, one for each kind of retry safety, with a latency objective of a second. `more`
/// overrides or adds settings.
pub fn settings(more: &[(&str, &str)]) -> Settings {
    let base = "tick-ms=1 classes.count=3 classes.0.aim-ms=1000 classes.0.worth=2 classes.0.late-worth=0.1 \
        classes.0.semantics=read_like classes.1.aim-ms=1000 classes.1.worth=4 classes.1.late-worth=0.1 \
        classes.1.semantics=idempotency_key classes.1.group=zone classes.1.window-ms=500 \
        classes.2.aim-ms=1000 classes.2.worth=4 classes.2.late-worth=0.1 \
        classes.2.semantics=non_idempotent allowed.max-attempts=3 allowed.may-duplicate=true \
        allowed.cancel=true allowed.retry-after=true allowed.max-retry-after-ms=100 extra.orders=true \
        extra.if-cold=miss extra.stays-loaded-ms=8000 siblings=2 over-share-worth=0.1 rules.cold-from=0.2 \
        rules.cold-ms=10000 rules.tip-multiple=2.5 rules.overload-for-ms=1000 tenants.count=1 \
        tenants.0.quota-per-s=20";
    let pairs = base.split_whitespace().map(|p| p.split_once('=').unwrap()).chain(more.iter().copied());
    pairs.map(|(k, v)| (k.to_string(), v.to_string())).collect()
}

/// Settings of a gateway among hundreds, which may send health checks.
pub const LARGE_FLEET: [(&str, &str); 3] =
    [("siblings", "300"), ("allowed.probes", "true"), ("reporting.names", "rif,busy")];

/// Rate limit: four load requests, plus a fifth of the number of requests, in ten seconds.
pub const LOAD_LIMIT: [(&str, &str); 3] =
    [("extra.load-window-ms", "10000"), ("extra.free-loads", "4"), ("extra.load-share", "0.2")];

/// Endpoint list entry of a warm worker.
pub fn endpoint_entry(worker_id: WorkerId) -> (WorkerId, Endpoint) {
    let hash = (worker_id as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (
        worker_id,
        Endpoint {
            name_hash: hash,
            zone: (worker_id % 2) as u32,
            state: EndpointState::Active,
            rating: 1.0,
            ..Endpoint::default()
        },
    )
}

/// A scheduler that has run for a long time and knows `workers` warm workers.
pub fn scheduler_with(workers: usize, more: &[(&str, &str)]) -> TestScheduler {
    let mut scheduler = Scheduler::new(Calls::default(), 0, 7, settings(more)).unwrap();
    scheduler.advance_clock(NOW);
    scheduler.update_endpoints(&(0..workers).map(endpoint_entry).collect::<Vec<_>>(), true);
    scheduler
}

/// A request of this class to the function with the same index.
pub fn request_info(class: usize) -> RequestInfo {
    RequestInfo {
        class,
        function: class,
        function_hash: 99,
        lanes: 2,
        deadline: NOW + 20_000,
        ..RequestInfo::default()
    }
}

/// Registers the function of this class, with instances loaded on the first `n` workers of its order.
pub fn load_first(scheduler: &mut TestScheduler, class: usize, n: usize) {
    scheduler.register_function(&request_info(class));
    let now = scheduler.now;
    scheduler.functions[class].desired_instances = n;
    scheduler.functions[class].rotation = 0;
    scheduler.functions[class].placements.iter_mut().for_each(|s| s.pending_queries = 0);
    for placement in &mut scheduler.functions[class].placements[..n] {
        (placement.instances, placement.renewed_at) = (InstanceState::Loaded, now);
    }
    scheduler.host.0.clear();
}

/// Lets a request arrive and returns its slot.
pub fn send_request(scheduler: &mut TestScheduler, class: usize) -> RequestSlot {
    let slot = scheduler.next_request_slot();
    scheduler.request_arrived(request_info(class));
    slot
}

/// A warm answer of this worker to a request of function 0, which has its first placement there.
pub fn succeed(scheduler: &mut TestScheduler, worker_id: WorkerId, sent_at: Time, elapsed: Time) {
    let attempt = Attempt { worker_id, sent_at, ..Attempt::default() };
    let (info, outcome, note) = (request_info(0), Outcome::Ok, AttemptNote(1));
    scheduler.attempt_succeeded(&EndedAttempt { attempt, position: 0, info, outcome, elapsed, note });
}

/// The workers to which attempts were sent.
pub fn attempted_workers(scheduler: &TestScheduler) -> Vec<WorkerId> {
    scheduler
        .host
        .0
        .iter()
        .filter_map(|c| if let Call::Attempt(_, worker_id) = c { Some(*worker_id) } else { None })
        .collect()
}

/// The workers to which health checks were sent.
pub fn checked_workers(scheduler: &TestScheduler) -> Vec<WorkerId> {
    scheduler
        .host
        .0
        .iter()
        .filter_map(|c| if let Call::HealthCheck(worker_id) = c { Some(*worker_id) } else { None })
        .collect()
}

/// Answers the health checks in order, with these numbers of requests in flight.
pub fn answer_health_checks(scheduler: &mut TestScheduler, loads: &[f64]) {
    for (worker_id, load) in checked_workers(scheduler).into_iter().zip(loads) {
        scheduler.load_reported(worker_id, *load, 0.0);
        scheduler.health_check_ended(worker_id, Outcome::Ok);
    }
}

/// The number of load requests, not counting queries.
pub fn load_request_count(scheduler: &TestScheduler) -> usize {
    scheduler.host.0.iter().filter(|c| matches!(c, Call::Load(_, _, n) if *n > 0)).count()
}

/// The worker at a position of the function's shared order.
pub fn worker_at(scheduler: &TestScheduler, function_id: FunctionId, position: usize) -> WorkerId {
    scheduler.functions[function_id].placements[position].worker_id
}
