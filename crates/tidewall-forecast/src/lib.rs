//! The fleet's past arrivals as a basis for forecasts. This crate does no I/O and reads no clock.
//!
//! Time is divided into slots of equal length. [`arrivals`] counts a member's own arrivals in one slot by
//! function, in bounded memory. [`merged`] combines the reports of all members about one function, in any
//! order and with any number of repetitions. [`history`] keeps the result over periods and restarts. No
//! forecast is made from it yet, and no program uses this crate (`docs/ROADMAP.md`).
pub mod arrivals;
pub mod history;
pub mod merged;
