//! Deterministic simulation of the production code on a virtual clock and network. Everything random in a run
//! is drawn from its seed, so the same seed gives the same run, step for step.
//!
//! | module | what it simulates |
//! | --- | --- |
//! | `pair` | two gateways behind one address, with emulated workers and clients |
//! | `site` | three independent gateways with randomly chosen faults, or a site with generated settings |
//! | `shape` | generator of a site's settings |
//! | `fleet` | the leases of several gateways |
//! | `mutate` | lease runs with one message changed |
pub mod fleet;
pub mod mutate;
pub mod pair;
pub mod shape;
pub mod site;

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Calls `run` once for each seed, with one thread per core, and returns the reports in the order of the
/// seeds.
pub fn all<R: Send>(seeds: Range<u64>, run: impl Fn(u64) -> R + Sync) -> Vec<R> {
    let (next, reports) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let report = run(seed);
                reports
                    .lock()
                    .expect("no thread panics while it holds the lock")
                    .push((seed, report));
            });
        }
    });
    let mut reports: Vec<(u64, R)> = reports.into_inner().expect("all threads are done");
    reports.sort_by_key(|r| r.0);
    reports.into_iter().map(|r| r.1).collect()
}
