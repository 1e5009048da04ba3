//! The running gateway. [`Gateway`] is an [`App`](tidewall_net::App) of `tidewall-net`: it handles events
//! of connections, datagrams, timers and signals, passes them to the scheduler, and carries out the
//! scheduler's actions. The scheduler makes the decisions.
//!
//! - Clients: [`ingress`] is the interface of a client protocol, [`native_ingress`] an implementation of
//!   it; `ingress_context` admits requests.
//! - Workers: [`worker_pool`] implements the scheduler's actions, [`protocol`] is the interface of a worker
//!   protocol, [`native_protocol`] an implementation of it; `worker_events` handles messages from workers.
//! - Endpoint list: `discovery` is the client of the discovery server, [`endpoints`] defines the records
//!   and their encoding, `endpoint_cache` stores the last list on disk.
//! - Disk: `durable_file` replaces files atomically, [`incarnation_store`] issues the incarnation numbers
//!   of a process.
//! - [`effect_policy`] decides whether something may be sent, resent, closed or ended now.
//! - `event_loop` and `timers` are the entry points, `drain` implements graceful shutdown, [`failover`] a
//!   pair of gateways that share one address.
//!
//! Times are in whole tenths of a millisecond unless stated otherwise.
pub mod backoff;
pub mod client_requests;
pub mod config;
mod connection_owners;
mod discovery;
mod drain;
mod durable_file;
pub mod effect_policy;
mod endpoint_cache;
pub mod endpoints;
pub mod error;
mod event_loop;
pub mod failover;
pub mod incarnation_store;
pub mod ingress;
mod ingress_context;
mod late_responses;
mod listeners;
mod messages;
pub mod native_ingress;
pub mod native_protocol;
mod outcomes;
pub mod protocol;
mod responses;
mod table_sizes;
mod timers;
pub mod wakeup_profile;
mod worker_connections;
mod worker_events;
pub mod worker_pool;

pub use discovery::EndpointWatcher;
pub use drain::DRAIN_GRACE;
pub use ingress_context::IngressContext;
pub use table_sizes::TableSizes;

pub(crate) use connection_owners::Owner;

use backoff::Backoff;
use discovery::DiscoveryClient;
use effect_policy::EffectCounters;
use endpoint_cache::EndpointCache;
use error::StartError;
use failover::{FailoverConfig, FailoverNode, StopReason};
use ingress::Ingress;
use late_responses::LateResponse;
use native_protocol::{NativeDiscovery, NativeWorkerProtocol};
use protocol::{DiscoverySource, WorkerProtocol};
use std::net::SocketAddr;
use std::rc::Rc;
use tidewall::choice::Scheduler;
use tidewall::settings::Settings;
use tidewall_net::{DatagramSocket, Listener, Net, Time};
use wakeup_profile::WakeupProfile;
use worker_pool::{Counters, GatewayLimits, WorkerPool};

/// A gateway on one network. It owns the scheduler, the worker pool, the ingresses and the discovery client.
pub struct Gateway<N: Net> {
    context: IngressContext<N>,
    /// The client protocols; `Owner::Ingress` and a reply handle refer to one by its index.
    ingresses: Vec<Box<dyn Ingress<N>>>,
    /// By connection index: the generation and owner of its latest connection.
    owners: Vec<(u32, Owner)>,
    /// By ingress: its listener, while it listens.
    listeners: Vec<Option<Listener>>,
    /// Closed listeners with their ingress: connections that they had accepted before are still delivered.
    closed_listeners: Vec<(Listener, usize)>,
    /// By ingress: the address that it listens on.
    addresses: Vec<SocketAddr>,
    /// This gateway's index among those of its site.
    index: u64,
    discovery: DiscoveryClient,
    /// Time between the stop signal and the start of draining.
    drain_grace: Time,
    /// While draining: earliest time at which the process may end.
    exit_not_before: Time,
    /// When a malformed message was last logged as a warning.
    malformed_logged_at: Option<Time>,
    endpoint_cache: Box<dyn EndpointCache>,
    /// Whether the list has changed since it was last written to the cache.
    cache_outdated: bool,
    /// The socket for datagrams between gateways.
    datagram_socket: Option<DatagramSocket>,
    name: String,
    /// In a failover pair: this member's state.
    failover: Option<Box<FailoverNode>>,
    stop_reason: StopReason,
    /// Since when nothing has been in flight; set when this is first checked.
    idle_since: Option<Time>,
    endpoint_watcher: Option<EndpointWatcher>,
    /// Whether the list changed and the watcher could not take it.
    watcher_outdated: bool,
    wakeup_profile: WakeupProfile,
    /// Responses that are past their deadline; they wait until this wake-up has read the clients' input.
    late_responses: Vec<LateResponse>,
}

/// The configuration that a gateway is started with.
pub struct GatewayConfig {
    /// The gateway's name, for peers and logs.
    pub name: String,
    /// The gateway's index among the gateways of its site.
    pub index: usize,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The scheduler's settings.
    pub settings: Settings,
    /// The discovery server's address.
    pub discovery: SocketAddr,
    /// The mean delay before reconnecting to the discovery server, which is also the connect timeout.
    pub discovery_retry: Time,
    /// Datagram addresses of the site's gateways by their index; none for a gateway that receives no
    /// datagrams.
    pub peers: Vec<Option<SocketAddr>>,
    /// The address to bind for datagrams, if it is not the one in `peers`.
    pub peer_listen: Option<SocketAddr>,
    /// The gateway's limits.
    pub limits: GatewayLimits,
    /// In a failover pair: this member's configuration.
    pub failover: Option<FailoverConfig>,
}

/// Binds the socket for datagrams between gateways, if this gateway has an address for them.
fn bind_datagrams<N: Net>(
    net: &mut N,
    config: &GatewayConfig,
) -> Result<Option<DatagramSocket>, StartError> {
    let own = config.peers.get(config.index).copied().flatten();
    let Some(address) = config.peer_listen.or(own) else {
        return Ok(None);
    };
    let bound = net.bind_datagram(address);
    let (socket, _) = bound.map_err(|source| StartError::BindDatagrams { address, source })?;
    Ok(Some(socket))
}

impl<N: Net> Gateway<N> {
    /// Creates a gateway whose workers and discovery server speak the native protocol. It connects to the
    /// discovery server immediately; clients connect through the ingresses that are added to it.
    ///
    /// # Errors
    /// If an address cannot be bound, or if settings or VRRP parameters are rejected.
    pub fn new(
        net: N,
        config: GatewayConfig,
        endpoint_cache: Box<dyn EndpointCache>,
    ) -> Result<Gateway<N>, StartError> {
        let backoff = Backoff::new(config.seed, config.discovery_retry);
        let source = NativeDiscovery::new(config.discovery, backoff);
        let protocol = Rc::new(NativeWorkerProtocol);
        Gateway::with_protocols(net, config, endpoint_cache, protocol, Box::new(source))
    }

    /// Creates a gateway whose workers and discovery server speak the given protocols.
    ///
    /// # Errors
    /// As for `new`.
    pub fn with_protocols(
        mut net: N,
        config: GatewayConfig,
        endpoint_cache: Box<dyn EndpointCache>,
        protocol: Rc<dyn WorkerProtocol>,
        source: Box<dyn DiscoverySource>,
    ) -> Result<Gateway<N>, StartError> {
        let now = net.now();
        let datagram_socket = bind_datagrams(&mut net, &config)?;
        timers::set_regular_timers(&mut net, now);
        let max_requests = config.limits.max_requests;
        let mut pool = WorkerPool::new(net, &config.settings, config.limits);
        pool.datagram_socket = datagram_socket;
        pool.peers = config.peers;
        pool.index = config.index;
        pool.protocol = protocol;
        let scheduler = Scheduler::new(pool, now, config.seed, config.settings)
            .map_err(StartError::Settings)?;
        let mut gateway = Gateway {
            context: IngressContext::new(scheduler, max_requests, config.failover.is_some()),
            ingresses: Vec::new(),
            owners: Vec::new(),
            listeners: Vec::new(),
            closed_listeners: Vec::new(),
            addresses: Vec::new(),
            index: config.index as u64,
            discovery: DiscoveryClient::new(source, config.discovery_retry),
            drain_grace: 0,
            exit_not_before: 0,
            malformed_logged_at: None,
            endpoint_cache,
            cache_outdated: false,
            datagram_socket,
            name: config.name,
            failover: None,
            stop_reason: StopReason::Drained,
            idle_since: None,
            endpoint_watcher: None,
            watcher_outdated: false,
            wakeup_profile: WakeupProfile::default(),
            late_responses: Vec::new(),
        };
        gateway.mark_list_unconfirmed();
        gateway.load_endpoint_cache();
        gateway.connect_discovery();
        if let Some(failover) = config.failover {
            gateway.enable_failover(failover)?;
        }
        Ok(gateway)
    }

    /// Sets how many bytes the state of functions may take that no worker has shown to know.
    pub fn set_unconfirmed_memory(&mut self, bytes: usize) {
        self.context.scheduler.set_unconfirmed_memory(bytes);
    }

    /// Sets how many bytes the payloads of all requests may take; requests beyond are refused.
    pub fn set_payload_memory(&mut self, bytes: usize) {
        self.context.scheduler.host.set_payload_memory(bytes);
    }

    /// Why the net was stopped.
    pub fn stop_reason(&self) -> StopReason {
        self.stop_reason
    }

    /// Totals since the process started.
    pub fn counters(&self) -> &Counters {
        &self.context.scheduler.host.counters
    }

    /// Effects that were refused, and violations that were detected after the fact.
    pub fn effects(&self) -> &EffectCounters {
        &self.context.scheduler.host.effects
    }

    /// Durations of the steps of wake-ups.
    pub fn wakeup_profile(&self) -> &WakeupProfile {
        &self.wakeup_profile
    }

    /// Number of connections opened to the discovery server.
    pub fn discovery_attempts(&self) -> u64 {
        self.discovery.attempts
    }

    /// Number of requests that have not had their response.
    pub fn requests_in_flight(&self) -> usize {
        self.context.scheduler.host.in_flight
    }

    /// Number of attempts, load requests and health checks that await the worker's answer.
    pub fn calls_in_flight(&self) -> usize {
        self.context.scheduler.host.calls.len()
    }

    /// Number of connections to workers that are open or being opened.
    pub fn worker_connections(&self) -> usize {
        self.context.scheduler.host.connections.len()
    }

    /// Number of workers with a known address.
    pub fn known_workers(&self) -> usize {
        let workers = self.context.scheduler.host.workers.iter();
        workers.filter(|worker| worker.is_known()).count()
    }

    /// In a failover pair: this member's index plus one; otherwise 0.
    pub(crate) fn failover_member(&self) -> u64 {
        self.failover
            .as_ref()
            .map_or(0, |node| node.member() as u64 + 1)
    }
}
