//! The length prefix: where a frame begins and ends in a stream.
use crate::WireError;

/// Longest body of a frame in bytes, the length prefix not counted: a payload of somewhat less than a megabyte with the
/// fields that go with it.
pub const MAX_BODY_LENGTH: usize = 1 << 20;

/// Bytes of the length prefix, an unsigned number in network byte order.
pub(crate) const PREFIX_LENGTH: usize = 4;

/// Looks for a frame at the start of received bytes. Returns its body and the length of the frame with its prefix, or
/// None while it is incomplete.
///
/// # Errors
/// [`WireError::FrameTooLong`], as soon as the prefix is complete: the body of such a frame need not be buffered.
pub fn frame(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, WireError> {
    let Some(prefix) = bytes.first_chunk::<PREFIX_LENGTH>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_BODY_LENGTH {
        return Err(WireError::FrameTooLong { length });
    }
    let end = PREFIX_LENGTH + length;
    Ok(bytes.get(PREFIX_LENGTH..end).map(|body| (body, end)))
}
