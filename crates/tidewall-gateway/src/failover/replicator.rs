//! The sending side of replication: numbers and writes records, counts what the peer has acknowledged, and holds back
//! what may leave the gateway only after that. It also holds what both gateways must know alike for a takeover: the
//! deduplication table and the count of load requests. It decides nothing about roles.
use super::control_messages::PeerControl;
use super::records::{RecordNames, ReplicationRecord};
use super::FailoverConfig;
use crate::ingress::{Disposition, ReplyHandle, NO_CLIENT};
use std::collections::VecDeque;
use tidewall_failover::deduplication::DeduplicationTable;
use tidewall_failover::leadership::Leadership;
use tidewall_failover::load_request_limit::LoadRequestLimiter;
use tidewall_failover::proposal::{ProposalPhase, ReplyTo};
use tidewall_failover::recovery::{give_up_link_at, RetrySafety};
use tidewall_net::{Conn, Net, Time};
use tracing::debug;

/// Responses whose buffers are kept for reuse: more than wait for one round trip to the peer at usual rates.
const MAX_SPARE_RESPONSES: usize = 256;

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

struct AwaitingRecord {
    /// The last record written before it.
    sequence: u64,
    /// When it began to wait.
    since: Time,
    action: DeferredAction,
}

impl AwaitingRecord {
    /// Whether a client would stop waiting if its response went on waiting for the peer. `usual_wait` as in
    /// [`give_up_link_at`].
    fn is_urgent(&self, now: Time, usual_wait: Time) -> bool {
        let DeferredAction::Respond(response) = &self.action else {
            return false;
        };
        let clients = response.clients.iter();
        let deadlines = clients
            .filter(|client| client.0 != NO_CLIENT)
            .map(|client| client.1);
        deadlines
            .min()
            .is_some_and(|deadline| now >= give_up_link_at(self.since, deadline, usual_wait))
    }
}

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
    awaiting_record: VecDeque<AwaitingRecord>,
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
    /// How long an acknowledgement may take while the peer is well, in tenths of a millisecond.
    usual_wait: Time,
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
            awaiting_record: VecDeque::new(),
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
            usual_wait,
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
        if let DeferredAction::Respond(response) = &action {
            debug!(
                request = response.request,
                disposition = response.disposition.map(Disposition::wire_text),
                record = self.last_sequence,
                acknowledged = self.acknowledged_sequence,
                "response waits for its record"
            );
        }
        self.awaiting_record.push_back(AwaitingRecord {
            sequence: self.last_sequence,
            since: now,
            action,
        });
    }

    /// The next action that is held back no longer.
    pub fn next_recorded(&mut self, now: Time) -> Option<DeferredAction> {
        let first = self.awaiting_record.front()?;
        let recorded = first.sequence <= self.acknowledged_sequence;
        if self.waits_for_records && !recorded {
            return None;
        }
        if let DeferredAction::Respond(response) = &first.action {
            debug!(
                request = response.request,
                waited = now - first.since,
                recorded,
                "response no longer waits"
            );
        }
        self.awaiting_record.pop_front().map(|first| first.action)
    }

    /// An action was held back longer than the peer may be silent, or a response longer than its client can wait: the peer is
    /// there, and of no use.
    pub fn is_peer_too_slow(&self, now: Time) -> bool {
        let overdue = |first: &AwaitingRecord| now > first.since + self.silence_timeout;
        let urgent = |waiting: &AwaitingRecord| waiting.is_urgent(now, self.usual_wait);
        self.waits_for_records
            && self.streaming
            && (self.awaiting_record.front().is_some_and(overdue)
                || self.awaiting_record.iter().any(urgent))
    }

    /// How many actions are held back.
    pub fn waiting_count(&self) -> usize {
        self.awaiting_record.len()
    }

    /// An empty response, with the buffers of an earlier one where there are some.
    pub fn new_response(&mut self) -> PendingResponse {
        self.spare_responses.pop().unwrap_or_default()
    }

    /// Takes a response that was sent: its buffers serve a later one.
    pub fn recycle_response(&mut self, mut response: PendingResponse) {
        response.clients.clear();
        response.payload.clear();
        response.request = 0;
        response.disposition = None;
        response.retry_after = 0;
        response.elapsed = 0;
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
