//! Builds records row by row.
use tidewall_audit::rows::{Group, Kind, Row, Rules, Type};
use tidewall_audit::Audit;

/// Request types: 0 redeliverable, 1 keyed by zone for 4 s, 2 at-most-once, 3 keyed among all workers for 1 s.
/// Workers 0 and 1 are in zone 0, worker 2 is in zone 1.
pub fn audit_without_pair() -> Audit {
    audit_with(false)
}

/// The same rules; with `pair`, gateway 0 is a failover pair behind one address.
pub fn audit_with(pair: bool) -> Audit {
    Audit::new(Rules {
        types: vec![
            Type::Redeliverable,
            Type::Keyed(Group::Zone, 40_000),
            Type::AtMostOnce,
            Type::Keyed(Group::All, 10_000),
        ],
        zones: vec![0, 0, 1],
        cells: vec![0, 1, 2],
        two_at_once: false,
        drain_grace: 20_000,
        fall_multiple: 2.5,
        fall: 15_000,
        load_window: 100_000,
        load_free: 1.0,
        load_share: 0.5,
        pair,
        wild_clocks: false,
        keepers: vec![0, 1, 2],
        term: 20_000,
    })
}

/// A row of gateway 0 and worker 0; a request has a timeout of 3 s.
pub fn row(t: u64, k: Kind, evt: u64) -> Row {
    Row {
        t,
        k,
        evt,
        left: if k == Kind::Asked { 30_000 } else { 0 },
        ..Row::default()
    }
}

/// An effect of task 4, sent by an incarnation of a gateway under an epoch.
pub fn task_effect(t: u64, gw: usize, life: u64, epoch: u64, wk: usize, on: bool) -> Row {
    Row {
        t,
        k: Kind::Acted,
        gw,
        wk,
        task: 4,
        epoch,
        life,
        on,
        ..Row::default()
    }
}

/// A client sends a request of a type.
pub fn request(t: u64, evt: u64, typ: usize) -> Row {
    Row {
        typ,
        ..row(t, Kind::Asked, evt)
    }
}

pub fn row_at_worker(t: u64, k: Kind, evt: u64, wk: usize) -> Row {
    Row {
        wk,
        ..row(t, k, evt)
    }
}

/// The end of an attempt at a worker, with the proof that it was not executed.
pub fn not_executed(t: u64, evt: u64, wk: usize) -> Row {
    Row {
        proven: true,
        ..row_at_worker(t, Kind::Ended, evt, wk)
    }
}

/// An answer that defers the request.
pub fn rejected(t: u64, evt: u64) -> Row {
    Row {
        deferred: true,
        ..row(t, Kind::Answered, evt)
    }
}
