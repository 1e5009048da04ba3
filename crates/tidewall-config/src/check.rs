//! What the schema cannot say: ranges, references, and times that cannot hold together.
use crate::Section;
use prost_reflect::{DynamicMessage, ReflectMessage, Value};
use std::net::SocketAddr;
use tidewall_lease::ballot::MAX_MEMBERS;
use tidewall_lease::duration::usable_duration;
use tidewall_lease::lease::MAX_GRANTORS;

type Fault = (String, String);

const MOST: f64 = 1e12;

/// Bounds of numbers, as the schema's comments tell them: message, field, least, most. A least that is not
/// reached itself is written as the smallest step above it.
const RANGES: &[(&str, &str, f64, f64)] = &[
    ("Settings", "over_share_benefit", 0.0, 1.0),
    ("Settings", "tick_ms", 0.1, 100.0),
    ("EventType", "target_time_ms", 1.0, 3.6e6),
    ("EventType", "max_age_ms", 1.0, 3.6e6),
    ("EventType", "benefit", 1e-9, MOST),
    ("EventType", "late_benefit", 0.0, 1.0),
    ("EventType", "window_ms", 0.0, 3.6e6),
    ("EventType", "target_stretch", 0.0, 1e6),
    ("Tenant", "quota_per_s", 1e-9, MOST),
    ("Kind", "memory_mb", 1e-9, MOST),
    ("Roster", "retry_ms", 10.0, 60_000.0),
    ("Limits", "most_held", 1.0, 1e6),
    ("Limits", "max_launches", 1.0, 8.0),
    ("Limits", "most_come_back_ms", 0.0, 3.6e6),
    ("Limits", "connect_time_out_ms", 1.0, 60_000.0),
    ("Limits", "streams", 1.0, 10_000.0),
    ("Limits", "connections", 1.0, 1_000.0),
    ("Limits", "keep_alive_ms", 100.0, 3.6e6),
    ("Limits", "probe_time_out_ms", 1.0, 60_000.0),
    ("Limits", "silent_ms", 10.0, 60_000.0),
    ("Rules", "drain_grace_ms", 0.0, 60_000.0),
    ("Rules", "cold_from", 1e-9, 1.0),
    ("Rules", "cold_ms", 0.0, 3.6e6),
    ("Rules", "fall_multiple", 1.0, 1e6),
    ("Rules", "fall_ms", 1.0, 60_000.0),
    ("Loading", "stays_loaded_ms", 0.0, 3.6e6),
    ("Loading", "order_time_out_ms", 10.0, 3.6e6),
    ("Loading", "window_ms", 0.0, 3.6e6),
    ("Loading", "free", 0.0, 1e6),
    ("Loading", "share", 0.0, 1e6),
    ("Fleet", "roster_late_ms", 0.0, 60_000.0),
    ("Fleet", "silent_notice_ms", 0.0, 600_000.0),
    ("Workers", "count", 1.0, 100_000.0),
    ("Workers", "cores", 1.0, 1_024.0),
    ("Workers", "speed", 1e-9, 1e6),
    ("Workers", "queue", 0.0, 100_000.0),
    ("Workers", "loads", 1.0, 64.0),
    ("Programs", "count", 1.0, 100_000.0),
    ("Programs", "work_ms", 1e-9, 3.6e6),
    ("Programs", "memory_mb", 1e-9, MOST),
    ("Programs", "lanes", 1.0, 1_000.0),
    ("Programs", "fetch_ms", 0.0, 600_000.0),
    ("Programs", "start_ms", 0.0, 600_000.0),
    ("Programs", "share", 0.0, 1e6),
    ("Programs", "skew", 0.0, 3.0),
    ("Depot", "capacity", 1.0, 10_000.0),
    ("Depot", "most", 1.0, 1e6),
    ("Clients", "rate", 1e-9, 1e6),
    ("Clients", "connections", 1.0, 10_000.0),
    ("Clients", "retries", 0.0, 10.0),
    ("Clients", "wait_ms", 0.0, 60_000.0),
    ("Clients", "patience", 1e-9, 1.0),
    ("Clients", "front_ms", 0.0, 60_000.0),
    ("Clients", "payload", 0.0, 1e6),
    ("Amqp", "heartbeat_s", 0.0, 3_600.0),
    ("Amqp", "frame_max", 4_096.0, 1_048_576.0),
    ("Amqp", "channel_max", 1.0, 65_535.0),
    ("Amqp", "body_max", 1.0, 100_000_000.0),
    ("Amqp", "handshake_ms", 10.0, 600_000.0),
    ("Amqp", "queued_mb", 1.0, 100_000.0),
    ("Amqp", "in_hand", 1.0, 1e6),
    ("Amqp", "logins", 1.0, 100_000.0),
    ("AmqpFunction", "lanes", 1.0, 1_000.0),
    ("AmqpFunction", "memory_mb", 0.0, MOST),
    ("AmqpFunction", "hint_ms", 0.0, 3.6e6),
    ("AmqpFunction", "load_hint_ms", 0.0, 3.6e6),
    ("Pair", "vrid", 1.0, 255.0),
    ("Pair", "interval_cs", 1.0, 4_095.0),
    ("PairMember", "priority", 1.0, 254.0),
    ("FleetCommon", "leases", 1.0, 65_536.0),
    ("FleetCommon", "term_ms", 100.0, 600_000.0),
    ("FleetCommon", "clocks_ppm", 0.0, 500_000.0),
    ("FleetCommon", "ticket_ms", 1.0, 60_000.0),
    ("FleetCommon", "period_ms", 10.0, 60_000.0),
    ("FleetCommon", "turn_ms", 10.0, 3.6e6),
    ("FleetCommon", "datagrams_per_s", 10.0, 1e6),
    ("FleetCommon", "bytes_per_s", 2_560.0, 1e9),
    ("FleetCommon", "channel", 1.0, 1e6),
    ("FleetCommon", "trial_clock_ppm", -500_000.0, 500_000.0),
    ("Script", "seconds", 1.0, 3_600.0),
    ("Fault", "at", 0.0, 1.0),
    ("Fault", "lasts_ms", 0.0, 3.6e6),
    ("Fault", "count", 1.0, 10_000.0),
    ("Fault", "factor", 1e-9, 1e6),
];

/// Every number that is set lies in its range.
pub fn ranges(section: &Section) -> Result<(), Fault> {
    each(&section.message, &section.path)
}

fn each(message: &DynamicMessage, path: &str) -> Result<(), Fault> {
    let name = message.descriptor().name().to_string();
    for (field, value) in message.fields() {
        let at = if path.is_empty() {
            field.name().to_string()
        } else {
            format!("{path}.{}", field.name())
        };
        let range = RANGES.iter().find(|r| r.0 == name && r.1 == field.name());
        let number = match value {
            Value::U32(v) => Some(f64::from(*v)),
            Value::F64(v) => Some(*v),
            Value::I32(v) => Some(f64::from(*v)),
            Value::Message(m) => {
                each(m, &at)?;
                None
            }
            Value::List(list) => {
                for (i, m) in list
                    .iter()
                    .enumerate()
                    .filter_map(|(i, v)| Some((i, v.as_message()?)))
                {
                    each(m, &format!("{at}[{i}]"))?;
                }
                None
            }
            _ => None,
        };
        if let (Some(v), Some((_, _, least, most))) = (number, range) {
            if !(*least..=*most).contains(&v) {
                return Err((at, format!("{v} is not within {least} to {most}")));
            }
        }
    }
    Ok(())
}

fn fault<T>(at: String, what: impl Into<String>) -> Result<T, Fault> {
    Err((at, what.into()))
}

/// Names are there, each once, and without characters that logs and the module's map give a meaning.
fn names(sections: &[Section]) -> Result<Vec<String>, Fault> {
    let mut names: Vec<String> = Vec::new();
    for s in sections {
        let name = s.text("name");
        if name.is_empty()
            || name
                .chars()
                .any(|c| c.is_whitespace() || c == ',' || c == '=')
        {
            return fault(
                s.at("name"),
                format!("'{name}' is no name (no spaces, commas or '=')"),
            );
        }
        if names.contains(&name) {
            return fault(s.at("name"), format!("'{name}' stands twice"));
        }
        names.push(name);
    }
    Ok(names)
}

fn refers(s: &Section, field: &str, list: &str, names: &[String]) -> Result<(), Fault> {
    let name = s.text(field);
    if names.contains(&name) {
        return Ok(());
    }
    fault(
        s.at(field),
        format!("'{name}' is no {list} of these settings"),
    )
}

fn address(s: &Section, field: &str, seen: &mut Vec<SocketAddr>) -> Result<(), Fault> {
    let text = s.text(field);
    match text.parse::<SocketAddr>() {
        Ok(at) if !at.ip().is_loopback() => {
            fault(s.at(field), format!("'{text}' is not on loopback"))
        }
        Ok(at) if seen.contains(&at) && at.port() != 0 => {
            fault(s.at(field), format!("'{text}' is taken by another field"))
        }
        Ok(at) => {
            seen.push(at);
            Ok(())
        }
        Err(_) => fault(s.at(field), format!("'{text}' is no address and port")),
    }
}

pub fn settings(s: &Section) -> Result<(), Fault> {
    let zones = s.texts("zone");
    if let Some(i) = (1..zones.len()).find(|i| zones[..*i].contains(&zones[*i])) {
        return fault(format!("zone[{i}]"), format!("'{}' stands twice", zones[i]));
    }
    for list in ["gateway", "event_type", "zone"] {
        let empty = if list == "zone" {
            zones.is_empty()
        } else {
            s.sections(list).is_empty()
        };
        if empty {
            return fault(list.to_string(), "at least one is needed");
        }
    }
    let kinds = names(&s.sections("kind"))?;
    let types = names(&s.sections("event_type"))?;
    names(&s.sections("tenant"))?;
    let gateways = s.sections("gateway");
    names(&gateways)?;
    let mut addresses = Vec::new();
    for g in &gateways {
        address(g, "address", &mut addresses)?;
        refers(g, "zone", "zone", &zones)?;
    }
    let mut peers = Vec::new();
    for g in gateways.iter().filter(|g| g.has("peer_address")) {
        address(g, "peer_address", &mut peers)?;
    }
    address(&s.section("roster"), "address", &mut addresses)?;
    for g in gateways.iter().filter(|g| g.has("amqp_address")) {
        address(g, "amqp_address", &mut addresses)?;
        if !s.has("amqp") {
            return fault(
                g.at("amqp_address"),
                "there is no amqp section in these settings",
            );
        }
    }
    if s.has("amqp") {
        amqp(&s.section("amqp"), &names(&s.sections("tenant"))?)?;
    }
    if s.has("pair") {
        pair(&s.section("pair"), gateways.len(), &mut addresses)?;
    }
    if s.has("fleet_common") {
        common(&s.section("fleet_common"), &gateways)?;
    }
    let tick = s.number("tick_ms");
    for t in s.sections("event_type") {
        let (target, age) = (t.number("target_time_ms"), t.number("max_age_ms"));
        if age < target {
            return fault(
                t.at("max_age_ms"),
                format!("{age} is under target_time_ms, {target}"),
            );
        }
        // An answer of the gateway's own needs a few looks at the clock before the client gives up.
        if age < 20.0 * tick {
            return fault(
                t.at("max_age_ms"),
                format!("{age} is under twenty times tick_ms, {tick}"),
            );
        }
        let keyed = t.choice("redelivery") == "KEYED";
        if keyed && t.number("window_ms") <= 0.0 {
            return fault(
                t.at("window_ms"),
                "a KEYED event type needs a window above 0",
            );
        }
        if !keyed && t.has("window_ms") && t.number("window_ms") > 0.0 {
            return fault(t.at("window_ms"), "only a KEYED event type has a window");
        }
    }
    let limits = s.section("limits");
    let (connect, keep) = (
        limits.number("connect_time_out_ms"),
        limits.number("keep_alive_ms"),
    );
    if keep < connect {
        return fault(
            limits.at("keep_alive_ms"),
            format!("{keep} is under connect_time_out_ms, {connect}"),
        );
    }
    let reports = s.section("reports");
    if limits.flag("probes") && !reports.flag("in_flight") && !reports.flag("busy") {
        return fault(
            reports.at("busy"),
            "probes are allowed, but reports tell neither in_flight nor busy",
        );
    }
    if s.has("fleet") {
        fleet(&s.section("fleet"), &zones, &kinds, &types)?;
    }
    Ok(())
}

fn pair(p: &Section, gateways: usize, addresses: &mut Vec<SocketAddr>) -> Result<(), Fault> {
    if gateways != 1 {
        return fault(
            p.at("own"),
            format!("a pair is one gateway, and there are {gateways}"),
        );
    }
    let members = [p.section("own"), p.section("peer")];
    names(&members)?;
    let mut datagrams = Vec::new();
    for m in &members {
        address(m, "vrrp_address", &mut datagrams)?;
        address(m, "link_address", addresses)?;
    }
    if datagrams[0].ip() == datagrams[1].ip() {
        return fault(
            members[1].at("vrrp_address"),
            "members are told apart by their IP addresses",
        );
    }
    if p.text("key_file").is_empty() {
        return fault(p.at("key_file"), "it is needed");
    }
    let voters = p.texts("voter");
    if voters.len() < 3 || voters.len().is_multiple_of(2) {
        return fault(
            p.at("voter"),
            format!(
                "{} are told; an odd number from 3 on is needed",
                voters.len()
            ),
        );
    }
    if let Some(i) = (1..voters.len()).find(|i| voters[..*i].contains(&voters[*i])) {
        return fault(
            format!("pair.voter[{i}]"),
            format!("'{}' stands twice", voters[i]),
        );
    }
    Ok(())
}

fn common(c: &Section, gateways: &[Section]) -> Result<(), Fault> {
    let members: Vec<String> = gateways.iter().map(|g| g.text("name")).collect();
    if members.len() > MAX_MEMBERS {
        return fault(
            "gateway".to_string(),
            format!("{} members are over {MAX_MEMBERS}", members.len()),
        );
    }
    let (mut own, mut reached) = (Vec::new(), Vec::new());
    for g in gateways {
        address(g, "common_address", &mut own)?;
        address(
            g,
            if g.has("common_reached_at") {
                "common_reached_at"
            } else {
                "common_address"
            },
            &mut reached,
        )?;
    }
    let keepers = c.texts("keeper");
    if keepers.len() < 3 || keepers.len().is_multiple_of(2) || keepers.len() > MAX_GRANTORS {
        let what = format!(
            "{} are told; an odd number from 3 to {MAX_GRANTORS} is needed",
            keepers.len()
        );
        return fault(c.at("keeper"), what);
    }
    for (i, keeper) in keepers.iter().enumerate() {
        let at = format!("fleet_common.keeper[{i}]");
        if keepers[..i].contains(keeper) {
            return fault(at, format!("'{keeper}' stands twice"));
        }
        if !members.contains(keeper) {
            return fault(at, format!("'{keeper}' is no gateway of these settings"));
        }
    }
    if c.text("key_file").is_empty() {
        return fault(c.at("key_file"), "it is needed");
    }
    // A holder acts for what is left of a term; with less than half of it most of the time nobody would.
    let (term, ticket) = (c.span("term_ms"), c.span("ticket_ms"));
    let usable = usable_duration(term, c.whole("clocks_ppm"), ticket);
    if 2 * usable < term {
        let what = format!(
            "{} leaves {} ms to act after what clocks_ppm and ticket_ms take off; at least half of it is needed",
            c.number("term_ms"),
            usable as f64 / 10.0
        );
        return fault(c.at("term_ms"), what);
    }
    // What the member that holds all of them needs to renew them: four askings to each keeper in that time, some fourteen in
    // a datagram, and as much again for answers, pings and claims.
    let askings = 4.0 * c.number("leases") * keepers.len() as f64 / (usable as f64 / 10_000.0);
    let (datagrams, bytes) = (2.0 * askings / 14.0, 2.0 * askings * 18.0);
    for (field, least) in [("datagrams_per_s", datagrams), ("bytes_per_s", bytes)] {
        if c.number(field) < least {
            let what = format!(
                "{} cannot renew the leases where one member is left: {least:.0} is needed",
                c.number(field)
            );
            return fault(c.at(field), what);
        }
    }
    if 4 * c.span("period_ms") > 10 * term {
        return fault(
            c.at("period_ms"),
            "a lost member would be missed only terms after its leases ran out",
        );
    }
    Ok(())
}

fn amqp(a: &Section, tenants: &[String]) -> Result<(), Fault> {
    let users = a.sections("user");
    if users.is_empty() {
        return fault(a.at("user"), "at least one is needed");
    }
    names(&users)?;
    for u in &users {
        if !u.text("password_hash").starts_with("$argon2") {
            return fault(
                u.at("password_hash"),
                "it is no hash of argon2 (see tidewall hash-password)",
            );
        }
        if u.has("tenant") {
            refers(u, "tenant", "tenant", tenants)?;
        }
    }
    for f in a.sections("function") {
        if f.text("name").trim_end_matches('*').contains('*') || f.text("name").is_empty() {
            return fault(
                f.at("name"),
                format!(
                    "'{}' is no name, nor the start of one and '*'",
                    f.text("name")
                ),
            );
        }
    }
    if a.text("trigger_exchange").is_empty() {
        return fault(a.at("trigger_exchange"), "it needs a name");
    }
    if a.text("trigger_exchange") == a.text("dead_letter_exchange") {
        return fault(
            a.at("dead_letter_exchange"),
            "dead letters would be events again",
        );
    }
    Ok(())
}

fn fleet(f: &Section, zones: &[String], kinds: &[String], types: &[String]) -> Result<(), Fault> {
    let (workers, programs) = (f.sections("workers"), f.sections("programs"));
    names(&workers)?;
    names(&programs)?;
    for w in &workers {
        refers(w, "zone", "zone", zones)?;
        refers(w, "kind", "kind", kinds)?;
    }
    for p in &programs {
        refers(p, "event_type", "event_type", types)?;
    }
    let share: f64 = programs.iter().map(|p| p.number("share")).sum();
    if !programs.is_empty() && share <= 0.0 {
        return fault(programs[0].at("share"), "all shares are 0");
    }
    let depot = f.section("depot");
    let (capacity, most) = (depot.number("capacity"), depot.number("most"));
    if most < capacity {
        return fault(
            depot.at("most"),
            format!("{most} is under capacity, {capacity}"),
        );
    }
    Ok(())
}

pub fn script(s: &Section) -> Result<(), Fault> {
    for f in s.sections("fault") {
        if !f.has("trouble") {
            return fault(f.at("trouble"), "it must be named");
        }
        let trouble = f.choice("trouble");
        let at_once = matches!(
            trouble.as_str(),
            "WORKER_RESET" | "COPIES_VOID" | "TERMINAL_CUT" | "TERMINAL_CHANNEL"
        );
        if !at_once && f.number("lasts_ms") <= 0.0 {
            return fault(f.at("lasts_ms"), format!("{trouble} needs a time above 0"));
        }
        let sized = matches!(
            trouble.as_str(),
            "WORKER_SLOW" | "DEPOT_SLOW" | "BURST" | "HEAVY"
        );
        if sized && f.number("factor") <= 1.0 {
            return fault(f.at("factor"), format!("{trouble} needs a factor above 1"));
        }
        if f.has("kind") && !trouble.starts_with("WORKER_") {
            return fault(f.at("kind"), format!("{trouble} hits no workers"));
        }
    }
    Ok(())
}
