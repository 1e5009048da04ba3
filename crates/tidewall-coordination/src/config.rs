//! The configuration of the tasks, derived from the settings section `fleet_common` and the list of gateways.
//! Only this module uses the keys of the settings file.
use crate::Time;
use std::net::SocketAddr;
use tidewall_config::Section;
use tidewall_lease::duration::{max_effect_delay, usable_duration};
use tidewall_lease::lease::LeaseConfig;
use tidewall_lease::SafetyChecks;
use tidewall_vrrp::packet::Keys;

/// The configuration of one member. Times are in tenths of a millisecond.
pub struct CoordinationConfig {
    /// The number of this member, an index into `member_names`.
    pub member: usize,
    /// Increases with each start of the member.
    pub incarnation: u64,
    /// The seed of the random numbers of both tasks.
    pub seed: u64,
    /// This member's name.
    pub member_name: String,
    /// The names of all members.
    pub member_names: Vec<String>,
    /// The address on which this member receives datagrams.
    pub listen: SocketAddr,
    /// Indexed by member: the address at which it is reached.
    pub member_addresses: Vec<SocketAddr>,
    /// The members that grant leases.
    pub grantors: Vec<usize>,
    /// The number of tasks; each has one lease.
    pub tasks: usize,
    /// How long a grantor keeps a lease from other members.
    pub lease_duration: Time,
    /// How long the holder may use a lease, counted from its request: shortened by the clock error and the
    /// maximum age of a permit.
    pub usable_duration: Time,
    /// How long after it was sent an effect may still take place, by this member's clock.
    pub effect_timeout: Time,
    /// The period of the membership protocol: how often this member probes another one.
    pub protocol_period: Time,
    /// The interval between effects of a held task.
    pub effect_interval: Time,
    /// The number of datagrams that this member may send per second.
    pub datagrams_per_second: u64,
    /// The number of bytes that this member may send per second.
    pub bytes_per_second: u64,
    /// The number of messages that a mailbox holds.
    pub channel_capacity: usize,
    /// Safety checks that a simulation may disable to show that they are needed. All are enabled in
    /// production.
    pub safety_checks: SafetyChecks,
    /// Loads the keys with which datagrams are sealed.
    pub load_keys: Box<dyn Fn() -> Keys + Send>,
    /// By how many parts per million this member's clock runs fast, for tests.
    pub clock_skew_ppm: i64,
}

/// The number of retry pauses in the usable duration of a lease: a request without a reply is first repeated
/// after this fraction of it, so that a lost datagram costs little of a lease.
const RETRIES_PER_LEASE: Time = 16;

/// The minimum number of ticks between two retries, so that no retry is late by much.
const TICKS_PER_RETRY: Time = 4;
/// The minimum number of ticks in a period of the membership protocol.
const TICKS_PER_PERIOD: Time = 8;

/// Bounds of the tick interval, 1 ms and 50 ms: with a shorter tick an idle task would use a whole core, with
/// a longer one messages would wait too long in the mailboxes.
const MIN_TICK: Time = 10;
const MAX_TICK: Time = 500;

impl CoordinationConfig {
    /// Builds the configuration of `member`. The section must have passed the checks of `tidewall-config`.
    pub fn new(
        section: &Section,
        member: usize,
        incarnation: u64,
        seed: u64,
        safety_checks: SafetyChecks,
        load_keys: Box<dyn Fn() -> Keys + Send>,
    ) -> CoordinationConfig {
        let (common, gateways) = (section.section("fleet_common"), section.sections("gateway"));
        let member_names: Vec<String> = gateways.iter().map(|g| g.text("name")).collect();
        let grantor_of = |name: &String| {
            let position = member_names.iter().position(|n| n == name);
            position.expect("the settings check finds each keeper among the gateways")
        };
        let lease_duration = common.duration("term_ms");
        let permit_age = common.duration("ticket_ms");
        let clocks_ppm = common.integer("clocks_ppm");
        CoordinationConfig {
            member,
            incarnation,
            seed,
            member_name: member_names[member].clone(),
            listen: address(&gateways[member], "common_address"),
            member_addresses: gateways.iter().map(member_address).collect(),
            grantors: common.strings("keeper").iter().map(grantor_of).collect(),
            tasks: common.integer("leases") as usize,
            lease_duration,
            usable_duration: if safety_checks.shortened_lease {
                usable_duration(lease_duration, clocks_ppm, permit_age)
            } else {
                lease_duration
            },
            effect_timeout: max_effect_delay(clocks_ppm, permit_age),
            protocol_period: common.duration("period_ms"),
            effect_interval: common.duration("turn_ms"),
            datagrams_per_second: common.integer("datagrams_per_s"),
            bytes_per_second: common.integer("bytes_per_s"),
            channel_capacity: common.integer("channel") as usize,
            safety_checks,
            load_keys,
            clock_skew_ppm: common.signed_integer("trial_clock_ppm"),
            member_names,
        }
    }

    /// The configuration of this member's leases.
    pub fn lease_config(&self) -> LeaseConfig {
        LeaseConfig {
            member: self.member,
            incarnation: self.incarnation,
            grantors: self.grantors.len(),
            usable_duration: self.usable_duration,
            retry: (self.usable_duration / RETRIES_PER_LEASE).max(1),
            // A multiplicative hash of the seed (by 2^64 divided by the golden ratio), reduced to 16 bits,
            // spreads members as well as a random draw.
            offset: self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48,
            safety_checks: self.safety_checks,
        }
    }

    /// The interval at which a task reads its mailboxes and does what is due.
    pub fn tick_interval(&self) -> Time {
        (self.usable_duration / (TICKS_PER_RETRY * RETRIES_PER_LEASE))
            .min(self.protocol_period / TICKS_PER_PERIOD)
            .clamp(MIN_TICK, MAX_TICK)
    }
}

fn address(gateway: &Section, key: &str) -> SocketAddr {
    let text = gateway.text(key);
    text.parse()
        .expect("the settings check has parsed each address")
}

/// Behind address translation, a member listens on another address than the one at which it is reached.
fn member_address(gateway: &Section) -> SocketAddr {
    let key = if gateway.has("common_reached_at") {
        "common_reached_at"
    } else {
        "common_address"
    };
    address(gateway, key)
}
