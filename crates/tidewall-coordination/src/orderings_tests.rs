//! Explores thread orderings of the lease task and the executor task with shuttle: the production mailboxes
//! on shuttle's primitives, the production `EffectScheduler` at one end, and a substitute for the lease task
//! at the other.
use crate::effect_scheduler::{EffectActions, EffectScheduler};
use crate::mailbox::{channel, ExecutorCommand, ExecutorEvent, MailboxReceiver, MailboxSender};
use shuttle::sync::Mutex;
use shuttle::thread;
use std::sync::Arc;

const RUNS: usize = 5_000;
const STEPS: u64 = 25;

/// An entry of the log of events, which are kept in order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Entry {
    /// An effect took place at the worker under this epoch.
    Effect(u64),
    /// The lease of this epoch was released.
    Released(u64),
}

struct Output {
    due_tasks: Vec<usize>,
    events: MailboxSender<ExecutorEvent>,
    /// Injected fault: reports that execution has stopped as soon as the lease is lost.
    reports_early: bool,
}

impl EffectActions for Output {
    fn run_effect(&mut self, task: usize) {
        self.due_tasks.push(task);
    }
    fn execution_stopped(&mut self, task: usize, epoch: u64) {
        self.events
            .send(ExecutorEvent::ExecutionStopped { task, epoch });
    }
}

/// Runs the executor task, and a worker at which effects take place some time after they were sent.
fn execute(
    commands: MailboxReceiver<ExecutorCommand>,
    mut output: Output,
    log: Arc<Mutex<Vec<Entry>>>,
) {
    let (mut effects, effects_received) = channel::<(u64, u32)>(2);
    let (mut acknowledgements, acknowledged) = channel::<u32>(2);
    let worker = thread::spawn(move || {
        for _ in 0..STEPS {
            if let Some((epoch, generation)) = effects_received.try_receive() {
                log.lock()
                    .expect("no thread panics while it holds the log")
                    .push(Entry::Effect(epoch));
                acknowledgements.send(generation);
            }
            thread::yield_now();
        }
    });
    let mut scheduler = EffectScheduler::new(1, 1, 1_000);
    for now in 0..STEPS {
        while let Some(command) = commands.try_receive() {
            match command {
                ExecutorCommand::LeaseAcquired { task, epoch, until } => {
                    scheduler.lease_acquired(now, task, epoch, until, 0);
                }
                ExecutorCommand::LeaseLost { task, epoch } => {
                    if output.reports_early {
                        output
                            .events
                            .send(ExecutorEvent::ExecutionStopped { task, epoch });
                    }
                    scheduler.lease_lost(now, &mut output, task, epoch);
                }
                ExecutorCommand::EndpointsChanged(_) => {}
            }
        }
        while let Some(generation) = acknowledged.try_receive() {
            scheduler.effect_acknowledged(now, &mut output, 0, generation);
        }
        scheduler.tick(now, &mut output);
        let due = output.due_tasks.pop();
        if let Some(epoch) = due.and_then(|_| scheduler.permitted_epoch(now, 0)) {
            let generation = scheduler.effect_sent(now, 0);
            if !effects.send((epoch, generation)) {
                scheduler.effect_acknowledged(now, &mut output, 0, generation);
            }
        }
        thread::yield_now();
    }
    worker.join().expect("the worker thread does not panic");
}

/// Checks that no effect takes place after the lease task has received that execution stopped, although a
/// full mailbox may drop a notice of it.
fn no_effect_after_stopped(capacity: usize, reports_early: bool) {
    let (mut commands, commands_received) = channel(capacity);
    let (events, events_received) = channel(capacity);
    let log = Arc::new(Mutex::new(Vec::new()));
    let executor = {
        let log = log.clone();
        let output = Output {
            due_tasks: Vec::new(),
            events,
            reports_early,
        };
        thread::spawn(move || execute(commands_received, output, log))
    };
    commands.send(ExecutorCommand::LeaseAcquired {
        task: 0,
        epoch: 5,
        until: u64::MAX,
    });
    thread::yield_now();
    for _ in 0..STEPS {
        // Sent repeatedly, as by a lease that is to be released.
        commands.send(ExecutorCommand::LeaseLost { task: 0, epoch: 5 });
        thread::yield_now();
        if events_received.try_receive()
            == Some(ExecutorEvent::ExecutionStopped { task: 0, epoch: 5 })
        {
            // From this point on another member may execute the task.
            log.lock()
                .expect("no thread panics while it holds the log")
                .push(Entry::Released(5));
            break;
        }
    }
    executor.join().expect("the executor thread does not panic");
    let log = log.lock().expect("no thread panics while it holds the log");
    let released = |entry: &Entry| matches!(entry, Entry::Released(_));
    let first = log.iter().position(released).unwrap_or(log.len());
    assert!(
        log[first..].iter().all(released),
        "an effect took place after the lease was released: {log:?}"
    );
}

#[test]
fn no_effect_takes_place_after_the_lease_was_released() {
    shuttle::check_random(|| no_effect_after_stopped(1, false), RUNS);
    shuttle::check_random(|| no_effect_after_stopped(4, false), RUNS);
    shuttle::check_pct(|| no_effect_after_stopped(2, false), RUNS, 3);
}

#[test]
#[should_panic(expected = "an effect took place")]
fn an_injected_early_report_is_detected() {
    shuttle::check_random(|| no_effect_after_stopped(4, true), RUNS);
}
