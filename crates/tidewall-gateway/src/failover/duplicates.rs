//! Requests that the pair knows already.
use super::*;

impl<N: Net> IngressContext<N> {
    /// One of a pair may know this event: in hand, here or at the other member, or answered.
    pub(crate) fn find_duplicate(&mut self, event: &IncomingRequest) -> Option<usize> {
        let host = &mut self.scheduler.host;
        let now = host.net.now();
        let copy = host.replicator.as_mut()?;
        let until = now + event.remaining;
        if event.is_retry
            && now < copy.history_unknown_until
            && copy
                .deduplication
                .lookup(now, event.class, event.idempotency_key)
                .is_none()
        {
            let kind = copy.retry_safety_of(event.class);
            if let Some(later) = unknown(kind, copy.allows_hedging, copy.all_workers_fenced) {
                let word = if later {
                    Disposition::Rejected
                } else {
                    Disposition::Failed
                };
                remember(copy, now, event.class, event.idempotency_key, word, &[]);
                let mut due = copy.new_response();
                due.clients.push((event.reply_handle, until));
                (due.disposition, due.retry_after) = (Some(word), UNFENCED);
                copy.ready_responses.push_back(due);
                return Some(usize::MAX);
            }
        }
        if event.idempotency_key.is_empty() {
            return None;
        }
        match copy
            .deduplication
            .lookup(now, event.class, event.idempotency_key)?
        {
            RequestLocation::Local(place) => {
                let place = *place;
                copy.shared_requests.push(place);
                host.requests[place]
                    .waiting_clients
                    .push((event.reply_handle, until));
                Some(place)
            }
            RequestLocation::Remote(at) => {
                self.awaited_remote
                    .push_back((*at, event.reply_handle, until));
                Some(usize::MAX)
            }
            RequestLocation::Responded(number, payload) => {
                let (number, payload) = (*number, payload.clone());
                let mut due = copy.new_response();
                due.clients.push((event.reply_handle, until));
                due.disposition = Some(word(number));
                due.payload.extend_from_slice(&payload);
                copy.ready_responses.push_back(due);
                Some(usize::MAX)
            }
        }
    }

    /// The epoch under which this gateway serves; 0 where it is not one of a pair.
    pub fn epoch(&self) -> u64 {
        self.scheduler
            .host
            .replicator
            .as_ref()
            .map_or(0, |c| c.epoch)
    }
}
