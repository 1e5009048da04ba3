//! Publisher confirms: `basic.ack` and `basic.nack` sent by the server. Acks are collected and sent together,
//! nacks are sent at once.
use super::state::{ChannelAddress, PublishOrigin};
use super::{Server, ServerActions};
use crate::codec::method;

impl Server {
    /// Confirms a publish whose outcome is known. If its channel is closed or it was confirmed before,
    /// nothing is done.
    pub(super) fn confirm_publish<A: ServerActions>(
        &mut self,
        actions: &mut A,
        origin: PublishOrigin,
        accepted: bool,
    ) {
        let address = origin.channel;
        if !self.is_open(origin) {
            return;
        }
        let Some(channel) = self.channel_mut(address) else {
            return;
        };
        if !channel.unconfirmed.remove(&origin.sequence) {
            return;
        }
        if accepted {
            let is_first = channel.unsent_acks.is_empty();
            channel.unsent_acks.insert(origin.sequence);
            if is_first {
                self.unsent_acks.push(address);
            }
        } else {
            self.write_method(actions, address, method::BASIC_NACK, |frame| {
                frame.long_long(origin.sequence).bit(false).bit(false)
            });
        }
    }

    /// Whether the channel of a publish is still open, and is not a later channel with the same number.
    pub(super) fn is_open(&self, origin: PublishOrigin) -> bool {
        let address = origin.channel;
        self.connections
            .get(address.connection)
            .is_some_and(|connection| {
                connection.transport == origin.transport
                    && connection
                        .channels
                        .get(&address.number)
                        .is_some_and(|channel| {
                            channel.generation == origin.generation && !channel.closing
                        })
            })
    }

    /// Sends the nacks for abandoned requests and the collected acks.
    pub(super) fn flush_confirms<A: ServerActions>(&mut self, actions: &mut A) {
        for origin in std::mem::take(&mut self.abandoned_publishes) {
            self.confirm_publish(actions, origin, false);
        }
        for address in std::mem::take(&mut self.unsent_acks) {
            self.send_acks(actions, address);
        }
    }

    fn send_acks<A: ServerActions>(&mut self, actions: &mut A, address: ChannelAddress) {
        let Some(channel) = self.channel_mut(address) else {
            return;
        };
        let acks = std::mem::take(&mut channel.unsent_acks);
        // All publishes below the first unconfirmed one can be acknowledged by one ack with `multiple`.
        let first_unconfirmed = channel.unconfirmed.first().copied().unwrap_or(u64::MAX);
        let last_multiple = acks.range(..first_unconfirmed).next_back().copied();
        if let Some(last) = last_multiple {
            self.write_method(actions, address, method::BASIC_ACK, |frame| {
                frame.long_long(last).bit(true)
            });
        }
        for sequence in acks.range(first_unconfirmed..) {
            self.write_method(actions, address, method::BASIC_ACK, |frame| {
                frame.long_long(*sequence).bit(false)
            });
        }
    }
}
