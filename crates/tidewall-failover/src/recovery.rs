//! Decides what a new active member does with each request that the former one had in flight. The decision
//! depends on whether the request may be repeated, on the time left until its deadline, and on what is known
//! about its attempts.

use crate::Time;

/// Whether a request may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Executing it more than once is harmless.
    Idempotent,
    /// The executing side drops a repeat with the same idempotency key.
    IdempotencyKey {
        /// Whether repeats are dropped across all workers, or only within one worker group.
        global: bool,
        /// How long after an attempt its repeats are dropped.
        window: Time,
    },
    /// It must be executed at most once.
    NonIdempotent,
}

impl RetrySafety {
    /// Whether a repeat is harmless on every worker. Responses to such requests are sent without waiting
    /// until the other member has recorded them.
    pub fn is_safe_to_repeat(self) -> bool {
        matches!(
            self,
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey { global: true, .. }
        )
    }
}

/// What is known about the execution of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It was sent, and no outcome is known.
    InFlight,
    /// It was provably not executed.
    NotExecuted,
    /// It ended and may have been executed.
    MayHaveExecuted,
}

/// One attempt of the former active member to execute a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The index of the worker to which it was sent.
    pub worker: usize,
    /// When it was sent.
    pub sent_at: Time,
    /// What is known about its execution.
    pub state: AttemptState,
}

/// How to proceed with a request that the former active member had in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Schedule it like a request that was just received.
    Continue,
    /// Wait until the worker of its attempt is fenced: the attempt may still be in flight there, and two
    /// concurrent attempts (hedging) are not allowed.
    AwaitFencing,
    /// Report it as failed: it may have been executed, and the client must not repeat it.
    Fail,
    /// Reject it: no attempt was executed, so the client may retry.
    Reject,
}

/// How to proceed with a repeated request of which no member has a record, because the incarnations that had
/// one ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnrecordedRetryAction {
    /// Schedule it as a new request.
    Schedule,
    /// Reject it; the client may retry later. An attempt may still be in flight at a worker that is not
    /// fenced.
    Reject,
    /// Report it as failed: it may have been executed, and the client must not repeat it.
    Fail,
}

/// If no more than this is left until a request's deadline, no attempt is expected to return in time: twice
/// the lowest latency on a busy machine.
pub const MIN_REMAINING_TIME: Time = 100;

/// The maximum duration of a leadership proposal on a busy machine: one tick and two round trips to the
/// voters.
pub const PROPOSAL_TIME: Time = 10 * MIN_REMAINING_TIME;

/// Returns when to give up the link to the other member because of a response that has waited since `since`
/// for the other member to acknowledge its record. A leadership proposal to the voters then still ends before
/// the client stops waiting at `deadline`. The acknowledgement is given at least `usual_wait` or a quarter of
/// the time left at `since`, whichever is shorter, so that a slightly late one does not break the link.
pub fn give_up_link_at(since: Time, deadline: Time, usual_wait: Time) -> Time {
    let shortest_wait = usual_wait.min(deadline.saturating_sub(since) / 4);
    deadline
        .saturating_sub(PROPOSAL_TIME)
        .max(since + shortest_wait)
}

/// Returns when to stop waiting for the acknowledgement of a response's record. The response has waited since
/// `since`, its client stops waiting at `deadline`, and nothing may be sent to the client after `latest`. The
/// client then gets a failure, which is correct whatever the other member has recorded: a failed request may
/// have been executed and must not be repeated. [`MIN_REMAINING_TIME`] is reserved for sending the failure,
/// but the acknowledgement is given at least a quarter of the time until `latest`.
pub fn give_up_record_at(since: Time, deadline: Time, latest: Time) -> Time {
    let shortest_wait = latest.saturating_sub(since) / 4;
    deadline
        .saturating_sub(MIN_REMAINING_TIME)
        .max(since + shortest_wait)
}

/// Estimates until when a client waits that repeated a request. The retry was read some time after it
/// arrived, so its own deadline is uncertain: the client waits at least until `earliest`, if that is known,
/// and at most until `latest`. `in_flight` is the deadline of the request that it repeats. That deadline
/// comes from the same client and is therefore certain, unless it is later than `latest`.
pub fn retry_deadline(earliest: Option<Time>, latest: Time, in_flight: Time) -> Time {
    match earliest {
        Some(earliest) if in_flight > latest => earliest,
        Some(earliest) => earliest.max(in_flight),
        None => latest.min(in_flight),
    }
}

/// Returns how much earlier than its client's deadline a request of a pair has to end. Its response may have
/// to wait until the voters know that the other member is gone: for `peer_timeout` of silence on the link and
/// then for a leadership proposal. The margin is at most a quarter of the `remaining` time, and 0 if a repeat
/// is harmless, as such a response does not wait.
pub fn deadline_margin(retry_safety: RetrySafety, remaining: Time, peer_timeout: Time) -> Time {
    if retry_safety.is_safe_to_repeat() {
        return 0;
    }
    (peer_timeout + PROPOSAL_TIME).min(remaining / 4)
}

/// Decides how to proceed with a repeated request of which no member has a record. `all_fenced`: no attempt
/// of an ended incarnation is in flight at any worker.
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

/// Whether a takeover fails a request however much time is left: a recorded attempt may have been executed,
/// and a repeat may be harmful. A failure of such a request may be reported before it is recorded, as a
/// takeover would report it too.
pub fn fails_at_takeover(retry_safety: RetrySafety, may_have_executed: bool) -> bool {
    may_have_executed && !retry_safety.is_safe_to_repeat()
}

/// Decides how to proceed with a request that the former active member had in flight, given its `attempts`
/// and its `deadline`. `is_fenced` returns whether a worker no longer executes any attempt of the former
/// active member.
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
        // A repeat could arrive after the worker has dropped its key, and would be executed again.
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
