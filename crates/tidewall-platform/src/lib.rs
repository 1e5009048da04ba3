//! The platform's protocol, without I/O. Decoders take the bytes received so far and return one
//! message, whose strings borrow from these bytes, or `None` while it is incomplete. They check
//! lengths before they wait for the content. Encoders append to a buffer. The platform's own terms
//! appear only in these modules and in settings.
//!
//! - [`client_command`], [`client_reply`]: commands of clients and their replies, over [`resp`];
//! - [`host_lines`]: requests to hosts, the gateway's workers, and their answers;
//! - [`notice_board`]: the discovery server, long polls over HTTP;
//! - [`config`]: the configuration that a gateway starts with;
//! - [`descriptor_budget`]: connection limits of a gateway;
//! - [`memory_budget`]: limits on what a gateway holds for its clients.
pub mod client_command;
pub mod client_reply;
pub mod config;
pub mod descriptor_budget;
mod fields;
pub mod host_lines;
pub mod memory_budget;
pub mod notice_board;
pub mod resp;

pub use fields::{name_value_pairs, parse_hex16, printable, NameValue, NotNameValue};
