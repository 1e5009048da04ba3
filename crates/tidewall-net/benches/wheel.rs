//! The wheel against a binary heap (with lazy cancelling) and a BTreeMap: one insert, one cancel and one
//! "advance a tenth and take what is due" at a steady number of deadlines.
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::hint::black_box;
use tidewall_net::wheel::Wheel;

/// Four seconds: the max age of an event is the usual deadline.
const SPAN: u64 = 40_000;

fn wheels(c: &mut Criterion) {
    let mut group = c.benchmark_group("deadlines");
    for size in [1_000u64, 100_000, 1_000_000] {
        group.bench_with_input(BenchmarkId::new("wheel", size), &size, |b, &size| {
            let mut chance = ChaCha8Rng::seed_from_u64(7);
            let (mut wheel, mut now, mut held) = (Wheel::default(), 0, Vec::new());
            for i in 0..size {
                held.push(wheel.insert(chance.random_range(1..SPAN), i));
            }
            b.iter(|| {
                now += 1;
                let at = chance.random_range(0..held.len());
                wheel.cancel(held[at]);
                held[at] = wheel.insert(now + chance.random_range(1..SPAN), at as u64);
                while let Some(i) = wheel.pop(now) {
                    held[i as usize] = wheel.insert(now + chance.random_range(1..SPAN), i);
                }
                black_box(wheel.next_expiry())
            });
        });
        group.bench_with_input(BenchmarkId::new("heap", size), &size, |b, &size| {
            let mut chance = ChaCha8Rng::seed_from_u64(7);
            let (mut heap, mut dead, mut now, mut held) =
                (BinaryHeap::new(), HashSet::new(), 0, Vec::new());
            let mut id = size;
            for i in 0..size {
                heap.push(Reverse((chance.random_range(1..SPAN), i, i)));
                held.push(i);
            }
            b.iter(|| {
                now += 1;
                let at = chance.random_range(0..held.len());
                dead.insert(held[at]);
                heap.push(Reverse((now + chance.random_range(1..SPAN), id, at as u64)));
                held[at] = id;
                id += 1;
                while heap.peek().is_some_and(|d| d.0 .0 <= now) {
                    let Reverse((_, own, i)) = heap.pop().unwrap();
                    if !dead.remove(&own) {
                        heap.push(Reverse((now + chance.random_range(1..SPAN), id, i)));
                        held[i as usize] = id;
                        id += 1;
                    }
                }
                black_box(heap.peek().map(|d| d.0 .0))
            });
        });
        group.bench_with_input(BenchmarkId::new("btree", size), &size, |b, &size| {
            let mut chance = ChaCha8Rng::seed_from_u64(7);
            let (mut tree, mut now, mut held) = (BTreeMap::new(), 0, Vec::new());
            let mut id = size;
            for i in 0..size {
                let at = chance.random_range(1..SPAN);
                tree.insert((at, i), i);
                held.push((at, i));
            }
            b.iter(|| {
                now += 1;
                let at = chance.random_range(0..held.len());
                tree.remove(&held[at]);
                held[at] = (now + chance.random_range(1..SPAN), id);
                tree.insert(held[at], at as u64);
                id += 1;
                while tree.first_key_value().is_some_and(|d| d.0 .0 <= now) {
                    let (_, i) = tree.pop_first().unwrap();
                    held[i as usize] = (now + chance.random_range(1..SPAN), id);
                    tree.insert(held[i as usize], i);
                    id += 1;
                }
                black_box(tree.first_key_value().map(|d| d.0 .0))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, wheels);
criterion_main!(benches);
