//! Checks of names, references and addresses: each is set and unique, and each reference names an entry that
//! exists.
use super::FieldError;
use crate::Section;
use std::net::SocketAddr;

/// Checks that each section has a name that is unique and free of characters with a meaning in logs and in
/// the scheduler's settings. Returns the names.
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

/// The index of the first text that occurs earlier in the list as well.
pub fn first_duplicate(texts: &[String]) -> Option<usize> {
    (1..texts.len()).find(|i| texts[..*i].contains(&texts[*i]))
}

/// Checks that the field holds one of `names`; `kind` says in the error message what these are.
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

/// Checks that the field holds a loopback address and port that is not in `seen`, and adds it there. Port 0
/// may occur several times.
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
