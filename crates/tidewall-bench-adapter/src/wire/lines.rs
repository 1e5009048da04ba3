//! Framing lines: starts and ends of batches, and entries of endpoint lists.
use super::Fields;
use crate::error::FieldError;
use tidewall::interface::Time;

/// Field with the number of entries that follow an endpoint update.
pub const ENTRY_COUNT: &str = "members-list";

/// Kind of an input line.
pub enum Line<'a> {
    /// Start of a batch of events. Holds the text of its fields.
    BatchStart(&'a str),
    /// End of a batch. Its commands are to be sent.
    BatchEnd,
    /// An empty line.
    Empty,
    /// An event: any other line.
    Event,
}

impl<'a> Line<'a> {
    /// Determines the kind of a line from its start.
    pub fn classify(line: &'a str) -> Line<'a> {
        match line.strip_prefix("TURN") {
            Some(fields) => Line::BatchStart(fields),
            None if line == "COMMIT" => Line::BatchEnd,
            None if line.is_empty() => Line::Empty,
            None => Line::Event,
        }
    }
}

/// Parses the time of a batch from its fields, in tenths of a millisecond.
pub fn batch_time(fields: &str) -> Result<Time, FieldError> {
    let fields = Fields::parse(fields)?;
    fields.text("wall-ms")?;
    fields.duration("wall-ms")
}

/// Returns the number of endpoint list entries that follow this event; 0 for any event but an
/// endpoint update.
pub fn entry_count(event: &str) -> Result<u32, FieldError> {
    match event.strip_prefix("VIEW ") {
        Some(fields) => Fields::parse(fields)?.parsed(ENTRY_COUNT, Some(0)),
        None => Ok(0),
    }
}

/// Whether a line is an entry of an endpoint list.
pub fn is_entry(line: &str) -> bool {
    line.starts_with("M ")
}

/// Parses the fields of an endpoint list entry.
pub fn entry_fields(line: &str) -> Result<Fields<'_>, FieldError> {
    Fields::parse(line.strip_prefix('M').unwrap_or(line))
}

/// Splits an event into its name and the text of its fields.
pub fn split_event(line: &str) -> (&str, &str) {
    line.split_once(' ').unwrap_or((line, ""))
}
