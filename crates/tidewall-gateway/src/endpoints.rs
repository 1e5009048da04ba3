//! Endpoint records as the discovery server sends them, and the stored form of an endpoint list: magic
//! bytes, a checksum, and a native endpoint-list frame. A file that is damaged or of another version is not
//! used.
pub use crate::endpoint_cache::{
    BackgroundEndpointCache, EndpointCache, FileEndpointCache, NoEndpointCache,
};
use std::net::SocketAddr;
use thiserror::Error;
use tidewall::interface::{EndpointState, Time};
use tidewall::interner;
use tidewall_wire::{frame, kind, Entries, Field, Fields, Frame, WireError};

/// The reason why a stored endpoint list is not used.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// The file does not begin with this version's magic bytes.
    #[error("field magic: not an endpoint list of this version")]
    UnknownVersion,
    /// The file ends within its checksum.
    #[error("field sum: truncated")]
    Truncated,
    /// The checksum does not match the body.
    #[error("field sum: checksum mismatch")]
    ChecksumMismatch,
    /// The body is malformed.
    #[error(transparent)]
    Body(#[from] WireError),
}

/// One worker in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The worker's name, unique in the list.
    pub name: String,
    /// The address on which the worker accepts connections.
    pub address: SocketAddr,
    /// The worker's zone; empty if it has none.
    pub zone: String,
    /// The worker's kind of machine; empty if it has none.
    pub machine: String,
    /// The worker's cell: workers of one cell fail together.
    pub cell: u32,
    /// Active, draining or removed.
    pub state: EndpointState,
    /// The worker's capacity, relative to that of other workers.
    pub rating: f64,
    /// Identifies a start of the worker; a later start has a higher number.
    pub incarnation: u64,
    /// How long ago the worker started, in tenths of a millisecond; 0 if that is long ago or unknown.
    pub age: Time,
}

/// The highest age that a record may contain, so that sums of ages and times do not overflow.
const MAX_AGE: Time = Time::MAX >> 8;

/// Reads a record's fields.
///
/// # Errors
/// If a field is missing or invalid; the error names it.
pub fn read_record(fields: &Fields) -> Result<EndpointRecord, WireError> {
    let address = fields.text(Field::Place)?;
    Ok(EndpointRecord {
        name: fields.text(Field::Name)?.to_string(),
        address: address.parse().map_err(|_| {
            WireError::invalid(Field::Place, format!("'{address}' is no address and port"))
        })?,
        zone: fields.word(Field::Zone)?.to_string(),
        machine: fields.word(Field::Machine)?.to_string(),
        cell: fields.upto(Field::Cell, u64::from(u32::MAX), 0)? as u32,
        state: state_from_wire(fields.text(Field::Standing)?)?,
        rating: fields.real(Field::Rating, 1.0)?,
        incarnation: fields.upto(Field::Life, u64::MAX, 0)?,
        age: fields.upto(Field::Age, MAX_AGE, 0)?,
    })
}

/// Parses a state's name on the wire.
fn state_from_wire(word: &str) -> Result<EndpointState, WireError> {
    match word {
        "on" => Ok(EndpointState::Active),
        "draining" => Ok(EndpointState::Draining),
        "gone" => Ok(EndpointState::Removed),
        other => Err(WireError::invalid(
            Field::Standing,
            format!("'{other}' is no standing"),
        )),
    }
}

/// Writes a record's fields, for stored lists and for discovery servers.
pub fn write_record<'a>(frame: Frame<'a>, record: &EndpointRecord) -> Frame<'a> {
    let state = match record.state {
        EndpointState::Active => "on",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "gone",
    };
    frame
        .text(Field::Name, &record.name)
        .text(Field::Place, &record.address.to_string())
        .text(Field::Zone, &record.zone)
        .text(Field::Machine, &record.machine)
        .whole(Field::Cell, u64::from(record.cell))
        .text(Field::Standing, state)
        .real(Field::Rating, record.rating)
        .whole(Field::Life, record.incarnation)
        .whole(Field::Age, record.age)
}

/// The first bytes of a stored list: format name and version.
const MAGIC: &[u8; 8] = b"tdwlist1";

/// Encodes a list for storage. The time of writing is not included; the cache knows it.
pub fn encode(records: &[EndpointRecord]) -> Vec<u8> {
    let mut entries = Entries::default();
    for record in records {
        entries.add(|frame| write_record(frame, record));
    }
    let mut body = Vec::new();
    Frame::new(&mut body, kind::ROSTER)
        .text(Field::Scope, "whole")
        .entries(&entries)
        .end();
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&checksum(&body).to_be_bytes());
    out.extend_from_slice(&body);
    out
}

fn checksum(bytes: &[u8]) -> u64 {
    // The non-cryptographic hash that is used for names suffices: it detects damaged files, not forged
    // ones.
    let text: String = bytes.iter().map(|byte| char::from(*byte)).collect();
    interner::fnv1a(&text)
}

/// Decodes a stored list that was written `elapsed` tenths of a millisecond ago; the workers' ages are
/// increased by that time.
///
/// # Errors
/// If the list is of another version, damaged or malformed.
pub fn decode(bytes: &[u8], elapsed: Time) -> Result<Vec<EndpointRecord>, EndpointListError> {
    let rest = bytes
        .strip_prefix(MAGIC)
        .ok_or(EndpointListError::UnknownVersion)?;
    let (stored, body) = rest
        .split_first_chunk::<8>()
        .ok_or(EndpointListError::Truncated)?;
    if checksum(body) != u64::from_be_bytes(*stored) {
        return Err(EndpointListError::ChecksumMismatch);
    }
    let (body, _) = frame(body)?.ok_or(WireError::Truncated)?;
    let mut records = Vec::new();
    Fields::read(body)?.entries(|entry| {
        let mut record = read_record(entry)?;
        // An unknown age stays unknown.
        record.age += if record.age > 0 { elapsed } else { 0 };
        records.push(record);
        Ok(())
    })?;
    Ok(records)
}
