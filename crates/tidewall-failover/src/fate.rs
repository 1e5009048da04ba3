//! What a new master does with an event that the old one had in hand, by its kind, the time that is left, and what is
//! proven of its launches.
use crate::Time;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Redeliverable,
    /// A repeat is dropped everywhere (`all`) or within a group only, for the window.
    Keyed {
        all: bool,
        window: Time,
    },
    AtMostOnce,
}

impl Kind {
    /// A repeat does no harm anywhere: its answers need not wait for the other member's record.
    pub fn harmless(self) -> bool {
        matches!(self, Kind::Redeliverable | Kind::Keyed { all: true, .. })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Sent, and no end is known.
    Out,
    ProvenNotRun,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Launch {
    pub wk: usize,
    pub at: Time,
    pub state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
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
pub fn margin(kind: Kind, left: Time, silence: Time) -> Time {
    match kind {
        kind if kind.harmless() => 0,
        // The silence, one tick, and a claim's two round trips to the workers.
        _ => (silence + 10 * LEAST).min(left / 4),
    }
}

/// An event that is asked for again while nobody knows what became of it: the lives that had it are over. True: it is to
/// come back later; false: it is dead-lettered, as it may have run; none: it may begin anew. `fenced`: nothing of those lives is out any more.
pub fn unknown(kind: Kind, two_at_once: bool, fenced: bool) -> Option<bool> {
    match kind {
        Kind::AtMostOnce | Kind::Keyed { all: false, .. } => Some(false),
        _ if !two_at_once && !fenced => Some(true),
        _ => None,
    }
}

/// `fenced` tells whether nothing of the old master's is out at a worker any more.
pub fn fate(
    kind: Kind,
    two_at_once: bool,
    (now, until): (Time, Time),
    launches: &[Launch],
    fenced: impl Fn(usize) -> bool,
) -> Fate {
    let unproven = || launches.iter().filter(|l| l.state != State::ProvenNotRun);
    let clean = unproven().next().is_none();
    let out = unproven().any(|l| l.state == State::Out && !fenced(l.wk));
    let late = now + LEAST >= until;
    match kind {
        _ if clean && late => Fate::Forget,
        _ if clean => Fate::Continue,
        _ if late => Fate::DeadLetter,
        Kind::AtMostOnce => Fate::DeadLetter,
        Kind::Keyed { all: false, .. } => Fate::DeadLetter,
        Kind::Keyed { window, .. } if unproven().any(|l| now + LEAST >= l.at + window) => {
            Fate::DeadLetter
        }
        _ if out && !two_at_once => Fate::Await,
        _ => Fate::Continue,
    }
}
