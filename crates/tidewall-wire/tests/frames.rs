//! Frames are read back as they were written, and the errors of malformed frames name the field.
#![allow(clippy::unwrap_used, missing_docs)]
use test_case::test_case;
use tidewall_wire::{
    error, frame, greeted, hello, kind, Entries, Field, Fields, Frame, WireError, MAX_BODY_LENGTH,
};

fn body(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    write(&mut out);
    let (body, length) = frame(&out).unwrap().unwrap();
    assert_eq!(length, out.len());
    body.to_vec()
}

#[test]
fn each_type_of_value_is_read_as_it_was_written() {
    let mut list = Entries::default();
    list.add(|entry| entry.text(Field::Name, "w1").real(Field::Memory, 0.5));
    list.add(|entry| entry.text(Field::Name, "w2").flag(Field::On, true));
    let body = body(|out| {
        let f = Frame::new(out, kind::EVENT)
            .whole(Field::Id, u64::MAX)
            .text(Field::Type, "check");
        f.bytes(Field::Payload, &[1, 2])
            .flag(Field::Resent, true)
            .entries(&list)
            .end();
    });
    let fields = Fields::read(&body).unwrap();
    assert_eq!(fields.kind().unwrap(), kind::EVENT);
    assert_eq!(fields.whole(Field::Id).unwrap(), u64::MAX);
    assert_eq!(fields.text(Field::Type).unwrap(), "check");
    assert_eq!(fields.bytes(Field::Payload).unwrap(), &[1, 2][..]);
    assert_eq!(
        (
            fields.flag(Field::Resent).unwrap(),
            fields.flag(Field::On).unwrap()
        ),
        (true, false)
    );
    let mut names = Vec::new();
    let each = |entry: &Fields<'_>| {
        names.push((entry.text(Field::Name)?.to_string(), entry.flag(Field::On)?));
        Ok::<_, WireError>(())
    };
    fields.entries(each).unwrap();
    assert_eq!(names, [("w1".to_string(), false), ("w2".to_string(), true)]);
}

#[test]
fn unknown_fields_of_any_type_are_skipped() {
    // In CBOR diagnostic notation: {0: 10, 99: [1, {"a": h'00'}], 5: 3}
    let body = [
        0xa3, 0, 10, 0x18, 99, 0x82, 1, 0xa1, 0x61, b'a', 0x41, 0, 5, 3,
    ];
    let fields = Fields::read(&body).unwrap();
    assert_eq!(fields.whole(Field::Id).unwrap(), 3);
}

#[test_case(&[0xa1, 0, 0x61, b'x'], "field kind is no whole number" ; "text for a number")]
#[test_case(&[0xa2, 0, 1, 0, 1], "field kind: stands twice" ; "a duplicate field")]
#[test_case(&[0xa1, 5, 1], "field kind is missing" ; "no kind")]
#[test_case(&[0x81, 1], "field kind: the frame is no map" ; "not a map")]
#[test_case(&[0xa1, 0, 10, 7], "bytes follow" ; "trailing bytes")]
#[test_case(&[0xa1, 6, 0x65, b'x'], "field type" ; "truncated")]
#[test_case(&[0xa1, 16, 0x62, 0xff, 0xfe], "field payload" ; "text that is not UTF-8")]
#[test_case(&[0xbf, 0, 1, 0xff], "unknown length" ; "a map of indefinite length")]
#[test_case(&[0xa1, 0, 0xf6], "field kind: a value of type null" ; "null")]
fn the_error_of_a_malformed_frame_names_the_field(body: &[u8], expected: &str) {
    let message = Fields::read(body)
        .and_then(|f| f.kind())
        .unwrap_err()
        .to_string();
    assert!(message.contains(expected), "{message}");
}

#[test]
fn a_frame_of_four_gib_is_rejected_by_its_length_prefix() {
    assert!(frame(&[0xff; 4])
        .unwrap_err()
        .to_string()
        .contains(&MAX_BODY_LENGTH.to_string()));
    assert_eq!(frame(&[0, 0, 0]).unwrap(), None);
    assert_eq!(frame(&[0, 0, 0, 2, 7]).unwrap(), None);
}

#[test_case(1 => Ok("client".to_string()) ; "the same version")]
#[test_case(2 => Err("field version: 2 is not spoken here, 1 is".to_string()) ; "another version")]
fn a_hello_states_role_and_version(version: u64) -> Result<String, String> {
    let body = body(|out| {
        let f = Frame::new(out, kind::HELLO).whole(Field::Version, version);
        f.text(Field::Role, "client").end();
    });
    let role = greeted(&Fields::read(&body).unwrap())?;
    Ok(role.to_string())
}

#[test]
fn only_a_hello_is_accepted_as_the_first_frame() {
    let error_frame = body(|out| error(out, "x"));
    assert!(greeted(&Fields::read(&error_frame).unwrap())
        .unwrap_err()
        .to_string()
        .contains("first frame"));
    let hello_frame = body(|out| hello(out, "worker", "w1", 3));
    let fields = Fields::read(&hello_frame).unwrap();
    assert_eq!(
        (greeted(&fields).unwrap(), fields.text(Field::Name).unwrap()),
        ("worker", "w1")
    );
}
