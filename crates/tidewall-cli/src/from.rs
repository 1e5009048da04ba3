//! Converts a day file of the benchmark (JSON) to a script with the same kinds of fault for a fleet of
//! another size.
use serde_json::Value;
use std::fmt::Write;

/// A converted day file.
#[derive(Debug)]
pub struct Replay {
    pub script: String,
    pub seconds: f64,
    /// The traffic, as a share of the fleet's capacity.
    pub load: f64,
    /// One line for each fault of the day file: how it is played, or that it is not played.
    pub notes: Vec<String>,
}

/// Microseconds per second: the day file's times are microseconds.
const SECOND: f64 = 1e6;

fn number(value: &Value, path: &str) -> Result<f64, String> {
    let found = path.split('.').try_fold(value, |v, key| v.get(key));
    found
        .and_then(Value::as_f64)
        .ok_or_else(|| format!("field {path}: a number is missing"))
}

fn list<'a>(value: &'a Value, key: &str) -> Result<&'a Vec<Value>, String> {
    value
        .get(key)
        .and_then(Value::as_array)
        .ok_or_else(|| format!("field {key}: a list is missing"))
}

/// Converts a day to a fleet with this many workers and gateways.
pub fn replay(text: &str, workers: usize, gateways: usize) -> Result<Replay, String> {
    let day: Value =
        serde_json::from_str(text).map_err(|e| format!("{}:{}: {e}", e.line(), e.column()))?;
    let length = number(&day, "length")?;
    let (day_servers, day_balancers) =
        (list(&day, "servers")?.len(), list(&day, "balancers")?.len());
    let scaled = |count: usize, day_total: usize, fleet_total: usize| {
        ((count * fleet_total) as f64 / day_total.max(1) as f64)
            .round()
            .clamp(1.0, fleet_total.max(1) as f64) as usize
    };
    let (mut script, mut notes) = (String::new(), Vec::new());
    for (i, entry) in list(&day, "troubles")?.iter().enumerate() {
        let in_entry = |e: String| format!("troubles[{i}].{e}");
        let kind = entry
            .get("kind")
            .and_then(Value::as_str)
            .ok_or_else(|| in_entry("kind: missing".to_string()))?;
        let get = |key: &str| number(entry, key).map_err(in_entry);
        let (at, lasts, size, extra) = (get("at")?, get("len")?, get("size")?, get("extra")?);
        let affected = entry
            .get("on")
            .and_then(Value::as_array)
            .map_or(0, Vec::len);
        let steps = entry
            .get("steps")
            .and_then(Value::as_array)
            .cloned()
            .unwrap_or_default();
        let mut fault = |fault_kind: &str, at: f64, lasts: f64, count: usize, factor: f64| {
            // Writing to a String cannot fail.
            let _ = writeln!(
                script,
                "fault {{ trouble: {fault_kind} at: {:.4} lasts_ms: {:.0} count: {count} factor: {factor:.3} }}",
                (at / length).clamp(0.0, 1.0),
                (lasts / 1000.0).clamp(1.0, 3.6e6),
            );
        };
        let factor = size.max(1.01);
        let hit_workers = scaled(affected, day_servers, workers);
        let description = match kind {
            "hang" => {
                fault("WORKER_HANG", at, lasts, hit_workers, 1.0);
                format!("{hit_workers} of {workers} workers hang")
            }
            "vanish" => {
                fault("WORKER_KILL", at, lasts, hit_workers, 1.0);
                format!("{hit_workers} of {workers} workers are killed and come back cold")
            }
            "mass_restart" => {
                fault("WORKER_KILL", at, lasts.min(5.0 * SECOND), hit_workers, 1.0);
                format!("{hit_workers} of {workers} workers restart together")
            }
            "slow" | "ageing" => {
                // Ageing grows to its size over time; half of it is played for the whole time.
                let factor = if kind == "ageing" {
                    (size / 2.0).max(1.01)
                } else {
                    factor
                };
                fault("WORKER_SLOW", at, lasts, hit_workers, factor);
                format!("{hit_workers} of {workers} workers are {factor:.1} times slower")
            }
            "balancer_crash" => {
                let hit_gateways = scaled(affected, day_balancers, gateways);
                fault("GATEWAY_KILL", at, lasts, hit_gateways, 1.0);
                format!("{hit_gateways} of {gateways} gateways are killed")
            }
            "balancer_stall" => {
                let hit_gateways = scaled(affected, day_balancers, gateways);
                fault("GATEWAY_STILL", at, lasts, hit_gateways, 1.0);
                format!("{hit_gateways} of {gateways} gateways stand still")
            }
            "balancer_roll" | "deploy" => {
                let (day_total, fleet_total, fault_kind) = match kind {
                    "deploy" => (day_servers, workers, "WORKER_DRAIN"),
                    _ => (day_balancers, gateways, "GATEWAY_KILL"),
                };
                let down = (extra * SECOND).max(SECOND);
                for step in &steps {
                    let stopped = step
                        .get("stop")
                        .and_then(Value::as_array)
                        .map_or(0, Vec::len);
                    fault(
                        fault_kind,
                        number(step, "at").map_err(in_entry)?,
                        down,
                        scaled(stopped, day_total, fleet_total),
                        1.0,
                    );
                }
                format!("{} steps of {fleet_total} in all", steps.len())
            }
            "burst" => {
                fault("BURST", at, lasts, 1, factor);
                format!("{factor:.1} times the events")
            }
            "heavy_tail" => {
                let mean = (1.0 + size * extra).max(1.01);
                fault("HEAVY", at, lasts, 1, mean);
                format!("all events {mean:.2} times heavier, for a few that are {size:.0} times")
            }
            "report_late" => {
                fault("REPORTS_LATE", at, lasts, 1, 1.0);
                format!("all reports a second late, for {size:.1} s")
            }
            "flush" => {
                fault("COPIES_VOID", at, 1.0, 1, 1.0);
                "all idle copies are void".to_string()
            }
            _ => {
                notes.push(format!("{kind}: not played"));
                continue;
            }
        };
        notes.push(format!(
            "{kind}: {description}, {:.1} s from {:.1} s",
            lasts / SECOND,
            at / SECOND
        ));
    }
    let load = number(&day, "traffic.load")?;
    Ok(Replay {
        script,
        seconds: (length / SECOND).clamp(1.0, 3600.0),
        load,
        notes,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn day(troubles: &str) -> String {
        format!(
            r#"{{"length": 40000000, "servers": [1,2,3,4,5,6,7,8], "balancers": [1,2,3,4],
            "traffic": {{"load": 0.5}}, "troubles": [{troubles}]}}"#
        )
    }

    const HANG: &str =
        r#"{"kind": "hang", "at": 10000000, "len": 2000000, "size": 0, "extra": 0, "on": [1, 2]}"#;

    #[test]
    fn sizes_and_times_are_scaled_to_the_fleet() {
        let replayed = replay(&day(HANG), 12, 3).unwrap();
        assert_eq!((replayed.seconds, replayed.load), (40.0, 0.5));
        assert!(
            replayed
                .script
                .contains("WORKER_HANG at: 0.2500 lasts_ms: 2000 count: 3"),
            "{}",
            replayed.script
        );
        tidewall_config::script("replay", &replayed.script).unwrap();
    }

    #[test]
    fn a_kind_that_is_not_played_is_noted() {
        let replayed = replay(&day(&HANG.replace("hang", "scan")), 12, 3).unwrap();
        assert_eq!(
            (replayed.script.as_str(), &replayed.notes[..]),
            ("", &["scan: not played".to_string()][..])
        );
    }

    #[test]
    fn a_bad_day_file_names_its_field() {
        let error = replay(&day(&HANG.replace("\"at\": 10000000,", "")), 12, 3).unwrap_err();
        assert_eq!(error, "troubles[0].field at: a number is missing");
        assert!(replay("{", 12, 3).unwrap_err().starts_with("1:1"));
        assert_eq!(
            replay("{}", 12, 3).unwrap_err(),
            "field length: a number is missing"
        );
    }
}
