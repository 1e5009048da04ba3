//! Checks of fault scripts.
use super::FieldError;
use crate::Section;

/// Faults without a duration.
const INSTANT: [&str; 4] = [
    "WORKER_RESET",
    "COPIES_VOID",
    "TERMINAL_CUT",
    "TERMINAL_CHANNEL",
];

/// Faults that need a factor above 1.
const SCALED: [&str; 4] = ["WORKER_SLOW", "DEPOT_SLOW", "BURST", "HEAVY"];

/// Checks a whole script.
pub fn check(script: &Section) -> Result<(), FieldError> {
    script.sections("fault").iter().try_for_each(fault)
}

fn fault(fault: &Section) -> Result<(), FieldError> {
    if !fault.has("trouble") {
        return Err(FieldError::new(
            fault.field_path("trouble"),
            "it must be named",
        ));
    }
    let kind = fault.enum_value("trouble");
    if !INSTANT.contains(&kind.as_str()) && fault.number("lasts_ms") <= 0.0 {
        let reason = format!("{kind} needs a time above 0");
        return Err(FieldError::new(fault.field_path("lasts_ms"), reason));
    }
    if SCALED.contains(&kind.as_str()) && fault.number("factor") <= 1.0 {
        let reason = format!("{kind} needs a factor above 1");
        return Err(FieldError::new(fault.field_path("factor"), reason));
    }
    if fault.has("kind") && !kind.starts_with("WORKER_") {
        let reason = format!("{kind} hits no workers");
        return Err(FieldError::new(fault.field_path("kind"), reason));
    }
    Ok(())
}
