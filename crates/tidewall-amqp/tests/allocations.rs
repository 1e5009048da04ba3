//! Allocations of messages on their way through a queue and of requests, against the recorded number.
#![allow(clippy::unwrap_used)]
mod help;

use help::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use tidewall_amqp::codec::BasicProperties;
use tidewall_amqp::server::Disposition;

struct Counting;

static COUNT: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all is handed on to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        COUNT.fetch_add(1, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const ROUNDS: usize = 100;

/// Allocations of a round, once the buffers are there.
fn per_round(mut round: impl FnMut()) -> usize {
    (0..ROUNDS).for_each(|_| round());
    let before = COUNT.load(Ordering::Relaxed);
    (0..ROUNDS).for_each(|_| round());
    (COUNT.load(Ordering::Relaxed) - before).div_ceil(ROUNDS)
}

fn confirming() -> (Site, usize) {
    let mut s = site();
    let conn = s.channel(1);
    s.send(conn, &method(1, 85, 10, |m| m.bit(true)));
    s.declare(conn, "q", b"");
    s.world.out.insert(1, Vec::with_capacity(1 << 20));
    (s, conn)
}

fn count_all() -> [usize; 3] {
    let properties = BasicProperties {
        message_id: "m",
        reply_to: "q",
        correlation_id: "c",
        ..BasicProperties::default()
    };
    let publish = publish_on(1, "", "q", &properties, &[7; 1024], false);
    let (mut s, conn) = confirming();
    s.consume(conn, "q", "c", false);
    let mut tag = 0;
    let mut ack = method(1, 60, 80, |m| m.long_long(0).bit(false));
    let delivered = per_round(|| {
        s.send(conn, &publish);
        tag += 1u64;
        ack[11..19].copy_from_slice(&tag.to_be_bytes());
        s.send(conn, &ack);
        s.world.out.get_mut(&1).unwrap().clear();
    });
    assert_eq!(s.server.queued_bytes(), 0);
    let (mut s, conn) = confirming();
    let get = method(1, 60, 70, |m| m.short(0).short_str("q").bit(true));
    let fetched = per_round(|| {
        s.send(conn, &publish);
        s.send(conn, &get);
        s.world.out.get_mut(&1).unwrap().clear();
    });
    assert_eq!(s.server.queued_bytes(), 0);
    let (mut s, conn) = confirming();
    s.consume(conn, "q", "c", true);
    let request = publish_on(1, "events", "a.f", &properties, &[7; 1024], false);
    let answered = per_round(|| {
        s.send(conn, &request);
        s.answer(0, Disposition::Completed);
        s.world.out.get_mut(&1).unwrap().clear();
        s.world.taken.clear();
    });
    assert_eq!(
        (s.server.pending_request_count(), s.server.queued_bytes()),
        (0, 0)
    );
    [delivered, fetched, answered]
}

/// Of one message published, delivered and acknowledged; of one published and fetched by `basic.get`; of one request
/// with its reply. Counted in the server before it was divided by concern.
const RECORDED: [usize; 3] = [10, 9, 26];

#[test]
fn messages_and_requests_allocate_no_more_than_recorded() {
    let counted = count_all();
    let mut all = counted.iter().zip(RECORDED);
    assert!(
        all.all(|(counted, recorded)| *counted <= recorded),
        "{counted:?} over {RECORDED:?}"
    );
}
