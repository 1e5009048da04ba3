//! Generates the settings of a site from a seed, over a range far wider than any deployment: numbers of
//! gateways, zones and workers, target times from 30 ms to 30 s, load times from milliseconds to longer than
//! clients wait, all request classes, and limits of every kind.
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

/// Names of the request classes, and their redelivery settings.
const REQUEST_CLASSES: [(&str, &str); 3] = [
    ("check", "REDELIVERABLE"),
    ("record", "KEYED"),
    ("issue", "AT_MOST_ONCE"),
];

/// Draws a value between two bounds, uniformly distributed in its logarithm.
fn draw_log_uniform(rng: &mut ChaCha8Rng, least: f64, greatest: f64) -> f64 {
    least * (greatest / least).powf(rng.random())
}

fn choose<T: Copy>(rng: &mut ChaCha8Rng, values: &[T]) -> T {
    *values.choose(rng).expect("there is at least one value")
}

/// Returns the text of the settings. Clients send between 0.1 and 1.2 times the requests that the workers can
/// execute, but at most `max_rate` a second.
pub fn draw(seed: u64, max_rate: f64) -> String {
    let rng = &mut ChaCha8Rng::seed_from_u64(seed ^ 0x5a9e);
    let mut text = String::new();
    let zones = rng.random_range(1..=3);
    let gateways = choose(rng, &[1, 2, 3, 5, 8, 12]);
    let workers = choose(rng, &[1, 2, 3, 8, 30]);
    let cores = choose(rng, &[1, 2, 4, 32]);
    // With a target time under 30 ms, four round trips over a path of a few milliseconds would leave no time
    // to execute.
    let target_time_ms = draw_log_uniform(rng, 30.0, 30_000.0);
    let max_age_ms = target_time_ms * draw_log_uniform(rng, 1.5, 4.0);
    let work_ms = (target_time_ms * draw_log_uniform(rng, 0.01, 0.6)).max(0.1);
    let load_ms = draw_log_uniform(rng, 5.0, 15_000.0);
    let memory_mb = choose(rng, &[150, 900, 20_000]);
    // Writing to a String cannot fail, so the results are ignored.
    for g in 0..gateways {
        let _ = writeln!(
            text,
            "gateway {{ name: \"g{g}\" address: \"127.0.0.1:{}\" zone: \"h{}\" }}",
            700 + g,
            g % zones
        );
    }
    let zone_names: Vec<String> = (0..zones).map(|h| format!("\"h{h}\"")).collect();
    let _ = writeln!(
        text,
        "roster {{ address: \"127.0.0.1:790\" pushed: {} }}",
        rng.random::<bool>()
    );
    let _ = writeln!(
        text,
        "zone: [{}]\nkind {{ name: \"k\" memory_mb: {memory_mb} }}",
        zone_names.join(", ")
    );
    if rng.random() {
        let _ = writeln!(
            text,
            "tenant {{ name: \"depot-a\" quota_per_s: {} }}",
            choose(rng, &[0.5, 40.0, 1e6])
        );
    }
    for (name, redelivery) in REQUEST_CLASSES {
        let _ = write!(text, "event_type {{ name: \"{name}\" target_time_ms: {target_time_ms:.1} max_age_ms: {max_age_ms:.1} redelivery: {redelivery}");
        if redelivery == "KEYED" {
            let (group, window) = (
                choose(rng, &["ALL", "ZONE", "CELL"]),
                max_age_ms * choose(rng, &[0.1, 1.0, 5.0]),
            );
            // Attempts that wait at a hung worker execute seconds late, and the audit measures the window
            // from then.
            let window = window.max(4_000.0);
            let _ = write!(text, " group: {group} window_ms: {window:.1}");
        }
        let _ = writeln!(
            text,
            " target_stretch: {} benefit: {} }}",
            choose(rng, &[0.0, 2.0]),
            choose(rng, &[0.5, 1.0, 20.0])
        );
    }
    let (two_at_once, max_launches) = (rng.random::<bool>(), choose(rng, &[1, 3, 8]));
    let (probes, most_come_back_ms) = (rng.random::<bool>(), choose(rng, &[0.0, 100.0, 60_000.0]));
    let _ = writeln!(text, "limits {{ two_at_once: {two_at_once} max_launches: {max_launches} probes: {probes} most_come_back_ms: {most_come_back_ms} }}");
    let stays_loaded_ms = choose(rng, &[300.0, 8_000.0, 300_000.0]);
    // Load requests that wait at a hung worker for longer than a window are a known gap
    // (docs/design/fleet.md).
    let (window, free) = (
        choose(rng, &[0.0, 10_000.0, 60_000.0]),
        choose(rng, &[0, 4, 100]),
    );
    let (miss, share) = (rng.random_ratio(2, 3), choose(rng, &[0.05, 0.2, 2.0]));
    let _ = writeln!(
        text,
        "loading {{ stays_loaded_ms: {stays_loaded_ms} window_ms: {window} free: {free} share: {share} miss: {miss} order_time_out_ms: {} }}",
        (load_ms * 4.0).max(1_000.0)
    );
    let cold_ms = choose(rng, &[0.0, 3_000.0, 60_000.0]);
    let (cold_from, fall_multiple, fall_ms) = (
        choose(rng, &[0.1, 0.4]),
        choose(rng, &[1.5, 3.0]),
        choose(rng, &[500.0, 2_000.0]),
    );
    let _ = writeln!(
        text,
        "rules {{ cold_from: {cold_from} cold_ms: {cold_ms} fall_multiple: {fall_multiple} fall_ms: {fall_ms} }}"
    );
    let (with_answers, in_flight) = (rng.random::<bool>(), rng.random::<bool>());
    let _ = writeln!(
        text,
        "reports {{ with_answers: {with_answers} in_flight: {in_flight} busy: true }}\nfleet {{"
    );
    for w in 0..workers {
        let _ = writeln!(
            text,
            "  workers {{ name: \"w{w}-\" count: 1 zone: \"h{}\" kind: \"k\" cores: {cores} queue: 64 }}",
            w % zones
        );
    }
    for (name, _) in REQUEST_CLASSES {
        let (count, lanes) = (rng.random_range(1..8), choose(rng, &[1, 2, 8]));
        let _ = writeln!(
            text,
            "  programs {{ name: \"{name}-p\" count: {count} event_type: \"{name}\" work_ms: {work_ms:.1} memory_mb: 100 fetch_ms: {:.1} \
             start_ms: {:.1} lanes: {lanes} }}",
            load_ms * 0.7,
            load_ms * 0.3
        );
    }
    let capacity = f64::from(workers * cores) * 1_000.0 / work_ms;
    let rate = (capacity * choose(rng, &[0.1, 0.4, 1.2])).clamp(0.5, max_rate);
    let (retries, wait_ms) = (
        rng.random_range(0..3),
        (target_time_ms / 5.0).clamp(5.0, 5_000.0),
    );
    let _ = writeln!(
        text,
        "  clients {{ rate: {rate:.2} connections: 2 retries: {retries} wait_ms: {wait_ms:.1} patience: 0.8 front_ms: 1000 payload: 64 }}\n  \
         roster_late_ms: {}\n  silent_notice_ms: 5000\n}}",
        choose(rng, &[50.0, 700.0, 3_000.0])
    );
    text
}
