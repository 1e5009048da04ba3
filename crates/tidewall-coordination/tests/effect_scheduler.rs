//! Tests when effects of held tasks are due, and when the execution of a task counts as stopped.
#![allow(missing_docs)]
use test_case::test_case;
use tidewall_coordination::effect_scheduler::{EffectActions, EffectScheduler};

#[derive(Default)]
struct Recorded {
    effects: Vec<usize>,
    stopped: Vec<(usize, u64)>,
}

impl EffectActions for Recorded {
    fn run_effect(&mut self, task: usize) {
        self.effects.push(task);
    }
    fn execution_stopped(&mut self, task: usize, epoch: u64) {
        self.stopped.push((task, epoch));
    }
}

const INTERVAL: u64 = 100;
const EFFECT_TIMEOUT: u64 = 50;

#[test]
fn effects_run_while_the_lease_runs_and_missed_ones_are_not_made_up_for() {
    let (mut scheduler, mut recorded) = (
        EffectScheduler::new(3, INTERVAL, EFFECT_TIMEOUT),
        Recorded::default(),
    );
    scheduler.lease_acquired(0, 1, 7, 350, 10);
    for now in [5, 10, 60, 110, 345, 350, 360, 1_000] {
        scheduler.tick(now, &mut recorded);
    }
    // At 345 one effect runs, not two. At 350 the lease has expired.
    assert_eq!(recorded.effects, [1, 1, 1]);
    assert_eq!(
        (
            scheduler.permitted_epoch(349, 1),
            scheduler.permitted_epoch(350, 1)
        ),
        (Some(7), None)
    );
    // A late renewal starts the effects again.
    scheduler.lease_acquired(1_000, 1, 7, 2_000, 10);
    scheduler.tick(1_010, &mut recorded);
    assert_eq!(recorded.effects.len(), 4);
}

#[test_case(false, 0, true ; "no effect is in flight")]
#[test_case(true, 0, false ; "an effect is in flight")]
#[test_case(true, EFFECT_TIMEOUT, false ; "it may still take place")]
#[test_case(true, EFFECT_TIMEOUT + 1, true ; "its permit is too old everywhere")]
fn execution_is_stopped_when_no_effect_can_take_place_any_more(
    in_flight: bool,
    later: u64,
    reported: bool,
) {
    let (mut scheduler, mut recorded) = (
        EffectScheduler::new(3, INTERVAL, EFFECT_TIMEOUT),
        Recorded::default(),
    );
    scheduler.lease_acquired(0, 1, 7, 10_000, 10);
    let generation = if in_flight {
        scheduler.effect_sent(20, 1)
    } else {
        0
    };
    scheduler.lease_lost(20, &mut recorded, 1, 7);
    assert_eq!(scheduler.permitted_epoch(20, 1), None);
    scheduler.tick(20 + later, &mut recorded);
    assert_eq!(
        recorded.stopped,
        if reported { vec![(1, 7)] } else { vec![] }
    );
    // The acknowledgement of the effect ends the wait.
    scheduler.effect_acknowledged(21 + later, &mut recorded, 1, generation);
    assert_eq!(recorded.stopped, [(1, 7)]);
}

#[test]
fn commands_of_a_former_epoch_and_of_unknown_tasks_are_ignored() {
    let (mut scheduler, mut recorded) = (
        EffectScheduler::new(3, INTERVAL, EFFECT_TIMEOUT),
        Recorded::default(),
    );
    scheduler.lease_acquired(0, 1, 9, 10_000, 10);
    // A command of a previous epoch neither extends nor ends the newer lease.
    scheduler.lease_acquired(0, 1, 7, 90_000, 10);
    assert_eq!(
        (
            scheduler.permitted_epoch(9_999, 1),
            scheduler.permitted_epoch(10_000, 1)
        ),
        (Some(9), None)
    );
    scheduler.lease_lost(5, &mut recorded, 1, 7);
    assert_eq!(scheduler.permitted_epoch(6, 1), Some(9));
    // Commands for a task that does not exist.
    scheduler.lease_acquired(0, 99, 1, 5, 5);
    scheduler.lease_lost(0, &mut recorded, 99, 1);
}

/// An effect timed out before its acknowledgement arrived. The late acknowledgement must not be counted for
/// an effect that was sent since.
#[test]
fn a_late_acknowledgement_does_not_count_for_a_later_effect() {
    let (mut scheduler, mut recorded) = (
        EffectScheduler::new(3, INTERVAL, EFFECT_TIMEOUT),
        Recorded::default(),
    );
    scheduler.lease_acquired(0, 1, 7, 10_000, 10);
    let old = scheduler.effect_sent(20, 1);
    scheduler.lease_lost(20, &mut recorded, 1, 7);
    scheduler.tick(20 + EFFECT_TIMEOUT + 1, &mut recorded);
    scheduler.lease_acquired(100, 1, 9, 10_000, 10);
    let new = scheduler.effect_sent(110, 1);
    scheduler.effect_acknowledged(111, &mut recorded, 1, old);
    scheduler.lease_lost(112, &mut recorded, 1, 9);
    assert_eq!(recorded.stopped, [(1, 7)]);
    scheduler.effect_acknowledged(113, &mut recorded, 1, new);
    assert_eq!(recorded.stopped, [(1, 7), (1, 9)]);
}
