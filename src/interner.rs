//! Id texts become small indices here, at the door of whoever runs the decisions. It decides nothing.
use slab::Slab;
use std::collections::HashMap;

/// A fixed hash of an id text (FNV-1a), the same at every gateway.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Looked up by text, never walked, so the map's order decides nothing. Places are used again.
#[derive(Default)]
pub struct Interner {
    texts: Slab<String>,
    places: HashMap<String, usize>,
}

impl Interner {
    pub fn intern(&mut self, text: &str) -> usize {
        if let Some(place) = self.places.get(text) {
            return *place;
        }
        let place = self.texts.insert(text.to_string());
        self.places.insert(text.to_string(), place);
        place
    }

    pub fn get(&self, text: &str) -> Option<usize> {
        self.places.get(text).copied()
    }

    pub fn resolve(&self, place: usize) -> &str {
        &self.texts[place]
    }

    pub fn remove(&mut self, place: usize) {
        if let Some(text) = self.texts.try_remove(place) {
            self.places.remove(&text);
        }
    }
}
