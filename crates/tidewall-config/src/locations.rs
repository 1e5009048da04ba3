//! The line and column of each field of a text: the parser returns values without their locations, which
//! error messages about values need.
use std::collections::BTreeMap;

/// Line and column, each from 1, of the octet at this offset of the text.
pub fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
    (line, column)
}

/// Line and column by path, such as `event_type[1].group`.
pub struct FieldLocations(BTreeMap<String, (usize, usize)>);

impl FieldLocations {
    /// Reads the locations of a text that the parser has accepted, and that is therefore well formed.
    pub fn of(text: &str) -> FieldLocations {
        let mut locations = FieldLocations(BTreeMap::new());
        let mut tokens = Tokens { text, offset: 0 };
        locations.read_fields(&mut tokens, "");
        locations
    }

    /// Line and column of a path, or of the nearest enclosing section that the text contains.
    pub fn find(&self, path: &str) -> (usize, usize) {
        let mut path = path;
        loop {
            let found = self
                .0
                .get(path)
                .or_else(|| self.0.get(&format!("{path}[0]")));
            if let Some(location) = found {
                return *location;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return (1, 1),
            }
        }
    }

    fn read_fields(&mut self, tokens: &mut Tokens, parent: &str) {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        while let Some((offset, name)) = tokens.next() {
            if matches!(name, "}" | ">") {
                return;
            }
            if matches!(name, ";" | ",") {
                continue;
            }
            let base = if parent.is_empty() {
                name.to_string()
            } else {
                format!("{parent}.{name}")
            };
            let mut next = tokens.next();
            if next.is_some_and(|t| t.1 == ":") {
                next = tokens.next();
            }
            if next.is_some_and(|t| t.1 == "[") {
                // Each value of a list has a location of its own.
                while let Some((value_offset, token)) = tokens.next() {
                    match token {
                        "]" => break,
                        "," => {}
                        _ => self.read_value(tokens, &base, name, &mut counts, value_offset, token),
                    }
                }
            } else if let Some((_, token)) = next {
                self.read_value(tokens, &base, name, &mut counts, offset, token);
            }
        }
    }

    fn read_value(
        &mut self,
        tokens: &mut Tokens,
        base: &str,
        name: &str,
        counts: &mut BTreeMap<String, usize>,
        offset: usize,
        token: &str,
    ) {
        let count = counts.entry(name.to_string()).or_insert(0);
        let location = line_and_column(tokens.text, offset);
        let path = format!("{base}[{count}]");
        if *count == 0 {
            self.0.insert(base.to_string(), location);
        }
        *count += 1;
        self.0.insert(path.clone(), location);
        if matches!(token, "{" | "<") {
            // Fields of the first section are found without its index as well, as `base.field` beside
            // `base[0].field`.
            let known_paths: Vec<String> = self.0.keys().cloned().collect();
            self.read_fields(tokens, &path);
            if path.ends_with("[0]") {
                let prefix = format!("{path}.");
                let added = self
                    .0
                    .iter()
                    .filter(|e| e.0.starts_with(&prefix) && !known_paths.contains(e.0));
                let without_index: Vec<_> = added
                    .map(|e| (format!("{base}.{}", &e.0[prefix.len()..]), *e.1))
                    .collect();
                self.0.extend(without_index);
            }
        }
    }
}

/// The tokens of a text in order.
struct Tokens<'a> {
    text: &'a str,
    offset: usize,
}

impl<'a> Tokens<'a> {
    /// The next punctuation mark, word or quoted text, with its offset; comments and white space are skipped.
    fn next(&mut self) -> Option<(usize, &'a str)> {
        let bytes = self.text.as_bytes();
        loop {
            match *bytes.get(self.offset)? {
                b'#' => {
                    self.offset += bytes[self.offset..]
                        .iter()
                        .take_while(|b| **b != b'\n')
                        .count()
                }
                b if b.is_ascii_whitespace() => self.offset += 1,
                _ => break,
            }
        }
        let start = self.offset;
        let first = bytes[start];
        self.offset += 1;
        if matches!(first, b'"' | b'\'') {
            while self.offset < bytes.len() && bytes[self.offset] != first {
                self.offset += if bytes[self.offset] == b'\\' { 2 } else { 1 };
            }
            self.offset = (self.offset + 1).min(bytes.len());
        } else if !b"{}<>[]:;,".contains(&first) {
            let in_word = |b: &&u8| !b.is_ascii_whitespace() && !b"{}<>[]:;,#\"'".contains(b);
            self.offset += bytes[self.offset..].iter().take_while(in_word).count();
        }
        Some((start, &self.text[start..self.offset]))
    }
}
