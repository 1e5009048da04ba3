//! The order of things: the next event, timer or end of a wake-up.
use super::delivery::deliver;
use super::handle::Memory;
use super::world::World;
use crate::{App, Time};
use std::cell::{Cell, RefCell};
use std::hash::Hasher;
use std::rc::Rc;

/// The apps of all nodes, in the order in which the nodes joined; those that joined last may be left out, as long as
/// nothing happens to them.
pub type Apps<'a, 'b> = &'a mut [&'b mut dyn App<Net = Memory>];

/// What this thread is simulating: logs tell it in place of the system's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CurrentStep {
    /// The world's time.
    pub at: Time,
    /// The number of the node whose app was called.
    pub node: usize,
}

thread_local! {
    static CURRENT_STEP: Cell<Option<CurrentStep>> = const { Cell::new(None) };
}

/// The last step of the run that this thread is simulating; none before its first one.
pub fn current_step() -> Option<CurrentStep> {
    CURRENT_STEP.get()
}

/// Notes that the app of a node is about to be called.
pub(super) fn enter_step(at: Time, node: usize) {
    CURRENT_STEP.set(Some(CurrentStep { at, node }));
}

/// Delivers one event or timer, or reports the end of a wake-up, if any is due by `until`. False where none is: the
/// world's time is `until` then.
pub fn step(world: &Rc<RefCell<World>>, apps: Apps, until: Time) -> bool {
    let mut w = world.borrow_mut();
    let next_event = w.events.first_key_value().map(|entry| entry.0 .0);
    // A wake-up ends when all events of its time have been delivered.
    let awake = w
        .nodes
        .iter()
        .take(apps.len())
        .position(|node| node.awake && node.is_running());
    if let Some(node) = awake.filter(|_| next_event.is_none_or(|at| at > w.now)) {
        w.nodes[node].awake = false;
        enter_step(w.now, node);
        drop(w);
        apps[node].wakeup_ended();
        return true;
    }
    let running = w.nodes.iter().enumerate().filter(|n| n.1.is_running());
    let next_timer = running
        .filter_map(|(index, node)| Some((node.next_expiry()?, index)))
        .min();
    // Sockets go before timers of the same time, as on the operating system's network.
    if next_event.is_some_and(|at| at <= until && next_timer.is_none_or(|timer| at <= timer.0)) {
        if let Some(((at, _), event)) = w.events.pop_first() {
            w.now = w.now.max(at);
            w.steps += 1;
            drop(w);
            deliver(world, apps, event);
            return true;
        }
    }
    if let Some((at, node)) = next_timer.filter(|timer| timer.0 <= until) {
        let token = w.expire_timer(at, node);
        enter_step(w.now, node);
        drop(w);
        if let Some(token) = token {
            apps[node].timer_fired(token);
        }
        return true;
    }
    w.now = w.now.max(until);
    false
}

/// Delivers all that happens by `until`.
pub fn run(world: &Rc<RefCell<World>>, apps: Apps, until: Time) {
    // Apps that were called from outside since the last run get the end of that wake-up.
    for node in &mut world.borrow_mut().nodes {
        node.awake = true;
    }
    while step(world, apps, until) {}
}

impl World {
    /// Advances to `at` and takes an expired timer of the node: None where the wheel's bound was not exact yet.
    fn expire_timer(&mut self, at: Time, node: usize) -> Option<u64> {
        self.now = self.now.max(at);
        self.steps += 1;
        let now = self.now;
        let state = &mut self.nodes[node];
        let token = state.timers.pop(state.local_time(now));
        state.awake = true;
        self.digest.write_u64(at);
        self.digest
            .write_u64(token.unwrap_or(0) ^ (node as u64) << 48);
        token
    }
}
