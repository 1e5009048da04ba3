//! Converts the settings file into a gateway's configuration. The settings were validated when they were
//! read, so that fields have the expected format.
use crate::error::{KeyFileError, KeyFileProblem};
use crate::failover::FailoverConfig;
use crate::worker_pool::GatewayLimits;
use crate::GatewayConfig;
use std::net::SocketAddr;
use tidewall_config::{scheduler_settings, shared_settings, Section};
use tidewall_failover::recovery::RetrySafety;
use tidewall_net::Time;
use tidewall_vrrp::packet::Keys;

/// Minimum number of hexadecimal digits of an authentication key: 128 bits, because shorter keys could be
/// found by brute force.
const MIN_KEY_DIGITS: usize = 32;

/// Reads the limits from the sections `limits` and `loading`.
pub fn limits(settings: &Section) -> GatewayLimits {
    let (limits, loading) = (settings.section("limits"), settings.section("loading"));
    GatewayLimits {
        max_requests: limits.integer("most_held") as usize,
        connect_timeout: limits.duration("connect_time_out_ms"),
        streams_per_connection: limits.integer("streams") as usize,
        connections_per_worker: limits.integer("connections") as usize,
        // The settings limit connections per worker only.
        max_worker_connections: usize::MAX,
        spread_threshold: usize::MAX,
        keep_alive: limits.duration("keep_alive_ms"),
        health_check_timeout: limits.duration("probe_time_out_ms"),
        load_request_timeout: loading.duration("order_time_out_ms"),
        silence_timeout: limits.duration("silent_ms"),
    }
}

/// Reads a field that holds an address and port.
fn socket_address(section: &Section, field: &str) -> SocketAddr {
    section
        .text(field)
        .parse()
        .expect("validated settings hold an address and port here")
}

/// Returns the configuration of the gateway with this index, without a failover pair.
pub fn gateway_config(settings: &Section, index: usize, seed: u64) -> GatewayConfig {
    let gateways = settings.sections("gateway");
    let discovery = settings.section("roster");
    GatewayConfig {
        name: gateways[index].text("name"),
        index,
        seed,
        settings: scheduler_settings(settings, index),
        discovery: socket_address(&discovery, "address"),
        discovery_retry: discovery.duration("retry_ms"),
        peers: gateways
            .iter()
            .map(|gateway| gateway.text("peer_address").parse().ok())
            .collect(),
        peer_listen: None,
        limits: limits(settings),
        failover: None,
    }
}

/// Returns whether requests of this class may be executed again.
fn retry_safety(class: &Section) -> RetrySafety {
    match class.enum_value("redelivery").as_str() {
        "REDELIVERABLE" => RetrySafety::Idempotent,
        "KEYED" => RetrySafety::IdempotencyKey {
            global: class.enum_value("group") == "ALL",
            window: class.duration("window_ms"),
        },
        _ => RetrySafety::NonIdempotent,
    }
}

/// Returns how long a response to a request of this class is remembered, in tenths of a millisecond.
fn retention(class: &Section) -> Time {
    match class.enum_value("redelivery").as_str() {
        "KEYED" => class
            .duration("window_ms")
            .max(class.duration("max_age_ms")),
        _ => class.duration("max_age_ms"),
    }
}

/// Returns this member's configuration for the failover pair.
pub fn failover_config(
    settings: &Section,
    incarnation: u64,
    keys: Box<dyn Fn() -> Keys>,
) -> FailoverConfig {
    let (pair, loading) = (settings.section("pair"), settings.section("loading"));
    let (own, peer) = (pair.section("own"), pair.section("peer"));
    let classes = settings.sections("event_type");
    FailoverConfig {
        name: own.text("name"),
        peer_name: peer.text("name"),
        incarnation,
        vrid: pair.integer("vrid") as u8,
        priority: own.integer("priority") as u8,
        interval: pair.integer("interval_cs") as u16,
        preempt: pair.flag("preempt"),
        vrrp_address: socket_address(&own, "vrrp_address"),
        peer_vrrp_address: socket_address(&peer, "vrrp_address"),
        link_address: socket_address(&own, "link_address"),
        peer_link_address: socket_address(&peer, "link_address"),
        shared_address: socket_address(&settings.sections("gateway")[0], "address"),
        keys,
        voters: pair.strings("voter"),
        retry_safety: classes.iter().map(retry_safety).collect(),
        retention: classes.iter().map(retention).collect(),
        allows_hedging: settings.section("limits").flag("two_at_once"),
        load_request_limit: (
            loading.duration("window_ms"),
            loading.number("free"),
            loading.number("share"),
        ),
        shared_settings: shared_settings(settings),
        replicates: true,
    }
}

/// Parses a file of authentication keys. Each line holds a number and hexadecimal digits; empty lines and
/// lines that begin with # are skipped.
///
/// # Errors
/// If a line is not a key, a number is used twice or there is no key; the error names file and line.
pub fn parse_keys(file: &str, text: &str) -> Result<Keys, KeyFileError> {
    let mut keys = Keys::default();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let key = parse_key(line, &keys).map_err(|problem| KeyFileError {
            file: file.to_string(),
            line: index + 1,
            problem,
        })?;
        keys.0.push(key);
    }
    if keys.0.is_empty() {
        return Err(KeyFileError {
            file: file.to_string(),
            line: 1,
            problem: KeyFileProblem::Empty,
        });
    }
    Ok(keys)
}

/// Parses one line of a key file; `keys` are those of the lines before.
fn parse_key(line: &str, keys: &Keys) -> Result<(u8, Vec<u8>), KeyFileProblem> {
    let (id, digits) = line
        .split_once(' ')
        .ok_or(KeyFileProblem::NotNumberAndKey)?;
    let id = id
        .parse::<u8>()
        .map_err(|_| KeyFileProblem::NumberOutOfRange)?;
    let digits = digits.trim();
    if digits.len() < MIN_KEY_DIGITS || digits.len() % 2 == 1 || !digits.is_ascii() {
        return Err(KeyFileProblem::KeyLength);
    }
    let octet = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16);
    let key: Result<Vec<u8>, _> = (0..digits.len()).step_by(2).map(octet).collect();
    if keys.0.iter().any(|known| known.0 == id) {
        return Err(KeyFileProblem::DuplicateNumber);
    }
    Ok((id, key.map_err(|_| KeyFileProblem::InvalidDigit)?))
}
