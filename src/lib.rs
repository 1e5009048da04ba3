//! tidewall: decisions of a router before workers that keep only some of many programs loaded.
//! `choice` decides, `host` is how it acts, `chance` is its source of chance,
//! `settings` reads settings by name, `state` is what is remembered. None of them knows a wire.
pub mod chance;
pub mod choice;
pub mod host;
pub mod settings;
pub mod state;
