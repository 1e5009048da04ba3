//! The mapping from connections to the parts of the gateway that own them.
use crate::Gateway;
use tidewall_net::{Conn, Net};

/// The owner of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Owner {
    /// No owner: the connection is unknown, or its events are ignored.
    Nobody,
    /// The ingress with this index.
    Ingress(usize),
    /// The worker connection with this key.
    Worker(usize),
    /// The discovery client.
    Discovery,
    /// The connection to the other member of the failover pair.
    Peer,
    /// An accepted or opened connection that may become the `Peer` connection.
    Handshake,
}

/// The entry of a connection index that was never used. No owned connection has generation 0.
const UNOWNED: (u32, Owner) = (0, Owner::Nobody);

impl<N: Net> Gateway<N> {
    pub(crate) fn set_owner(&mut self, conn: Conn, owner: Owner) {
        if self.owners.len() <= conn.index() {
            self.owners.resize(conn.index() + 1, UNOWNED);
        }
        self.owners[conn.index()] = (conn.generation(), owner);
    }

    /// Returns the connection's owner. The generation is compared because connection indexes are reused.
    pub(crate) fn owner(&self, conn: Conn) -> Owner {
        match self.owners.get(conn.index()) {
            Some((generation, owner)) if *generation == conn.generation() => *owner,
            _ => Owner::Nobody,
        }
    }
}
