//! Compares the timer wheel with a binary heap (with lazy cancellation) and a sorted map. Each iteration
//! cancels one timer, inserts one, advances by a tenth of a millisecond and reinserts the expired timers, so
//! that the number of timers is constant.
#![allow(clippy::unwrap_used, missing_docs)]
use criterion::{criterion_group, criterion_main, Bencher, BenchmarkId, Criterion};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::hint::black_box;
use tidewall_net::wheel::Wheel;

/// Expiries lie within four seconds, as most timers are deadlines of requests.
const SPAN: u64 = 40_000;

fn wheel(b: &mut Bencher, size: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (mut wheel, mut now, mut pending) = (Wheel::default(), 0, Vec::new());
    for i in 0..size {
        pending.push(wheel.insert(rng.random_range(1..SPAN), i));
    }
    b.iter(|| {
        now += 1;
        let index = rng.random_range(0..pending.len());
        wheel.cancel(pending[index]);
        pending[index] = wheel.insert(now + rng.random_range(1..SPAN), index as u64);
        while let Some(i) = wheel.pop(now) {
            pending[i as usize] = wheel.insert(now + rng.random_range(1..SPAN), i);
        }
        black_box(wheel.next_expiry())
    });
}

fn heap(b: &mut Bencher, size: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (mut heap, mut cancelled, mut now, mut pending) =
        (BinaryHeap::new(), HashSet::new(), 0, Vec::new());
    let mut id = size;
    for i in 0..size {
        heap.push(Reverse((rng.random_range(1..SPAN), i, i)));
        pending.push(i);
    }
    b.iter(|| {
        now += 1;
        let index = rng.random_range(0..pending.len());
        cancelled.insert(pending[index]);
        heap.push(Reverse((now + rng.random_range(1..SPAN), id, index as u64)));
        pending[index] = id;
        id += 1;
        while heap.peek().is_some_and(|entry| entry.0 .0 <= now) {
            let Reverse((_, entry_id, i)) = heap.pop().unwrap();
            if !cancelled.remove(&entry_id) {
                heap.push(Reverse((now + rng.random_range(1..SPAN), id, i)));
                pending[i as usize] = id;
                id += 1;
            }
        }
        black_box(heap.peek().map(|entry| entry.0 .0))
    });
}

fn btree(b: &mut Bencher, size: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (mut tree, mut now, mut pending) = (BTreeMap::new(), 0, Vec::new());
    let mut id = size;
    for i in 0..size {
        let expires_at = rng.random_range(1..SPAN);
        tree.insert((expires_at, i), i);
        pending.push((expires_at, i));
    }
    b.iter(|| {
        now += 1;
        let index = rng.random_range(0..pending.len());
        tree.remove(&pending[index]);
        pending[index] = (now + rng.random_range(1..SPAN), id);
        tree.insert(pending[index], index as u64);
        id += 1;
        while tree
            .first_key_value()
            .is_some_and(|entry| entry.0 .0 <= now)
        {
            let (_, i) = tree.pop_first().unwrap();
            pending[i as usize] = (now + rng.random_range(1..SPAN), id);
            tree.insert(pending[i as usize], i);
            id += 1;
        }
        black_box(tree.first_key_value().map(|entry| entry.0 .0))
    });
}

fn timers(c: &mut Criterion) {
    let mut group = c.benchmark_group("deadlines");
    for size in [1_000u64, 100_000, 1_000_000] {
        let id = BenchmarkId::new("wheel", size);
        group.bench_with_input(id, &size, |b, &size| wheel(b, size));
        let id = BenchmarkId::new("heap", size);
        group.bench_with_input(id, &size, |b, &size| heap(b, size));
        let id = BenchmarkId::new("btree", size);
        group.bench_with_input(id, &size, |b, &size| btree(b, size));
    }
    group.finish();
}

criterion_group!(benches, timers);
criterion_main!(benches);
