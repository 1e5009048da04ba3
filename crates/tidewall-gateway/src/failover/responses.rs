//! Delivery of responses, held until the peer has recorded them.
use super::*;

impl<N: Net> Gateway<N> {
    /// The event's answer, which is used up: it goes to whoever waits for it, at once or when it is recorded.
    pub(crate) fn send_final_response(&mut self, given: &LocalResponse, payload: &[u8]) {
        let host = &mut self.context.scheduler.host;
        if host.replicator.is_some() {
            if let Some(due) = host.replicate_response(given, payload) {
                self.send_pending_response(due);
            }
            return;
        }
        let LocalResponse {
            reply_handle: ticket,
            disposition: word,
            retry_after: come_back,
            elapsed: took,
            ..
        } = *given;
        let answer = Response {
            disposition: word,
            retry_after: come_back,
            reason: "",
            payload,
            elapsed: took,
        };
        self.ingresses[ticket.ingress].respond(&mut host.net, ticket, &answer);
    }

    pub(super) fn send_pending_response(&mut self, due: PendingResponse) {
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let word = due.disposition.unwrap_or(Disposition::Failed);
        for (ticket, until) in due.clients.iter().filter(|t| t.0 != NO_CLIENT) {
            if now > *until {
                host.counters.expired += 1;
                self.ingresses[ticket.ingress].request_expired(now, *ticket);
                continue;
            }
            let (come_back, took) = (due.retry_after, due.elapsed);
            let answer = Response {
                disposition: word,
                retry_after: come_back,
                reason: "",
                payload: &due.payload,
                elapsed: took,
            };
            self.ingresses[ticket.ingress].respond(&mut host.net, *ticket, &answer);
        }
        if let Some(copy) = &mut host.replicator {
            copy.recycle_response(due);
        }
    }

    /// One more thing of the pair's own; false where nothing is left.
    pub(crate) fn deliver_failover_outcome(&mut self) -> bool {
        let host = &mut self.context.scheduler.host;
        let Some(copy) = &mut host.replicator else {
            return false;
        };
        if let Some(later) = copy.next_recorded() {
            match later {
                DeferredAction::Send { key, count } => {
                    if host
                        .calls
                        .get(key)
                        .is_some_and(|o| o.generation == count && !o.ended)
                    {
                        host.assign_connection(key);
                    }
                }
                DeferredAction::Respond(due) => self.send_pending_response(due),
            }
        } else if let Some(due) = copy.ready_responses.pop_front() {
            self.send_pending_response(due);
        } else if let Some((voter, of)) = copy.missing_votes.pop_front() {
            self.with_role(|seat, now, act| seat.vote_missing(now, act, voter, of));
        } else if std::mem::take(&mut copy.epoch_rejected) {
            self.with_role(|seat, _, act| seat.epoch_rejected(act));
        } else if copy.connection_overflowed {
            if let Some(conn) = copy.conn {
                self.context.net().reset(conn);
                self.set_owner(conn, Owner::Nobody);
            }
            self.peer_connection_closed();
        } else if let Some((at, ticket, until)) = self.context.awaited_remote.pop_front() {
            let theirs = self.failover.as_mut().map(|p| &mut p.state.theirs);
            match theirs.and_then(|t| t.get_mut(at)).and_then(Option::as_mut) {
                Some(kept) => kept.clients.push((ticket, until)),
                None => {
                    // It ended in the same wake-up: it is asked for again by whoever still wants it.
                    let mut due = copy_of(&mut self.context).new_response();
                    (due.disposition, due.retry_after) = (Some(Disposition::Rejected), UNFENCED);
                    due.clients.push((ticket, until));
                    self.send_pending_response(due);
                }
            }
        } else {
            let Some(pair) = &self.failover else {
                return false;
            };
            let resting = pair.role_machine.state() == Role::Draining
                || pair.state.leaving && pair.role_machine.state() == Role::Standby;
            if resting
                && self.requests_in_flight() == 0
                && self.stop_reason == StopReason::Drained
                && copy_of(&mut self.context).waiting_count() == 0
                && !self.has_unread_responses()
            {
                let was = self.role();
                self.with_role(|seat, now, act| seat.drained(now, act));
                if was == Some(Role::Draining) && self.role() == Some(Role::Standby) {
                    self.close_client_connections();
                }
            }
            return false;
        }
        true
    }

    /// Clients that are still connected are to find the other member.
    pub(super) fn close_client_connections(&mut self) {
        if let Some(copy) = &mut self.context.scheduler.host.replicator {
            (copy.epoch, copy.streaming) = (0, false);
        }
        for place in 0..self.owners.len() {
            let (count, owner) = self.owners[place];
            if let Owner::Ingress(_) = owner {
                self.context.net().abort(Conn::new(place, count));
            }
        }
    }
}
