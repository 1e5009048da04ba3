//! The settings under their external names: a plain map of names to values. The names are part of the
//! external interface and do not change; here they are translated into the scheduler's terms. Makes no
//! decisions.
use crate::choice::MAX_ATTEMPTS;
use crate::config::{
    KeyScope, LoadRequestLimit, RequestClass, RetrySafety, SchedulerConfig, SlowStart, Tenant,
};
use crate::interface::Time;
use std::collections::BTreeMap;
use std::fmt;

/// Settings by name, such as `classes.0.aim-ms`.
pub type Settings = BTreeMap<String, String>;

/// Reads settings by name.
pub trait SettingsReader {
    /// The value as written; empty if the setting is left out.
    fn text(&self, key: &str) -> &str;

    /// Whether the setting has this value.
    fn is(&self, key: &str, value: &str) -> bool {
        self.text(key) == value
    }

    /// The value as a number; 0 if the setting is left out or not a number.
    fn number(&self, key: &str) -> f64 {
        self.text(key).parse().unwrap_or(0.0)
    }

    /// The number if it is given and above 0, otherwise `otherwise`.
    fn positive_or(&self, key: &str, default: f64) -> f64 {
        Some(self.number(key)).filter(|v| *v > 0.0).unwrap_or(default)
    }

    /// The value in milliseconds as tenths of a millisecond, rounded down because time spans in settings are
    /// limits; 0 if the setting is left out.
    fn duration(&self, key: &str) -> Time {
        (self.number(key) * 10.0).floor() as Time
    }

    /// The value in milliseconds as tenths of a millisecond if it is given and above 0, otherwise
    /// `otherwise`.
    fn duration_or(&self, key: &str, default: f64) -> Time {
        (self.positive_or(key, default / 10.0) * 10.0).floor() as Time
    }

    /// The request class at this index. Without a latency objective, the client timeout is the objective, and
    /// no objective exceeds the client timeout.
    fn request_class(&self, class: usize) -> RequestClass {
        let key = |name: &str| format!("classes.{class}.{name}");
        let client_timeout = self.duration_or(&key("deadline-ms"), MAX_DURATION);
        RequestClass {
            latency_objective: self.duration_or(&key("aim-ms"), client_timeout as f64).min(client_timeout),
            client_timeout: client_timeout as f64,
            objective_per_cost: self.number(&key("aim-stretch")),
            priority_weight: self.number(&key("worth")),
            late_weight: self.number(&key("late-worth")),
            retry_safety: self.retry_safety(class),
            ..RequestClass::default()
        }
    }

    /// The tenant at this index. Without a quota its rate is unlimited.
    fn tenant(&self, tenant: usize) -> Tenant {
        let quota = self.positive_or(&format!("tenants.{tenant}.quota-per-s"), f64::MAX);
        Tenant { quota, ..Tenant::default() }
    }

    /// The settings that are needed for every request. Defaults: a single gateway, the maximum number of
    /// attempts, and no other limits.
    fn scheduler_config(&self) -> SchedulerConfig {
        let reports = |name: &str| self.text("reporting.names").split(',').any(|n| n == name);
        let may_load = self.is("extra.orders", "true");
        let max_attempts = self.positive_or("allowed.max-attempts", MAX_ATTEMPTS as f64);
        SchedulerConfig {
            gateway_count: self.positive_or("siblings", 1.0),
            load_checks: self.is("allowed.probes", "true")
                && !self.is("reporting.how", "none")
                && (reports("rif") || reports("busy")),
            keep_alive: self.duration("extra.stays-loaded-ms"),
            tick: self.duration("tick-ms"),
            reports_in_flight: reports("rif"),
            slow_start: SlowStart {
                duration: self.duration("rules.cold-ms"),
                initial_share: self.number("rules.cold-from"),
            },
            overload_tolerance: self.number("rules.tip-multiple"),
            overload_window: self.duration("rules.overload-for-ms"),
            endpoints_on_request: self.is("discovery", "on_request"),
            drain_grace: self.duration("rules.drain-grace-ms"),
            may_check_health: self.is("allowed.probes", "true"),
            may_load,
            load_limit: LoadRequestLimit {
                window: self.duration("extra.load-window-ms"),
                free: self.number("extra.free-loads"),
                per_request: self.number("extra.load-share"),
            },
            miss_if_absent: may_load && self.is("extra.if-cold", "miss"),
            may_hedge: self.is("allowed.may-duplicate", "true"),
            may_cancel: self.is("allowed.cancel", "true"),
            max_attempts: max_attempts.min(MAX_ATTEMPTS as f64) as usize,
            max_in_flight: self.positive_or("allowed.most-held", MAX_DURATION),
            max_retry_after: self.max_retry_after(),
            connect_timeout: self.duration("allowed.connect-timeout-ms"),
            endpoint_max_age: self.duration_or("rules.ask-within-ms", MAX_DURATION),
            over_quota_weight: self.number("over-share-worth"),
            ..SchedulerConfig::default()
        }
    }

    /// The longest Retry-After in tenths of a millisecond; 0 if none may be given.
    fn max_retry_after(&self) -> Time {
        let key = "allowed.max-retry-after-ms";
        let upper_bound = f64::from(u32::MAX);
        let longest = if self.text(key).is_empty() { upper_bound } else { self.number(key) * 10.0 };
        if self.is("allowed.retry-after", "true") {
            longest.min(upper_bound) as Time
        } else {
            0
        }
    }

    /// Whether requests of the class at this index may be executed again.
    fn retry_safety(&self, class: usize) -> RetrySafety {
        let key = |name: &str| format!("classes.{class}.{name}");
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

/// The longest time span allowed in a setting, in tenths of a millisecond: some thirty years.
pub const MAX_DURATION: f64 = 1e13;

/// Numeric settings with bounds: name (a 0 stands for any index of a list), least and greatest value, and
/// whether the value must be whole. The bounds are wide on purpose: they reject values that cannot be
/// intended, not values that are merely unusual.
const NUMERIC_BOUNDS: [(&str, f64, f64, bool); 17] = [
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

/// Settings that are either true or false.
const BOOLEAN_KEYS: [&str; 6] = [
    "allowed.cancel",
    "allowed.may-duplicate",
    "allowed.peers",
    "allowed.probes",
    "allowed.retry-after",
    "extra.orders",
];

/// An invalid setting. The error text names the setting in one line.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsError {
    /// Not a number of milliseconds from 0 up to the longest allowed time span.
    NotADuration {
        /// Name of the setting.
        key: String,
        /// The invalid part of its value.
        value: String,
    },
    /// Not a number, or a number out of bounds.
    NotANumber {
        /// Name of the setting.
        key: String,
        /// Its value.
        value: String,
        /// Whether the value must be a whole number.
        whole: bool,
        /// The least and the greatest allowed value.
        bounds: (f64, f64),
    },
    /// Neither true nor false.
    NotABoolean {
        /// Name of the setting.
        key: String,
        /// Its value.
        value: String,
    },
    /// A required setting is left out.
    Missing {
        /// Name of the setting.
        key: &'static str,
    },
    /// The index of this gateway is not below the number of gateways.
    IndexOutOfRange {
        /// The index.
        index: f64,
        /// The number of gateways as written in the settings.
        gateways: String,
    },
    /// A class with neither a latency objective nor a client timeout.
    NoObjective {
        /// Index of the class.
        class: usize,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SettingsError::NotADuration { key, value } => write!(f, "{key}: '{value}' is not a time"),
            SettingsError::NotANumber { key, value, whole, bounds: (least, most) } => {
                let kind = if *whole { "whole number" } else { "number" };
                write!(f, "{key}: '{value}' is no {kind} from {least} to {most}")
            }
            SettingsError::NotABoolean { key, value } => {
                write!(f, "{key}: '{value}' is neither true nor false")
            }
            SettingsError::Missing { key } => write!(f, "{key}: missing"),
            SettingsError::IndexOutOfRange { index, gateways } => {
                write!(f, "me: {index} is not under siblings, {gateways}")
            }
            SettingsError::NoObjective { class } => {
                write!(f, "classes.{class}.aim-ms: neither it nor deadline-ms is set")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl From<SettingsError> for String {
    fn from(error: SettingsError) -> String {
        error.to_string()
    }
}

/// Returns an error for the first invalid setting. Settings that are left out have defaults, and unknown
/// names are ignored.
pub fn validate(settings: &Settings) -> Result<(), SettingsError> {
    settings.iter().try_for_each(|(key, value)| validate_value(key, value))?;
    if settings.text("classes.count").is_empty() {
        return Err(SettingsError::Missing { key: "classes.count" });
    }
    let (index, gateways) = (settings.number("me"), settings.text("siblings"));
    if !gateways.is_empty() && index >= settings.number("siblings") {
        return Err(SettingsError::IndexOutOfRange { index, gateways: gateways.to_string() });
    }
    for class in 0..settings.number("classes.count") as usize {
        let spans = ["aim-ms", "deadline-ms"].map(|n| settings.number(&format!("classes.{class}.{n}")));
        if spans == [0.0, 0.0] {
            return Err(SettingsError::NoObjective { class });
        }
    }
    Ok(())
}

/// Validates one setting by itself.
fn validate_value(key: &str, value: &str) -> Result<(), SettingsError> {
    let (own_key, own_value) = (key.to_string(), value.to_string());
    let normalize_part = |p: &str| if p.parse::<u32>().is_ok() { "0".to_string() } else { p.to_string() };
    let name = key.split('.').map(normalize_part).collect::<Vec<_>>().join(".");
    if name.ends_with("-ms") {
        let is_valid = |part: &&str| part.parse().is_ok_and(|v: f64| (0.0..MAX_DURATION / 10.0).contains(&v));
        if let Some(bad) = value.split(',').find(|part| !is_valid(part)) {
            return Err(SettingsError::NotADuration { key: own_key, value: bad.to_string() });
        }
    } else if let Some((_, least, most, whole)) = NUMERIC_BOUNDS.iter().find(|n| n.0 == name) {
        let is_valid = |v: f64| (*least..=*most).contains(&v) && (!whole || v.fract() == 0.0);
        if !value.parse().is_ok_and(is_valid) {
            let (whole, bounds) = (*whole, (*least, *most));
            return Err(SettingsError::NotANumber { key: own_key, value: own_value, whole, bounds });
        }
    } else if BOOLEAN_KEYS.contains(&name.as_str()) && !matches!(value, "true" | "false") {
        return Err(SettingsError::NotABoolean { key: own_key, value: own_value });
    }
    Ok(())
}
