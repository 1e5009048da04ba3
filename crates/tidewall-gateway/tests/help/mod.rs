//! A gateway among scripted peers on an in-memory network.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use tidewall_gateway::endpoints::{write_record, EndpointCache, EndpointRecord, NoEndpointCache};
use tidewall_gateway::native_ingress::NativeIngress;
pub use tidewall_gateway::worker_pool::GatewayLimits;
use tidewall_gateway::{Gateway, GatewayConfig};
use tidewall_net::memory::{self, Memory, World};
use tidewall_net::{App, CloseReason, Conn, Listener, Net, Time};
use tidewall_wire::{self as wire, kind, Entries, Field, Fields, Frame};

pub const GATEWAY: &str = "127.0.0.1:700";
pub const DISCOVERY: &str = "127.0.0.1:701";

pub fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// A frame that a peer received: connection, kind, ids, the word or reason in it, Retry-After and time of
/// receipt.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedFrame {
    pub conn: Conn,
    pub kind: u64,
    pub id: u64,
    pub request_id: u64,
    pub word: String,
    pub retry_after: Time,
    pub received_at: Time,
}

/// How a worker reacts to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    Answers,
    /// Answers after this delay.
    AnswersAfter(Time),
    /// Answers, and resets its connection immediately afterwards.
    AnswersAndResets,
    Nothing,
    /// Answers with this outcome.
    #[allow(dead_code)] // for the AMQP ingress's tests
    AnswersOutcome(&'static str),
    /// Reads nothing, not even the gateway's greeting.
    ReadsNothing,
    /// Sends the first part of a response, and nothing afterwards.
    StartsResponse,
    /// Answers with a payload of this many bytes.
    AnswersBytes(usize),
    /// Sends this many bytes of its answer and resets its connection.
    ResetsAfter(usize),
}

/// A client, worker or discovery server. With the role `raw` it sends nothing unless told to, and ignores
/// what it receives.
pub struct Peer {
    pub net: Memory,
    pub role: &'static str,
    pub name: String,
    pub incarnation: u64,
    /// The time since the start that a worker states in its greeting; 0 for none.
    pub age: Time,
    pub behavior: Behavior,
    pub received_frames: Vec<ReceivedFrame>,
    pub close_reasons: Vec<CloseReason>,
    /// The endpoint list of a discovery server.
    pub endpoints: Vec<EndpointRecord>,
    conns: Vec<Conn>,
    /// Delayed answers; the timer's token is the index in this list.
    delayed: Vec<(Conn, u64)>,
}

impl Peer {
    fn new(world: &Rc<RefCell<World>>, role: &'static str, name: String) -> Peer {
        Peer {
            net: Memory::join(world),
            role,
            name,
            incarnation: 1,
            age: 0,
            behavior: Behavior::Nothing,
            received_frames: Vec::new(),
            close_reasons: Vec::new(),
            endpoints: Vec::new(),
            conns: Vec::new(),
            delayed: Vec::new(),
        }
    }

    /// Number of attempts that a worker received.
    pub fn attempts(&self) -> usize {
        self.received_of(kind::LAUNCH).count()
    }

    /// The frames of this kind that the peer received.
    pub fn received_of(&self, kind: u64) -> impl Iterator<Item = &ReceivedFrame> {
        self.received_frames
            .iter()
            .filter(move |frame| frame.kind == kind)
    }

    /// The disposition words of the responses that a client received for a request.
    pub fn response_words(&self, id: u64) -> Vec<&str> {
        self.received_of(kind::ANSWER)
            .filter(|frame| frame.id == id)
            .map(|frame| frame.word.as_str())
            .collect()
    }

    pub fn connect(&mut self) -> Conn {
        let conn = self.net.connect(address(GATEWAY), 10_000);
        self.conns.push(conn);
        conn
    }

    /// Writes the bytes to each of the peer's connections.
    pub fn write_to_all(&mut self, bytes: &[u8]) {
        for conn in self.conns.clone() {
            self.net.write(conn, bytes);
        }
    }

    /// Sends the endpoint list again to all gateways that watch it.
    pub fn send_list_to_all(&mut self) {
        let list = self.list();
        self.write_to_all(&list);
    }

    fn list(&self) -> Vec<u8> {
        let mut entries = Entries::default();
        for record in &self.endpoints {
            entries.add(|frame| write_record(frame, record));
        }
        let mut out = Vec::new();
        Frame::new(&mut out, kind::ROSTER)
            .text(Field::Scope, "whole")
            .entries(&entries)
            .end();
        out
    }

    fn end_attempt(&mut self, conn: Conn, id: u64, outcome: &str) {
        let payload = match self.behavior {
            Behavior::AnswersBytes(size) => vec![7; size],
            _ => Vec::new(),
        };
        let mut out = Vec::new();
        Frame::new(&mut out, kind::END)
            .whole(Field::Id, id)
            .text(Field::Outcome, outcome)
            .whole(Field::Copy, 1)
            .bytes(Field::Payload, &payload)
            .end();
        self.net.write(conn, &out);
    }

    fn frame_received(&mut self, conn: Conn, fields: &Fields) {
        let kind = fields.kind().unwrap();
        let word = [Field::Word, Field::Reason]
            .into_iter()
            .find_map(|field| fields.text(field).ok())
            .unwrap_or("");
        let id = fields.whole(Field::Id).unwrap_or(0);
        self.received_frames.push(ReceivedFrame {
            conn,
            kind,
            id,
            request_id: fields.whole(Field::Event).unwrap_or(0),
            word: word.to_string(),
            retry_after: fields.whole(Field::ComeBack).unwrap_or(0),
            received_at: self.net.now(),
        });
        match (self.role, kind) {
            ("client", _) => {}
            (_, kind::HELLO) => self.greet(conn),
            ("roster", kind::FOLLOW) => {
                self.conns.push(conn);
                let list = self.list();
                self.net.write(conn, &list);
            }
            (_, kind::LAUNCH) => self.attempt_received(conn, id),
            (_, kind::HOLD) => {
                let instances = fields.whole(Field::Copies).unwrap();
                let mut out = Vec::new();
                Frame::new(&mut out, kind::HELD)
                    .whole(Field::Id, id)
                    .text(Field::Outcome, "ok")
                    .whole(Field::Copies, instances)
                    .end();
                self.net.write(conn, &out);
            }
            _ => {}
        }
    }

    fn greet(&mut self, conn: Conn) {
        let mut out = Vec::new();
        Frame::new(&mut out, kind::HELLO)
            .whole(Field::Version, wire::VERSION)
            .text(Field::Role, self.role)
            .text(Field::Name, &self.name)
            .whole(Field::Life, self.incarnation)
            .whole(Field::Age, self.age)
            .end();
        self.net.write(conn, &out);
    }

    fn attempt_received(&mut self, conn: Conn, id: u64) {
        match self.behavior {
            Behavior::Answers | Behavior::AnswersBytes(_) => self.end_attempt(conn, id, "ok"),
            Behavior::ResetsAfter(bytes) => {
                let mut out = Vec::new();
                Frame::new(&mut out, kind::END)
                    .whole(Field::Id, id)
                    .text(Field::Outcome, "ok")
                    .whole(Field::Copy, 1)
                    .end();
                out.truncate(bytes);
                self.net.write(conn, &out);
                self.net.reset(conn);
            }
            Behavior::StartsResponse => {
                let mut out = Vec::new();
                Frame::new(&mut out, kind::BEGUN).whole(Field::Id, id).end();
                self.net.write(conn, &out);
            }
            Behavior::AnswersAfter(delay) => {
                self.delayed.push((conn, id));
                let at = self.net.now() + delay;
                self.net.set_timer(at, (self.delayed.len() - 1) as u64);
            }
            Behavior::AnswersAndResets => {
                self.end_attempt(conn, id, "ok");
                self.net.reset(conn);
            }
            Behavior::AnswersOutcome(outcome) => self.end_attempt(conn, id, outcome),
            Behavior::Nothing | Behavior::ReadsNothing => {}
        }
    }
}

impl App for Peer {
    type Net = Memory;
    fn net(&mut self) -> &mut Memory {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, conn: Conn, _: SocketAddr) {
        if self.role == "worker" {
            self.conns.push(conn);
        }
        if self.behavior == Behavior::ReadsNothing {
            self.net.set_read_paused(conn, true);
        }
    }
    fn connected(&mut self, conn: Conn) {
        if self.role == "raw" {
            return;
        }
        let mut out = Vec::new();
        wire::hello(&mut out, self.role, &self.name, self.incarnation);
        self.net.write(conn, &out);
    }
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        if self.role == "raw" {
            return bytes.len();
        }
        let mut used = 0;
        while let Some((body, length)) = wire::frame(&bytes[used..]).unwrap() {
            used += length;
            self.frame_received(conn, &Fields::read(body).unwrap());
        }
        used
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, conn: Conn, reason: CloseReason) {
        self.conns.retain(|open| *open != conn);
        self.close_reasons.push(reason);
    }
    fn timer_fired(&mut self, token: u64) {
        let (conn, id) = self.delayed[token as usize];
        self.end_attempt(conn, id, "ok");
    }
}

/// A gateway with its discovery server, workers and a client.
pub struct Site {
    pub world: Rc<RefCell<World>>,
    pub gateway: Gateway<Memory>,
    /// A handle of the gateway's network.
    pub gateway_net: Memory,
    pub discovery: Peer,
    pub workers: Vec<Peer>,
    pub client: Peer,
}

/// Classes: 0 "check" idempotent, 1 "record" with an idempotency key in a zone, 2 "issue" non-idempotent.
/// Workers load functions by themselves and load requests are not rate limited, so that load requests do
/// not interfere with the tests.
const SETTINGS: &str = r#"
gateway { name: "g0" address: "127.0.0.1:700" zone: "z" }
roster { address: "127.0.0.1:701" }
zone: "z"
kind { name: "k" }
event_type { name: "check" target_time_ms: 500 max_age_ms: 2000 redelivery: REDELIVERABLE }
event_type { name: "record" target_time_ms: 500 max_age_ms: 2000 redelivery: KEYED window_ms: 4000 }
event_type { name: "issue" target_time_ms: 500 max_age_ms: 2000 redelivery: AT_MOST_ONCE }
loading { miss: false window_ms: 0 orders: false }
"#;

pub fn limits() -> GatewayLimits {
    GatewayLimits {
        max_requests: 1000,
        connect_timeout: 2_500,
        streams_per_connection: 512,
        connections_per_worker: 2,
        max_worker_connections: usize::MAX,
        spread_threshold: usize::MAX,
        keep_alive: 300_000,
        health_check_timeout: 5_000,
        load_request_timeout: 50_000,
        silence_timeout: 10_000,
    }
}

pub fn endpoint(worker: usize) -> EndpointRecord {
    EndpointRecord {
        name: format!("w{worker}"),
        address: address(&format!("127.0.0.1:{}", 800 + worker)),
        zone: "z".to_string(),
        machine: "k".to_string(),
        cell: 0,
        state: tidewall::interface::EndpointState::Active,
        rating: 1.0,
        incarnation: 1,
        age: 0,
    }
}

pub fn site(behaviors: &[Behavior]) -> Site {
    site_with(behaviors, limits(), Box::new(NoEndpointCache))
}

pub fn site_with(
    behaviors: &[Behavior],
    limits: GatewayLimits,
    cache: Box<dyn EndpointCache>,
) -> Site {
    site_seeded(behaviors, limits, cache, 7)
}

/// Joins a gateway, a discovery server, one worker for each of `behaviors`, and a client to a new network,
/// in this order; the client connects.
pub fn site_seeded(
    behaviors: &[Behavior],
    limits: GatewayLimits,
    cache: Box<dyn EndpointCache>,
    seed: u64,
) -> Site {
    let world = memory::world();
    let gateway_net = Memory::join(&world);
    let settings = tidewall_config::settings("test", SETTINGS).unwrap();
    let mut discovery = Peer::new(&world, "roster", "r".to_string());
    discovery.net.listen(address(DISCOVERY)).unwrap();
    discovery.endpoints = (0..behaviors.len()).map(endpoint).collect();
    let mut workers = Vec::new();
    for (index, behavior) in behaviors.iter().enumerate() {
        let mut worker = Peer::new(&world, "worker", format!("w{index}"));
        worker.behavior = *behavior;
        worker.net.listen(endpoint(index).address).unwrap();
        workers.push(worker);
    }
    let client = Peer::new(&world, "client", "c".to_string());
    let config = GatewayConfig {
        name: "g0".to_string(),
        index: 0,
        seed,
        settings: tidewall_config::scheduler_settings(&settings, 0),
        discovery: address(DISCOVERY),
        discovery_retry: 5_000,
        peers: vec![None],
        peer_listen: None,
        limits,
        failover: None,
    };
    let mut gateway = Gateway::new(gateway_net.clone(), config, cache).unwrap();
    gateway
        .add_ingress(address(GATEWAY), Box::new(NativeIngress::new(0, "g0")))
        .unwrap();
    let mut site = Site {
        world,
        gateway,
        gateway_net,
        discovery,
        workers,
        client,
    };
    site.client.connect();
    site.run_for(1_000);
    site
}

impl Site {
    /// Runs the site for this long.
    pub fn run_for(&mut self, time: Time) {
        let until = self.gateway_net.now() + time;
        let mut apps: Vec<&mut dyn App<Net = Memory>> =
            vec![&mut self.gateway, &mut self.discovery];
        for worker in &mut self.workers {
            apps.push(worker);
        }
        apps.push(&mut self.client);
        memory::run(&self.world, &mut apps, until);
    }

    /// Sends requests from the client, in one write.
    pub fn send_requests(&mut self, ids: Range<u64>, class: &str, remaining: Time) {
        let mut out = Vec::new();
        for id in ids {
            write_request(&mut out, id, class, remaining, &[]);
        }
        self.send(&out);
    }

    /// Kills a worker and restarts it at its address as its next incarnation, before the discovery server
    /// notices.
    pub fn restart_worker(&mut self, worker: usize) {
        let peer = &mut self.workers[worker];
        peer.net.kill();
        peer.net.restart();
        peer.incarnation += 1;
        peer.net.listen(endpoint(worker).address).unwrap();
    }

    /// Writes to the client's connection.
    pub fn send(&mut self, bytes: &[u8]) {
        let conn = self.client.conns[0];
        assert!(self.client.net.write(conn, bytes));
    }

    /// Makes the client stop or resume reading.
    pub fn pause_client_reading(&mut self, paused: bool) {
        for conn in self.client.conns.clone() {
            self.client.net.set_read_paused(conn, paused);
        }
    }

    /// Asserts that nothing is in flight and that each of these requests has exactly one response.
    pub fn assert_all_answered(&self, ids: Range<u64>) {
        for id in ids {
            assert_eq!(
                self.client.response_words(id).len(),
                1,
                "request {id}: {:?}",
                self.client.response_words(id)
            );
        }
        assert_eq!(self.gateway.requests_in_flight(), 0);
    }

    /// Number of attempts that all workers received.
    pub fn attempts(&self) -> usize {
        self.workers.iter().map(Peer::attempts).sum()
    }
}

pub fn write_request(out: &mut Vec<u8>, id: u64, class: &str, remaining: Time, payload: &[u8]) {
    Frame::new(out, kind::EVENT)
        .whole(Field::Id, id)
        .text(Field::Type, class)
        .text(Field::Function, "f")
        .whole(Field::Lanes, 1000)
        .whole(Field::Left, remaining)
        .bytes(Field::Mark, &id.to_be_bytes())
        .bytes(Field::Payload, payload)
        .end();
}
