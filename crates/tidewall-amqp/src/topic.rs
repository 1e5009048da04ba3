//! Matching of topic patterns (section 3.1.3.3) by a trie of words, where `*` matches any one word and `#`
//! any number of words. Matching advances a set of nodes word by word and visits no node twice for one word.
//! Its cost is bounded by the number of nodes times the number of words of the key, whatever the patterns
//! are. `benches/codec.rs` compares it with matching every binding.
use slab::Slab;
use std::collections::BTreeMap;

const ANY_WORD: &str = "*";
const ANY_WORDS: &str = "#";

/// Index of the root node, which is the first node of every trie.
const ROOT: usize = 0;

struct Node<V> {
    words: BTreeMap<String, usize>,
    any_word: Option<usize>,
    any_words: Option<usize>,
    /// The values bound by the pattern that ends at this node, with the number of bindings of each.
    values: BTreeMap<V, u32>,
    /// The step in which the node was last visited.
    visited_in: u64,
    /// The node stands for `#`: once reached, it stays reached whatever word follows.
    is_any_words: bool,
}

impl<V> Node<V> {
    fn new(is_any_words: bool) -> Node<V> {
        Node {
            words: BTreeMap::new(),
            any_word: None,
            any_words: None,
            values: BTreeMap::new(),
            visited_in: 0,
            is_any_words,
        }
    }

    fn is_empty(&self) -> bool {
        self.words.is_empty()
            && self.any_word.is_none()
            && self.any_words.is_none()
            && self.values.is_empty()
    }

    fn child(&self, pattern_word: &str) -> Option<usize> {
        match pattern_word {
            ANY_WORD => self.any_word,
            ANY_WORDS => self.any_words,
            _ => self.words.get(pattern_word).copied(),
        }
    }

    fn add_child(&mut self, pattern_word: &str, child: usize) {
        match pattern_word {
            ANY_WORD => self.any_word = Some(child),
            ANY_WORDS => self.any_words = Some(child),
            _ => {
                self.words.insert(pattern_word.to_string(), child);
            }
        }
    }

    fn remove_child(&mut self, pattern_word: &str) {
        match pattern_word {
            ANY_WORD => self.any_word = None,
            ANY_WORDS => self.any_words = None,
            _ => {
                self.words.remove(pattern_word);
            }
        }
    }
}

/// A set of values, such as queue ids, that are bound by patterns.
pub struct TopicTrie<V> {
    nodes: Slab<Node<V>>,
    /// Number of matching steps so far, of all matches. It keeps a node from being visited twice in one step.
    step: u64,
    /// The nodes reached by the words so far, and by the next word. Both are reused, so that matching does
    /// not allocate once they are large enough.
    reached: Vec<usize>,
    next: Vec<usize>,
}

impl<V> Default for TopicTrie<V> {
    fn default() -> TopicTrie<V> {
        let mut nodes = Slab::new();
        nodes.insert(Node::new(false));
        TopicTrie {
            nodes,
            step: 0,
            reached: Vec::new(),
            next: Vec::new(),
        }
    }
}

impl<V: Copy + Ord> TopicTrie<V> {
    /// Binds a value by a pattern. Bindings of the same value by the same pattern are counted.
    pub fn bind(&mut self, pattern: &str, value: V) {
        let mut current = ROOT;
        for word in pattern.split('.') {
            current = self.nodes[current].child(word).unwrap_or_else(|| {
                let child = self.nodes.insert(Node::new(word == ANY_WORDS));
                self.nodes[current].add_child(word, child);
                child
            });
        }
        *self.nodes[current].values.entry(value).or_insert(0) += 1;
    }

    /// Removes one binding; false if there is none.
    pub fn unbind(&mut self, pattern: &str, value: V) -> bool {
        // The nodes from the root on, each with the word of the next edge.
        let mut path = Vec::new();
        let mut current = ROOT;
        for word in pattern.split('.') {
            let Some(child) = self.nodes[current].child(word) else {
                return false;
            };
            path.push((current, word));
            current = child;
        }
        let values = &mut self.nodes[current].values;
        let Some(count) = values.get_mut(&value) else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            values.remove(&value);
        }
        // Remove nodes without children and values.
        while let Some((parent, word)) = path.pop() {
            if !self.nodes[current].is_empty() {
                break;
            }
            self.nodes.remove(current);
            self.nodes[parent].remove_child(word);
            current = parent;
        }
        true
    }

    /// Number of nodes including the root, as a measure of the memory used.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Visits a node and the `#` nodes below it, which are reached without a further word.
    fn visit(nodes: &mut Slab<Node<V>>, reached: &mut Vec<usize>, node: usize, step: u64) {
        let mut current = Some(node);
        while let Some(node) = current {
            if nodes[node].visited_in == step {
                return;
            }
            nodes[node].visited_in = step;
            reached.push(node);
            current = nodes[node].any_words;
        }
    }

    /// Appends the values whose patterns match the routing key, each once and in ascending order.
    pub fn find(&mut self, key: &str, found: &mut Vec<V>) {
        let mut reached = std::mem::take(&mut self.reached);
        let mut next = std::mem::take(&mut self.next);
        reached.clear();
        self.step += 1;
        Self::visit(&mut self.nodes, &mut reached, ROOT, self.step);
        for word in key.split('.') {
            self.step += 1;
            next.clear();
            for id in reached.iter().copied() {
                let node = &self.nodes[id];
                let children = [node.words.get(word).copied(), node.any_word];
                let itself = node.is_any_words.then_some(id);
                for child in children.into_iter().chain([itself]).flatten() {
                    Self::visit(&mut self.nodes, &mut next, child, self.step);
                }
            }
            std::mem::swap(&mut reached, &mut next);
        }
        let start = found.len();
        for node in &reached {
            found.extend(self.nodes[*node].values.keys().copied());
        }
        found[start..].sort_unstable();
        remove_repeats(found, start);
        (self.reached, self.next) = (reached, next);
    }
}

/// Removes duplicates from the part of `values` that begins at `start`, which is sorted.
fn remove_repeats<V: Copy + Eq>(values: &mut Vec<V>, start: usize) {
    let mut kept = start;
    for index in start..values.len() {
        if index == start || values[index] != values[kept - 1] {
            values[kept] = values[index];
            kept += 1;
        }
    }
    values.truncate(kept);
}

/// Whether a pattern matches a routing key, computed without a trie: the reference for [`TopicTrie::find`].
pub fn matches(pattern: &str, key: &str) -> bool {
    let (pattern, key): (Vec<&str>, Vec<&str>) =
        (pattern.split('.').collect(), key.split('.').collect());
    // By length: whether the words of the pattern so far match that many words of the key.
    let mut reached = vec![false; key.len() + 1];
    reached[0] = true;
    for word in pattern {
        let mut next = vec![false; key.len() + 1];
        for length in 0..=key.len() {
            if word == ANY_WORDS {
                next[length] = reached[..=length].contains(&true);
            } else if length > 0 && reached[length - 1] {
                next[length] = word == ANY_WORD || word == key[length - 1];
            }
        }
        reached = next;
    }
    reached[key.len()]
}
