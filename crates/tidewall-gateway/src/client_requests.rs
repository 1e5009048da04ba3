//! The open requests of an ingress's clients, with the connection that each arrived on.
use crate::ingress::{ReplyHandle, NO_REQUEST_SLOT};
use rustc_hash::FxHashMap;
use slab::Slab;
use tidewall_net::Conn;

/// A client's open request.
pub struct ClientRequest {
    /// The connection on which the request arrived.
    pub conn: Conn,
    /// The client's id for the request, unique among the open requests of its connection.
    pub id: u64,
    /// The request's id in logs and for workers; equal to `id` if the protocol has no other.
    pub request_id: u64,
    /// The gateway's slot once the request is admitted; `NO_REQUEST_SLOT` before.
    pub slot: usize,
    /// Neighbours in the linked list of the connection's requests.
    previous: Option<u32>,
    next: Option<u32>,
    /// Distinguishes successive requests with the same key.
    generation: u32,
}

/// The open requests of one connection.
#[derive(Clone, Copy, Default)]
struct ConnectionRequests {
    first: Option<u32>,
    open: u32,
}

/// The open requests of an ingress's clients. The requests of one connection form a linked list, so that
/// the end of a connection needs no search.
pub struct ClientRequests {
    ingress: usize,
    requests: Slab<ClientRequest>,
    generation: u32,
    /// By connection index. A connection's requests are removed before its index is reused.
    connections: Vec<ConnectionRequests>,
    /// Used for look-ups only and never iterated, because its order is undefined.
    by_id: FxHashMap<(Conn, u64), u32>,
}

impl ClientRequests {
    /// Creates an empty table for the ingress with this index.
    pub fn new(ingress: usize) -> ClientRequests {
        ClientRequests {
            ingress,
            requests: Slab::new(),
            generation: 0,
            connections: Vec::new(),
            by_id: FxHashMap::default(),
        }
    }

    fn connection(&mut self, conn: Conn) -> &mut ConnectionRequests {
        if self.connections.len() <= conn.index() {
            self.connections
                .resize(conn.index() + 1, ConnectionRequests::default());
        }
        &mut self.connections[conn.index()]
    }

    /// Adds a request and returns its key. The connection must have no other open request with this id.
    pub fn add(&mut self, conn: Conn, id: u64, request_id: u64) -> u32 {
        let next = self.connection(conn).first;
        self.generation = self.generation.wrapping_add(1);
        let request = ClientRequest {
            conn,
            id,
            request_id,
            slot: NO_REQUEST_SLOT,
            previous: None,
            next,
            generation: self.generation,
        };
        let key = self.requests.insert(request) as u32;
        if let Some(next) = next {
            self.requests[next as usize].previous = Some(key);
        }
        let connection = self.connection(conn);
        connection.first = Some(key);
        connection.open += 1;
        self.by_id.insert((conn, id), key);
        key
    }

    /// Records the slot to which the gateway admitted the request.
    pub fn set_slot(&mut self, key: u32, slot: usize) {
        self.requests[key as usize].slot = slot;
    }

    /// Returns the reply handle that identifies a request to the gateway: its key in the lower 32 bits, its
    /// generation in the upper 32.
    pub fn handle(&self, key: u32) -> ReplyHandle {
        let generation = self.requests[key as usize].generation;
        ReplyHandle {
            ingress: self.ingress,
            key: u64::from(key) | u64::from(generation) << 32,
        }
    }

    /// Returns the key that a reply handle refers to; none if the request is no longer open.
    pub fn key(&self, handle: ReplyHandle) -> Option<u32> {
        let (key, generation) = (handle.key as u32, (handle.key >> 32) as u32);
        self.requests
            .get(key as usize)
            .filter(|request| request.generation == generation)
            .map(|_| key)
    }

    /// Returns the request that a reply handle refers to; none if it is no longer open.
    pub fn get(&self, handle: ReplyHandle) -> Option<&ClientRequest> {
        self.key(handle).map(|key| &self.requests[key as usize])
    }

    /// Returns the key of a connection's open request with this id.
    pub fn find(&self, conn: Conn, id: u64) -> Option<u32> {
        self.by_id.get(&(conn, id)).copied()
    }

    /// Returns the client's id and the gateway's slot of the request with this key, which must be in use.
    pub fn id_and_slot(&self, key: u32) -> (u64, usize) {
        let request = &self.requests[key as usize];
        (request.id, request.slot)
    }

    /// Returns the number of open requests of a connection.
    pub fn open(&self, conn: Conn) -> u32 {
        self.connections
            .get(conn.index())
            .map_or(0, |connection| connection.open)
    }

    /// Removes a request from the table and returns it.
    pub fn remove(&mut self, key: u32) -> ClientRequest {
        let request = self.requests.remove(key as usize);
        self.by_id.remove(&(request.conn, request.id));
        match request.previous {
            Some(previous) => self.requests[previous as usize].next = request.next,
            None => self.connection(request.conn).first = request.next,
        }
        if let Some(next) = request.next {
            self.requests[next as usize].previous = request.previous;
        }
        self.connection(request.conn).open -= 1;
        request
    }

    /// Returns the key of the latest open request of a connection; none if it has none.
    pub fn latest(&self, conn: Conn) -> Option<u32> {
        self.connections.get(conn.index())?.first
    }
}
