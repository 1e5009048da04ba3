//! The discovery client: connects to the discovery server, polls or watches it, and takes over the endpoint lists that it
//! sends. The scheduler is told as of when the server's answers prove the list, and when the next one is due.
use crate::connection_owners::Owner;
use crate::endpoints::EndpointRecord;
use crate::error::ProtocolError;
use crate::protocol::{DiscoverySource, LocalIdentity, ReceivedUpdates};
use crate::timers::TimerToken;
use crate::Gateway;
use tidewall::interface::Endpoint;
use tidewall_net::{CloseReason, Conn, Net, Time, TimerId};
use tracing::{debug, info, warn};

/// Is given the endpoint list after each change; returns false where it cannot take it now, and is given it again later.
pub type EndpointWatcher = Box<dyn FnMut(&[EndpointRecord]) -> bool + Send>;

/// Where the endpoint list comes from, and the connection to it.
pub(crate) struct DiscoveryClient {
    pub(crate) source: Box<dyn DiscoverySource>,
    /// The connection, open or being opened; none while a retry is awaited.
    pub(crate) conn: Option<Conn>,
    connect_timeout: Time,
    /// How often it was connected.
    pub(crate) attempts: u64,
    /// The server owes an answer until this timer fires.
    response_timer: Option<TimerId>,
    /// When the last poll was written.
    polled_at: Time,
    /// Since when the list has been overdue, as far as it was logged.
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

    /// The connection is open: the list is asked for.
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
        self.poll_written();
    }

    /// A poll leaves: its answer is awaited from now on.
    fn poll_written(&mut self) {
        self.discovery.polled_at = self.context.net().now();
        self.arm_discovery_timeout();
    }

    /// The list is what the server had so long after it was asked, which is all that its answer proves. While answers come in
    /// time the next one is due; one that came late was held up, and the next one may be.
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
        self.note_list_age();
    }

    /// Before the first answer nothing proves the list that the gateway is started with, where its age is to be known.
    pub(crate) fn expect_list_confirmation(&mut self) {
        if self.discovery.source.answer_due().is_some() {
            self.context.scheduler.endpoint_list_confirmed(0, 0);
        }
    }

    /// Logs when the list becomes overdue, and when it is confirmed again.
    pub(crate) fn note_list_age(&mut self) {
        let now = self.context.net().now();
        self.context.scheduler.advance_clock(now);
        let is_overdue = self.context.scheduler.is_endpoint_list_overdue();
        match (is_overdue, self.discovery.overdue_since) {
            (true, None) => {
                self.discovery.overdue_since = Some(now);
                warn!(address = %self.discovery.source.address(), "endpoint list overdue: workers are asked themselves");
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

    /// The last list holds; the scheduler is told that updates may be missing, and the server is tried again later.
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

    /// The retry delay is over. A reload may have connected meanwhile.
    pub(crate) fn retry_discovery(&mut self) {
        if self.discovery.conn.is_none() {
            self.connect_discovery();
        }
    }

    /// The server has not answered in time: that counts as the end of the connection.
    pub(crate) fn discovery_timed_out(&mut self) {
        self.discovery.response_timer = None;
        if let Some(conn) = self.discovery.conn {
            self.context.net().reset(conn);
            self.set_owner(conn, Owner::Nobody);
            self.discovery_connection_closed(CloseReason::TimedOut);
        }
    }

    /// The server owes an answer from now on, where its protocol has a timeout.
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

    /// SIGHUP: the settings are read again. Connects anew where the server's address has changed.
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

    /// Reads one message of the server and gives its length; none while it is incomplete. The next poll leaves with it.
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
                self.poll_written();
            }
        }
        Ok(read)
    }

    /// Takes over an endpoint list, or changes of one where it is not `complete`.
    pub fn update_endpoints(&mut self, records: &[EndpointRecord], complete: bool) {
        let pool = &mut self.context.scheduler.host;
        let (now, started) = (pool.net.now(), pool.net.current_time());
        let endpoints: Vec<(usize, Endpoint)> = records
            .iter()
            .map(|record| pool.register_endpoint(record))
            .collect();
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
        // What is decided from now on knows the list: nothing of it is to be withdrawn for what the list said.
        self.deliver_deferred_outcomes();
        let took = self.context.net().current_time() - started;
        let records = records.len();
        debug!(records, complete, took, "endpoint list applied");
    }

    /// Sets the watcher, which is given the endpoint list now and after each change.
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
