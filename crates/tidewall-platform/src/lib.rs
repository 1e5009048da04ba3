//! The platform's protocol without I/O. Decoders are given what was received so far and give back one message, its texts
//! still where they lie, or `None` while it is incomplete; lengths are bounded before anything is waited for. Encoders
//! append to a buffer. The platform's own words stand in these modules and in settings only.
//!
//! - [`client_command`], [`client_reply`]: commands of clients and their replies, over [`resp`];
//! - [`host_lines`]: requests to hosts, the gateway's workers, and their answers;
//! - [`notice_board`]: the discovery server, long polls over HTTP;
//! - [`config`]: the configuration that a gateway starts with;
//! - [`descriptor_budget`]: how many connections of each kind a gateway may hold.
pub mod client_command;
pub mod client_reply;
pub mod config;
pub mod descriptor_budget;
mod fields;
pub mod host_lines;
pub mod notice_board;
pub mod resp;

pub use fields::{name_value_pairs, parse_hex16, printable, NameValue, NotNameValue};
