//! Ids of requests that were answered on a connection. Where answers name the request and not the attempt, a second
//! copy of an answer would end a later attempt of the same request on that connection.
use std::collections::VecDeque;
use tidewall_net::Time;

/// How long after an answer a second copy of it may come: 1 s.
const COPY_WINDOW: Time = 10_000;

/// Number of ids that are remembered, the latest ones.
const MAX_ANSWERED: usize = 256;

struct AnsweredRequest {
    request_id: u64,
    answered_at: Time,
}

/// The requests that were answered on a connection within [`COPY_WINDOW`].
#[derive(Default)]
pub(super) struct AnsweredRequests {
    /// In the order of their answers.
    entries: VecDeque<AnsweredRequest>,
}

impl AnsweredRequests {
    /// Remembers a request whose attempt was answered.
    pub(super) fn remember(&mut self, request_id: u64, now: Time) {
        while self
            .entries
            .front()
            .is_some_and(|oldest| now >= oldest.answered_at + COPY_WINDOW)
            || self.entries.len() >= MAX_ANSWERED
        {
            self.entries.pop_front();
        }
        self.entries.push_back(AnsweredRequest {
            request_id,
            answered_at: now,
        });
    }

    /// Whether a copy of an answer to this request may still come.
    pub(super) fn may_be_answered_again(&self, request_id: u64, now: Time) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.request_id == request_id && now < entry.answered_at + COPY_WINDOW)
    }
}
