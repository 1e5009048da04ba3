//! Checks of the settings of two gateways behind one address.
use super::references::{address, first_duplicate, unique_names};
use super::FieldError;
use crate::Section;
use std::net::SocketAddr;

/// The smallest number of voters of which a majority remains after the loss of one.
const MIN_VOTERS: usize = 3;

/// Checks the `pair` section; `addresses` are those that other fields already use.
pub fn check(
    pair: &Section,
    gateway_count: usize,
    addresses: &mut Vec<SocketAddr>,
) -> Result<(), FieldError> {
    if gateway_count != 1 {
        let reason = format!("a pair is one gateway, and there are {gateway_count}");
        return Err(FieldError::new(pair.field_path("own"), reason));
    }
    let members = [pair.section("own"), pair.section("peer")];
    unique_names(&members)?;
    let mut vrrp_addresses = Vec::new();
    for member in &members {
        address(member, "vrrp_address", &mut vrrp_addresses)?;
        address(member, "link_address", addresses)?;
    }
    if vrrp_addresses[0].ip() == vrrp_addresses[1].ip() {
        let path = members[1].field_path("vrrp_address");
        return Err(FieldError::new(
            path,
            "members are told apart by their IP addresses",
        ));
    }
    if pair.text("key_file").is_empty() {
        return Err(FieldError::new(pair.field_path("key_file"), "it is needed"));
    }
    voters(pair)
}

fn voters(pair: &Section) -> Result<(), FieldError> {
    let voters = pair.strings("voter");
    if voters.len() < MIN_VOTERS || voters.len().is_multiple_of(2) {
        let count = voters.len();
        let reason = format!("{count} are told; an odd number from 3 on is needed");
        return Err(FieldError::new(pair.field_path("voter"), reason));
    }
    if let Some(i) = first_duplicate(&voters) {
        return Err(FieldError::duplicate(
            format!("pair.voter[{i}]"),
            &voters[i],
        ));
    }
    Ok(())
}
