//! The settings as the wire names them: a plain map of names to values, read by name. It decides nothing.
use crate::host::Time;
use crate::state::{Group, Repeat};
use std::collections::BTreeMap;

pub type Settings = BTreeMap<String, String>;

pub trait Named {
    fn text(&self, key: &str) -> &str;

    fn is(&self, key: &str, value: &str) -> bool {
        self.text(key) == value
    }

    fn number(&self, key: &str) -> f64 {
        self.text(key).parse().unwrap_or(0.0)
    }

    /// Milliseconds as tenths of one, rounded down: spans in settings are limits.
    fn span(&self, key: &str) -> Time {
        (self.number(key) * 10.0).floor() as Time
    }

    /// Whether events of the type at this place may run again.
    fn repeat(&self, typ: usize) -> Repeat {
        let key = |name: &str| format!("classes.{typ}.{name}");
        let window = self.span(&key("window-ms"));
        match (self.text(&key("semantics")), self.text(&key("group"))) {
            ("read_like", _) => Repeat::Redeliverable,
            ("idempotency_key", "all") => Repeat::Keyed(Group::All, window),
            ("idempotency_key", "zone") => Repeat::Keyed(Group::Zone, window),
            ("idempotency_key", _) => Repeat::Keyed(Group::Cell, window),
            _ => Repeat::AtMostOnce,
        }
    }
}

impl Named for Settings {
    fn text(&self, key: &str) -> &str {
        self.get(key).map_or("", String::as_str)
    }
}

/// Names the first setting that should be a time and is none.
pub fn times_are_good(settings: &Settings) -> Result<(), String> {
    for (key, value) in settings.iter().filter(|s| s.0.ends_with("-ms")) {
        for part in value.split(',') {
            let good = part.parse().is_ok_and(|v: f64| (0.0..1e12).contains(&v));
            good.then_some(()).ok_or_else(|| format!("{key}: '{part}' is not a time"))?;
        }
    }
    Ok(())
}
