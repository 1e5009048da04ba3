//! Fields of one line, and values that several events have in common.
use crate::error::FieldError;
use std::str::FromStr;
use tidewall::interface::Time;

/// The fields of one line; an error names the field.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Splits what follows a line's name. Only the first equals sign of a part divides it, as a peer's payload may end
    /// in some.
    pub fn parse(text: &'a str) -> Result<Fields<'a>, FieldError> {
        let mut pairs = Vec::new();
        for part in text.split(' ').filter(|part| !part.is_empty()) {
            let pair = part.split_once('=');
            pairs.push(pair.ok_or_else(|| FieldError::NotAPair {
                part: part.to_string(),
            })?);
        }
        Ok(Fields(pairs))
    }

    /// All fields in their order.
    pub fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> + '_ {
        self.0.iter().copied()
    }

    /// The value of a field, None where it is left out.
    pub fn find(&self, field: &str) -> Option<&'a str> {
        self.0
            .iter()
            .find(|pair| pair.0 == field)
            .map(|pair| pair.1)
    }

    /// The value of a field that must be there and not empty.
    pub fn text(&self, field: &'static str) -> Result<&'a str, FieldError> {
        self.find(field)
            .filter(|value| !value.is_empty())
            .ok_or(FieldError::Missing { field })
    }

    /// A value of some type; `default` is for a field that is left out, without one it must be there.
    pub fn parsed<T: FromStr>(
        &self,
        field: &'static str,
        default: Option<T>,
    ) -> Result<T, FieldError> {
        match (self.find(field), default) {
            (None, Some(value)) => Ok(value),
            (None, None) => Err(FieldError::Missing { field }),
            (Some(text), _) => text.parse().map_err(|_| FieldError::Invalid {
                field,
                value: text.to_string(),
            }),
        }
    }

    /// A finite number that is not negative and below 1e15, so that it fits into a time.
    pub fn number(&self, field: &'static str, default: Option<f64>) -> Result<f64, FieldError> {
        let value = self.parsed(field, default)?;
        if value.is_finite() && (0.0..1e15).contains(&value) {
            return Ok(value);
        }
        Err(FieldError::OutOfRange { field, value })
    }

    /// A point in time, rounded down to tenths of a millisecond: a deadline never moves later.
    pub fn time(&self, field: &'static str, default: Option<f64>) -> Result<Time, FieldError> {
        Ok((self.number(field, default)? * 10.0 + 1e-6).floor() as Time)
    }

    /// A duration, rounded up to tenths of a millisecond: the clock and durations are never shorter than they were.
    /// 0 where it is left out.
    pub fn duration(&self, field: &'static str) -> Result<Time, FieldError> {
        Ok((self.number(field, Some(0.0))? * 10.0 - 1e-6).ceil() as Time)
    }

    /// A flag, clear where it is left out.
    pub fn flag(&self, field: &'static str) -> Result<bool, FieldError> {
        match self.find(field) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(FieldError::NotAFlag {
                field,
                value: value.to_string(),
            }),
        }
    }
}
