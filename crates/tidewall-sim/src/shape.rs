//! Settings of a site, drawn from a seed far beyond any deployment: how many gateways, halls and workers, target times from
//! thirty milliseconds to half a minute, loads of milliseconds or longer than clients wait, every kind of event and ration.
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

/// Names of drawn event types, and how each may be repeated.
const TYPES: [(&str, &str); 3] = [
    ("check", "REDELIVERABLE"),
    ("record", "KEYED"),
    ("issue", "AT_MOST_ONCE"),
];

/// Between two values, evenly in their logarithms.
fn between(chance: &mut ChaCha8Rng, least: f64, most: f64) -> f64 {
    least * (most / least).powf(chance.random())
}

fn one<T: Copy>(chance: &mut ChaCha8Rng, of: &[T]) -> T {
    *of.choose(chance).expect("there is one")
}

/// The text of the settings. Clients send a part of what the drawn workers can do, `most` events a second at most.
pub fn draw(seed: u64, most: f64) -> String {
    let c = &mut ChaCha8Rng::seed_from_u64(seed ^ 0x5a9e);
    let mut text = String::new();
    let halls = c.random_range(1..=3);
    let gateways = one(c, &[1, 2, 3, 5, 8, 12]);
    let workers = one(c, &[1, 2, 3, 8, 30]);
    let cores = one(c, &[1, 2, 4, 32]);
    // Thirty milliseconds are the least that a path of some milliseconds, there and back four times, leaves a chance.
    let target = between(c, 30.0, 30_000.0);
    let age = target * between(c, 1.5, 4.0);
    let work = (target * between(c, 0.01, 0.6)).max(0.1);
    let load = between(c, 5.0, 15_000.0);
    let memory = one(c, &[150, 900, 20_000]);
    // Writing to a String cannot fail.
    for g in 0..gateways {
        let _ = writeln!(
            text,
            "gateway {{ name: \"g{g}\" address: \"127.0.0.1:{}\" zone: \"h{}\" }}",
            700 + g,
            g % halls
        );
    }
    let names: Vec<String> = (0..halls).map(|h| format!("\"h{h}\"")).collect();
    let _ = writeln!(
        text,
        "roster {{ address: \"127.0.0.1:790\" pushed: {} }}",
        c.random::<bool>()
    );
    let _ = writeln!(
        text,
        "zone: [{}]\nkind {{ name: \"k\" memory_mb: {memory} }}",
        names.join(", ")
    );
    if c.random() {
        let _ = writeln!(
            text,
            "tenant {{ name: \"depot-a\" quota_per_s: {} }}",
            one(c, &[0.5, 40.0, 1e6])
        );
    }
    for (name, kind) in TYPES {
        let _ = write!(text, "event_type {{ name: \"{name}\" target_time_ms: {target:.1} max_age_ms: {age:.1} redelivery: {kind}");
        if kind == "KEYED" {
            let (group, window) = (
                one(c, &["ALL", "ZONE", "CELL"]),
                age * one(c, &[0.1, 1.0, 5.0]),
            );
            // What lies at a worker that hangs comes whole seconds late, and the audit counts from there.
            let window = window.max(4_000.0);
            let _ = write!(text, " group: {group} window_ms: {window:.1}");
        }
        let _ = writeln!(
            text,
            " target_stretch: {} benefit: {} }}",
            one(c, &[0.0, 2.0]),
            one(c, &[0.5, 1.0, 20.0])
        );
    }
    let (twice, launches) = (c.random::<bool>(), one(c, &[1, 3, 8]));
    let (probes, back) = (c.random::<bool>(), one(c, &[0.0, 100.0, 60_000.0]));
    let _ = writeln!(text, "limits {{ two_at_once: {twice} max_launches: {launches} probes: {probes} most_come_back_ms: {back} }}");
    let keep = one(c, &[300.0, 8_000.0, 300_000.0]);
    // Orders that lie at a worker that hangs for longer than a window are a known gap (docs/design/fleet.md).
    let (window, free) = (one(c, &[0.0, 10_000.0, 60_000.0]), one(c, &[0, 4, 100]));
    let (miss, share) = (c.random_ratio(2, 3), one(c, &[0.05, 0.2, 2.0]));
    let _ = writeln!(
        text,
        "loading {{ stays_loaded_ms: {keep} window_ms: {window} free: {free} share: {share} miss: {miss} order_time_out_ms: {} }}",
        (load * 4.0).max(1_000.0)
    );
    let cold = one(c, &[0.0, 3_000.0, 60_000.0]);
    let (from, multiple, span) = (
        one(c, &[0.1, 0.4]),
        one(c, &[1.5, 3.0]),
        one(c, &[500.0, 2_000.0]),
    );
    let _ = writeln!(
        text,
        "rules {{ cold_from: {from} cold_ms: {cold} fall_multiple: {multiple} fall_ms: {span} }}"
    );
    let (answers, flight) = (c.random::<bool>(), c.random::<bool>());
    let _ = writeln!(
        text,
        "reports {{ with_answers: {answers} in_flight: {flight} busy: true }}\nfleet {{"
    );
    for w in 0..workers {
        let _ = writeln!(
            text,
            "  workers {{ name: \"w{w}-\" count: 1 zone: \"h{}\" kind: \"k\" cores: {cores} queue: 64 }}",
            w % halls
        );
    }
    for (name, _) in TYPES {
        let (count, lanes) = (c.random_range(1..8), one(c, &[1, 2, 8]));
        let _ = writeln!(
            text,
            "  programs {{ name: \"{name}-p\" count: {count} event_type: \"{name}\" work_ms: {work:.1} memory_mb: 100 fetch_ms: {:.1} \
             start_ms: {:.1} lanes: {lanes} }}",
            load * 0.7,
            load * 0.3
        );
    }
    let can = f64::from(workers * cores) * 1_000.0 / work;
    let rate = (can * one(c, &[0.1, 0.4, 1.2])).clamp(0.5, most);
    let (retries, wait) = (c.random_range(0..3), (target / 5.0).clamp(5.0, 5_000.0));
    let _ = writeln!(
        text,
        "  clients {{ rate: {rate:.2} connections: 2 retries: {retries} wait_ms: {wait:.1} patience: 0.8 front_ms: 1000 payload: 64 }}\n  \
         roster_late_ms: {}\n  silent_notice_ms: 5000\n}}",
        one(c, &[50.0, 700.0, 3_000.0])
    );
    text
}
