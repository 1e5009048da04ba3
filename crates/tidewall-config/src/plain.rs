//! The decisions' plain map of names to values. Their names belong to the module's wire; this is the one place
//! besides the bench's adapter that writes them.
use crate::Section;
use std::collections::BTreeMap;

/// For the gateway at this place of the settings' list.
pub fn plain(s: &Section, me: usize) -> BTreeMap<String, String> {
    let mut map = BTreeMap::new();
    let mut put = |key: &str, value: String| {
        map.insert(key.to_string(), value);
    };
    let gateways = s.sections("gateway");
    put("siblings", gateways.len().to_string());
    put("me", me.to_string());
    put("locality", gateways[me].text("zone"));
    put("zones", s.texts("zone").join(","));
    put("tick-ms", s.number("tick_ms").to_string());
    put(
        "over-share-worth",
        s.number("over_share_benefit").to_string(),
    );
    put("workload", "load".to_string());
    put("weights", "nominal".to_string());
    put(
        "discovery",
        if s.section("roster").flag("pushed") {
            "pushed"
        } else {
            "on_request"
        }
        .to_string(),
    );

    let kinds = s.sections("kind");
    let of = |field: &str| {
        kinds
            .iter()
            .map(|k| k.text(field))
            .collect::<Vec<_>>()
            .join(",")
    };
    put("kinds", of("name"));
    let memory = kinds
        .iter()
        .map(|k| k.number("memory_mb").to_string())
        .collect::<Vec<_>>();
    put("extra.memory-mb-by-kind", memory.join(","));

    let types = s.sections("event_type");
    put("classes.count", types.len().to_string());
    for (i, t) in types.iter().enumerate() {
        let mut own = |key: &str, value: String| put(&format!("classes.{i}.{key}"), value);
        own("name", t.text("name"));
        own("aim-ms", t.number("target_time_ms").to_string());
        own("deadline-ms", t.number("max_age_ms").to_string());
        own("aim-stretch", t.number("target_stretch").to_string());
        own("worth", t.number("benefit").to_string());
        own("late-worth", t.number("late_benefit").to_string());
        own("streaming", t.flag("streaming").to_string());
        let semantics = match t.choice("redelivery").as_str() {
            "REDELIVERABLE" => "read_like",
            "KEYED" => "idempotency_key",
            _ => "non_idempotent",
        };
        own("semantics", semantics.to_string());
        if semantics == "idempotency_key" {
            own("group", t.choice("group").to_lowercase());
            own("window-ms", t.number("window_ms").to_string());
        }
    }
    let tenants = s.sections("tenant");
    put("tenants.count", tenants.len().to_string());
    for (i, t) in tenants.iter().enumerate() {
        put(&format!("tenants.{i}.name"), t.text("name"));
        put(
            &format!("tenants.{i}.quota-per-s"),
            t.number("quota_per_s").to_string(),
        );
    }

    let limits = s.section("limits");
    let flags = [
        ("cancel", "cancel"),
        ("may-duplicate", "two_at_once"),
        ("probes", "probes"),
        ("retry-after", "come_back"),
    ];
    for (key, field) in flags {
        put(&format!("allowed.{key}"), limits.flag(field).to_string());
    }
    let numbers = [
        ("max-attempts", "max_launches"),
        ("max-retry-after-ms", "most_come_back_ms"),
        ("connect-timeout-ms", "connect_time_out_ms"),
        ("keepalive-ms", "keep_alive_ms"),
        ("streams-per-conn", "streams"),
        ("most-held", "most_held"),
    ];
    for (key, field) in numbers {
        put(&format!("allowed.{key}"), limits.number(field).to_string());
    }
    put(
        "allowed.peers",
        gateways[me].has("peer_address").to_string(),
    );

    let rules = s.section("rules");
    let numbers = [
        ("drain-grace-ms", "drain_grace_ms"),
        ("cold-from", "cold_from"),
        ("cold-ms", "cold_ms"),
        ("tip-multiple", "fall_multiple"),
        ("overload-for-ms", "fall_ms"),
    ];
    for (key, field) in numbers {
        put(&format!("rules.{key}"), rules.number(field).to_string());
    }
    let loading = s.section("loading");
    put("extra.orders", loading.flag("orders").to_string());
    put(
        "extra.if-cold",
        if loading.flag("miss") { "miss" } else { "load" }.to_string(),
    );
    put("extra.tells-warm", "true".to_string());
    put("extra.says-company", "true".to_string());
    let numbers = [
        ("stays-loaded-ms", "stays_loaded_ms"),
        ("order-timeout-ms", "order_time_out_ms"),
        ("load-window-ms", "window_ms"),
        ("free-loads", "free"),
        ("load-share", "share"),
    ];
    for (key, field) in numbers {
        put(&format!("extra.{key}"), loading.number(field).to_string());
    }
    let reports = s.section("reports");
    let told = [("rif", "in_flight"), ("busy", "busy")];
    let names: Vec<&str> = told
        .iter()
        .filter(|n| reports.flag(n.1))
        .map(|n| n.0)
        .collect();
    put("reporting.names", names.join(","));
    let how = match (names.is_empty(), reports.flag("with_answers")) {
        (true, _) => "none",
        (_, true) => "answers",
        _ => "probe",
    };
    put("reporting.how", how.to_string());
    map
}
