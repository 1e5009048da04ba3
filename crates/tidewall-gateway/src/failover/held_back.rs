//! Actions that are held back until the peer has acknowledged the records written before them: attempts, load
//! requests and responses, in the order in which they were deferred. A response is held back no longer than
//! its clients wait: a client that would stop waiting gets a failure instead, which the peer cannot
//! contradict.
use crate::ingress::{Disposition, ReplyHandle, LATE_RESPONSE_GRACE, NO_CLIENT};
use std::collections::VecDeque;
use tidewall_failover::recovery::{give_up_link_at, give_up_record_at};
use tidewall_net::Time;
use tracing::debug;

/// A response that is to be sent to the clients that wait for it.
#[derive(Default)]
pub struct PendingResponse {
    /// The client's id of the request, for logs; 0 if the request is not in flight at this gateway.
    pub request: u64,
    /// The clients, each with the time at which it stops waiting.
    pub clients: Vec<(ReplyHandle, Time)>,
    /// The disposition; `None` counts as failed.
    pub disposition: Option<Disposition>,
    /// For a rejection: the Retry-After in tenths of a millisecond; 0 if none is given.
    pub retry_after: Time,
    /// How long the request was in flight at this gateway, in tenths of a millisecond; 0 if it never was.
    pub elapsed: Time,
    /// The response's payload.
    pub payload: Vec<u8>,
}

impl PendingResponse {
    /// Resets the response and keeps its buffers for another one.
    pub(super) fn clear(&mut self) {
        self.request = 0;
        self.clients.clear();
        self.disposition = None;
        self.retry_after = 0;
        self.elapsed = 0;
        self.payload.clear();
    }
}

/// An action that is held back until all records written before it are acknowledged.
pub enum DeferredAction {
    /// Assigns a connection to a call, which sends it to its worker.
    SendCall {
        /// The call's slot.
        call: usize,
        /// The call's generation, as the slot may have been reused for another call since.
        generation: u32,
    },
    /// Sends a response to its clients.
    Respond(PendingResponse),
}

struct HeldBackAction {
    /// The number of the last record written before the action.
    sequence: u64,
    /// When the action was deferred.
    since: Time,
    action: DeferredAction,
}

impl HeldBackAction {
    /// The times at which the clients of a response stop waiting; empty for a call.
    fn client_deadlines(&self) -> impl Iterator<Item = Time> + '_ {
        let clients = match &self.action {
            DeferredAction::Respond(response) => response.clients.as_slice(),
            DeferredAction::SendCall { .. } => &[],
        };
        let waiting = clients.iter().filter(|client| client.0 != NO_CLIENT);
        waiting.map(|client| client.1)
    }

    /// Whether the link has to be given up so that the first client still gets its response before it stops
    /// waiting. `usual_wait` as in [`give_up_link_at`].
    fn is_urgent(&self, now: Time, usual_wait: Time) -> bool {
        self.client_deadlines()
            .min()
            .is_some_and(|deadline| now >= give_up_link_at(self.since, deadline, usual_wait))
    }

    /// When the first client of the response gets a failure instead.
    fn given_up_at(&self) -> Option<Time> {
        self.client_deadlines()
            .map(|deadline| record_given_up_at(self.since, deadline))
            .min()
    }

    /// Moves the clients that cannot wait any longer into `failure`; returns false if there are none.
    fn move_given_up(&mut self, now: Time, failure: &mut PendingResponse) -> bool {
        let since = self.since;
        let DeferredAction::Respond(response) = &mut self.action else {
            return false;
        };
        let is_given_up = |client: &(ReplyHandle, Time)| now >= record_given_up_at(since, client.1);
        let given_up = response.clients.iter().filter(|client| is_given_up(client));
        failure.clients.extend(given_up.copied());
        if failure.clients.is_empty() {
            return false;
        }
        response.clients.retain(|client| !is_given_up(client));
        failure.request = response.request;
        failure.elapsed = response.elapsed + (now - since);
        failure.disposition = Some(Disposition::Failed);
        debug!(
            request = response.request,
            waited = now - since,
            record = self.sequence,
            "gave up waiting for the acknowledgement of a response's record"
        );
        true
    }
}

/// Returns when a client gets a failure that stops waiting at `deadline` and whose response has waited since
/// `since`.
fn record_given_up_at(since: Time, deadline: Time) -> Time {
    give_up_record_at(since, deadline, deadline + LATE_RESPONSE_GRACE)
}

/// The actions held back, in the order in which they were deferred.
pub(super) struct HeldBackQueue {
    queue: VecDeque<HeldBackAction>,
    /// How long the acknowledgement of a healthy peer takes at most, in tenths of a millisecond.
    usual_wait: Time,
    /// The earliest time for which a timer is set, if any.
    timer_at: Option<Time>,
}

impl HeldBackQueue {
    /// Creates an empty queue; `usual_wait` as in [`give_up_link_at`].
    pub(super) fn new(usual_wait: Time) -> HeldBackQueue {
        HeldBackQueue {
            queue: VecDeque::new(),
            usual_wait,
            timer_at: None,
        }
    }

    /// The number of actions held back.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Holds an action back until the record `sequence` is acknowledged.
    pub(super) fn push(&mut self, now: Time, sequence: u64, action: DeferredAction) {
        if let DeferredAction::Respond(response) = &action {
            debug!(
                request = response.request,
                disposition = response.disposition.map(Disposition::wire_text),
                record = sequence,
                "response waits for the acknowledgement of its record"
            );
        }
        self.queue.push_back(HeldBackAction {
            sequence,
            since: now,
            action,
        });
    }

    /// Removes and returns the next action that may be released. `acknowledged` is the number of the last
    /// acknowledged record; `None` releases all actions.
    pub(super) fn pop(&mut self, now: Time, acknowledged: Option<u64>) -> Option<DeferredAction> {
        let first = self.queue.front()?;
        if acknowledged.is_some_and(|acknowledged| first.sequence > acknowledged) {
            return None;
        }
        if let DeferredAction::Respond(response) = &first.action {
            debug!(
                request = response.request,
                waited = now - first.since,
                recorded = acknowledged.is_some(),
                "response no longer waits for its record"
            );
        }
        self.queue.pop_front().map(|first| first.action)
    }

    /// Whether the first action has been held back for longer than `limit`, or the link has to be given up
    /// for the clients of any response.
    pub(super) fn is_too_slow(&self, now: Time, limit: Time) -> bool {
        let is_overdue = |first: &HeldBackAction| now > first.since + limit;
        let is_urgent = |held: &HeldBackAction| held.is_urgent(now, self.usual_wait);
        self.queue.front().is_some_and(is_overdue) || self.queue.iter().any(is_urgent)
    }

    /// Moves the clients that cannot wait any longer into failures, one for each response concerned.
    pub(super) fn take_given_up(&mut self, now: Time) -> Vec<PendingResponse> {
        let mut failures = Vec::new();
        let mut failure = PendingResponse::default();
        for held in &mut self.queue {
            if held.move_given_up(now, &mut failure) {
                failures.push(std::mem::take(&mut failure));
            }
        }
        failures
    }

    /// Returns when to set a timer for the last action, if that is a response that is given up soon and
    /// before all others.
    pub(super) fn timer_for_last(&mut self, now: Time) -> Option<Time> {
        let given_up_at = self.queue.back()?.given_up_at();
        self.note_earlier_timer(now, given_up_at)
    }

    /// Returns when to set a timer for the remaining actions, after those due at `now` were taken.
    pub(super) fn timer_for_rest(&mut self, now: Time) -> Option<Time> {
        self.timer_at = self.timer_at.filter(|set_for| *set_for > now);
        let given_up_at = self
            .queue
            .iter()
            .filter_map(HeldBackAction::given_up_at)
            .min();
        self.note_earlier_timer(now, given_up_at)
    }

    /// Returns `at` and notes that a timer is set for it, if it is soon and no earlier timer is set. Later
    /// times need no timer: the next ticks check them again, and most responses are released before.
    fn note_earlier_timer(&mut self, now: Time, at: Option<Time>) -> Option<Time> {
        let is_soon = |at: &Time| *at <= now + self.usual_wait;
        let is_first = |at: &Time| self.timer_at.is_none_or(|set_for| *at < set_for);
        let earlier = at.filter(is_soon).filter(is_first);
        self.timer_at = earlier.or(self.timer_at);
        earlier
    }
}
