//! Recovery of the requests that the peer had in flight.
use super::*;

impl<N: Net> Gateway<N> {
    /// Goes on with what the other member had in hand, as far as that may be.
    pub(super) fn take_over_requests(&mut self, parts: &mut Parts) {
        let now = self.context.net().now();
        let mut left = false;
        for place in 0..parts.theirs.len() {
            let host = &mut self.context.scheduler.host;
            let (Some(copy), Some(kept)) = (&mut host.replicator, &parts.theirs[place]) else {
                continue;
            };
            let fenced = |wk: usize| {
                let gone = host
                    .workers
                    .get(wk)
                    .is_none_or(|w| w.state() == EndpointState::Removed);
                gone || parts.fenced.get(wk).copied().unwrap_or(false)
            };
            let (kind, two) = (copy.retry_safety_of(kept.class), copy.allows_hedging);
            let fate = fate(kind, two, (now, kept.deadline), &kept.attempts, fenced);
            if fate == RecoveryAction::AwaitFencing {
                left = true;
                continue;
            }
            let kept = parts.theirs[place].take().expect("it was there");
            let word = match fate {
                RecoveryAction::Continue => {
                    self.resume_request(kept);
                    continue;
                }
                RecoveryAction::Fail => Disposition::Failed,
                _ => Disposition::Rejected,
            };
            remember(copy, now, kept.class, &kept.idempotency_key, word, &[]);
            let mut due = copy.new_response();
            (due.clients, due.disposition, due.retry_after) = (kept.clients, Some(word), UNFENCED);
            copy.ready_responses.push_back(due);
        }
        parts.adopting = left;
    }

    pub(super) fn resume_request(&mut self, kept: ReplicatedRequest) {
        let now = self.context.net().now();
        let asked = !kept.clients.is_empty();
        self.context.scheduler.host.next_waiting_clients = kept.clients;
        let place = self.context.start_request(&IncomingRequest {
            reply_handle: NO_CLIENT,
            id: kept.id,
            class: kept.class,
            tenant: kept.tenant,
            function: &kept.function,
            lanes: kept.lanes,
            memory: kept.memory,
            cost_hint: kept.cost_hint,
            load_hint: kept.load_hint,
            remaining: kept.deadline - now,
            is_retry: true,
            idempotency_key: &kept.idempotency_key,
            payload: &kept.payload,
        });
        copy_of(&mut self.context)
            .load_request_limiter
            .undo_last_request();
        if asked {
            // Where it has its answer already this is passed by.
            copy_of(&mut self.context).shared_requests.push(place);
        }
    }

    /// Those who asked again and whose time is nearly over get their answer, whatever becomes of the event.
    pub(super) fn expire_waiting_clients(&mut self, parts: &mut Parts) {
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let Some(copy) = &mut host.replicator else {
            return;
        };
        // It is looked at once a tick.
        let tick = Time::from(parts.at.interval) * CENTISECOND / TICKS;
        let over = |t: &(ReplyHandle, Time)| now + tick + 2 * recovery::LEAST >= t.1;
        let mut late = Vec::new();
        let events = &mut host.requests;
        copy.shared_requests.retain(|place| {
            let held = &mut events[*place];
            if !held.open {
                return false;
            }
            late.extend(held.waiting_clients.iter().filter(|t| over(t)).copied());
            held.waiting_clients.retain(|t| !over(t));
            !held.waiting_clients.is_empty()
        });
        for kept in parts
            .theirs
            .iter_mut()
            .flatten()
            .filter(|k| !k.clients.is_empty())
        {
            late.extend(kept.clients.iter().filter(|t| over(t)).copied());
            kept.clients.retain(|t| !over(t));
        }
        if !late.is_empty() {
            let mut due = copy.new_response();
            (due.clients, due.disposition) = (late, Some(Disposition::Failed));
            copy.ready_responses.push_back(due);
        }
    }
}
