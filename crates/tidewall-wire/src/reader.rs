//! Decodes the CBOR map of a frame.
use crate::{Field, Value, WireError, FIELD_COUNT};
use minicbor::data::Type;
use minicbor::decode;
use minicbor::Decoder;

/// Exclusive upper bound of floating-point numbers, far above the quantities that they express (MB, requests,
/// shares). Whole numbers below it are exact in double precision, whose limit is 2^53.
const REAL_LIMIT: f64 = 1e15;

/// The decoded fields of a frame, or of an entry of a list. Texts and bytes are borrowed from the body.
pub struct Fields<'a> {
    /// Indexed by field number.
    values: [Option<Value<'a>>; FIELD_COUNT],
}

impl<'a> Fields<'a> {
    /// Decodes the body of a frame.
    ///
    /// # Errors
    /// The body is not exactly one CBOR map of definite length, a field occurs twice, or the value of a known
    /// field cannot be decoded or has a type that no field has.
    pub fn read(body: &'a [u8]) -> Result<Fields<'a>, WireError> {
        let mut decoder = Decoder::new(body);
        let fields = Fields::decode_map(&mut decoder)?;
        if decoder.position() != body.len() {
            return Err(WireError::TrailingBytes);
        }
        Ok(fields)
    }

    /// Decodes one map. Fields with unknown numbers are skipped, so that later versions can add fields.
    fn decode_map(decoder: &mut Decoder<'a>) -> Result<Fields<'a>, WireError> {
        let mut values = [None; FIELD_COUNT];
        let Some(len) = decoder.map().map_err(WireError::NotAMap)? else {
            return Err(WireError::IndefiniteMap);
        };
        for _ in 0..len {
            let number = decoder.u64().map_err(WireError::FieldNumber)?;
            if number as usize >= FIELD_COUNT {
                decoder
                    .skip()
                    .map_err(|source| WireError::UnknownField { number, source })?;
                continue;
            }
            let field = Field::ALL[number as usize];
            if values[number as usize].is_some() {
                let field = field.name();
                return Err(WireError::Duplicate { field });
            }
            values[number as usize] = Some(decode_value(decoder, field)?);
        }
        Ok(Fields { values })
    }

    fn get(&self, field: Field) -> Option<Value<'a>> {
        self.values[field as usize]
    }

    /// Whether the field is present.
    pub fn has(&self, field: Field) -> bool {
        self.get(field).is_some()
    }

    /// The kind of the frame: one of the numbers in [`kind`](crate::kind), or an unknown one.
    ///
    /// # Errors
    /// The kind is missing or not a whole number.
    pub fn kind(&self) -> Result<u64, WireError> {
        self.whole(Field::Kind)
    }

    /// A required whole number.
    ///
    /// # Errors
    /// The field is missing or of another type.
    pub fn whole(&self, field: Field) -> Result<u64, WireError> {
        match self.get(field) {
            Some(Value::Whole(value)) => Ok(value),
            None => Err(WireError::missing(field)),
            Some(_) => Err(WireError::wrong_type(field, "whole number")),
        }
    }

    /// An optional whole number of at most `limit`; `default` where the field is missing.
    ///
    /// # Errors
    /// The field is of another type, or the value, which may be the default, exceeds the limit.
    pub fn upto(&self, field: Field, limit: u64, default: u64) -> Result<u64, WireError> {
        let value = if self.has(field) {
            self.whole(field)?
        } else {
            default
        };
        if value <= limit {
            return Ok(value);
        }
        Err(WireError::OverLimit {
            field: field.name(),
            value,
            limit,
        })
    }

    /// An optional number from 0 to below 10^15, floating-point or whole; `default` where the field is
    /// missing.
    ///
    /// # Errors
    /// The field is of another type, or the value, which may be the default, is out of range or not finite.
    pub fn real(&self, field: Field, default: f64) -> Result<f64, WireError> {
        let value = match self.get(field) {
            None => default,
            Some(Value::Whole(value)) => value as f64,
            Some(Value::Real(value)) => value,
            Some(_) => return Err(WireError::wrong_type(field, "number")),
        };
        if value.is_finite() && (0.0..REAL_LIMIT).contains(&value) {
            return Ok(value);
        }
        Err(WireError::OutOfRange {
            field: field.name(),
            value,
        })
    }

    /// A required text.
    ///
    /// # Errors
    /// The field is missing, empty or of another type.
    pub fn text(&self, field: Field) -> Result<&'a str, WireError> {
        match self.get(field) {
            Some(Value::Text(value)) if !value.is_empty() => Ok(value),
            None | Some(Value::Text(_)) => Err(WireError::missing(field)),
            Some(_) => Err(WireError::wrong_type(field, "text")),
        }
    }

    /// An optional text; empty where the field is missing.
    ///
    /// # Errors
    /// The field is of another type.
    pub fn word(&self, field: Field) -> Result<&'a str, WireError> {
        if self.has(field) && self.get(field) != Some(Value::Text("")) {
            self.text(field)
        } else {
            Ok("")
        }
    }

    /// Optional bytes; empty where the field is missing.
    ///
    /// # Errors
    /// The field is of another type.
    pub fn bytes(&self, field: Field) -> Result<&'a [u8], WireError> {
        match self.get(field) {
            None => Ok(&[]),
            Some(Value::Bytes(value)) => Ok(value),
            Some(_) => Err(WireError::wrong_type(field, "bytes")),
        }
    }

    /// A flag; false where the field is missing.
    ///
    /// # Errors
    /// The field is of another type.
    pub fn flag(&self, field: Field) -> Result<bool, WireError> {
        match self.get(field) {
            None => Ok(false),
            Some(Value::Flag(value)) => Ok(value),
            Some(_) => Err(WireError::wrong_type(field, "flag")),
        }
    }

    /// Calls `each` with the fields of each entry of the list [`Field::Entries`], in order, up to the first
    /// error.
    ///
    /// # Errors
    /// The list is missing or of another type, an entry cannot be decoded, or `each` returns an error. The
    /// last two are returned as [`WireError::Entry`], with the index of the entry.
    pub fn entries(
        &self,
        mut each: impl FnMut(&Fields<'a>) -> Result<(), WireError>,
    ) -> Result<(), WireError> {
        let Some(Value::List(bytes)) = self.get(Field::Entries) else {
            return Err(WireError::missing(Field::Entries));
        };
        let mut decoder = Decoder::new(bytes);
        let len = decoder
            .array()
            .map_err(|source| value_error(Field::Entries, source))?
            .unwrap_or(0);
        for index in 0..len {
            let to_entry_error = |source| WireError::Entry {
                index,
                source: Box::new(source),
            };
            let entry = Fields::decode_map(&mut decoder).map_err(to_entry_error)?;
            each(&entry).map_err(to_entry_error)?;
        }
        Ok(())
    }
}

fn value_error(field: Field, source: decode::Error) -> WireError {
    WireError::Value {
        field: field.name(),
        source,
    }
}

/// Decodes the value of a field. An array is skipped and kept encoded; [`Fields::entries`] decodes it.
fn decode_value<'a>(decoder: &mut Decoder<'a>, field: Field) -> Result<Value<'a>, WireError> {
    let to_value_error = |source| value_error(field, source);
    Ok(match decoder.datatype().map_err(to_value_error)? {
        Type::U8 | Type::U16 | Type::U32 | Type::U64 => {
            Value::Whole(decoder.u64().map_err(to_value_error)?)
        }
        Type::F16 => Value::Real(f64::from(decoder.f16().map_err(to_value_error)?)),
        Type::F32 => Value::Real(f64::from(decoder.f32().map_err(to_value_error)?)),
        Type::F64 => Value::Real(decoder.f64().map_err(to_value_error)?),
        Type::String => Value::Text(decoder.str().map_err(to_value_error)?),
        Type::Bytes => Value::Bytes(decoder.bytes().map_err(to_value_error)?),
        Type::Bool => Value::Flag(decoder.bool().map_err(to_value_error)?),
        Type::Array => {
            let start = decoder.position();
            decoder.skip().map_err(to_value_error)?;
            Value::List(&decoder.input()[start..decoder.position()])
        }
        found => {
            let field = field.name();
            return Err(WireError::UnsupportedType { field, found });
        }
    })
}
