//! Responses that are past their deadline. The client may have reported meanwhile that it abandons the
//! request, in input that this wake-up has not read yet. The input is read first, and a client that has
//! abandoned its request is sent nothing.
use crate::ingress::Response;
use crate::worker_pool::LocalResponse;
use crate::Gateway;
use tidewall_net::Net;

/// A response that waits for the end of the wake-up.
pub(crate) struct LateResponse {
    response: LocalResponse,
    payload: Vec<u8>,
}

impl<N: Net> Gateway<N> {
    /// Sends a request's final response to its client: immediately, or at the end of the wake-up if its
    /// deadline has passed.
    pub(crate) fn send_to_client(&mut self, response: &LocalResponse, payload: &[u8]) {
        let pool = &self.context.scheduler.host;
        if pool.net.now() > response.deadline {
            self.late_responses.push(LateResponse {
                response: *response,
                payload: payload.to_vec(),
            });
            return;
        }
        self.write_response(response, payload);
    }

    /// Sends the late responses, after the clients' input of this wake-up has been read.
    pub(crate) fn send_late_responses(&mut self) {
        if self.late_responses.is_empty() {
            return;
        }
        for late in std::mem::take(&mut self.late_responses) {
            self.write_response(&late.response, &late.payload);
        }
        self.exit_when_drained();
    }

    fn write_response(&mut self, response: &LocalResponse, payload: &[u8]) {
        let client = response.reply_handle;
        let net = &mut self.context.scheduler.host.net;
        let response = Response {
            disposition: response.disposition,
            retry_after: response.retry_after,
            reason: "",
            payload,
            elapsed: response.elapsed,
        };
        self.ingresses[client.ingress].respond(net, client, &response);
    }
}
