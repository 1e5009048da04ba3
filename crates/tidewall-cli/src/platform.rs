//! `platform`: one gateway as the platform starts it.
use crate::{input, Failure};
use std::path::PathBuf;
use std::rc::Rc;
use tidewall::settings::{validate, SettingsReader};
use tidewall_gateway::endpoints::NoEndpointCache;
use tidewall_gateway::protocol::ReceivedUpdates;
use tidewall_gateway::worker_pool::GatewayLimits;
use tidewall_gateway::{Gateway, GatewayConfig, DRAIN_GRACE};
use tidewall_net::mio::{self, Mio};
use tidewall_platform::config;
use tidewall_platform::descriptor_budget::DescriptorBudget;
use tidewall_platform_ingress::board::{take, Board};
use tidewall_platform_ingress::lines::Lines;
use tidewall_platform_ingress::Platform;
use tracing::info;

/// SIGHUP is a new configuration, the others are the end.
const SIGNALS: [i32; 3] = [libc::SIGHUP, libc::SIGINT, libc::SIGTERM];

/// A connection on which everything was given up and nothing is heard ends after this: several round trips and pauses.
const SILENT: u64 = 30_000;

pub fn platform() -> Result<(), Failure> {
    let path = std::env::var_os("ROUTER_CONFIG").map(PathBuf::from);
    let file = path.ok_or_else(|| input("ROUTER_CONFIG: not set".to_string()))?;
    let named = |e: String| format!("{}: {e}", file.display());
    let text = std::fs::read(&file).map_err(|e| input(named(e.to_string())))?;
    let config = config::read(&text).map_err(|e| input(named(e)))?;
    let mut first = ReceivedUpdates::default();
    let known = take(&config.known, 0, &mut first);
    let rev = known
        .map_err(|e| input(named(format!("field known: {e}"))))?
        .unwrap_or(0);
    let s = &config.settings;
    validate(s).map_err(|e| input(named(format!("field settings.{e}"))))?;
    let priced = s.number("deductions.connection") + s.number("deductions.handshake") > 0.0;
    let budget = DescriptorBudget::new(config.sockets as usize, priced);
    let setup = GatewayLimits {
        max_requests: s.number("allowed.most-held") as usize,
        connect_timeout: s.duration("allowed.connect-timeout-ms"),
        streams_per_connection: s.number("allowed.streams-per-conn") as usize,
        connections_per_worker: budget.connections_per_worker,
        max_worker_connections: budget.worker_connections,
        spread_threshold: budget.spread_threshold,
        // Ours end first: a launch that crosses the host's own close may have run.
        keep_alive: s.duration("allowed.keepalive-ms") * 3 / 4,
        health_check_timeout: s.duration("allowed.connect-timeout-ms"),
        load_request_timeout: s.duration("extra.order-timeout-ms"),
        silence_timeout: SILENT,
    };
    let types = s.number("classes.count") as usize;
    let keyed = (0..types)
        .map(|i| s.is(&format!("classes.{i}.semantics"), "idempotency_key"))
        .collect();
    let again = move || {
        let text = std::fs::read(&file).map_err(|e| e.to_string())?;
        config::board(&text)
    };
    let board = Board::new(config.board, rev, config.seed, Box::new(again));
    let mut net = Mio::new().map_err(|e| Failure::Run(e.to_string()))?;
    net.signals(&SIGNALS)
        .map_err(|e| Failure::Run(e.to_string()))?;
    let start = GatewayConfig {
        name: config.name.clone(),
        index: config.me,
        seed: config.seed,
        settings: config.settings,
        discovery: config.board,
        discovery_retry: setup.connect_timeout,
        peers: config.peers.into_iter().map(Some).collect(),
        peer_listen: config.peer_listen,
        limits: setup,
        failover: None,
    };
    let mut gateway = Gateway::with_protocols(
        net,
        start,
        Box::new(NoEndpointCache),
        Rc::new(Lines),
        Box::new(board),
    )
    .map_err(input)?;
    gateway.set_drain_grace(DRAIN_GRACE);
    first
        .updates
        .iter()
        .for_each(|(entries, whole)| gateway.update_endpoints(entries, *whole));
    gateway
        .add_ingress(
            config.listen,
            Box::new(Platform::new(0, budget.client_connections, keyed)),
        )
        .map_err(input)?;
    info!(gateway = config.name, ?budget, "serves");
    mio::run(&mut gateway).map_err(|e| Failure::Run(e.to_string()))
}
