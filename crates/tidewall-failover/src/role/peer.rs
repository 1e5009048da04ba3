//! The known status of the other member, and when its link may be used for replication.

use crate::flap_damping::FlapDamping;
use crate::Time;

/// The status of the other member, from its link and its last heartbeat.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerStatus {
    pub(super) connected: bool,
    pub(super) incarnation: u64,
    pub(super) serves: bool,
    /// It reports that the voters count this member as synchronised.
    pub(super) reports_us_synced: bool,
}

/// The initial and the maximum hold-off of a slow link, in advertisement intervals: one second and half a
/// minute at the usual interval of a tenth of a second. That is much shorter than the repair of a link takes,
/// and much longer than a snapshot takes.
const INITIAL_HOLD_OFF_INTERVALS: Time = 10;
const MAX_HOLD_OFF_INTERVALS: Time = 300;

/// Decides when replication may start. A link that was too slow is not used for a while; otherwise each new
/// snapshot on it would delay the responses that clients wait for.
pub(super) struct ReplicationGate {
    damping: FlapDamping,
    held_off_until: Time,
    /// A snapshot has to be sent when the hold-off ends.
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

    /// Returns whether replication may start at once; otherwise it is deferred.
    pub(super) fn start_or_defer(&mut self, now: Time) -> bool {
        self.deferred = now < self.held_off_until;
        !self.deferred
    }

    /// Whether replication was deferred and the hold-off has ended.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.deferred && now >= self.held_off_until
    }

    pub(super) fn started(&mut self) {
        self.deferred = false;
    }
}
