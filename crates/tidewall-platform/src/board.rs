//! The notice board: long polls over HTTP/1.1 (RFC 9112), answers in JSON. An answer is taken whole or not at all.
pub use serde_json::Value as Json;
use serde_json::Value;
use std::io::Write;

/// Bounds of an answer: its head, its header lines, its body. A list of a thousand hosts takes under 200 kB.
const HEAD_MOST: usize = 8 << 10;
const HEADERS: usize = 32;
const BODY_MOST: usize = 1 << 20;

pub fn ask(out: &mut Vec<u8>, host: &str, rev: u64, linger_ms: u64) {
    // Writing to a Vec cannot fail.
    let _ = write!(
        out,
        "GET /board/poll?watch={rev}&linger={linger_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n"
    );
}

/// How an answer's body ends.
enum Form {
    Length(usize),
    Chunked,
}

/// One host of the list as it is told. `started` is a Unix time in milliseconds, 0 long ago.
pub struct Host<'a> {
    pub id: &'a str,
    pub at: &'a str,
    pub zone: &'a str,
    pub kind: &'a str,
    pub cell: u64,
    pub state: &'a str,
    pub weight: f64,
    pub started: u64,
}

/// Reads one answer: its length, whether the connection goes on, and its body. None while it is not whole.
pub fn read(bytes: &[u8]) -> Result<Option<(usize, bool, Vec<u8>)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let seen = &bytes[..bytes.len().min(HEAD_MOST)];
    let at = match head.parse(seen).map_err(|e| format!("head: {e}"))? {
        httparse::Status::Complete(at) => at,
        httparse::Status::Partial if bytes.len() >= HEAD_MOST => {
            return Err("head: too long".to_string())
        }
        httparse::Status::Partial => return Ok(None),
    };
    if head.code != Some(200) {
        return Err(format!("status: {}", head.code.unwrap_or(0)));
    }
    let find = |name: &str| {
        let header = head
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name));
        header
            .and_then(|h| std::str::from_utf8(h.value).ok())
            .map(str::trim)
    };
    let goes_on = !find("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
    let form = match (find("transfer-encoding"), find("content-length")) {
        (Some(t), _) if t.eq_ignore_ascii_case("chunked") => Form::Chunked,
        (Some(t), _) => return Err(format!("transfer-encoding: {t}")),
        (_, Some(len)) => Form::Length(len.parse().map_err(|_| "content-length: no number")?),
        _ => return Err("content-length: missing".to_string()),
    };
    let rest = &bytes[at..];
    let (len, body) = match form {
        Form::Length(len) if len > BODY_MOST => {
            return Err(format!("content-length: {len} is too much"))
        }
        Form::Length(len) => match rest.get(..len) {
            Some(body) => (len, body.to_vec()),
            None => return Ok(None),
        },
        Form::Chunked => match chunks(rest)? {
            Some(found) => found,
            None => return Ok(None),
        },
    };
    Ok(Some((at + len, goes_on, body)))
}

fn chunks(bytes: &[u8]) -> Result<Option<(usize, Vec<u8>)>, String> {
    let (mut at, mut body) = (0, Vec::new());
    loop {
        let (head, len) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("chunk: no size".to_string()),
        };
        if len > BODY_MOST as u64 || body.len() + len as usize > BODY_MOST {
            return Err("chunk: too much".to_string());
        }
        at += head;
        let Some(data) = bytes.get(at..at + len as usize + 2) else {
            return Ok(None);
        };
        let (data, end) = data.split_at(len as usize);
        if end != b"\r\n" {
            return Err("chunk: longer than its size".to_string());
        }
        body.extend_from_slice(data);
        at += len as usize + 2;
        if len == 0 {
            return Ok(Some((at, body)));
        }
    }
}

/// An answer's body; an error names the place in it.
pub fn json(bytes: &[u8]) -> Result<Json, String> {
    serde_json::from_slice(bytes).map_err(|e| e.to_string())
}

/// Hands the events behind `last` on in their order, each as its list and whether it is all of it. Gives back the number of
/// the last event, or none where events are missing between it and `last`, or the numbers went back; an error names the field.
/// Nothing was handed on then. With `last` 0 all that there is was asked for, and is taken as it is.
pub fn notices(
    json: &Value,
    last: u64,
    tell: &mut dyn FnMut(&[Host], bool),
) -> Result<Option<u64>, String> {
    let rev = json["rev"].as_u64().ok_or("field rev: no number")?;
    let notices = json["notices"].as_array().ok_or("field notices: no list")?;
    let (mut found, mut numbers) = (Vec::new(), Vec::new());
    for notice in notices {
        let at = notice["rev"]
            .as_u64()
            .ok_or("field notices.rev: no number")?;
        if at > last {
            numbers.push(at);
        }
        // Other kinds of events may be there.
        let Some(pool) = notice.get("pool") else {
            continue;
        };
        let full = pool["full"]
            .as_bool()
            .ok_or("field pool.full: neither true nor false")?;
        let servers = pool["servers"]
            .as_array()
            .ok_or("field pool.servers: no list")?;
        let hosts = servers.iter().map(host).collect::<Result<Vec<_>, _>>()?;
        if at > last {
            found.push((at, hosts, full));
        }
    }
    found.sort_by_key(|f| f.0);
    numbers.sort_unstable();
    numbers.dedup();
    // A whole list makes up for all that was before it.
    let from = found.iter().rfind(|f| f.2).map_or(last, |f| f.0);
    let missing = rev != from + numbers.iter().filter(|n| **n > from).count() as u64;
    if last > 0 && (rev < last || missing) {
        return Ok(None);
    }
    for (_, hosts, full) in &found {
        tell(hosts, *full);
    }
    Ok(Some(rev.max(last)))
}

fn host(json: &Value) -> Result<Host<'_>, String> {
    let text = |name: &str| {
        json[name]
            .as_str()
            .ok_or_else(|| format!("field servers.{name}: no text"))
    };
    let state = text("state")?;
    if !matches!(state, "up" | "draining" | "removed") {
        return Err(format!("field servers.state: '{}'", crate::shown(state)));
    }
    // One that is removed may be told by its id alone.
    let soft = |name: &str| {
        if state == "removed" {
            Ok(json[name].as_str().unwrap_or(""))
        } else {
            text(name)
        }
    };
    Ok(Host {
        id: text("id")?,
        at: soft("addr")?,
        zone: soft("zone")?,
        kind: soft("kind")?,
        cell: json["cell"].as_u64().unwrap_or(0),
        state,
        weight: json["weight"].as_f64().unwrap_or(1.0),
        started: json["started_ms"].as_f64().unwrap_or(0.0).max(0.0) as u64,
    })
}
