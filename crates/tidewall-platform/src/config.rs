//! The configuration that the platform starts a gateway with: one JSON file. Its settings become the flat map that the
//! scheduler reads from the bench's wire: the same names, units and forms of lists. No default is filled in here: a figure
//! that is missing is named.
use crate::fields::printable;
use crate::notice_board::Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// The configuration of one gateway.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// The gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of the gateway's random numbers.
    pub seed: u64,
    /// The notice board's address.
    pub notice_board: SocketAddr,
    /// The memory that the process may take, in MB.
    pub memory_mb: u64,
    /// The descriptors that the process may hold.
    pub descriptors: u64,
    /// The gateway's index among its siblings, from 0.
    pub gateway_index: usize,
    /// Where datagrams of other gateways arrive; `None` where the settings do not allow them.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of all gateways by their index; empty where the settings do not allow datagrams.
    pub peers: Vec<SocketAddr>,
    /// The settings by their full names.
    pub settings: BTreeMap<String, String>,
    /// The notices up to now, in the form of a notice board's response.
    pub initial_notices: Json,
}

/// Why a configuration is refused: one line that names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file is no JSON; the text names the place in it.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is missing or has another type.
    #[error("field {0}: missing")]
    Missing(String),
    /// A field is missing or no whole number.
    #[error("field {0}: missing or no number")]
    NotNumber(&'static str),
    /// The seed is missing or no hexadecimal number of 64 bits.
    #[error("field seed: missing or not hexadecimal")]
    Seed,
    /// An address cannot be read.
    #[error("field {field}: '{value}' is no address and port")]
    Address {
        /// The field's name.
        field: &'static str,
        /// Its value, printable.
        value: String,
    },
    /// A time or count that has to be positive is under 1 or no number.
    #[error("field settings.{setting}: '{value}' is under 1")]
    UnderOne {
        /// The setting's name.
        setting: &'static str,
        /// Its value, printable.
        value: String,
    },
}

/// Settings without which no decision can be right.
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

/// Times and counts without which nothing could be sent or held: with a 0 each connection would end as it is made, or each
/// request be rejected.
const POSITIVE_SETTINGS: [&str; 5] = [
    "allowed.connect-timeout-ms",
    "allowed.keepalive-ms",
    "allowed.most-held",
    "allowed.streams-per-conn",
    LOAD_REQUEST_TIMEOUT,
];

/// Needed where load requests are allowed.
const LOAD_REQUEST_TIMEOUT: &str = "extra.order-timeout-ms";

/// Reads a configuration; an error names the first field that is refused.
pub fn parse(text: &[u8]) -> Result<PlatformConfig, ConfigError> {
    let mut json: Json = serde_json::from_slice(text)?;
    // Not copied: it holds thousands of hosts.
    let initial_notices = json.get_mut("known").map(Json::take);
    let settings = parse_settings(&json)?;
    let is_on = |name: &str| settings.get(name).is_some_and(|value| value == "true");
    let allows_datagrams = is_on("allowed.peers");
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

/// Reads the notice board's address alone, from a configuration that replaces an earlier one.
pub fn parse_notice_board(text: &[u8]) -> Result<SocketAddr, ConfigError> {
    let json: Json = serde_json::from_slice(text)?;
    address_field(&json, "board")
}

/// The settings by their full names, with all that are required.
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
        // NaN is not positive either.
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

/// A value as the bench's wire writes it within lists and pairs: blanks and commas, which separate there, become `_`.
fn scalar_text(value: &Json) -> Option<String> {
    match value {
        Json::String(text) => Some(text.replace([' ', ','], "_")),
        Json::Number(number) => Some(number.to_string()),
        Json::Bool(on) => Some(on.to_string()),
        _ => None,
    }
}

/// Adds `value` under `path`: fields of objects and items of lists of objects under paths of their own, with the length of
/// such a list as `count`; lists of scalars as one value. `null` is left out.
fn flatten(path: &str, value: &Json, settings: &mut BTreeMap<String, String>) {
    let below = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Json::Object(fields) => {
            for (name, value) in fields {
                flatten(&below(name), value, settings);
            }
        }
        Json::Array(items) if items.iter().any(Json::is_object) => {
            settings.insert(below("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&below(&index.to_string()), item, settings);
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
