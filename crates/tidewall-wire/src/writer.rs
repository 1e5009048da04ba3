//! Encodes frames and lists of entries.
use crate::prefix::PREFIX_LENGTH;
use crate::{Field, Value};
use minicbor::Encoder;

/// Head of a CBOR map whose number of fields is one byte, for up to 255 fields. The byte is filled in last.
const MAP_HEAD: [u8; 2] = [0xb8, 0];

/// Appends a frame to a buffer, field by field, in the order of the calls. [`Frame::end`] completes the
/// frame. Does not allocate while the buffer has capacity, except for lists.
#[must_use = "the frame is not complete before `end`"]
pub struct Frame<'a> {
    out: &'a mut Vec<u8>,
    /// Index in `out` of the length prefix.
    start: usize,
    /// Index in `out` of the map's head.
    map_head: usize,
    field_count: u8,
}

impl<'a> Frame<'a> {
    /// Begins a frame of the given kind, one of the numbers in [`kind`](crate::kind).
    pub fn new(out: &'a mut Vec<u8>, kind: u64) -> Frame<'a> {
        let start = out.len();
        out.extend_from_slice(&[0; PREFIX_LENGTH]);
        let frame = Frame {
            map_head: out.len(),
            out,
            start,
            field_count: 0,
        };
        frame.out.extend_from_slice(&MAP_HEAD);
        frame.whole(Field::Kind, kind)
    }

    fn put(mut self, field: Field, value: Value) -> Frame<'a> {
        let mut encoder = Encoder::new(&mut *self.out);
        // Writing to a Vec cannot fail.
        let _ = encoder.u8(field as u8);
        let _ = match value {
            Value::Whole(value) => encoder.u64(value),
            Value::Real(value) => encoder.f64(value),
            Value::Text(value) => encoder.str(value),
            Value::Bytes(value) => encoder.bytes(value),
            Value::Flag(value) => encoder.bool(value),
            Value::List(encoded) => {
                self.out.extend_from_slice(encoded);
                self.field_count += 1;
                return self;
            }
        };
        self.field_count += 1;
        self
    }

    /// Writes a whole number.
    pub fn whole(self, field: Field, value: u64) -> Frame<'a> {
        self.put(field, Value::Whole(value))
    }

    /// Writes a floating-point number in double precision.
    pub fn real(self, field: Field, value: f64) -> Frame<'a> {
        self.put(field, Value::Real(value))
    }

    /// Writes a text, or nothing where it is empty.
    pub fn text(self, field: Field, value: &str) -> Frame<'a> {
        if value.is_empty() {
            self
        } else {
            self.put(field, Value::Text(value))
        }
    }

    /// Writes bytes, or nothing where they are empty.
    pub fn bytes(self, field: Field, value: &[u8]) -> Frame<'a> {
        if value.is_empty() {
            self
        } else {
            self.put(field, Value::Bytes(value))
        }
    }

    /// Writes a true flag, or nothing for false.
    pub fn flag(self, field: Field, value: bool) -> Frame<'a> {
        if value {
            self.put(field, Value::Flag(true))
        } else {
            self
        }
    }

    /// Writes a list as the value of [`Field::Entries`].
    pub fn entries(self, entries: &Entries) -> Frame<'a> {
        let mut list = Vec::new();
        let _ = Encoder::new(&mut list).array(entries.count);
        list.extend_from_slice(&entries.bytes);
        self.put(Field::Entries, Value::List(&list))
    }

    /// Completes the frame: writes the number of fields and the length prefix.
    pub fn end(self) {
        self.out[self.map_head + 1] = self.field_count;
        let body = self.start + PREFIX_LENGTH;
        let length = (self.out.len() - body) as u32;
        self.out[self.start..body].copy_from_slice(&length.to_be_bytes());
    }
}

/// A list that is being written. Each entry is encoded like a frame without length prefix and kind.
#[derive(Default)]
pub struct Entries {
    bytes: Vec<u8>,
    count: u64,
}

impl Entries {
    /// Appends an entry. `write` gets an empty frame, adds the entry's fields and returns the frame.
    pub fn add(&mut self, write: impl FnOnce(Frame) -> Frame) {
        let map_head = self.bytes.len();
        self.bytes.extend_from_slice(&MAP_HEAD);
        let frame = Frame {
            out: &mut self.bytes,
            start: 0,
            map_head,
            field_count: 0,
        };
        let field_count = write(frame).field_count;
        self.bytes[map_head + 1] = field_count;
        self.count += 1;
    }
}
