//! The interface between the gateway and the protocols of workers and of discovery servers. A [`WorkerProtocol`] writes and
//! reads what goes to and comes from a worker, a [`DiscoverySource`] reads the endpoint list; neither knows sockets, time or
//! outcomes, which are the gateway's.
use crate::endpoints::EndpointRecord;
use crate::error::ProtocolError;
use std::net::SocketAddr;
use tidewall::interface::{Outcome, Time};
use tidewall_wire::Fields;

/// What a worker's answer names its call by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallName {
    /// The id that the gateway gave the call.
    CallId(u64),
    /// The id of the request that the call is an attempt of.
    RequestId(u64),
}

/// Who this gateway is, for protocols that introduce it.
#[derive(Clone, Copy)]
pub struct LocalIdentity<'a> {
    /// The gateway's name.
    pub name: &'a str,
    /// Its index among the gateways of its site.
    pub index: u64,
    /// Of a failover pair: one more than the member's index; else 0.
    pub failover_member: u64,
}

/// An attempt as it is sent.
pub struct AttemptMessage<'a> {
    /// The client's id of the request.
    pub request_id: u64,
    /// The attempt's number, from 0.
    pub attempt: u64,
    /// The name of the request class.
    pub class: &'a str,
    /// The function's name.
    pub function: &'a str,
    /// Lanes that it takes.
    pub lanes: u32,
    /// Memory that an instance of the function takes.
    pub memory: f64,
    /// How long until the gateway stops waiting for it, in tenths of a millisecond; at most `remaining`.
    pub timeout: Time,
    /// How long until the client stops waiting, in tenths of a millisecond.
    pub remaining: Time,
    /// Expected execution time, in tenths of a millisecond; 0 where it is not known.
    pub cost_hint: Time,
    /// The idempotency key; empty where the request has none.
    pub idempotency_key: &'a [u8],
    /// The client has sent the request before.
    pub is_retry: bool,
    /// The epoch under which a member of a failover pair serves; 0 for any other gateway.
    pub epoch: u64,
    /// The request's payload.
    pub payload: &'a [u8],
}

/// A load request: how many instances of a function a worker is to have. With 0 it only asks how many it has.
pub struct LoadRequestMessage<'a> {
    /// The function's name.
    pub function: &'a str,
    /// The instances wanted.
    pub instances: u32,
    /// Lanes that a request of the function takes.
    pub lanes: u32,
    /// Memory that an instance takes.
    pub memory: f64,
    /// Usual time to load an instance, in tenths of a millisecond; 0 where it is not known.
    pub load_hint: Time,
    /// The epoch under which a member of a failover pair serves; 0 for any other gateway.
    pub epoch: u64,
}

/// What a worker says; a protocol calls these as it reads the worker's bytes. An error ends the connection.
pub trait WorkerEvents {
    /// It greeted with its role, name and incarnation, and how long ago it started (0 where it does not say).
    ///
    /// # Errors
    /// Where it is not the worker that was expected.
    fn greeted(
        &mut self,
        role: &str,
        name: &str,
        incarnation: u64,
        age: Time,
    ) -> Result<(), ProtocolError>;
    /// Whether it has greeted.
    fn has_greeted(&self) -> bool;
    /// The first part of an attempt's response.
    ///
    /// # Errors
    /// Where the call was sent on another connection, as of all that name a call.
    fn response_started(&mut self, name: CallName, payload: &[u8]) -> Result<(), ProtocolError>;
    /// The end of an attempt. `note` holds what is known of the instance in its lowest 3 bits, and above them how many others
    /// were running.
    ///
    /// # Errors
    /// As of `response_started`.
    fn attempt_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        note: u32,
        payload: &[u8],
    ) -> Result<(), ProtocolError>;
    /// The end of a load request, with the instances that the worker has now.
    ///
    /// # Errors
    /// As of `response_started`.
    fn load_request_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        instances: u32,
    ) -> Result<(), ProtocolError>;
    /// The answer to a health check.
    ///
    /// # Errors
    /// As of `response_started`.
    fn health_check_ended(&mut self, name: CallName, healthy: bool) -> Result<(), ProtocolError>;
    /// A load report: requests in flight, and the part of its cores that is busy.
    fn load_reported(&mut self, in_flight: f64, busy: f64);
    /// A voter's answer about the leadership of the failover pair.
    ///
    /// # Errors
    /// Where the answer is malformed.
    fn vote_received(&mut self, fields: &Fields) -> Result<(), ProtocolError>;
    /// It refuses a call, as another member of the failover pair serves.
    fn epoch_rejected(&mut self);
    /// It is draining.
    fn draining(&mut self);
    /// It reports an error of ours.
    fn error_reported(&mut self, reason: &str);
}

/// A worker's protocol. Each `write_` method appends one message to `out`.
pub trait WorkerProtocol {
    /// Whether a worker greets before anything is sent to it.
    fn requires_greeting(&self) -> bool;
    /// Whether an attempt that was cancelled still gets the worker's own end.
    fn confirms_cancelled(&self) -> bool;
    /// Whether answers name attempts by their request's id: then no connection carries an id twice.
    fn answers_by_request_id(&self) -> bool;
    /// How long the rest of a message that has begun may stay away, in tenths of a millisecond; none where that does not
    /// matter.
    fn partial_message_timeout(&self) -> Option<Time> {
        None
    }
    /// The gateway's greeting on a new connection.
    fn write_greeting(&self, out: &mut Vec<u8>, identity: &LocalIdentity);
    /// An attempt.
    fn write_attempt(&self, out: &mut Vec<u8>, call_id: u64, attempt: &AttemptMessage);
    /// The cancellation of an attempt.
    fn write_cancel(&self, out: &mut Vec<u8>, call_id: u64, request_id: u64);
    /// A health check.
    fn write_health_check(&self, out: &mut Vec<u8>, call_id: u64);
    /// A load request.
    fn write_load_request(
        &self,
        out: &mut Vec<u8>,
        call_id: u64,
        load_request: &LoadRequestMessage,
    );
    /// The order to unload all instances of a function. It has no answer.
    fn write_unload(&self, out: &mut Vec<u8>, function: &str);
    /// Reads one message and gives its length; none while it is incomplete.
    ///
    /// # Errors
    /// Where the message is malformed or means nothing here; the connection ends then.
    fn read_message(
        &self,
        bytes: &[u8],
        events: &mut dyn WorkerEvents,
    ) -> Result<Option<usize>, ProtocolError>;
    /// A datagram to another gateway, from the gateway with this index.
    fn write_peer_datagram(&self, out: &mut Vec<u8>, index: u64, bytes: &[u8]);
    /// Which gateway a datagram is from, and its content; `from` is whose address it came from, where that is known.
    ///
    /// # Errors
    /// Where the datagram is malformed.
    fn read_peer_datagram<'a>(
        &self,
        from: Option<u32>,
        bytes: &'a [u8],
    ) -> Result<(u32, &'a [u8]), ProtocolError>;
    /// What is said before a connection is closed over something malformed.
    fn write_error(&self, out: &mut Vec<u8>, reason: &str);
}

/// What a discovery server says.
pub trait DiscoveryEvents {
    /// An endpoint list, or changes of one where it is not `complete`.
    fn endpoints_received(&mut self, records: &[EndpointRecord], complete: bool);
    /// An answer was read completely, and with it the list is what the server had, at the earliest so long after it was asked,
    /// in tenths of a millisecond.
    fn list_confirmed(&mut self, _after_poll: Time) {}
    /// It reports an error of ours.
    fn error_reported(&mut self, reason: &str);
}

/// Endpoint lists that came, to be taken over once their message was read completely.
#[derive(Default)]
pub struct ReceivedUpdates {
    /// Each list, and whether it is complete.
    pub updates: Vec<(Vec<EndpointRecord>, bool)>,
    /// With them the list is what the server had, at the earliest so long after it was asked.
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

/// Where the endpoint list comes from: the protocol of a discovery server.
pub trait DiscoverySource {
    /// The server's address.
    fn address(&self) -> SocketAddr;
    /// What is said first on a new connection; with `watch` updates are wanted unasked.
    fn write_subscription(&mut self, out: &mut Vec<u8>, identity: &LocalIdentity, watch: bool);
    /// The most bytes of one message, where it is more than other peers' messages may have; none where it is not.
    fn max_message_length(&self) -> Option<usize> {
        None
    }
    /// Reads one message and gives its length; none while it is incomplete. All of a message is handed on, or nothing.
    ///
    /// # Errors
    /// Where the message is malformed; the connection ends then.
    fn read_message(
        &mut self,
        bytes: &[u8],
        events: &mut dyn DiscoveryEvents,
    ) -> Result<Option<usize>, ProtocolError>;
    /// The next poll, once a message was read; false where the connection can carry no more.
    fn write_next_poll(&mut self, _out: &mut Vec<u8>) -> bool {
        true
    }
    /// How long after a poll its answer is due while the server can be reached, in tenths of a millisecond; none where lists
    /// come unasked, so that their age is not known.
    fn answer_due(&self) -> Option<Time> {
        None
    }
    /// How long it may say nothing after a poll, in tenths of a millisecond; none where silence does not matter.
    fn silence_timeout(&self) -> Option<Time> {
        None
    }
    /// How long to wait before it is connected again after the connection broke, in tenths of a millisecond.
    fn retry_delay(&mut self) -> Time;
    /// The settings file may have changed; true where the list now comes from another address.
    fn reload(&mut self) -> bool {
        false
    }
    /// What is said before the connection is closed over something malformed.
    fn write_error(&self, _out: &mut Vec<u8>, _reason: &str) {}
    /// Whether the scheduler's wishes to watch or poll are written to it in native frames.
    fn is_native(&self) -> bool {
        false
    }
}
