//! The seam between the gateway and the protocols by which events come. Whatever the protocol, an event comes
//! as `Incoming` and its one answer leaves by `Door::answered`.
use crate::Core;
use tidewall_net::{Conn, Net, Time};

/// Names an event to the door that it came by: the key is that door's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ticket {
    pub door: usize,
    pub key: u64,
}

/// What is left to an event that told `left` and may have lain unread for as long as `waited`; none where too little is certain.
/// An event that is taken must be answered before its client gives up: the larger the part that is uncertain, the longer
/// neither an answer nor silence would be right. With a quarter none of 2,000 drawn runs of a site broke a rule; without, some did.
pub fn left(left: Time, waited: Time) -> Option<Time> {
    let certain = left.saturating_sub(waited);
    (certain > 0 && 4 * waited <= left).then_some(certain)
}

/// The three words of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Handled,
    Deferred,
    DeadLettered,
}

/// Nobody waits for the answer.
pub const NOBODY: Ticket = Ticket {
    door: usize::MAX,
    key: 0,
};

impl Word {
    pub fn read(text: &str) -> Result<Word, String> {
        Ok(match text {
            "handled" => Word::Handled,
            "deferred" => Word::Deferred,
            "dead-lettered" => Word::DeadLettered,
            other => return Err(format!("field word: '{other}' is no answer")),
        })
    }

    pub fn text(self) -> &'static str {
        match self {
            Word::Handled => "handled",
            Word::Deferred => "deferred",
            Word::DeadLettered => "dead-lettered",
        }
    }
}

pub struct Answer<'a> {
    pub word: Word,
    /// With deferred: when to come back; 0 where that is not told.
    pub come_back: Time,
    pub reason: &'a str,
    pub payload: &'a [u8],
    /// How long the gateway held it.
    pub took: Time,
}

/// An event as it comes, its fields still where the protocol's bytes lie.
pub struct Incoming<'a> {
    pub ticket: Ticket,
    /// The client's own name for it, for logs and workers.
    pub id: u64,
    pub typ: usize,
    pub tenant: Option<usize>,
    pub function: &'a str,
    pub lanes: u32,
    pub memory: f64,
    pub hint: Time,
    pub load_hint: Time,
    /// How long until the client gives up.
    pub left: Time,
    pub resent: bool,
    pub mark: &'a [u8],
    pub payload: &'a [u8],
}

/// One protocol. It reads its clients' bytes and tells `Core` which events come and which clients leave.
pub trait Door<N: Net> {
    /// It has its listener; a door that needs deadlines asks for its first one here.
    fn opened(&mut self, _core: &mut Core<N>) {}
    /// A deadline of `Core::wake` is due.
    fn due(&mut self, _core: &mut Core<N>) {}
    fn accepted(&mut self, core: &mut Core<N>, conn: Conn);
    /// Gives back how many bytes it has used.
    fn bytes(&mut self, core: &mut Core<N>, conn: Conn, bytes: &[u8]) -> usize;
    fn drained(&mut self, core: &mut Core<N>, conn: Conn);
    fn closed(&mut self, core: &mut Core<N>, conn: Conn);
    /// The answer has begun; more follows.
    fn begun(&mut self, net: &mut N, ticket: Ticket, payload: &[u8]);
    /// The one final answer. Each ticket gets it once, and none after `Core::left`.
    fn answered(&mut self, net: &mut N, ticket: Ticket, answer: &Answer);
    /// Its clients say when they stop waiting: until they do an answer is owed, late or not. Elsewhere the time that came with
    /// an event says it, and nothing may follow.
    fn waits_on(&self) -> bool {
        false
    }
    /// Instead of an answer: the client's time has passed, and nothing may be sent for it.
    fn given_up(&mut self, now: Time, ticket: Ticket);
}
