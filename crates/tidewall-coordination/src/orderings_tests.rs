//! Orderings of the task that holds and the task that acts, each run another: the shipped channels on shuttle's primitives,
//! the shipped `EffectScheduler` and `Lease` at their ends.
use crate::effect_scheduler::{EffectActions, EffectScheduler};
use crate::mailbox::{channel, ExecutorCommand, ExecutorEvent, MailboxReceiver, MailboxSender};
use shuttle::sync::Mutex;
use shuttle::thread;
use std::sync::Arc;

const RUNS: usize = 5_000;
const STEPS: u64 = 25;

struct Side {
    turns: Vec<usize>,
    post: MailboxSender<ExecutorEvent>,
    /// Planted: says that it stopped as soon as it is told to.
    early: bool,
}

impl EffectActions for Side {
    fn run_effect(&mut self, task: usize) {
        self.turns.push(task);
    }
    fn execution_stopped(&mut self, task: usize, epoch: u64) {
        self.post
            .send(ExecutorEvent::ExecutionStopped { task, epoch });
    }
}

/// The task that acts, and a worker at which acts take effect some time after they left.
fn act(inbox: MailboxReceiver<ExecutorCommand>, mut side: Side, log: Arc<Mutex<Vec<(u64, bool)>>>) {
    let (mut to, way) = channel::<(u64, u32)>(2);
    let (mut answer, answers) = channel::<u32>(2);
    let worker = thread::spawn(move || {
        for _ in 0..STEPS {
            if let Some((epoch, round)) = way.try_receive() {
                log.lock().unwrap().push((epoch, false));
                answer.send(round);
            }
            thread::yield_now();
        }
    });
    let mut acts = EffectScheduler::new(1, 1, 1_000);
    for now in 0..STEPS {
        while let Some(message) = inbox.try_receive() {
            match message {
                ExecutorCommand::LeaseAcquired { task, epoch, until } => {
                    acts.lease_acquired(now, task, epoch, until, 0)
                }
                ExecutorCommand::LeaseLost { task, epoch } => {
                    if side.early {
                        side.post
                            .send(ExecutorEvent::ExecutionStopped { task, epoch });
                    }
                    acts.lease_lost(now, &mut side, task, epoch);
                }
                ExecutorCommand::EndpointsChanged(_) => {}
            }
        }
        while let Some(round) = answers.try_receive() {
            acts.effect_acknowledged(now, &mut side, 0, round);
        }
        acts.tick(now, &mut side);
        if let Some(epoch) = side.turns.pop().and_then(|_| acts.permitted_epoch(now, 0)) {
            let round = acts.effect_sent(now, 0);
            if !to.send((epoch, round)) {
                acts.effect_acknowledged(now, &mut side, 0, round);
            }
        }
        thread::yield_now();
    }
    worker.join().unwrap();
}

/// Nothing takes effect after the one that holds has heard that it stopped; a full channel loses no stop for good.
fn nothing_after_stopped(most: usize, early: bool) {
    let (mut to, inbox) = channel(most);
    let (post, from) = channel(most);
    let log = Arc::new(Mutex::new(Vec::new()));
    let acting = {
        let log = log.clone();
        thread::spawn(move || {
            act(
                inbox,
                Side {
                    turns: Vec::new(),
                    post,
                    early,
                },
                log,
            )
        })
    };
    to.send(ExecutorCommand::LeaseAcquired {
        task: 0,
        epoch: 5,
        until: u64::MAX,
    });
    thread::yield_now();
    for _ in 0..STEPS {
        // Told again, as a lease that is given back is.
        to.send(ExecutorCommand::LeaseLost { task: 0, epoch: 5 });
        thread::yield_now();
        if from.try_receive() == Some(ExecutorEvent::ExecutionStopped { task: 0, epoch: 5 }) {
            // Given back: whoever acts from now on is another.
            log.lock().unwrap().push((5, true));
            break;
        }
    }
    acting.join().unwrap();
    let log = log.lock().unwrap();
    let given = log.iter().position(|l| l.1).unwrap_or(log.len());
    assert!(
        log[given..].iter().all(|l| l.1),
        "an act took effect after it was given back: {log:?}"
    );
}

#[test]
fn no_act_takes_effect_after_its_task_was_given_back() {
    shuttle::check_random(|| nothing_after_stopped(1, false), RUNS);
    shuttle::check_random(|| nothing_after_stopped(4, false), RUNS);
    shuttle::check_pct(|| nothing_after_stopped(2, false), RUNS, 3);
}

#[test]
#[should_panic(expected = "an act took effect")]
fn a_planted_early_word_is_seen() {
    shuttle::check_random(|| nothing_after_stopped(4, true), RUNS);
}
