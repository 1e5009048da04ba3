//! Requests that a client sends again, found by class and idempotency key: they join the request in flight, here or at the
//! peer, or get the response that is remembered, so that nothing is executed twice. A retry whose first sending nobody
//! remembers is refused while that may be due to a takeover without replication.
use super::replicator::{disposition_from_number, Replicator};
use super::FENCING_RETRY_AFTER;
use crate::ingress::{Disposition, IncomingRequest, ReplyHandle, NO_REQUEST_SLOT};
use crate::IngressContext;
use tidewall_failover::deduplication::RequestLocation;
use tidewall_failover::recovery::{self, UnrecordedRetryAction};
use tidewall_net::{Net, Time};

/// A client that sends a request again, and what is known of the time until which it waits.
#[derive(Clone, Copy)]
pub(crate) struct RetryingClient {
    reply_handle: ReplyHandle,
    /// It waits at least until then; none where the retry lay unread for so long that it may wait no longer.
    earliest: Option<Time>,
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

    /// It and the time until which it waits for certain; none where it may wait no longer.
    fn certain(self) -> Option<(ReplyHandle, Time)> {
        Some((self.reply_handle, self.earliest?))
    }

    /// It and the time until which it waits for the response to a request in flight with this deadline.
    pub(super) fn joining(self, deadline: Time) -> (ReplyHandle, Time) {
        let until = recovery::retry_deadline(self.earliest, self.latest, deadline);
        (self.reply_handle, until)
    }
}

impl<N: Net> IngressContext<N> {
    /// Gives a request to the one in flight or the response that it repeats, and gives back its slot; none where it is
    /// new, where failover is not configured, or where there is a response and nothing of its client's time is certain.
    pub(crate) fn find_duplicate(&mut self, request: &IncomingRequest) -> Option<usize> {
        let host = &mut self.scheduler.host;
        let now = host.net.now();
        let replicator = host.replicator.as_mut()?;
        let client = RetryingClient::new(request, now);
        let certain = client.certain();
        if certain.is_some_and(|client| refuse_unknown_retry(replicator, request, client, now)) {
            return Some(NO_REQUEST_SLOT);
        }
        let key = request.idempotency_key;
        if key.is_empty() {
            return None;
        }
        match replicator.deduplication.lookup(now, request.class, key)? {
            RequestLocation::Local(slot) => {
                let slot = *slot;
                let waiting = client.joining(host.requests[slot].deadline());
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
                let mut response = replicator.response_to(certain?, disposition, 0);
                response.payload.extend_from_slice(&payload);
                replicator.ready_responses.push_back(response);
                Some(NO_REQUEST_SLOT)
            }
        }
    }
}

/// Refuses a retry of which nobody knows what became of its first sending, where a second execution may do harm. False
/// where it may be treated as any other request.
fn refuse_unknown_retry(
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
    replicator.remember_response(now, class, key, disposition, &[]);
    let response = replicator.response_to(client, disposition, FENCING_RETRY_AFTER);
    replicator.ready_responses.push_back(response);
    true
}
