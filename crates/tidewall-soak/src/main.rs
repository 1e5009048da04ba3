//! The soak: gateways of the shipped program under faults that are drawn from a seed and overlap, judged by the rules from what
//! their clients, hosts and boards saw, and by the violations that they count themselves.
//!
//! A seed fixes the plan, which is printed where a rule is broken, and not the interleaving of the processes.
mod judge;
mod plan;
mod processes;
mod record;
mod settings;
mod wire;
mod world;

use clap::Parser;
use plan::{Plan, SECOND};
use record::Excuse;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use tidewall_net::mio;
use world::World;

/// Gateways under drawn, overlapping faults.
#[derive(Parser)]
struct Arguments {
    /// The seeds to play, one after the other: A..B, B not included.
    #[arg(long, default_value = "0..3")]
    seeds: String,
    /// Gateways, each a process.
    #[arg(long, default_value_t = 6)]
    gateways: usize,
    /// How long each seed is played.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Plans about a long outage of discovery, with drains, series of signals and crowds in it.
    #[arg(long)]
    outages: bool,
    /// Where the record of a failing seed is kept.
    #[arg(long, default_value = "target/soak")]
    records: String,
}

/// More gateways than this are not started: a few hundred processes at most.
const MAX_GATEWAYS: usize = 200;

/// What is left after the last call: the longest deadline, half a second, and the stop.
const AFTER: u64 = 8 * SECOND;

fn seeds(text: &str) -> Option<std::ops::Range<u64>> {
    let (from, to) = text.split_once("..")?;
    Some(from.parse().ok()?..to.parse().ok()?)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let Some(seeds) = seeds(&arguments.seeds) else {
        eprintln!("--seeds: '{}' is no range A..B", arguments.seeds);
        return ExitCode::from(2);
    };
    if !(1..=MAX_GATEWAYS).contains(&arguments.gateways) || arguments.seconds == 0 {
        eprintln!("--gateways: from 1 to {MAX_GATEWAYS}; --seconds: at least 1");
        return ExitCode::from(2);
    }
    let mut failed = 0;
    for seed in seeds {
        let draw = if arguments.outages {
            Plan::draw_outage
        } else {
            Plan::draw
        };
        let plan = draw(seed, arguments.gateways, arguments.seconds);
        match play(&plan, Path::new(&arguments.records)) {
            Ok(broken) => failed += u32::from(broken > 0),
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if failed > 0 {
        eprintln!("{failed} seeds broke a rule");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Plays one plan; gives how many rules were broken.
fn play(plan: &Plan, records: &Path) -> std::io::Result<usize> {
    let folder = tempfile::tempdir()?;
    let mut world = World::new(plan.clone(), folder.path())?;
    run_until(&mut world, |world| world.elapsed() >= plan.length)?;
    // Calls that are out are still answered.
    world.stop();
    let end = world.elapsed() + AFTER;
    run_until(&mut world, |world| {
        world.elapsed() >= end || world.has_ended()
    })?;
    let judged_at = world.now();
    let broken = judge::broken_rules(&world.record, judged_at);
    report(plan, &mut world, &broken);
    if !broken.is_empty() {
        keep(plan, &world, &broken, records)?;
    }
    Ok(broken.len())
}

/// Runs the event loop until it holds.
fn run_until(world: &mut World, mut holds: impl FnMut(&mut World) -> bool) -> std::io::Result<()> {
    world.resume();
    while !holds(world) {
        mio::turn(world)?;
    }
    world.pause();
    Ok(())
}

fn report(plan: &Plan, world: &mut World, broken: &[String]) {
    let record = &world.record;
    let answered = record
        .calls
        .iter()
        .filter(|call| !call.answers.is_empty())
        .count();
    let served = record
        .calls
        .iter()
        .flat_map(|call| &call.answers)
        .filter(|(_, w)| w == "OK")
        .count();
    let attempts: usize = record.calls.iter().map(|call| call.attempts.len()).sum();
    println!(
        "seed {}: {} gateways, {} calls a second, {} hosts a group, {} functions, waits of {:?} ms, {} of 10,000 system calls fail, {} faults; {} calls, {answered} \
         answered, {served} served, {attempts} attempts, {} load requests; excused: {} killed, {} crossed a close; own lag up to {}; \
         {} broken",
        plan.seed,
        plan.gateways,
        plan.rate,
        plan.group_size,
        plan.functions,
        plan.patience_ms,
        plan.call_failures,
        plan.faults.len(),
        record.calls.len(),
        record.load_requests.len(),
        judge::excused(record, Excuse::Killed),
        judge::excused(record, Excuse::CrossedClose),
        record.own_lag.iter().map(|(_, lag)| *lag).max().unwrap_or(0),
        broken.len()
    );
    for line in broken.iter().take(10) {
        println!("  {line}");
    }
    if !broken.is_empty() {
        println!("  plan: {:?}", plan.faults);
    }
}

/// Keeps the record of a failing seed: what was broken, and the gateways' logs.
fn keep(plan: &Plan, world: &World, broken: &[String], records: &Path) -> std::io::Result<()> {
    let folder = records.join(format!("seed-{}", plan.seed));
    std::fs::create_dir_all(&folder)?;
    let mut file = std::fs::File::create(folder.join("broken.txt"))?;
    writeln!(file, "{plan:?}")?;
    for line in broken {
        writeln!(file, "{line}")?;
    }
    for (number, gateway) in world.gateways.iter().enumerate() {
        std::fs::write(
            folder.join(format!("n{number}.log")),
            gateway.logged("").join("\n"),
        )?;
    }
    println!("  record kept in {}", folder.display());
    Ok(())
}
