//! Throughput of the codec for a publish of usual size, and the topic trie compared with matching every
//! binding.
use criterion::{criterion_main, BenchmarkId, Criterion, Throughput};
use std::hint::black_box;
use tidewall_amqp::codec::{
    decode_content_header, decode_frame, encode_properties, write_content, BasicProperties,
    FrameWriter, MethodId,
};
use tidewall_amqp::topic::{matches, TopicTrie};

fn publish(output: &mut Vec<u8>, properties: &mut Vec<u8>, body: &[u8]) {
    let frame = FrameWriter::method(output, 1, MethodId::new(60, 40))
        .short(0)
        .short_str("tidewall.events")
        .short_str("record.book3");
    frame.bit(false).bit(false).finish();
    let basic_properties = BasicProperties {
        message_id: "4711-0815",
        correlation_id: "1234567",
        reply_to: "amq.rabbitmq.reply-to",
        expiration: "2000",
        ..BasicProperties::default()
    };
    properties.clear();
    encode_properties(properties, &basic_properties);
    write_content(output, 1, properties, body, 131_072);
}

fn codec(c: &mut Criterion) {
    let mut group = c.benchmark_group("publish");
    for size in [200usize, 1024, 16_384] {
        let body = vec![7; size];
        let (mut output, mut properties) = (Vec::new(), Vec::new());
        publish(&mut output, &mut properties, &body);
        group.throughput(Throughput::Bytes(output.len() as u64));
        group.bench_with_input(BenchmarkId::new("write", size), &size, |b, _| {
            b.iter(|| {
                output.clear();
                publish(&mut output, &mut properties, &body);
                black_box(output.len())
            });
        });
        output.clear();
        publish(&mut output, &mut properties, &body);
        group.bench_with_input(BenchmarkId::new("read", size), &size, |b, _| {
            b.iter(|| {
                let mut offset = 0;
                while let Ok(Some((frame, length))) = decode_frame(&output[offset..], 131_072) {
                    if frame.frame_type == 2 {
                        black_box(decode_content_header(frame.payload).is_ok());
                    }
                    offset += length;
                }
                black_box(offset)
            });
        });
    }
    group.finish();
}

fn topics(c: &mut Criterion) {
    let mut group = c.benchmark_group("topics");
    for size in [10usize, 1_000, 100_000] {
        let patterns: Vec<String> = (0..size)
            .map(|i| match i % 3 {
                0 => format!("hall{}.*.stock", i % 97),
                1 => format!("hall{}.{}.#", i % 97, i),
                _ => format!("*.{i}.stock"),
            })
            .collect();
        let mut topics = TopicTrie::default();
        patterns
            .iter()
            .enumerate()
            .for_each(|(index, pattern)| topics.bind(pattern, index));
        let mut found = Vec::new();
        group.bench_with_input(BenchmarkId::new("trie", size), &size, |b, _| {
            b.iter(|| {
                found.clear();
                topics.find(black_box("hall5.8.stock"), &mut found);
                black_box(found.len())
            });
        });
        group.bench_with_input(BenchmarkId::new("every", size), &size, |b, _| {
            b.iter(|| {
                black_box(
                    patterns
                        .iter()
                        .filter(|pattern| matches(pattern, black_box("hall5.8.stock")))
                        .count(),
                )
            });
        });
    }
    group.finish();
}

/// Keeps the undocumented public function that the macro generates out of the crate's interface.
mod groups {
    use super::{codec, topics};

    criterion::criterion_group!(benches, codec, topics);
}

criterion_main!(groups::benches);
