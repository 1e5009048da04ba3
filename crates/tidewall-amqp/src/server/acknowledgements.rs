//! Acknowledgements of deliveries: ack, nack, reject and recover (section 1.8.3).
use super::state::{ChannelAddress, Unacknowledged};
use super::{MethodResult, Server, ServerActions};
use crate::codec::{method, ArgumentReader, MethodId};
use crate::{reply_code, ProtocolError};
use std::collections::VecDeque;

/// The outcome of a delivery.
#[derive(Clone, Copy, PartialEq)]
enum Acknowledgement {
    Acknowledged,
    Requeued,
    /// The message is published to the queue's dead-letter exchange, if there is one.
    Rejected,
}

impl Server {
    pub(super) fn acknowledge_method(
        &mut self,
        from: ChannelAddress,
        id: MethodId,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        let delivery_tag = arguments.long_long()?;
        let multiple = id != method::BASIC_REJECT && arguments.bit()?;
        let acknowledgement = if id == method::BASIC_ACK {
            Acknowledgement::Acknowledged
        } else if arguments.bit()? {
            Acknowledgement::Requeued
        } else {
            Acknowledgement::Rejected
        };
        self.acknowledge(from, delivery_tag, multiple, acknowledgement)
    }

    fn acknowledge(
        &mut self,
        from: ChannelAddress,
        delivery_tag: u64,
        multiple: bool,
        acknowledgement: Acknowledgement,
    ) -> MethodResult {
        let virtual_host = self.connections[from.connection].virtual_host;
        let Some(channel) = self.channel_mut(from) else {
            return Ok(());
        };
        // With `multiple`, tag 0 means all deliveries; it is no error if there are none.
        let all = delivery_tag == 0 && multiple;
        let mut deliveries = channel.unacknowledged.iter();
        if !all && !deliveries.any(|delivery| delivery.delivery_tag == delivery_tag) {
            return Err(ProtocolError::new(
                reply_code::PRECONDITION_FAILED,
                format!("delivery tag {delivery_tag} is unknown"),
            ));
        }
        let (settled, kept): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut channel.unacknowledged)
                .into_iter()
                .partition(|delivery| {
                    all || delivery.delivery_tag == delivery_tag
                        || multiple && delivery.delivery_tag < delivery_tag
                });
        channel.unacknowledged = kept;
        for delivery in settled.into_iter().rev() {
            match acknowledgement {
                Acknowledgement::Acknowledged => {}
                Acknowledgement::Requeued => self.requeue(virtual_host, delivery),
                Acknowledgement::Rejected => self.dead_letter_rejected(virtual_host, delivery),
            }
        }
        self.mark_queues_active(from);
        Ok(())
    }

    pub(super) fn recover<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        id: MethodId,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        let requeue = arguments.bit()?;
        if !requeue {
            return Err(ProtocolError::new(
                reply_code::NOT_IMPLEMENTED,
                "recover goes by way of the queue",
            ));
        }
        let virtual_host = self.connections[from.connection].virtual_host;
        let Some(channel) = self.channel_mut(from) else {
            return Ok(());
        };
        for delivery in std::mem::take(&mut channel.unacknowledged)
            .into_iter()
            .rev()
        {
            self.requeue(virtual_host, delivery);
        }
        if id == method::BASIC_RECOVER {
            self.write_method(actions, from, method::BASIC_RECOVER_OK, |frame| frame);
        }
        Ok(())
    }

    /// Returns a delivered message to its queue, if the queue still exists.
    pub(super) fn requeue(&mut self, virtual_host: usize, delivery: Unacknowledged) {
        let host = &mut self.virtual_hosts[virtual_host];
        let queue = host.queue(delivery.queue);
        if queue.is_some_and(|queue| queue.name == delivery.queue_name) {
            host.requeue(delivery.queue, delivery.message);
            self.mark_queue_active(virtual_host, delivery.queue);
        }
    }
}
