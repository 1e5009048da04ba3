//! The executor task executes the effects of the tasks whose leases this member holds. It runs on its own
//! thread and exclusively owns the connections to workers for effects and the effect scheduler. It
//! communicates with the lease task through one mailbox in each direction and never waits: if the lease
//! task's mailbox is full, the notice that execution stopped is dropped, and the lease requests it again.
//!
//! An effect is sent under a permit that its worker issued shortly before. Whether the lease still permits
//! the effect is checked immediately before it is written.
mod workers;

use crate::config::CoordinationConfig;
use crate::effect_scheduler::{EffectActions, EffectScheduler};
use crate::mailbox::{ExecutorCommand, ExecutorEvent, MailboxReceiver, MailboxSender};
use crate::{Time, TICK_TIMER};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tidewall_lease::assignment::checksum;
use tidewall_net::{App, CloseReason, Conn, Listener, Net};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame, WireError};
use tracing::debug;
use workers::{InFlightEffect, Worker};

/// The number of effect timeouts after which a connection whose hello or permit is outstanding is reset: the
/// worker has vanished.
const SILENT_TIMEOUTS: Time = 4;

/// Separates the random numbers of this task from those of the lease task, which uses the same seed.
const RNG_STREAM: u64 = 0xac75;

/// Receives the output of the scheduler.
struct SchedulerOutput {
    /// The tasks that have an effect due.
    due_tasks: Vec<usize>,
    events: MailboxSender<ExecutorEvent>,
}

impl EffectActions for SchedulerOutput {
    fn run_effect(&mut self, task: usize) {
        self.due_tasks.push(task);
    }
    fn execution_stopped(&mut self, task: usize, epoch: u64) {
        // If the mailbox is full, the lease task requests the notice again.
        self.events
            .send(ExecutorEvent::ExecutionStopped { task, epoch });
    }
}

/// The fields of an effect as the worker checks them.
struct EffectRequest {
    id: u64,
    task: usize,
    epoch: u64,
    member: usize,
    incarnation: u64,
    permit: u64,
}

impl EffectRequest {
    /// Replaces the contents of `frame` with the encoded effect.
    fn encode(&self, frame: &mut Vec<u8>) {
        frame.clear();
        let (task, member) = (self.task as u64, self.member as u64);
        let checksum = checksum(&[
            self.id,
            task,
            self.epoch,
            member,
            self.incarnation,
            self.permit,
        ]);
        Frame::new(frame, kind::ACT)
            .whole(Field::Id, self.id)
            .whole(Field::Task, task)
            .whole(Field::Epoch, self.epoch)
            .whole(Field::Member, member)
            .whole(Field::Life, self.incarnation)
            .whole(Field::Ticket, self.permit)
            .whole(Field::Check, checksum)
            .end();
    }
}

/// The state of the executor task; see the module documentation. It is an `App` of the event loop and runs on
/// any `Net`.
pub struct ExecutorTask<N: Net> {
    net: N,
    member: usize,
    incarnation: u64,
    member_name: String,
    scheduler: EffectScheduler,
    output: SchedulerOutput,
    commands: MailboxReceiver<ExecutorCommand>,
    workers: Vec<Worker>,
    /// The index of each worker by its connection.
    by_connection: BTreeMap<Conn, usize>,
    last_effect_id: u64,
    tick_interval: Time,
    effect_interval: Time,
    effect_timeout: Time,
    rng: ChaCha8Rng,
    /// The buffer for the frame being written, kept to reuse its allocation.
    frame: Vec<u8>,
    shutdown: Arc<AtomicBool>,
}

impl<N: Net> ExecutorTask<N> {
    /// Sets the first timer. Setting `shutdown` ends the task; it is to be set once the lease task has ended.
    pub fn new(
        mut net: N,
        config: &CoordinationConfig,
        commands: MailboxReceiver<ExecutorCommand>,
        events: MailboxSender<ExecutorEvent>,
        shutdown: Arc<AtomicBool>,
    ) -> ExecutorTask<N> {
        let now = net.now();
        net.set_timer(now + config.tick_interval(), TICK_TIMER);
        ExecutorTask {
            net,
            member: config.member,
            incarnation: config.incarnation,
            member_name: config.member_name.clone(),
            scheduler: EffectScheduler::new(
                config.tasks,
                config.effect_interval,
                config.effect_timeout,
            ),
            output: SchedulerOutput {
                due_tasks: Vec::new(),
                events,
            },
            commands,
            workers: Vec::new(),
            by_connection: BTreeMap::new(),
            last_effect_id: 0,
            tick_interval: config.tick_interval(),
            effect_interval: config.effect_interval,
            effect_timeout: config.effect_timeout,
            rng: ChaCha8Rng::seed_from_u64(config.seed ^ RNG_STREAM),
            frame: Vec::new(),
            shutdown,
        }
    }

    /// Whether this member may send effects of that task at `now`.
    pub fn is_held(&self, now: Time, task: usize) -> bool {
        self.scheduler.permitted_epoch(now, task).is_some()
    }

    fn tick(&mut self) {
        let now = self.net.now();
        while let Some(command) = self.commands.try_receive() {
            self.handle_command(now, command);
        }
        self.scheduler.tick(now, &mut self.output);
        while let Some(task) = self.output.due_tasks.pop() {
            self.queue_effect(task);
        }
        self.reset_silent_connections(now);
        if self.shutdown.load(Ordering::Relaxed) {
            return self.net.stop();
        }
        self.net.set_timer(now + self.tick_interval, TICK_TIMER);
    }

    fn handle_command(&mut self, now: Time, command: ExecutorCommand) {
        match command {
            ExecutorCommand::LeaseAcquired { task, epoch, until } => {
                // A random delay spreads the effects of many tasks over the interval.
                let first_delay = self.rng.random_range(0..self.effect_interval.max(1));
                self.scheduler
                    .lease_acquired(now, task, epoch, until, first_delay);
            }
            ExecutorCommand::LeaseLost { task, epoch } => {
                self.scheduler
                    .lease_lost(now, &mut self.output, task, epoch);
            }
            ExecutorCommand::EndpointsChanged(endpoints) => self.update_endpoints(endpoints),
        }
    }

    /// A worker that vanished does not answer, even after it has restarted: only a new connection reveals
    /// that it is back.
    fn reset_silent_connections(&mut self, now: Time) {
        let silence = SILENT_TIMEOUTS * self.effect_timeout;
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            if !worker.awaits_reply() || now <= worker.waiting_since + silence {
                continue;
            }
            if let Some(conn) = worker.conn.take() {
                worker.disconnected();
                self.by_connection.remove(&conn);
                self.net.reset(conn);
            }
        }
    }

    /// Queues a due effect of the task until its worker issues a permit.
    fn queue_effect(&mut self, task: usize) {
        let Some(index) = self.worker_for(task) else {
            return;
        };
        let worker = &mut self.workers[index];
        worker.queue(task);
        if worker.conn.is_none() {
            let conn = self.net.connect(worker.address, self.effect_timeout);
            worker.conn = Some(conn);
            worker.waiting_since = self.net.now();
            self.by_connection.insert(conn, index);
        }
        self.request_permit(index);
    }

    fn request_permit(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        if let Some(conn) = worker.conn.filter(|_| worker.needs_permit()) {
            self.frame.clear();
            Frame::new(&mut self.frame, kind::TICKET).end();
            worker.permit_requested = self.net.write(conn, &self.frame);
            worker.waiting_since = self.net.now();
        }
    }

    /// Sends all effects that wait for this permit and that their leases still permit.
    fn permit_received(&mut self, index: usize, permit: u64) {
        let worker = &mut self.workers[index];
        worker.permit_requested = false;
        let Some(conn) = worker.conn else { return };
        while let Some(task) = worker.queued.pop_front() {
            let now = self.net.now();
            let Some(epoch) = self.scheduler.permitted_epoch(now, task) else {
                continue;
            };
            self.last_effect_id += 1;
            let request = EffectRequest {
                id: self.last_effect_id,
                task,
                epoch,
                member: self.member,
                incarnation: self.incarnation,
                permit,
            };
            request.encode(&mut self.frame);
            if self.net.write(conn, &self.frame) {
                let generation = self.scheduler.effect_sent(now, task);
                let effect = InFlightEffect { task, generation };
                worker.in_flight.insert(request.id, effect);
            }
        }
    }

    fn handle_frame(&mut self, index: usize, fields: &Fields) -> Result<(), WireError> {
        match fields.kind()? {
            kind::HELLO => {
                wire::greeted(fields)?;
                self.workers[index].ready = true;
                self.request_permit(index);
            }
            kind::TICKET => self.permit_received(index, fields.whole(Field::Ticket)?),
            kind::ACTED => self.effect_answered(index, fields)?,
            _ => {}
        }
        Ok(())
    }

    fn effect_answered(&mut self, index: usize, fields: &Fields) -> Result<(), WireError> {
        let id = fields.whole(Field::Id)?;
        let Some(InFlightEffect { task, generation }) = self.workers[index].in_flight.remove(&id)
        else {
            return Ok(());
        };
        let now = self.net.now();
        self.scheduler
            .effect_acknowledged(now, &mut self.output, task, generation);
        if fields.text(Field::Outcome)? != "done" {
            let epoch = fields.upto(Field::Epoch, u64::MAX, 0)?;
            debug!(member = %self.member_name, task, epoch, "effect rejected by worker");
            self.output
                .events
                .send(ExecutorEvent::HigherEpochSeen { task, epoch });
        }
        Ok(())
    }

    /// Handles the complete frames in `bytes` and returns the number of bytes consumed.
    fn handle_frames(&mut self, index: usize, bytes: &[u8]) -> Result<usize, WireError> {
        let mut used = 0;
        while let Some((body, length)) = wire::frame(&bytes[used..])? {
            used += length;
            self.handle_frame(index, &Fields::read(body)?)?;
        }
        Ok(used)
    }
}

impl<N: Net> App for ExecutorTask<N> {
    type Net = N;

    fn net(&mut self) -> &mut N {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}

    fn connected(&mut self, conn: Conn) {
        self.frame.clear();
        let member = self.member as u64;
        wire::hello(&mut self.frame, "tasks", &self.member_name, member);
        self.net.write(conn, &self.frame);
    }

    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let Some(index) = self.by_connection.get(&conn).copied() else {
            return bytes.len();
        };
        self.handle_frames(index, bytes).unwrap_or_else(|error| {
            let why = error.to_string();
            debug!(member = %self.member_name, why, "malformed frame from worker");
            self.net.abort(conn);
            bytes.len()
        })
    }

    fn writable(&mut self, _: Conn) {}

    fn closed(&mut self, conn: Conn, _: CloseReason) {
        if let Some(index) = self.by_connection.remove(&conn) {
            let worker = &mut self.workers[index];
            worker.disconnected();
            worker.conn = None;
        }
    }

    fn timer_fired(&mut self, _: u64) {
        self.tick();
    }
}
