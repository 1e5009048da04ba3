//! Calls of clients that have no reply yet, indexed by tag, by request id and by the gateway's
//! reply handle.
use crate::connections::ClientConnections;
use rustc_hash::FxHashMap;
use tidewall_gateway::client_requests::{ClientRequest, ClientRequests};
use tidewall_gateway::ingress::ReplyHandle;
use tidewall_net::Conn;

/// All open calls. The id of a call on its connection is its tag.
pub(crate) struct OpenCalls {
    calls: ClientRequests,
    // Only used for lookups: iterating over a hash map would make runs nondeterministic.
    by_request_id: FxHashMap<u64, u32>,
}

impl OpenCalls {
    /// Creates an empty set for the ingress with this index.
    pub(crate) fn new(ingress: usize) -> OpenCalls {
        OpenCalls {
            calls: ClientRequests::new(ingress),
            by_request_id: FxHashMap::default(),
        }
    }

    /// Adds a call and returns its key.
    pub(crate) fn insert(
        &mut self,
        connections: &mut ClientConnections,
        conn: Conn,
        tag: u64,
        request_id: u64,
    ) -> u32 {
        let key = self.calls.add(conn, tag, request_id);
        connections.slot(conn).open_calls = self.calls.open(conn);
        self.by_request_id.insert(request_id, key);
        key
    }

    /// Removes the call with this key, which must be in use.
    pub(crate) fn remove(
        &mut self,
        connections: &mut ClientConnections,
        key: u32,
    ) -> ClientRequest {
        let call = self.calls.remove(key);
        connections.slot(call.conn).open_calls = self.calls.open(call.conn);
        self.by_request_id.remove(&call.request_id);
        call
    }

    /// Records the gateway's slot for an admitted call.
    pub(crate) fn admitted(&mut self, key: u32, request_slot: usize) {
        self.calls.set_slot(key, request_slot);
    }

    /// Returns the handle that the gateway replies to a call with.
    pub(crate) fn reply_handle(&self, key: u32) -> ReplyHandle {
        self.calls.handle(key)
    }

    /// Returns the key of the call with this reply handle; `None` if the call is gone.
    pub(crate) fn find_handle(&self, handle: ReplyHandle) -> Option<u32> {
        self.calls.key(handle)
    }

    /// Returns the key of the call with this tag on this connection.
    pub(crate) fn find_tag(&self, conn: Conn, tag: u64) -> Option<u32> {
        self.calls.find(conn, tag)
    }

    /// Returns the key of the connection's most recent open call.
    pub(crate) fn latest(&self, conn: Conn) -> Option<u32> {
        self.calls.latest(conn)
    }

    /// Returns the tag and the gateway's slot of the call with this key, which must be in use.
    pub(crate) fn tag_and_slot(&self, key: u32) -> (u64, usize) {
        self.calls.id_and_slot(key)
    }

    /// Whether a call with this request id is open.
    pub(crate) fn contains_request(&self, request_id: u64) -> bool {
        self.by_request_id.contains_key(&request_id)
    }
}
