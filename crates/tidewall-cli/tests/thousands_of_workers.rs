//! A gateway process with thousands of listed workers, half of which are replaced again and again while
//! requests arrive. Guards against the failure in `docs/incidents/thousands-of-workers.md`: whatever the
//! processing of a list costs, each request gets exactly one response in time, nothing is sent for a client
//! that has left, and nothing is sent to a worker after its drain grace period.
mod help;

use help::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Workers that stay, and workers of one generation; two generations are listed at a time: 3,200 workers in
/// all.
const STABLE: usize = 1_600;
const GENERATION: usize = 800;

/// Time between lists, as in the incident.
const LIST_INTERVAL: Duration = ms(700);
const LISTS: usize = 8;

/// Functions that are known before the first list; slightly more than a gateway of such a fleet sees.
const FUNCTIONS: u64 = 2_000;

/// How long clients wait; a response that is half a second later than that counts as lost.
const PATIENCE: Duration = ms(1_000);
const LOST_AFTER: Duration = ms(1_500);

/// How long after a call clients cancel it, if they do.
const CANCELLED_AFTER: Duration = ms(150);

/// When nothing more may be sent to a drained worker: the drain grace period of the settings (2 s) and the
/// 50 ms of transmission slack that every limit allows. The 7 s after which a list that was not polled counts
/// as known are not added, as the board is polled all the time.
const DRAINED_AFTER: Duration = ms(2_050);

const REQUESTS_A_SECOND: u64 = 150;

/// A fleet of hundreds of gateways, whose workers warm up over ten seconds.
const SETTINGS_OF_THOUSANDS: &str = r#"{"me":0,"siblings":300,"tick-ms":1.0,"zones":["z"],"kinds":["k"],"discovery":"pushed",
 "allowed":{"connect-timeout-ms":250.0,"keepalive-ms":30000.0,"max-attempts":3,"most-held":1000,"streams-per-conn":32,
  "cancel":true,"may-duplicate":true,"retry-after":true,"max-retry-after-ms":500.0,"probes":false},
 "deductions":{"connection":0.01},"rules":{"drain-grace-ms":2000.0,"cold-ms":10000.0,"cold-from":0.3,"tip-multiple":2.5,
  "overload-for-ms":1500.0},"reporting":{"how":"none","names":[]},
 "classes":[{"name":"check","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"read_like"}],
 "extra":{"orders":false,"order-timeout-ms":4000.0,"if-cold":"miss","stays-loaded-ms":60000.0,"load-window-ms":0}}"#;

/// What became of one request.
#[derive(Clone, Debug, Default)]
struct Record {
    sent: Option<Instant>,
    cancelled: Option<Instant>,
    answers: Vec<(Instant, String)>,
    attempts: Vec<(Instant, usize)>,
}

#[derive(Default)]
struct Records {
    requests: BTreeMap<u64, Record>,
    /// By generation: when the board reported that it drains.
    drained: BTreeMap<usize, Instant>,
    /// Lists that the board could not send, as no poll arrived for ten seconds.
    unpolled: usize,
}

type Shared = Arc<Mutex<Records>>;

/// Serves the workers of a generation at one address; every fifth request gets no response.
fn serve(generation: usize, listener: TcpListener, records: Shared) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let records = records.clone();
            std::thread::spawn(move || answer_attempts(generation, stream, &records));
        }
    });
}

fn answer_attempts(generation: usize, stream: TcpStream, records: &Shared) -> Option<()> {
    let mut out = stream.try_clone().ok()?;
    let mut lines = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        if words[0] != "go" {
            continue;
        }
        let length: usize = words.last()?.parse().ok()?;
        lines.read_exact(&mut vec![0; length + 2]).ok()?;
        let trace = u64::from_str_radix(words[1], 16).ok()?;
        let mut records = records.lock().unwrap();
        let record = records.requests.entry(trace).or_default();
        record.attempts.push((Instant::now(), generation));
        drop(records);
        if trace % 5 > 0 {
            out.write_all(format!("{} ok res=hit 3\r\nyes\r\n", words[1]).as_bytes())
                .ok()?;
        }
    }
}

/// Endpoint list entries of a generation; `at` is the address of all its workers.
fn entries(generation: usize, count: usize, at: SocketAddr, state: &str, started: u64) -> String {
    let entry = |index| {
        format!(
            "{{\"id\":\"s-{generation:02x}{index:06x}\",\"addr\":\"{at}\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":0,\
             \"state\":\"{state}\",\"weight\":4,\"started_ms\":{started}}}"
        )
    };
    (0..count).map(entry).collect::<Vec<_>>().join(",")
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// A client connection: sends calls and records their responses.
struct Client {
    out: TcpStream,
}

impl Client {
    fn connect(at: SocketAddr, records: Shared) -> Client {
        wait_until("it listens", || TcpStream::connect(at).is_ok());
        let stream = TcpStream::connect(at).unwrap();
        stream.set_nodelay(true).unwrap();
        let out = stream.try_clone().unwrap();
        std::thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while let Some((tag, word)) = connection.next_response(ms(30_000)) {
                let mut records = records.lock().unwrap();
                let record = records.requests.entry(tag).or_default();
                record.answers.push((Instant::now(), word));
            }
        });
        Client { out }
    }

    fn call(&mut self, tag: u64, function: u64, records: &Shared) {
        let function = format!("{:016x}", function.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let patience = PATIENCE.as_millis() as u64;
        let text = call_of(tag, "check", patience, &function, "body");
        let mut records = records.lock().unwrap();
        records.requests.entry(tag).or_default().sent = Some(Instant::now());
        self.out.write_all(text.as_bytes()).unwrap();
    }

    fn cancel(&mut self, tag: u64, records: &Shared) {
        self.out.write_all(cancel(tag).as_bytes()).unwrap();
        let mut records = records.lock().unwrap();
        let record = records.requests.entry(tag).or_default();
        record.cancelled = Some(Instant::now());
    }
}

/// Violations of the rules, found in the records of clients and workers only.
fn broken_rules(records: &Records, end: Instant) -> Vec<String> {
    let mut broken = Vec::new();
    if records.unpolled > 0 {
        broken.push(format!("{} lists were not asked for", records.unpolled));
    }
    for (tag, record) in &records.requests {
        let Some(sent) = record.sent else {
            broken.push(format!("{tag:x}: attempted and never sent"));
            continue;
        };
        let since = |at: &Instant| at.duration_since(sent);
        let cancelled = record.cancelled;
        match (&record.answers[..], cancelled) {
            ([], None) if end.duration_since(sent) > LOST_AFTER => {
                broken.push(format!("{tag:x}: lost, no answer"));
            }
            ([(at, _)], _) if since(at) > LOST_AFTER => {
                broken.push(format!("{tag:x}: lost, answered after {:?}", since(at)));
            }
            ([_, _, ..], _) => broken.push(format!("{tag:x}: several answers")),
            _ => {}
        }
        let left = cancelled.map_or(sent + PATIENCE + ABANDON_LIMIT, |at| at + ABANDON_LIMIT);
        for (at, generation) in &record.attempts {
            if *at > left {
                let after = at.duration_since(left) + ABANDON_LIMIT;
                broken.push(format!("{tag:x}: sent {after:?} after its client left"));
            }
            let drained = records.drained.get(generation);
            if let Some(told) = drained.filter(|told| *at > **told + DRAINED_AFTER) {
                let after = at.duration_since(*told);
                broken.push(format!("{tag:x}: sent {after:?} after the drain was told"));
            }
        }
    }
    broken
}

/// The notice board: answers the gateway's polls with lists.
struct Board {
    listener: TcpListener,
    connection: Option<Connection>,
    addresses: Vec<SocketAddr>,
    revision: u64,
    lists_sent: usize,
}

impl Board {
    /// Waits for a poll, also on a new connection; none if none arrives within that time.
    fn poll(&mut self, within: Duration) -> Option<u64> {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if let Some(next) = accept(&self.listener, ms(0)) {
                self.connection = Some(next);
            }
            let watch = self
                .connection
                .as_mut()
                .and_then(|connection| connection.poll(ms(5)));
            if watch.is_some() {
                return watch;
            }
            std::thread::sleep(ms(1));
        }
        None
    }

    fn respond(&mut self, notices: &[String]) {
        let text = board_response(self.revision, notices);
        self.connection.as_mut().unwrap().send(text);
    }

    /// Sends a list: a new generation starts, the older one of the two that are up drains, and the one before
    /// it is removed.
    fn send_list(&mut self, records: &Shared) {
        let started = self.lists_sent + 3;
        let entries = |generation: usize, state, at| {
            entries(
                generation,
                GENERATION,
                self.addresses[generation],
                state,
                at,
            )
        };
        let mut list = vec![
            entries(started, "up", unix_ms()),
            entries(started - 2, "draining", 0),
        ];
        if self.lists_sent > 0 {
            list.push(entries(started - 3, "removed", 0));
        }
        self.revision += 1;
        let notice = notice(self.revision, &list.join(","), false);
        // What is on the board counts as known, whether it was polled or not.
        let drains = Instant::now();
        records.lock().unwrap().drained.insert(started - 2, drains);
        let polled = self.poll(LONG_TIMEOUT).is_some();
        if !polled {
            records.lock().unwrap().unpolled += 1;
            return;
        }
        self.respond(&[notice]);
        self.lists_sent += 1;
    }

    /// Answers polls with no change, so that the next one arrives.
    fn keep_polling(&mut self, until: Instant) {
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            if self.poll(left).is_some() {
                let left = until.saturating_duration_since(Instant::now());
                std::thread::sleep(left.min(ms(400)));
                self.respond(&[]);
            }
        }
    }
}

/// Sends calls with these tags at a steady rate; a fifth of them is cancelled.
fn send_calls(clients: &mut [Client], tags: std::ops::Range<u64>, rate: u64, records: &Shared) {
    let (began, mut cancels) = (Instant::now(), std::collections::VecDeque::new());
    for tag in tags.clone() {
        let due = began + Duration::from_micros((tag - tags.start) * 1_000_000 / rate);
        while Instant::now() < due {
            std::thread::sleep(due.saturating_duration_since(Instant::now()).min(ms(2)));
            while let Some((at, tag)) = cancels.pop_front() {
                if Instant::now() < at {
                    cancels.push_front((at, tag));
                    break;
                }
                clients[tag as usize % clients.len()].cancel(tag, records);
            }
        }
        let client = tag as usize % clients.len();
        clients[client].call(tag, tag % FUNCTIONS, records);
        if tag % 5 == 1 {
            cancels.push_back((Instant::now() + CANCELLED_AFTER, tag));
        }
    }
}

#[test]
fn half_of_thousands_of_workers_is_replaced_again_and_again() {
    let records = Shared::default();
    let generations = LISTS + 3;
    let listeners: Vec<TcpListener> = (0..generations).map(|_| free_listener(90)).collect();
    let addresses: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    for (generation, listener) in listeners.into_iter().enumerate() {
        serve(generation, listener, records.clone());
    }
    // Generation 0 stays; 1 and 2 are up at the start.
    let first = [(0, STABLE), (1, GENERATION), (2, GENERATION)]
        .map(|(generation, count)| entries(generation, count, addresses[generation], "up", 0))
        .join(",");
    let (board, at) = (free_listener(90), free_address(90));
    let folder = tempfile::tempdir().unwrap();
    let text = config(
        at,
        board.local_addr().unwrap(),
        &first,
        SETTINGS_OF_THOUSANDS,
        512,
    );
    std::fs::write(folder.path().join("config.json"), text).unwrap();
    let gateway = platform_process(at, folder, 512);
    let mut clients: Vec<Client> = (0..24)
        .map(|_| Client::connect(at, records.clone()))
        .collect();
    let mut board = Board {
        listener: board,
        connection: None,
        addresses,
        revision: 1,
        lists_sent: 0,
    };
    let lists = std::thread::spawn({
        let records = records.clone();
        move || {
            // By then all functions are known.
            board.keep_polling(Instant::now() + ms(FUNCTIONS * 1_000 / 400));
            for _ in 0..LISTS {
                let next = Instant::now() + LIST_INTERVAL;
                board.send_list(&records);
                board.keep_polling(next);
            }
            board.keep_polling(Instant::now() + LOST_AFTER);
        }
    });
    let during_lists =
        (LISTS as u64 * LIST_INTERVAL.as_millis() as u64) * REQUESTS_A_SECOND / 1_000;
    send_calls(&mut clients, 1..FUNCTIONS + 1, 400, &records);
    let tags = FUNCTIONS + 1..FUNCTIONS + 1 + during_lists;
    send_calls(&mut clients, tags, REQUESTS_A_SECOND, &records);
    std::thread::sleep(LOST_AFTER);
    let end = Instant::now();
    lists.join().unwrap();
    let broken = broken_rules(&records.lock().unwrap(), end);
    let log = gateway.log();
    let long_steps: Vec<&str> = log.lines().filter(|l| l.contains("long step")).collect();
    let count = |kind: &str| broken.iter().filter(|text| text.contains(kind)).count();
    let shown: Vec<&String> = broken.iter().take(20).collect();
    assert!(
        broken.is_empty(),
        "{} lost, {} sent for clients that had left, {} sent after a drain: {shown:#?}\n{long_steps:#?}",
        count("lost"),
        count("its client left"),
        count("the drain was told")
    );
}

/// After a long time without a response the board sends many lists at once, more than 2 MiB, all of which are
/// applied.
#[test]
fn many_lists_in_one_response_are_applied() {
    let (old, new) = (free_listener(91), free_listener(91));
    let addresses = [&old, &new].map(|l| l.local_addr().unwrap());
    let records = Shared::default();
    serve(0, old, records.clone());
    serve(1, new, records.clone());
    let (board, at) = (free_listener(91), free_address(91));
    let folder = tempfile::tempdir().unwrap();
    let first = entries(0, STABLE, addresses[0], "up", 0);
    let text = config(
        at,
        board.local_addr().unwrap(),
        &first,
        SETTINGS_OF_THOUSANDS,
        256,
    );
    std::fs::write(folder.path().join("config.json"), text).unwrap();
    let _gateway = platform_process(at, folder, 256);
    let mut client = Client::connect(at, records.clone());
    let mut poller = accept(&board, LONG_TIMEOUT).expect("it connects to its board");
    assert_eq!(poller.poll(LONG_TIMEOUT), Some(1));
    let draining = entries(0, STABLE, addresses[0], "draining", 0);
    let up = entries(0, STABLE, addresses[0], "up", 0);
    let another = entries(1, 1, addresses[1], "up", 0);
    let mut notices: Vec<String> = (2..12)
        .map(|revision| {
            notice(
                revision,
                if revision % 2 == 0 { &draining } else { &up },
                false,
            )
        })
        .collect();
    notices.push(notice(12, &format!("{draining},{another}"), false));
    let text = board_response(12, &notices);
    assert!(text.len() > 2 << 20, "{}", text.len());
    poller.send(text);
    assert_eq!(poller.poll(LONG_TIMEOUT), Some(12));
    client.call(1, 1, &records);
    wait_until("it is answered", || {
        !records.lock().unwrap().requests[&1].answers.is_empty()
    });
    let attempts = records.lock().unwrap().requests[&1].attempts.clone();
    assert!(
        attempts.iter().all(|(_, generation)| *generation == 1),
        "{attempts:?}"
    );
    assert!(!attempts.is_empty());
}
