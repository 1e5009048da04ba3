//! A gateway among scripted peers on the network in memory.
#![allow(dead_code)] // each test file uses a part
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tidewall_gateway::endpoints::{write_record, EndpointCache, EndpointRecord, NoEndpointCache};
use tidewall_gateway::native_ingress::NativeIngress;
pub use tidewall_gateway::worker_pool::GatewayLimits;
use tidewall_gateway::{Gateway, GatewayConfig};
use tidewall_net::memory::{self, Memory, World};
use tidewall_net::{App, CloseReason, Conn, Listener, Net, Time};
use tidewall_wire::{self as wire, kind, Entries, Field, Fields, Frame};

pub const GATEWAY: &str = "127.0.0.1:700";
pub const ROSTER: &str = "127.0.0.1:701";

pub fn at(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// A frame that a peer got: its connection, kind, id, and the word or outcome in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Got {
    pub conn: Conn,
    pub kind: u64,
    pub id: u64,
    pub event: u64,
    pub word: String,
    pub come_back: Time,
    pub at: Time,
}

/// What a worker does with a launch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    Answers,
    /// Answers so much later.
    After(Time),
    /// Answers, and its connection breaks right behind that.
    AnswersAndBreaks,
    Nothing,
    /// Reads nothing, not even a hello.
    ReadsNothing,
    Says(&'static str),
    /// Begins an answer in parts, and then says nothing.
    Begins,
    /// Answers with so many bytes.
    AnswersWith(usize),
    /// Its connection breaks after so many bytes of its answer.
    BreaksOff(usize),
}

pub struct Peer {
    pub net: Memory,
    pub role: &'static str,
    pub name: String,
    pub life: u64,
    /// How long ago it says that it started; 0 where it does not.
    pub age: Time,
    pub does: Does,
    pub got: Vec<Got>,
    pub over: Vec<CloseReason>,
    pub entries: Vec<EndpointRecord>,
    conns: Vec<Conn>,
    late: Vec<(Conn, u64)>,
}

impl Peer {
    pub fn launches(&self) -> usize {
        self.got.iter().filter(|g| g.kind == kind::LAUNCH).count()
    }

    /// The words that a client got for an event.
    pub fn words(&self, id: u64) -> Vec<&str> {
        let answers = self
            .got
            .iter()
            .filter(|g| g.kind == kind::ANSWER && g.id == id);
        answers.map(|g| g.word.as_str()).collect()
    }

    pub fn connect(&mut self) -> Conn {
        let conn = self.net.connect(at(GATEWAY), 10_000);
        self.conns.push(conn);
        conn
    }

    fn end(&mut self, conn: Conn, id: u64, outcome: &str) {
        let mut out = Vec::new();
        let f = Frame::new(&mut out, kind::END)
            .whole(Field::Id, id)
            .text(Field::Outcome, outcome);
        let payload = if let Does::AnswersWith(size) = self.does {
            vec![7; size]
        } else {
            Vec::new()
        };
        f.whole(Field::Copy, 1)
            .bytes(Field::Payload, &payload)
            .end();
        self.net.write(conn, &out);
    }

    fn tell(&mut self, conn: Conn) {
        let mut list = Entries::default();
        self.entries
            .iter()
            .for_each(|e| list.add(|f| write_record(f, e)));
        let mut out = Vec::new();
        Frame::new(&mut out, kind::ROSTER)
            .text(Field::Scope, "whole")
            .entries(&list)
            .end();
        self.net.write(conn, &out);
    }

    /// Says something on each of its connections.
    pub fn say(&mut self, bytes: &[u8]) {
        for conn in self.conns.clone() {
            self.net.write(conn, bytes);
        }
    }

    /// Reads on, or not.
    pub fn pause(&mut self, on: bool) {
        for conn in self.conns.clone() {
            self.net.set_read_paused(conn, on);
        }
    }

    /// Tells its list anew to all that follow.
    pub fn tell_all(&mut self) {
        for conn in self.conns.clone() {
            self.tell(conn);
        }
    }

    fn frame(&mut self, conn: Conn, fields: &Fields) {
        let kind = fields.kind().unwrap();
        let word = [Field::Word, Field::Reason]
            .into_iter()
            .find_map(|f| fields.text(f).ok())
            .unwrap_or("");
        let (id, event) = (
            fields.whole(Field::Id).unwrap_or(0),
            fields.whole(Field::Event).unwrap_or(0),
        );
        let come_back = fields.whole(Field::ComeBack).unwrap_or(0);
        let (word, at) = (word.to_string(), self.net.now());
        self.got.push(Got {
            conn,
            kind,
            id,
            event,
            word,
            come_back,
            at,
        });
        let mut out = Vec::new();
        match (self.role, kind) {
            ("client", _) => {}
            (_, kind::HELLO) => {
                let f = Frame::new(&mut out, kind::HELLO).whole(Field::Version, wire::VERSION);
                f.text(Field::Role, self.role)
                    .text(Field::Name, &self.name)
                    .whole(Field::Life, self.life)
                    .whole(Field::Age, self.age)
                    .end();
                self.net.write(conn, &out);
            }
            ("roster", kind::FOLLOW) => {
                self.conns.push(conn);
                self.tell(conn);
            }
            (_, kind::LAUNCH) => match self.does {
                Does::Answers | Does::AnswersWith(_) => self.end(conn, id, "ok"),
                Does::BreaksOff(bytes) => {
                    let f = Frame::new(&mut out, kind::END)
                        .whole(Field::Id, id)
                        .text(Field::Outcome, "ok");
                    f.whole(Field::Copy, 1).end();
                    out.truncate(bytes);
                    self.net.write(conn, &out);
                    self.net.reset(conn);
                }
                Does::Begins => {
                    Frame::new(&mut out, kind::BEGUN).whole(Field::Id, id).end();
                    self.net.write(conn, &out);
                }
                Does::After(wait) => {
                    self.late.push((conn, id));
                    let at = self.net.now() + wait;
                    self.net.set_timer(at, (self.late.len() - 1) as u64);
                }
                Does::AnswersAndBreaks => {
                    self.end(conn, id, "ok");
                    self.net.reset(conn);
                }
                Does::Says(outcome) => self.end(conn, id, outcome),
                Does::Nothing | Does::ReadsNothing => {}
            },
            (_, kind::HOLD) => {
                let copies = fields.whole(Field::Copies).unwrap();
                let f = Frame::new(&mut out, kind::HELD)
                    .whole(Field::Id, id)
                    .text(Field::Outcome, "ok");
                f.whole(Field::Copies, copies).end();
                self.net.write(conn, &out);
            }
            _ => {}
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
        if self.does == Does::ReadsNothing {
            self.net.set_read_paused(conn, true);
        }
    }
    fn connected(&mut self, conn: Conn) {
        if self.role == "raw" {
            return;
        }
        let mut out = Vec::new();
        wire::hello(&mut out, self.role, &self.name, self.life);
        self.net.write(conn, &out);
    }
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        if self.role == "raw" {
            return bytes.len();
        }
        let mut used = 0;
        while let Some((body, len)) = wire::frame(&bytes[used..]).unwrap() {
            used += len;
            self.frame(conn, &Fields::read(body).unwrap());
        }
        used
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, conn: Conn, why: CloseReason) {
        self.conns.retain(|c| *c != conn);
        self.over.push(why);
    }
    fn timer_fired(&mut self, token: u64) {
        let (conn, id) = self.late[token as usize];
        self.end(conn, id, "ok");
    }
}

pub struct Site {
    pub world: Rc<RefCell<World>>,
    pub gateway: Gateway<Memory>,
    pub hand: Memory,
    pub roster: Peer,
    pub workers: Vec<Peer>,
    pub client: Peer,
}

/// Types: 0 "check" redeliverable, 1 "record" keyed in a zone, 2 "issue" at-most-once. Workers load by
/// themselves and orders are not rationed, so that each test is about its own matter.
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

pub fn setup() -> GatewayLimits {
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

pub fn entry(wk: usize) -> EndpointRecord {
    EndpointRecord {
        name: format!("w{wk}"),
        address: at(&format!("127.0.0.1:{}", 800 + wk)),
        zone: "z".to_string(),
        machine: "k".to_string(),
        cell: 0,
        state: tidewall::interface::EndpointState::Active,
        rating: 1.0,
        incarnation: 1,
        age: 0,
    }
}

pub fn site(does: &[Does]) -> Site {
    site_with(does, setup(), Box::new(NoEndpointCache))
}

pub fn site_with(does: &[Does], setup: GatewayLimits, shelf: Box<dyn EndpointCache>) -> Site {
    site_seeded(does, setup, shelf, 7)
}

/// Joins gateway, roster, one worker for each of `does`, and a client, in this order; the client connects.
pub fn site_seeded(
    does: &[Does],
    setup: GatewayLimits,
    shelf: Box<dyn EndpointCache>,
    seed: u64,
) -> Site {
    let world = memory::world();
    let hand = Memory::join(&world);
    let settings = tidewall_config::settings("test", SETTINGS).unwrap();
    let peer = |role, name: String, does| Peer {
        net: Memory::join(&world),
        role,
        name,
        life: 1,
        age: 0,
        does,
        got: Vec::new(),
        over: Vec::new(),
        entries: Vec::new(),
        conns: Vec::new(),
        late: Vec::new(),
    };
    let mut roster = peer("roster", "r".to_string(), Does::Nothing);
    roster.net.listen(at(ROSTER)).unwrap();
    roster.entries = (0..does.len()).map(entry).collect();
    let mut workers = Vec::new();
    for (i, does) in does.iter().enumerate() {
        let mut worker = peer("worker", format!("w{i}"), *does);
        worker.net.listen(entry(i).address).unwrap();
        workers.push(worker);
    }
    let client = peer("client", "c".to_string(), Does::Nothing);
    let start = GatewayConfig {
        name: "g0".to_string(),
        index: 0,
        seed,
        settings: tidewall_config::plain(&settings, 0),
        discovery: at(ROSTER),
        discovery_retry: 5_000,
        peers: vec![None],
        peer_listen: None,
        limits: setup,
        failover: None,
    };
    let mut gateway = Gateway::new(hand.clone(), start, shelf).unwrap();
    gateway
        .add_ingress(at(GATEWAY), Box::new(NativeIngress::new(0, "g0")))
        .unwrap();
    let mut site = Site {
        world,
        gateway,
        hand,
        roster,
        workers,
        client,
    };
    site.client.connect();
    site.pass(1_000);
    site
}

impl Site {
    /// Lets so much time pass.
    pub fn pass(&mut self, time: Time) {
        let until = self.hand.now() + time;
        let mut apps: Vec<&mut dyn App<Net = Memory>> = vec![&mut self.gateway, &mut self.roster];
        self.workers.iter_mut().for_each(|w| apps.push(w));
        apps.push(&mut self.client);
        memory::run(&self.world, &mut apps, until);
    }

    /// The client's events, in one write.
    pub fn ask(&mut self, ids: std::ops::Range<u64>, typ: &str, left: Time) {
        let mut out = Vec::new();
        ids.for_each(|id| event(&mut out, id, typ, left, &[]));
        self.send(&out);
    }

    /// A worker dies and comes back at its address as its next life, before the roster tells.
    pub fn reborn(&mut self, wk: usize) {
        let worker = &mut self.workers[wk];
        worker.net.kill();
        worker.net.restart();
        worker.life += 1;
        worker.net.listen(entry(wk).address).unwrap();
    }

    pub fn send(&mut self, bytes: &[u8]) {
        let conn = self.client.conns[0];
        assert!(self.client.net.write(conn, bytes));
    }

    /// Nothing is left in hand, and each of these events has just one answer.
    pub fn all_answered(&self, ids: std::ops::Range<u64>) {
        for id in ids {
            assert_eq!(
                self.client.words(id).len(),
                1,
                "event {id}: {:?}",
                self.client.words(id)
            );
        }
        assert_eq!(self.gateway.requests_in_flight(), 0);
    }

    pub fn launches(&self) -> usize {
        self.workers.iter().map(Peer::launches).sum()
    }
}

pub fn event(out: &mut Vec<u8>, id: u64, typ: &str, left: Time, payload: &[u8]) {
    let f = Frame::new(out, kind::EVENT)
        .whole(Field::Id, id)
        .text(Field::Type, typ);
    let f = f
        .text(Field::Function, "f")
        .whole(Field::Lanes, 1000)
        .whole(Field::Left, left);
    f.bytes(Field::Mark, &id.to_be_bytes())
        .bytes(Field::Payload, payload)
        .end();
}
