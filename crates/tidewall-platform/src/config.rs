//! The configuration that the platform starts a gateway with: one JSON file. Its settings are
//! flattened to the map that the scheduler also reads from the bench's line protocol, with the same
//! names, units and list formats. There are no defaults: a missing setting is an error that names
//! it.
use crate::fields::printable;
use crate::notice_board::Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// The configuration of one gateway.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Name of the gateway.
    pub name: String,
    /// Address on which the gateway accepts clients.
    pub listen: SocketAddr,
    /// Seed of the gateway's random number generator.
    pub seed: u64,
    /// Address of the notice board, the discovery server.
    pub notice_board: SocketAddr,
    /// Memory limit of the process in MB.
    pub memory_mb: u64,
    /// File descriptor limit of the process.
    pub descriptors: u64,
    /// Index of this gateway among the sibling gateways, from 0.
    pub gateway_index: usize,
    /// Address on which datagrams from other gateways are received; `None` if the settings disallow
    /// datagrams.
    pub peer_listen: Option<SocketAddr>,
    /// Datagram addresses of all gateways, by index; empty if the settings disallow datagrams.
    pub peers: Vec<SocketAddr>,
    /// The settings by their full dotted names.
    pub settings: BTreeMap<String, String>,
    /// The notices published so far, in the format of a notice board response.
    pub initial_notices: Json,
}

/// Why a configuration is rejected. The message is one line; for a field, it names it.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file is not valid JSON. The message holds the line and column.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is missing or has the wrong type.
    #[error("field {0}: missing")]
    Missing(String),
    /// A field is missing or not a whole number.
    #[error("field {0}: missing or no number")]
    NotNumber(&'static str),
    /// The seed is missing or not a 64-bit hexadecimal number.
    #[error("field seed: missing or not hexadecimal")]
    Seed,
    /// An address cannot be parsed.
    #[error("field {field}: '{value}' is no address and port")]
    Address {
        /// Name of the field.
        field: &'static str,
        /// Value of the field, made printable.
        value: String,
    },
    /// A time or count that must be at least 1 is smaller or not a number.
    #[error("field settings.{setting}: '{value}' is under 1")]
    UnderOne {
        /// Name of the setting.
        setting: &'static str,
        /// Value of the setting, made printable.
        value: String,
    },
}

/// Settings that the scheduler cannot decide correctly without.
const REQUIRED_SETTINGS: [&str; 11] = [
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

/// Times and counts that must be at least 1. With 0, each connection would be closed as soon as it
/// is opened, or every request be rejected.
const POSITIVE_SETTINGS: [&str; 5] = [
    "allowed.connect-timeout-ms",
    "allowed.keepalive-ms",
    "allowed.most-held",
    "allowed.streams-per-conn",
    LOAD_REQUEST_TIMEOUT,
];

/// Timeout of load requests; required if load requests are allowed.
const LOAD_REQUEST_TIMEOUT: &str = "extra.order-timeout-ms";

/// Parses a configuration. An error names the first rejected field.
pub fn parse(text: &[u8]) -> Result<PlatformConfig, ConfigError> {
    let mut json: Json = serde_json::from_slice(text)?;
    // Moved out rather than cloned, as it holds thousands of hosts.
    let initial_notices = json.get_mut("known").map(Json::take);
    let settings = parse_settings(&json)?;
    let is_enabled = |name: &str| settings.get(name).is_some_and(|value| value == "true");
    let allows_datagrams = is_enabled("allowed.peers");
    let (mut peers, mut peer_listen) = (Vec::new(), None);
    if allows_datagrams {
        for peer in json["peers"].as_array().into_iter().flatten() {
            peers.push(parse_address("peers", peer.as_str().unwrap_or(""))?);
        }
        peer_listen = Some(address_field(&json, "peer_listen")?);
    }
    Ok(PlatformConfig {
        name: text_field(&json, "name")?.to_string(),
        listen: address_field(&json, "listen")?,
        seed: json["seed"]
            .as_str()
            .and_then(|digits| u64::from_str_radix(digits, 16).ok())
            .ok_or(ConfigError::Seed)?,
        notice_board: address_field(&json, "board")?,
        memory_mb: whole_number(&json["limits"]["memory_mb"], "limits/memory_mb")?,
        descriptors: whole_number(&json["limits"]["sockets"], "limits/sockets")?,
        gateway_index: whole_number(&json["settings"]["me"], "settings/me")? as usize,
        peer_listen,
        peers,
        settings,
        initial_notices: initial_notices
            .ok_or_else(|| ConfigError::Missing("known".to_string()))?,
    })
}

/// Parses only the notice board's address, from a configuration that replaces an earlier one.
pub fn parse_notice_board(text: &[u8]) -> Result<SocketAddr, ConfigError> {
    let json: Json = serde_json::from_slice(text)?;
    address_field(&json, "board")
}

/// Flattens the settings and checks that all required ones are there and valid.
fn parse_settings(json: &Json) -> Result<BTreeMap<String, String>, ConfigError> {
    if !json["settings"].is_object() {
        return Err(ConfigError::Missing("settings".to_string()));
    }
    let mut settings = BTreeMap::new();
    flatten("", &json["settings"], &mut settings);
    for setting in REQUIRED_SETTINGS {
        require(&settings, setting)?;
    }
    for setting in POSITIVE_SETTINGS {
        let Some(value) = settings.get(setting) else {
            continue;
        };
        // Also rejects NaN.
        let is_positive = value.parse::<f64>().is_ok_and(|number| number >= 1.0);
        if !is_positive {
            return Err(ConfigError::UnderOne {
                setting,
                value: printable(value),
            });
        }
    }
    let allows_load_requests = settings
        .get("extra.orders")
        .is_some_and(|value| value == "true");
    if allows_load_requests {
        require(&settings, LOAD_REQUEST_TIMEOUT)?;
    }
    Ok(settings)
}

fn require(settings: &BTreeMap<String, String>, setting: &str) -> Result<(), ConfigError> {
    if settings.contains_key(setting) {
        Ok(())
    } else {
        Err(ConfigError::Missing(format!("settings.{setting}")))
    }
}

fn whole_number(value: &Json, field: &'static str) -> Result<u64, ConfigError> {
    value.as_u64().ok_or(ConfigError::NotNumber(field))
}

fn text_field<'a>(json: &'a Json, field: &str) -> Result<&'a str, ConfigError> {
    json[field]
        .as_str()
        .ok_or_else(|| ConfigError::Missing(field.to_string()))
}

fn address_field(json: &Json, field: &'static str) -> Result<SocketAddr, ConfigError> {
    parse_address(field, text_field(json, field)?)
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address {
        field,
        value: printable(text),
    })
}

/// Formats a scalar as the bench's line protocol does within lists and pairs: spaces and commas,
/// which are separators there, become `_`.
fn scalar_text(value: &Json) -> Option<String> {
    match value {
        Json::String(text) => Some(text.replace([' ', ','], "_")),
        Json::Number(number) => Some(number.to_string()),
        Json::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}

/// Adds `value` to `settings` under `path`. Fields of objects and elements of lists of objects get
/// a path each, and such a list also gets its length as `count`. Lists of scalars become one value.
/// `null` is left out.
fn flatten(path: &str, value: &Json, settings: &mut BTreeMap<String, String>) {
    let child_path = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Json::Object(fields) => {
            for (name, value) in fields {
                flatten(&child_path(name), value, settings);
            }
        }
        Json::Array(items) if items.iter().any(Json::is_object) => {
            settings.insert(child_path("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&child_path(&index.to_string()), item, settings);
            }
        }
        Json::Array(items) => {
            let items: Vec<String> = items.iter().filter_map(scalar_text).collect();
            settings.insert(path.to_string(), items.join(","));
        }
        Json::Null => {}
        scalar => {
            settings.insert(path.to_string(), scalar_text(scalar).unwrap_or_default());
        }
    }
}
