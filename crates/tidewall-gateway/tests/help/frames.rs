//! Reading and writing single frames of `tidewall-wire`.
use tidewall_wire::{frame, Fields};

/// Returns the fields of a buffer that holds exactly one frame.
pub fn fields(bytes: &[u8]) -> Fields<'_> {
    let (body, length) = frame(bytes)
        .expect("not too long")
        .expect("a complete frame");
    assert_eq!(length, bytes.len());
    Fields::read(body).expect("a map of fields")
}

/// Returns what `encode` appends to an empty buffer.
pub fn encoded(encode: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(&mut bytes);
    bytes
}
