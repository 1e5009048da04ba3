//! `platform`: runs one gateway as the platform starts it, with the configuration file that `ROUTER_CONFIG`
//! names.
use crate::{input, Failure};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tidewall::settings::{validate, Settings, SettingsReader};
use tidewall_gateway::endpoints::NoEndpointCache;
use tidewall_gateway::protocol::ReceivedUpdates;
use tidewall_gateway::worker_pool::GatewayLimits;
use tidewall_gateway::{Gateway, GatewayConfig, DRAIN_GRACE};
use tidewall_net::mio::{self, Mio};
use tidewall_platform::config::{self, PlatformConfig};
use tidewall_platform::descriptor_budget::DescriptorBudget;
use tidewall_platform::memory_budget::MemoryBudget;
use tidewall_platform_ingress::error::ReloadError;
use tidewall_platform_ingress::host_protocol::HostProtocol;
use tidewall_platform_ingress::notice_board::{deliver_notices, NoticeBoardSource};
use tidewall_platform_ingress::unix_clock::UnixClock;
use tidewall_platform_ingress::{ClientLimits, PlatformIngress};
use tracing::info;

/// SIGHUP makes the gateway read its configuration again; the others shut it down.
const SIGNALS: [i32; 3] = [libc::SIGHUP, libc::SIGINT, libc::SIGTERM];

/// A connection to a worker is closed if all its attempts were abandoned and nothing has arrived for this
/// time, in tenths of a millisecond. The time covers several round trips and pauses.
const WORKER_SILENCE_TIMEOUT: u64 = 30_000;

/// A configuration that was read and checked.
struct Loaded {
    config: PlatformConfig,
    /// The endpoints that the configuration holds.
    endpoints: ReceivedUpdates,
    /// The notice board's revision of these endpoints.
    revision: u64,
}

/// Runs a gateway until a signal stops it. An invalid configuration is an input failure that names the file
/// and the field.
pub fn platform() -> Result<(), Failure> {
    let file = std::env::var_os("ROUTER_CONFIG").map(PathBuf::from);
    let file = file.ok_or_else(|| input("ROUTER_CONFIG: not set"))?;
    let clock = UnixClock::read();
    let Loaded {
        config,
        endpoints,
        revision,
    } = load(&file, &clock)?;
    let settings = &config.settings;
    let connections_cost =
        settings.number("deductions.connection") + settings.number("deductions.handshake") > 0.0;
    let budget = DescriptorBudget::new(config.descriptors as usize, connections_cost);
    let memory = MemoryBudget::new(config.memory_mb);
    let limits = gateway_limits(settings, &budget);
    let ingress = PlatformIngress::new(
        0,
        ClientLimits {
            connections: budget.client_connections,
            unread_replies: memory.unread_replies,
        },
        classes_with_idempotency_key(settings),
    );
    let read_address = move || {
        let text = std::fs::read(&file)?;
        Ok::<_, ReloadError>(config::parse_notice_board(&text)?)
    };
    let discovery = NoticeBoardSource::new(
        config.notice_board,
        revision,
        clock,
        config.seed,
        Box::new(read_address),
    );
    let mut net = Mio::new().map_err(|e| Failure::Run(e.to_string()))?;
    net.signals(&SIGNALS)
        .map_err(|e| Failure::Run(e.to_string()))?;
    let gateway_config = GatewayConfig {
        name: config.name.clone(),
        index: config.gateway_index,
        seed: config.seed,
        settings: config.settings,
        discovery: config.notice_board,
        discovery_retry: limits.connect_timeout,
        peers: config.peers.into_iter().map(Some).collect(),
        peer_listen: config.peer_listen,
        limits,
        failover: None,
    };
    let mut gateway = Gateway::with_protocols(
        net,
        gateway_config,
        Box::new(NoEndpointCache),
        Rc::new(HostProtocol),
        Box::new(discovery),
    )
    .map_err(input)?;
    gateway.set_drain_grace(DRAIN_GRACE);
    gateway.set_unconfirmed_memory(memory.unconfirmed_functions);
    gateway.set_payload_memory(memory.held_payloads);
    for (records, complete) in &endpoints.updates {
        gateway.update_endpoints(records, *complete);
    }
    gateway
        .add_ingress(config.listen, Box::new(ingress))
        .map_err(input)?;
    info!(gateway = config.name, ?budget, ?memory, "gateway started");
    mio::run(&mut gateway).map_err(|e| Failure::Run(e.to_string()))
}

/// Reads and checks the configuration.
fn load(file: &Path, clock: &UnixClock) -> Result<Loaded, Failure> {
    let refused = |reason: &dyn std::fmt::Display| input(format!("{}: {reason}", file.display()));
    let text = std::fs::read(file).map_err(|e| refused(&e))?;
    let config = config::parse(&text).map_err(|e| refused(&e))?;
    let mut endpoints = ReceivedUpdates::default();
    let revision = deliver_notices(&config.initial_notices, 0, clock, &mut endpoints)
        .map_err(|e| refused(&format_args!("field known: {e}")))?
        .unwrap_or(0);
    validate(&config.settings).map_err(|e| refused(&format_args!("field settings.{e}")))?;
    Ok(Loaded {
        config,
        endpoints,
        revision,
    })
}

/// The gateway's limits, from the settings and the descriptor budget.
fn gateway_limits(settings: &Settings, budget: &DescriptorBudget) -> GatewayLimits {
    GatewayLimits {
        max_requests: settings.number("allowed.most-held") as usize,
        connect_timeout: settings.duration("allowed.connect-timeout-ms"),
        streams_per_connection: settings.number("allowed.streams-per-conn") as usize,
        connections_per_worker: budget.connections_per_worker,
        max_worker_connections: budget.worker_connections,
        spread_threshold: budget.spread_threshold,
        // The gateway closes idle connections before the host does: an attempt that crosses the host's close
        // may have been executed.
        keep_alive: settings.duration("allowed.keepalive-ms") * 3 / 4,
        health_check_timeout: settings.duration("allowed.connect-timeout-ms"),
        load_request_timeout: settings.duration("extra.order-timeout-ms"),
        silence_timeout: WORKER_SILENCE_TIMEOUT,
    }
}

/// For each class, whether its calls need an idempotency key.
fn classes_with_idempotency_key(settings: &Settings) -> Vec<bool> {
    let classes = settings.number("classes.count") as usize;
    (0..classes)
        .map(|class| settings.is(&format!("classes.{class}.semantics"), "idempotency_key"))
        .collect()
}
