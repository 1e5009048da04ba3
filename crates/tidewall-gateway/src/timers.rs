//! Timer tokens: what a timer of the gateway stands for, packed into the net's 64-bit token in this one place, and what
//! each does when it fires.
use crate::Gateway;
use tidewall_net::{Net, Time};
use tracing::{error, info};

/// What a timer stands for. The kind takes the upper 8 bits of the packed token, its argument the lower 56.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerToken {
    /// A timer of the scheduler, with the scheduler's own token.
    Scheduler(u64),
    /// A call expires, or has not left in time: the call's key.
    Call(usize),
    /// Discovery is retried.
    DiscoveryRetry,
    /// The regular check of connections to workers.
    ConnectionCheck,
    /// The endpoint cache is written.
    CacheWrite,
    /// The regular log line with the counters.
    CounterLog,
    /// A worker has not greeted in time: the connection's key.
    Greeting(usize),
    /// A timer of an ingress: its index.
    Ingress(usize),
    /// The regular tick of a failover pair.
    FailoverTick,
    /// The VRRP router's timer.
    Vrrp,
    /// The discovery server has not answered in time.
    DiscoveryTimeout,
    /// The grace period before draining is over.
    DrainStart,
    /// What had been accepted when draining started has been read by now.
    DrainSettled,
    /// Attempts that were put off until sockets were read are looked at again.
    PutOffSends,
    /// Clients may not be able to wait longer for the record of their response.
    RecordTimeout,
}

const KIND_SHIFT: u32 = 56;
const ARGUMENT: u64 = (1 << KIND_SHIFT) - 1;

impl TimerToken {
    /// The token as the net carries it.
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
            TimerToken::PutOffSends => (14, 0),
            TimerToken::RecordTimeout => (15, 0),
        };
        kind << KIND_SHIFT | argument
    }

    /// The token that was packed; none for a kind that is not known.
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
            14 => TimerToken::PutOffSends,
            15 => TimerToken::RecordTimeout,
            _ => return None,
        })
    }
}

/// How often connections to workers are checked for being idle or silent: a tenth of a second is fine against timeouts of
/// seconds and costs nothing.
const CONNECTION_CHECK_INTERVAL: Time = 1_000;

/// The counters are logged once a minute.
const COUNTER_LOG_INTERVAL: Time = 600_000;

/// Sets the timers that run as long as the gateway.
pub(crate) fn set_regular_timers<N: Net>(net: &mut N, now: Time) {
    net.set_timer(
        now + CONNECTION_CHECK_INTERVAL,
        TimerToken::ConnectionCheck.pack(),
    );
    net.set_timer(now + COUNTER_LOG_INTERVAL, TimerToken::CounterLog.pack());
}

impl<N: Net> Gateway<N> {
    /// Handles the timer with this token.
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
            // Whether the gateway may end is checked after each wake-up.
            TimerToken::DrainSettled => {}
            TimerToken::PutOffSends => self.context.scheduler.host.resume_put_off(),
            TimerToken::RecordTimeout => self.give_up_records(),
            TimerToken::Greeting(connection) => self.greeting_timed_out(connection),
            TimerToken::ConnectionCheck => {
                let next = now + CONNECTION_CHECK_INTERVAL;
                self.context.net().set_timer(next, packed);
                self.note_list_age();
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
                info!(counters = ?self.counters(), wakeups = ?self.wakeup_profile(), effects = ?self.effects(), in_flight = self.requests_in_flight(), "counters");
            }
        }
    }
}
