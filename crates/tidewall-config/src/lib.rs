//! Settings and scripts in protobuf text format. `read` parses a file against the schema in `proto/`, checks
//! what the schema cannot say (`check.rs`) and names file, line, column and field in one plain line where
//! something is wrong. `plain` hands settings to the decisions as their plain map.
mod check;
mod places;
mod plain;

pub use places::Places;
pub use plain::plain;

use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage, ReflectMessage, Value};
use std::sync::OnceLock;

fn pool() -> &'static DescriptorPool {
    static POOL: OnceLock<DescriptorPool> = OnceLock::new();
    let bytes = include_bytes!(concat!(env!("OUT_DIR"), "/schema.bin")).as_ref();
    POOL.get_or_init(|| DescriptorPool::decode(bytes).expect("the schema was compiled at build"))
}

/// A message with the place that it has in its file, such as `event_type[1]`.
#[derive(Clone, Debug)]
pub struct Section {
    message: DynamicMessage,
    pub path: String,
}

impl Section {
    fn value(&self, field: &str) -> Value {
        let name = self.message.descriptor().name().to_string();
        let value = self.message.get_field_by_name(field);
        value
            .unwrap_or_else(|| panic!("the schema has no field {field} in {name}"))
            .into_owned()
    }

    pub fn has(&self, field: &str) -> bool {
        self.message.has_field_by_name(field)
    }

    /// Where a field of this section stands.
    pub fn at(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_string()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    pub fn text(&self, field: &str) -> String {
        self.value(field).as_str().unwrap_or("").to_string()
    }

    pub fn number(&self, field: &str) -> f64 {
        match self.value(field) {
            Value::U32(v) => f64::from(v),
            Value::U64(v) => v as f64,
            Value::F64(v) => v,
            other => panic!("field {field} holds {other:?}, no number"),
        }
    }

    pub fn whole(&self, field: &str) -> u64 {
        match self.value(field) {
            Value::U32(v) => u64::from(v),
            Value::U64(v) => v,
            other => panic!("field {field} holds {other:?}, no whole number"),
        }
    }

    pub fn signed(&self, field: &str) -> i64 {
        match self.value(field) {
            Value::I32(v) => i64::from(v),
            other => panic!("field {field} holds {other:?}, no signed number"),
        }
    }

    /// A time in milliseconds as tenths of one, rounded down.
    pub fn span(&self, field: &str) -> u64 {
        (self.number(field) * 10.0 + 1e-6).floor() as u64
    }

    pub fn flag(&self, field: &str) -> bool {
        self.value(field).as_bool().unwrap_or(false)
    }

    /// The name of an enumeration's value.
    pub fn choice(&self, field: &str) -> String {
        let descriptor = self
            .message
            .descriptor()
            .get_field_by_name(field)
            .expect("the field is known");
        let kind = descriptor.kind();
        let of = kind.as_enum().expect("the field is an enumeration");
        let number = self.value(field).as_enum_number().unwrap_or(0);
        of.get_value(number)
            .map_or(String::new(), |v| v.name().to_string())
    }

    /// A section within this one; its defaults where it is left out.
    pub fn section(&self, field: &str) -> Section {
        let value = self.value(field);
        let message = value.as_message().cloned().expect("the field is a section");
        Section {
            message,
            path: self.at(field),
        }
    }

    pub fn sections(&self, field: &str) -> Vec<Section> {
        let value = self.value(field);
        let list = value.as_list().unwrap_or(&[]).iter().enumerate();
        let section = |(i, v): (usize, &Value)| {
            Some(Section {
                message: v.as_message()?.clone(),
                path: format!("{}[{i}]", self.at(field)),
            })
        };
        list.filter_map(section).collect()
    }

    pub fn texts(&self, field: &str) -> Vec<String> {
        let value = self.value(field);
        let list = value.as_list().unwrap_or(&[]);
        list.iter()
            .filter_map(|v| v.as_str().map(str::to_string))
            .collect()
    }
}

/// What both members of a pair must have in common, a line each: path and value.
pub fn agree(s: &Section) -> Vec<String> {
    let mut lines = Vec::new();
    each(&s.message, "", &mut lines);
    let own = |l: &String| {
        let path = l.split(' ').next().unwrap_or("");
        path.starts_with("pair.own")
            || path.starts_with("pair.peer")
            || path.ends_with("].seed")
            || path.ends_with("].last_list")
            || path == "pair.key_file"
            || path.starts_with("fleet")
    };
    lines.retain(|l| !own(l));
    lines
}

fn each(message: &DynamicMessage, path: &str, lines: &mut Vec<String>) {
    for (field, value) in message.fields() {
        let at = if path.is_empty() {
            field.name().to_string()
        } else {
            format!("{path}.{}", field.name())
        };
        match value {
            Value::Message(m) => each(m, &at, lines),
            Value::List(list) => {
                for (i, v) in list.iter().enumerate() {
                    match v {
                        Value::Message(m) => each(m, &format!("{at}[{i}]"), lines),
                        v => lines.push(format!("{at}[{i}] = {v}")),
                    }
                }
            }
            v => lines.push(format!("{at} = {v}")),
        }
    }
}

/// Settings of a site, from a file's text. The error is one line.
pub fn settings(file: &str, text: &str) -> Result<Section, String> {
    read(file, text, "tidewall.Settings", check::settings)
}

/// A script of faults.
pub fn script(file: &str, text: &str) -> Result<Section, String> {
    read(file, text, "tidewall.Script", check::script)
}

type Check = fn(&Section) -> Result<(), (String, String)>;

fn read(file: &str, text: &str, name: &str, check: Check) -> Result<Section, String> {
    let descriptor = pool().get_message_by_name(name).expect("the schema has it");
    let message = DynamicMessage::parse_text_format(descriptor, text).map_err(|e| {
        let span = e
            .labels()
            .and_then(|mut l| l.next())
            .map_or(text.len(), |l| l.offset());
        let (line, column) = places::line_and_column(text, span);
        format!(
            "{file}:{line}:{column}: {}",
            e.to_string().replace('\n', " ")
        )
    })?;
    let section = Section {
        message,
        path: String::new(),
    };
    check::ranges(&section)
        .and_then(|()| check(&section))
        .map_err(|(path, what)| {
            let (line, column) = Places::of(text).find(&path);
            format!("{file}:{line}:{column}: {path}: {what}")
        })?;
    Ok(section)
}
