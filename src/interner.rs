//! Maps id texts to small indices, for the callers of the scheduler. Makes no decisions.
use slab::Slab;
use std::collections::HashMap;

/// A fixed hash of an id text (FNV-1a), the same at every gateway.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Texts and their indices. The map is only used for lookups and never iterated, so its order has no effect.
/// Indices are reused.
#[derive(Default)]
pub struct Interner {
    texts: Slab<String>,
    indices: HashMap<String, usize>,
}

impl Interner {
    /// Returns the index of a text, and assigns one if the text has none.
    pub fn intern(&mut self, text: &str) -> usize {
        if let Some(index) = self.indices.get(text) {
            return *index;
        }
        let index = self.texts.insert(text.to_string());
        self.indices.insert(text.to_string(), index);
        index
    }

    /// Returns the index of a text, or None if it has none.
    pub fn get(&self, text: &str) -> Option<usize> {
        self.indices.get(text).copied()
    }

    /// Returns the text at an index.
    ///
    /// # Panics
    ///
    /// Panics if no text has this index.
    pub fn resolve(&self, index: usize) -> &str {
        &self.texts[index]
    }

    /// Frees an index, which may then be assigned to another text.
    pub fn remove(&mut self, index: usize) {
        if let Some(text) = self.texts.try_remove(index) {
            self.indices.remove(&text);
        }
    }
}
