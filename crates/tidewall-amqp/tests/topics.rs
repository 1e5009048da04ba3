//! The trie against one pattern after the other.
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
fn the_trie_finds_what_trying_every_pattern_finds() {
    let word = prop_oneof![Just("a"), Just("b"), Just("*"), Just("#"), Just("")];
    let pattern = prop::collection::vec(word, 1..6).prop_map(|w| w.join("."));
    let key = prop::collection::vec(prop_oneof![Just("a"), Just("b"), Just("c"), Just("")], 1..6);
    let all = (
        prop::collection::vec(pattern, 1..12),
        key.prop_map(|w| w.join(".")),
    );
    let done = runner(4_000).run(&all, |(patterns, key)| {
        let mut topics = TopicTrie::default();
        patterns
            .iter()
            .enumerate()
            .for_each(|(i, p)| topics.bind(p, i));
        let mut found = Vec::new();
        topics.find(&key, &mut found);
        let plain: Vec<usize> = (0..patterns.len())
            .filter(|i| matches(&patterns[*i], &key))
            .collect();
        prop_assert_eq!(&found, &plain, "{:?} {}", patterns, key);
        for (i, p) in patterns.iter().enumerate() {
            prop_assert!(topics.unbind(p, i) && !topics.unbind(p, i));
        }
        prop_assert_eq!(topics.node_count(), 1);
        Ok(())
    });
    done.unwrap();
}

#[test]
fn a_pattern_built_to_be_slow_is_not() {
    let mut topics = TopicTrie::default();
    topics.bind(&format!("{}z", "#.a.".repeat(60)), 1);
    let key = vec!["a"; 120].join(".");
    let began = std::time::Instant::now();
    let mut found = Vec::new();
    topics.find(&key, &mut found);
    assert!(found.is_empty() && began.elapsed().as_secs() < 5);
}
