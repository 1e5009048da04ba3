//! The platform's messages as clients, hosts and the discovery server send and read them: written by hand,
//! independent of the gateway's own codecs.
use std::net::SocketAddr;

/// A message from a gateway to a host.
pub enum HostLine {
    /// An attempt: its trace, and the timeout that the gateway passed on, in milliseconds.
    Attempt(u64, u64),
    /// The gateway cancels the attempt with this trace.
    Cancel(u64),
    /// A health check, an instance count query or a load request, which the host answers with this tag.
    Query(String, Query),
    /// Any other message.
    Other,
}

/// What the gateway requests from a host.
#[derive(Clone, Copy, PartialEq)]
pub enum Query {
    /// A load request for at least one instance.
    Load,
    /// The number of instances.
    Count,
    /// A health check.
    Probe,
}

/// Parses the first message in these bytes; returns it with its length, body included, or none while it is
/// incomplete.
pub fn host_line(bytes: &[u8]) -> Option<(HostLine, usize)> {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    let text = String::from_utf8_lossy(&bytes[..end]).to_string();
    let words: Vec<&str> = text.split(' ').collect();
    let mut length = end + 2;
    let line = match words[..] {
        ["go", trace, fields, body] => {
            length += body.parse::<usize>().ok()? + 2;
            bytes.get(..length)?;
            let field = |name: &str| fields.split(',').find_map(|f| f.strip_prefix(name));
            let timeout = field("ms=")
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(u64::MAX / 10_000);
            HostLine::Attempt(u64::from_str_radix(trace, 16).ok()?, timeout)
        }
        ["halt", trace] => HostLine::Cancel(u64::from_str_radix(trace, 16).ok()?),
        ["ping" | "stat", tag] => HostLine::Query(tag.to_string(), Query::Probe),
        ["stage", tag, fields] if fields.ends_with("copies=0") => {
            HostLine::Query(tag.to_string(), Query::Count)
        }
        ["stage", tag, _] => HostLine::Query(tag.to_string(), Query::Load),
        _ => HostLine::Other,
    };
    Some((line, length))
}

/// A successful answer to an attempt; its body is the trace, so that the client can check which call it
/// answers.
pub fn host_ok(trace: u64) -> String {
    let body = format!("{trace:016x}");
    format!("{trace:016x} ok res=hit {}\r\n{body}\r\n", body.len())
}

/// An answer that reports that the attempt was not run.
pub fn host_not_run(trace: u64, word: &str) -> String {
    format!("{trace:016x} {word} - 0\r\n\r\n")
}

/// The answer to a health check, an instance count query or a load request; `denied` if the host reports that
/// it accepts no work.
pub fn host_answer(tag: &str, query: Query, denied: bool) -> String {
    match query {
        Query::Probe if denied => format!("{tag} no gauges=q:0;rif:1 0\r\n\r\n"),
        Query::Load | Query::Count if denied => format!("{tag} refused copies=0 0\r\n\r\n"),
        Query::Probe => format!("{tag} yes gauges=q:0;rif:1 0\r\n\r\n"),
        Query::Load | Query::Count => format!("{tag} ok copies=1 0\r\n\r\n"),
    }
}

fn encode_array(words: &[&str]) -> String {
    let words: Vec<String> = words
        .iter()
        .map(|w| format!("${}\r\n{w}\r\n", w.len()))
        .collect();
    format!("*{}\r\n{}", words.len(), words.concat())
}

/// Encodes a client's call.
pub fn call(tag: u64, trace: u64, class: &str, patience_ms: u64, function: u64) -> String {
    let fields = format!(
        "trace={trace:016x},patience={patience_ms},nonce={trace:032x},entity={function:016x},extras=lanes:8"
    );
    encode_array(&["CALL", &tag.to_string(), class, &fields, "body"])
}

/// Encodes a client's cancellation of a call.
pub fn cancel(tag: u64) -> String {
    encode_array(&["CANCEL", &tag.to_string()])
}

/// Parses the next answer to a client: its tag, outcome word, body and length; none while it is incomplete.
pub fn client_answer(bytes: &[u8]) -> Option<(u64, String, String, usize)> {
    let text = String::from_utf8_lossy(bytes);
    let mut rest: &str = &text;
    let mut line = || {
        let (line, after) = rest.split_once("\r\n")?;
        rest = after;
        Some(line.to_string())
    };
    let count: usize = line()?.strip_prefix('*')?.parse().ok()?;
    let mut found = Vec::new();
    for _ in 0..count {
        line()?;
        found.push(line()?);
    }
    let length = text.len() - rest.len();
    let body = found.get(3).cloned().unwrap_or_default();
    Some((
        found.first()?.parse().ok()?,
        found.get(1)?.clone(),
        body,
        length,
    ))
}

/// The entries of a group's hosts in the discovery server's format. Groups alternate between two zones.
pub fn hosts(group: usize, size: usize, at: SocketAddr, state: &str, started_ms: u64) -> String {
    let zone = if group.is_multiple_of(2) { "za" } else { "zb" };
    let host = |index: usize| {
        format!(
            "{{\"id\":\"s-{group:04x}{index:04x}\",\"addr\":\"{at}\",\"zone\":\"{zone}\",\"kind\":\"k\",\"cell\":{group},\
             \"state\":\"{state}\",\"weight\":4,\"started_ms\":{started_ms}}}"
        )
    };
    (0..size).map(host).collect::<Vec<_>>().join(",")
}

/// A notice of the discovery server: the complete endpoint list, or a change.
pub fn notice(revision: u64, hosts: &str, complete: bool) -> String {
    format!(
        "{{\"rev\":{revision},\"pool\":{{\"version\":1,\"full\":{complete},\"servers\":[{hosts}]}}}}"
    )
}

/// The discovery server's HTTP response to a poll.
pub fn discovery_response(revision: u64, notices: &[String]) -> String {
    let body = format!("{{\"rev\":{revision},\"notices\":[{}]}}", notices.join(","));
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Parses a poll of the discovery server: the revision that the gateway knows, how long the server may delay
/// the answer in milliseconds, and the length of the poll.
pub fn poll(bytes: &[u8]) -> Option<(u64, u64, usize)> {
    let text = String::from_utf8_lossy(bytes);
    let length = text.find("\r\n\r\n")? + 4;
    let number = |name: &str| {
        let from = text.find(name)? + name.len();
        let digits: String = text[from..]
            .chars()
            .take_while(char::is_ascii_digit)
            .collect();
        digits.parse().ok()
    };
    Some((number("watch=")?, number("linger=")?, length))
}
