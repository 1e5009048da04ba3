//! What a gateway is told at start: one JSON file. The settings become the flat map that the decisions read on the bench's
//! wire: the same names, units and forms of lists. Nothing is filled in: a missing figure is named.
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub board: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub me: usize,
    /// Where datagrams of other gateways come in, and their addresses by number; none where the settings bar them.
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub settings: BTreeMap<String, String>,
    /// The board's events up to now, as an answer of the board holds them.
    pub known: Value,
}

/// Figures without which no decision can be right.
const NEEDED: [&str; 11] = [
    "allowed.connect-timeout-ms",
    "allowed.keepalive-ms",
    "allowed.max-attempts",
    "allowed.most-held",
    "allowed.streams-per-conn",
    "classes.0.deadline-ms",
    "me",
    "rules.drain-grace-ms",
    "siblings",
    "tick-ms",
    "zones",
];

/// Times and counts without which nothing could be sent or held: with none of them every connection ends as it is made, and
/// every event is turned away.
const AT_LEAST_1: [&str; 5] = [
    "allowed.connect-timeout-ms",
    "allowed.keepalive-ms",
    "allowed.most-held",
    "allowed.streams-per-conn",
    "extra.order-timeout-ms",
];

/// Errors name the field.
pub fn read(text: &[u8]) -> Result<Config, String> {
    let json: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let field = |path: &str| format!("field {path}: missing or no number");
    let whole = |path: &str| {
        json.pointer(path)
            .and_then(Value::as_u64)
            .ok_or_else(|| field(&path[1..]))
    };
    let mut settings = BTreeMap::new();
    if !json["settings"].is_object() {
        return Err("field settings: missing".to_string());
    }
    flatten("", &json["settings"], &mut settings);
    for name in NEEDED {
        if !settings.contains_key(name) {
            return Err(format!("field settings.{name}: missing"));
        }
    }
    for name in AT_LEAST_1 {
        let value = settings
            .get(name)
            .filter(|v| v.parse::<f64>().map_or(true, |v| v.is_nan() || v < 1.0));
        if let Some(value) = value {
            return Err(format!(
                "field settings.{name}: '{}' is under 1",
                crate::shown(value)
            ));
        }
    }
    let orders = settings.get("extra.orders").is_some_and(|o| o == "true");
    if orders && !settings.contains_key("extra.order-timeout-ms") {
        return Err("field settings.extra.order-timeout-ms: missing".to_string());
    }
    let told = settings.get("allowed.peers").is_some_and(|p| p == "true");
    let mut peers = Vec::new();
    for peer in json["peers"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(|_| told)
    {
        let text = peer.as_str().unwrap_or("");
        peers.push(text.parse().map_err(|_| {
            format!(
                "field peers: '{}' is no address and port",
                crate::shown(text)
            )
        })?);
    }
    let peer_listen = if told {
        Some(address(&json, "peer_listen")?)
    } else {
        None
    };
    let seed = json["seed"]
        .as_str()
        .and_then(|s| u64::from_str_radix(s, 16).ok());
    Ok(Config {
        name: text_of(&json, "name")?.to_string(),
        listen: address(&json, "listen")?,
        seed: seed.ok_or("field seed: missing or not hexadecimal")?,
        board: address(&json, "board")?,
        memory_mb: whole("/limits/memory_mb")?,
        sockets: whole("/limits/sockets")?,
        me: whole("/settings/me")? as usize,
        peer_listen,
        peers,
        settings,
        known: json.get("known").cloned().ok_or("field known: missing")?,
    })
}

/// The board's address alone, as a file that replaced the first one tells it.
pub fn board(text: &[u8]) -> Result<SocketAddr, String> {
    let json: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    address(&json, "board")
}

fn text_of<'a>(json: &'a Value, name: &str) -> Result<&'a str, String> {
    json[name]
        .as_str()
        .ok_or_else(|| format!("field {name}: missing"))
}

fn address(json: &Value, name: &str) -> Result<SocketAddr, String> {
    let text = text_of(json, name)?;
    text.parse().map_err(|_| {
        format!(
            "field {name}: '{}' is no address and port",
            crate::shown(text)
        )
    })
}

/// A value as the bench's wire writes it within lists and pairs.
fn plain(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.replace([' ', ','], "_")),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(on) => Some(on.to_string()),
        _ => None,
    }
}

fn flatten(path: &str, value: &Value, settings: &mut BTreeMap<String, String>) {
    let below = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(&below(name), value, settings);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            settings.insert(below("count"), items.len().to_string());
            for (i, item) in items.iter().enumerate() {
                flatten(&below(&i.to_string()), item, settings);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().filter_map(plain).collect();
            settings.insert(path.to_string(), items.join(","));
        }
        Value::Null => {}
        plain_one => {
            settings.insert(path.to_string(), plain(plain_one).unwrap_or_default());
        }
    }
}
