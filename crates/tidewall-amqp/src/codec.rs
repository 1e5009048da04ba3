//! Frames, arguments, field tables and content properties (sections 4.2.2 to 4.2.6 of the specification). Reading
//! borrows from the bytes that came; writing appends to a buffer that is kept: neither allocates.
use crate::{code, Fault};

pub const METHOD: u8 = 1;
pub const HEADER: u8 = 2;
pub const BODY: u8 = 3;
pub const HEARTBEAT: u8 = 8;
pub const FRAME_END: u8 = 0xce;

/// The smallest frame-max that may be negotiated (4.2.3, frame-min-size).
pub const FRAME_MIN: u32 = 4096;

/// What a client must say first (4.2.2).
pub const PROTOCOL: [u8; 8] = *b"AMQP\x00\x00\x09\x01";

/// Frame head and end octet.
pub const OVERHEAD: usize = 8;

fn syntax(text: &str) -> Fault {
    Fault::new(code::SYNTAX_ERROR, text)
}

pub struct RawFrame<'a> {
    pub kind: u8,
    pub channel: u16,
    pub payload: &'a [u8],
}

/// One whole frame at the start of what was read, with the bytes that it takes; None while more must come. The
/// size is judged before the payload is there.
pub fn frame(bytes: &[u8], frame_max: u32) -> Result<Option<(RawFrame<'_>, usize)>, Fault> {
    let Some(head) = bytes.first_chunk::<7>() else {
        return Ok(None);
    };
    let (kind, channel) = (head[0], u16::from_be_bytes([head[1], head[2]]));
    let size = u32::from_be_bytes([head[3], head[4], head[5], head[6]]);
    if !matches!(kind, METHOD | HEADER | BODY | HEARTBEAT) {
        return Err(Fault::new(
            code::FRAME_ERROR,
            format!("frame type {kind} is unknown"),
        ));
    }
    if u64::from(size) + OVERHEAD as u64 > u64::from(frame_max) {
        let text = format!("a frame of {size} octets is over the negotiated {frame_max}");
        return Err(Fault::new(code::FRAME_ERROR, text));
    }
    let size = size as usize;
    let Some(end) = bytes.get(7 + size) else {
        return Ok(None);
    };
    if *end != FRAME_END {
        return Err(Fault::new(
            code::FRAME_ERROR,
            format!("frame end {end:#04x} is not 0xce"),
        ));
    }
    Ok(Some((
        RawFrame {
            kind,
            channel,
            payload: &bytes[7..7 + size],
        },
        size + OVERHEAD,
    )))
}

/// Arguments of a method or properties, read one after the other.
#[derive(Clone)]
pub struct Args<'a> {
    bytes: &'a [u8],
    /// Bits are packed into octets (4.2.5.2): the octet at hand and how many bits of it were used.
    bits: (u8, u8),
}

impl<'a> Args<'a> {
    pub fn new(bytes: &'a [u8]) -> Args<'a> {
        Args {
            bytes,
            bits: (0, 8),
        }
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], Fault> {
        self.bits.1 = 8;
        if count > self.bytes.len() {
            return Err(syntax("the arguments end too early"));
        }
        let (taken, rest) = self.bytes.split_at(count);
        self.bytes = rest;
        Ok(taken)
    }

    pub fn left(&self) -> usize {
        self.bytes.len()
    }

    pub fn octet(&mut self) -> Result<u8, Fault> {
        Ok(self.take(1)?[0])
    }

    pub fn short(&mut self) -> Result<u16, Fault> {
        let b = self.take(2)?;
        Ok(u16::from_be_bytes([b[0], b[1]]))
    }

    pub fn long(&mut self) -> Result<u32, Fault> {
        let b = self.take(4)?;
        Ok(u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }

    pub fn long_long(&mut self) -> Result<u64, Fault> {
        let (high, low) = (self.long()?, self.long()?);
        Ok(u64::from(high) << 32 | u64::from(low))
    }

    pub fn bit(&mut self) -> Result<bool, Fault> {
        let (octet, used) = self.bits;
        let (octet, used) = if used == 8 {
            (self.octet()?, 0)
        } else {
            (octet, used)
        };
        self.bits = (octet, used + 1);
        Ok(octet >> used & 1 == 1)
    }

    pub fn short_str(&mut self) -> Result<&'a str, Fault> {
        let len = self.octet()? as usize;
        std::str::from_utf8(self.take(len)?).map_err(|_| syntax("a short string is not UTF-8"))
    }

    pub fn long_str(&mut self) -> Result<&'a [u8], Fault> {
        let len = self.long()? as usize;
        self.take(len)
    }

    /// A field table, checked through so that it may be read without failing.
    pub fn table(&mut self) -> Result<Table<'a>, Fault> {
        let bytes = self.long_str()?;
        Table::check(bytes, 0)?;
        Ok(Table(bytes))
    }
}

/// Tables and arrays may stand within each other this deep: far beyond any use, far below the stack's end.
const DEPTH: usize = 16;

/// A field table (4.2.5.5), still encoded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Table<'a>(pub &'a [u8]);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value<'a> {
    Flag(bool),
    Whole(i64),
    Unsigned(u64),
    Real(f64),
    /// Scale and digits.
    Decimal(u8, u32),
    Text(&'a [u8]),
    Bytes(&'a [u8]),
    Array(&'a [u8]),
    Table(Table<'a>),
    Time(u64),
    Void,
}

impl<'a> Table<'a> {
    fn check(bytes: &'a [u8], depth: usize) -> Result<(), Fault> {
        if depth == DEPTH {
            return Err(syntax("tables stand too deep within each other"));
        }
        let mut args = Args::new(bytes);
        while args.left() > 0 {
            args.short_str()?;
            Table::nested(value(&mut args)?, depth)?;
        }
        Ok(())
    }

    fn nested(value: Value<'a>, depth: usize) -> Result<(), Fault> {
        match value {
            Value::Table(t) => Table::check(t.0, depth + 1),
            Value::Array(bytes) if depth + 1 < DEPTH => {
                let mut args = Args::new(bytes);
                while args.left() > 0 {
                    Table::nested(self::value(&mut args)?, depth + 1)?;
                }
                Ok(())
            }
            Value::Array(_) => Err(syntax("arrays stand too deep within each other")),
            _ => Ok(()),
        }
    }

    pub fn get(&self, name: &str) -> Option<Value<'a>> {
        self.iter().find(|e| e.0 == name).map(|e| e.1)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&'a str, Value<'a>)> {
        let mut args = Args::new(self.0);
        std::iter::from_fn(move || {
            (args.left() > 0)
                .then(|| Some((args.short_str().ok()?, value(&mut args).ok()?)))
                .flatten()
        })
    }
}

/// The field types of the grammar as they are in common use: where the specification of 0-9-1 and its errata
/// differ ('s' as short-short string), the errata's signed 16 bits are meant, as all clients in use send it.
fn value<'a>(args: &mut Args<'a>) -> Result<Value<'a>, Fault> {
    Ok(match args.octet()? {
        b't' => Value::Flag(args.octet()? != 0),
        b'b' => Value::Whole(i64::from(args.octet()? as i8)),
        b'B' => Value::Unsigned(u64::from(args.octet()?)),
        b's' | b'U' => Value::Whole(i64::from(args.short()? as i16)),
        b'u' => Value::Unsigned(u64::from(args.short()?)),
        b'I' => Value::Whole(i64::from(args.long()? as i32)),
        b'i' => Value::Unsigned(u64::from(args.long()?)),
        b'l' | b'L' => Value::Whole(args.long_long()? as i64),
        b'f' => Value::Real(f64::from(f32::from_bits(args.long()?))),
        b'd' => Value::Real(f64::from_bits(args.long_long()?)),
        b'D' => Value::Decimal(args.octet()?, args.long()?),
        b'S' => Value::Text(args.long_str()?),
        b'x' => Value::Bytes(args.long_str()?),
        b'A' => Value::Array(args.long_str()?),
        b'T' => Value::Time(args.long_long()?),
        b'F' => Value::Table(Table(args.long_str()?)),
        b'V' => Value::Void,
        other => return Err(syntax(&format!("field type {other:#04x} is unknown"))),
    })
}

/// Passes over one value.
pub fn skip(args: &mut Args) -> Option<()> {
    value(args).ok().map(|_| ())
}

/// The properties of class basic (1.8), in the order of their flags.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Properties<'a> {
    pub content_type: &'a str,
    pub content_encoding: &'a str,
    pub headers: Option<Table<'a>>,
    pub delivery_mode: u8,
    pub priority: u8,
    pub correlation_id: &'a str,
    pub reply_to: &'a str,
    pub expiration: &'a str,
    pub message_id: &'a str,
    pub timestamp: Option<u64>,
    pub typ: &'a str,
    pub user_id: &'a str,
    pub app_id: &'a str,
}

/// A content header (4.2.6.1): class, size of the body, and the properties.
pub fn header(payload: &[u8]) -> Result<(u16, u64, Properties<'_>, &[u8]), Fault> {
    let mut args = Args::new(payload);
    let (class, _weight, size) = (args.short()?, args.short()?, args.long_long()?);
    let raw = args.bytes;
    Ok((class, size, properties(&mut args)?, raw))
}

pub fn properties<'a>(args: &mut Args<'a>) -> Result<Properties<'a>, Fault> {
    let flags = args.short()?;
    if flags & 1 == 1 {
        return Err(syntax("class basic has no further property flags"));
    }
    let mut p = Properties::default();
    let has = |bit: u16| flags >> bit & 1 == 1;
    if has(15) {
        p.content_type = args.short_str()?;
    }
    if has(14) {
        p.content_encoding = args.short_str()?;
    }
    if has(13) {
        p.headers = Some(args.table()?);
    }
    if has(12) {
        p.delivery_mode = args.octet()?;
    }
    if has(11) {
        p.priority = args.octet()?;
    }
    if has(10) {
        p.correlation_id = args.short_str()?;
    }
    if has(9) {
        p.reply_to = args.short_str()?;
    }
    if has(8) {
        p.expiration = args.short_str()?;
    }
    if has(7) {
        p.message_id = args.short_str()?;
    }
    if has(6) {
        p.timestamp = Some(args.long_long()?);
    }
    if has(5) {
        p.typ = args.short_str()?;
    }
    if has(4) {
        p.user_id = args.short_str()?;
    }
    if has(3) {
        p.app_id = args.short_str()?;
    }
    if has(2) {
        args.short_str()?;
    }
    if args.left() > 0 {
        return Err(syntax("octets follow the properties"));
    }
    Ok(p)
}

/// Writes frames behind what is in a buffer.
pub struct Out<'a> {
    pub out: &'a mut Vec<u8>,
    start: usize,
    bits: u8,
}

impl<'a> Out<'a> {
    fn frame(out: &'a mut Vec<u8>, kind: u8, channel: u16) -> Out<'a> {
        let start = out.len();
        out.push(kind);
        out.extend_from_slice(&channel.to_be_bytes());
        out.extend_from_slice(&[0; 4]);
        Out {
            out,
            start,
            bits: 8,
        }
    }

    pub fn method(out: &'a mut Vec<u8>, channel: u16, class: u16, method: u16) -> Out<'a> {
        Out::frame(out, METHOD, channel).short(class).short(method)
    }

    pub fn octet(mut self, v: u8) -> Out<'a> {
        self.bits = 8;
        self.out.push(v);
        self
    }

    pub fn short(mut self, v: u16) -> Out<'a> {
        self.bits = 8;
        self.out.extend_from_slice(&v.to_be_bytes());
        self
    }

    pub fn long(mut self, v: u32) -> Out<'a> {
        self.bits = 8;
        self.out.extend_from_slice(&v.to_be_bytes());
        self
    }

    pub fn long_long(mut self, v: u64) -> Out<'a> {
        self.bits = 8;
        self.out.extend_from_slice(&v.to_be_bytes());
        self
    }

    pub fn bit(mut self, v: bool) -> Out<'a> {
        if self.bits == 8 {
            self.out.push(0);
            self.bits = 0;
        }
        if let Some(last) = self.out.last_mut() {
            *last |= u8::from(v) << self.bits;
        }
        self.bits += 1;
        self
    }

    /// At most 255 octets; what is beyond is cut at a character's end.
    pub fn short_str(self, v: &str) -> Out<'a> {
        let end = (0..=v.len().min(255))
            .rev()
            .find(|e| v.is_char_boundary(*e))
            .unwrap_or(0);
        let s = self.octet(end as u8);
        s.out.extend_from_slice(&v.as_bytes()[..end]);
        s
    }

    pub fn long_str(self, v: &[u8]) -> Out<'a> {
        let s = self.long(v.len() as u32);
        s.out.extend_from_slice(v);
        s
    }

    pub fn raw(mut self, v: &[u8]) -> Out<'a> {
        self.bits = 8;
        self.out.extend_from_slice(v);
        self
    }

    pub fn end(self) {
        let size = (self.out.len() - self.start - 7) as u32;
        self.out[self.start + 3..self.start + 7].copy_from_slice(&size.to_be_bytes());
        self.out.push(FRAME_END);
    }
}

pub fn heartbeat(out: &mut Vec<u8>) {
    Out::frame(out, HEARTBEAT, 0).end();
}

/// Content behind its method: header with properties as they are encoded, and the body in frames that fit.
pub fn content(out: &mut Vec<u8>, channel: u16, properties: &[u8], body: &[u8], frame_max: u32) {
    let f = Out::frame(out, HEADER, channel)
        .short(60)
        .short(0)
        .long_long(body.len() as u64);
    f.raw(properties).end();
    for part in body.chunks(frame_max as usize - OVERHEAD) {
        Out::frame(out, BODY, channel).raw(part).end();
    }
}

/// Encodes properties, flags first.
pub fn write_properties(out: &mut Vec<u8>, p: &Properties) {
    let texts = [p.correlation_id, p.reply_to, p.expiration, p.message_id];
    let mut flags = 0u16;
    let mut set = |bit: u16, on: bool| flags |= u16::from(on) << bit;
    set(15, !p.content_type.is_empty());
    set(14, !p.content_encoding.is_empty());
    set(13, p.headers.is_some());
    set(12, p.delivery_mode > 0);
    set(11, p.priority > 0);
    texts
        .iter()
        .zip([10, 9, 8, 7])
        .for_each(|(t, bit)| set(bit, !t.is_empty()));
    set(6, p.timestamp.is_some());
    [p.typ, p.user_id, p.app_id]
        .iter()
        .zip([5, 4, 3])
        .for_each(|(t, bit)| set(bit, !t.is_empty()));
    let mut o = Out {
        out,
        start: 0,
        bits: 8,
    }
    .short(flags);
    for t in [p.content_type, p.content_encoding]
        .into_iter()
        .filter(|t| !t.is_empty())
    {
        o = o.short_str(t);
    }
    if let Some(t) = p.headers {
        o = o.long_str(t.0);
    }
    for v in [p.delivery_mode, p.priority].into_iter().filter(|v| *v > 0) {
        o = o.octet(v);
    }
    for t in texts.into_iter().filter(|t| !t.is_empty()) {
        o = o.short_str(t);
    }
    if let Some(t) = p.timestamp {
        o = o.long_long(t);
    }
    for t in [p.typ, p.user_id, p.app_id]
        .into_iter()
        .filter(|t| !t.is_empty())
    {
        o = o.short_str(t);
    }
}

/// Fields of a table in the making; nested ones are made first.
#[derive(Default)]
pub struct TableOut(pub Vec<u8>);

impl TableOut {
    fn put(&mut self, name: &str, kind: u8, value: &[u8]) {
        let _ = Out {
            out: &mut self.0,
            start: 0,
            bits: 8,
        }
        .short_str(name)
        .octet(kind)
        .raw(value);
    }

    pub fn text(&mut self, name: &str, value: &str) {
        self.put(
            name,
            b'S',
            &[&(value.len() as u32).to_be_bytes()[..], value.as_bytes()].concat(),
        );
    }

    pub fn whole(&mut self, name: &str, value: i64) {
        self.put(name, b'l', &value.to_be_bytes());
    }

    pub fn flag(&mut self, name: &str, value: bool) {
        self.put(name, b't', &[u8::from(value)]);
    }

    pub fn time(&mut self, name: &str, value: u64) {
        self.put(name, b'T', &value.to_be_bytes());
    }

    pub fn table(&mut self, name: &str, value: &[u8]) {
        self.put(
            name,
            b'F',
            &[&(value.len() as u32).to_be_bytes()[..], value].concat(),
        );
    }

    /// An array of values, each with its type octet in front.
    pub fn array(&mut self, name: &str, value: &[u8]) {
        self.put(
            name,
            b'A',
            &[&(value.len() as u32).to_be_bytes()[..], value].concat(),
        );
    }
}
