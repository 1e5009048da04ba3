//! Turns id texts into small indices, for whoever runs the decisions. It decides nothing.
use slab::Slab;
use std::collections::HashMap;

/// A fixed hash of an id text (FNV-1a), the same at every gateway.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Texts and their indices. Looked up by text, never walked, so the map's order decides nothing. Indices are
/// used again.
#[derive(Default)]
pub struct Interner {
    texts: Slab<String>,
    indices: HashMap<String, usize>,
}

impl Interner {
    /// The index of a text, a new one where it has none.
    pub fn intern(&mut self, text: &str) -> usize {
        if let Some(index) = self.indices.get(text) {
            return *index;
        }
        let index = self.texts.insert(text.to_string());
        self.indices.insert(text.to_string(), index);
        index
    }

    /// The index of a text, None where it has none.
    pub fn get(&self, text: &str) -> Option<usize> {
        self.indices.get(text).copied()
    }

    /// The text of an index.
    ///
    /// # Panics
    /// Where the index has none.
    pub fn resolve(&self, index: usize) -> &str {
        &self.texts[index]
    }

    /// Frees an index; it may then name another text.
    pub fn remove(&mut self, index: usize) {
        if let Some(text) = self.texts.try_remove(index) {
            self.indices.remove(&text);
        }
    }
}
