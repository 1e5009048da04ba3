//! Decodes the frames recorded in `tests/oracles/wire` with `Fields`, and encodes the same fields in the same
//! order with `Frame`: the bytes must be the same.
#![allow(clippy::unwrap_used, missing_docs)]
use minicbor::data::Type;
use minicbor::Decoder;
use std::fs;
use std::path::Path;
use test_case::test_case;
use tidewall_wire::{frame, Entries, Field, Fields, Frame};

/// A field of an encoded map, with its value still encoded.
struct EncodedField<'a> {
    field: Field,
    cbor_type: Type,
    value: &'a [u8],
}

/// The fields of an encoded map in their original order, which `Fields` does not retain.
fn encoded_fields<'a>(decoder: &mut Decoder<'a>) -> Vec<EncodedField<'a>> {
    let count = decoder.map().unwrap().unwrap();
    let decode_field = |_| {
        let field = Field::ALL[decoder.u64().unwrap() as usize];
        let cbor_type = decoder.datatype().unwrap();
        let start = decoder.position();
        decoder.skip().unwrap();
        EncodedField {
            field,
            cbor_type,
            value: &decoder.input()[start..decoder.position()],
        }
    };
    (0..count).map(decode_field).collect()
}

/// Writes the fields in the given order, with the values that `Fields` has decoded.
fn rewrite<'a>(mut out: Frame<'a>, read: &Fields<'_>, order: &[EncodedField<'_>]) -> Frame<'a> {
    for encoded in order {
        let field = encoded.field;
        assert!(read.has(field));
        out = match encoded.cbor_type {
            Type::U8 | Type::U16 | Type::U32 | Type::U64 => {
                out.whole(field, read.whole(field).unwrap())
            }
            Type::F64 => out.real(field, read.real(field, f64::NAN).unwrap()),
            Type::String => out.text(field, read.text(field).unwrap()),
            Type::Bytes => out.bytes(field, read.bytes(field).unwrap()),
            Type::Bool => out.flag(field, read.flag(field).unwrap()),
            Type::Array => out.entries(&rewrite_entries(read, encoded.value)),
            other => panic!("{} is of type {other}", field.name()),
        };
    }
    out
}

fn rewrite_entries(read: &Fields<'_>, encoded_list: &[u8]) -> Entries {
    let mut decoder = Decoder::new(encoded_list);
    let mut entries = Entries::default();
    let mut remaining = decoder.array().unwrap().unwrap();
    read.entries(|entry| {
        remaining -= 1;
        let order = encoded_fields(&mut decoder);
        entries.add(|out| rewrite(out, entry, &order));
        Ok(())
    })
    .unwrap();
    assert_eq!(remaining, 0);
    entries
}

fn from_hex(digits: &str) -> Vec<u8> {
    assert_eq!(digits.len() % 2, 0);
    let octets = (0..digits.len()).step_by(2);
    octets
        .map(|i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap())
        .collect()
}

#[test_case("native-frames.hex", 82 ; "of simulated runs")]
#[test_case("native-way.hex", 12 ; "of the gateway's codec")]
#[test_case("native-written.hex", 4 ; "that no simulated run sends")]
fn a_recorded_frame_is_written_again_to_the_same_bytes(file: &str, count: usize) {
    let recorded = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/oracles/wire");
    let text = fs::read_to_string(recorded.join(file)).unwrap();
    for line in text.lines() {
        let (name, digits) = line.split_once(' ').unwrap();
        let bytes = from_hex(digits);
        let (body, length) = frame(&bytes).unwrap().expect(name);
        assert_eq!(length, bytes.len(), "{name}");
        let read = Fields::read(body).unwrap();
        let order = encoded_fields(&mut Decoder::new(body));
        assert_eq!(order[0].field, Field::Kind, "{name}");
        let mut written = Vec::new();
        rewrite(
            Frame::new(&mut written, read.kind().unwrap()),
            &read,
            &order[1..],
        )
        .end();
        assert_eq!(written, bytes, "{name}");
    }
    assert_eq!(text.lines().count(), count);
}

#[test]
fn a_field_is_found_by_its_number() {
    for (number, field) in Field::ALL.into_iter().enumerate() {
        assert_eq!(field as usize, number, "{}", field.name());
    }
}
