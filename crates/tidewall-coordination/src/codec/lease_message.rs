//! Messages between lease holders and grantors. Of a ballot or an epoch only the count is sent: the rest is
//! the lease holder's member number and incarnation, which both sides know.
use super::item::{to_index, to_u32, RawItem};
use super::{append_numbers, kind, DatagramError};
use tidewall_lease::ballot::BALLOT_COUNT_LIMIT;
use tidewall_lease::grantor::{Grant, GrantorReply};

/// A request of a lease holder to a grantor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Phase 1 of a claim: a lease holder requests a promise.
    Prepare {
        /// The task whose lease it is.
        task: usize,
        /// The count of the holder's ballot.
        ballot_count: u64,
    },
    /// Phase 2 of a claim, or a renewal: a lease holder requests the lease.
    Accept {
        /// The task whose lease it is.
        task: usize,
        /// The count of the lease's epoch.
        ballot_count: u64,
        /// Returned in the reply.
        tag: u32,
    },
    /// A lease holder releases a lease.
    Release {
        /// The task whose lease it is.
        task: usize,
        /// The count of the lease's epoch.
        ballot_count: u64,
    },
}

/// A reply of a grantor to a lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The grantor promised the ballot.
    Promised {
        /// The task whose lease it is.
        task: usize,
        /// The count of the requested ballot.
        ballot_count: u64,
        /// The grant that the grantor accepted last.
        accepted: Grant,
        /// How long that grant still runs, in tenths of a millisecond.
        remaining: u64,
    },
    /// The grantor did not promise the ballot.
    PrepareRejected {
        /// The task whose lease it is.
        task: usize,
        /// The count of the requested ballot.
        ballot_count: u64,
        /// The complete ballot that the grantor promised before.
        promised: u64,
        /// The grant that the grantor accepted last.
        accepted: Grant,
        /// How long that grant still runs, in tenths of a millisecond.
        remaining: u64,
    },
    /// The grantor granted the lease.
    Accepted {
        /// The task whose lease it is.
        task: usize,
        /// The count of the lease's epoch.
        ballot_count: u64,
        /// The tag of the request.
        tag: u32,
    },
    /// The grantor did not grant the lease.
    AcceptRejected {
        /// The task whose lease it is.
        task: usize,
        /// The count of the requested epoch.
        ballot_count: u64,
        /// The tag of the request.
        tag: u32,
        /// The complete ballot that the grantor promised.
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
                append_numbers(body, &[kind::PREPARE, task as u64, ballot_count]);
            }
            LeaseRequest::Accept {
                task,
                ballot_count,
                tag,
            } => append_numbers(body, &[kind::ACCEPT, task as u64, ballot_count, tag.into()]),
            LeaseRequest::Release { task, ballot_count } => {
                append_numbers(body, &[kind::RELEASE, task as u64, ballot_count]);
            }
        }
    }

    pub(super) fn from_raw(raw: &RawItem) -> Result<LeaseRequest, DatagramError> {
        let n = &raw.numbers;
        let (task, ballot_count) = (to_index(n[0])?, to_ballot_count(n[1])?);
        Ok(match raw.kind {
            kind::PREPARE => LeaseRequest::Prepare { task, ballot_count },
            kind::ACCEPT => LeaseRequest::Accept {
                task,
                ballot_count,
                tag: to_u32(n[2])?,
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
                append_numbers(body, &[kind::PROMISED, task as u64, ballot_count]);
                append_grant(body, &accepted, remaining);
            }
            LeaseReply::PrepareRejected {
                task,
                ballot_count,
                promised,
                accepted,
                remaining,
            } => {
                append_numbers(body, &[kind::PREPARE_REJECTED, task as u64, ballot_count]);
                append_numbers(body, &[promised]);
                append_grant(body, &accepted, remaining);
            }
            LeaseReply::Accepted {
                task,
                ballot_count,
                tag,
            } => {
                let numbers = [kind::ACCEPTED, task as u64, ballot_count, tag.into()];
                append_numbers(body, &numbers);
            }
            LeaseReply::AcceptRejected {
                task,
                ballot_count,
                tag,
                promised,
                accepted,
                remaining,
            } => {
                append_numbers(body, &[kind::ACCEPT_REJECTED, task as u64, ballot_count]);
                append_numbers(body, &[tag.into(), promised]);
                append_grant(body, &accepted, remaining);
            }
        }
    }

    pub(super) fn from_raw(raw: &RawItem) -> Result<LeaseReply, DatagramError> {
        let n = &raw.numbers;
        let (task, ballot_count) = (to_index(n[0])?, to_ballot_count(n[1])?);
        Ok(match raw.kind {
            kind::PROMISED => LeaseReply::Promised {
                task,
                ballot_count,
                accepted: decode_grant(&n[2..])?,
                remaining: n[5],
            },
            kind::PREPARE_REJECTED => LeaseReply::PrepareRejected {
                task,
                ballot_count,
                promised: n[2],
                accepted: decode_grant(&n[3..])?,
                remaining: n[6],
            },
            kind::ACCEPTED => LeaseReply::Accepted {
                task,
                ballot_count,
                tag: to_u32(n[2])?,
            },
            kind::ACCEPT_REJECTED => LeaseReply::AcceptRejected {
                task,
                ballot_count,
                tag: to_u32(n[2])?,
                promised: n[3],
                accepted: decode_grant(&n[4..])?,
                remaining: n[7],
            },
            _ => return Err(DatagramError::UnknownKind),
        })
    }

    /// Builds the reply to a `Prepare`.
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

    /// Builds the reply to an `Accept`.
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
    append_numbers(body, &[grant.epoch, member, grant.incarnation, remaining]);
}

fn to_ballot_count(number: u64) -> Result<u64, DatagramError> {
    if number < BALLOT_COUNT_LIMIT {
        Ok(number)
    } else {
        Err(DatagramError::ItemOutOfRange)
    }
}

fn decode_grant(numbers: &[u64]) -> Result<Grant, DatagramError> {
    Ok(Grant {
        epoch: numbers[0],
        member: to_index(numbers[1])?,
        incarnation: numbers[2],
    })
}
