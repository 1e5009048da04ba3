//! Randomly drawn settings, fleets and loads, over wide ranges.
use super::super::help::*;
use super::super::*;

/// A function: its class, run time and load time, and the number of lanes.
#[derive(Clone, Copy)]
pub(super) struct SimulatedFunction {
    pub(super) class: usize,
    pub(super) run: f64,
    pub(super) load_time: Time,
    pub(super) lanes: u32,
}

/// Settings, a fleet and its load, drawn from a seed.
pub(super) struct Shape {
    pub(super) settings: Settings,
    pub(super) planted_fault: Option<&'static str>,
    pub(super) seed: u64,
    pub(super) gateways: usize,
    pub(super) simulated_gateways: usize,
    pub(super) workers: usize,
    pub(super) cores: f64,
    pub(super) objective: f64,
    pub(super) client_timeout: f64,
    pub(super) keep_alive: Time,
    pub(super) functions: Vec<SimulatedFunction>,
    pub(super) zones: u32,
    pub(super) arrival_gap: f64,
    pub(super) duration: Time,
    pub(super) without_faults: bool,
}

pub(super) fn pick<T: Clone>(random: &mut RandomGenerator, of: &[T]) -> T {
    of[random.below(of.len() as u32) as usize].clone()
}

/// Draws a value between two bounds, uniformly on a logarithmic scale.
pub(super) fn log_uniform(random: &mut RandomGenerator, low: f64, high: f64) -> f64 {
    low * (high / low).powf(f64::from(random.below(10_000)) / 10_000.0)
}

impl Shape {
    pub(super) fn draw(seed: u64) -> Shape {
        let random = &mut RandomGenerator::new(seed.wrapping_mul(77) + 5);
        let objective = log_uniform(random, 20.0, 600_000.0);
        let client_timeout = objective * log_uniform(random, 1.2, 6.0);
        let gateways = pick(random, &[1, 2, 3, 5, 7, 8, 12, 30, 120, 350]);
        let simulated_gateways = gateways.min(3);
        let workers = pick(random, &[1, 2, 3, 5, 12, 40, 120, 400]);
        let cores = pick(random, &[1.0, 2.0, 4.0, 16.0, 64.0]);
        let keep_alive = (pick(random, &[0.2, 1.0, 10.0, 300.0]) * 10_000.0) as Time;
        let load = log_uniform(random, 5.0, 60_000.0);
        let run = objective * log_uniform(random, 0.005, 0.5);
        let count = 1 + random.below(8) as usize;
        let functions: Vec<SimulatedFunction> = (0..count)
            .map(|function_id| SimulatedFunction {
                class: function_id % 3,
                run: (run * log_uniform(random, 0.5, 2.0) * 10.0).max(10.0),
                load_time: (load * log_uniform(random, 0.7, 1.4) * 10.0) as Time,
                lanes: pick(random, &[1, 2, 4, 16]),
            })
            .collect();
        let settings = draw_settings(random, (objective, client_timeout), gateways, keep_alive);
        // Load at a fraction of the fleet's capacity, with as many requests as can be simulated quickly.
        let capacity = workers as f64 * cores / (run * 10.0);
        let load_fraction = pick(random, &[0.05, 0.3, 0.7]) * simulated_gateways as f64 / gateways as f64;
        let share = (capacity * load_fraction).min(0.05);
        let duration = (300.0 / share).max(4.0 * objective * 10.0) as Time + 3 * (load * 10.0) as Time;
        let arrival_gap = 1.0 / share.max(1.0 / (duration as f64 / 150.0)).min(400.0 / duration as f64);
        let zones = pick(random, &[1, 2, 3]);
        let without_faults = random.below(3) == 0;
        Shape {
            settings,
            planted_fault: None,
            seed,
            gateways,
            simulated_gateways,
            workers,
            cores,
            objective,
            client_timeout,
            keep_alive,
            functions,
            zones,
            arrival_gap,
            duration,
            without_faults,
        }
    }

    pub(super) fn describe(&self) -> String {
        let Shape { gateways, workers, cores, objective, client_timeout, keep_alive, functions, .. } = self;
        let function = functions[0];
        format!(
            "seed {}: {gateways} gateways, {workers} workers of {cores} cores, \
             objective {objective:.0} of {client_timeout:.0} ms, run {:.0}, load {}, keep {}, \
             lanes {}, {} functions, gap {:.0} ms, {}",
            self.seed,
            function.run / 10.0,
            function.load_time / 10,
            keep_alive / 10,
            function.lanes,
            functions.len(),
            self.arrival_gap / 10.0,
            if self.without_faults { "without faults" } else { "with faults" }
        )
    }
}

/// Settings that a deployment may leave out.
const OPTIONAL: [&str; 11] = [
    "extra.stays-loaded-ms",
    "rules.tip-multiple",
    "rules.overload-for-ms",
    "rules.cold-from",
    "allowed.max-attempts",
    "allowed.max-retry-after-ms",
    "classes.0.worth",
    "classes.1.window-ms",
    "over-share-worth",
    "tenants.0.quota-per-s",
    "siblings",
];

/// Draws settings far beyond any deployment. Now and then a setting is left out.
fn draw_settings(
    random: &mut RandomGenerator,
    (objective, client_timeout): (f64, f64),
    gateways: usize,
    keep_alive: Time,
) -> Settings {
    let window = pick(random, &[0.0, 0.0, 1_000.0, 10_000.0, 600_000.0]);
    let mut s = settings(&[]);
    let mut set_number = |key: &str, value: f64| s.insert(key.to_string(), value.to_string());
    for i in 0..3 {
        set_number(&format!("classes.{i}.aim-ms"), objective);
        set_number(&format!("classes.{i}.deadline-ms"), client_timeout);
    }
    set_number("classes.1.window-ms", pick(random, &[0.1, 0.5, 3.0]) * client_timeout);
    set_number("siblings", gateways as f64);
    set_number("extra.stays-loaded-ms", keep_alive as f64 / 10.0);
    set_number("extra.load-window-ms", window);
    set_number("extra.free-loads", pick(random, &[0.0, 2.0, 100.0]));
    set_number("extra.load-share", pick(random, &[0.05, 0.2, 2.0]));
    set_number("allowed.max-attempts", pick(random, &[1.0, 3.0, 6.0]));
    set_number("allowed.max-retry-after-ms", pick(random, &[0.0, 500.0, 60_000.0]));
    set_number("deductions.probe", pick(random, &[0.0, 0.0074, 0.08]));
    set_number("tick-ms", pick(random, &[0.1, 1.0, 2.0]));
    let cold = pick(random, &[0.0, 5_000.0, 120_000.0]);
    set_number("rules.cold-ms", cold);
    set_number("rules.cold-from", pick(random, &[0.1, 0.3]));
    set_number("rules.tip-multiple", pick(random, &[1.5, 3.0]));
    set_number("rules.overload-for-ms", pick(random, &[500.0, 2_000.0]));
    let mut set_text = |key: &str, value: &str| s.insert(key.to_string(), value.to_string());
    set_text("classes.1.group", pick(random, &["all", "zone", "cell"]));
    set_text("allowed.may-duplicate", pick(random, &["true", "false"]));
    set_text("allowed.probes", pick(random, &["true", "false"]));
    set_text("allowed.retry-after", pick(random, &["true", "true", "false"]));
    set_text("extra.if-cold", pick(random, &["miss", "miss", "load"]));
    set_text("extra.orders", pick(random, &["true", "true", "true", "false"]));
    set_text("reporting.how", pick(random, &["none", "probe", "answers"]));
    set_text("reporting.names", pick(random, &["rif,busy", "busy", "q,x0", "rif"]));
    for key in OPTIONAL {
        if random.below(12) == 0 && (key != "siblings" || gateways < 8) {
            s.remove(key);
        }
    }
    s
}
