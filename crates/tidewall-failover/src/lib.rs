//! Two gateways behind one address, without I/O and without a clock. `promise` is what a worker keeps for a pair,
//! `claim` is how a member gets leave to serve from a majority of workers, `seat` says who serves when,
//! `known` keeps what became of marks, `fate` decides what a new master does with the events of the old one,
//! `ration` counts load orders of both lives, `damp` holds a flapping member off.
pub mod claim;
pub mod damp;
pub mod fate;
pub mod known;
pub mod promise;
pub mod ration;
pub mod seat;

/// Whole tenths of a millisecond.
pub type Time = u64;
