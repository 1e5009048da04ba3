//! Field tables (section 4.2.5.5).
use super::arguments::ArgumentReader;
use super::syntax_error;
use super::writer::FrameWriter;
use crate::ProtocolError;

/// Limit of the nesting of tables and arrays: far more than clients use, and far too little to overflow the
/// stack.
const MAX_DEPTH: usize = 16;

/// An encoded field table, without its length.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FieldTable<'a>(pub &'a [u8]);

/// A value in a field table or array.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldValue<'a> {
    /// Type `t`.
    Boolean(bool),
    /// Signed integers of 8 to 64 bits: types `b`, `s`, `U`, `I`, `l` and `L`.
    Signed(i64),
    /// Unsigned integers of 8 to 32 bits: types `B`, `u` and `i`.
    Unsigned(u64),
    /// Types `f` and `d`.
    Float(f64),
    /// Type `D`.
    Decimal {
        /// Number of digits after the decimal point.
        scale: u8,
        /// All digits as an integer.
        digits: u32,
    },
    /// Type `S`. Clients send UTF-8, but nothing enforces it.
    LongString(&'a [u8]),
    /// Type `x`.
    Bytes(&'a [u8]),
    /// Type `A`: encoded values, each preceded by its type octet.
    Array(&'a [u8]),
    /// Type `F`.
    Table(FieldTable<'a>),
    /// Type `T`: seconds since 1970.
    Timestamp(u64),
    /// Type `V`.
    Void,
}

impl<'a> FieldTable<'a> {
    /// Validates an encoded table.
    pub(super) fn decode(bytes: &'a [u8]) -> Result<FieldTable<'a>, ProtocolError> {
        FieldTable::check(bytes, 0)?;
        Ok(FieldTable(bytes))
    }

    fn check(bytes: &'a [u8], depth: usize) -> Result<(), ProtocolError> {
        if depth == MAX_DEPTH {
            return Err(syntax_error("tables stand too deep within each other"));
        }
        let mut fields = ArgumentReader::new(bytes);
        while fields.remaining() > 0 {
            fields.short_str()?;
            FieldTable::check_nested(read_value(&mut fields)?, depth)?;
        }
        Ok(())
    }

    fn check_nested(value: FieldValue<'a>, depth: usize) -> Result<(), ProtocolError> {
        match value {
            FieldValue::Table(table) => FieldTable::check(table.0, depth + 1),
            FieldValue::Array(bytes) if depth + 1 < MAX_DEPTH => {
                let mut values = ArgumentReader::new(bytes);
                while values.remaining() > 0 {
                    FieldTable::check_nested(read_value(&mut values)?, depth + 1)?;
                }
                Ok(())
            }
            FieldValue::Array(_) => Err(syntax_error("arrays stand too deep within each other")),
            _ => Ok(()),
        }
    }

    /// The first value with this name.
    pub fn get(&self, name: &str) -> Option<FieldValue<'a>> {
        self.iter()
            .find(|field| field.0 == name)
            .map(|field| field.1)
    }

    /// Names and values in the order of the encoding; ends early if the encoding is malformed.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, FieldValue<'a>)> {
        let mut fields = ArgumentReader::new(self.0);
        std::iter::from_fn(move || {
            (fields.remaining() > 0)
                .then(|| Some((fields.short_str().ok()?, read_value(&mut fields).ok()?)))
                .flatten()
        })
    }
}

/// Reads a type octet and a value. The types are those in common use: the specification of 0-9-1 defines `s`
/// as a short string and its errata as a signed integer of 16 bits, which is what all common clients send.
fn read_value<'a>(fields: &mut ArgumentReader<'a>) -> Result<FieldValue<'a>, ProtocolError> {
    Ok(match fields.octet()? {
        b't' => FieldValue::Boolean(fields.octet()? != 0),
        b'b' => FieldValue::Signed(i64::from(fields.octet()? as i8)),
        b'B' => FieldValue::Unsigned(u64::from(fields.octet()?)),
        b's' | b'U' => FieldValue::Signed(i64::from(fields.short()? as i16)),
        b'u' => FieldValue::Unsigned(u64::from(fields.short()?)),
        b'I' => FieldValue::Signed(i64::from(fields.long()? as i32)),
        b'i' => FieldValue::Unsigned(u64::from(fields.long()?)),
        b'l' | b'L' => FieldValue::Signed(fields.long_long()? as i64),
        b'f' => FieldValue::Float(f64::from(f32::from_bits(fields.long()?))),
        b'd' => FieldValue::Float(f64::from_bits(fields.long_long()?)),
        b'D' => FieldValue::Decimal {
            scale: fields.octet()?,
            digits: fields.long()?,
        },
        b'S' => FieldValue::LongString(fields.long_str()?),
        b'x' => FieldValue::Bytes(fields.long_str()?),
        b'A' => FieldValue::Array(fields.long_str()?),
        b'T' => FieldValue::Timestamp(fields.long_long()?),
        b'F' => FieldValue::Table(FieldTable(fields.long_str()?)),
        b'V' => FieldValue::Void,
        other => return Err(syntax_error(&format!("field type {other:#04x} is unknown"))),
    })
}

/// Skips a type octet and a value; `None` if they are malformed.
pub fn skip_value(fields: &mut ArgumentReader) -> Option<()> {
    read_value(fields).ok().map(|_| ())
}

/// Encodes the fields of a table, without the table's length. A nested table is encoded before its outer
/// table.
#[derive(Default)]
pub struct TableWriter(pub Vec<u8>);

impl TableWriter {
    fn field(&mut self, name: &str, field_type: u8, value: &[u8]) {
        let _ = FrameWriter::unframed(&mut self.0)
            .short_str(name)
            .octet(field_type)
            .raw(value);
    }

    /// Adds a value preceded by its length.
    fn sized_field(&mut self, name: &str, field_type: u8, value: &[u8]) {
        let _ = FrameWriter::unframed(&mut self.0)
            .short_str(name)
            .octet(field_type)
            .long_str(value);
    }

    /// Adds a string, type `S`.
    pub fn long_string(&mut self, name: &str, value: &str) {
        self.sized_field(name, b'S', value.as_bytes());
    }

    /// Adds a signed integer of 64 bits, type `l`.
    pub fn signed(&mut self, name: &str, value: i64) {
        self.field(name, b'l', &value.to_be_bytes());
    }

    /// Adds a boolean, type `t`.
    pub fn boolean(&mut self, name: &str, value: bool) {
        self.field(name, b't', &[u8::from(value)]);
    }

    /// Adds a time in seconds since 1970, type `T`.
    pub fn timestamp(&mut self, name: &str, seconds: u64) {
        self.field(name, b'T', &seconds.to_be_bytes());
    }

    /// Adds a nested table, type `F`, whose fields another writer has encoded.
    pub fn table(&mut self, name: &str, fields: &[u8]) {
        self.sized_field(name, b'F', fields);
    }

    /// Adds an array, type `A`, of encoded values, each preceded by its type octet.
    pub fn array(&mut self, name: &str, values: &[u8]) {
        self.sized_field(name, b'A', values);
    }
}
