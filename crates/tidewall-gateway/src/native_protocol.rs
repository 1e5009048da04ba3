//! The protocols of workers and of the discovery server in the native frames of `docs/wire.md`.
use crate::backoff::Backoff;
use crate::endpoints::{read_record, EndpointRecord};
use crate::error::ProtocolError;
use crate::protocol::{
    AttemptMessage, CallName, DiscoveryEvents, DiscoverySource, LoadRequestMessage, LocalIdentity,
    WorkerEvents, WorkerProtocol,
};
use std::net::SocketAddr;
use tidewall::interface::{Outcome, Time};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame, WireError};

/// The highest age that a worker may state, so that sums of ages and times do not overflow.
const MAX_AGE: u64 = u64::MAX >> 8;

/// The highest instance note in the end of an attempt: the scheduler's instance notes, which have three
/// bits.
const MAX_INSTANCE_NOTE: u64 = 4;

/// The highest number of other running attempts in the end of an attempt.
const MAX_CONCURRENT: u64 = 30;

/// The highest number of instances that a worker may report.
const MAX_INSTANCES: u64 = 1 << 16;

/// The worker protocol in native frames.
pub struct NativeWorkerProtocol;

fn write_greeting(out: &mut Vec<u8>, identity: &LocalIdentity) {
    let frame = Frame::new(out, kind::HELLO)
        .whole(Field::Version, wire::VERSION)
        .text(Field::Role, "gateway")
        .text(Field::Name, identity.name)
        .whole(Field::Life, identity.index);
    let frame = if identity.failover_member > 0 {
        frame.whole(Field::Member, identity.failover_member)
    } else {
        frame
    };
    frame.end();
}

/// Adds the epoch of a failover pair's member; other gateways send none.
fn with_epoch(frame: Frame, epoch: u64) -> Frame {
    if epoch > 0 {
        frame.whole(Field::Epoch, epoch)
    } else {
        frame
    }
}

impl WorkerProtocol for NativeWorkerProtocol {
    fn requires_greeting(&self) -> bool {
        true
    }

    fn confirms_cancelled(&self) -> bool {
        true
    }

    fn answers_by_request_id(&self) -> bool {
        false
    }

    fn write_greeting(&self, out: &mut Vec<u8>, identity: &LocalIdentity) {
        write_greeting(out, identity);
    }

    fn write_attempt(&self, out: &mut Vec<u8>, call_id: u64, attempt: &AttemptMessage) {
        let frame = Frame::new(out, kind::LAUNCH)
            .whole(Field::Id, call_id)
            .whole(Field::Event, attempt.request_id)
            .whole(Field::Launch, attempt.attempt)
            .text(Field::Type, attempt.class)
            .text(Field::Function, attempt.function)
            .whole(Field::Lanes, u64::from(attempt.lanes))
            .real(Field::Memory, attempt.memory)
            .whole(Field::Left, attempt.remaining)
            .whole(Field::Hint, attempt.cost_hint)
            .bytes(Field::Mark, attempt.idempotency_key)
            .flag(Field::Resent, attempt.is_retry);
        with_epoch(frame, attempt.epoch)
            .bytes(Field::Payload, attempt.payload)
            .end();
    }

    fn write_cancel(&self, out: &mut Vec<u8>, call_id: u64, _request_id: u64) {
        Frame::new(out, kind::CANCEL)
            .whole(Field::Id, call_id)
            .end();
    }

    fn write_health_check(&self, out: &mut Vec<u8>, call_id: u64) {
        Frame::new(out, kind::PROBE).whole(Field::Id, call_id).end();
    }

    fn write_load_request(
        &self,
        out: &mut Vec<u8>,
        call_id: u64,
        load_request: &LoadRequestMessage,
    ) {
        let frame = Frame::new(out, kind::HOLD)
            .whole(Field::Id, call_id)
            .text(Field::Function, load_request.function)
            .whole(Field::Copies, u64::from(load_request.instances))
            .whole(Field::Lanes, u64::from(load_request.lanes))
            .real(Field::Memory, load_request.memory)
            .whole(Field::LoadHint, load_request.load_hint);
        with_epoch(frame, load_request.epoch).end();
    }

    fn write_unload(&self, out: &mut Vec<u8>, function: &str) {
        Frame::new(out, kind::UNLOAD)
            .text(Field::Function, function)
            .end();
    }

    fn read_message(
        &self,
        bytes: &[u8],
        events: &mut dyn WorkerEvents,
    ) -> Result<Option<usize>, ProtocolError> {
        let Some((body, length)) = wire::frame(bytes)? else {
            return Ok(None);
        };
        read_frame(&Fields::read(body)?, events)?;
        Ok(Some(length))
    }

    fn write_peer_datagram(&self, out: &mut Vec<u8>, index: u64, bytes: &[u8]) {
        Frame::new(out, kind::PEER)
            .whole(Field::Id, index)
            .bytes(Field::Payload, bytes)
            .end();
    }

    fn read_peer_datagram<'a>(
        &self,
        _from: Option<u32>,
        bytes: &'a [u8],
    ) -> Result<(u32, &'a [u8]), ProtocolError> {
        let (body, _) = wire::frame(bytes)?.ok_or(WireError::Truncated)?;
        let fields = Fields::read(body)?;
        if fields.kind()? != kind::PEER {
            return Err(WireError::invalid(Field::Kind, "not a gateway datagram").into());
        }
        let sender = fields.upto(Field::Id, u64::from(u32::MAX), 0)?;
        Ok((sender as u32, fields.bytes(Field::Payload)?))
    }

    fn write_error(&self, out: &mut Vec<u8>, reason: &str) {
        wire::error(out, reason);
    }
}

/// Reads one frame from a worker. The first frame must be its greeting.
fn read_frame(fields: &Fields, events: &mut dyn WorkerEvents) -> Result<(), ProtocolError> {
    if !events.has_greeted() {
        let role = wire::greeted(fields)?;
        let name = fields.text(Field::Name)?;
        let incarnation = fields.whole(Field::Life)?;
        let age = fields.upto(Field::Age, MAX_AGE, 0)?;
        return events.greeted(role, name, incarnation, age);
    }
    let call_name = || fields.whole(Field::Id).map(CallName::CallId);
    match fields.kind()? {
        kind::BEGUN => events.response_started(call_name()?, fields.bytes(Field::Payload)?),
        kind::END => read_attempt_end(fields, events),
        kind::HELD => {
            let outcome = read_outcome(fields)?;
            let instances = fields.upto(Field::Copies, MAX_INSTANCES, 0)? as u32;
            let call_name = call_name()?;
            read_epoch_rejection(fields, events)?;
            events.load_request_ended(call_name, outcome, instances)
        }
        kind::PROBED => {
            let call_name = call_name()?;
            read_load_report(fields, events)?;
            events.health_check_ended(call_name, true)
        }
        kind::PROMISED => events.vote_received(fields),
        kind::DRAINS => {
            events.draining();
            Ok(())
        }
        kind::ERROR => {
            events.error_reported(fields.text(Field::Reason)?);
            Ok(())
        }
        other => Err(unexpected_kind(other)),
    }
}

fn read_attempt_end(fields: &Fields, events: &mut dyn WorkerEvents) -> Result<(), ProtocolError> {
    let outcome = read_outcome(fields)?;
    let instance = fields.upto(Field::Copy, MAX_INSTANCE_NOTE, 0)? as u32;
    let concurrent = fields.upto(Field::Company, MAX_CONCURRENT, 0)? as u32;
    let payload = fields.bytes(Field::Payload)?;
    let call_name = CallName::CallId(fields.whole(Field::Id)?);
    read_load_report(fields, events)?;
    read_epoch_rejection(fields, events)?;
    events.attempt_ended(call_name, outcome, instance | concurrent << 3, payload)
}

fn unexpected_kind(kind: u64) -> ProtocolError {
    WireError::invalid(Field::Kind, format!("{kind} is not for a gateway")).into()
}

/// Passes on the load report that an answer may contain.
fn read_load_report(fields: &Fields, events: &mut dyn WorkerEvents) -> Result<(), ProtocolError> {
    if fields.has(Field::InFlight) || fields.has(Field::Busy) {
        let in_flight = fields.real(Field::InFlight, 0.0)?;
        let busy = fields.real(Field::Busy, 0.0)?;
        events.load_reported(in_flight, busy);
    }
    Ok(())
}

/// Reports that a worker refused a call because another member of the failover pair serves.
fn read_epoch_rejection(
    fields: &Fields,
    events: &mut dyn WorkerEvents,
) -> Result<(), ProtocolError> {
    if fields.text(Field::Outcome)? == "fenced" {
        events.epoch_rejected();
    }
    Ok(())
}

fn read_outcome(fields: &Fields) -> Result<Outcome, ProtocolError> {
    Ok(match fields.text(Field::Outcome)? {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        // A worker that refuses because another member of the failover pair serves counts as being at
        // capacity.
        "full" | "fenced" => Outcome::AtCapacity,
        "miss" => Outcome::Miss,
        "cancelled" => Outcome::Cancelled,
        other => {
            let reason = format!("'{other}' is no outcome");
            return Err(WireError::invalid(Field::Outcome, reason).into());
        }
    })
}

/// The protocol of the discovery server in `docs/wire.md`, where the server is called the roster.
pub struct NativeDiscovery {
    address: SocketAddr,
    greeted: bool,
    backoff: Backoff,
}

impl NativeDiscovery {
    /// Creates a source for the server at this address; `backoff` determines the delays before
    /// reconnecting.
    pub fn new(address: SocketAddr, backoff: Backoff) -> NativeDiscovery {
        NativeDiscovery {
            address,
            greeted: false,
            backoff,
        }
    }

    fn read_greeting(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        if wire::greeted(fields)? != "roster" {
            return Err(WireError::invalid(Field::Role, "no roster answers there").into());
        }
        self.greeted = true;
        Ok(())
    }
}

fn read_endpoint_list(
    fields: &Fields,
    events: &mut dyn DiscoveryEvents,
) -> Result<(), ProtocolError> {
    let complete = match fields.text(Field::Scope)? {
        "whole" => true,
        "patch" => false,
        other => {
            let reason = format!("'{other}' is no scope");
            return Err(WireError::invalid(Field::Scope, reason).into());
        }
    };
    // The whole list is read before any record is applied.
    let mut records: Vec<EndpointRecord> = Vec::new();
    fields.entries(|entry| {
        records.push(read_record(entry)?);
        Ok(())
    })?;
    events.endpoints_received(&records, complete);
    Ok(())
}

impl DiscoverySource for NativeDiscovery {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn write_subscription(&mut self, out: &mut Vec<u8>, identity: &LocalIdentity, watch: bool) {
        self.greeted = false;
        write_greeting(out, identity);
        if watch {
            Frame::new(out, kind::FOLLOW).flag(Field::On, true).end();
        }
    }

    fn read_message(
        &mut self,
        bytes: &[u8],
        events: &mut dyn DiscoveryEvents,
    ) -> Result<Option<usize>, ProtocolError> {
        let Some((body, length)) = wire::frame(bytes)? else {
            return Ok(None);
        };
        let fields = Fields::read(body)?;
        if !self.greeted {
            self.read_greeting(&fields)?;
            return Ok(Some(length));
        }
        match fields.kind()? {
            kind::ROSTER => read_endpoint_list(&fields, events)?,
            kind::ERROR => events.error_reported(fields.text(Field::Reason)?),
            other => return Err(unexpected_kind(other)),
        }
        Ok(Some(length))
    }

    fn retry_delay(&mut self) -> Time {
        self.backoff.wait()
    }

    fn write_error(&self, out: &mut Vec<u8>, reason: &str) {
        wire::error(out, reason);
    }

    fn is_native(&self) -> bool {
        true
    }
}
