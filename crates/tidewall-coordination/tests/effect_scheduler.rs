//! What is done for held tasks, and when a task counts as stopped.
use test_case::test_case;
use tidewall_coordination::effect_scheduler::{EffectActions, EffectScheduler};

#[derive(Default)]
struct Said {
    turns: Vec<usize>,
    stopped: Vec<(usize, u64)>,
}

impl EffectActions for Said {
    fn run_effect(&mut self, task: usize) {
        self.turns.push(task);
    }
    fn execution_stopped(&mut self, task: usize, epoch: u64) {
        self.stopped.push((task, epoch));
    }
}

const EVERY: u64 = 100;
const MARGIN: u64 = 50;

#[test]
fn a_task_has_its_turns_while_its_lease_runs_and_makes_up_for_none() {
    let (mut acts, mut said) = (EffectScheduler::new(3, EVERY, MARGIN), Said::default());
    acts.lease_acquired(0, 1, 7, 350, 10);
    for now in [5, 10, 60, 110, 345, 350, 360, 1_000] {
        acts.tick(now, &mut said);
    }
    // At 345 one turn, not two; at 350 it is over.
    assert_eq!(said.turns, [1, 1, 1]);
    assert_eq!(
        (acts.permitted_epoch(349, 1), acts.permitted_epoch(350, 1)),
        (Some(7), None)
    );
    // A renewal that comes after all brings it back.
    acts.lease_acquired(1_000, 1, 7, 2_000, 10);
    acts.tick(1_010, &mut said);
    assert_eq!(said.turns.len(), 4);
}

#[test_case(false, 0, true ; "nothing is on its way")]
#[test_case(true, 0, false ; "an act is on its way")]
#[test_case(true, MARGIN, false ; "it may still take effect")]
#[test_case(true, MARGIN + 1, true ; "its ticket is too old everywhere")]
fn stopped_means_that_nothing_can_take_effect_any_more(out: bool, later: u64, told: bool) {
    let (mut acts, mut said) = (EffectScheduler::new(3, EVERY, MARGIN), Said::default());
    acts.lease_acquired(0, 1, 7, 10_000, 10);
    let round = if out { acts.effect_sent(20, 1) } else { 0 };
    acts.lease_lost(20, &mut said, 1, 7);
    assert_eq!(acts.permitted_epoch(20, 1), None);
    acts.tick(20 + later, &mut said);
    assert_eq!(said.stopped, if told { vec![(1, 7)] } else { vec![] });
    // Its answer ends the wait.
    acts.effect_acknowledged(21 + later, &mut said, 1, round);
    assert_eq!(said.stopped, [(1, 7)]);
}

#[test]
fn a_word_that_was_overtaken_holds_nothing() {
    let (mut acts, mut said) = (EffectScheduler::new(3, EVERY, MARGIN), Said::default());
    acts.lease_acquired(0, 1, 9, 10_000, 10);
    // Of a former epoch: neither holds nor stops the newer one.
    acts.lease_acquired(0, 1, 7, 90_000, 10);
    assert_eq!(
        (
            acts.permitted_epoch(9_999, 1),
            acts.permitted_epoch(10_000, 1)
        ),
        (Some(9), None)
    );
    acts.lease_lost(5, &mut said, 1, 7);
    assert_eq!(acts.permitted_epoch(6, 1), Some(9));
    // A task that there is not.
    acts.lease_acquired(0, 99, 1, 5, 5);
    acts.lease_lost(0, &mut said, 99, 1);
}

/// Its act was given up by time; the answer that comes after all is not taken for one of the act that went since.
#[test]
fn a_late_answer_is_none_of_what_was_sent_since() {
    let (mut acts, mut said) = (EffectScheduler::new(3, EVERY, MARGIN), Said::default());
    acts.lease_acquired(0, 1, 7, 10_000, 10);
    let old = acts.effect_sent(20, 1);
    acts.lease_lost(20, &mut said, 1, 7);
    acts.tick(20 + MARGIN + 1, &mut said);
    acts.lease_acquired(100, 1, 9, 10_000, 10);
    let new = acts.effect_sent(110, 1);
    acts.effect_acknowledged(111, &mut said, 1, old);
    acts.lease_lost(112, &mut said, 1, 9);
    assert_eq!(said.stopped, [(1, 7)]);
    acts.effect_acknowledged(113, &mut said, 1, new);
    assert_eq!(said.stopped, [(1, 7), (1, 9)]);
}
