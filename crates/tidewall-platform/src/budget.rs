//! How the descriptors that a gateway may hold are shared out. It decides by numbers alone.

/// Connections at most, by what they are for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub clients: usize,
    /// To all workers together, and to one of them.
    pub links: usize,
    pub a_worker: usize,
    /// Launches on a connection before another one is made.
    pub spread: usize,
}

/// Standard streams, poll, signals, listener, two to the board, the configuration while it is read, and as many to spare.
const OWN: usize = 24;

/// Usual clients hold a third of all; half leaves as many again for those that are about to be turned away.
/// `priced`: connections to workers cost something of their own.
pub fn share(sockets: usize, priced: bool) -> Budget {
    let clients = (sockets / 2).saturating_sub(OWN / 2).max(1);
    let links = sockets.saturating_sub(clients + OWN).max(1);
    // Eight connections carry more than any worker runs.
    let a_worker = 8;
    // Where connections are free each launch has its own while there are places: one that breaks ends it alone.
    let spread = if priced { usize::MAX } else { 1 };
    Budget {
        clients,
        links,
        a_worker,
        spread,
    }
}
