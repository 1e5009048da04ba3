//! The single place that decides whether an effect may happen: sending, resending, closing, responding, or
//! ending the process. The caller asks immediately before the effect, with the facts known at that moment,
//! and needs the permit that only this module issues. Each refusal has a reason and a counter. Faults that
//! are detected after the fact are counted separately, as violations.
//!
//! The scheduler decides what should happen. Time passes between its decision and the effect: a connection
//! is opened, a socket buffer is full, a wake-up takes long. Conditions that held at the decision may have
//! changed, so they are checked again here. Times are in tenths of a millisecond.
use std::fmt;
use tidewall::config::{KeyScope, RetrySafety};
use tidewall::interface::{Endpoint, EndpointState};
use tidewall_net::Time;

/// Maximum age of the last socket poll when an attempt is sent: 50 ms, half of the 100 ms after which an
/// attempt for a client that has disconnected counts as an error.
pub const MAX_INPUT_AGE: Time = 500;

/// How long an attempt may wait for input of its client to be read: 200 ms. Then the request is given up, so
/// that its client is told at once and not at its deadline.
pub const MAX_POSTPONEMENT: Time = 2_000;

/// Why an effect is not permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request already has its response, or its client has abandoned it.
    RequestClosed,
    /// The client's deadline has passed.
    DeadlinePassed,
    /// The attempt's own timeout has passed.
    AttemptExpired,
    /// Input from the client has not been read yet; it may say that the client has abandoned the request.
    InputUnread,
    /// Input from the client was still unread after [`MAX_POSTPONEMENT`]: it sends faster than it is read.
    InputBacklog,
    /// The sockets were last polled more than [`MAX_INPUT_AGE`] ago.
    InputTooOld,
    /// The worker is draining or removed.
    WorkerNotActive,
    /// No sufficiently recent information confirms that the worker is in service.
    WorkerUnconfirmed,
    /// An earlier attempt may have been executed, and the request is not idempotent.
    MayHaveExecuted,
    /// An earlier attempt may have been executed, and the worker is outside the scope of the idempotency key.
    OutsideKeyScope,
    /// An earlier attempt may have been executed, and the window of the idempotency key has ended.
    KeyWindowOver,
    /// The connection still carries calls or open requests.
    ConnectionInUse,
    /// Some requests have not had their response.
    ResponseOwed,
}

impl Refusal {
    /// Number of reasons.
    pub const COUNT: usize = Refusal::ResponseOwed as usize + 1;

    /// All variants, in the order of their discriminants.
    pub const ALL: [Refusal; Refusal::COUNT] = [
        Refusal::RequestClosed,
        Refusal::DeadlinePassed,
        Refusal::AttemptExpired,
        Refusal::InputUnread,
        Refusal::InputBacklog,
        Refusal::InputTooOld,
        Refusal::WorkerNotActive,
        Refusal::WorkerUnconfirmed,
        Refusal::MayHaveExecuted,
        Refusal::OutsideKeyScope,
        Refusal::KeyWindowOver,
        Refusal::ConnectionInUse,
        Refusal::ResponseOwed,
    ];

    /// Whether reading the sockets can remove the reason. If so, the effect is postponed and not dropped.
    pub fn is_resolved_by_reading(self) -> bool {
        matches!(self, Refusal::InputUnread | Refusal::InputTooOld)
    }
}

/// A fault that was detected after the fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A response was sent half a second or more after the client stopped waiting.
    LateResponse,
    /// An attempt was sent although the client's input was too old, because it had been postponed for too long.
    AttemptByOldInput,
    /// The process ended while requests had no response.
    EndedWithOpenRequests,
    /// A step of a wake-up took over 100 ms.
    LongStep,
}

impl Violation {
    /// Number of kinds of violation.
    pub const COUNT: usize = Violation::LongStep as usize + 1;

    /// All variants, in the order of their discriminants.
    pub const ALL: [Violation; Violation::COUNT] = [
        Violation::LateResponse,
        Violation::AttemptByOldInput,
        Violation::EndedWithOpenRequests,
        Violation::LongStep,
    ];
}

/// A response sent this long after its deadline is a violation: 0.5 s, after which the request counts as
/// lost.
pub const LATE_RESPONSE_THRESHOLD: Time = 5_000;

/// A wake-up step that takes longer than this is a violation: after 100 ms, what the step sends may be for
/// clients that have already disconnected.
pub const STEP_VIOLATION_THRESHOLD: Time = 1_000;

/// Counts of refusals and violations since the process started.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct EffectCounters {
    refusals: [u64; Refusal::COUNT],
    violations: [u64; Violation::COUNT],
}

impl EffectCounters {
    /// Increments the count of this refusal.
    pub fn refused(&mut self, refusal: Refusal) {
        self.refusals[refusal as usize] += 1;
    }

    /// Increments the count of this violation.
    pub fn violated(&mut self, violation: Violation) {
        self.violations[violation as usize] += 1;
    }

    /// Number of effects refused for this reason.
    pub fn refusals(&self, refusal: Refusal) -> u64 {
        self.refusals[refusal as usize]
    }

    /// Number of times this violation was detected.
    pub fn violations(&self, violation: Violation) -> u64 {
        self.violations[violation as usize]
    }
}

impl fmt::Debug for EffectCounters {
    /// Prints only the counts that are not 0.
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

/// How current the gateway's knowledge of a request's client is.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientInput {
    /// Time since the sockets were last polled.
    pub age: Time,
    /// The client's connection is known to have unread bytes or an unread end of stream.
    pub unread: bool,
    /// For how long the request's attempts have been postponed.
    pub postponed: Time,
}

/// An earlier attempt of a request that is not proven to be unexecuted.
#[derive(Clone, Copy, Debug)]
pub struct UnprovenAttempt {
    /// The attempt's worker, as in the endpoint list.
    pub endpoint: Endpoint,
    /// When the attempt was sent.
    pub sent_at: Time,
}

/// The facts that decide whether an attempt may be sent, taken just before its first byte is written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts<'a> {
    /// The time at this moment, not at the start of the wake-up.
    pub now: Time,
    /// The request has not had its response.
    pub request_open: bool,
    /// When the client stops waiting.
    pub deadline: Time,
    /// When the gateway stops waiting for this attempt.
    pub expires_at: Time,
    /// How current the knowledge of the client is.
    pub client: ClientInput,
    /// The endpoint of the attempt's worker.
    pub endpoint: Endpoint,
    /// Until when the information that the worker is in service is valid.
    pub send_allowed_until: Time,
    /// Whether the request may be executed again.
    pub retry_safety: RetrySafety,
    /// Earlier attempts that are not proven to be unexecuted.
    pub unproven: &'a [UnprovenAttempt],
}

/// Permission to send an attempt now.
#[derive(Debug, PartialEq)]
pub struct AttemptPermit {
    remaining: Time,
    timeout: Time,
}

impl AttemptPermit {
    /// Time until the client stops waiting.
    pub fn remaining(&self) -> Time {
        self.remaining
    }

    /// Time until the gateway stops waiting for the attempt; at most `remaining`.
    pub fn timeout(&self) -> Time {
        self.timeout
    }
}

/// Decides whether an attempt may be sent now.
///
/// # Errors
/// The reason why the effect is not permitted.
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
    // A stall of the process, a slow connect or a full socket buffer may have used up the time that was
    // left when the scheduler decided.
    if facts.now >= facts.send_allowed_until {
        return Err(Refusal::WorkerUnconfirmed);
    }
    if facts.client.unread {
        return Err(if facts.client.postponed > MAX_POSTPONEMENT {
            Refusal::InputBacklog
        } else {
            Refusal::InputUnread
        });
    }
    if facts.client.age > MAX_INPUT_AGE {
        return Err(Refusal::InputTooOld);
    }
    facts
        .unproven
        .iter()
        .try_for_each(|earlier| check_repeated_execution(facts, earlier))?;
    let remaining = facts.deadline - facts.now;
    Ok(AttemptPermit {
        remaining,
        timeout: remaining.min(facts.expires_at - facts.now),
    })
}

/// Checks that executing the request again is harmless even if the earlier attempt was executed.
fn check_repeated_execution(
    facts: &AttemptFacts,
    earlier: &UnprovenAttempt,
) -> Result<(), Refusal> {
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

/// Permission to send a load request now.
#[derive(Debug, PartialEq)]
pub struct LoadPermit(());

/// Decides whether a load request, or a query if `instances` is 0, may be sent now to a worker in this
/// state. `send_allowed_until` is the time until which the worker is known to be in service.
///
/// # Errors
/// The reason why the effect is not permitted.
pub fn permit_load(
    instances: u32,
    (state, send_allowed_until): (EndpointState, Time),
    now: Time,
    expires_at: Time,
) -> Result<LoadPermit, Refusal> {
    if instances > 0 && state != EndpointState::Active {
        return Err(Refusal::WorkerNotActive);
    }
    if instances > 0 && now >= send_allowed_until {
        return Err(Refusal::WorkerUnconfirmed);
    }
    if now >= expires_at {
        return Err(Refusal::AttemptExpired);
    }
    Ok(LoadPermit(()))
}

/// Permission to close an unused connection.
#[derive(Debug, PartialEq)]
pub struct ClosePermit(());

/// Decides whether an idle connection may be closed: it must carry no open call or request, and have no
/// unread input.
///
/// # Errors
/// The reason why the effect is not permitted.
pub fn permit_close(in_use: bool, has_unread: bool) -> Result<ClosePermit, Refusal> {
    if in_use {
        return Err(Refusal::ConnectionInUse);
    }
    if has_unread {
        return Err(Refusal::InputUnread);
    }
    Ok(ClosePermit(()))
}

/// Permission to end the process.
#[derive(Debug, PartialEq)]
pub struct ExitPermit(());

/// Decides whether a draining gateway may end: every admitted request must have its response, and no client
/// input may be unread.
///
/// # Errors
/// The reason why the effect is not permitted.
pub fn permit_exit(requests_in_flight: usize, has_unread: bool) -> Result<ExitPermit, Refusal> {
    if requests_in_flight > 0 {
        return Err(Refusal::ResponseOwed);
    }
    if has_unread {
        return Err(Refusal::InputUnread);
    }
    Ok(ExitPermit(()))
}
