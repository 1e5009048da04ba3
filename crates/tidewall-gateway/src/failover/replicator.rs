//! The sending side of replication: numbers and writes records, counts what the peer has acknowledged, and holds back
//! what may leave the gateway only after that. It also holds what both gateways must know alike for a takeover: the
//! deduplication table and the count of load requests. It decides nothing about roles.
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

/// Responses whose buffers are kept for reuse: more than wait for one round trip to the peer at usual rates.
const MAX_SPARE_RESPONSES: usize = 256;

/// Whether a call asks a worker to promise or to accept: the two phases of a leadership proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VoteRound {
    pub ballot: u64,
    pub accepting: bool,
}

impl VoteRound {
    /// The request as the proposer names it.
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

/// A voter whose vote will not come: it has no address, or its connection was lost.
pub(super) struct MissingVote {
    pub voter: usize,
    pub round: VoteRound,
}

/// The replication state of one gateway of a pair.
pub struct Replicator {
    /// This gateway's position in the pair, 0 or 1: the one whose name sorts first is 0.
    pub member: usize,
    /// The epoch under which attempts and load requests are sent; 0 while we do not serve and have no requests in flight.
    pub epoch: u64,
    /// The connection to the peer.
    pub conn: Option<Conn>,
    /// Records are written to the connection. Otherwise they are only numbered.
    pub streaming: bool,
    /// A snapshot is being sent: the peer may not know a request whose response it hears of.
    pub snapshot_incomplete: bool,
    /// Unsafe attempts and responses are held back until the peer has acknowledged them.
    pub waits_for_records: bool,
    /// The number of the last record, counted since this start.
    pub last_sequence: u64,
    /// The last record that is acknowledged or that need not be.
    pub acknowledged_sequence: u64,
    /// Records numbered before the first one on this connection. The peer counts from 1 on each connection.
    pub sequence_base: u64,
    /// Records written to this connection.
    pub sent_on_connection: u64,
    held_back: HeldBackQueue,
    /// The connection's buffer was full: the peer is too slow, and the connection is to be reset.
    pub connection_overflowed: bool,
    /// Requests by idempotency key: in flight here or at the peer, or responded to.
    pub deduplication: DeduplicationTable,
    /// Limits load requests by the requests received, counted over both gateways.
    pub load_request_limiter: LoadRequestLimiter,
    /// By request class.
    retry_safety: Vec<RetrySafety>,
    /// Two attempts of one request may be executed at once.
    pub allows_hedging: bool,
    /// By request class: how long a response is remembered.
    retention: Vec<Time>,
    /// What voters are asked to accept.
    pub leadership: Leadership,
    pub(super) missing_votes: VecDeque<MissingVote>,
    /// A worker rejected our epoch.
    pub epoch_rejected: bool,
    /// Responses that need not wait and are to be sent with the next deferred outcomes.
    pub ready_responses: VecDeque<PendingResponse>,
    /// Slots of requests that a second client waits for, which is why their clients' deadlines are watched.
    pub shared_requests: Vec<usize>,
    /// How long an action may be held back before the peer counts as too slow, in tenths of a millisecond.
    pub silence_timeout: Time,
    /// Until then a request that is sent again may have been in flight in an incarnation that has ended and replicated it
    /// to nobody.
    pub history_unknown_until: Time,
    /// No worker executes attempts of earlier epochs any more.
    pub all_workers_fenced: bool,
    spare_responses: Vec<PendingResponse>,
    replicates: bool,
    /// Reused for each frame.
    frame_buffer: Vec<u8>,
}

impl Replicator {
    /// The replicator of a gateway that has just started, not connected to its peer yet.
    pub(super) fn new(
        member: usize,
        config: &FailoverConfig,
        silence_timeout: Time,
        usual_wait: Time,
    ) -> Replicator {
        let (window, burst, per_request) = config.load_request_limit;
        Replicator {
            member,
            epoch: 0,
            conn: None,
            streaming: false,
            snapshot_incomplete: false,
            // Until the voters say that nobody else knows our requests.
            waits_for_records: true,
            last_sequence: 0,
            acknowledged_sequence: 0,
            sequence_base: 0,
            sent_on_connection: 0,
            held_back: HeldBackQueue::new(usual_wait),
            connection_overflowed: false,
            deduplication: DeduplicationTable::default(),
            load_request_limiter: LoadRequestLimiter::new(window, burst, per_request),
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

    /// What a second execution of a request of this class may do.
    pub fn retry_safety_of(&self, class: usize) -> RetrySafety {
        self.retry_safety[class]
    }

    /// How long a response to a request of this class is remembered, in tenths of a millisecond.
    pub fn retention_of(&self, class: usize) -> Time {
        self.retention[class]
    }

    /// For that long from now on a request that is sent again may have been in flight in an incarnation that ended and
    /// replicated it to nobody: found out here, or by the peer that served before.
    pub fn history_unknown_for(&mut self, now: Time, duration: Time) {
        self.history_unknown_until = self.history_unknown_until.max(now + duration);
    }

    /// Numbers a record and, while streaming, writes it to the peer.
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

    /// Holds an action back until all records up to now are acknowledged. Actions leave in the order in which they came.
    pub(super) fn defer(&mut self, now: Time, action: DeferredAction) {
        self.held_back.push(now, self.last_sequence, action);
    }

    /// Holds a response back in the same way. Gives when [`Self::give_up_records`] has to be called, if a timer is to be set.
    #[must_use]
    pub(super) fn defer_response(&mut self, now: Time, response: PendingResponse) -> Option<Time> {
        self.defer(now, DeferredAction::Respond(response));
        self.held_back.timer_for_last(now)
    }

    /// The next action that is held back no longer.
    pub(super) fn next_recorded(&mut self, now: Time) -> Option<DeferredAction> {
        let acknowledged = self.waits_for_records.then_some(self.acknowledged_sequence);
        self.held_back.pop(now, acknowledged)
    }

    /// Clients that can wait no longer for the record of their response get a failure with the next deferred outcomes. Gives
    /// how many there were, and when it has to be called again if that is before the next tick.
    pub(super) fn give_up_records(&mut self, now: Time) -> (usize, Option<Time>) {
        let failures = self.held_back.take_given_up(now);
        let given_up = failures.iter().map(|failure| failure.clients.len()).sum();
        self.ready_responses.extend(failures);
        (given_up, self.held_back.timer_for_rest(now))
    }

    /// An action was held back longer than the peer may be silent, or a response longer than its client can wait: the peer is
    /// there, and of no use.
    pub fn is_peer_too_slow(&self, now: Time) -> bool {
        self.waits_for_records
            && self.streaming
            && self.held_back.is_too_slow(now, self.silence_timeout)
    }

    /// How many actions are held back.
    pub fn waiting_count(&self) -> usize {
        self.held_back.len()
    }

    /// An empty response, with the buffers of an earlier one where there are some.
    pub fn new_response(&mut self) -> PendingResponse {
        self.spare_responses.pop().unwrap_or_default()
    }

    /// A response to one client, without a payload.
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

    /// Takes a response that was sent: its buffers serve a later one.
    pub fn recycle_response(&mut self, mut response: PendingResponse) {
        response.clear();
        if self.spare_responses.len() < MAX_SPARE_RESPONSES {
            self.spare_responses.push(response);
        }
    }

    /// Remembers a final response for requests with the same key. A rejection is forgotten, as it invites a retry.
    pub(super) fn remember_response(
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

    /// Remembers what becomes of a request whose client abandoned it. One that may have been executed, where a second
    /// execution is not harmless, counts as failed for whoever sends it again; any other may begin anew.
    pub(super) fn remember_abandonment(
        &mut self,
        now: Time,
        class: usize,
        idempotency_key: &[u8],
        may_have_executed: bool,
    ) {
        if may_have_executed && self.retry_safety_of(class) != RetrySafety::Idempotent {
            self.remember_response(now, class, idempotency_key, Disposition::Failed, &[]);
        } else {
            self.deduplication.remove(class, idempotency_key);
        }
    }
}

/// The disposition that the deduplication table holds as a number: `disposition as u8`.
pub(super) fn disposition_from_number(number: u8) -> Disposition {
    [
        Disposition::Completed,
        Disposition::Rejected,
        Disposition::Failed,
    ][usize::from(number).min(2)]
}
