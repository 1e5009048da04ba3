//! Client commands: RESP arrays of bulk strings. A registry parser was not taken, since it buffers a whole bulk string before
//! its length can be judged; here a length is judged as it is read. Errors of `read` leave the connection of no use; a call
//! whose fields are at fault has its tag and gets its own failure.
use crate::{hex16, pairs, shown};
use std::io::Write;

/// The page's bound of a body.
pub const BODY_MOST: usize = 16 << 10;

/// Bounds of the words of a command: verb, tag (a number of 64 bits), event type, fields, body. The fields of the page take
/// under 300 bytes; names of tenants and types may be long, so it is several times that.
const MOST: [usize; 5] = [16, 20, 64, 2048, BODY_MOST];

/// The longest line that tells a count or a length: `$` and a number of 64 bits.
const HEAD: usize = 21;

/// Times and figures beyond these are out of range: an hour, a billion MB, a thousand lanes. Far above any deployment's.
const MS_MOST: f64 = 3_600_000.0;
const MB_MOST: f64 = 1e9;
const LANES_MOST: f64 = 1000.0;

/// A call as it came, its fields still where the bytes lie. Times are in milliseconds.
pub struct Call<'a> {
    pub trace: u64,
    pub typ: &'a str,
    pub tenant: Option<&'a str>,
    pub nonce: &'a str,
    pub function: &'a str,
    pub patience: f64,
    pub hint: f64,
    pub memory: f64,
    pub lanes: f64,
    pub load: f64,
    pub resent: bool,
    pub body: &'a [u8],
}

/// What a client's commands call for.
pub trait Commands {
    fn call(&mut self, tag: u64, call: Result<Call, String>);
    fn cancel(&mut self, tag: u64);
    fn check(&mut self, tag: u64);
}

/// A number on a line of its own, behind `sign`; none while the line is not whole.
fn number(bytes: &[u8], sign: u8, what: &str) -> Result<Option<(usize, usize)>, String> {
    match bytes.first() {
        None => return Ok(None),
        Some(b) if *b != sign => return Err(format!("{what}: '{}' expected", char::from(sign))),
        Some(_) => {}
    }
    let Some(end) = memchr::memchr(b'\n', &bytes[..bytes.len().min(HEAD + 2)]) else {
        return if bytes.len() > HEAD {
            Err(format!("{what}: no number"))
        } else {
            Ok(None)
        };
    };
    let digits = bytes[1..end]
        .strip_suffix(b"\r")
        .filter(|d| !d.is_empty() && d.iter().all(u8::is_ascii_digit));
    let text = digits.and_then(|d| std::str::from_utf8(d).ok());
    let value = text
        .and_then(|t| t.parse().ok())
        .ok_or_else(|| format!("{what}: no number"))?;
    Ok(Some((value, end + 1)))
}

/// Reads one command and gives back its length; none while it is not whole.
pub fn read(bytes: &[u8], commands: &mut dyn Commands) -> Result<Option<usize>, String> {
    let Some((count, mut at)) = number(bytes, b'*', "array")? else {
        return Ok(None);
    };
    if !(2..=MOST.len()).contains(&count) {
        return Err(format!("array: {count} words"));
    }
    let mut words: [&[u8]; MOST.len()] = [b""; MOST.len()];
    for (word, most) in words.iter_mut().zip(MOST).take(count) {
        let Some((len, head)) = number(&bytes[at..], b'$', "word")? else {
            return Ok(None);
        };
        // Judged before any of it is waited for.
        if len > most {
            return Err(format!("word: {len} bytes, at most {most}"));
        }
        at += head;
        let Some(rest) = bytes.get(at..at + len + 2) else {
            return Ok(None);
        };
        if &rest[len..] != b"\r\n" {
            return Err("word: longer than its length".to_string());
        }
        *word = &rest[..len];
        at += len + 2;
    }
    let text = |i: usize, what: &str| {
        std::str::from_utf8(words[i]).map_err(|_| format!("{what}: no text"))
    };
    let tag = words[1];
    let tag = if tag.iter().all(u8::is_ascii_digit) {
        text(1, "tag")?.parse().unwrap_or(0)
    } else {
        0
    };
    if tag == 0 {
        return Err("tag: no number from 1 up".to_string());
    }
    match (words[0], count) {
        (b"CALL", 4 | 5) => {
            let told =
                text(3, "fields").and_then(|fields| call(text(2, "event type")?, fields, words[4]));
            commands.call(tag, told);
        }
        (b"CANCEL", _) => commands.cancel(tag),
        (b"CHECK", _) => commands.check(tag),
        (verb, _) => return Err(format!("verb: '{}'", shown(&String::from_utf8_lossy(verb)))),
    }
    Ok(Some(at))
}

/// A figure within its range.
fn figure(name: &str, value: &str, most: f64) -> Result<f64, String> {
    let plain = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value = value.parse::<f64>().ok().filter(|v| plain && *v <= most);
    value.ok_or_else(|| format!("field {name}: not within 0 to {most}"))
}

fn call<'a>(word: &'a str, fields: &'a str, body: &'a [u8]) -> Result<Call<'a>, String> {
    let (mut trace, mut patience) = (None, None);
    let mut call = Call {
        trace: 0,
        typ: word,
        tenant: None,
        nonce: "",
        function: "",
        patience: 0.0,
        hint: 0.0,
        memory: 0.0,
        lanes: 1.0,
        load: 0.0,
        resent: false,
        body,
    };
    for pair in pairs(fields) {
        let (name, value) = pair?;
        match name {
            "trace" => trace = Some(hex16(value).ok_or("field trace: not 16 hexadecimal digits")?),
            "patience" => patience = Some(figure(name, value, MS_MOST)?),
            "customer" => call.tenant = Some(value),
            "nonce" => {
                // It goes on to hosts within a line of words.
                let good = !value.is_empty()
                    && value.len() <= 64
                    && value.bytes().all(|b| b.is_ascii_graphic());
                call.nonce = good
                    .then_some(value)
                    .ok_or("field nonce: not 1 to 64 plain characters")?;
            }
            "entity" => {
                hex16(value).ok_or("field entity: not 16 hexadecimal digits")?;
                call.function = value;
            }
            "weight" => call.hint = figure(name, value, MS_MOST)?,
            "redo" => call.resent = value != "0",
            "route" => call.typ = value,
            "extras" => extras(&mut call, value)?,
            // Fields of later versions.
            _ => {}
        }
    }
    call.trace = trace.ok_or("field trace: missing")?;
    call.patience = patience
        .filter(|p| *p > 0.0)
        .ok_or("field patience: missing")?;
    if call.function.is_empty() {
        return Err("field entity: missing".to_string());
    }
    Ok(call)
}

fn extras(call: &mut Call, text: &str) -> Result<(), String> {
    for part in text.split(';').filter(|p| !p.is_empty()) {
        let (name, value) = part.split_once(':').ok_or("field extras: not name:value")?;
        match name {
            "memory_mb" => call.memory = figure(name, value, MB_MOST)?,
            "load_ms" => call.load = figure(name, value, MS_MOST)?,
            "lanes" => {
                call.lanes = figure(name, value, LANES_MOST)?;
                if call.lanes < 1.0 || call.lanes.fract() != 0.0 {
                    return Err("field lanes: no whole number from 1 up".to_string());
                }
            }
            _ => {}
        }
    }
    Ok(())
}

/// The one answer to a call or a check.
pub fn answer(out: &mut Vec<u8>, tag: u64, word: &str, fields: &str, body: &[u8]) {
    // Writing to a Vec cannot fail. An empty tail may be left out.
    let tail = !fields.is_empty() || !body.is_empty();
    let mut digits = [0; 20];
    let mut rest = &mut digits[..];
    let _ = write!(rest, "{tag}");
    let left = rest.len();
    let tag = &digits[..20 - left];
    let _ = write!(out, "*{}\r\n", if tail { 4 } else { 2 });
    bulk(out, tag);
    bulk(out, word.as_bytes());
    if tail {
        bulk(out, fields.as_bytes());
        bulk(out, body);
    }
}

fn bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    let _ = write!(out, "${}\r\n", bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// An error that belongs to no command (RESP simple error); the connection ends behind it.
pub fn error(out: &mut Vec<u8>, reason: &str) {
    let _ = write!(out, "-ERR {reason}\r\n");
}
