//! What is held back until the peer has acknowledged the records written before it: attempts, load requests and responses,
//! in the order in which they came. A response is held back no longer than its clients wait: who would stop waiting is told
//! a failure instead, which promises nothing that the peer could contradict.
use crate::ingress::{Disposition, ReplyHandle, LATE_RESPONSE_GRACE, NO_CLIENT};
use std::collections::VecDeque;
use tidewall_failover::recovery::{give_up_link_at, give_up_record_at};
use tidewall_net::Time;
use tracing::debug;

/// A response on its way to the clients that wait for it.
#[derive(Default)]
pub struct PendingResponse {
    /// The client's own id of the request, for logs; 0 where the request is not in flight here.
    pub request: u64,
    /// The clients, each with the time when it gives up.
    pub clients: Vec<(ReplyHandle, Time)>,
    /// What they are told; none counts as failed.
    pub disposition: Option<Disposition>,
    /// Where rejected: after how many tenths of a millisecond to come back; 0 where that is left open.
    pub retry_after: Time,
    /// Tenths of a millisecond that the gateway had the request; 0 where it did not have it itself.
    pub elapsed: Time,
    /// The response's payload.
    pub payload: Vec<u8>,
}

impl PendingResponse {
    /// Empties it, and keeps its buffers for another response.
    pub(super) fn clear(&mut self) {
        self.request = 0;
        self.clients.clear();
        self.disposition = None;
        self.retry_after = 0;
        self.elapsed = 0;
        self.payload.clear();
    }
}

/// What is held back until all records written before it are acknowledged.
pub enum DeferredAction {
    /// A call to a worker is given its connection.
    SendCall {
        /// The call's slot.
        call: usize,
        /// The call's generation: the slot may serve another call by then.
        generation: u32,
    },
    /// A response goes to its clients.
    Respond(PendingResponse),
}

struct HeldBack {
    /// The last record written before it.
    sequence: u64,
    /// When it began to wait.
    since: Time,
    action: DeferredAction,
}

impl HeldBack {
    /// The times when the clients of a response stop waiting; none for a call.
    fn client_deadlines(&self) -> impl Iterator<Item = Time> + '_ {
        let clients = match &self.action {
            DeferredAction::Respond(response) => response.clients.as_slice(),
            DeferredAction::SendCall { .. } => &[],
        };
        let waiting = clients.iter().filter(|client| client.0 != NO_CLIENT);
        waiting.map(|client| client.1)
    }

    /// Whether a client would stop waiting if its response went on waiting for the peer. `usual_wait` as in
    /// [`give_up_link_at`].
    fn is_urgent(&self, now: Time, usual_wait: Time) -> bool {
        self.client_deadlines()
            .min()
            .is_some_and(|deadline| now >= give_up_link_at(self.since, deadline, usual_wait))
    }

    /// When the first of its clients is told a failure instead.
    fn given_up_at(&self) -> Option<Time> {
        self.client_deadlines()
            .map(|deadline| record_given_up_at(self.since, deadline))
            .min()
    }

    /// Moves the clients that can wait no longer into `failure`; false where there are none.
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
            "record given up"
        );
        true
    }
}

/// When a client that gives up at `deadline` is told a failure, where its response began to wait at `since`.
fn record_given_up_at(since: Time, deadline: Time) -> Time {
    give_up_record_at(since, deadline, deadline + LATE_RESPONSE_GRACE)
}

/// The actions that are held back, in the order in which they came.
pub(super) struct HeldBackQueue {
    queue: VecDeque<HeldBack>,
    /// How long an acknowledgement may take while the peer is well, in tenths of a millisecond.
    usual_wait: Time,
    /// The earliest time for which a timer is set.
    timer_at: Option<Time>,
}

impl HeldBackQueue {
    /// An empty queue; `usual_wait` as in [`give_up_link_at`].
    pub(super) fn new(usual_wait: Time) -> HeldBackQueue {
        HeldBackQueue {
            queue: VecDeque::new(),
            usual_wait,
            timer_at: None,
        }
    }

    /// How many actions are held back.
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
                "response waits for its record"
            );
        }
        self.queue.push_back(HeldBack {
            sequence,
            since: now,
            action,
        });
    }

    /// The next action that is held back no longer: all are free without `acknowledged`, else those whose records are among
    /// the acknowledged ones.
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
                "response no longer waits"
            );
        }
        self.queue.pop_front().map(|first| first.action)
    }

    /// Whether the first action has been held back for longer than `limit`, or a response for longer than its clients allow the
    /// link.
    pub(super) fn is_too_slow(&self, now: Time, limit: Time) -> bool {
        let overdue = |first: &HeldBack| now > first.since + limit;
        let urgent = |held: &HeldBack| held.is_urgent(now, self.usual_wait);
        self.queue.front().is_some_and(overdue) || self.queue.iter().any(urgent)
    }

    /// Moves the clients that can wait no longer into failures, one for each response that is given up.
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

    /// When a timer has to be set for the last action, if it is a response that is given up soon and before all others.
    pub(super) fn timer_for_last(&mut self, now: Time) -> Option<Time> {
        let given_up_at = self.queue.back()?.given_up_at();
        self.earlier_timer(now, given_up_at)
    }

    /// When a timer has to be set for what is left, after what was due at `now` was taken.
    pub(super) fn timer_for_rest(&mut self, now: Time) -> Option<Time> {
        self.timer_at = self.timer_at.filter(|set_for| *set_for > now);
        let given_up_at = self.queue.iter().filter_map(HeldBack::given_up_at).min();
        self.earlier_timer(now, given_up_at)
    }

    /// Notes a timer for `at`, where that is soon and no earlier one is set. What is due later is looked at again with the
    /// next ticks: most of it does not wait that long.
    fn earlier_timer(&mut self, now: Time, at: Option<Time>) -> Option<Time> {
        let is_soon = |at: &Time| *at <= now + self.usual_wait;
        let is_first = |at: &Time| self.timer_at.is_none_or(|set_for| *at < set_for);
        let earlier = at.filter(is_soon).filter(is_first);
        self.timer_at = earlier.or(self.timer_at);
        earlier
    }
}
