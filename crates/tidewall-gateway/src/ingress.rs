//! The interface between the gateway and its client protocols. In every protocol a request arrives as
//! [`IncomingRequest`], and its one response is sent with [`Ingress::respond`].
use crate::IngressContext;
use tidewall_net::{Conn, Net, Time};
use tidewall_wire::{Field, WireError};

/// Identifies a request to the ingress on which it arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyHandle {
    /// The ingress's index.
    pub ingress: usize,
    /// A key that the ingress chooses.
    pub key: u64,
}

/// The reply handle of a request whose response no client waits for.
pub const NO_CLIENT: ReplyHandle = ReplyHandle {
    ingress: usize::MAX,
    key: 0,
};

/// The slot of a request that is not in flight at this gateway: it is not admitted yet, or it waits for a
/// request with the same idempotency key at the other member of the failover pair. No admitted request has
/// this slot.
pub const NO_REQUEST_SLOT: usize = usize::MAX;

/// How long after the deadline a response is still sent: 25 ms. A client's timers are not more precise on a
/// busy machine, and half of the 50 ms that the protocol allows remains for the transmission. After a
/// longer delay nothing may be sent.
pub const LATE_RESPONSE_GRACE: Time = 250;

/// Returns the time that a client certainly still waits, given the time `remaining` that its request states
/// and the time `waited` that the request may have been unread. Returns `None` if too little is certain: an
/// admitted request must be answered before its client stops waiting, and the larger the uncertain part is,
/// the longer both a response and silence could be wrong. With a limit of a quarter none of 2,000 simulated
/// runs of a site with random seeds violated a rule; without a limit, some did.
pub fn remaining_time(remaining: Time, waited: Time) -> Option<Time> {
    let certain = remaining.saturating_sub(waited);
    (certain > 0 && 4 * waited <= remaining).then_some(certain)
}

/// The outcome of a request: the three kinds of final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// A worker completed the request; `handled` on the wire.
    Completed,
    /// The request was not executed and may be sent again, after Retry-After if that is given; `deferred`
    /// on the wire.
    Rejected,
    /// The request failed and must not be sent again; `dead-lettered` on the wire.
    Failed,
}

impl Disposition {
    /// Parses a disposition's name on the wire.
    ///
    /// # Errors
    /// If the name is unknown.
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

    /// The disposition's name on the wire.
    pub fn wire_text(self) -> &'static str {
        match self {
            Disposition::Completed => "handled",
            Disposition::Rejected => "deferred",
            Disposition::Failed => "dead-lettered",
        }
    }
}

/// The one final response of a request.
pub struct Response<'a> {
    /// The final disposition.
    pub disposition: Disposition,
    /// For a rejected request: Retry-After, in tenths of a millisecond; 0 if none is given.
    pub retry_after: Time,
    /// A human-readable reason; may be empty.
    pub reason: &'a str,
    /// For a completed request: the worker's answer.
    pub payload: &'a [u8],
    /// How long the request was in flight at this gateway, in tenths of a millisecond.
    pub elapsed: Time,
}

/// A request as it arrives; its fields borrow from the receive buffer.
pub struct IncomingRequest<'a> {
    /// Identifies the client that gets the response.
    pub reply_handle: ReplyHandle,
    /// The connection on which the client reports that it abandons the request; none if the client has no
    /// connection of its own.
    pub client: Option<Conn>,
    /// The client's id for the request, for logs and workers.
    pub id: u64,
    /// The request class, an index of `IngressContext::class_names`.
    pub class: usize,
    /// The tenant, an index of `IngressContext::tenant_names`; none if the request names no configured
    /// tenant.
    pub tenant: Option<usize>,
    /// The function to call.
    pub function: &'a str,
    /// Lanes that the request occupies on a worker, at least 1.
    pub lanes: u32,
    /// Memory that an instance of the function needs, in the unit of the settings.
    pub memory: f64,
    /// Expected execution time, in tenths of a millisecond; 0 if unknown.
    pub cost_hint: Time,
    /// Usual time to load an instance, in tenths of a millisecond; 0 if unknown.
    pub load_hint: Time,
    /// How long the client certainly still waits, in tenths of a millisecond.
    pub remaining: Time,
    /// How much longer the client may wait, because the request may have been unread for up to this time.
    pub uncertainty: Time,
    /// Whether the client has sent the request before.
    pub is_retry: bool,
    /// The idempotency key; empty if the request has none.
    pub idempotency_key: &'a [u8],
    /// The payload that is passed to the worker.
    pub payload: &'a [u8],
}

impl IncomingRequest<'_> {
    /// Whether the time that the client certainly waits suffices to admit the request.
    pub fn is_in_time(&self) -> bool {
        remaining_time(self.remaining + self.uncertainty, self.uncertainty).is_some()
    }
}

/// A client protocol. It parses its clients' bytes and tells `IngressContext` which requests arrive and
/// which clients leave.
pub trait Ingress<N: Net> {
    /// Called when the ingress has been added to the gateway. An ingress that needs timers sets its first
    /// one here.
    fn started(&mut self, _context: &mut IngressContext<N>) {}
    /// Called when a timer of `IngressContext::set_ingress_timer` fired.
    fn timer_fired(&mut self, _context: &mut IngressContext<N>) {}
    /// Called when a client has connected.
    fn accepted(&mut self, context: &mut IngressContext<N>, conn: Conn);
    /// Called with received bytes; returns how many of them were consumed. The rest is passed again
    /// together with the bytes that follow.
    fn received(&mut self, context: &mut IngressContext<N>, conn: Conn, bytes: &[u8]) -> usize;
    /// Called when the connection's socket accepts more bytes.
    fn writable(&mut self, context: &mut IngressContext<N>, conn: Conn);
    /// Called when the connection has closed.
    fn closed(&mut self, context: &mut IngressContext<N>, conn: Conn);
    /// Called with the first part of a response; more follows.
    fn response_started(&mut self, net: &mut N, handle: ReplyHandle, payload: &[u8]);
    /// Sends the one final response. It is called once per reply handle, and not after
    /// `IngressContext::client_abandoned`.
    fn respond(&mut self, net: &mut N, handle: ReplyHandle, response: &Response);
    /// Whether the ingress's clients report when they stop waiting. If they do, a response is owed until
    /// then, late or not. Otherwise the time in the request determines when a client stops waiting, and
    /// nothing may be sent afterwards.
    fn accepts_late_response(&self) -> bool {
        false
    }
    /// Whether a client that closes its connection, or its sending side alone, abandons its requests.
    fn close_abandons_requests(&self) -> bool {
        true
    }
    /// Called instead of `respond` if the client's deadline has passed and nothing may be sent for the
    /// request.
    fn request_expired(&mut self, now: Time, handle: ReplyHandle);
}
