//! Checks of the AMQP ingress's settings.
use super::references::{reference, unique_names};
use super::FieldError;
use crate::Section;

/// Checks the `amqp` section.
pub fn check(amqp: &Section, tenants: &[String]) -> Result<(), FieldError> {
    users(amqp, tenants)?;
    for function in amqp.sections("function") {
        let name = function.text("name");
        if name.trim_end_matches('*').contains('*') || name.is_empty() {
            let reason = format!("'{name}' is no name, nor the start of one and '*'");
            return Err(FieldError::new(function.field_path("name"), reason));
        }
    }
    let trigger = amqp.text("trigger_exchange");
    if trigger.is_empty() {
        return Err(FieldError::new(
            amqp.field_path("trigger_exchange"),
            "it needs a name",
        ));
    }
    if trigger == amqp.text("dead_letter_exchange") {
        let path = amqp.field_path("dead_letter_exchange");
        return Err(FieldError::new(path, "dead letters would be events again"));
    }
    Ok(())
}

fn users(amqp: &Section, tenants: &[String]) -> Result<(), FieldError> {
    let users = amqp.sections("user");
    if users.is_empty() {
        return Err(FieldError::new(
            amqp.field_path("user"),
            "at least one is needed",
        ));
    }
    unique_names(&users)?;
    for user in &users {
        if !user.text("password_hash").starts_with("$argon2") {
            let reason = "it is no hash of argon2 (see tidewall hash-password)";
            return Err(FieldError::new(user.field_path("password_hash"), reason));
        }
        if user.has("tenant") {
            reference(user, "tenant", "tenant", tenants)?;
        }
    }
    Ok(())
}
