//! `serve` and `standins`: a gateway and an emulated fleet that run until a signal stops them.
use crate::coordination::CoordinationThreads;
use crate::incarnations::Incarnations;
use crate::{input, settings, Failure};
use argon2::password_hash::{rand_core::OsRng, PasswordHasher, SaltString};
use argon2::Argon2;
use clap::Args;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tidewall_amqp_ingress::Amqp;
use tidewall_emulator::{Fleet, NoGateways, Plan};
use tidewall_failover::flap_damping::FlapDamping;
use tidewall_gateway::config::{failover_config, gateway_config, parse_keys};
use tidewall_gateway::endpoints::{
    BackgroundEndpointCache, EndpointCache, FileEndpointCache, NoEndpointCache,
};
use tidewall_gateway::failover::StopReason;
use tidewall_gateway::native_ingress::NativeIngress;
use tidewall_gateway::{Gateway, DRAIN_GRACE};
use tidewall_net::mio::{self, Mio};
use tidewall_sim::fleet::OmittedSafeguard;
use tidewall_vrrp::packet::Keys;
use tracing::info;

#[derive(Args)]
pub struct Serve {
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Which gateway of the settings this is; the first one where it is left out.
    #[arg(long, value_name = "NAME")]
    gateway: Option<String>,
    /// Start of its random numbers, instead of the settings' own.
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// Trials only: leaves a guard of the leases out.
    #[arg(long, value_enum, hide = true, default_value_t = OmittedSafeguard::Nothing)]
    left_out: OmittedSafeguard,
}

#[derive(Args)]
pub struct Standins {
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// With the settings' clients, which send events to the gateways.
    #[arg(long)]
    clients: bool,
    /// Where what crosses the sockets is recorded, for the audit.
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
}

/// The signals that stop the process.
const SIGNALS: [i32; 2] = [libc::SIGINT, libc::SIGTERM];

pub fn serve(args: &Serve) -> Result<(), Failure> {
    let (_, settings) = settings(&args.config)?;
    let gateways = settings.sections("gateway");
    let gateway_index = match &args.gateway {
        None => 0,
        Some(name) => {
            let found = gateways.iter().position(|g| g.text("name") == *name);
            found.ok_or_else(|| {
                input(format!(
                    "--gateway: '{name}' is no gateway of these settings"
                ))
            })?
        }
    };
    let gateway_settings = &gateways[gateway_index];
    let seed = args
        .seed
        .or_else(|| Some(gateway_settings.integer("seed")).filter(|seed| *seed > 0))
        .unwrap_or_else(|| {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            now.map_or(1, |since| since.as_nanos() as u64)
        });
    info!(
        gateway = gateway_settings.text("name"),
        seed, "gateway process started"
    );
    // Set by a signal; needed between two incarnations, when no `Net` receives signals.
    let shutdown = Arc::new(AtomicBool::new(false));
    for signal in SIGNALS {
        signal_hook::flag::register(signal, shutdown.clone())
            .map_err(|e| Failure::Run(e.to_string()))?;
    }
    // Delays the restart of a member that is superseded again and again: 0.1 s at first, 10 s at most.
    let (began, mut flap_damping) = (Instant::now(), FlapDamping::new(1_000, 100_000));
    let needs_incarnation = settings.has("pair") || settings.has("fleet_common");
    let mut incarnations = Incarnations::open(gateway_settings)?;
    let mut coordination = CoordinationThreads::none();
    // A member of a pair that is superseded starts again as a new incarnation without any state.
    loop {
        let mut net = Mio::new().map_err(|e| Failure::Run(e.to_string()))?;
        net.signals(&SIGNALS)
            .map_err(|e| Failure::Run(e.to_string()))?;
        let endpoint_cache: Box<dyn EndpointCache> =
            match gateway_settings.text("last_list").as_str() {
                "" => Box::new(NoEndpointCache),
                path => Box::new(BackgroundEndpointCache::new(FileEndpointCache(path.into()))),
            };
        let mut config = gateway_config(&settings, gateway_index, seed);
        let incarnation = if needs_incarnation {
            match incarnations.next(&shutdown) {
                Some(incarnation) => incarnation,
                None => return Ok(()),
            }
        } else {
            0
        };
        if settings.has("pair") {
            let file = PathBuf::from(settings.section("pair").text("key_file"));
            let initial_keys = read_keys(&file).map_err(input)?;
            let last_keys = std::cell::RefCell::new(initial_keys);
            // If the file cannot be read, or is being written, the last keys stay in use.
            let keys = move || {
                if let Ok(keys) = read_keys(&file) {
                    *last_keys.borrow_mut() = keys;
                }
                last_keys.borrow().clone()
            };
            config.failover = Some(failover_config(&settings, incarnation, Box::new(keys)));
        }
        let mut gateway = Gateway::new(net, config, endpoint_cache).map_err(input)?;
        let address = gateway_settings.text("address").parse().expect("checked");
        gateway
            .add_ingress(
                address,
                Box::new(NativeIngress::new(0, &gateway_settings.text("name"))),
            )
            .map_err(input)?;
        if gateway_settings.has("amqp_address") {
            let address = gateway_settings
                .text("amqp_address")
                .parse()
                .expect("checked");
            gateway
                .add_ingress(address, Box::new(Amqp::new(1, &settings)))
                .map_err(input)?;
        }
        if !settings.has("pair") {
            // A member of a pair needs no drain grace period: the other member takes over at once.
            gateway.set_drain_grace(DRAIN_GRACE);
        }
        if settings.has("fleet_common") {
            coordination.start(
                &settings,
                (gateway_index, incarnation),
                seed,
                args.left_out,
                &shutdown,
            )?;
            gateway.watch_endpoints(coordination.endpoint_watcher());
        }
        mio::run(&mut gateway).map_err(|e| Failure::Run(e.to_string()))?;
        if gateway.stop_reason() == StopReason::Drained {
            drop(gateway);
            coordination.shut_down();
            return Ok(());
        }
        incarnations.known_elsewhere(gateway.newest_own_incarnation());
        drop(gateway);
        let restart_at = flap_damping.next_hold_off((began.elapsed().as_micros() / 100) as u64);
        while ((began.elapsed().as_micros() / 100) as u64) < restart_at {
            if shutdown.load(Ordering::Relaxed) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

pub fn read_keys(file: &std::path::Path) -> Result<Keys, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    Ok(parse_keys(&name, &text)?)
}

/// Reads a password from standard input and prints its hash for the settings.
pub fn hash_password() -> Result<(), Failure> {
    let mut password = String::new();
    std::io::stdin()
        .read_line(&mut password)
        .map_err(|e| input(e.to_string()))?;
    let password = password.trim_end_matches(['\n', '\r']);
    if password.is_empty() {
        return Err(input("standard input: a password is missing".to_string()));
    }
    let salt = SaltString::generate(&mut OsRng);
    let hash = Argon2::default().hash_password(password.as_bytes(), &salt);
    println!("{}", hash.map_err(|e| Failure::Run(e.to_string()))?);
    Ok(())
}

pub fn standins(args: &Standins) -> Result<(), Failure> {
    let (_, settings) = settings(&args.config)?;
    if !settings.has("fleet") {
        return Err(input(format!(
            "{}:1:1: fleet: there is none in these settings",
            args.config.display()
        )));
    }
    let record: Box<dyn std::io::Write> = match &args.record {
        None => Box::new(std::io::sink()),
        Some(path) => {
            let file = std::fs::File::create(path)
                .map_err(|e| input(format!("{}: {e}", path.display())))?;
            Box::new(std::io::BufWriter::new(file))
        }
    };
    let mut net = Mio::new().map_err(|e| Failure::Run(e.to_string()))?;
    net.signals(&SIGNALS)
        .map_err(|e| Failure::Run(e.to_string()))?;
    let seed = settings.section("fleet").integer("seed");
    let plan = Plan {
        seed,
        seconds: 0.0,
        clients: args.clients,
        amqp: false,
        record,
        gateways: Box::new(NoGateways),
        checks_epochs: true,
        forgets_votes: false,
        checks_task_epochs: true,
        wild_clocks: false,
    };
    let mut fleet = Fleet::new(net, &settings, None, plan).map_err(input)?;
    info!(roster = %fleet.discovery_server_address(), "emulated fleet started");
    mio::run(&mut fleet).map_err(|e| Failure::Run(e.to_string()))?;
    fleet.flush();
    Ok(())
}
