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
pub fn row(time: u64, kind: Kind, request_id: u64) -> Row {
    Row {
        time,
        kind,
        request_id,
        left: if kind == Kind::Asked { 30_000 } else { 0 },
        ..Row::default()
    }
}

/// An effect of task 4, sent by an incarnation of a gateway under an epoch.
pub fn task_effect(
    time: u64,
    gateway: usize,
    incarnation: u64,
    epoch: u64,
    worker: usize,
    on: bool,
) -> Row {
    Row {
        time,
        kind: Kind::Acted,
        gateway,
        worker,
        task: 4,
        epoch,
        incarnation,
        on,
        ..Row::default()
    }
}

/// A client sends a request of a type.
pub fn request(time: u64, request_id: u64, request_type: usize) -> Row {
    Row {
        request_type,
        ..row(time, Kind::Asked, request_id)
    }
}

pub fn row_at_worker(time: u64, kind: Kind, request_id: u64, worker: usize) -> Row {
    Row {
        worker,
        ..row(time, kind, request_id)
    }
}

/// The end of an attempt at a worker, with the proof that it was not executed.
pub fn not_executed(time: u64, request_id: u64, worker: usize) -> Row {
    Row {
        proven: true,
        ..row_at_worker(time, Kind::Ended, request_id, worker)
    }
}

/// An answer that defers the request.
pub fn rejected(time: u64, request_id: u64) -> Row {
    Row {
        deferred: true,
        ..row(time, Kind::Answered, request_id)
    }
}
