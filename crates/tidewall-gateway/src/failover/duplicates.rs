//! Detection of repeated requests by class and idempotency key. A repeat joins the request in flight, at this
//! gateway or at the peer, or gets the stored response, so that the request is not executed twice. A retry
//! without a record of the original request is refused while the record may be missing because of a takeover
//! without replication.
use super::replicator::{disposition_from_number, Replicator};
use super::FENCING_RETRY_AFTER;
use crate::ingress::{Disposition, IncomingRequest, ReplyHandle, NO_REQUEST_SLOT};
use crate::IngressContext;
use tidewall_failover::deduplication::RequestLocation;
use tidewall_failover::recovery::{self, UnrecordedRetryAction};
use tidewall_net::{Net, Time};

/// A client that repeats a request, and the known bounds of the time until which it waits.
#[derive(Clone, Copy)]
pub(crate) struct RetryingClient {
    reply_handle: ReplyHandle,
    /// The client waits at least until then; `None` if the retry was read so late that the client may have
    /// stopped waiting.
    earliest: Option<Time>,
    /// The client waits at most until then.
    latest: Time,
}

impl RetryingClient {
    fn new(request: &IncomingRequest, now: Time) -> RetryingClient {
        RetryingClient {
            reply_handle: request.reply_handle,
            earliest: (request.remaining > 0).then_some(now + request.remaining),
            latest: now + request.remaining + request.uncertainty,
        }
    }

    /// The client and the time until which it certainly waits; `None` if it may have stopped waiting.
    fn certain_wait(self) -> Option<(ReplyHandle, Time)> {
        Some((self.reply_handle, self.earliest?))
    }

    /// The client and the time until which it waits for the response to a request in flight with this
    /// deadline.
    pub(super) fn joined_wait(self, deadline: Time) -> (ReplyHandle, Time) {
        let until = recovery::retry_deadline(self.earliest, self.latest, deadline);
        (self.reply_handle, until)
    }
}

impl<N: Net> IngressContext<N> {
    /// Joins a repeated request to the original in flight, or answers it with the stored response. Returns
    /// the slot of the original, or `NO_REQUEST_SLOT` if this gateway has none for it. Returns `None` if the
    /// request is new, if failover is not configured, or if there is a stored response but the client may
    /// have stopped waiting.
    pub(crate) fn find_duplicate(&mut self, request: &IncomingRequest) -> Option<usize> {
        let host = &mut self.scheduler.host;
        let now = host.net.now();
        let replicator = host.replicator.as_mut()?;
        let client = RetryingClient::new(request, now);
        let certain_wait = client.certain_wait();
        if certain_wait
            .is_some_and(|client| refuse_unrecorded_retry(replicator, request, client, now))
        {
            return Some(NO_REQUEST_SLOT);
        }
        let key = request.idempotency_key;
        if key.is_empty() {
            return None;
        }
        match replicator.deduplication.lookup(now, request.class, key)? {
            RequestLocation::Local(slot) => {
                let slot = *slot;
                let waiting = client.joined_wait(host.requests[slot].deadline());
                if now >= waiting.1 {
                    let failed = replicator.response_to(waiting, Disposition::Failed, 0);
                    replicator.ready_responses.push_back(failed);
                    return Some(NO_REQUEST_SLOT);
                }
                replicator.shared_requests.push(slot);
                host.requests[slot].waiting_clients.push(waiting);
                Some(slot)
            }
            RequestLocation::Remote(slot) => {
                self.awaited_remote.push_back((*slot, client));
                Some(NO_REQUEST_SLOT)
            }
            RequestLocation::Responded {
                disposition: number,
                payload,
            } => {
                let (number, payload) = (*number, payload.clone());
                let disposition = disposition_from_number(number);
                let mut response = replicator.response_to(certain_wait?, disposition, 0);
                response.payload.extend_from_slice(&payload);
                replicator.ready_responses.push_back(response);
                Some(NO_REQUEST_SLOT)
            }
        }
    }
}

/// Refuses a retry without a record of the original request, if another execution may be harmful. Returns
/// false if the retry may be handled like any other request.
fn refuse_unrecorded_retry(
    replicator: &mut Replicator,
    request: &IncomingRequest,
    client: (ReplyHandle, Time),
    now: Time,
) -> bool {
    let (class, key) = (request.class, request.idempotency_key);
    if !request.is_retry
        || now >= replicator.history_unknown_until
        || replicator.deduplication.lookup(now, class, key).is_some()
    {
        return false;
    }
    let retry_safety = replicator.retry_safety_of(class);
    let (hedging, fenced) = (replicator.allows_hedging, replicator.all_workers_fenced);
    let disposition = match recovery::unrecorded_retry_action(retry_safety, hedging, fenced) {
        UnrecordedRetryAction::Schedule => return false,
        UnrecordedRetryAction::Reject => Disposition::Rejected,
        UnrecordedRetryAction::Fail => Disposition::Failed,
    };
    replicator.store_response(now, class, key, disposition, &[]);
    let response = replicator.response_to(client, disposition, FENCING_RETRY_AFTER);
    replicator.ready_responses.push_back(response);
    true
}
