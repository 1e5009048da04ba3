//! The interface between the gateway and the protocols by which requests come. Whatever the protocol, a request comes as
//! [`IncomingRequest`] and its one response leaves by [`Ingress::respond`].
use crate::IngressContext;
use tidewall_net::{Conn, Net, Time};
use tidewall_wire::{Field, WireError};

/// Names a request to the ingress that it came by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyHandle {
    /// The ingress's index.
    pub ingress: usize,
    /// That ingress's own key.
    pub key: u64,
}

/// The reply handle of a request for whose response nobody waits.
pub const NO_CLIENT: ReplyHandle = ReplyHandle {
    ingress: usize::MAX,
    key: 0,
};

/// The slot of a request that is not in flight here: it is not admitted yet, or it waits for a request with the same
/// idempotency key at the other member of the failover pair. No request has it.
pub const NO_REQUEST_SLOT: usize = usize::MAX;

/// A response that is late by no more than this (25 ms) is still sent: a client's timers are not finer on a busy machine, and
/// half of the 50 ms that the protocol pages allow is left for the way. Behind a longer delay silence is right.
pub const LATE_RESPONSE_GRACE: Time = 250;

/// The time that is certainly left to a request that said `remaining` and may have lain unread for as long as `waited`; none
/// where too little is certain. An admitted request must be answered before its client stops waiting: the larger the part that
/// is uncertain, the longer neither a response nor silence would be right. With a quarter none of 2,000 drawn runs of a site
/// broke a rule; without, some did.
pub fn remaining_time(remaining: Time, waited: Time) -> Option<Time> {
    let certain = remaining.saturating_sub(waited);
    (certain > 0 && 4 * waited <= remaining).then_some(certain)
}

/// What became of a request: the three kinds of final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// A worker completed it; on the wire `handled`.
    Completed,
    /// It was not executed and may be sent again, after Retry-After where that is given; on the wire `deferred`.
    Rejected,
    /// It failed and is not to be sent again; on the wire `dead-lettered`.
    Failed,
}

impl Disposition {
    /// The disposition that a word of the wire names.
    ///
    /// # Errors
    /// For any other word.
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

    /// The word that names it on the wire.
    pub fn wire_text(self) -> &'static str {
        match self {
            Disposition::Completed => "handled",
            Disposition::Rejected => "deferred",
            Disposition::Failed => "dead-lettered",
        }
    }
}

/// A request's one final response.
pub struct Response<'a> {
    /// What became of the request.
    pub disposition: Disposition,
    /// Of a rejected request: Retry-After, in tenths of a millisecond; 0 where none is given.
    pub retry_after: Time,
    /// Why, for people; may be empty.
    pub reason: &'a str,
    /// Of a completed request: the worker's answer.
    pub payload: &'a [u8],
    /// How long the request was in flight here, in tenths of a millisecond.
    pub elapsed: Time,
}

/// A request as it comes, its fields still where the protocol's bytes lie.
pub struct IncomingRequest<'a> {
    /// Whom the response goes to.
    pub reply_handle: ReplyHandle,
    /// The connection on which the client says that it leaves; none where it has none of its own.
    pub client: Option<Conn>,
    /// The client's own id for it, for logs and workers.
    pub id: u64,
    /// The request class, an index of `IngressContext::class_names`.
    pub class: usize,
    /// The tenant, an index of `IngressContext::tenant_names`; none where there are no tenants.
    pub tenant: Option<usize>,
    /// The function that it calls.
    pub function: &'a str,
    /// Lanes that it takes at a worker, at least 1.
    pub lanes: u32,
    /// Memory that an instance of the function takes, in the unit of the settings.
    pub memory: f64,
    /// Expected execution time, in tenths of a millisecond; 0 where it is not known.
    pub cost_hint: Time,
    /// Usual time to load an instance, in tenths of a millisecond; 0 where it is not known.
    pub load_hint: Time,
    /// How long the client certainly waits, in tenths of a millisecond.
    pub remaining: Time,
    /// How much longer it may wait: the request may have lain unread for as long as this.
    pub uncertainty: Time,
    /// The client has sent it before.
    pub is_retry: bool,
    /// The idempotency key; empty where it has none.
    pub idempotency_key: &'a [u8],
    /// What the worker gets.
    pub payload: &'a [u8],
}

impl IncomingRequest<'_> {
    /// Whether enough of its client's time is certain for it to be admitted.
    pub fn is_in_time(&self) -> bool {
        remaining_time(self.remaining + self.uncertainty, self.uncertainty).is_some()
    }
}

/// A client protocol. It reads its clients' bytes and tells `IngressContext` which requests come and which clients leave.
pub trait Ingress<N: Net> {
    /// The ingress was added to the gateway; one that needs timers sets its first one here.
    fn started(&mut self, _context: &mut IngressContext<N>) {}
    /// A timer of `IngressContext::set_ingress_timer` fired.
    fn timer_fired(&mut self, _context: &mut IngressContext<N>) {}
    /// A client connected.
    fn accepted(&mut self, context: &mut IngressContext<N>, conn: Conn);
    /// Bytes came; gives how many of them it has used. The rest is given again with what follows.
    fn received(&mut self, context: &mut IngressContext<N>, conn: Conn, bytes: &[u8]) -> usize;
    /// The connection's socket takes more.
    fn writable(&mut self, context: &mut IngressContext<N>, conn: Conn);
    /// The connection is closed.
    fn closed(&mut self, context: &mut IngressContext<N>, conn: Conn);
    /// The first part of a response has come; more follows.
    fn response_started(&mut self, net: &mut N, handle: ReplyHandle, payload: &[u8]);
    /// The one final response. Each reply handle gets it once, and none after `IngressContext::client_abandoned`.
    fn respond(&mut self, net: &mut N, handle: ReplyHandle, response: &Response);
    /// Whether its clients say when they stop waiting: until they do a response is owed, late or not. Elsewhere the time that
    /// came with a request says it, and nothing may follow.
    fn accepts_late_response(&self) -> bool {
        false
    }
    /// Instead of a response: the client's deadline has passed, and nothing may be sent for the request.
    fn request_expired(&mut self, now: Time, handle: ReplyHandle);
}
