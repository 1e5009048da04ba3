//! Histories stored by an earlier build (`tests/oracles/README.md`) are decoded, and encoded again to the
//! same bytes.
use tidewall_forecast::history::{History, HistoryShape};

const SHAPE: HistoryShape = HistoryShape {
    slots_per_period: 4,
    periods: 3,
};

fn recorded(hex: &str) -> Vec<u8> {
    let digits = hex.trim_end().as_bytes().chunks(2);
    digits
        .map(|pair| {
            let pair = std::str::from_utf8(pair).expect("hexadecimal digits");
            u8::from_str_radix(pair, 16).expect("hexadecimal digits")
        })
        .collect()
}

fn encoded(history: &History) -> Vec<u8> {
    let mut bytes = Vec::new();
    history.encode(&mut bytes);
    bytes
}

/// Returns the known slots with their counts.
fn known_counts(history: &History) -> Vec<(u64, f32)> {
    (0..100)
        .filter_map(|slot| history.count(slot).map(|count| (slot, count)))
        .collect()
}

#[test]
fn a_recorded_history_is_decoded_and_encoded_alike() {
    let bytes = recorded(include_str!("../../../tests/oracles/forecast-history.hex"));
    let decoded = History::decode(&bytes, SHAPE).expect("a valid history");
    assert_eq!(known_counts(&decoded), [(13, 1.5), (16, 250.25), (24, 7.0)]);
    assert_eq!((decoded.next_slot(), decoded.max_count), (25, 250.25));
    assert_eq!(encoded(&decoded), bytes);

    let mut recorded_anew = History::new(SHAPE);
    let counts = [
        (10, Some(3.0)),
        (11, Some(0.0)),
        (12, None),
        (13, Some(1.5)),
        (16, Some(250.25)),
        (24, Some(7.0)),
    ];
    for (slot, count) in counts {
        recorded_anew.record(slot, count);
    }
    assert_eq!(encoded(&recorded_anew), bytes);
}

#[test]
fn a_recorded_empty_history_is_decoded_and_encoded_alike() {
    let bytes = recorded(include_str!(
        "../../../tests/oracles/forecast-history-empty.hex"
    ));
    let decoded = History::decode(&bytes, SHAPE).expect("a valid history");
    assert_eq!(known_counts(&decoded), []);
    assert_eq!((decoded.next_slot(), decoded.max_count), (0, 0.0));
    assert_eq!(encoded(&decoded), bytes);
    assert_eq!(encoded(&History::new(SHAPE)), bytes);
}
