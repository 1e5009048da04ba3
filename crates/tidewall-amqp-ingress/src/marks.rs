//! Deduplication by message-id: which request is in flight under a message-id, and which answer the last one
//! got. A repeat joins the request in flight or gets the recorded answer; it is not executed again. The table
//! is bounded in the number of entries and in their age.
use std::collections::{HashMap, VecDeque};
use tidewall_amqp::server::Disposition;
use tidewall_net::Time;

/// Limit of the entries. At a thousand requests a second these are the message-ids of four minutes, in about
/// 40 MB.
const MAX_MESSAGE_IDS: usize = 262_144;

/// The index of the event type and the message-id.
pub type MessageKey = (usize, Box<str>);

/// What is known of a message-id.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageStatus {
    /// The request with this key is in flight.
    InFlight(usize),
    /// The last request got this answer.
    Answered(Disposition),
}

/// The table of message-ids. The map is never iterated, so its order has no effect.
#[derive(Default)]
pub struct MessageIds {
    /// Each entry with its generation.
    messages: HashMap<MessageKey, (u64, MessageStatus)>,
    /// When recorded answers expire, and the generations of their entries.
    expirations: VecDeque<(Time, u64, MessageKey)>,
    /// The last generation given to an entry.
    generation: u64,
}

impl MessageIds {
    /// What is known of a message-id.
    pub fn lookup(&mut self, now: Time, message_key: &MessageKey) -> Option<&MessageStatus> {
        self.remove_expired(now);
        self.messages.get(message_key).map(|entry| &entry.1)
    }

    /// Records that a request is in flight under a message-id.
    pub fn insert_in_flight(&mut self, message_key: MessageKey, request_key: usize) {
        self.generation += 1;
        self.messages.insert(
            message_key,
            (self.generation, MessageStatus::InFlight(request_key)),
        );
    }

    /// Records the final answer for the time `window`. A rejection is not recorded, as it asks the client to
    /// retry.
    pub fn record_answer(
        &mut self,
        now: Time,
        message_key: MessageKey,
        disposition: Disposition,
        window: Time,
    ) {
        if disposition == Disposition::Rejected || window == 0 {
            self.messages.remove(&message_key);
            return;
        }
        self.generation += 1;
        self.messages.insert(
            message_key.clone(),
            (self.generation, MessageStatus::Answered(disposition)),
        );
        self.expirations
            .push_back((now + window, self.generation, message_key));
        self.remove_expired(now);
    }

    /// Whether there is room for one more message-id. None is removed before it expires: its repeat would be
    /// executed again.
    pub fn has_capacity(&self) -> bool {
        self.messages.len() < MAX_MESSAGE_IDS
    }

    /// Removes the entries whose answers have expired, except those that were recorded anew.
    fn remove_expired(&mut self, now: Time) {
        while self
            .expirations
            .front()
            .is_some_and(|expiration| expiration.0 <= now)
        {
            let Some((_, generation, message_key)) = self.expirations.pop_front() else {
                return;
            };
            if self
                .messages
                .get(&message_key)
                .is_some_and(|entry| entry.0 == generation)
            {
                self.messages.remove(&message_key);
            }
        }
    }

    /// Number of message-ids.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Whether there are no message-ids.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message_key(id: &str) -> MessageKey {
        (1, id.into())
    }

    #[test]
    fn a_repeat_finds_the_request_in_flight_then_its_answer_then_nothing() {
        let mut message_ids = MessageIds::default();
        message_ids.insert_in_flight(message_key("m"), 7);
        assert_eq!(
            message_ids.lookup(0, &message_key("m")),
            Some(&MessageStatus::InFlight(7))
        );
        message_ids.record_answer(100, message_key("m"), Disposition::Completed, 40_000);
        assert_eq!(
            message_ids.lookup(40_099, &message_key("m")),
            Some(&MessageStatus::Answered(Disposition::Completed))
        );
        assert_eq!(message_ids.lookup(40_100, &message_key("m")), None);
        assert!(message_ids.is_empty());
    }

    #[test]
    fn a_rejection_is_not_recorded() {
        let mut message_ids = MessageIds::default();
        message_ids.insert_in_flight(message_key("m"), 7);
        message_ids.record_answer(100, message_key("m"), Disposition::Rejected, 40_000);
        assert_eq!(message_ids.lookup(100, &message_key("m")), None);
    }

    #[test]
    fn a_new_request_does_not_expire_with_the_former_answer() {
        let mut message_ids = MessageIds::default();
        message_ids.record_answer(0, message_key("m"), Disposition::Completed, 100);
        message_ids.insert_in_flight(message_key("m"), 8);
        assert_eq!(
            message_ids.lookup(1_000, &message_key("m")),
            Some(&MessageStatus::InFlight(8))
        );
    }

    /// Guards against evicting the oldest entry inside its window when the table is full: its repeat would be
    /// executed again.
    #[test]
    fn a_full_table_accepts_no_more_and_evicts_nothing_before_it_expires() {
        let mut message_ids = MessageIds::default();
        for i in 0..MAX_MESSAGE_IDS {
            assert!(message_ids.has_capacity());
            message_ids.record_answer(
                0,
                message_key(&i.to_string()),
                Disposition::Completed,
                1_000,
            );
        }
        assert!(
            !message_ids.has_capacity() && message_ids.lookup(999, &message_key("0")).is_some()
        );
        assert!(
            message_ids.lookup(1_000, &message_key("0")).is_none() && message_ids.has_capacity()
        );
    }
}
