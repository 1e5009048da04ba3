//! A gateway on the platform among scripted hosts, a board and clients, on the network in memory.
#![allow(dead_code)] // each test file uses a part
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tidewall_gateway::endpoints::NoEndpointCache;
use tidewall_gateway::protocol::ReceivedUpdates;
use tidewall_gateway::worker_pool::GatewayLimits;
use tidewall_gateway::{Gateway, GatewayConfig};
use tidewall_net::memory::{self, Memory, World};
use tidewall_net::{App, CloseReason, Conn, Listener, Net, Time};
use tidewall_platform::{board, config};
use tidewall_platform_ingress::board::{take, Board};
use tidewall_platform_ingress::lines::Lines;
use tidewall_platform_ingress::Platform;

pub const FUNCTION: &str = "7f3a9c21e0b4d655";
pub const SECOND: Time = 10_000;

pub fn at(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// What a host does with a launch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    Answers,
    /// Says so instead of an answer, ID being the launch's, and goes on to answer later ones.
    Says(&'static str),
    /// Says so to its first launch only.
    Once(&'static str),
    /// Its connection breaks under the first launch, which has run.
    BreaksOnce,
    Nothing,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Role {
    Host(Does),
    Board,
    Client,
}

pub struct Peer {
    pub net: Memory,
    pub role: Role,
    /// What came, whole: lines of hosts, requests of a board; of clients the bytes of each connection.
    pub got: Vec<(Conn, String)>,
    pub over: Vec<Conn>,
    pub conns: Vec<Conn>,
    /// Launches at all hosts so far.
    launches: Rc<Cell<usize>>,
    /// What a board answers next; nothing is silence.
    pub news: Option<String>,
}

impl Peer {
    fn line(&mut self, conn: Conn, line: &str) {
        self.got.push((conn, line.to_string()));
        let Role::Host(does) = self.role else { return };
        let id = line.split(' ').nth(1).unwrap_or("");
        let usual = format!("{id} ok res=hit 3\r\nyes\r\n");
        let out = match line.split(' ').next().unwrap_or("") {
            "stage" => format!("{id} ok copies=2 0\r\n\r\n"),
            "stat" => format!("{id} yes gauges=q:0;rif:1 0\r\n\r\n"),
            "go" => {
                self.launches.set(self.launches.get() + 1);
                match does {
                    Does::Answers => usual,
                    Does::Says(text) => text.replace("ID", id),
                    Does::Once(text) if self.launches.get() == 1 => text.replace("ID", id),
                    Does::BreaksOnce if self.launches.get() == 1 => return self.net.reset(conn),
                    Does::Once(_) | Does::BreaksOnce => usual,
                    Does::Nothing => return,
                }
            }
            _ => return,
        };
        self.net.write(conn, out.as_bytes());
    }

    pub fn lines(&self, verb: &str) -> Vec<&str> {
        let own = self.got.iter().map(|g| g.1.as_str());
        own.filter(|l| l.split(' ').next() == Some(verb)).collect()
    }

    /// Answers what was asked last, or says so on its own.
    pub fn tell(&mut self, text: &str) {
        for conn in self.conns.clone() {
            self.net.write(conn, text.as_bytes());
        }
    }

    /// All that came on this connection.
    pub fn text(&self, conn: Conn) -> String {
        self.got
            .iter()
            .filter(|g| g.0 == conn)
            .map(|g| g.1.as_str())
            .collect()
    }
}

impl App for Peer {
    type Net = Memory;
    fn net(&mut self) -> &mut Memory {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, conn: Conn, _: SocketAddr) {
        self.conns.push(conn);
    }
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let text = String::from_utf8_lossy(bytes).to_string();
        match self.role {
            Role::Client => {
                self.got.push((conn, text));
                bytes.len()
            }
            Role::Board => {
                self.got.push((conn, text));
                if let Some(news) = self.news.take() {
                    self.net.write(conn, news.as_bytes());
                }
                bytes.len()
            }
            Role::Host(_) => {
                let mut used = 0;
                while let Some(end) = text[used..].find("\r\n") {
                    let line = text[used..used + end].to_string();
                    used += end + 2;
                    if line.starts_with("go ") {
                        let len: usize = line.rsplit(' ').next().unwrap().parse().unwrap();
                        used += len + 2;
                    }
                    self.line(conn, &line);
                }
                used
            }
        }
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, conn: Conn, _: CloseReason) {
        self.conns.retain(|c| *c != conn);
        self.over.push(conn);
    }
    fn timer_fired(&mut self, _: u64) {}
}

pub struct Site {
    pub world: Rc<RefCell<World>>,
    pub gateway: Gateway<Memory>,
    pub hand: Memory,
    pub board: Peer,
    /// Where a new configuration says that the board is.
    pub moved: Rc<Cell<Option<SocketAddr>>>,
    pub hosts: Vec<Peer>,
    pub client: Peer,
    tag: u64,
}

pub const BOARD: &str = "127.0.0.1:701";
pub const SIBLING: &str = "127.0.0.1:721";
pub const GATEWAY: &str = "127.0.0.1:700";

/// Types: "check" redeliverable, "record" keyed in a zone, "issue" at-most-once.
const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:700","seed":"7","limits":{"memory_mb":32,"sockets":256},
 "board":"127.0.0.1:701","known":{"rev":1,"notices":[{"rev":1,"pool":{"version":0,"full":true,"servers":[HOSTS]}}]},
 "settings":{"me":0,"siblings":1,"tick-ms":1.0,"zones":["z"],"kinds":["k"],"discovery":"pushed",
 "allowed":{"connect-timeout-ms":250.0,"keepalive-ms":30000.0,"max-attempts":3,"most-held":200,"streams-per-conn":32,
  "cancel":true,"may-duplicate":true,"retry-after":true,"max-retry-after-ms":500.0,"probes":true},
 "rules":{"drain-grace-ms":2000.0},"reporting":{"how":"probe","names":["q","rif"]},"tenants":[{"name":"acme","quota-per-s":1000.0}],
 "classes":[{"name":"check","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"read_like"},
  {"name":"record","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"idempotency_key","group":"zone","window-ms":4000.0},
  {"name":"issue","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"non_idempotent"}],
 "extra":{"orders":true,"order-timeout-ms":4000.0,"if-cold":"load","stays-loaded-ms":60000.0,"load-window-ms":0}}}"#;

pub fn host(wk: usize, state: &str) -> String {
    let place = format!(
        "\"id\":\"s-{wk}\",\"addr\":\"127.0.0.1:{}\",\"state\":\"{state}\"",
        800 + wk
    );
    format!("{{{place},\"zone\":\"z\",\"kind\":\"k\",\"cell\":0,\"weight\":4,\"started_ms\":0}}")
}

pub fn site(does: &[Does]) -> Site {
    site_of(does, 128, 100)
}

/// Joins gateway, board, one host for each of `does`, and a client, in this order.
pub fn site_of(does: &[Does], most: usize, links: usize) -> Site {
    let world = memory::world();
    let hand = Memory::join(&world);
    let launches = Rc::new(Cell::new(0));
    let peer = |role| Peer {
        net: Memory::join(&world),
        role,
        got: Vec::new(),
        over: Vec::new(),
        conns: Vec::new(),
        launches: launches.clone(),
        news: None,
    };
    let mut board = peer(Role::Board);
    board.net.listen(at(BOARD)).unwrap();
    let mut hosts = Vec::new();
    for (i, does) in does.iter().enumerate() {
        let mut host = peer(Role::Host(*does));
        host.net
            .listen(at(&format!("127.0.0.1:{}", 800 + i)))
            .unwrap();
        hosts.push(host);
    }
    let client = peer(Role::Client);
    let list: Vec<String> = (0..does.len()).map(|wk| host(wk, "up")).collect();
    let config = config::read(CONFIG.replace("HOSTS", &list.join(",")).as_bytes())
        .ok()
        .unwrap();
    let mut first = ReceivedUpdates::default();
    let rev = take(&config.known, 0, &mut first).unwrap().unwrap();
    let moved = Rc::new(Cell::new(None));
    let again = moved.clone();
    let feed = Board::new(
        config.board,
        rev,
        7,
        Box::new(move || again.get().ok_or("n0.json: it cannot be read".to_string())),
    );
    let setup = GatewayLimits {
        max_requests: 200,
        connect_timeout: 2_500,
        streams_per_connection: 32,
        connections_per_worker: 4,
        max_worker_connections: links,
        spread_threshold: 1,
        keep_alive: 300_000,
        health_check_timeout: 2_500,
        load_request_timeout: 40_000,
        silence_timeout: 30_000,
    };
    let start = GatewayConfig {
        name: config.name.clone(),
        index: 0,
        seed: config.seed,
        settings: config.settings,
        discovery: config.board,
        discovery_retry: 2_500,
        peers: vec![Some(at("127.0.0.1:720")), Some(at(SIBLING))],
        peer_listen: Some(at("127.0.0.1:720")),
        limits: setup,
        failover: None,
    };
    let mut gateway = Gateway::with_protocols(
        hand.clone(),
        start,
        Box::new(NoEndpointCache),
        Rc::new(Lines),
        Box::new(feed),
    )
    .unwrap();
    gateway.set_drain_grace(8_000);
    first
        .updates
        .iter()
        .for_each(|(entries, whole)| gateway.update_endpoints(entries, *whole));
    gateway
        .add_ingress(
            at(GATEWAY),
            Box::new(Platform::new(0, most, vec![false, true, false])),
        )
        .unwrap();
    let mut site = Site {
        world,
        gateway,
        hand,
        board,
        moved,
        hosts,
        client,
        tag: 0,
    };
    site.pass(100);
    site
}

pub fn command(words: &[&str]) -> String {
    let words: Vec<String> = words
        .iter()
        .map(|w| format!("${}\r\n{w}\r\n", w.len()))
        .collect();
    format!("*{}\r\n{}", words.len(), words.concat())
}

/// A call with this trace.
pub fn call(tag: u64, trace: u64, typ: &str, patience: u64) -> String {
    let fields = format!(
        "trace={trace:016x},patience={patience},customer=acme,nonce=n{trace},entity={FUNCTION},extras=lanes:100"
    );
    command(&["CALL", &tag.to_string(), typ, &fields, "body"])
}

pub fn news(rev: u64, hosts: &[String], full: bool) -> String {
    let pool = format!(
        "{{\"version\":1,\"full\":{full},\"servers\":[{}]}}",
        hosts.join(",")
    );
    let body = format!("{{\"rev\":{rev},\"notices\":[{{\"rev\":{rev},\"pool\":{pool}}}]}}");
    // What a board writes is what the codec reads.
    assert!(board::json(body.as_bytes()).is_ok());
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Site {
    pub fn pass(&mut self, time: Time) {
        let until = self.hand.now() + time;
        let mut apps: Vec<&mut dyn App<Net = Memory>> = vec![&mut self.gateway, &mut self.board];
        self.hosts.iter_mut().for_each(|w| apps.push(w));
        apps.push(&mut self.client);
        memory::run(&self.world, &mut apps, until);
    }

    pub fn connect(&mut self) -> Conn {
        self.client.net.connect(at(GATEWAY), SECOND)
    }

    pub fn send(&mut self, conn: Conn, text: &str) {
        assert!(self.client.net.write(conn, text.as_bytes()));
    }

    /// One call on a connection of its own; what came back within this time.
    pub fn ask(&mut self, typ: &str, time: Time) -> String {
        self.tag += 1;
        let conn = self.connect();
        self.send(conn, &call(1, self.tag, typ, 2000));
        self.pass(time);
        self.client.text(conn)
    }

    pub fn launches(&self) -> usize {
        self.hosts.iter().map(|h| h.lines("go").len()).sum()
    }
}

pub fn ok(tag: u64) -> String {
    command(&[&tag.to_string(), "OK", "", "yes"])
}

pub fn failed(tag: u64) -> String {
    command(&[&tag.to_string(), "FAILED"])
}
