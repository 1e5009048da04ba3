//! Messages between lease holders and grantors. Ballots and epochs travel as their count alone: the rest is the lease holder's
//! member and incarnation, which both sides know.
use super::item::{index, small, RawItem};
use super::{append, kind, DatagramError};
use tidewall_lease::ballot::BALLOT_COUNT_LIMIT;
use tidewall_lease::grantor::{Grant, GrantorReply};

/// What a lease holder asks of a grantor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Phase one of a claim: a lease holder asks a grantor for a promise.
    Prepare {
        /// The task whose lease it is.
        task: usize,
        /// Of the holder's ballot.
        ballot_count: u64,
    },
    /// Phase two of a claim, or a renewal: a lease holder asks a grantor for the lease.
    Accept {
        /// The task whose lease it is.
        task: usize,
        /// Of the lease's epoch.
        ballot_count: u64,
        /// Comes back with the reply.
        tag: u32,
    },
    /// A lease holder gives a lease back to a grantor.
    Release {
        /// The task whose lease it is.
        task: usize,
        /// Of the lease's epoch.
        ballot_count: u64,
    },
}

/// What a grantor replies to a lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// A grantor promises.
    Promised {
        /// The task whose lease it is.
        task: usize,
        /// Of the ballot that was asked with.
        ballot_count: u64,
        /// The grant that the grantor accepted last.
        accepted: Grant,
        /// How long that grant still runs, in tenths of a millisecond.
        remaining: u64,
    },
    /// A grantor does not promise.
    PrepareRejected {
        /// The task whose lease it is.
        task: usize,
        /// Of the ballot that was asked with.
        ballot_count: u64,
        /// The whole ballot that the grantor promised before.
        promised: u64,
        /// The grant that the grantor accepted last.
        accepted: Grant,
        /// How long that grant still runs, in tenths of a millisecond.
        remaining: u64,
    },
    /// A grantor has granted the lease.
    Accepted {
        /// The task whose lease it is.
        task: usize,
        /// Of the lease's epoch.
        ballot_count: u64,
        /// Of the request.
        tag: u32,
    },
    /// A grantor has not granted the lease.
    AcceptRejected {
        /// The task whose lease it is.
        task: usize,
        /// Of the epoch that was asked with.
        ballot_count: u64,
        /// Of the request.
        tag: u32,
        /// The whole ballot that the grantor promised.
        promised: u64,
        /// The grant that the grantor accepted last.
        accepted: Grant,
        /// How long that grant still runs, in tenths of a millisecond.
        remaining: u64,
    },
}

impl LeaseRequest {
    pub(super) fn append_to(self, body: &mut Vec<u8>) {
        match self {
            LeaseRequest::Prepare { task, ballot_count } => {
                append(body, &[kind::PREPARE, task as u64, ballot_count]);
            }
            LeaseRequest::Accept {
                task,
                ballot_count,
                tag,
            } => append(body, &[kind::ACCEPT, task as u64, ballot_count, tag.into()]),
            LeaseRequest::Release { task, ballot_count } => {
                append(body, &[kind::RELEASE, task as u64, ballot_count]);
            }
        }
    }

    pub(super) fn from_raw(raw: &RawItem) -> Result<LeaseRequest, DatagramError> {
        let n = &raw.numbers;
        let (task, ballot_count) = (index(n[0])?, count(n[1])?);
        Ok(match raw.kind {
            kind::PREPARE => LeaseRequest::Prepare { task, ballot_count },
            kind::ACCEPT => LeaseRequest::Accept {
                task,
                ballot_count,
                tag: small(n[2])?,
            },
            kind::RELEASE => LeaseRequest::Release { task, ballot_count },
            _ => return Err(DatagramError::UnknownKind),
        })
    }
}

impl LeaseReply {
    pub(super) fn append_to(self, body: &mut Vec<u8>) {
        match self {
            LeaseReply::Promised {
                task,
                ballot_count,
                accepted,
                remaining,
            } => {
                append(body, &[kind::PROMISED, task as u64, ballot_count]);
                append_grant(body, &accepted, remaining);
            }
            LeaseReply::PrepareRejected {
                task,
                ballot_count,
                promised,
                accepted,
                remaining,
            } => {
                append(body, &[kind::PREPARE_REJECTED, task as u64, ballot_count]);
                append(body, &[promised]);
                append_grant(body, &accepted, remaining);
            }
            LeaseReply::Accepted {
                task,
                ballot_count,
                tag,
            } => {
                let numbers = [kind::ACCEPTED, task as u64, ballot_count, tag.into()];
                append(body, &numbers);
            }
            LeaseReply::AcceptRejected {
                task,
                ballot_count,
                tag,
                promised,
                accepted,
                remaining,
            } => {
                append(body, &[kind::ACCEPT_REJECTED, task as u64, ballot_count]);
                append(body, &[tag.into(), promised]);
                append_grant(body, &accepted, remaining);
            }
        }
    }

    pub(super) fn from_raw(raw: &RawItem) -> Result<LeaseReply, DatagramError> {
        let n = &raw.numbers;
        let (task, ballot_count) = (index(n[0])?, count(n[1])?);
        Ok(match raw.kind {
            kind::PROMISED => LeaseReply::Promised {
                task,
                ballot_count,
                accepted: grant(&n[2..])?,
                remaining: n[5],
            },
            kind::PREPARE_REJECTED => LeaseReply::PrepareRejected {
                task,
                ballot_count,
                promised: n[2],
                accepted: grant(&n[3..])?,
                remaining: n[6],
            },
            kind::ACCEPTED => LeaseReply::Accepted {
                task,
                ballot_count,
                tag: small(n[2])?,
            },
            kind::ACCEPT_REJECTED => LeaseReply::AcceptRejected {
                task,
                ballot_count,
                tag: small(n[2])?,
                promised: n[3],
                accepted: grant(&n[4..])?,
                remaining: n[7],
            },
            _ => return Err(DatagramError::UnknownKind),
        })
    }

    /// The reply to a `Prepare`.
    pub fn for_prepare(task: usize, ballot_count: u64, reply: &GrantorReply) -> LeaseReply {
        let (accepted, remaining) = (reply.state.accepted, reply.remaining);
        if reply.granted {
            LeaseReply::Promised {
                task,
                ballot_count,
                accepted,
                remaining,
            }
        } else {
            LeaseReply::PrepareRejected {
                task,
                ballot_count,
                promised: reply.state.promised,
                accepted,
                remaining,
            }
        }
    }

    /// The reply to an `Accept`.
    pub fn for_accept(
        task: usize,
        ballot_count: u64,
        tag: u32,
        reply: &GrantorReply,
    ) -> LeaseReply {
        if reply.granted {
            LeaseReply::Accepted {
                task,
                ballot_count,
                tag,
            }
        } else {
            LeaseReply::AcceptRejected {
                task,
                ballot_count,
                tag,
                promised: reply.state.promised,
                accepted: reply.state.accepted,
                remaining: reply.remaining,
            }
        }
    }
}

fn append_grant(body: &mut Vec<u8>, grant: &Grant, remaining: u64) {
    let member = grant.member as u64;
    append(body, &[grant.epoch, member, grant.incarnation, remaining]);
}

fn count(number: u64) -> Result<u64, DatagramError> {
    if number < BALLOT_COUNT_LIMIT {
        Ok(number)
    } else {
        Err(DatagramError::ItemOutOfRange)
    }
}

fn grant(numbers: &[u64]) -> Result<Grant, DatagramError> {
    Ok(Grant {
        epoch: numbers[0],
        member: index(numbers[1])?,
        incarnation: numbers[2],
    })
}
