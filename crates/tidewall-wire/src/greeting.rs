//! The frames at both ends of a connection's life: hello, the first frame from each side, and the error
//! frame, the last one from a side before it closes the connection.
use crate::{kind, Field, Fields, Frame, WireError};

/// Version of the protocol, stated in each hello. A peer with another version is rejected.
pub const VERSION: u64 = 1;

/// Writes an error frame: the reason for which its sender closes the connection directly afterwards.
pub fn error(out: &mut Vec<u8>, reason: &str) {
    Frame::new(out, kind::ERROR)
        .text(Field::Reason, reason)
        .end();
}

/// Writes a hello: the sender's role, its name and its incarnation.
pub fn hello(out: &mut Vec<u8>, role: &str, name: &str, incarnation: u64) {
    Frame::new(out, kind::HELLO)
        .whole(Field::Version, VERSION)
        .text(Field::Role, role)
        .text(Field::Name, name)
        .whole(Field::Life, incarnation)
        .end();
}

/// Checks the first frame of a connection and returns the peer's role.
///
/// # Errors
/// The frame is not a hello ([`WireError::NoGreeting`]), has another version ([`WireError::Version`]), or
/// lacks its kind, version or role.
pub fn greeted<'a>(fields: &Fields<'a>) -> Result<&'a str, WireError> {
    if fields.kind()? != kind::HELLO {
        return Err(WireError::NoGreeting);
    }
    match fields.whole(Field::Version)? {
        VERSION => fields.text(Field::Role),
        version => Err(WireError::Version { version }),
    }
}
