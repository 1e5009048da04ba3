//! Entries of the endpoint list that leave something out.
#![allow(clippy::unwrap_used, missing_docs)]
use std::net::SocketAddr;
use tidewall::interface::{Endpoint, EndpointState};
use tidewall::settings::Settings;
use tidewall_gateway::endpoints::EndpointRecord;
use tidewall_gateway::worker_pool::{GatewayLimits, WorkerPool};
use tidewall_net::memory::{self, Memory};

fn pool() -> WorkerPool<Memory> {
    let limits = GatewayLimits {
        max_requests: 100,
        connect_timeout: 2_500,
        streams_per_connection: 32,
        connections_per_worker: 4,
        max_worker_connections: 100,
        spread_threshold: 1,
        keep_alive: 300_000,
        health_check_timeout: 2_500,
        load_request_timeout: 40_000,
        silence_timeout: 30_000,
    };
    let settings = [("zones", "a,b,c"), ("kinds", "small,large")];
    let settings: Settings = settings
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    WorkerPool::new(Memory::join(&memory::world()), &settings, limits)
}

/// A complete entry.
fn listed() -> EndpointRecord {
    EndpointRecord {
        name: "s-1".to_string(),
        address: "127.0.0.1:801".parse().unwrap(),
        zone: "b".to_string(),
        machine: "large".to_string(),
        cell: 3,
        state: EndpointState::Active,
        rating: 4.0,
        incarnation: 7,
        age: 500,
    }
}

/// An entry that consists of name and state, as a removed worker may have.
fn name_and_state() -> EndpointRecord {
    EndpointRecord {
        name: "s-1".to_string(),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        zone: String::new(),
        machine: String::new(),
        cell: 0,
        state: EndpointState::Removed,
        rating: 1.0,
        incarnation: 0,
        age: 0,
    }
}

// Failure: an entry without a cell puts a removed worker into cell 0, and a request whose idempotency key holds
// within a cell and that is out at this worker is sent again to workers of cell 0.
#[test]
fn a_removed_worker_keeps_what_is_known_of_it() {
    let mut pool = pool();
    let (worker, known) = pool.register_endpoint(&listed());
    let (same, removed) = pool.register_endpoint(&name_and_state());
    let expected = Endpoint {
        state: EndpointState::Removed,
        ..known
    };
    assert_eq!((same, removed), (worker, expected));
    assert_eq!((known.cell, known.zone, known.kind), (3, 1, 1));
}

#[test]
fn a_worker_that_is_listed_again_has_what_its_entry_says() {
    let mut pool = pool();
    pool.register_endpoint(&listed());
    pool.register_endpoint(&name_and_state());
    let again = EndpointRecord {
        cell: 5,
        zone: "c".to_string(),
        ..listed()
    };
    let (_, endpoint) = pool.register_endpoint(&again);
    assert_eq!((endpoint.cell, endpoint.zone), (5, 2));
    assert_eq!(endpoint.state, EndpointState::Active);
}

/// A worker that a change of the list adds at the address of [`listed`].
fn successor() -> EndpointRecord {
    EndpointRecord {
        name: "s-2".to_string(),
        cell: 4,
        ..listed()
    }
}

// Failure: a new worker comes up at the address of one that has gone, before the list tells that it has gone. Work
// for the old one, with its cell and its loaded functions, goes to the new one.
#[test]
fn a_worker_is_removed_when_a_new_one_has_its_address() {
    let mut pool = pool();
    let (former, known) = pool.register_endpoint(&listed());
    let other = EndpointRecord {
        name: "s-3".to_string(),
        address: "127.0.0.1:803".parse().unwrap(),
        ..listed()
    };
    pool.register_endpoint(&other);
    let added = pool.register_endpoint(&successor());
    let removed = pool.remove_former_owners(&[added.0], &[added]);
    let expected = Endpoint {
        state: EndpointState::Removed,
        ..known
    };
    assert_eq!(removed, [(former, expected)]);
    assert_eq!(pool.remove_former_owners(&[added.0], &[added]), []);
}

// Workers that one change names stay as it tells, whatever their addresses are.
#[test]
fn workers_that_one_change_adds_at_one_address_both_stay() {
    let mut pool = pool();
    let changed = [
        pool.register_endpoint(&listed()),
        pool.register_endpoint(&successor()),
    ];
    let added = changed.map(|(index, _)| index);
    assert_eq!(pool.remove_former_owners(&added, &changed), []);
}
