//! Hosts that are replaced, on the shipped binary: work goes to the process that the list tells of, and not on
//! connections to the one before.
mod platform_rig;

use platform_rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use test_case::test_case;

/// Time in which the gateway has read a change of the list: the board answers each poll after 200 ms.
const CHANGE_READ: Duration = Duration::from_millis(700);

/// A process of a host. Once it is stopped it reads on and answers nothing, and its connections stay open.
#[derive(Clone, Default)]
struct Process {
    is_stopped: Arc<AtomicBool>,
    attempts: Arc<AtomicUsize>,
}

impl Process {
    fn serve(&self, conn: TcpStream) -> Option<()> {
        let mut out = conn.try_clone().ok()?;
        let mut lines = BufReader::new(conn);
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            if words[0] == "go" {
                let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                lines.read_exact(&mut body).ok()?;
                self.attempts.fetch_add(1, Ordering::SeqCst);
            }
            if self.is_stopped.load(Ordering::SeqCst) {
                continue;
            }
            match words[0] {
                "go" => write!(out, "{} ok res=hit 0\r\n\r\n", words[1]).ok()?,
                "stage" => write!(out, "{} ok copies=1 0\r\n\r\n", words[1]).ok()?,
                "stat" => write!(out, "{} yes gauges=q:0;rif:0 0\r\n\r\n", words[1]).ok()?,
                _ => {}
            }
        }
    }
}

/// Listens and lets the latest process in the list serve each new connection.
fn listen_for(processes: Arc<Mutex<Vec<Process>>>) -> SocketAddr {
    listen(move |conn| {
        let process = processes.lock().unwrap().last().unwrap().clone();
        process.serve(conn)
    })
}

/// Starts a notice board whose body may change.
fn changing_board(body: Arc<Mutex<String>>) -> SocketAddr {
    listen(move |conn| {
        let mut out = conn.try_clone().ok()?;
        for line in BufReader::new(conn).lines() {
            if line.ok()?.is_empty() {
                std::thread::sleep(Duration::from_millis(200));
                let body = body.lock().unwrap().clone();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                out.write_all((head + &body).as_bytes()).ok()?;
            }
        }
        None
    })
}

/// Where the new process of the host is.
#[derive(Clone, Copy)]
enum NewProcess {
    /// At the same address, with a later start.
    SameAddress,
    /// At another address.
    OtherAddress,
}

// Failure: a host's process is replaced, and connections to the one before stay open because that one has stopped
// or its machine was cut off. Work that the list gives to the new process goes to the old one.
#[test_case(NewProcess::SameAddress, 41; "at its address")]
#[test_case(NewProcess::OtherAddress, 42; "at another address")]
fn calls_go_to_the_new_process_of_a_host_while_connections_to_the_old_one_stay_open(
    place: NewProcess,
    last: u8,
) {
    let (old, new) = (Process::default(), Process::default());
    let processes = Arc::new(Mutex::new(vec![old.clone()]));
    let at = listen_for(processes.clone());
    let body = Arc::new(Mutex::new("{\"rev\":1,\"notices\":[]}".to_string()));
    let (listen, folder) = (free(last), tempfile::tempdir().unwrap());
    let file = folder.path().join("config.json");
    std::fs::write(&file, config(listen, changing_board(body.clone()), &[at])).unwrap();
    let (_gateway, conn) = start(&file, listen);
    let mut conn = BufReader::new(conn);
    for tag in 1..=3 {
        conn.get_mut()
            .write_all(call(tag, "issue").as_bytes())
            .unwrap();
        assert_eq!(answer(&mut conn), (tag, "OK".to_string()));
    }

    old.is_stopped.store(true, Ordering::SeqCst);
    let before = old.attempts.load(Ordering::SeqCst);
    processes.lock().unwrap().push(new.clone());
    let (new_at, started_ms) = match place {
        NewProcess::SameAddress => (at, 1_700_000_000_000_u64),
        NewProcess::OtherAddress => (listen_for(Arc::new(Mutex::new(vec![new.clone()]))), 0),
    };
    let entry = host_entries(&[new_at])
        .replace("\"started_ms\":0", &format!("\"started_ms\":{started_ms}"));
    *body.lock().unwrap() = format!(
        "{{\"rev\":2,\"notices\":[{{\"rev\":2,\"pool\":{{\"version\":1,\"full\":false,\"servers\":[{entry}]}}}}]}}"
    );
    std::thread::sleep(CHANGE_READ);
    for tag in 4..=6 {
        conn.get_mut()
            .write_all(call(tag, "issue").as_bytes())
            .unwrap();
        assert_eq!(answer(&mut conn), (tag, "OK".to_string()));
    }
    assert_eq!(old.attempts.load(Ordering::SeqCst), before);
    assert_eq!(new.attempts.load(Ordering::SeqCst), 3);
}
