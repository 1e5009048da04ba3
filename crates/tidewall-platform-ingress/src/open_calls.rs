//! Calls of clients that have no reply yet, found by tag, by request id and by the gateway's reply handle. Those of one
//! connection are chained, so that its end costs no search.
use crate::connections::ClientConnections;
use rustc_hash::FxHashMap;
use slab::Slab;
use tidewall_gateway::ingress::ReplyHandle;
use tidewall_net::Conn;

/// A call of a client.
pub(crate) struct OpenCall {
    /// Where its reply is written.
    pub(crate) conn: Conn,
    /// Names it on its connection.
    pub(crate) tag: u64,
    /// The client's id for the request.
    request_id: u64,
    /// The gateway's slot of the request, once it is admitted.
    pub(crate) request_slot: Option<usize>,
    /// Neighbours in the chain of the connection's calls.
    previous: Option<u32>,
    next: Option<u32>,
    /// Tells the calls apart that have the same key one after the other.
    generation: u32,
}

/// All open calls.
pub(crate) struct OpenCalls {
    /// The ingress' index at the gateway, for reply handles.
    ingress: usize,
    calls: Slab<OpenCall>,
    /// That of the call that was added last.
    generation: u32,
    // Looked up only: iterating over a hash map would make runs differ.
    by_tag: FxHashMap<(Conn, u64), u32>,
    by_request_id: FxHashMap<u64, u32>,
}

impl OpenCalls {
    /// No calls, for the ingress of this index.
    pub(crate) fn new(ingress: usize) -> OpenCalls {
        OpenCalls {
            ingress,
            calls: Slab::new(),
            generation: 0,
            by_tag: FxHashMap::default(),
            by_request_id: FxHashMap::default(),
        }
    }

    /// Adds a call at the head of its connection's chain, and gives back its key.
    pub(crate) fn insert(
        &mut self,
        connections: &mut ClientConnections,
        conn: Conn,
        tag: u64,
        request_id: u64,
    ) -> u32 {
        let connection = connections.slot(conn);
        let next = connection.first_call;
        self.generation = self.generation.wrapping_add(1);
        let key = self.calls.insert(OpenCall {
            conn,
            tag,
            request_id,
            request_slot: None,
            previous: None,
            next,
            generation: self.generation,
        }) as u32;
        if let Some(next) = next {
            self.calls[next as usize].previous = Some(key);
        }
        connection.first_call = Some(key);
        connection.open_calls += 1;
        self.by_tag.insert((conn, tag), key);
        self.by_request_id.insert(request_id, key);
        key
    }

    /// Removes the call of a key that is in use.
    pub(crate) fn remove(&mut self, connections: &mut ClientConnections, key: u32) -> OpenCall {
        let call = self.calls.remove(key as usize);
        self.by_tag.remove(&(call.conn, call.tag));
        self.by_request_id.remove(&call.request_id);
        let connection = connections.slot(call.conn);
        match call.previous {
            Some(previous) => self.calls[previous as usize].next = call.next,
            None => connection.first_call = call.next,
        }
        if let Some(next) = call.next {
            self.calls[next as usize].previous = call.previous;
        }
        connection.open_calls -= 1;
        call
    }

    /// Notes the gateway's slot of a call that is admitted.
    pub(crate) fn admitted(&mut self, key: u32, request_slot: usize) {
        self.calls[key as usize].request_slot = Some(request_slot);
    }

    /// The handle by which the gateway replies to a call: its key, and its generation above that.
    pub(crate) fn reply_handle(&self, key: u32) -> ReplyHandle {
        let generation = self.calls[key as usize].generation;
        ReplyHandle {
            ingress: self.ingress,
            key: u64::from(key) | u64::from(generation) << 32,
        }
    }

    /// The key of a reply handle; `None` where its call is gone.
    pub(crate) fn find_handle(&self, handle: ReplyHandle) -> Option<u32> {
        let (key, generation) = (handle.key as u32, (handle.key >> 32) as u32);
        let call = self.calls.get(key as usize)?;
        (call.generation == generation).then_some(key)
    }

    /// The key of the call of this tag on this connection.
    pub(crate) fn find_tag(&self, conn: Conn, tag: u64) -> Option<u32> {
        self.by_tag.get(&(conn, tag)).copied()
    }

    /// Whether a call of this request id is open.
    pub(crate) fn contains_request(&self, request_id: u64) -> bool {
        self.by_request_id.contains_key(&request_id)
    }
}
