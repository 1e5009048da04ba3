//! Errors that end the adapter before the end of its input. Each message is one line that names the
//! input line, and the field if there is one.
use thiserror::Error;
use tidewall::settings::SettingsError;

/// A line cannot be decoded or applied.
#[derive(Debug, Error)]
pub enum FieldError {
    /// A part of the line has no equals sign.
    #[error("'{part}' is not name=value")]
    NotAPair {
        /// The part without an equals sign.
        part: String,
    },
    /// A required field is missing or empty.
    #[error("field {field} is missing")]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// A value cannot be parsed as the field's type.
    #[error("field {field}: '{value}' is not a valid value")]
    Invalid {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
    },
    /// A number is negative, infinite or too large.
    #[error("field {field}: '{value}' is out of range")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: f64,
    },
    /// A flag is neither 0 nor 1.
    #[error("field {field}: '{value}' is neither 0 nor 1")]
    NotAFlag {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
    },
    /// A word is not one of the field's values.
    #[error("field {field}: '{value}' is no {expected}")]
    UnknownWord {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
        /// What kind of value the field holds.
        expected: &'static str,
    },
    /// A name is not in the settings.
    #[error("field {field}: '{value}' is unknown")]
    UnknownName {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
    },
    /// A gateway's name does not have the form `gateway/NUMBER`.
    #[error("field {field}: '{value}' is not an instance")]
    NotAGateway {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
    },
    /// An event is for a gateway that has not started or was killed.
    #[error("field {field}: this instance is not up")]
    GatewayNotRunning {
        /// Name of the field.
        field: &'static str,
    },
    /// An entry of a load report is not a name with a finite number.
    #[error("field {field}: '{value}' is not name:number")]
    LoadReport {
        /// Name of the field.
        field: &'static str,
        /// The entry of the report.
        value: String,
    },
    /// A peer message is not valid base64.
    #[error("field {field}: {cause}")]
    Payload {
        /// Name of the field.
        field: &'static str,
        /// Why it cannot be decoded.
        cause: base64::DecodeError,
    },
    /// A gateway cannot start with its settings.
    #[error("field {field}: {cause}")]
    Settings {
        /// Name of the field that stands for all settings.
        field: &'static str,
        /// The setting and why it is invalid.
        cause: SettingsError,
    },
}

/// What is wrong with the input or the output at a line.
#[derive(Debug, Error)]
pub enum LineErrorKind {
    /// A field is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// An event or a batch end comes outside a batch.
    #[error("'{event}' stands outside a batch")]
    OutsideBatch {
        /// First word of the line.
        event: String,
    },
    /// An endpoint list has fewer entries than its event announced.
    #[error("field {field}: an entry is missing")]
    EntryMissing {
        /// Name of the field that announced the entries.
        field: &'static str,
    },
    /// The input ends inside a batch.
    #[error("input ends inside a batch")]
    EndsInsideBatch,
}

/// An error and the input line where it occurred.
#[derive(Debug, Error)]
#[error("line {line}: {kind}")]
pub struct LineError {
    /// Line of the input, counted from 1.
    pub line: u64,
    /// What is wrong with the line.
    pub kind: LineErrorKind,
}
