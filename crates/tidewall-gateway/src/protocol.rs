//! The seam between the gateway and the protocols of workers and of the list. A `WorkerProtocol` writes and reads what goes to and comes
//! from a worker, a `DiscoverySource` reads the list; neither knows sockets, time or outcomes, which are the carrier's.
use crate::endpoints::EndpointRecord;
use crate::error::ProtocolError;
use std::net::SocketAddr;
use tidewall::interface::{Outcome, Time};
use tidewall_wire::Fields;

/// By what name a worker's answer comes back: the gateway's own number, or the event's id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallName {
    CallId(u64),
    RequestId(u64),
}

/// Who we are, for protocols in which that is said.
#[derive(Clone, Copy)]
pub struct LocalIdentity<'a> {
    pub name: &'a str,
    pub index: u64,
    /// Of a pair: one more than the member's place; else 0.
    pub failover_member: u64,
}

/// A launch as it goes out.
pub struct AttemptMessage<'a> {
    pub request_id: u64,
    pub attempt: u64,
    pub class: &'a str,
    pub function: &'a str,
    pub lanes: u32,
    pub memory: f64,
    /// How long until the gateway's wait for it ends, and until the client gives up.
    pub timeout: Time,
    pub remaining: Time,
    pub cost_hint: Time,
    pub idempotency_key: &'a [u8],
    pub is_retry: bool,
    /// 0 where the gateway is none of a pair.
    pub epoch: u64,
    pub payload: &'a [u8],
}

/// An order to load, or an ask where no copies are wanted.
pub struct LoadRequestMessage<'a> {
    pub function: &'a str,
    pub instances: u32,
    pub lanes: u32,
    pub memory: f64,
    pub load_hint: Time,
    pub epoch: u64,
}

/// What a worker said; each is told as its bytes are read.
pub trait WorkerEvents {
    /// Its name, where workers greet; false where it is not the one that was asked for.
    fn greeted(
        &mut self,
        role: &str,
        name: &str,
        life: u64,
        age: Time,
    ) -> Result<(), ProtocolError>;
    /// Whether it has greeted.
    fn has_greeted(&self) -> bool;
    fn response_started(&mut self, name: CallName, payload: &[u8]) -> Result<(), ProtocolError>;
    /// The end of a launch. `note` holds what is known of the copy, and eight times the company.
    fn attempt_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        note: u32,
        payload: &[u8],
    ) -> Result<(), ProtocolError>;
    fn load_request_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        copies: u32,
    ) -> Result<(), ProtocolError>;
    /// Whether it said that it is well.
    fn health_check_ended(&mut self, name: CallName, well: bool) -> Result<(), ProtocolError>;
    /// A load report: events in flight and the part of its cores that is busy.
    fn load_reported(&mut self, in_flight: f64, busy: f64);
    fn vote_received(&mut self, fields: &Fields) -> Result<(), ProtocolError>;
    /// It refuses, as another member of the pair serves.
    fn epoch_rejected(&mut self);
    fn draining(&mut self);
    fn error_reported(&mut self, reason: &str);
}

/// A worker's protocol. Each method writes one message behind what `out` holds.
pub trait WorkerProtocol {
    /// Whether a worker tells its name before anything is sent to it.
    fn requires_greeting(&self) -> bool;
    /// Whether a launch that was given up still gets the worker's own end.
    fn confirms_cancelled(&self) -> bool;
    /// Whether answers name launches by their event's id: then no connection carries an id twice.
    fn answers_by_request_id(&self) -> bool;
    /// How long the rest of a message that has begun may stay away; none where that means nothing.
    fn partial_message_timeout(&self) -> Option<Time> {
        None
    }
    fn write_greeting(&self, out: &mut Vec<u8>, me: &LocalIdentity);
    fn write_attempt(&self, out: &mut Vec<u8>, own: u64, launch: &AttemptMessage);
    fn write_cancel(&self, out: &mut Vec<u8>, own: u64, event: u64);
    fn write_health_check(&self, out: &mut Vec<u8>, own: u64);
    fn write_load_request(&self, out: &mut Vec<u8>, own: u64, order: &LoadRequestMessage);
    fn write_unload(&self, out: &mut Vec<u8>, function: &str);
    /// Reads one message and gives back its length; none while it is not whole. An error ends the connection.
    fn read_message(
        &self,
        bytes: &[u8],
        heard: &mut dyn WorkerEvents,
    ) -> Result<Option<usize>, ProtocolError>;
    /// A datagram to another gateway.
    fn write_peer_datagram(&self, out: &mut Vec<u8>, me: u64, bytes: &[u8]);
    /// Who a datagram is from, and what it says; `from` is whose address it came from, where that is known.
    fn read_peer_datagram<'a>(
        &self,
        from: Option<u32>,
        bytes: &'a [u8],
    ) -> Result<(u32, &'a [u8]), ProtocolError>;
    /// What is said before a connection is closed over something malformed.
    fn write_error(&self, out: &mut Vec<u8>, reason: &str);
}

/// What the list's source said.
pub trait DiscoveryEvents {
    fn endpoints_received(&mut self, entries: &[EndpointRecord], whole: bool);
    fn error_reported(&mut self, reason: &str);
}

/// Lists that were told, to be taken over once their message was read whole.
#[derive(Default)]
pub struct ReceivedUpdates {
    pub updates: Vec<(Vec<EndpointRecord>, bool)>,
}

impl DiscoveryEvents for ReceivedUpdates {
    fn endpoints_received(&mut self, entries: &[EndpointRecord], whole: bool) {
        self.updates.push((entries.to_vec(), whole));
    }

    fn error_reported(&mut self, reason: &str) {
        tracing::warn!(reason, "the roster told");
    }
}

/// Where the list of workers comes from.
pub trait DiscoverySource {
    fn address(&self) -> SocketAddr;
    /// Connected: what is said first.
    fn write_subscription(&mut self, out: &mut Vec<u8>, me: &LocalIdentity, follows: bool);
    /// Reads one message and gives back its length; none while it is not whole. All of a message is taken, or nothing.
    fn read_message(
        &mut self,
        bytes: &[u8],
        told: &mut dyn DiscoveryEvents,
    ) -> Result<Option<usize>, ProtocolError>;
    /// What is asked next, once a message was read; false where the connection is used up.
    fn write_next_poll(&mut self, _out: &mut Vec<u8>) -> bool {
        true
    }
    /// How long it may say nothing from its last question on; none where silence means nothing.
    fn silence_timeout(&self) -> Option<Time> {
        None
    }
    /// How long to wait before it is asked again after the connection broke.
    fn retry_delay(&mut self) -> Time;
    /// The settings' file may have changed; true where the list now comes from another address.
    fn reload(&mut self) -> bool {
        false
    }
    fn write_error(&self, _out: &mut Vec<u8>, _reason: &str) {}
    /// Whether the carrier's wishes to follow or look up are said in native frames.
    fn is_native(&self) -> bool {
        false
    }
}
