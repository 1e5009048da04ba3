//! The discovery client: connects to the discovery server, polls or watches it, and applies the endpoint
//! lists that it sends. It tells the scheduler as of which time the server's answers confirm the list, and
//! when the next confirmation is due.
use crate::connection_owners::Owner;
use crate::endpoints::EndpointRecord;
use crate::error::ProtocolError;
use crate::protocol::{DiscoverySource, LocalIdentity, ReceivedUpdates};
use crate::timers::TimerToken;
use crate::Gateway;
use tidewall::interface::EndpointState;
use tidewall_net::{CloseReason, Conn, Net, Time, TimerId};
use tracing::{debug, info, warn};

/// Called with the endpoint list after each change. Returns false if it cannot take the list at the moment;
/// it is then called again later.
pub type EndpointWatcher = Box<dyn FnMut(&[EndpointRecord]) -> bool + Send>;

/// The source of the endpoint list, and the connection to it.
pub(crate) struct DiscoveryClient {
    pub(crate) source: Box<dyn DiscoverySource>,
    /// The connection, open or being opened; none while waiting to retry.
    pub(crate) conn: Option<Conn>,
    connect_timeout: Time,
    /// Number of connections opened so far.
    pub(crate) attempts: u64,
    /// Fires if the server does not answer within its protocol's timeout.
    response_timer: Option<TimerId>,
    /// When the last poll was sent.
    polled_at: Time,
    /// Since when the list has been overdue; none once its confirmation was logged.
    overdue_since: Option<Time>,
}

impl DiscoveryClient {
    pub(crate) fn new(source: Box<dyn DiscoverySource>, connect_timeout: Time) -> DiscoveryClient {
        DiscoveryClient {
            source,
            conn: None,
            connect_timeout,
            attempts: 0,
            response_timer: None,
            polled_at: 0,
            overdue_since: None,
        }
    }
}

impl<N: Net> Gateway<N> {
    pub(crate) fn connect_discovery(&mut self) {
        let address = self.discovery.source.address();
        let timeout = self.discovery.connect_timeout;
        self.discovery.attempts += 1;
        let conn = self.context.net().connect(address, timeout);
        self.set_owner(conn, Owner::Discovery);
        self.discovery.conn = Some(conn);
    }

    /// Handles the opened connection: subscribes to the endpoint list.
    pub(crate) fn discovery_connected(&mut self, conn: Conn) {
        let watches = self.context.scheduler.host.watches_endpoints;
        if self.discovery.source.is_native() {
            self.context.scheduler.host.discovery_connection = Some(conn);
        }
        if let Some(length) = self.discovery.source.max_message_length() {
            self.context.net().set_read_limit(conn, length);
        }
        let mut message = Vec::new();
        let identity = LocalIdentity {
            name: &self.name,
            index: self.index,
            failover_member: self.failover_member(),
        };
        self.discovery
            .source
            .write_subscription(&mut message, &identity, watches);
        self.context.net().write(conn, &message);
        self.poll_sent();
    }

    /// Records that a poll was sent, and starts the timeout for its answer.
    fn poll_sent(&mut self) {
        self.discovery.polled_at = self.context.net().now();
        self.arm_discovery_timeout();
    }

    /// Handles an answer that confirms the list. It proves only that the list is as the server had it
    /// `after_poll` after the poll was sent. If the answer came in time, the next one is due one period
    /// from now. If it came late it was held up on the way, and the next one may be held up too, so the
    /// period counts from the poll.
    fn list_confirmed(&mut self, after_poll: Time) {
        let Some(due) = self.discovery.source.answer_due() else {
            return;
        };
        let (now, polled_at) = (self.context.net().now(), self.discovery.polled_at);
        let as_of = now.min(polled_at + after_poll);
        let is_in_time = now <= polled_at + due;
        let due_at = if is_in_time { now } else { polled_at } + due;
        let scheduler = &mut self.context.scheduler;
        scheduler.advance_clock(now);
        scheduler.endpoint_list_confirmed(as_of, due_at);
        self.update_list_overdue();
    }

    /// Marks the initial list as unconfirmed until the first answer, if the source knows the age of its
    /// lists.
    pub(crate) fn mark_list_unconfirmed(&mut self) {
        if self.discovery.source.answer_due().is_some() {
            self.context.scheduler.endpoint_list_confirmed(0, 0);
        }
    }

    /// Logs when the list becomes overdue, and when it is confirmed again.
    pub(crate) fn update_list_overdue(&mut self) {
        let now = self.context.net().now();
        self.context.scheduler.advance_clock(now);
        let is_overdue = self.context.scheduler.is_endpoint_list_overdue();
        match (is_overdue, self.discovery.overdue_since) {
            (true, None) => {
                self.discovery.overdue_since = Some(now);
                warn!(address = %self.discovery.source.address(), "endpoint list overdue: workers are queried directly");
            }
            (false, Some(since)) => {
                self.discovery.overdue_since = None;
                let effects = self.effects();
                warn!(
                    overdue = now - since,
                    ?effects,
                    "endpoint list confirmed again"
                );
            }
            _ => {}
        }
    }

    /// Handles the end of the connection: the last list stays in use, the scheduler is told that updates
    /// may be missing, and the connection is retried after a delay.
    pub(crate) fn discovery_connection_closed(&mut self, reason: CloseReason) {
        warn!(?reason, address = %self.discovery.source.address(), "discovery connection closed");
        self.discovery.conn = None;
        self.cancel_discovery_timeout();
        self.context.scheduler.host.discovery_connection = None;
        let now = self.context.net().now();
        let delay = self.discovery.source.retry_delay();
        self.context
            .net()
            .set_timer(now + delay, TimerToken::DiscoveryRetry.pack());
        self.context.scheduler.advance_clock(now);
        self.context.scheduler.endpoint_update_failed();
    }

    /// Reconnects after the retry delay, unless a reload has connected already.
    pub(crate) fn retry_discovery(&mut self) {
        if self.discovery.conn.is_none() {
            self.connect_discovery();
        }
    }

    /// The server did not answer in time, which counts as the end of the connection.
    pub(crate) fn discovery_timed_out(&mut self) {
        self.discovery.response_timer = None;
        if let Some(conn) = self.discovery.conn {
            self.context.net().reset(conn);
            self.set_owner(conn, Owner::Nobody);
            self.discovery_connection_closed(CloseReason::TimedOut);
        }
    }

    /// Starts the timeout for the server's answer, if its protocol has one.
    fn arm_discovery_timeout(&mut self) {
        self.cancel_discovery_timeout();
        if let Some(timeout) = self.discovery.source.silence_timeout() {
            let at = self.context.net().now() + timeout;
            let token = TimerToken::DiscoveryTimeout.pack();
            self.discovery.response_timer = Some(self.context.net().set_timer(at, token));
        }
    }

    fn cancel_discovery_timeout(&mut self) {
        if let Some(timer) = self.discovery.response_timer.take() {
            self.context.net().cancel_timer(timer);
        }
    }

    /// Handles SIGHUP: reads the settings again, and reconnects if the server's address has changed.
    pub(crate) fn reload_discovery(&mut self) {
        if !self.discovery.source.reload() {
            return;
        }
        info!(address = %self.discovery.source.address(), "discovery address changed");
        if let Some(conn) = self.discovery.conn.take() {
            self.context.net().reset(conn);
            self.set_owner(conn, Owner::Nobody);
        }
        self.cancel_discovery_timeout();
        self.connect_discovery();
    }

    /// Reads one message from the server and returns its length; none while it is incomplete. The next poll
    /// is sent afterwards.
    pub(crate) fn read_discovery_message(
        &mut self,
        conn: Conn,
        bytes: &[u8],
    ) -> Result<Option<usize>, ProtocolError> {
        let mut received = ReceivedUpdates::default();
        let read = self.discovery.source.read_message(bytes, &mut received)?;
        for (records, complete) in &received.updates {
            self.update_endpoints(records, *complete);
        }
        if let Some(after_poll) = received.confirmed_after_poll {
            self.list_confirmed(after_poll);
        }
        if read.is_some() {
            let mut poll = Vec::new();
            if !self.discovery.source.write_next_poll(&mut poll) {
                self.context.net().close(conn);
                self.set_owner(conn, Owner::Nobody);
                self.cancel_discovery_timeout();
                self.connect_discovery();
            } else if !poll.is_empty() {
                self.context.net().write(conn, &poll);
                self.poll_sent();
            }
        }
        Ok(read)
    }

    /// Applies an endpoint list, or changes to the list if not `complete`.
    pub fn update_endpoints(&mut self, records: &[EndpointRecord], complete: bool) {
        let pool = &mut self.context.scheduler.host;
        let (now, started) = (pool.net.now(), pool.net.current_time());
        let (mut endpoints, mut added) = (Vec::with_capacity(records.len()), Vec::new());
        for record in records {
            let is_new =
                !complete && record.state == EndpointState::Active && !pool.is_listed(&record.name);
            let registered = pool.register_endpoint(record);
            if is_new {
                added.push(registered.0);
            }
            endpoints.push(registered);
        }
        if !added.is_empty() {
            endpoints.extend(pool.remove_former_owners(&added, &endpoints));
        }
        self.context.scheduler.advance_clock(now);
        self.context
            .scheduler
            .update_endpoints(&endpoints, complete);
        if complete {
            self.context.scheduler.host.retain_listed(&endpoints);
        }
        self.context.scheduler.host.redistribute_connections();
        self.schedule_cache_write();
        self.notify_endpoint_watcher();
        // Calls that were decided before this list are withdrawn here. Later decisions take the list into
        // account, so they must not be withdrawn because of it.
        self.deliver_deferred_outcomes();
        let took = self.context.net().current_time() - started;
        let records = records.len();
        debug!(records, complete, took, "endpoint list applied");
    }

    /// Sets the watcher, which is called with the endpoint list immediately and after each change.
    pub fn watch_endpoints(&mut self, watcher: EndpointWatcher) {
        self.endpoint_watcher = Some(watcher);
        self.notify_endpoint_watcher();
    }

    pub(crate) fn notify_endpoint_watcher(&mut self) {
        if let Some(watcher) = &mut self.endpoint_watcher {
            let records = self.context.scheduler.host.endpoint_records();
            self.watcher_outdated = !watcher(&records);
        }
    }
}
