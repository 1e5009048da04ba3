//! Responses that the scheduler did not decide: a worker's answer, or a failure because a response broke
//! off after it had begun.
use crate::ingress::Disposition;
use crate::worker_pool::{CallKind, LocalResponse};
use crate::Gateway;
use tidewall_net::Net;
use tracing::debug;

impl<N: Net> Gateway<N> {
    /// Sends the request's one response, unless it was already sent or its client has stopped waiting.
    pub(crate) fn respond(&mut self, request: usize, disposition: Disposition, payload: &[u8]) {
        let pool = &mut self.context.scheduler.host;
        let Some((reply_handle, elapsed)) = pool.take_reply_handle(request, None) else {
            return;
        };
        let expired = pool.is_past_deadline(request, reply_handle)
            && pool.requests[request].streaming_attempt.is_none();
        if expired && pool.replicator.is_none() {
            pool.counters.expired += 1;
            let now = pool.net.now();
            return self.ingresses[reply_handle.ingress].request_expired(now, reply_handle);
        }
        pool.check_response_lateness(request);
        match disposition {
            Disposition::Completed => pool.counters.completed += 1,
            _ => pool.counters.failed += 1,
        }
        debug!(
            request = pool.requests[request].id,
            disposition = disposition.wire_text(),
            elapsed,
            "request finished"
        );
        let response = LocalResponse {
            request,
            reply_handle,
            disposition,
            retry_after: 0,
            elapsed,
            deadline: pool.requests[request].deadline(),
        };
        self.send_final_response(&response, payload);
    }

    /// Handles the loss of an attempt. If its response had begun, the request fails: no other worker's
    /// response may follow the part that was sent.
    pub(crate) fn partial_response_lost(&mut self, kind: CallKind) {
        if let CallKind::Attempt { request, attempt } = kind {
            let pending = &self.context.scheduler.host.requests[request];
            if pending.streaming_attempt == Some(attempt) {
                self.respond(request, Disposition::Failed, &[]);
            }
        }
    }
}
