//! The interface between the gateway and the protocols of workers and discovery servers. A
//! [`WorkerProtocol`] encodes messages to a worker and decodes messages from it; a [`DiscoverySource`]
//! decodes endpoint lists. Neither handles sockets, time or outcomes, which are the gateway's task.
use crate::endpoints::EndpointRecord;
use crate::error::ProtocolError;
use std::net::SocketAddr;
use tidewall::interface::{Outcome, Time};
use tidewall_wire::Fields;

/// How a worker's answer identifies its call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallName {
    /// The id that the gateway assigned to the call.
    CallId(u64),
    /// The id of the request of which the call is an attempt.
    RequestId(u64),
}

/// This gateway's identity, for protocols with a greeting.
#[derive(Clone, Copy)]
pub struct LocalIdentity<'a> {
    /// The gateway's name.
    pub name: &'a str,
    /// The gateway's index among the gateways of its site.
    pub index: u64,
    /// In a failover pair: the member's index plus one; otherwise 0.
    pub failover_member: u64,
}

/// The content of an attempt message.
pub struct AttemptMessage<'a> {
    /// The client's id for the request.
    pub request_id: u64,
    /// The attempt's number, from 0.
    pub attempt: u64,
    /// The name of the request class.
    pub class: &'a str,
    /// The function's name.
    pub function: &'a str,
    /// Lanes that the request occupies.
    pub lanes: u32,
    /// Memory that an instance of the function needs.
    pub memory: f64,
    /// Time until the gateway stops waiting for the attempt, in tenths of a millisecond; at most
    /// `remaining`.
    pub timeout: Time,
    /// Time until the client stops waiting, in tenths of a millisecond.
    pub remaining: Time,
    /// Expected execution time, in tenths of a millisecond; 0 if unknown.
    pub cost_hint: Time,
    /// The idempotency key; empty if the request has none.
    pub idempotency_key: &'a [u8],
    /// Whether the client has sent the request before.
    pub is_retry: bool,
    /// The epoch under which a member of a failover pair serves; 0 for any other gateway.
    pub epoch: u64,
    /// The request's payload.
    pub payload: &'a [u8],
}

/// The content of a load request: how many instances of a function a worker should have. With 0 instances
/// it only queries how many the worker has.
pub struct LoadRequestMessage<'a> {
    /// The function's name.
    pub function: &'a str,
    /// The number of instances requested.
    pub instances: u32,
    /// Lanes that a request of the function occupies.
    pub lanes: u32,
    /// Memory that an instance needs.
    pub memory: f64,
    /// Usual time to load an instance, in tenths of a millisecond; 0 if unknown.
    pub load_hint: Time,
    /// The epoch under which a member of a failover pair serves; 0 for any other gateway.
    pub epoch: u64,
}

/// Receives the decoded messages of a worker. A protocol calls these methods as it reads the worker's
/// bytes. An error ends the connection.
pub trait WorkerEvents {
    /// The worker greeted with its role, name and incarnation, and how long ago it started (0 if not
    /// stated).
    ///
    /// # Errors
    /// If the greeting is not from the expected worker.
    fn greeted(
        &mut self,
        role: &str,
        name: &str,
        incarnation: u64,
        age: Time,
    ) -> Result<(), ProtocolError>;
    /// Whether the worker has greeted.
    fn has_greeted(&self) -> bool;
    /// The worker sent the first part of an attempt's response.
    ///
    /// # Errors
    /// If the call was sent on another connection. This applies to all methods that take a call name.
    fn response_started(&mut self, name: CallName, payload: &[u8]) -> Result<(), ProtocolError>;
    /// The worker ended an attempt. The lowest 3 bits of `note` describe the instance, the bits above them
    /// hold the number of other attempts that were running.
    ///
    /// # Errors
    /// As for `response_started`.
    fn attempt_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        note: u32,
        payload: &[u8],
    ) -> Result<(), ProtocolError>;
    /// The worker ended a load request and has this number of instances.
    ///
    /// # Errors
    /// As for `response_started`.
    fn load_request_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        instances: u32,
    ) -> Result<(), ProtocolError>;
    /// The worker answered a health check.
    ///
    /// # Errors
    /// As for `response_started`.
    fn health_check_ended(&mut self, name: CallName, healthy: bool) -> Result<(), ProtocolError>;
    /// The worker sent a load report: its requests in flight, and the fraction of its cores that is busy.
    fn load_reported(&mut self, in_flight: f64, busy: f64);
    /// A voter answered about the leadership of the failover pair.
    ///
    /// # Errors
    /// If the answer is malformed.
    fn vote_received(&mut self, fields: &Fields) -> Result<(), ProtocolError>;
    /// The worker refused a call because another member of the failover pair serves.
    fn epoch_rejected(&mut self);
    /// The worker is draining.
    fn draining(&mut self);
    /// The other side reported that this gateway sent something invalid.
    fn error_reported(&mut self, reason: &str);
}

/// A protocol spoken with workers. Each `write_` method appends one message to `out`.
pub trait WorkerProtocol {
    /// Whether a worker greets before anything but the gateway's own greeting is sent to it.
    fn requires_greeting(&self) -> bool;
    /// Whether the worker still ends an attempt with an answer of its own after the attempt was cancelled.
    fn confirms_cancelled(&self) -> bool;
    /// Whether answers identify attempts by their request's id. If so, a connection never carries an id
    /// twice.
    fn answers_by_request_id(&self) -> bool;
    /// How long the rest of an incomplete message may be missing, in tenths of a millisecond; none for no
    /// limit.
    fn partial_message_timeout(&self) -> Option<Time> {
        None
    }
    /// Writes the gateway's greeting on a new connection.
    fn write_greeting(&self, out: &mut Vec<u8>, identity: &LocalIdentity);
    /// Writes an attempt.
    fn write_attempt(&self, out: &mut Vec<u8>, call_id: u64, attempt: &AttemptMessage);
    /// Writes the cancellation of an attempt.
    fn write_cancel(&self, out: &mut Vec<u8>, call_id: u64, request_id: u64);
    /// Writes a health check.
    fn write_health_check(&self, out: &mut Vec<u8>, call_id: u64);
    /// Writes a load request.
    fn write_load_request(
        &self,
        out: &mut Vec<u8>,
        call_id: u64,
        load_request: &LoadRequestMessage,
    );
    /// Writes an order to unload all instances of a function, which has no answer.
    fn write_unload(&self, out: &mut Vec<u8>, function: &str);
    /// Reads one message and returns its length; none while it is incomplete.
    ///
    /// # Errors
    /// If the message is malformed or unexpected; the connection is closed then.
    fn read_message(
        &self,
        bytes: &[u8],
        events: &mut dyn WorkerEvents,
    ) -> Result<Option<usize>, ProtocolError>;
    /// Writes a datagram to another gateway, from the gateway with this index.
    fn write_peer_datagram(&self, out: &mut Vec<u8>, index: u64, bytes: &[u8]);
    /// Returns which gateway a datagram is from, and its content. `from` is the gateway whose address it
    /// came from, if known.
    ///
    /// # Errors
    /// If the datagram is malformed.
    fn read_peer_datagram<'a>(
        &self,
        from: Option<u32>,
        bytes: &'a [u8],
    ) -> Result<(u32, &'a [u8]), ProtocolError>;
    /// Writes the error message that is sent before a connection is closed because of a malformed message.
    fn write_error(&self, out: &mut Vec<u8>, reason: &str);
}

/// Receives the decoded messages of a discovery server.
pub trait DiscoveryEvents {
    /// The server sent an endpoint list, or changes to it if not `complete`.
    fn endpoints_received(&mut self, records: &[EndpointRecord], complete: bool);
    /// An answer was read completely. It proves that the list is as the server had it `after_poll` tenths
    /// of a millisecond after the poll was sent, or later.
    fn list_confirmed(&mut self, _after_poll: Time) {}
    /// The other side reported that this gateway sent something invalid.
    fn error_reported(&mut self, reason: &str);
}

/// Received endpoint lists, which are applied once their message has been read completely.
#[derive(Default)]
pub struct ReceivedUpdates {
    /// Each list, and whether it is complete.
    pub updates: Vec<(Vec<EndpointRecord>, bool)>,
    /// Set if the answer confirms the list: how long after the poll was sent, at the earliest, the server
    /// had this list.
    pub confirmed_after_poll: Option<Time>,
}

impl DiscoveryEvents for ReceivedUpdates {
    fn endpoints_received(&mut self, records: &[EndpointRecord], complete: bool) {
        self.updates.push((records.to_vec(), complete));
    }

    fn list_confirmed(&mut self, after_poll: Time) {
        self.confirmed_after_poll = Some(after_poll);
    }

    fn error_reported(&mut self, reason: &str) {
        tracing::warn!(reason, "discovery server reported an error");
    }
}

/// The source of the endpoint list: a protocol spoken with a discovery server.
pub trait DiscoverySource {
    /// The server's address.
    fn address(&self) -> SocketAddr;
    /// Writes the first message on a new connection; with `watch` it asks for updates in push mode.
    fn write_subscription(&mut self, out: &mut Vec<u8>, identity: &LocalIdentity, watch: bool);
    /// Maximum length of a message in bytes, if it exceeds the limit for other connections; otherwise none.
    fn max_message_length(&self) -> Option<usize> {
        None
    }
    /// Reads one message and returns its length; none while it is incomplete.
    ///
    /// # Errors
    /// If the message is malformed; the connection is closed then.
    fn read_message(
        &mut self,
        bytes: &[u8],
        events: &mut dyn DiscoveryEvents,
    ) -> Result<Option<usize>, ProtocolError>;
    /// Writes the next poll after a message was read. Returns false if the connection cannot be used any
    /// further.
    fn write_next_poll(&mut self, _out: &mut Vec<u8>) -> bool {
        true
    }
    /// How long after a poll its answer is due while the server is reachable, in tenths of a millisecond;
    /// none if lists are pushed, so that their age is unknown.
    fn answer_due(&self) -> Option<Time> {
        None
    }
    /// How long the server may be silent after a poll, in tenths of a millisecond; none for no limit.
    fn silence_timeout(&self) -> Option<Time> {
        None
    }
    /// Returns the delay before reconnecting after the connection broke, in tenths of a millisecond.
    fn retry_delay(&mut self) -> Time;
    /// Reads the settings file again. Returns true if the server's address has changed.
    fn reload(&mut self) -> bool {
        false
    }
    /// Writes the error message that is sent before the connection is closed because of a malformed
    /// message.
    fn write_error(&self, _out: &mut Vec<u8>, _reason: &str) {}
    /// Whether the scheduler's watch and poll actions are sent to the server as native frames.
    fn is_native(&self) -> bool {
        false
    }
}
