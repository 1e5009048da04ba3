//! The lease task runs the membership protocol (SWIM) and claims, renews, grants and hands over leases. It
//! runs on its own thread and exclusively owns the UDP socket, the membership, this member's leases and the
//! grants of its grantor. It communicates with the executor task through one mailbox in each direction and
//! never waits. If the executor's mailbox is full, an acquired lease is announced at a later tick (until then
//! nothing is executed under it), and a lost lease is announced repeatedly until the executor confirms it or
//! the lease has expired.
mod actions;
mod handover;
mod outgoing;
mod receive;
mod send_budget;

use crate::config::CoordinationConfig;
use crate::counters::CoordinationCounters;
use crate::mailbox::{ExecutorCommand, ExecutorEvent, MailboxReceiver, MailboxSender};
use crate::replay_window::ReplayWindow;
use crate::{Time, TICK_TIMER};
use actions::{LocalRequest, TaskActions};
use outgoing::OutgoingDatagrams;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use send_budget::SendBudget;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tidewall_lease::assignment::Assignment;
use tidewall_lease::grantor::{Grant, GrantorReply, LeaseGrantor, LeaseOwner};
use tidewall_lease::holder::LeaseHolder;
use tidewall_lease::lease::{AcceptReply, PrepareReply};
use tidewall_membership::Membership;
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net};
use tidewall_vrrp::packet::Keys;
use tracing::info;

/// The interval at which keys are reloaded and counters logged. Ten seconds are short enough for a key change
/// by an operator.
const REPORT_INTERVAL: Time = 100_000;

/// The number of lease durations after which a member that is shutting down and cannot hand over its leases
/// ends anyway: by then all its leases have expired.
const SHUTDOWN_LEASE_DURATIONS: Time = 2;

/// Separates the random numbers of this task from those of the executor task, which uses the same seed.
const RNG_STREAM: u64 = 0x1ea5e;

/// The reason why the lease task cannot start.
#[derive(Debug, thiserror::Error)]
pub enum LeaseTaskError {
    /// The address cannot be bound.
    #[error("{address}: common_address: {source}")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

impl From<LeaseTaskError> for String {
    fn from(error: LeaseTaskError) -> String {
        error.to_string()
    }
}

/// The state of the lease task; see the module documentation. It is an `App` of the event loop and runs on
/// any `Net`.
pub struct LeaseTask<N: Net> {
    net: N,
    socket: DatagramSocket,
    config: CoordinationConfig,
    membership: Membership,
    /// The grantor, if this member is one.
    grantor: Option<LeaseGrantor>,
    /// Indexed by member: its index among the grantors, if it is one.
    grantor_indices: Vec<Option<usize>>,
    holder: LeaseHolder,
    assignment: Assignment,
    /// Indexed by member: when a member that has joined is assigned tasks. The delay prevents a flapping
    /// member, or many members that start at once, from moving tasks back and forth.
    assigned_from: Vec<Option<Time>>,
    actions: TaskActions,
    /// The replay window of each sender, indexed by member.
    replay_windows: Vec<ReplayWindow>,
    executor_events: MailboxReceiver<ExecutorEvent>,
    budget: SendBudget,
    keys: Keys,
    /// The total stall of the process that was already reported to the membership.
    known_stall: Time,
    last_report: Time,
    /// When a rejected datagram was last logged; 0 if never.
    last_rejection_log: Time,
    /// The metrics of this task.
    pub counters: CoordinationCounters,
    shutdown: Arc<AtomicBool>,
    shutdown_began: Option<Time>,
    finished: bool,
}

impl<N: Net> LeaseTask<N> {
    /// Binds the socket and sets the first timer. `executor` holds the ends of the mailboxes to and from the
    /// executor task. Setting `shutdown` makes this member leave the membership, hand over its leases and
    /// end.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn new(
        mut net: N,
        config: CoordinationConfig,
        executor: (
            MailboxSender<ExecutorCommand>,
            MailboxReceiver<ExecutorEvent>,
        ),
        shutdown: Arc<AtomicBool>,
    ) -> Result<LeaseTask<N>, LeaseTaskError> {
        let address = config.listen;
        let (socket, _) = net
            .bind_datagram(address)
            .map_err(|source| LeaseTaskError::Bind { address, source })?;
        let now = net.now();
        let members = config.member_names.len();
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ RNG_STREAM);
        let membership = new_membership(now, &config, &mut rng);
        let outgoing = OutgoingDatagrams::new(config.member, members, membership.own_update());
        let (commands, executor_events) = executor;
        let grantors = &config.grantors;
        let mut assigned_from = vec![None; members];
        assigned_from[config.member] = Some(now + config.lease_duration);
        net.set_timer(now + config.tick_interval(), TICK_TIMER);
        Ok(LeaseTask {
            socket,
            membership,
            grantor: new_grantor(now, &config),
            grantor_indices: (0..members)
                .map(|member| grantors.iter().position(|grantor| *grantor == member))
                .collect(),
            holder: LeaseHolder::new(config.lease_config(), config.tasks),
            assignment: Assignment::new(&config.member_names, config.tasks),
            assigned_from,
            actions: TaskActions::new(outgoing, grantors.clone(), commands, rng),
            replay_windows: vec![ReplayWindow::default(); members],
            executor_events,
            budget: SendBudget::new(now, config.datagrams_per_second, config.bytes_per_second),
            keys: (config.load_keys)(),
            known_stall: net.total_stall(),
            last_report: now,
            last_rejection_log: 0,
            counters: CoordinationCounters::new(),
            shutdown,
            shutdown_began: None,
            finished: false,
            net,
            config,
        })
    }

    /// The members, and which of them are alive as far as this member knows.
    pub fn members(&self) -> &Membership {
        &self.membership
    }

    /// The leases of this member.
    pub fn holder(&self) -> &LeaseHolder {
        &self.holder
    }

    /// The member that should hold the lease of that task, as far as this member knows.
    pub fn preferred_holder(&self, task: usize) -> Option<usize> {
        self.assignment.owner(task)
    }

    /// Whether this member was shut down and has handed over its leases, or has waited until they expired.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// The number of commands dropped because the executor's mailbox was full.
    pub fn dropped_commands(&self) -> u64 {
        self.actions.commands.dropped
    }

    /// Reports new stalls of this process to the membership, so that members that seemed silent during a
    /// stall are not suspected.
    fn process_stall(&mut self) {
        let stall = self.net.total_stall();
        self.membership
            .process_stalled(stall - std::mem::replace(&mut self.known_stall, stall));
    }

    fn tick(&mut self) {
        let now = self.net.now();
        self.process_stall();
        while let Some(event) = self.executor_events.try_receive() {
            self.handle_executor_event(now, event);
        }
        self.announce_pending_leases(now);
        if self.shutdown_began.is_none() && self.shutdown.load(Ordering::Relaxed) {
            self.begin_shutdown(now);
        }
        self.membership.tick(now, &mut self.actions);
        self.apply_membership_changes(now);
        self.budget.refill(now);
        let grantors = self.config.grantors.len() as u64;
        let max_tasks = self.budget.affordable_tasks(grantors);
        self.holder.run_due(now, &mut self.actions, max_tasks);
        self.flush(now);
        if now >= self.last_report + REPORT_INTERVAL {
            self.last_report = now;
            self.report(now);
        }
        // Stops one tick later, so that the last datagrams have been sent.
        if self.may_finish(now) && std::mem::replace(&mut self.finished, true) {
            return self.net.stop();
        }
        self.net
            .set_timer(now + self.config.tick_interval(), TICK_TIMER);
    }

    fn may_finish(&self, now: Time) -> bool {
        self.shutdown_began.is_some_and(|began| {
            self.holder.running_count() == 0
                || now > began + SHUTDOWN_LEASE_DURATIONS * self.config.lease_duration
        })
    }

    fn report(&mut self, now: Time) {
        self.keys = (self.config.load_keys)();
        let counters = &mut self.counters;
        counters.leases_held.set(self.holder.held_count(now) as i64);
        counters
            .members_alive
            .set(self.membership.alive_count() as i64);
        let dropped = self.actions.commands.dropped;
        counters
            .dropped_commands
            .inc_by(dropped - counters.dropped_commands.get());
        if let Some(line) = counters.changed_line() {
            info!(member = %self.config.member_name, "{line}");
        }
    }

    /// Completes the handling of an event: answers requests to this member's own grantor, then sends all
    /// datagrams.
    fn flush(&mut self, now: Time) {
        while let Some(request) = self.actions.local_requests.pop_front() {
            self.handle_local_request(now, request);
        }
        self.send_datagrams();
    }

    fn handle_local_request(&mut self, now: Time, request: LocalRequest) {
        let (member, incarnation) = (self.config.member, self.config.incarnation);
        let Some(grantor) = &mut self.grantor else {
            return;
        };
        match request {
            LocalRequest::Prepare { task, ballot } => {
                let owner = LeaseOwner {
                    member,
                    incarnation,
                };
                if let Some(reply) = grantor.prepare(now, task, ballot, owner) {
                    self.handle_prepare_reply(now, member, task, ballot, reply);
                }
            }
            LocalRequest::Accept { task, epoch, tag } => {
                let grant = Grant {
                    epoch,
                    member,
                    incarnation,
                };
                if let Some(reply) = grantor.accept(now, task, grant) {
                    self.handle_accept_reply(now, member, task, epoch, tag, reply);
                }
            }
            LocalRequest::Release { task, epoch } => grantor.release(now, task, epoch),
        }
    }

    /// Handles the reply of a grantor. Replies of other members are ignored.
    fn handle_prepare_reply(
        &mut self,
        now: Time,
        grantor: usize,
        task: usize,
        ballot: u64,
        reply: GrantorReply,
    ) {
        if let Some(index) = self.grantor_indices[grantor] {
            let reply = PrepareReply {
                grantor: index,
                ballot,
                reply,
            };
            self.holder
                .prepare_replied(now, &mut self.actions, task, reply);
        }
    }

    /// Handles the reply of a grantor. Replies of other members are ignored.
    fn handle_accept_reply(
        &mut self,
        now: Time,
        grantor: usize,
        task: usize,
        epoch: u64,
        tag: u32,
        reply: GrantorReply,
    ) {
        if let Some(index) = self.grantor_indices[grantor] {
            let reply = AcceptReply {
                grantor: index,
                epoch,
                tag,
                reply,
            };
            self.holder
                .accept_replied(now, &mut self.actions, task, reply);
        }
    }
}

/// The first probe is sent at a random time within the period, so that members that start together do not
/// probe together.
fn new_membership(now: Time, config: &CoordinationConfig, rng: &mut ChaCha8Rng) -> Membership {
    let first_probe = rng.random_range(0..config.protocol_period.max(1));
    Membership::new(
        now,
        config.member,
        config.incarnation,
        config.member_names.len(),
        config.protocol_period,
        first_probe,
    )
}

fn new_grantor(now: Time, config: &CoordinationConfig) -> Option<LeaseGrantor> {
    config.grantors.contains(&config.member).then(|| {
        LeaseGrantor::new(
            now,
            config.tasks,
            config.lease_duration,
            config.safety_checks,
        )
    })
}

impl<N: Net> App for LeaseTask<N> {
    type Net = N;

    fn net(&mut self) -> &mut N {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, _: Conn, bytes: &[u8]) -> usize {
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, _: CloseReason) {}

    fn datagram_received(&mut self, _: DatagramSocket, from: SocketAddr, bytes: &[u8]) {
        let now = self.net.now();
        // After a stall the datagrams in the socket are old: the durations in them were measured before the
        // stall.
        self.process_stall();
        if let Err(error) = self.handle_datagram(now, bytes) {
            self.reject_datagram(now, from, error);
        }
        self.apply_membership_changes(now);
        self.flush(now);
    }

    fn timer_fired(&mut self, _: u64) {
        self.tick();
    }
}
