//! Lines that frame the events: batches, and entries of an endpoint list.
use super::Fields;
use crate::error::FieldError;
use tidewall::interface::Time;

/// The field with the number of entries that follow an endpoint update.
pub const ENTRY_COUNT: &str = "members-list";

/// What a line of the input is.
pub enum Line<'a> {
    /// A batch of events begins; its fields.
    BatchStart(&'a str),
    /// The batch is over, and the commands are due.
    BatchEnd,
    /// Nothing.
    Empty,
    /// Anything else: an event.
    Event,
}

impl<'a> Line<'a> {
    /// Tells by its first word what a line is.
    pub fn classify(line: &'a str) -> Line<'a> {
        match line.strip_prefix("TURN") {
            Some(fields) => Line::BatchStart(fields),
            None if line == "COMMIT" => Line::BatchEnd,
            None if line.is_empty() => Line::Empty,
            None => Line::Event,
        }
    }
}

/// The time of a batch from its fields, in tenths of a millisecond.
pub fn batch_time(fields: &str) -> Result<Time, FieldError> {
    let fields = Fields::parse(fields)?;
    fields.text("wall-ms")?;
    fields.duration("wall-ms")
}

/// How many entries of an endpoint list follow this event; 0 after any other event.
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

/// The fields of an entry of an endpoint list.
pub fn entry_fields(line: &str) -> Result<Fields<'_>, FieldError> {
    Fields::parse(line.strip_prefix('M').unwrap_or(line))
}

/// Divides an event into its name and the text of its fields.
pub fn split_event(line: &str) -> (&str, &str) {
    line.split_once(' ').unwrap_or((line, ""))
}
