//! Closing of channels and connections, after an exception or otherwise.
use super::state::{Channel, ChannelAddress, ConnectionState};
use super::{Server, ServerActions};
use crate::codec::{method, FrameWriter};
use crate::{reply_code, ProtocolError};

impl Server {
    /// Closes the channel or the connection with the reply code and text of the exception.
    pub(super) fn raise_exception<A: ServerActions>(
        &mut self,
        actions: &mut A,
        connection: usize,
        channel: u16,
        error: ProtocolError,
    ) {
        self.exception_count += 1;
        self.last_exception = error.to_string();
        let Some(state) = self.connections.get_mut(connection) else {
            return;
        };
        let write_exception = |frame: FrameWriter<'_>| {
            frame
                .short(error.reply_code)
                .short_str(&error.reply_text)
                .short(error.class)
                .short(error.method)
                .finish();
        };
        self.output.clear();
        if error.closes_only_channel()
            && channel > 0
            && state.state == ConnectionState::Running
            && state.channels.contains_key(&channel)
        {
            write_exception(FrameWriter::method(
                &mut self.output,
                channel,
                method::CHANNEL_CLOSE,
            ));
            self.write_output(actions, connection);
            return self.await_channel_close_ok(ChannelAddress {
                connection,
                number: channel,
            });
        }
        if state.state == ConnectionState::Closing {
            return;
        }
        if state.state <= ConnectionState::AwaitingStartOk
            && error.reply_code == reply_code::FRAME_ERROR
        {
            // The specification has no close before the connection is established (2.2.4).
            actions.close(state.transport);
            return self.connection_closed(connection);
        }
        write_exception(FrameWriter::method(
            &mut self.output,
            0,
            method::CONNECTION_CLOSE,
        ));
        self.write_output(actions, connection);
        self.release_channels(connection);
        let state = &mut self.connections[connection];
        state.state = ConnectionState::Closing;
        state.deadline_start = self.now;
    }

    /// Releases the resources of the channel. Its number stays in use until the client sends
    /// `channel.close-ok`.
    fn await_channel_close_ok(&mut self, address: ChannelAddress) {
        self.release_channel(address);
        if let Some(channel) = self.channel_mut(address) {
            *channel = Channel {
                generation: channel.generation,
                closing: true,
                ..Channel::default()
            };
        }
    }

    /// Removes a channel's consumers and returns its unacknowledged messages to their queues.
    pub(super) fn release_channel(&mut self, address: ChannelAddress) {
        let virtual_host = self.connections[address.connection].virtual_host;
        let Some(channel) = self.channel_mut(address) else {
            return;
        };
        let consumers = std::mem::take(&mut channel.consumers);
        let unacknowledged = std::mem::take(&mut channel.unacknowledged);
        channel.direct_reply_consumer = None;
        channel.partial_publish = None;
        let host = &mut self.virtual_hosts[virtual_host];
        for (tag, consumer) in consumers {
            if host.remove_consumer(consumer.queue, address.connection, address.number, &tag) {
                host.delete_queue(consumer.queue);
            }
        }
        // In reverse order, as each message is put in front of the others.
        for delivery in unacknowledged.into_iter().rev() {
            self.requeue(virtual_host, delivery);
        }
    }

    fn release_channels(&mut self, connection: usize) {
        let state = &self.connections[connection];
        let virtual_host = state.virtual_host;
        let numbers: Vec<u16> = state.channels.keys().copied().collect();
        for number in numbers {
            self.release_channel(ChannelAddress { connection, number });
        }
        self.connections[connection].channels.clear();
        self.virtual_hosts[virtual_host].delete_exclusive_queues(connection);
    }

    /// Removes a connection that has ended. Its requests continue, and are answered if their reply queues
    /// still exist.
    pub fn connection_closed(&mut self, connection: usize) {
        if self.connections.contains(connection) {
            self.release_channels(connection);
            self.connections.remove(connection);
        }
    }
}
