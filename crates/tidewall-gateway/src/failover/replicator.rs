//! The sending side of replication: numbers and writes records, tracks the peer's acknowledgements, and holds
//! back actions until their records are acknowledged. It also owns the state that both gateways need for a
//! takeover: the deduplication table and the load request limiter. It takes no part in role decisions.
use super::control_messages::PeerControl;
use super::held_back::{DeferredAction, HeldBackQueue, PendingResponse};
use super::records::{RecordNames, ReplicationRecord};
use super::FailoverConfig;
use crate::ingress::{Disposition, ReplyHandle};
use std::collections::VecDeque;
use tidewall_failover::deduplication::DeduplicationTable;
use tidewall_failover::leadership::Leadership;
use tidewall_failover::load_request_limit::LoadRequestLimiter;
use tidewall_failover::proposal::{ProposalPhase, ReplyTo};
use tidewall_failover::recovery::RetrySafety;
use tidewall_net::{Conn, Net, Time};

/// The maximum number of responses whose buffers are kept for reuse: more than wait during one round trip to
/// the peer at usual rates.
const MAX_SPARE_RESPONSES: usize = 256;

/// The ballot of a vote request, and whether it asks the worker to accept (phase 2) or to promise (phase 1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VoteRound {
    pub ballot: u64,
    pub accepting: bool,
}

impl VoteRound {
    /// The request in the form that the proposer uses to match replies.
    pub(super) fn reply_to(self) -> ReplyTo {
        let phase = match self.accepting {
            true => ProposalPhase::Accept,
            false => ProposalPhase::Prepare,
        };
        ReplyTo {
            ballot: self.ballot,
            phase,
        }
    }
}

/// A voter that will not reply: it has no address, or its connection was lost.
pub(super) struct MissingVote {
    pub voter: usize,
    pub round: VoteRound,
}

/// The replication state of one gateway of a pair.
pub struct Replicator {
    /// This gateway's position in the pair, 0 or 1: the one whose name sorts first is 0.
    pub member: usize,
    /// The epoch under which attempts and load requests are sent; 0 while this gateway does not serve and has
    /// no requests in flight.
    pub epoch: u64,
    /// The connection to the peer.
    pub conn: Option<Conn>,
    /// Whether records are written to the connection. Otherwise they are only numbered.
    pub streaming: bool,
    /// A snapshot is being sent, so the peer may receive the response of a request that it does not know yet.
    pub snapshot_incomplete: bool,
    /// Whether attempts and responses are held back until the peer has acknowledged their records, unless a
    /// second execution is harmless.
    pub waits_for_records: bool,
    /// The number of the last record, counted from the start of this process.
    pub last_sequence: u64,
    /// The number of the last record that is acknowledged or needs no acknowledgement.
    pub acknowledged_sequence: u64,
    /// The number of records before the first one on this connection. The peer counts from 1 on each
    /// connection.
    pub sequence_base: u64,
    /// The number of records written to this connection.
    pub sent_on_connection: u64,
    held_back: HeldBackQueue,
    /// The connection's buffer was full: the peer is too slow, and the connection has to be reset.
    pub connection_overflowed: bool,
    /// Requests by idempotency key: in flight at this gateway or at the peer, or with a response.
    pub deduplication: DeduplicationTable,
    /// Limits load requests by the number of client requests received, counted over both gateways.
    pub load_request_limiter: LoadRequestLimiter,
    /// By request class: whether a request may be executed again.
    retry_safety: Vec<RetrySafety>,
    /// Whether two attempts of one request may be executed concurrently.
    pub allows_hedging: bool,
    /// By request class: how long a response is stored.
    retention: Vec<Time>,
    /// The leadership that workers are asked to accept.
    pub leadership: Leadership,
    pub(super) missing_votes: VecDeque<MissingVote>,
    /// A worker rejected this gateway's epoch.
    pub epoch_rejected: bool,
    /// Responses that need not wait for a record and are sent with the next deferred outcomes.
    pub ready_responses: VecDeque<PendingResponse>,
    /// Slots of requests for which further clients wait; the deadlines of these clients are checked at each
    /// tick.
    pub shared_requests: Vec<usize>,
    /// How long an action may be held back before the peer counts as too slow, in tenths of a millisecond.
    pub silence_timeout: Time,
    /// Until then a repeated request may have been in flight at an incarnation that ended without replicating
    /// it.
    pub history_unknown_until: Time,
    /// No worker executes attempts of earlier epochs any longer.
    pub all_workers_fenced: bool,
    spare_responses: Vec<PendingResponse>,
    replicates: bool,
    /// The encoding buffer, reused for each frame.
    frame_buffer: Vec<u8>,
}

impl Replicator {
    /// Creates the replicator of a gateway that has just started and is not connected to its peer yet.
    pub(super) fn new(
        member: usize,
        config: &FailoverConfig,
        silence_timeout: Time,
        usual_wait: Time,
    ) -> Replicator {
        let (window, base_allowance, allowance_per_request) = config.load_request_limit;
        Replicator {
            member,
            epoch: 0,
            conn: None,
            streaming: false,
            snapshot_incomplete: false,
            // Until the voters have granted a leadership without the peer.
            waits_for_records: true,
            last_sequence: 0,
            acknowledged_sequence: 0,
            sequence_base: 0,
            sent_on_connection: 0,
            held_back: HeldBackQueue::new(usual_wait),
            connection_overflowed: false,
            deduplication: DeduplicationTable::default(),
            load_request_limiter: LoadRequestLimiter::new(
                window,
                base_allowance,
                allowance_per_request,
            ),
            retry_safety: config.retry_safety.clone(),
            allows_hedging: config.allows_hedging,
            retention: config.retention.clone(),
            leadership: Leadership::default(),
            missing_votes: VecDeque::new(),
            epoch_rejected: false,
            ready_responses: VecDeque::new(),
            shared_requests: Vec::new(),
            silence_timeout,
            history_unknown_until: 0,
            all_workers_fenced: false,
            spare_responses: Vec::new(),
            replicates: config.replicates,
            frame_buffer: Vec::new(),
        }
    }

    /// Whether a request of this class may be executed again.
    pub fn retry_safety_of(&self, class: usize) -> RetrySafety {
        self.retry_safety[class]
    }

    /// How long a response to a request of this class is stored, in tenths of a millisecond.
    pub fn retention_of(&self, class: usize) -> Time {
        self.retention[class]
    }

    /// Notes that for `duration` from `now` on a repeated request may have been in flight at an incarnation
    /// that ended without replicating it. This gateway detected that, or the peer that served before did.
    pub fn history_unknown_for(&mut self, now: Time, duration: Time) {
        self.history_unknown_until = self.history_unknown_until.max(now + duration);
    }

    /// Numbers a record and, while streaming, writes it to the connection.
    pub fn send_record<N: Net>(
        &mut self,
        net: &mut N,
        record: &ReplicationRecord,
        names: RecordNames,
    ) {
        self.last_sequence += 1;
        let Some(conn) = self.conn.filter(|_| self.streaming) else {
            return;
        };
        if !self.replicates && record.is_request_progress() {
            self.acknowledged_sequence += 1;
            self.sequence_base += 1;
            return;
        }
        self.sent_on_connection += 1;
        self.frame_buffer.clear();
        record.encode(&mut self.frame_buffer, names);
        if !net.write(conn, &self.frame_buffer) {
            self.connection_overflowed = true;
            self.streaming = false;
        }
    }

    /// Writes a control message to the peer, if it is connected.
    pub fn send_control<N: Net>(&mut self, net: &mut N, message: &PeerControl) {
        let Some(conn) = self.conn else { return };
        self.frame_buffer.clear();
        message.encode(&mut self.frame_buffer);
        self.connection_overflowed |= !net.write(conn, &self.frame_buffer);
    }

    /// Holds an action back until all records written so far are acknowledged. Actions are released in the
    /// order in which they were deferred.
    pub(super) fn defer(&mut self, now: Time, action: DeferredAction) {
        self.held_back.push(now, self.last_sequence, action);
    }

    /// Holds a response back in the same way. If a timer has to be set, returns when to call
    /// [`Self::give_up_records`].
    #[must_use]
    pub(super) fn defer_response(&mut self, now: Time, response: PendingResponse) -> Option<Time> {
        self.defer(now, DeferredAction::Respond(response));
        self.held_back.timer_for_last(now)
    }

    /// Removes and returns the next action that no longer has to be held back.
    pub(super) fn next_ready_action(&mut self, now: Time) -> Option<DeferredAction> {
        let acknowledged = self.waits_for_records.then_some(self.acknowledged_sequence);
        self.held_back.pop(now, acknowledged)
    }

    /// Queues a failure for each client that cannot wait any longer for the acknowledgement of its response's
    /// record; it is sent with the next deferred outcomes. Returns the number of these clients, and when this
    /// has to be called again if that is soon.
    pub(super) fn give_up_records(&mut self, now: Time) -> (usize, Option<Time>) {
        let failures = self.held_back.take_given_up(now);
        let given_up = failures.iter().map(|failure| failure.clients.len()).sum();
        self.ready_responses.extend(failures);
        (given_up, self.held_back.timer_for_rest(now))
    }

    /// Whether an action was held back longer than the silence timeout, or a response for so long that its
    /// client would stop waiting. The peer is then connected but too slow to replicate to.
    pub fn is_peer_too_slow(&self, now: Time) -> bool {
        self.waits_for_records
            && self.streaming
            && self.held_back.is_too_slow(now, self.silence_timeout)
    }

    /// The number of actions held back.
    pub fn waiting_count(&self) -> usize {
        self.held_back.len()
    }

    /// Returns an empty response, with reused buffers if there are any.
    pub fn new_response(&mut self) -> PendingResponse {
        self.spare_responses.pop().unwrap_or_default()
    }

    /// Returns a response to one client, without a payload.
    pub fn response_to(
        &mut self,
        client: (ReplyHandle, Time),
        disposition: Disposition,
        retry_after: Time,
    ) -> PendingResponse {
        let mut response = self.new_response();
        response.clients.push(client);
        response.disposition = Some(disposition);
        response.retry_after = retry_after;
        response
    }

    /// Takes back a response that was sent, so that a later one can reuse its buffers.
    pub fn recycle_response(&mut self, mut response: PendingResponse) {
        response.clear();
        if self.spare_responses.len() < MAX_SPARE_RESPONSES {
            self.spare_responses.push(response);
        }
    }

    /// Stores a final response for repeats with the same key. A rejection is not stored, and the request is
    /// removed, because the client may retry it.
    pub(super) fn store_response(
        &mut self,
        now: Time,
        class: usize,
        idempotency_key: &[u8],
        disposition: Disposition,
        payload: &[u8],
    ) {
        if disposition == Disposition::Rejected {
            self.deduplication.remove(class, idempotency_key);
        } else {
            let until = now + self.retention_of(class);
            let number = disposition as u8;
            self.deduplication
                .record_response(now, class, idempotency_key, number, payload, until);
        }
    }

    /// Updates the deduplication table for a request that its client abandoned. If it may have been executed
    /// and is not idempotent, a repeat gets a failure; otherwise a repeat is treated as a new request.
    pub(super) fn record_abandonment(
        &mut self,
        now: Time,
        class: usize,
        idempotency_key: &[u8],
        may_have_executed: bool,
    ) {
        if may_have_executed && self.retry_safety_of(class) != RetrySafety::Idempotent {
            self.store_response(now, class, idempotency_key, Disposition::Failed, &[]);
        } else {
            self.deduplication.remove(class, idempotency_key);
        }
    }
}

/// Converts the number that the deduplication table stores, `disposition as u8`, back to the disposition.
pub(super) fn disposition_from_number(number: u8) -> Disposition {
    [
        Disposition::Completed,
        Disposition::Rejected,
        Disposition::Failed,
    ][usize::from(number).min(2)]
}
