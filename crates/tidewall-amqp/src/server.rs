//! Connections and channels: what clients say becomes calls of the broker and of `Outside`, and messages find their
//! way to consumers. Errors are the specification's own: soft ones close their channel, hard ones the connection.
use crate::broker::{Broker, Consumer, Message, QueueSpec};
use crate::codec::{self, Args, Out, Properties, TableOut, Value};
use crate::{code, Fault, Time};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

mod channel;
mod confirms;
mod connection;
mod dead_letters;
mod delivery;
mod errors;
mod heartbeat;
mod publish;
mod topology;

use dead_letters::died;

/// A publish to the trigger exchange.
pub struct Trigger<'a> {
    pub user: &'a str,
    pub key: &'a str,
    pub properties: &'a Properties<'a>,
    pub redelivered: bool,
    pub body: &'a [u8],
}

/// What is behind the server. Connections have the numbers that they were announced with.
pub trait Outside {
    fn write(&mut self, link: u64, bytes: &[u8]);
    /// False while so much waits unsent that no more should be delivered there.
    fn room(&self, link: u64) -> bool;
    /// After what was written.
    fn close(&mut self, link: u64);
    /// Checks a password, slowly and elsewhere; `Server::checked` follows.
    fn check(&mut self, conn: usize, user: &str, password: &[u8]);
    /// Takes an event, or tells the word and the reason with which it is answered at once.
    fn take(&mut self, ticket: u64, trigger: &Trigger) -> Result<(), (Word, &'static str)>;
}

/// The final answer's words.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    Handled,
    Deferred,
    DeadLettered,
    /// It was not taken.
    TurnedAway,
}

impl Word {
    pub fn text(self) -> &'static str {
        match self {
            Word::Handled => "handled",
            Word::Deferred => "deferred",
            Word::DeadLettered => "dead-lettered",
            Word::TurnedAway => "turned-away",
        }
    }
}

/// What the server offers and bounds; the door takes it from the settings.
#[derive(Clone, Debug)]
pub struct Limits {
    pub frame_max: u32,
    pub channel_max: u16,
    /// Seconds; 0 for none.
    pub heartbeat: u16,
    pub body_max: u64,
    /// A connection must be open this long after it came.
    pub handshake: Time,
    /// Bytes of all queues; a publish beyond is refused.
    pub queued_most: usize,
    pub trigger: String,
    pub dead_letters: String,
    pub vhosts: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Protocol,
    Start,
    Checking,
    Tune,
    Open,
    Running,
    /// We closed and wait for close-ok; nothing else is heard.
    Closing,
}

struct Peer {
    link: u64,
    state: State,
    vhost: usize,
    user: String,
    frame_max: u32,
    channel_max: u16,
    heartbeat: Time,
    came: Time,
    read: Time,
    wrote: Time,
    channels: BTreeMap<u16, Channel>,
    /// Told that publishing is held back.
    blocked: bool,
    can_block: bool,
    /// Triggers whose answers are awaited.
    debts: usize,
}

/// Content that is being put together.
struct Content {
    exchange: Rc<str>,
    key: Rc<str>,
    mandatory: bool,
    head: Option<(u64, Rc<[u8]>)>,
    body: Vec<u8>,
}

struct Unacked {
    tag: u64,
    queue: usize,
    /// Tells the users of a queue's place apart.
    name: Rc<str>,
    consumer: Rc<str>,
    message: Message,
}

#[derive(Default)]
struct Channel {
    /// Tells the users of a channel's number apart.
    count: u64,
    closing: bool,
    flow_off: bool,
    confirm: bool,
    published: u64,
    out: BTreeSet<u64>,
    done: BTreeSet<u64>,
    next_tag: u64,
    unacked: VecDeque<Unacked>,
    /// Consumer tag to its queue, with its own bound.
    consumers: BTreeMap<Rc<str>, (usize, u16)>,
    prefetch: u16,
    prefetch_all: u16,
    reply_consumer: Option<Rc<str>>,
    content: Option<Content>,
    last_queue: String,
    named: u64,
}

/// A trigger that waits for its answer.
struct Waiting {
    conn: usize,
    link: u64,
    channel: u16,
    count: u64,
    seq: u64,
    reply_to: String,
    vhost: usize,
    message: Message,
    correlation_id: String,
}

/// The name with which a client asks for answers on its own channel.
const DIRECT: &str = "amq.rabbitmq.reply-to";

/// Consumers are fed while less than this waits unsent, by the caller's word.
pub struct Server {
    limits: Limits,
    peers: Slab<Peer>,
    pub brokers: Vec<Broker>,
    waiting: Slab<Waiting>,
    counts: u64,
    /// Queues that may have something for a consumer.
    stirred: Vec<(usize, usize)>,
    /// Publishes whose clients have given up: a nack is due.
    refused: Vec<(usize, u64, u16, u64, u64)>,
    /// Channels with confirms to send.
    confirms: Vec<(usize, u16)>,
    out: Vec<u8>,
    now: Time,
    /// Answers that no reply queue was there for, and connections ended by an exception.
    pub unroutable: u64,
    pub exceptions: u64,
    pub last_exception: String,
}

type Done = Result<(), Fault>;

impl Server {
    pub fn new(limits: Limits) -> Server {
        let brokers = limits
            .vhosts
            .iter()
            .map(|_| Broker::new(&limits.trigger))
            .collect();
        Server {
            limits,
            peers: Slab::new(),
            brokers,
            waiting: Slab::new(),
            counts: 0,
            stirred: Vec::new(),
            refused: Vec::new(),
            confirms: Vec::new(),
            out: Vec::new(),
            now: 0,
            unroutable: 0,
            exceptions: 0,
            last_exception: String::new(),
        }
    }

    pub fn clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    pub fn accepted(&mut self, link: u64) -> usize {
        let now = self.now;
        self.peers.insert(Peer {
            link,
            state: State::Protocol,
            vhost: 0,
            user: String::new(),
            frame_max: self.limits.frame_max,
            channel_max: self.limits.channel_max,
            heartbeat: 0,
            came: now,
            read: now,
            wrote: now,
            channels: BTreeMap::new(),
            blocked: false,
            can_block: false,
            debts: 0,
        })
    }

    pub fn connections(&self) -> usize {
        self.peers.len()
    }

    /// Events whose answers are awaited.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Those of one connection: its debts.
    pub fn debts(&self, conn: usize) -> usize {
        self.peers.get(conn).map_or(0, |p| p.debts)
    }

    /// Who logged in, once the connection is open.
    pub fn user(&self, conn: usize) -> Option<&str> {
        self.peers
            .get(conn)
            .filter(|p| p.state == State::Running)
            .map(|p| p.user.as_str())
    }

    /// Bytes of messages that are ready, in all virtual hosts.
    pub fn queued(&self) -> usize {
        self.brokers.iter().map(|b| b.bytes).sum()
    }

    /// Gives back how many bytes were used.
    pub fn bytes<O: Outside>(&mut self, o: &mut O, conn: usize, bytes: &[u8]) -> usize {
        let mut used = 0;
        if let Some(p) = self.peers.get_mut(conn) {
            p.read = self.now;
        }
        while let Some(p) = self.peers.get(conn) {
            let rest = &bytes[used..];
            if p.state == State::Protocol {
                if rest.len() < 8 && codec::PROTOCOL.starts_with(rest) {
                    break;
                }
                if !rest.starts_with(&codec::PROTOCOL) {
                    // 4.2.2: the server answers with the protocol that it speaks and closes.
                    o.write(p.link, &codec::PROTOCOL);
                    o.close(p.link);
                    self.gone(conn);
                    return bytes.len();
                }
                used += 8;
                self.start(o, conn);
                continue;
            }
            match codec::frame(rest, p.frame_max) {
                Ok(None) => break,
                Ok(Some((frame, len))) => {
                    used += len;
                    let channel = frame.channel;
                    if let Err(fault) = self.frame(o, conn, &frame) {
                        self.exception(o, conn, channel, fault);
                    }
                }
                Err(fault) => {
                    self.exception(o, conn, 0, fault);
                    return bytes.len();
                }
            }
        }
        self.settle(o);
        used
    }

    fn write<O: Outside>(&mut self, o: &mut O, conn: usize) {
        if let Some(p) = self.peers.get_mut(conn) {
            p.wrote = self.now;
            o.write(p.link, &self.out);
        }
        self.out.clear();
    }

    /// Writes one method.
    fn say<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        (channel, class, method): (u16, u16, u16),
        args: impl FnOnce(Out) -> Out,
    ) {
        self.out.clear();
        args(Out::method(&mut self.out, channel, class, method)).end();
        self.write(o, conn);
    }
}
