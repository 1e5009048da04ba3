//! How the descriptors that a gateway may hold are shared out. It decides by numbers alone.

/// Connections at most, by what they are for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub clients: usize,
    pub a_worker: usize,
}

/// Standard streams, poll, signals, listener, two to the board, the configuration while it is read, and as many to spare.
const OWN: usize = 24;

/// Usual clients hold a third of all; half leaves as many again for those that are about to be turned away.
pub fn share(sockets: usize, workers: usize) -> Budget {
    let clients = (sockets / 2).saturating_sub(OWN / 2).max(1);
    let rest = sockets.saturating_sub(clients + OWN);
    // Workers are replaced: the old one's connections may still stand beside the new one's. Eight connections carry more
    // than any worker runs.
    let a_worker = (rest / (2 * workers.max(4))).clamp(1, 8);
    Budget { clients, a_worker }
}
