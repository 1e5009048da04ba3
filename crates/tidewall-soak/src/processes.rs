//! The gateway processes: their configuration, start, signals and logs.
use crate::plan::Plan;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The largest number of log lines that are kept for a gateway; when it is reached, the older half is
/// dropped.
const MAX_LOG_LINES: usize = 40_000;

/// The files that the soak expects in the folder of its own executable.
const PROGRAM: &str = "tidewall";
const SHIM: &str = "libtidewall_fault_shim.so";

/// One gateway: its address, its folder, and its process while it runs.
pub struct Gateway {
    /// The address to which clients connect.
    pub address: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    /// The log lines of all of its processes so far.
    pub log: Arc<Mutex<Vec<String>>>,
    /// When it received SIGTERM; none before that.
    pub stopping_at: Option<u64>,
    /// When it was last killed by a planned fault.
    pub killed_at: Option<u64>,
    started_at: Instant,
    starts: u64,
}

/// The platform's specification rules out signals in the first second of a process.
const SIGNAL_FREE_START: Duration = Duration::from_secs(1);

fn program_path(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the path of the own executable is known");
    own.with_file_name(name)
}

impl Gateway {
    /// Creates a gateway that does not run yet, and its folder.
    pub fn new(address: SocketAddr, folder: &Path) -> Gateway {
        std::fs::create_dir_all(folder).expect("the temporary folder can be written");
        Gateway {
            address,
            folder: folder.to_path_buf(),
            child: None,
            log: Arc::default(),
            stopping_at: None,
            killed_at: None,
            started_at: Instant::now(),
            starts: 0,
        }
    }

    /// Replaces its configuration file atomically.
    pub fn configure(&self, text: &str) {
        let (new, file) = (
            self.folder.join("config.new"),
            self.folder.join("config.json"),
        );
        std::fs::write(&new, text).expect("the temporary folder can be written");
        std::fs::rename(&new, &file).expect("the temporary folder can be written");
    }

    /// Starts its process with the fault shim, which fails system calls and shifts the wall clock as the plan
    /// requires.
    pub fn start(&mut self, plan: &Plan, number: usize, clock: &Path) {
        self.starts += 1;
        let seed = plan.seed * 1_000 + number as u64 * 10 + self.starts;
        let mut command = Command::new(program_path(PROGRAM));
        command
            .args(["--log", "debug", "platform"])
            .env("ROUTER_CONFIG", self.folder.join("config.json"))
            .env("LD_PRELOAD", program_path(SHIM))
            .env("TIDEWALL_SHIM_SEED", seed.to_string())
            .env("TIDEWALL_SHIM_RATE", plan.call_failures.to_string())
            .env("TIDEWALL_SHIM_CLOCK", clock)
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        // SAFETY: prctl may be called between fork and exec; the process ends with the soak.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let mut child = command
            .spawn()
            .expect("the program was built beside the soak");
        let lines = BufReader::new(child.stderr.take().expect("it is piped"));
        let log = self.log.clone();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let mut log = log
                    .lock()
                    .expect("no thread panics while it holds the lock");
                if log.len() >= MAX_LOG_LINES {
                    log.drain(..MAX_LOG_LINES / 2);
                }
                log.push(line);
            }
        });
        self.child = Some(child);
        self.started_at = Instant::now();
        self.stopping_at = None;
    }

    /// Whether a signal may be sent to the process by now.
    pub fn accepts_signals(&self) -> bool {
        self.started_at.elapsed() >= SIGNAL_FREE_START
    }

    /// Sends a signal to its process, if it runs.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process is our own child and not waited for yet.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process runs, and its exit status if it has ended since the last call.
    pub fn poll_exit(&mut self) -> (bool, Option<String>) {
        let Some(child) = &mut self.child else {
            return (false, None);
        };
        match child.try_wait() {
            Ok(Some(status)) => {
                self.child = None;
                (false, Some(status.to_string()))
            }
            _ => (true, None),
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The kept log lines that contain this text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = self
            .log
            .lock()
            .expect("no thread panics while it holds the lock");
        log.iter()
            .filter(|line| line.contains(text))
            .cloned()
            .collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
