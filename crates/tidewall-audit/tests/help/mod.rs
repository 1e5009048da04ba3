//! Builds records row by row.
use tidewall_audit::rows::{Group, Kind, Row, Rules, Type};
use tidewall_audit::Audit;

/// Request types: 0 redeliverable, 1 keyed by zone for 4 s, 2 at-most-once, 3 keyed among all workers for 1 s.
/// Workers 0 and 1 are in zone 0, worker 2 is in zone 1.
pub fn audit() -> Audit {
    audit_of(false)
}

/// The same rules; with `pair`, gateway 0 is a failover pair behind one address.
pub fn audit_of(pair: bool) -> Audit {
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
pub fn acted(t: u64, gw: usize, life: u64, epoch: u64, wk: usize, on: bool) -> Row {
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

pub fn asked(t: u64, evt: u64, typ: usize) -> Row {
    Row {
        typ,
        ..row(t, Kind::Asked, evt)
    }
}

pub fn at(t: u64, k: Kind, evt: u64, wk: usize) -> Row {
    Row {
        wk,
        ..row(t, k, evt)
    }
}

pub fn proven(t: u64, evt: u64, wk: usize) -> Row {
    Row {
        proven: true,
        ..at(t, Kind::Ended, evt, wk)
    }
}

pub fn deferred(t: u64, evt: u64) -> Row {
    Row {
        deferred: true,
        ..row(t, Kind::Answered, evt)
    }
}
