//! The snapshot: all requests in flight with their attempts, then all responses that are remembered, as replication
//! records between those of changes that happen meanwhile. It is sent in parts, as far as the connection takes it, so that
//! a large one does not hold up the event loop nor fill the connection's buffer.
use super::records::{FinalResponse, RecordNames, ReplicationRecord, RequestKey};
use super::replication::admitted_request;
use super::replicator::disposition_from_number;
use super::FailoverState;
use crate::worker_pool::WorkerPool;
use crate::Gateway;
use tidewall_failover::deduplication::RequestLocation;
use tidewall_net::Net;

/// No more of a snapshot is written while so many bytes wait in the connection's buffer: a quarter of its bound, so that
/// records of changes find room.
const MAX_UNSENT_BYTES: usize = 512 << 10;

/// How far the snapshot for the peer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SnapshotCursor {
    /// None is being sent.
    Idle,
    /// The requests in flight from this slot on are to be sent.
    Requests(usize),
    /// The remembered responses from this entry of the deduplication table on are to be sent.
    Responses(usize),
    /// All was sent; the record of this number was the last.
    Sent(u64),
}

impl<N: Net> Gateway<N> {
    /// Sends as much of the snapshot as the connection takes now.
    pub(super) fn send_pending_snapshot(&mut self, state: &mut FailoverState) {
        let pool = &mut self.context.scheduler.host;
        while let Some(next) = pool.send_snapshot_part(state.link.snapshot) {
            state.link.snapshot = next;
        }
    }
}

impl<N: Net> WorkerPool<N> {
    /// Sends one part of the snapshot and gives back how far it has come; none where there is nothing to be sent now.
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
        // All attempts, also those that ended: the peer counts attempts by their order.
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

    /// Sends the first remembered response from this entry on, or that the snapshot is complete.
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
