//! Renewal requests of one lease whose replies may still arrive. A reply extends the lease only from the time
//! its own request was sent, so each request has its own tag, send time and votes.
use crate::lease::MAX_GRANTORS;
use crate::{SafetyChecks, Time};

/// The number of requests that are remembered. The pause between requests doubles each time, so few of them
/// are in flight even on a slow link, and a late reply still finds its request: starting at a sixteenth of
/// the usable duration, five requests cover the whole lease.
const MAX_PENDING_RENEWALS: usize = 5;

// A set of grantors is stored as one `u64`.
const _: () = assert!(MAX_GRANTORS < u64::BITS as usize);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct RenewalRequest {
    /// 0 if the entry is unused.
    tag: u32,
    sent_at: Time,
    /// Sets of grantors, one bit per grantor.
    granted: u64,
    rejected: u64,
    /// Number of replies, regardless of the grantor. Only used if `one_vote_per_grantor` is off.
    granted_replies: u32,
}

/// What a reply decided about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RenewalOutcome {
    /// No majority has granted or rejected the request yet, the request was already granted, or it is not
    /// remembered any more.
    Undecided,
    /// This reply completed the majority. The lease runs from the time the request was sent.
    Granted { sent_at: Time },
    /// A majority rejected the request.
    Rejected,
}

/// The latest requests, newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingRenewals([RenewalRequest; MAX_PENDING_RENEWALS]);

impl PendingRenewals {
    /// Remembers a request and forgets the oldest one.
    pub(crate) fn request_sent(&mut self, now: Time, tag: u32) {
        self.0.rotate_right(1);
        self.0[0] = RenewalRequest {
            tag,
            sent_at: now,
            ..RenewalRequest::default()
        };
    }

    /// Counts a grantor's reply to the request with that tag.
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
