//! Converts settings to the scheduler's map of names to values. The benchmark's protocol defines the names;
//! only this module and the benchmark's adapter write them.
use crate::Section;
use std::collections::BTreeMap;

/// Settings that are copied unchanged: the scheduler's name and the schema's field name.
type Names = [(&'static str, &'static str)];

const LIMIT_FLAGS: &Names = &[
    ("cancel", "cancel"),
    ("may-duplicate", "two_at_once"),
    ("probes", "probes"),
    ("retry-after", "come_back"),
];

const LIMIT_NUMBERS: &Names = &[
    ("max-attempts", "max_launches"),
    ("max-retry-after-ms", "most_come_back_ms"),
    ("connect-timeout-ms", "connect_time_out_ms"),
    ("keepalive-ms", "keep_alive_ms"),
    ("streams-per-conn", "streams"),
    ("most-held", "most_held"),
];

const RULE_NUMBERS: &Names = &[
    ("drain-grace-ms", "drain_grace_ms"),
    ("cold-from", "cold_from"),
    ("cold-ms", "cold_ms"),
    ("tip-multiple", "fall_multiple"),
    ("overload-for-ms", "fall_ms"),
];

const LOADING_NUMBERS: &Names = &[
    ("stays-loaded-ms", "stays_loaded_ms"),
    ("order-timeout-ms", "order_time_out_ms"),
    ("load-window-ms", "window_ms"),
    ("free-loads", "free"),
    ("load-share", "share"),
];

const CLASS_NUMBERS: &Names = &[
    ("aim-ms", "target_time_ms"),
    ("deadline-ms", "max_age_ms"),
    ("aim-stretch", "target_stretch"),
    ("worth", "benefit"),
    ("late-worth", "late_benefit"),
];

/// The scheduler's settings for the gateway with this index in the settings' list.
pub fn scheduler_settings(settings: &Section, gateway_index: usize) -> BTreeMap<String, String> {
    let mut map = SettingsMap::default();
    map.put_site(settings, gateway_index);
    map.put_worker_kinds(&settings.sections("kind"));
    map.put_classes(&settings.sections("event_type"));
    map.put_tenants(&settings.sections("tenant"));
    let limits = settings.section("limits");
    map.put_flags("allowed", &limits, LIMIT_FLAGS);
    map.put_numbers("allowed", &limits, LIMIT_NUMBERS);
    map.put_numbers("rules", &settings.section("rules"), RULE_NUMBERS);
    map.put_loading(&settings.section("loading"));
    map.put_reports(&settings.section("reports"));
    map.0
}

#[derive(Default)]
struct SettingsMap(BTreeMap<String, String>);

impl SettingsMap {
    fn put(&mut self, name: &str, value: impl ToString) {
        self.0.insert(name.to_string(), value.to_string());
    }

    fn put_flags(&mut self, prefix: &str, section: &Section, names: &Names) {
        for (name, field) in names {
            self.put(&format!("{prefix}.{name}"), section.flag(field));
        }
    }

    fn put_numbers(&mut self, prefix: &str, section: &Section, names: &Names) {
        for (name, field) in names {
            self.put(&format!("{prefix}.{name}"), section.number(field));
        }
    }

    fn put_site(&mut self, settings: &Section, gateway_index: usize) {
        let gateways = settings.sections("gateway");
        let gateway = &gateways[gateway_index];
        self.put("siblings", gateways.len());
        self.put("me", gateway_index);
        self.put("locality", gateway.text("zone"));
        self.put("zones", settings.strings("zone").join(","));
        self.put("tick-ms", settings.number("tick_ms"));
        self.put("over-share-worth", settings.number("over_share_benefit"));
        self.put("workload", "load");
        self.put("weights", "nominal");
        let pushed = settings.section("roster").flag("pushed");
        self.put("discovery", if pushed { "pushed" } else { "on_request" });
        self.put("allowed.peers", gateway.has("peer_address"));
    }

    fn put_worker_kinds(&mut self, kinds: &[Section]) {
        let names: Vec<String> = kinds.iter().map(|kind| kind.text("name")).collect();
        self.put("kinds", names.join(","));
        let memory = kinds
            .iter()
            .map(|kind| kind.number("memory_mb").to_string());
        let memory: Vec<String> = memory.collect();
        self.put("extra.memory-mb-by-kind", memory.join(","));
    }

    fn put_classes(&mut self, classes: &[Section]) {
        self.put("classes.count", classes.len());
        for (i, class) in classes.iter().enumerate() {
            let prefix = format!("classes.{i}");
            self.put(&format!("{prefix}.name"), class.text("name"));
            self.put_numbers(&prefix, class, CLASS_NUMBERS);
            self.put_flags(&prefix, class, &[("streaming", "streaming")]);
            self.put_retry_safety(&prefix, class);
        }
    }

    fn put_retry_safety(&mut self, prefix: &str, class: &Section) {
        let semantics = match class.enum_value("redelivery").as_str() {
            "REDELIVERABLE" => "read_like",
            "KEYED" => "idempotency_key",
            _ => "non_idempotent",
        };
        self.put(&format!("{prefix}.semantics"), semantics);
        if semantics == "idempotency_key" {
            let scope = class.enum_value("group").to_lowercase();
            self.put(&format!("{prefix}.group"), scope);
            self.put_numbers(prefix, class, &[("window-ms", "window_ms")]);
        }
    }

    fn put_tenants(&mut self, tenants: &[Section]) {
        self.put("tenants.count", tenants.len());
        for (i, tenant) in tenants.iter().enumerate() {
            let prefix = format!("tenants.{i}");
            self.put(&format!("{prefix}.name"), tenant.text("name"));
            self.put_numbers(&prefix, tenant, &[("quota-per-s", "quota_per_s")]);
        }
    }

    fn put_loading(&mut self, loading: &Section) {
        self.put_flags("extra", loading, &[("orders", "orders")]);
        self.put_numbers("extra", loading, LOADING_NUMBERS);
        let miss = loading.flag("miss");
        self.put("extra.if-cold", if miss { "miss" } else { "load" });
        self.put("extra.tells-warm", true);
        self.put("extra.says-company", true);
    }

    fn put_reports(&mut self, reports: &Section) {
        let fields = [("rif", "in_flight"), ("busy", "busy")];
        let reported = fields.iter().filter(|field| reports.flag(field.1));
        let names: Vec<&str> = reported.map(|field| field.0).collect();
        let how = match (names.is_empty(), reports.flag("with_answers")) {
            (true, _) => "none",
            (_, true) => "answers",
            _ => "probe",
        };
        self.put("reporting.names", names.join(","));
        self.put("reporting.how", how);
    }
}
