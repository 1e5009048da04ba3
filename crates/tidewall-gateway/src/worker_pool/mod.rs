//! The worker pool carries out the scheduler's actions on sockets. Attempts, load requests and health
//! checks are calls, which are multiplexed as streams on a few connections to each worker. The pool owns
//! the requests in flight, the calls, the connections to workers and the state known of each worker.
mod answered_requests;
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
    /// Maximum number of requests in flight.
    pub max_requests: usize,
    /// Timeout for opening a connection, including the worker's greeting.
    pub connect_timeout: Time,
    /// Maximum number of concurrent attempts on one connection.
    pub streams_per_connection: usize,
    /// Maximum number of connections to one worker.
    pub connections_per_worker: usize,
    /// Maximum number of connections to all workers together.
    pub max_worker_connections: usize,
    /// When every connection to a worker carries this many attempts, another is opened if the limits allow
    /// it: a broken connection then ends fewer attempts.
    pub spread_threshold: usize,
    /// How long an unused connection is kept open.
    pub keep_alive: Time,
    /// Timeout of a health check.
    pub health_check_timeout: Time,
    /// Timeout of a load request.
    pub load_request_timeout: Time,
    /// How long a connection that carries only abandoned calls, or that leads to a removed worker, may be
    /// silent before it is closed.
    pub silence_timeout: Time,
}

/// The state on which the scheduler's actions operate.
pub struct WorkerPool<N: Net> {
    /// The network and the clock.
    pub net: N,
    limits: GatewayLimits,
    /// Maximum number of connections to each worker, given the current number of workers.
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
    /// By function index: the lanes, memory and load hint that a load request carries.
    function_resources: Vec<(u32, f64, Time)>,
    /// Requests by slot.
    pub requests: Vec<PendingRequest>,
    /// Number of open requests.
    pub in_flight: usize,
    /// Bytes of the payloads of all requests whose slots are not released, and their limit.
    held_payload: usize,
    payload_memory: usize,
    /// Calls that await an answer.
    pub calls: Slab<Call>,
    call_generation: u32,
    /// Connections to workers.
    pub connections: Slab<WorkerConnection>,
    /// Newly opened connections that the event loop has not yet assigned an owner.
    pub opened_connections: Vec<(Conn, usize)>,
    /// Connections with calls to send at the end of the wake-up.
    writable_connections: Vec<usize>,
    /// The batch that is sent on one connection: the bytes, and for each call the end offset of its
    /// message.
    batch: Vec<u8>,
    batch_ends: Vec<(usize, usize)>,
    /// Workers that left or restarted. Their unsent calls were decided on outdated information.
    pub withdrawn_workers: Vec<usize>,
    /// Clients that already wait for the next request to be registered, each with its deadline.
    pub next_waiting_clients: Vec<(ReplyHandle, Time)>,
    drain_grace: Time,
    /// The latest deadline of any request so far.
    pub last_deadline: Time,
    /// Outcomes that were known immediately and are still to be delivered: call, its generation, outcome.
    pub deferred_outcomes: VecDeque<(usize, u32, Outcome)>,
    /// Responses decided by the scheduler that are still to be sent.
    pub local_responses: VecDeque<LocalResponse>,
    /// Reply handles of requests whose clients have stopped waiting.
    pub expired_clients: VecDeque<ReplyHandle>,
    /// By ingress: whether its clients tell the gateway when they stop waiting.
    pub ingress_accepts_late: Vec<bool>,
    /// The discovery connection, if the pool writes watch and poll messages to it as native frames.
    pub discovery_connection: Option<Conn>,
    /// Whether the scheduler wants watch events.
    pub watches_endpoints: bool,
    /// The socket for datagrams between gateways.
    pub datagram_socket: Option<DatagramSocket>,
    /// Datagram addresses of the site's gateways by their index.
    pub peers: Vec<Option<SocketAddr>>,
    /// This gateway's index.
    pub index: usize,
    /// Totals since the process started.
    pub counters: Counters,
    /// Refusals by [`crate::effect_policy`], and violations that were detected after the fact.
    pub effects: EffectCounters,
    /// By request class: whether its requests may be executed again.
    retry_safety: Vec<RetrySafety>,
    /// Connections with attempts that are postponed until their clients' input has been read.
    postponed_connections: Vec<usize>,
    /// In a failover pair: the records that are replicated to the other member, and the effects that wait
    /// for their acknowledgment.
    pub replicator: Option<Box<Replicator>>,
    /// Buffer for the message that is being encoded.
    pub(crate) frame: Vec<u8>,
    /// The protocol spoken with workers.
    pub protocol: Rc<dyn WorkerProtocol>,
    /// The longest Retry-After that clients respect; 0 if clients are given none.
    pub max_retry_after: Time,
}

impl<N: Net> WorkerPool<N> {
    /// Creates a pool without workers that speaks the native protocol.
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
            held_payload: 0,
            payload_memory: usize::MAX,
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
            // In push mode changes arrive without being requested, but the discovery server is still told
            // that this gateway is there.
            watches_endpoints: settings.is("discovery", "pushed"),
            datagram_socket: None,
            peers: Vec::new(),
            index: 0,
            counters: Counters::default(),
            effects: EffectCounters::default(),
            retry_safety: (0..settings.number("classes.count") as usize)
                .map(|class| settings.request_class(class).retry_safety)
                .collect(),
            postponed_connections: Vec::new(),
            replicator: None,
            frame: Vec::new(),
            protocol: Rc::new(NativeWorkerProtocol),
            max_retry_after: settings.duration("allowed.max-retry-after-ms"),
        }
    }
}
