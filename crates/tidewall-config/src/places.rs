//! Where each field of a text stands: the parser gives values without their places, and an error about a value
//! must name one.
use std::collections::BTreeMap;

pub fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
    (line, column)
}

/// Paths such as `event_type[1].group`, each with line and column.
pub struct Places(BTreeMap<String, (usize, usize)>);

impl Places {
    /// Of a text that has been parsed before, and so is well formed.
    pub fn of(text: &str) -> Places {
        let mut places = Places(BTreeMap::new());
        let mut reader = Reader { text, at: 0 };
        places.fields(&mut reader, "");
        places
    }

    /// The place of a path, or of the nearest section above it that is written down.
    pub fn find(&self, path: &str) -> (usize, usize) {
        let mut path = path;
        loop {
            let indexed = self
                .0
                .get(path)
                .or_else(|| self.0.get(&format!("{path}[0]")));
            if let Some(place) = indexed {
                return *place;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return (1, 1),
            }
        }
    }

    fn fields(&mut self, r: &mut Reader, above: &str) {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        while let Some((offset, name)) = r.token() {
            if matches!(name, "}" | ">") {
                return;
            }
            if matches!(name, ";" | ",") {
                continue;
            }
            let base = if above.is_empty() {
                name.to_string()
            } else {
                format!("{above}.{name}")
            };
            let mut next = r.token();
            if next.is_some_and(|t| t.1 == ":") {
                next = r.token();
            }
            if next.is_some_and(|t| t.1 == "[") {
                // Each value of a list has a place of its own.
                while let Some((at, token)) = r.token() {
                    match token {
                        "]" => break,
                        "," => {}
                        _ => self.value(r, &base, name, &mut counts, at, token),
                    }
                }
            } else if let Some((_, token)) = next {
                self.value(r, &base, name, &mut counts, offset, token);
            }
        }
    }

    fn value(
        &mut self,
        r: &mut Reader,
        base: &str,
        name: &str,
        counts: &mut BTreeMap<String, usize>,
        offset: usize,
        token: &str,
    ) {
        let count = counts.entry(name.to_string()).or_insert(0);
        let place = line_and_column(r.text, offset);
        let path = format!("{base}[{count}]");
        if *count == 0 {
            self.0.insert(base.to_string(), place);
        }
        *count += 1;
        self.0.insert(path.clone(), place);
        if matches!(token, "{" | "<") {
            // A field that stands once is found by its plain name as well.
            let before: Vec<String> = self.0.keys().cloned().collect();
            self.fields(r, &path);
            if path.ends_with("[0]") {
                let inner = format!("{path}.");
                let added = self
                    .0
                    .iter()
                    .filter(|e| e.0.starts_with(&inner) && !before.contains(e.0));
                let plain: Vec<_> = added
                    .map(|e| (format!("{base}.{}", &e.0[inner.len()..]), *e.1))
                    .collect();
                self.0.extend(plain);
            }
        }
    }
}

struct Reader<'a> {
    text: &'a str,
    at: usize,
}

impl<'a> Reader<'a> {
    /// The next mark, word or quoted text, with its offset; comments and space are passed over.
    fn token(&mut self) -> Option<(usize, &'a str)> {
        let bytes = self.text.as_bytes();
        loop {
            match *bytes.get(self.at)? {
                b'#' => self.at += bytes[self.at..].iter().take_while(|b| **b != b'\n').count(),
                b if b.is_ascii_whitespace() => self.at += 1,
                _ => break,
            }
        }
        let from = self.at;
        let first = bytes[from];
        self.at += 1;
        if matches!(first, b'"' | b'\'') {
            while self.at < bytes.len() && bytes[self.at] != first {
                self.at += if bytes[self.at] == b'\\' { 2 } else { 1 };
            }
            self.at = (self.at + 1).min(bytes.len());
        } else if !b"{}<>[]:;,".contains(&first) {
            let word = |b: &&u8| !b.is_ascii_whitespace() && !b"{}<>[]:;,#\"'".contains(b);
            self.at += bytes[self.at..].iter().take_while(word).count();
        }
        Some((from, &self.text[from..self.at]))
    }
}
