//! Metrics of the lease task, which owns them. They are logged as one line every ten seconds where one has changed; their names
//! in that line are those of the operators' pages.
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Counts since the start of the process, and gauges of now.
#[derive(Default)]
pub struct CoordinationCounters {
    registry: Registry,
    last_line: String,
    /// Datagrams to other members.
    pub datagrams_sent: Counter,
    /// Bytes of them.
    pub bytes_sent: Counter,
    /// Datagrams of other members that were good.
    pub datagrams_received: Counter,
    /// Datagrams that were malformed, forged, replayed, or of a former incarnation.
    pub datagrams_rejected: Counter,
    /// Commands that found the executor's mailbox full.
    pub dropped_commands: Counter,
    /// Leases that were given back after their execution had stopped.
    pub leases_handed_over: Counter,
    /// Requests of other members that this member granted.
    pub requests_granted: Counter,
    /// Leases held here.
    pub leases_held: Gauge,
    /// Members that are alive, this one included.
    pub members_alive: Gauge,
}

impl CoordinationCounters {
    /// All at zero and registered.
    pub fn new() -> CoordinationCounters {
        let mut counters = CoordinationCounters::default();
        let registered = [
            (
                "datagrams_sent",
                "Datagrams to other members",
                &counters.datagrams_sent,
            ),
            ("bytes_sent", "Bytes of them", &counters.bytes_sent),
            (
                "datagrams_heard",
                "Datagrams of other members that were good",
                &counters.datagrams_received,
            ),
            (
                "datagrams_refused",
                "Datagrams that were malformed, forged, replayed, or of a former incarnation",
                &counters.datagrams_rejected,
            ),
            (
                "channel_full",
                "Commands that found the mailbox of the executor task full",
                &counters.dropped_commands,
            ),
            (
                "leases_given_back",
                "Leases given back after their execution had stopped",
                &counters.leases_handed_over,
            ),
            (
                "keeper_grants",
                "Requests of other members that this member granted",
                &counters.requests_granted,
            ),
        ];
        for (name, help, counter) in registered {
            counters.registry.register(name, help, counter.clone());
        }
        let registered = [
            ("leases_held", "Leases held here", &counters.leases_held),
            (
                "members_here",
                "Members that are alive, this one included",
                &counters.members_alive,
            ),
        ];
        for (name, help, gauge) in registered {
            counters.registry.register(name, help, gauge.clone());
        }
        counters
    }

    /// All metrics as one line `name=value ...`, or none where it is the line of the last call.
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
