//! The frames around a conversation: hello, the first of each side, and the error frame, the last before a connection
//! is closed by its writer.
use crate::{kind, Field, Fields, Frame, WireError};

/// Version of the protocol, stated in each hello. A peer of another version is rejected.
pub const VERSION: u64 = 1;

/// Writes an error frame: why its writer closes the connection right after it.
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

/// Checks a connection's first frame and returns the peer's role.
///
/// # Errors
/// It is no hello ([`WireError::NoGreeting`]), is of another version ([`WireError::Version`]), or has no kind, version
/// or role.
pub fn greeted<'a>(fields: &Fields<'a>) -> Result<&'a str, WireError> {
    if fields.kind()? != kind::HELLO {
        return Err(WireError::NoGreeting);
    }
    match fields.whole(Field::Version)? {
        VERSION => fields.text(Field::Role),
        version => Err(WireError::Version { version }),
    }
}
