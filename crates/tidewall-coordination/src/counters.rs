//! What these tasks count, told as lines of the log every ten seconds where something changed.
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Default)]
pub struct CoordinationCounters {
    registry: Registry,
    last: String,
    pub sent: Counter,
    pub sent_bytes: Counter,
    pub came: Counter,
    pub refused: Counter,
    pub full: Counter,
    pub given_back: Counter,
    pub granted: Counter,
    pub held: Gauge,
    pub members: Gauge,
}

impl CoordinationCounters {
    pub fn new() -> CoordinationCounters {
        let mut c = CoordinationCounters::default();
        let r = &mut c.registry;
        r.register(
            "datagrams_sent",
            "Datagrams to other members",
            c.sent.clone(),
        );
        r.register("bytes_sent", "Bytes of them", c.sent_bytes.clone());
        r.register(
            "datagrams_heard",
            "Datagrams of other members that were good",
            c.came.clone(),
        );
        r.register(
            "datagrams_refused",
            "Malformed, forged, replayed, or of a former life",
            c.refused.clone(),
        );
        r.register(
            "channel_full",
            "Messages between tasks that found their channel full",
            c.full.clone(),
        );
        r.register(
            "leases_given_back",
            "Leases handed over in order",
            c.given_back.clone(),
        );
        r.register(
            "keeper_grants",
            "Askings that this member granted as a keeper",
            c.granted.clone(),
        );
        r.register("leases_held", "Leases that run here", c.held.clone());
        r.register(
            "members_here",
            "Members that are there, this one included",
            c.members.clone(),
        );
        c
    }

    /// One line, or none where nothing changed.
    pub fn line(&mut self) -> Option<String> {
        let mut text = String::new();
        encode(&mut text, &self.registry).ok()?;
        let told = text.lines().filter(|l| !l.starts_with('#'));
        let line = told
            .map(|l| l.replacen(' ', "=", 1))
            .collect::<Vec<_>>()
            .join(" ");
        let new = line != self.last;
        self.last.clone_from(&line);
        new.then_some(line)
    }
}
