//! The tasks beside a gateway's loop that carry what the gateways hold in common: two threads, each with a net of its own,
//! that end when they have handed over what they hold.
use crate::serve::read_keys;
use crate::{input, Failure};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tidewall_config::Section;
use tidewall_coordination::config::CoordinationConfig;
use tidewall_coordination::executor_task::ExecutorTask;
use tidewall_coordination::lease_task::LeaseTask;
use tidewall_coordination::mailbox::{channel, ExecutorCommand, MailboxSender};
use tidewall_failover::proposal::next_incarnation;
use tidewall_gateway::EndpointWatcher;
use tidewall_net::mio::{self, Mio};
use tidewall_sim::fleet::Plant;
use tracing::error;

pub struct CoordinationThreads {
    threads: Vec<JoinHandle<()>>,
    told: Arc<AtomicBool>,
    watch: Option<MailboxSender<ExecutorCommand>>,
}

impl CoordinationThreads {
    pub fn none() -> CoordinationThreads {
        CoordinationThreads {
            threads: Vec::new(),
            told: Arc::new(AtomicBool::new(false)),
            watch: None,
        }
    }

    /// Starts both; `told` is set when the process is to go.
    pub fn start(
        &mut self,
        s: &Section,
        me: usize,
        seed: u64,
        plant: Plant,
        told: &Arc<AtomicBool>,
    ) -> Result<(), Failure> {
        let file = PathBuf::from(s.section("fleet_common").text("key_file"));
        let last = std::sync::Mutex::new(read_keys(&file).map_err(input)?);
        // A file that cannot be read, or is being written, leaves the keys as they are.
        let keys = move || {
            let mut last = last.lock().expect("nobody panics while it holds this");
            if let Ok(keys) = read_keys(&file) {
                *last = keys;
            }
            last.clone()
        };
        let clock = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |d| d.as_millis() as u64);
        let conf = CoordinationConfig::new(
            s,
            me,
            next_incarnation(0, clock),
            seed,
            plant.guards(),
            Box::new(keys),
        );
        // Times that one tells the other are of one clock.
        let (started, ppm) = (Instant::now(), conf.trial_ppm);
        let net = || {
            let mut net = Mio::new().map_err(|e| Failure::Run(e.to_string()))?;
            net.clock(started, ppm);
            Ok::<Mio, Failure>(net)
        };
        let (to_acts, acts_inbox) = channel::<ExecutorCommand>(conf.channel);
        let (from_acts, inbox) = channel(conf.channel);
        self.watch = Some(to_acts.clone_sender());
        let over = Arc::new(AtomicBool::new(false));
        let mut acting = ExecutorTask::new(net()?, &conf, acts_inbox, from_acts, over.clone());
        let mut keeping =
            LeaseTask::new(net()?, conf, (to_acts, inbox), told.clone()).map_err(input)?;
        self.told = told.clone();
        self.thread("acting", move || mio::run(&mut acting))?;
        self.thread("keeping", move || {
            let done = mio::run(&mut keeping);
            over.store(true, Ordering::Relaxed);
            done
        })
    }

    fn thread(
        &mut self,
        name: &'static str,
        run: impl FnOnce() -> std::io::Result<()> + Send + 'static,
    ) -> Result<(), Failure> {
        let logged = move || {
            if let Err(e) = run() {
                error!(task = name, error = %e, "a task ended");
            }
        };
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(logged);
        self.threads
            .push(thread.map_err(|e| Failure::Run(e.to_string()))?);
        Ok(())
    }

    /// The gateway's list of workers, for those that act there.
    pub fn watch(&mut self) -> EndpointWatcher {
        let mut post = self.watch.take().expect("it was started");
        Box::new(move |list| {
            post.send(ExecutorCommand::EndpointsChanged(
                list.iter().map(|e| (e.name.clone(), e.address)).collect(),
            ))
        })
    }

    /// The gateway has answered all: what is held is handed over, and both end.
    pub fn end(&mut self) {
        self.told.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A task that panicked has said so, and ended the process.
            let _ = thread.join();
        }
    }
}
