//! The platform's notice board, which is the gateway's discovery server: long polls over HTTP/1.1
//! (RFC 9112) with JSON responses. A response is used completely or not at all. This module
//! translates the names on the wire (`rev`, `pool`, `servers`, ...) to the gateway's terms.
use crate::fields::printable;
pub use serde_json::Value as Json;
use std::io::Write;
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum length of a response's head in bytes.
const MAX_HEAD: usize = 8 << 10;

/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 32;

/// Maximum length of a response's body in bytes, 16 MiB. A list of 4,096 hosts takes about 800 kB.
/// After the board was silent for a long time, a response holds all changes since then: during a
/// release, a list of half the hosts for every second.
pub const MAX_BODY: usize = 16 << 20;

/// A long poll: the board answers when there are notices after `revision`, or after `wait_ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest<'a> {
    /// Address of the board, for the `Host` header.
    pub host: &'a str,
    /// The last revision that the gateway knows; 0 asks for all notices.
    pub revision: u64,
    /// How long the board may wait for a notice, in milliseconds.
    pub wait_ms: u64,
}

impl PollRequest<'_> {
    /// Appends the encoded request to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let PollRequest {
            host,
            revision,
            wait_ms,
        } = self;
        // Writing to a `Vec` cannot fail.
        let _ = write!(
            out,
            "GET /board/poll?watch={revision}&linger={wait_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        );
    }
}

/// What is wrong with a missing or mistyped field of a host list or notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// The field is not a whole number from 0 up.
    #[error("no number")]
    NotNumber,
    /// The field is not an array.
    #[error("no list")]
    NotList,
    /// The field is not a boolean.
    #[error("neither true nor false")]
    NotBoolean,
    /// The field is not a string.
    #[error("no text")]
    NotText,
}

/// Why a response of the board is rejected. Nothing of it is used.
#[derive(Debug, Error)]
pub enum NoticeBoardError {
    /// The head is not valid HTTP.
    #[error("head: {0}")]
    Head(#[source] httparse::Error),
    /// The head is longer than `MAX_HEAD`.
    #[error("head: too long")]
    HeadTooLong,
    /// The status is not 200. Holds the status.
    #[error("status: {0}")]
    Status(u16),
    /// The transfer coding is not `chunked`. Holds the coding.
    #[error("transfer-encoding: {0}")]
    TransferEncoding(String),
    /// The content length is not a number.
    #[error("content-length: no number")]
    ContentLengthNotNumber,
    /// There is no content length, and the body is not chunked.
    #[error("content-length: missing")]
    ContentLengthMissing,
    /// The body is longer than [`MAX_BODY`]. Holds its length in bytes.
    #[error("content-length: {0} is too much")]
    ContentTooLong(usize),
    /// The size of a chunk is not a hexadecimal number.
    #[error("chunk: no size")]
    ChunkSize,
    /// The chunks together are longer than [`MAX_BODY`].
    #[error("chunk: too much")]
    ChunksTooLong,
    /// A chunk does not end where its size says.
    #[error("chunk: longer than its size")]
    ChunkUnterminated,
    /// The body is not valid JSON. The message holds the line and column.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is missing or has the wrong type.
    #[error("field {field}: {problem}")]
    Field {
        /// Path of the field on the wire.
        field: &'static str,
        /// What is wrong with the field.
        problem: FieldProblem,
    },
    /// A host's state is unknown. Holds the state, made printable.
    #[error("field servers.state: '{0}'")]
    UnknownState(String),
    /// A host's address is not an IP address and port. Holds the address, made printable.
    #[error("field servers.addr: '{0}'")]
    Address(String),
}

impl NoticeBoardError {
    fn field(field: &'static str, problem: FieldProblem) -> NoticeBoardError {
        NoticeBoardError::Field { field, problem }
    }
}

/// A response decoded from the start of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollResponse {
    /// Encoded length of the response in bytes.
    pub length: usize,
    /// Whether the connection can be used for another request.
    pub keep_alive: bool,
    /// The body, with the transfer coding removed.
    pub body: Vec<u8>,
}

/// How the end of a response's body is found.
enum BodyFraming {
    Length(usize),
    Chunked,
}

impl BodyFraming {
    fn of(head: &httparse::Response) -> Result<BodyFraming, NoticeBoardError> {
        match (
            header(head, "transfer-encoding"),
            header(head, "content-length"),
        ) {
            (Some(coding), _) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyFraming::Chunked),
            (Some(coding), _) => Err(NoticeBoardError::TransferEncoding(coding.to_string())),
            (_, Some(length)) => length
                .parse()
                .map(BodyFraming::Length)
                .map_err(|_| NoticeBoardError::ContentLengthNotNumber),
            _ => Err(NoticeBoardError::ContentLengthMissing),
        }
    }
}

fn header<'a>(head: &'a httparse::Response, name: &str) -> Option<&'a str> {
    let header = head
        .headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

/// Decodes the response at the start of `bytes`; `None` if it is incomplete.
pub fn decode_response(bytes: &[u8]) -> Result<Option<PollResponse>, NoticeBoardError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let status = head.parse(&bytes[..bytes.len().min(MAX_HEAD)]);
    let offset = match status.map_err(NoticeBoardError::Head)? {
        httparse::Status::Complete(offset) => offset,
        httparse::Status::Partial if bytes.len() >= MAX_HEAD => {
            return Err(NoticeBoardError::HeadTooLong)
        }
        httparse::Status::Partial => return Ok(None),
    };
    if head.code != Some(200) {
        return Err(NoticeBoardError::Status(head.code.unwrap_or(0)));
    }
    let keep_alive =
        !header(&head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let rest = &bytes[offset..];
    let body = match BodyFraming::of(&head)? {
        BodyFraming::Length(length) if length > MAX_BODY => {
            return Err(NoticeBoardError::ContentTooLong(length))
        }
        BodyFraming::Length(length) => rest.get(..length).map(|content| Body {
            length,
            content: content.to_vec(),
        }),
        BodyFraming::Chunked => decode_chunks(rest)?,
    };
    Ok(body.map(|body| PollResponse {
        length: offset + body.length,
        keep_alive,
        body: body.content,
    }))
}

struct Body {
    /// Encoded length of the body in bytes.
    length: usize,
    content: Vec<u8>,
}

fn decode_chunks(bytes: &[u8]) -> Result<Option<Body>, NoticeBoardError> {
    let (mut length, mut content) = (0, Vec::new());
    loop {
        let (header, size) = match httparse::parse_chunk_size(&bytes[length..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(NoticeBoardError::ChunkSize),
        };
        if size > MAX_BODY as u64 || content.len() + size as usize > MAX_BODY {
            return Err(NoticeBoardError::ChunksTooLong);
        }
        let size = size as usize;
        length += header;
        let Some(chunk) = bytes.get(length..length + size + 2) else {
            return Ok(None);
        };
        let Some(data) = chunk.strip_suffix(b"\r\n") else {
            return Err(NoticeBoardError::ChunkUnterminated);
        };
        content.extend_from_slice(data);
        length += size + 2;
        if size == 0 {
            return Ok(Some(Body { length, content }));
        }
    }
}

/// Parses a response's body as JSON. An error holds the line and column.
pub fn parse_json(body: &[u8]) -> Result<Json, NoticeBoardError> {
    Ok(serde_json::from_slice(body)?)
}

/// State of a host, as its entry gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// In use (`up`).
    Up,
    /// Gets no new requests (`draining`).
    Draining,
    /// Removed from the list (`removed`).
    Removed,
}

impl HostState {
    fn from_wire(word: &str) -> Result<HostState, NoticeBoardError> {
        Ok(match word {
            "up" => HostState::Up,
            "draining" => HostState::Draining,
            "removed" => HostState::Removed,
            other => return Err(NoticeBoardError::UnknownState(printable(other))),
        })
    }
}

/// One host of a list. Its strings borrow from the parsed JSON.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostEntry<'a> {
    /// Name of the host.
    pub id: &'a str,
    /// IP address and port; may be empty for a removed host.
    pub address: &'a str,
    /// Zone of the host; may be empty for a removed host.
    pub zone: &'a str,
    /// Machine type; may be empty for a removed host.
    pub machine: &'a str,
    /// Cell of the host; 0 if missing.
    pub cell: u64,
    /// State of the host.
    pub state: HostState,
    /// Relative capacity; 1 if missing.
    pub weight: f64,
    /// Start time of the host, Unix time in milliseconds; 0 if it started long ago or the field is
    /// missing.
    pub started_ms: u64,
}

impl<'a> HostEntry<'a> {
    fn decode(json: &'a Json) -> Result<HostEntry<'a>, NoticeBoardError> {
        let text = |name: &str, field: &'static str| {
            json[name]
                .as_str()
                .ok_or(NoticeBoardError::field(field, FieldProblem::NotText))
        };
        let state = HostState::from_wire(text("state", "servers.state")?)?;
        // An entry of a removed host may consist of id and state only.
        let text_unless_removed = |name: &str, field: &'static str| match state {
            HostState::Removed => Ok(json[name].as_str().unwrap_or("")),
            _ => text(name, field),
        };
        Ok(HostEntry {
            id: text("id", "servers.id")?,
            address: text_unless_removed("addr", "servers.addr")?,
            zone: text_unless_removed("zone", "servers.zone")?,
            machine: text_unless_removed("kind", "servers.kind")?,
            cell: json["cell"].as_u64().unwrap_or(0),
            state,
            weight: json["weight"].as_f64().unwrap_or(1.0),
            started_ms: json["started_ms"].as_f64().unwrap_or(0.0).max(0.0) as u64,
        })
    }

    /// Parses the host's address; `None` for a removed host without a valid one.
    pub fn socket_address(&self) -> Result<Option<SocketAddr>, NoticeBoardError> {
        match self.address.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) if self.state == HostState::Removed => Ok(None),
            Err(_) => Err(NoticeBoardError::Address(printable(self.address))),
        }
    }
}

/// A list of hosts from one notice.
#[derive(Clone, Debug, PartialEq)]
pub struct HostList<'a> {
    /// Revision of the notice.
    pub revision: u64,
    /// Whether the list is complete, so that hosts missing from it are gone. Otherwise it holds
    /// only the hosts that changed.
    pub complete: bool,
    /// The listed hosts.
    pub hosts: Vec<HostEntry<'a>>,
}

/// The notices after a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct NoticeUpdate<'a> {
    /// The last revision that is known after these notices.
    pub revision: u64,
    /// The lists, ordered by revision.
    pub lists: Vec<HostList<'a>>,
}

/// Decodes the notices after `last_revision`. Returns `None` if notices between it and the
/// response's revision are missing, or if the response's revision is lower; the caller then has to
/// ask for a complete list. A `last_revision` of 0 means that everything was asked for, and gaps
/// are accepted.
pub fn decode_notices(
    json: &Json,
    last_revision: u64,
) -> Result<Option<NoticeUpdate<'_>>, NoticeBoardError> {
    let number = |json: &Json, field| {
        json["rev"]
            .as_u64()
            .ok_or(NoticeBoardError::field(field, FieldProblem::NotNumber))
    };
    let revision = number(json, "rev")?;
    let notices = json["notices"]
        .as_array()
        .ok_or(NoticeBoardError::field("notices", FieldProblem::NotList))?;
    let (mut lists, mut revisions) = (Vec::new(), Vec::new());
    for notice in notices {
        let notice_revision = number(notice, "notices.rev")?;
        let is_new = notice_revision > last_revision;
        if is_new {
            revisions.push(notice_revision);
        }
        // Notices of other kinds have no `pool` and are ignored. Lists in old notices are validated
        // too, but not used.
        if let Some(pool) = notice.get("pool") {
            let list = decode_list(pool, notice_revision)?;
            if is_new {
                lists.push(list);
            }
        }
    }
    lists.sort_by_key(|list| list.revision);
    revisions.sort_unstable();
    revisions.dedup();
    // A complete list replaces all earlier notices, so only the later ones must be gapless.
    let base = lists
        .iter()
        .rfind(|list| list.complete)
        .map_or(last_revision, |list| list.revision);
    let following = revisions.iter().filter(|r| **r > base).count() as u64;
    let has_gap = revision != base + following;
    if last_revision > 0 && (revision < last_revision || has_gap) {
        return Ok(None);
    }
    Ok(Some(NoticeUpdate {
        revision: revision.max(last_revision),
        lists,
    }))
}

fn decode_list(pool: &Json, revision: u64) -> Result<HostList<'_>, NoticeBoardError> {
    let complete = pool["full"].as_bool().ok_or(NoticeBoardError::field(
        "pool.full",
        FieldProblem::NotBoolean,
    ))?;
    let servers = pool["servers"].as_array().ok_or(NoticeBoardError::field(
        "pool.servers",
        FieldProblem::NotList,
    ))?;
    Ok(HostList {
        revision,
        complete,
        hosts: servers
            .iter()
            .map(HostEntry::decode)
            .collect::<Result<_, _>>()?,
    })
}
