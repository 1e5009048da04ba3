//! Decides which client connection is closed to make room for a new one. Times are in tenths of a millisecond.
use std::cmp::Reverse;
use tidewall_net::{Conn, Time};

/// Idle time after which clients close a connection, from the platform's specification. A
/// connection that is idle for longer sends no more commands.
const CLIENT_IDLE_TIMEOUT: Time = 40_000;

/// Time within which the first command of a new connection arrives: twice what the platform's
/// specification allows for data that crosses a close.
const FIRST_COMMAND_DELAY: Time = 1_000;

/// A connection with open calls may be closed if this many more of its calls were turned down than were
/// completed: as many as a client may have open, so that one burst in an overload is not enough.
const MIN_EXCESS_OF_UNSUCCESSFUL: u32 = 32;

/// What decides whether a connection may be closed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EvictionFacts {
    /// An error was sent on it.
    pub(crate) has_failed: bool,
    /// Its client leaves replies unread.
    pub(crate) has_unread_replies: bool,
    /// It has sent a complete command.
    pub(crate) has_sent_command: bool,
    /// Number of calls without a reply.
    pub(crate) open_calls: u32,
    /// By how many its rejected and failed calls outnumber its completed ones.
    pub(crate) excess_of_unsuccessful: u32,
    /// Time since it was accepted.
    pub(crate) connected_for: Time,
    /// Time since the last complete command or reply.
    pub(crate) idle_for: Time,
}

/// Order in which connections are closed to make room for new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionClass {
    /// An error was sent on it.
    Failed,
    /// It has never sent a command, and the time for its first one is over.
    Silent,
    /// It has been idle for longer than its client leaves a connection open.
    LongIdle,
    /// It has open calls, and nearly all of its calls were turned down before.
    Unsuccessful,
    /// It has been idle for a shorter time.
    Idle,
    /// It has just been accepted. Its first command is probably on its way, and would be lost.
    New,
    /// It has unread replies, which would be lost.
    Reading,
}

/// The class of a connection, or `None` if it may not be closed to make room.
pub(crate) fn eviction_class(facts: &EvictionFacts) -> Option<EvictionClass> {
    if facts.open_calls > 0 {
        let is_unsuccessful = facts.excess_of_unsuccessful >= MIN_EXCESS_OF_UNSUCCESSFUL;
        return is_unsuccessful.then_some(EvictionClass::Unsuccessful);
    }
    Some(if facts.has_failed {
        EvictionClass::Failed
    } else if facts.has_unread_replies {
        EvictionClass::Reading
    } else if facts.has_sent_command && facts.idle_for >= CLIENT_IDLE_TIMEOUT {
        EvictionClass::LongIdle
    } else if facts.has_sent_command {
        EvictionClass::Idle
    } else if facts.connected_for >= FIRST_COMMAND_DELAY {
        EvictionClass::Silent
    } else {
        EvictionClass::New
    })
}

/// A connection that may be closed to make room. The smallest candidate is closed first: among those with open
/// calls the one with the most unsuccessful ones, else the one that has been idle for longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionCandidate {
    pub(crate) class: EvictionClass,
    excess_of_unsuccessful: Reverse<u32>,
    idle_for: Reverse<Time>,
    pub(crate) conn: Conn,
}

impl EvictionCandidate {
    /// The candidate for a connection, or `None` if it may not be closed to make room.
    pub(crate) fn new(conn: Conn, facts: &EvictionFacts) -> Option<EvictionCandidate> {
        let class = eviction_class(facts)?;
        let excess = match class {
            EvictionClass::Unsuccessful => facts.excess_of_unsuccessful,
            _ => 0,
        };
        Some(EvictionCandidate {
            class,
            excess_of_unsuccessful: Reverse(excess),
            idle_for: Reverse(facts.idle_for),
            conn,
        })
    }
}

#[cfg(test)]
mod tests;
