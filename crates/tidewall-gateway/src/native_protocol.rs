//! Workers and the roster as they speak the native frames of `docs/wire.md`.
use crate::backoff::Backoff;
use crate::endpoints::{self, EndpointRecord};
use crate::error::ProtocolError;
use crate::protocol::{
    AttemptMessage, CallName, DiscoveryEvents, DiscoverySource, LoadRequestMessage, LocalIdentity,
    WorkerEvents, WorkerProtocol,
};
use std::net::SocketAddr;
use tidewall::interface::{Outcome, Time};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame, WireError};

pub struct NativeWorkerProtocol;

fn hello(out: &mut Vec<u8>, me: &LocalIdentity) {
    let f = Frame::new(out, kind::HELLO).whole(Field::Version, wire::VERSION);
    let f = f
        .text(Field::Role, "gateway")
        .text(Field::Name, me.name)
        .whole(Field::Life, me.index);
    if me.failover_member > 0 {
        f.whole(Field::Member, me.failover_member)
    } else {
        f
    }
    .end();
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

    fn write_greeting(&self, out: &mut Vec<u8>, me: &LocalIdentity) {
        hello(out, me);
    }

    fn write_attempt(&self, out: &mut Vec<u8>, own: u64, l: &AttemptMessage) {
        let f = Frame::new(out, kind::LAUNCH).whole(Field::Id, own);
        let f = f
            .whole(Field::Event, l.request_id)
            .whole(Field::Launch, l.attempt);
        let f = f
            .text(Field::Type, l.class)
            .text(Field::Function, l.function);
        let f = f
            .whole(Field::Lanes, u64::from(l.lanes))
            .real(Field::Memory, l.memory);
        let f = f
            .whole(Field::Left, l.remaining)
            .whole(Field::Hint, l.cost_hint);
        let f = f
            .bytes(Field::Mark, l.idempotency_key)
            .flag(Field::Resent, l.is_retry);
        let f = if l.epoch > 0 {
            f.whole(Field::Epoch, l.epoch)
        } else {
            f
        };
        f.bytes(Field::Payload, l.payload).end();
    }

    fn write_cancel(&self, out: &mut Vec<u8>, own: u64, _event: u64) {
        Frame::new(out, kind::CANCEL).whole(Field::Id, own).end();
    }

    fn write_health_check(&self, out: &mut Vec<u8>, own: u64) {
        Frame::new(out, kind::PROBE).whole(Field::Id, own).end();
    }

    fn write_load_request(&self, out: &mut Vec<u8>, own: u64, o: &LoadRequestMessage) {
        let f = Frame::new(out, kind::HOLD)
            .whole(Field::Id, own)
            .text(Field::Function, o.function);
        let f = f
            .whole(Field::Copies, u64::from(o.instances))
            .whole(Field::Lanes, u64::from(o.lanes));
        let f = f
            .real(Field::Memory, o.memory)
            .whole(Field::LoadHint, o.load_hint);
        if o.epoch > 0 {
            f.whole(Field::Epoch, o.epoch)
        } else {
            f
        }
        .end();
    }

    fn write_unload(&self, out: &mut Vec<u8>, function: &str) {
        Frame::new(out, kind::UNLOAD)
            .text(Field::Function, function)
            .end();
    }

    fn read_message(
        &self,
        bytes: &[u8],
        heard: &mut dyn WorkerEvents,
    ) -> Result<Option<usize>, ProtocolError> {
        let Some((body, len)) = wire::frame(bytes)? else {
            return Ok(None);
        };
        message(&Fields::read(body)?, heard).map(|()| Some(len))
    }

    fn write_peer_datagram(&self, out: &mut Vec<u8>, me: u64, bytes: &[u8]) {
        Frame::new(out, kind::PEER)
            .whole(Field::Id, me)
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
            return Err(WireError::invalid(Field::Kind, "not a gateway's").into());
        }
        let peer = fields.upto(Field::Id, u64::from(u32::MAX), 0)?;
        Ok((peer as u32, fields.bytes(Field::Payload)?))
    }

    fn write_error(&self, out: &mut Vec<u8>, reason: &str) {
        wire::error(out, reason);
    }
}

fn message(fields: &Fields, heard: &mut dyn WorkerEvents) -> Result<(), ProtocolError> {
    if !heard.has_greeted() {
        let role = wire::greeted(fields)?;
        let name = fields.text(Field::Name)?;
        return heard.greeted(
            role,
            name,
            fields.whole(Field::Life)?,
            fields.upto(Field::Age, u64::MAX >> 8, 0)?,
        );
    }
    let own = || fields.whole(Field::Id).map(CallName::CallId);
    match fields.kind()? {
        kind::BEGUN => heard.response_started(own()?, fields.bytes(Field::Payload)?),
        kind::END => {
            let outcome = outcome(fields)?;
            let copy = fields.upto(Field::Copy, 4, 0)? as u32;
            let company = fields.upto(Field::Company, 30, 0)? as u32;
            let (payload, own) = (fields.bytes(Field::Payload)?, own()?);
            report(fields, heard)?;
            refused(fields, heard)?;
            heard.attempt_ended(own, outcome, copy | company << 3, payload)
        }
        kind::HELD => {
            let (outcome, copies) = (outcome(fields)?, fields.upto(Field::Copies, 1 << 16, 0)?);
            let own = own()?;
            refused(fields, heard)?;
            heard.load_request_ended(own, outcome, copies as u32)
        }
        kind::PROBED => {
            let own = own()?;
            report(fields, heard)?;
            heard.health_check_ended(own, true)
        }
        kind::PROMISED => heard.vote_received(fields),
        kind::DRAINS => {
            heard.draining();
            Ok(())
        }
        kind::ERROR => {
            heard.error_reported(fields.text(Field::Reason)?);
            Ok(())
        }
        other => {
            Err(WireError::invalid(Field::Kind, format!("{other} is not for a gateway")).into())
        }
    }
}

fn report(fields: &Fields, heard: &mut dyn WorkerEvents) -> Result<(), ProtocolError> {
    if fields.has(Field::InFlight) || fields.has(Field::Busy) {
        heard.load_reported(
            fields.real(Field::InFlight, 0.0)?,
            fields.real(Field::Busy, 0.0)?,
        );
    }
    Ok(())
}

/// Refused as another member serves: that is looked into.
fn refused(fields: &Fields, heard: &mut dyn WorkerEvents) -> Result<(), ProtocolError> {
    if fields.text(Field::Outcome)? == "fenced" {
        heard.epoch_rejected();
    }
    Ok(())
}

fn outcome(fields: &Fields) -> Result<Outcome, ProtocolError> {
    Ok(match fields.text(Field::Outcome)? {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        // One that refuses as another member serves counts as full.
        "full" | "fenced" => Outcome::AtCapacity,
        "miss" => Outcome::Miss,
        "cancelled" => Outcome::Cancelled,
        other => {
            return Err(
                WireError::invalid(Field::Outcome, format!("'{other}' is no outcome")).into(),
            )
        }
    })
}

/// The roster of `docs/wire.md`.
pub struct NativeDiscovery {
    at: SocketAddr,
    greeted: bool,
    retry: Backoff,
}

impl NativeDiscovery {
    pub fn new(at: SocketAddr, retry: Backoff) -> NativeDiscovery {
        NativeDiscovery {
            at,
            greeted: false,
            retry,
        }
    }
}

impl DiscoverySource for NativeDiscovery {
    fn address(&self) -> SocketAddr {
        self.at
    }

    fn write_subscription(&mut self, out: &mut Vec<u8>, me: &LocalIdentity, follows: bool) {
        self.greeted = false;
        hello(out, me);
        if follows {
            Frame::new(out, kind::FOLLOW).flag(Field::On, true).end();
        }
    }

    fn read_message(
        &mut self,
        bytes: &[u8],
        told: &mut dyn DiscoveryEvents,
    ) -> Result<Option<usize>, ProtocolError> {
        let Some((body, len)) = wire::frame(bytes)? else {
            return Ok(None);
        };
        let fields = Fields::read(body)?;
        if !self.greeted {
            if wire::greeted(&fields)? != "roster" {
                return Err(WireError::invalid(Field::Role, "no roster answers there").into());
            }
            self.greeted = true;
            return Ok(Some(len));
        }
        match fields.kind()? {
            kind::ROSTER => {
                let whole = match fields.text(Field::Scope)? {
                    "whole" => true,
                    "patch" => false,
                    other => {
                        return Err(WireError::invalid(
                            Field::Scope,
                            format!("'{other}' is no scope"),
                        )
                        .into())
                    }
                };
                // All of it is read before any of it is taken over.
                let mut entries: Vec<EndpointRecord> = Vec::new();
                fields.entries(|e| {
                    entries.push(endpoints::entry(e)?);
                    Ok(())
                })?;
                told.endpoints_received(&entries, whole);
            }
            kind::ERROR => told.error_reported(fields.text(Field::Reason)?),
            other => {
                return Err(WireError::invalid(
                    Field::Kind,
                    format!("{other} is not for a gateway"),
                )
                .into())
            }
        }
        Ok(Some(len))
    }

    fn retry_delay(&mut self) -> Time {
        self.retry.wait()
    }

    fn write_error(&self, out: &mut Vec<u8>, reason: &str) {
        wire::error(out, reason);
    }

    fn is_native(&self) -> bool {
        true
    }
}
