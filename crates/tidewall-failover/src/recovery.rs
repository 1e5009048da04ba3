//! What a new active member does with a request that the former one had in flight: by whether it may be repeated, by the
//! time that is left, and by what is proven of its attempts.

use crate::Time;

/// Whether a request may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Executing it twice does no harm.
    Idempotent,
    /// A repeat with the same idempotency key is dropped by whoever executes it.
    IdempotencyKey {
        /// Whether repeats are dropped everywhere, or within one group of workers only.
        global: bool,
        /// How long after an attempt its repeats are dropped.
        window: Time,
    },
    /// It must be executed at most once.
    NonIdempotent,
}

impl RetrySafety {
    /// Whether a repeat does no harm anywhere: then its response need not wait until the other member recorded it.
    pub fn is_safe_to_repeat(self) -> bool {
        matches!(
            self,
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey { global: true, .. }
        )
    }
}

/// What is proven of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent, and no outcome is known.
    InFlight,
    /// It was never executed.
    NotExecuted,
    /// It ended, and may have been executed.
    MayHaveExecuted,
}

/// One attempt of the former active member to execute a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The index of the worker that it was sent to.
    pub worker: usize,
    /// When it was sent.
    pub sent_at: Time,
    /// What is proven of it.
    pub state: AttemptState,
}

/// What to do with a request that the former active member had in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Schedule it as if it had just been received.
    Continue,
    /// Wait until the worker of its attempt is fenced: the attempt may still be in flight, and hedging is not allowed.
    AwaitFencing,
    /// Fail it: it may have been executed, and must not be repeated.
    Fail,
    /// Reject it: nothing was executed, so the client may retry.
    Reject,
}

/// What to do with a repeated request of which no member has a record: the incarnations that had one ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnrecordedRetryAction {
    /// Schedule it as a new request.
    Schedule,
    /// Reject it for now: an attempt may still be in flight at a worker that is not fenced.
    Reject,
    /// Fail it: it may have been executed, and must not be repeated.
    Fail,
}

/// With less than this left, no attempt would return in time: twice the least latency that a busy machine shows.
pub const MIN_REMAINING_TIME: Time = 100;

/// How long a leadership proposal takes at most on a busy machine: a tick and two round trips to the voters.
pub const PROPOSAL_TIME: Time = 10 * MIN_REMAINING_TIME;

/// When the link to the other member is to be given up for a response that began to wait for its record at `since`, so that the
/// voters can still be asked before its client stops waiting at `deadline`. An acknowledgement that is only somewhat late gets
/// `usual_wait` or a quarter of the time that is left, whichever is shorter.
pub fn give_up_link_at(since: Time, deadline: Time, usual_wait: Time) -> Time {
    let shortest_wait = usual_wait.min(deadline.saturating_sub(since) / 4);
    deadline
        .saturating_sub(PROPOSAL_TIME)
        .max(since + shortest_wait)
}

/// When a response that began to wait for its record at `since` is given up, for a client that stops waiting at `deadline`;
/// nothing may be sent to it after `latest`. The client is told a failure then: that is true whatever the other member
/// knows, as a failed request may have been executed and is not to be repeated. What is left for the response's way is as
/// much as an attempt needs, but an acknowledgement gets at least a quarter of the time until `latest`.
pub fn give_up_record_at(since: Time, deadline: Time, latest: Time) -> Time {
    let shortest_wait = latest.saturating_sub(since) / 4;
    deadline
        .saturating_sub(MIN_REMAINING_TIME)
        .max(since + shortest_wait)
}

/// Until when a client waits that sent a request again, by what is known: until `earliest` for certain, where anything is, and
/// until `latest` at most, as the retry lay unread for a while. `in_flight` is the deadline of the request that it repeats: the
/// same client's, which is certain, unless it is later than `latest`.
pub fn retry_deadline(earliest: Option<Time>, latest: Time, in_flight: Time) -> Time {
    match earliest {
        Some(earliest) if in_flight > latest => earliest,
        Some(earliest) => earliest.max(in_flight),
        None => latest.min(in_flight),
    }
}

/// How much earlier than its client's deadline a request of a pair is to end. A response may wait until the voters know
/// that the other member is gone: `peer_timeout` of silence on the link, then a leadership proposal. At most a quarter of
/// the `remaining` time; 0 where a repeat does no harm, as nothing waits then.
pub fn deadline_margin(retry_safety: RetrySafety, remaining: Time, peer_timeout: Time) -> Time {
    if retry_safety.is_safe_to_repeat() {
        return 0;
    }
    (peer_timeout + PROPOSAL_TIME).min(remaining / 4)
}

/// Decides on a repeated request of which no member has a record. `all_fenced`: no attempt of an ended incarnation is in
/// flight at any worker.
pub fn unrecorded_retry_action(
    retry_safety: RetrySafety,
    allows_hedging: bool,
    all_fenced: bool,
) -> UnrecordedRetryAction {
    if !retry_safety.is_safe_to_repeat() {
        UnrecordedRetryAction::Fail
    } else if !allows_hedging && !all_fenced {
        UnrecordedRetryAction::Reject
    } else {
        UnrecordedRetryAction::Schedule
    }
}

/// Whether a takeover fails a request, however much time is left: an attempt that is on record may have been executed, and
/// a repeat may do harm. Such a failure need not be on record before it is reported.
pub fn fails_at_takeover(retry_safety: RetrySafety, may_have_executed: bool) -> bool {
    may_have_executed && !retry_safety.is_safe_to_repeat()
}

/// Decides on a request that the former active member had in flight, with its `attempts`, to be answered by `deadline`.
/// `is_fenced` says of a worker whether none of the former member's attempts is in flight there any more.
pub fn recovery_action(
    retry_safety: RetrySafety,
    allows_hedging: bool,
    now: Time,
    deadline: Time,
    attempts: &[Attempt],
    is_fenced: impl Fn(usize) -> bool,
) -> RecoveryAction {
    let too_late = now + MIN_REMAINING_TIME >= deadline;
    let unproven = || {
        attempts
            .iter()
            .filter(|attempt| attempt.state != AttemptState::NotExecuted)
    };
    let may_have_executed = unproven().next().is_some();
    if !may_have_executed {
        return match too_late {
            true => RecoveryAction::Reject,
            false => RecoveryAction::Continue,
        };
    }
    if too_late || fails_at_takeover(retry_safety, may_have_executed) {
        return RecoveryAction::Fail;
    }
    if let RetrySafety::IdempotencyKey { window, .. } = retry_safety {
        // A repeat would arrive when its key is no longer remembered.
        if unproven().any(|attempt| now + MIN_REMAINING_TIME >= attempt.sent_at + window) {
            return RecoveryAction::Fail;
        }
    }
    let in_flight =
        |attempt: &Attempt| attempt.state == AttemptState::InFlight && !is_fenced(attempt.worker);
    if !allows_hedging && unproven().any(in_flight) {
        return RecoveryAction::AwaitFencing;
    }
    RecoveryAction::Continue
}
