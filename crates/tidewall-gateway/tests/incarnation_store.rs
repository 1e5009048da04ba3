//! The stored incarnation number of a process: each number is higher than all before it, whatever the clock
//! shows and whatever state the file is in.
#![allow(clippy::unwrap_used)]
use std::fs;
use std::path::PathBuf;
use tempfile::TempDir;
use test_case::test_case;
use tidewall_gateway::incarnation_store::{IncarnationStore, IncarnationStoreError};

fn folder() -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("g0.incarnation");
    (folder, path)
}

/// Simulates one start of the process: opens the store, takes a number, and closes the store.
fn start(path: &std::path::Path, clock: u64) -> u64 {
    IncarnationStore::open(path)
        .unwrap()
        .next(0, clock)
        .unwrap()
}

#[test]
fn a_clock_set_back_across_a_restart_gives_a_higher_number() {
    let (_folder, path) = folder();
    let starts = [1_000, 200, 1_001, 0, 5_000, 5_000].map(|clock| start(&path, clock));
    assert_eq!(starts, [1_000, 1_001, 1_002, 1_003, 5_000, 5_001]);
}

#[test]
fn a_number_known_to_others_raises_the_next_number() {
    let (_folder, path) = folder();
    let mut store = IncarnationStore::open(&path).unwrap();
    assert_eq!(store.next(9_000, 1_000).unwrap(), 9_001);
    drop(store);
    assert_eq!(start(&path, 1_000), 9_002);
}

/// Checks the exact content of the file.
#[test]
fn the_file_is_one_line() {
    let (_folder, path) = folder();
    start(&path, 1_764_799_200_123);
    assert_eq!(
        fs::read_to_string(&path).unwrap(),
        "tidewall-incarnation 1 1764799200123 bcff40936057fc83\n"
    );
}

/// A kill while the new content is written leaves an incomplete temporary file of any length beside the old
/// file.
#[test]
fn an_interrupted_write_changes_nothing() {
    let (_folder, path) = folder();
    start(&path, 1_000);
    let whole = fs::read(&path).unwrap();
    for length in 0..whole.len() {
        fs::write(path.with_extension("incarnation.new"), &whole[..length]).unwrap();
        assert_eq!(start(&path, 10), 1_001 + length as u64);
    }
}

#[test]
fn a_truncated_file_is_set_aside_at_each_length() {
    let (_folder, path) = folder();
    start(&path, 1_000);
    let whole = fs::read(&path).unwrap();
    for length in 0..whole.len() {
        fs::write(&path, &whole[..length]).unwrap();
        assert_eq!(start(&path, 2_000), 2_000);
        let rejected_path = path.with_extension("incarnation.rejected");
        assert_eq!(fs::read(rejected_path).unwrap(), &whole[..length]);
    }
}

#[test_case(b"tidewall-incarnation 2 1000 0000000000000000\n"; "another version")]
#[test_case(b"tidewall-incarnation 1 1000 0000000000000000\n"; "a wrong checksum")]
#[test_case(b"tidewall-incarnation 1 -1 0000000000000000\n"; "not a number")]
#[test_case(b"\xff\xfe\x00"; "not UTF-8")]
#[test_case(b"a list of something else\n"; "not a store's")]
fn a_file_that_is_not_readable_is_set_aside(content: &[u8]) {
    let (_folder, path) = folder();
    fs::write(&path, content).unwrap();
    assert_eq!(start(&path, 2_000), 2_000);
    let rejected_path = path.with_extension("incarnation.rejected");
    assert_eq!(fs::read(rejected_path).unwrap(), content);
    assert_eq!(start(&path, 10), 2_001);
}

#[test]
fn every_flipped_bit_is_detected() {
    let (_folder, path) = folder();
    start(&path, 1_000);
    let whole = fs::read(&path).unwrap();
    for bit in 0..8 * whole.len() {
        let mut changed = whole.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        fs::write(&path, &changed).unwrap();
        assert_eq!(start(&path, 500), 500, "bit {bit}");
    }
}

#[test]
fn two_processes_do_not_share_a_file() {
    let (_folder, path) = folder();
    let first = IncarnationStore::open(&path).unwrap();
    let second = IncarnationStore::open(&path).unwrap_err();
    assert!(matches!(second, IncarnationStoreError::InUse { .. }));
    assert!(second.to_string().starts_with(path.to_str().unwrap()));
    drop(first);
    start(&path, 1_000);
}

/// Guards against issuing a number that could not be stored.
#[test]
fn no_number_is_issued_if_it_cannot_be_stored() {
    let (_folder, path) = folder();
    let mut store = IncarnationStore::open(&path).unwrap();
    assert_eq!(store.next(0, 1_000).unwrap(), 1_000);
    // A folder with the temporary file's name makes the write fail.
    let temporary = path.with_extension("incarnation.new");
    fs::create_dir(&temporary).unwrap();
    let error = store.next(0, 2_000).unwrap_err();
    assert!(matches!(error, IncarnationStoreError::Io { .. }), "{error}");
    fs::remove_dir(&temporary).unwrap();
    assert_eq!(store.next(0, 500).unwrap(), 1_001);
}
