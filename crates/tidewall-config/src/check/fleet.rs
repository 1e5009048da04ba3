//! Checks of the emulated fleet that `tidewall day` and `tidewall standins` run.
use super::references::{reference, unique_names};
use super::FieldError;
use crate::Section;

/// Checks the `fleet` section.
pub fn check(
    fleet: &Section,
    zones: &[String],
    kinds: &[String],
    classes: &[String],
) -> Result<(), FieldError> {
    let (workers, programs) = (fleet.sections("workers"), fleet.sections("programs"));
    unique_names(&workers)?;
    unique_names(&programs)?;
    for worker in &workers {
        reference(worker, "zone", "zone", zones)?;
        reference(worker, "kind", "kind", kinds)?;
    }
    for program in &programs {
        reference(program, "event_type", "event_type", classes)?;
    }
    let share: f64 = programs.iter().map(|p| p.number("share")).sum();
    if !programs.is_empty() && share <= 0.0 {
        return Err(FieldError::new(
            programs[0].field_path("share"),
            "all shares are 0",
        ));
    }
    let store = fleet.section("depot");
    let (capacity, limit) = (store.number("capacity"), store.number("most"));
    if limit < capacity {
        let reason = format!("{limit} is under capacity, {capacity}");
        return Err(FieldError::new(store.field_path("most"), reason));
    }
    Ok(())
}
