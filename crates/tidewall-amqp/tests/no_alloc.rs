//! Encoding and decoding a publish of usual size does not allocate if the buffers are large enough.
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use tidewall_amqp::codec::{
    decode_content_header, decode_frame, encode_properties, write_content, ArgumentReader,
    BasicProperties, FrameWriter, MethodId,
};

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

fn publish(output: &mut Vec<u8>, properties: &mut Vec<u8>, body: &[u8]) {
    let frame = FrameWriter::method(output, 1, MethodId::new(60, 40))
        .short(0)
        .short_str("tidewall.events")
        .short_str("record.book3");
    frame.bit(false).bit(false).finish();
    let basic_properties = BasicProperties {
        message_id: "4711",
        reply_to: "amq.rabbitmq.reply-to",
        ..BasicProperties::default()
    };
    encode_properties(properties, &basic_properties);
    write_content(output, 1, properties, body, 131_072);
}

#[test]
fn a_publish_is_encoded_and_decoded_without_allocating() {
    let (mut output, mut properties, body) =
        (Vec::with_capacity(4096), Vec::with_capacity(256), [7; 1024]);
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    publish(&mut output, &mut properties, &body);
    let mut offset = 0;
    while let Ok(Some((frame, length))) = decode_frame(&output[offset..], 131_072) {
        match frame.frame_type {
            1 => assert_eq!(ArgumentReader::new(frame.payload).short(), Ok(60)),
            2 => assert_eq!(
                decode_content_header(frame.payload).map(|header| header.properties.message_id),
                Ok("4711")
            ),
            _ => assert_eq!(frame.payload, body),
        }
        offset += length;
    }
    let after = ALLOCATIONS.load(Ordering::Relaxed);
    assert_eq!((offset, after - before), (output.len(), 0));
    drop(vec![1u8; 9]);
    assert!(
        ALLOCATIONS.load(Ordering::Relaxed) > after,
        "allocations are counted"
    );
}
