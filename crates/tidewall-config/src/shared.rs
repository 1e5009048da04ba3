//! Settings that must be the same for two gateways behind one address.
use crate::Section;
use prost_reflect::{DynamicMessage, Value};

/// All settings except those that differ between the members, each as a line with path and value.
pub fn shared_settings(settings: &Section) -> Vec<String> {
    let mut lines = Vec::new();
    collect(&settings.message, "", &mut lines);
    lines.retain(|line| !is_member_specific(line));
    lines
}

fn is_member_specific(line: &str) -> bool {
    let path = line.split(' ').next().unwrap_or("");
    path.starts_with("pair.own")
        || path.starts_with("pair.peer")
        || path.ends_with("].seed")
        || path.ends_with("].last_list")
        || path.ends_with("].incarnation_file")
        || path == "pair.key_file"
        || path.starts_with("fleet")
}

fn collect(message: &DynamicMessage, path: &str, lines: &mut Vec<String>) {
    for (field, value) in message.fields() {
        let field_path = if path.is_empty() {
            field.name().to_string()
        } else {
            format!("{path}.{}", field.name())
        };
        match value {
            Value::List(list) => {
                for (i, entry) in list.iter().enumerate() {
                    collect_value(entry, &format!("{field_path}[{i}]"), lines);
                }
            }
            single => collect_value(single, &field_path, lines),
        }
    }
}

fn collect_value(value: &Value, path: &str, lines: &mut Vec<String>) {
    match value {
        Value::Message(message) => collect(message, path, lines),
        other => lines.push(format!("{path} = {other}")),
    }
}
