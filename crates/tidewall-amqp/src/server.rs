//! Connections and channels: what clients say becomes calls of the broker and of `Outside`, and messages find their
//! way to consumers. Errors are the specification's own: soft ones close their channel, hard ones the connection.
use crate::broker::{Broker, Consumer, Message, QueueSpec};
use crate::codec::{self, Args, Out, Properties, TableOut, Value};
use crate::{code, Fault, Time};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

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

    /// Nobody is told of this trigger any more: its client has given up. Its confirm is a nack at the next settle;
    /// without one a later ack of many would speak for it.
    pub fn forget(&mut self, ticket: u64) {
        if let Some(w) = self.waiting.try_remove(ticket as usize) {
            if let Some(p) = self.peers.get_mut(w.conn).filter(|p| p.link == w.link) {
                p.debts -= 1;
            }
            if w.seq > 0 {
                self.refused
                    .push((w.conn, w.link, w.channel, w.count, w.seq));
            }
        }
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

    fn start<O: Outside>(&mut self, o: &mut O, conn: usize) {
        self.peers[conn].state = State::Start;
        let mut can = TableOut::default();
        for name in [
            "publisher_confirms",
            "basic.nack",
            "connection.blocked",
            "consumer_cancel_notify",
        ] {
            can.flag(name, true);
        }
        let mut about = TableOut::default();
        about.text("product", "tidewall");
        about.table("capabilities", &can.0);
        self.say(o, conn, (0, 10, 10), |m| {
            m.octet(0)
                .octet(9)
                .long_str(&about.0)
                .long_str(b"PLAIN")
                .long_str(b"en_US")
        });
    }

    /// Ends a channel or a connection with the exception's own words.
    fn exception<O: Outside>(&mut self, o: &mut O, conn: usize, channel: u16, fault: Fault) {
        self.exceptions += 1;
        self.last_exception = format!(
            "{} {} (class {}, method {})",
            fault.code, fault.text, fault.class, fault.method
        );
        let Some(p) = self.peers.get_mut(conn) else {
            return;
        };
        let write = |m: Out<'_>| -> () {
            m.short(fault.code)
                .short_str(&fault.text)
                .short(fault.class)
                .short(fault.method)
                .end();
        };
        self.out.clear();
        if fault.soft()
            && channel > 0
            && p.state == State::Running
            && p.channels.contains_key(&channel)
        {
            write(Out::method(&mut self.out, channel, 20, 40));
            self.write(o, conn);
            self.end_channel(conn, channel);
            if let Some(c) = self.peers[conn].channels.get_mut(&channel) {
                *c = Channel {
                    count: c.count,
                    closing: true,
                    ..Channel::default()
                };
            }
            return;
        }
        if p.state == State::Closing {
            return;
        }
        if p.state as u8 <= State::Start as u8 && fault.code == code::FRAME_ERROR {
            // Before the connection is there the specification knows no close.
            o.close(p.link);
            return self.gone(conn);
        }
        write(Out::method(&mut self.out, 0, 10, 50));
        self.write(o, conn);
        self.end_channels(conn);
        let p = &mut self.peers[conn];
        p.state = State::Closing;
        p.came = self.now;
    }

    fn frame<O: Outside>(&mut self, o: &mut O, conn: usize, frame: &codec::RawFrame) -> Done {
        let p = &mut self.peers[conn];
        if p.state == State::Closing {
            // Only close-ok is still heard (and a close that crossed ours).
            if frame.kind == codec::METHOD
                && matches!(frame.payload, [0, 10, 0, 51, ..] | [0, 10, 0, 50, ..])
            {
                o.close(p.link);
                self.gone(conn);
            }
            return Ok(());
        }
        match frame.kind {
            codec::HEARTBEAT if frame.channel > 0 => Err(Fault::new(
                code::FRAME_ERROR,
                "heartbeats come on channel 0",
            )),
            codec::HEARTBEAT => Ok(()),
            codec::METHOD => {
                let mut args = Args::new(frame.payload);
                let (class, method) = (args.short()?, args.short()?);
                let done = self.method(o, conn, frame.channel, (class, method), &mut args);
                done.map_err(|f| Fault { class, method, ..f })
            }
            codec::HEADER => self.header(o, conn, frame.channel, frame.payload),
            _ => self.body(o, conn, frame.channel, frame.payload),
        }
    }

    fn method<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        channel: u16,
        (class, method): (u16, u16),
        a: &mut Args,
    ) -> Done {
        let p = &mut self.peers[conn];
        if class == 10 {
            if channel > 0 {
                return Err(Fault::new(
                    code::COMMAND_INVALID,
                    "connection methods come on channel 0",
                ));
            }
            return self.connection(o, conn, method, a);
        }
        if p.state != State::Running {
            return Err(Fault::new(
                code::COMMAND_INVALID,
                "the connection is not open",
            ));
        }
        if channel == 0 || channel > p.channel_max {
            return Err(Fault::new(
                code::CHANNEL_ERROR,
                format!("channel {channel} is not to be had"),
            ));
        }
        if class == 20 && method == 10 {
            if p.channels.contains_key(&channel) {
                return Err(Fault::new(
                    code::CHANNEL_ERROR,
                    format!("channel {channel} is open already"),
                ));
            }
            self.counts += 1;
            p.channels.insert(
                channel,
                Channel {
                    count: self.counts,
                    ..Channel::default()
                },
            );
            self.say(o, conn, (channel, 20, 11), |m| m.long_str(b""));
            return Ok(());
        }
        let Some(c) = p.channels.get_mut(&channel) else {
            return Err(Fault::new(
                code::CHANNEL_ERROR,
                format!("channel {channel} is not open"),
            ));
        };
        if c.closing {
            // 1.4.2.5 (channel.close): everything but close-ok is dropped until then.
            if class == 20 && matches!(method, 40 | 41) {
                if method == 40 {
                    self.say(o, conn, (channel, 20, 41), |m| m);
                }
                self.peers[conn].channels.remove(&channel);
            }
            return Ok(());
        }
        if c.content.is_some() {
            return Err(Fault::new(
                code::UNEXPECTED_FRAME,
                "a method came within a content",
            ));
        }
        match (class, method) {
            (20, 20) => {
                let on = a.bit()?;
                c.flow_off = !on;
                self.say(o, conn, (channel, 20, 21), |m| m.bit(on));
                self.stir_channel(conn, channel);
                Ok(())
            }
            (20, 21) => Ok(()),
            (20, 40) => {
                self.end_channel(conn, channel);
                self.flush_confirms(o);
                self.peers[conn].channels.remove(&channel);
                self.say(o, conn, (channel, 20, 41), |m| m);
                Ok(())
            }
            (20, 41) => Ok(()),
            (40, _) => self.exchange(o, conn, channel, method, a),
            (50, _) => self.queue(o, conn, channel, method, a),
            (60, _) => self.basic(o, conn, channel, method, a),
            (85, 10) => {
                let no_wait = a.bit()?;
                c.confirm = true;
                if !no_wait {
                    self.say(o, conn, (channel, 85, 11), |m| m);
                }
                Ok(())
            }
            (90, _) => Err(Fault::new(
                code::NOT_IMPLEMENTED,
                "transactions are not served",
            )),
            _ => Err(Fault::new(code::COMMAND_INVALID, "the method is unknown")),
        }
    }

    fn connection<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        method: u16,
        a: &mut Args,
    ) -> Done {
        let p = &mut self.peers[conn];
        match (p.state, method) {
            (State::Start, 11) => {
                let about = a.table()?;
                let (mechanism, response, _locale) =
                    (a.short_str()?, a.long_str()?, a.short_str()?);
                if mechanism != "PLAIN" {
                    return Err(Fault::new(
                        code::ACCESS_REFUSED,
                        format!("mechanism '{mechanism}' is not offered"),
                    ));
                }
                if let Some(Value::Table(can)) = about.get("capabilities") {
                    p.can_block = can.get("connection.blocked") == Some(Value::Flag(true));
                }
                // RFC 4616: who to act for, who it is, password, with a zero octet between them.
                let mut parts = response.splitn(3, |b| *b == 0);
                let (_, user, password) = (parts.next(), parts.next(), parts.next());
                let user = user.and_then(|u| std::str::from_utf8(u).ok());
                let (Some(user), Some(password)) = (user, password) else {
                    return Err(Fault::new(
                        code::SYNTAX_ERROR,
                        "the PLAIN response is malformed",
                    ));
                };
                p.state = State::Checking;
                p.user = user.to_string();
                o.check(conn, user, password);
                Ok(())
            }
            (State::Tune, 31) => {
                let (channels, frame, heartbeat) = (a.short()?, a.long()?, a.short()?);
                let most = |asked: u64, ours: u64| if asked == 0 { ours } else { asked.min(ours) };
                if frame > 0 && frame < codec::FRAME_MIN || frame > self.limits.frame_max {
                    return Err(Fault::new(
                        code::SYNTAX_ERROR,
                        format!("frame-max {frame} was not offered"),
                    ));
                }
                p.channel_max =
                    most(u64::from(channels), u64::from(self.limits.channel_max)) as u16;
                p.frame_max = most(u64::from(frame), u64::from(self.limits.frame_max)) as u32;
                p.heartbeat = Time::from(heartbeat) * 10_000;
                p.state = State::Open;
                Ok(())
            }
            (State::Open, 40) => {
                let vhost = a.short_str()?;
                let known = self.limits.vhosts.iter().position(|v| v == vhost);
                p.vhost = known.ok_or_else(|| {
                    Fault::new(code::NOT_ALLOWED, format!("no virtual host '{vhost}'"))
                })?;
                p.state = State::Running;
                self.say(o, conn, (0, 10, 41), |m| m.octet(0));
                Ok(())
            }
            (_, 50) => {
                self.say(o, conn, (0, 10, 51), |m| m);
                o.close(self.peers[conn].link);
                self.gone(conn);
                Ok(())
            }
            (_, 51) => Ok(()),
            (State::Running, 70) => {
                Err(Fault::new(code::NOT_IMPLEMENTED, "secrets are not renewed"))
            }
            _ => Err(Fault::new(
                code::COMMAND_INVALID,
                format!("connection method {method} is out of its turn"),
            )),
        }
    }

    /// The password was checked.
    pub fn checked<O: Outside>(&mut self, o: &mut O, conn: usize, link: u64, good: bool) {
        let Some(p) = self.peers.get_mut(conn) else {
            return;
        };
        if p.link != link || p.state != State::Checking {
            return; // it left meanwhile
        }
        if !good {
            let fault = Fault {
                class: 10,
                method: 11,
                ..Fault::new(code::ACCESS_REFUSED, "login refused")
            };
            return self.exception(o, conn, 0, fault);
        }
        p.state = State::Tune;
        let Limits {
            channel_max,
            frame_max,
            heartbeat,
            ..
        } = self.limits;
        self.say(o, conn, (0, 10, 30), |m| {
            m.short(channel_max).long(frame_max).short(heartbeat)
        });
    }

    fn exchange<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        method: u16,
        a: &mut Args,
    ) -> Done {
        let broker = &mut self.brokers[self.peers[conn].vhost];
        let (no_wait, reply) = match method {
            10 => {
                a.short()?;
                let (name, kind) = (a.short_str()?, a.short_str()?);
                let (passive, durable, auto_delete, internal, no_wait) =
                    (a.bit()?, a.bit()?, a.bit()?, a.bit()?, a.bit()?);
                a.table()?;
                broker.declare_exchange(name, kind, passive, (durable, auto_delete, internal))?;
                (no_wait, 11)
            }
            20 => {
                a.short()?;
                let (name, if_unused, no_wait) = (a.short_str()?, a.bit()?, a.bit()?);
                broker.delete_exchange(name, if_unused)?;
                (no_wait, 21)
            }
            30 | 40 => {
                return Err(Fault::new(
                    code::NOT_IMPLEMENTED,
                    "exchanges are not bound to exchanges",
                ))
            }
            _ => return Err(Fault::new(code::COMMAND_INVALID, "the method is unknown")),
        };
        if !no_wait {
            self.say(o, conn, (ch, 40, reply), |m| m);
        }
        Ok(())
    }

    /// An empty name means the channel's last queue (50, queue-name).
    fn named(&self, conn: usize, ch: u16, name: &str) -> Result<usize, Fault> {
        let p = &self.peers[conn];
        let last = &p.channels[&ch].last_queue;
        if name.is_empty() && last.is_empty() {
            return Err(Fault::new(
                code::NOT_FOUND,
                "no queue was declared on this channel",
            ));
        }
        self.brokers[p.vhost].queue(conn, if name.is_empty() { last } else { name })
    }

    fn queue<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        method: u16,
        a: &mut Args,
    ) -> Done {
        let vhost = self.peers[conn].vhost;
        a.short()?;
        match method {
            10 => {
                let name = a.short_str()?;
                let (passive, durable, exclusive, auto_delete, no_wait) =
                    (a.bit()?, a.bit()?, a.bit()?, a.bit()?, a.bit()?);
                let table = a.table()?;
                let text = |v: Option<Value>| match v {
                    Some(Value::Text(t)) => String::from_utf8(t.to_vec()).ok(),
                    _ => None,
                };
                let ttl = match table.get("x-message-ttl") {
                    None => None,
                    Some(Value::Whole(v)) if v >= 0 => Some(v as u64),
                    Some(Value::Unsigned(v)) => Some(v),
                    Some(_) => {
                        return Err(Fault::new(
                            code::PRECONDITION_FAILED,
                            "x-message-ttl is no time",
                        ))
                    }
                };
                let spec = QueueSpec {
                    durable,
                    exclusive,
                    auto_delete,
                    dead_letters: text(table.get("x-dead-letter-exchange")),
                    // Milliseconds; the longest that a time here can hold is far beyond any use.
                    ttl: ttl.map(|ms| ms.min(1 << 40) * 10),
                };
                let last = self.peers[conn].channels[&ch].last_queue.clone();
                let name = if name.is_empty() && passive {
                    last
                } else {
                    name.to_string()
                };
                let broker = &mut self.brokers[vhost];
                let queue = broker.declare_queue(conn, &name, passive, &spec)?;
                let q = &broker.queues[queue];
                let (name, ready, consumers) = (
                    q.name.clone(),
                    q.ready.len() as u32,
                    q.consumers.len() as u32,
                );
                if let Some(c) = self.peers[conn].channels.get_mut(&ch) {
                    c.last_queue = name.to_string();
                }
                if !no_wait {
                    self.say(o, conn, (ch, 50, 11), |m| {
                        m.short_str(&name).long(ready).long(consumers)
                    });
                }
            }
            20 | 50 => {
                let (name, exchange, key) = (a.short_str()?, a.short_str()?, a.short_str()?);
                let no_wait = if method == 20 { a.bit()? } else { false };
                a.table()?;
                let queue = self.named(conn, ch, name)?;
                self.brokers[vhost].bind(queue, exchange, key, method == 20)?;
                if !no_wait {
                    self.say(o, conn, (ch, 50, method + 1), |m| m);
                }
            }
            30 => {
                let (name, no_wait) = (a.short_str()?, a.bit()?);
                let queue = self.named(conn, ch, name)?;
                let count = self.brokers[vhost].purge(queue) as u32;
                if !no_wait {
                    self.say(o, conn, (ch, 50, 31), |m| m.long(count));
                }
            }
            40 => {
                let (name, if_unused, if_empty, no_wait) =
                    (a.short_str()?, a.bit()?, a.bit()?, a.bit()?);
                let queue = match self.named(conn, ch, name) {
                    // Deleting what is not there is no error.
                    Err(f) if f.code == code::NOT_FOUND => usize::MAX,
                    other => other?,
                };
                let mut count = 0;
                if let Some(q) = self.brokers[vhost].queues.get(queue) {
                    if if_unused && !q.consumers.is_empty() || if_empty && !q.ready.is_empty() {
                        return Err(Fault::new(
                            code::PRECONDITION_FAILED,
                            "the queue is in use or not empty",
                        ));
                    }
                    count = self.delete_queue(o, vhost, queue, Some((conn, ch))) as u32;
                }
                if !no_wait {
                    self.say(o, conn, (ch, 50, 41), |m| m.long(count));
                }
            }
            _ => return Err(Fault::new(code::COMMAND_INVALID, "the method is unknown")),
        }
        Ok(())
    }

    /// Its consumers are told by a cancel of the server's.
    fn delete_queue<O: Outside>(
        &mut self,
        o: &mut O,
        vhost: usize,
        queue: usize,
        by: Option<(usize, u16)>,
    ) -> usize {
        let (count, consumers) = self.brokers[vhost].delete_queue(queue);
        for c in consumers {
            let channel = self
                .peers
                .get_mut(c.conn)
                .and_then(|p| p.channels.get_mut(&c.channel));
            if let Some(channel) = channel {
                channel.consumers.remove(&c.tag);
                if by != Some((c.conn, c.channel)) {
                    self.say(o, c.conn, (c.channel, 60, 30), |m| {
                        m.short_str(&c.tag).bit(true)
                    });
                }
            }
        }
        count
    }

    fn basic<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        method: u16,
        a: &mut Args,
    ) -> Done {
        let vhost = self.peers[conn].vhost;
        let Some(c) = self.peers[conn].channels.get_mut(&ch) else {
            return Ok(());
        };
        match method {
            10 => {
                let (size, count, global) = (a.long()?, a.short()?, a.bit()?);
                if size > 0 {
                    return Err(Fault::new(
                        code::NOT_IMPLEMENTED,
                        "prefetch by octets is not served",
                    ));
                }
                if global {
                    c.prefetch_all = count;
                } else {
                    c.prefetch = count;
                }
                self.say(o, conn, (ch, 60, 11), |m| m);
                self.stir_channel(conn, ch);
            }
            20 => return self.consume(o, conn, ch, a),
            30 => {
                let (tag, no_wait) = (a.short_str()?, a.bit()?);
                if c.reply_consumer.as_deref() == Some(tag) {
                    c.reply_consumer = None;
                }
                if let Some((queue, _)) = c.consumers.remove(tag) {
                    if self.brokers[vhost].cancel(queue, conn, ch, tag) {
                        self.delete_queue(o, vhost, queue, None);
                    }
                }
                if !no_wait {
                    self.say(o, conn, (ch, 60, 31), |m| m.short_str(tag));
                }
            }
            40 => {
                a.short()?;
                let (exchange, key) = (a.short_str()?, a.short_str()?);
                let (mandatory, immediate) = (a.bit()?, a.bit()?);
                if immediate {
                    return Err(Fault::new(code::NOT_IMPLEMENTED, "immediate is not served"));
                }
                c.content = Some(Content {
                    exchange: exchange.into(),
                    key: key.into(),
                    mandatory,
                    head: None,
                    body: Vec::new(),
                });
            }
            70 => {
                a.short()?;
                let (name, no_ack) = (a.short_str()?, a.bit()?);
                let queue = self.named(conn, ch, name)?;
                self.expire(o, vhost, queue);
                match self.brokers[vhost].pop(queue) {
                    None => self.say(o, conn, (ch, 60, 72), |m| m.short_str("")),
                    Some(message) => {
                        let left = self.brokers[vhost].queues[queue].ready.len() as u32;
                        let tag = self.hand_out(conn, ch, queue, "".into(), no_ack, &message);
                        let frame_max = self.peers[conn].frame_max;
                        self.out.clear();
                        let m = Out::method(&mut self.out, ch, 60, 71)
                            .long_long(tag)
                            .bit(message.redelivered);
                        m.short_str(&message.exchange)
                            .short_str(&message.key)
                            .long(left)
                            .end();
                        codec::content(
                            &mut self.out,
                            ch,
                            &message.properties,
                            &message.body,
                            frame_max,
                        );
                        self.write(o, conn);
                    }
                }
            }
            80 | 120 => {
                let (tag, multiple) = (a.long_long()?, a.bit()?);
                let requeue = if method == 120 { Some(a.bit()?) } else { None };
                self.acked(o, conn, ch, tag, multiple, requeue)?;
            }
            90 => {
                let (tag, requeue) = (a.long_long()?, a.bit()?);
                self.acked(o, conn, ch, tag, false, Some(requeue))?;
            }
            100 | 110 => {
                let requeue = a.bit()?;
                if !requeue {
                    return Err(Fault::new(
                        code::NOT_IMPLEMENTED,
                        "recover goes by way of the queue",
                    ));
                }
                let unacked = std::mem::take(&mut c.unacked);
                unacked
                    .into_iter()
                    .rev()
                    .for_each(|u| self.put_back(vhost, u));
                if method == 110 {
                    self.say(o, conn, (ch, 60, 111), |m| m);
                }
            }
            _ => return Err(Fault::new(code::COMMAND_INVALID, "the method is unknown")),
        }
        Ok(())
    }

    fn consume<O: Outside>(&mut self, o: &mut O, conn: usize, ch: u16, a: &mut Args) -> Done {
        let vhost = self.peers[conn].vhost;
        a.short()?;
        let (name, tag) = (a.short_str()?, a.short_str()?);
        let (_no_local, no_ack, exclusive, no_wait) = (a.bit()?, a.bit()?, a.bit()?, a.bit()?);
        a.table()?;
        let Some(c) = self.peers[conn].channels.get_mut(&ch) else {
            return Ok(());
        };
        c.named += 1;
        let tag: Rc<str> = if tag.is_empty() {
            format!("ctag-{ch}-{}", c.named).into()
        } else {
            tag.into()
        };
        if c.consumers.contains_key(&tag) || c.reply_consumer.as_ref() == Some(&tag) {
            return Err(Fault::new(
                code::NOT_ALLOWED,
                format!("consumer tag '{tag}' is in use"),
            ));
        }
        if name == DIRECT {
            if !no_ack || c.reply_consumer.is_some() {
                return Err(Fault::new(
                    code::PRECONDITION_FAILED,
                    "direct replies are consumed once, without acks",
                ));
            }
            c.reply_consumer = Some(tag.clone());
        } else {
            let prefetch = c.prefetch;
            let queue = self.named(conn, ch, name)?;
            let consumer = Consumer {
                conn,
                channel: ch,
                tag: tag.clone(),
                no_ack,
                exclusive,
            };
            self.brokers[vhost].consume(queue, consumer)?;
            if let Some(c) = self.peers[conn].channels.get_mut(&ch) {
                c.consumers.insert(tag.clone(), (queue, prefetch));
            }
            self.stirred.push((vhost, queue));
        }
        if !no_wait {
            self.say(o, conn, (ch, 60, 21), |m| m.short_str(&tag));
        }
        Ok(())
    }

    /// Gives a message its delivery tag, and keeps it where an ack is due.
    fn hand_out(
        &mut self,
        conn: usize,
        ch: u16,
        queue: usize,
        tag: Rc<str>,
        no_ack: bool,
        m: &Message,
    ) -> u64 {
        let p = &mut self.peers[conn];
        let name = self.brokers[p.vhost].queues[queue].name.clone();
        let Some(c) = p.channels.get_mut(&ch) else {
            return 0;
        };
        c.next_tag += 1;
        if !no_ack {
            c.unacked.push_back(Unacked {
                tag: c.next_tag,
                queue,
                name,
                consumer: tag,
                message: m.clone(),
            });
        }
        c.next_tag
    }

    fn acked<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        tag: u64,
        multiple: bool,
        requeue: Option<bool>,
    ) -> Done {
        let vhost = self.peers[conn].vhost;
        let Some(c) = self.peers[conn].channels.get_mut(&ch) else {
            return Ok(());
        };
        // Multiple with tag 0 means all.
        let known = if tag == 0 && multiple {
            !c.unacked.is_empty()
        } else {
            c.unacked.iter().any(|u| u.tag == tag)
        };
        if !(known || tag == 0 && multiple) {
            return Err(Fault::new(
                code::PRECONDITION_FAILED,
                format!("delivery tag {tag} is unknown"),
            ));
        }
        let upto = if tag == 0 { u64::MAX } else { tag };
        let (done, kept): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut c.unacked).into_iter().partition(|u| {
                if multiple {
                    u.tag <= upto
                } else {
                    u.tag == tag
                }
            });
        c.unacked = kept;
        for u in done.into_iter().rev() {
            match requeue {
                Some(true) => self.put_back(vhost, u),
                Some(false) => self.dead_letter(o, vhost, u.queue, &u.name, u.message, "rejected"),
                None => {}
            }
        }
        self.stir_channel(conn, ch);
        Ok(())
    }

    fn put_back(&mut self, vhost: usize, u: Unacked) {
        let same = self.brokers[vhost]
            .queues
            .get(u.queue)
            .is_some_and(|q| q.name == u.name);
        if same {
            self.brokers[vhost].put_back(u.queue, u.message);
            self.stirred.push((vhost, u.queue));
        }
    }

    /// To the queue's dead-letter exchange, with the usual header.
    fn dead_letter<O: Outside>(
        &mut self,
        _o: &mut O,
        vhost: usize,
        queue: usize,
        name: &str,
        message: Message,
        reason: &str,
    ) {
        let known = self.brokers[vhost]
            .queues
            .get(queue)
            .filter(|q| &*q.name == name);
        if let Some(exchange) = known.and_then(|q| q.dead_letters.clone()) {
            if reason != "rejected" && comes_round(&message, name) {
                return;
            }
            let message = died(&message, name, reason, self.now);
            self.publish(vhost, &exchange, message);
        }
    }

    /// To all queues that it reaches; gives back how many. An unknown exchange reaches none.
    fn publish(&mut self, vhost: usize, exchange: &str, message: Message) -> usize {
        let now = self.now;
        let broker = &mut self.brokers[vhost];
        let queues = broker
            .route(exchange, &message.key)
            .map(<[usize]>::to_vec)
            .unwrap_or_default();
        for queue in &queues {
            broker.push(*queue, now, message.clone());
            self.stirred.push((vhost, *queue));
        }
        queues.len()
    }

    fn header<O: Outside>(&mut self, o: &mut O, conn: usize, ch: u16, payload: &[u8]) -> Done {
        let p = &mut self.peers[conn];
        let unexpected = || {
            Fault::new(
                code::UNEXPECTED_FRAME,
                "a content header without its method",
            )
        };
        let Some(c) = p.channels.get_mut(&ch) else {
            return Err(Fault::new(
                code::CHANNEL_ERROR,
                format!("channel {ch} is not open"),
            ));
        };
        if c.closing {
            return Ok(());
        }
        let content = c
            .content
            .as_mut()
            .filter(|c| c.head.is_none())
            .ok_or_else(unexpected)?;
        let (class, size, _, raw) = codec::header(payload).map_err(|f| Fault {
            class: 60,
            method: 40,
            ..f
        })?;
        if class != 60 {
            return Err(Fault::new(
                code::FRAME_ERROR,
                format!("a header of class {class} behind basic.publish"),
            ));
        }
        if size > self.limits.body_max {
            let text = format!("a body of {size} octets is over {}", self.limits.body_max);
            return Err(Fault {
                class: 60,
                method: 40,
                ..Fault::new(code::CONTENT_TOO_LARGE, text)
            });
        }
        content.head = Some((size, raw.into()));
        if size == 0 {
            self.whole(o, conn, ch)
        } else {
            Ok(())
        }
    }

    fn body<O: Outside>(&mut self, o: &mut O, conn: usize, ch: u16, payload: &[u8]) -> Done {
        let p = &mut self.peers[conn];
        let Some(c) = p.channels.get_mut(&ch) else {
            return Err(Fault::new(
                code::CHANNEL_ERROR,
                format!("channel {ch} is not open"),
            ));
        };
        if c.closing {
            return Ok(());
        }
        let content = c
            .content
            .as_mut()
            .and_then(|c| Some((c.head.as_ref()?.0, &mut c.body)));
        let Some((size, body)) = content else {
            return Err(Fault::new(
                code::UNEXPECTED_FRAME,
                "a body without its header",
            ));
        };
        // Room is made for what has come, never for what was only announced.
        body.extend_from_slice(payload);
        match (body.len() as u64).cmp(&size) {
            std::cmp::Ordering::Less => Ok(()),
            std::cmp::Ordering::Equal => self.whole(o, conn, ch),
            std::cmp::Ordering::Greater => Err(Fault::new(
                code::UNEXPECTED_FRAME,
                "the body is longer than its header told",
            )),
        }
    }

    /// A content is complete: it is published.
    fn whole<O: Outside>(&mut self, o: &mut O, conn: usize, ch: u16) -> Done {
        let fail = |f: Fault| Fault {
            class: 60,
            method: 40,
            ..f
        };
        let now = self.now;
        let (vhost, link) = (self.peers[conn].vhost, self.peers[conn].link);
        let Some(c) = self.peers[conn].channels.get_mut(&ch) else {
            return Ok(());
        };
        let Some(Content {
            exchange,
            key,
            mandatory,
            head: Some((_, raw)),
            body,
        }) = c.content.take()
        else {
            return Ok(());
        };
        let (count, named) = (c.count, c.reply_consumer.is_some());
        let mut seq = 0;
        if c.confirm {
            c.published += 1;
            seq = c.published;
            c.out.insert(seq);
        }
        let properties = codec::properties(&mut Args::new(&raw)).map_err(fail)?;
        let expiration = match properties.expiration {
            "" => None,
            text => {
                let ms = text.parse::<u64>().map_err(|_| {
                    fail(Fault::new(
                        code::PRECONDITION_FAILED,
                        format!("expiration '{text}' is no time"),
                    ))
                })?;
                Some(now + ms.min(1 << 40) * 10)
            }
        };
        if !properties.user_id.is_empty() && properties.user_id != self.peers[conn].user {
            return Err(fail(Fault::new(
                code::PRECONDITION_FAILED,
                "user-id is not who logged in",
            )));
        }
        let message = Message {
            exchange: exchange.clone(),
            key,
            properties: raw.clone(),
            body: body.into(),
            priority: properties.priority,
            expires: expiration,
            redelivered: false,
        };
        if self.brokers[vhost].is_trigger(&exchange) {
            let mut reply_to = properties.reply_to.to_string();
            if reply_to == DIRECT {
                if !named {
                    let text = "direct replies are asked for, and nobody consumes them";
                    return Err(fail(Fault::new(code::PRECONDITION_FAILED, text)));
                }
                reply_to = format!("{DIRECT}.{conn}.{ch}.{count}");
            }
            let waiting = Waiting {
                conn,
                link,
                channel: ch,
                count,
                seq,
                reply_to,
                vhost,
                message: message.clone(),
                correlation_id: properties.correlation_id.to_string(),
            };
            let ticket = self.waiting.insert(waiting) as u64;
            self.peers[conn].debts += 1;
            let resent = matches!(
                properties.headers.and_then(|h| h.get("x-redelivered")),
                Some(Value::Flag(true))
            );
            let user = self.peers[conn].user.clone();
            let (key, body) = (message.key.clone(), message.body.clone());
            let trigger = Trigger {
                user: &user,
                key: &key,
                properties: &properties,
                redelivered: resent,
                body: &body,
            };
            if let Err((word, reason)) = o.take(ticket, &trigger) {
                self.answered(o, ticket, word, 0, reason, &[]);
            }
            return Ok(());
        }
        if self.queued() + message.weight() > self.limits.queued_most {
            // Nothing is dropped in silence: with confirms it is refused, else the channel ends.
            if seq > 0 {
                self.confirm(conn, link, ch, count, seq, false, o);
                return Ok(());
            }
            return Err(fail(Fault::new(
                code::RESOURCE_ERROR,
                "the queues are full",
            )));
        }
        let reached = {
            let known = self.brokers[vhost]
                .route(&exchange, &message.key)
                .map_err(fail)?
                .len();
            if known > 0 {
                self.publish(vhost, &exchange, message.clone())
            } else {
                0
            }
        };
        if reached == 0 && mandatory {
            self.give_back(
                o,
                conn,
                ch,
                (code::NO_ROUTE, "no queue is bound for it"),
                &message,
            );
        }
        if seq > 0 {
            self.confirm(conn, link, ch, count, seq, true, o);
        }
        Ok(())
    }

    fn give_back<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        why: (u16, &str),
        m: &Message,
    ) {
        let frame_max = self.peers[conn].frame_max;
        self.out.clear();
        let f = Out::method(&mut self.out, ch, 60, 50)
            .short(why.0)
            .short_str(why.1);
        f.short_str(&m.exchange).short_str(&m.key).end();
        codec::content(&mut self.out, ch, &m.properties, &m.body, frame_max);
        self.write(o, conn);
    }

    /// A confirm is due; acks wait to be told together, nacks are told at once.
    #[allow(clippy::too_many_arguments)] // each says where the publish came from
    fn confirm<O: Outside>(
        &mut self,
        conn: usize,
        link: u64,
        ch: u16,
        count: u64,
        seq: u64,
        good: bool,
        o: &mut O,
    ) {
        let Some(p) = self.peers.get_mut(conn).filter(|p| p.link == link) else {
            return;
        };
        let Some(c) = p
            .channels
            .get_mut(&ch)
            .filter(|c| c.count == count && !c.closing)
        else {
            return;
        };
        if !c.out.remove(&seq) {
            return;
        }
        if good {
            if c.done.is_empty() {
                self.confirms.push((conn, ch));
            }
            c.done.insert(seq);
        } else {
            self.say(o, conn, (ch, 60, 120), |m| {
                m.long_long(seq).bit(false).bit(false)
            });
        }
    }

    fn flush_confirms<O: Outside>(&mut self, o: &mut O) {
        for (conn, link, ch, count, seq) in std::mem::take(&mut self.refused) {
            self.confirm(conn, link, ch, count, seq, false, o);
        }
        for (conn, ch) in std::mem::take(&mut self.confirms) {
            let Some(c) = self
                .peers
                .get_mut(conn)
                .and_then(|p| p.channels.get_mut(&ch))
            else {
                continue;
            };
            let done = std::mem::take(&mut c.done);
            // Everything below the first that is still out can be told in one.
            let first_out = c.out.first().copied().unwrap_or(u64::MAX);
            let together = done.range(..first_out).next_back().copied();
            let rest: Vec<u64> = done.range(first_out..).copied().collect();
            if let Some(last) = together {
                self.say(o, conn, (ch, 60, 80), |m| m.long_long(last).bit(true));
            }
            for seq in rest {
                self.say(o, conn, (ch, 60, 80), |m| m.long_long(seq).bit(false));
            }
        }
    }

    /// The one final answer of a trigger: a message to its reply-to, and its confirm.
    pub fn answered<O: Outside>(
        &mut self,
        o: &mut O,
        ticket: u64,
        word: Word,
        come_back: Time,
        reason: &str,
        payload: &[u8],
    ) {
        let Some(w) = self.waiting.try_remove(ticket as usize) else {
            return;
        };
        if let Some(p) = self.peers.get_mut(w.conn).filter(|p| p.link == w.link) {
            p.debts -= 1;
        }
        if !w.reply_to.is_empty() {
            let mut headers = TableOut::default();
            headers.text("x-word", word.text());
            if !reason.is_empty() {
                headers.text("x-reason", reason);
            }
            if come_back > 0 {
                headers.whole("x-come-back-ms", come_back.div_ceil(10) as i64);
            }
            let mut properties = Vec::new();
            let p = Properties {
                headers: Some(codec::Table(&headers.0)),
                correlation_id: &w.correlation_id,
                typ: word.text(),
                ..Properties::default()
            };
            codec::write_properties(&mut properties, &p);
            let message = Message {
                exchange: "".into(),
                key: w.reply_to.as_str().into(),
                properties: properties.into(),
                body: payload.into(),
                priority: 0,
                expires: None,
                redelivered: false,
            };
            let told = if w.reply_to.starts_with(DIRECT) {
                self.direct(o, &w.reply_to, &message)
            } else {
                self.publish(w.vhost, "", message) > 0
            };
            self.unroutable += u64::from(!told);
        }
        if word == Word::DeadLettered && !self.limits.dead_letters.is_empty() {
            let exchange = self.limits.dead_letters.clone();
            let message = died(&w.message, &w.message.exchange.clone(), "maxlen", self.now);
            let message = Message {
                expires: None,
                ..message
            };
            self.publish(w.vhost, &exchange, message);
        }
        // What tells deferred and dead-lettered apart beside the nack.
        let there = self.peers.get(w.conn).is_some_and(|p| {
            p.link == w.link
                && p.channels
                    .get(&w.channel)
                    .is_some_and(|c| c.count == w.count && !c.closing)
        });
        if there && w.seq > 0 && word != Word::Handled {
            let text = match (word, come_back) {
                (Word::Deferred, 0) => format!("deferred {reason}"),
                (Word::Deferred, t) => format!("deferred come-back-ms={} {reason}", t.div_ceil(10)),
                _ => format!("{} {reason}", word.text()),
            };
            let dead = word == Word::DeadLettered;
            let code = if dead {
                code::INTERNAL_ERROR
            } else {
                code::RESOURCE_ERROR
            };
            self.give_back(o, w.conn, w.channel, (code, text.trim_end()), &w.message);
        }
        if w.seq > 0 {
            self.confirm(
                w.conn,
                w.link,
                w.channel,
                w.count,
                w.seq,
                word == Word::Handled,
                o,
            );
        }
    }

    /// Straight to the channel that asked, if it still is the same.
    fn direct<O: Outside>(&mut self, o: &mut O, reply_to: &str, message: &Message) -> bool {
        let mut parts = reply_to.rsplit('.');
        let mut number = || {
            parts
                .next()
                .and_then(|p| p.parse::<u64>().ok())
                .unwrap_or(u64::MAX)
        };
        let (count, ch, conn) = (number(), number() as u16, number() as usize);
        let Some(p) = self.peers.get_mut(conn) else {
            return false;
        };
        let frame_max = p.frame_max;
        let Some(c) = p.channels.get_mut(&ch).filter(|c| c.count == count) else {
            return false;
        };
        let Some(tag) = c.reply_consumer.clone() else {
            return false;
        };
        c.next_tag += 1;
        let delivery = c.next_tag;
        self.deliver(o, conn, ch, &tag, delivery, message, frame_max);
        true
    }

    #[allow(clippy::too_many_arguments)] // the fields of basic.deliver
    fn deliver<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        ch: u16,
        tag: &str,
        delivery: u64,
        m: &Message,
        frame_max: u32,
    ) {
        self.out.clear();
        let f = Out::method(&mut self.out, ch, 60, 60)
            .short_str(tag)
            .long_long(delivery);
        f.bit(m.redelivered)
            .short_str(&m.exchange)
            .short_str(&m.key)
            .end();
        codec::content(&mut self.out, ch, &m.properties, &m.body, frame_max);
        self.write(o, conn);
    }

    /// What waited for a connection has left: its consumers may be fed again.
    pub fn drained<O: Outside>(&mut self, o: &mut O, conn: usize) {
        let channels: Vec<u16> = self
            .peers
            .get(conn)
            .map_or(Vec::new(), |p| p.channels.keys().copied().collect());
        channels
            .into_iter()
            .for_each(|ch| self.stir_channel(conn, ch));
        self.settle(o);
    }

    /// Consumers of this channel may take more now.
    fn stir_channel(&mut self, conn: usize, ch: u16) {
        let Some(p) = self.peers.get(conn) else {
            return;
        };
        let Some(c) = p.channels.get(&ch) else { return };
        let queues = c.consumers.values().map(|q| (p.vhost, q.0));
        self.stirred.extend(queues);
    }

    fn expire<O: Outside>(&mut self, o: &mut O, vhost: usize, queue: usize) {
        let gone = self.brokers[vhost].expired(queue, self.now);
        if !gone.is_empty() {
            let name = self.brokers[vhost].queues[queue].name.clone();
            gone.into_iter()
                .for_each(|m| self.dead_letter(o, vhost, queue, &name, m, "expired"));
        }
    }

    /// Feeds consumers, round robin, as far as their bounds allow; then sends the confirms together.
    pub fn settle<O: Outside>(&mut self, o: &mut O) {
        while let Some((vhost, queue)) = self.stirred.pop() {
            if !self.brokers[vhost].queues.contains(queue) {
                continue;
            }
            self.expire(o, vhost, queue);
            while let Some(consumer) = self.next_consumer(o, vhost, queue) {
                let Some(message) = self.brokers[vhost].pop(queue) else {
                    break;
                };
                let Consumer {
                    conn,
                    channel,
                    tag,
                    no_ack,
                    ..
                } = consumer;
                let delivery = self.hand_out(conn, channel, queue, tag.clone(), no_ack, &message);
                let frame_max = self.peers[conn].frame_max;
                self.deliver(o, conn, channel, &tag, delivery, &message, frame_max);
            }
        }
        self.flush_confirms(o);
    }

    /// The next consumer in turn that may take one more; none where nothing is ready.
    fn next_consumer<O: Outside>(&mut self, o: &O, vhost: usize, queue: usize) -> Option<Consumer> {
        let q = &mut self.brokers[vhost].queues[queue];
        if q.ready.is_empty() {
            return None;
        }
        for _ in 0..q.consumers.len() {
            q.consumers.rotate_left(1);
            let consumer = q.consumers.back()?;
            let Some(p) = self.peers.get(consumer.conn).filter(|p| o.room(p.link)) else {
                continue;
            };
            let Some(c) = p.channels.get(&consumer.channel) else {
                continue;
            };
            let own = c
                .unacked
                .iter()
                .filter(|u| u.consumer == consumer.tag)
                .count();
            let most = c.consumers.get(&consumer.tag).map_or(0, |q| q.1);
            let room = (most == 0 || own < usize::from(most))
                && (c.prefetch_all == 0 || c.unacked.len() < usize::from(c.prefetch_all));
            if !c.flow_off && !c.closing && (consumer.no_ack || room) {
                return Some(consumer.clone());
            }
        }
        None
    }

    /// A channel ends: its consumers go, what was not acked goes back.
    fn end_channel(&mut self, conn: usize, ch: u16) {
        let vhost = self.peers[conn].vhost;
        let Some(c) = self.peers[conn].channels.get_mut(&ch) else {
            return;
        };
        let (consumers, unacked) = (
            std::mem::take(&mut c.consumers),
            std::mem::take(&mut c.unacked),
        );
        c.reply_consumer = None;
        c.content = None;
        for (tag, (queue, _)) in consumers {
            if self.brokers[vhost].cancel(queue, conn, ch, &tag) {
                self.brokers[vhost].delete_queue(queue);
            }
        }
        unacked
            .into_iter()
            .rev()
            .for_each(|u| self.put_back(vhost, u));
    }

    fn end_channels(&mut self, conn: usize) {
        let channels: Vec<u16> = self.peers[conn].channels.keys().copied().collect();
        channels
            .into_iter()
            .for_each(|ch| self.end_channel(conn, ch));
        self.peers[conn].channels.clear();
        let vhost = self.peers[conn].vhost;
        let own: Vec<usize> = {
            let queues = self.brokers[vhost].queues.iter();
            queues
                .filter(|q| q.1.exclusive == Some(conn))
                .map(|q| q.0)
                .collect()
        };
        for queue in own {
            self.brokers[vhost].delete_queue(queue);
        }
    }

    /// The connection is no more. What it published goes on, and is answered where its reply queue stands.
    pub fn gone(&mut self, conn: usize) {
        if self.peers.contains(conn) {
            self.end_channels(conn);
            self.peers.remove(conn);
        }
    }

    /// Holds a connection's publishing back, or lets it go on, where it can be told so.
    pub fn block<O: Outside>(&mut self, o: &mut O, conn: usize, on: bool, reason: &str) {
        let Some(p) = self.peers.get_mut(conn) else {
            return;
        };
        if p.state != State::Running || p.blocked == on {
            return;
        }
        p.blocked = on;
        if p.can_block && on {
            self.say(o, conn, (0, 10, 60), |m| m.short_str(reason));
        } else if p.can_block {
            self.say(o, conn, (0, 10, 61), |m| m);
        }
    }

    /// Heartbeats both ways, handshakes that take too long, closes that are not answered, messages that expire.
    pub fn tick<O: Outside>(&mut self, o: &mut O) {
        let now = self.now;
        let all: Vec<usize> = self.peers.iter().map(|p| p.0).collect();
        for conn in all {
            let p = &self.peers[conn];
            let running = matches!(p.state, State::Running);
            let slow = !running && now > p.came + self.limits.handshake;
            // 4.2.7: a peer that was silent for two intervals is gone.
            if slow || running && p.heartbeat > 0 && now > p.read + 2 * p.heartbeat {
                o.close(p.link);
                self.gone(conn);
            } else if running && p.heartbeat > 0 && now >= p.wrote + p.heartbeat / 2 {
                self.out.clear();
                codec::heartbeat(&mut self.out);
                self.write(o, conn);
            }
        }
        for vhost in 0..self.brokers.len() {
            let queues: Vec<usize> = self.brokers[vhost].queues.iter().map(|q| q.0).collect();
            queues
                .into_iter()
                .for_each(|queue| self.expire(o, vhost, queue));
        }
        self.settle(o);
    }
}

/// Whether it has died in this queue since it was last rejected, if ever: it would go round for ever. The latest comes first,
/// so what a publisher made up lies behind.
fn comes_round(message: &Message, queue: &str) -> bool {
    let properties = codec::properties(&mut Args::new(&message.properties)).unwrap_or_default();
    let Some(Value::Array(deaths)) = properties.headers.and_then(|h| h.get("x-death")) else {
        return false;
    };
    let mut args = Args::new(deaths);
    while args.left() > 0 {
        let (Ok(b'F'), Ok(entry)) = (args.octet(), args.table()) else {
            return false;
        };
        if matches!(entry.get("reason"), Some(Value::Text(b"rejected"))) {
            return false;
        }
        if matches!(entry.get("queue"), Some(Value::Text(name)) if name == queue.as_bytes()) {
            return true;
        }
    }
    false
}

/// The message as its dead letter: with one more entry in `x-death`, in front of those that it had.
fn died(message: &Message, queue: &str, reason: &str, now: Time) -> Message {
    let mut entry = TableOut::default();
    entry.text("queue", queue);
    entry.text("reason", reason);
    entry.text("exchange", &message.exchange);
    entry.whole("count", 1);
    entry.time("time", now / 10_000);
    let mut deaths = vec![b'F'];
    deaths.extend_from_slice(&(entry.0.len() as u32).to_be_bytes());
    deaths.extend_from_slice(&entry.0);
    let properties = codec::properties(&mut Args::new(&message.properties)).unwrap_or_default();
    let mut headers = TableOut::default();
    let old = properties.headers.unwrap_or_default();
    if let Some(Value::Array(before)) = old.get("x-death") {
        deaths.extend_from_slice(before);
    }
    headers.array("x-death", &deaths);
    // The other headers go along as they were encoded.
    let mut args = Args::new(old.0);
    while args.left() > 0 {
        let from = old.0.len() - args.left();
        let Ok(name) = args.short_str() else { break };
        let one = codec::Table(&old.0[from..]).iter().next();
        let rest = one.and_then(|_| codec::skip(&mut args));
        let Some(()) = rest else { break };
        if name != "x-death" {
            headers
                .0
                .extend_from_slice(&old.0[from..old.0.len() - args.left()]);
        }
    }
    let mut out = Vec::new();
    let headers = Some(codec::Table(&headers.0));
    codec::write_properties(
        &mut out,
        &Properties {
            headers,
            expiration: "",
            ..properties
        },
    );
    Message {
        properties: out.into(),
        expires: None,
        redelivered: false,
        ..message.clone()
    }
}
