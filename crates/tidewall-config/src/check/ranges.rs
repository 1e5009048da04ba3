//! Checks of numbers against the bounds that the schema's comments give.
use super::FieldError;
use crate::Section;
use prost_reflect::{DynamicMessage, ReflectMessage, Value};

/// The largest number where the schema's comment names no bound: far above any site, and exact in an `f64`.
const MAX_NUMBER: f64 = 1e12;

/// Message, field, least and greatest value. A bound that is excluded is written as the smallest step above
/// it.
const RANGES: &[(&str, &str, f64, f64)] = &[
    ("Settings", "over_share_benefit", 0.0, 1.0),
    ("Settings", "tick_ms", 0.1, 100.0),
    ("EventType", "target_time_ms", 1.0, 3.6e6),
    ("EventType", "max_age_ms", 1.0, 3.6e6),
    ("EventType", "benefit", 1e-9, MAX_NUMBER),
    ("EventType", "late_benefit", 0.0, 1.0),
    ("EventType", "window_ms", 0.0, 3.6e6),
    ("EventType", "target_stretch", 0.0, 1e6),
    ("Tenant", "quota_per_s", 1e-9, MAX_NUMBER),
    ("Kind", "memory_mb", 1e-9, MAX_NUMBER),
    ("Roster", "retry_ms", 10.0, 60_000.0),
    ("Limits", "most_held", 1.0, 1e6),
    ("Limits", "max_launches", 1.0, 8.0),
    ("Limits", "most_come_back_ms", 0.0, 3.6e6),
    ("Limits", "connect_time_out_ms", 1.0, 60_000.0),
    ("Limits", "streams", 1.0, 10_000.0),
    ("Limits", "connections", 1.0, 1_000.0),
    ("Limits", "keep_alive_ms", 100.0, 3.6e6),
    ("Limits", "probe_time_out_ms", 1.0, 60_000.0),
    ("Limits", "silent_ms", 10.0, 60_000.0),
    ("Rules", "drain_grace_ms", 0.0, 60_000.0),
    ("Rules", "cold_from", 1e-9, 1.0),
    ("Rules", "cold_ms", 0.0, 3.6e6),
    ("Rules", "fall_multiple", 1.0, 1e6),
    ("Rules", "fall_ms", 1.0, 60_000.0),
    ("Loading", "stays_loaded_ms", 0.0, 3.6e6),
    ("Loading", "order_time_out_ms", 10.0, 3.6e6),
    ("Loading", "window_ms", 0.0, 3.6e6),
    ("Loading", "free", 0.0, 1e6),
    ("Loading", "share", 0.0, 1e6),
    ("Fleet", "roster_late_ms", 0.0, 60_000.0),
    ("Fleet", "silent_notice_ms", 0.0, 600_000.0),
    ("Workers", "count", 1.0, 100_000.0),
    ("Workers", "cores", 1.0, 1_024.0),
    ("Workers", "speed", 1e-9, 1e6),
    ("Workers", "queue", 0.0, 100_000.0),
    ("Workers", "loads", 1.0, 64.0),
    ("Programs", "count", 1.0, 100_000.0),
    ("Programs", "work_ms", 1e-9, 3.6e6),
    ("Programs", "memory_mb", 1e-9, MAX_NUMBER),
    ("Programs", "lanes", 1.0, 1_000.0),
    ("Programs", "fetch_ms", 0.0, 600_000.0),
    ("Programs", "start_ms", 0.0, 600_000.0),
    ("Programs", "share", 0.0, 1e6),
    ("Programs", "skew", 0.0, 3.0),
    ("Depot", "capacity", 1.0, 10_000.0),
    ("Depot", "most", 1.0, 1e6),
    ("Clients", "rate", 1e-9, 1e6),
    ("Clients", "connections", 1.0, 10_000.0),
    ("Clients", "retries", 0.0, 10.0),
    ("Clients", "wait_ms", 0.0, 60_000.0),
    ("Clients", "patience", 1e-9, 1.0),
    ("Clients", "front_ms", 0.0, 60_000.0),
    ("Clients", "payload", 0.0, 1e6),
    ("Amqp", "heartbeat_s", 0.0, 3_600.0),
    ("Amqp", "frame_max", 4_096.0, 1_048_576.0),
    ("Amqp", "channel_max", 1.0, 65_535.0),
    ("Amqp", "body_max", 1.0, 100_000_000.0),
    ("Amqp", "handshake_ms", 10.0, 600_000.0),
    ("Amqp", "queued_mb", 1.0, 100_000.0),
    ("Amqp", "in_hand", 1.0, 1e6),
    ("Amqp", "logins", 1.0, 100_000.0),
    ("AmqpFunction", "lanes", 1.0, 1_000.0),
    ("AmqpFunction", "memory_mb", 0.0, MAX_NUMBER),
    ("AmqpFunction", "hint_ms", 0.0, 3.6e6),
    ("AmqpFunction", "load_hint_ms", 0.0, 3.6e6),
    ("Pair", "vrid", 1.0, 255.0),
    ("Pair", "interval_cs", 1.0, 4_095.0),
    ("PairMember", "priority", 1.0, 254.0),
    ("FleetCommon", "leases", 1.0, 65_536.0),
    ("FleetCommon", "term_ms", 100.0, 600_000.0),
    ("FleetCommon", "clocks_ppm", 0.0, 500_000.0),
    ("FleetCommon", "ticket_ms", 1.0, 60_000.0),
    ("FleetCommon", "period_ms", 10.0, 60_000.0),
    ("FleetCommon", "turn_ms", 10.0, 3.6e6),
    ("FleetCommon", "datagrams_per_s", 10.0, 1e6),
    ("FleetCommon", "bytes_per_s", 2_560.0, 1e9),
    ("FleetCommon", "channel", 1.0, 1e6),
    ("FleetCommon", "trial_clock_ppm", -500_000.0, 500_000.0),
    ("Script", "seconds", 1.0, 3_600.0),
    ("Fault", "at", 0.0, 1.0),
    ("Fault", "lasts_ms", 0.0, 3.6e6),
    ("Fault", "count", 1.0, 10_000.0),
    ("Fault", "factor", 1e-9, 1e6),
];

/// Checks that every number that is set lies in its range.
pub fn check(section: &Section) -> Result<(), FieldError> {
    check_message(&section.message, &section.path)
}

fn check_message(message: &DynamicMessage, path: &str) -> Result<(), FieldError> {
    let message_name = message.descriptor().name().to_string();
    for (field, value) in message.fields() {
        let field_path = join(path, field.name());
        match value {
            Value::Message(inner) => check_message(inner, &field_path)?,
            Value::List(list) => check_list(list, &field_path)?,
            other => {
                if let Some(number) = as_number(other) {
                    check_number(&message_name, field.name(), number, &field_path)?;
                }
            }
        }
    }
    Ok(())
}

fn check_list(list: &[Value], path: &str) -> Result<(), FieldError> {
    for (i, value) in list.iter().enumerate() {
        if let Some(message) = value.as_message() {
            check_message(message, &format!("{path}[{i}]"))?;
        }
    }
    Ok(())
}

fn check_number(message: &str, field: &str, number: f64, path: &str) -> Result<(), FieldError> {
    let range = RANGES
        .iter()
        .find(|range| range.0 == message && range.1 == field);
    let Some((_, _, least, greatest)) = range else {
        return Ok(());
    };
    if (*least..=*greatest).contains(&number) {
        return Ok(());
    }
    let reason = format!("{number} is not within {least} to {greatest}");
    Err(FieldError::new(path, reason))
}

fn as_number(value: &Value) -> Option<f64> {
    match value {
        Value::U32(number) => Some(f64::from(*number)),
        Value::F64(number) => Some(*number),
        Value::I32(number) => Some(f64::from(*number)),
        _ => None,
    }
}

fn join(path: &str, field: &str) -> String {
    if path.is_empty() {
        field.to_string()
    } else {
        format!("{path}.{field}")
    }
}
