//! The seam between the gateway and the protocols by which events come. Whatever the protocol, an event comes
//! as `IncomingRequest` and its one answer leaves by `Ingress::answered`.
use crate::IngressContext;
use tidewall_net::{Conn, Net, Time};
use tidewall_wire::{Field, WireError};

/// Names an event to the door that it came by: the key is that door's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyHandle {
    pub ingress: usize,
    pub key: u64,
}

/// What is left to an event that told `left` and may have lain unread for as long as `waited`; none where too little is certain.
/// An event that is taken must be answered before its client gives up: the larger the part that is uncertain, the longer
/// neither an answer nor silence would be right. With a quarter none of 2,000 drawn runs of a site broke a rule; without, some did.
pub fn remaining_time(left: Time, waited: Time) -> Option<Time> {
    let certain = left.saturating_sub(waited);
    (certain > 0 && 4 * waited <= left).then_some(certain)
}

/// The three words of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    Completed,
    Rejected,
    Failed,
}

/// Nobody waits for the answer.
pub const NO_CLIENT: ReplyHandle = ReplyHandle {
    ingress: usize::MAX,
    key: 0,
};

impl Disposition {
    pub fn from_wire(text: &str) -> Result<Disposition, WireError> {
        Ok(match text {
            "handled" => Disposition::Completed,
            "deferred" => Disposition::Rejected,
            "dead-lettered" => Disposition::Failed,
            other => {
                return Err(WireError::invalid(
                    Field::Word,
                    format!("'{other}' is no answer"),
                ))
            }
        })
    }

    pub fn wire_text(self) -> &'static str {
        match self {
            Disposition::Completed => "handled",
            Disposition::Rejected => "deferred",
            Disposition::Failed => "dead-lettered",
        }
    }
}

pub struct Response<'a> {
    pub disposition: Disposition,
    /// With deferred: when to come back; 0 where that is not told.
    pub retry_after: Time,
    pub reason: &'a str,
    pub payload: &'a [u8],
    /// How long the gateway held it.
    pub elapsed: Time,
}

/// An event as it comes, its fields still where the protocol's bytes lie.
pub struct IncomingRequest<'a> {
    pub reply_handle: ReplyHandle,
    /// The client's own name for it, for logs and workers.
    pub id: u64,
    pub class: usize,
    pub tenant: Option<usize>,
    pub function: &'a str,
    pub lanes: u32,
    pub memory: f64,
    pub cost_hint: Time,
    pub load_hint: Time,
    /// How long until the client gives up.
    pub remaining: Time,
    pub is_retry: bool,
    pub idempotency_key: &'a [u8],
    pub payload: &'a [u8],
}

/// One protocol. It reads its clients' bytes and tells `IngressContext` which events come and which clients leave.
pub trait Ingress<N: Net> {
    /// It has its listener; a door that needs deadlines asks for its first one here.
    fn started(&mut self, _core: &mut IngressContext<N>) {}
    /// A deadline of `IngressContext::wake` is due.
    fn timer_fired(&mut self, _core: &mut IngressContext<N>) {}
    fn accepted(&mut self, core: &mut IngressContext<N>, conn: Conn);
    /// Gives back how many bytes it has used.
    fn received(&mut self, core: &mut IngressContext<N>, conn: Conn, bytes: &[u8]) -> usize;
    fn writable(&mut self, core: &mut IngressContext<N>, conn: Conn);
    fn closed(&mut self, core: &mut IngressContext<N>, conn: Conn);
    /// The answer has begun; more follows.
    fn response_started(&mut self, net: &mut N, ticket: ReplyHandle, payload: &[u8]);
    /// The one final answer. Each ticket gets it once, and none after `IngressContext::left`.
    fn respond(&mut self, net: &mut N, ticket: ReplyHandle, answer: &Response);
    /// Its clients say when they stop waiting: until they do an answer is owed, late or not. Elsewhere the time that came with
    /// an event says it, and nothing may follow.
    fn accepts_late_response(&self) -> bool {
        false
    }
    /// Instead of an answer: the client's time has passed, and nothing may be sent for it.
    fn request_expired(&mut self, now: Time, ticket: ReplyHandle);
}
