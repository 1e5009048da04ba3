//! What the settings tell these tasks.
use crate::Time;
use std::net::SocketAddr;
use tidewall_config::Section;
use tidewall_lease::duration::{max_effect_delay, usable_duration};
use tidewall_lease::lease::LeaseConfig;
use tidewall_lease::SafetyChecks;
use tidewall_vrrp::packet::Keys;

pub struct CoordinationConfig {
    pub member: usize,
    pub incarnation: u64,
    pub seed: u64,
    pub name: String,
    /// All members' names; where this one listens, and where it reaches each.
    pub names: Vec<String>,
    pub listen: SocketAddr,
    pub reach: Vec<SocketAddr>,
    pub grantors: Vec<usize>,
    pub tasks: usize,
    pub lease_duration: Time,
    pub usable: Time,
    /// How long an act may take effect after it left, by our own clock.
    pub effect_timeout: Time,
    pub period: Time,
    pub effect_interval: Time,
    pub datagrams: u64,
    pub bytes: u64,
    pub channel: usize,
    pub safety_checks: SafetyChecks,
    pub keys: Box<dyn Fn() -> Keys + Send>,
    /// By so many millionths this member's clock runs faster: for trials.
    pub trial_ppm: i64,
}

/// The part of `usable` after which what was not answered is asked again: a lost datagram costs little of a term.
const RETRY: Time = 16;

impl CoordinationConfig {
    pub fn new(
        s: &Section,
        me: usize,
        life: u64,
        seed: u64,
        guards: SafetyChecks,
        keys: Box<dyn Fn() -> Keys + Send>,
    ) -> CoordinationConfig {
        let (c, gateways) = (s.section("fleet_common"), s.sections("gateway"));
        let names: Vec<String> = gateways.iter().map(|g| g.text("name")).collect();
        let reach = |g: &Section| {
            let field = if g.has("common_reached_at") {
                "common_reached_at"
            } else {
                "common_address"
            };
            g.text(field).parse().expect("checked")
        };
        let place = |name: &String| names.iter().position(|n| n == name).expect("checked");
        let (term, ticket, ppm) = (
            c.span("term_ms"),
            c.span("ticket_ms"),
            c.whole("clocks_ppm"),
        );
        let usable = if guards.shortened_lease {
            usable_duration(term, ppm, ticket)
        } else {
            term
        };
        CoordinationConfig {
            member: me,
            incarnation: life,
            seed,
            name: names[me].clone(),
            listen: gateways[me]
                .text("common_address")
                .parse()
                .expect("checked"),
            reach: gateways.iter().map(reach).collect(),
            grantors: c.texts("keeper").iter().map(place).collect(),
            tasks: c.whole("leases") as usize,
            lease_duration: term,
            usable,
            effect_timeout: max_effect_delay(ppm, ticket),
            period: c.span("period_ms"),
            effect_interval: c.span("turn_ms"),
            datagrams: c.whole("datagrams_per_s"),
            bytes: c.whole("bytes_per_s"),
            channel: c.whole("channel") as usize,
            safety_checks: guards,
            keys,
            trial_ppm: c.signed("trial_clock_ppm"),
            names,
        }
    }

    pub fn terms(&self) -> LeaseConfig {
        LeaseConfig {
            member: self.member,
            incarnation: self.incarnation,
            grantors: self.grantors.len(),
            usable_duration: self.usable,
            retry: (self.usable / RETRY).max(1),
            // Drawn by the life, as good as any.
            offset: self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48,
            safety_checks: self.safety_checks,
        }
    }

    /// How often a task looks at its channels and at what is due.
    pub fn tick(&self) -> Time {
        (self.usable / (4 * RETRY))
            .min(self.period / 8)
            .clamp(10, 500)
    }
}
