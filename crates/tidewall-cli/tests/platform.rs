//! The shipped binary on the platform's protocols, over loopback, as a process that is controlled by signals.
//! Every call must get exactly one response, whatever the hosts do.
mod platform_rig;

use platform_rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;

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
        let call = call(tag, "check").replace(FUNCTION, &format!("{tag:016x}"));
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
