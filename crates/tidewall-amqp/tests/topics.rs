//! The topic trie compared with matching one pattern after the other.
#![allow(clippy::unwrap_used)]
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tidewall_amqp::topic::{matches, TopicTrie};

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn the_trie_finds_the_same_as_matching_every_pattern() {
    let word = prop_oneof![Just("a"), Just("b"), Just("*"), Just("#"), Just("")];
    let pattern = prop::collection::vec(word, 1..6).prop_map(|words| words.join("."));
    let key = prop::collection::vec(prop_oneof![Just("a"), Just("b"), Just("c"), Just("")], 1..6);
    let input = (
        prop::collection::vec(pattern, 1..12),
        key.prop_map(|words| words.join(".")),
    );
    let result = runner(4_000).run(&input, |(patterns, key)| {
        let mut topics = TopicTrie::default();
        patterns
            .iter()
            .enumerate()
            .for_each(|(index, pattern)| topics.bind(pattern, index));
        let mut found = Vec::new();
        topics.find(&key, &mut found);
        let expected: Vec<usize> = (0..patterns.len())
            .filter(|index| matches(&patterns[*index], &key))
            .collect();
        prop_assert_eq!(&found, &expected, "{:?} {}", patterns, key);
        for (index, pattern) in patterns.iter().enumerate() {
            prop_assert!(topics.unbind(pattern, index) && !topics.unbind(pattern, index));
        }
        prop_assert_eq!(topics.node_count(), 1);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_pattern_with_many_wildcards_is_matched_in_bounded_time() {
    let mut topics = TopicTrie::default();
    topics.bind(&format!("{}z", "#.a.".repeat(60)), 1);
    let key = vec!["a"; 120].join(".");
    let start = std::time::Instant::now();
    let mut found = Vec::new();
    topics.find(&key, &mut found);
    assert!(found.is_empty() && start.elapsed().as_secs() < 5);
}
