//! Runs several processes of the shipped binary with faults between them. `relay` forwards the traffic
//! between members, and between lease holders and workers; `trial` starts the processes, runs a script of
//! faults, and checks the rules from the record alone.
pub mod relay;
pub mod trial;
