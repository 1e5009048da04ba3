//! Topic patterns (section 3.1.3.3) in a trie: words are levels, `*` stands for any one word, `#` for any number of
//! them. Matching walks a set of nodes word by word, and no node is visited twice for one word, so the cost is bounded by
//! the number of nodes times the words of the key, whatever the patterns are. `benches/codec.rs` compares it with
//! trying every binding.
use slab::Slab;
use std::collections::BTreeMap;

const ANY_WORD: &str = "*";
const ANY_WORDS: &str = "#";

/// Every trie has it, and it is the first that is made.
const ROOT: usize = 0;

struct Node<V> {
    words: BTreeMap<String, usize>,
    any_word: Option<usize>,
    any_words: Option<usize>,
    /// Values bound here, with how often.
    values: BTreeMap<V, u32>,
    /// The step in which the node was visited last.
    visited_in: u64,
    /// It stands for `#`: it takes any word and stays reached.
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

/// Values, such as ids of queues, bound by patterns.
pub struct TopicTrie<V> {
    nodes: Slab<Node<V>>,
    /// Steps of matches so far; by it a node is visited once in each.
    step: u64,
    /// Nodes reached by the words so far, and by the next one; kept, so that matching allocates nothing once they have
    /// grown.
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
    /// Binds a value; binding it again by the same pattern is counted.
    pub fn bind(&mut self, pattern: &str, value: V) {
        let mut at = ROOT;
        for word in pattern.split('.') {
            at = self.nodes[at].child(word).unwrap_or_else(|| {
                let child = self.nodes.insert(Node::new(word == ANY_WORDS));
                self.nodes[at].add_child(word, child);
                child
            });
        }
        *self.nodes[at].values.entry(value).or_insert(0) += 1;
    }

    /// Undoes one binding; false where there is none.
    pub fn unbind(&mut self, pattern: &str, value: V) -> bool {
        // Nodes on the way from the root, each with the word that leads on from it.
        let mut path = Vec::new();
        let mut at = ROOT;
        for word in pattern.split('.') {
            let Some(child) = self.nodes[at].child(word) else {
                return false;
            };
            path.push((at, word));
            at = child;
        }
        let values = &mut self.nodes[at].values;
        let Some(count) = values.get_mut(&value) else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            values.remove(&value);
        }
        // Branches that hold nothing any more are removed.
        while let Some((parent, word)) = path.pop() {
            if !self.nodes[at].is_empty() {
                break;
            }
            self.nodes.remove(at);
            self.nodes[parent].remove_child(word);
            at = parent;
        }
        true
    }

    /// Nodes of the trie with its root: what it costs in memory.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Visits a node, and those that `#` lets be reached without a further word.
    fn visit(nodes: &mut Slab<Node<V>>, reached: &mut Vec<usize>, node: usize, step: u64) {
        let mut at = Some(node);
        while let Some(node) = at {
            if nodes[node].visited_in == step {
                return;
            }
            nodes[node].visited_in = step;
            reached.push(node);
            at = nodes[node].any_words;
        }
    }

    /// Appends all values that the routing key reaches, each once, in ascending order.
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

/// Removes repeated values from the sorted part that begins at `start`.
fn remove_repeats<V: Copy + Eq>(values: &mut Vec<V>, start: usize) {
    let mut kept = start;
    for at in start..values.len() {
        if at == start || values[at] != values[kept - 1] {
            values[kept] = values[at];
            kept += 1;
        }
    }
    values.truncate(kept);
}

/// One pattern against one routing key, without a trie: what [`TopicTrie::find`] is compared with.
pub fn matches(pattern: &str, key: &str) -> bool {
    let (pattern, key): (Vec<&str>, Vec<&str>) =
        (pattern.split('.').collect(), key.split('.').collect());
    // By length: whether the pattern so far matches that many words of the key.
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
