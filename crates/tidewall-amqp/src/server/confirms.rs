//! Publisher confirms: `basic.ack` and `basic.nack` from the server. Acks are collected and sent together, nacks at
//! once.
use super::state::{ChannelAddress, PublishOrigin};
use super::{Server, ServerActions};
use crate::codec::method;

impl Server {
    /// The outcome of a publish is known. A channel that has ended, or a publish confirmed before, is passed over.
    pub(super) fn confirm_publish<A: ServerActions>(
        &mut self,
        actions: &mut A,
        origin: PublishOrigin,
        accepted: bool,
    ) {
        let at = origin.channel;
        if !self.is_open(origin) {
            return;
        }
        let Some(channel) = self.channel_mut(at) else {
            return;
        };
        if !channel.unconfirmed.remove(&origin.sequence) {
            return;
        }
        if accepted {
            let first = channel.unsent_acks.is_empty();
            channel.unsent_acks.insert(origin.sequence);
            if first {
                self.unsent_acks.push(at);
            }
        } else {
            self.write_method(actions, at, method::BASIC_NACK, |frame| {
                frame.long_long(origin.sequence).bit(false).bit(false)
            });
        }
    }

    /// Whether the channel that a publish came from still is the same and open.
    pub(super) fn is_open(&self, origin: PublishOrigin) -> bool {
        let at = origin.channel;
        self.connections
            .get(at.connection)
            .is_some_and(|connection| {
                connection.transport == origin.transport
                    && connection.channels.get(&at.number).is_some_and(|channel| {
                        channel.generation == origin.generation && !channel.closing
                    })
            })
    }

    /// Sends the nacks of abandoned requests and the acks that were collected.
    pub(super) fn flush_confirms<A: ServerActions>(&mut self, actions: &mut A) {
        for origin in std::mem::take(&mut self.abandoned_publishes) {
            self.confirm_publish(actions, origin, false);
        }
        for at in std::mem::take(&mut self.unsent_acks) {
            self.send_acks(actions, at);
        }
    }

    fn send_acks<A: ServerActions>(&mut self, actions: &mut A, at: ChannelAddress) {
        let Some(channel) = self.channel_mut(at) else {
            return;
        };
        let acks = std::mem::take(&mut channel.unsent_acks);
        // Everything below the first unconfirmed publish can be acknowledged by one `multiple`.
        let first_unconfirmed = channel.unconfirmed.first().copied().unwrap_or(u64::MAX);
        let last_together = acks.range(..first_unconfirmed).next_back().copied();
        if let Some(last) = last_together {
            self.write_method(actions, at, method::BASIC_ACK, |frame| {
                frame.long_long(last).bit(true)
            });
        }
        for sequence in acks.range(first_unconfirmed..) {
            self.write_method(actions, at, method::BASIC_ACK, |frame| {
                frame.long_long(*sequence).bit(false)
            });
        }
    }
}
