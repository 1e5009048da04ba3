//! Encoding of frames.
use super::ids::{class, MethodId};
use super::{
    FRAME_BODY, FRAME_END, FRAME_HEAD, FRAME_HEADER, FRAME_HEARTBEAT, FRAME_METHOD, FRAME_OVERHEAD,
};

/// Bits in an octet.
const BITS: u8 = 8;

/// Appends one frame to a buffer; [`FrameWriter::finish`] fills in its size.
pub struct FrameWriter<'a> {
    output: &'a mut Vec<u8>,
    /// Index in `output` at which the frame begins.
    start: usize,
    /// Number of bits written to the last octet. At 8 the next bit starts a new octet.
    bits_written: u8,
}

impl<'a> FrameWriter<'a> {
    fn frame(output: &'a mut Vec<u8>, frame_type: u8, channel: u16) -> FrameWriter<'a> {
        let start = output.len();
        output.push(frame_type);
        output.extend_from_slice(&channel.to_be_bytes());
        output.extend_from_slice(&[0; 4]);
        FrameWriter {
            output,
            start,
            bits_written: BITS,
        }
    }

    /// Appends values outside a frame; `finish` must not be called.
    pub(super) fn unframed(output: &'a mut Vec<u8>) -> FrameWriter<'a> {
        FrameWriter {
            output,
            start: 0,
            bits_written: BITS,
        }
    }

    /// Begins a method frame, to which the arguments are appended.
    pub fn method(output: &'a mut Vec<u8>, channel: u16, id: MethodId) -> FrameWriter<'a> {
        FrameWriter::frame(output, FRAME_METHOD, channel)
            .short(id.class)
            .short(id.method)
    }

    /// Appends an unsigned integer of 8 bits.
    pub fn octet(mut self, value: u8) -> FrameWriter<'a> {
        self.bits_written = BITS;
        self.output.push(value);
        self
    }

    /// Appends an unsigned integer of 16 bits.
    pub fn short(self, value: u16) -> FrameWriter<'a> {
        self.raw(&value.to_be_bytes())
    }

    /// Appends an unsigned integer of 32 bits.
    pub fn long(self, value: u32) -> FrameWriter<'a> {
        self.raw(&value.to_be_bytes())
    }

    /// Appends an unsigned integer of 64 bits.
    pub fn long_long(self, value: u64) -> FrameWriter<'a> {
        self.raw(&value.to_be_bytes())
    }

    /// Appends a bit. Consecutive bits share an octet, lowest first (4.2.5.2).
    pub fn bit(mut self, value: bool) -> FrameWriter<'a> {
        if self.bits_written == BITS {
            self.output.push(0);
            self.bits_written = 0;
        }
        if let Some(last) = self.output.last_mut() {
            *last |= u8::from(value) << self.bits_written;
        }
        self.bits_written += 1;
        self
    }

    /// Appends a string. Only the characters that fit into 255 octets are written.
    pub fn short_str(mut self, value: &str) -> FrameWriter<'a> {
        let end = (0..=value.len().min(255))
            .rev()
            .find(|end| value.is_char_boundary(*end))
            .unwrap_or(0);
        self.bits_written = BITS;
        self.output.push(end as u8);
        self.output.extend_from_slice(&value.as_bytes()[..end]);
        self
    }

    /// Appends up to 4 GiB of octets, preceded by their length.
    pub fn long_str(self, value: &[u8]) -> FrameWriter<'a> {
        self.long(value.len() as u32).raw(value)
    }

    /// Appends octets unchanged.
    #[inline]
    pub fn raw(mut self, value: &[u8]) -> FrameWriter<'a> {
        self.bits_written = BITS;
        self.output.extend_from_slice(value);
        self
    }

    /// Fills in the size and writes the end octet.
    pub fn finish(self) {
        let size = (self.output.len() - self.start - FRAME_HEAD) as u32;
        let size_at = self.start + FRAME_HEAD - size_of::<u32>();
        self.output[size_at..self.start + FRAME_HEAD].copy_from_slice(&size.to_be_bytes());
        self.output.push(FRAME_END);
    }
}

/// Appends a heartbeat frame (4.2.7).
pub fn write_heartbeat(output: &mut Vec<u8>) {
    FrameWriter::frame(output, FRAME_HEARTBEAT, 0).finish();
}

/// Appends the content that follows a method: a content header with encoded properties, and the body in
/// frames of at most `frame_max` octets (4.2.6).
pub fn write_content(
    output: &mut Vec<u8>,
    channel: u16,
    properties: &[u8],
    body: &[u8],
    frame_max: u32,
) {
    FrameWriter::frame(output, FRAME_HEADER, channel)
        .short(class::BASIC)
        // The weight, which is always 0.
        .short(0)
        .long_long(body.len() as u64)
        .raw(properties)
        .finish();
    for chunk in body.chunks(frame_max as usize - FRAME_OVERHEAD) {
        FrameWriter::frame(output, FRAME_BODY, channel)
            .raw(chunk)
            .finish();
    }
}
