//! `serve` and `standins`: processes that run until they are told to stop.
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
use tidewall_sim::fleet::Plant;
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
    #[arg(long, value_enum, hide = true, default_value_t = Plant::Nothing)]
    left_out: Plant,
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

/// SIGINT and SIGTERM.
const SIGNALS: [i32; 2] = [libc::SIGINT, libc::SIGTERM];

pub fn serve(args: &Serve) -> Result<(), Failure> {
    let (_, s) = settings(&args.config)?;
    let gateways = s.sections("gateway");
    let me = match &args.gateway {
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
    let own = &gateways[me];
    let seed = args
        .seed
        .or_else(|| Some(own.integer("seed")).filter(|s| *s > 0))
        .unwrap_or_else(|| {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            now.map_or(1, |d| d.as_nanos() as u64)
        });
    info!(gateway = own.text("name"), seed, "starts");
    // Told to go between two lives, when no net listens for it.
    let told = Arc::new(AtomicBool::new(false));
    for signal in SIGNALS {
        signal_hook::flag::register(signal, told.clone())
            .map_err(|e| Failure::Run(e.to_string()))?;
    }
    // A member that is superseded again and again (a tenth of a second at first, ten at most) does not spin.
    let (began, mut damp) = (Instant::now(), FlapDamping::new(1_000, 100_000));
    let numbered = s.has("pair") || s.has("fleet_common");
    let mut incarnations = Incarnations::open(own)?;
    let mut coordination = CoordinationThreads::none();
    // A member of a pair that is superseded starts anew, as a new life that knows nothing.
    loop {
        let mut net = Mio::new().map_err(|e| Failure::Run(e.to_string()))?;
        net.signals(&SIGNALS)
            .map_err(|e| Failure::Run(e.to_string()))?;
        let shelf: Box<dyn EndpointCache> = match own.text("last_list").as_str() {
            "" => Box::new(NoEndpointCache),
            path => Box::new(BackgroundEndpointCache::new(FileEndpointCache(path.into()))),
        };
        let mut start = gateway_config(&s, me, seed);
        let incarnation = if numbered {
            match incarnations.next(&told) {
                Some(incarnation) => incarnation,
                None => return Ok(()),
            }
        } else {
            0
        };
        if s.has("pair") {
            let file = PathBuf::from(s.section("pair").text("key_file"));
            let first = read_keys(&file).map_err(input)?;
            let last = std::cell::RefCell::new(first);
            // A file that cannot be read, or is being written, leaves the keys as they are.
            let keys = move || {
                if let Ok(keys) = read_keys(&file) {
                    *last.borrow_mut() = keys;
                }
                last.borrow().clone()
            };
            start.failover = Some(failover_config(&s, incarnation, Box::new(keys)));
        }
        let mut gateway = Gateway::new(net, start, shelf).map_err(input)?;
        let at = own.text("address").parse().expect("checked");
        gateway
            .add_ingress(at, Box::new(NativeIngress::new(0, &own.text("name"))))
            .map_err(input)?;
        if own.has("amqp_address") {
            let at = own.text("amqp_address").parse().expect("checked");
            gateway
                .add_ingress(at, Box::new(Amqp::new(1, &s)))
                .map_err(input)?;
        }
        if !s.has("pair") {
            // Of a pair the other member takes over at once.
            gateway.set_drain_grace(DRAIN_GRACE);
        }
        if s.has("fleet_common") {
            coordination.start(&s, (me, incarnation), seed, args.left_out, &told)?;
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
        let until = damp.next_hold_off((began.elapsed().as_micros() / 100) as u64);
        while ((began.elapsed().as_micros() / 100) as u64) < until {
            if told.load(Ordering::Relaxed) {
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
    let (_, s) = settings(&args.config)?;
    if !s.has("fleet") {
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
    let seed = s.section("fleet").integer("seed");
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
    let mut fleet = Fleet::new(net, &s, None, plan).map_err(input)?;
    info!(roster = %fleet.discovery_server_address(), "the stand-in fleet is up");
    mio::run(&mut fleet).map_err(|e| Failure::Run(e.to_string()))?;
    fleet.flush();
    Ok(())
}
