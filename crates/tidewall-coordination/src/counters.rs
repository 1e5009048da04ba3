//! Metrics of the lease task, which owns them. They are logged as one line every ten seconds if one of them
//! has changed. The operator documentation uses the names in that line.
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Counters since the start of the process, and gauges of the current state.
#[derive(Default)]
pub struct CoordinationCounters {
    registry: Registry,
    last_line: String,
    /// Datagrams sent to other members.
    pub datagrams_sent: Counter,
    /// Bytes of the datagrams sent.
    pub bytes_sent: Counter,
    /// Valid datagrams received from other members.
    pub datagrams_received: Counter,
    /// Received datagrams that were malformed, forged, replayed, or of a previous incarnation.
    pub datagrams_rejected: Counter,
    /// Commands dropped because the executor's mailbox was full.
    pub dropped_commands: Counter,
    /// Leases released after their execution had stopped.
    pub leases_handed_over: Counter,
    /// Accept requests of other members that this member granted.
    pub requests_granted: Counter,
    /// Leases held by this member.
    pub leases_held: Gauge,
    /// Members that are alive, including this one.
    pub members_alive: Gauge,
}

impl CoordinationCounters {
    /// Creates and registers all metrics, with value zero.
    pub fn new() -> CoordinationCounters {
        let mut counters = CoordinationCounters::default();
        let registered = [
            (
                "datagrams_sent",
                "Datagrams sent to other members",
                &counters.datagrams_sent,
            ),
            ("bytes_sent", "Bytes of the datagrams sent", &counters.bytes_sent),
            (
                "datagrams_heard",
                "Valid datagrams received from other members",
                &counters.datagrams_received,
            ),
            (
                "datagrams_refused",
                "Received datagrams that were malformed, forged, replayed, or of a previous incarnation",
                &counters.datagrams_rejected,
            ),
            (
                "channel_full",
                "Commands dropped because the mailbox of the executor task was full",
                &counters.dropped_commands,
            ),
            (
                "leases_given_back",
                "Leases released after their execution had stopped",
                &counters.leases_handed_over,
            ),
            (
                "keeper_grants",
                "Accept requests of other members that this member granted",
                &counters.requests_granted,
            ),
        ];
        for (name, help, counter) in registered {
            counters.registry.register(name, help, counter.clone());
        }
        let registered = [
            (
                "leases_held",
                "Leases held by this member",
                &counters.leases_held,
            ),
            (
                "members_here",
                "Members that are alive, including this one",
                &counters.members_alive,
            ),
        ];
        for (name, help, gauge) in registered {
            counters.registry.register(name, help, gauge.clone());
        }
        counters
    }

    /// All metrics as one line `name=value ...`; `None` if the line equals that of the last call.
    pub fn changed_line(&mut self) -> Option<String> {
        let mut text = String::new();
        encode(&mut text, &self.registry).ok()?;
        let line = text
            .lines()
            .filter(|line| !line.starts_with('#'))
            .map(|line| line.replacen(' ', "=", 1))
            .collect::<Vec<_>>()
            .join(" ");
        let changed = line != self.last_line;
        self.last_line.clone_from(&line);
        changed.then_some(line)
    }
}
