//! The frames that clients, gateways, workers, the roster and the depot speak among themselves, as specified in
//! `docs/wire.md`: a length of four bytes, then a CBOR map (RFC 8949) from small numbers to values. Frames get
//! no types: `Frame` writes one field after the other, `Fields` hands each to whoever asks for it by name.
mod error;

pub use error::WireError;

use minicbor::data::Type;
use minicbor::{Decoder, Encoder};

/// Told in each hello. A peer of another version is refused.
pub const VERSION: u64 = 1;

/// No frame is longer than this, its length not counted: a payload of a megabyte less what goes with it.
pub const FRAME_MOST: usize = 1 << 20;

/// What a frame is. The numbers are the wire's; gaps are for later.
pub mod kind {
    pub const HELLO: u64 = 1;
    pub const ERROR: u64 = 2;
    pub const EVENT: u64 = 10;
    pub const ANSWER: u64 = 11;
    pub const BEGUN: u64 = 12;
    pub const LEAVE: u64 = 13;
    pub const LAUNCH: u64 = 20;
    pub const END: u64 = 21;
    pub const CANCEL: u64 = 22;
    pub const HOLD: u64 = 23;
    pub const HELD: u64 = 24;
    pub const UNLOAD: u64 = 25;
    pub const PROBE: u64 = 26;
    pub const PROBED: u64 = 27;
    pub const DRAINS: u64 = 28;
    pub const FOLLOW: u64 = 30;
    pub const LOOK_UP: u64 = 31;
    pub const ROSTER: u64 = 32;
    pub const FETCH: u64 = 40;
    pub const FETCHED: u64 = 41;
    pub const PEER: u64 = 50;
    pub const PING: u64 = 60;
    pub const COPY: u64 = 61;
    pub const TAKEN: u64 = 62;
    pub const LAUNCHED: u64 = 63;
    pub const OVER: u64 = 64;
    pub const ANSWERED: u64 = 65;
    pub const GONE: u64 = 66;
    pub const ORDERED: u64 = 67;
    pub const COPIED: u64 = 68;
    pub const RECORDED: u64 = 69;
    pub const YIELD: u64 = 70;
    pub const YIELDED: u64 = 71;
    pub const STATUS: u64 = 72;
    pub const PREPARE: u64 = 80;
    pub const ACCEPT: u64 = 81;
    pub const PROMISED: u64 = 82;
    pub const TICKET: u64 = 90;
    pub const ACT: u64 = 91;
    pub const ACTED: u64 = 92;
}

macro_rules! fields {
    ($($number:literal $name:ident $text:literal),* $(,)?) => {
        /// The fields of all frames, by the wire's number. A field means the same in every frame.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u8)]
        pub enum Field { $($name = $number),* }

        /// One more than the highest field number: what is beyond is skipped unread.
        pub const FIELDS: usize = [$($number),*].len();

        impl Field {
            pub fn name(self) -> &'static str {
                match self { $(Field::$name => $text),* }
            }
        }

        const NAMES: [&str; FIELDS] = [$($text),*];
    };
}

fields! {
    0 Kind "kind",
    1 Version "version",
    2 Role "role",
    3 Name "name",
    4 Life "life",
    5 Id "id",
    6 Type "type",
    7 Tenant "tenant",
    8 Function "function",
    9 Lanes "lanes",
    10 Memory "memory",
    11 Hint "hint",
    12 LoadHint "load-hint",
    13 Left "left",
    14 Mark "mark",
    15 Resent "resent",
    16 Payload "payload",
    17 Word "word",
    18 Reason "reason",
    19 ComeBack "come-back",
    20 Outcome "outcome",
    21 Took "took",
    22 Copy "copy",
    23 Company "company",
    24 InFlight "in-flight",
    25 Busy "busy",
    26 Waiting "waiting",
    27 Copies "copies",
    28 Scope "scope",
    29 Generation "generation",
    30 Entries "entries",
    31 On "on",
    32 Place "place",
    33 Launch "launch",
    34 Event "event",
    35 Zone "zone",
    36 Machine "machine",
    37 Cell "cell",
    38 Standing "standing",
    39 Rating "rating",
    40 Age "age",
    41 Epoch "epoch",
    42 Floor "floor",
    43 Seq "seq",
    44 Ballot "ballot",
    45 Member "member",
    46 SyncA "sync-a",
    47 SyncB "sync-b",
    48 Ticket "ticket",
    49 Task "task",
    50 Check "check",
}

/// A value as it stands in the frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value<'a> {
    Whole(u64),
    Real(f64),
    Text(&'a str),
    Bytes(&'a [u8]),
    Flag(bool),
    /// An array, still encoded.
    List(&'a [u8]),
}

/// Looks for one frame at the start of what was read: its body and the bytes it takes, or None while it is
/// not whole yet. A frame that is too long is an error before any of it is kept.
pub fn frame(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, WireError> {
    let Some(head) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(*head) as usize;
    if len > FRAME_MOST {
        return Err(WireError::FrameTooLong { length: len });
    }
    Ok(bytes.get(4..4 + len).map(|body| (body, 4 + len)))
}

/// The fields of one frame, by number.
pub struct Fields<'a> {
    values: [Option<Value<'a>>; FIELDS],
}

impl<'a> Fields<'a> {
    pub fn read(body: &'a [u8]) -> Result<Fields<'a>, WireError> {
        let mut d = Decoder::new(body);
        let fields = Fields::map(&mut d)?;
        if d.position() != body.len() {
            return Err(WireError::TrailingBytes);
        }
        Ok(fields)
    }

    /// One map; numbers that are not known are skipped, so that later versions may add some.
    fn map(d: &mut Decoder<'a>) -> Result<Fields<'a>, WireError> {
        let mut values = [None; FIELDS];
        let Some(len) = d.map().map_err(WireError::NotAMap)? else {
            return Err(WireError::IndefiniteMap);
        };
        for _ in 0..len {
            let key = d.u64().map_err(WireError::FieldNumber)?;
            if key as usize >= FIELDS {
                d.skip().map_err(|source| WireError::UnknownField {
                    number: key,
                    source,
                })?;
                continue;
            }
            let field = NAMES[key as usize];
            let bad = |source| WireError::Value { field, source };
            if values[key as usize].is_some() {
                return Err(WireError::Duplicate { field });
            }
            let value = match d.datatype().map_err(bad)? {
                Type::U8 | Type::U16 | Type::U32 | Type::U64 => Value::Whole(d.u64().map_err(bad)?),
                Type::F16 => Value::Real(f64::from(d.f16().map_err(bad)?)),
                Type::F32 => Value::Real(f64::from(d.f32().map_err(bad)?)),
                Type::F64 => Value::Real(d.f64().map_err(bad)?),
                Type::String => Value::Text(d.str().map_err(bad)?),
                Type::Bytes => Value::Bytes(d.bytes().map_err(bad)?),
                Type::Bool => Value::Flag(d.bool().map_err(bad)?),
                Type::Array => {
                    let from = d.position();
                    d.skip().map_err(bad)?;
                    Value::List(&d.input()[from..d.position()])
                }
                found => return Err(WireError::UnsupportedType { field, found }),
            };
            values[key as usize] = Some(value);
        }
        Ok(Fields { values })
    }

    fn get(&self, field: Field) -> Option<Value<'a>> {
        self.values[field as usize]
    }

    pub fn has(&self, field: Field) -> bool {
        self.get(field).is_some()
    }

    pub fn kind(&self) -> Result<u64, WireError> {
        self.whole(Field::Kind)
    }

    pub fn whole(&self, field: Field) -> Result<u64, WireError> {
        match self.get(field) {
            Some(Value::Whole(v)) => Ok(v),
            None => Err(WireError::missing(field)),
            Some(_) => Err(WireError::wrong_type(field, "whole number")),
        }
    }

    /// A whole number that may be absent, up to a bound.
    pub fn upto(&self, field: Field, most: u64, otherwise: u64) -> Result<u64, WireError> {
        let value = if self.has(field) {
            self.whole(field)?
        } else {
            otherwise
        };
        if value <= most {
            return Ok(value);
        }
        Err(WireError::OverLimit {
            field: field.name(),
            value,
            limit: most,
        })
    }

    pub fn real(&self, field: Field, otherwise: f64) -> Result<f64, WireError> {
        let value = match self.get(field) {
            None => otherwise,
            Some(Value::Whole(v)) => v as f64,
            Some(Value::Real(v)) => v,
            Some(_) => return Err(WireError::wrong_type(field, "number")),
        };
        if value.is_finite() && (0.0..1e15).contains(&value) {
            return Ok(value);
        }
        Err(WireError::OutOfRange {
            field: field.name(),
            value,
        })
    }

    pub fn text(&self, field: Field) -> Result<&'a str, WireError> {
        match self.get(field) {
            Some(Value::Text(v)) if !v.is_empty() => Ok(v),
            None | Some(Value::Text(_)) => Err(WireError::missing(field)),
            Some(_) => Err(WireError::wrong_type(field, "text")),
        }
    }

    /// Text that may be absent: empty then.
    pub fn word(&self, field: Field) -> Result<&'a str, WireError> {
        if self.has(field) && self.get(field) != Some(Value::Text("")) {
            self.text(field)
        } else {
            Ok("")
        }
    }

    /// Bytes that may be absent: empty then.
    pub fn bytes(&self, field: Field) -> Result<&'a [u8], WireError> {
        match self.get(field) {
            None => Ok(&[]),
            Some(Value::Bytes(v)) => Ok(v),
            Some(_) => Err(WireError::wrong_type(field, "bytes")),
        }
    }

    pub fn flag(&self, field: Field) -> Result<bool, WireError> {
        match self.get(field) {
            None => Ok(false),
            Some(Value::Flag(v)) => Ok(v),
            Some(_) => Err(WireError::wrong_type(field, "flag")),
        }
    }

    /// The entries of a list, each a map of fields.
    pub fn entries(
        &self,
        mut each: impl FnMut(&Fields<'a>) -> Result<(), WireError>,
    ) -> Result<(), WireError> {
        let Some(Value::List(bytes)) = self.get(Field::Entries) else {
            return Err(WireError::missing(Field::Entries));
        };
        let mut d = Decoder::new(bytes);
        let bad = |source| WireError::Value {
            field: Field::Entries.name(),
            source,
        };
        let len = d.array().map_err(bad)?.unwrap_or(0);
        for index in 0..len {
            let refused = |source| WireError::Entry {
                index,
                source: Box::new(source),
            };
            let entry = Fields::map(&mut d).map_err(refused)?;
            each(&entry).map_err(refused)?;
        }
        Ok(())
    }
}

/// Writes one frame behind what is in the buffer; nothing is allocated while the buffer has room.
pub struct Frame<'a> {
    out: &'a mut Vec<u8>,
    start: usize,
    map: usize,
    count: u8,
}

impl<'a> Frame<'a> {
    pub fn new(out: &'a mut Vec<u8>, kind: u64) -> Frame<'a> {
        let start = out.len();
        out.extend_from_slice(&[0; 4]);
        let frame = Frame {
            map: out.len(),
            out,
            start,
            count: 0,
        };
        // Up to 255 fields: the head has room for the count, which is known at the end.
        frame.out.extend_from_slice(&[0xb8, 0]);
        frame.whole(Field::Kind, kind)
    }

    fn put(mut self, field: Field, value: Value) -> Frame<'a> {
        let mut e = Encoder::new(&mut *self.out);
        // Writing to a Vec cannot fail.
        let _ = e.u8(field as u8);
        let _ = match value {
            Value::Whole(v) => e.u64(v),
            Value::Real(v) => e.f64(v),
            Value::Text(v) => e.str(v),
            Value::Bytes(v) => e.bytes(v),
            Value::Flag(v) => e.bool(v),
            Value::List(v) => {
                self.out.extend_from_slice(v);
                self.count += 1;
                return self;
            }
        };
        self.count += 1;
        self
    }

    pub fn whole(self, field: Field, value: u64) -> Frame<'a> {
        self.put(field, Value::Whole(value))
    }

    pub fn real(self, field: Field, value: f64) -> Frame<'a> {
        self.put(field, Value::Real(value))
    }

    /// Empty text is left out.
    pub fn text(self, field: Field, value: &str) -> Frame<'a> {
        if value.is_empty() {
            self
        } else {
            self.put(field, Value::Text(value))
        }
    }

    pub fn bytes(self, field: Field, value: &[u8]) -> Frame<'a> {
        if value.is_empty() {
            self
        } else {
            self.put(field, Value::Bytes(value))
        }
    }

    pub fn flag(self, field: Field, value: bool) -> Frame<'a> {
        if value {
            self.put(field, Value::Flag(true))
        } else {
            self
        }
    }

    pub fn entries(self, entries: &Entries) -> Frame<'a> {
        let mut list = Vec::new();
        let _ = Encoder::new(&mut list).array(entries.count);
        list.extend_from_slice(&entries.bytes);
        self.put(Field::Entries, Value::List(&list))
    }

    pub fn end(self) {
        self.out[self.map + 1] = self.count;
        let len = (self.out.len() - self.start - 4) as u32;
        self.out[self.start..self.start + 4].copy_from_slice(&len.to_be_bytes());
    }
}

/// A list in the making: each entry is written like a frame, without length and kind.
#[derive(Default)]
pub struct Entries {
    bytes: Vec<u8>,
    count: u64,
}

impl Entries {
    pub fn add(&mut self, write: impl FnOnce(Frame) -> Frame) {
        let map = self.bytes.len();
        self.bytes.extend_from_slice(&[0xb8, 0]);
        let frame = Frame {
            out: &mut self.bytes,
            start: 0,
            map,
            count: 0,
        };
        let count = write(frame).count;
        self.bytes[map + 1] = count;
        self.count += 1;
    }
}

/// The error frame: why the connection is closed right after it.
pub fn error(out: &mut Vec<u8>, reason: &str) {
    Frame::new(out, kind::ERROR)
        .text(Field::Reason, reason)
        .end();
}

/// The first frame of each side of a connection.
pub fn hello(out: &mut Vec<u8>, role: &str, name: &str, life: u64) {
    let frame = Frame::new(out, kind::HELLO).whole(Field::Version, VERSION);
    frame
        .text(Field::Role, role)
        .text(Field::Name, name)
        .whole(Field::Life, life)
        .end();
}

/// The role of a hello, once its version is ours.
pub fn greeted<'a>(fields: &Fields<'a>) -> Result<&'a str, WireError> {
    if fields.kind()? != kind::HELLO {
        return Err(WireError::NoGreeting);
    }
    match fields.whole(Field::Version)? {
        VERSION => fields.text(Field::Role),
        version => Err(WireError::Version { version }),
    }
}
