//! Text formats shared by several of the platform's messages.
use thiserror::Error;

/// One entry of a `name=value,name=value` list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameValue<'a> {
    /// Text before the first `=`; never empty.
    pub name: &'a str,
    /// Text after the first `=`; may be empty.
    pub value: &'a str,
}

/// An entry of a `name=value` list has no `=` or no name. Holds the entry, made printable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{0}' is not name=value")]
pub struct NotNameValue(pub String);

/// Iterates over the entries of a `name=value,name=value` list in order. `-` and the empty string
/// are empty lists, and empty entries are skipped.
pub fn name_value_pairs(list: &str) -> impl Iterator<Item = Result<NameValue<'_>, NotNameValue>> {
    let list = if list == "-" { "" } else { list };
    list.split(',')
        .filter(|entry| !entry.is_empty())
        .map(|entry| match entry.split_once('=') {
            Some((name, value)) if !name.is_empty() => Ok(NameValue { name, value }),
            _ => Err(NotNameValue(printable(entry))),
        })
}

/// Parses a request id or a function id: exactly 16 lower-case hexadecimal digits, the form in
/// which ids are written.
pub fn parse_hex16(text: &str) -> Option<u64> {
    let canonical =
        text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    canonical
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
}

/// Makes untrusted text safe for a log line or an error message: its first 40 characters, with
/// control characters replaced by `?`.
pub fn printable(text: &str) -> String {
    text.chars()
        .take(40)
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}
