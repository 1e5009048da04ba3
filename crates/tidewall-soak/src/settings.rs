//! The configuration of the gateways in the soak.
use crate::plan::{DrainAnswers, Plan};
use std::net::SocketAddr;

/// The text of a gateway's configuration file; `endpoint_list` is its initial endpoint list.
pub fn config(
    gateway: usize,
    plan: &Plan,
    listen: SocketAddr,
    discovery_server: SocketAddr,
    endpoint_list: &str,
) -> String {
    let deadline = plan.patience_ms.end;
    let objective = deadline / 3;
    let class = |name: &str, semantics: &str| {
        format!(
            r#"{{"name":"{name}","aim-ms":{objective}.0,"deadline-ms":{deadline}.0,"worth":1.0,"late-worth":0.1,{semantics}}}"#
        )
    };
    let classes = [
        class("check", r#""semantics":"read_like""#),
        class(
            "record",
            r#""semantics":"idempotency_key","group":"zone","window-ms":4000.0"#,
        ),
        class("issue", r#""semantics":"non_idempotent""#),
    ]
    .join(",");
    let gateways = plan.gateways;
    format!(
        r#"{{"name":"n{gateway}","listen":"{listen}","seed":"{seed:x}","limits":{{"memory_mb":64,"sockets":512}},"board":"{discovery_server}",
 "known":{{"rev":1,"notices":[{endpoint_list}]}},
 "settings":{{"me":{gateway},"siblings":{gateways},"tick-ms":1.0,"zones":["za","zb"],"kinds":["k"],"discovery":"pushed",
 "allowed":{{"connect-timeout-ms":250.0,"keepalive-ms":30000.0,"max-attempts":3,"most-held":1000,"streams-per-conn":32,
  "cancel":true,"may-duplicate":true,"retry-after":true,"max-retry-after-ms":500.0,"probes":{probes}}},
 "deductions":{{"connection":0.01}},"rules":{{"drain-grace-ms":2000.0,"cold-ms":8000.0,"cold-from":0.3,"tip-multiple":2.5,
  "overload-for-ms":1500.0}},"reporting":{{"how":"none","names":[]}},"classes":[{classes}],
 "extra":{{"orders":true,"order-timeout-ms":4000.0,"if-cold":"miss","stays-loaded-ms":10000.0,"load-window-ms":10000.0,
  "free-loads":4,"load-share":0.2}}}}}}"#,
        probes = plan.drain_answers != DrainAnswers::QueryRefusedOnly,
        seed = plan.seed * 100 + gateway as u64 + 1
    )
}
