//! Thread orderings of the lease task and the executor task, explored by shuttle: the shipped mailboxes on shuttle's primitives, the
//! shipped `EffectScheduler` at one end, and a stand-in for the lease task at the other.
use crate::effect_scheduler::{EffectActions, EffectScheduler};
use crate::mailbox::{channel, ExecutorCommand, ExecutorEvent, MailboxReceiver, MailboxSender};
use shuttle::sync::Mutex;
use shuttle::thread;
use std::sync::Arc;

const RUNS: usize = 5_000;
const STEPS: u64 = 25;

/// What happened, in order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Entry {
    /// An effect took place at the worker, under this epoch.
    Effect(u64),
    /// The lease of this epoch was given back.
    GivenBack(u64),
}

struct Output {
    due: Vec<usize>,
    events: MailboxSender<ExecutorEvent>,
    /// Planted fault: reports that execution has stopped as soon as the lease is lost.
    reports_early: bool,
}

impl EffectActions for Output {
    fn run_effect(&mut self, task: usize) {
        self.due.push(task);
    }
    fn execution_stopped(&mut self, task: usize, epoch: u64) {
        self.events
            .send(ExecutorEvent::ExecutionStopped { task, epoch });
    }
}

/// The executor task, and a worker at which effects take place some time after they were sent.
fn execute(
    commands: MailboxReceiver<ExecutorCommand>,
    mut output: Output,
    log: Arc<Mutex<Vec<Entry>>>,
) {
    let (mut effects, effects_received) = channel::<(u64, u32)>(2);
    let (mut acknowledgements, acknowledged) = channel::<u32>(2);
    let worker = thread::spawn(move || {
        for _ in 0..STEPS {
            if let Some((epoch, round)) = effects_received.try_receive() {
                log.lock()
                    .expect("no thread panics while it holds the log")
                    .push(Entry::Effect(epoch));
                acknowledgements.send(round);
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
        while let Some(round) = acknowledged.try_receive() {
            scheduler.effect_acknowledged(now, &mut output, 0, round);
        }
        scheduler.tick(now, &mut output);
        let due = output.due.pop();
        if let Some(epoch) = due.and_then(|_| scheduler.permitted_epoch(now, 0)) {
            let round = scheduler.effect_sent(now, 0);
            if !effects.send((epoch, round)) {
                scheduler.effect_acknowledged(now, &mut output, 0, round);
            }
        }
        thread::yield_now();
    }
    worker.join().expect("the worker thread does not panic");
}

/// No effect takes place after the lease task has received that execution stopped; a full mailbox loses no stop for good.
fn no_effect_after_stopped(capacity: usize, reports_early: bool) {
    let (mut commands, commands_received) = channel(capacity);
    let (events, events_received) = channel(capacity);
    let log = Arc::new(Mutex::new(Vec::new()));
    let executor = {
        let log = log.clone();
        let output = Output {
            due: Vec::new(),
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
        // Sent again and again, as a lease that is to be given back does.
        commands.send(ExecutorCommand::LeaseLost { task: 0, epoch: 5 });
        thread::yield_now();
        if events_received.try_receive()
            == Some(ExecutorEvent::ExecutionStopped { task: 0, epoch: 5 })
        {
            // From now on another member executes the task.
            log.lock()
                .expect("no thread panics while it holds the log")
                .push(Entry::GivenBack(5));
            break;
        }
    }
    executor.join().expect("the executor thread does not panic");
    let log = log.lock().expect("no thread panics while it holds the log");
    let given_back = |entry: &Entry| matches!(entry, Entry::GivenBack(_));
    let first = log.iter().position(given_back).unwrap_or(log.len());
    assert!(
        log[first..].iter().all(given_back),
        "an effect took place after the lease was given back: {log:?}"
    );
}

#[test]
fn no_effect_takes_place_after_the_lease_was_given_back() {
    shuttle::check_random(|| no_effect_after_stopped(1, false), RUNS);
    shuttle::check_random(|| no_effect_after_stopped(4, false), RUNS);
    shuttle::check_pct(|| no_effect_after_stopped(2, false), RUNS, 3);
}

#[test]
#[should_panic(expected = "an effect took place")]
fn a_planted_early_report_is_detected() {
    shuttle::check_random(|| no_effect_after_stopped(4, true), RUNS);
}
