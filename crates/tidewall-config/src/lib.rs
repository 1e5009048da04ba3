//! Settings and scripts in protobuf text format.
//!
//! A file is parsed against the schema in `proto/` and then checked for what the schema cannot express.
//! Errors are one line with file, line, column and field. `scheduler_settings` converts settings to the
//! scheduler's map of names to values.
mod check;
mod error;
mod locations;
mod scheduler_settings;
mod section;
mod shared;

pub use error::{ConfigError, ConfigProblem};
pub use scheduler_settings::scheduler_settings;
pub use section::Section;
pub use shared::shared_settings;

use check::FieldError;
use locations::{line_and_column, FieldLocations};
use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage};
use std::sync::OnceLock;

/// Parses and checks the settings of a site.
///
/// # Errors
/// The first syntax error, or the first field whose value cannot be used.
pub fn settings(file: &str, text: &str) -> Result<Section, ConfigError> {
    read(file, text, "tidewall.Settings", check::settings)
}

/// Parses and checks a fault script.
///
/// # Errors
/// As for [`settings`].
pub fn script(file: &str, text: &str) -> Result<Section, ConfigError> {
    read(file, text, "tidewall.Script", check::script)
}

type Check = fn(&Section) -> Result<(), FieldError>;

fn read(file: &str, text: &str, message_name: &str, check: Check) -> Result<Section, ConfigError> {
    let error = |(line, column), problem| ConfigError {
        file: file.to_string(),
        line,
        column,
        problem,
    };
    let message = parse(text, message_name)
        .map_err(|syntax| error(syntax.location, ConfigProblem::Syntax(syntax.reason)))?;
    let section = Section {
        message,
        path: String::new(),
    };
    check::ranges(&section)
        .and_then(|()| check(&section))
        .map_err(|field| {
            let location = FieldLocations::of(text).find(&field.path);
            error(location, ConfigProblem::from(field))
        })?;
    Ok(section)
}

/// An error in a text that does not match the schema.
struct SyntaxError {
    /// Line and column.
    location: (usize, usize),
    reason: String,
}

fn parse(text: &str, message_name: &str) -> Result<DynamicMessage, SyntaxError> {
    let descriptor = schema()
        .get_message_by_name(message_name)
        .expect("the schema has this message");
    DynamicMessage::parse_text_format(descriptor, text).map_err(|error| {
        let label = error.labels().and_then(|mut labels| labels.next());
        let offset = label.map_or(text.len(), |label| label.offset());
        SyntaxError {
            location: line_and_column(text, offset),
            reason: error.to_string().replace('\n', " "),
        }
    })
}

fn schema() -> &'static DescriptorPool {
    static SCHEMA: OnceLock<DescriptorPool> = OnceLock::new();
    let bytes = include_bytes!(concat!(env!("OUT_DIR"), "/schema.bin")).as_ref();
    SCHEMA.get_or_init(|| DescriptorPool::decode(bytes).expect("the schema was compiled at build"))
}
