//! The table of open requests of an ingress's clients.
#![allow(clippy::unwrap_used)]
use tidewall_gateway::client_requests::ClientRequests;
use tidewall_gateway::ingress::NO_REQUEST_SLOT;
use tidewall_net::Conn;

/// Removes all requests of a connection, as an ingress does when the connection ends, and returns their
/// ids.
fn remove_all(requests: &mut ClientRequests, conn: Conn) -> Vec<u64> {
    let mut ids = Vec::new();
    while let Some(key) = requests.latest(conn) {
        ids.push(requests.remove(key).id);
    }
    ids
}

#[test]
fn open_requests_of_a_connection_are_latest_first_after_any_removal() {
    let (first, second) = (Conn::new(0, 1), Conn::new(1, 1));
    for removed in 0..4_u64 {
        let mut requests = ClientRequests::new(3);
        for id in 0..4 {
            requests.add(first, id, 10 + id);
            requests.add(second, id, 20 + id);
        }
        let key = requests.find(first, removed).expect("it is open");
        let request = requests.remove(key);
        assert_eq!((request.id, request.request_id), (removed, 10 + removed));
        assert_eq!(request.slot, NO_REQUEST_SLOT);
        assert_eq!(requests.find(first, removed), None);
        assert_eq!((requests.open(first), requests.open(second)), (3, 4));
        let rest: Vec<u64> = (0..4).rev().filter(|id| *id != removed).collect();
        assert_eq!(remove_all(&mut requests, first), rest);
        assert_eq!(remove_all(&mut requests, second), [3, 2, 1, 0]);
        assert_eq!((requests.open(first), requests.open(second)), (0, 0));
    }
}

#[test]
fn a_reply_handle_does_not_match_the_next_request_with_its_key() {
    let conn = Conn::new(5, 2);
    let mut requests = ClientRequests::new(3);
    let key = requests.add(conn, 7, 7);
    requests.set_slot(key, 42);
    let handle = requests.handle(key);
    assert_eq!(handle.ingress, 3);
    assert_eq!(requests.get(handle).map(|request| request.slot), Some(42));
    requests.remove(key);
    assert_eq!(requests.add(conn, 8, 8), key, "the key is reused");
    assert!(requests.get(handle).is_none());
    assert_eq!(requests.key(handle), None);
    let next = requests.handle(key);
    assert_eq!(requests.get(next).map(|request| request.id), Some(8));
}
