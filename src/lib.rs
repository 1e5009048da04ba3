//! tidewall: the scheduler of a gateway that routes requests to workers, each of which keeps only some of
//! many functions loaded. It is independent of any wire protocol.
//!
//! `choice` makes all decisions. `interface` defines the types and the trait through which the scheduler is
//! called and acts. `settings` reads settings by name and `config` holds them. `scheduler`, `state`,
//! `workers`, `service_evidence`, `endpoint_changes`, `load_history` and `unconfirmed_functions` hold the scheduler's state.
//! `lifecycle` and `endpoint_list` do the bookkeeping that follows from a decision or an endpoint list.
//! `counter`, `random` and `interner` are helpers.
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
mod unconfirmed_functions;
pub mod workers;
