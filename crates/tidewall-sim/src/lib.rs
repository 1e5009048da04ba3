//! Runs of the shipped network code on a virtual clock, each from one seed: `pair` is two gateways behind one address
//! with a stand-in fleet, `site` three gateways beside each other, troubled as drawn, or a site of a shape that `shape` draws.
//! The same seed gives the same run, step for step.
pub mod fleet;
pub mod mutate;
pub mod pair;
pub mod shape;
pub mod site;

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// One run for each seed, a thread for each core; the reports in the order of their seeds.
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
                    .expect("no thread panics while it holds this")
                    .push((seed, report));
            });
        }
    });
    let mut reports: Vec<(u64, R)> = reports.into_inner().expect("all threads are done");
    reports.sort_by_key(|r| r.0);
    reports.into_iter().map(|r| r.1).collect()
}
