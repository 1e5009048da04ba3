//! Responses behind their deadline. Their clients may have said meanwhile that they leave, in input that this wake-up has not
//! read yet: it is read first, and who has left is sent nothing.
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
    /// Sends a request's final response to its client: at once, or at the end of the wake-up where its deadline has passed.
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

    /// The clients' input of this wake-up has been read.
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
