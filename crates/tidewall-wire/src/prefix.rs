//! The length prefix, which delimits the frames of a stream.
use crate::WireError;

/// Maximum length of a frame's body in bytes, without the length prefix: room for a payload of slightly less
/// than 1 MiB and the other fields of its frame.
pub const MAX_BODY_LENGTH: usize = 1 << 20;

/// Length of the length prefix in bytes. The prefix is an unsigned integer in network byte order.
pub(crate) const PREFIX_LENGTH: usize = 4;

/// Finds the frame at the start of received bytes. Returns its body and the length of the frame including its
/// prefix, or `None` while the frame is incomplete.
///
/// # Errors
/// [`WireError::FrameTooLong`], as soon as the prefix is complete, so that the body of such a frame is never
/// buffered.
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
