//! Incarnation numbers across restarts: a member of a pair is started, killed and started again.
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tidewall_gateway::incarnation_store::IncarnationStore;
use tidewall_wire::{self as wire, kind, Field, Fields};

const PAIR: &str = include_str!("../../../deploy/examples/pair-a.txtpb");
const KEYS: &str = include_str!("../../../deploy/examples/pair.keys");

/// Starting a process takes far less, also while other tests run.
const START_TIME: Duration = Duration::from_secs(20);

/// A member of a pair with a folder for its settings and state.
struct Member {
    folder: tempfile::TempDir,
    link: SocketAddr,
    process: Option<Child>,
}

impl Member {
    fn new() -> Member {
        let folder = tempfile::tempdir().unwrap();
        // Held until all are chosen, so that no two fields get the same port.
        let mut listeners = Vec::new();
        let mut free = |host: &str| {
            let listener = TcpListener::bind(format!("{host}:0")).unwrap();
            let address = listener.local_addr().unwrap();
            listeners.push(listener);
            address
        };
        let link = free("127.0.0.2");
        let text = PAIR
            .replace("127.0.0.2:7604", &link.to_string())
            .replace("127.0.0.2:7603", &free("127.0.0.2").to_string())
            .replace("127.0.0.1:7600", &free("127.0.0.1").to_string())
            .replace("127.0.0.1:7601", &free("127.0.0.1").to_string())
            .replace("127.0.0.1:7602", &free("127.0.0.1").to_string())
            .replace(
                "deploy/examples/pair.keys",
                folder.path().join("keys").to_str().unwrap(),
            )
            .replacen(
                "gateway { name: \"g0\"",
                &format!(
                    "gateway {{ name: \"g0\" incarnation_file: \"{}\"",
                    folder.path().join("state/number").display()
                ),
                1,
            );
        drop(listeners);
        fs::write(folder.path().join("keys"), KEYS).unwrap();
        fs::write(folder.path().join("settings"), text).unwrap();
        fs::create_dir(folder.path().join("state")).unwrap();
        Member {
            folder,
            link,
            process: None,
        }
    }

    fn number_file(&self) -> PathBuf {
        self.folder.path().join("state/number")
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tidewall"));
        let settings = self.folder.path().join("settings");
        command.args(["serve", "--config", settings.to_str().unwrap()]);
        command.stdin(Stdio::null()).stderr(Stdio::piped());
        command
    }

    /// Starts the process and returns the incarnation number that it reports on its link address.
    fn start(&mut self) -> u64 {
        let log = fs::File::create(self.folder.path().join("log")).unwrap();
        self.process = Some(self.command().stderr(log).spawn().unwrap());
        self.wait_for_number()
    }

    fn wait_for_number(&self) -> u64 {
        let started = Instant::now();
        loop {
            match ask_number(self.link) {
                Ok(number) => return number,
                Err(error) => assert!(started.elapsed() < START_TIME, "{error}: {}", self.log()),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).unwrap()
    }

    /// Kills the process without a chance to shut down, as a power failure would.
    fn kill(&mut self) {
        let mut process = self.process.take().unwrap();
        process.kill().unwrap();
        process.wait().unwrap();
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        if self.process.is_some() {
            self.kill();
        }
    }
}

fn ask_number(link: SocketAddr) -> std::io::Result<u64> {
    let mut socket = TcpStream::connect(link)?;
    socket.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut hello = Vec::new();
    wire::hello(&mut hello, "status", "status", 1);
    socket.write_all(&hello)?;
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        if let Ok(Some((body, _))) = wire::frame(&received) {
            let fields = Fields::read(body).unwrap();
            assert_eq!(fields.kind().unwrap(), kind::STATUS);
            return Ok(fields.whole(Field::Life).unwrap());
        }
        match socket.read(&mut chunk)? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            length => received.extend_from_slice(&chunk[..length]),
        }
    }
}

fn wall_clock_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

/// Guards against an incarnation with a number that a former one used: its ballots, and what others remember
/// of the former one, would be attributed to it. The clock of the former one was an hour ahead.
#[test]
fn a_clock_set_back_across_a_restart_gives_a_higher_number() {
    let mut member = Member::new();
    let ahead = wall_clock_ms() + 3_600_000;
    let mut former = IncarnationStore::open(&member.number_file()).unwrap();
    assert_eq!(former.next(0, ahead).unwrap(), ahead);
    drop(former);
    for start in 1..=3 {
        assert_eq!(member.start(), ahead + start);
        member.kill();
    }
}

#[test]
fn a_second_process_with_the_same_file_is_refused() {
    let mut member = Member::new();
    member.start();
    let output = member.command().output().unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    let errors: Vec<&str> = stderr.lines().filter(|l| !l.contains(" INFO ")).collect();
    assert_eq!(
        (output.status.code(), errors.len()),
        (Some(2), 1),
        "{stderr}"
    );
    let expected = format!(
        "{}: another process uses it",
        member.number_file().display()
    );
    assert_eq!(errors[0], expected);
}

/// The process does not serve with a number that a later start could use again, and continues once the number
/// can be stored.
#[test]
fn a_start_waits_until_its_number_is_stored() {
    let mut member = Member::new();
    // A folder where the new file would be written.
    let obstacle = member.folder.path().join("state/number.new");
    fs::create_dir(&obstacle).unwrap();
    let log = fs::File::create(member.folder.path().join("log")).unwrap();
    member.process = Some(member.command().stderr(log).spawn().unwrap());
    let started = Instant::now();
    while !member.log().contains("incarnation could not be stored") {
        assert!(started.elapsed() < START_TIME, "{}", member.log());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(ask_number(member.link).is_err(), "it serves");
    fs::remove_dir(&obstacle).unwrap();
    assert!(member.wait_for_number() > 0);
}
