//! tidewall: decisions of a router before workers that keep only some of many programs loaded. None of it
//! knows a wire.
//!
//! `choice` decides, `interface` is what it is called with and acts by. `settings` reads settings by name and
//! `config` holds them; `scheduler`, `state`, `workers`,
//! `service_evidence`, `endpoint_changes` and `load_history` are what is remembered; `lifecycle` and
//! `endpoint_list` carry out what follows from a decision or an endpoint list; `counter`, `random` and
//! `interner` are helpers.
pub mod choice;
pub mod config;
pub mod counter;
mod endpoint_changes;
mod endpoint_list;
pub mod interface;
pub mod interner;
mod lifecycle;
mod load_history;
pub mod random;
pub mod scheduler;
pub mod service_evidence;
pub mod settings;
pub mod state;
pub mod workers;
