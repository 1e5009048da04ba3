//! What a new master does with an event that the old one had in hand, by its kind, the time that is left, and what is
//! proven of its launches.
use crate::Time;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Idempotent,
    /// A repeat is dropped everywhere (`all`) or within a group only, for the window.
    IdempotencyKey {
        all: bool,
        window: Time,
    },
    NonIdempotent,
}

impl RetrySafety {
    /// A repeat does no harm anywhere: its answers need not wait for the other member's record.
    pub fn is_safe_to_repeat(self) -> bool {
        matches!(
            self,
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey { all: true, .. }
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent, and no end is known.
    InFlight,
    NotExecuted,
    MayHaveExecuted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub worker: usize,
    pub sent_at: Time,
    pub state: AttemptState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// It is taken as if it came anew.
    Continue,
    /// A launch may still be out, and two at once are barred: until its worker is fenced.
    AwaitFencing,
    Fail,
    /// Nothing has run: whoever asks again may begin anew, or come back later.
    Reject,
}

/// Less than this is left: no launch would come back in time. Twice the least lag that a busy machine shows.
pub const LEAST: Time = 100;

/// How much earlier than its client gives up an event of a pair is to be over: an answer may wait until the voters know that
/// the other member is gone, which takes the link's silence and a claim. Where a repeat does no harm nothing waits.
pub fn margin(kind: RetrySafety, left: Time, silence: Time) -> Time {
    match kind {
        kind if kind.is_safe_to_repeat() => 0,
        // The silence, one tick, and a claim's two round trips to the workers.
        _ => (silence + 10 * LEAST).min(left / 4),
    }
}

/// An event that is asked for again while nobody knows what became of it: the lives that had it are over. True: it is to
/// come back later; false: it is dead-lettered, as it may have run; none: it may begin anew. `fenced`: nothing of those lives is out any more.
pub fn unknown(kind: RetrySafety, two_at_once: bool, fenced: bool) -> Option<bool> {
    match kind {
        RetrySafety::NonIdempotent | RetrySafety::IdempotencyKey { all: false, .. } => Some(false),
        _ if !two_at_once && !fenced => Some(true),
        _ => None,
    }
}

/// `fenced` tells whether nothing of the old master's is out at a worker any more.
pub fn fate(
    kind: RetrySafety,
    two_at_once: bool,
    (now, until): (Time, Time),
    launches: &[Attempt],
    fenced: impl Fn(usize) -> bool,
) -> RecoveryAction {
    let unproven = || {
        launches
            .iter()
            .filter(|l| l.state != AttemptState::NotExecuted)
    };
    let clean = unproven().next().is_none();
    let out = unproven().any(|l| l.state == AttemptState::InFlight && !fenced(l.worker));
    let late = now + LEAST >= until;
    match kind {
        _ if clean && late => RecoveryAction::Reject,
        _ if clean => RecoveryAction::Continue,
        _ if late => RecoveryAction::Fail,
        RetrySafety::NonIdempotent => RecoveryAction::Fail,
        RetrySafety::IdempotencyKey { all: false, .. } => RecoveryAction::Fail,
        RetrySafety::IdempotencyKey { window, .. }
            if unproven().any(|l| now + LEAST >= l.sent_at + window) =>
        {
            RecoveryAction::Fail
        }
        _ if out && !two_at_once => RecoveryAction::AwaitFencing,
        _ => RecoveryAction::Continue,
    }
}
