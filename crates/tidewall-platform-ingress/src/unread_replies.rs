//! Bounds of the replies that clients leave unread.
//!
//! Only bytes that a socket has refused count as unread. Those that were written in this wake-up and
//! not offered to the socket yet say nothing about the client; there are less than
//! [`FLUSH_THRESHOLD`] of them on a connection.
use crate::commands::MAX_OPEN_CALLS;
use crate::PlatformIngress;
use tidewall_net::{Conn, Net};
use tidewall_platform::client_command::MAX_PAYLOAD;
use tracing::{debug, warn};

/// Replies are offered to the socket at once from this number of bytes on, and otherwise at the end
/// of the wake-up.
const FLUSH_THRESHOLD: usize = 16 << 10;

/// Maximum length in bytes of a reply without its payload.
const MAX_REPLY_HEADER: usize = 128;

/// Maximum number of bytes that one client may leave unread: the replies to all calls that it may
/// have open, and as much again for replies that crossed a `CANCEL`.
const MAX_UNREAD: usize = 2 * MAX_OPEN_CALLS as usize * (MAX_PAYLOAD + MAX_REPLY_HEADER);

/// One in this many resets is logged as a warning.
const WARN_INTERVAL: u64 = 1000;

/// What one client leaves unread, as of its last reply or check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Unread {
    /// Bytes that the socket has refused.
    pub(crate) bytes: usize,
    /// Replies since the socket last accepted everything.
    pub(crate) replies: u32,
}

/// The number of bytes that the client's socket has refused.
fn refused_bytes<N: Net>(net: &N, conn: Conn) -> usize {
    net.blocked_since(conn).map_or(0, |_| net.unsent(conn))
}

impl PlatformIngress {
    /// Writes the reply in the output buffer. If a client leaves too much unread, its connection is
    /// reset, which loses replies to this client only; if all clients together do, the connection
    /// that has been blocked for longest is.
    pub(crate) fn write_reply<N: Net>(&mut self, net: &mut N, conn: Conn) {
        if !net.write(conn, &self.out) {
            return net.abort(conn);
        }
        if net.unsent(conn) >= FLUSH_THRESHOLD && net.blocked_since(conn).is_none() {
            net.flush(conn);
        }
        let bytes = refused_bytes(net, conn);
        let replies = if bytes > 0 {
            self.connections.slot(conn).unread.replies + 1
        } else {
            0
        };
        self.connections.set_unread(conn, Unread { bytes, replies });
        if bytes > MAX_UNREAD {
            return self.reset_unread(net, conn);
        }
        self.limit_total_unread(net);
    }

    /// Number of replies that the client has not read, as far as is known: those since its socket
    /// last accepted everything.
    pub(crate) fn unread_replies<N: Net>(&mut self, net: &N, conn: Conn) -> u32 {
        match net.blocked_since(conn) {
            Some(_) => self.connections.slot(conn).unread.replies,
            None => 0,
        }
    }

    /// Updates what a client leaves unread. Returns true if the client has read some of it.
    pub(crate) fn refresh_unread<N: Net>(&mut self, net: &N, conn: Conn) -> bool {
        let before = self.connections.slot(conn).unread;
        let bytes = refused_bytes(net, conn);
        let replies = if bytes > 0 { before.replies } else { 0 };
        self.connections.set_unread(conn, Unread { bytes, replies });
        bytes < before.bytes
    }

    /// Resets connections until all clients together leave no more unread than the limit.
    fn limit_total_unread<N: Net>(&mut self, net: &mut N) {
        if self.connections.total_unread() <= self.max_unread {
            return;
        }
        for conn in self.connections.with_unread() {
            self.refresh_unread(net, conn);
        }
        while self.connections.total_unread() > self.max_unread {
            let blocked = self.connections.with_unread();
            let longest = blocked
                .into_iter()
                .min_by_key(|conn| net.blocked_since(*conn));
            let Some(conn) = longest else { return };
            self.reset_unread(net, conn);
        }
    }

    /// Resets the connection of a client that leaves too much unread.
    fn reset_unread<N: Net>(&mut self, net: &mut N, conn: Conn) {
        let unsent = net.unsent(conn);
        let blocked_for = net
            .blocked_since(conn)
            .map(|since| net.now().saturating_sub(since));
        let total_unread = self.connections.total_unread();
        self.unread_resets += 1;
        if self.unread_resets % WARN_INTERVAL == 1 {
            let so_far = self.unread_resets;
            warn!(
                unsent,
                blocked_for, total_unread, so_far, "client reset: replies unread"
            );
        } else {
            debug!(
                unsent,
                blocked_for, total_unread, "client reset: replies unread"
            );
        }
        self.connections.set_unread(conn, Unread::default());
        net.abort(conn);
    }
}
