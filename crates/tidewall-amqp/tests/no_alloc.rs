//! Reading and writing a publish of usual size allocates nothing, once the buffers are there.
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use tidewall_amqp::codec::{
    decode_content_header, decode_frame, encode_properties, write_content, ArgumentReader,
    BasicProperties, FrameWriter, MethodId,
};

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

fn publish(out: &mut Vec<u8>, properties: &mut Vec<u8>, body: &[u8]) {
    let m = FrameWriter::method(out, 1, MethodId::new(60, 40))
        .short(0)
        .short_str("tidewall.events")
        .short_str("record.book3");
    m.bit(false).bit(false).finish();
    let p = BasicProperties {
        message_id: "4711",
        reply_to: "amq.rabbitmq.reply-to",
        ..BasicProperties::default()
    };
    encode_properties(properties, &p);
    write_content(out, 1, properties, body, 131_072);
}

#[test]
fn a_publish_is_written_and_read_without_allocating() {
    let (mut out, mut properties, body) =
        (Vec::with_capacity(4096), Vec::with_capacity(256), [7; 1024]);
    let before = COUNT.load(Ordering::Relaxed);
    publish(&mut out, &mut properties, &body);
    let mut at = 0;
    while let Ok(Some((f, used))) = decode_frame(&out[at..], 131_072) {
        match f.frame_type {
            1 => assert_eq!(ArgumentReader::new(f.payload).short(), Ok(60)),
            2 => assert_eq!(
                decode_content_header(f.payload).map(|h| h.properties.message_id),
                Ok("4711")
            ),
            _ => assert_eq!(f.payload, body),
        }
        at += used;
    }
    let after = COUNT.load(Ordering::Relaxed);
    assert_eq!((at, after - before), (out.len(), 0));
    drop(vec![1u8; 9]);
    assert!(COUNT.load(Ordering::Relaxed) > after, "the count counts");
}
