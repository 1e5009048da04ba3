//! Frames, method arguments, field tables and content properties (sections 4.2.2 to 4.2.6). Decoding borrows
//! from the received bytes, and encoding appends to a buffer of the caller. Neither allocates once that
//! buffer is large enough.
mod arguments;
mod ids;
mod properties;
mod table;
mod writer;

pub use arguments::ArgumentReader;
pub use ids::{class, method, MethodId};
pub use properties::{
    decode_content_header, decode_properties, encode_properties, BasicProperties, ContentHeader,
};
pub use table::{skip_value, FieldTable, FieldValue, TableWriter};
pub use writer::{write_content, write_heartbeat, FrameWriter};

use crate::{reply_code, ProtocolError};

/// Type octet of a method frame.
pub const FRAME_METHOD: u8 = 1;
/// Type octet of a content header frame.
pub const FRAME_HEADER: u8 = 2;
/// Type octet of a content body frame.
pub const FRAME_BODY: u8 = 3;
/// Type octet of a heartbeat frame.
pub const FRAME_HEARTBEAT: u8 = 8;
/// Last octet of every frame.
pub const FRAME_END: u8 = 0xce;

/// The smallest frame-max that may be negotiated, in octets (4.2.3, frame-min-size).
pub const FRAME_MIN_SIZE: u32 = 4096;

/// The protocol header, which a client sends first (4.2.2).
pub const PROTOCOL_HEADER: [u8; 8] = *b"AMQP\x00\x00\x09\x01";

/// Octets of a frame before its payload: type, channel and size.
const FRAME_HEAD: usize = 7;

/// Octets of a frame besides its payload: the head and the end octet.
pub const FRAME_OVERHEAD: usize = FRAME_HEAD + 1;

fn syntax_error(text: &str) -> ProtocolError {
    ProtocolError::new(reply_code::SYNTAX_ERROR, text)
}

/// A frame with its payload still encoded.
pub struct Frame<'a> {
    /// One of [`FRAME_METHOD`], [`FRAME_HEADER`], [`FRAME_BODY`] and [`FRAME_HEARTBEAT`].
    pub frame_type: u8,
    /// Channel number; 0 stands for the connection itself.
    pub channel: u16,
    /// The octets between the head and the end octet.
    pub payload: &'a [u8],
}

/// Decodes the frame at the start of `bytes` and returns it with its length in bytes, or `None` if it is
/// incomplete. The size is checked before the payload has arrived.
///
/// # Errors
/// FRAME_ERROR for an unknown type, a size over `frame_max`, or a wrong end octet.
pub fn decode_frame(
    bytes: &[u8],
    frame_max: u32,
) -> Result<Option<(Frame<'_>, usize)>, ProtocolError> {
    let frame_error = |text| ProtocolError::new(reply_code::FRAME_ERROR, text);
    let Some(head) = bytes.first_chunk::<FRAME_HEAD>() else {
        return Ok(None);
    };
    let (frame_type, channel) = (head[0], u16::from_be_bytes([head[1], head[2]]));
    let size = u32::from_be_bytes([head[3], head[4], head[5], head[6]]);
    if !matches!(
        frame_type,
        FRAME_METHOD | FRAME_HEADER | FRAME_BODY | FRAME_HEARTBEAT
    ) {
        return Err(frame_error(format!("frame type {frame_type} is unknown")));
    }
    if u64::from(size) + FRAME_OVERHEAD as u64 > u64::from(frame_max) {
        let text = format!("a frame of {size} octets is over the negotiated {frame_max}");
        return Err(frame_error(text));
    }
    let payload_end = FRAME_HEAD + size as usize;
    let Some(end) = bytes.get(payload_end) else {
        return Ok(None);
    };
    if *end != FRAME_END {
        return Err(frame_error(format!("frame end {end:#04x} is not 0xce")));
    }
    let frame = Frame {
        frame_type,
        channel,
        payload: &bytes[FRAME_HEAD..payload_end],
    };
    Ok(Some((frame, payload_end + 1)))
}
