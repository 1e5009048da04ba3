//! The snapshot for a newly connected peer: all requests in flight with their attempts, then all stored
//! responses, as replication records interleaved with those of concurrent changes. It is sent in parts, as
//! far as the connection has capacity, so that a large snapshot neither blocks the event loop nor fills the
//! connection's buffer.
use super::records::{FinalResponse, RecordNames, ReplicationRecord, RequestKey};
use super::replication::admitted_request;
use super::replicator::disposition_from_number;
use super::FailoverState;
use crate::worker_pool::WorkerPool;
use crate::Gateway;
use tidewall_failover::deduplication::RequestLocation;
use tidewall_net::Net;

/// The snapshot is paused while this many bytes wait in the connection's buffer: a quarter of the buffer's
/// limit, so that there is room for records of changes.
const MAX_UNSENT_BYTES: usize = 512 << 10;

/// The progress of the snapshot for the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SnapshotCursor {
    /// No snapshot is being sent.
    Idle,
    /// The requests in flight from this slot on remain to be sent.
    Requests(usize),
    /// The stored responses from this entry of the deduplication table on remain to be sent.
    Responses(usize),
    /// The whole snapshot was sent; its last record has this number.
    Sent(u64),
}

impl<N: Net> Gateway<N> {
    /// Sends as much of the snapshot as the connection has capacity for.
    pub(super) fn send_pending_snapshot(&mut self, state: &mut FailoverState) {
        let pool = &mut self.context.scheduler.host;
        while let Some(next) = pool.send_snapshot_part(state.link.snapshot) {
            state.link.snapshot = next;
        }
    }
}

impl<N: Net> WorkerPool<N> {
    /// Sends one part of the snapshot and returns the new progress; `None` if nothing can be sent at present.
    fn send_snapshot_part(&mut self, cursor: SnapshotCursor) -> Option<SnapshotCursor> {
        let replicator = self.replicator.as_ref()?;
        let conn = replicator.conn.filter(|_| replicator.streaming)?;
        if self.net.unsent(conn) >= MAX_UNSENT_BYTES {
            return None;
        }
        match cursor {
            SnapshotCursor::Requests(slot) if slot < self.requests.len() => {
                self.send_request_snapshot(slot);
                Some(SnapshotCursor::Requests(slot + 1))
            }
            SnapshotCursor::Requests(_) => Some(SnapshotCursor::Responses(0)),
            SnapshotCursor::Responses(from) => self.send_response_snapshot(from),
            SnapshotCursor::Sent(_) | SnapshotCursor::Idle => None,
        }
    }

    fn send_request_snapshot(&mut self, slot: usize) {
        if !self.requests[slot].open {
            return;
        }
        let attempts = self.attempts_of(slot);
        let now = self.net.now();
        let Some(replicator) = &mut self.replicator else {
            return;
        };
        let names = RecordNames::new(&self.class_names, &self.tenant_names);
        let request = &self.requests[slot];
        let function = self.function_names.resolve(request.info().function);
        let admitted = admitted_request(slot, request, function, now);
        let record = ReplicationRecord::RequestAdmitted(admitted);
        replicator.send_record(&mut self.net, &record, names);
        // Includes attempts that ended, because the peer numbers attempts by their order.
        for (attempt, worker, not_executed) in attempts {
            let attempt = attempt as u64;
            let record = ReplicationRecord::AttemptStarted {
                slot,
                attempt,
                worker: self.worker_names.resolve(worker),
            };
            replicator.send_record(&mut self.net, &record, names);
            if let Some(not_executed) = not_executed {
                let record = ReplicationRecord::AttemptEnded {
                    slot,
                    attempt,
                    not_executed,
                };
                replicator.send_record(&mut self.net, &record, names);
            }
        }
    }

    /// Sends the stored response of the next entry at or after `from`, if that entry has one, or the record
    /// that completes the snapshot if there is no further entry.
    fn send_response_snapshot(&mut self, from: usize) -> Option<SnapshotCursor> {
        let replicator = self.replicator.as_mut()?;
        let names = RecordNames::new(&self.class_names, &self.tenant_names);
        let Some((index, entry)) = replicator.deduplication.next_entry_from(from) else {
            replicator.send_record(&mut self.net, &ReplicationRecord::SnapshotCompleted, names);
            replicator.snapshot_incomplete = false;
            return Some(SnapshotCursor::Sent(replicator.last_sequence));
        };
        if let RequestLocation::Responded {
            disposition: number,
            payload,
        } = &entry.location
        {
            let disposition = disposition_from_number(*number);
            let (class, payload) = (entry.class, payload.clone());
            let idempotency_key = entry.idempotency_key.clone();
            let record = ReplicationRecord::ResponseRecorded(FinalResponse {
                slot: None,
                request: Some(RequestKey {
                    class,
                    idempotency_key: &idempotency_key,
                }),
                disposition,
                payload: &payload,
            });
            replicator.send_record(&mut self.net, &record, names);
        }
        Some(SnapshotCursor::Responses(index + 1))
    }
}
