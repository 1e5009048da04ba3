//! The one place that decides whether something may be sent, repeated, closed, answered or ended now. Whoever acts asks just
//! before the effect, with what is known by then, and needs the permit that only this module gives out. A refusal has a reason
//! and a counter; what is found to have been wrong after the fact is counted apart, as a violation.
//!
//! The scheduler decides what is wanted. Between its decision and the effect time passes: a connection is opened, a socket is
//! full, a wake-up lasts. What was true when it decided may have changed, and is asked again here. Times are in tenths of a
//! millisecond.
use std::fmt;
use tidewall::config::{KeyScope, RetrySafety};
use tidewall::interface::{Endpoint, EndpointState};
use tidewall_net::Time;

/// What the sockets told is at most so old when an attempt leaves: 50 ms, half of the 100 ms after which an attempt for a
/// client that has left is an error.
pub const MAX_INPUT_AGE: Time = 500;

/// Why something may not be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request has its response, or its client has left.
    RequestClosed,
    /// The client does not wait any longer.
    DeadlinePassed,
    /// The attempt's own time is over.
    AttemptExpired,
    /// What the client sent meanwhile is not read yet: it may have left.
    InputUnread,
    /// The sockets were last looked at too long ago.
    InputTooOld,
    /// The worker is draining or removed.
    WorkerNotActive,
    /// Nothing recent enough shows that the worker is in service.
    WorkerUnconfirmed,
    /// An earlier attempt may have been executed, and the request is not idempotent.
    MayHaveExecuted,
    /// An earlier attempt may have been executed, and the worker is outside the scope of the idempotency key.
    OutsideKeyScope,
    /// An earlier attempt may have been executed, and the window of the idempotency key is over.
    KeyWindowOver,
    /// The connection has calls or open requests.
    ConnectionInUse,
    /// Requests wait for their response.
    ResponseOwed,
}

impl Refusal {
    /// How many reasons there are.
    pub const COUNT: usize = Refusal::ResponseOwed as usize + 1;

    /// All of them, in the order of their numbers.
    pub const ALL: [Refusal; Refusal::COUNT] = [
        Refusal::RequestClosed,
        Refusal::DeadlinePassed,
        Refusal::AttemptExpired,
        Refusal::InputUnread,
        Refusal::InputTooOld,
        Refusal::WorkerNotActive,
        Refusal::WorkerUnconfirmed,
        Refusal::MayHaveExecuted,
        Refusal::OutsideKeyScope,
        Refusal::KeyWindowOver,
        Refusal::ConnectionInUse,
        Refusal::ResponseOwed,
    ];

    /// Whether reading the sockets may remove the reason, so that the effect waits for that and is not given up.
    pub fn is_cured_by_reading(self) -> bool {
        matches!(self, Refusal::InputUnread | Refusal::InputTooOld)
    }
}

/// What was found to be wrong after the fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A response left half a second or more after the client stopped waiting.
    LateResponse,
    /// An attempt left by input that was too old, as it could not be read in time.
    AttemptByOldInput,
    /// The process ends with requests that have no response.
    EndedWithOpenRequests,
    /// A step of a wake-up took over 100 ms.
    LongStep,
}

impl Violation {
    /// How many kinds there are.
    pub const COUNT: usize = Violation::LongStep as usize + 1;

    /// All of them, in the order of their numbers.
    pub const ALL: [Violation; Violation::COUNT] = [
        Violation::LateResponse,
        Violation::AttemptByOldInput,
        Violation::EndedWithOpenRequests,
        Violation::LongStep,
    ];
}

/// A response that leaves so much after its deadline is a violation: 0.5 s, after which the request counts as lost.
pub const LATE_RESPONSE: Time = 5_000;

/// A step of a wake-up that takes longer is a violation: 100 ms, after which what it sends may be for clients that have left.
pub const LONG_STEP: Time = 1_000;

/// Counts of refusals and violations since the start.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct EffectCounters {
    refusals: [u64; Refusal::COUNT],
    violations: [u64; Violation::COUNT],
}

impl EffectCounters {
    /// Counts a refusal.
    pub fn refused(&mut self, refusal: Refusal) {
        self.refusals[refusal as usize] += 1;
    }

    /// Counts a violation.
    pub fn violated(&mut self, violation: Violation) {
        self.violations[violation as usize] += 1;
    }

    /// How often something was refused for this reason.
    pub fn refusals(&self, refusal: Refusal) -> u64 {
        self.refusals[refusal as usize]
    }

    /// How often this violation was found.
    pub fn violations(&self, violation: Violation) -> u64 {
        self.violations[violation as usize]
    }
}

impl fmt::Debug for EffectCounters {
    /// Those that are not 0.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut map = f.debug_map();
        let refusals = Refusal::ALL.map(|refusal| (refusal, self.refusals(refusal)));
        for (refusal, count) in refusals.iter().filter(|(_, count)| *count > 0) {
            map.entry(refusal, count);
        }
        let violations = Violation::ALL.map(|violation| (violation, self.violations(violation)));
        for (violation, count) in violations.iter().filter(|(_, count)| *count > 0) {
            map.entry(&format_args!("violation {violation:?}"), count);
        }
        map.finish()
    }
}

/// How recent what is known of a request's client is.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientInput {
    /// Time since the sockets were last polled.
    pub age: Time,
    /// Its connection has bytes, or an end, that are known of and not read.
    pub unread: bool,
}

/// An earlier attempt of a request that may have been executed.
#[derive(Clone, Copy, Debug)]
pub struct UnprovenAttempt {
    /// Its worker, as the endpoint list had it.
    pub endpoint: Endpoint,
    /// When it left.
    pub sent_at: Time,
}

/// What an attempt rests on, just before its first byte leaves.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts<'a> {
    /// The time by the system's clock.
    pub now: Time,
    /// The request's response is still owed.
    pub request_open: bool,
    /// When the client stops waiting.
    pub deadline: Time,
    /// When the gateway stops waiting for this attempt.
    pub expires_at: Time,
    /// How recent what is known of the client is.
    pub client: ClientInput,
    /// The worker.
    pub endpoint: Endpoint,
    /// Until when what is known of its being in service holds.
    pub departures_until: Time,
    /// Whether the request may be executed again.
    pub retry_safety: RetrySafety,
    /// Earlier attempts of which nothing proves that they were not executed.
    pub unproven: &'a [UnprovenAttempt],
}

/// Leave to send an attempt now.
#[derive(Debug, PartialEq)]
pub struct AttemptPermit {
    remaining: Time,
    timeout: Time,
}

impl AttemptPermit {
    /// How long until the client stops waiting.
    pub fn remaining(&self) -> Time {
        self.remaining
    }

    /// How long until the gateway stops waiting for the attempt; at most `remaining`.
    pub fn timeout(&self) -> Time {
        self.timeout
    }
}

/// Whether an attempt may leave now.
///
/// # Errors
/// Why it may not.
pub fn permit_attempt(facts: &AttemptFacts) -> Result<AttemptPermit, Refusal> {
    if !facts.request_open {
        return Err(Refusal::RequestClosed);
    }
    if facts.now >= facts.deadline {
        return Err(Refusal::DeadlinePassed);
    }
    if facts.now >= facts.expires_at {
        return Err(Refusal::AttemptExpired);
    }
    if facts.endpoint.state != EndpointState::Active {
        return Err(Refusal::WorkerNotActive);
    }
    // A stall, a slow connect or a full socket may have used up what was left when it was decided.
    if facts.now >= facts.departures_until {
        return Err(Refusal::WorkerUnconfirmed);
    }
    if facts.client.unread {
        return Err(Refusal::InputUnread);
    }
    if facts.client.age > MAX_INPUT_AGE {
        return Err(Refusal::InputTooOld);
    }
    facts
        .unproven
        .iter()
        .try_for_each(|earlier| check_repeat(facts, earlier))?;
    let remaining = facts.deadline - facts.now;
    Ok(AttemptPermit {
        remaining,
        timeout: remaining.min(facts.expires_at - facts.now),
    })
}

/// Whether it does no harm if an earlier attempt was executed as well.
fn check_repeat(facts: &AttemptFacts, earlier: &UnprovenAttempt) -> Result<(), Refusal> {
    let RetrySafety::IdempotencyKey(scope, window) = facts.retry_safety else {
        return match facts.retry_safety {
            RetrySafety::NonIdempotent => Err(Refusal::MayHaveExecuted),
            _ => Ok(()),
        };
    };
    let in_scope = match scope {
        KeyScope::All => true,
        KeyScope::Zone => earlier.endpoint.zone == facts.endpoint.zone,
        KeyScope::Cell => earlier.endpoint.cell == facts.endpoint.cell,
    };
    if !in_scope {
        return Err(Refusal::OutsideKeyScope);
    }
    if facts.now >= earlier.sent_at + window {
        return Err(Refusal::KeyWindowOver);
    }
    Ok(())
}

/// Leave to send a load request now.
#[derive(Debug, PartialEq)]
pub struct LoadPermit(());

/// Whether a load request, or with `instances` 0 a query, may leave now for a worker of this state, whose being in service
/// is known up to a time.
///
/// # Errors
/// Why it may not.
pub fn permit_load(
    instances: u32,
    (state, departures_until): (EndpointState, Time),
    now: Time,
    expires_at: Time,
) -> Result<LoadPermit, Refusal> {
    if instances > 0 && state != EndpointState::Active {
        return Err(Refusal::WorkerNotActive);
    }
    if instances > 0 && now >= departures_until {
        return Err(Refusal::WorkerUnconfirmed);
    }
    if now >= expires_at {
        return Err(Refusal::AttemptExpired);
    }
    Ok(LoadPermit(()))
}

/// Leave to close a connection that nobody uses.
#[derive(Debug, PartialEq)]
pub struct ClosePermit(());

/// Whether an idle connection may be closed: it has nothing open, and nothing on it lies unread.
///
/// # Errors
/// Why it may not.
pub fn permit_close(in_use: bool, has_unread: bool) -> Result<ClosePermit, Refusal> {
    if in_use {
        return Err(Refusal::ConnectionInUse);
    }
    if has_unread {
        return Err(Refusal::InputUnread);
    }
    Ok(ClosePermit(()))
}

/// Leave to end the process.
#[derive(Debug, PartialEq)]
pub struct ExitPermit(());

/// Whether a gateway that is draining may end: everything admitted has its response, and nothing that clients sent lies unread.
///
/// # Errors
/// Why it may not.
pub fn permit_exit(requests_in_flight: usize, has_unread: bool) -> Result<ExitPermit, Refusal> {
    if requests_in_flight > 0 {
        return Err(Refusal::ResponseOwed);
    }
    if has_unread {
        return Err(Refusal::InputUnread);
    }
    Ok(ExitPermit(()))
}
