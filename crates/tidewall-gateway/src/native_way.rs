//! Workers and the roster as they speak the native frames of `docs/wire.md`.
use crate::list::{self, Entry};
use crate::retry::Retry;
use crate::way::{Feed, Heard, Launched, Me, Name, Order, Told, Way};
use std::net::SocketAddr;
use tidewall::interface::{Outcome, Time};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame};

pub struct NativeWay;

fn hello(out: &mut Vec<u8>, me: &Me) {
    let f = Frame::new(out, kind::HELLO).whole(Field::Version, wire::VERSION);
    let f = f
        .text(Field::Role, "gateway")
        .text(Field::Name, me.name)
        .whole(Field::Life, me.number);
    if me.member > 0 {
        f.whole(Field::Member, me.member)
    } else {
        f
    }
    .end();
}

impl Way for NativeWay {
    fn greets(&self) -> bool {
        true
    }

    fn ends_given_up(&self) -> bool {
        true
    }

    fn by_event(&self) -> bool {
        false
    }

    fn hello(&self, out: &mut Vec<u8>, me: &Me) {
        hello(out, me);
    }

    fn launch(&self, out: &mut Vec<u8>, own: u64, l: &Launched) {
        let f = Frame::new(out, kind::LAUNCH).whole(Field::Id, own);
        let f = f
            .whole(Field::Event, l.event)
            .whole(Field::Launch, l.launch);
        let f = f.text(Field::Type, l.typ).text(Field::Function, l.function);
        let f = f
            .whole(Field::Lanes, u64::from(l.lanes))
            .real(Field::Memory, l.memory);
        let f = f.whole(Field::Left, l.left).whole(Field::Hint, l.hint);
        let f = f.bytes(Field::Mark, l.mark).flag(Field::Resent, l.resent);
        let f = if l.epoch > 0 {
            f.whole(Field::Epoch, l.epoch)
        } else {
            f
        };
        f.bytes(Field::Payload, l.payload).end();
    }

    fn cancel(&self, out: &mut Vec<u8>, own: u64, _event: u64) {
        Frame::new(out, kind::CANCEL).whole(Field::Id, own).end();
    }

    fn probe(&self, out: &mut Vec<u8>, own: u64) {
        Frame::new(out, kind::PROBE).whole(Field::Id, own).end();
    }

    fn hold(&self, out: &mut Vec<u8>, own: u64, o: &Order) {
        let f = Frame::new(out, kind::HOLD)
            .whole(Field::Id, own)
            .text(Field::Function, o.function);
        let f = f
            .whole(Field::Copies, u64::from(o.copies))
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

    fn unload(&self, out: &mut Vec<u8>, function: &str) {
        Frame::new(out, kind::UNLOAD)
            .text(Field::Function, function)
            .end();
    }

    fn read(&self, bytes: &[u8], heard: &mut dyn Heard) -> Result<Option<usize>, String> {
        let Some((body, len)) = wire::frame(bytes)? else {
            return Ok(None);
        };
        message(&Fields::read(body)?, heard).map(|()| Some(len))
    }

    fn tell(&self, out: &mut Vec<u8>, me: u64, bytes: &[u8]) {
        Frame::new(out, kind::PEER)
            .whole(Field::Id, me)
            .bytes(Field::Payload, bytes)
            .end();
    }

    fn told<'a>(&self, _from: Option<u32>, bytes: &'a [u8]) -> Result<(u32, &'a [u8]), String> {
        let (body, _) = wire::frame(bytes)?.ok_or("field length: cut short")?;
        let fields = Fields::read(body)?;
        if fields.kind()? != kind::PEER {
            return Err("field kind: not a gateway's".to_string());
        }
        let peer = fields.upto(Field::Id, u64::from(u32::MAX), 0)?;
        Ok((peer as u32, fields.bytes(Field::Payload)?))
    }

    fn complain(&self, out: &mut Vec<u8>, reason: &str) {
        wire::error(out, reason);
    }
}

fn message(fields: &Fields, heard: &mut dyn Heard) -> Result<(), String> {
    if !heard.known() {
        let role = wire::greeted(fields)?;
        let name = fields.text(Field::Name)?;
        return heard.greeted(
            role,
            name,
            fields.whole(Field::Life)?,
            fields.upto(Field::Age, u64::MAX >> 8, 0)?,
        );
    }
    let own = || fields.whole(Field::Id).map(Name::Own);
    match fields.kind()? {
        kind::BEGUN => heard.begun(own()?, fields.bytes(Field::Payload)?),
        kind::END => {
            let outcome = outcome(fields)?;
            let copy = fields.upto(Field::Copy, 4, 0)? as u32;
            let company = fields.upto(Field::Company, 30, 0)? as u32;
            let (payload, own) = (fields.bytes(Field::Payload)?, own()?);
            report(fields, heard)?;
            refused(fields, heard)?;
            heard.ended(own, outcome, copy | company << 3, payload)
        }
        kind::HELD => {
            let (outcome, copies) = (outcome(fields)?, fields.upto(Field::Copies, 1 << 16, 0)?);
            let own = own()?;
            refused(fields, heard)?;
            heard.held(own, outcome, copies as u32)
        }
        kind::PROBED => {
            let own = own()?;
            report(fields, heard)?;
            heard.probed(own, true)
        }
        kind::PROMISED => heard.promised(fields),
        kind::DRAINS => {
            heard.drains();
            Ok(())
        }
        kind::ERROR => {
            heard.said(fields.text(Field::Reason)?);
            Ok(())
        }
        other => Err(format!("field kind: {other} is not for a gateway")),
    }
}

fn report(fields: &Fields, heard: &mut dyn Heard) -> Result<(), String> {
    if fields.has(Field::InFlight) || fields.has(Field::Busy) {
        heard.reported(
            fields.real(Field::InFlight, 0.0)?,
            fields.real(Field::Busy, 0.0)?,
        );
    }
    Ok(())
}

/// Refused as another member serves: that is looked into.
fn refused(fields: &Fields, heard: &mut dyn Heard) -> Result<(), String> {
    if fields.text(Field::Outcome)? == "fenced" {
        heard.fenced();
    }
    Ok(())
}

fn outcome(fields: &Fields) -> Result<Outcome, String> {
    Ok(match fields.text(Field::Outcome)? {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        // One that refuses as another member serves counts as full.
        "full" | "fenced" => Outcome::AtCapacity,
        "miss" => Outcome::Miss,
        "cancelled" => Outcome::Cancelled,
        other => return Err(format!("field outcome: '{other}' is no outcome")),
    })
}

/// The roster of `docs/wire.md`.
pub struct Roster {
    at: SocketAddr,
    greeted: bool,
    retry: Retry,
}

impl Roster {
    pub fn new(at: SocketAddr, retry: Retry) -> Roster {
        Roster {
            at,
            greeted: false,
            retry,
        }
    }
}

impl Feed for Roster {
    fn at(&self) -> SocketAddr {
        self.at
    }

    fn connected(&mut self, out: &mut Vec<u8>, me: &Me, follows: bool) {
        self.greeted = false;
        hello(out, me);
        if follows {
            Frame::new(out, kind::FOLLOW).flag(Field::On, true).end();
        }
    }

    fn read(&mut self, bytes: &[u8], told: &mut dyn Told) -> Result<Option<usize>, String> {
        let Some((body, len)) = wire::frame(bytes)? else {
            return Ok(None);
        };
        let fields = Fields::read(body)?;
        if !self.greeted {
            if wire::greeted(&fields)? != "roster" {
                return Err("field role: no roster answers there".to_string());
            }
            self.greeted = true;
            return Ok(Some(len));
        }
        match fields.kind()? {
            kind::ROSTER => {
                let whole = match fields.text(Field::Scope)? {
                    "whole" => true,
                    "patch" => false,
                    other => return Err(format!("field scope: '{other}' is no scope")),
                };
                // All of it is read before any of it is taken over.
                let mut entries: Vec<Entry> = Vec::new();
                fields.entries(|e| {
                    entries.push(list::entry(e)?);
                    Ok(())
                })?;
                told.list(&entries, whole);
            }
            kind::ERROR => told.said(fields.text(Field::Reason)?),
            other => return Err(format!("field kind: {other} is not for a gateway")),
        }
        Ok(Some(len))
    }

    fn retry(&mut self) -> Time {
        self.retry.wait()
    }

    fn complain(&self, out: &mut Vec<u8>, reason: &str) {
        wire::error(out, reason);
    }

    fn native(&self) -> bool {
        true
    }
}
