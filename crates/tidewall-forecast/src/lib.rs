//! The fleet's past arrivals, as a base for forecasts; without I/O and without a clock.
//!
//! Time is cut into slots of equal length. [`arrivals`] counts a member's own arrivals in one slot by function, in bounded
//! memory. [`merged`] combines what all members report about one function, in any order and any number of times. [`history`]
//! keeps the result over periods and restarts. Nothing makes forecasts of it yet, and no program uses it
//! (`docs/ROADMAP.md`).
pub mod arrivals;
pub mod history;
pub mod merged;
