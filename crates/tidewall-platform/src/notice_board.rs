//! The platform's notice board, which is the gateway's discovery server: long polls over HTTP/1.1 (RFC 9112), answers in
//! JSON. A response is used complete or not at all. The words of the wire (`rev`, `pool`, `servers`, ...) are translated
//! here.
use crate::fields::printable;
pub use serde_json::Value as Json;
use std::io::Write;
use std::net::SocketAddr;
use thiserror::Error;

/// The longest head of a response in bytes.
const MAX_HEAD: usize = 8 << 10;

/// The most header lines of a response.
const MAX_HEADERS: usize = 32;

/// The longest body of a response in bytes, 16 MiB. A list of 4,096 hosts takes some 800 kB; after a long silence of the board
/// a response holds all that changed since, in a release a list of the half of them every second.
pub const MAX_BODY: usize = 16 << 20;

/// A long poll: answered when there are notices behind `revision`, or after `wait_ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest<'a> {
    /// The board's address, for the header `Host`.
    pub host: &'a str,
    /// The last revision that is known here; 0 asks for all.
    pub revision: u64,
    /// How long the board may wait for a notice, in milliseconds.
    pub wait_ms: u64,
}

impl PollRequest<'_> {
    /// Appends the request to `out`.
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

/// A field that a list of hosts or a notice lacks, or that has another type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// It is no whole number from 0 up.
    #[error("no number")]
    NotNumber,
    /// It is no array.
    #[error("no list")]
    NotList,
    /// It is no boolean.
    #[error("neither true nor false")]
    NotBoolean,
    /// It is no string.
    #[error("no text")]
    NotText,
}

/// Why a response of the board is refused. Nothing of it is used.
#[derive(Debug, Error)]
pub enum NoticeBoardError {
    /// The head is no HTTP.
    #[error("head: {0}")]
    Head(#[source] httparse::Error),
    /// The head is longer than any response's.
    #[error("head: too long")]
    HeadTooLong,
    /// The status is not 200.
    #[error("status: {0}")]
    Status(u16),
    /// The transfer coding is not `chunked`. Holds it.
    #[error("transfer-encoding: {0}")]
    TransferEncoding(String),
    /// The length is no number.
    #[error("content-length: no number")]
    ContentLengthNotNumber,
    /// There is no length, and the body is not chunked.
    #[error("content-length: missing")]
    ContentLengthMissing,
    /// The body is too long. Holds its length in bytes.
    #[error("content-length: {0} is too much")]
    ContentTooLong(usize),
    /// A chunk's size is no hexadecimal number.
    #[error("chunk: no size")]
    ChunkSize,
    /// The chunks together are too long.
    #[error("chunk: too much")]
    ChunksTooLong,
    /// A chunk does not end where its size says.
    #[error("chunk: longer than its size")]
    ChunkUnterminated,
    /// The body is no JSON; the text names the place in it.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is missing or has another type.
    #[error("field {field}: {problem}")]
    Field {
        /// The field's path on the wire.
        field: &'static str,
        /// What is wrong with it.
        problem: FieldProblem,
    },
    /// A host's state is none of those known. Holds it, printable.
    #[error("field servers.state: '{0}'")]
    UnknownState(String),
    /// A host's address is no address and port. Holds it, printable.
    #[error("field servers.addr: '{0}'")]
    Address(String),
}

impl NoticeBoardError {
    fn field(field: &'static str, problem: FieldProblem) -> NoticeBoardError {
        NoticeBoardError::Field { field, problem }
    }
}

/// A response at the head of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollResponse {
    /// Its encoded length in bytes.
    pub length: usize,
    /// Whether another request may follow on the connection.
    pub keep_alive: bool,
    /// Its body, transfer coding removed.
    pub body: Vec<u8>,
}

/// How a response's body ends.
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

/// Reads the response at the head of `bytes`; `None` while it is incomplete.
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
    /// Its encoded length in bytes.
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

/// A response's body as JSON; an error names the place in it.
pub fn parse_json(body: &[u8]) -> Result<Json, NoticeBoardError> {
    Ok(serde_json::from_slice(body)?)
}

/// What a host's entry says of its use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// In use (`up`).
    Up,
    /// Gets nothing new (`draining`).
    Draining,
    /// Gone (`removed`).
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

/// One host of a list, its texts still where they were read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostEntry<'a> {
    /// Its name.
    pub id: &'a str,
    /// Its address and port; may be empty where it is removed.
    pub address: &'a str,
    /// Its zone; may be empty where it is removed.
    pub zone: &'a str,
    /// The kind of its machine; may be empty where it is removed.
    pub machine: &'a str,
    /// Its cell; 0 where not given.
    pub cell: u64,
    /// Its state.
    pub state: HostState,
    /// Its relative capacity; 1 where not given.
    pub weight: f64,
    /// When it started, Unix time in milliseconds; 0 long ago or where not given.
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
        // A host that is removed may be given by its id alone.
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

    /// The host's address as a number; `None` for a host that is removed and has none that can be read.
    pub fn socket_address(&self) -> Result<Option<SocketAddr>, NoticeBoardError> {
        match self.address.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) if self.state == HostState::Removed => Ok(None),
            Err(_) => Err(NoticeBoardError::Address(printable(self.address))),
        }
    }
}

/// A list of hosts that one notice holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HostList<'a> {
    /// The notice's revision.
    pub revision: u64,
    /// Whether hosts that it does not name are gone; otherwise it names those that changed.
    pub complete: bool,
    /// The hosts.
    pub hosts: Vec<HostEntry<'a>>,
}

/// The notices behind a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct NoticeUpdate<'a> {
    /// The last revision that is known now.
    pub revision: u64,
    /// The lists, in the order of their revisions.
    pub lists: Vec<HostList<'a>>,
}

/// Reads the notices behind `last_revision`. `None` where notices between it and the response's revision are missing, or
/// the revisions went back: then a complete list is to be asked for. With `last_revision` 0 everything was asked for, and
/// gaps are accepted.
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
        // Notices of other kinds may be there. Old ones are checked too.
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
    // A complete list makes up for all that was before it.
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
