//! Lines to hosts and their answers. What cannot be read ends the connection: where one answer's length does not fit, where
//! the next one begins is anybody's guess.
use crate::{hex16, pairs, shown};
use std::io::Write;

/// The longest line of an answer: id, word, fields and length take under 200 bytes; load reports may add some.
const LINE_MOST: usize = 1024;

/// The longest body of an answer that is taken: sixteen times what a client may send. It is refused as its length is read.
pub const BODY_MOST: usize = 256 << 10;

/// Our own tags begin with this, so that none looks like a trace.
const TAG: char = 't';

pub fn go(
    out: &mut Vec<u8>,
    trace: u64,
    typ: &str,
    function: &str,
    ms: u64,
    nonce: &[u8],
    body: &[u8],
) {
    // Writing to a Vec cannot fail, here and below.
    let _ = write!(out, "go {trace:016x} kind={typ},obj={function},ms={ms}");
    if !nonce.is_empty() {
        out.extend_from_slice(b",token=");
        out.extend_from_slice(nonce);
    }
    let _ = write!(out, " {}\r\n", body.len());
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}

pub fn halt(out: &mut Vec<u8>, trace: u64) {
    let _ = write!(out, "halt {trace:016x}\r\n");
}

/// Asks for a load report.
pub fn stat(out: &mut Vec<u8>, tag: u64) {
    let _ = write!(out, "stat {TAG}{tag}\r\n");
}

pub fn stage(out: &mut Vec<u8>, tag: u64, function: &str, copies: u32) {
    let _ = write!(out, "stage {TAG}{tag} obj={function},copies={copies}\r\n");
}

pub fn purge(out: &mut Vec<u8>, function: &str) {
    let _ = write!(out, "purge {function}\r\n");
}

/// What an answer is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Of {
    Trace(u64),
    Tag(u64),
}

/// One answer, its fields still where the bytes lie.
#[derive(Debug, Default, PartialEq)]
pub struct Fields<'a> {
    /// `res`: what is known of the copy.
    pub note: &'a str,
    /// `queue_fn`: events of the same function that were there.
    pub company: u32,
    pub copies: u32,
    /// `gauges`, as name:value pairs.
    pub gauges: &'a str,
}

pub trait Answers {
    /// An answer to something that was sent, or perhaps to nothing: its word decides.
    fn answer(&mut self, of: Of, word: &str, fields: &Fields, body: &[u8]) -> Result<(), String>;
}

/// Reads one answer and gives back its length; none while it is not whole.
pub fn read(bytes: &[u8], answers: &mut dyn Answers) -> Result<Option<usize>, String> {
    let Some(end) = memchr::memchr(b'\n', &bytes[..bytes.len().min(LINE_MOST)]) else {
        return if bytes.len() >= LINE_MOST {
            Err("line: too long".to_string())
        } else {
            Ok(None)
        };
    };
    let line = bytes[..end]
        .strip_suffix(b"\r")
        .ok_or("line: ends without CR")?;
    let line = std::str::from_utf8(line).map_err(|_| "line: no text")?;
    let mut words = line.split(' ');
    let mut word = || words.next().filter(|w| !w.is_empty());
    let (Some(id), Some(what)) = (word(), word()) else {
        return Err(format!("line: '{}'", shown(line)));
    };
    let (list, len) = (word().unwrap_or("-"), word().unwrap_or("0"));
    if words.next().is_some() || !len.bytes().all(|b| b.is_ascii_digit()) {
        return Err(format!("line: '{}'", shown(line)));
    }
    let len: usize = len.parse().map_err(|_| "length: out of range")?;
    if len > BODY_MOST {
        return Err(format!("length: {len} bytes, at most {BODY_MOST}"));
    }
    let whole = end + 1 + len + 2;
    let Some(body) = bytes.get(end + 1..whole) else {
        // What is there already must fit, or a wrong length would be waited for.
        return Ok(None);
    };
    let body = body.strip_suffix(b"\r\n").ok_or("length: does not fit")?;
    let mut fields = Fields::default();
    for pair in pairs(list) {
        let (name, value) = pair?;
        match name {
            "res" => fields.note = value,
            "queue_fn" => {
                fields.company = value.parse().map_err(|_| "field queue_fn: no number")?
            }
            "copies" => fields.copies = value.parse().map_err(|_| "field copies: no number")?,
            "gauges" => fields.gauges = value,
            _ => {}
        }
    }
    let tag = || {
        id.strip_prefix(TAG)
            .and_then(|t| t.parse().ok())
            .map(Of::Tag)
    };
    // An id that is none of ours is told all the same: its answer is nobody's.
    if let Some(of) = hex16(id).map(Of::Trace).or_else(tag) {
        answers.answer(of, what, &fields, body)?;
    }
    Ok(Some(whole))
}

/// The values of a load report; an error names the pair.
pub fn gauges(text: &str) -> impl Iterator<Item = Result<(&str, f64), String>> {
    text.split(';').filter(|p| !p.is_empty()).map(|pair| {
        let bad = || format!("field gauges: '{}' is not name:number", shown(pair));
        let (name, value) = pair.split_once(':').ok_or_else(bad)?;
        Ok((
            name,
            value
                .parse()
                .ok()
                .filter(|v: &f64| v.is_finite())
                .ok_or_else(bad)?,
        ))
    })
}
