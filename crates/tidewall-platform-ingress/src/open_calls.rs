//! Calls of clients that have no reply yet, found by tag, by request id and by the gateway's reply handle.
use crate::connections::ClientConnections;
use rustc_hash::FxHashMap;
use tidewall_gateway::client_requests::{ClientRequest, ClientRequests};
use tidewall_gateway::ingress::ReplyHandle;
use tidewall_net::Conn;

/// All open calls. A call's id among its connection's is its tag.
pub(crate) struct OpenCalls {
    calls: ClientRequests,
    // Looked up only: iterating over a hash map would make runs differ.
    by_request_id: FxHashMap<u64, u32>,
}

impl OpenCalls {
    /// No calls, for the ingress of this index.
    pub(crate) fn new(ingress: usize) -> OpenCalls {
        OpenCalls {
            calls: ClientRequests::new(ingress),
            by_request_id: FxHashMap::default(),
        }
    }

    /// Adds a call, and gives back its key.
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

    /// Removes the call of a key that is in use.
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

    /// Notes the gateway's slot of a call that is admitted.
    pub(crate) fn admitted(&mut self, key: u32, request_slot: usize) {
        self.calls.set_slot(key, request_slot);
    }

    /// The handle by which the gateway replies to a call.
    pub(crate) fn reply_handle(&self, key: u32) -> ReplyHandle {
        self.calls.handle(key)
    }

    /// The key of a reply handle; `None` where its call is gone.
    pub(crate) fn find_handle(&self, handle: ReplyHandle) -> Option<u32> {
        self.calls.key(handle)
    }

    /// The key of the call of this tag on this connection.
    pub(crate) fn find_tag(&self, conn: Conn, tag: u64) -> Option<u32> {
        self.calls.find(conn, tag)
    }

    /// The key of the call that came last of those that are open on a connection.
    pub(crate) fn latest(&self, conn: Conn) -> Option<u32> {
        self.calls.latest(conn)
    }

    /// Whether a call of this request id is open.
    pub(crate) fn contains_request(&self, request_id: u64) -> bool {
        self.by_request_id.contains_key(&request_id)
    }
}
