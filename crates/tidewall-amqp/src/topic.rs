//! Topic patterns in a trie made for them: words are levels, `*` is any one word, `#` any number of them
//! (section 3.1.3.3). Matching walks a set of nodes word by word, each node at most once for a word, so a pattern
//! built to be slow costs no more than patterns times words. Measured against trying every binding in
//! `benches/codec.rs`.
use slab::Slab;
use std::collections::BTreeMap;

#[derive(Default)]
struct Node {
    words: BTreeMap<String, usize>,
    star: Option<usize>,
    hash: Option<usize>,
    /// Values bound here, with how often.
    values: BTreeMap<usize, u32>,
    seen: u64,
    /// It is its parent's `#`: it eats any word and stays reached.
    is_hash: bool,
}

impl Node {
    fn empty(&self) -> bool {
        self.words.is_empty()
            && self.star.is_none()
            && self.hash.is_none()
            && self.values.is_empty()
    }
}

/// Values are small indices, such as of queues.
pub struct Topics {
    nodes: Slab<Node>,
    /// Counts the steps of matches, so that a node is met once in each.
    step: u64,
    now: Vec<usize>,
    next: Vec<usize>,
}

impl Default for Topics {
    fn default() -> Topics {
        let mut nodes = Slab::new();
        nodes.insert(Node::default());
        Topics {
            nodes,
            step: 0,
            now: Vec::new(),
            next: Vec::new(),
        }
    }
}

impl Topics {
    pub fn bind(&mut self, pattern: &str, value: usize) {
        let mut at = 0;
        for word in pattern.split('.') {
            let known = match word {
                "*" => self.nodes[at].star,
                "#" => self.nodes[at].hash,
                _ => self.nodes[at].words.get(word).copied(),
            };
            at = known.unwrap_or_else(|| {
                let new = self.nodes.insert(Node {
                    is_hash: word == "#",
                    ..Node::default()
                });
                let node = &mut self.nodes[at];
                match word {
                    "*" => node.star = Some(new),
                    "#" => node.hash = Some(new),
                    _ => {
                        node.words.insert(word.to_string(), new);
                    }
                }
                new
            });
        }
        *self.nodes[at].values.entry(value).or_insert(0) += 1;
    }

    /// False where nothing was bound so.
    pub fn unbind(&mut self, pattern: &str, value: usize) -> bool {
        let mut path = vec![0];
        for word in pattern.split('.') {
            let node = &self.nodes[path[path.len() - 1]];
            let next = match word {
                "*" => node.star,
                "#" => node.hash,
                _ => node.words.get(word).copied(),
            };
            match next {
                Some(next) => path.push(next),
                None => return false,
            }
        }
        let values = &mut self.nodes[path[path.len() - 1]].values;
        let Some(count) = values.get_mut(&value) else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            values.remove(&value);
        }
        // Branches that hold nothing any more go.
        for (i, word) in pattern
            .split('.')
            .enumerate()
            .collect::<Vec<_>>()
            .into_iter()
            .rev()
        {
            if !self.nodes[path[i + 1]].empty() {
                break;
            }
            self.nodes.remove(path[i + 1]);
            let node = &mut self.nodes[path[i]];
            match word {
                "*" => node.star = None,
                "#" => node.hash = None,
                _ => {
                    node.words.remove(word);
                }
            }
        }
        true
    }

    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Enters a node, and what `#` lets be entered with no word at all.
    fn enter(nodes: &mut Slab<Node>, set: &mut Vec<usize>, node: usize, step: u64) {
        let mut at = Some(node);
        while let Some(node) = at {
            if nodes[node].seen == step {
                return;
            }
            nodes[node].seen = step;
            set.push(node);
            at = nodes[node].hash;
        }
    }

    /// All values that the key reaches, each once, in their own order.
    pub fn find(&mut self, key: &str, found: &mut Vec<usize>) {
        let (mut now, mut next) = (
            std::mem::take(&mut self.now),
            std::mem::take(&mut self.next),
        );
        now.clear();
        self.step += 1;
        Topics::enter(&mut self.nodes, &mut now, 0, self.step);
        for word in key.split('.') {
            self.step += 1;
            next.clear();
            for node in now.iter().copied() {
                let to = [
                    self.nodes[node].words.get(word).copied(),
                    self.nodes[node].star,
                ];
                for to in to.into_iter().flatten() {
                    Topics::enter(&mut self.nodes, &mut next, to, self.step);
                }
                if self.nodes[node].is_hash {
                    Topics::enter(&mut self.nodes, &mut next, node, self.step);
                }
            }
            std::mem::swap(&mut now, &mut next);
        }
        let from = found.len();
        now.iter()
            .for_each(|node| found.extend(self.nodes[*node].values.keys()));
        found[from..].sort_unstable();
        let mut kept = from;
        for i in from..found.len() {
            if i == from || found[i] != found[kept - 1] {
                found[kept] = found[i];
                kept += 1;
            }
        }
        found.truncate(kept);
        (self.now, self.next) = (now, next);
    }
}

/// The plain way, for comparison: one pattern against one key.
pub fn matches(pattern: &str, key: &str) -> bool {
    let (pattern, key): (Vec<&str>, Vec<&str>) =
        (pattern.split('.').collect(), key.split('.').collect());
    let mut reached = vec![false; key.len() + 1];
    reached[0] = true;
    for word in pattern {
        let mut next = vec![false; key.len() + 1];
        for i in 0..=key.len() {
            if word == "#" {
                next[i] = reached[..=i].contains(&true);
            } else if i > 0 && reached[i - 1] {
                next[i] = word == "*" || word == key[i - 1];
            }
        }
        reached = next;
    }
    reached[key.len()]
}
