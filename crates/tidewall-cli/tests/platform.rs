//! The shipped binary on the platform's protocols, over loopback, as a process that is controlled by signals.
//! Hosts and notice board are threads of the test. Every call must get exactly one response, whatever the
//! hosts do.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Listens on a free port and serves each connection on its own thread.
fn listen(serve: impl Fn(TcpStream) -> Option<()> + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for conn in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(conn));
        }
    });
    at
}

/// Starts a host; if it is `faulty`, every fifth response is malformed and every seventh attempt's connection
/// is closed.
fn host(faulty: bool) -> SocketAddr {
    let count = Arc::new(AtomicUsize::new(0));
    listen(move |conn| serve(conn, faulty, &count))
}

fn serve(conn: TcpStream, faulty: bool, count: &AtomicUsize) -> Option<()> {
    let mut out = conn.try_clone().ok()?;
    let mut lines = BufReader::new(conn);
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let answer = match words[0] {
            "go" => {
                let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                lines.read_exact(&mut body).ok()?;
                match count.fetch_add(1, Ordering::Relaxed) {
                    n if faulty && n % 5 == 4 => format!("{} ok - 1\r\nspoilt\r\n", words[1]),
                    n if faulty && n % 7 == 6 => return None,
                    _ => format!("{} ok res=hit 3\r\nyes\r\n", words[1]),
                }
            }
            "stage" => format!("{} ok copies=1 0\r\n\r\n", words[1]),
            "stat" => format!("{} yes gauges=q:0;rif:1 0\r\n\r\n", words[1]),
            _ => continue,
        };
        out.write_all(answer.as_bytes()).ok()?;
    }
}

/// Starts a notice board without notices, which counts its polls.
fn board(polls: Arc<AtomicUsize>) -> SocketAddr {
    board_of(polls, "{\"rev\":1,\"notices\":[]}".to_string())
}

/// Starts a notice board that always responds with this body.
fn board_of(polls: Arc<AtomicUsize>, body: String) -> SocketAddr {
    listen(move |conn| {
        let mut out = conn.try_clone().ok()?;
        for line in BufReader::new(conn).lines() {
            if line.ok()?.is_empty() {
                polls.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(200));
                write!(
                    out,
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
                .ok()?;
            }
        }
        None
    })
}

/// A gateway process, which is killed when the test ends.
struct Gateway(Child);

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Gateway {
    fn signal(&self, signal: i32) {
        // SAFETY: the process is our child and has not been waited for.
        unsafe { libc::kill(self.0.id() as i32, signal) };
    }
}

/// Entries of an endpoint list for these hosts.
fn host_entries(hosts: &[SocketAddr]) -> String {
    let host = |(i, at): (usize, &SocketAddr)| {
        format!(
            r#"{{"id":"s-{i}","addr":"{at}","zone":"z","kind":"k","cell":0,"state":"up","weight":4,"started_ms":0}}"#
        )
    };
    hosts
        .iter()
        .enumerate()
        .map(host)
        .collect::<Vec<_>>()
        .join(",")
}

fn config(listen: SocketAddr, board: SocketAddr, hosts: &[SocketAddr]) -> String {
    let hosts = host_entries(hosts);
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"7","limits":{{"memory_mb":32,"sockets":256}},"board":"{board}",
 "known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"version":0,"full":true,"servers":[{hosts}]}}}}]}},
 "settings":{{"me":0,"siblings":1,"tick-ms":1.0,"zones":["z"],"kinds":["k"],"discovery":"pushed",
 "allowed":{{"connect-timeout-ms":250.0,"keepalive-ms":30000.0,"max-attempts":3,"most-held":200,"streams-per-conn":32,
  "cancel":true,"may-duplicate":true,"retry-after":true,"max-retry-after-ms":500.0,"probes":true}},
 "rules":{{"drain-grace-ms":2000.0}},"reporting":{{"how":"probe","names":["q","rif"]}},
 "classes":[{{"name":"check","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"read_like"}},
  {{"name":"issue","aim-ms":500.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"non_idempotent"}}],
 "extra":{{"orders":true,"order-timeout-ms":4000.0,"if-cold":"load","stays-loaded-ms":60000.0,"load-window-ms":0}}}}}}"#
    )
}

fn word(text: &str) -> String {
    format!("${}\r\n{text}\r\n", text.len())
}

fn call(tag: usize, class: &str) -> String {
    let fields = format!("trace={tag:016x},patience=1500,entity=7f3a9c21e0b4d655,extras=lanes:100");
    format!(
        "*5\r\n{}{}{}{}{}",
        word("CALL"),
        word(&tag.to_string()),
        word(class),
        word(&fields),
        word("body")
    )
}

/// Reads a response's tag and word (RESP arrays of bulk strings).
fn answer(lines: &mut impl BufRead) -> (usize, String) {
    let mut next = || {
        let mut line = String::new();
        lines.read_line(&mut line).unwrap();
        line.trim_end().to_string()
    };
    let count: usize = next().strip_prefix('*').unwrap().parse().unwrap();
    let words: Vec<String> = (0..count)
        .map(|_| {
            next();
            next()
        })
        .collect();
    (words[0].parse().unwrap(), words[1].clone())
}

/// A free port of a loopback address that only one test uses. On a shared address, another test's host may
/// take the port before the gateway does, and a client that connects to a port of its own address may connect
/// to itself.
fn free(last: u8) -> SocketAddr {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, last], 0)))
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Starts a gateway with this configuration and connects to it.
fn start(file: &std::path::Path, listen: SocketAddr) -> (Gateway, TcpStream) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tidewall"));
    command
        .args(["--log", "error", "platform"])
        .env("ROUTER_CONFIG", file)
        .stdout(Stdio::null());
    started(command, listen)
}

fn started(mut command: Command, listen: SocketAddr) -> (Gateway, TcpStream) {
    let gateway = Gateway(command.spawn().unwrap());
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        match TcpStream::connect(listen) {
            Ok(conn) => return (gateway, conn),
            Err(e) => assert!(Instant::now() < until, "{e}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_killed_gateway_restarts_from_its_configuration() {
    let (board, hosts) = (board(Arc::default()), [host(false)]);
    let listen = free(2);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, config(listen, board, &hosts)).unwrap();
    for _ in 0..2 {
        let (mut gateway, mut conn) = start(&file, listen);
        let mut lines = BufReader::new(conn.try_clone().unwrap());
        write!(
            conn,
            "*3\r\n{}{}{}{}",
            word("CHECK"),
            word("1"),
            word(""),
            call(2, "issue")
        )
        .unwrap();
        assert_eq!(answer(&mut lines), (1, "UP".to_string()));
        assert_eq!(answer(&mut lines), (2, "OK".to_string()));
        // Killed without a shutdown.
        gateway.0.kill().unwrap();
        gateway.0.wait().unwrap();
    }
}

/// Runs with the smallest limits that the platform specifies, 32 MB and 256 descriptors, 1,024 workers (one
/// host responds for all) and 1,024 peers: more of both than a fleet of the planned size has, and more than
/// there are descriptors.
#[test_case(1024, 5; "listed at the start")]
#[test_case(8, 6; "added at run time")]
fn a_thousand_workers_and_peers_within_the_smallest_limits(first: usize, last: u8) {
    use std::os::unix::process::CommandExt;
    let hosts = [host(false); 1024];
    let all = host_entries(&hosts);
    // The gateway skips entries that it already has.
    let pool =
        format!("{{\"rev\":2,\"pool\":{{\"version\":1,\"full\":true,\"servers\":[{all}]}}}}");
    let board = board_of(
        Arc::default(),
        format!("{{\"rev\":2,\"notices\":[{pool}]}}"),
    );
    let (at, folder) = (free(last), tempfile::tempdir().unwrap());
    let file = folder.path().join("config.json");
    let peers: Vec<String> = (0..1024)
        .map(|i| format!("\"127.1.{}.{}:{}\"", i / 250, i % 250 + 1, at.port()))
        .collect();
    let peer_settings = format!(
        "\"peer_listen\":\"{at}\",\"peers\":[{}],\"settings\":{{\"siblings\":1024,",
        peers.join(",")
    );
    let text = config(at, board, &hosts[..first]).replace("\"settings\":{", &peer_settings);
    let text = text
        .replace("\"siblings\":1,", "")
        .replace("\"probes\":true", "\"probes\":true,\"peers\":true");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_tidewall"));
    command
        .args(["--log", "error", "platform"])
        .env("ROUTER_CONFIG", &file);
    let limit = libc::rlimit {
        rlim_cur: 256,
        rlim_max: 256,
    };
    // SAFETY: setrlimit may be called between fork and exec, and its argument lives as long as the command.
    unsafe {
        command.pre_exec(move || match libc::setrlimit(libc::RLIMIT_NOFILE, &limit) {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        });
    }
    let (gateway, conn) = started(command, at);
    // By then the board has sent all entries.
    std::thread::sleep(Duration::from_millis(500));
    let (mut out, mut lines) = (conn.try_clone().unwrap(), BufReader::new(conn));
    for tag in 1..=400 {
        let call = call(tag, "check").replace("7f3a9c21e0b4d655", &format!("{tag:016x}"));
        out.write_all(call.as_bytes()).unwrap();
        assert_eq!(answer(&mut lines), (tag, "OK".to_string()));
    }
    // At most 116 connections to workers, one client and 24 other descriptors.
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.0.id())).unwrap();
    let peak = status.lines().find_map(|l| {
        l.strip_prefix("VmHWM:")?
            .trim()
            .strip_suffix(" kB")?
            .parse::<u64>()
            .ok()
    });
    let open = std::fs::read_dir(format!("/proc/{}/fd", gateway.0.id()))
        .unwrap()
        .count();
    assert!(
        peak.is_some_and(|p| p < 32 << 10) && (100..=141).contains(&open),
        "{peak:?} kB, {open} descriptors"
    );
}

#[test_case(false; "reliable hosts")]
#[test_case(true; "faulty hosts")]
fn each_call_gets_one_response_across_reload_and_shutdown(faulty: bool) {
    let polls = Arc::new(AtomicUsize::new(0));
    let (first, second) = (board(Arc::default()), board(polls.clone()));
    let hosts = [host(faulty), host(faulty)];
    let listen = free(if faulty { 3 } else { 4 });
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, config(listen, first, &hosts)).unwrap();
    let (mut gateway, conn) = start(&file, listen);
    let mut out = conn.try_clone().unwrap();
    let mut lines = BufReader::new(conn);
    let mut words = vec![Vec::new(); 101];
    for round in 0..10 {
        if round == 3 {
            std::fs::write(&file, config(listen, second, &hosts)).unwrap();
            gateway.signal(libc::SIGHUP);
        }
        if round == 9 {
            gateway.signal(libc::SIGTERM);
        }
        let tags = round * 10 + 1..=round * 10 + 10;
        let sent: String = tags
            .clone()
            .map(|t| call(t, ["check", "issue"][t % 2]))
            .collect();
        out.write_all(sent.as_bytes()).unwrap();
        for _ in tags {
            let (tag, word) = answer(&mut lines);
            words[tag].push(word);
        }
    }
    assert!(words[1..].iter().all(|w| w.len() == 1), "{words:?}");
    let served = words[1..].iter().filter(|w| w[0] == "OK").count();
    assert!(
        if faulty { served > 20 } else { served == 100 },
        "{served} served"
    );
    assert!(polls.load(Ordering::Relaxed) > 0, "the new board was asked");
    let until = Instant::now() + Duration::from_secs(10);
    let status = loop {
        if let Some(status) = gateway.0.try_wait().unwrap() {
            break status;
        }
        assert!(
            Instant::now() < until,
            "the process still runs after SIGTERM"
        );
        std::thread::sleep(Duration::from_millis(20));
    };
    assert_eq!(status.code(), Some(0));
}

#[test]
fn a_bad_configuration_is_reported_in_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, "{\"settings\":{}}").unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_tidewall"));
    let output = command
        .arg("platform")
        .env("ROUTER_CONFIG", &file)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        (output.status.code(), text.lines().count()),
        (Some(2), 1),
        "{text}"
    );
    assert!(
        text.contains("config.json: field settings.allowed.connect-timeout-ms: missing"),
        "{text}"
    );
}

/// An invalid setting prevents the start; one that is left out does not.
#[test_case("\"siblings\":1", "\"siblings\":0", "field settings.siblings: '0' is no whole number"; "no gateways")]
#[test_case("\"aim-ms\":500.0,\"deadline-ms\":2000.0,\"worth\":1.0,\"semantics\":\"n", "\"semantics\":\"n", "field settings.classes.1.aim-ms: neither"; "no objective")]
#[test_case("\"probes\":true", "\"probes\":\"often\"", "field settings.allowed.probes: 'often'"; "an invalid flag")]
#[test_case("\"keepalive-ms\":30000.0", "\"keepalive-ms\":0", "field settings.allowed.keepalive-ms: '0' is under 1"; "no keep-alive time")]
fn an_invalid_setting_is_reported_in_one_line(from: &str, to: &str, reason: &str) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let text = config(
        "127.0.0.1:1".parse().unwrap(),
        "127.0.0.1:2".parse().unwrap(),
        &[],
    );
    assert!(text.contains(from));
    std::fs::write(&file, text.replace(from, to)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_tidewall"));
    let output = command
        .arg("platform")
        .env("ROUTER_CONFIG", &file)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        (output.status.code(), text.lines().count()),
        (Some(2), 1),
        "{text}"
    );
    assert!(text.contains(reason), "{text}");
}
