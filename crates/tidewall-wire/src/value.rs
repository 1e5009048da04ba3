//! The values of fields.

/// The value of a field, by its type on the wire.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value<'a> {
    /// An unsigned number (CBOR major type 0).
    Whole(u64),
    /// A floating-point number: read in half, single or double precision, written in double precision.
    Real(f64),
    /// A text string (UTF-8).
    Text(&'a str),
    /// A byte string.
    Bytes(&'a [u8]),
    /// True or false.
    Flag(bool),
    /// An array, still encoded.
    List(&'a [u8]),
}
