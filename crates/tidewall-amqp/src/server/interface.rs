//! What the server and its caller say to each other.
use crate::codec::BasicProperties;
use crate::Time;

/// A publish to the trigger exchange: a request.
pub struct TriggerPublish<'a> {
    /// Who is logged in on the connection.
    pub user: &'a str,
    /// Routing key of the publish.
    pub routing_key: &'a str,
    /// Properties of the content header.
    pub properties: &'a BasicProperties<'a>,
    /// The client says by the header `x-redelivered` that it has sent this before.
    pub redelivered: bool,
    /// Body of the message.
    pub body: &'a [u8],
}

/// How the server acts. Connections are named by the `transport` that they were accepted with.
pub trait ServerActions {
    /// Sends bytes.
    fn write(&mut self, transport: u64, bytes: &[u8]);
    /// False while so much is unsent that nothing more should be delivered there.
    fn is_writable(&self, transport: u64) -> bool;
    /// Closes the connection once everything written has been sent.
    fn close(&mut self, transport: u64);
    /// Begins to check a password; `Server::authentication_finished` follows, possibly much later.
    fn authenticate(&mut self, connection: usize, user: &str, password: &[u8]);
    /// Accepts a request, which `Server::complete_request` answers later, or gives its answer at once.
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
    /// What the client is answered.
    pub disposition: Disposition,
    /// Why; a word or two for the client.
    pub reason: &'static str,
}

/// The final answer to a request.
#[derive(Clone, Copy, Debug)]
pub struct FinalAnswer<'a> {
    /// What became of the request.
    pub disposition: Disposition,
    /// After this time a rejected request may be sent again; 0 names no time.
    pub retry_after: Time,
    /// Why, a word or two for the client; left out where it is empty.
    pub reason: &'a str,
    /// Body of the reply.
    pub payload: &'a [u8],
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disposition {
    /// It was executed.
    Completed,
    /// It was not executed; the client may try again later.
    Rejected,
    /// It was given up and may have been executed.
    Failed,
    /// It was refused at admission.
    Refused,
}

impl Disposition {
    /// The word for it in the header `x-word`, the property `type` and the texts of `basic.return`.
    pub fn wire_name(self) -> &'static str {
        match self {
            Disposition::Completed => "handled",
            Disposition::Rejected => "deferred",
            Disposition::Failed => "dead-lettered",
            Disposition::Refused => "turned-away",
        }
    }
}

/// What the server offers to clients and where it sets bounds.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Largest frame in octets that is offered, at least `codec::FRAME_MIN_SIZE`.
    pub frame_max: u32,
    /// Highest channel number that is offered.
    pub channel_max: u16,
    /// Heartbeat interval that is offered, in seconds; 0 for none.
    pub heartbeat_seconds: u16,
    /// Largest body of a message in octets.
    pub max_body_size: u64,
    /// A connection must be open this long after it was accepted.
    pub handshake_timeout: Time,
    /// Bytes of ready messages in all queues; a publish beyond is refused.
    pub max_queued_bytes: usize,
    /// Name of the exchange whose publishes are requests.
    pub trigger_exchange: String,
    /// Exchange to which requests that failed are published; empty for none.
    pub dead_letter_exchange: String,
    /// Names of the virtual hosts.
    pub virtual_hosts: Vec<String>,
}
