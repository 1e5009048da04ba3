//! The platform's words, as clients, hosts and the board speak them: written by hand, apart from the gateway's own codecs.
use std::net::SocketAddr;

/// A line of a gateway to a host.
pub enum HostLine {
    /// An attempt: trace, and the time that was passed on in milliseconds.
    Go(u64, u64),
    /// An attempt is given up.
    Halt(u64),
    /// A probe or a load request that wants an answer under this tag.
    Ask(String, Ask),
    /// Anything else.
    Other,
}

/// What is asked.
#[derive(Clone, Copy, PartialEq)]
pub enum Ask {
    /// A load request for at least one instance.
    Load,
    /// How many instances there are.
    Count,
    /// A health check.
    Probe,
}

/// The first line of these bytes and its length, with the body behind it; none while it is incomplete.
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
            HostLine::Go(u64::from_str_radix(trace, 16).ok()?, timeout)
        }
        ["halt", trace] => HostLine::Halt(u64::from_str_radix(trace, 16).ok()?),
        ["ping" | "stat", tag] => HostLine::Ask(tag.to_string(), Ask::Probe),
        ["stage", tag, fields] if fields.ends_with("copies=0") => {
            HostLine::Ask(tag.to_string(), Ask::Count)
        }
        ["stage", tag, _] => HostLine::Ask(tag.to_string(), Ask::Load),
        _ => HostLine::Other,
    };
    Some((line, length))
}

/// A good answer to an attempt; the body names it, so that a client can tell whose it is.
pub fn host_ok(trace: u64) -> String {
    let body = format!("{trace:016x}");
    format!("{trace:016x} ok res=hit {}\r\n{body}\r\n", body.len())
}

/// An answer that says that an attempt never ran.
pub fn host_not_run(trace: u64, word: &str) -> String {
    format!("{trace:016x} {word} - 0\r\n\r\n")
}

/// The answer to a health check, a query or a load request; `denied` where the host says that it takes no work.
pub fn host_answer(tag: &str, ask: Ask, denied: bool) -> String {
    match ask {
        Ask::Probe if denied => format!("{tag} no gauges=q:0;rif:1 0\r\n\r\n"),
        Ask::Load | Ask::Count if denied => format!("{tag} refused copies=0 0\r\n\r\n"),
        Ask::Probe => format!("{tag} yes gauges=q:0;rif:1 0\r\n\r\n"),
        Ask::Load | Ask::Count => format!("{tag} ok copies=1 0\r\n\r\n"),
    }
}

fn words(words: &[&str]) -> String {
    let words: Vec<String> = words
        .iter()
        .map(|w| format!("${}\r\n{w}\r\n", w.len()))
        .collect();
    format!("*{}\r\n{}", words.len(), words.concat())
}

/// A call of a client.
pub fn call(tag: u64, trace: u64, class: &str, patience_ms: u64, function: u64) -> String {
    let fields = format!(
        "trace={trace:016x},patience={patience_ms},nonce={trace:032x},entity={function:016x},extras=lanes:8"
    );
    words(&["CALL", &tag.to_string(), class, &fields, "body"])
}

/// A client stops waiting.
pub fn cancel(tag: u64) -> String {
    words(&["CANCEL", &tag.to_string()])
}

/// The next answer to a client: tag, word, body, and its length; none while it is incomplete.
pub fn answer(bytes: &[u8]) -> Option<(u64, String, String, usize)> {
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

/// Hosts of a group as the board tells them. Groups alternate between two zones.
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

/// A notice.
pub fn notice(revision: u64, hosts: &str, complete: bool) -> String {
    format!(
        "{{\"rev\":{revision},\"pool\":{{\"version\":1,\"full\":{complete},\"servers\":[{hosts}]}}}}"
    )
}

/// A response of the board.
pub fn board_response(revision: u64, notices: &[String]) -> String {
    let body = format!("{{\"rev\":{revision},\"notices\":[{}]}}", notices.join(","));
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A poll of the board: the revision that is known, how long it may wait in milliseconds, and its length.
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
