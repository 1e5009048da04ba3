//! The seam between the gateway and the protocols of workers and of the list. A `Way` writes and reads what goes to and comes
//! from a worker, a `Feed` reads the list; neither knows sockets, time or outcomes, which are the carrier's.
use crate::list::Entry;
use std::net::SocketAddr;
use tidewall::interface::{Outcome, Time};
use tidewall_wire::Fields;

/// By what name a worker's answer comes back: the gateway's own number, or the event's id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Name {
    Own(u64),
    Event(u64),
}

/// Who we are, for protocols in which that is said.
#[derive(Clone, Copy)]
pub struct Me<'a> {
    pub name: &'a str,
    pub number: u64,
    /// Of a pair: one more than the member's place; else 0.
    pub member: u64,
}

/// A launch as it goes out.
pub struct Launched<'a> {
    pub event: u64,
    pub launch: u64,
    pub typ: &'a str,
    pub function: &'a str,
    pub lanes: u32,
    pub memory: f64,
    /// How long until the gateway's wait for it ends, and until the client gives up.
    pub waits: Time,
    pub left: Time,
    pub hint: Time,
    pub mark: &'a [u8],
    pub resent: bool,
    /// 0 where the gateway is none of a pair.
    pub epoch: u64,
    pub payload: &'a [u8],
}

/// An order to load, or an ask where no copies are wanted.
pub struct Order<'a> {
    pub function: &'a str,
    pub copies: u32,
    pub lanes: u32,
    pub memory: f64,
    pub load_hint: Time,
    pub epoch: u64,
}

/// What a worker said; each is told as its bytes are read.
pub trait Heard {
    /// Its name, where workers greet; false where it is not the one that was asked for.
    fn greeted(&mut self, role: &str, name: &str, life: u64, age: Time) -> Result<(), String>;
    /// Whether it has greeted.
    fn known(&self) -> bool;
    fn begun(&mut self, name: Name, payload: &[u8]) -> Result<(), String>;
    /// The end of a launch. `note` holds what is known of the copy, and eight times the company.
    fn ended(
        &mut self,
        name: Name,
        outcome: Outcome,
        note: u32,
        payload: &[u8],
    ) -> Result<(), String>;
    fn held(&mut self, name: Name, outcome: Outcome, copies: u32) -> Result<(), String>;
    /// Whether it said that it is well.
    fn probed(&mut self, name: Name, well: bool) -> Result<(), String>;
    /// A load report: events in flight and the part of its cores that is busy.
    fn reported(&mut self, in_flight: f64, busy: f64);
    fn promised(&mut self, fields: &Fields) -> Result<(), String>;
    /// It refuses, as another member of the pair serves.
    fn fenced(&mut self);
    fn drains(&mut self);
    fn said(&mut self, reason: &str);
}

/// A worker's protocol. Each method writes one message behind what `out` holds.
pub trait Way {
    /// Whether a worker tells its name before anything is sent to it.
    fn greets(&self) -> bool;
    /// Whether a launch that was given up still gets the worker's own end.
    fn ends_given_up(&self) -> bool;
    /// Whether answers name launches by their event's id: then no connection carries an id twice.
    fn by_event(&self) -> bool;
    /// How long the rest of a message that has begun may stay away; none where that means nothing.
    fn rest(&self) -> Option<Time> {
        None
    }
    fn hello(&self, out: &mut Vec<u8>, me: &Me);
    fn launch(&self, out: &mut Vec<u8>, own: u64, launch: &Launched);
    fn cancel(&self, out: &mut Vec<u8>, own: u64, event: u64);
    fn probe(&self, out: &mut Vec<u8>, own: u64);
    fn hold(&self, out: &mut Vec<u8>, own: u64, order: &Order);
    fn unload(&self, out: &mut Vec<u8>, function: &str);
    /// Reads one message and gives back its length; none while it is not whole. An error ends the connection.
    fn read(&self, bytes: &[u8], heard: &mut dyn Heard) -> Result<Option<usize>, String>;
    /// A datagram to another gateway.
    fn tell(&self, out: &mut Vec<u8>, me: u64, bytes: &[u8]);
    /// Who a datagram is from, and what it says; `from` is whose address it came from, where that is known.
    fn told<'a>(&self, from: Option<u32>, bytes: &'a [u8]) -> Result<(u32, &'a [u8]), String>;
    /// What is said before a connection is closed over something malformed.
    fn complain(&self, out: &mut Vec<u8>, reason: &str);
}

/// What the list's source said.
pub trait Told {
    fn list(&mut self, entries: &[Entry], whole: bool);
    fn said(&mut self, reason: &str);
}

/// Lists that were told, to be taken over once their message was read whole.
#[derive(Default)]
pub struct News {
    pub lists: Vec<(Vec<Entry>, bool)>,
}

impl Told for News {
    fn list(&mut self, entries: &[Entry], whole: bool) {
        self.lists.push((entries.to_vec(), whole));
    }

    fn said(&mut self, reason: &str) {
        tracing::warn!(reason, "the roster told");
    }
}

/// Where the list of workers comes from.
pub trait Feed {
    fn at(&self) -> SocketAddr;
    /// Connected: what is said first.
    fn connected(&mut self, out: &mut Vec<u8>, me: &Me, follows: bool);
    /// Reads one message and gives back its length; none while it is not whole. All of a message is taken, or nothing.
    fn read(&mut self, bytes: &[u8], told: &mut dyn Told) -> Result<Option<usize>, String>;
    /// What is asked next, once a message was read; false where the connection is used up.
    fn next(&mut self, _out: &mut Vec<u8>) -> bool {
        true
    }
    /// How long it may say nothing from its last question on; none where silence means nothing.
    fn patience(&self) -> Option<Time> {
        None
    }
    /// How long to wait before it is asked again after the connection broke.
    fn retry(&mut self) -> Time;
    /// The settings' file may have changed; true where the list now comes from another address.
    fn reload(&mut self) -> bool {
        false
    }
    fn complain(&self, _out: &mut Vec<u8>, _reason: &str) {}
    /// Whether the carrier's wishes to follow or look up are said in native frames.
    fn native(&self) -> bool {
        false
    }
}
