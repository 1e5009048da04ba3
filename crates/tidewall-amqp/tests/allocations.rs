//! Number of allocations of messages that pass through a queue and of requests, compared with recorded
//! numbers.
#![allow(clippy::unwrap_used)]
mod help;

use help::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use tidewall_amqp::codec::BasicProperties;
use tidewall_amqp::server::Disposition;

struct CountingAllocator;

static ALLOCATIONS: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const ROUNDS: usize = 100;

/// Allocations of a round, after the buffers have grown in earlier rounds.
fn allocations_per_round(mut round: impl FnMut()) -> usize {
    (0..ROUNDS).for_each(|_| round());
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    (0..ROUNDS).for_each(|_| round());
    (ALLOCATIONS.load(Ordering::Relaxed) - before).div_ceil(ROUNDS)
}

fn confirming_connection() -> (Fixture, usize) {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    fixture.send(connection, &method(1, 85, 10, |m| m.bit(true)));
    fixture.declare(connection, "q", b"");
    fixture
        .actions
        .written
        .insert(1, Vec::with_capacity(1 << 20));
    (fixture, connection)
}

fn count_allocations() -> [usize; 3] {
    let properties = BasicProperties {
        message_id: "m",
        reply_to: "q",
        correlation_id: "c",
        ..BasicProperties::default()
    };
    let publish = publish_on(1, "", "q", &properties, &[7; 1024], false);
    let (mut fixture, connection) = confirming_connection();
    fixture.consume(connection, "q", "c", false);
    let mut delivery_tag = 0;
    let mut ack = method(1, 60, 80, |m| m.long_long(0).bit(false));
    let delivered = allocations_per_round(|| {
        fixture.send(connection, &publish);
        delivery_tag += 1u64;
        ack[11..19].copy_from_slice(&delivery_tag.to_be_bytes());
        fixture.send(connection, &ack);
        fixture.actions.written.get_mut(&1).unwrap().clear();
    });
    assert_eq!(fixture.server.queued_bytes(), 0);
    let (mut fixture, connection) = confirming_connection();
    let get = method(1, 60, 70, |m| m.short(0).short_str("q").bit(true));
    let fetched = allocations_per_round(|| {
        fixture.send(connection, &publish);
        fixture.send(connection, &get);
        fixture.actions.written.get_mut(&1).unwrap().clear();
    });
    assert_eq!(fixture.server.queued_bytes(), 0);
    let (mut fixture, connection) = confirming_connection();
    fixture.consume(connection, "q", "c", true);
    let request = publish_on(1, "events", "a.f", &properties, &[7; 1024], false);
    let answered = allocations_per_round(|| {
        fixture.send(connection, &request);
        fixture.answer(0, Disposition::Completed);
        fixture.actions.written.get_mut(&1).unwrap().clear();
        fixture.actions.accepted.clear();
    });
    assert_eq!(
        (
            fixture.server.pending_request_count(),
            fixture.server.queued_bytes()
        ),
        (0, 0)
    );
    [delivered, fetched, answered]
}

/// Allocations of a message that is published, delivered and acknowledged, of a message that is published and
/// fetched by `basic.get`, and of a request with its reply. Counted before the server was split into files by
/// concern.
const RECORDED: [usize; 3] = [10, 9, 26];

#[test]
fn messages_and_requests_allocate_no_more_than_recorded() {
    let counted = count_allocations();
    let mut pairs = counted.iter().zip(RECORDED);
    assert!(
        pairs.all(|(counted, recorded)| *counted <= recorded),
        "{counted:?} over {RECORDED:?}"
    );
}
