//! The end of channels and connections, by an exception or otherwise.
use super::state::{Channel, ChannelAddress, ConnectionState};
use super::{Server, ServerActions};
use crate::codec::{method, FrameWriter};
use crate::{reply_code, ProtocolError};

impl Server {
    /// Closes the channel or the connection with the exception's reply code and text.
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
        let arguments = |frame: FrameWriter<'_>| {
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
            arguments(FrameWriter::method(
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
            // Before the connection is established the specification has no close (2.2.4).
            actions.close(state.transport);
            return self.connection_closed(connection);
        }
        arguments(FrameWriter::method(
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

    /// What the channel held is released; its number stays taken until the client confirms the close.
    fn await_channel_close_ok(&mut self, at: ChannelAddress) {
        self.release_channel(at);
        if let Some(channel) = self.channel_mut(at) {
            *channel = Channel {
                generation: channel.generation,
                closing: true,
                ..Channel::default()
            };
        }
    }

    /// Removes a channel's consumers and returns its unacknowledged messages to their queues.
    pub(super) fn release_channel(&mut self, at: ChannelAddress) {
        let virtual_host = self.connections[at.connection].virtual_host;
        let Some(channel) = self.channel_mut(at) else {
            return;
        };
        let consumers = std::mem::take(&mut channel.consumers);
        let unacknowledged = std::mem::take(&mut channel.unacknowledged);
        channel.direct_reply_consumer = None;
        channel.partial_publish = None;
        let host = &mut self.virtual_hosts[virtual_host];
        for (tag, consumer) in consumers {
            if host.remove_consumer(consumer.queue, at.connection, at.number, &tag) {
                host.delete_queue(consumer.queue);
            }
        }
        // From the last to the first, as each goes in front.
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

    /// The connection has ended. What it published stays, and is answered where its reply queue still exists.
    pub fn connection_closed(&mut self, connection: usize) {
        if self.connections.contains(connection) {
            self.release_channels(connection);
            self.connections.remove(connection);
        }
    }
}
