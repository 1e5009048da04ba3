//! The platform's protocol, without I/O: machines that are fed bytes in pieces, hold nothing that is not bounded, and hand each
//! decoded field straight on. `client` reads commands and writes answers, `host` writes to hosts and reads their lines, `board`
//! asks the notice board, `config` reads what a gateway is told at start, `descriptor_budget` shares out
//! the limits. The platform's names
//! stand here and in settings only.
pub mod board;
pub mod client;
pub mod config;
pub mod descriptor_budget;
pub mod host;

/// A trace or function: 16 hexadecimal digits in lower case.
pub fn hex16(text: &str) -> Option<u64> {
    let good = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    good.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// The pairs of a `name=value,name=value` list; `-` or nothing is none. An error names the part.
pub fn pairs(text: &str) -> impl Iterator<Item = Result<(&str, &str), String>> {
    let text = if text == "-" { "" } else { text };
    text.split(',').filter(|p| !p.is_empty()).map(|part| {
        part.split_once('=')
            .filter(|p| !p.0.is_empty())
            .ok_or_else(|| format!("'{}' is not name=value", shown(part)))
    })
}

/// Foreign text in a log line: short, and nothing that a terminal would act on.
pub fn shown(text: &str) -> String {
    text.chars()
        .take(40)
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}
