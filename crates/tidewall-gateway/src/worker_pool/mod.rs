//! The worker pool: the scheduler's actions on sockets. Attempts, load requests and health checks are calls that travel as
//! streams on a few connections to each worker. It owns the requests in flight, the calls, the connections to workers and
//! what is known of each worker.
mod calls;
mod connections;
mod counters;
mod endpoints;
mod flush;
mod requests;
mod scheduler_actions;

pub use calls::{Call, CallKind};
pub use connections::WorkerConnection;
pub use counters::Counters;
pub use endpoints::WorkerEntry;
pub use requests::{LocalResponse, PendingRequest};

use crate::effect_policy::EffectCounters;
use crate::failover::replicator::Replicator;
use crate::ingress::ReplyHandle;
use crate::native_protocol::NativeWorkerProtocol;
use crate::protocol::WorkerProtocol;
use slab::Slab;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tidewall::config::RetrySafety;
use tidewall::interface::Outcome;
use tidewall::interner::Interner;
use tidewall::settings::{Settings, SettingsReader};
use tidewall_net::{Conn, DatagramSocket, Net, Time};

/// Limits of the gateway, from the settings. Times are whole tenths of a millisecond.
#[derive(Clone, Debug)]
pub struct GatewayLimits {
    /// Requests in flight at once.
    pub max_requests: usize,
    /// How long opening a connection, greeting included, may take.
    pub connect_timeout: Time,
    /// Attempts on one connection at once.
    pub streams_per_connection: usize,
    /// Connections to one worker.
    pub connections_per_worker: usize,
    /// Connections to all workers together.
    pub max_worker_connections: usize,
    /// With so many attempts on each connection another one is opened, while there may be more: what breaks one then ends
    /// fewer attempts.
    pub spread_threshold: usize,
    /// How long an unused connection is kept.
    pub keep_alive: Time,
    /// How long a health check may take.
    pub health_check_timeout: Time,
    /// How long a load request may take.
    pub load_request_timeout: Time,
    /// How long a connection with nothing but abandoned calls, or to a removed worker, may be silent.
    pub silence_timeout: Time,
}

/// The state behind the scheduler's actions.
pub struct WorkerPool<N: Net> {
    /// The network and the clock.
    pub net: N,
    limits: GatewayLimits,
    /// Connections that each worker may have, given the number of workers.
    connections_per_worker: usize,
    /// Names of the request classes, in the settings' order.
    pub class_names: Vec<String>,
    /// Names of the tenants, in the settings' order.
    pub tenant_names: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Names of workers by their index.
    pub worker_names: Interner,
    /// Workers by their index.
    pub workers: Vec<WorkerEntry>,
    /// Names of functions by their index.
    pub function_names: Interner,
    /// By function: lanes, memory and load hint that a load request carries.
    function_resources: Vec<(u32, f64, Time)>,
    /// Requests by their slot.
    pub requests: Vec<PendingRequest>,
    /// How many of them are open.
    pub in_flight: usize,
    /// Calls whose answer is awaited.
    pub calls: Slab<Call>,
    call_generation: u32,
    /// Connections to workers.
    pub connections: Slab<WorkerConnection>,
    /// Connections that were opened and have no owner yet.
    pub opened_connections: Vec<(Conn, usize)>,
    /// Connections on which something waits to leave at the end of the wake-up.
    writable_connections: Vec<usize>,
    /// What leaves on one of them: the bytes, and each call with the end of its message.
    batch: Vec<u8>,
    batch_ends: Vec<(usize, usize)>,
    /// Workers that left or restarted: what waits for them was decided by what they were before.
    pub withdrawn_workers: Vec<usize>,
    /// Clients that already wait for the request that is registered next.
    pub next_waiting_clients: Vec<(ReplyHandle, Time)>,
    drain_grace: Time,
    /// The latest deadline of all requests so far.
    pub last_deadline: Time,
    /// Outcomes that are known already: call, its generation, outcome.
    pub deferred_outcomes: VecDeque<(usize, u32, Outcome)>,
    /// Responses that the scheduler decided.
    pub local_responses: VecDeque<LocalResponse>,
    /// Reply handles of requests whose clients have stopped waiting.
    pub expired_clients: VecDeque<ReplyHandle>,
    /// By ingress: its clients say when they stop waiting.
    pub ingress_accepts_late: Vec<bool>,
    /// The discovery connection, where the pool's wishes are written to it in native frames.
    pub discovery_connection: Option<Conn>,
    /// Whether the scheduler wants watch events.
    pub watches_endpoints: bool,
    /// The socket for datagrams between gateways.
    pub datagram_socket: Option<DatagramSocket>,
    /// Datagram addresses of the site's gateways by their index.
    pub peers: Vec<Option<SocketAddr>>,
    /// This gateway's index.
    pub index: usize,
    /// Totals since the start.
    pub counters: Counters,
    /// What was refused by [`crate::effect_policy`], and what was found to be wrong after the fact.
    pub effects: EffectCounters,
    /// By request class: whether its requests may be executed again.
    retry_safety: Vec<RetrySafety>,
    /// Connections on which attempts were put off until their clients' input was read.
    put_off_connections: Vec<usize>,
    /// Of a failover pair: what is replicated to the other member, and what waits for that.
    pub replicator: Option<Box<Replicator>>,
    /// The message that is being written.
    pub(crate) frame: Vec<u8>,
    /// The workers' protocol.
    pub protocol: Rc<dyn WorkerProtocol>,
    /// The longest Retry-After that clients respect; 0 where they are told none.
    pub max_retry_after: Time,
}

impl<N: Net> WorkerPool<N> {
    /// A pool without workers, which speaks the native protocol.
    pub fn new(net: N, settings: &Settings, limits: GatewayLimits) -> WorkerPool<N> {
        let names_of = |list: &str| {
            (0..)
                .map_while(|index| settings.get(&format!("{list}.{index}.name")).cloned())
                .collect()
        };
        let comma_separated =
            |key: &str| settings.text(key).split(',').map(str::to_string).collect();
        WorkerPool {
            net,
            connections_per_worker: limits.connections_per_worker_of(0),
            limits,
            class_names: names_of("classes"),
            tenant_names: names_of("tenants"),
            zones: comma_separated("zones"),
            kinds: comma_separated("kinds"),
            worker_names: Interner::default(),
            workers: Vec::new(),
            function_names: Interner::default(),
            function_resources: Vec::new(),
            requests: Vec::new(),
            in_flight: 0,
            calls: Slab::new(),
            call_generation: 0,
            connections: Slab::new(),
            opened_connections: Vec::new(),
            writable_connections: Vec::new(),
            batch: Vec::new(),
            batch_ends: Vec::new(),
            withdrawn_workers: Vec::new(),
            next_waiting_clients: Vec::new(),
            drain_grace: settings.duration("rules.drain-grace-ms"),
            last_deadline: 0,
            deferred_outcomes: VecDeque::new(),
            local_responses: VecDeque::new(),
            expired_clients: VecDeque::new(),
            ingress_accepts_late: Vec::new(),
            discovery_connection: None,
            // Where changes come unasked the discovery server is still told that we are there.
            watches_endpoints: settings.is("discovery", "pushed"),
            datagram_socket: None,
            peers: Vec::new(),
            index: 0,
            counters: Counters::default(),
            effects: EffectCounters::default(),
            retry_safety: (0..settings.number("classes.count") as usize)
                .map(|class| settings.request_class(class).retry_safety)
                .collect(),
            put_off_connections: Vec::new(),
            replicator: None,
            frame: Vec::new(),
            protocol: Rc::new(NativeWorkerProtocol),
            max_retry_after: settings.duration("allowed.max-retry-after-ms"),
        }
    }
}
