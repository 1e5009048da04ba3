//! The soak test: runs gateway processes of the shipped program under overlapping faults that are drawn from
//! a seed. It checks the rules from what the clients, hosts and discovery servers observed, and from the
//! violations that the gateways count.
//!
//! A seed determines the plan, which is printed if a rule is broken, but not the interleaving of the
//! processes.
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
use world::Harness;

/// Gateways under drawn, overlapping faults.
#[derive(Parser)]
struct Arguments {
    /// The seeds to run, one after the other: A..B, B not included.
    #[arg(long, default_value = "0..3")]
    seeds: String,
    /// Gateways, each a process.
    #[arg(long, default_value_t = 6)]
    gateways: usize,
    /// How many seconds each seed runs.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Draw plans about a long outage of discovery, with drains, series of signals and load peaks in it.
    #[arg(long)]
    outages: bool,
    /// Where the record of a failing seed is kept.
    #[arg(long, default_value = "target/soak")]
    records: String,
}

/// The largest number of gateways, which keeps the soak to a few hundred processes.
const MAX_GATEWAYS: usize = 200;

/// How long the soak waits after the last call, in tenths of a millisecond: for the longest deadline, half a
/// second for late answers, and the gateways' shutdown.
const SETTLE_TIME: u64 = 8 * SECOND;

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
        match run_plan(&plan, Path::new(&arguments.records)) {
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

/// Runs one plan; returns the number of broken rules.
fn run_plan(plan: &Plan, records: &Path) -> std::io::Result<usize> {
    let folder = tempfile::tempdir()?;
    let mut harness = Harness::new(plan.clone(), folder.path())?;
    run_until(&mut harness, |harness| harness.elapsed() >= plan.length)?;
    // Gateways still answer open calls after they were told to stop.
    harness.stop();
    let end = harness.elapsed() + SETTLE_TIME;
    run_until(&mut harness, |harness| {
        harness.elapsed() >= end || harness.has_ended()
    })?;
    let checked_at = harness.now();
    let broken = judge::broken_rules(&harness.record, checked_at);
    report(plan, &mut harness, &broken);
    if !broken.is_empty() {
        keep_record(plan, &harness, &broken, records)?;
    }
    Ok(broken.len())
}

/// Runs the event loop until the condition holds.
fn run_until(
    harness: &mut Harness,
    mut condition: impl FnMut(&mut Harness) -> bool,
) -> std::io::Result<()> {
    harness.resume();
    while !condition(harness) {
        mio::turn(harness)?;
    }
    harness.pause();
    Ok(())
}

fn report(plan: &Plan, harness: &mut Harness, broken: &[String]) {
    let record = &harness.record;
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

/// Writes the record of a failing seed: the plan, the broken rules, and the gateways' logs.
fn keep_record(
    plan: &Plan,
    harness: &Harness,
    broken: &[String],
    records: &Path,
) -> std::io::Result<()> {
    let folder = records.join(format!("seed-{}", plan.seed));
    std::fs::create_dir_all(&folder)?;
    let mut broken_file = std::fs::File::create(folder.join("broken.txt"))?;
    writeln!(broken_file, "{plan:?}")?;
    for line in broken {
        writeln!(broken_file, "{line}")?;
    }
    for (number, gateway) in harness.gateways.iter().enumerate() {
        std::fs::write(
            folder.join(format!("n{number}.log")),
            gateway.log_lines("").join("\n"),
        )?;
    }
    println!("  record kept in {}", folder.display());
    Ok(())
}
