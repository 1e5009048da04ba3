//! The interface between the server and its caller.
use crate::codec::BasicProperties;
use crate::Time;

/// A request: a publish to the trigger exchange.
pub struct TriggerPublish<'a> {
    /// The user that is logged in on the connection.
    pub user: &'a str,
    /// Routing key of the publish.
    pub routing_key: &'a str,
    /// Properties of the content header.
    pub properties: &'a BasicProperties<'a>,
    /// The header `x-redelivered` says that the client has sent this request before.
    pub redelivered: bool,
    /// Body of the message.
    pub body: &'a [u8],
}

/// The actions of the server. A connection is identified by the `transport` with which it was accepted.
pub trait ServerActions {
    /// Sends bytes to a connection.
    fn write(&mut self, transport: u64, bytes: &[u8]);
    /// Whether more messages may be delivered to the connection; false while too many bytes are unsent.
    fn is_writable(&self, transport: u64) -> bool;
    /// Closes the connection after all written bytes have been sent.
    fn close(&mut self, transport: u64);
    /// Starts the check of a password. The caller reports the result by `Server::authentication_finished`,
    /// possibly much later.
    fn authenticate(&mut self, connection: usize, user: &str, password: &[u8]);
    /// Accepts a request, which the caller answers later by `Server::complete_request`, or returns its final
    /// answer at once.
    ///
    /// # Errors
    /// The request is not accepted; the client gets the disposition and the reason as its final answer.
    fn accept_request(&mut self, request: u64, publish: &TriggerPublish)
        -> Result<(), NotAccepted>;
}

/// A request that was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{} {reason}", .disposition.wire_name())]
pub struct NotAccepted {
    /// The disposition that is sent to the client.
    pub disposition: Disposition,
    /// A short reason for the client.
    pub reason: &'static str,
}

/// The final answer to a request.
#[derive(Clone, Copy, Debug)]
pub struct FinalAnswer<'a> {
    /// What became of the request.
    pub disposition: Disposition,
    /// The time after which a rejected request may be sent again; 0 if none is given.
    pub retry_after: Time,
    /// A short reason for the client; omitted if it is empty.
    pub reason: &'a str,
    /// Body of the reply.
    pub payload: &'a [u8],
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disposition {
    /// The request was executed.
    Completed,
    /// The request was not executed; the client may retry later.
    Rejected,
    /// The request was abandoned and may have been executed.
    Failed,
    /// The request was refused at admission.
    Refused,
}

impl Disposition {
    /// The name of the disposition in the header `x-word`, the property `type` and the reply texts of
    /// `basic.return`.
    pub fn wire_name(self) -> &'static str {
        match self {
            Disposition::Completed => "handled",
            Disposition::Rejected => "deferred",
            Disposition::Failed => "dead-lettered",
            Disposition::Refused => "turned-away",
        }
    }
}

/// Parameters offered to clients, and limits of the server.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Frame-max that is offered, in octets; at least `codec::FRAME_MIN_SIZE`.
    pub frame_max: u32,
    /// Channel-max that is offered: the highest channel number.
    pub channel_max: u16,
    /// Heartbeat interval that is offered, in seconds; 0 for no heartbeats.
    pub heartbeat_seconds: u16,
    /// Maximum size of a message body in octets.
    pub max_body_size: u64,
    /// Time within which a connection must be open after it was accepted, and must be closed by the client
    /// after `connection.close`.
    pub handshake_timeout: Time,
    /// Limit of the bytes of ready messages in all queues. A publish beyond it is refused.
    pub max_queued_bytes: usize,
    /// Name of the exchange whose publishes are requests.
    pub trigger_exchange: String,
    /// Exchange to which failed requests are published; empty for none.
    pub dead_letter_exchange: String,
    /// Names of the virtual hosts.
    pub virtual_hosts: Vec<String>,
}
