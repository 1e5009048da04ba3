//! `day`: a fault script played on loopback. Gateways run as child processes, which can be killed and
//! stopped. The emulated fleet runs in this process and records what it sends and receives on its sockets;
//! the audit reads that record.
use crate::from::replay;
use crate::own_ports::assign_ports;
use crate::{input, Failure};
use clap::Args;
use comfy_table::{presets, Table};
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tidewall_audit::{Audit, RULES};
use tidewall_config::Section;
use tidewall_emulator::{Fleet, Gateways, Plan, Results};
use tidewall_net::mio::{self, Mio};
use tracing::{info, warn};

#[derive(Args)]
pub struct Day {
    /// Settings with a fleet; a built-in day of three halls where left out. Ports of 0 are chosen.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The faults; a built-in bad day where left out.
    #[arg(long, value_name = "FILE")]
    script: Option<PathBuf>,
    /// A day file of the bench (JSON): its kinds of trouble are played at our fleet's size.
    #[arg(long, value_name = "FILE", conflicts_with = "script")]
    from: Option<PathBuf>,
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// How long clients send.
    #[arg(long, value_name = "N")]
    seconds: Option<f64>,
    /// The door by which clients come.
    #[arg(long, value_enum, default_value_t = ClientProtocol::Native)]
    door: ClientProtocol,
    /// Two gateways behind one address, which take over from each other; a built-in bad day of a pair.
    #[arg(long, conflicts_with = "from")]
    pair: bool,
    /// The figures as JSON lines, besides the table.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Where record, settings and the gateways' logs are kept; otherwise they go when the day ends well.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, PartialEq, clap::ValueEnum)]
enum ClientProtocol {
    Native,
    Amqp,
}

const SETTINGS: &str = include_str!("../../../deploy/examples/day.txtpb");
const PAIR: &str = include_str!("../../../deploy/examples/pair-a.txtpb");
const PAIR_SCRIPT: &str = include_str!("../../../deploy/examples/bad-pair-day.txtpb");
const SCRIPT: &str = include_str!("../../../deploy/examples/bad-day.txtpb");

/// After SIGTERM a gateway answers its open requests within their max age; one that still runs after this
/// time is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);

struct GatewayProcesses {
    /// The settings file of each process.
    configs: Vec<PathBuf>,
    pair: bool,
    folder: PathBuf,
    names: Vec<String>,
    seed: u64,
    children: Vec<Option<Child>>,
    start_count: u64,
}

impl GatewayProcesses {
    fn signal(&self, index: usize, signal: i32) {
        if let Some(child) = &self.children[index] {
            // SAFETY: the process is our child and has not been waited for, so its id is its own.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Stops all processes and returns how many did not exit with success.
    fn stop(&mut self) -> usize {
        (0..self.children.len()).for_each(|index| self.signal(index, libc::SIGTERM));
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        let mut failures = 0;
        for child in self.children.iter_mut().filter_map(Option::take) {
            let mut child = child;
            let status = loop {
                match child.try_wait() {
                    Ok(Some(status)) => break Some(status),
                    _ if Instant::now() > deadline => {
                        let _ = child.kill();
                        let _ = child.wait();
                        break None;
                    }
                    _ => std::thread::sleep(Duration::from_millis(10)),
                }
            };
            failures += usize::from(!status.is_some_and(|s| s.success()));
        }
        failures
    }
}

impl Gateways for GatewayProcesses {
    fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn start(&mut self, index: usize) {
        self.start_count += 1;
        let log = File::options().create(true).append(true).open(
            self.folder
                .join(format!("{}-{index}.log", self.names[index])),
        );
        let program = std::env::current_exe().expect("the path of this program is known");
        let child = Command::new(program)
            .args(["serve", "--gateway", &self.names[index], "--config"])
            .arg(&self.configs[index])
            .args(["--seed", &(self.seed * 1000 + self.start_count).to_string()])
            .current_dir(&self.folder)
            .stdin(Stdio::null())
            .stderr(log.map_or(Stdio::null(), Stdio::from))
            .spawn();
        match child {
            Ok(child) => self.children[index] = Some(child),
            Err(e) => {
                warn!(gateway = self.names[index], error = %e, "gateway process could not be started")
            }
        }
    }

    fn set_suspended(&mut self, index: usize, on: bool) {
        self.signal(index, if on { libc::SIGSTOP } else { libc::SIGCONT });
    }
}

/// The fleet owns this handle while it runs; `run_day` needs the processes afterwards as well.
struct SharedProcesses(std::rc::Rc<std::cell::RefCell<GatewayProcesses>>);

impl Gateways for SharedProcesses {
    fn kill(&mut self, index: usize) {
        self.0.borrow_mut().kill(index);
    }

    fn start(&mut self, index: usize) {
        self.0.borrow_mut().start(index);
    }

    fn set_suspended(&mut self, index: usize, on: bool) {
        self.0.borrow_mut().set_suspended(index, on);
    }

    fn members(&self) -> Option<usize> {
        let processes = self.0.borrow();
        processes.pair.then_some(processes.names.len())
    }
}

fn read_or_built_in(
    path: &Option<PathBuf>,
    built_in: (&str, &str),
) -> Result<(String, String), Failure> {
    match path {
        None => Ok((built_in.0.to_string(), built_in.1.to_string())),
        Some(path) => {
            let file = path.display().to_string();
            let text = std::fs::read_to_string(path).map_err(|e| input(format!("{file}: {e}")))?;
            Ok((file, text))
        }
    }
}

/// Sets the ports of the built-in settings to 0, and the path of their key file to one in the run's own
/// folder.
fn without_ports(text: &str) -> String {
    let mut out = String::new();
    for part in text.split_inclusive('"') {
        match part
            .strip_suffix('"')
            .and_then(|p| p.parse::<std::net::SocketAddr>().ok())
        {
            Some(address) => out += &format!("{}:0\"", address.ip()),
            None => out += part,
        }
    }
    out.replace("deploy/examples/pair.keys", "pair.keys")
}

/// The settings of the other member: `own` and `peer` change places.
fn peer_settings(text: &str) -> String {
    text.replace("  own {", "  \0 {")
        .replace("  peer {", "  own {")
        .replace("  \0 {", "  peer {")
}

/// Requests per second that keep all cores of the fleet busy.
fn capacity(settings: &Section) -> f64 {
    let fleet = settings.section("fleet");
    let group_cores = |w: &Section| w.number("count") * w.number("cores") * w.number("speed");
    let cores: f64 = fleet.sections("workers").iter().map(group_cores).sum();
    let programs = fleet.sections("programs");
    let share: f64 = programs.iter().map(|p| p.number("share")).sum();
    let work: f64 = programs
        .iter()
        .map(|p| p.number("share") / share * p.number("work_ms"))
        .sum();
    cores * 1000.0 / work.max(1e-9)
}

/// The settings' text with this request rate of the clients; none if the text has no `clients.rate`.
fn with_rate(text: &str, rate: f64) -> Option<String> {
    let from = text.find("clients {")?;
    let from = from + text[from..].find("rate:")? + "rate:".len();
    let end = from + text[from..].trim_start().find(char::is_whitespace)? + 1;
    Some(format!("{} {rate}{}", &text[..from], &text[end..]))
}

pub fn day(args: &Day) -> Result<(), Failure> {
    let failed = |e: std::io::Error| Failure::Run(e.to_string());
    let built_in = if args.pair {
        ("built-in pair", PAIR)
    } else {
        ("built-in day", SETTINGS)
    };
    let (file, text) = read_or_built_in(&args.config, built_in)?;
    let text = if args.pair && args.config.is_none() {
        without_ports(&text)
    } else {
        text
    };
    let mut text = assign_ports(&text, std::process::id());
    let mut settings = tidewall_config::settings(&file, &text).map_err(input)?;
    if !settings.has("fleet") {
        return Err(input(format!(
            "{file}:1:1: fleet: there is none in these settings"
        )));
    }
    let without_amqp = settings
        .sections("gateway")
        .into_iter()
        .find(|g| !g.has("amqp_address"));
    if let Some(g) = without_amqp.filter(|_| args.door == ClientProtocol::Amqp) {
        return Err(input(format!(
            "{file}: {}: is needed for --door amqp",
            g.field_path("amqp_address")
        )));
    }
    let script = if args.pair {
        ("built-in bad day of a pair", PAIR_SCRIPT)
    } else {
        ("built-in bad day", SCRIPT)
    };
    let (script_file, mut script_text) = read_or_built_in(&args.script, script)?;
    if args.pair != settings.has("pair") {
        return Err(input(format!(
            "{file}: pair: --pair and a pair section go together"
        )));
    }
    let mut seconds = None;
    if let Some(path) = &args.from {
        let name = path.display().to_string();
        let day = std::fs::read_to_string(path).map_err(|e| input(format!("{name}: {e}")))?;
        let workers: u64 = settings
            .section("fleet")
            .sections("workers")
            .iter()
            .map(|w| w.integer("count"))
            .sum();
        let gateways = settings.sections("gateway").len();
        let replayed =
            replay(&day, workers as usize, gateways).map_err(|e| input(format!("{name}: {e}")))?;
        let rate = (capacity(&settings) * replayed.load).round();
        println!(
            "{workers} workers and {gateways} gateways, {rate} events a second (load {:.2})",
            replayed.load
        );
        replayed.notes.iter().for_each(|line| println!("{line}"));
        (script_text, seconds) = (replayed.script, Some(replayed.seconds));
        text = with_rate(&text, rate)
            .ok_or_else(|| input(format!("{file}: fleet.clients.rate: must be told")))?;
        settings = tidewall_config::settings(&file, &text).map_err(input)?;
    }
    let script = tidewall_config::script(&script_file, &script_text).map_err(input)?;
    let faults = script.sections("fault");
    let amqp_fault = faults
        .iter()
        .find(|f| f.enum_value("trouble").starts_with("TERMINAL_"));
    if let Some(f) = amqp_fault.filter(|_| args.door != ClientProtocol::Amqp) {
        return Err(input(format!(
            "{script_file}: {}: needs --door amqp",
            f.field_path("trouble")
        )));
    }
    let seconds = args.seconds.or(seconds).unwrap_or(script.number("seconds"));
    if !(1.0..=3600.0).contains(&seconds) {
        return Err(input(format!(
            "--seconds: {seconds} is not within 1 to 3600"
        )));
    }
    let temporary = tempfile::tempdir().map_err(failed)?;
    let folder = args
        .keep
        .clone()
        .unwrap_or_else(|| temporary.path().to_path_buf());
    std::fs::create_dir_all(&folder).map_err(|e| input(format!("{}: {e}", folder.display())))?;
    let folder = folder.canonicalize().map_err(failed)?;
    let result = run_day(args, &settings, &text, &script, seconds, &folder);
    if result.is_err() && args.keep.is_none() {
        eprintln!(
            "record, settings and logs are kept in {}",
            temporary.keep().display()
        );
    }
    result
}

fn run_day(
    args: &Day,
    settings: &Section,
    text: &str,
    script: &Section,
    seconds: f64,
    folder: &Path,
) -> Result<(), Failure> {
    let failed = |e: std::io::Error| Failure::Run(e.to_string());
    let (config, record) = (folder.join("settings.txtpb"), folder.join("record.jsonl"));
    std::fs::write(&config, text).map_err(failed)?;
    let mut names: Vec<String> = settings
        .sections("gateway")
        .iter()
        .map(|g| g.text("name"))
        .collect();
    let mut configs = vec![config.clone(); names.len()];
    if args.pair {
        names.push(names[0].clone());
        configs.push(folder.join("peer.txtpb"));
        std::fs::write(&configs[1], peer_settings(text)).map_err(failed)?;
        std::fs::write(folder.join("pair.keys"), format!("1 {:064x}\n", args.seed))
            .map_err(failed)?;
    }
    let children = names.iter().map(|_| None).collect();
    let processes = GatewayProcesses {
        configs,
        pair: args.pair,
        folder: folder.to_path_buf(),
        names: names.clone(),
        seed: args.seed,
        children,
        start_count: 0,
    };
    let processes = std::rc::Rc::new(std::cell::RefCell::new(processes));
    let mut net = Mio::new().map_err(failed)?;
    net.signals(&[libc::SIGINT, libc::SIGTERM])
        .map_err(failed)?;
    let plan = Plan {
        seed: args.seed,
        seconds,
        clients: true,
        amqp: args.door == ClientProtocol::Amqp,
        record: Box::new(BufWriter::new(File::create(&record).map_err(failed)?)),
        gateways: Box::new(SharedProcesses(processes.clone())),
        checks_epochs: true,
        forgets_votes: false,
        checks_task_epochs: true,
        wild_clocks: false,
    };
    let mut fleet = Fleet::new(net, settings, Some(script), plan).map_err(input)?;
    (0..names.len()).for_each(|index| processes.borrow_mut().start(index));
    info!(seconds, seed = args.seed, "day started");
    let result = mio::run(&mut fleet).map_err(failed);
    let failed_gateways = processes.borrow_mut().stop();
    result?;
    fleet.flush();
    let lines = BufReader::new(File::open(&record).map_err(failed)?)
        .lines()
        .map_while(Result::ok);
    let audit = tidewall_audit::check(lines).map_err(|error| Failure::Run(error.to_string()))?;
    let (results, loads) = (fleet.results().clone(), fleet.loads());
    print_tables(&results, loads, &audit);
    if args.pair {
        print_pauses(fleet.outages(), &results, &audit);
    }
    if let Some(path) = &args.report {
        write_report(path, args.seed, seconds, &results, loads, &audit).map_err(failed)?;
    }
    if results.confirms_wrong > 0 {
        return Err(Failure::Run(format!(
            "{} confirms did not say what their answers said",
            results.confirms_wrong
        )));
    }
    if audit.breaches() > 0 {
        return Err(Failure::Run(format!(
            "{} breaches of the rules",
            audit.breaches()
        )));
    }
    if failed_gateways > 0 {
        return Err(Failure::Run(format!(
            "{failed_gateways} gateways did not end well"
        )));
    }
    Ok(())
}

/// Prints for how long clients of a pair could reach neither member.
fn print_pauses(pauses: &[u64], results: &Results, audit: &Audit) {
    // The first pause is the one until the gateways have started.
    let mut pauses = pauses.get(1..).unwrap_or(&[]).to_vec();
    pauses.sort_unstable();
    let quantile = |q: f64| {
        pauses
            .get(((pauses.len().max(1) - 1) as f64 * q) as usize)
            .map_or(0.0, |p| *p as f64 / 10.0)
    };
    println!(
        "{} pauses, ms: median {}, p99 {}, worst {}; {} events asked again, {} fell due while nobody could be reached",
        pauses.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        results.asked_again,
        audit.excused
    );
}

/// The figures of the table and of the report, in their order.
fn figures(r: &Results, loads: (u64, u64, u64)) -> Vec<(String, f64)> {
    let latency = |q: f64| r.latency.value_at_quantile(q) as f64 / 10.0;
    let ratio =
        |good: u64, all: u64| (good as f64 / all.max(1) as f64 * 10_000.0).round() / 10_000.0;
    let by_class = (0..r.names.len()).map(|i| {
        (
            format!("service of {}", r.names[i]),
            ratio(r.good[i], r.asked[i]),
        )
    });
    let totals = [
        ("events", r.events as f64),
        ("tries", r.tries as f64),
        ("handled", r.handled as f64),
        ("deferred", r.deferred as f64),
        ("dead-lettered", r.dead_lettered as f64),
        ("lapsed", r.lapsed as f64),
        ("turned away", r.turned_away as f64),
        ("lost with a killed gateway", r.broken as f64),
        ("gateway unreachable", r.unreachable as f64),
        ("confirms", r.confirms as f64),
        ("let go by terminals", r.given_up_requests as f64),
        ("published twice", r.duplicates as f64),
        ("further logins", r.extra_logins as f64),
        ("service", (r.service() * 10_000.0).round() / 10_000.0),
        ("latency p50, ms", latency(0.5)),
        ("latency p99, ms", latency(0.99)),
        ("latency p99.9, ms", latency(0.999)),
        ("loads", loads.0 as f64),
        ("misses", loads.1 as f64),
        ("repeats dropped by halls", loads.2 as f64),
    ];
    totals
        .into_iter()
        .map(|f| (f.0.to_string(), f.1))
        .chain(by_class)
        .collect()
}

/// A rule without any case was not tested, which is not reported as kept.
fn verdict(cases: u64, breaches: usize) -> &'static str {
    match (cases, breaches) {
        (_, 1..) => "BROKEN",
        (0, _) => "not put to the test",
        _ => "kept",
    }
}

fn print_tables(results: &Results, loads: (u64, u64, u64), audit: &Audit) {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_BORDERS_ONLY_CONDENSED);
    for (name, value) in figures(results, loads) {
        table.add_row([name, value.to_string()]);
    }
    println!("{table}");
    let mut table = Table::new();
    table.load_preset(presets::ASCII_BORDERS_ONLY_CONDENSED);
    table.set_header(["rule", "cases", "breaches", "verdict"]);
    for (i, v) in audit.verdicts.iter().enumerate() {
        let (cases, breaches) = (v.cases, v.breaches.len());
        let name = format!("{} {}", i + 1, RULES[i]);
        table.add_row([
            name,
            cases.to_string(),
            breaches.to_string(),
            verdict(cases, breaches).to_string(),
        ]);
    }
    println!("{table}");
    // Five breaches of each rule suffice here; the record contains all of them.
    for breach in audit
        .verdicts
        .iter()
        .flat_map(|v| v.breaches.iter().take(5))
    {
        println!("{breach}");
    }
}

fn write_report(
    path: &Path,
    seed: u64,
    seconds: f64,
    results: &Results,
    loads: (u64, u64, u64),
    audit: &Audit,
) -> std::io::Result<()> {
    let mut out = BufWriter::new(File::create(path)?);
    let mut line = |value: serde_json::Value| writeln!(out, "{value}");
    line(serde_json::json!({ "day": { "seed": seed, "seconds": seconds } }))?;
    for (name, value) in figures(results, loads) {
        line(serde_json::json!({ "figure": name, "value": value }))?;
    }
    for (i, v) in audit.verdicts.iter().enumerate() {
        let verdict = verdict(v.cases, v.breaches.len());
        line(serde_json::json!({
            "rule": i + 1, "says": RULES[i], "cases": v.cases, "breaches": v.breaches, "verdict": verdict,
        }))?;
    }
    out.flush()
}
