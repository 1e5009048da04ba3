//! Which part of the gateway a connection belongs to.
use crate::Gateway;
use tidewall_net::{Conn, Net};

/// Whom a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Owner {
    /// Nobody: it is not known, or nothing more is heard of it.
    Nobody,
    /// The ingress with this index.
    Ingress(usize),
    /// The worker connection with this key.
    Worker(usize),
    /// The discovery client.
    Discovery,
    /// The connection to the other member of the failover pair.
    Peer,
    /// A connection that may become that one.
    Handshake,
}

/// The entry of a connection index that was never used: no connection has generation 0 and an owner.
const UNOWNED: (u32, Owner) = (0, Owner::Nobody);

impl<N: Net> Gateway<N> {
    pub(crate) fn set_owner(&mut self, conn: Conn, owner: Owner) {
        if self.owners.len() <= conn.index() {
            self.owners.resize(conn.index() + 1, UNOWNED);
        }
        self.owners[conn.index()] = (conn.generation(), owner);
    }

    /// The connection's owner. The index alone would name its next user, too.
    pub(crate) fn owner(&self, conn: Conn) -> Owner {
        match self.owners.get(conn.index()) {
            Some((generation, owner)) if *generation == conn.generation() => *owner,
            _ => Owner::Nobody,
        }
    }
}
