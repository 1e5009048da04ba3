//! Access to one message of the settings, field by field.
use prost_reflect::{DynamicMessage, ReflectMessage, Value};

/// A message of the settings, with its path in the file, such as `event_type[1]`. Fields are read by their
/// names in the schema; a name that the schema does not have, or a field of another type, is a bug in this
/// program and panics.
#[derive(Clone, Debug)]
pub struct Section {
    pub(crate) message: DynamicMessage,
    /// Its path in the file; empty for the whole file.
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

    /// Whether the field is set.
    pub fn has(&self, field: &str) -> bool {
        self.message.has_field_by_name(field)
    }

    /// The path of one of its fields.
    pub fn field_path(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_string()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    /// A text; empty if it is not set.
    pub fn text(&self, field: &str) -> String {
        self.value(field).as_str().unwrap_or("").to_string()
    }

    /// A number of any unsigned or floating type.
    pub fn number(&self, field: &str) -> f64 {
        match self.value(field) {
            Value::U32(v) => f64::from(v),
            Value::U64(v) => v as f64,
            Value::F64(v) => v,
            other => panic!("field {field} holds {other:?}, no number"),
        }
    }

    /// An unsigned whole number.
    pub fn integer(&self, field: &str) -> u64 {
        match self.value(field) {
            Value::U32(v) => u64::from(v),
            Value::U64(v) => v,
            other => panic!("field {field} holds {other:?}, no whole number"),
        }
    }

    /// A signed whole number.
    pub fn signed_integer(&self, field: &str) -> i64 {
        match self.value(field) {
            Value::I32(v) => i64::from(v),
            other => panic!("field {field} holds {other:?}, no signed number"),
        }
    }

    /// A time in milliseconds, converted to tenths of a millisecond and rounded down.
    pub fn duration(&self, field: &str) -> u64 {
        // 0.3 ms times ten is a little under 3 in floating point.
        const ROUNDING: f64 = 1e-6;
        (self.number(field) * 10.0 + ROUNDING).floor() as u64
    }

    /// A flag; false if it is not set.
    pub fn flag(&self, field: &str) -> bool {
        self.value(field).as_bool().unwrap_or(false)
    }

    /// An enumeration value, by its name in the schema.
    pub fn enum_value(&self, field: &str) -> String {
        let descriptor = self
            .message
            .descriptor()
            .get_field_by_name(field)
            .expect("the field is known");
        let kind = descriptor.kind();
        let enumeration = kind.as_enum().expect("the field is an enumeration");
        let number = self.value(field).as_enum_number().unwrap_or(0);
        enumeration
            .get_value(number)
            .map_or(String::new(), |v| v.name().to_string())
    }

    /// A section within this one; with default values if it is not set.
    pub fn section(&self, field: &str) -> Section {
        let value = self.value(field);
        let message = value.as_message().cloned().expect("the field is a section");
        Section {
            message,
            path: self.field_path(field),
        }
    }

    /// The sections of a list.
    pub fn sections(&self, field: &str) -> Vec<Section> {
        let value = self.value(field);
        let list = value.as_list().unwrap_or(&[]).iter().enumerate();
        let section = |(i, value): (usize, &Value)| {
            Some(Section {
                message: value.as_message()?.clone(),
                path: format!("{}[{i}]", self.field_path(field)),
            })
        };
        list.filter_map(section).collect()
    }

    /// The texts of a list.
    pub fn strings(&self, field: &str) -> Vec<String> {
        let value = self.value(field);
        let list = value.as_list().unwrap_or(&[]);
        list.iter()
            .filter_map(|v| v.as_str().map(str::to_string))
            .collect()
    }
}
