//! Errors in settings and script files, displayed as one line with file, line and column.
use crate::check::FieldError;
use thiserror::Error;

/// A file that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}:{column}: {problem}")]
pub struct ConfigError {
    /// The file's name, as it was given.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1, in octets.
    pub column: usize,
    /// What is wrong there.
    pub problem: ConfigProblem,
}

/// What is wrong in a settings or script file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigProblem {
    /// The text is not valid protobuf text format for the schema.
    #[error("{0}")]
    Syntax(String),
    /// A field's value cannot be used.
    #[error("{path}: {reason}")]
    Field {
        /// The field's path, such as `event_type[1].max_age_ms`.
        path: String,
        /// What is wrong with its value.
        reason: String,
    },
}

impl From<FieldError> for ConfigProblem {
    fn from(error: FieldError) -> ConfigProblem {
        ConfigProblem::Field {
            path: error.path,
            reason: error.reason,
        }
    }
}

/// For callers that only forward the error's text.
impl From<ConfigError> for String {
    fn from(error: ConfigError) -> String {
        error.to_string()
    }
}
