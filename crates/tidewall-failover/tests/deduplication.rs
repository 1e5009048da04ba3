//! The deduplication table of requests with an idempotency key.
use tidewall_failover::deduplication::{DeduplicationTable, RequestLocation, MAX_ENTRIES};

#[test]
fn a_request_is_in_flight_then_answered_then_expired() {
    let mut table = DeduplicationTable::default();
    table.insert_in_flight(1, b"m", RequestLocation::Remote(3));
    assert_eq!(table.lookup(0, 1, b"m"), Some(&RequestLocation::Remote(3)));
    assert_eq!(table.lookup(0, 2, b"m"), None);
    table.insert_in_flight(1, b"m", RequestLocation::Local(4));
    table.record_response(10, 1, b"m", 0, b"r", 50);
    assert_eq!(
        table.lookup(49, 1, b"m"),
        Some(&RequestLocation::Responded {
            disposition: 0,
            payload: b"r"[..].into(),
        })
    );
    assert_eq!(table.lookup(50, 1, b"m"), None);
    assert!(table.is_empty());
}

#[test]
fn a_request_in_flight_again_outlives_its_former_response_and_only_local_ones_are_retained() {
    let mut table = DeduplicationTable::default();
    table.record_response(0, 1, b"m", 0, b"", 100);
    table.insert_in_flight(1, b"m", RequestLocation::Local(8));
    table.insert_in_flight(1, b"n", RequestLocation::Remote(9));
    table.record_response(0, 1, b"o", 2, b"", 500);
    assert_eq!(table.lookup(200, 1, b"m"), Some(&RequestLocation::Local(8)));
    table.retain_local();
    assert_eq!(
        (table.len(), table.lookup(200, 1, b"m")),
        (1, Some(&RequestLocation::Local(8)))
    );
}

#[test]
fn no_response_expires_early_when_the_table_is_full_and_empty_keys_are_not_recorded() {
    let mut table = DeduplicationTable::default();
    for i in 0..MAX_ENTRIES as u64 {
        assert!(table.has_capacity());
        table.record_response(0, 1, &i.to_be_bytes(), 0, b"", 1_000);
    }
    table.insert_in_flight(1, b"", RequestLocation::Local(1));
    assert_eq!((table.len(), table.has_capacity()), (MAX_ENTRIES, false));
    assert!(table.lookup(999, 1, &0u64.to_be_bytes()).is_some());
    assert!(table.lookup(1_000, 1, &0u64.to_be_bytes()).is_none() && table.has_capacity());
}
