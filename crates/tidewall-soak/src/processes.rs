//! The gateways as processes: their configuration, start, signals and what they log.
use crate::plan::Plan;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The last lines of a gateway's log that are kept.
const KEPT_LINES: usize = 40_000;

/// What the soak asks of the folder of programs that it stands in.
const PROGRAM: &str = "tidewall";
const SHIM: &str = "libtidewall_fault_shim.so";

/// One gateway: its place and its process, while it runs.
pub struct Gateway {
    /// Where clients connect.
    pub address: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    /// Its log, over all of its processes.
    pub log: Arc<Mutex<Vec<String>>>,
    /// When it was told to stop; none while it runs.
    pub stopping_at: Option<u64>,
    /// When it was killed, last.
    pub killed_at: Option<u64>,
    started_at: Instant,
    starts: u64,
}

/// No signal comes in a process's first second, as the page has it.
const UNSIGNALLED: Duration = Duration::from_secs(1);

fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("a program knows its file");
    own.with_file_name(name)
}

impl Gateway {
    /// A gateway that does not run yet, with a folder of its own.
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

    /// Replaces its configuration file, completely or not at all.
    pub fn configure(&self, text: &str) {
        let (new, file) = (
            self.folder.join("config.new"),
            self.folder.join("config.json"),
        );
        std::fs::write(&new, text).expect("the temporary folder can be written");
        std::fs::rename(&new, &file).expect("the temporary folder can be written");
    }

    /// Starts its process, with the shim where the plan has failing calls or clocks.
    pub fn start(&mut self, plan: &Plan, number: usize, clock: &Path) {
        self.starts += 1;
        let seed = plan.seed * 1_000 + number as u64 * 10 + self.starts;
        let mut command = Command::new(program(PROGRAM));
        command
            .args(["--log", "debug", "platform"])
            .env("ROUTER_CONFIG", self.folder.join("config.json"))
            .env("LD_PRELOAD", program(SHIM))
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
                let mut log = log.lock().expect("nobody panics while it holds this");
                if log.len() >= KEPT_LINES {
                    log.drain(..KEPT_LINES / 2);
                }
                log.push(line);
            }
        });
        self.child = Some(child);
        self.started_at = Instant::now();
        self.stopping_at = None;
    }

    /// Whether it may get a signal that it is to act on.
    pub fn takes_signals(&self) -> bool {
        self.started_at.elapsed() >= UNSIGNALLED
    }

    /// Sends a signal to its process, if it runs.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process is our own child and not waited for yet.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Whether it runs, and the exit code of a process that has ended since this was last asked.
    pub fn check(&mut self) -> (bool, Option<String>) {
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

    /// Kills its process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The last lines of its log that hold this text.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let log = self.log.lock().expect("nobody panics while it holds this");
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
