//! The settings as the wire names them: a plain map of names to values, read by name. It decides nothing.
use crate::choice::MAX_ATTEMPTS;
use crate::interface::Time;
use crate::state::{KeyScope, RequestClass, RetrySafety, SchedulerConfig, Tenant};
use std::collections::BTreeMap;

pub type Settings = BTreeMap<String, String>;

pub trait SettingsReader {
    fn text(&self, key: &str) -> &str;

    fn is(&self, key: &str, value: &str) -> bool {
        self.text(key) == value
    }

    fn number(&self, key: &str) -> f64 {
        self.text(key).parse().unwrap_or(0.0)
    }

    /// The number where it is told and above 0, else another.
    fn positive_or(&self, key: &str, otherwise: f64) -> f64 {
        Some(self.number(key)).filter(|v| *v > 0.0).unwrap_or(otherwise)
    }

    /// Milliseconds as tenths of one, rounded down: spans in settings are limits.
    fn duration(&self, key: &str) -> Time {
        (self.number(key) * 10.0).floor() as Time
    }

    /// The same for a span.
    fn duration_or(&self, key: &str, otherwise: f64) -> Time {
        (self.positive_or(key, otherwise / 10.0) * 10.0).floor() as Time
    }

    /// The event type at this place. An answer is wanted before the client gives up at the latest, also where no
    /// target time is told.
    fn request_class(&self, typ: usize) -> RequestClass {
        let key = |name: &str| format!("classes.{typ}.{name}");
        let age = self.duration_or(&key("deadline-ms"), MAX_DURATION);
        RequestClass {
            latency_objective: self.duration_or(&key("aim-ms"), age as f64).min(age),
            client_timeout: age as f64,
            objective_per_cost: self.number(&key("aim-stretch")),
            priority_weight: self.number(&key("worth")),
            late_weight: self.number(&key("late-worth")),
            retry_safety: self.retry_safety(typ),
            ..RequestClass::default()
        }
    }

    /// The tenant at this place; where no share is told it has no bound.
    fn tenant(&self, tenant: usize) -> Tenant {
        let quota = self.positive_or(&format!("tenants.{tenant}.quota-per-s"), f64::MAX);
        Tenant { quota, ..Tenant::default() }
    }

    /// What every event asks for. Where it is left out: one gateway alone, the wire's most launches, and no bound.
    fn scheduler_config(&self) -> SchedulerConfig {
        let names = |name: &str| self.text("reporting.names").split(',').any(|n| n == name);
        let orders = self.is("extra.orders", "true");
        let untold = self.text("allowed.max-retry-after-ms").is_empty();
        let longest =
            if untold { f64::from(u32::MAX) } else { self.number("allowed.max-retry-after-ms") * 10.0 };
        SchedulerConfig {
            gateway_count: self.positive_or("siblings", 1.0),
            load_checks: self.is("allowed.probes", "true")
                && !self.is("reporting.how", "none")
                && (names("rif") || names("busy")),
            keep_alive: self.duration("extra.stays-loaded-ms"),
            tick: self.duration("tick-ms"),
            reports_in_flight: names("rif"),
            cold: (self.duration("rules.cold-ms"), self.number("rules.cold-from")),
            overload_tolerance: self.number("rules.tip-multiple"),
            overload_window: self.duration("rules.overload-for-ms"),
            endpoints_on_request: self.is("discovery", "on_request"),
            may_load: orders,
            ration: (
                self.duration("extra.load-window-ms"),
                self.number("extra.free-loads"),
                self.number("extra.load-share"),
            ),
            miss_if_absent: orders && self.is("extra.if-cold", "miss"),
            may_hedge: self.is("allowed.may-duplicate", "true"),
            may_cancel: self.is("allowed.cancel", "true"),
            max_attempts: self
                .positive_or("allowed.max-attempts", MAX_ATTEMPTS as f64)
                .min(MAX_ATTEMPTS as f64) as usize,
            max_in_flight: self.positive_or("allowed.most-held", MAX_DURATION),
            max_retry_after: if self.is("allowed.retry-after", "true") {
                longest.min(f64::from(u32::MAX)) as Time
            } else {
                0
            },
            connect_timeout: self.duration("allowed.connect-timeout-ms"),
            endpoint_max_age: self.duration_or("rules.ask-within-ms", MAX_DURATION),
            ..SchedulerConfig::default()
        }
    }

    /// Whether events of the type at this place may run again.
    fn retry_safety(&self, typ: usize) -> RetrySafety {
        let key = |name: &str| format!("classes.{typ}.{name}");
        let window = self.duration(&key("window-ms"));
        match (self.text(&key("semantics")), self.text(&key("group"))) {
            ("read_like", _) => RetrySafety::Idempotent,
            ("idempotency_key", "all") => RetrySafety::IdempotencyKey(KeyScope::All, window),
            ("idempotency_key", "zone") => RetrySafety::IdempotencyKey(KeyScope::Zone, window),
            ("idempotency_key", _) => RetrySafety::IdempotencyKey(KeyScope::Cell, window),
            _ => RetrySafety::NonIdempotent,
        }
    }
}

impl SettingsReader for Settings {
    fn text(&self, key: &str) -> &str {
        self.get(key).map_or("", String::as_str)
    }
}

/// The longest span that a setting may tell, in tenths of a millisecond: some thirty years.
pub const MAX_DURATION: f64 = 1e13;

/// Numbers that mean nothing outside these bounds: name (a digit stands for any place of a list), least, most,
/// and whether only whole ones do. Wide on purpose: they keep out what can't be meant, not what was not met yet.
const NUMBERS: [(&str, f64, f64, bool); 17] = [
    ("siblings", 1.0, 1e6, true),
    ("me", 0.0, 1e6, true),
    ("classes.count", 1.0, 1e4, true),
    ("tenants.count", 0.0, 1e5, true),
    ("classes.0.worth", 0.0, 1e12, false),
    ("classes.0.late-worth", 0.0, 1.0, false),
    ("classes.0.aim-stretch", 0.0, 1e6, false),
    ("tenants.0.quota-per-s", 0.0, 1e12, false),
    ("over-share-worth", 0.0, 1.0, false),
    ("allowed.max-attempts", 1.0, 1e6, false),
    ("allowed.most-held", 1.0, 1e9, false),
    ("allowed.streams-per-conn", 1.0, 1e9, false),
    ("rules.cold-from", 0.0, 1.0, false),
    ("rules.tip-multiple", 0.0, 1e6, false),
    ("extra.free-loads", 0.0, 1e9, false),
    ("extra.load-share", 0.0, 1e6, false),
    ("deductions.probe", 0.0, 1e6, false),
];

/// Settings that are either on or off.
const FLAGS: [&str; 6] = [
    "allowed.cancel",
    "allowed.may-duplicate",
    "allowed.peers",
    "allowed.probes",
    "allowed.retry-after",
    "extra.orders",
];

/// Names the first setting that can't be meant, in one line. What is left out has its default, and names that are
/// not known are passed over.
pub fn validate(settings: &Settings) -> Result<(), String> {
    for (key, value) in settings {
        let part = |p: &str| if p.parse::<u32>().is_ok() { "0".to_string() } else { p.to_string() };
        let name = key.split('.').map(part).collect::<Vec<_>>().join(".");
        if name.ends_with("-ms") {
            for part in value.split(',') {
                let good = part.parse().is_ok_and(|v: f64| (0.0..MAX_DURATION / 10.0).contains(&v));
                good.then_some(()).ok_or_else(|| format!("{key}: '{part}' is not a time"))?;
            }
        } else if let Some((_, least, most, whole)) = NUMBERS.iter().find(|n| n.0 == name) {
            let good = |v: f64| (*least..=*most).contains(&v) && (!whole || v.fract() == 0.0);
            if !value.parse().is_ok_and(good) {
                let kind = if *whole { "whole number" } else { "number" };
                return Err(format!("{key}: '{value}' is no {kind} from {least} to {most}"));
            }
        } else if FLAGS.contains(&name.as_str()) && !matches!(value.as_str(), "true" | "false") {
            return Err(format!("{key}: '{value}' is neither true nor false"));
        }
    }
    if settings.text("classes.count").is_empty() {
        return Err("classes.count: missing".to_string());
    }
    let me = settings.number("me");
    if !settings.text("siblings").is_empty() && me >= settings.number("siblings") {
        return Err(format!("me: {me} is not under siblings, {}", settings.text("siblings")));
    }
    for i in 0..settings.number("classes.count") as usize {
        let spans = ["aim-ms", "deadline-ms"].map(|n| settings.number(&format!("classes.{i}.{n}")));
        if spans == [0.0, 0.0] {
            return Err(format!("classes.{i}.aim-ms: neither it nor deadline-ms is told"));
        }
    }
    Ok(())
}
