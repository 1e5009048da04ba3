//! The settings of both members, the workers and the clients, and how a member's process is started with
//! them.
use super::{OmittedSafeguard, Setup};
use std::net::SocketAddr;
use tidewall_config::Section;
use tidewall_gateway::config::{failover_config, gateway_config};
use tidewall_gateway::endpoints::NoEndpointCache;
use tidewall_gateway::native_ingress::NativeIngress;
use tidewall_gateway::Gateway;
use tidewall_net::memory::Memory;
use tidewall_vrrp::packet::Keys;

/// Max age and target time of the request classes in [`SETTINGS`], in milliseconds.
pub(super) const MAX_AGE_MS: u64 = 3_000;
const TARGET_TIME_MS: u64 = 800;

const SETTINGS: &str = r#"
gateway { name: "g0" address: "127.0.0.1:700" zone: "north" }
roster { address: "127.0.0.1:701" }
zone: ["north", "south"]
kind { name: "k" memory_mb: 2000 }
event_type { name: "check" target_time_ms: TARGETTIME max_age_ms: MAXAGE redelivery: REDELIVERABLE }
event_type { name: "record" target_time_ms: TARGETTIME max_age_ms: MAXAGE benefit: 3 redelivery: KEYED group: ZONE window_ms: 4000 }
event_type { name: "issue" target_time_ms: TARGETTIME max_age_ms: MAXAGE benefit: 2 redelivery: AT_MOST_ONCE }
event_type { name: "count" target_time_ms: TARGETTIME max_age_ms: MAXAGE redelivery: KEYED group: ALL window_ms: 4000 }
limits { two_at_once: false max_launches: 3 }
loading { stays_loaded_ms: 8000 window_ms: 10000 free: 6 share: 0.2 }
rules { drain_grace_ms: 2000 cold_from: 0.2 cold_ms: 3000 fall_multiple: 2.5 fall_ms: 1500 }
pair {
  own { name: "OWN" priority: OWNPRIORITY vrrp_address: "OWNVRRP" link_address: "OWNLINK" }
  peer { name: "PEER" vrrp_address: "PEERVRRP" link_address: "PEERLINK" }
  key_file: "unused"
  voter: ["n0", "n1", "s0"]
}
fleet {
  workers { name: "n" count: 3 zone: "north" kind: "k" cores: 4 queue: 40 }
  workers { name: "s" count: 3 zone: "south" kind: "k" cores: 4 queue: 40 }
  programs { name: "stock" count: 6 event_type: "check" work_ms: 25 memory_mb: 120 fetch_ms: 100 start_ms: 50 share: 0.4 }
  programs { name: "book" count: 3 event_type: "record" work_ms: 30 memory_mb: 120 fetch_ms: 100 start_ms: 50 share: 0.2 }
  programs { name: "slip" count: 3 event_type: "issue" work_ms: 35 memory_mb: 100 fetch_ms: 100 start_ms: 50 share: 0.2 }
  programs { name: "tally" count: 3 event_type: "count" work_ms: 25 memory_mb: 100 fetch_ms: 100 start_ms: 50 share: 0.2 }
  depot { capacity: 6 most: 40 }
  clients { rate: RATE connections: 4 retries: 1 wait_ms: 100 patience: 0.9 front_ms: 1000 payload: 64 }
  roster_late_ms: 300
  silent_notice_ms: 1500
}
"#;

/// The virtual IP address, which moves to the member that becomes active.
const SHARED_ADDRESS: &str = "127.0.0.1:700";

/// The key with which both members authenticate advertisements.
pub(super) const KEY: &[u8] = b"a key of the runs, known to both";

/// [`SHARED_ADDRESS`], parsed.
pub(super) fn shared_address() -> SocketAddr {
    SHARED_ADDRESS.parse().expect("the address is valid")
}

/// The settings of this member, the workers and the clients.
pub(super) fn settings(member: usize, setup: &Setup) -> Section {
    let identity = |m: usize| {
        let (name, vrrp, link) = [
            ("a", "127.0.0.2:112", "127.0.0.2:113"),
            ("b", "127.0.0.3:112", "127.0.0.3:113"),
        ][m];
        (name, vrrp, link)
    };
    let (own, peer) = (identity(member), identity(1 - member));
    let text = SETTINGS.replace("OWNPRIORITY", if member == 0 { "200" } else { "100" });
    let text = text
        .replace("OWNVRRP", own.1)
        .replace("OWNLINK", own.2)
        .replace("OWN", own.0);
    let text = text
        .replace("PEERVRRP", peer.1)
        .replace("PEERLINK", peer.2)
        .replace("PEER", peer.0);
    let text = text.replace("RATE", &setup.rate.to_string());
    let target_time_ms = TARGET_TIME_MS.min(setup.max_age_ms);
    let text = text
        .replace("TARGETTIME", &target_time_ms.to_string())
        .replace("MAXAGE", &setup.max_age_ms.to_string());
    tidewall_config::settings("run", &text).expect("the run's settings are valid")
}

/// Starts the process of a member; `incarnation` is the number of its starts so far, this one included.
pub(super) fn start_member(
    net: &Memory,
    member: usize,
    setup: &Setup,
    incarnation: u64,
) -> Gateway<Memory> {
    let settings = settings(member, setup);
    let seed = setup.seed * 10 + incarnation * 2 + member as u64;
    let mut config = gateway_config(&settings, 0, seed);
    let keys = || Keys(vec![(1, KEY.to_vec())]);
    let mut failover = failover_config(&settings, incarnation, Box::new(keys));
    failover.replicates = setup.omitted != OmittedSafeguard::NoCopies;
    if setup.disagree && member == 1 {
        let line = failover
            .shared_settings
            .iter_mut()
            .find(|line| line.starts_with("limits.max_launches"));
        *line.expect("limits.max_launches is a shared setting") =
            "limits.max_launches = 4".to_string();
    }
    config.failover = Some(failover);
    let mut gateway = Gateway::new(net.clone(), config, Box::new(NoEndpointCache))
        .expect("the gateway's addresses are free");
    gateway
        .add_ingress(shared_address(), Box::new(NativeIngress::new(0, "g0")))
        .expect("a member of a pair listens only once it is active");
    gateway
}
