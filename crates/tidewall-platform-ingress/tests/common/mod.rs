//! A gateway on the platform with scripted hosts, a board and clients, on the in-memory network.
#![allow(dead_code)] // Each test file uses some of these.
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tidewall_gateway::endpoints::NoEndpointCache;
use tidewall_gateway::protocol::ReceivedUpdates;
use tidewall_gateway::worker_pool::GatewayLimits;
use tidewall_gateway::{Gateway, GatewayConfig};
use tidewall_net::memory::{self, Memory, World};
use tidewall_net::{App, CloseReason, Conn, Listener, Net, Time};
use tidewall_platform::{config, notice_board};
use tidewall_platform_ingress::error::ReloadError;
use tidewall_platform_ingress::host_protocol::HostProtocol;
use tidewall_platform_ingress::notice_board::{deliver_notices, NoticeBoardSource};
use tidewall_platform_ingress::unix_clock::UnixClock;
use tidewall_platform_ingress::{ClientLimits, PlatformIngress};

pub const FUNCTION: &str = "7f3a9c21e0b4d655";
pub const SECOND: Time = 10_000;

/// Bytes of replies that all clients together may leave unread.
pub const MAX_UNREAD_OF_ALL: usize = 2 << 20;

pub fn socket_address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// How a host reacts to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostBehavior {
    /// Answers `ok`.
    Answers,
    /// Sends this instead of an answer, with `ID` replaced by the request id.
    Sends(&'static str),
    /// Sends this in reply to the first attempt, and answers the others.
    SendsOnce(&'static str),
    /// Executes the first attempt, but resets its connection; answers the others.
    ResetsOnce,
    /// Never answers.
    Silent,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Role {
    Host(HostBehavior),
    Board,
    Client,
}

/// Text that arrived on one connection.
#[derive(Clone, Debug)]
pub struct ReceivedText {
    pub conn: Conn,
    pub text: String,
}

pub struct Peer {
    pub net: Memory,
    pub role: Role,
    /// Texts that arrived: complete lines for hosts, the result of each read for boards and
    /// clients.
    pub received_texts: Vec<ReceivedText>,
    pub closed_conns: Vec<Conn>,
    pub open_conns: Vec<Conn>,
    /// Number of attempts on all hosts so far.
    attempts: Rc<Cell<usize>>,
    /// Response of a board to the next poll; `None` if it does not respond.
    pub next_response: Option<String>,
}

impl Peer {
    fn join(world: &Rc<RefCell<World>>, role: Role, attempts: &Rc<Cell<usize>>) -> Peer {
        Peer {
            net: Memory::join(world),
            role,
            received_texts: Vec::new(),
            closed_conns: Vec::new(),
            open_conns: Vec::new(),
            attempts: attempts.clone(),
            next_response: None,
        }
    }

    fn handle_line(&mut self, conn: Conn, line: &str) {
        let text = line.to_string();
        self.received_texts.push(ReceivedText { conn, text });
        let Role::Host(behavior) = self.role else {
            return;
        };
        let id = line.split(' ').nth(1).unwrap_or("");
        let ok_answer = format!("{id} ok res=hit 3\r\nyes\r\n");
        let out = match line.split(' ').next().unwrap_or("") {
            "stage" => format!("{id} ok copies=2 0\r\n\r\n"),
            "ping" | "stat" => format!("{id} yes gauges=q:0;rif:1 0\r\n\r\n"),
            "go" => {
                self.attempts.set(self.attempts.get() + 1);
                match behavior {
                    HostBehavior::Answers => ok_answer,
                    HostBehavior::Sends(text) => text.replace("ID", id),
                    HostBehavior::SendsOnce(text) if self.attempts.get() == 1 => {
                        text.replace("ID", id)
                    }
                    HostBehavior::ResetsOnce if self.attempts.get() == 1 => {
                        return self.net.reset(conn)
                    }
                    HostBehavior::SendsOnce(_) | HostBehavior::ResetsOnce => ok_answer,
                    HostBehavior::Silent => return,
                }
            }
            _ => return,
        };
        self.net.write(conn, out.as_bytes());
    }

    pub fn lines(&self, verb: &str) -> Vec<&str> {
        let texts = self.received_texts.iter().map(|r| r.text.as_str());
        texts
            .filter(|l| l.split(' ').next() == Some(verb))
            .collect()
    }

    /// Sends this on all open connections, whether or not anything was requested.
    pub fn send_to_all(&mut self, text: &str) {
        for conn in self.open_conns.clone() {
            self.net.write(conn, text.as_bytes());
        }
    }

    /// Returns everything that arrived on this connection.
    pub fn text(&self, conn: Conn) -> String {
        self.received_texts
            .iter()
            .filter(|r| r.conn == conn)
            .map(|r| r.text.as_str())
            .collect()
    }
}

impl App for Peer {
    type Net = Memory;
    fn net(&mut self) -> &mut Memory {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, conn: Conn, _: SocketAddr) {
        self.open_conns.push(conn);
    }
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let text = String::from_utf8_lossy(bytes).to_string();
        match self.role {
            Role::Client => {
                self.received_texts.push(ReceivedText { conn, text });
                bytes.len()
            }
            Role::Board => {
                self.received_texts.push(ReceivedText { conn, text });
                if let Some(response) = self.next_response.take() {
                    self.net.write(conn, response.as_bytes());
                }
                bytes.len()
            }
            Role::Host(_) => {
                let mut consumed = 0;
                while let Some(end) = text[consumed..].find("\r\n") {
                    let line = text[consumed..consumed + end].to_string();
                    consumed += end + 2;
                    if line.starts_with("go ") {
                        let len: usize = line.rsplit(' ').next().unwrap().parse().unwrap();
                        consumed += len + 2;
                    }
                    self.handle_line(conn, &line);
                }
                consumed
            }
        }
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, conn: Conn, _: CloseReason) {
        self.open_conns.retain(|c| *c != conn);
        self.closed_conns.push(conn);
    }
    fn timer_fired(&mut self, _: u64) {}
}

pub struct Site {
    pub world: Rc<RefCell<World>>,
    pub gateway: Gateway<Memory>,
    pub gateway_net: Memory,
    pub board: Peer,
    /// The board's address in the changed configuration; `None` while that cannot be read.
    pub moved_board: Rc<Cell<Option<SocketAddr>>>,
    pub hosts: Vec<Peer>,
    pub client: Peer,
    tag: u64,
}

pub const BOARD: &str = "127.0.0.1:701";
pub const SIBLING: &str = "127.0.0.1:721";
pub const GATEWAY: &str = "127.0.0.1:700";

/// Classes: "check" is idempotent, "record" has idempotency keys with zone scope, "issue" is
/// non-idempotent.
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

/// A host's entry in a board's list.
pub fn host(index: usize, state: &str) -> String {
    let required = format!(
        "\"id\":\"s-{index}\",\"addr\":\"127.0.0.1:{}\",\"state\":\"{state}\"",
        800 + index
    );
    format!("{{{required},\"zone\":\"z\",\"kind\":\"k\",\"cell\":0,\"weight\":4,\"started_ms\":0}}")
}

pub fn site(behaviors: &[HostBehavior]) -> Site {
    site_with_limits(behaviors, 128, 100)
}

/// Creates the gateway, the board, one host for each behavior and a client, which join the network
/// in this order.
pub fn site_with_limits(
    behaviors: &[HostBehavior],
    max_clients: usize,
    max_worker_connections: usize,
) -> Site {
    let world = memory::world();
    let gateway_net = Memory::join(&world);
    let attempts = Rc::new(Cell::new(0));
    let mut board = Peer::join(&world, Role::Board, &attempts);
    board.net.listen(socket_address(BOARD)).unwrap();
    let hosts = behaviors.iter().enumerate().map(|(i, behavior)| {
        let mut host = Peer::join(&world, Role::Host(*behavior), &attempts);
        let address = socket_address(&format!("127.0.0.1:{}", 800 + i));
        host.net.listen(address).unwrap();
        host
    });
    let hosts = hosts.collect();
    let client = Peer::join(&world, Role::Client, &attempts);
    let moved_board = Rc::new(Cell::new(None));
    let mut gateway = gateway(
        gateway_net.clone(),
        behaviors.len(),
        max_worker_connections,
        moved_board.clone(),
    );
    let classes_with_key = vec![false, true, false];
    let limits = ClientLimits {
        connections: max_clients,
        unread_replies: MAX_UNREAD_OF_ALL,
    };
    let ingress = PlatformIngress::new(0, limits, classes_with_key);
    gateway
        .add_ingress(socket_address(GATEWAY), Box::new(ingress))
        .unwrap();
    let mut site = Site {
        world,
        gateway,
        gateway_net,
        board,
        moved_board,
        hosts,
        client,
        tag: 0,
    };
    site.advance(100);
    site
}

/// Creates a gateway with this number of hosts in its configuration. When it reloads, it reads the
/// board's address from `moved_board`.
fn gateway(
    net: Memory,
    hosts: usize,
    max_worker_connections: usize,
    moved_board: Rc<Cell<Option<SocketAddr>>>,
) -> Gateway<Memory> {
    let list: Vec<String> = (0..hosts).map(|i| host(i, "up")).collect();
    let config = config::parse(CONFIG.replace("HOSTS", &list.join(",")).as_bytes()).unwrap();
    let mut endpoints = ReceivedUpdates::default();
    let revision = deliver_notices(
        &config.initial_notices,
        0,
        &UnixClock::read(),
        &mut endpoints,
    )
    .unwrap()
    .unwrap();
    let unreadable = || ReloadError::Read(io::Error::other("n0.json: it cannot be read"));
    let discovery = NoticeBoardSource::new(
        config.notice_board,
        revision,
        UnixClock::read(),
        7,
        Box::new(move || moved_board.get().ok_or_else(unreadable)),
    );
    let gateway_config = GatewayConfig {
        name: config.name.clone(),
        index: 0,
        seed: config.seed,
        settings: config.settings,
        discovery: config.notice_board,
        discovery_retry: 2_500,
        peers: vec![
            Some(socket_address("127.0.0.1:720")),
            Some(socket_address(SIBLING)),
        ],
        peer_listen: Some(socket_address("127.0.0.1:720")),
        limits: limits(max_worker_connections),
        failover: None,
    };
    let mut gateway = Gateway::with_protocols(
        net,
        gateway_config,
        Box::new(NoEndpointCache),
        Rc::new(HostProtocol),
        Box::new(discovery),
    )
    .unwrap();
    gateway.set_drain_grace(8_000);
    for (records, complete) in &endpoints.updates {
        gateway.update_endpoints(records, *complete);
    }
    gateway
}

fn limits(max_worker_connections: usize) -> GatewayLimits {
    GatewayLimits {
        max_requests: 200,
        connect_timeout: 2_500,
        streams_per_connection: 32,
        connections_per_worker: 4,
        max_worker_connections,
        spread_threshold: 1,
        keep_alive: 300_000,
        health_check_timeout: 2_500,
        load_request_timeout: 40_000,
        silence_timeout: 30_000,
    }
}

pub fn command(words: &[&str]) -> String {
    let words: Vec<String> = words
        .iter()
        .map(|w| format!("${}\r\n{w}\r\n", w.len()))
        .collect();
    format!("*{}\r\n{}", words.len(), words.concat())
}

/// Encodes a call with this request id.
pub fn call(tag: u64, request_id: u64, class: &str, patience: u64) -> String {
    let fields = format!(
        "trace={request_id:016x},patience={patience},customer=acme,nonce=n{request_id},entity={FUNCTION},extras=lanes:100"
    );
    command(&["CALL", &tag.to_string(), class, &fields, "body"])
}

/// Encodes a board's response with one notice.
pub fn poll_response(rev: u64, hosts: &[String], full: bool) -> String {
    let pool = format!(
        "{{\"version\":1,\"full\":{full},\"servers\":[{}]}}",
        hosts.join(",")
    );
    let body = format!("{{\"rev\":{rev},\"notices\":[{{\"rev\":{rev},\"pool\":{pool}}}]}}");
    // The body must be valid JSON.
    assert!(notice_board::parse_json(body.as_bytes()).is_ok());
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Site {
    pub fn advance(&mut self, time: Time) {
        let until = self.gateway_net.now() + time;
        let mut apps: Vec<&mut dyn App<Net = Memory>> = vec![&mut self.gateway, &mut self.board];
        self.hosts.iter_mut().for_each(|w| apps.push(w));
        apps.push(&mut self.client);
        memory::run(&self.world, &mut apps, until);
    }

    pub fn connect(&mut self) -> Conn {
        self.client.net.connect(socket_address(GATEWAY), SECOND)
    }

    pub fn send(&mut self, conn: Conn, text: &str) {
        assert!(self.client.net.write(conn, text.as_bytes()));
    }

    /// Makes a call on a connection of its own. Returns what was received within this time.
    pub fn call_and_wait(&mut self, class: &str, time: Time) -> String {
        self.tag += 1;
        let conn = self.connect();
        self.send(conn, &call(1, self.tag, class, 2000));
        self.advance(time);
        self.client.text(conn)
    }

    pub fn attempts(&self) -> usize {
        self.hosts.iter().map(|h| h.lines("go").len()).sum()
    }
}

pub fn ok(tag: u64) -> String {
    command(&[&tag.to_string(), "OK", "", "yes"])
}

pub fn failed(tag: u64) -> String {
    command(&[&tag.to_string(), "FAILED"])
}
