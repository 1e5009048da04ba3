//! `sim`: seeded runs of a pair, a site or a fleet on a virtual clock, one thread per core.
use crate::{input, Failure};
use clap::Args;
use comfy_table::{presets, Table};
use std::time::Instant;
use tidewall_sim::pair::{
    member_state_name, run, shrink, FaultKind, OmittedSafeguard, Report, Setup, MEMBER_STATES,
};
use tidewall_sim::{all, fleet, mutate, site};

#[derive(Args)]
pub struct Sim {
    /// A..B, B not among them, or one seed.
    #[arg(long, default_value = "0..200", value_name = "A..B")]
    seeds: String,
    /// How long clients send, in virtual seconds, 2 to 600.
    #[arg(long, default_value_t = 5.0, value_name = "N")]
    seconds: f64,
    /// Events a second, 1 to 10,000; left out: 120, with --fleet 40.
    #[arg(long, value_name = "N")]
    rate: Option<f64>,
    /// Leaves a guard out, to show that the audit notices.
    #[arg(long, value_enum, default_value_t = OmittedSafeguard::Nothing)]
    plant: OmittedSafeguard,
    /// Three gateways beside each other instead of a pair.
    #[arg(long, conflicts_with_all = ["plant", "only", "shrink"])]
    site: bool,
    /// With --site: each seed draws the settings too; --rate is then the most that clients send.
    #[arg(long, requires = "site")]
    shapes: bool,
    /// Several gateways with what they hold in common: leases, members, acts at workers.
    #[arg(long, conflicts_with_all = ["site", "plant", "only", "cover"])]
    fleet: bool,
    /// With --fleet: leaves a guard out, to show which net notices.
    #[arg(long, value_enum, requires = "fleet", default_value_t = fleet::OmittedSafeguard::Nothing)]
    left_out: fleet::OmittedSafeguard,
    /// With --fleet: one message of a run changed at a time. The first seed's smallest run in whole, then so
    /// many drawn changes of each seed's run.
    #[arg(long, requires = "fleet", conflicts_with = "shrink", value_name = "N", num_args = 0..=1, default_missing_value = "20")]
    mutate: Option<usize>,
    /// With --fleet: members, 3 to 50, and leases, 1 to 10,000.
    #[arg(long, requires = "fleet", default_value_t = 5, value_name = "N")]
    members: usize,
    #[arg(long, requires = "fleet", default_value_t = 6, value_name = "N")]
    leases: usize,
    /// Which states of both members were met together, by how many runs, and which never.
    #[arg(long, conflicts_with = "site")]
    cover: bool,
    /// Leaves troubles out of a single seed that breaks a rule, as long as it still does, and prints what is
    /// left.
    #[arg(long)]
    shrink: bool,
    /// One trouble of this kind in each run, and none of the workers'.
    #[arg(long, value_enum)]
    only: Option<FaultKind>,
    /// Where the record of a single seed goes, a JSON line each.
    #[arg(long, value_name = "FILE")]
    record: Option<std::path::PathBuf>,
    /// Each run in a line.
    #[arg(long)]
    each: bool,
}

fn parse_seeds(text: &str) -> Result<std::ops::Range<u64>, Failure> {
    let invalid = || input(format!("--seeds: '{text}' is neither a seed nor A..B"));
    match text.split_once("..") {
        Some((a, b)) => {
            let (a, b) = (
                a.parse().map_err(|_| invalid())?,
                b.parse().map_err(|_| invalid())?,
            );
            if a < b {
                Ok(a..b)
            } else {
                Err(invalid())
            }
        }
        None => text.parse().map(|a: u64| a..a + 1).map_err(|_| invalid()),
    }
}

fn print_coverage(reports: &[Report]) {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_BORDERS_ONLY_CONDENSED);
    let names = (0..MEMBER_STATES).map(member_state_name);
    table.set_header(std::iter::once("a, b").chain(names.clone()));
    let mut unmet = Vec::new();
    for a in 0..MEMBER_STATES {
        let runs = |b: usize| reports.iter().filter(|r| r.state_pairs[a][b]).count();
        unmet.extend(
            (0..MEMBER_STATES)
                .filter(|b| runs(*b) == 0)
                .map(|b| format!("{}/{}", member_state_name(a), member_state_name(b))),
        );
        table.add_row(
            std::iter::once(member_state_name(a).to_string())
                .chain((0..MEMBER_STATES).map(|b| runs(b).to_string())),
        );
    }
    println!(
        "{table}\nnever met together (member a/member b): {}",
        unmet.join(" ")
    );
}

pub fn sim(args: &Sim) -> Result<(), Failure> {
    let seeds = parse_seeds(&args.seeds)?;
    if !(2.0..=600.0).contains(&args.seconds) {
        return Err(input(format!(
            "--seconds: {} is not within 2 to 600",
            args.seconds
        )));
    }
    let rate = args.rate.unwrap_or(if args.fleet { 40.0 } else { 120.0 });
    if !(1.0..=10_000.0).contains(&rate) {
        return Err(input(format!("--rate: {rate} is not within 1 to 10000")));
    }
    if args.shrink && seeds.end != seeds.start + 1 {
        return Err(input("--shrink: a single seed is needed".to_string()));
    }
    if args.record.is_some() && seeds.end != seeds.start + 1 {
        return Err(input("--record: a single seed is needed".to_string()));
    }
    let keep = args.record.is_some();
    if args.shrink && !args.fleet {
        let seconds = args.seconds;
        let setup = Setup {
            omitted: args.plant,
            seconds,
            rate,
            ..Setup::new(seeds.start)
        };
        return match shrink(&setup) {
            None => Err(Failure::Run(format!("seed {} breaks no rule", seeds.start))),
            Some(remaining) => {
                remaining
                    .faults
                    .iter()
                    .for_each(|t| println!("({}, Trouble::{:?}),", t.0, t.1));
                print!("{}", remaining.script);
                remaining
                    .breaches
                    .iter()
                    .take(3)
                    .for_each(|b| println!("    {b}"));
                Ok(())
            }
        };
    }
    if args.fleet {
        return run_fleet(args, seeds, rate);
    }
    let started = Instant::now();
    let (seconds, omitted, only) = (args.seconds, args.plant, args.only);
    let reports = all(seeds, |seed| match args.site {
        true => site::play(&site::Setup {
            keep,
            shape: args.shapes,
            ..site::Setup::new(seed, seconds, rate)
        }),
        false => run(Setup {
            omitted,
            seconds,
            rate,
            keep,
            only,
            ..Setup::new(seed)
        }),
    });
    if let Some(path) = &args.record {
        let name = path.display();
        std::fs::write(path, &reports[0].record).map_err(|e| input(format!("{name}: {e}")))?;
    }
    for r in reports
        .iter()
        .filter(|r| args.each || !r.breaches.is_empty())
    {
        println!(
            "seed {}: {} events, {} handled, {} asked again, {} takeovers, {} excused, {} breaches, digest {:016x}",
            r.seed, r.events, r.handled, r.asked_again, r.takeovers, r.excused, r.breaches.len(), r.digest
        );
        r.breaches.iter().take(3).for_each(|b| println!("    {b}"));
        if !r.breaches.is_empty() {
            r.faults
                .iter()
                .for_each(|t| println!("    {:.1} ms: {:?}", t.0 as f64 / 10.0, t.1));
            r.script.lines().for_each(|l| println!("    {l}"));
        }
    }
    let sum = |f: fn(&Report) -> u64| reports.iter().map(f).sum::<u64>();
    let broken_runs = reports.iter().filter(|r| !r.breaches.is_empty()).count();
    let cases: Vec<u64> = (0..5)
        .map(|i| reports.iter().map(|r| r.cases[i]).sum())
        .collect();
    println!(
        "{} runs in {:.1} s: {} events, {} handled, {} asked again, {} takeovers, {} launches refused, {} excused, \
         {} steps",
        reports.len(),
        started.elapsed().as_secs_f64(),
        sum(|r| r.events),
        sum(|r| r.handled),
        sum(|r| r.asked_again),
        sum(|r| r.takeovers),
        sum(|r| r.refused),
        sum(|r| r.excused),
        sum(|r| r.steps)
    );
    let service = reports.iter().map(|r| r.service).sum::<f64>() / reports.len().max(1) as f64;
    println!("cases of rules 1 to 5: {cases:?}; mean service {service:.4}");
    if args.cover {
        print_coverage(&reports);
    }
    let mut pauses: Vec<u64> = reports
        .iter()
        .flat_map(|r| r.pauses.iter().copied())
        .collect();
    pauses.sort_unstable();
    if let Some(last) = pauses.last() {
        let quantile = |q: f64| pauses[((pauses.len() - 1) as f64 * q) as usize] as f64 / 10.0;
        println!(
            "{} pauses, ms: median {}, p90 {}, p99 {}, worst {}",
            pauses.len(),
            quantile(0.5),
            quantile(0.9),
            quantile(0.99),
            *last as f64 / 10.0
        );
    }
    if broken_runs > 0 {
        return Err(Failure::Run(format!("{broken_runs} runs broke a rule")));
    }
    Ok(())
}

fn run_fleet(args: &Sim, seeds: std::ops::Range<u64>, rate: f64) -> Result<(), Failure> {
    if !(3..=50).contains(&args.members) {
        return Err(input(format!(
            "--members: {} is not within 3 to 50",
            args.members
        )));
    }
    if !(1..=10_000).contains(&args.leases) {
        return Err(input(format!(
            "--leases: {} is not within 1 to 10000",
            args.leases
        )));
    }
    let (members, leases, omitted, keep) = (
        args.members,
        args.leases,
        args.left_out,
        args.record.is_some(),
    );
    let setup = |seed| fleet::Setup {
        members,
        leases,
        omitted,
        keep,
        rate,
        ..fleet::Setup::new(seed)
    };
    if let Some(count) = args.mutate {
        return run_mutations(args, seeds, count);
    }
    if args.shrink {
        return match fleet::shrink(&setup(seeds.start)) {
            None => Err(Failure::Run(format!("seed {} breaks no rule", seeds.start))),
            Some(remaining) => {
                remaining
                    .faults
                    .iter()
                    .for_each(|t| println!("({}, Trouble::{:?}),", t.0, t.1));
                remaining
                    .breaches
                    .iter()
                    .take(3)
                    .for_each(|b| println!("    {b}"));
                Ok(())
            }
        };
    }
    let started = Instant::now();
    let reports = all(seeds, |seed| fleet::run(setup(seed)));
    if let Some(path) = &args.record {
        let name = path.display();
        std::fs::write(path, &reports[0].record).map_err(|e| input(format!("{name}: {e}")))?;
    }
    for r in reports
        .iter()
        .filter(|r| args.each || !r.breaches.is_empty())
    {
        println!(
            "seed {}: {} events, {} handled, {} acts, {} changes, {} datagrams, {} refused, idle {} ms, {} breaches, wild \
             clocks {}, digest {:016x}",
            r.seed,
            r.events,
            r.handled,
            r.acts,
            r.changes,
            r.datagrams,
            r.refused,
            r.idle / 10,
            r.breaches.len(),
            r.clocks_beyond_bound,
            r.digest
        );
        r.breaches.iter().take(3).for_each(|b| println!("    {b}"));
        if !r.breaches.is_empty() {
            r.faults
                .iter()
                .for_each(|t| println!("    {:.1} ms: {:?}", t.0 as f64 / 10.0, t.1));
        }
    }
    let sum = |f: fn(&fleet::Report) -> u64| reports.iter().map(f).sum::<u64>();
    let broken_runs = reports.iter().filter(|r| !r.breaches.is_empty()).count();
    let cases: Vec<u64> = (0..6)
        .map(|i| reports.iter().map(|r| r.cases[i]).sum())
        .collect();
    println!(
        "{} runs in {:.1} s: {} events, {} handled, {} acts, {} changes of holder, {} datagrams, {} refused, {} messages \
         found a channel full, {} steps",
        reports.len(),
        started.elapsed().as_secs_f64(),
        sum(|r| r.events),
        sum(|r| r.handled),
        sum(|r| r.acts),
        sum(|r| r.changes),
        sum(|r| r.datagrams),
        sum(|r| r.refused),
        sum(|r| r.full),
        sum(|r| r.steps)
    );
    let worst = reports.iter().map(|r| r.idle).max().unwrap_or(0);
    println!(
        "cases of rules 1 to 6: {cases:?}; all held at most {} ms after the troubles",
        worst / 10
    );
    if broken_runs > 0 {
        return Err(Failure::Run(format!("{broken_runs} runs broke a rule")));
    }
    Ok(())
}

fn run_mutations(args: &Sim, seeds: std::ops::Range<u64>, count: usize) -> Result<(), Failure> {
    let (started, omitted) = (Instant::now(), args.left_out);
    const PART_COUNT: u64 = 60;
    let smallest = fleet::Setup {
        omitted,
        ..fleet::Setup::smallest(seeds.start)
    };
    let mut exhaustive = mutate::Table::default();
    all(0..PART_COUNT, |part| {
        mutate::exhaustive(&smallest, part as usize, PART_COUNT as usize)
    })
    .into_iter()
    .for_each(|t| exhaustive.merge(t));
    let mut drawn = mutate::Table::default();
    all(seeds, |seed| {
        mutate::drawn(
            &fleet::Setup {
                omitted,
                ..fleet::Setup::new(seed)
            },
            count,
        )
    })
    .into_iter()
    .for_each(|t| drawn.merge(t));
    for (title, table) in [
        ("smallest run, every message and mutation", &exhaustive),
        ("drawn", &drawn),
    ] {
        println!("{title}: {} messages, {} runs", table.messages, table.runs);
        if args.each {
            let mut printed = Table::new();
            printed.load_preset(presets::ASCII_BORDERS_ONLY_CONDENSED);
            let names = mutate::Outcome::ALL.map(|o| o.name());
            printed.set_header(["message", "mutation"].into_iter().chain(names));
            for ((kind, m), counts) in &table.counts {
                let row = [kind.to_string(), m.to_string()].into_iter();
                printed.add_row(row.chain(counts.iter().map(|c| c.to_string())));
            }
            println!("{printed}");
        }
        let total = |i: usize| table.counts.values().map(|c| c[i]).sum::<usize>();
        let totals: Vec<String> = mutate::Outcome::ALL
            .iter()
            .map(|o| format!("{} {}", total(*o as usize), o.name()))
            .collect();
        println!("    {}", totals.join(", "));
        for (seed, at, m, what) in table.broken.iter().take(5) {
            println!("    seed {seed}, message {at}, {m:?}: {what}");
        }
    }
    println!("{:.1} s", started.elapsed().as_secs_f64());
    let broken_runs = exhaustive.broken.len() + drawn.broken.len();
    if broken_runs > 0 {
        return Err(Failure::Run(format!("{broken_runs} runs broke a rule")));
    }
    Ok(())
}
