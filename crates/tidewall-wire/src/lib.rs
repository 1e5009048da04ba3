//! The frames of the native protocol between clients, gateways, workers, the discovery server and the
//! artifact store, as `docs/wire.md` specifies them: a length prefix of four bytes, then a CBOR map (RFC
//! 8949) from field numbers to values.
//!
//! There is no separate type for each kind of frame: [`Frame`] writes one field after the other, and
//! [`Fields`] gives access to each field of a received frame. Times and durations are whole tenths of a
//! millisecond.
//!
//! | Module | Contents |
//! |---|---|
//! | [`kind`] | the numbers of the frame kinds |
//! | `field` | the numbers and names of the fields |
//! | `prefix` | delimiting frames in received bytes by their length prefix |
//! | `reader`, `writer` | decoding and encoding the CBOR map |
//! | `greeting` | the first frame of a connection, and the error frame, which may be the last one |
//! | `error` | why a frame is rejected |
mod error;
mod field;
mod greeting;
pub mod kind;
mod prefix;
mod reader;
mod value;
mod writer;

pub use error::WireError;
pub use field::{Field, FIELD_COUNT};
pub use greeting::{error, greeted, hello, VERSION};
pub use prefix::{frame, MAX_BODY_LENGTH};
pub use reader::Fields;
pub use value::Value;
pub use writer::{Entries, Frame};
