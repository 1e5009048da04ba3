//! What a new master does with an event that the old one had in hand, by its kind, the time that is left, and what is
//! proven of its launches.
use crate::Time;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Redeliverable,
    /// A repeat is dropped everywhere (`all`) or within a group only, for the window.
    Keyed {
        all: bool,
        window: Time,
    },
    AtMostOnce,
}

impl RetrySafety {
    /// A repeat does no harm anywhere: its answers need not wait for the other member's record.
    pub fn harmless(self) -> bool {
        matches!(
            self,
            RetrySafety::Redeliverable | RetrySafety::Keyed { all: true, .. }
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent, and no end is known.
    Out,
    ProvenNotRun,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub wk: usize,
    pub at: Time,
    pub state: AttemptState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// It is taken as if it came anew.
    Continue,
    /// A launch may still be out, and two at once are barred: until its worker is fenced.
    Await,
    DeadLetter,
    /// Nothing has run: whoever asks again may begin anew, or come back later.
    Forget,
}

/// Less than this is left: no launch would come back in time. Twice the least lag that a busy machine shows.
pub const LEAST: Time = 100;

/// How much earlier than its client gives up an event of a pair is to be over: an answer may wait until the voters know that
/// the other member is gone, which takes the link's silence and a claim. Where a repeat does no harm nothing waits.
pub fn margin(kind: RetrySafety, left: Time, silence: Time) -> Time {
    match kind {
        kind if kind.harmless() => 0,
        // The silence, one tick, and a claim's two round trips to the workers.
        _ => (silence + 10 * LEAST).min(left / 4),
    }
}

/// An event that is asked for again while nobody knows what became of it: the lives that had it are over. True: it is to
/// come back later; false: it is dead-lettered, as it may have run; none: it may begin anew. `fenced`: nothing of those lives is out any more.
pub fn unknown(kind: RetrySafety, two_at_once: bool, fenced: bool) -> Option<bool> {
    match kind {
        RetrySafety::AtMostOnce | RetrySafety::Keyed { all: false, .. } => Some(false),
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
            .filter(|l| l.state != AttemptState::ProvenNotRun)
    };
    let clean = unproven().next().is_none();
    let out = unproven().any(|l| l.state == AttemptState::Out && !fenced(l.wk));
    let late = now + LEAST >= until;
    match kind {
        _ if clean && late => RecoveryAction::Forget,
        _ if clean => RecoveryAction::Continue,
        _ if late => RecoveryAction::DeadLetter,
        RetrySafety::AtMostOnce => RecoveryAction::DeadLetter,
        RetrySafety::Keyed { all: false, .. } => RecoveryAction::DeadLetter,
        RetrySafety::Keyed { window, .. } if unproven().any(|l| now + LEAST >= l.at + window) => {
            RecoveryAction::DeadLetter
        }
        _ if out && !two_at_once => RecoveryAction::Await,
        _ => RecoveryAction::Continue,
    }
}
