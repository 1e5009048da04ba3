//! Checks of the settings for leases and membership of several gateways.
use super::references::address;
use super::FieldError;
use crate::Section;
use tidewall_lease::ballot::MAX_MEMBERS;
use tidewall_lease::lease::MAX_GRANTORS;

/// The smallest number of grantors of which a majority remains after the loss of one.
const MIN_GRANTORS: usize = 3;

/// Renewals that `tidewall-lease` sends to each grantor during one lease.
const RENEWALS_PER_LEASE: f64 = 4.0;

/// Renewals that fit into one datagram of 256 bytes, and the bytes of one.
const RENEWALS_PER_DATAGRAM: f64 = 14.0;
const RENEWAL_BYTES: f64 = 18.0;

/// Factor on the traffic of renewals: responses, pings and new proposals need as much again.
const OTHER_TRAFFIC: f64 = 2.0;

/// Checks the `fleet_common` section.
pub fn check(common: &Section, gateways: &[Section]) -> Result<(), FieldError> {
    let members: Vec<String> = gateways.iter().map(|g| g.text("name")).collect();
    if members.len() > MAX_MEMBERS {
        let reason = format!("{} members are over {MAX_MEMBERS}", members.len());
        return Err(FieldError::new("gateway", reason));
    }
    addresses(gateways)?;
    let grantors = grantors(common, &members)?;
    if common.text("key_file").is_empty() {
        return Err(FieldError::new(
            common.field_path("key_file"),
            "it is needed",
        ));
    }
    let usable = usable_duration(common)?;
    send_budget(common, grantors, usable)?;
    if 4 * common.duration("period_ms") > 10 * common.duration("term_ms") {
        let reason = "a lost member would be missed only terms after its leases ran out";
        return Err(FieldError::new(common.field_path("period_ms"), reason));
    }
    Ok(())
}

fn addresses(gateways: &[Section]) -> Result<(), FieldError> {
    let (mut listen_addresses, mut reached_addresses) = (Vec::new(), Vec::new());
    for gateway in gateways {
        address(gateway, "common_address", &mut listen_addresses)?;
        let field = if gateway.has("common_reached_at") {
            "common_reached_at"
        } else {
            "common_address"
        };
        address(gateway, field, &mut reached_addresses)?;
    }
    Ok(())
}

/// Checks the grantors and returns how many there are.
fn grantors(common: &Section, members: &[String]) -> Result<usize, FieldError> {
    let grantors = common.strings("keeper");
    let count = grantors.len();
    if !(MIN_GRANTORS..=MAX_GRANTORS).contains(&count) || count.is_multiple_of(2) {
        let reason = format!("{count} are told; an odd number from 3 to {MAX_GRANTORS} is needed");
        return Err(FieldError::new(common.field_path("keeper"), reason));
    }
    for (i, grantor) in grantors.iter().enumerate() {
        let path = format!("fleet_common.keeper[{i}]");
        if grantors[..i].contains(grantor) {
            return Err(FieldError::duplicate(path, grantor));
        }
        if !members.contains(grantor) {
            let reason = format!("'{grantor}' is no gateway of these settings");
            return Err(FieldError::new(path, reason));
        }
    }
    Ok(count)
}

/// Returns for how long a holder may act on a lease, in tenths of a millisecond. With less than half of the
/// lease's duration, no member could act for most of the time.
fn usable_duration(common: &Section) -> Result<u64, FieldError> {
    let (duration, permit) = (common.duration("term_ms"), common.duration("ticket_ms"));
    let usable =
        tidewall_lease::duration::usable_duration(duration, common.integer("clocks_ppm"), permit);
    if 2 * usable < duration {
        let reason = format!(
            "{} leaves {} ms to act after what clocks_ppm and ticket_ms take off; at least half of it is needed",
            common.number("term_ms"),
            usable as f64 / 10.0
        );
        return Err(FieldError::new(common.field_path("term_ms"), reason));
    }
    Ok(usable)
}

/// Checks that the send budget allows a single remaining member to renew all leases.
fn send_budget(common: &Section, grantors: usize, usable: u64) -> Result<(), FieldError> {
    let seconds = usable as f64 / 10_000.0;
    let renewals = RENEWALS_PER_LEASE * common.number("leases") * grantors as f64 / seconds;
    let datagrams = OTHER_TRAFFIC * renewals / RENEWALS_PER_DATAGRAM;
    let bytes = OTHER_TRAFFIC * renewals * RENEWAL_BYTES;
    for (field, least) in [("datagrams_per_s", datagrams), ("bytes_per_s", bytes)] {
        if common.number(field) < least {
            let reason = format!(
                "{} cannot renew the leases where one member is left: {least:.0} is needed",
                common.number(field)
            );
            return Err(FieldError::new(common.field_path(field), reason));
        }
    }
    Ok(())
}
