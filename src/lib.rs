//! tidewall: decisions of a router before workers that keep only some of many programs loaded.
//! `choice` decides, `host` is how it acts, `chance` is its source of chance,
//! `settings` reads settings by name, `ids` turns texts into indices, `state` is what is remembered. None of them knows a wire.
pub mod choice;
pub mod interface;
pub mod interner;
pub mod random;
pub mod settings;
pub mod state;
