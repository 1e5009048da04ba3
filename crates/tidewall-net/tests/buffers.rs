//! How much memory a connection's buffer takes.
#![allow(clippy::unwrap_used, missing_docs)]
use tidewall_net::buffer::Buffer;

/// The longest command of the platform's clients.
const LONGEST_COMMAND: usize = 18_600;

// Failure: a buffer that a burst has filled keeps its memory, once for each of hundreds of connections.
#[test]
fn an_empty_buffer_keeps_room_for_small_messages_only() {
    let mut buffer = Buffer::default();
    for length in [100, 5_000, LONGEST_COMMAND, 64 << 10] {
        buffer.push(&vec![7; length]);
        buffer.consume(length);
        assert!(buffer.capacity() <= 512, "{length}: {}", buffer.capacity());
    }
}

// Failure: an unfinished message takes up to twice its length.
#[test]
fn a_buffer_that_grows_by_small_pieces_takes_little_more_than_it_holds() {
    let mut buffer = Buffer::default();
    for _ in 0..LONGEST_COMMAND / 100 {
        buffer.push(&[7; 100]);
        let allowed = buffer.len() + (buffer.len() / 4).max(1024);
        assert!(buffer.capacity() <= allowed, "{}", buffer.capacity());
    }
}
