//! Values of fields.

/// The value of a field, as it is encoded in the frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value<'a> {
    /// An unsigned number (CBOR major type 0).
    Whole(u64),
    /// A floating-point number; read from half, single or double precision, written as double.
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
