//! Names and addresses: each is there, stands once, and what refers to another names one that exists.
use super::FieldError;
use crate::Section;
use std::net::SocketAddr;

/// Names are there, each once, and without characters that logs and the scheduler's settings give a meaning.
pub fn unique_names(sections: &[Section]) -> Result<Vec<String>, FieldError> {
    let mut names: Vec<String> = Vec::new();
    for section in sections {
        let name = section.text("name");
        let reserved = |c: char| c.is_whitespace() || c == ',' || c == '=';
        if name.is_empty() || name.chars().any(reserved) {
            let reason = format!("'{name}' is no name (no spaces, commas or '=')");
            return Err(FieldError::new(section.field_path("name"), reason));
        }
        if names.contains(&name) {
            return Err(FieldError::duplicate(section.field_path("name"), &name));
        }
        names.push(name);
    }
    Ok(names)
}

/// The first text of a list that stands there twice, with its place.
pub fn first_duplicate(texts: &[String]) -> Option<usize> {
    (1..texts.len()).find(|i| texts[..*i].contains(&texts[*i]))
}

/// The field names one of `names`; `kind` says what these are.
pub fn reference(
    section: &Section,
    field: &str,
    kind: &str,
    names: &[String],
) -> Result<(), FieldError> {
    let name = section.text(field);
    if names.contains(&name) {
        return Ok(());
    }
    let reason = format!("'{name}' is no {kind} of these settings");
    Err(FieldError::new(section.field_path(field), reason))
}

/// The field is an address and port on loopback that no field in `seen` has; port 0 may stand several times.
pub fn address(
    section: &Section,
    field: &str,
    seen: &mut Vec<SocketAddr>,
) -> Result<(), FieldError> {
    let text = section.text(field);
    let refused = |reason: &str| {
        Err(FieldError::new(
            section.field_path(field),
            format!("'{text}' {reason}"),
        ))
    };
    match text.parse::<SocketAddr>() {
        Ok(address) if !address.ip().is_loopback() => refused("is not on loopback"),
        Ok(address) if seen.contains(&address) && address.port() != 0 => {
            refused("is taken by another field")
        }
        Ok(address) => {
            seen.push(address);
            Ok(())
        }
        Err(_) => refused("is no address and port"),
    }
}
