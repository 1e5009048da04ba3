//! What the settings tell a gateway at start.
use crate::failover::FailoverConfig;
use crate::worker_pool::GatewayLimits;
use crate::GatewayConfig;
use tidewall_config::{agree, plain, Section};
use tidewall_failover::recovery::RetrySafety;
use tidewall_vrrp::packet::Keys;

pub fn limits(s: &Section) -> GatewayLimits {
    let (limits, loading) = (s.section("limits"), s.section("loading"));
    GatewayLimits {
        max_requests: limits.whole("most_held") as usize,
        connect_timeout: limits.span("connect_time_out_ms"),
        streams_per_connection: limits.whole("streams") as usize,
        connections_per_worker: limits.whole("connections") as usize,
        // The settings bound them for each worker.
        max_worker_connections: usize::MAX,
        spread_threshold: usize::MAX,
        keep_alive: limits.span("keep_alive_ms"),
        health_check_timeout: limits.span("probe_time_out_ms"),
        load_request_timeout: loading.span("order_time_out_ms"),
        silence_timeout: limits.span("silent_ms"),
    }
}

pub fn gateway_config(s: &Section, me: usize, seed: u64) -> GatewayConfig {
    let gateways = s.sections("gateway");
    GatewayConfig {
        name: gateways[me].text("name"),
        index: me,
        seed,
        settings: plain(s, me),
        discovery: s
            .section("roster")
            .text("address")
            .parse()
            .expect("checked"),
        discovery_retry: s.section("roster").span("retry_ms"),
        peers: gateways
            .iter()
            .map(|g| g.text("peer_address").parse().ok())
            .collect(),
        peer_listen: None,
        limits: limits(s),
        failover: None,
    }
}

/// This machine's part of the pair.
pub fn failover_config(s: &Section, life: u64, keys: Box<dyn Fn() -> Keys>) -> FailoverConfig {
    let (pair, loading, limits) = (s.section("pair"), s.section("loading"), s.section("limits"));
    let (own, peer) = (pair.section("own"), pair.section("peer"));
    let at = |s: &Section, field: &str| s.text(field).parse().expect("checked");
    let types = s.sections("event_type");
    let kind = |t: &Section| match t.choice("redelivery").as_str() {
        "REDELIVERABLE" => RetrySafety::Idempotent,
        "KEYED" => RetrySafety::IdempotencyKey {
            global: t.choice("group") == "ALL",
            window: t.span("window_ms"),
        },
        _ => RetrySafety::NonIdempotent,
    };
    let keep = |t: &Section| match t.choice("redelivery").as_str() {
        "KEYED" => t.span("window_ms").max(t.span("max_age_ms")),
        _ => t.span("max_age_ms"),
    };
    FailoverConfig {
        name: own.text("name"),
        peer_name: peer.text("name"),
        incarnation: life,
        vrid: pair.whole("vrid") as u8,
        priority: own.whole("priority") as u8,
        interval: pair.whole("interval_cs") as u16,
        preempt: pair.flag("preempt"),
        vrrp_address: at(&own, "vrrp_address"),
        peer_vrrp_address: at(&peer, "vrrp_address"),
        link_address: at(&own, "link_address"),
        peer_link_address: at(&peer, "link_address"),
        shared_address: s.sections("gateway")[0]
            .text("address")
            .parse()
            .expect("checked"),
        keys,
        voters: pair.texts("voter"),
        retry_safety: types.iter().map(kind).collect(),
        retention: types.iter().map(keep).collect(),
        allows_hedging: limits.flag("two_at_once"),
        load_request_limit: (
            loading.span("window_ms"),
            loading.number("free"),
            loading.number("share"),
        ),
        shared_settings: agree(s),
        replicates: true,
    }
}

/// Keys from a file's text: a line each, a number and hexadecimal digits; lines that begin with # are passed over.
pub fn parse_keys(file: &str, text: &str) -> Result<Keys, String> {
    let mut keys = Keys::default();
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let bad = |what: &str| format!("{file}:{}:1: {what}", i + 1);
        let (id, hex) = line
            .split_once(' ')
            .ok_or_else(|| bad("a number and a key are needed"))?;
        let id = id
            .parse::<u8>()
            .map_err(|_| bad("the number is not within 0 to 255"))?;
        let hex = hex.trim();
        // Shorter ones could be tried out.
        if hex.len() < 32 || hex.len() % 2 == 1 || !hex.is_ascii() {
            return Err(bad(
                "a key has an even number of at least 32 hexadecimal digits",
            ));
        }
        let octet = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16);
        let key: Result<Vec<u8>, _> = (0..hex.len()).step_by(2).map(octet).collect();
        if keys.0.iter().any(|k| k.0 == id) {
            return Err(bad("the number stands twice"));
        }
        keys.0.push((
            id,
            key.map_err(|_| bad("a key has hexadecimal digits only"))?,
        ));
    }
    if keys.0.is_empty() {
        return Err(format!("{file}:1:1: there is no key"));
    }
    Ok(keys)
}
