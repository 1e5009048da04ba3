//! The shipped binary several times, with faults between the processes. `relay` stands between members, and between those
//! that act and the workers; `trial` starts processes, plays a script, and judges by the rules from the record alone.
pub mod relay;
pub mod trial;
