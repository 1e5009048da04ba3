//! Requests that a client sends again, found by class and idempotency key: they join the request in flight, here or at the
//! peer, or get the response that is remembered, so that nothing is executed twice. A retry whose first sending nobody
//! remembers is refused while that may be due to a takeover without replication.
use super::replicator::{disposition_from_number, Replicator};
use super::FENCING_RETRY_AFTER;
use crate::ingress::{Disposition, IncomingRequest, NO_REQUEST_SLOT};
use crate::IngressContext;
use tidewall_failover::deduplication::RequestLocation;
use tidewall_failover::recovery::{self, UnrecordedRetryAction};
use tidewall_net::{Net, Time};

impl<N: Net> IngressContext<N> {
    /// Gives a request to the one in flight or the response that it repeats, and gives back its slot; none where it is
    /// new, or failover is not configured.
    pub(crate) fn find_duplicate(&mut self, request: &IncomingRequest) -> Option<usize> {
        let host = &mut self.scheduler.host;
        let now = host.net.now();
        let replicator = host.replicator.as_mut()?;
        let client = (request.reply_handle, now + request.remaining);
        if refuse_unknown_retry(replicator, request, now) {
            return Some(NO_REQUEST_SLOT);
        }
        let key = request.idempotency_key;
        if key.is_empty() {
            return None;
        }
        match replicator.deduplication.lookup(now, request.class, key)? {
            RequestLocation::Local(slot) => {
                let slot = *slot;
                replicator.shared_requests.push(slot);
                host.requests[slot].waiting_clients.push(client);
                Some(slot)
            }
            RequestLocation::Remote(slot) => {
                self.awaited_remote.push_back((*slot, client.0, client.1));
                Some(NO_REQUEST_SLOT)
            }
            RequestLocation::Responded {
                disposition: number,
                payload,
            } => {
                let (number, payload) = (*number, payload.clone());
                let mut response = replicator.new_response();
                response.clients.push(client);
                response.disposition = Some(disposition_from_number(number));
                response.payload.extend_from_slice(&payload);
                replicator.ready_responses.push_back(response);
                Some(NO_REQUEST_SLOT)
            }
        }
    }
}

/// Refuses a retry of which nobody knows what became of its first sending, where a second execution may do harm. False
/// where it may be treated as any other request.
fn refuse_unknown_retry(replicator: &mut Replicator, request: &IncomingRequest, now: Time) -> bool {
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
    let mut response = replicator.new_response();
    let client = (request.reply_handle, now + request.remaining);
    response.clients.push(client);
    response.disposition = Some(disposition);
    response.retry_after = FENCING_RETRY_AFTER;
    replicator.ready_responses.push_back(response);
    true
}
