//! Why the adapter ends early. Each text is one line that names the line of the input, and the field where there is one.
use thiserror::Error;
use tidewall::settings::SettingsError;

/// A line that cannot be meant.
#[derive(Debug, Error)]
pub enum FieldError {
    /// A part of the line without an equals sign.
    #[error("'{part}' is not name=value")]
    NotAPair {
        /// The part.
        part: String,
    },
    /// A field without which the event says nothing is left out or empty.
    #[error("field {field} is missing")]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// A value that is not of the field's type.
    #[error("field {field}: '{value}' is not a valid value")]
    Invalid {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A number that is negative, infinite or too large.
    #[error("field {field}: '{value}' is out of range")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// A flag that is neither set nor clear.
    #[error("field {field}: '{value}' is neither 0 nor 1")]
    NotAFlag {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A word that is not among those that the field may have.
    #[error("field {field}: '{value}' is no {expected}")]
    UnknownWord {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
        /// What the field holds.
        expected: &'static str,
    },
    /// A name that the settings do not have.
    #[error("field {field}: '{value}' is unknown")]
    UnknownName {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A gateway's name that is not of the form that names one.
    #[error("field {field}: '{value}' is not an instance")]
    NotAGateway {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// An event of a gateway that has not started or was killed.
    #[error("field {field}: this instance is not up")]
    GatewayNotRunning {
        /// Name of the field.
        field: &'static str,
    },
    /// A part of a load report that is not a name with a finite number.
    #[error("field {field}: '{value}' is not name:number")]
    LoadReport {
        /// Name of the field.
        field: &'static str,
        /// The part of the report.
        value: String,
    },
    /// A peer's message that is not base64.
    #[error("field {field}: {cause}")]
    Payload {
        /// Name of the field.
        field: &'static str,
        /// What is wrong with the encoding.
        cause: base64::DecodeError,
    },
    /// Settings of a gateway with which it cannot start.
    #[error("field {field}: {cause}")]
    Settings {
        /// Name that the simulator gives to the settings as a whole.
        field: &'static str,
        /// The setting and what is wrong with it.
        cause: SettingsError,
    },
}

/// What is wrong with the input or the output at one line.
#[derive(Debug, Error)]
pub enum LineErrorKind {
    /// A field cannot be meant.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// An event before the batch that it would belong to.
    #[error("'{event}' stands outside a batch")]
    OutsideBatch {
        /// First word of the line.
        event: String,
    },
    /// Fewer entries of an endpoint list than its event announced.
    #[error("field {field}: an entry is missing")]
    EntryMissing {
        /// Name of the field that announced them.
        field: &'static str,
    },
    /// The input is over before the batch is.
    #[error("input ends inside a batch")]
    EndsInsideBatch,
}

/// A failure and where it is.
#[derive(Debug, Error)]
#[error("line {line}: {kind}")]
pub struct LineError {
    /// Line of the input, counted from 1.
    pub line: u64,
    /// What is wrong there.
    pub kind: LineErrorKind,
}
