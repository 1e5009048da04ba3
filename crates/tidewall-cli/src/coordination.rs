//! The two coordination threads beside a gateway's event loop: the lease task and the executor task, each
//! with a `Net` of its own. This module starts them, passes them the gateway's endpoint list, and joins them
//! after they have handed over their leases.
use crate::serve::read_keys;
use crate::{input, Failure};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Instant;
use tidewall_config::Section;
use tidewall_coordination::config::CoordinationConfig;
use tidewall_coordination::executor_task::ExecutorTask;
use tidewall_coordination::lease_task::LeaseTask;
use tidewall_coordination::mailbox::{channel, ExecutorCommand, MailboxSender};
use tidewall_gateway::EndpointWatcher;
use tidewall_net::mio::{self, Mio};
use tidewall_sim::fleet::OmittedSafeguard;
use tidewall_vrrp::packet::Keys;
use tracing::error;

/// The running threads; empty where the settings have no `fleet_common`.
pub struct CoordinationThreads {
    threads: Vec<JoinHandle<()>>,
    shutdown: Arc<AtomicBool>,
    /// Until `endpoint_watcher` takes it.
    endpoint_commands: Option<MailboxSender<ExecutorCommand>>,
}

impl CoordinationThreads {
    /// No threads.
    pub fn none() -> CoordinationThreads {
        CoordinationThreads {
            threads: Vec::new(),
            shutdown: Arc::new(AtomicBool::new(false)),
            endpoint_commands: None,
        }
    }

    /// Starts both threads for this incarnation. Once `shutdown` is set, they hand over their leases and end.
    ///
    /// # Errors
    /// Wrong input: the key file cannot be read, or the address cannot be bound. Run failure: the system
    /// cannot create a thread or poll.
    pub fn start(
        &mut self,
        settings: &Section,
        (member, incarnation): (usize, u64),
        seed: u64,
        plant: OmittedSafeguard,
        shutdown: &Arc<AtomicBool>,
    ) -> Result<(), Failure> {
        let load_keys = key_loader(settings)?;
        let guards = plant.safety_checks();
        let config =
            CoordinationConfig::new(settings, member, incarnation, seed, guards, load_keys);
        // Both tasks use one clock, as their messages to each other contain times.
        let (started, clock_skew_ppm) = (Instant::now(), config.clock_skew_ppm);
        let net = || {
            let mut net = Mio::new().map_err(|e| Failure::Run(e.to_string()))?;
            net.clock(started, clock_skew_ppm);
            Ok::<Mio, Failure>(net)
        };
        let (commands, executor_inbox) = channel::<ExecutorCommand>(config.channel_capacity);
        let (events, lease_inbox) = channel(config.channel_capacity);
        self.endpoint_commands = Some(commands.clone_sender());
        let lease_task_ended = Arc::new(AtomicBool::new(false));
        let mut executor = ExecutorTask::new(
            net()?,
            &config,
            executor_inbox,
            events,
            lease_task_ended.clone(),
        );
        let mailboxes = (commands, lease_inbox);
        let mut lease =
            LeaseTask::new(net()?, config, mailboxes, shutdown.clone()).map_err(input)?;
        self.shutdown = shutdown.clone();
        self.spawn("executor", move || mio::run(&mut executor))?;
        self.spawn("lease", move || {
            let done = mio::run(&mut lease);
            lease_task_ended.store(true, Ordering::Relaxed);
            done
        })
    }

    fn spawn(
        &mut self,
        name: &'static str,
        run: impl FnOnce() -> std::io::Result<()> + Send + 'static,
    ) -> Result<(), Failure> {
        let logged = move || {
            if let Err(e) = run() {
                error!(task = name, error = %e, "coordination task failed");
            }
        };
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(logged);
        self.threads
            .push(thread.map_err(|e| Failure::Run(e.to_string()))?);
        Ok(())
    }

    /// Returns a watcher that passes each new endpoint list to the executor task. Must be called once, after
    /// `start`.
    pub fn endpoint_watcher(&mut self) -> EndpointWatcher {
        let mut commands = self
            .endpoint_commands
            .take()
            .expect("called once, after start");
        Box::new(move |endpoints| {
            let endpoints = endpoints.iter().map(|e| (e.name.clone(), e.address));
            commands.send(ExecutorCommand::EndpointsChanged(endpoints.collect()))
        })
    }

    /// Makes both threads hand over their leases, and waits until they end. To be called after the gateway
    /// has drained.
    pub fn shut_down(&mut self) {
        self.shutdown.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // The result holds no panic: the panic hook logs it and ends the process.
            let _ = thread.join();
        }
    }
}

/// Returns a function that reads the key file at each call. If the file cannot be read, or is being written,
/// the function returns the keys that it read last.
fn key_loader(settings: &Section) -> Result<Box<dyn Fn() -> Keys + Send>, Failure> {
    let file = PathBuf::from(settings.section("fleet_common").text("key_file"));
    let last = Mutex::new(read_keys(&file).map_err(input)?);
    Ok(Box::new(move || {
        let mut last = last
            .lock()
            .expect("no thread panics while it holds this lock");
        if let Ok(keys) = read_keys(&file) {
            *last = keys;
        }
        last.clone()
    }))
}
