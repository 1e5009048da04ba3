//! Why a record cannot be checked.
use thiserror::Error;

/// A record that cannot be read; its text names the line.
#[derive(Debug, Error)]
pub enum RecordError {
    /// A line that is not the JSON which belongs there.
    #[error("record line {line}: {cause}")]
    InvalidLine {
        /// The line, counted from 1.
        line: usize,
        /// What is wrong with it.
        cause: serde_json::Error,
    },
    /// The record has no line, so the rules' figures are missing.
    #[error("record line 1: it is empty")]
    Empty,
}
