//! What is known of the other member, and when its link may be relied on.

use crate::flap_damping::FlapDamping;
use crate::Time;

/// The other member, by its link and its last heartbeat.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerStatus {
    pub(super) connected: bool,
    pub(super) incarnation: u64,
    pub(super) serves: bool,
    /// It reports that the voters count us as synchronised.
    pub(super) counts_us_synced: bool,
}

/// The first hold-off of a slow link and the longest one, in advertisement intervals: one second to half a minute at the
/// usual interval of a tenth of a second. Short against the repair of a link, long against a snapshot.
const INITIAL_HOLD_OFF_INTERVALS: Time = 10;
const MAX_HOLD_OFF_INTERVALS: Time = 300;

/// When to replicate: a link that was too slow is not used for a while, or each new snapshot would slow down what clients
/// wait for.
pub(super) struct ReplicationGate {
    damping: FlapDamping,
    held_off_until: Time,
    /// A snapshot is to be sent once the hold-off ends.
    deferred: bool,
}

impl ReplicationGate {
    pub(super) fn new(interval: Time) -> ReplicationGate {
        ReplicationGate {
            damping: FlapDamping::new(
                INITIAL_HOLD_OFF_INTERVALS * interval,
                MAX_HOLD_OFF_INTERVALS * interval,
            ),
            held_off_until: 0,
            deferred: false,
        }
    }

    pub(super) fn hold_off(&mut self, now: Time) {
        self.held_off_until = self.damping.next_hold_off(now);
    }

    /// Whether replication may start at once; otherwise it is deferred.
    pub(super) fn start_or_defer(&mut self, now: Time) -> bool {
        self.deferred = now < self.held_off_until;
        !self.deferred
    }

    /// Whether a deferred replication is due.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.deferred && now >= self.held_off_until
    }

    pub(super) fn started(&mut self) {
        self.deferred = false;
    }
}
