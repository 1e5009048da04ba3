//! A gateway among scripted peers: hard cases, and regressions of faults that were found.
#![allow(clippy::unwrap_used)]
mod faults;
mod hard;
// The AMQP ingress's tests use the same peers.
#[path = "../help/mod.rs"]
mod peers;
