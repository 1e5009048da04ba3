//! The fields of one line, and parsers for value types that several events share.
use crate::error::FieldError;
use std::str::FromStr;
use tidewall::interface::Time;

/// The fields of one line. Errors name the field.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Parses the part of a line after its name. Only the first equals sign of a field separates
    /// name and value, as base64 payloads may end in equals signs.
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

    /// Iterates over all fields in order.
    pub fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> + '_ {
        self.0.iter().copied()
    }

    /// Returns the value of a field; `None` if it is missing.
    pub fn find(&self, field: &str) -> Option<&'a str> {
        self.0
            .iter()
            .find(|pair| pair.0 == field)
            .map(|pair| pair.1)
    }

    /// Returns the value of a required field, which must not be empty.
    pub fn text(&self, field: &'static str) -> Result<&'a str, FieldError> {
        self.find(field)
            .filter(|value| !value.is_empty())
            .ok_or(FieldError::Missing { field })
    }

    /// Parses a value. If the field is missing, returns `default`; without a default the field is
    /// required.
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

    /// Parses a finite number from 0 to below 1e15, so that it fits into a [`Time`].
    pub fn number(&self, field: &'static str, default: Option<f64>) -> Result<f64, FieldError> {
        let value = self.parsed(field, default)?;
        if value.is_finite() && (0.0..1e15).contains(&value) {
            return Ok(value);
        }
        Err(FieldError::OutOfRange { field, value })
    }

    /// Parses a point in time and rounds it down to tenths of a millisecond, so that a deadline is
    /// never later than sent.
    pub fn time(&self, field: &'static str, default: Option<f64>) -> Result<Time, FieldError> {
        Ok((self.number(field, default)? * 10.0 + 1e-6).floor() as Time)
    }

    /// Parses a duration and rounds it up to tenths of a millisecond, so that the clock and
    /// durations are never less than sent. A missing field is 0.
    pub fn duration(&self, field: &'static str) -> Result<Time, FieldError> {
        Ok((self.number(field, Some(0.0))? * 10.0 - 1e-6).ceil() as Time)
    }

    /// Parses a flag. A missing field is false.
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
