//! Selection of what happens next: an event, a timer or the end of a wake-up.
use super::delivery::deliver;
use super::handle::Memory;
use super::world::World;
use crate::{App, Time};
use std::cell::{Cell, RefCell};
use std::hash::Hasher;
use std::rc::Rc;

/// The apps of all nodes, in the order in which the nodes joined. Apps of the nodes that joined last may be
/// left out, as long as no event or timer is delivered to them.
pub type Apps<'a, 'b> = &'a mut [&'b mut dyn App<Net = Memory>];

/// What this thread is simulating. Logs show it in place of the system's time.
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

/// The last step of the run that this thread is simulating, or `None` before its first step.
pub fn current_step() -> Option<CurrentStep> {
    CURRENT_STEP.get()
}

/// Records that the app of a node is about to be called.
pub(super) fn enter_step(at: Time, node: usize) {
    CURRENT_STEP.set(Some(CurrentStep { at, node }));
}

/// Delivers one event or timer, or reports the end of a wake-up, if any is due by `until`. Otherwise advances
/// the world's time to `until` and returns false.
pub fn step(shared_world: &Rc<RefCell<World>>, apps: Apps, until: Time) -> bool {
    let mut world = shared_world.borrow_mut();
    let next_event = world.events.first_key_value().map(|entry| entry.0 .0);
    // A wake-up ends once all events of its time have been delivered.
    let awake = world
        .nodes
        .iter()
        .take(apps.len())
        .position(|node| node.awake && node.is_running());
    if let Some(node) = awake.filter(|_| next_event.is_none_or(|at| at > world.now)) {
        world.nodes[node].awake = false;
        enter_step(world.now, node);
        drop(world);
        apps[node].wakeup_ended();
        return true;
    }
    let running = world.nodes.iter().enumerate().filter(|n| n.1.is_running());
    let next_timer = running
        .filter_map(|(index, node)| Some((node.next_expiry()?, index)))
        .min();
    // Events go before timers of the same time, as sockets do in the event loop on operating-system sockets.
    if next_event.is_some_and(|at| at <= until && next_timer.is_none_or(|timer| at <= timer.0)) {
        if let Some(((at, _), event)) = world.events.pop_first() {
            world.now = world.now.max(at);
            world.steps += 1;
            drop(world);
            deliver(shared_world, apps, event);
            return true;
        }
    }
    if let Some((at, node)) = next_timer.filter(|timer| timer.0 <= until) {
        let token = world.expire_timer(at, node);
        enter_step(world.now, node);
        drop(world);
        if let Some(token) = token {
            apps[node].timer_fired(token);
        }
        return true;
    }
    world.now = world.now.max(until);
    false
}

/// Delivers all events and timers that are due by `until`.
pub fn run(shared_world: &Rc<RefCell<World>>, apps: Apps, until: Time) {
    // Apps may have been called directly since the last run: `App::wakeup_ended` must follow those calls too.
    for node in &mut shared_world.borrow_mut().nodes {
        node.awake = true;
    }
    while step(shared_world, apps, until) {}
}

impl World {
    /// Advances the time to `at` and removes an expired timer of the node. Returns its token, or `None` where
    /// `at` was only a lower bound of the next expiry.
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
