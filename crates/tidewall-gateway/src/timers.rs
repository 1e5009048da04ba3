//! Timer tokens: the meaning of each of the gateway's timers, packed into the net's 64-bit token only in
//! this file, and the dispatch of fired timers.
use crate::Gateway;
use tidewall_net::{Net, Time};
use tracing::{error, info};

/// The meaning of a timer. The packed token holds the kind in the upper 8 bits and its argument in the
/// lower 56.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerToken {
    /// A timer of the scheduler, with the scheduler's own token.
    Scheduler(u64),
    /// A call has expired, or was not sent in time; the argument is the call's key.
    Call(usize),
    /// The delay before reconnecting to the discovery server is over.
    DiscoveryRetry,
    /// The periodic check of connections to workers.
    ConnectionCheck,
    /// The changed endpoint list is written to the cache.
    CacheWrite,
    /// The periodic log line with the counters.
    CounterLog,
    /// A worker has not greeted in time; the argument is the connection's key.
    Greeting(usize),
    /// A timer of an ingress; the argument is the ingress's index.
    Ingress(usize),
    /// The periodic tick of a failover pair.
    FailoverTick,
    /// The VRRP router's timer.
    Vrrp,
    /// The discovery server has not answered in time.
    DiscoveryTimeout,
    /// The grace period before draining is over.
    DrainStart,
    /// Requests on connections that were accepted before draining started have been read by now.
    DrainSettled,
    /// Attempts that were postponed until the sockets were read are retried.
    PostponedSends,
    /// The record of a response was not acknowledged in time; its client may not wait longer.
    RecordTimeout,
}

const KIND_SHIFT: u32 = 56;
const ARGUMENT: u64 = (1 << KIND_SHIFT) - 1;

impl TimerToken {
    /// Packs the token into the net's 64-bit form.
    pub(crate) const fn pack(self) -> u64 {
        let (kind, argument) = match self {
            TimerToken::Scheduler(token) => (1, token),
            TimerToken::Call(key) => (2, key as u64),
            TimerToken::DiscoveryRetry => (3, 0),
            TimerToken::ConnectionCheck => (4, 0),
            TimerToken::CacheWrite => (5, 0),
            TimerToken::CounterLog => (6, 0),
            TimerToken::Greeting(connection) => (7, connection as u64),
            TimerToken::Ingress(index) => (8, index as u64),
            TimerToken::FailoverTick => (9, 0),
            TimerToken::Vrrp => (10, 0),
            TimerToken::DiscoveryTimeout => (11, 0),
            TimerToken::DrainStart => (12, 0),
            TimerToken::DrainSettled => (13, 0),
            TimerToken::PostponedSends => (14, 0),
            TimerToken::RecordTimeout => (15, 0),
        };
        kind << KIND_SHIFT | argument
    }

    /// Unpacks a token; none if its kind is unknown.
    pub(crate) fn unpack(packed: u64) -> Option<TimerToken> {
        let argument = packed & ARGUMENT;
        Some(match packed >> KIND_SHIFT {
            1 => TimerToken::Scheduler(argument),
            2 => TimerToken::Call(argument as usize),
            3 => TimerToken::DiscoveryRetry,
            4 => TimerToken::ConnectionCheck,
            5 => TimerToken::CacheWrite,
            6 => TimerToken::CounterLog,
            7 => TimerToken::Greeting(argument as usize),
            8 => TimerToken::Ingress(argument as usize),
            9 => TimerToken::FailoverTick,
            10 => TimerToken::Vrrp,
            11 => TimerToken::DiscoveryTimeout,
            12 => TimerToken::DrainStart,
            13 => TimerToken::DrainSettled,
            14 => TimerToken::PostponedSends,
            15 => TimerToken::RecordTimeout,
            _ => return None,
        })
    }
}

/// Interval of the check for idle or silent connections to workers: 0.1 s is fine enough for timeouts of
/// seconds and costs little.
const CONNECTION_CHECK_INTERVAL: Time = 1_000;

/// Interval of the counter log line: one minute.
const COUNTER_LOG_INTERVAL: Time = 600_000;

/// Starts the periodic timers.
pub(crate) fn set_regular_timers<N: Net>(net: &mut N, now: Time) {
    net.set_timer(
        now + CONNECTION_CHECK_INTERVAL,
        TimerToken::ConnectionCheck.pack(),
    );
    net.set_timer(now + COUNTER_LOG_INTERVAL, TimerToken::CounterLog.pack());
}

impl<N: Net> Gateway<N> {
    /// Handles the fired timer with this token.
    pub(crate) fn dispatch_timer(&mut self, packed: u64) {
        let Some(token) = TimerToken::unpack(packed) else {
            return error!(token = packed, "timer fired with an unknown token");
        };
        let now = self.context.net().now();
        match token {
            TimerToken::Scheduler(token) => {
                self.context.scheduler.advance_clock(now);
                self.context.scheduler.timer_fired(token);
            }
            TimerToken::Call(key) => self.call_timer_fired(key),
            TimerToken::DiscoveryRetry => self.retry_discovery(),
            TimerToken::DiscoveryTimeout => self.discovery_timed_out(),
            TimerToken::DrainStart => self.drain(),
            // Nothing to do: whether the gateway may end is checked after each event.
            TimerToken::DrainSettled => {}
            TimerToken::PostponedSends => self.context.scheduler.host.resume_postponed(),
            TimerToken::RecordTimeout => self.give_up_records(),
            TimerToken::Greeting(connection) => self.greeting_timed_out(connection),
            TimerToken::ConnectionCheck => {
                let next = now + CONNECTION_CHECK_INTERVAL;
                self.context.net().set_timer(next, packed);
                self.update_list_overdue();
                if self.watcher_outdated {
                    self.notify_endpoint_watcher();
                }
                self.close_unused_connections(now, CONNECTION_CHECK_INTERVAL);
            }
            TimerToken::Ingress(index) => {
                if let Some(ingress) = self.ingresses.get_mut(index) {
                    ingress.timer_fired(&mut self.context);
                }
            }
            TimerToken::CacheWrite => self.write_endpoint_cache(),
            TimerToken::FailoverTick => self.failover_tick(),
            TimerToken::Vrrp => self.vrrp_timer_fired(),
            TimerToken::CounterLog => {
                self.forget_removed_workers();
                let next = now + COUNTER_LOG_INTERVAL;
                self.context.net().set_timer(next, packed);
                let event_loop = self.context.net().loop_statistics();
                info!(counters = ?self.counters(), wakeups = ?self.wakeup_profile(), ?event_loop, effects = ?self.effects(), in_flight = self.requests_in_flight(), tables = ?self.table_sizes(), "counters");
            }
        }
    }
}
