//! Two gateways behind one address, without I/O and without a clock. `leadership` is what a worker keeps for a pair,
//! `proposal` is how a member gets leave to serve from a majority of workers, `role` says who serves when,
//! `deduplication` keeps what became of marks, `recovery` decides what a new master does with the events of the old one,
//! `load_request_limit` counts load orders of both lives, `flap_damping` holds a flapping member off.
pub mod deduplication;
pub mod flap_damping;
pub mod leadership;
pub mod load_request_limit;
pub mod proposal;
pub mod recovery;
pub mod role;

/// Whole tenths of a millisecond.
pub type Time = u64;
