//! Checks that the schema cannot express: ranges, references between fields, and contradictory times.
mod amqp;
mod coordination;
mod failover;
mod fleet;
mod ranges;
mod references;
mod script;

pub use ranges::check as ranges;
pub use script::check as script;

use crate::Section;
use references::{address, first_duplicate, reference, unique_names};
use std::net::SocketAddr;

/// A field whose value cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The field's path, such as `event_type[1].max_age_ms`.
    pub path: String,
    /// What is wrong with it.
    pub reason: String,
}

impl FieldError {
    fn new(path: impl Into<String>, reason: impl Into<String>) -> FieldError {
        FieldError {
            path: path.into(),
            reason: reason.into(),
        }
    }

    fn duplicate(path: impl Into<String>, name: &str) -> FieldError {
        FieldError::new(path, format!("'{name}' stands twice"))
    }
}

/// The deadline of a request class is at least this many ticks: a gateway must read its clock a few times
/// before the client gives up, so that it can send a response of its own.
const MIN_DEADLINE_TICKS: f64 = 20.0;

/// Checks the settings of a site.
pub fn settings(settings: &Section) -> Result<(), FieldError> {
    let zones = settings.strings("zone");
    if let Some(i) = first_duplicate(&zones) {
        return Err(FieldError::duplicate(format!("zone[{i}]"), &zones[i]));
    }
    required_lists(settings, &zones)?;
    let kinds = unique_names(&settings.sections("kind"))?;
    let classes = unique_names(&settings.sections("event_type"))?;
    let tenants = unique_names(&settings.sections("tenant"))?;
    let gateways = settings.sections("gateway");
    unique_names(&gateways)?;
    incarnation_files(&gateways)?;
    let mut addresses = addresses(settings, &gateways, &zones)?;
    if settings.has("amqp") {
        amqp::check(&settings.section("amqp"), &tenants)?;
    }
    if settings.has("pair") {
        failover::check(&settings.section("pair"), gateways.len(), &mut addresses)?;
    }
    if settings.has("fleet_common") {
        coordination::check(&settings.section("fleet_common"), &gateways)?;
    }
    let tick = settings.number("tick_ms");
    for class in settings.sections("event_type") {
        request_class(&class, tick)?;
    }
    limits(settings)?;
    if settings.has("fleet") {
        fleet::check(&settings.section("fleet"), &zones, &kinds, &classes)?;
    }
    Ok(())
}

/// Checks that no two gateways share an incarnation file: each would take numbers that belong to the other.
fn incarnation_files(gateways: &[Section]) -> Result<(), FieldError> {
    let named = gateways.iter().filter(|g| g.has("incarnation_file"));
    let named: Vec<&Section> = named.collect();
    let paths: Vec<String> = named.iter().map(|g| g.text("incarnation_file")).collect();
    match first_duplicate(&paths) {
        None => Ok(()),
        Some(i) => {
            let field = named[i].field_path("incarnation_file");
            Err(FieldError::duplicate(field, &paths[i]))
        }
    }
}

fn required_lists(settings: &Section, zones: &[String]) -> Result<(), FieldError> {
    for list in ["gateway", "event_type", "zone"] {
        let empty = if list == "zone" {
            zones.is_empty()
        } else {
            settings.sections(list).is_empty()
        };
        if empty {
            return Err(FieldError::new(list, "at least one is needed"));
        }
    }
    Ok(())
}

/// Checks the addresses of gateways and of the discovery server. Returns those that clients, workers and
/// gateways connect to, without those for datagrams.
fn addresses(
    settings: &Section,
    gateways: &[Section],
    zones: &[String],
) -> Result<Vec<SocketAddr>, FieldError> {
    let mut addresses = Vec::new();
    for gateway in gateways {
        address(gateway, "address", &mut addresses)?;
        reference(gateway, "zone", "zone", zones)?;
    }
    let mut datagram_addresses = Vec::new();
    for gateway in gateways.iter().filter(|g| g.has("peer_address")) {
        address(gateway, "peer_address", &mut datagram_addresses)?;
    }
    address(&settings.section("roster"), "address", &mut addresses)?;
    for gateway in gateways.iter().filter(|g| g.has("amqp_address")) {
        address(gateway, "amqp_address", &mut addresses)?;
        if !settings.has("amqp") {
            let path = gateway.field_path("amqp_address");
            return Err(FieldError::new(
                path,
                "there is no amqp section in these settings",
            ));
        }
    }
    Ok(addresses)
}

fn request_class(class: &Section, tick: f64) -> Result<(), FieldError> {
    let (objective, deadline) = (class.number("target_time_ms"), class.number("max_age_ms"));
    if deadline < objective {
        let reason = format!("{deadline} is under target_time_ms, {objective}");
        return Err(FieldError::new(class.field_path("max_age_ms"), reason));
    }
    if deadline < MIN_DEADLINE_TICKS * tick {
        let reason = format!("{deadline} is under twenty times tick_ms, {tick}");
        return Err(FieldError::new(class.field_path("max_age_ms"), reason));
    }
    let keyed = class.enum_value("redelivery") == "KEYED";
    if keyed && class.number("window_ms") <= 0.0 {
        let reason = "a KEYED event type needs a window above 0";
        return Err(FieldError::new(class.field_path("window_ms"), reason));
    }
    if !keyed && class.has("window_ms") && class.number("window_ms") > 0.0 {
        let reason = "only a KEYED event type has a window";
        return Err(FieldError::new(class.field_path("window_ms"), reason));
    }
    Ok(())
}

fn limits(settings: &Section) -> Result<(), FieldError> {
    let limits = settings.section("limits");
    let connect = limits.number("connect_time_out_ms");
    let keep_alive = limits.number("keep_alive_ms");
    if keep_alive < connect {
        let reason = format!("{keep_alive} is under connect_time_out_ms, {connect}");
        return Err(FieldError::new(limits.field_path("keep_alive_ms"), reason));
    }
    let reports = settings.section("reports");
    if limits.flag("probes") && !reports.flag("in_flight") && !reports.flag("busy") {
        let reason = "probes are allowed, but reports tell neither in_flight nor busy";
        return Err(FieldError::new(reports.field_path("busy"), reason));
    }
    Ok(())
}
