//! Renewal requests of one lease whose replies may still arrive. A reply says something of its own request's time alone, so
//! each request has a tag, its own time and its own votes.
use crate::lease::MAX_GRANTORS;
use crate::{SafetyChecks, Time};

/// Requests remembered at most. Each waits twice as long as the one before, so that a slow link carries few of them and
/// replies still find their request: five cover all of a lease's time from a sixteenth of it on.
const MAX_PENDING_RENEWALS: usize = 5;

// A set of grantors is one `u64`.
const _: () = assert!(MAX_GRANTORS < u64::BITS as usize);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct RenewalRequest {
    /// 0: no request.
    tag: u32,
    sent_at: Time,
    /// Sets of grantors, one bit each.
    granted: u64,
    rejected: u64,
    /// Counts replies, not grantors: only used where `one_vote_per_grantor` is off.
    granted_replies: u32,
}

/// What a reply made of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RenewalOutcome {
    /// No majority either way yet, or none any more.
    Undecided,
    /// This reply made the majority: the lease counts from when the request was sent.
    Granted { sent_at: Time },
    /// A majority rejected it.
    Rejected,
}

/// The latest requests, the last one first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingRenewals([RenewalRequest; MAX_PENDING_RENEWALS]);

impl PendingRenewals {
    /// Remembers a request; the oldest one makes room.
    pub(crate) fn request_sent(&mut self, now: Time, tag: u32) {
        self.0.rotate_right(1);
        self.0[0] = RenewalRequest {
            tag,
            sent_at: now,
            ..RenewalRequest::default()
        };
    }

    /// A grantor's reply to the request of that tag.
    pub(crate) fn reply_received(
        &mut self,
        tag: u32,
        grantor: usize,
        granted: bool,
        majority: u32,
        checks: SafetyChecks,
    ) -> RenewalOutcome {
        let mut requests = self.0.iter_mut();
        let Some(request) = requests.find(|request| tag > 0 && request.tag == tag) else {
            return RenewalOutcome::Undecided;
        };
        if granted {
            request.granted |= 1 << grantor;
            request.granted_replies += 1;
        } else {
            request.rejected |= 1 << grantor;
        }
        let votes = if checks.one_vote_per_grantor {
            request.granted.count_ones()
        } else {
            request.granted_replies
        };
        if granted && votes == majority {
            RenewalOutcome::Granted {
                sent_at: request.sent_at,
            }
        } else if request.rejected.count_ones() >= majority {
            RenewalOutcome::Rejected
        } else {
            RenewalOutcome::Undecided
        }
    }
}
